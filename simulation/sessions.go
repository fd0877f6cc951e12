package simulation

import (
	"fmt"
	"math"
	"strconv"

	"stoneford/querytable"
	"stoneford/result"
	"stoneford/standin/checker"
)

// Again is how it went on after a first bounce that said when to come back.
type Again struct {
	ToldUs int64 // when to come back
	TookUs int64 // until what was then done was sent, -1 if it never was
	Tries  int
}

type session struct {
	f       *Fleet
	name    string
	partner string
	route   string
	group   string
	zone    string
	moved   bool // it is in another zone now and has not noticed
	node    *nodeProc
	gen     int
	id      string
	mark    string
	mine    string // what its prepared name shows
	token   querytable.Token
	bare    bool  // sets no values of its own
	until   int64 // it goes then, 0 for never
}

// class is the partner's class of a kind.
func (s *session) class(kind string) string { return s.f.class[s.partner][kind] }

// think is a session's pause now: shorter at a day's noon and in a crowd.
func (s *session) think() int64 {
	t := s.f.Plan.ThinkUs
	if s.until > 0 {
		t /= 3
	}
	if d := s.f.Plan.DayUs; d > 0 {
		t = int64(float64(t) / (1.1 - math.Cos(2*math.Pi*float64(s.f.Now%d)/float64(d))))
	}
	return s.f.Between(t/2, t*3/2)
}

