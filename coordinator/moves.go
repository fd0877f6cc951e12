package coordinator

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"stoneford/paxos"
	"stoneford/ports"
	"stoneford/result"
	"stoneford/routingtable"
	"stoneford/schema"
	"stoneford/switchover"
	"stoneford/voterview"
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

// Moved ends a Move or a CancelMove.
type Moved struct {
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
	mostBehind = 8
	moveAgain  = 4_000_000 // a change of a move that nobody ended is put again
	moveWithin = changeExpiry
)

// moveUnavailable ends what was asked of a move where no majority can be asked.
var moveUnavailable = MoveResult{Outcome: ports.Unavailable, Problem: "no majority of control processes can be reached now; look at the moves, then ask again"}

// lookedBy notes by which routing table whoever looks works, and what a voter
// says of those that look at it.
func (c *Core) lookedBy(now int64, from string, f *follower, m *schema.Look) {
	t := f.tables[m.Run]
	f.tables[m.Run] = tableSeen{at: now, revision: max(t.revision, m.Table)}
	maps.DeleteFunc(f.tables, func(_ uint64, t tableSeen) bool { return now-t.at > 2*voterview.WaitUs })
	f.behind = m.Behind
	if m.All > c.all[from] && slices.Contains(c.view.Voters(), from) {
		c.all[from] = m.All // once true it stays so
		c.stagedDirty()
	}
}

// allHere is the newest routing table of which this voter can say: no process
// has a lease through it while working by an older one, now or later. Whoever
// looked within the time that a lease may last works by it; and what this voter
// returns from now on shows that its disk holds it (design 15.3).
func (c *Core) allHere(now int64) uint64 {
	if !c.votes() || now-c.began < voterview.WaitUs || c.activated > 0 && now-c.activated < voterview.WaitUs {
		return 0 // what an earlier run returned is not known
	}
	low := min(c.voter.Cell(voterview.TableKey).GetValue().GetRevision(), c.tableRev)
	for _, f := range c.follow {
		for _, t := range f.tables {
			if now-t.at < voterview.WaitUs {
				low = min(low, t.revision)
			}
		}
	}
	return low
}

// sayAll tells the others at once where a move waits for that.
func (c *Core) sayAll(now int64) {
	a := c.allHere(now)
	if a <= c.allTold {
		return
	}
	c.allTold = a
	c.all[c.self] = max(c.all[c.self], a)
	if c.staged() {
		c.view.Want()
		c.stagedDirty()
	}
}

// allHold says that every process that has a lease works by a routing table, and
// that no other will have one: a majority of voters says so, and whoever has a
// lease has it from a majority.
func (c *Core) allHold(table uint64) bool {
	k := 0
	for _, o := range c.view.Voters() {
		if c.all[o] >= table {
			k++
		}
	}
	return k > len(c.view.Voters())/2
}

// behind names those that looked here lately and work by an older routing table
// than this process.
func (c *Core) behind(now int64) []string {
	var ns []string
	for _, a := range slices.Sorted(maps.Keys(c.follow)) {
		f := c.follow[a]
		for _, t := range f.tables {
			if now-t.at < voterview.WaitUs && t.revision < c.tableRev && !slices.Contains(ns, f.name) && len(ns) < mostBehind {
				ns = append(ns, f.name)
			}
		}
	}
	return ns
}

// move is a group's newest move, and its register's revision.
func (c *Core) move(n string) (*schema.Move, uint64) {
	v, ok := c.view.Agreed(voterview.MovePrefix + n)
	m := &schema.Move{}
	if !ok || proto.Unmarshal(v.Data, m) != nil {
		return &schema.Move{}, v.Revision
	}
	return m, v.Revision
}

func phaseOf(m *schema.Move) ports.MovePhase { return ports.MovePhase(m.Phase) }

// pends says that a placement's move has not begun: the register is of an
// earlier one.
func pends(p ports.Placement, m *schema.Move) bool { return !p.Back && p.Table > m.Table }

