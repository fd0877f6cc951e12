package fleetsimulation

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"stoneford/ports"
	"stoneford/schema"
	"stoneford/sessionpool"
	"stoneford/sessiontable"
	"stoneford/step"
	"stoneford/voterview"
)

const (
	portFirst = 7440
	userLimit = 1_500_000 // bytes that are not acknowledged for so long break a connection
	farDark   = 3_000_000 // a database drops a connection whose far end is dark so long
	keepAlive = 5_000_000
)

// Node is one pool node's process.
type Node struct {
	process
	zone     string
	boot     ports.Boot
	core     *sessionpool.Core
	sessions map[uint64]*Session
	streams  map[uint64]*stream
	ids      uint64
	rev      uint64 // newest revision seen in force in this run
	ready    bool   // as the platform sees it
	misses   int
	startUs  int64
}

func (f *Fleet) startNode(n *Node) {
	n.begin()
	n.rate = f.rate()
	if f.Plan.Plant == SlowClock {
		n.rate = 0.25
	}
	n.sessions, n.streams, n.ids, n.rev, n.ready, n.misses = map[uint64]*Session{}, map[uint64]*stream{}, 0, 0, false, 0
	n.startUs = f.Now
	f.runs++
	n.core = sessionpool.NewCore(n.boot, f.runs, f.R.Uint64(), f.Plan.Options)
	n.enter("start", func() { n.step(sessiontable.Tick{}) })
}

// killNode ends a node's process; silent: its machine with it, so that nobody is
// told.
func (f *Fleet) killNode(n *Node, silent bool) {
	if !n.up {
		return
	}
	n.up = false
	for _, id := range sortedKeys(n.streams) {
		s := n.streams[id]
		s.atNode = false
		if !silent {
			f.net.carry(n.ip, s.ip, func() { s.closeAtDB() })
		}
	}
	for _, id := range sortedKeys(n.sessions) {
		s := n.sessions[id]
		if !silent {
			f.After(toCallerUs, func() { s.broke() })
		} else {
			f.After(f.Between(1_000_000, 3_000_000), func() { s.broke() })
		}
	}
	n.streams, n.sessions = map[uint64]*stream{}, map[uint64]*Session{}
}

// stopNode stops a node as its daemon does on the order to stop.
func (f *Fleet) stopNode(n *Node) {
	if !n.up || n.leaving {
		return
	}
	n.leaving = true
	const grace = 6_000_000
	gen := n.gen
	n.enter("signal", func() { n.step(sessiontable.Stop{GraceUs: grace}) })
	began := f.Now
	var look func()
	look = func() {
		if !n.up || n.gen != gen {
			return
		}
		past := f.Now - began
		if past >= grace || !n.frozen && (past >= grace-300_000 || n.core.Table.Busy() == 0 && past >= 2_000_000) {
			f.killNode(n, false)
			return
		}
		f.After(25_000, look)
	}
	f.After(25_000, look)
}

func (n *Node) step(evs ...any) {
	f := n.f
	for _, e := range evs {
		fx := n.core.Step(n.now(), e)
		for _, d := range fx.Do {
			n.do(d)
		}
		for _, s := range fx.Send {
			f.sendEnvelope(n.ip, s)
		}
	}
	if r := n.core.Revision(); r != n.rev {
		if r < n.rev {
			f.truth.bad("%s went back from revision %d to %d", n.name, n.rev, r)
		}
		n.rev = r
		f.truth.inForce(n, r)
	}
	n.alarm(n.core.Due(), func() { n.step(sessiontable.Tick{}) })
}

func (n *Node) do(d sessiontable.Effect) {
	f := n.f
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
		if f.Plan.Plant == BodiesSwapped && f.Chance(0.01) {
			r.Body = []byte("another's")
		}
		if f.Plan.Plant == RepliesLate && f.Chance(0.05) {
			f.After(refuseUs+100_000, func() { s.replied(r, d.Close) })
			return
		}
		s.replied(r, d.Close)
	case sessiontable.Shut:
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
			f.truth.bad("%s sends over connection %d, which is not open", n.name, d.Conn)
		}
	case sessiontable.Close:
		if s := n.streams[d.Conn]; s != nil {
			delete(n.streams, d.Conn)
			s.giveUp()
		}
	case sessiontable.Say:
		f.say("%s: %d %s", n.name, d.Code, d.Text)
	default:
		panic(fmt.Sprintf("effect %T", d))
	}
}

