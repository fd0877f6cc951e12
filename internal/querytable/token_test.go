package querytable

import (
	"testing"

	"stoneford/result"
)

// epochGroup answers a table's effects as a group of three databases does that works in
// one epoch and has applied everything up to a position.
type epochGroup struct {
	t       *testing.T
	table   *Table
	now     int64
	desired DesiredState
	epoch   uint64
	primary string
	applied int64
	pending []Event
	replies []Reply
}

// step steps the table and answers its effects in the next step.
func (g *epochGroup) step(events ...Event) {
	for _, effect := range g.table.Step(g.now, events...) {
		switch e := effect.(type) {
		case Poll:
			status := Status{Identity: e.Address, Role: replicaRole, Epoch: g.epoch, LogEpoch: g.epoch, Received: g.applied, Applied: g.applied}
			if e.Address == g.primary {
				status.Role = primaryRole
			}
			g.pending = append(g.pending, PollEnded{PollID: e.PollID, Status: status})
		case OpenConnection:
			g.pending = append(g.pending, ConnectionOpened{ConnectionID: e.ConnectionID, Address: e.Address, RemoteID: int64(e.ConnectionID)})
		case Run:
			ended := RunEnded{RunID: e.RunID, MaybeSent: true, Epoch: g.epoch, Applied: g.applied}
			for range e.Ops {
				ended.Results = append(ended.Results, Result{})
			}
			g.pending = append(g.pending, ended)
		case Reply:
			g.replies = append(g.replies, e)
		}
	}
}

// runFor runs the table for a time, in steps of 1 ms.
func (g *epochGroup) runFor(durationUs int64) {
	for end := g.now + durationUs; g.now < end; g.now += 1_000 {
		events := append([]Event{Tick{}}, g.pending...)
		g.pending = nil
		g.step(events...)
	}
}

// read sends a read of the read-your-writes class in a session and returns its reply.
func (g *epochGroup) read(id uint64, session string) Reply {
	g.t.Helper()
	g.replies = nil
	g.step(Query{ID: id, Session: session, Class: "pinned", Statements: []Statement{{Text: "read"}}})
	g.runFor(2_000_000)
	if len(g.replies) != 1 {
		g.t.Fatalf("replies to the read: got %+v, want one", g.replies)
	}
	return g.replies[0]
}

// TestReadYourWritesAwaitsTokenEpoch guards against a session that moves to a node which does
// not know of the newest change of primary yet, and reads there without its own commit.
func TestReadYourWritesAwaitsTokenEpoch(t *testing.T) {
	for name, applied := range map[string]int64{
		"the old epoch ends below the commit":              10,
		"the old epoch has other commits at that position": 25,
	} {
		t.Run(name, func(t *testing.T) {
			desired := testGroup(100, 3)
			desired.Classes["pinned"] = Class{Name: "pinned", Kind: readYourWritesKind, MaxStalenessUs: 2_500_000, MarginUs: 300_000, MaxWaitUs: 250_000, TimeoutUs: 5_000_000}
			g := &epochGroup{t: t, table: New(1), now: 1_000_000, desired: desired, epoch: 1, primary: "a", applied: applied}
			g.step(SetDesired{Desired: desired}, OpenSession{Session: "s", Token: Token{Group: "g", Epoch: 2, Position: 20}})
			g.runFor(500_000)
			if r := g.read(1, "s"); r.Outcome == result.Done {
				t.Fatalf("read in epoch 1 of a session that committed at position 20 of epoch 2: got %+v, want a rejection", r)
			}
			g.desired.Epoch, g.desired.Primary = 2, "b"
			g.epoch, g.primary, g.applied = 2, "b", 20
			g.step(SetDesired{Desired: g.desired})
			g.runFor(500_000)
			if r := g.read(2, "s"); r.Outcome != result.Done || r.Position < 20 {
				t.Fatalf("read in epoch 2: got %+v, want success at position 20 or above", r)
			}
		})
	}
}