func (c *Core) staged() bool {
	return slices.ContainsFunc(c.table.Placements, func(p ports.Placement) bool {
		m, _ := c.move(p.Group)
		return pends(p, m) || phaseOf(m) == ports.MoveStaged
	})
}

func (c *Core) stagedDirty() {
	for _, p := range c.table.Placements {
		c.group(p.Group).dirty = true
	}
}

// at says which zones belong to a site, which is a zone or a region.
func (c *Core) at(site string) func(zone string) bool {
	return func(zone string) bool {
		return zone == site || c.boot.Zones[zone] == site || zone == c.boot.Zone && c.boot.Region == site
	}
}

// wanted is what the routing table and the move say of a group's primary.
func (c *Core) wanted(n string, in *switchover.Input) {
	p, ok := c.table.Placement(n)
	if !ok {
		return
	}
	in.Move = switchover.Move{At: c.at(p.Site), Site: p.Site}
	m, _ := c.move(n)
	if c.view.Doubt(voterview.MovePrefix + n) {
		return
	}
	switch phaseOf(m) {
	case ports.MoveStaged:
		in.Move.Look = m.Table == p.Table && c.allHold(m.Table)
	case ports.MoveAgreed:
		// An operator's next placement waits until this one has ended.
		in.Move = switchover.Move{At: c.at(m.To), Site: m.To, Table: m.Table, Begin: true}
	}
}

// moveTick takes a group's move on to its next phase.
func (c *Core) moveTick(now int64, n string, g *group, in switchover.Input) {
	k := voterview.MovePrefix + n
	p, has := c.table.Placement(n)
	if !has || !in.Settled || c.view.Doubt(k) || g.putting > 0 && now-g.putting < moveAgain {
		return
	}
	m, rev := c.move(n)
	open := in.Rev > 0 && ports.Phase(in.State.Phase) == ports.PhaseOpen
	to := func(ph ports.MovePhase, cause string) {
		x := proto.Clone(m).(*schema.Move)
		x.Phase, x.Cause = uint32(ph), cause
		c.putMove(now, n, g, rev, x)
	}
	switch ph := phaseOf(m); {
	case ph == ports.MoveAgreed:
		i, known := g.insts[in.State.Primary]
		if !open || in.State.Table < m.Table || !known {
			return
		}
		if c.at(m.To)(i.Zone) {
			to(ports.MoveSwitched, in.State.Cause)
		} else {
			to(ports.MoveFailed, in.State.Cause)
		}
	case pends(p, m):
		c.putMove(now, n, g, rev, &schema.Move{To: p.Site, From: p.From, Table: p.Table, Phase: uint32(ports.MoveStaged)})
	case ph == ports.MoveStaged:
		if level, _ := g.decider.Level(); in.Move.Look && open && level && c.allHold(m.Table) {
			to(ports.MoveAgreed, "")
		}
	case (ph == ports.MoveFailed || ph == ports.MoveCancelled) && p.Table == m.Table && !p.Back:
		// The table is to say again where the group is.
		site := m.From
		if i, ok := g.insts[in.State.GetPrimary()]; ok && !c.at(site)(i.Zone) {
			site = i.Zone
		}
		g.putting = now
		c.place(now, c.tableRev, c.table, ports.Placement{Group: n, Site: site, From: p.Site, Back: true}, func(int64, paxos.Outcome) {
			g.putting, g.dirty = 0, true
		})
	}
}

func (c *Core) putMove(now int64, n string, g *group, base uint64, m *schema.Move) {
	g.putting = now
	c.say(result.MoveAdvanced, "%s to %s by table %d: %s %s", n, m.To, m.Table, phaseOf(m), m.Cause)
	c.ask(now, paxos.Change{Name: c.name(), Key: voterview.MovePrefix + n, Base: base, Data: encodeMove(m), Deadline: now + changeExpiry}, func(int64, paxos.Outcome) {
		g.putting, g.dirty = 0, true
	})
}

func encodeMove(m *schema.Move) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

