package sessiontable

import (
	"maps"
	"slices"
	"testing"
)

// checkAll holds every tie in a table to what it says; checkTouched does the
// same for what a step touched.
func checkAll(t testing.TB, b *Table) {
	t.Helper()
	running, waiting, open := 0, 0, 0
	held := map[*tx]uint64{}
	for id, c := range b.conns {
		if m := c.wrong(); m != "" {
			t.Fatalf("connection %d: %s", id, m)
		}
		if c.tx != nil {
			if held[c.tx] != 0 {
				t.Fatalf("a transaction has connections %d and %d", held[c.tx], id)
			}
			held[c.tx] = id
		}
		if c.slot {
			running++
		}
		if !slices.Contains(c.in.conns, c) {
			t.Fatalf("connection %d is not among its instance's", id)
		}
	}
	for _, s := range b.sess {
		if s.tx != nil {
			open++
		}
		// It waits, it runs, or it ran and waits to be confirmed: one of these.
		if a := s.request; a != nil && count(a.conn != nil, a.place != 0, a.unsure != nil) != 1 {
			t.Fatalf("session %d: its statement neither waits nor runs, or both", s.id)
		}
		if a := s.request; a != nil && a.due.place == 0 {
			t.Fatalf("session %d: nothing ends its statement", s.id)
		}
	}
	n := 0
	for _, g := range b.gs {
		waiting += g.wait.len()
		for _, in := range g.ins {
			n += len(in.conns)
			waiting += in.line.len()
			var run, txs, opening, stuck int
			for _, c := range in.conns {
				if c.slot {
					run++
				}
				if c.stuck {
					stuck++
				}
				if c.tx != nil {
					txs++
				}
				if !c.up {
					opening++
				}
			}
			if run != in.running || txs != in.txs || opening != in.opening || stuck != in.stuck {
				t.Fatalf("instance %s counts %d %d %d %d for %d %d %d %d", in.ID, in.running, in.txs, in.opening, in.stuck, run, txs, opening, stuck)
			}
			for _, c := range in.idle {
				if !c.up || c.slot || c.tx != nil || len(c.pend) > 0 {
					t.Fatalf("instance %s: connection %d is idle and in use", in.ID, c.id)
				}
			}
			for i, a := range in.line.xs {
				if a.place != i+1 || a.in != in {
					t.Fatalf("instance %s: its line is torn", in.ID)
				}
				if i > 0 && before(a, in.line.xs[(i-1)/2]) {
					t.Fatalf("instance %s: its line is out of order", in.ID)
				}
			}
		}
	}
	if n != len(b.conns) || running != b.running || waiting != b.waiting {
		t.Fatalf("counts: %d connections of %d, %d running of %d, %d waiting of %d", n, len(b.conns), running, b.running, waiting, b.waiting)
	}
	if open > b.open {
		t.Fatalf("%d open transactions of %d", open, b.open)
	}
	for i, m := range b.timers.xs {
		if m.place != i+1 {
			t.Fatalf("timers are torn")
		}
	}
	_ = maps.Keys(held)
}

func count(bs ...bool) int {
	n := 0
	for _, b := range bs {
		if b {
			n++
		}
	}
	return n
}
