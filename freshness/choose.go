package freshness

import "slices"

// Copy is what the choice knows of one replica.
type Copy struct {
	Name     string
	Level    int64
	BurdenUs int64 // remaining time of what already runs there
	RunUs    int64 // average past run time of such a query there
	RateUs   int64 // average time the copy takes to come one position further
	LagUs    int64 // average time from a commit until the copy has applied it

	// What Choose found of it: whether a level is known that would do, which,
	// and the expected wait for it.
	Fits   bool
	Need   int64
	WaitUs int64
}

// wait is how long the copy is expected to take to a level: its pace times what
// is missing, or its usual lag behind the commit, whichever is longer. A copy
// that always is a second late comes no sooner for missing little.
func (c Copy) wait(q *Queue, level, now int64) int64 {
	if level <= c.Level {
		return 0
	}
	w := (level - c.Level) * c.RateUs
	if at, ok := q.CommittedUs(level); ok {
		w = max(w, at+c.LagUs-now)
	}
	return w
}

// Choice is where a read goes and the level it has to wait for.
type Choice struct {
	Copy   string
	Level  int64
	WaitUs int64 // expected, from the copy's rate
	CostUs int64
}

// Choose returns the copy with the least burden plus average run time plus
// catch-up wait, and notes in cs what it found of each. pick(n) breaks ties among
// n, at random. ok is false where no copy has a level that would do.
func Choose(q *Queue, f Formula, floor, now int64, cs []Copy, pick func(int) int) (Choice, bool) {
	var best []Choice
	for i, c := range cs {
		l, ok := q.Needed(f, c.Level, now)
		if !ok {
			continue
		}
		l = max(l, floor)
		w := c.wait(q, l, now)
		cs[i].Fits, cs[i].Need, cs[i].WaitUs = true, l, w
		ch := Choice{Copy: c.Name, Level: l, WaitUs: w, CostUs: c.BurdenUs + c.RunUs + w}
		switch {
		case len(best) == 0 || ch.CostUs < best[0].CostUs:
			best = []Choice{ch}
		case ch.CostUs == best[0].CostUs:
			best = append(best, ch)
		}
	}
	if len(best) == 0 {
		return Choice{}, false
	}
	slices.SortFunc(best, func(a, b Choice) int {
		if a.Copy < b.Copy {
			return -1
		}
		return 1
	})
	return best[pick(len(best))], true
}
