package fleetsimulation

import (
	"fmt"
	"maps"
	"slices"

	"stoneford/internal/invariant"
	"stoneford/internal/ports"
)

const (
	contactTimeoutUs      = 4_000_000
	drainTimeoutUs        = 7_000_000
	configApplyTimeoutUs  = 3_000_000
	sessionStretchUs      = 12_000_000
	rejectTimeoutUs       = 1_500_000
	recoveryPeriodUs      = 6_000_000
	maxReportedViolations = 12
	minCalmSuccessRatio   = 0.97
	// invariantCheckInterval is after how many looks at the fleet its processes' checks are asked.
	invariantCheckInterval = 5
)

// Statement is one statement as its caller sent it.
type Statement struct {
	id          string
	raw         string
	kind        ports.StatementKind
	name        string
	text        string
	writes      bool
	session     *Session
	attempt     *attempt
	transaction *transaction
	route       *callerRoute
	values      map[string]string // the session's when it was sent
	shape       shape             // that Run means
	workUs      int64
	sentUs      int64
	required    []*entry // that a read of it has to see

	results   [][]byte
	commits   []*entry
	forwarded bool // some node sent it to a database

	forwardedUs    int64 // when, and by which routing table's register revision
	forwardedTable uint64
}

// transaction is one as its caller means it.
type transaction struct {
	required []*entry
	first    *Statement          // after its beginning
	conn     *databaseConnection // that its first statement ran on
}

type acknowledgedEntry struct {
	ackedUs int64
	entry   *entry // that was acknowledged
	newest  *entry // the newest of all up to here
}

// Oracle holds what was seen on the sides of databases, callers and operators
// against what must never happen.
type Oracle struct {
	f                    *Fleet
	Violations           []string
	unreportedViolations int
	statements           map[string]*Statement
	connections          int
	Acked                int
	Reads                int
	InDoubt              int
	Promotions           int
	Codes                map[ports.Code]int
	RejectedTooLate      int
	coreUnstableUs       int64 // when a control process was last not plain
	noMajorityUs         int64 // when fewer than a majority were last plain
	RejectionDelays      []int64
	reportedInvariants   map[string]bool // checks of processes that were told
	observations         int             // how often the fleet was watched
}

func newOracle(f *Fleet) *Oracle {
	return &Oracle{f: f, statements: map[string]*Statement{}, reportedInvariants: map[string]bool{}, Codes: map[ports.Code]int{}}
}

func (oracle *Oracle) violation(format string, a ...any) {
	m := fmt.Sprintf("%.3f: ", float64(oracle.f.Now)/1e6) + fmt.Sprintf(format, a...)
	oracle.f.logf("VIOLATION %s", m)
	if len(oracle.Violations) < maxReportedViolations {
		oracle.Violations = append(oracle.Violations, m)
	} else {
		oracle.unreportedViolations++
	}
}

func (oracle *Oracle) statement(id string) *Statement { return oracle.statements[id] }

// requiredEntries is what a read sent now by a session has to see.
func (oracle *Oracle) requiredEntries(r *callerRoute, s *Session) []*entry {
	g := oracle.f.group(r.group)
	var es []*entry
	i := len(g.acknowledged)
	if r.kind != ports.CurrentRead {
		i, _ = slices.BinarySearchFunc(g.acknowledged, oracle.f.Now-r.stalenessUs, func(a acknowledgedEntry, at int64) int {
			if a.ackedUs < at {
				return -1
			}
			return 1
		})
	}
	if i > 0 {
		es = append(es, g.acknowledged[i-1].newest)
	}
	if r.kind == ports.ReadYourWrites && s.minPosition != nil {
		es = append(es, s.minPosition)
	}
	return es
}

