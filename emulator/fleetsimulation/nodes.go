package fleetsimulation

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"stoneford/internal/coordinator"
	"stoneford/internal/learner"
	"stoneford/internal/ports"
	"stoneford/internal/sessionpool"
	"stoneford/internal/sessiontable"
	"stoneford/schema"
	"stoneford/statemachine"
)

const (
	firstPort                = 7440
	unackedBytesTimeoutUs    = 1_500_000 // bytes that are not acknowledged for so long break a connection
	unreachablePeerTimeoutUs = 3_000_000 // a database drops a connection whose far end is dark so long
	keepAliveIntervalUs      = 5_000_000
)

// Node is one pool node's process.
type Node struct {
	process
	zone           string
	boot           ports.ProcessConfig
	core           *sessionpool.Core
	sessions       map[uint64]*Session
	streams        map[uint64]*stream
	lastID         uint64
	newestRevision uint64 // newest revision seen in force in this run
	ready          bool   // as the platform sees it
	misses         int
	startUs        int64
}

func (f *Fleet) startNode(n *Node) {
	n.begin()
	n.clockRate = f.rate()
	if f.Plan.Mutation == SlowClock {
		n.clockRate = 0.25
	}
	n.sessions, n.streams, n.lastID, n.newestRevision, n.ready, n.misses = map[uint64]*Session{}, map[uint64]*stream{}, 0, 0, false, 0
	n.startUs = f.Now
	f.lastRun++
	n.core = sessionpool.NewCore(n.boot, f.lastRun, f.Random.Uint64(), f.Plan.Options)
	n.enter("start", func() { n.step(sessiontable.Tick{}) })
}

// killNode ends a node's process; silent: its machine with it, so that nobody is
// told.
func (f *Fleet) killNode(n *Node, unresponsive bool) {
	if !n.up {
		return
	}
	n.up = false
	for _, id := range sortedKeys(n.streams) {
		s := n.streams[id]
		s.atNode = false
		if !unresponsive {
			f.network.carry(n.ip, s.ip, func() { s.closeAtDB() })
		}
	}
	for _, id := range sortedKeys(n.sessions) {
		s := n.sessions[id]
		if !unresponsive {
			f.After(toCallerDelayUs, func() { s.connectionBroke() })
		} else {
			f.After(f.Between(1_000_000, 3_000_000), func() { s.connectionBroke() })
		}
	}
	n.streams, n.sessions = map[uint64]*stream{}, map[uint64]*Session{}
}

// stopNode stops a node as its daemon does on the order to stop.
func (f *Fleet) stopNode(n *Node) {
	if !n.up || n.draining {
		return
	}
	n.draining = true
	const grace = 6_000_000
	gen := n.generation
	n.enter("signal", func() { n.step(sessiontable.Drain{GraceUs: grace}) })
	began := f.Now
	var poll func()
	poll = func() {
		if !n.up || n.generation != gen {
			return
		}
		past := f.Now - began
		if past >= grace || !n.frozen && (past >= grace-300_000 || n.core.Table.Busy() == 0 && past >= 2_000_000) {
			f.killNode(n, false)
			return
		}
		f.After(25_000, poll)
	}
	f.After(25_000, poll)
}

func (n *Node) step(events ...sessiontable.Event) {
	for _, e := range events {
		n.performAll(n.core.Step(n.now(), e))
	}
	n.stepped()
}

func (n *Node) receive(e *schema.Envelope) {
	n.performAll(n.core.Receive(n.now(), e))
	n.stepped()
}

func (n *Node) performAll(effects sessionpool.Effects) {
	for _, d := range effects.Table {
		n.perform(d)
	}
	for _, s := range effects.Send {
		n.fleet.sendEnvelope(n.ip, s)
	}
}

// stepped checks the revision in force after a step, and sets the timer.
func (n *Node) stepped() {
	f := n.fleet
	if r := n.core.Revision(); r != n.newestRevision {
		if r < n.newestRevision {
			f.oracle.violation("%s went back from revision %d to %d", n.name, n.newestRevision, r)
		}
		n.newestRevision = r
		f.oracle.revisionInForce(n, r)
	}
	n.alarm(n.core.Due(), func() { n.step(sessiontable.Tick{}) })
}

