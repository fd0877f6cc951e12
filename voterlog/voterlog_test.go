package voterlog

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

func entry(i int) *schema.VoterLog {
	return &schema.VoterLog{Cells: []*schema.Cell{{Key: fmt.Sprint("k", i%3), Promised: &schema.Ballot{Round: uint64(i), Proposer: "a"},
		Value: &schema.Value{Revision: uint64(i), Data: bytes.Repeat([]byte{byte(i)}, i%40)}}}}
}

// written makes a log of n entries and returns its one segment's path, its
// bytes, and how long it was behind each entry.
func written(t *testing.T, n int) (string, []byte, []int) {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "v")
	l, err := Open(dir, func(*schema.VoterLog) {})
	if err != nil {
		t.Fatal(err)
	}
	p := filepath.Join(dir, fmt.Sprintf("%020d", 1))
	var ends []int
	for i := range n {
		if err := l.Write([]*schema.VoterLog{entry(i)}, nil); err != nil {
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

func read(p string) ([]*schema.VoterLog, error) {
	var es []*schema.VoterLog
	l, err := Open(filepath.Dir(p), func(e *schema.VoterLog) { es = append(es, e) })
	if err != nil {
		return nil, err
	}
	return es, l.Close()
}

// TestTornAnywhere: a file cut at any byte, or zeros from there on, plays back
// every entry that was synced before the cut and no other.
func TestTornAnywhere(t *testing.T) {
	p, b, ends := written(t, 12)
	for cut := range len(b) {
		for _, zeros := range []bool{false, true} {
			x := bytes.Clone(b[:cut])
			want := 0
			for _, e := range ends {
				if e <= cut {
					want++
				}
			}
			if zeros {
				// Only the last entry's bytes did not arrive.
				if cut < ends[len(ends)-2] {
					continue
				}
				x = append(x, make([]byte, len(b)-cut)...)
			}
			if err := os.WriteFile(p, x, 0o644); err != nil {
				t.Fatal(err)
			}
			es, err := read(p)
			if err != nil {
				if zeros && ErrDamaged.Has(err) {
					continue // told, not passed over
				}
				t.Fatalf("cut at %d, zeros %v: %v", cut, zeros, err)
			}
			if !zeros && len(es) != want || len(es) < want {
				t.Fatalf("cut at %d, zeros %v: %d entries, not %d", cut, zeros, len(es), want)
			}
			for i, e := range es {
				if !proto.Equal(e, entry(i)) {
					t.Fatalf("cut at %d, zeros %v: entry %d is another", cut, zeros, i)
				}
			}
		}
	}
}

// TestDamageIsTold: a byte changed in place is never played back as if it were
// what was written: either it is told, or only the newest entry is missing.
func TestDamageIsTold(t *testing.T) {
	p, b, _ := written(t, 12)
	r := rand.New(rand.NewPCG(1, 2))
	told := 0
	for range 400 {
		x := bytes.Clone(b)
		i := r.IntN(len(x))
		x[i] ^= byte(1 + r.IntN(255))
		if err := os.WriteFile(p, x, 0o644); err != nil {
			t.Fatal(err)
		}
		es, err := read(p)
		if err != nil {
			if !ErrDamaged.Has(err) {
				t.Fatalf("byte %d: %v", i, err)
			}
			told++
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
	if told < 300 {
		t.Fatalf("only %d of 400 were told", told)
	}
}

// TestCompaction: past its length a log is one snapshot and what came after.
func TestCompaction(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "v")
	l, err := Open(dir, func(*schema.VoterLog) {})
	if err != nil {
		t.Fatal(err)
	}
	snaps := 0
	for i := range compactAt * 2 {
		if err := l.Write([]*schema.VoterLog{entry(i)}, func() *schema.VoterLog { snaps++; e := entry(i); e.Snapshot = true; return e }); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	n := 0
	var first, last *schema.VoterLog
	if l, err = Open(dir, func(e *schema.VoterLog) {
		if n++; n == 1 {
			first = e
		}
		last = e
	}); err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if snaps != 1 || !first.Snapshot || n > compactAt || !proto.Equal(last, entry(compactAt*2-1)) {
		t.Fatalf("%d snapshots, %d entries played back, first is a snapshot: %v", snaps, n, first.GetSnapshot())
	}
}