// statementArrived is called when a caller's op reaches a database.
func (oracle *Oracle) statementArrived(d *Database, n *Node, o ports.Op) {
	statement := oracle.statements[o.Statement.ID]
	if statement == nil {
		return // told at its running
	}
	if d.group.name != statement.route.group {
		oracle.violation("ROUTE: %s of group %s was sent %q of route %s", d.id, d.group.name, statement.raw, statement.route.name)
	}
	first := statement.transaction == nil || statement.transaction.first == nil || statement.transaction.first == statement || statement.kind == ports.Begin || statement.kind == ports.BeginRead
	if first && d.drainAcknowledgedUs > 0 && oracle.f.Now-d.drainAcknowledgedUs > drainTimeoutUs && oracle.inContact(n) && oracle.coreIsStable() {
		oracle.violation("DRAIN: %s sent %q to %s %.2f s after its leaving was acknowledged", n.name, statement.raw, d.id, float64(oracle.f.Now-d.drainAcknowledgedUs)/1e6)
	}
}

// statementRan is called when a database runs a caller's read, write or commit.
func (oracle *Oracle) statementRan(c *databaseConnection, statement *Statement) {
	d := c.database
	if !maps.Equal(c.values, statement.values) {
		oracle.violation("PINNED: %q ran on %s with values %v, not %v", statement.raw, d.id, c.values, statement.values)
	}
	switch {
	case statement.transaction == nil && c.transaction != nil:
		oracle.violation("PINNED: %q ran on %s within a transaction", statement.raw, d.id)
	case statement.transaction != nil && c.transaction == nil:
		oracle.violation("PINNED: %q ran on %s outside its transaction", statement.raw, d.id)
	case statement.transaction != nil && c.transaction.begin.transaction != statement.transaction:
		oracle.violation("PINNED: %q ran on %s within another's transaction", statement.raw, d.id)
	case statement.transaction != nil && statement.transaction.conn != nil && statement.transaction.conn != c:
		what := "on another connection than the first statement"
		if statement == statement.transaction.first {
			what = "once more, on another connection"
		}
		oracle.violation("PINNED: %q ran on %s %s", statement.raw, d.id, what)
		statement.transaction.conn = c // told once
	}
	if statement.transaction != nil && statement.transaction.conn == nil {
		statement.transaction.conn = c
	}
	if statement.kind == ports.Read || statement.kind == ports.Execute && !statement.writes {
		oracle.Reads++
		n := d.applied
		if d.primary {
			n = len(d.log)
		}
		need := statement.required
		if statement.transaction != nil {
			need = statement.transaction.required
		}
		for _, e := range need {
			if i := int(e.position.Number); i > n || d.log[i-1] != e {
				if g := d.group; g.lost[e] {
					continue // told already
				}
				oracle.violation("STALE: %q of route %s ran on %s at %v, which lacks %v acknowledged %d ms before it was sent", statement.raw, statement.route.name, d.id,
					d.positionAt(n), e.position, (statement.sentUs-e.acknowledgedUs)/1000)
			}
		}
	}
}

// preparedRan is called when a database runs a prepared name.
func (oracle *Oracle) preparedRan(d *Database, statement *Statement, s shape) {
	if s != statement.shape {
		oracle.violation("PINNED: %q ran %v on %s, its caller prepared %v", statement.raw, s, d.id, statement.shape)
	}
}

// makeResult makes what a database returns for a statement.
func (oracle *Oracle) makeResult(statement *Statement, d *Database) []byte {
	b := fmt.Appendf(nil, "row %s %s\ncomplete %s.%d", statement.id, statement.text, d.id, len(statement.results))
	statement.results = append(statement.results, slices.Clone(b))
	return b
}

// committed is called for each commit that a database makes.
func (oracle *Oracle) committed(e *entry) {
	for _, w := range e.writes {
		w.commits = append(w.commits, e)
		if len(w.commits) > 1 {
			oracle.violation("TWICE: %q took effect at %v and at %v", w.raw, w.commits[0].position, e.position)
		}
		if w.attempt.promised != "" {
			oracle.violation("REFUSED: %q is kept at %v; its caller was told: %s", w.raw, e.position, w.attempt.promised)
		}
	}
	if e.commit != e.writes[0] {
		e.commit.commits = append(e.commit.commits, e)
		if e.commit.kind != ports.Commit || e.commit.attempt != e.writes[0].attempt {
			oracle.violation("UNASKED: a commit of %q keeps %q", e.commit.raw, e.writes[0].raw)
		}
	}
}

// promoted is called when a promotion took effect.
func (oracle *Oracle) promoted(d *Database) {
	oracle.Promotions++
	for _, a := range d.group.acknowledged {
		oracle.checkHasEntry(d, a.entry, "was promoted")
	}
}

