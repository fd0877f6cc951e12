package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// service is the data that the databases of one service hold: a log of commits in term 1,
// all made by the same primary.
type service struct {
	name string

	mu          sync.Mutex
	committedAt []time.Time         // by position, from 1 on
	rows        map[string][]rowSet // by row, in order of position
}

// rowSet is a value that a commit gave to a row.
type rowSet struct {
	position int
	value    string
}

func newService(name string) *service { return &service{name: name, rows: map[string][]rowSet{}} }

// commit appends a commit that sets rows, and returns its position.
func (s *service) commit(values map[string]string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.committedAt = append(s.committedAt, time.Now())
	position := len(s.committedAt)
	for row, value := range values {
		s.rows[row] = append(s.rows[row], rowSet{position, value})
	}
	return position
}

// commitsBefore returns the number of commits made before a time.
func (s *service) commitsBefore(at time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.committedAt)
	for n > 0 && !s.committedAt[n-1].Before(at) {
		n--
	}
	return n
}

// read returns the value of a row at a position, noValue if it has none.
func (s *service) read(row string, position int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.rows[row]) - 1; i >= 0; i-- {
		if s.rows[row][i].position <= position {
			return s.rows[row][i].value
		}
	}
	return noValue
}

const (
	// serviceRow is the row that holds the name of the service, so that probe clients can
	// check to which service a host is routed.
	serviceRow = "thing"
	// noValue is the value of a row that was never written.
	noValue = "none"
)

// Transaction states of the platform's wire.
const (
	stateIdle          = "I"
	stateInTransaction = "T"
	stateFailed        = "E"
)

// databaseConnection is a connection to a database with its open transaction.
type databaseConnection struct {
	database *database
	state    string
	readOnly bool              // the open transaction only reads
	writes   map[string]string // rows that the open transaction sets
}

// ready returns the end of an answer: the state and the position.
func (c *databaseConnection) ready() string {
	return fmt.Sprintf("READY %s 1.%d\r\n", c.state, c.database.applied())
}

// done returns the answer to a statement that the database ran.
func (c *databaseConnection) done(rows ...string) string {
	var b strings.Builder
	for _, row := range rows {
		fmt.Fprintf(&b, "ROW %s\r\n", row)
	}
	fmt.Fprintf(&b, "COMPLETE %s.%d\r\n", c.database.id, c.database.calls.Add(1))
	return b.String() + c.ready()
}

// completed returns the answer to a statement that only changes the connection.
func (c *databaseConnection) completed() string { return "COMPLETE -\r\n" + c.ready() }

// failed returns the answer to a statement that the database did not run, and fails its
// transaction.
func (c *databaseConnection) failed(code string) string {
	if c.state != stateIdle {
		c.state = stateFailed
	}
	return fmt.Sprintf("STMTERR %s %s\r\n", code, c.database.id) + c.ready()
}

// reply returns the answer to a statement.
func (c *databaseConnection) reply(fields []string) string {
	required := 0
	if len(fields) > 2 && fields[0] == "AFTERPOS" {
		required, _ = strconv.Atoi(strings.TrimPrefix(fields[1], "1."))
		fields = fields[2:]
	}
	d := c.database
	switch fields[0] {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return fmt.Sprintf("ROW %s 1 1.%d 0 0 0 1\r\n", d.role(), d.applied()) + c.completed()
	case "RESET", "SETVAR", "PREPARE", "RELEASE":
		return c.completed()
	case "ABORT":
		c.state, c.writes = stateIdle, nil
		return c.completed()
	}
	if c.state == stateFailed {
		return c.failed("MALFORMED")
	}
	if d.applied() < required {
		return c.failed("LAGGING")
	}
	return c.run(fields)
}

// run runs a statement of a caller.
func (c *databaseConnection) run(fields []string) string {
	d := c.database
	switch fields[0] {
	case "BEGIN":
		c.readOnly = len(fields) > 1
		if !d.primary && !c.readOnly {
			return c.failed("READONLY")
		}
		c.state, c.writes = stateInTransaction, map[string]string{}
		return c.completed()
	case "FETCH":
		return c.done(c.fetch(fields[1]))
	case "STORE":
		return c.store(fields[1], fields[2])
	case "COMMIT":
		c.state = stateIdle
		if len(c.writes) > 0 {
			d.service.commit(c.writes)
		}
		c.writes = nil
		return c.done()
	}
	return c.failed("MALFORMED")
}

// fetch returns the value of a row, as the open transaction sees it.
func (c *databaseConnection) fetch(row string) string {
	if row == serviceRow {
		return c.database.service.name
	}
	if value, ok := c.writes[row]; ok {
		return value
	}
	return c.database.service.read(row, c.database.applied())
}

// store sets a row, at once or with the open transaction.
func (c *databaseConnection) store(row, value string) string {
	switch {
	case !c.database.primary || c.state == stateInTransaction && c.readOnly:
		return c.failed("READONLY")
	case c.state == stateInTransaction:
		c.writes[row] = value
	default:
		c.database.service.commit(map[string]string{row: value})
	}
	return c.done()
}
