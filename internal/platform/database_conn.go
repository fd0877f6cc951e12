package platform

import (
	"bufio"
	"bytes"
	"syscall"

	"stoneford/internal/ports"
)

// databaseConn is one connection to a database. Answers carry no ID: the first is that of
// the first operation, and so on, as long as none is unsolicited. It implements
// sessionpool.Database.
type databaseConn struct {
	outbox
	reader     *bufio.Reader
	unanswered int // ops queued whose answers have not begun, under mu
}

// Queue queues operations, either all or none: one that cannot be sent closes the
// connection.
func (c *databaseConn) Queue(ops []ports.Op) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := len(c.queued)
	for _, o := range ops {
		var err error
		if c.queued, err = appendOp(c.queued, o); err != nil {
			// What belongs together is not sent in part.
			c.queued, c.closed = c.queued[:at], true
			c.conn.Close()
			return
		}
	}
	c.unanswered += len(ops)
}

// Flush writes what is queued.
func (c *databaseConn) Flush() { c.flush() }

// Close closes the connection. One with an operation in flight is reset: what of it has not
// arrived yet, in a partitioned network, never will.
func (c *databaseConn) Close() {
	c.mu.Lock()
	c.closed = true
	inFlight := c.unanswered > 0
	c.mu.Unlock()
	if inFlight {
		resetOnClose(c.conn)
	}
	c.conn.Close()
}

// Read waits for an answer, and appends it and the complete ones behind it.
func (c *databaseConn) Read(into []ports.Response) ([]ports.Response, error) {
	for {
		a, err := c.readAnswer()
		if err != nil {
			return into, err
		}
		into = append(into, a)
		if !answerBuffered(c.reader) {
			return into, nil
		}
	}
}

// readAnswer waits for the answer to the oldest operation without one. What arrives while
// there is none is unsolicited.
func (c *databaseConn) readAnswer() (ports.Response, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return ports.Response{}, err
	}
	c.mu.Lock()
	pending := c.unanswered > 0
	c.mu.Unlock()
	if !pending {
		return ports.Response{}, errUnsolicitedAnswer
	}
	a, err := readAnswer(c.reader)
	if err == nil {
		c.mu.Lock()
		c.unanswered--
		c.mu.Unlock()
	}
	return a, err
}

// idleAndOpen reports whether a connection without an operation in flight is open, and
// nothing arrived on it.
func (c *databaseConn) idleAndOpen() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.rawConn == nil {
		return true
	}
	var err error
	var b [1]byte
	controlErr := c.rawConn.Read(func(fd uintptr) bool {
		_, err = syscall.Read(int(fd), b[:])
		return true
	})
	return controlErr == nil && err == syscall.EAGAIN
}

var readyLine = []byte(crlf + verbReady + " ")

// answerBuffered reports whether the next answer is in the reader's buffer completely.
func answerBuffered(reader *bufio.Reader) bool {
	n := reader.Buffered()
	if n == 0 {
		return false
	}
	data, err := reader.Peek(n)
	if err != nil {
		return false
	}
	i := bytes.Index(data, readyLine)
	return i >= 0 && bytes.Contains(data[i+len(crlf):], []byte(crlf))
}
