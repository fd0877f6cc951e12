package fleetsimulation

import (
	"fmt"
	"maps"
	"slices"

	"stoneford/invariant"
	"stoneford/ports"
)

const (
	contactUs  = 4_000_000
	drainUs    = 7_000_000
	applyUs    = 3_000_000
	stretchUs  = 12_000_000
	refuseUs   = 1_500_000
	recoverUs  = 6_000_000
	mostTold   = 12
	goodInCalm = 0.97
	// checksEvery is after how many looks at the fleet its processes' checks are asked.
	checksEvery = 5
)

// Statement is one statement as its caller sent it.
type Statement struct {
	id     string
	raw    string
	kind   ports.Kind
	name   string
	text   string
	writes bool
	sess   *Session
	try    *try
	tx     *transaction
	route  *routeTruth
	vals   map[string]string // the session's when it was sent
	shape  shape             // that Run means
	workUs int64
	sentUs int64
	need   []*entry // that a read of it has to see

	results [][]byte
	commits []*entry
	left    bool // some node sent it to a database

	leftUs    int64 // when, and by which routing table's register revision
	leftTable uint64
}

// transaction is one as its caller means it.
type transaction struct {
	need  []*entry
	first *Statement // after its beginning
	conn  *dbConn    // that its first statement ran on
}

type ackedEntry struct {
	at  int64
	e   *entry // that was acknowledged
	top *entry // the newest of all up to here
}

// Truth holds what was seen on the sides of databases, callers and operators
// against what must never happen.
type Truth struct {
	f          *Fleet
	Violations []string
	more       int
	stmts      map[string]*Statement
	connects   int
	Acked      int
	Reads      int
	InDoubt    int
	Promotions int
	Codes      map[ports.Code]int
	TooLate    int
	coreUs     int64 // when a control process was last not plain
	fewUs      int64 // when fewer than a majority were last plain
	Held       []int64
	broken     map[string]bool // checks of processes that were told
	looks      int             // how often the fleet was watched
}

func newTruth(f *Fleet) *Truth {
	return &Truth{f: f, stmts: map[string]*Statement{}, broken: map[string]bool{}, Codes: map[ports.Code]int{}}
}

func (t *Truth) bad(format string, a ...any) {
	m := fmt.Sprintf("%.3f: ", float64(t.f.Now)/1e6) + fmt.Sprintf(format, a...)
	t.f.say("VIOLATION %s", m)
	if len(t.Violations) < mostTold {
		t.Violations = append(t.Violations, m)
	} else {
		t.more++
	}
}

func (t *Truth) statement(id string) *Statement { return t.stmts[id] }

// needs is what a read sent now by a session has to see.
func (t *Truth) needs(r *routeTruth, s *Session) []*entry {
	g := t.f.group(r.group)
	var es []*entry
	i := len(g.acked)
	if r.kind != ports.Current {
		i, _ = slices.BinarySearchFunc(g.acked, t.f.Now-r.staleUs, func(a ackedEntry, at int64) int {
			if a.at < at {
				return -1
			}
			return 1
		})
	}
	if i > 0 {
		es = append(es, g.acked[i-1].top)
	}
	if r.kind == ports.Pinned && s.floor != nil {
		es = append(es, s.floor)
	}
	return es
}

// arrived is called when a caller's op reaches a database.
func (t *Truth) arrived(d *DB, n *Node, o ports.Op) {
	st := t.stmts[o.St.ID]
	if st == nil {
		return // told at its running
	}
	if d.group.name != st.route.group {
		t.bad("ROUTE: %s of group %s was sent %q of route %s", d.id, d.group.name, st.raw, st.route.name)
	}
	first := st.tx == nil || st.tx.first == nil || st.tx.first == st || st.kind == ports.Begin || st.kind == ports.BeginRead
	if first && d.ackedUs > 0 && t.f.Now-d.ackedUs > drainUs && t.inTouch(n) && t.settled() {
		t.bad("DRAIN: %s sent %q to %s %.2f s after its leaving was acknowledged", n.name, st.raw, d.id, float64(t.f.Now-d.ackedUs)/1e6)
	}
}

