package coordinator

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"stoneford/failover/fenced"
	"stoneford/internal/learner"
	"stoneford/internal/ports"
	"stoneford/internal/routingtable"
	"stoneford/paxos"
	"stoneford/result"
	"stoneford/schema"
)

// Moves between sites (design 15). The routing table names the site; the group's
// register move/<group> says how far its newest placement has come; the
// leadership changes only once all work by the table.

// Events.
type (
	// Move asks that a group's primary serve at another site.
	Move struct {
		ID          uint64
		Group, Site string
	}
	// CancelMove takes a move back that is staged.
	CancelMove struct {
		ID    uint64
		Group string
	}
)

// MoveDone ends a Move or a CancelMove.
type MoveDone struct {
	ID     uint64
	Result MoveResult
}

// MoveResult is what became of what an operator asked of a move.
type MoveResult struct {
	Outcome ports.Outcome // Stale: not possible as things stand
	Problem string
	Table   uint64 // register revision of the routing table that names the site
}

const (
	maxLaggingNames   = 8
	moveRetryInterval = 4_000_000 // a change of a move that nobody ended is put again
	moveTimeout       = changeTimeout
)

// moveUnavailable ends what was asked of a move where no majority can be asked.
var moveUnavailable = MoveResult{Outcome: ports.Unavailable, Problem: "no majority of control processes can be reached now; look at the moves, then ask again"}

// notePollerTable notes by which routing table whoever looks works, and what a voter
// says of those that look at it.
func (c *Core) notePollerTable(now int64, from string, f *poller, m *schema.Poll) {
	t := f.tables[m.Run]
	f.tables[m.Run] = polledTable{polledAt: now, revision: max(t.revision, m.TableRevision)}
	maps.DeleteFunc(f.tables, func(_ uint64, t polledTable) bool { return now-t.polledAt > 2*learner.LeaseEndBoundUs })
	f.lagging = m.Lagging
	if m.ConvergedTable > c.convergedTables[from] && slices.Contains(c.learner.Voters(), from) {
		c.convergedTables[from] = m.ConvergedTable // once true it stays so
		c.markPlacedGroupsChanged()
	}
}

// convergedTableHere is the newest routing table of which this voter can say: no process
// has a lease through it while working by an older one, now or later. Whoever
// looked within the time that a lease may last works by it; and what this voter
// returns from now on shows that its disk holds it (design 15.3).
func (c *Core) convergedTableHere(now int64) uint64 {
	if !c.isVoting() || now-c.startedAt < learner.LeaseEndBoundUs || c.activatedAt > 0 && now-c.activatedAt < learner.LeaseEndBoundUs {
		return 0 // what an earlier run returned is not known
	}
	low := min(c.acceptor.RegisterState(learner.TableKey).GetValue().GetRevision(), c.tableRevision)
	for _, f := range c.pollers {
		for _, t := range f.tables {
			if now-t.polledAt < learner.LeaseEndBoundUs {
				low = min(low, t.revision)
			}
		}
	}
	return low
}

// reportConvergedTable tells the others at once where a move waits for that.
func (c *Core) reportConvergedTable(now int64) {
	a := c.convergedTableHere(now)
	if a <= c.convergedTable {
		return
	}
	c.convergedTable = a
	c.convergedTables[c.self] = max(c.convergedTables[c.self], a)
	if c.anyMoveStaged() {
		c.learner.RequestPoll()
		c.markPlacedGroupsChanged()
	}
}

// majorityConverged says that every process that has a lease works by a routing table, and
// that no other will have one: a majority of voters says so, and whoever has a
// lease has it from a majority.
func (c *Core) majorityConverged(table uint64) bool {
	k := 0
	for _, o := range c.learner.Voters() {
		if c.convergedTables[o] >= table {
			k++
		}
	}
	return k > len(c.learner.Voters())/2
}

// laggingProcesses names those that looked here lately and work by an older routing table
// than this process.
func (c *Core) laggingProcesses(now int64) []string {
	var ns []string
	for _, a := range slices.Sorted(maps.Keys(c.pollers)) {
		f := c.pollers[a]
		for _, t := range f.tables {
			if now-t.polledAt < learner.LeaseEndBoundUs && t.revision < c.tableRevision && !slices.Contains(ns, f.name) && len(ns) < maxLaggingNames {
				ns = append(ns, f.name)
			}
		}
	}
	return ns
}

// move is a group's newest move, and its register's revision.
func (c *Core) move(n string) (*schema.Move, uint64) {
	v, ok := c.learner.Committed(learner.MovePrefix + n)
	m := &schema.Move{}
	if !ok || proto.Unmarshal(v.Data, m) != nil {
		return &schema.Move{}, v.Revision
	}
	return m, v.Revision
}

