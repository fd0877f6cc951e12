package wal

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"

	"stoneford/schema"
)

func entry(i int) *schema.WALEntry {
	return &schema.WALEntry{Registers: []*schema.RegisterState{{Key: fmt.Sprint("k", i%3), Promised: &schema.Ballot{Number: uint64(i), Proposer: "a"},
		Value: &schema.Value{Revision: uint64(i), Data: bytes.Repeat([]byte{byte(i)}, i%40)}}}}
}

// written makes a log of n writes and returns its one file's path, its bytes,
// and how long it was behind each write.
func written(t *testing.T, n int) (string, []byte, []int) {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "v")
	l, err := Open(dir, func(*schema.WALEntry) {})
	if err != nil {
		t.Fatal(err)
	}
	p := l.path(1)
	var ends []int
	for i := range n {
		if err := l.Write([]*schema.WALEntry{entry(i)}, nil); err != nil {
			t.Fatal(err)
		}
		s, err := os.Stat(p)
		if err != nil {
			t.Fatal(err)
		}
		ends = append(ends, int(s.Size()))
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	b, err := os.ReadFile(p)
	if err != nil {
		t.Fatal(err)
	}
	return p, b, ends
}

func replay(p string) ([]*schema.WALEntry, error) {
	var es []*schema.WALEntry
	l, err := Open(filepath.Dir(p), func(e *schema.WALEntry) { es = append(es, e) })
	if err != nil {
		return nil, err
	}
	return es, l.Close()
}

// TestTornAnywhere: a file cut at any byte of its last frame, or zeros from there
// on, plays back every entry that was synced before and no other; one cut before
// that plays back what is whole.
func TestTornAnywhere(t *testing.T) {
	p, b, ends := written(t, 12)
	head := len(fileHeader())
	for length := head; length < len(b); length += min(slower, 7) {
		for _, zeros := range []bool{false, true} {
			x := bytes.Clone(b[:length])
			if zeros {
				x = append(x, make([]byte, len(b)-length)...)
			}
			want := 0
			for _, e := range ends {
				if e <= len(x) && bytes.Equal(x[:e], b[:e]) {
					want++
				}
			}
			if err := os.WriteFile(p, x, 0o644); err != nil {
				t.Fatal(err)
			}
			es, err := replay(p)
			if err != nil {
				t.Fatalf("cut at %d, zeros %v: %v", length, zeros, err)
			}
			if len(es) != want {
				t.Fatalf("cut at %d, zeros %v: %d entries, not %d", length, zeros, len(es), want)
			}
			for i, e := range es {
				if !proto.Equal(e, entry(i)) {
					t.Fatalf("cut at %d, zeros %v: entry %d is another", length, zeros, i)
				}
			}
			if s, err := os.Stat(p); err != nil || want > 0 && s.Size() != int64(ends[want-1]) {
				t.Fatalf("cut at %d, zeros %v: the torn end stays", length, zeros)
			}
		}
	}
}

// TestCorruptionIsReported: a byte changed in place is never played back as if it were
// what was written: either it is told, or only the newest entry is missing.
func TestCorruptionIsReported(t *testing.T) {
	p, b, _ := written(t, 12)
	r := rand.New(rand.NewPCG(1, 2))
	acknowledged := 0
	const tries = 400 / min(slower, 4)
	for range tries {
		x := bytes.Clone(b)
		i := r.IntN(len(x))
		x[i] ^= byte(1 + r.IntN(255))
		if err := os.WriteFile(p, x, 0o644); err != nil {
			t.Fatal(err)
		}
		es, err := replay(p)
		if err != nil {
			if !ErrCorrupt.Has(err) && !ErrFormat.Has(err) {
				t.Fatalf("byte %d: %v", i, err)
			}
			acknowledged++
			continue
		}
		if len(es) < 11 {
			t.Fatalf("byte %d: %d entries of 12 are played back and nothing is told", i, len(es))
		}
		for j, e := range es {
			if !proto.Equal(e, entry(j)) {
				t.Fatalf("byte %d: entry %d is played back as another", i, j)
			}
		}
	}
	if acknowledged < tries*3/4 {
		t.Fatalf("only %d of %d were told", acknowledged, tries)
	}
}

