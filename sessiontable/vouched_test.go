package sessiontable

import (
	"slices"
	"testing"

	"stoneford/invariant"
	"stoneford/ports"
)

const routeForTest = 1_500_000

// opens is the reply to a new session's opening.
func (x *bench) opens(session uint64, host string) ports.Reply {
	x.t.Helper()
	x.step(Opened{Session: session, Host: host})
	return x.reply().Reply
}

// TestUnknownNamesAreRefusedUnderALeaseOnly: a name that a node does not know may
// have been added since a majority last vouched for its table, so it is told to come
// back and not that there is no such database.
func TestUnknownNamesAreRefusedUnderALeaseOnly(t *testing.T) {
	x := newBench(t, Options{RouteUs: routeForTest})
	if r := x.opens(1, "added"); r.Code != ports.NoDatabase {
		t.Fatalf("under a lease: %+v", r)
	}
	x.open(2, "c")
	x.pass(1_000_000)
	if r := x.opens(3, "added"); r.Code != ports.Busy {
		t.Errorf("after the lease: %+v", r)
	}
	// It is there now, and a name that was taken out is not.
	x.tab.Revision++
	x.tab.Routes = append(slices.Clone(x.tab.Routes[1:]), ports.Route{Name: "added", Host: "added", Kind: ports.Current, Group: "g", ExpiryUs: 2_000_000})
	x.look(1_000_000)
	x.open(4, "added")
	x.ask(2, ports.Read, "thing")
	if r := x.reply(); r.Code != ports.NoDatabase {
		t.Errorf("a name that was taken out: %+v", r)
	}
	if broken := x.b.Checks().Counts(); len(broken) > 0 {
		t.Error(broken)
	}
}

// TestNothingIsRoutedByAnOldTable: a node without a lease routes for as long as a
// change may take to be in force, and no longer; what has begun goes on.
func TestNothingIsRoutedByAnOldTable(t *testing.T) {
	for _, kind := range []ports.Kind{ports.Read, ports.Write, ports.Begin, ports.BeginRead} {
		x := newBench(t, Options{RouteUs: routeForTest})
		x.open(1, "c")
		x.open(2, "c")
		x.ask(2, ports.Begin)
		x.pass(1_000_000 + routeForTest - 100_000)
		if r := x.opens(3, "c"); r.Code != ports.Done {
			t.Errorf("within the time: %+v", r)
		}
		x.pass(200_000)
		if r := x.opens(4, "c"); r.Code != ports.Busy {
			t.Errorf("a session opens by an old table: %+v", r)
		}
		x.ask(1, kind, "thing", "new")
		if r := x.reply(); r.Code != ports.Busy || r.State != ports.Idle {
			t.Errorf("%d was routed by an old table: %+v", kind, r)
		}
		x.ask(1, ports.SetValue, "name", "text")
		if r := x.reply(); r.Code != ports.Done {
			t.Errorf("a value needs no route: %+v", r)
		}
		x.ask(2, ports.Rollback)
		if r := x.reply(); r.Code != ports.Done || r.State != ports.Idle {
			t.Errorf("the end of a transaction: %+v", r)
		}
		if broken := x.b.Checks().Counts(); len(broken) > 0 {
			t.Error(broken)
		}
	}
}

// TestCheckSeesAnUnvouchedRoute: where the guard is skipped the check counts it.
func TestCheckSeesAnUnvouchedRoute(t *testing.T) {
	x := newBench(t, Options{RouteUs: routeForTest})
	x.pass(1_000_000 + routeForTest)
	x.b.routed()
	if n := x.b.Checks().Counts()[string(invariant.RoutedUnvouched)]; n != 1 {
		t.Errorf("counted %d times", n)
	}
	if fresh := x.b.Checks().Take(); len(fresh) != 1 {
		t.Errorf("said %v", fresh)
	}
}

// TestAnInstanceThatComesBackLeavesOn: an instance that leaves, is taken for gone for
// a moment and is announced again does not get its time to leave anew.
func TestAnInstanceThatComesBackLeavesOn(t *testing.T) {
	x := newBench(t, Options{DrainUs: 3_000_000})
	x.ins[1].Leaving = true
	x.look(10_000_000)
	x.pass(2_000_000)
	all := slices.Clone(x.ins)
	x.ins = slices.Delete(x.ins, 1, 2)
	x.look(10_000_000)
	x.pass(100_000)
	x.ins = all
	x.look(10_000_000)
	x.pass(1_000_000)
	if in := x.b.ins["y"]; in == nil || !x.b.drained(in) {
		t.Errorf("%+v is given something new", in)
	}
}

// TestAnInstanceFirstHeardOfAsLeaving: a node that starts, and hears of an instance that
// leaves, does not know since when; its time may be over already.
func TestAnInstanceFirstHeardOfAsLeaving(t *testing.T) {
	x := newBench(t, Options{DrainUs: 3_000_000})
	x.ins = append(x.ins, ports.Instance{ID: "w", Group: "g", Address: "w", Zone: "a", Capacity: 4, Call: 1, Leaving: true})
	x.look(10_000_000)
	if in := x.b.ins["w"]; in == nil || !x.b.drained(in) {
		t.Errorf("%+v is given something new", in)
	}
}
