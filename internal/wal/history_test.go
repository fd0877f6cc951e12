package wal_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"stoneford/internal/wal"
	"stoneford/internal/wal/crashdisk"
	"stoneford/schema"
)

// state is the simplest replica: one register whose revision counts the changes.
type state struct {
	revision uint64
	size     int
}

func (s *state) register() *schema.RegisterState {
	return &schema.RegisterState{Key: "table", Value: &schema.Value{Revision: s.revision, Data: bytes.Repeat([]byte{byte(s.revision)}, s.size)}}
}

func (s *state) change() []*schema.WALEntry {
	s.revision++
	return []*schema.WALEntry{{Registers: []*schema.RegisterState{s.register()}}}
}

func (s *state) snapshot() *schema.WALEntry {
	return &schema.WALEntry{Snapshot: true, Registers: []*schema.RegisterState{s.register()}}
}

func (s *state) restore(e *schema.WALEntry) {
	if e.Snapshot {
		s.revision = 0
	}
	for _, c := range e.Registers {
		if !bytes.Equal(c.Value.Data, bytes.Repeat([]byte{byte(c.Value.Revision)}, len(c.Value.Data))) {
			panic("a register holds another revision's data")
		}
		s.revision = c.Value.Revision
	}
}

// openLog plays a disk's log back.
func openLog(d *crashdisk.Disk) (*wal.Log, *state, error) {
	s := &state{}
	l, err := wal.OpenWith(d, "/v", s.restore)
	return l, s, err
}

// choices goes through all ways in which the choices of a run can be made.
type choices struct {
	picks, of []int
	at        int
}

func (w *choices) choose(n int) int {
	if w.at == len(w.picks) {
		w.picks, w.of = append(w.picks, 0), append(w.of, n)
	}
	w.at++
	return w.picks[w.at-1]
}

// next says whether there is another way, and takes it.
func (w *choices) next() bool {
	w.at = 0
	for n := len(w.picks); n > 0; n-- {
		if w.picks[n-1]+1 < w.of[n-1] {
			w.picks, w.of = w.picks[:n], w.of[:n]
			w.picks[n-1]++
			return true
		}
	}
	return false
}

// script makes changes, and snapshots among them, until the power goes. It says
// which revision was told last and which was written last.
func script(d *crashdisk.Disk) (acknowledged, written uint64, complete bool) {
	l, s, err := openLog(d)
	if err != nil {
		return 0, 0, false
	}
	s.size = 40
	for i := range 6 {
		es := s.change()
		if i == 2 || i == 4 {
			es = []*schema.WALEntry{s.snapshot()}
		}
		if l.Write(es, nil) != nil {
			return acknowledged, s.revision, false
		}
		acknowledged = s.revision
	}
	return acknowledged, s.revision, true
}

// powerLosses loses the power at each operation in turn, in each way, and once
// more at each operation of the start that follows.
func powerLosses(mutation crashdisk.Mutation) (runs int, bad string) {
	for at, complete := 0, false; !complete; at++ {
		for restartStep := range 8 {
			w := &choices{}
			for more := true; more; more = w.next() {
				runs++
				d := crashdisk.New(rand.New(rand.NewPCG(1, 1)))
				d.Choose, d.CoarseTears, d.Mutation, d.StepsLeft = w.choose, true, mutation, at
				var acknowledged, written uint64
				acknowledged, written, complete = script(d)
				d.PowerLoss()
				d.StepsLeft = restartStep
				l, s, err := openLog(d)
				if errors.Is(err, crashdisk.ErrPowerLost) {
					d.PowerLoss()
					l, s, err = openLog(d)
				}
				switch {
				case err != nil:
					return runs, fmt.Sprintf("power lost at operation %d, at %d of the start: %v %v", at, restartStep, err, d)
				case s.revision < acknowledged || s.revision > written:
					return runs, fmt.Sprintf("power lost at operation %d: revision %d is there, %d was told, %d written", at, s.revision, acknowledged, written)
				}
				// And it goes on.
				if err := l.Write(s.change(), nil); err != nil {
					if errors.Is(err, crashdisk.ErrPowerLost) {
						continue
					}
					return runs, fmt.Sprintf("power lost at operation %d: %v", at, err)
				}
				d.StepsLeft = -1
				d.PowerLoss()
				if _, back, err := openLog(d); err != nil || back.revision != s.revision {
					return runs, fmt.Sprintf("power lost at operation %d, and after the next write: revision %d, not %d: %v", at, back.revision, s.revision, err)
				}
			}
		}
	}
	return runs, ""
}

