package simulation

import (
	"fmt"
	"math"
	"strconv"

	"stoneford/emulator/checker"
	"stoneford/internal/querytable"
	"stoneford/result"
)

// RetryAfterRejection is how it went on after a first bounce that said when to come back.
type RetryAfterRejection struct {
	RetryAfterUs int64 // when to come back
	TookUs       int64 // until what was then done was sent, -1 if it never was
	Attempts     int
}

type session struct {
	fleet        *Fleet
	name         string
	partner      string
	route        string
	group        string
	zone         string
	moved        bool // it is in another zone now and has not noticed
	node         *nodeProcess
	generation   int
	id           string
	ownValue     string
	preparedRow  string // what its prepared name shows
	token        querytable.Token
	setsNoValues bool  // sets no values of its own
	endsAtUs     int64 // it goes then, 0 for never
}

// class is the partner's class of a kind.
func (s *session) class(kind string) string { return s.fleet.classNames[s.partner][kind] }

// think is a session's pause now: shorter at a day's noon and in a crowd.
func (s *session) think() int64 {
	t := s.fleet.Plan.ThinkUs
	if s.endsAtUs > 0 {
		t /= 3
	}
	if d := s.fleet.Plan.DayUs; d > 0 {
		t = int64(float64(t) / (1.1 - math.Cos(2*math.Pi*float64(s.fleet.Now%d)/float64(d))))
	}
	return s.fleet.Between(t/2, t*3/2)
}

func (s *session) loop() {
	if s.fleet.halted || s.endsAtUs > 0 && s.fleet.Now > s.endsAtUs {
		return
	}
	done := func() { s.fleet.After(s.think(), s.loop) }
	switch p := s.fleet.Random.Float64(); {
	case p < 0.36:
		s.reserve(done)
	case p < 0.53:
		s.transaction(done)
	case p < 0.60:
		s.read(checker.Current, querytable.Query{Class: s.class("current"), ReadOnly: true}, done)
	case p < 0.85:
		s.read(checker.Lookup, querytable.Query{Class: s.class("stale")}, done)
	case p < 0.98:
		s.read(checker.Pinned, querytable.Query{Class: s.class("pinned")}, done)
	default:
		s.change(done)
	}
}

func statements(ts ...string) []querytable.Statement {
	var ss []querytable.Statement
	for _, t := range ts {
		ss = append(ss, querytable.Statement{Text: t})
	}
	return ss
}

// open has the session on a node of its zone that looks ready, else on any; the
// platform knows of a dead or frozen one a little late, so mostly it lives.
func (s *session) open(then func(bool)) {
	f := s.fleet
	var ns, near []*nodeProcess
	for _, n := range f.Nodes {
		if n.up && !n.paused && !n.stopping() && n.tables[s.group] != nil {
			ns = append(ns, n)
			if n.boot.Zone == s.zone {
				near = append(near, n)
			}
		}
	}
	if len(near) > 0 {
		ns = near
	}
	if len(ns) == 0 {
		then(false)
		return
	}
	s.node = ns[f.Random.IntN(len(ns))]
	s.generation = s.node.generation
	f.lastID++
	s.id = fmt.Sprintf("%s/%d", s.name, f.lastID)
	e := querytable.OpenSession{Session: s.id, Token: s.token}
	if f.Plan.Mutation == TokenForgotten {
		e.Token = querytable.Token{}
	}
	s.ownValue, s.preparedRow = "", ""
	if !s.setsNoValues {
		// The same prepared name stands for one of two texts.
		s.ownValue, s.preparedRow = s.id, s.id
		e.Values, e.Prepared = map[string]string{"mark": s.ownValue, "other": s.id + "!"}, map[string]string{"mine": "value mark"}
		if len(s.name)%2 == 0 {
			s.preparedRow = s.id + "!"
			e.Prepared["mine"] = "value other"
		}
	}
	n, g := s.node, s.generation
	f.After(f.Between(f.Network.MinDelayUs, f.Network.MaxDelayUs), func() {
		if !n.up || n.generation != g {
			s.id = ""
			then(false)
			return
		}
		f.toNode(n, g, func() { f.stepTable(n, s.group, e) })
		then(true)
	})
}

// change gives the session another value.
func (s *session) change(done func()) {
	if s.id == "" || s.setsNoValues || s.moved {
		done()
		return
	}
	f, n := s.fleet, s.node
	f.lastID++
	e := querytable.ChangeSession{ID: f.lastID, Session: s.id, Values: map[string]string{"mark": fmt.Sprintf("%s'%d", s.id, f.lastID)}}
	s.put(n, e.ID, e, func(r querytable.Reply) {
		switch {
		case r.Outcome != result.Done:
			s.id = ""
		case s.preparedRow == s.ownValue:
			s.ownValue, s.preparedRow = e.Values["mark"], e.Values["mark"]
		default:
			s.ownValue = e.Values["mark"]
		}
		done()
	})
}

// callerTimeoutUs is how long a caller waits for any return.
const callerTimeoutUs = 12_000_000

