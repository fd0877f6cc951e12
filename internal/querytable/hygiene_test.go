package querytable

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"stoneford/result"
)

// databaseConn is one connection as its database sees it.
type databaseConn struct {
	values, prepared map[string]string
	tx               string // session whose transaction is open
}

// caller is one session as its caller knows it.
type caller struct {
	id               string
	values, prepared map[string]string
	inTx             bool
	busy             uint64 // query or change under way
	change           *ChangeSession
	ends             bool
}

// tableTest drives a table alone against a model of one database group.
type tableTest struct {
	table          *Table
	random         *rand.Rand
	now            int64
	next           uint64
	conns          map[int64]*databaseConn
	callers        map[string]*caller
	callersByQuery map[uint64]*caller
	sent           map[string]bool // statements sent, and whether one may write and so runs once
	later          []any
	violation      string
	runs           int
	lostReplies    int
	skipReset      bool // planted: a reset is said and not done
}

func (h *tableTest) wrong(f string, a ...any) {
	if h.violation == "" {
		h.violation = fmt.Sprintf("at %d: ", h.now) + fmt.Sprintf(f, a...)
	}
}

// database runs the ops of a run and looks at what it runs them under.
func (h *tableTest) database(e Run) RunEnded {
	ret := RunEnded{Run: e.Run, MaybeSent: true, Epoch: e.Epoch, Applied: int64(h.runs)}
	c := h.conns[e.ID]
	if c == nil {
		ret.Rejected = "connection"
		return ret
	}
	for _, o := range e.Ops {
		var rs Result
		switch o.Op {
		case "reset":
			if !h.skipReset {
				*c = databaseConn{values: map[string]string{}, prepared: map[string]string{}}
			}
		case "set":
			maps.Copy(c.values, o.Values)
		case "prepare":
			c.prepared[o.Prepared] = o.Text
		case "begin":
			c.tx = "?"
		case "commit", "rollback":
			if c.tx == "" {
				h.wrong("%s outside a transaction", o.Op)
			}
			c.tx = ""
		case "statement":
			id := o.Text
			if o.Prepared != "" {
				id = o.Params[0]
			}
			who, _, _ := strings.Cut(id, " ")
			k := h.callers[who]
			writes, ok := h.sent[id]
			switch {
			case !ok:
				h.wrong("%q was not sent like this, or runs twice", id)
			case k == nil:
				h.wrong("%q runs for a session that ended", id)
			case !maps.Equal(c.values, k.values), !maps.Equal(c.prepared, k.prepared):
				h.wrong("%q runs under %v %v, its session has %v %v", id, c.values, c.prepared, k.values, k.prepared)
			case c.tx == "?":
				c.tx = who
			case c.tx != "" && c.tx != who:
				h.wrong("%q runs in the transaction of %s", id, c.tx)
			case c.tx == "" && k.inTx && !k.ends:
				h.wrong("%q runs outside its transaction", id)
			}
			if writes {
				delete(h.sent, id)
			}
		}
		ret.Results = append(ret.Results, rs)
	}
	h.runs++
	return ret
}

func (h *tableTest) step(events ...any) {
	for _, e := range h.table.Step(h.now, events...) {
		switch e := e.(type) {
		case OpenConnection:
			o := ConnectionOpened{Connection: e.Connection, Address: e.Address}
			if h.random.IntN(12) == 0 {
				o.Err = "no connection"
			} else {
				h.next++
				o.ID = int64(h.next)
				h.conns[o.ID] = &databaseConn{values: map[string]string{}, prepared: map[string]string{}}
			}
			h.later = append(h.later, o)
		case CloseConnection:
			delete(h.conns, e.ID)
		case Run:
			switch h.random.IntN(16) {
			case 0: // reset on the way there
				h.later = append(h.later, RunEnded{Run: e.Run, Err: "never left"})
			case 1: // run, and the return is lost
				h.database(e)
				h.lostReplies++
				if h.random.IntN(2) == 0 {
					h.later = append(h.later, RunEnded{Run: e.Run, Err: "lost", MaybeSent: true})
				}
			case 2: // reset, and gone with all that was open on it
				delete(h.conns, e.ID)
				h.later = append(h.later, h.database(e))
			default:
				h.later = append(h.later, h.database(e))
			}
		case Poll:
			m := e.Address
			s := Status{Identity: m, Role: "replica", Epoch: 1, LogEpoch: 1, Received: 1 << 40, Applied: 1 << 40}
			if m == "a" {
				s.Role = "primary"
			}
			h.later = append(h.later, PollEnded{Poll: e.Poll, Status: s})
		case Reply:
			k := h.callersByQuery[e.ID]
			delete(h.callersByQuery, e.ID)
			if k == nil {
				continue
			}
			k.busy = 0
			if k.change != nil {
				if e.Outcome == result.Done {
					k.values, k.prepared = mergeValues(k.values, k.change.Values), mergeValues(k.prepared, k.change.Prepared)
				}
				k.change = nil
				continue
			}
			k.inTx = e.InTransaction
		}
	}
}