// Envelopes.

func (f *Fleet) sendEnvelope(from string, s step.Send) {
	f.Plan.Observe.Envelope(f.Now, from, s.To, s.Env)
	b, err := proto.Marshal(s.Env)
	if err != nil {
		panic(err)
	}
	to := hostOf(s.To)
	deliver := func() {
		e := &schema.Envelope{}
		if err := proto.Unmarshal(b, e); err != nil {
			panic(err)
		}
		f.plantNews(s.To, e)
		f.plantLook(e)
		f.takeEnvelope(s.To, e)
	}
	switch {
	case from == to:
		f.After(20, deliver)
	case !f.net.reaches(from, to):
		// Some wait in a buffer until the cut ends, most go with their link.
		if f.Chance(0.1) {
			f.net.carry(from, to, deliver)
		}
	case f.net.loses(from, to) && f.Chance(0.3):
	default:
		if f.Chance(f.doubles) {
			f.net.carry(from, to, deliver)
		}
		if f.Chance(f.doubles) {
			f.After(f.Between(10_000, 900_000), deliver) // late and out of order
			return
		}
		f.net.carry(from, to, deliver)
	}
}

// plantNews takes news out where that is planted.
func (f *Fleet) plantNews(to string, e *schema.Envelope) {
	r := e.GetLookReturn()
	if r == nil || f.nodeAt[to] == nil {
		return
	}
	switch f.Plan.Plant {
	case LeavesForgotten:
		r.Instances = slices.DeleteFunc(r.Instances, func(r *schema.Record) bool { return voterview.Instance(r).Leaving })
	case GateSkipped, FloorIgnored:
		f.moves.plant(to, r)
	case TablesForgotten:
		if f.Now > 5_000_000 && f.nodeAt[to] == f.nodes[0] {
			r.Cells = slices.DeleteFunc(r.Cells, func(c *schema.Cell) bool { return c.Key == voterview.TableKey })
		}
	}
}

func (f *Fleet) takeEnvelope(to string, e *schema.Envelope) {
	if c := f.ctlAt[to]; c != nil {
		c.post(e.From, e)
	} else if n := f.nodeAt[to]; n != nil {
		gen := n.gen
		n.enter(e.From, func() {
			if n.gen == gen {
				n.step(e)
			}
		})
	}
}

// stream is one connection of a node to a database.
type stream struct {
	f       *Fleet
	n       *Node
	gen     int // of the node's run
	conn    uint64
	ip      string // of the database
	db      *DB
	dbGen   int
	c       *dbConn // at the database, once it is open there
	up      bool    // open at the node
	atNode  bool    // not given up at the node
	badFrom int64   // since when its way is broken, 0 if it is not
}

func (n *Node) src(conn uint64) string { return fmt.Sprint("conn", conn) }

func (n *Node) connect(d sessiontable.Connect) {
	f := n.f
	s := &stream{f: f, n: n, gen: n.gen, conn: d.Conn, ip: hostOf(d.Address), atNode: true}
	n.streams[d.Conn] = s
	f.streams = append(f.streams, s)
	end := func(e sessiontable.Connected) {
		if !s.atNode || s.up {
			return
		}
		n.enter(n.src(d.Conn), func() {
			if n.streams[d.Conn] != s || n.gen != s.gen || s.up {
				return
			}
			if e.Err != "" {
				s.atNode = false
				delete(n.streams, d.Conn)
				if s.c != nil {
					f.net.carry(n.ip, s.ip, s.closeAtDB)
				}
			} else {
				s.up = true
			}
			n.step(e)
		})
	}
	f.After(int64(float64(d.WaitUs)/n.rate), func() { end(sessiontable.Connected{Conn: d.Conn, Err: "no answer in time"}) })
	f.net.carry(n.ip, s.ip, func() {
		db := f.dbAt[d.Address]
		switch {
		case db != nil && db.silent && !db.up:
			return
		case db == nil || !db.up:
			f.net.carry(s.ip, n.ip, func() {
				end(sessiontable.Connected{Conn: d.Conn, Err: "refused", NotThere: true})
			})
			return
		}
		s.db, s.dbGen = db, db.gen
		code, c := db.accept(d.Group, d.ID, s)
		if code != ports.Done {
			f.net.carry(s.ip, n.ip, func() { end(sessiontable.Connected{Conn: d.Conn, Err: "bounced", Code: code}) })
			return
		}
		s.c = c
		db.work(12_000, true, func() {
			if !c.open {
				return
			}
			p := db.position()
			f.net.carry(s.ip, n.ip, func() { end(sessiontable.Connected{Conn: d.Conn, Position: p}) })
		})
	})
}