// end has a session that moved give its node up: half of them say so there.
func (s *session) end() {
	if !s.moved {
		return
	}
	s.moved = false
	f, n, g, id := s.fleet, s.node, s.generation, s.id
	s.id = ""
	if id != "" && f.Chance(0.5) {
		f.After(f.Between(f.Network.MinDelayUs, f.Network.MaxDelayUs), func() {
			f.toNode(n, g, func() { f.stepTable(n, s.group, querytable.CloseSession{Session: id}) })
		})
	}
}

// send sends one query once.
func (s *session) send(q querytable.Query, then func(querytable.Reply)) {
	f := s.fleet
	s.end()
	if s.id == "" {
		s.open(func(ok bool) {
			if !ok {
				s.id = ""
				then(querytable.Reply{Code: result.NotConfigured, Outcome: result.NoEffect, RetryAfterUs: 100_000})
				return
			}
			s.send(q, then)
		})
		return
	}
	f.lastID++
	q.ID, q.Session = f.lastID, s.id
	s.put(s.node, q.ID, q, func(r querytable.Reply) {
		if r.Token.Position > s.token.Position {
			s.token = r.Token
		}
		if r.Code == result.UnknownSession || r.Code == result.Stopping || r.Code < 0 {
			s.id = ""
		}
		then(r)
	})
}

// put brings an event to the session's node and waits for its return; a caller
// that never hears back does not know.
func (s *session) put(n *nodeProcess, id uint64, e querytable.Event, then func(querytable.Reply)) {
	f, g := s.fleet, s.generation
	ended := false
	f.waiting++
	end := func(r querytable.Reply) {
		if !ended {
			ended = true
			f.waiting--
			then(r)
		}
	}
	lost := querytable.Reply{Code: -1, Outcome: result.Uncertain}
	f.After(f.Between(f.Network.MinDelayUs, f.Network.MaxDelayUs), func() {
		if !n.up || n.generation != g {
			// Nothing was there to take it.
			end(querytable.Reply{Code: result.UnknownSession, Outcome: result.NoEffect})
			return
		}
		at := f.Now
		f.toNode(n, g, func() {
			n.waiters[id] = func(r querytable.Reply) {
				back := func() {
					took := f.Now - at
					if r.Outcome != result.Done && n.lastFaultUs < at {
						f.Oracle.RejectionDelays[r.Code] = append(f.Oracle.RejectionDelays[r.Code], took)
						if took > maxGiveUpUs || r.Code.Retryable() && took > maxRejectionUs {
							f.Violation("%s held a query for %d us and gave it up with %d", n.boot.Name, took, r.Code)
						}
					}
					f.After(f.Between(f.Network.MinDelayUs, f.Network.MaxDelayUs), func() { end(r) })
				}
				if f.Plan.Mutation == DelayedRejections && r.Code.Retryable() {
					f.After(4_500_000, back)
					return
				}
				back()
			}
			f.stepTable(n, s.group, e)
		})
		var poll func()
		poll = func() {
			if !ended && (!n.up || n.generation != g) {
				end(lost)
			}
			if !ended {
				f.After(50_000, poll)
			}
		}
		f.After(50_000, poll)
	})
	f.After(callerTimeoutUs, func() { end(lost) })
}

func again(r querytable.Reply) bool {
	return r.Code.Retryable() || r.Code == result.UnknownSession || r.Code == result.TransactionLost
}

const callerPatienceUs = 5_000_000

func (s *session) sample(kind string, t0 int64, n int, r querytable.Reply) {
	s.fleet.Oracle.Samples = append(s.fleet.Oracle.Samples, Sample{Kind: kind, AtUs: t0, DurationUs: s.fleet.Now - t0, Outcome: r.Outcome, Code: r.Code, Attempts: n, Database: r.Database, Replica: r.FromReplica, Group: s.group})
}

func (s *session) tag() string { s.fleet.lastID++; return "t" + strconv.FormatUint(s.fleet.lastID, 10) }

func (s *session) writeEnded(tag string, o result.Outcome, rows ...string) {
	s.fleet.Oracle.RecordWrite(checker.Write{Route: s.route, Tag: tag, Rows: rows, Outcome: o, AtUs: s.fleet.Now})
	if o == result.Done {
		s.fleet.lastTag[s.route] = tag
	}
}

// attempt tries something again for as long as its caller has patience.
func (s *session) attempt(kind string, done func(), once func(end func(querytable.Reply))) {
	t0, n := s.fleet.Now, 0
	first, notified, sent := result.OK, RetryAfterRejection{}, int64(0)
	var try func()
	try = func() {
		n++
		at := s.fleet.Now
		once(func(r querytable.Reply) {
			switch {
			case first != result.OK:
			case r.Code.Retryable() && r.RetryAfterUs > 0:
				first, notified.RetryAfterUs, sent = r.Code, r.RetryAfterUs, s.fleet.Now
			}
			if again(r) && s.fleet.Now-t0 < callerPatienceUs && !s.fleet.halted {
				s.fleet.After(r.RetryAfterUs, try)
				return
			}
			if first != result.OK && !s.fleet.halted {
				notified.Attempts, notified.TookUs = n, -1
				if r.Outcome == result.Done {
					notified.TookUs = at - sent
				}
				s.fleet.Oracle.RetriesAfterRejection[first] = append(s.fleet.Oracle.RetriesAfterRejection[first], notified)
			}
			s.sample(kind, t0, n, r)
			done()
		})
	}
	try()
}

