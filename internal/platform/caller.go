package platform

import (
	"bufio"
	"errors"
	"net"
	"time"

	"stoneford/internal/ports"
	"stoneford/internal/sessionpool"
)

const (
	callerReadBufferBytes = 2 << 10
	// connectTimeout limits how long a new connection may take to send CONNECT. A longer
	// timeout lets connections that never do so occupy file descriptors.
	connectTimeout = 10 * time.Second
	// maxQueuedReplyBytes is the size of the queued replies above which the caller's
	// next statement waits.
	maxQueuedReplyBytes = 256 << 10

	textMessageTooLong = "a message is 1 MiB at most"
)

// callerConn is the connection of one caller. It implements sessionpool.Client.
type callerConn struct {
	outbox
	reader           *bufio.Reader
	openPending      bool // CONNECT has not been replied to
	statementPending bool // a statement has not been replied to
	sessionEnded     bool
}

func newCallerConn(netConn net.Conn) *callerConn {
	caller := &callerConn{reader: bufio.NewReaderSize(netConn, callerReadBufferBytes), openPending: true}
	caller.init(netConn)
	return caller
}

// Reply queues the reply to CONNECT, or to the statement in progress.
func (c *callerConn) Reply(r ports.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessionEnded {
		return
	}
	if c.openPending {
		c.queued = appendConnectReply(c.queued, r)
		c.openPending = false
		c.closeWhenWritten = c.closeWhenWritten || r.Code != ports.Done
		c.sessionEnded = c.closeWhenWritten
	} else {
		c.queued = appendReply(c.queued, r)
	}
	c.statementPending = false
	c.stateChanged.Signal()
}

// Close closes the session after all queued replies are written.
func (c *callerConn) Close() {
	c.mu.Lock()
	c.closeWhenWritten, c.sessionEnded, c.statementPending = true, true, false
	c.stateChanged.Signal()
	c.mu.Unlock()
}

// Flush writes the queued replies.
func (c *callerConn) Flush() { c.flush() }

// awaitPreviousReply waits until the caller's next statement may be processed: the previous
// one has been replied to, and at most maxQueuedReplyBytes of replies are queued. It returns
// false if the session has ended.
func (c *callerConn) awaitPreviousReply() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for (c.statementPending || len(c.queued) > maxQueuedReplyBytes) && !c.closed && !c.sessionEnded {
		c.stateChanged.Wait()
	}
	if c.closed || c.sessionEnded {
		return false
	}
	c.statementPending = true
	return true
}

// run serves the connection until the caller closes it or the session ends.
func (c *callerConn) run(handler sessionpool.SessionHandler) {
	defer c.conn.Close()
	defer c.stopWriting()
	host, ok := c.connect()
	if !ok {
		return
	}
	c.statementPending = true
	id := handler.SessionOpened(c, host)
	defer handler.SessionClosed(id)
	c.serveStatements(id, handler)
}

// connect reads the CONNECT message that opens the session, and returns its host. It returns
// false, after replying with an error if possible, if the message is missing or invalid.
func (c *callerConn) connect() (host string, ok bool) {
	if c.conn.SetReadDeadline(time.Now().Add(connectTimeout)) != nil {
		return "", false
	}
	message, err := readMessage(c.reader)
	switch {
	case errors.Is(err, ErrMessageTooLong):
		c.rejectWith(ports.TooLarge, textMessageTooLong)
		return "", false
	case err != nil, message.verb == verbClose:
		return "", false
	case message.verb != verbConnect || message.host == "":
		c.rejectWith(ports.Malformed, "a session begins with CONNECT and a name")
		return "", false
	}
	return message.host, c.conn.SetReadDeadline(time.Time{}) == nil
}

// serveStatements passes statements to the handler, one at a time, until the caller closes
// the connection or the session ends.
func (c *callerConn) serveStatements(id uint64, handler sessionpool.SessionHandler) {
	for {
		message, err := readMessage(c.reader)
		tooLong := errors.Is(err, ErrMessageTooLong)
		if err != nil && !tooLong || message.verb == verbClose {
			return
		}
		if !c.awaitPreviousReply() {
			c.discardInput()
			return
		}
		switch {
		case tooLong:
			c.rejectWith(ports.TooLarge, textMessageTooLong)
			return
		case message.verb == verbQuery:
			handler.StatementReceived(id, message.statement)
		default:
			handler.StatementReceived(id, malformed("", "not a word for callers"))
		}
	}
}

// stopWriting makes the connection drop all replies from now on.
func (c *callerConn) stopWriting() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
}

// rejectWith replies with an error and closes the connection.
func (c *callerConn) rejectWith(code ports.Code, text string) {
	c.Reply(ports.Reply{Code: code, Text: text})
	c.Close()
	c.Flush()
	c.discardInput()
}

// discardInput reads until the caller closes its side or lingerTimeout has passed: closing
// the connection with unread input would reset it and lose replies.
func (c *callerConn) discardInput() {
	for {
		if _, err := c.reader.Discard(c.reader.Size()); err != nil {
			return
		}
	}
}
