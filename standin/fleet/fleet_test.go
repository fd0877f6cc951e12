package fleet_test

import (
	"context"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"stoneford/result"
	"stoneford/standin/callers"
	"stoneford/standin/fleet"
)

// started is a small fleet of real processes with all nodes ready.
func started(t *testing.T, machines int) (context.Context, *fleet.Fleet) {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), 3*time.Minute)
	t.Cleanup(stop)
	dir := t.TempDir()
	bin := filepath.Join(dir, "bin")
	if err := fleet.Build(ctx, "../..", bin); err != nil {
		t.Fatal(err)
	}
	sh := fleet.Shapes["small"]
	sh.Machines = machines
	f, err := fleet.New(sh, bin, dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
	if err := f.Start(ctx); err != nil {
		t.Fatal(err)
	}
	return ctx, f
}

// TestProcessesThroughATakeover runs the small shape as real processes: the
// primary is killed under burden, and the run goes on until writes are
// acknowledged again; then the old primary and an emptied control process come
// back, and what callers were told is held against what the databases hold.
func TestProcessesThroughATakeover(t *testing.T) {
	ctx, f := started(t, 4)
	lctx, end := context.WithCancel(ctx)
	defer end()
	r := callers.New(f.Burden(20, 60, 1))
	var wg sync.WaitGroup
	wg.Go(func() { r.Go(lctx) })
	route := f.Burden(0, 0, 0).Routes[0]
	acked := func(after int64) {
		t.Helper()
		if err := fleet.Until(ctx, time.Minute, func() error {
			if r.FirstAckAfter(route, after) == 0 {
				return context.DeadlineExceeded
			}
			return nil
		}); err != nil {
			t.Fatal("no write was acknowledged")
		}
	}
	do := func(a, target string) string {
		t.Helper()
		hit, err := f.Do(ctx, fleet.Fault{Action: a, Target: target})
		if err != nil {
			t.Fatal(err)
		}
		return hit
	}
	acked(0)
	old := do("kill", "primary@"+f.Shape.Parts[0].Groups[0])
	acked(time.Now().UnixMicro())
	do("start", old)
	do("wipe", "control-2")
	// The emptied voter votes again once both others have replied to it.
	if err := fleet.Until(ctx, time.Minute, func() error { return f.Ready(ctx, "control-2") }); err != nil {
		t.Fatal(err)
	}
	do("restart", "pool-1")
	acked(time.Now().UnixMicro())
	end()
	wg.Wait()
	logs, err := f.Logs(ctx)
	if err != nil {
		t.Fatal(err)
	}
	v := r.Checker.Check(logs)
	for _, b := range append(v.Violations, f.Died()...) {
		t.Error(b)
	}
	done := 0
	for _, s := range r.Samples() {
		if s.Outcome == result.Done {
			done++
		}
	}
	if v.Acked < 10 || done < 50 {
		t.Errorf("only %d writes were acknowledged and %d queries done: the run shows little", v.Acked, done)
	}
	s, err := f.Operators("pharmacies").Configuration(ctx, false)
	if err != nil || s.Code != result.OK || s.Revision != 1 {
		t.Errorf("the configuration reads back as %d revision %d (%v)", s.Code, s.Revision, err)
	}
}
