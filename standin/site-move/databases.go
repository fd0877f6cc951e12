package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"stoneford/ports"
	"stoneford/sessionpool"
)

const (
	copyTime    = 2 * time.Millisecond
	promoteTime = 80 * time.Millisecond
)

var errEnded = errors.New("the connection ended")

// entry is one commit: a caller's confirmation, and the routing table that the
// node worked by that sent it.
type entry struct {
	term  uint64
	text  string
	table uint64
}

// database is one copy of the group, in memory.
type database struct {
	s       *store
	id      string
	zone    string
	primary bool
	term    uint64
	held    uint64
	log     []entry
	calls   uint64
	got     map[string]int // what each follower confirmed, of a primary's term
	waits   []wait
}

type wait struct {
	n   int
	end chan bool
}

// store is the group's databases and the platform that promotes them.
type store struct {
	mu      sync.Mutex
	dbs     []*database
	terms   uint64
	changed chan *database
}

func newStore(zones []string) *store {
	s := &store{terms: 1, changed: make(chan *database, 64)}
	for i, z := range zones {
		s.dbs = append(s.dbs, &database{s: s, id: fmt.Sprintf("orders-%d", i+1), zone: z, primary: i == 0, term: 1, got: map[string]int{}})
	}
	return s
}

func (s *store) find(id string) *database {
	for _, d := range s.dbs {
		if d.id == id {
			return d
		}
	}
	return nil
}

func (d *database) position() ports.Position {
	if n := len(d.log); n > 0 {
		return ports.Position{Term: d.log[n-1].term, Number: int64(n)}
	}
	return ports.Position{}
}

func (d *database) tell() {
	select {
	case d.s.changed <- d:
	default: // it announces itself again anyway
	}
}

// offer has a follower receive the log as it stands, a little later.
func (d *database) offer(o *database) {
	log, term := d.log[:len(d.log):len(d.log)], d.term
	time.AfterFunc(copyTime, func() {
		d.s.mu.Lock()
		defer d.s.mu.Unlock()
		if o.primary || o.held > 0 || term < o.term {
			return
		}
		if term == o.term && len(log) < len(o.log) {
			log = o.log // an older offer
		}
		o.term, o.log = term, log
		if d.primary && d.term == term {
			d.got[o.id] = max(d.got[o.id], len(log))
			d.confirm()
		}
	})
}

func (d *database) offerAll() {
	for _, o := range d.s.dbs {
		if o != d {
			d.offer(o)
		}
	}
}

func (d *database) confirm() {
	most := 0
	for _, n := range d.got {
		most = max(most, n)
	}
	var left []wait
	for _, w := range d.waits {
		if w.n <= most {
			w.end <- true
		} else {
			left = append(left, w)
		}
	}
	d.waits = left
}

func (d *database) stepDown() {
	d.primary = false
	for _, w := range d.waits {
		w.end <- false
	}
	d.waits = nil
	d.tell()
}

// run runs one op of a connection; false ends the connection.
func (d *database) run(o ports.Op, table uint64) (ports.Answer, bool) {
	d.s.mu.Lock()
	if d.position().Before(o.After) {
		defer d.s.mu.Unlock()
		return ports.Answer{Code: ports.Lagging, Text: d.id}, true
	}
	a := ports.Answer{Body: []byte("done"), Stamped: !o.Own, Position: d.position()}
	if o.Own || o.St.Kind != ports.Write {
		d.s.mu.Unlock()
		return a, true
	}
	if !d.primary {
		d.s.mu.Unlock()
		return ports.Answer{Code: ports.ReadOnly, Text: d.id}, true
	}
	d.log = append(d.log[:len(d.log):len(d.log)], entry{d.term, o.St.Text, table})
	a.Position = d.position()
	w := wait{len(d.log), make(chan bool, 1)}
	d.waits = append(d.waits, w)
	d.offerAll()
	d.s.mu.Unlock()
	return a, <-w.end
}

// Do implements ports.Databases.
func (s *store) Do(_ context.Context, _, _, id string, op ports.Op) (ports.DatabaseStatus, ports.Code, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.find(id)
	if d == nil {
		return ports.DatabaseStatus{}, ports.WrongInstance, nil
	}
	switch op.St.Kind {
	case ports.Hold:
		switch {
		case d.primary || op.Term == d.held:
		case op.Term <= d.term:
			return ports.DatabaseStatus{}, ports.Malformed, nil
		default:
			d.held = max(d.held, op.Term)
		}
	case ports.Resume:
		d.held = 0
		for _, p := range s.dbs {
			if p.primary && p.term == s.terms && p != d {
				p.offer(d)
			}
		}
	case ports.StepDown:
		if d.primary && d.term < op.Term {
			d.stepDown()
		}
	}
	return ports.DatabaseStatus{Primary: d.primary, Term: d.term, Received: d.position(), Held: d.held}, ports.Done, nil
}

// Promote implements ports.Provider.
func (s *store) Promote(_ context.Context, _, id, _ string, _ uint64) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.find(id)
	if d == nil {
		return http.StatusConflict, nil
	}
	if d.primary {
		return http.StatusOK, nil
	}
	time.AfterFunc(promoteTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if d.primary {
			return
		}
		s.terms++
		d.primary, d.term, d.held, d.got = true, s.terms, 0, map[string]int{}
		d.offerAll()
		d.tell()
	})
	return http.StatusOK, nil
}

// connection is a node's to a database.
type connection struct {
	d     *database
	table func() uint64
	mu    sync.Mutex
	more  *sync.Cond
	ops   []sent
	out   []ports.Answer
	ended bool
}

type sent struct {
	op    ports.Op
	table uint64
}

// dialer opens one node's connections.
type dialer struct {
	s     *store
	table func() uint64
}

func (l dialer) Dial(_ context.Context, _, _, id string) (sessionpool.Database, ports.Position, ports.Code, error) {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	d := l.s.find(id)
	if d == nil {
		return nil, ports.Position{}, ports.WrongInstance, errors.New("another database is there")
	}
	c := &connection{d: d, table: l.table}
	c.more = sync.NewCond(&c.mu)
	go c.work()
	return c, d.position(), ports.Done, nil
}

func (c *connection) Queue(ops []ports.Op) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range ops {
		c.ops = append(c.ops, sent{o, c.table()})
	}
	c.more.Broadcast()
}

func (c *connection) Flush() {}

func (c *connection) work() {
	for {
		c.mu.Lock()
		for len(c.ops) == 0 && !c.ended {
			c.more.Wait()
		}
		if len(c.ops) == 0 {
			c.mu.Unlock()
			return
		}
		o := c.ops[0]
		c.ops = c.ops[1:]
		c.mu.Unlock()
		a, ok := c.d.run(o.op, o.table)
		c.mu.Lock()
		if ok {
			c.out = append(c.out, a)
		} else {
			c.ended, c.ops = true, nil
		}
		c.more.Broadcast()
		c.mu.Unlock()
	}
}

func (c *connection) Read(into []ports.Answer) ([]ports.Answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.out) == 0 && !c.ended {
		c.more.Wait()
	}
	if len(c.out) == 0 {
		return into, fmt.Errorf("%w: %w", errEnded, io.EOF)
	}
	into = append(into, c.out...)
	c.out = nil
	return into, nil
}

func (c *connection) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.more.Broadcast()
}
