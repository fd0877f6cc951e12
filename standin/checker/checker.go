// Package checker holds what callers were told against what the databases hold
// in the end. The real fleet and the simulated one use the same checker.
package checker

import (
	"fmt"
	"slices"
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

// Write is one write that a caller sent under a tag of its own.
type Write struct {
	Route string
	Tag   string
	Out   result.Outcome
	AtUs  int64
}

// Read is what one read showed.
type Read struct {
	Route   string
	Kind    string
	Ticks   int64 // what it showed of the row that is added to all the time
	Acked   int64 // ticks acknowledged before it was sent
	Own     int64 // what it showed of its session's own row
	OwnWant int64 // own writes acknowledged before it was sent
	AtUs    int64 // when its return came
	Where   string
}

// Checker collects.
type Checker struct {
	mu     sync.Mutex
	writes []Write
	reads  []Read
	oddity []string
	ticks  map[string]int64
}

// New makes an empty checker.
func New() *Checker { return &Checker{ticks: map[string]int64{}} }

// Wrote notes how a write ended.
func (c *Checker) Wrote(w Write) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes = append(c.writes, w)
}

// Got notes what a read showed.
func (c *Checker) Got(r Read) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads = append(c.reads, r)
}

// Odd notes something that is wrong by itself.
func (c *Checker) Odd(f string, a ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.oddity = append(c.oddity, fmt.Sprintf(f, a...))
}

// Ticked notes an acknowledged tick.
func (c *Checker) Ticked(route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ticks[route]++
}

// Ticks is how many ticks were acknowledged.
func (c *Checker) Ticks(route string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ticks[route]
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
	tags := map[string]int64{}
	ticks := map[string][]int64{}
	for rt, log := range logs {
		for _, e := range log {
			for _, w := range e.Writes {
				switch w.Relation {
				case "ledger":
					tags[rt+"/"+w.Key] += w.Add
				case "ticks":
					ticks[rt] = append(ticks[rt], e.AtUs)
				}
			}
		}
		if n, a := int64(len(ticks[rt])), c.ticks[rt]; n < a {
			bad("%s: %d ticks were acknowledged and %d are kept", rt, a, n)
		}
	}
	for _, w := range c.writes {
		n := tags[w.Route+"/"+w.Tag]
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
		if ts := ticks[d.Route]; d.Ticks < int64(len(ts)) {
			// The first tick it did not show was committed then.
			age = max(0, d.AtUs-ts[d.Ticks])
		}
		ages[d.Kind] = append(ages[d.Kind], age)
		where := fmt.Sprintf("%s: a %s %s", d.Route, d.Kind, d.Where)
		switch d.Kind {
		case Current:
			if d.Ticks < d.Acked {
				bad("%s showed %d ticks, %d were acknowledged before it", where, d.Ticks, d.Acked)
			}
		case Lookup:
			if age > LookupLimit {
				bad("%s was %d us old", where, age)
			}
		case Pinned:
			if age > PinnedLimit {
				bad("%s was %d us old", where, age)
			}
			if d.Own < d.OwnWant {
				bad("%s showed %d of its own %d writes", where, d.Own, d.OwnWant)
			}
		}
	}
	for k, as := range ages {
		slices.Sort(as)
		v.Ages[k] = Ages{Reads: len(as), MedianUs: Quantile(as, 0.5), P99Us: Quantile(as, 0.99), MaxUs: as[len(as)-1]}
	}
	return v
}

// Quantile of sorted values.
func Quantile(vs []int64, q float64) int64 {
	if len(vs) == 0 {
		return 0
	}
	return vs[min(len(vs)-1, int(float64(len(vs))*q))]
}
