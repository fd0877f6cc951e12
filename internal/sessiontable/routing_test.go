package sessiontable

import (
	"slices"
	"testing"
	"time"

	"stoneford/internal/invariant"
	"stoneford/internal/ports"
)

// routeForTest is the routing grace of these tests in µs.
const routeForTest = 1_500_000

// TestUnknownNamesNeedLease: a name that a node does not know may have been added since a
// majority last confirmed its table, so it is rejected for good only under a lease.
func TestUnknownNamesNeedLease(t *testing.T) {
	bench := newBench(t, Options{RoutingGrace: routeForTest * time.Microsecond})
	if reply := bench.expectOpened(1, "added"); reply.Code != ports.DatabaseUnavailable {
		t.Fatalf("under a lease: %+v", reply)
	}
	bench.open(2, "c")
	bench.pass(1_000_000)
	if reply := bench.expectOpened(3, "added"); reply.Code != ports.Busy {
		t.Errorf("after the lease: %+v", reply)
	}
	// It is there now, and a name that was taken out is not.
	bench.routes.Revision++
	bench.routes.Routes = append(slices.Clone(bench.routes.Routes[1:]), ports.Route{Name: "added", Host: "added", Class: ports.CurrentRead, Group: "g", TimeoutUs: 2_000_000})
	bench.renewLease(1_000_000)
	bench.open(4, "added")
	bench.send(2, ports.Read, "thing")
	if reply := bench.reply(); reply.Code != ports.DatabaseUnavailable {
		t.Errorf("a name that was taken out: %+v", reply)
	}
	if broken := bench.table.Checks().Counts(); len(broken) > 0 {
		t.Error(broken)
	}
}

// TestNoRoutingByOldTable: a node without a lease routes for as long as a change may take
// to be in force, and no longer; what has begun goes on.
func TestNoRoutingByOldTable(t *testing.T) {
	for _, kind := range []ports.StatementKind{ports.Read, ports.Write, ports.Begin, ports.BeginRead} {
		bench := newBench(t, Options{RoutingGrace: routeForTest * time.Microsecond})
		bench.open(1, "c")
		bench.open(2, "c")
		bench.send(2, ports.Begin)
		bench.pass(1_000_000 + routeForTest - 100_000)
		if reply := bench.expectOpened(3, "c"); reply.Code != ports.Done {
			t.Errorf("within the time: %+v", reply)
		}
		bench.pass(200_000)
		if reply := bench.expectOpened(4, "c"); reply.Code != ports.Busy {
			t.Errorf("a session opens by an old table: %+v", reply)
		}
		bench.send(1, kind, "thing", "new")
		if reply := bench.reply(); reply.Code != ports.Busy || reply.State != ports.Idle {
			t.Errorf("%d was routed by an old table: %+v", kind, reply)
		}
		bench.send(1, ports.SetValue, "name", "text")
		if reply := bench.reply(); reply.Code != ports.Done {
			t.Errorf("a value needs no route: %+v", reply)
		}
		bench.send(2, ports.Rollback)
		if reply := bench.reply(); reply.Code != ports.Done || reply.State != ports.Idle {
			t.Errorf("the end of a transaction: %+v", reply)
		}
		if broken := bench.table.Checks().Counts(); len(broken) > 0 {
			t.Error(broken)
		}
	}
}

// TestCheckSeesUnconfirmedRoute: where the guard is skipped the check counts it.
func TestCheckSeesUnconfirmedRoute(t *testing.T) {
	bench := newBench(t, Options{RoutingGrace: routeForTest * time.Microsecond})
	bench.pass(1_000_000 + routeForTest)
	bench.table.checkRouted()
	if n := bench.table.Checks().Counts()[string(invariant.RoutedUnconfirmed)]; n != 1 {
		t.Errorf("counted %d times", n)
	}
	if fresh := bench.table.Checks().TakeNew(); len(fresh) != 1 {
		t.Errorf("said %v", fresh)
	}
}