func (h *tableTest) act() {
	ids := slices.Sorted(maps.Keys(h.callers))
	if len(ids) < 12 {
		h.next++
		k := &caller{id: fmt.Sprintf("s%d", h.next), values: map[string]string{}, prepared: map[string]string{}}
		if h.random.IntN(3) > 0 {
			k.values["mark"], k.prepared["mine"] = k.id, "text of "+k.id
		}
		h.callers[k.id] = k
		h.step(OpenSession{Session: k.id, Values: k.values, Prepared: k.prepared})
		return
	}
	k := h.callers[ids[h.random.IntN(len(ids))]]
	h.next++
	id := h.next
	switch p := h.random.IntN(40); {
	case p == 0:
		h.step(CloseSession{Session: k.id})
		delete(h.callers, k.id)
		delete(h.callersByQuery, k.busy)
		for s := range h.sent {
			if strings.HasPrefix(s, k.id+" ") {
				delete(h.sent, s)
			}
		}
	case k.busy != 0:
	case p < 4:
		c := ChangeSession{ID: id, Session: k.id, Values: map[string]string{"mark": fmt.Sprint(id)}, Prepared: map[string]string{"mine": []string{"", fmt.Sprint("text ", id)}[h.random.IntN(2)]}}
		k.busy, k.change, h.callersByQuery[id] = id, &c, k
		h.step(c)
	default:
		q := Query{ID: id, Session: k.id, Class: []string{"current", "stale"}[h.random.IntN(2)]}
		if k.inTx || h.random.IntN(3) == 0 {
			q.Class, q.Begin = "current", !k.inTx
			q.Commit, q.Rollback = k.inTx && h.random.IntN(4) == 0, false
			if !q.Commit && k.inTx {
				q.Rollback = h.random.IntN(8) == 0
			}
		}
		n := 1
		if q.Begin || k.inTx {
			n += h.random.IntN(2)
		}
		for i := range n {
			text := fmt.Sprintf("%s %d/%d", k.id, id, i)
			st := Statement{Text: text}
			if k.prepared["mine"] != "" && h.random.IntN(2) == 0 {
				st = Statement{Prepared: "mine", Params: []string{text}}
			}
			q.Statements = append(q.Statements, st)
			h.sent[text] = q.Class == "current"
		}
		k.busy, h.callersByQuery[id], k.ends = id, k, q.Commit || q.Rollback
		h.step(q)
	}
}

func runTableTest(seed uint64, torn bool) *tableTest {
	h := &tableTest{table: New(seed), random: rand.New(rand.NewPCG(seed, 7)), now: 1_000_000, conns: map[int64]*databaseConn{}, callers: map[string]*caller{}, callersByQuery: map[uint64]*caller{}, sent: map[string]bool{}, skipReset: torn}
	w := Desired{Group: "g", Epoch: 1, Primary: "a", QueueLimit: 100, Classes: map[string]Class{
		"current": {Name: "current", Kind: "current", MaxWaitUs: 250_000, DeadlineUs: 5_000_000},
		"stale":   {Name: "stale", Kind: "stale", MaxStalenessUs: 1_500_000, MarginUs: 300_000, MaxWaitUs: 250_000, DeadlineUs: 5_000_000}}}
	for _, m := range []string{"a", "b", "c"} {
		w.Members = append(w.Members, Member{Name: m, Identity: m, Address: m, Leased: 3, LeaseUntilUs: 1 << 60})
	}
	h.step(SetDesired{Desired: w})
	for range 6000 {
		h.now += 1 + h.random.Int64N(3_000)
		if n := len(h.later); n > 0 && h.random.IntN(4) > 0 {
			i := h.random.IntN(n)
			e := h.later[i]
			h.later = slices.Delete(h.later, i, i+1)
			h.step(e)
		} else {
			h.act()
		}
		if h.random.IntN(8) == 0 {
			h.step(Tick{})
		}
	}
	return h
}