func (s *session) loop() {
	if s.f.halted || s.until > 0 && s.f.Now > s.until {
		return
	}
	done := func() { s.f.After(s.think(), s.loop) }
	switch p := s.f.R.Float64(); {
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

func stmts(ts ...string) []querytable.Statement {
	var ss []querytable.Statement
	for _, t := range ts {
		ss = append(ss, querytable.Statement{Text: t})
	}
	return ss
}

// open has the session on a node of its zone that looks ready, else on any; the
// platform knows of a dead or frozen one a little late, so mostly it lives.
func (s *session) open(then func(bool)) {
	f := s.f
	var ns, near []*nodeProc
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
	s.node = ns[f.R.IntN(len(ns))]
	s.gen = s.node.gen
	f.ids++
	s.id = fmt.Sprintf("%s/%d", s.name, f.ids)
	e := querytable.Open{Session: s.id, Token: s.token}
	if f.Plan.Plant == TokenForgotten {
		e.Token = querytable.Token{}
	}
	s.mark, s.mine = "", ""
	if !s.bare {
		// The same prepared name stands for one of two texts.
		s.mark, s.mine = s.id, s.id
		e.Values, e.Prepared = map[string]string{"mark": s.mark, "other": s.id + "!"}, map[string]string{"mine": "value mark"}
		if len(s.name)%2 == 0 {
			s.mine = s.id + "!"
			e.Prepared["mine"] = "value other"
		}
	}
	n, g := s.node, s.gen
	f.After(f.Between(f.Net.DelayLo, f.Net.DelayHi), func() {
		if !n.up || n.gen != g {
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
	if s.id == "" || s.bare || s.moved {
		done()
		return
	}
	f, n := s.f, s.node
	f.ids++
	e := querytable.Change{ID: f.ids, Session: s.id, Values: map[string]string{"mark": fmt.Sprintf("%s'%d", s.id, f.ids)}}
	s.put(n, e.ID, e, func(r querytable.Return) {
		switch {
		case r.Outcome != result.Done:
			s.id = ""
		case s.mine == s.mark:
			s.mark, s.mine = e.Values["mark"], e.Values["mark"]
		default:
			s.mark = e.Values["mark"]
		}
		done()
	})
}

// callerWaits is how long a caller waits for any return.
const callerWaits = 12_000_000

// leave has a session that moved give its node up: half of them say so there.
func (s *session) leave() {
	if !s.moved {
		return
	}
	s.moved = false
	f, n, g, id := s.f, s.node, s.gen, s.id
	s.id = ""
	if id != "" && f.Chance(0.5) {
		f.After(f.Between(f.Net.DelayLo, f.Net.DelayHi), func() {
			f.toNode(n, g, func() { f.stepTable(n, s.group, querytable.Shut{Session: id}) })
		})
	}
}

// send sends one query once.
func (s *session) send(q querytable.Query, then func(querytable.Return)) {
	f := s.f
	s.leave()
	if s.id == "" {
		s.open(func(ok bool) {
			if !ok {
				s.id = ""
				then(querytable.Return{Code: result.NotConfigured, Outcome: result.NothingKept, RetryAfterUs: 100_000})
				return
			}
			s.send(q, then)
		})
		return
	}
	f.ids++
	q.ID, q.Session = f.ids, s.id
	s.put(s.node, q.ID, q, func(r querytable.Return) {
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
func (s *session) put(n *nodeProc, id uint64, e any, then func(querytable.Return)) {
	f, g := s.f, s.gen
	ended := false
	f.waiting++
	end := func(r querytable.Return) {
		if !ended {
			ended = true
			f.waiting--
			then(r)
		}
	}
	lost := querytable.Return{Code: -1, Outcome: result.Uncertain}
	f.After(f.Between(f.Net.DelayLo, f.Net.DelayHi), func() {
		if !n.up || n.gen != g {
			// Nothing was there to take it.
			end(querytable.Return{Code: result.UnknownSession, Outcome: result.NothingKept})
			return
		}
		at := f.Now
		f.toNode(n, g, func() {
			n.waiters[id] = func(r querytable.Return) {
				back := func() {
					took := f.Now - at
					if r.Outcome != result.Done && n.trouble < at {
						f.Truth.Held[r.Code] = append(f.Truth.Held[r.Code], took)
						if took > heldMost || r.Code.Bounce() && took > refuseMost {
							f.Bad("%s held a query for %d us and gave it up with %d", n.boot.Name, took, r.Code)
						}
					}
					f.After(f.Between(f.Net.DelayLo, f.Net.DelayHi), func() { end(r) })
				}
				if f.Plan.Plant == HeldBack && r.Code.Bounce() {
					f.After(4_500_000, back)
					return
				}
				back()
			}
			f.stepTable(n, s.group, e)
		})
		var look func()
		look = func() {
			if !ended && (!n.up || n.gen != g) {
				end(lost)
			}
			if !ended {
				f.After(50_000, look)
			}
		}
		f.After(50_000, look)
	})
	f.After(callerWaits, func() { end(lost) })
}

func again(r querytable.Return) bool {
	return r.Code.Bounce() || r.Code == result.UnknownSession || r.Code == result.TransactionLost
}

const patience = 5_000_000

func (s *session) sample(kind string, t0 int64, n int, r querytable.Return) {
	s.f.Truth.Samples = append(s.f.Truth.Samples, Sample{Kind: kind, AtUs: t0, TookUs: s.f.Now - t0, Outcome: r.Outcome, Code: r.Code, Tries: n, Copy: r.Copy, Replica: r.Replica, Group: s.group})
}

func (s *session) tag() string { s.f.ids++; return "t" + strconv.FormatUint(s.f.ids, 10) }

func (s *session) wrote(tag string, o result.Outcome, rows ...string) {
	s.f.Truth.Wrote(checker.Write{Route: s.route, Tag: tag, Rows: rows, Out: o, AtUs: s.f.Now})
	if o == result.Done {
		s.f.lastTag[s.route] = tag
	}
}

// try tries something again for as long as its caller has patience.
func (s *session) try(kind string, done func(), once func(end func(querytable.Return))) {
	t0, n := s.f.Now, 0
	first, told, sent := result.OK, Again{}, int64(0)
	var try func()
	try = func() {
		n++
		at := s.f.Now
		once(func(r querytable.Return) {
			switch {
			case first != result.OK:
			case r.Code.Bounce() && r.RetryAfterUs > 0:
				first, told.ToldUs, sent = r.Code, r.RetryAfterUs, s.f.Now
			}
			if again(r) && s.f.Now-t0 < patience && !s.f.halted {
				s.f.After(r.RetryAfterUs, try)
				return
			}
			if first != result.OK && !s.f.halted {
				told.Tries, told.TookUs = n, -1
				if r.Outcome == result.Done {
					told.TookUs = at - sent
				}
				s.f.Truth.Again[first] = append(s.f.Truth.Again[first], told)
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
	s.try("reservation", done, func(end func(querytable.Return)) {
		tag := s.tag()
		q := querytable.Query{Name: tag, Class: s.class("current"), Statements: stmts("add ledger " + tag + " 1")}
		s.send(q, func(r querytable.Return) {
			s.wrote(tag, r.Outcome)
			if r.Outcome != result.Done || s.f.R.IntN(16) > 0 || s.id == "" || s.moved {
				end(r)
				return
			}
			s.send(q, func(o querytable.Return) {
				if o.Outcome == result.Done && o.Position != r.Position {
					s.f.Bad("%s: asked again, %s is told at %d and was at %d", s.route, tag, o.Position, r.Position)
				}
				end(r)
			})
		})
	})
}

// transaction takes stock in up to a dozen queries and writes its tag; some are
// rolled back and some left as they are.
func (s *session) transaction(done func()) {
	s.try("transaction", done, func(end func(querytable.Return)) {
		f, tag := s.f, s.tag()
		var rows []string
		steps := []querytable.Query{{Class: s.class("current"), Begin: true}}
		for range 1 + f.R.IntN(f.R.IntN(10)+1) {
			key := strconv.Itoa(f.R.IntN(50))
			rows = append(rows, "stock/"+key)
			st := querytable.Statement{Prepared: "mine"}
			if s.bare {
				st = querytable.Statement{Text: "value mark"}
			}
			steps = append(steps, querytable.Query{Class: s.class("current"), Statements: []querytable.Statement{{Text: "add stock ? -1", Params: []string{key}}, st}})
		}
		rows = append(rows, checker.OwnRow(s.name))
		last := querytable.Query{Class: s.class("current"), Commit: true, Statements: stmts("add ledger "+tag+" 1", "add own "+s.name+" 1")}
		ends := f.R.Float64()
		if ends < 0.05 {
			last.Commit, last.Rollback = false, true
		}
		steps = append(steps, last)
		ask, seen := s.current()
		steps[0].Statements = stmts(ask, "value mark")
		var step func(i int)
		step = func(i int) {
			if i > 0 && s.moved || i == len(steps)-1 && ends > 1-f.Plan.Left {
				// It goes and does not come back: nothing may be kept.
				s.id = ""
				s.wrote(tag, result.NothingKept, rows...)
				if s.moved {
					end(querytable.Return{Code: result.TransactionLost, Outcome: result.NothingKept})
				} else {
					end(querytable.Return{Outcome: result.Done})
				}
				return
			}
			s.send(steps[i], func(r querytable.Return) {
				if r.Outcome == result.Done && i < len(steps)-1 {
					want := s.mark
					if i > 0 {
						want = s.mine
					}
					if len(r.Rows) != 2 || r.Rows[1][0][0] != want {
						f.Bad("%s: step %d showed the values of another: %v, not %s", s.route, i, r.Rows, want)
					}
					if i == 0 {
						s.got(checker.Current, r, seen)
					}
					f.After(f.Between(0, 2_000), func() { step(i + 1) })
					return
				}
				out := r.Outcome
				if last.Rollback {
					out = result.NothingKept
				}
				s.wrote(tag, out, rows...)
				end(r)
			})
		}
		step(0)
	})
}

// current is a statement that reads the ticks, the session's own row, the
// newest tag that another wrote and some stock, and what must show in it.
func (s *session) current() (string, []checker.Shown) {
	rows := []string{checker.TickRow, checker.OwnRow(s.name), "stock/" + strconv.Itoa(s.f.R.IntN(50))}
	if t := s.f.lastTag[s.route]; t != "" {
		rows = append(rows, checker.TagRow(t))
	}
	return checker.Ask(rows), s.f.Truth.Before(s.route, rows...)
}

func (s *session) read(kind string, q querytable.Query, done func()) {
	s.try(kind, done, func(end func(querytable.Return)) {
		ask, seen := s.current()
		q.Name, q.Statements = s.tag(), stmts(ask)
		s.f.lastRead[s.route] = q.Name
		s.send(q, func(r querytable.Return) {
			if r.Outcome == result.Done {
				s.got(kind, r, seen)
			}
			end(r)
		})
	})
}

func (s *session) got(kind string, r querytable.Return, seen []checker.Shown) {
	s.f.Truth.Got(checker.Read{Route: s.route, Kind: kind, Shown: seen, AtUs: s.f.Now, Where: fmt.Sprintf("on %s by %s at %d", r.Copy, s.node.boot.Name, s.f.Now)}, r.Rows[0])
}
