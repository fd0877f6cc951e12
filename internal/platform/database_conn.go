package platform

import (
	"bufio"
	"bytes"
	"syscall"

	"stoneford/internal/ports"
)

// databaseConn is one connection to a database. Answers carry no ID and arrive in the order
// of the operations; an unsolicited answer makes the connection unusable. It implements
// sessionpool.DatabaseConnection.
type databaseConn struct {
	outbox
	reader     *bufio.Reader
	unanswered int // operations without a complete answer, guarded by mu
}

// Queue queues either all operations or none: if one cannot be sent, it queues none and
// closes the connection.
func (c *databaseConn) Queue(ops []ports.Op) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := len(c.queued)
	for _, o := range ops {
		var err error
		if c.queued, err = appendOp(c.queued, o); err != nil {
			// The operations depend on each other, so none is sent without the others.
			c.queued, c.closed = c.queued[:at], true
			c.conn.Close()
			return
		}
	}
	c.unanswered += len(ops)
}

// Flush writes the queued operations.
func (c *databaseConn) Flush() { c.flush() }

// Close closes the connection. If an operation is in flight, it resets the connection, so
// that an operation delayed by a partition does not arrive later.
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

// Read waits for an answer, and appends it and the complete answers that are buffered after
// it.
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

// readAnswer waits for the answer to the oldest unanswered operation. It returns
// errUnsolicitedAnswer if data arrives while no operation is in flight.
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

// idleAndOpen reports whether a connection without operations in flight is still open and
// has received no data.
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

// readyLine is the end of a line, followed by the start of the READY line that ends an answer.
var readyLine = []byte(crlf + verbReady + " ")

// answerBuffered reports whether the reader's buffer contains the complete next answer.
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