// TestPowerLostAtEachOperation: whichever file operation the power is lost at,
// and whichever names and writes that were not synced are kept, the revision told
// last is there and the log goes on; also if it is lost again at each operation
// of the start.
func TestPowerLostAtEachOperation(t *testing.T) {
	runs, bad := powerLosses(crashdisk.NoMutation)
	if bad != "" {
		t.Fatal(bad)
	}
	t.Logf("%d runs", runs)
	if runs < 5_000 {
		t.Error("the runs show little")
	}
	for _, x := range crashdisk.Mutations {
		n, bad := powerLosses(x.Mutation)
		t.Logf("planted, %s: after %d runs: %s", x.Name, n, bad)
		if bad == "" {
			t.Errorf("planted, %s: not seen", x.Name)
		}
	}
}

// files are the paths of a disk's log and of the snapshot that follows it.
const (
	firstFile  = "/v/log-00000000000000000001"
	secondFile = "/v/log-00000000000000000002"
)

// TestSnapshotTornAtEachByte: a snapshot that a loss of power tore at any byte
// before it had its name is dropped for the log before it; under its name a torn
// one is told as damage and never taken as whole, nor as an empty log.
func TestSnapshotTornAtEachByte(t *testing.T) {
	made := func(snapshot bool) (*crashdisk.Disk, *state) {
		d := crashdisk.New(rand.New(rand.NewPCG(1, 1)))
		l, s, err := openLog(d)
		if err != nil {
			t.Fatal(err)
		}
		s.size = 300
		for range 5 {
			if err := l.Write(s.change(), nil); err != nil {
				t.Fatal(err)
			}
		}
		if snapshot {
			s.revision++
			if err := l.Write([]*schema.WALEntry{s.snapshot()}, nil); err != nil {
				t.Fatal(err)
			}
		}
		return d, s
	}
	complete, _ := made(true)
	b, err := complete.ReadFile(secondFile)
	if err != nil {
		t.Fatal(err)
	}
	for length := range b {
		for _, zeros := range []bool{false, true} {
			x := bytes.Clone(b[:length])
			if zeros {
				x = append(x, make([]byte, len(b)-length)...)
			}
			if bytes.Equal(x, b) {
				continue
			}
			d, s := made(false)
			d.PutFile(secondFile+".new", x)
			l, back, err := openLog(d)
			if err != nil || back.revision != s.revision {
				t.Fatalf("cut at %d, zeros %t, not renamed: revision %d, not %d: %v", length, zeros, back.revision, s.revision, err)
			}
			if ns, _ := d.List(""); len(ns) != 1 {
				t.Fatalf("cut at %d, zeros %t: %v are left", length, zeros, ns)
			}
			if err := l.Write(append([]*schema.WALEntry{back.snapshot()}, back.change()...), nil); err != nil {
				t.Fatal(err)
			}
			d, _ = made(true)
			d.PutFile(secondFile, x)
			if _, back, err := openLog(d); !errors.Is(err, wal.ErrCorrupt) && !errors.Is(err, wal.ErrFormat) {
				t.Fatalf("cut at %d, zeros %t: the torn snapshot is taken for a log at revision %d: %v", length, zeros, back.revision, err)
			}
		}
	}
	t.Logf("%d bytes, each cut and with zeros", len(b))
}

