package platform

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"stoneford/internal/ports"
	"stoneford/internal/sessionpool"
)

const (
	callerBuffer = 2 << 10
	// connectTimeout is how long a connection may take to say whom it wants.
	connectTimeout      = 10 * time.Second
	acceptRetryInterval = 20 * time.Millisecond
	// maxUnreadBytes is how much a caller may leave unread before its next statement waits.
	maxUnreadBytes = 256 << 10
)

// Frontend takes callers' connections; most of them at a time, unless it is 0.
type Frontend struct {
	Address        string
	MaxConnections int
}

// Serve takes connections until the context ends.
func (c Frontend) Serve(ctx context.Context, handler sessionpool.SessionHandler) error {
	listener, err := listen(ctx, c.Address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	return c.serve(ctx, listener, handler)
}

// listen opens a listener whose connections are probed by their kernel, where
// that is handed down.
func listen(ctx context.Context, address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, rawConn syscall.RawConn) error {
		var err error
		controlErr := rawConn.Control(func(fd uintptr) {
			err = errors.Join(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, 30))
		})
		return errors.Join(controlErr, err)
	}}
	return lc.Listen(ctx, "tcp", address)
}

func (c Frontend) serve(ctx context.Context, listener net.Listener, handler sessionpool.SessionHandler) error {
	var open atomic.Int64
	for {
		netConn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				netConn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil: // such as no descriptor left
			t := time.NewTimer(acceptRetryInterval)
			select {
			case <-ctx.Done():
			case <-t.C:
			}
			continue
		case c.MaxConnections > 0 && open.Load() >= int64(c.MaxConnections):
			netConn.Close()
			continue
		}
		open.Add(1)
		go func() {
			defer open.Add(-1)
			newCallerConn(netConn).run(handler)
		}()
	}
}

// callerConn is one caller's connection.
type callerConn struct {
	outbox
	reader           *bufio.Reader
	opening          bool // its opening has not been replied to
	statementPending bool // a statement has not been replied to
	sessionEnded     bool
}

func newCallerConn(netConn net.Conn) *callerConn {
	caller := &callerConn{reader: bufio.NewReaderSize(netConn, callerBuffer), opening: true}
	caller.init(netConn)
	return caller
}

// Reply queues the end of the statement, or of the opening.
func (c *callerConn) Reply(r ports.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessionEnded {
		return
	}
	if c.opening {
		c.queued = appendOpened(c.queued, r)
		c.opening = false
		c.closeWhenWritten = c.closeWhenWritten || r.Code != ports.Done
		c.sessionEnded = c.closeWhenWritten
	} else {
		c.queued = appendReply(c.queued, r)
	}
	c.statementPending = false
	c.stateChanged.Signal()
}

// Close closes the session behind what is queued.
func (c *callerConn) Close() {
	c.mu.Lock()
	c.closeWhenWritten, c.sessionEnded, c.statementPending = true, true, false
	c.stateChanged.Signal()
	c.mu.Unlock()
}

// Flush writes what is queued.
func (c *callerConn) Flush() { c.flush() }

// waitTurn waits until the caller's next statement may be asked; false says that
// its session has ended.
func (c *callerConn) waitTurn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for (c.statementPending || len(c.queued) > maxUnreadBytes) && !c.closed && !c.sessionEnded {
		c.stateChanged.Wait()
	}
	if c.closed || c.sessionEnded {
		return false
	}
	c.statementPending = true
	return true
}

func (c *callerConn) run(handler sessionpool.SessionHandler) {
	defer c.conn.Close()
	defer func() {
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
	}()
	if c.conn.SetReadDeadline(time.Now().Add(connectTimeout)) != nil {
		return
	}
	message, err := readMessage(c.reader)
	switch {
	case errors.Is(err, ErrMessageTooLong):
		c.rejectWith(ports.TooLarge, "a message is 1 MiB at most")
		return
	case err != nil, message.verb == verbClose:
		return
	case message.verb != verbConnect || message.host == "":
		c.rejectWith(ports.Malformed, "a session begins with CONNECT and a name")
		return
	}
	if c.conn.SetReadDeadline(time.Time{}) != nil {
		return
	}
	c.statementPending = true
	id := handler.SessionOpened(c, message.host)
	defer handler.SessionClosed(id)
	for {
		message, err := readMessage(c.reader)
		if err != nil && !errors.Is(err, ErrMessageTooLong) || message.verb == verbClose {
			return
		}
		if !c.waitTurn() {
			c.discard()
			return
		}
		switch {
		case err != nil:
			c.rejectWith(ports.TooLarge, "a message is 1 MiB at most")
			return
		case message.verb == verbQuery:
			handler.StatementReceived(id, message.statement)
		default:
			handler.StatementReceived(id, malformed("", "not a word for callers"))
		}
	}
}

// rejectWith ends a connection with an error.
func (c *callerConn) rejectWith(code ports.Code, text string) {
	c.Reply(ports.Reply{Code: code, Text: text})
	c.Close()
	c.Flush()
	c.discard()
}

// discard reads on until the caller has hung up, or is past its time.
func (c *callerConn) discard() {
	for {
		if _, err := c.reader.Discard(c.reader.Size()); err != nil {
			return
		}
	}
}
