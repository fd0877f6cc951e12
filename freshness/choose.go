package freshness

import "slices"

// Copy is what the choice knows of one replica.
type Copy struct {
	Name     string
	Level    int64
	BurdenUs int64 // remaining time of what already runs there
	RunUs    int64 // average past run time of such a query there
	RateUs   int64 // average time the copy takes to come one position further
}

// Choice is where a read goes and the level it has to wait for.
type Choice struct {
	Copy   string
	Level  int64
	WaitUs int64 // expected, from the copy's rate
	CostUs int64
}

// Choose returns the copy with the least burden plus average run time plus
// catch-up wait. pick(n) breaks ties among n, at random. ok is false where no
// copy has a level that would do.
func Choose(q *Queue, f Formula, floor, now int64, cs []Copy, pick func(int) int) (Choice, bool) {
	var best []Choice
	for _, c := range cs {
		l, ok := q.Needed(f, c.Level, now)
		if !ok {
			continue
		}
		l = max(l, floor)
		w := max(0, l-c.Level) * c.RateUs
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
