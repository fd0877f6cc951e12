package voterlog_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"stoneford/schema"
	"stoneford/voterlog"
	"stoneford/voterlog/crashdisk"
)

// state is the simplest replica: one register whose revision counts the changes.
type state struct {
	revision uint64
	size     int
}

func (s *state) cell() *schema.Cell {
	return &schema.Cell{Key: "table", Value: &schema.Value{Revision: s.revision, Data: bytes.Repeat([]byte{byte(s.revision)}, s.size)}}
}

func (s *state) change() []*schema.VoterLog {
	s.revision++
	return []*schema.VoterLog{{Cells: []*schema.Cell{s.cell()}}}
}

func (s *state) snapshot() *schema.VoterLog {
	return &schema.VoterLog{Snapshot: true, Cells: []*schema.Cell{s.cell()}}
}

func (s *state) restore(e *schema.VoterLog) {
	if e.Snapshot {
		s.revision = 0
	}
	for _, c := range e.Cells {
		if !bytes.Equal(c.Value.Data, bytes.Repeat([]byte{byte(c.Value.Revision)}, len(c.Value.Data))) {
			panic("a register holds another revision's data")
		}
		s.revision = c.Value.Revision
	}
}

// opened plays a disk's log back.
func opened(d *crashdisk.Disk) (*voterlog.Log, *state, error) {
	s := &state{}
	l, err := voterlog.OpenIn(d, "/v", s.restore)
	return l, s, err
}

// ways goes through all ways in which the choices of a run can be made.
type ways struct {
	picks, of []int
	at        int
}

func (w *ways) choose(n int) int {
	if w.at == len(w.picks) {
		w.picks, w.of = append(w.picks, 0), append(w.of, n)
	}
	w.at++
	return w.picks[w.at-1]
}

