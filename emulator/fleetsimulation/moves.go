package fleetsimulation

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"stoneford/internal/coordinator"
	"stoneford/internal/learner"
	"stoneford/internal/ports"
	"stoneford/schema"
)

// moves requests moves of groups between sites as operators do, and checks the rules MOVE,
// GATE and FLOOR.
type moves struct {
	fleet               *Fleet
	agreedTables        map[string]uint64       // by group: newest table revision for which a move was agreed
	terms               map[string]uint64       // by group: newest term in which its leadership was serving
	floors              map[string][]tableFloor // by group, by ascending table revision
	phases              map[string][2]uint64    // by group: register revision and phase of the newest observed state of its move
	phaseCounts         map[ports.MovePhase]int
	requestedMoves      int
	tableWithheldFromUs int64 // with GateSkipped or FloorIgnored: time from which the first node receives no table
}

// tableFloor is the table revision that a leadership requires. From then on, nodes with
// an older table must not serve the group.
type tableFloor struct {
	tableRevision uint64
	seenAtUs      int64 // time at which the leadership was first observed as committed
	term          uint64
	// The leadership raised its required table but kept its primary. No move switched
	// sites, so a node that is not yet notified may still write to that primary.
	primaryUnchanged bool
}

func newMoves(f *Fleet) moves {
	return moves{fleet: f, agreedTables: map[string]uint64{}, floors: map[string][]tableFloor{}, terms: map[string]uint64{}, phases: map[string][2]uint64{}, phaseCounts: map[ports.MovePhase]int{}, tableWithheldFromUs: math.MaxInt64}
}

// observe runs after each step of a control process.
func (m *moves) observe(c *Control) {
	for _, g := range m.fleet.groups {
		if v, ok := c.core.Learner().Committed(learner.MovePrefix + g.name); ok && v.Revision > m.phases[g.name][0] {
			m.observeMove(g, v)
		}
		if v, ok := c.core.Learner().Committed(learner.LeaderPrefix + g.name); ok {
			m.observeLeadership(g, learner.DecodeLeadership(v))
		}
	}
}

// observeMove records a newer revision of a group's move and, once the move is agreed,
// checks the rule GATE.
func (m *moves) observeMove(g *group, v learner.CommittedValue) {
	f := m.fleet
	move := &schema.Move{}
	if proto.Unmarshal(v.Data, move) != nil {
		f.oracle.violation("MOVE: register of the move of %s does not decode", g.name)
	}
	phase := ports.MovePhase(move.Phase)
	m.phases[g.name] = [2]uint64{v.Revision, uint64(move.Phase)}
	m.phaseCounts[phase]++
	f.logf("move of %s to %s with table %d: phase %v, cause: %q", g.name, move.ToSite, move.TableRevision, phase, move.Cause)
	if phase == ports.MoveAgreed {
		m.checkGate(g, move.TableRevision)
	}
}

// observeLeadership records the tables and terms of a group's serving leaderships. A
// leadership may only require a table for which a move was agreed.
func (m *moves) observeLeadership(g *group, l *schema.Leadership) {
	if ports.Phase(l.Phase) != ports.PhaseServing {
		return
	}
	floors := m.floors[g.name]
	if l.TableRevision > 0 && (len(floors) == 0 || l.TableRevision > floors[len(floors)-1].tableRevision) {
		m.floors[g.name] = append(floors, tableFloor{l.TableRevision, m.fleet.Now, l.Term, l.Term == m.terms[g.name]})
		if m.agreedTables[g.name] < l.TableRevision {
			m.fleet.oracle.violation("GATE: leadership of %s requires table %d, for which no move was agreed", g.name, l.TableRevision)
		}
	}
	m.terms[g.name] = max(m.terms[g.name], l.Term)
}

// checkGate checks, when a move is agreed, that every node with a valid lease has applied
// the move's table.
func (m *moves) checkGate(g *group, tableRevision uint64) {
	m.agreedTables[g.name] = max(m.agreedTables[g.name], tableRevision)
	for _, n := range m.fleet.nodes {
		if n.up && n.core.LeaseUntilUs() > n.now() && n.core.TableRevision() < tableRevision {
			m.fleet.oracle.violation("GATE: the move of %s with table %d was agreed while %s has a valid lease with table %d", g.name, tableRevision, n.name, n.core.TableRevision())
		}
	}
}