func movePhase(m *schema.Move) ports.MovePhase { return ports.MovePhase(m.Phase) }

// isMovePending says that a placement's move has not begun: the register is of an
// earlier one.
func isMovePending(p ports.Placement, m *schema.Move) bool {
	return !p.Reverted && p.TableRevision > m.TableRevision
}

func (c *Core) anyMoveStaged() bool {
	return slices.ContainsFunc(c.routingTable.Placements, func(p ports.Placement) bool {
		m, _ := c.move(p.Group)
		return isMovePending(p, m) || movePhase(m) == ports.MoveStaged
	})
}

func (c *Core) markPlacedGroupsChanged() {
	for _, p := range c.routingTable.Placements {
		c.group(p.Group).changed = true
	}
}

// inSite says which zones belong to a site, which is a zone or a region.
func (c *Core) inSite(site string) func(zone string) bool {
	return func(zone string) bool {
		return zone == site || c.config.Zones[zone] == site || zone == c.config.Zone && c.config.Region == site
	}
}

// addRequestedMove is what the routing table and the move say of a group's primary.
func (c *Core) addRequestedMove(n string, in *fenced.Input) {
	p, ok := c.routingTable.Placement(n)
	if !ok {
		return
	}
	in.Move = fenced.SiteMove{InSite: c.inSite(p.Site), Site: p.Site}
	m, _ := c.move(n)
	if c.learner.Unconfirmed(learner.MovePrefix + n) {
		return
	}
	switch movePhase(m) {
	case ports.MoveStaged:
		in.Move.CheckCandidate = m.TableRevision == p.TableRevision && c.majorityConverged(m.TableRevision)
	case ports.MoveAgreed:
		// An operator's next placement waits until this one has ended.
		in.Move = fenced.SiteMove{InSite: c.inSite(m.ToSite), Site: m.ToSite, TableRevision: m.TableRevision, Committed: true}
	}
}

// tickMove takes a group's move on to its next phase.
func (c *Core) tickMove(now int64, n string, g *group, in fenced.Input) {
	k := learner.MovePrefix + n
	p, has := c.routingTable.Placement(n)
	if !has || !in.UpToDate || c.learner.Unconfirmed(k) || g.moveProposedAt > 0 && now-g.moveProposedAt < moveRetryInterval {
		return
	}
	m, rev := c.move(n)
	open := in.Revision > 0 && ports.Phase(in.State.Phase) == ports.PhaseServing
	to := func(ph ports.MovePhase, cause string) {
		x := proto.Clone(m).(*schema.Move)
		x.Phase, x.Cause = uint32(ph), cause
		c.proposeMove(now, n, g, rev, x)
	}
	switch ph := movePhase(m); {
	case ph == ports.MoveAgreed:
		i, known := g.databases[in.State.Primary]
		if !open || in.State.TableRevision < m.TableRevision || !known {
			return
		}
		if c.inSite(m.ToSite)(i.Zone) {
			to(ports.MoveSwitched, in.State.Cause)
		} else {
			to(ports.MoveFailed, in.State.Cause)
		}
	case isMovePending(p, m):
		c.proposeMove(now, n, g, rev, &schema.Move{ToSite: p.Site, FromSite: p.PreviousSite, TableRevision: p.TableRevision, Phase: uint32(ports.MoveStaged)})
	case ph == ports.MoveStaged:
		if level, _ := g.decider.MoveCandidate(); in.Move.CheckCandidate && open && level && c.majorityConverged(m.TableRevision) {
			to(ports.MoveAgreed, "")
		}
	case (ph == ports.MoveFailed || ph == ports.MoveCancelled) && p.TableRevision == m.TableRevision && !p.Reverted:
		// The table is to say again where the group is.
		site := m.FromSite
		if i, ok := g.databases[in.State.GetPrimary()]; ok && !c.inSite(site)(i.Zone) {
			site = i.Zone
		}
		g.moveProposedAt = now
		c.proposePlacement(now, c.tableRevision, c.routingTable, ports.Placement{Group: n, Site: site, PreviousSite: p.Site, Reverted: true}, func(int64, paxos.Outcome) {
			g.moveProposedAt, g.changed = 0, true
		})
	}
}

func (c *Core) proposeMove(now int64, n string, g *group, base uint64, m *schema.Move) {
	g.moveProposedAt = now
	c.logf(result.MoveAdvanced, "%s to %s by table %d: %s %s", n, m.ToSite, m.TableRevision, movePhase(m), m.Cause)
	c.propose(now, paxos.Change{ID: c.proposalName(), Key: learner.MovePrefix + n, BaseRevision: base, Data: encodeMove(m), Deadline: now + changeTimeout}, func(int64, paxos.Outcome) {
		g.moveProposedAt, g.changed = 0, true
	})
}