// TestSessionsAreIsolated: whatever sessions open, change, begin, leave and lose, each
// statement runs once, with its own text, under exactly its session's values and
// prepared names, and inside its own transaction alone. The check sees a
// connection that is not reset.
func TestSessionsAreIsolated(t *testing.T) {
	runs, lost, seen := 0, 0, 0
	for seed := range uint64(60) {
		h := runTableTest(seed, false)
		if h.violation != "" {
			t.Errorf("seed %d: %s", seed, h.violation)
		}
		runs, lost = runs+h.runs, lost+h.lostReplies
	}
	for seed := range uint64(6) {
		if runTableTest(seed, true).violation != "" {
			seen++
		}
	}
	t.Logf("%d runs, %d returns lost; planted: seen by %d of 6 seeds", runs, lost, seen)
	if seen < 6 || runs < 40_000 || lost < 1000 {
		t.Errorf("the runs show little")
	}
}

// BenchmarkQuery is the table's own cost of one query of a busy node: 60 sessions
// on three copies, reads and writes in turn, each step over the whole table.
func BenchmarkQuery(b *testing.B) {
	t := New(1)
	w := Desired{Group: "g", Epoch: 1, Primary: "a", QueueLimit: 1000, Classes: map[string]Class{
		"current": {Name: "current", Kind: "current", MaxWaitUs: 250_000, DeadlineUs: 5_000_000},
		"stale":   {Name: "stale", Kind: "stale", MaxStalenessUs: 1_500_000, MarginUs: 300_000, MaxWaitUs: 250_000, DeadlineUs: 5_000_000}}}
	for _, m := range []string{"a", "b", "c"} {
		w.Members = append(w.Members, Member{Name: m, Identity: m, Address: m, Leased: 20, LeaseUntilUs: 1 << 60})
	}
	now, line := int64(1_000_000), []any{SetDesired{Desired: w}}
	for i := range 60 {
		line = append(line, OpenSession{Session: fmt.Sprint("s", i)})
	}
	done, conns, pos := 0, int64(0), int64(0)
	next := func(i int) Query {
		q := Query{ID: uint64(i + 1), Session: fmt.Sprint("s", i%60), Class: "stale", Statements: []Statement{{Text: "read x y"}}}
		if i%2 == 0 {
			q.Class = "current"
		}
		return q
	}
	sent := 0
	for ; sent < 60; sent++ {
		line = append(line, next(sent))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for done < b.N {
		if len(line) == 0 {
			line = append(line, Tick{})
		}
		e := line[0]
		line = line[1:]
		now += 50
		for _, f := range t.Step(now, e) {
			switch f := f.(type) {
			case OpenConnection:
				conns++
				line = append(line, ConnectionOpened{Connection: f.Connection, Address: f.Address, ID: conns})
			case Run:
				r := RunEnded{Run: f.Run, MaybeSent: true, Epoch: 1, Results: make([]Result, len(f.Ops))}
				if !f.ReadOnly {
					pos++
					r.Results[0].Position = pos
				}
				r.Applied = pos
				line = append(line, r)
			case Poll:
				s := Status{Identity: f.Address, Role: "replica", Epoch: 1, LogEpoch: 1, Received: pos, Applied: pos}
				if f.Address == "a" {
					s.Role = "primary"
				}
				line = append(line, PollEnded{Poll: f.Poll, Status: s})
			case Reply:
				done++
				line = append(line, next(sent))
				sent++
			}
		}
	}
	b.ReportMetric(float64(t.Counts().Polls)/float64(max(1, done)), "polls/query")
	b.ReportMetric(float64(t.Counts().Rejected)/float64(max(1, done)), "bounced/query")
}
