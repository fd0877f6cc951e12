package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"stoneford/internal/ports"
	"stoneford/internal/sessionpool"
)

const (
	replicationDelay = 2 * time.Millisecond  // until a replica receives the primary's log
	promotionDelay   = 80 * time.Millisecond // from the platform's reply until the promotion
)

var errEnded = errors.New("the connection ended")

// entry is one commit: the term and text of a caller's confirmation, and the revision of
// the routing table by which the node sent it.
type entry struct {
	term  uint64
	text  string
	table uint64
}

// database emulates one database of the group in memory.
type database struct {
	group             *databaseGroup
	id                string
	zone              string
	primary           bool
	term              uint64
	frozenTerm        uint64
	log               []entry
	announcements     uint64
	receivedByReplica map[string]int // of a primary: length of the log that each replica has received in its term
	syncWaits         []syncWait
}

// syncWait is a commit that waits until a replica has received it. done receives true once
// a replica has, or false if the primary steps down first.
type syncWait struct {
	position int
	done     chan bool
}

// databaseGroup emulates the databases of the group and the platform that promotes them.
type databaseGroup struct {
	mu         sync.Mutex
	databases  []*database
	newestTerm uint64
	changed    chan *database
}

// newDatabaseGroup returns a group with one database in each zone. The first is the primary
// of term 1.
func newDatabaseGroup(zones []string) *databaseGroup {
	s := &databaseGroup{newestTerm: 1, changed: make(chan *database, 64)}
	for i, z := range zones {
		s.databases = append(s.databases, &database{group: s, id: fmt.Sprintf("orders-%d", i+1), zone: z, primary: i == 0, term: 1, receivedByReplica: map[string]int{}})
	}
	return s
}

func (s *databaseGroup) find(id string) *database {
	for _, d := range s.databases {
		if d.id == id {
			return d
		}
	}
	return nil
}

// position returns the position of the newest commit in the log.
func (d *database) position() ports.Position {
	if n := len(d.log); n > 0 {
		return ports.Position{Term: d.log[n-1].term, Number: int64(n)}
	}
	return ports.Position{}
}

// queueAnnouncement makes siteMove.announce announce the database at once. It may be called
// while the group is locked and never blocks.
func (d *database) queueAnnouncement() {
	select {
	case d.group.changed <- d:
	default: // the next announcement at the interval reports the change
	}
}

// replicateTo sends the current log to a replica, which receives it after replicationDelay.
func (d *database) replicateTo(o *database) {
	log, term := d.log[:len(d.log):len(d.log)], d.term
	time.AfterFunc(replicationDelay, func() {
		d.group.mu.Lock()
		defer d.group.mu.Unlock()
		if o.primary || o.frozenTerm > 0 || term < o.term {
			return
		}
		if term == o.term && len(log) < len(o.log) {
			log = o.log // the replica has received a longer log of this term before
		}
		o.term, o.log = term, log
		if d.primary && d.term == term {
			d.receivedByReplica[o.id] = max(d.receivedByReplica[o.id], len(log))
			d.completeSyncWaits()
		}
	})
}

func (d *database) replicateToAll() {
	for _, o := range d.group.databases {
		if o != d {
			d.replicateTo(o)
		}
	}
}

// completeSyncWaits acknowledges the commits that at least one replica has received.
func (d *database) completeSyncWaits() {
	newest := 0
	for _, n := range d.receivedByReplica {
		newest = max(newest, n)
	}
	var left []syncWait
	for _, w := range d.syncWaits {
		if w.position <= newest {
			w.done <- true
		} else {
			left = append(left, w)
		}
	}
	d.syncWaits = left
}

// stepDown ends the primary role. Commits that still wait for a replica fail.
func (d *database) stepDown() {
	d.primary = false
	for _, w := range d.syncWaits {
		w.done <- false
	}
	d.syncWaits = nil
	d.queueAnnouncement()
}

// run executes an operation that a node sent by a revision of the routing table. It returns
// false if the connection has to end because the primary stepped down.
func (d *database) run(o ports.Op, table uint64) (ports.Response, bool) {
	d.group.mu.Lock()
	if d.position().Before(o.MinPosition) {
		defer d.group.mu.Unlock()
		return ports.Response{Code: ports.Lagging, Text: d.id}, true
	}
	a := ports.Response{Body: []byte("done"), Stamped: !o.Internal, Position: d.position()}
	if o.Internal || o.Statement.Kind != ports.Write {
		d.group.mu.Unlock()
		return a, true
	}
	if !d.primary {
		d.group.mu.Unlock()
		return ports.Response{Code: ports.ReadOnly, Text: d.id}, true
	}
	d.log = append(d.log[:len(d.log):len(d.log)], entry{d.term, o.Statement.Text, table})
	a.Position = d.position()
	w := syncWait{len(d.log), make(chan bool, 1)}
	d.syncWaits = append(d.syncWaits, w)
	d.replicateToAll()
	d.group.mu.Unlock()
	return a, <-w.done
}