func encodeMove(m *schema.Move) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

// proposePlacement puts a placement into the routing table that stands at base; its own
// register revision is the next one.
func (c *Core) proposePlacement(now int64, base uint64, t ports.RoutingTable, p ports.Placement, f func(int64, paxos.Outcome)) {
	p.TableRevision = base + 1
	c.propose(now, paxos.Change{ID: c.proposalName(), Key: learner.TableKey, BaseRevision: base, Data: routingtable.Encode(routingtable.WithPlacement(t, p)), Deadline: now + changeTimeout}, f)
}

// requestMove puts a group's new site into the newest routing table.
func (c *Core) requestMove(now int64, e Move) {
	if !c.admitCall(now, e.ID, moveTimeout, MoveDone{ID: e.ID, Result: moveUnavailable}) {
		return
	}
	ret := func(now int64, o ports.Outcome, table uint64, f string, a ...any) {
		c.finishCall(now, e.ID, MoveDone{ID: e.ID, Result: MoveResult{Outcome: o, Table: table, Problem: fmt.Sprintf(f, a...)}})
	}
	c.readTableAndMove(now, e.Group, func(now int64, t ports.RoutingTable, rev uint64, m *schema.Move, _ uint64, ok bool) {
		if !ok {
			ret(now, ports.Unavailable, 0, "no majority of control processes replied")
			return
		}
		p, has := t.Placement(e.Group)
		at := c.inSite(e.Site)
		zone, some := "", false
		l := &schema.Leadership{}
		if v, ok := c.learner.Committed(learner.LeaderPrefix + e.Group); ok {
			l = learner.DecodeLeadership(v)
		}
		for _, i := range c.group(e.Group).databases {
			some = some || !i.Gone && at(i.Zone)
			if i.ID == l.Primary {
				zone = i.Zone
			}
		}
		switch {
		case !slices.ContainsFunc(t.Groups, func(g ports.Group) bool { return g.Name == e.Group }):
			ret(now, ports.Invalid, 0, "the routing table has no group %q", e.Group)
			return
		case !some:
			ret(now, ports.Invalid, 0, "no database of %s is announced at %q", e.Group, e.Site)
			return
		case zone == "":
			ret(now, ports.Stale, 0, "%s has no primary that is announced", e.Group)
			return
		case has && isMovePending(p, m) || movePhase(m).InProgress():
			ret(now, ports.Stale, m.TableRevision, "%s is being moved to %s already", e.Group, p.Site)
			return
		}
		from := zone
		if has && c.inSite(p.Site)(zone) {
			from = p.Site
		}
		c.proposePlacement(now, rev, t, ports.Placement{Group: e.Group, Site: e.Site, PreviousSite: from}, func(now int64, o paxos.Outcome) {
			switch o.Verdict {
			case paxos.Committed:
				ret(now, ports.Committed, rev+1, "")
			case paxos.Conflict:
				ret(now, ports.Stale, 0, "the routing table was changed at the same time; ask again")
			default:
				ret(now, ports.Unavailable, 0, "whether it was taken is not known; look at the moves")
			}
		})
	})
}

// readTableAndMove reads the routing table and a group's move through a majority.
func (c *Core) readTableAndMove(now int64, n string, f func(now int64, t ports.RoutingTable, rev uint64, m *schema.Move, mrev uint64, ok bool)) {
	c.readRegister(now, learner.TableKey, func(now int64, o paxos.Outcome) {
		t, err := routingtable.Decode(o.Value.GetData())
		if o.Verdict != paxos.Committed || err != nil {
			f(now, t, 0, nil, 0, false)
			return
		}
		rev := o.Value.GetRevision()
		c.readRegister(now, learner.MovePrefix+n, func(now int64, o paxos.Outcome) {
			m := &schema.Move{}
			ok := o.Verdict == paxos.Committed && proto.Unmarshal(o.Value.GetData(), m) == nil
			f(now, t, rev, m, o.Value.GetRevision(), ok)
		})
	})
}

