package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"
)

// sessionClient holds one session at a time at a pool node, and uses its connection until it
// breaks. It writes rising values to a row of its own, and checks that each read shows the
// newest value that was acknowledged to the session in the service that answered.
type sessionClient struct {
	fleet   *fleet
	history *history
	machine *machine
	name    string
	host    string
	rand    *rand.Rand
	opened  int // number of sessions

	conn         net.Conn
	reader       *bufio.Reader
	row          string
	value        int64            // newest value that the session sent
	acknowledged map[string]int64 // newest acknowledged value, by service
}

// operationInterval is the longest time between two operations of a session.
const operationInterval = 60 * time.Millisecond

func newSessionClient(f *fleet, h *history, m *machine, i int) *sessionClient {
	return &sessionClient{fleet: f, history: h, machine: m, name: fmt.Sprintf("client-%d", i), host: sessionHost(i % sessionHosts), rand: rand.New(rand.NewPCG(f.options.seed, 0x7365+uint64(i)))}
}

// run opens sessions one after the other until the context is cancelled.
func (c *sessionClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.open(ctx) {
			c.useSession(ctx)
			c.conn.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.rand.Int64N(int64(operationInterval)))):
		}
	}
}

// open opens a new session, with a row that no other session writes.
func (c *sessionClient) open(ctx context.Context) bool {
	conn, err := (&net.Dialer{Timeout: sessionTimeout}).DialContext(ctx, "tcp", address(c.machine.ip, callerPort))
	if err != nil {
		return false
	}
	c.opened++
	c.conn, c.reader = conn, bufio.NewReader(conn)
	c.row, c.value, c.acknowledged = fmt.Sprintf("%s-%d", c.name, c.opened), 0, map[string]int64{}
	if conn.SetDeadline(time.Now().Add(sessionTimeout)) != nil {
		return false
	}
	fmt.Fprintf(conn, "CONNECT %s soak\r\n", c.host)
	if fields := readFields(c.reader); len(fields) < 2 || fields[0] != "READY" {
		conn.Close()
		return false
	}
	return true
}

// useSession runs operations until the connection breaks or the context is cancelled.
func (c *sessionClient) useSession(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.operate() {
			return
		}
		time.Sleep(time.Duration(c.rand.Int64N(int64(operationInterval))))
	}
}

// operate runs one operation: a read or a write, alone or in a transaction. It returns false
// if the connection broke.
func (c *sessionClient) operate() bool {
	write := c.rand.IntN(3) == 0
	if c.rand.IntN(3) > 0 {
		a := c.operation(write)
		return a.complete
	}
	begin := "BEGIN FETCH"
	if write {
		begin = "BEGIN"
	}
	if a := c.call(begin); !a.done() {
		return c.abort(a)
	}
	if a := c.operation(write); !a.done() {
		return c.abort(a)
	}
	a := c.call("COMMIT")
	if a.done() && write {
		c.recordCommit(a.service)
	}
	return c.abort(a)
}

// operation sends one write or read. It records a write outside a transaction as committed,
// and checks the value of a read.
func (c *sessionClient) operation(write bool) sessionAnswer {
	if !write {
		a := c.call("FETCH " + c.row)
		if a.done() {
			c.checkRead(a)
		}
		return a
	}
	c.value++
	a := c.call(fmt.Sprintf("STORE %s %d", c.row, c.value))
	if a.done() && a.state == stateIdle {
		c.recordCommit(a.service)
	}
	return a
}

// abort ends a transaction that is still open after an answer. It returns false if the
// connection broke.
func (c *sessionClient) abort(a sessionAnswer) bool {
	if a.complete && a.state != stateIdle {
		a = c.call("ABORT")
	}
	return a.complete
}

// recordCommit records that the newest value was acknowledged as committed in a service.
func (c *sessionClient) recordCommit(service string) {
	c.acknowledged[service] = c.value
	c.history.count(func(n *counts) { n.Writes++ })
}

// checkRead checks that a read shows the newest acknowledged value of the service that it ran
// in, or a later one whose outcome is unknown.
func (c *sessionClient) checkRead(a sessionAnswer) {
	c.history.count(func(n *counts) { n.SessionReads++ })
	value, err := strconv.ParseInt(a.row, 10, 64)
	if err != nil && a.row != noValue {
		c.violation("read of %s at %s: got %q, want a number or %q", c.row, a.database, a.row, noValue)
		return
	}
	if want := c.acknowledged[a.service]; value < want {
		c.violation("read of %s at %s: got %q, want at least %d, which was acknowledged to the session in %s", c.row, a.database, a.row, want, a.service)
	}
}

func (c *sessionClient) violation(format string, args ...any) {
	c.history.mu.Lock()
	defer c.history.mu.Unlock()
	c.history.addViolation("%s on %s: %s", c.name, c.machine.name, fmt.Sprintf(format, args...))
}

// sessionAnswer is the answer to a statement of a session.
type sessionAnswer struct {
	complete bool   // the answer came to its end
	code     string // empty if the statement succeeded
	row      string
	database string // that answered, empty if the node did
	service  string // of the database
	state    string
}

// done reports whether the statement succeeded.
func (a sessionAnswer) done() bool { return a.complete && a.code == "" }

// call sends a statement and reads the answer.
func (c *sessionClient) call(statement string) sessionAnswer {
	if c.conn.SetDeadline(time.Now().Add(sessionTimeout)) != nil {
		return sessionAnswer{}
	}
	if _, err := fmt.Fprintf(c.conn, "QUERY %016x %s\r\n", c.rand.Uint64(), statement); err != nil {
		return sessionAnswer{}
	}
	var a sessionAnswer
	for {
		fields := readFields(c.reader)
		switch {
		case len(fields) < 2:
			c.history.count(func(n *counts) { n.BrokenSessions++ })
			return sessionAnswer{}
		case fields[0] == "ROW":
			a.row = fields[1]
		case fields[0] == "COMPLETE":
			a.database, _, _ = strings.Cut(fields[1], ".")
			a.service = serviceOf(a.database)
		case fields[0] == "STMTERR":
			a.code = fields[1]
		case fields[0] == "READY":
			a.complete, a.state = true, fields[1]
			return a
		}
	}
}