// TestDiskFullInASnapshot: a disk that takes no more bytes from any byte of a
// snapshot on costs nothing that was told, whether the process ends, the power is
// lost or it goes on trying; its tries leave no files that take up the room, and
// once there is room again the snapshot is written.
func TestDiskFullInASnapshot(t *testing.T) {
	const size = 200
	for capacity := range 3 * size {
		for how := range 3 {
			d := crashdisk.New(rand.New(rand.NewPCG(uint64(capacity), uint64(how))))
			l, s, err := openLog(d)
			if err != nil {
				t.Fatal(err)
			}
			s.size = size
			for range 3 {
				if err := l.Write(s.change(), nil); err != nil {
					t.Fatal(err)
				}
			}
			acknowledged, used := s.revision, d.UsedBytes()
			d.Capacity = used + capacity
			for range 20 {
				s.revision++
				if l.Write([]*schema.WALEntry{s.snapshot()}, nil) == nil {
					acknowledged = s.revision
				}
			}
			if d.UsedBytes() > max(used, 2*size) {
				t.Fatalf("room %d: tries leave %d bytes, %d before them", capacity, d.UsedBytes(), used)
			}
			switch how {
			case 1:
				d.PowerLoss()
				fallthrough
			case 0:
				var back *state
				if l, back, err = openLog(d); err != nil || back.revision < acknowledged {
					t.Fatalf("room %d: revision %d is there, %d was told: %v", capacity, back.revision, acknowledged, err)
				}
				s.revision = back.revision
			}
			// The room that a snapshot needs comes back, and no more.
			d.Capacity = max(d.Capacity, d.UsedBytes()+2*size)
			s.revision++
			if err := l.Write([]*schema.WALEntry{s.snapshot()}, nil); err != nil {
				t.Fatalf("room %d, way %d: with room again: %v", capacity, how, err)
			}
			d.PowerLoss()
			if _, back, err := openLog(d); err != nil || back.revision != s.revision {
				t.Fatalf("room %d: revision %d, not %d: %v", capacity, back.revision, s.revision, err)
			}
		}
	}
}

// TestDiskUse: however many changes are made, the disk's use is bounded by the
// size of the state and stays far below the disk's, also on small ones; and so
// is what a start reads.
func TestDiskUse(t *testing.T) {
	for _, x := range []struct{ disk, size, changes int }{
		{64 << 20, 24 << 10, 10_000}, {64 << 20, 40 << 10, 2_000}, {64 << 20, 4 << 20, 60},
		{8 << 20, 24 << 10, 2_000}, {4 << 20, 40 << 10, 2_000}, {1 << 20, 40 << 10, 2_000}, {0, 24 << 10, 2_000},
	} {
		d := crashdisk.New(rand.New(rand.NewPCG(1, 1)))
		d.Capacity = x.disk
		l, s, err := openLog(d)
		if err != nil {
			t.Fatal(err)
		}
		l.SetDiskSize(x.disk)
		s.size = x.size
		read := 0
		for range x.changes / wal.Slower {
			if err := l.Write(s.change(), s.snapshot); err != nil {
				t.Fatalf("%+v, revision %d: %v", x, s.revision, err)
			}
			read = max(read, d.UsedBytes())
		}
		t.Logf("disk of %d KB, state of %d KB, %d changes: at most %d KB on disk, %d KB for a start to read, %.2f bytes written for each of a change",
			x.disk>>10, x.size>>10, x.changes, d.PeakBytes>>10, read>>10, float64(d.WrittenBytes)/float64(x.size*(x.changes/wal.Slower)))
		limit := max(8*x.size, 512<<10) + 3*x.size
		if read > limit || d.PeakBytes > limit+2*x.size {
			t.Errorf("%+v: %d bytes at most, %d for a start", x, d.PeakBytes, read)
		}
		if x.disk > 0 && x.size <= x.disk/16 && d.PeakBytes > x.disk/2 {
			t.Errorf("%+v: %d bytes are over half of the disk", x, d.PeakBytes)
		}
	}
}
