package simulation

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"

	"stoneford/bookings"
	"stoneford/control"
	"stoneford/querytable"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/standin/checker"
	"stoneford/standin/databasecopy"
)

// Sample is one query for the figures.
type Sample struct {
	Kind    string
	AtUs    int64
	TookUs  int64
	Outcome result.Outcome
	Code    result.Code
	Tries   int
	Copy    string
	Replica bool
	Group   string
}

// Truth is what the simulation knows beside what callers are told.
type Truth struct {
	f *Fleet
	*checker.Checker
	Samples  []Sample
	Bounced  int                       // connections bounced by a database for its limit
	Held     map[result.Code][]int64   // how long nodes held what they did not do, by code
	Again    map[result.Code][]Again   // how it went on after a first bounce, by its code
	accepted map[string]control.Return // newest configuration told accepted, by partner
	InForce  []int64                   // how long accepted configurations took to be in force on all plain nodes
}

// Again is how it went on after a first bounce that said when to come back.
type Again struct {
	ToldUs int64 // when to come back
	TookUs int64 // until what was then done was sent, -1 if it never was
	Tries  int
}

// heldMost is how long a node that nothing ails may hold a query that it gives
// up: a bounce, and whatever had left for a database.
const (
	bounceMost = 3_500_000
	heldMost   = 4_000_000
)

func newTruth(f *Fleet) *Truth {
	return &Truth{f: f, Checker: checker.New(), Held: map[result.Code][]int64{}, Again: map[result.Code][]Again{}, accepted: map[string]control.Return{}}
}

func (t *Truth) bad(s string) { t.Odd("%s", s) }

// inForceMost is how long an accepted configuration may take to be in force on
// every node that nothing ails.
const inForceMost = 3_000_000