// place puts a placement into the routing table that stands at base; its own
// register revision is the next one.
func (c *Core) place(now int64, base uint64, t ports.RoutingTable, p ports.Placement, f func(int64, paxos.Outcome)) {
	p.Table = base + 1
	c.ask(now, paxos.Change{Name: c.name(), Key: voterview.TableKey, Base: base, Data: routingtable.Encode(routingtable.Place(t, p)), Deadline: now + changeExpiry}, f)
}

// moveTo puts a group's new site into the newest routing table.
func (c *Core) moveTo(now int64, e Move) {
	if !c.admit(now, e.ID, moveWithin, Moved{ID: e.ID, Result: moveUnavailable}) {
		return
	}
	ret := func(now int64, o ports.Outcome, table uint64, f string, a ...any) {
		c.answer(now, e.ID, Moved{ID: e.ID, Result: MoveResult{Outcome: o, Table: table, Problem: fmt.Sprintf(f, a...)}})
	}
	c.bothRead(now, e.Group, func(now int64, t ports.RoutingTable, rev uint64, m *schema.Move, _ uint64, ok bool) {
		if !ok {
			ret(now, ports.Unavailable, 0, "no majority of control processes replied")
			return
		}
		p, has := t.Placement(e.Group)
		at := c.at(e.Site)
		zone, some := "", false
		l := &schema.Leadership{}
		if v, ok := c.view.Agreed(voterview.LeaderPrefix + e.Group); ok {
			l = voterview.Leadership(v)
		}
		for _, i := range c.group(e.Group).insts {
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
		case has && pends(p, m) || phaseOf(m).UnderWay():
			ret(now, ports.Stale, m.Table, "%s is being moved to %s already", e.Group, p.Site)
			return
		}
		from := zone
		if has && c.at(p.Site)(zone) {
			from = p.Site
		}
		c.place(now, rev, t, ports.Placement{Group: e.Group, Site: e.Site, From: from}, func(now int64, o paxos.Outcome) {
			switch o.Verdict {
			case paxos.Agreed:
				ret(now, ports.Agreed, rev+1, "")
			case paxos.Lost:
				ret(now, ports.Stale, 0, "the routing table was changed at the same time; ask again")
			default:
				ret(now, ports.Unavailable, 0, "whether it was taken is not known; look at the moves")
			}
		})
	})
}

// bothRead reads the routing table and a group's move through a majority.
func (c *Core) bothRead(now int64, n string, f func(now int64, t ports.RoutingTable, rev uint64, m *schema.Move, mrev uint64, ok bool)) {
	c.read(now, voterview.TableKey, func(now int64, o paxos.Outcome) {
		t, err := routingtable.Decode(o.Value.GetData())
		if o.Verdict != paxos.Agreed || err != nil {
			f(now, t, 0, nil, 0, false)
			return
		}
		rev := o.Value.GetRevision()
		c.read(now, voterview.MovePrefix+n, func(now int64, o paxos.Outcome) {
			m := &schema.Move{}
			ok := o.Verdict == paxos.Agreed && proto.Unmarshal(o.Value.GetData(), m) == nil
			f(now, t, rev, m, o.Value.GetRevision(), ok)
		})
	})
}

// cancelMove ends a move that is not agreed yet.
func (c *Core) cancelMove(now int64, e CancelMove) {
	if !c.admit(now, e.ID, moveWithin, Moved{ID: e.ID, Result: moveUnavailable}) {
		return
	}
	ret := func(now int64, o ports.Outcome, table uint64, problem string) {
		c.answer(now, e.ID, Moved{ID: e.ID, Result: MoveResult{Outcome: o, Table: table, Problem: problem}})
	}
	c.bothRead(now, e.Group, func(now int64, t ports.RoutingTable, _ uint64, m *schema.Move, rev uint64, ok bool) {
		p, has := t.Placement(e.Group)
		switch {
		case !ok:
			ret(now, ports.Unavailable, 0, "no majority of control processes replied")
			return
		case has && pends(p, m) && phaseOf(m) != ports.MoveAgreed:
			m = &schema.Move{To: p.Site, From: p.From, Table: p.Table}
		case phaseOf(m) == ports.MoveAgreed:
			ret(now, ports.Stale, m.Table, "all work by the new table: the switch is being carried out")
			return
		case phaseOf(m) != ports.MoveStaged:
			ret(now, ports.Stale, m.Table, "no move of it is staged")
			return
		}
		m.Phase, m.Cause = uint32(ports.MoveCancelled), "an operator took it back"
		c.ask(now, paxos.Change{Name: c.name(), Key: voterview.MovePrefix + e.Group, Base: rev, Data: encodeMove(m), Deadline: now + changeExpiry}, func(now int64, o paxos.Outcome) {
			switch o.Verdict {
			case paxos.Agreed:
				ret(now, ports.Agreed, m.Table, "")
			case paxos.Lost:
				ret(now, ports.Stale, m.Table, "the move went on at the same time; look at the moves")
			default:
				ret(now, ports.Unavailable, 0, "whether it was taken back is not known; look at the moves")
			}
		})
	})
}

