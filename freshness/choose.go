package freshness

import (
	"cmp"
	"slices"
)

// Replica is what Choose knows of one replica. Times are microseconds.
type Replica struct {
	Name            string
	AppliedPosition int64
	LoadUs          int64 // remaining run time of what already runs there
	AverageRunUs    int64 // average run time of such a read there
	ApplyTimeUs     int64 // average time to advance by one position
	LagUs           int64 // average time from a commit until it is applied

	// Eligible, RequiredPosition and WaitUs are set by Choose: whether a position is
	// known that would do, which, and the expected time until it is reached.
	Eligible         bool
	RequiredPosition int64
	WaitUs           int64
}

// expectedWait is how long the replica is expected to take to a position: its pace
// times what is missing, or its usual lag behind the commit, whichever is longer.
// A replica that always is a second late comes no sooner for missing little.
func (r Replica) expectedWait(q *Queue, position, now int64) int64 {
	if position <= r.AppliedPosition {
		return 0
	}
	wait := (position - r.AppliedPosition) * r.ApplyTimeUs
	if at, ok := q.CommitTime(position); ok {
		wait = max(wait, at+r.LagUs-now)
	}
	return wait
}

// Choice is the replica that serves a read, and the position that it has to reach
// first.
type Choice struct {
	Replica  string
	Position int64
	WaitUs   int64 // expected time until the position is reached
	CostUs   int64 // load, run time and wait
}

// Choose returns the replica with the least sum of load, average run time and
// expected wait, and notes in replicas what it found of each. minPosition is the
// position that the read needs in any case, and pick(n) breaks ties among n at
// random. ok is false where no replica has a position that would do.
func Choose(q *Queue, f Formula, minPosition, now int64, replicas []Replica, pick func(int) int) (choice Choice, ok bool) {
	var best []Choice
	for i, r := range replicas {
		required, ok := q.RequiredPosition(f, r.AppliedPosition, now)
		if !ok {
			continue
		}
		required = max(required, minPosition)
		wait := r.expectedWait(q, required, now)
		replicas[i].Eligible, replicas[i].RequiredPosition, replicas[i].WaitUs = true, required, wait
		candidate := Choice{Replica: r.Name, Position: required, WaitUs: wait, CostUs: r.LoadUs + r.AverageRunUs + wait}
		switch {
		case len(best) == 0 || candidate.CostUs < best[0].CostUs:
			best = []Choice{candidate}
		case candidate.CostUs == best[0].CostUs:
			best = append(best, candidate)
		}
	}
	if len(best) == 0 {
		return Choice{}, false
	}
	slices.SortFunc(best, func(a, b Choice) int { return cmp.Compare(a.Replica, b.Replica) })
	return best[pick(len(best))], true
}
