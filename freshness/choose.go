package freshness

import "slices"

// Replica is what the choice knows of one replica.
type Replica struct {
	Name            string
	AppliedPosition int64
	LoadUs          int64 // remaining time of what already runs there
	AverageRunUs    int64 // average past run time of such a query there
	ApplyTimeUs     int64 // average time the copy takes to come one position further
	LagUs           int64 // average time from a commit until the copy has applied it

	// What Choose found of it: whether a level is known that would do, which,
	// and the expected wait for it.
	Eligible         bool
	RequiredPosition int64
	WaitUs           int64
}

// expectedWait is how long the copy is expected to take to a level: its pace times what
// is missing, or its usual lag behind the commit, whichever is longer. A copy
// that always is a second late comes no sooner for missing little.
func (c Replica) expectedWait(q *Queue, level, now int64) int64 {
	if level <= c.AppliedPosition {
		return 0
	}
	w := (level - c.AppliedPosition) * c.ApplyTimeUs
	if at, ok := q.CommitTime(level); ok {
		w = max(w, at+c.LagUs-now)
	}
	return w
}

// Choice is where a read goes and the level it has to wait for.
type Choice struct {
	Replica  string
	Position int64
	WaitUs   int64 // expected, from the copy's rate
	CostUs   int64
}

// Choose returns the copy with the least burden plus average run time plus
// catch-up wait, and notes in cs what it found of each. pick(n) breaks ties among
// n, at random. ok is false where no copy has a level that would do.
func Choose(q *Queue, formula Formula, floor, now int64, replicas []Replica, pick func(int) int) (Choice, bool) {
	var best []Choice
	for i, candidate := range replicas {
		required, ok := q.RequiredPosition(formula, candidate.AppliedPosition, now)
		if !ok {
			continue
		}
		required = max(required, floor)
		wait := candidate.expectedWait(q, required, now)
		replicas[i].Eligible, replicas[i].RequiredPosition, replicas[i].WaitUs = true, required, wait
		choice := Choice{Replica: candidate.Name, Position: required, WaitUs: wait, CostUs: candidate.LoadUs + candidate.AverageRunUs + wait}
		switch {
		case len(best) == 0 || choice.CostUs < best[0].CostUs:
			best = []Choice{choice}
		case choice.CostUs == best[0].CostUs:
			best = append(best, choice)
		}
	}
	if len(best) == 0 {
		return Choice{}, false
	}
	slices.SortFunc(best, func(a, b Choice) int {
		if a.Replica < b.Replica {
			return -1
		}
		return 1
	})
	return best[pick(len(best))], true
}
