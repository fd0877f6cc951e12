package fleetsimulation

import (
	"fmt"
	"slices"

	"stoneford/internal/coordinator"
	"stoneford/internal/ports"
	"stoneford/internal/routingtable"
)

// tableVersion is one revision of the routing table as an operator submitted it.
type tableVersion struct {
	revision       uint64
	base           uint64
	table          ports.RoutingTable
	refusalReason  string // reason for which it must never be in force: it is invalid, or its sender was notified of a refusal; otherwise empty
	inForce        bool
	acknowledgedUs int64
	checked        bool // nodes are no longer checked for it
}

// operators models the people who change the routing table.
type operators struct {
	fleet          *Fleet
	versions       map[uint64]*tableVersion
	submitted      []*tableVersion // all versions, in order of submission
	acknowledged   []*tableVersion // in order of acknowledgement
	lastRevision   uint64          // last revision number that was drawn
	changeCount    int
	knownRevision  uint64 // newest revision known to be in force
	pendingChanges int
	halted         bool     // operators submit no more changes
	unusedRoutes   []string // names of routes that were added and carry no traffic
}

// baseTable returns the initial routing table.
func (f *Fleet) baseTable() ports.RoutingTable {
	t := ports.RoutingTable{Limits: ports.Limits{IdleTimeoutUs: 15_000_000, TransactionIdleTimeoutUs: 3_000_000}}
	for _, g := range f.groups {
		t.Groups = append(t.Groups, ports.Group{Name: g.name, ConnectionLimit: g.connectionLimit, RequiredReplicaAcks: g.syncReplicas})
	}
	for _, r := range f.routes {
		t.Routes = append(t.Routes, ports.Route{Name: r.name, Host: r.host, Prefix: "/", Class: r.kind, Group: r.group, TimeoutUs: r.deadlineUs, LatencyTargetUs: r.latencyTargetUs,
			MaxStalenessUs: r.stalenessUs, Rank: 1 + int(r.kind)%2, MaxAttempts: 2})
	}
	return t
}

// submitWithRetries sends a change until a control process replies with its outcome. The
// change may be committed only if valid is set. If twice is set, it is sent to two control
// processes concurrently. done receives the outcome, or Unavailable if the retries are
// used up.
func (o *operators) submitWithRetries(c ports.TableChange, valid bool, twice bool, done func(ports.Outcome)) {
	o.changeCount++
	c.Digest = fmt.Sprintf("change-%d", o.changeCount)
	s := &tableSubmission{operators: o, change: c, valid: valid, version: o.addVersion(c, valid), startUs: o.fleet.Now, done: done}
	s.send(0)
	if twice {
		s.send(maxSubmissionRetries / 2)
	}
}

// addVersion records the table that results from a change of its base.
func (o *operators) addVersion(c ports.TableChange, valid bool) *tableVersion {
	v := &tableVersion{revision: c.Revision, base: c.BaseRevision}
	if base := o.versions[c.BaseRevision]; base != nil || c.BaseRevision == 0 {
		old := ports.RoutingTable{}
		if base != nil {
			old = base.table
		}
		table, problems := routingtable.Apply(old, c)
		v.table = table
		if (len(problems) == 0) != valid {
			panic(fmt.Sprintf("change to revision %d based on revision %d: intended as valid: %v, problems that routingtable.Apply found: %v", c.Revision, c.BaseRevision, valid, problems))
		}
	}
	if !valid {
		v.refusalReason = "the change is invalid"
	}
	if known := o.versions[c.Revision]; known != nil {
		return known
	}
	o.versions[c.Revision] = v
	o.submitted = append(o.submitted, v)
	return v
}

const (
	// maxSubmissionRetries bounds the retries for one change.
	maxSubmissionRetries = 30
	// submissionTimeoutUs limits the operators' wait for a control process's reply.
	submissionTimeoutUs = 1_000_000
)

// tableSubmission is a change that is being submitted.
type tableSubmission struct {
	operators *operators
	change    ports.TableChange
	valid     bool
	version   *tableVersion
	startUs   int64
	ended     bool
	done      func(ports.Outcome)
}

// send sends the change to a random control process, and retries if that process does not
// reply with the outcome.
func (s *tableSubmission) send(retries int) {
	if s.ended {
		return
	}
	if retries > maxSubmissionRetries {
		s.ended = true
		s.done(ports.Unavailable)
		return
	}
	f := s.operators.fleet
	target := f.controls[f.Random.IntN(len(f.controls))]
	retried := false
	retry := func(delayUs int64) {
		if !retried && !s.ended {
			retried = true
			f.After(delayUs, func() { s.send(retries + 1) })
		}
	}
	f.callControl("operators", target, func(c *Control, id uint64) {
		c.post("operators", coordinator.ChangeTable{ID: id, Change: s.change})
	}, func(reply any) {
		r, ok := reply.(ports.ChangeResult)
		if !ok || r.Outcome == ports.Unavailable {
			retry(f.Between(50_000, 300_000) + int64(retries)*50_000)
			return
		}
		s.end(r)
	})
	f.After(submissionTimeoutUs, func() { retry(0) })
}

