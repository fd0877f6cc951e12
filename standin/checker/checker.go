// Package checker holds what callers were told against what the databases hold
// in the end. The real fleet and the simulated one use the same checker.
package checker

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"

	"stoneford/result"
	"stoneford/standin/databasecopy"
)

// Kinds of reads, each with its own promise.
const (
	Current = "current read"
	Lookup  = "lookup"
	Pinned  = "pinned"
)

// Write is one write that a caller sent under a tag of its own: the row
// ledger/TAG and the other rows that its commit changes by one each.
type Write struct {
	Route string
	Tag   string
	Rows  []string // RELATION/KEY, the tag's own left out
	Out   result.Outcome
	AtUs  int64
}

// Shown is one row of a read: what it showed, and how many changes of it were
// acknowledged before the read was sent.
type Shown struct {
	Row   string
	Value int64
	Acked int64
}

// Read is what one read showed.
type Read struct {
	Route string
	Kind  string
	Shown []Shown
	AtUs  int64 // when its return came
	Where string
}

// TickRow is the row that is added to all the time: how far it is tells how
// fresh a read was.
const TickRow = "ticks/t"

// OwnRow is the row that only one session writes.
func OwnRow(session string) string { return "own/" + session }

// TagRow is the row of a write's tag.
func TagRow(tag string) string { return "ledger/" + tag }

// Ask is the statement that reads rows.
func Ask(rows []string) string {
	return "read " + strings.ReplaceAll(strings.Join(rows, " "), "/", " ")
}

// Checker collects.
type Checker struct {
	mu     sync.Mutex
	writes []Write
	reads  []Read
	oddity []string
	acked  map[string]map[string]int64 // changes acknowledged, by route and row
}

// New makes an empty checker.
func New() *Checker { return &Checker{acked: map[string]map[string]int64{}} }

// Wrote notes how a write ended.
func (c *Checker) Wrote(w Write) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes = append(c.writes, w)
	if w.Out == result.Done {
		c.ack(w.Route, append(w.Rows, TagRow(w.Tag))...)
	}
}

// Ticked notes an acknowledged tick.
func (c *Checker) Ticked(route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ack(route, TickRow)
}

func (c *Checker) ack(route string, rows ...string) {
	m := c.acked[route]
	if m == nil {
		m = map[string]int64{}
		c.acked[route] = m
	}
	for _, r := range rows {
		m[r]++
	}
}

// Before is what was acknowledged of the rows that a read is about to ask for.
func (c *Checker) Before(route string, rows ...string) []Shown {
	c.mu.Lock()
	defer c.mu.Unlock()
	ss := make([]Shown, len(rows))
	for i, r := range rows {
		ss[i] = Shown{Row: r, Acked: c.acked[route][r]}
	}
	return ss
}

// Got notes what a read showed of the rows it was sent for: the texts of its
// return, as they came.
func (c *Checker) Got(r Read, values [][]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Shown = slices.Clone(r.Shown)
	for i := range r.Shown {
		n, err := int64(0), error(nil)
		if i >= len(values) || len(values[i]) != 1 {
			err = fmt.Errorf("no value for %s", r.Shown[i].Row)
		} else {
			n, err = strconv.ParseInt(values[i][0], 10, 64)
		}
		if err != nil {
			c.oddity = append(c.oddity, fmt.Sprintf("%s: a %s %s returned %v: %v", r.Route, r.Kind, r.Where, values, err))
			return
		}
		r.Shown[i].Value = max(n, -n)
	}
	c.reads = append(c.reads, r)
}

// Odd notes something that is wrong by itself.
func (c *Checker) Odd(f string, a ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.oddity = append(c.oddity, fmt.Sprintf(f, a...))
}

// Limits on the age of what a read shows, in microseconds.
const (
	LookupLimit = 1_500_000
	PinnedLimit = 2_500_000
)

// Ages sums the ages of one kind of read.
type Ages struct {
	Reads    int   `json:"reads"`
	MedianUs int64 `json:"median_us"`
	P99Us    int64 `json:"p99_us"`
	MaxUs    int64 `json:"max_us"`
}

// Verdict is what the checker found.
type Verdict struct {
	Violations []string        `json:"violations"`
	Ages       map[string]Ages `json:"ages"`
	Acked      int             `json:"acknowledged_writes"`
	Unsure     int             `json:"uncertain_writes"`
	UnsureKept int             `json:"uncertain_writes_kept"`
}

