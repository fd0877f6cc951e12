package coordinator

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"stoneford/internal/wal"
	"stoneford/internal/wal/crashdisk"
	"stoneford/schema"
)

// logOn writes what a voter holds on disk to a folder of the real one and says
// how many bytes it takes and how long a start needs to read it.
func logOn(t testing.TB, h *history, a string) (bytes int, start time.Duration) {
	dir := t.TempDir()
	folder := filepath.Join(dir, "voter")
	if err := os.MkdirAll(folder, 0o755); err != nil {
		t.Fatal(err)
	}
	ns, err := h.members[a].drive.List("")
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range ns {
		b, err := h.members[a].drive.ReadFile("/data/voter/" + n)
		if err != nil {
			t.Fatal(err)
		}
		bytes += len(b)
		if err := os.WriteFile(filepath.Join(folder, n), b, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	start = time.Hour
	for range 5 { // the machine may be busy
		began := time.Now()
		var es []*schema.WALEntry
		l, err := wal.Open(folder, func(e *schema.WALEntry) { es = append(es, e) })
		if err != nil {
			t.Fatal(err)
		}
		core := Restore(h.members[a].boot, es, 1, 3)
		core.Start(1_000_000)
		start = min(start, time.Since(began))
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		if !core.isVoting() {
			t.Fatal("it does not vote")
		}
	}
	return bytes, start
}

// figures are what a number of changes costs.
type figures struct {
	peak, bytes  int           // on disk: at the most, and at the end
	start        time.Duration // from the start to voting, of one that was killed
	back, joined int           // bytes sent to a voter that was away, killed and wiped, until it holds all
	backUs       int64         // how long that is on 2 Mbit/s
	joinedUs     int64
}

const twoMbitPerSecond = 2_000_000 / 8

// comesBack starts a voter behind 2 Mbit/s and says what it was sent, with what
// was on its way by then, and how long it took until it voted and had the newest
// table.
func (h *history) comesBack(a string) (bytes int, us int64, ok bool) {
	h.bytesPerSecond[a], h.linkFreeAt[a] = twoMbitPerSecond, 0
	before, began := h.bytesSentTo[a], h.environment.Now
	h.begin(a)
	for !ok && h.environment.Now-began < 60_000_000 {
		h.pass(10_000)
		t, _ := h.members[a].core.Table()
		ok = h.members[a].core.isVoting() && t.Revision >= h.acked
	}
	us = h.environment.Now - began
	h.pass(max(h.linkFreeAt[a]-h.environment.Now, 0))
	h.bytesPerSecond[a] = 0
	return h.bytesSentTo[a] - before, us, ok
}

// measure has a voter away for so many changes of a table with 500 routes.
func measure(t *testing.T, changes int) figures {
	h := newHistory(t, 7, 500, true, crashdisk.NoMutation)
	a, b := h.order[0], h.order[1]
	for _, o := range h.order[:3] {
		h.members[o].drive.Capacity = 64 << 20
	}
	var f figures
	for _, wipe := range []bool{false, true} {
		h.kill(a, wipe)
		for range changes {
			if !h.next(b, 5_000_000) {
				t.Fatalf("change %d is not acknowledged: %s", h.acked+1, h.violation)
			}
		}
		if !wipe {
			f.bytes, f.start = logOn(t, h, b)
			f.peak = h.members[b].drive.PeakBytes
		}
		bytes, us, ok := h.comesBack(a)
		if !ok {
			t.Fatalf("after %d changes a voter (wiped %t) does not catch up in 60 s", changes, wipe)
		}
		if wipe {
			f.joined, f.joinedUs = bytes, us
		} else {
			f.back, f.backUs = bytes, us
		}
		h.pass(2_000_000)
	}
	if h.violation != "" {
		t.Fatal(h.violation)
	}
	return f
}

// TestHistoryCosts: what a start reads, the disk holds and a voter that was away
// is sent after 300 changes and after 1,000 is the same; with STONEFORD_HISTORY
// set, after 10,000 too.
func TestHistoryCosts(t *testing.T) {
	counts := []int{300 / min(slower, 3), 1_000 / min(slower, 4)}
	if os.Getenv("STONEFORD_HISTORY") != "" {
		counts = append(counts, 10_000)
	}
	var fs []figures
	for _, n := range counts {
		f := measure(t, n)
		fs = append(fs, f)
		t.Logf("%d changes of 500 routes: %d KB on disk, %d KB at the most; %s from start to voting; %d KB to a voter that was away, %d ms on 2 Mbit/s; %d KB and %d ms to one that lost its disk",
			n, f.bytes>>10, f.peak>>10, f.start.Round(100*time.Microsecond), f.back>>10, f.backUs/1000, f.joined>>10, f.joinedUs/1000)
		if f.joinedUs > catchUpDurationUs || f.backUs > catchUpDurationUs {
			t.Errorf("%d changes: it is not there within %d ms", n, catchUpDurationUs/1000)
		}
		if f.peak > 2<<20 {
			t.Errorf("%d changes: %d bytes on disk", n, f.peak)
		}
	}
	for _, f := range fs[1:] {
		if f.peak > fs[0].peak*5/4 || f.back > fs[0].back*3/2 || f.joined > fs[0].joined*3/2 {
			t.Errorf("the costs grow with the history: %+v, then %+v", fs[0], f)
		}
	}
}