// checkForwardedTable checks a statement that has succeeded: if it was forwarded to a
// database after a move switched sites, it must have been forwarded under the move's
// table or a newer one.
func (m *moves) checkForwardedTable(statement *Statement) {
	if statement.group == nil || !statement.writes && statement.kind != ports.Commit && !m.fleet.oracle.mustBeCurrent(statement) {
		return
	}
	if statement.kind == ports.Commit && !statement.attempt.wrote(statement.transaction) {
		return // a commit without writes; each read of the transaction is checked by itself
	}
	for _, fl := range m.floors[statement.group.name] {
		if fl.primaryUnchanged {
			continue
		}
		if statement.forwardedUs > fl.seenAtUs && statement.forwardedTable < fl.tableRevision {
			m.fleet.oracle.violation("FLOOR: %q was forwarded under table %d, %d ms after %s required table %d", statement.raw, statement.forwardedTable, (statement.forwardedUs-fl.seenAtUs)/1000, statement.group.name, fl.tableRevision)
			return
		}
	}
}

// checkCommitTable checks an acknowledged commit: from the term in which a move switched
// sites, commits must have been forwarded under the move's table or a newer one.
func (m *moves) checkCommitTable(statement *Statement, e *entry) {
	for _, fl := range m.floors[e.primary.group.name] {
		if fl.primaryUnchanged {
			continue
		}
		if e.position.Term >= fl.term && statement.forwardedTable < fl.tableRevision {
			m.fleet.oracle.violation("FLOOR: the commit at position %v of %s was forwarded under table %d, its term requires table %d", e.position, e.primary.group.name, statement.forwardedTable, fl.tableRevision)
			return
		}
	}
}

// requestRandomMoves requests moves of groups until a time.
func (m *moves) requestRandomMoves(untilUs, meanIntervalUs int64) {
	m.fleet.repeatRandomly(untilUs, meanIntervalUs, m.requestRandomMove)
}

// requestRandomMove requests a move of a random group to a zone or region, and cancels
// some moves afterwards.
func (m *moves) requestRandomMove() {
	f := m.fleet
	g := f.groups[f.Random.IntN(len(f.groups))]
	site := zoneNames[f.Random.IntN(len(zoneNames))]
	if f.Chance(0.3) {
		site = "region-of-" + site
	}
	m.requestMove(g, site)
	if f.Chance(0.2) {
		f.afterRandom(0, 400_000, func() { m.requestCancel(g) })
	}
}

// requestMove requests a move of a group to a zone or region.
func (m *moves) requestMove(g *group, site string) {
	m.requestedMoves++
	m.call(func(id uint64) coordinator.Event { return coordinator.Move{ID: id, Group: g.name, Site: site} }, "move "+g.name+" to "+site)
}

// requestCancel requests that the move of a group is cancelled.
func (m *moves) requestCancel(g *group) {
	m.call(func(id uint64) coordinator.Event { return coordinator.CancelMove{ID: id, Group: g.name} }, "cancel the move of "+g.name)
}

// call sends an operator's request to a random control process and logs the outcome.
// newRequest creates the request with the ID of the call.
func (m *moves) call(newRequest func(id uint64) coordinator.Event, description string) {
	f := m.fleet
	c := f.controls[f.Random.IntN(len(f.controls))]
	f.callControl("operators", c, func(c *Control, id uint64) { c.post("operators", newRequest(id)) }, func(v any) {
		if r, ok := v.(coordinator.MoveResult); ok {
			f.logf("operators: %s: outcome %d, problem: %q", description, r.Outcome, r.Problem)
		}
	})
}

// site returns the zone of a group's primary.
func (g *group) site() string { return g.primary.zone }

// mutatePollResponse removes the data that the plan's mutation withholds from a poll
// response to a node.
func (m *moves) mutatePollResponse(to string, r *schema.PollResponse) {
	f := m.fleet
	if f.nodeAt[to] == f.nodes[0] && f.Now >= m.tableWithheldFromUs {
		r.Registers = slices.DeleteFunc(r.Registers, func(c *schema.RegisterState) bool { return c.Key == learner.TableKey })
	}
	if f.Plan.Mutation != FloorIgnored {
		return
	}
	for _, c := range r.Registers {
		if strings.HasPrefix(c.Key, learner.LeaderPrefix) && len(c.Value.GetData()) > 0 {
			l := learner.DecodeLeadership(learner.CommittedValue{Data: c.Value.Data})
			l.TableRevision = 0
			b, err := proto.MarshalOptions{Deterministic: true}.Marshal(l)
			if err != nil {
				panic(err)
			}
			c.Value.Data = b
		}
	}
}

// mutatePoll makes a control process report that all processes have applied the newest
// table.
func (f *Fleet) mutatePoll(e *schema.Envelope) {
	if l := e.GetPoll(); l != nil && (f.Plan.Mutation == GateSkipped || f.Plan.Mutation == FloorIgnored) && l.Kind == "control" {
		l.ConvergedTable = cmp.Or(l.ConvergedTable, 1) << 40
	}
}
