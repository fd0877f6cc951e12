package simulation

import (
	"fmt"
	"maps"
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
	Bounced  int            // connections bounced by a database for its limit
	accepted control.Return // newest configuration told accepted
}

func newTruth(f *Fleet) *Truth { return &Truth{f: f, Checker: checker.New()} }

func (t *Truth) bad(s string) { t.Odd("%s", s) }

func (t *Truth) configured(r control.Return) {
	if r.Revision > t.accepted.Revision {
		t.accepted = r
	}
}

type session struct {
	f     *Fleet
	name  string
	route string
	group string
	node  *nodeProc
	gen   int
	id    string
	mark  string
	token querytable.Token
	own   int64
	bare  bool // sets no values of its own
}

// caller is the address sessions call from: it is never cut off.
const caller = "caller"

// Callers starts the sessions and each group's ticks.
func (f *Fleet) Callers() {
	for _, g := range f.Plan.Groups {
		s := f.session("tick-"+g, g)
		var tick func()
		tick = func() {
			if f.halted {
				return
			}
			s.send(querytable.Query{Class: s.f.class["current"], Statements: stmts("add ticks t 1")}, func(r querytable.Return) {
				if r.Outcome == result.Done {
					f.Truth.Ticked(s.route)
				}
				f.After(50_000+r.RetryAfterUs, tick)
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
	s := &session{f: f, name: name, group: f.partner + "/" + group, route: f.partner + "/" + f.route(group)}
	f.sessions = append(f.sessions, s)
	return s
}

// Halt lets the sessions end what they are at and begin nothing new.
func (f *Fleet) Halt() { f.halted = true }

func (s *session) loop() {
	if s.f.halted {
		return
	}
	done := func() { s.f.After(s.f.Between(s.f.Plan.ThinkUs/2, s.f.Plan.ThinkUs*3/2), s.loop) }
	switch p := s.f.R.Float64(); {
	case p < 0.38:
		s.reserve(done)
	case p < 0.55:
		s.transaction(done)
	case p < 0.60:
		s.read(checker.Current, querytable.Query{Class: s.f.class["current"], ReadOnly: true}, done)
	case p < 0.87:
		s.read(checker.Lookup, querytable.Query{Class: s.f.class["stale"]}, done)
	default:
		s.read(checker.Pinned, querytable.Query{Class: s.f.class["pinned"]}, done)
	}
}

func stmts(ts ...string) []querytable.Statement {
	var ss []querytable.Statement
	for _, t := range ts {
		ss = append(ss, querytable.Statement{Text: t})
	}
	return ss
}

// open has the session on a node that looks ready; the platform knows of a
// dead or frozen one a little late, so mostly it is a live one.
func (s *session) open(then func(bool)) {
	f := s.f
	var ns []*nodeProc
	for _, n := range f.Nodes {
		if n.up && !n.paused && !n.stopping() && n.tables[s.group] != nil {
			ns = append(ns, n)
		}
	}
	if len(ns) == 0 {
		then(false)
		return
	}
	s.node = ns[f.R.IntN(len(ns))]
	s.gen = s.node.gen
	f.ids++
	s.id = fmt.Sprintf("%s/%d", s.name, f.ids)
	s.mark = s.id
	e := querytable.Open{Session: s.id, Token: s.token}
	if s.bare {
		s.mark = ""
	} else {
		e.Values, e.Prepared = map[string]string{"mark": s.mark}, map[string]string{"mine": "value mark"}
	}
	n, g := s.node, s.gen
	f.After(f.Between(f.Net.DelayLo, f.Net.DelayHi), func() {
		f.toNode(n, g, func() { f.stepTable(n, s.group, e); then(true) })
		if !n.up || n.gen != g {
			s.id = ""
			then(false)
		}
	})
}

func (n *nodeProc) stopping() bool { return n.leaving }

// callerWaits is how long a caller waits for any return.
const callerWaits = 12_000_000

// send sends one query once.
func (s *session) send(q querytable.Query, then func(querytable.Return)) {
	f := s.f
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
	n, g := s.node, s.gen
	ended := false
	end := func(r querytable.Return) {
		if ended {
			return
		}
		ended = true
		if r.Token.Position > s.token.Position {
			s.token = r.Token
		}
		if r.Code == result.UnknownSession || r.Code == result.Stopping || r.Code < 0 {
			s.id = ""
		}
		then(r)
	}
	lost := querytable.Return{Code: -1, Outcome: result.Uncertain}
	f.After(f.Between(f.Net.DelayLo, f.Net.DelayHi), func() {
		if !n.up || n.gen != g {
			// Bounced: nothing was there to take it.
			end(querytable.Return{Code: result.UnknownSession, Outcome: result.NothingKept})
			return
		}
		f.toNode(n, g, func() {
			n.waiters[q.ID] = func(r querytable.Return) {
				f.After(f.Between(f.Net.DelayLo, f.Net.DelayHi), func() { end(r) })
			}
			f.stepTable(n, s.group, q)
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

func (s *session) wrote(tag string, o result.Outcome) {
	s.f.Truth.Wrote(checker.Write{Route: s.route, Tag: tag, Out: o, AtUs: s.f.Now})
}

func (s *session) reserve(done func()) {
	t0, n := s.f.Now, 0
	var try func()
	try = func() {
		n++
		tag := s.tag()
		s.send(querytable.Query{Name: tag, Class: s.f.class["current"], Statements: stmts("add ledger " + tag + " 1")}, func(r querytable.Return) {
			s.wrote(tag, r.Outcome)
			if again(r) && s.f.Now-t0 < patience && !s.f.halted {
				s.f.After(r.RetryAfterUs, try)
				return
			}
			s.sample("reservation", t0, n, r)
			done()
		})
	}
	try()
}

func (s *session) transaction(done func()) {
	t0, n := s.f.Now, 0
	var try func()
	try = func() {
		n++
		tag := s.tag()
		acked, key := s.f.Truth.Ticks(s.route), strconv.Itoa(s.f.R.IntN(50))
		steps := []querytable.Query{
			{Class: s.f.class["current"], Begin: true, Statements: stmts("read ticks t stock "+key, "value mark")},
			{Class: s.f.class["current"], Statements: []querytable.Statement{{Text: "add stock ? -1", Params: []string{key}}, {Prepared: "mine"}}},
			{Class: s.f.class["current"], Commit: true, Statements: stmts("add ledger "+tag+" 1", "add own "+s.name+" 1")},
		}
		if s.bare {
			steps[1].Statements[1] = querytable.Statement{Text: "value mark"}
		}
		var step func(i int)
		step = func(i int) {
			s.send(steps[i], func(r querytable.Return) {
				if r.Outcome == result.Done && i < 2 {
					if len(r.Rows) != 2 || r.Rows[1][0][0] != s.mark {
						s.f.Bad("%s: step %d showed the values of another: %v, not %s", s.route, i, r.Rows, s.mark)
					}
					if i == 0 {
						s.got(checker.Current, r, acked, 0)
					}
					s.f.After(s.f.Between(0, 2_000), func() { step(i + 1) })
					return
				}
				s.wrote(tag, r.Outcome)
				if r.Outcome == result.Done {
					s.own++
				}
				if again(r) && s.f.Now-t0 < patience && !s.f.halted {
					s.f.After(r.RetryAfterUs, try)
					return
				}
				s.sample("transaction", t0, n, r)
				done()
			})
		}
		step(0)
	}
	try()
}

func (s *session) read(kind string, q querytable.Query, done func()) {
	t0, n := s.f.Now, 0
	q.Statements = stmts("read ticks t own " + s.name)
	var try func()
	try = func() {
		n++
		acked, own := s.f.Truth.Ticks(s.route), s.own
		s.send(q, func(r querytable.Return) {
			if again(r) && s.f.Now-t0 < patience && !s.f.halted {
				s.f.After(r.RetryAfterUs, try)
				return
			}
			if r.Outcome == result.Done {
				s.got(kind, r, acked, own)
			}
			s.sample(kind, t0, n, r)
			done()
		})
	}
	try()
}

func (s *session) got(kind string, r querytable.Return, acked, own int64) {
	n, err1 := strconv.ParseInt(r.Rows[0][0][0], 10, 64)
	o, err2 := strconv.ParseInt(r.Rows[0][1][0], 10, 64)
	if err1 != nil || err2 != nil {
		s.f.Bad("%s: a %s returned %v", s.route, kind, r.Rows)
		return
	}
	s.f.Truth.Got(checker.Read{Route: s.route, Kind: kind, Ticks: n, Acked: acked, Own: o, OwnWant: own, AtUs: s.f.Now, Where: fmt.Sprintf("on %s by %s at %d", r.Copy, s.node.boot.Name, s.f.Now)})
}

// Finish halts the callers, mends everything, lets the fleet settle and holds
// what callers were told against what the groups hold.
func (f *Fleet) Finish() checker.Verdict {
	f.Halt()
	f.Heal()
	f.Run(f.Now + 20_000_000)
	logs := map[string][]databasecopy.LogEntry{}
	for _, g := range f.Plan.Groups {
		p := f.Primary(g)
		if p == nil {
			f.Bad("%s has no primary 20 s after everything was mended", g)
			continue
		}
		logs[f.partner+"/"+f.route(g)] = p.c.Log(0)
	}
	read := false
	f.Operate(f.Controls[0], func(id uint64) any { return control.GetConfiguration{ID: id, Partner: f.partner} }, func(r control.Return) {
		read = true
		if r.Code != result.OK || r.Revision < f.Truth.accepted.Revision || r.Revision == f.Truth.accepted.Revision && string(r.Text) != string(f.Truth.accepted.Text) {
			f.Bad("read back %d revision %d, and %d was told accepted", r.Code, r.Revision, f.Truth.accepted.Revision)
		}
	})
	f.Run(f.Now + 5_000_000)
	if !read {
		f.Bad("the configuration could not be read back")
	}
	for _, n := range f.Nodes {
		if r := n.core.InForce()["config/"+f.partner]; r < f.Truth.accepted.Revision {
			f.Bad("%s works by revision %d, and %d was accepted long ago", n.boot.Name, r, f.Truth.accepted.Revision)
		}
	}
	return f.Truth.Check(logs)
}

// Primary is a group's primary, as agreed and as it is itself.
func (f *Fleet) Primary(group string) *DB {
	for _, c := range f.Controls {
		if st := control.GroupState(c.core.Held(control.GroupPrefix + f.partner + "/" + group)); st.Primary != "" {
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