// end completes the submission with the outcome.
func (s *tableSubmission) end(r ports.ChangeResult) {
	if s.ended {
		return
	}
	s.ended = true
	o := s.operators
	o.fleet.logf("operators: revision %d based on %d: outcome %d after %d ms, revision %d in force, problems: %v", s.change.Revision, s.change.BaseRevision, r.Outcome, (o.fleet.Now-s.startUs)/1000, r.Revision, r.Problems)
	switch r.Outcome {
	case ports.Committed:
		o.changeCommitted(s)
	case ports.Stale, ports.Invalid:
		o.changeRefused(s, r)
	}
	s.done(r.Outcome)
}

// changeCommitted checks and records that a change was acknowledged as committed.
func (o *operators) changeCommitted(s *tableSubmission) {
	f, v := o.fleet, s.version
	if !s.valid {
		f.oracle.violation("CONFIG: the invalid revision %d was acknowledged", s.change.Revision)
		return
	}
	for _, a := range o.acknowledged {
		if a != v && a.base == v.base {
			f.oracle.violation("CONFIG: revisions %d and %d, both based on %d, were acknowledged", a.revision, v.revision, v.base)
		}
	}
	if v.acknowledgedUs == 0 {
		v.acknowledgedUs = f.Now
		o.acknowledged = append(o.acknowledged, v)
	}
	o.knownRevision = max(o.knownRevision, v.revision)
}

// changeRefused checks and records that a change was refused, either as invalid or as
// stale because a revision that does not build on its base is in force.
func (o *operators) changeRefused(s *tableSubmission, r ports.ChangeResult) {
	f, v := o.fleet, s.version
	if r.Outcome == ports.Invalid && s.valid {
		f.oracle.violation("CONFIG: the valid revision %d was refused as invalid: %v", s.change.Revision, r.Problems)
	}
	if v.refusalReason == "" {
		v.refusalReason = "its sender was notified of the refusal"
	}
	if v.inForce {
		f.oracle.violation("CONFIG: revision %d was refused after it was in force", s.change.Revision)
	}
	if r.Outcome == ports.Stale {
		if r.Revision > 0 && o.versions[r.Revision] == nil {
			f.oracle.violation("CONFIG: revision %d, which was never submitted, is reported to be in force", r.Revision)
		}
		o.knownRevision = max(o.knownRevision, r.Revision)
	}
}

// nextRevision draws an unused revision number. Numbers have gaps.
func (o *operators) nextRevision() uint64 {
	o.lastRevision += 1 + uint64(o.fleet.Random.IntN(4))
	return o.lastRevision
}

// submitFirstTable submits the initial table.
func (o *operators) submitFirstTable() {
	t := o.fleet.baseTable()
	o.submitWithRetries(ports.TableChange{BaseRevision: 0, Revision: o.nextRevision(), Complete: true, Routes: t.Routes, Groups: t.Groups, Limits: &t.Limits}, true, false, func(ports.Outcome) {})
}

// amend returns a random change of the newest table: it adds or removes a route without
// traffic, or changes a latency target.
func (o *operators) amend() ports.TableChange {
	f := o.fleet
	c := ports.TableChange{BaseRevision: o.knownRevision, Revision: o.nextRevision()}
	current := o.versions[o.knownRevision]
	inTable := func(n string) bool {
		return current != nil && slices.ContainsFunc(current.table.Routes, func(r ports.Route) bool { return r.Name == n })
	}
	var removable []string
	for _, n := range o.unusedRoutes {
		if inTable(n) {
			removable = append(removable, n)
		}
	}
	switch x := f.Random.IntN(3); {
	case x == 0 && len(removable) > 0:
		c.RemoveRoutes = []string{removable[f.Random.IntN(len(removable))]}
	case x == 1 && current != nil:
		r := current.table.Routes[f.Random.IntN(len(current.table.Routes))]
		r.LatencyTargetUs = f.Between(280_000, 320_000)
		c.Routes = []ports.Route{r}
	default:
		n := fmt.Sprintf("idle-%d", c.Revision)
		o.unusedRoutes = append(o.unusedRoutes, n)
		c.Routes = []ports.Route{{Name: n, Host: n, Prefix: "/", Group: f.groups[0].name, TimeoutUs: 800_000, LatencyTargetUs: 300_000}}
	}
	return c
}