// ran is called when a database runs a caller's read, write or commit.
func (t *Truth) ran(c *dbConn, st *Statement) {
	d := c.d
	if !maps.Equal(c.vals, st.vals) {
		t.bad("PINNED: %q ran on %s with values %v, not %v", st.raw, d.id, c.vals, st.vals)
	}
	switch {
	case st.tx == nil && c.tx != nil:
		t.bad("PINNED: %q ran on %s within a transaction", st.raw, d.id)
	case st.tx != nil && c.tx == nil:
		t.bad("PINNED: %q ran on %s outside its transaction", st.raw, d.id)
	case st.tx != nil && c.tx.begin.tx != st.tx:
		t.bad("PINNED: %q ran on %s within another's transaction", st.raw, d.id)
	case st.tx != nil && st.tx.conn != nil && st.tx.conn != c:
		what := "on another connection than the first statement"
		if st == st.tx.first {
			what = "once more, on another connection"
		}
		t.bad("PINNED: %q ran on %s %s", st.raw, d.id, what)
		st.tx.conn = c // told once
	}
	if st.tx != nil && st.tx.conn == nil {
		st.tx.conn = c
	}
	if st.kind == ports.Read || st.kind == ports.Run && !st.writes {
		t.Reads++
		n := d.applied
		if d.primary {
			n = len(d.log)
		}
		need := st.need
		if st.tx != nil {
			need = st.tx.need
		}
		for _, e := range need {
			if i := int(e.at.Number); i > n || d.log[i-1] != e {
				if g := d.group; g.lost[e] {
					continue // told already
				}
				t.bad("STALE: %q of route %s ran on %s at %v, which lacks %v acknowledged %d ms before it was sent", st.raw, st.route.name, d.id,
					d.at(n), e.at, (st.sentUs-e.acked)/1000)
			}
		}
	}
}

// ranShape is called when a database runs a prepared name.
func (t *Truth) ranShape(d *DB, st *Statement, s shape) {
	if s != st.shape {
		t.bad("PINNED: %q ran %v on %s, its caller prepared %v", st.raw, s, d.id, st.shape)
	}
}

// result makes what a database returns for a statement.
func (t *Truth) result(st *Statement, d *DB) []byte {
	b := fmt.Appendf(nil, "row %s %s\ncomplete %s.%d", st.id, st.text, d.id, len(st.results))
	st.results = append(st.results, slices.Clone(b))
	return b
}

// committed is called for each commit that a database makes.
func (t *Truth) committed(e *entry) {
	for _, w := range e.writes {
		w.commits = append(w.commits, e)
		if len(w.commits) > 1 {
			t.bad("TWICE: %q took effect at %v and at %v", w.raw, w.commits[0].at, e.at)
		}
		if w.try.promised != "" {
			t.bad("REFUSED: %q is kept at %v; its caller was told: %s", w.raw, e.at, w.try.promised)
		}
	}
	if e.commit != e.writes[0] {
		e.commit.commits = append(e.commit.commits, e)
		if e.commit.kind != ports.Commit || e.commit.try != e.writes[0].try {
			t.bad("UNASKED: a commit of %q keeps %q", e.commit.raw, e.writes[0].raw)
		}
	}
}

// promoted is called when a promotion took effect.
func (t *Truth) promoted(d *DB) {
	t.Promotions++
	for _, a := range d.group.acked {
		t.holds(d, a.e, "was promoted")
	}
}

func (t *Truth) holds(d *DB, e *entry, when string) {
	if i := int(e.at.Number); (i > len(d.log) || d.log[i-1] != e) && !d.group.lost[e] {
		d.group.lost[e] = true
		t.bad("LOST: %s %s without %v, acknowledged at %.3f", d.id, when, e.at, float64(e.acked)/1e6)
	}
}

func (t *Truth) promotionAsked(*Control, *DB) {}

// ended is called when a caller hears the end of a statement.
func (t *Truth) ended(st *Statement, r ports.Reply) {
	t.Codes[r.Code]++
	if r.Code == ports.InDoubt || r.Code == ports.Timeout {
		t.InDoubt++
	}
	if r.Code.Promise() {
		st.try.promised = fmt.Sprintf("%d %s (%s)", r.Code, r.Text, st.raw)
		for _, o := range st.try.stmts {
			for _, e := range o.commits {
				t.bad("REFUSED: %q is kept at %v; its caller is told %d %s", o.raw, e.at, r.Code, r.Text)
				break
			}
		}
		return
	}
	if r.Code != ports.Done {
		return
	}
	switch st.kind {
	case ports.Read, ports.Write, ports.Run, ports.Commit:
		if !slices.ContainsFunc(st.results, func(b []byte) bool { return string(b) == string(r.Body) }) {
			t.bad("MIXED: %q was answered %q, which no database returned for it", st.raw, r.Body)
		}
	}
	t.f.moves.ended(st)
	single := st.tx == nil && st.writes
	if !single && (st.kind != ports.Commit || !st.try.wrote(st.tx)) {
		return
	}
	if len(st.commits) == 0 {
		t.bad("LOST: %q was acknowledged and no database kept it", st.raw)
		return
	}
	t.Acked++
	e := st.commits[len(st.commits)-1]
	g := t.f.group(st.route.group)
	e.acked = t.f.Now
	top := e
	if n := len(g.acked); n > 0 && g.acked[n-1].top.at.Compare(e.at) > 0 {
		top = g.acked[n-1].top
	}
	g.acked = append(g.acked, ackedEntry{t.f.Now, e, top})
	if st.sess.floor == nil || st.sess.floor.at.Before(e.at) {
		st.sess.floor = e
	}
	t.f.moves.acked(st, e)
	if e.late {
		t.bad("ONE: %v of %s, made %d ms after another was promoted, was acknowledged", e.at, e.by.id, (e.atUs-g.promoted)/1000)
	}
	if p := g.primary; p != nil {
		t.holds(p, e, "leads")
	}
}