func (t *Truth) configured(partner string, r control.Return) {
	if r.Revision <= t.accepted[partner].Revision {
		return
	}
	t.accepted[partner] = r
	f, at := t.f, t.f.Now
	behind := func() string {
		for _, n := range f.Nodes {
			if n.up && n.trouble < at && n.core.InForce()[control.ConfigPrefix+partner] < r.Revision {
				return n.boot.Name
			}
		}
		return ""
	}
	var look func()
	look = func() {
		n := behind()
		switch {
		case f.fewControls >= at:
		case n == "":
			t.InForce = append(t.InForce, f.Now-at)
		case f.Now-at > inForceMost:
			f.Bad("%s does not work by revision %d of %s, accepted %d us ago", n, r.Revision, partner, f.Now-at)
		default:
			f.After(20_000, look)
		}
	}
	look()
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

// Callers starts the sessions and each group's ticks.
func (f *Fleet) Callers() {
	f.watchTrouble()
	for _, g := range f.Plan.Groups {
		s := f.session("tick-"+g, g)
		var tick func()
		tick = func() {
			if f.halted {
				return
			}
			s.send(querytable.Query{Class: s.class("current"), Statements: stmts("add ticks t 1")}, func(r querytable.Return) {
				if r.Outcome == result.Done {
					f.Truth.Ticked(s.route)
				}
				f.After(f.Plan.TickUs+r.RetryAfterUs, tick)
			})
		}
		f.After(f.Between(0, 50_000), tick)
	}
	for i := range f.Plan.Sessions {
		s := f.session(fmt.Sprintf("s%d", i), f.Plan.Groups[i%len(f.Plan.Groups)])
		s.bare = i%4 == 3
		f.After(f.Between(0, f.Plan.ThinkUs), s.loop)
	}
}

// Crowd has so many times the sessions come within a second, each three times
// as busy, and go again.
func (f *Fleet) Crowd(times int, forUs int64) {
	f.crowds++
	for i := range times * f.Plan.Sessions {
		s := f.session(fmt.Sprintf("c%d-%d", f.crowds, i), f.Plan.Groups[i%len(f.Plan.Groups)])
		s.until = f.Now + forUs
		f.After(f.Between(0, 1_000_000), s.loop)
	}
}

// MoveCallers has sessions go on in another zone, in the middle of what they
// are at: those of a zone, or any so often.
func (f *Fleet) MoveCallers(from string, share float64) {
	for _, s := range f.sessions {
		if (from == "" || s.zone == from) && f.Chance(share) {
			z := f.Plan.Zones[f.R.IntN(len(f.Plan.Zones))]
			s.moved, s.zone = s.zone != z, z
		}
	}
}

// route is the first route that leads to a group.
func (f *Fleet) route(group string) string {
	for _, n := range slices.Sorted(maps.Keys(f.Cf.Routes)) {
		if f.Cf.Routes[n].Group == group {
			return n
		}
	}
	return ""
}

func (f *Fleet) session(name, group string) *session {
	p := f.owner[group]
	s := &session{f: f, name: name, partner: p, group: p + "/" + group, route: p + "/" + f.route(group), zone: f.Plan.Zones[len(f.sessions)%len(f.Plan.Zones)]}
	f.sessions = append(f.sessions, s)
	return s
}

// class is the partner's class of a kind.
func (s *session) class(kind string) string { return s.f.class[s.partner][kind] }

// Halt lets the sessions end what they are at and begin nothing new.
func (f *Fleet) Halt() { f.halted = true }

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

func (n *nodeProc) stopping() bool { return n.leaving }

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
						if took > heldMost || r.Code.Bounce() && took > bounceMost {
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

// Finish halts the callers, mends everything, lets the fleet settle and holds
// what callers were told against what the groups hold.
func (f *Fleet) Finish() checker.Verdict {
	f.Halt()
	f.Heal()
	f.settle()
	logs := map[string][]databasecopy.LogEntry{}
	for _, g := range f.Plan.Groups {
		p := f.Primary(g)
		if p == nil {
			f.Bad("%s has no primary 20 s after everything was mended", g)
			continue
		}
		logs[f.owner[g]+"/"+f.route(g)] = p.c.Log(0)
	}
	f.ReadBack()
	for _, p := range f.Partners() {
		for _, n := range f.Nodes {
			if r := n.core.InForce()[control.ConfigPrefix+p]; n.up && f.Now-int64(n.run) > inForceMost && r < f.Truth.accepted[p].Revision {
				f.Bad("%s works by revision %d of %s, and %d was accepted long ago", n.boot.Name, r, p, f.Truth.accepted[p].Revision)
			}
		}
	}
	return f.Truth.Check(logs)
}

// settle lets the mended fleet come to rest, for 20 s at the most: every caller
// has its return, every group a primary with two level replicas, every node the
// newest configurations.
func (f *Fleet) settle() {
	end := f.Now + 20_000_000
	f.Run(f.Now + 3_000_000)
	for f.Now < end && !f.atRest() {
		f.Run(f.Now + 500_000)
	}
}

func (f *Fleet) atRest() bool {
	for _, g := range f.Plan.Groups {
		if !f.groupWell(g) {
			return false
		}
	}
	for p, r := range f.Truth.accepted {
		if f.InForce(p) < r.Revision {
			return false
		}
	}
	return f.waiting == 0 && f.controlsWell()
}

// ReadBack reads every partner's configuration and holds it against the newest
// that was told accepted.
func (f *Fleet) ReadBack() {
	read, cs := map[string]bool{}, []*controlProc{}
	for _, c := range f.Controls {
		if c.up && !c.paused {
			cs = append(cs, c)
		}
	}
	for i, p := range f.Partners() {
		was := f.Truth.accepted[p]
		var try func()
		try = func() {
			f.Operate(cs[(i+len(read))%len(cs)], func(id uint64) any { return control.GetConfiguration{ID: id, Partner: p} }, func(r control.Return) {
				switch {
				case r.Code != result.OK:
					f.After(300_000, try)
				case r.Revision < was.Revision || r.Revision == was.Revision && string(r.Text) != string(was.Text):
					f.Bad("%s reads back revision %d, and %d was told accepted", p, r.Revision, was.Revision)
					fallthrough
				default:
					read[p] = true
				}
			})
		}
		try()
	}
	for end := f.Now + 12_000_000; f.Now < end && len(read) < len(f.texts); {
		f.Run(f.Now + 100_000)
	}
	for _, p := range f.Partners() {
		if !read[p] {
			f.Bad("the configuration of %s could not be read back", p)
		}
	}
}

// DayEnds brings one last fault about just as a configuration is accepted, then
// every control process is started cold and the configuration read back.
func (f *Fleet) DayEnds() {
	f.Halt()
	f.Heal()
	f.Run(f.Now + 12_000_000)
	p := f.Partners()[f.R.IntN(len(f.texts))]
	ci, kind, done := f.R.IntN(3), f.R.IntN(5), false
	base := f.Truth.accepted[p].Revision
	f.Operate(f.Controls[f.R.IntN(3)], func(id uint64) any {
		return control.PutConfiguration{ID: id, Partner: p, Base: base, Patch: true, Text: fmt.Appendf(nil, `{"time_zone":"Etc/GMT+%d"}`, f.R.IntN(12))}
	}, func(r control.Return) {
		done = true
		if r.Code == result.OK {
			f.Truth.configured(p, r)
		}
		f.say("the day's last configuration is told %d, revision %d", r.Code, r.Revision)
		switch kind {
		case 0, 1:
			f.KillControl(ci)
		case 2:
			f.PauseControl(ci)
		case 3:
			f.Isolate(f.Controls[ci].boot.Listen, f.Chance(0.5))
		}
	})
	f.Run(f.Now + 5_000_000)
	if !done {
		f.Bad("the day's last configuration had no return")
	}
	for i := range f.Controls {
		f.KillControl(i)
	}
	f.Net.Mend()
	f.Run(f.Now + 500_000)
	for i := range f.Controls {
		if i == ci && kind == 1 {
			f.LoseDisk(i)
		}
		if i != ci || kind > 0 {
			f.StartControl(i)
		}
	}
	f.ReadBack()
}

// Primary is a group's primary, as agreed and as it is itself.
func (f *Fleet) Primary(group string) *DB {
	for _, c := range f.Controls {
		if st := control.GroupState(c.core.Held(control.GroupPrefix + f.owner[group] + "/" + group)); st.Primary != "" {
			d := f.DBs[st.Primary]
			if d != nil && d.up && d.c.Primary && d.c.Epoch == st.Epoch {
				return d
			}
		}
	}
	return nil
}

// Served is the share of samples that were done.
func Served(ss []Sample) float64 {
	n := 0
	for _, s := range ss {
		if s.Outcome == result.Done {
			n++
		}
	}
	return float64(n) / float64(max(1, len(ss)))
}

// Took returns the times of what was done, sorted.
func Took(ss []Sample) []int64 {
	var ts []int64
	for _, s := range ss {
		if s.Outcome == result.Done {
			ts = append(ts, s.TookUs)
		}
	}
	slices.Sort(ts)
	return ts
}

// InForce is the least revision of a partner's configuration that any living
// node works by.
func (f *Fleet) InForce(p string) uint64 {
	least := ^uint64(0)
	for _, n := range f.Nodes {
		if n.up {
			least = min(least, n.core.InForce()[control.ConfigPrefix+p])
		}
	}
	return least
}

// Calendar is the newest calendar any control process knows.
func (f *Fleet) Calendar() *schema.Calendar {
	var v *schema.Value
	for _, c := range f.Controls {
		if h := c.core.Held(control.BookingsKey); h.GetRevision() > v.GetRevision() {
			v = h
		}
	}
	return bookings.Read(v.GetData())
}

// Holder is the number of the control process that holds a group's duty.
func (f *Fleet) Holder(group string) int {
	for i, c := range f.Controls {
		if c.up && c.core.Groups()[group] == c.boot.Listen {
			return i
		}
	}
	return 0
}

// LastRead is the id of the read that was sent last on a route.
func (f *Fleet) LastRead(route string) string { return f.lastRead[route] }

// Name is the database's own.
func (d *DB) Name() string { return d.name }

// Counts sums the counters of all living nodes' tables.
func (f *Fleet) Counts() querytable.Counts {
	var s querytable.Counts
	for _, n := range f.Nodes {
		for _, t := range n.tables {
			c := t.Counts()
			s.Queries, s.Polls, s.Runs, s.Opens = s.Queries+c.Queries, s.Polls+c.Polls, s.Runs+c.Runs, s.Opens+c.Opens
		}
	}
	return s
}
