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
	held := map[*transaction]uint64{}
	for id, conn := range b.connections {
		if timer := conn.inconsistency(); timer != "" {
			t.Fatalf("connection %d: %s", id, timer)
		}
		if conn.tx != nil {
			if held[conn.tx] != 0 {
				t.Fatalf("a transaction has connections %d and %d", held[conn.tx], id)
			}
			held[conn.tx] = id
		}
		if conn.usesSlot {
			running++
		}
		if !slices.Contains(conn.db.connections, conn) {
			t.Fatalf("connection %d is not among its instance's", id)
		}
	}
	for _, session := range b.sessions {
		if session.tx != nil {
			open++
		}
		// It waits, it runs, or it ran and waits to be confirmed: one of these.
		if req := session.request; req != nil && count(req.conn != nil, req.queueIndex != 0, req.unconfirmed != nil) != 1 {
			t.Fatalf("session %d: its statement neither waits nor runs, or both", session.id)
		}
		if req := session.request; req != nil && req.timer.index == 0 {
			t.Fatalf("session %d: nothing ends its statement", session.id)
		}
	}
	n := 0
	for _, group := range b.groupsByName {
		waiting += group.waiting.len()
		for _, db := range group.databases {
			n += len(db.connections)
			waiting += db.queue.len()
			var run, txs, opening, stuck int
			for _, conn := range db.connections {
				if conn.usesSlot {
					run++
				}
				if conn.overdue {
					stuck++
				}
				if conn.tx != nil {
					txs++
				}
				if !conn.open {
					opening++
				}
			}
			if run != db.running || txs != db.openTransactions || opening != db.openingConnections || stuck != db.overdue {
				t.Fatalf("instance %s counts %d %d %d %d for %d %d %d %d", db.ID, db.running, db.openTransactions, db.openingConnections, db.overdue, run, txs, opening, stuck)
			}
			for _, conn := range db.idle {
				if !conn.open || conn.usesSlot || conn.tx != nil || len(conn.pending) > 0 {
					t.Fatalf("instance %s: connection %d is idle and in use", db.ID, conn.id)
				}
			}
			for i, req := range db.queue.items {
				if req.queueIndex != i+1 || req.db != db {
					t.Fatalf("instance %s: its line is torn", db.ID)
				}
				if i > 0 && queuedBefore(req, db.queue.items[(i-1)/2]) {
					t.Fatalf("instance %s: its line is out of order", db.ID)
				}
			}
		}
	}
	if n != len(b.connections) || running != b.running || waiting != b.waiting {
		t.Fatalf("counts: %d connections of %d, %d running of %d, %d waiting of %d", n, len(b.connections), running, b.running, waiting, b.waiting)
	}
	if open > b.openTransactions {
		t.Fatalf("%d open transactions of %d", open, b.openTransactions)
	}
	for i, timer := range b.timers.heap.items {
		if timer.index != i+1 {
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
