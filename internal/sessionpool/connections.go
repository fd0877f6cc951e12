package sessionpool

import (
	"context"
	"errors"
	"net"
	"syscall"

	"stoneford/internal/ports"
	"stoneford/internal/sessiontable"
)

// connection is a connection to a database, open or being opened.
type connection struct {
	db     DatabaseConnection // nil while the connection is being opened
	ctx    context.Context
	cancel context.CancelFunc
}

func (c *connection) close() {
	c.cancel()
	if c.db != nil {
		c.db.Close()
	}
}

// serveConnection opens a connection to a database and reads answers until it ends.
func (p *Process) serveConnection(connect sessiontable.Connect, conn *connection) {
	defer conn.cancel()
	ctx, stop := context.WithTimeout(conn.ctx, fromMicroseconds(connect.TimeoutUs))
	database, position, code, err := p.adapters.Dialer.Dial(ctx, connect.Address, connect.Group, connect.ID)
	stop()
	if err != nil {
		p.connectFailed(connect.Conn, conn, code, err)
		return
	}
	defer database.Close()
	if p.connected(connect.Conn, conn, database, position, code) {
		p.readAnswers(connect.Conn, conn, database)
	}
}

// connected reports an open connection to the core. It returns false if the core has
// already closed the connection.
func (p *Process) connected(id uint64, conn *connection, database DatabaseConnection, position ports.Position, code ports.Code) bool {
	p.mu.Lock()
	if p.connections[id] != conn {
		p.mu.Unlock()
		return false
	}
	conn.db = database
	p.stepLocked(sessiontable.ConnectFinished{Conn: id, Position: position, Code: code})
	return true
}

// connectFailed reports a failed connect to the core, unless the core has already closed
// the connection.
func (p *Process) connectFailed(id uint64, conn *connection, code ports.Code, err error) {
	p.mu.Lock()
	if p.connections[id] != conn {
		p.mu.Unlock()
		return
	}
	delete(p.connections, id)
	p.stepLocked(sessiontable.ConnectFinished{Conn: id, Code: code, Err: err.Error(), ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED), Disconnected: disconnected(err)})
}

// readAnswers passes answers to the core until the connection ends or the core closes it.
// Answers that arrive together are processed in one step.
func (p *Process) readAnswers(id uint64, conn *connection, database DatabaseConnection) {
	var answers []ports.Response
	var events []sessiontable.Event
	var err error
	for err == nil {
		answers, err = database.Read(answers[:0])
		events = events[:0]
		for i, answer := range answers {
			events = append(events, sessiontable.AnswerReceived{Conn: id, Answer: answer})
			answers[i] = ports.Response{} // let the body be garbage-collected
		}
		p.mu.Lock()
		if p.connections[id] != conn {
			p.mu.Unlock()
			return
		}
		if err != nil {
			delete(p.connections, id)
			events = append(events, sessiontable.ConnectionLost{Conn: id, Err: err.Error(), Disconnected: disconnected(err)})
		}
		p.stepLocked(events...)
	}
}

// disconnected reports whether an error means that the other side ended the connection,
// rather than that it did not respond in time.
func disconnected(err error) bool {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return false
	}
	return !errors.Is(err, syscall.ETIMEDOUT) && !errors.Is(err, syscall.EHOSTUNREACH)
}