// reserve is a single statement; now and then the caller asks again by the same
// id, and must be told the same without a second effect.
func (s *session) reserve(done func()) {
	s.attempt("reservation", done, func(end func(querytable.Reply)) {
		tag := s.tag()
		q := querytable.Query{Name: tag, Class: s.class("current"), Statements: statements("add ledger " + tag + " 1")}
		s.send(q, func(r querytable.Reply) {
			s.writeEnded(tag, r.Outcome)
			if r.Outcome != result.Done || s.fleet.Random.IntN(16) > 0 || s.id == "" || s.moved {
				end(r)
				return
			}
			s.send(q, func(o querytable.Reply) {
				if o.Outcome == result.Done && o.Position != r.Position {
					s.fleet.Violation("%s: asked again, %s is told at %d and was at %d", s.route, tag, o.Position, r.Position)
				}
				end(r)
			})
		})
	})
}

// transaction takes stock in up to a dozen queries and writes its tag; some are
// rolled back and some left as they are.
func (s *session) transaction(done func()) {
	s.attempt("transaction", done, func(end func(querytable.Reply)) {
		f, tag := s.fleet, s.tag()
		var rows []string
		steps := []querytable.Query{{Class: s.class("current"), Begin: true}}
		for range 1 + f.Random.IntN(f.Random.IntN(10)+1) {
			key := strconv.Itoa(f.Random.IntN(50))
			rows = append(rows, "stock/"+key)
			st := querytable.Statement{Prepared: "mine"}
			if s.setsNoValues {
				st = querytable.Statement{Text: "value mark"}
			}
			steps = append(steps, querytable.Query{Class: s.class("current"), Statements: []querytable.Statement{{Text: "add stock ? -1", Params: []string{key}}, st}})
		}
		rows = append(rows, checker.OwnRow(s.name))
		last := querytable.Query{Class: s.class("current"), Commit: true, Statements: statements("add ledger "+tag+" 1", "add own "+s.name+" 1")}
		ends := f.Random.Float64()
		if ends < 0.05 {
			last.Commit, last.Rollback = false, true
		}
		steps = append(steps, last)
		ask, seen := s.current()
		steps[0].Statements = statements(ask, "value mark")
		var step func(i int)
		step = func(i int) {
			if i > 0 && s.moved || i == len(steps)-1 && ends > 1-f.Plan.AbandonedTransactionShare {
				// It goes and does not come back: nothing may be kept.
				s.id = ""
				s.writeEnded(tag, result.NoEffect, rows...)
				if s.moved {
					end(querytable.Reply{Code: result.TransactionLost, Outcome: result.NoEffect})
				} else {
					end(querytable.Reply{Outcome: result.Done})
				}
				return
			}
			s.send(steps[i], func(r querytable.Reply) {
				if r.Outcome == result.Done && i < len(steps)-1 {
					want := s.ownValue
					if i > 0 {
						want = s.preparedRow
					}
					if len(r.Rows) != 2 || r.Rows[1][0][0] != want {
						f.Violation("%s: step %d showed the values of another: %v, not %s", s.route, i, r.Rows, want)
					}
					if i == 0 {
						s.received(checker.Current, r, seen)
					}
					f.After(f.Between(0, 2_000), func() { step(i + 1) })
					return
				}
				out := r.Outcome
				if last.Rollback {
					out = result.NoEffect
				}
				s.writeEnded(tag, out, rows...)
				end(r)
			})
		}
		step(0)
	})
}

// current is a statement that reads the ticks, the session's own row, the
// newest tag that another wrote and some stock, and what must show in it.
func (s *session) current() (string, []checker.ObservedRow) {
	rows := []string{checker.TickRow, checker.OwnRow(s.name), "stock/" + strconv.Itoa(s.fleet.Random.IntN(50))}
	if t := s.fleet.lastTag[s.route]; t != "" {
		rows = append(rows, checker.TagRow(t))
	}
	return checker.ReadStatement(rows), s.fleet.Oracle.ReadExpectation(s.route, rows...)
}

func (s *session) read(kind string, q querytable.Query, done func()) {
	s.attempt(kind, done, func(end func(querytable.Reply)) {
		ask, seen := s.current()
		q.Name, q.Statements = s.tag(), statements(ask)
		s.fleet.lastRead[s.route] = q.Name
		s.send(q, func(r querytable.Reply) {
			if r.Outcome == result.Done {
				s.received(kind, r, seen)
			}
			end(r)
		})
	})
}

func (s *session) received(kind string, r querytable.Reply, seen []checker.ObservedRow) {
	s.fleet.Oracle.RecordRead(checker.Read{Route: s.route, Kind: kind, Rows: seen, AtUs: s.fleet.Now, Database: fmt.Sprintf("on %s by %s at %d", r.Database, s.node.boot.Name, s.fleet.Now)}, r.Rows[0])
}
