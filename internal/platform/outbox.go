package platform

import (
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// writeTimeout bounds the time that a write blocks because the peer does not read. A longer
	// timeout keeps data queued for callers that have disappeared.
	writeTimeout = 2 * time.Second
	// maxIdleBufferBytes is the capacity of the largest buffer that an outbox keeps for
	// reuse.
	maxIdleBufferBytes = 16 << 10
	// lingerTimeout limits how long a closing connection waits for its peer to close, and an
	// HTTP server that shuts down for its requests in flight.
	lingerTimeout = 500 * time.Millisecond
)

// outbox is the output queue of a connection. It writes the queued data in order, combined
// into as few writes as possible. A flush does not block if the peer does not read.
type outbox struct {
	conn             net.Conn
	rawConn          syscall.RawConn
	mu               sync.Mutex
	stateChanged     sync.Cond // signalled at each reply, at Close, and when all queued data is written
	queued           []byte
	spare            []byte
	writing          bool // a goroutine is in writeQueued or finishWrite
	closeWhenWritten bool
	closed           bool
}

// init sets the connection that the outbox writes to.
func (o *outbox) init(netConn net.Conn) {
	o.conn = netConn
	o.stateChanged.L = &o.mu
	if c, ok := netConn.(syscall.Conn); ok {
		o.rawConn, _ = c.SyscallConn()
	}
}

// flush writes the queued data, unless another goroutine is already writing.
func (o *outbox) flush() {
	o.mu.Lock()
	if o.writing {
		o.mu.Unlock()
		return
	}
	o.writing = true
	o.writeQueued(false)
}

// writeQueued writes until nothing is queued. The caller holds mu and has set writing;
// writeQueued unlocks mu and clears writing. If it may not block, a goroutine finishes a
// write that would.
func (o *outbox) writeQueued(mayBlock bool) {
	for len(o.queued) > 0 && !o.closed {
		// Data queued during the write goes into the spare buffer. Clearing spare here
		// prevents the same buffer from being used twice.
		data := o.queued
		o.queued, o.spare = o.spare[:0], nil
		o.mu.Unlock()
		n, err := o.writeNonBlocking(data)
		if err == nil && n < len(data) {
			if !mayBlock {
				go o.finishWrite(data, n)
				return
			}
			err = o.writeBlocking(data[n:])
		}
		o.handleWriteResult(data, err)
	}
	end := o.closeWhenWritten && !o.closed
	o.closed = o.closed || end
	o.writing = false
	o.stateChanged.Signal()
	o.mu.Unlock()
	if end {
		o.closeGracefully()
	}
}

// handleWriteResult keeps a written buffer for reuse, and closes the connection after a
// failed write. It returns with mu locked.
func (o *outbox) handleWriteResult(data []byte, err error) {
	o.mu.Lock()
	if cap(data) <= maxIdleBufferBytes {
		o.spare = data[:0]
	}
	if err != nil {
		o.closed = true
		o.conn.Close()
	}
}

// finishWrite writes a buffer after its first n bytes, and then the queued data.
func (o *outbox) finishWrite(data []byte, n int) {
	o.handleWriteResult(data, o.writeBlocking(data[n:]))
	o.writeQueued(true)
}

// writeBlocking writes data, and waits up to writeTimeout for the peer to read it.
func (o *outbox) writeBlocking(data []byte) error {
	if err := o.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := o.conn.Write(data); err != nil {
		return err
	}
	return o.conn.SetWriteDeadline(time.Time{})
}

// writeNonBlocking writes as much data as the socket accepts without blocking.
func (o *outbox) writeNonBlocking(data []byte) (n int, err error) {
	if o.rawConn == nil {
		return 0, nil
	}
	controlErr := o.rawConn.Write(func(fd uintptr) bool {
		for {
			n, err = syscall.Write(int(fd), data)
			if err != syscall.EINTR {
				return true
			}
		}
	})
	if controlErr != nil {
		return 0, controlErr
	}
	if err == syscall.EAGAIN {
		err = nil
	}
	return max(n, 0), err
}

// closeGracefully closes the sending side and gives the peer lingerTimeout to close its side.
// Closing the connection at once with unread input would reset it and lose written data.
func (o *outbox) closeGracefully() {
	c, ok := o.conn.(*net.TCPConn)
	if !ok || c.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		o.conn.Close()
	}
}