// Do implements ports.DatabaseClient.
func (s *databaseGroup) Do(_ context.Context, _, _, id string, op ports.Op) (ports.DatabaseStatus, ports.Code, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.find(id)
	if d == nil {
		return ports.DatabaseStatus{}, ports.WrongInstance, nil
	}
	switch op.Statement.Kind {
	case ports.FreezeReplication:
		switch {
		case d.primary || op.Term == d.frozenTerm:
		case op.Term <= d.term:
			return ports.DatabaseStatus{}, ports.Malformed, nil
		default:
			d.frozenTerm = max(d.frozenTerm, op.Term)
		}
	case ports.ResumeReplication:
		d.frozenTerm = 0
		for _, p := range s.databases {
			if p.primary && p.term == s.newestTerm && p != d {
				p.replicateTo(d)
			}
		}
	case ports.StepDown:
		if d.primary && d.term < op.Term {
			d.stepDown()
		}
	}
	return ports.DatabaseStatus{Primary: d.primary, Term: d.term, Received: d.position(), FrozenTerm: d.frozenTerm}, ports.Done, nil
}

// Promote implements ports.Provider.
func (s *databaseGroup) Promote(_ context.Context, _, id, _ string, _ uint64) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.find(id)
	if d == nil {
		return http.StatusConflict, nil
	}
	if d.primary {
		return http.StatusOK, nil
	}
	time.AfterFunc(promotionDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if d.primary {
			return
		}
		s.newestTerm++
		d.primary, d.term, d.frozenTerm, d.receivedByReplica = true, s.newestTerm, 0, map[string]int{}
		d.replicateToAll()
		d.queueAnnouncement()
	})
	return http.StatusOK, nil
}

// connection is a connection of a node to a database. It executes queued operations in
// order.
type connection struct {
	database   *database
	table      func() uint64
	mu         sync.Mutex
	changed    *sync.Cond // signals changes of operations, results and ended
	operations []sentRequest
	results    []ports.Response
	ended      bool
}

// sentRequest is an operation with the revision of the routing table by which it was sent.
type sentRequest struct {
	operation ports.Op
	table     uint64
}

// dialer opens a node's connections to databases.
type dialer struct {
	group *databaseGroup
	table func() uint64
}

func (l dialer) Dial(_ context.Context, _, _, id string) (sessionpool.DatabaseConnection, ports.Position, ports.Code, error) {
	l.group.mu.Lock()
	defer l.group.mu.Unlock()
	d := l.group.find(id)
	if d == nil {
		return nil, ports.Position{}, ports.WrongInstance, errors.New("another database is there")
	}
	c := &connection{database: d, table: l.table}
	c.changed = sync.NewCond(&c.mu)
	go c.work()
	return c, d.position(), ports.Done, nil
}

func (c *connection) Queue(ops []ports.Op) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range ops {
		c.operations = append(c.operations, sentRequest{o, c.table()})
	}
	c.changed.Broadcast()
}

func (c *connection) Flush() {}

// work executes the queued operations until the connection ends.
func (c *connection) work() {
	for {
		c.mu.Lock()
		for len(c.operations) == 0 && !c.ended {
			c.changed.Wait()
		}
		if len(c.operations) == 0 {
			c.mu.Unlock()
			return
		}
		o := c.operations[0]
		c.operations = c.operations[1:]
		c.mu.Unlock()
		a, ok := c.database.run(o.operation, o.table)
		c.mu.Lock()
		if ok {
			c.results = append(c.results, a)
		} else {
			c.ended, c.operations = true, nil
		}
		c.changed.Broadcast()
		c.mu.Unlock()
	}
}

func (c *connection) Read(into []ports.Response) ([]ports.Response, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.results) == 0 && !c.ended {
		c.changed.Wait()
	}
	if len(c.results) == 0 {
		return into, fmt.Errorf("%w: %w", errEnded, io.EOF)
	}
	into = append(into, c.results...)
	c.results = nil
	return into, nil
}

func (c *connection) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.changed.Broadcast()
}
