package callers

import (
	"fmt"
	"slices"

	"stoneford/result"
	"stoneford/standin/databasecopy"
)

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
func (r *Run) Check(logs map[string][]databasecopy.LogEntry) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := Verdict{Violations: slices.Clone(r.oddity), Ages: map[string]Ages{}}
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
		if n, a := int64(len(ticks[rt])), r.ticks[rt].Load(); n < a {
			bad("%s: %d ticks were acknowledged and %d are kept", rt, a, n)
		}
	}
	for _, w := range r.writes {
		n := tags[w.route+"/"+w.tag]
		switch {
		case n > 1:
			bad("%s: write %s took effect %d times", w.route, w.tag, n)
		case w.out == result.Done && n == 0:
			bad("%s: acknowledged write %s (at %d) is gone", w.route, w.tag, w.at)
		case w.out == result.NothingKept && n > 0:
			bad("%s: write %s was kept after nothing kept was told", w.route, w.tag)
		}
		switch w.out {
		case result.Done:
			v.Acked++
		case result.Uncertain:
			v.Unsure++
			v.UnsureKept += int(min(n, 1))
		}
	}
	ages := map[string][]int64{}
	for _, d := range r.reads {
		age := int64(0)
		if ts := ticks[d.route]; d.ticks < int64(len(ts)) {
			// The first tick it did not show was committed then.
			age = max(0, d.at-ts[d.ticks])
		}
		ages[d.kind] = append(ages[d.kind], age)
		where := fmt.Sprintf("%s: a %s on %s by %s", d.route, d.kind, d.copy, d.node)
		switch d.kind {
		case Current:
			if d.ticks < d.acked {
				bad("%s showed %d ticks, %d were acknowledged before it", where, d.ticks, d.acked)
			}
		case Lookup:
			if age > LookupLimit {
				bad("%s was %d us old", where, age)
			}
		case Pinned:
			if age > PinnedLimit {
				bad("%s was %d us old", where, age)
			}
			if d.own < d.ownAt {
				bad("%s showed %d of its own %d writes", where, d.own, d.ownAt)
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