// cancelMove ends a move that is not agreed yet.
func (c *Core) cancelMove(now int64, e CancelMove) {
	if !c.admitCall(now, e.ID, moveTimeout, MoveDone{ID: e.ID, Result: moveUnavailable}) {
		return
	}
	ret := func(now int64, o ports.Outcome, table uint64, problem string) {
		c.finishCall(now, e.ID, MoveDone{ID: e.ID, Result: MoveResult{Outcome: o, Table: table, Problem: problem}})
	}
	c.readTableAndMove(now, e.Group, func(now int64, t ports.RoutingTable, _ uint64, m *schema.Move, rev uint64, ok bool) {
		p, has := t.Placement(e.Group)
		switch {
		case !ok:
			ret(now, ports.Unavailable, 0, "no majority of control processes replied")
			return
		case has && isMovePending(p, m) && movePhase(m) != ports.MoveAgreed:
			m = &schema.Move{ToSite: p.Site, FromSite: p.PreviousSite, TableRevision: p.TableRevision}
		case movePhase(m) == ports.MoveAgreed:
			ret(now, ports.Stale, m.TableRevision, "all work by the new table: the switch is being carried out")
			return
		case movePhase(m) != ports.MoveStaged:
			ret(now, ports.Stale, m.TableRevision, "no move of it is staged")
			return
		}
		m.Phase, m.Cause = uint32(ports.MoveCancelled), "an operator took it back"
		c.propose(now, paxos.Change{ID: c.proposalName(), Key: learner.MovePrefix + e.Group, BaseRevision: rev, Data: encodeMove(m), Deadline: now + changeTimeout}, func(now int64, o paxos.Outcome) {
			switch o.Verdict {
			case paxos.Committed:
				ret(now, ports.Committed, m.TableRevision, "")
			case paxos.Conflict:
				ret(now, ports.Stale, m.TableRevision, "the move went on at the same time; look at the moves")
			default:
				ret(now, ports.Unavailable, 0, "whether it was taken back is not known; look at the moves")
			}
		})
	})
}

// MoveState is how a group's placement and its newest move stand.
type MoveState struct {
	Group         string   `json:"group"`
	Site          string   `json:"site"` // as the routing table says
	Phase         string   `json:"phase"`
	To            string   `json:"to,omitempty"`
	From          string   `json:"from,omitempty"`
	Table         uint64   `json:"table,omitempty"` // register revision that all have to work by
	Cause         string   `json:"cause,omitempty"`
	Lagging       []string `json:"behind,omitempty"` // who works by an older table
	WaitingFor    string   `json:"waits,omitempty"`  // what a staged move waits for
	Primary       string   `json:"primary,omitempty"`
	Zone          string   `json:"zone,omitempty"` // of the primary
	RequiredTable uint64   `json:"floor,omitempty"`
}

// Moves are the placements in the routing table and how they stand.
func (c *Core) Moves(now int64) []MoveState {
	ss := []MoveState{}
	for _, p := range c.routingTable.Placements {
		m, _ := c.move(p.Group)
		s := MoveState{Group: p.Group, Site: p.Site, Phase: movePhase(m).String(), To: m.ToSite, From: m.FromSite, Table: m.TableRevision, Cause: m.Cause}
		if v, ok := c.learner.Committed(learner.LeaderPrefix + p.Group); ok {
			l := learner.DecodeLeadership(v)
			s.Primary, s.RequiredTable = l.Primary, l.TableRevision
			if i, ok := c.group(p.Group).databases[l.Primary]; ok {
				s.Zone = i.Zone
			}
		}
		if isMovePending(p, m) && movePhase(m) != ports.MoveAgreed {
			s.Phase, s.To, s.From, s.Table, s.Cause = ports.MoveStaged.String(), p.Site, p.PreviousSite, p.TableRevision, ""
		}
		if s.Phase == ports.MoveStaged.String() {
			s.Lagging, s.WaitingFor = c.moveWaitsFor(now, p.Group, s.Table)
		}
		ss = append(ss, s)
	}
	return ss
}

// moveWaitsFor says what a staged move waits for, as far as this process knows.
func (c *Core) moveWaitsFor(now int64, n string, table uint64) ([]string, string) {
	if c.majorityConverged(table) {
		if _, why := c.group(n).decider.MoveCandidate(); why != "" {
			return nil, why
		}
		return nil, "a database at the site to be level"
	}
	ns := c.laggingProcesses(now)
	k := 0
	for _, o := range c.learner.Voters() {
		if f := c.pollers[o]; f != nil && now-f.lastPoll < pollerTimeout {
			for _, b := range f.lagging {
				if !slices.Contains(ns, b) {
					ns = append(ns, b)
				}
			}
		}
		if c.convergedTables[o] >= table {
			k++
		}
	}
	slices.Sort(ns)
	return ns, fmt.Sprintf("all processes to work by table %d: %d of %d control processes say so", table, k, len(c.learner.Voters()))
}

// moveDue is when the oldest look that a staged move waits for falls out.
func (c *Core) moveDue(now int64) int64 {
	if !c.isVoting() || !c.anyMoveStaged() {
		return math.MaxInt64
	}
	d := int64(math.MaxInt64)
	for _, f := range c.pollers {
		for _, t := range f.tables {
			if at := t.polledAt + learner.LeaseEndBoundUs; at > now && t.revision < c.tableRevision {
				d = min(d, at)
			}
		}
	}
	if at := c.startedAt + learner.LeaseEndBoundUs; at > now {
		d = min(d, at)
	}
	return d
}