// next says whether there is another way, and takes it.
func (w *ways) next() bool {
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
func script(d *crashdisk.Disk) (told, written uint64, whole bool) {
	l, s, err := opened(d)
	if err != nil {
		return 0, 0, false
	}
	s.size = 40
	for i := range 6 {
		es := s.change()
		if i == 2 || i == 4 {
			es = []*schema.VoterLog{s.snapshot()}
		}
		if l.Write(es, nil) != nil {
			return told, s.revision, false
		}
		told = s.revision
	}
	return told, s.revision, true
}

// powerLosses loses the power at each operation in turn, in each way, and once
// more at each operation of the start that follows.
func powerLosses(plant crashdisk.Plant) (runs int, bad string) {
	for at, whole := 0, false; !whole; at++ {
		for again := range 8 {
			w := &ways{}
			for more := true; more; more = w.next() {
				runs++
				d := crashdisk.New(rand.New(rand.NewPCG(1, 1)))
				d.Choose, d.Coarse, d.Plant, d.Steps = w.choose, true, plant, at
				var told, written uint64
				told, written, whole = script(d)
				d.PowerLoss()
				d.Steps = again
				l, s, err := opened(d)
				if errors.Is(err, crashdisk.ErrPower) {
					d.PowerLoss()
					l, s, err = opened(d)
				}
				switch {
				case err != nil:
					return runs, fmt.Sprintf("power lost at operation %d, at %d of the start: %v %v", at, again, err, d)
				case s.revision < told || s.revision > written:
					return runs, fmt.Sprintf("power lost at operation %d: revision %d is there, %d was told, %d written", at, s.revision, told, written)
				}
				// And it goes on.
				if err := l.Write(s.change(), nil); err != nil {
					if errors.Is(err, crashdisk.ErrPower) {
						continue
					}
					return runs, fmt.Sprintf("power lost at operation %d: %v", at, err)
				}
				d.Steps = -1
				d.PowerLoss()
				if _, back, err := opened(d); err != nil || back.revision != s.revision {
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
	runs, bad := powerLosses(crashdisk.None)
	if bad != "" {
		t.Fatal(bad)
	}
	t.Logf("%d runs", runs)
	if runs < 5_000 {
		t.Error("the runs show little")
	}
	for _, x := range crashdisk.Planted {
		n, bad := powerLosses(x.Plant)
		t.Logf("planted, %s: after %d runs: %s", x.What, n, bad)
		if bad == "" {
			t.Errorf("planted, %s: not seen", x.What)
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
		l, s, err := opened(d)
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
			if err := l.Write([]*schema.VoterLog{s.snapshot()}, nil); err != nil {
				t.Fatal(err)
			}
		}
		return d, s
	}
	whole, _ := made(true)
	b, err := whole.Read(secondFile)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range b {
		for _, zeros := range []bool{false, true} {
			x := bytes.Clone(b[:cut])
			if zeros {
				x = append(x, make([]byte, len(b)-cut)...)
			}
			if bytes.Equal(x, b) {
				continue
			}
			d, s := made(false)
			d.Put(secondFile+".new", x)
			l, back, err := opened(d)
			if err != nil || back.revision != s.revision {
				t.Fatalf("cut at %d, zeros %t, not renamed: revision %d, not %d: %v", cut, zeros, back.revision, s.revision, err)
			}
			if ns, _ := d.Names(""); len(ns) != 1 {
				t.Fatalf("cut at %d, zeros %t: %v are left", cut, zeros, ns)
			}
			if err := l.Write(append([]*schema.VoterLog{back.snapshot()}, back.change()...), nil); err != nil {
				t.Fatal(err)
			}
			d, _ = made(true)
			d.Put(secondFile, x)
			if _, back, err := opened(d); !voterlog.ErrDamaged.Has(err) && !voterlog.ErrFormat.Has(err) {
				t.Fatalf("cut at %d, zeros %t: the torn snapshot is taken for a log at revision %d: %v", cut, zeros, back.revision, err)
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
	for room := range 3 * size {
		for how := range 3 {
			d := crashdisk.New(rand.New(rand.NewPCG(uint64(room), uint64(how))))
			l, s, err := opened(d)
			if err != nil {
				t.Fatal(err)
			}
			s.size = size
			for range 3 {
				if err := l.Write(s.change(), nil); err != nil {
					t.Fatal(err)
				}
			}
			told, used := s.revision, d.Used()
			d.Room = used + room
			for range 20 {
				s.revision++
				if l.Write([]*schema.VoterLog{s.snapshot()}, nil) == nil {
					told = s.revision
				}
			}
			if d.Used() > max(used, 2*size) {
				t.Fatalf("room %d: tries leave %d bytes, %d before them", room, d.Used(), used)
			}
			switch how {
			case 1:
				d.PowerLoss()
				fallthrough
			case 0:
				var back *state
				if l, back, err = opened(d); err != nil || back.revision < told {
					t.Fatalf("room %d: revision %d is there, %d was told: %v", room, back.revision, told, err)
				}
				s.revision = back.revision
			}
			// The room that a snapshot needs comes back, and no more.
			d.Room = max(d.Room, d.Used()+2*size)
			s.revision++
			if err := l.Write([]*schema.VoterLog{s.snapshot()}, nil); err != nil {
				t.Fatalf("room %d, way %d: with room again: %v", room, how, err)
			}
			d.PowerLoss()
			if _, back, err := opened(d); err != nil || back.revision != s.revision {
				t.Fatalf("room %d: revision %d, not %d: %v", room, back.revision, s.revision, err)
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
		d.Room = x.disk
		l, s, err := opened(d)
		if err != nil {
			t.Fatal(err)
		}
		l.SetDiskSize(x.disk)
		s.size = x.size
		read := 0
		for range x.changes / voterlog.Slower {
			if err := l.Write(s.change(), s.snapshot); err != nil {
				t.Fatalf("%+v, revision %d: %v", x, s.revision, err)
			}
			read = max(read, d.Used())
		}
		t.Logf("disk of %d KB, state of %d KB, %d changes: at most %d KB on disk, %d KB for a start to read, %.2f bytes written for each of a change",
			x.disk>>10, x.size>>10, x.changes, d.Peak>>10, read>>10, float64(d.Written)/float64(x.size*(x.changes/voterlog.Slower)))
		limit := max(8*x.size, 512<<10) + 3*x.size
		if read > limit || d.Peak > limit+2*x.size {
			t.Errorf("%+v: %d bytes at most, %d for a start", x, d.Peak, read)
		}
		if x.disk > 0 && x.size <= x.disk/16 && d.Peak > x.disk/2 {
			t.Errorf("%+v: %d bytes are over half of the disk", x, d.Peak)
		}
	}
}