func (oracle *Oracle) checkHasEntry(d *Database, e *entry, when string) {
	if i := int(e.position.Number); (i > len(d.log) || d.log[i-1] != e) && !d.group.lost[e] {
		d.group.lost[e] = true
		oracle.violation("LOST: %s %s without %v, acknowledged at %.3f", d.id, when, e.position, float64(e.acknowledgedUs)/1e6)
	}
}

func (oracle *Oracle) promotionRequested(*Control, *Database) {}

// statementEnded is called when a caller hears the end of a statement.
func (oracle *Oracle) statementEnded(statement *Statement, r ports.Reply) {
	oracle.Codes[r.Code]++
	if r.Code == ports.InDoubt || r.Code == ports.Timeout {
		oracle.InDoubt++
	}
	if r.Code.NoEffect() {
		statement.attempt.promised = fmt.Sprintf("%d %s (%s)", r.Code, r.Text, statement.raw)
		for _, o := range statement.attempt.stmts {
			for _, e := range o.commits {
				oracle.violation("REFUSED: %q is kept at %v; its caller is told %d %s", o.raw, e.position, r.Code, r.Text)
				break
			}
		}
		return
	}
	if r.Code != ports.Done {
		return
	}
	switch statement.kind {
	case ports.Read, ports.Write, ports.Execute, ports.Commit:
		if !slices.ContainsFunc(statement.results, func(b []byte) bool { return string(b) == string(r.Body) }) {
			oracle.violation("MIXED: %q was answered %q, which no database returned for it", statement.raw, r.Body)
		}
	}
	oracle.f.moves.ended(statement)
	single := statement.transaction == nil && statement.writes
	if !single && (statement.kind != ports.Commit || !statement.attempt.wrote(statement.transaction)) {
		return
	}
	if len(statement.commits) == 0 {
		oracle.violation("LOST: %q was acknowledged and no database kept it", statement.raw)
		return
	}
	oracle.Acked++
	e := statement.commits[len(statement.commits)-1]
	g := oracle.f.group(statement.route.group)
	e.acknowledgedUs = oracle.f.Now
	top := e
	if n := len(g.acknowledged); n > 0 && g.acknowledged[n-1].newest.position.Compare(e.position) > 0 {
		top = g.acknowledged[n-1].newest
	}
	g.acknowledged = append(g.acknowledged, acknowledgedEntry{oracle.f.Now, e, top})
	if statement.session.minPosition == nil || statement.session.minPosition.position.Before(e.position) {
		statement.session.minPosition = e
	}
	oracle.f.moves.acknowledged(statement, e)
	if e.late {
		oracle.violation("ONE: %v of %s, made %d ms after another was promoted, was acknowledged", e.position, e.primary.id, (e.atUs-g.promotedUs)/1000)
	}
	if p := g.primary; p != nil {
		oracle.checkHasEntry(p, e, "leads")
	}
}

// revisionInForce is called when a node works by another revision of the table.
func (oracle *Oracle) revisionInForce(n *Node, r uint64) {
	o := &oracle.f.operators
	m := o.tables[r]
	switch {
	case m == nil:
		oracle.violation("CONFIG: %s works by revision %d, which nobody sent", n.name, r)
	case m.refused != "":
		oracle.violation("CONFIG: %s works by revision %d, which was refused: %s", n.name, r, m.refused)
	default:
		m.inForce = true
	}
}

// coreIsStable says whether nothing happened to the control processes lately and more
// than half of them run and reach each other. One that is gone for long, or cut off
// for long, does not unsettle the others.
func (oracle *Oracle) coreIsStable() bool {
	return oracle.f.Now-oracle.coreUnstableUs > contactTimeoutUs
}

// coreState is what of a control process unsettles the core when it changes.
type coreState struct {
	up, frozen, draining bool
	startUs              int64
	unreachable          int // how many of the others it does not reach
}

// coreState is how a control process stands.
func (oracle *Oracle) coreState(c *Control) coreState {
	s := coreState{up: c.up, frozen: c.frozen, draining: c.draining, startUs: c.startUs}
	for _, o := range oracle.f.controls {
		if o != c && !oracle.f.network.connected(c.ip, o.ip) {
			s.unreachable++
		}
	}
	return s
}

