package sessiontable

import (
	"strings"
	"testing"

	"stoneford/internal/ports"
)

// TestLease: a read that needs the newest commit waits for a lease that held when it
// arrived; a write does not.
func TestLease(t *testing.T) {
	bench := newBench(t, Options{})
	bench.open(1, "c")
	bench.open(2, "c")
	bench.open(3, "c")
	bench.now += 1_000_000
	bench.send(1, ports.Read)
	if len(find[RenewLease](bench.effects)) != 1 || len(find[Connect](bench.effects)) != 0 {
		t.Fatalf("without a lease: %+v", bench.effects)
	}
	bench.send(2, ports.Read)
	if len(find[RenewLease](bench.effects)) != 0 {
		t.Fatal("a second update is requested")
	}
	bench.send(3, ports.Write)
	if len(find[Connect](bench.effects)) == 0 {
		t.Fatal("a write waits for a lease")
	}
	bench.view.Unconfirmed = true
	bench.renewLease(1_000_000)
	if len(find[Connect](bench.effects)) != 0 {
		t.Fatal("an unconfirmed lease counts")
	}
	bench.view.Unconfirmed = false
	bench.renewLease(1_000_000)
	if bench.table.groups["g"].waiting.len() != 0 {
		t.Fatal("they still wait")
	}
	// Nor does a lease from before the freeze reach beyond it.
	bench.view.Phase = ports.PhaseFreezing
	confirmedUntil := bench.table.groups["g"].confirmedUntil
	bench.renewLease(9_000_000)
	if bench.table.groups["g"].confirmedUntil != confirmedUntil {
		t.Fatal("a lease that shows the freeze counts for the old primary")
	}
	// It gives up at a quarter of the latency target, with the time to retry after.
	bench.view.Phase = ports.PhaseServing
	y := newBench(t, Options{})
	y.open(1, "c")
	y.now += 1_000_000
	y.send(1, ports.Read)
	y.effects = y.pass(75_000)
	y.expectReply(ports.Busy, ports.Idle)
	if !strings.Contains(y.reply().Text, "retry after") {
		t.Fatalf("replied %q", y.reply().Text)
	}
}

// TestCommitConfirmation: a commit is acknowledged only while its primary is confirmed. An
// unconfirmed leadership, or a lease that ran out, delays it, and not for long.
func TestCommitConfirmation(t *testing.T) {
	for _, c := range []struct {
		name string
		then func(*bench)
		want ports.Code
	}{
		{"draining", func(bench *bench) {
			bench.view.Revision, bench.view.Phase, bench.view.Unconfirmed = 2, ports.PhaseDraining, false
			bench.renewLease(1_000_000)
		}, ports.Done},
		{"freezing", func(bench *bench) {
			bench.view.Revision, bench.view.Phase, bench.view.Unconfirmed = 2, ports.PhaseFreezing, false
			bench.renewLease(1_000_000)
		}, ports.InDoubt},
		{"nothing newer after all", func(bench *bench) { bench.view.Unconfirmed = false; bench.renewLease(1_000_000) }, ports.Done},
		{"no update", func(bench *bench) { bench.now += 400_000; bench.step(Tick{}) }, ports.InDoubt},
	} {
		t.Run(c.name, func(t *testing.T) {
			bench := newBench(t, Options{})
			bench.renewLease(1_000_000)
			bench.open(1, "c")
			bench.send(1, ports.Write)
			run := bench.sentOps()
			bench.view.Unconfirmed = true
			bench.renewLease(1_000_000)
			bench.answerDone(run, 11)
			if len(find[Reply](bench.effects)) != 0 {
				t.Fatalf("acknowledged while unconfirmed: %+v", bench.effects)
			}
			c.then(bench)
			bench.expectReply(c.want, ports.Idle)
		})
	}
}