// Check holds what callers were told against what the group behind each route
// holds in the end.
func (c *Checker) Check(logs map[string][]databasecopy.LogEntry) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := Verdict{Violations: slices.Clone(c.oddity), Ages: map[string]Ages{}}
	bad := func(f string, a ...any) { v.Violations = append(v.Violations, fmt.Sprintf(f, a...)) }
	sent := map[string]Write{}
	for _, w := range c.writes {
		sent[w.Route+" "+w.Tag] = w
	}
	tags := map[string]int64{}
	ticks := map[string][]int64{}
	kept := map[string]map[string]int64{}
	for rt, log := range logs {
		kept[rt] = map[string]int64{}
		for i, e := range log {
			rows, tag := rowsOf(e)
			for _, r := range rows {
				kept[rt][r]++
			}
			w, ok := sent[rt+" "+tag]
			switch {
			case len(rows) == 0:
			case tag != "":
				tags[rt+" "+tag]++
				want := slices.Sorted(slices.Values(append(slices.Clone(w.Rows), TagRow(tag))))
				if !ok || !slices.Equal(rows, want) {
					bad("%s: position %d changes %v; what was sent changes %v", rt, i+1, rows, want)
				}
			case slices.Equal(rows, []string{TickRow}):
				ticks[rt] = append(ticks[rt], e.AtUs)
			default:
				bad("%s: position %d changes %v, which nobody sent in one", rt, i+1, rows)
			}
		}
		for r, a := range c.acked[rt] {
			if n := kept[rt][r]; n < a {
				bad("%s: %d changes of %s were acknowledged and %d are kept", rt, a, r, n)
			}
		}
	}
	for _, w := range c.writes {
		n := tags[w.Route+" "+w.Tag]
		switch {
		case n > 1:
			bad("%s: write %s took effect %d times", w.Route, w.Tag, n)
		case w.Out == result.Done && n == 0:
			bad("%s: acknowledged write %s (at %d) is gone", w.Route, w.Tag, w.AtUs)
		case w.Out == result.NothingKept && n > 0:
			bad("%s: write %s was kept after nothing kept was told", w.Route, w.Tag)
		}
		switch w.Out {
		case result.Done:
			v.Acked++
		case result.Uncertain:
			v.Unsure++
			v.UnsureKept += int(min(n, 1))
		}
	}
	ages := map[string][]int64{}
	for _, d := range c.reads {
		age := int64(0)
		where := fmt.Sprintf("%s: a %s %s", d.Route, d.Kind, d.Where)
		for _, r := range d.Shown {
			if ts := ticks[d.Route]; r.Row == TickRow && r.Value < int64(len(ts)) {
				// The first tick it did not show was committed then.
				age = max(0, d.AtUs-ts[r.Value])
			}
			switch {
			case r.Value < r.Acked && (d.Kind == Current || d.Kind == Pinned && strings.HasPrefix(r.Row, "own/")):
				bad("%s showed %d changes of %s, %d were acknowledged before it", where, r.Value, r.Row, r.Acked)
			case d.Kind == Current && r.Value > kept[d.Route][r.Row]:
				bad("%s showed %d changes of %s, %d are kept", where, r.Value, r.Row, kept[d.Route][r.Row])
			}
		}
		ages[d.Kind] = append(ages[d.Kind], age)
		switch {
		case d.Kind == Lookup && age > LookupLimit, d.Kind == Pinned && age > PinnedLimit:
			bad("%s was %d us old", where, age)
		}
	}
	for k, as := range ages {
		slices.Sort(as)
		v.Ages[k] = Ages{Reads: len(as), MedianUs: Quantile(as, 0.5), P99Us: Quantile(as, 0.99), MaxUs: as[len(as)-1]}
	}
	return v
}

// rowsOf is the rows that one commit changes, sorted, and its tag.
func rowsOf(e databasecopy.LogEntry) (rows []string, tag string) {
	for _, w := range e.Writes {
		r := w.Relation + "/" + w.Key
		if w.Put != nil || w.Add != 1 && w.Add != -1 {
			r += " by another amount"
		}
		rows = append(rows, r)
		if t, ok := strings.CutPrefix(r, "ledger/"); ok {
			tag = t
		}
	}
	slices.Sort(rows)
	return rows, tag
}

// Quantile of sorted values.
func Quantile(vs []int64, q float64) int64 {
	if len(vs) == 0 {
		return 0
	}
	return vs[min(len(vs)-1, int(float64(len(vs))*q))]
}
