// Package checker holds what callers were told against what the databases hold
// in the end. The real fleet and the simulated one use the same checker.
package checker

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"

	"stoneford/emulator/databasereplica"
	"stoneford/result"
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
	Route   string
	Tag     string
	Rows    []string // RELATION/KEY, the tag's own left out
	Outcome result.Outcome
	AtUs    int64
}

// ObservedRow is one row of a read: what it showed, and how many changes of it were
// acknowledged before the read was sent.
type ObservedRow struct {
	Row          string
	Value        int64
	Acknowledged int64
}

// Read is what one read showed.
type Read struct {
	Route    string
	Kind     string
	Rows     []ObservedRow
	AtUs     int64 // when its return came
	Database string
}

// TickRow is the row that is added to all the time: how far it is tells how
// fresh a read was.
const TickRow = "ticks/t"

// OwnRow is the row that only one session writes.
func OwnRow(session string) string { return "own/" + session }

// TagRow is the row of a write's tag.
func TagRow(tag string) string { return "ledger/" + tag }

// ReadStatement is the statement that reads rows.
func ReadStatement(rows []string) string {
	return "read " + strings.ReplaceAll(strings.Join(rows, " "), "/", " ")
}

// Checker collects.
type Checker struct {
	mu           sync.Mutex
	writes       []Write
	reads        []Read
	violations   []string
	acknowledged map[string]map[string]int64 // changes acknowledged, by route and row
}

// New makes an empty checker.
func New() *Checker { return &Checker{acknowledged: map[string]map[string]int64{}} }

// RecordWrite notes how a write ended.
func (c *Checker) RecordWrite(w Write) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes = append(c.writes, w)
	if w.Outcome == result.Done {
		c.acknowledge(w.Route, append(w.Rows, TagRow(w.Tag))...)
	}
}

// RecordTick notes an acknowledged tick.
func (c *Checker) RecordTick(route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledge(route, TickRow)
}

func (c *Checker) acknowledge(route string, rows ...string) {
	m := c.acknowledged[route]
	if m == nil {
		m = map[string]int64{}
		c.acknowledged[route] = m
	}
	for _, r := range rows {
		m[r]++
	}
}

// ReadExpectation is what was acknowledged of the rows that a read is about to ask for.
func (c *Checker) ReadExpectation(route string, rows ...string) []ObservedRow {
	c.mu.Lock()
	defer c.mu.Unlock()
	ss := make([]ObservedRow, len(rows))
	for i, r := range rows {
		ss[i] = ObservedRow{Row: r, Acknowledged: c.acknowledged[route][r]}
	}
	return ss
}

// RecordRead notes what a read showed of the rows it was sent for: the texts of its
// return, as they came.
func (c *Checker) RecordRead(r Read, values [][]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Rows = slices.Clone(r.Rows)
	for i := range r.Rows {
		n, err := int64(0), error(nil)
		if i >= len(values) || len(values[i]) != 1 {
			err = fmt.Errorf("no value for %s", r.Rows[i].Row)
		} else {
			n, err = strconv.ParseInt(values[i][0], 10, 64)
		}
		if err != nil {
			c.violations = append(c.violations, fmt.Sprintf("%s: a %s %s returned %v: %v", r.Route, r.Kind, r.Database, values, err))
			return
		}
		r.Rows[i].Value = max(n, -n)
	}
	c.reads = append(c.reads, r)
}

// RecordViolation notes something that is wrong by itself.
func (c *Checker) RecordViolation(f string, a ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(f, a...))
}

// Limits on the age of what a read shows, in microseconds.
const (
	LookupStalenessLimit = 1_500_000
	PinnedStalenessLimit = 2_500_000
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
	Violations       []string        `json:"violations"`
	Ages             map[string]Ages `json:"ages"`
	Acknowledged     int             `json:"acknowledged_writes"`
	InDoubt          int             `json:"uncertain_writes"`
	InDoubtCommitted int             `json:"uncertain_writes_kept"`
}

// Check holds what callers were told against what the group behind each route
// holds in the end.
func (c *Checker) Check(logs map[string][]databasereplica.LogEntry) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := Verdict{Violations: slices.Clone(c.violations), Ages: map[string]Ages{}}
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
		for r, a := range c.acknowledged[rt] {
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
		case w.Outcome == result.Done && n == 0:
			bad("%s: acknowledged write %s (at %d) is gone", w.Route, w.Tag, w.AtUs)
		case w.Outcome == result.NoEffect && n > 0:
			bad("%s: write %s was kept after nothing kept was told", w.Route, w.Tag)
		}
		switch w.Outcome {
		case result.Done:
			v.Acknowledged++
		case result.Uncertain:
			v.InDoubt++
			v.InDoubtCommitted += int(min(n, 1))
		}
	}
	ages := map[string][]int64{}
	for _, d := range c.reads {
		age := int64(0)
		where := fmt.Sprintf("%s: a %s %s", d.Route, d.Kind, d.Database)
		for _, r := range d.Rows {
			if ts := ticks[d.Route]; r.Row == TickRow && r.Value < int64(len(ts)) {
				// The first tick it did not show was committed then.
				age = max(0, d.AtUs-ts[r.Value])
			}
			switch {
			case r.Value < r.Acknowledged && (d.Kind == Current || d.Kind == Pinned && strings.HasPrefix(r.Row, "own/")):
				bad("%s showed %d changes of %s, %d were acknowledged before it", where, r.Value, r.Row, r.Acknowledged)
			case d.Kind == Current && r.Value > kept[d.Route][r.Row]:
				bad("%s showed %d changes of %s, %d are kept", where, r.Value, r.Row, kept[d.Route][r.Row])
			}
		}
		ages[d.Kind] = append(ages[d.Kind], age)
		switch {
		case d.Kind == Lookup && age > LookupStalenessLimit, d.Kind == Pinned && age > PinnedStalenessLimit:
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
func rowsOf(e databasereplica.LogEntry) (rows []string, tag string) {
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