// MoveState is how a group's placement and its newest move stand.
type MoveState struct {
	Group   string   `json:"group"`
	Site    string   `json:"site"` // as the routing table says
	Phase   string   `json:"phase"`
	To      string   `json:"to,omitempty"`
	From    string   `json:"from,omitempty"`
	Table   uint64   `json:"table,omitempty"` // register revision that all have to work by
	Cause   string   `json:"cause,omitempty"`
	Behind  []string `json:"behind,omitempty"` // who works by an older table
	Waits   string   `json:"waits,omitempty"`  // what a staged move waits for
	Primary string   `json:"primary,omitempty"`
	Zone    string   `json:"zone,omitempty"` // of the primary
	Floor   uint64   `json:"floor,omitempty"`
}

// Moves are the placements in the routing table and how they stand.
func (c *Core) Moves(now int64) []MoveState {
	ss := []MoveState{}
	for _, p := range c.table.Placements {
		m, _ := c.move(p.Group)
		s := MoveState{Group: p.Group, Site: p.Site, Phase: phaseOf(m).String(), To: m.To, From: m.From, Table: m.Table, Cause: m.Cause}
		if v, ok := c.view.Agreed(voterview.LeaderPrefix + p.Group); ok {
			l := voterview.Leadership(v)
			s.Primary, s.Floor = l.Primary, l.Table
			if i, ok := c.group(p.Group).insts[l.Primary]; ok {
				s.Zone = i.Zone
			}
		}
		if pends(p, m) && phaseOf(m) != ports.MoveAgreed {
			s.Phase, s.To, s.From, s.Table, s.Cause = ports.MoveStaged.String(), p.Site, p.From, p.Table, ""
		}
		if s.Phase == ports.MoveStaged.String() {
			s.Behind, s.Waits = c.waits(now, p.Group, s.Table)
		}
		ss = append(ss, s)
	}
	return ss
}

// waits says what a staged move waits for, as far as this process knows.
func (c *Core) waits(now int64, n string, table uint64) ([]string, string) {
	if c.allHold(table) {
		if _, why := c.group(n).decider.Level(); why != "" {
			return nil, why
		}
		return nil, "a database at the site to be level"
	}
	ns := c.behind(now)
	k := 0
	for _, o := range c.view.Voters() {
		if f := c.follow[o]; f != nil && now-f.at < followFor {
			for _, b := range f.behind {
				if !slices.Contains(ns, b) {
					ns = append(ns, b)
				}
			}
		}
		if c.all[o] >= table {
			k++
		}
	}
	slices.Sort(ns)
	return ns, fmt.Sprintf("all processes to work by table %d: %d of %d control processes say so", table, k, len(c.view.Voters()))
}

// moveDue is when the oldest look that a staged move waits for falls out.
func (c *Core) moveDue(now int64) int64 {
	if !c.votes() || !c.staged() {
		return math.MaxInt64
	}
	d := int64(math.MaxInt64)
	for _, f := range c.follow {
		for _, t := range f.tables {
			if at := t.at + voterview.WaitUs; at > now && t.revision < c.tableRev {
				d = min(d, at)
			}
		}
	}
	if at := c.began + voterview.WaitUs; at > now {
		d = min(d, at)
	}
	return d
}