// submitRandomChange submits a random kind of change unless others are pending.
func (o *operators) submitRandomChange() {
	f := o.fleet
	if o.knownRevision == 0 || o.pendingChanges > 0 {
		return
	}
	switch f.Random.IntN(6) {
	case 0, 1:
		o.submit(o.amend(), true, false)
	case 2:
		o.submit(o.amend(), true, true)
	case 3:
		o.submitConflictingChanges()
	case 4:
		o.submit(o.invalidChange(), false, false)
	case 5:
		if len(o.acknowledged) >= 2 {
			o.submitOnOldBase()
		}
	}
}

// submit submits a change and counts it as pending until it has ended.
func (o *operators) submit(c ports.TableChange, valid, twice bool) {
	o.pendingChanges++
	o.submitWithRetries(c, valid, twice, func(ports.Outcome) { o.pendingChanges-- })
}

// submitConflictingChanges submits two changes of the same base at about the same time.
func (o *operators) submitConflictingChanges() {
	done := func(ports.Outcome) { o.pendingChanges-- }
	o.pendingChanges += 2
	a, b := o.amend(), o.amend()
	b.BaseRevision = a.BaseRevision
	o.submitWithRetries(a, true, false, done)
	o.fleet.After(o.fleet.Between(0, 30_000), func() { o.submitWithRetries(b, true, false, done) })
}

// invalidChange returns a change that must never be committed.
func (o *operators) invalidChange() ports.TableChange {
	f := o.fleet
	c := o.amend()
	c.RemoveRoutes = nil
	switch f.Random.IntN(4) {
	case 0:
		c.Routes = append(c.Routes, ports.Route{Name: "x", Host: "x", Group: "nobody", TimeoutUs: 1})
	case 1:
		c.Routes = append(c.Routes, ports.Route{Name: "x", Host: f.routes[0].host, Prefix: "/", Group: f.groups[0].name, TimeoutUs: 1})
	case 2:
		c.Routes = append(c.Routes, ports.Route{Name: "x", Host: "x", Group: f.groups[0].name})
	default:
		c.Problems = []string{"cannot be read"}
	}
	return c
}

// submitOnOldBase submits a change based on a revision that has been superseded.
func (o *operators) submitOnOldBase() {
	f := o.fleet
	o.pendingChanges++
	c := o.amend()
	c.BaseRevision = o.acknowledged[f.Random.IntN(len(o.acknowledged)-1)].revision
	c.RemoveRoutes = nil
	if c.Routes == nil {
		c.Routes = []ports.Route{{Name: "y", Host: "y", Prefix: "/", Group: f.groups[0].name, TimeoutUs: 800_000, LatencyTargetUs: 300_000}}
	}
	if _, problems := routingtable.Apply(o.versions[c.BaseRevision].table, c); len(problems) > 0 {
		o.pendingChanges--
		return // it refers to a group that the old table does not have
	}
	o.submitWithRetries(c, true, false, func(r ports.Outcome) {
		if r == ports.Committed {
			f.oracle.violation("CONFIG: a change of the superseded revision %d was acknowledged", c.BaseRevision)
		}
		o.pendingChanges--
	})
}

// tableReadIntervalUs is the interval between two requests for the table.
const tableReadIntervalUs = 500_000

// readBack fetches the table and checks it against the acknowledged changes. A reply must
// arrive within timeoutUs.
func (o *operators) readBack(timeoutUs int64) {
	f := o.fleet
	received := false
	until := f.Now + timeoutUs
	var request func()
	request = func() {
		if received || f.Now > until {
			return
		}
		target := f.controls[f.Random.IntN(len(f.controls))]
		f.callControl("operators", target, func(c *Control, id uint64) { c.post("operators", coordinator.FetchTable{ID: id}) }, func(reply any) {
			if r, ok := reply.(fetchTableReply); ok && r.ok && !received {
				received = true
				o.checkTable(r.table)
			}
		})
		f.After(tableReadIntervalUs, request)
	}
	request()
	f.After(timeoutUs, func() {
		if !received {
			f.oracle.violation("CONFIG: the table was not read back within %d ms", timeoutUs/1000)
		}
	})
}

// checkTable checks a fetched table: it must be a submitted revision that builds on every
// acknowledged one.
func (o *operators) checkTable(t ports.RoutingTable) {
	f := o.fleet
	v := o.versions[t.Revision]
	if v == nil {
		f.oracle.violation("CONFIG: revision %d, which was never submitted, was read back", t.Revision)
		return
	}
	t.Placements = nil // moves change the placements
	if string(routingtable.Encode(t)) != string(routingtable.Encode(v.table)) {
		f.oracle.violation("CONFIG: revision %d was read back with different contents", t.Revision)
	}
	chain := map[uint64]bool{}
	for v != nil {
		chain[v.revision] = true
		v = o.versions[v.base]
	}
	for _, a := range o.acknowledged {
		if !chain[a.revision] {
			f.oracle.violation("LOST: the acknowledged revision %d is missing from revision %d, which was read back", a.revision, t.Revision)
		}
	}
}
