package sessiontable

import (
	"fmt"
	"slices"
	"testing"

	"stoneford/internal/ports"
)

// addGroup adds a group with a primary and one replica, whose IDs begin with the group's
// name, and confirms its leadership.
func (b *tableHarness) addGroup(name string) {
	primary, replica := name+"-primary", name+"-replica"
	for _, id := range []string{primary, replica} {
		b.instances = append(b.instances, ports.Instance{ID: id, Group: name, Address: id, Zone: "a", Capacity: 4, AnnouncementNumber: 1})
	}
	b.routes.Groups = append(b.routes.Groups, ports.Group{Name: name, ConnectionLimit: 65, RequiredReplicaAcks: 1})
	b.confirmLeadership(name, ports.Leadership{Revision: 1, Term: 1, Primary: primary, Phase: ports.PhaseServing})
}

// confirmLeadership delivers a group's leadership with a lease of 1 s.
func (b *tableHarness) confirmLeadership(group string, leadership ports.Leadership) {
	table := b.routes
	b.step(Update{Table: &table, Groups: map[string]GroupState{group: {Leadership: leadership}}, Instances: slices.Clone(b.instances), LeaseUntilUs: b.now + 1_000_000, PoolNodes: 1})
}

// routeTo changes the group of a host's route.
func (b *tableHarness) routeTo(host, group string) {
	b.routes.Revision++
	b.routes.Routes = slices.Clone(b.routes.Routes)
	for i := range b.routes.Routes {
		if b.routes.Routes[i].Host == host {
			b.routes.Routes[i].Group = group
		}
	}
	b.renewLease(1_000_000)
}

// commitAt commits a write of a session, which the primary answers at a position.
func (b *tableHarness) commitAt(session uint64, number int64) {
	b.t.Helper()
	b.sendStatement(session, ports.Write)
	b.answerDone(b.awaitSend(), number)
	b.expectReply(ports.Done, ports.Idle)
}

// commitTwice lets a session of its own commit at position 10, so that the group's
// replicas are known to lack everything above, and then the session at position 20.
func (b *tableHarness) commitTwice(session uint64) {
	b.t.Helper()
	const earlier = 100
	b.openSession(earlier, "c")
	b.commitAt(earlier, 10)
	b.commitAt(session, 20)
}

// harnessAfterTwoGroups returns a harness whose session 1 has committed at position 20 of
// g and then, since its route changed, at position 15 of h.
func harnessAfterTwoGroups(t *testing.T) *tableHarness {
	t.Helper()
	harness := newTableHarness(t, Options{})
	harness.addGroup("h")
	harness.openSession(1, "p")
	harness.commitTwice(1)
	harness.routeTo("p", "h")
	harness.commitAt(1, 15)
	return harness
}

// readRequirement sends a read of a session, answers it at a position, and returns the
// database that it was sent to and the position that it required there.
func (b *tableHarness) readRequirement(session uint64, number int64) (database string, required ports.Position) {
	b.t.Helper()
	b.sendStatement(session, ports.Read)
	s := b.awaitSend()
	database, required = b.databaseOf(s.Conn), s.Ops[0].MinPosition
	b.answerDone(s, number)
	b.expectReply(ports.Done, ports.Idle)
	return database, required
}

// TestReadYourWritesAfterRouteReturns guards against a session that reads a group without
// its own commit there, because it has committed in another group since.
func TestReadYourWritesAfterRouteReturns(t *testing.T) {
	for _, kind := range []ports.StatementKind{ports.Read, ports.BeginRead} {
		harness := harnessAfterTwoGroups(t)
		harness.routeTo("p", "g")
		harness.sendStatement(1, kind)
		if kind == ports.BeginRead {
			harness.sendStatement(1, ports.Read)
		}
		s := harness.awaitSend()
		if id := harness.databaseOf(s.Conn); id != "x" && s.Ops[0].MinPosition != (ports.Position{Term: 1, Number: 20}) {
			t.Errorf("kind %d after the route returned to g: sent to %s with required position %v; want position 20 of term 1, or the primary x", kind, id, s.Ops[0].MinPosition)
		}
	}
}

// TestReadYourWritesAfterNewTerm guards against a floor that is lost when the group gets
// another primary while the session's route leads elsewhere.
func TestReadYourWritesAfterNewTerm(t *testing.T) {
	harness := harnessAfterTwoGroups(t)
	harness.now += 1_000_000
	harness.groupState.Leadership = ports.Leadership{Revision: 2, Term: 2, Primary: "y", Phase: ports.PhaseServing}
	harness.routeTo("p", "g")
	for range 3 { // the first read goes to the primary, since no position of the term is known
		id, required := harness.readRequirement(1, 25)
		if id != "y" && !(ports.Position{Term: 2, Number: 19}).Before(required) {
			t.Fatalf("read in term 2: sent to %s with required position %v, want the primary y, or at least position 20 of term 2", id, required)
		}
	}
}

// TestReadYourWritesAfterManyGroups guards against memory that grows with each group that
// a long session commits in, and against a stale read after the oldest commit was dropped.
func TestReadYourWritesAfterManyGroups(t *testing.T) {
	harness := newTableHarness(t, Options{})
	harness.openSession(1, "p")
	harness.commitTwice(1)
	for i := range 3 * maxCommitGroups {
		name := fmt.Sprintf("h%d", i)
		harness.addGroup(name)
		harness.routeTo("p", name)
		harness.commitAt(1, 15)
	}
	if n := len(harness.table.sessions[1].commits.newest); n > maxCommitGroups {
		t.Errorf("groups whose commit the session keeps: got %d, want at most %d", n, maxCommitGroups)
	}
	harness.routeTo("p", "g")
	if id, _ := harness.readRequirement(1, 25); id != "x" {
		t.Errorf("read after the commit's position was dropped: sent to %s, want the primary x", id)
	}
	harness.commitAt(1, 30)
	if id, required := harness.readRequirement(1, 30); id != "x" && required.Number < 30 {
		t.Errorf("read after a new commit: sent to %s with required position %v, want position 30, or the primary x", id, required)
	}
}

// TestReadYourWritesOfUnknownPosition guards against a stale read after a commit whose
// answer names no position.
func TestReadYourWritesOfUnknownPosition(t *testing.T) {
	harness := newTableHarness(t, Options{})
	harness.openSession(1, "p")
	harness.commitTwice(1)
	harness.sendStatement(1, ports.Write)
	s := harness.awaitSend()
	harness.now += 1_000
	harness.step(AnswerReceived{Conn: s.Conn, Answer: ports.Response{Stamped: true, Body: []byte("done")}})
	harness.expectReply(ports.Done, ports.Idle)
	if id, required := harness.readRequirement(1, 25); id != "x" {
		t.Errorf("read after a commit of unknown position: sent to %s with required position %v, want the primary x", id, required)
	}
	harness.commitAt(1, 30)
	if id, required := harness.readRequirement(1, 30); id != "x" && required.Number < 30 {
		t.Errorf("read after a commit at position 30: sent to %s with required position %v, want position 30, or the primary x", id, required)
	}
}