// TestFormat: a log of another format is told and left as it is.
func TestFormat(t *testing.T) {
	p, b, _ := written(t, 2)
	b[len(magic)]++
	if err := os.WriteFile(p, b, 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := replay(p); !ErrFormat.Has(err) {
		t.Fatalf("a later format: %v", err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("%020d", 1)), []byte("x"), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, func(*schema.WALEntry) {}); !ErrFormat.Has(err) {
		t.Fatalf("the format before: %v", err)
	}
}

// TestCompaction: past its entries, or past several times the last snapshot's
// bytes, a log is one snapshot and what came after, in one file; neither many
// writes of a small state nor large states make each write a snapshot.
func TestCompaction(t *testing.T) {
	for _, c := range []struct {
		writes, size, disk int
		snaps, limit       int
	}{
		{maxEntriesPerFile * 2, 10, 0, 1, 512 << 10},
		// The state is 0.75 MB, so the log ends at 6 MB or, on a disk of 8 MB, at
		// twice the snapshot.
		{200, 256 << 10, 0, 9, 6<<20 + 256<<10},
		{200, 256 << 10, 8 << 20, 50, 1536<<10 + 256<<10 + 4<<10},
		// Three registers of 32 KB: the log ends at eight snapshots' length.
		{300, 32 << 10, 64 << 20, 13, 768<<10 + 32<<10 + 4<<10},
	} {
		dir := filepath.Join(t.TempDir(), "v")
		l, err := Open(dir, func(*schema.WALEntry) {})
		if err != nil {
			t.Fatal(err)
		}
		l.SetDiskSize(c.disk)
		snaps, state, longest := 0, map[string]*schema.RegisterState{}, 0
		for i := range c.writes {
			e := entry(i)
			e.Registers[0].Value.Data = bytes.Repeat([]byte{1}, c.size)
			state[e.Registers[0].Key] = e.Registers[0]
			if err := l.Write([]*schema.WALEntry{e}, func() *schema.WALEntry {
				snaps++
				s := &schema.WALEntry{Snapshot: true}
				for _, c := range state {
					s.Registers = append(s.Registers, c)
				}
				return s
			}); err != nil {
				t.Fatal(err)
			}
			longest = max(longest, l.size)
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		fs, err := os.ReadDir(dir)
		if err != nil || len(fs) != 1 {
			t.Fatalf("%d files: %v", len(fs), err)
		}
		t.Logf("%d writes of %d bytes, a disk of %d: %d snapshots, at most %d bytes", c.writes, c.size, c.disk, snaps, longest)
		if longest > c.limit {
			t.Errorf("%d writes of %d bytes: the log is %d bytes", c.writes, c.size, longest)
		}
		r, err := Inspect(dir)
		if err != nil || snaps != c.snaps || len(r.Registers) != 3 {
			t.Errorf("%d writes of %d bytes: %d snapshots, %d cells: %v", c.writes, c.size, snaps, len(r.Registers), err)
		}
		for _, k := range r.Registers {
			if !proto.Equal(k, state[k.Key]) {
				t.Errorf("%s is another", k.Key)
			}
		}
	}
}

// TestCopy: a copy plays back what the log does; a folder that holds a log is
// not copied over, and damage is told.
func TestCopy(t *testing.T) {
	p, b, _ := written(t, 12)
	to := filepath.Join(t.TempDir(), "copy")
	if err := os.WriteFile(p, append(bytes.Clone(b), 1, 2, 3), 0o644); err != nil {
		t.Fatal(err)
	}
	if r, err := Inspect(filepath.Dir(p)); err != nil || r.TornBytes != 3 || r.Entries != 12 {
		t.Fatalf("%+v: %v", r, err)
	}
	if err := Copy(filepath.Dir(p), to); err != nil {
		t.Fatal(err)
	}
	es, err := replay(filepath.Join(to, filepath.Base(p)))
	if err != nil || len(es) != 12 {
		t.Fatalf("%d entries: %v", len(es), err)
	}
	if Copy(filepath.Dir(p), to) == nil {
		t.Fatal("a log was copied over")
	}
	b[len(b)/2]++
	if err := os.WriteFile(p, b, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := Copy(filepath.Dir(p), filepath.Join(t.TempDir(), "other")); !ErrCorrupt.Has(err) {
		t.Fatalf("damage: %v", err)
	}
}