// observeCore notes when something happened to the control processes.
func (oracle *Oracle) observeCore() {
	f := oracle.f
	together := 0
	for _, c := range f.controls {
		now := oracle.coreState(c)
		if now != c.lastState || c.slowUs > 0 || c.syncUs > 0 || f.network.lossy[c.zone] > 0 {
			oracle.coreUnstableUs = f.Now
		}
		c.lastState = now
		if c.up && !c.frozen && 2*(len(f.controls)-now.unreachable) > len(f.controls) {
			together++
		}
	}
	if 2*together <= len(f.controls) {
		oracle.coreUnstableUs = f.Now
	}
}

// collectInvariants takes in what the processes' own checks count.
func (oracle *Oracle) collectInvariants() {
	for _, c := range oracle.f.controls {
		if c.up {
			oracle.reportInvariants(c.name, c.core.Violations())
		}
	}
	for _, n := range oracle.f.nodes {
		if n.up {
			oracle.reportInvariants(n.name, n.core.Violations())
		}
	}
}

func (oracle *Oracle) reportInvariants(name string, counts map[string]int64) {
	for _, rule := range invariant.Names(counts) {
		if k := name + " " + rule; !oracle.reportedInvariants[k] {
			oracle.reportedInvariants[k] = true
			oracle.violation("INVARIANT: %s counts %d of %s", name, counts[rule], rule)
		}
	}
}

// inContact says whether rules bounded by a time hold for a node.
func (oracle *Oracle) inContact(n *Node) bool {
	return n.up && !n.draining && oracle.f.Now-n.lastFaultUs > contactTimeoutUs && oracle.coreIsStable()
}

// observe notes trouble and checks what has to be in force.
func (oracle *Oracle) observe() {
	f := oracle.f
	plain := 0
	for _, c := range f.controls {
		if c.healthy() && f.Now-c.startUs > contactTimeoutUs {
			plain++
		}
		if !c.healthy() || c.startUs == f.Now {
			c.lastFaultUs = f.Now
		}
	}
	if 2*plain <= len(f.controls) {
		oracle.noMajorityUs = f.Now
	}
	oracle.observeCore()
	if oracle.observations++; oracle.observations%invariantCheckInterval == 0 {
		oracle.collectInvariants()
	}
	for _, n := range f.nodes {
		if !n.healthy() {
			n.lastFaultUs = f.Now
		}
		n.lastFaultUs = max(n.lastFaultUs, n.startUs)
	}
	for _, m := range f.operators.acknowledged {
		late := f.Now - m.acknowledgedUs
		if late <= configApplyTimeoutUs || m.checked {
			continue
		}
		all := true
		for _, n := range f.nodes {
			switch {
			case !n.up || n.newestRevision >= m.revision:
			case oracle.inContact(n):
				oracle.violation("CONFIG: %s works by revision %d %.2f s after %d was acknowledged", n.name, n.newestRevision, float64(late)/1e6, m.revision)
				m.checked = true
			case late > configApplyTimeoutUs+sessionStretchUs && f.Now-n.lastFaultUs > late+contactTimeoutUs && f.Now-oracle.noMajorityUs > late:
				oracle.violation("CONFIG: %s works by revision %d %.2f s after %d was acknowledged, and the core unsettled", n.name, n.newestRevision, float64(late)/1e6, m.revision)
				m.checked = true
			default:
				all = false
			}
		}
		m.checked = m.checked || all && late > 2*(configApplyTimeoutUs+sessionStretchUs)
	}
	f.After(20_000, oracle.observe)
}

// finish holds the end against everything acknowledged.
func (oracle *Oracle) finish() {
	for _, g := range oracle.f.groups {
		p := g.primary
		for _, a := range g.acknowledged {
			oracle.checkHasEntry(p, a.entry, "leads at the end")
		}
		if !p.up {
			oracle.violation("LIVE: %s has no primary at the end", g.name)
		}
	}
	if oracle.unreportedViolations > 0 {
		oracle.Violations = append(oracle.Violations, fmt.Sprintf("and %d more", oracle.unreportedViolations))
	}
}