// send puts ops on the wire.
func (s *stream) send(ops []ports.Op) {
	f, n := s.f, s.n
	var own []ports.Op
	for _, o := range ops {
		if st := f.truth.statement(o.St.ID); st != nil {
			st.left = true
			st.leftUs, st.leftTable = f.Now, n.core.TableRevision()
		}
		o.St.Raw = slices.Clone(o.St.Raw)
		if f.Plan.Plant == TextChanged && !o.Own && f.Chance(0.01) {
			o.St.Raw = append(o.St.Raw, '!')
		}
		own = append(own, o)
	}
	sent, taken := f.Now, false
	var deliver func()
	deliver = func() {
		if s.db == nil || s.c == nil {
			return
		}
		switch {
		case s.db.up && s.db.gen == s.dbGen:
			taken = true
			if s.c.open {
				s.c.push(own, n)
			} else {
				f.net.carry(s.ip, n.ip, func() { s.lost(true, "reset") })
			}
		case s.db.silent && !s.db.up:
			if f.Now-sent < userLimit {
				f.After(100_000, deliver)
			}
		default:
			taken = true
			f.net.carry(s.ip, n.ip, func() { s.lost(true, "reset") })
		}
	}
	f.net.carry(n.ip, s.ip, deliver)
	f.After(userLimit, func() {
		if !taken && s.atNode {
			s.lost(false, "timed out")
		}
	})
}

// lost tells the node that the connection broke.
func (s *stream) lost(cut bool, err string) {
	n := s.n
	if !s.atNode {
		return
	}
	n.enter(n.src(s.conn), func() {
		if !s.atNode || n.gen != s.gen || n.streams[s.conn] != s {
			return
		}
		s.atNode = false
		delete(n.streams, s.conn)
		if !s.up {
			n.step(sessiontable.Connected{Conn: s.conn, Err: err, NotThere: false})
			return
		}
		n.step(sessiontable.Lost{Conn: s.conn, Err: err, Cut: cut})
	})
}

// giveUp closes the connection at the node; the database hears of it behind
// what was sent.
func (s *stream) giveUp() {
	s.atNode = false
	s.f.net.carry(s.n.ip, s.ip, s.closeAtDB)
}

func (s *stream) closeAtDB() {
	if s.c != nil && s.db.gen == s.dbGen {
		s.c.hangUp()
	}
}

// answer brings what a database says to the node.
func (s *stream) answer(a ports.Answer) {
	n := s.n
	s.f.net.carry(s.ip, n.ip, func() {
		if !s.atNode {
			return
		}
		n.enter(n.src(s.conn), func() {
			if s.atNode && n.gen == s.gen && n.streams[s.conn] == s {
				a.Body = slices.Clone(a.Body)
				n.step(sessiontable.Answered{Conn: s.conn, Answer: a})
			}
		})
	})
}

// sweepStreams drops connections whose way has been broken for long.
func (f *Fleet) sweepStreams() {
	f.streams = slices.DeleteFunc(f.streams, func(s *stream) bool {
		return !s.atNode && (s.c == nil || !s.c.open)
	})
	for _, s := range f.streams {
		if f.net.both(s.n.ip, s.ip) && (s.db == nil || s.db.up || !s.db.silent) && s.n.up && s.n.gen == s.gen {
			s.badFrom = 0
			continue
		}
		if s.badFrom == 0 {
			s.badFrom = f.Now
		}
		if f.Now-s.badFrom >= farDark && s.c != nil && s.c.open && s.db.up && s.db.gen == s.dbGen {
			s.c.drop()
		}
		if f.Now-s.badFrom >= keepAlive && s.up {
			s.lost(false, "timed out")
		}
	}
	f.After(250_000, f.sweepStreams)
}