// inForce is called when a node works by another revision of the table.
func (t *Truth) inForce(n *Node, r uint64) {
	o := &t.f.operators
	m := o.tables[r]
	switch {
	case m == nil:
		t.bad("CONFIG: %s works by revision %d, which nobody sent", n.name, r)
	case m.refused != "":
		t.bad("CONFIG: %s works by revision %d, which was refused: %s", n.name, r, m.refused)
	default:
		m.forced = true
	}
}

// settled says whether nothing happened to the control processes lately and more
// than half of them run and reach each other. One that is gone for long, or cut off
// for long, does not unsettle the others.
func (t *Truth) settled() bool { return t.f.Now-t.coreUs > contactUs }

// coreState is what of a control process unsettles the core when it changes.
type coreState struct {
	up, frozen, leaving bool
	startUs             int64
	apart               int // how many of the others it does not reach
}

// coreState is how a control process stands.
func (t *Truth) coreState(c *Control) coreState {
	s := coreState{up: c.up, frozen: c.frozen, leaving: c.leaving, startUs: c.startUs}
	for _, o := range t.f.controls {
		if o != c && !t.f.net.both(c.ip, o.ip) {
			s.apart++
		}
	}
	return s
}

// watchCore notes when something happened to the control processes.
func (t *Truth) watchCore() {
	f := t.f
	together := 0
	for _, c := range f.controls {
		now := t.coreState(c)
		if now != c.was || c.slowUs > 0 || c.syncUs > 0 || f.net.lossy[c.zone] > 0 {
			t.coreUs = f.Now
		}
		c.was = now
		if c.up && !c.frozen && 2*(len(f.controls)-now.apart) > len(f.controls) {
			together++
		}
	}
	if 2*together <= len(f.controls) {
		t.coreUs = f.Now
	}
}

// watchChecks takes in what the processes' own checks count.
func (t *Truth) watchChecks() {
	for _, c := range t.f.controls {
		if c.up {
			t.checked(c.name, c.core.Violations())
		}
	}
	for _, n := range t.f.nodes {
		if n.up {
			t.checked(n.name, n.core.Violations())
		}
	}
}

func (t *Truth) checked(name string, counts map[string]int64) {
	for _, rule := range invariant.Names(counts) {
		if k := name + " " + rule; !t.broken[k] {
			t.broken[k] = true
			t.bad("INVARIANT: %s counts %d of %s", name, counts[rule], rule)
		}
	}
}

// inTouch says whether rules bounded by a time hold for a node.
func (t *Truth) inTouch(n *Node) bool {
	return n.up && !n.leaving && t.f.Now-n.troubleAt > contactUs && t.settled()
}

// watch notes trouble and checks what has to be in force.
func (t *Truth) watch() {
	f := t.f
	plain := 0
	for _, c := range f.controls {
		if c.plain() && f.Now-c.startUs > contactUs {
			plain++
		}
		if !c.plain() || c.startUs == f.Now {
			c.troubleAt = f.Now
		}
	}
	if 2*plain <= len(f.controls) {
		t.fewUs = f.Now
	}
	t.watchCore()
	if t.looks++; t.looks%checksEvery == 0 {
		t.watchChecks()
	}
	for _, n := range f.nodes {
		if !n.plain() {
			n.troubleAt = f.Now
		}
		n.troubleAt = max(n.troubleAt, n.startUs)
	}
	for _, m := range f.operators.acked {
		late := f.Now - m.ackedUs
		if late <= applyUs || m.checked {
			continue
		}
		all := true
		for _, n := range f.nodes {
			switch {
			case !n.up || n.rev >= m.revision:
			case t.inTouch(n):
				t.bad("CONFIG: %s works by revision %d %.2f s after %d was acknowledged", n.name, n.rev, float64(late)/1e6, m.revision)
				m.checked = true
			case late > applyUs+stretchUs && f.Now-n.troubleAt > late+contactUs && f.Now-t.fewUs > late:
				t.bad("CONFIG: %s works by revision %d %.2f s after %d was acknowledged, and the core unsettled", n.name, n.rev, float64(late)/1e6, m.revision)
				m.checked = true
			default:
				all = false
			}
		}
		m.checked = m.checked || all && late > 2*(applyUs+stretchUs)
	}
	f.After(20_000, t.watch)
}

// finish holds the end against everything acknowledged.
func (t *Truth) finish() {
	for _, g := range t.f.groups {
		p := g.primary
		for _, a := range g.acked {
			t.holds(p, a.e, "leads at the end")
		}
		if !p.up {
			t.bad("LIVE: %s has no primary at the end", g.name)
		}
	}
	if t.more > 0 {
		t.Violations = append(t.Violations, fmt.Sprintf("and %d more", t.more))
	}
}