func (n *Node) perform(d sessiontable.Effect) {
	f := n.fleet
	f.observeNode(n, d)
	switch d := d.(type) {
	case sessiontable.Reply:
		s := n.sessions[d.Session]
		if s == nil {
			return // it ended meanwhile
		}
		if d.Close {
			delete(n.sessions, d.Session)
		}
		r := d.Reply
		r.Body = slices.Clone(r.Body)
		if f.Plan.Mutation == BodiesSwapped && f.Chance(0.01) {
			r.Body = []byte("another's")
		}
		if f.Plan.Mutation == RepliesLate && f.Chance(0.05) {
			f.After(rejectTimeoutUs+100_000, func() { s.replied(r, d.Close) })
			return
		}
		s.replied(r, d.Close)
	case sessiontable.CloseSession:
		if s := n.sessions[d.Session]; s != nil {
			delete(n.sessions, d.Session)
			s.shut()
		}
	case sessiontable.Connect:
		n.connect(d)
	case sessiontable.Send:
		if s := n.streams[d.Conn]; s != nil && s.up {
			s.send(d.Ops)
		} else {
			f.oracle.violation("%s sends over connection %d, which is not open", n.name, d.Conn)
		}
	case sessiontable.CloseConnection:
		if s := n.streams[d.Conn]; s != nil {
			delete(n.streams, d.Conn)
			s.giveUp()
		}
	case sessiontable.LogEntry:
		f.logf("%s: %d %s", n.name, d.Code, d.Text)
	default:
		panic(fmt.Sprintf("effect %T", d))
	}
}

// Envelopes.

func (f *Fleet) sendEnvelope(from string, s statemachine.Send) {
	f.Plan.Observe.Envelope(f.Now, from, s.To, s.Envelope)
	b, err := proto.Marshal(s.Envelope)
	if err != nil {
		panic(err)
	}
	to := hostOf(s.To)
	deliver := func() {
		e := &schema.Envelope{}
		if err := proto.Unmarshal(b, e); err != nil {
			panic(err)
		}
		f.mutateUpdate(s.To, e)
		f.mutatePoll(e)
		f.takeEnvelope(s.To, e)
	}
	switch {
	case from == to:
		f.After(20, deliver)
	case !f.network.reaches(from, to):
		// Some wait in a buffer until the cut ends, most go with their link.
		if f.Chance(0.1) {
			f.network.carry(from, to, deliver)
		}
	case f.network.loses(from, to) && f.Chance(0.3):
	default:
		if f.Chance(f.duplicateProbability) {
			f.network.carry(from, to, deliver)
		}
		if f.Chance(f.duplicateProbability) {
			f.After(f.Between(10_000, 900_000), deliver) // late and out of order
			return
		}
		f.network.carry(from, to, deliver)
	}
}

// mutateUpdate takes news out where that is planted.
func (f *Fleet) mutateUpdate(to string, e *schema.Envelope) {
	r := e.GetPollResponse()
	if r == nil || f.nodeAt[to] == nil {
		return
	}
	switch f.Plan.Mutation {
	case DrainingForgotten:
		r.Databases = slices.DeleteFunc(r.Databases, func(r *schema.Record) bool { return learner.DecodeInstance(r).Draining })
	case GateSkipped, FloorIgnored:
		f.moves.mutate(to, r)
	case TablesForgotten:
		if f.Now > 5_000_000 && f.nodeAt[to] == f.nodes[0] {
			r.Registers = slices.DeleteFunc(r.Registers, func(c *schema.RegisterState) bool { return c.Key == learner.TableKey })
		}
	}
}

func (f *Fleet) takeEnvelope(to string, e *schema.Envelope) {
	if c := f.controlAt[to]; c != nil {
		c.post(e.From, coordinator.Message{Envelope: e})
	} else if n := f.nodeAt[to]; n != nil {
		gen := n.generation
		n.enter(e.From, func() {
			if n.generation == gen {
				n.receive(e)
			}
		})
	}
}

// stream is one connection of a node to a database.
type stream struct {
	fleet              *Fleet
	node               *Node
	gen                int // of the node's run
	conn               uint64
	ip                 string // of the database
	database           *Database
	databaseGeneration int
	connection         *databaseConnection // at the database, once it is open there
	up                 bool                // open at the node
	atNode             bool                // not given up at the node
	badFrom            int64               // since when its way is broken, 0 if it is not
}

func (n *Node) source(conn uint64) string { return fmt.Sprint("conn", conn) }

func (n *Node) connect(d sessiontable.Connect) {
	f := n.fleet
	s := &stream{fleet: f, node: n, gen: n.generation, conn: d.Conn, ip: hostOf(d.Address), atNode: true}
	n.streams[d.Conn] = s
	f.streams = append(f.streams, s)
	end := func(e sessiontable.ConnectEnded) {
		if !s.atNode || s.up {
			return
		}
		n.enter(n.source(d.Conn), func() {
			if n.streams[d.Conn] != s || n.generation != s.gen || s.up {
				return
			}
			if e.Err != "" {
				s.atNode = false
				delete(n.streams, d.Conn)
				if s.connection != nil {
					f.network.carry(n.ip, s.ip, s.closeAtDB)
				}
			} else {
				s.up = true
			}
			n.step(e)
		})
	}
	f.After(int64(float64(d.WaitUs)/n.clockRate), func() { end(sessiontable.ConnectEnded{Conn: d.Conn, Err: "no answer in time"}) })
	f.network.carry(n.ip, s.ip, func() {
		db := f.databaseAt[d.Address]
		switch {
		case db != nil && db.unresponsive && !db.up:
			return
		case db == nil || !db.up:
			f.network.carry(s.ip, n.ip, func() {
				end(sessiontable.ConnectEnded{Conn: d.Conn, Err: "refused", ConnectionRefused: true})
			})
			return
		}
		s.database, s.databaseGeneration = db, db.generation
		code, c := db.accept(d.Group, d.ID, s)
		if code != ports.Done {
			f.network.carry(s.ip, n.ip, func() { end(sessiontable.ConnectEnded{Conn: d.Conn, Err: "bounced", Code: code}) })
			return
		}
		s.connection = c
		db.work(12_000, true, func() {
			if !c.open {
				return
			}
			p := db.position()
			f.network.carry(s.ip, n.ip, func() { end(sessiontable.ConnectEnded{Conn: d.Conn, Position: p}) })
		})
	})
}

// send puts ops on the wire.
func (s *stream) send(ops []ports.Op) {
	f, n := s.fleet, s.node
	var own []ports.Op
	for _, o := range ops {
		if statement := f.oracle.statement(o.Statement.ID); statement != nil {
			statement.forwarded = true
			statement.forwardedUs, statement.forwardedTable = f.Now, n.core.TableRevision()
		}
		o.Statement.Raw = slices.Clone(o.Statement.Raw)
		if f.Plan.Mutation == TextChanged && !o.Internal && f.Chance(0.01) {
			o.Statement.Raw = append(o.Statement.Raw, '!')
		}
		own = append(own, o)
	}
	sent, received := f.Now, false
	var deliver func()
	deliver = func() {
		if s.database == nil || s.connection == nil {
			return
		}
		switch {
		case s.database.up && s.database.generation == s.databaseGeneration:
			received = true
			if s.connection.open {
				s.connection.push(own, n)
			} else {
				f.network.carry(s.ip, n.ip, func() { s.lost(true, "reset") })
			}
		case s.database.unresponsive && !s.database.up:
			if f.Now-sent < unackedBytesTimeoutUs {
				f.After(100_000, deliver)
			}
		default:
			received = true
			f.network.carry(s.ip, n.ip, func() { s.lost(true, "reset") })
		}
	}
	f.network.carry(n.ip, s.ip, deliver)
	f.After(unackedBytesTimeoutUs, func() {
		if !received && s.atNode {
			s.lost(false, "timed out")
		}
	})
}

// lost tells the node that the connection broke.
func (s *stream) lost(partitioned bool, err string) {
	n := s.node
	if !s.atNode {
		return
	}
	n.enter(n.source(s.conn), func() {
		if !s.atNode || n.generation != s.gen || n.streams[s.conn] != s {
			return
		}
		s.atNode = false
		delete(n.streams, s.conn)
		if !s.up {
			n.step(sessiontable.ConnectEnded{Conn: s.conn, Err: err, ConnectionRefused: false})
			return
		}
		n.step(sessiontable.ConnectionLost{Conn: s.conn, Err: err, Disconnected: partitioned})
	})
}

// giveUp closes the connection at the node; the database hears of it behind
// what was sent.
func (s *stream) giveUp() {
	s.atNode = false
	s.fleet.network.carry(s.node.ip, s.ip, s.closeAtDB)
}

func (s *stream) closeAtDB() {
	if s.connection != nil && s.database.generation == s.databaseGeneration {
		s.connection.hangUp()
	}
}

// answer brings what a database says to the node.
func (s *stream) answer(a ports.Response) {
	n := s.node
	s.fleet.network.carry(s.ip, n.ip, func() {
		if !s.atNode {
			return
		}
		n.enter(n.source(s.conn), func() {
			if s.atNode && n.generation == s.gen && n.streams[s.conn] == s {
				a.Body = slices.Clone(a.Body)
				n.step(sessiontable.AnswerReceived{Conn: s.conn, Answer: a})
			}
		})
	})
}

// sweepStreams drops connections whose way has been broken for long.
func (f *Fleet) sweepStreams() {
	f.streams = slices.DeleteFunc(f.streams, func(s *stream) bool {
		return !s.atNode && (s.connection == nil || !s.connection.open)
	})
	for _, s := range f.streams {
		if f.network.connected(s.node.ip, s.ip) && (s.database == nil || s.database.up || !s.database.unresponsive) && s.node.up && s.node.generation == s.gen {
			s.badFrom = 0
			continue
		}
		if s.badFrom == 0 {
			s.badFrom = f.Now
		}
		if f.Now-s.badFrom >= unreachablePeerTimeoutUs && s.connection != nil && s.connection.open && s.database.up && s.database.generation == s.databaseGeneration {
			s.connection.drop()
		}
		if f.Now-s.badFrom >= keepAliveIntervalUs && s.up {
			s.lost(false, "timed out")
		}
	}
	f.After(250_000, f.sweepStreams)
}
