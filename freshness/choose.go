package freshness

import (
	"cmp"
	"slices"
)

// Replica describes a replica to Choose. Times are microseconds.
type Replica struct {
	Name            string
	AppliedPosition int64
	LoadUs          int64 // remaining run time of the statements that run on the replica
	AverageRunUs    int64 // average run time of reads like this one on the replica
	ApplyTimeUs     int64 // average time to advance by one position
	LagUs           int64 // average time from a commit until it is applied

	// Choose sets the following fields. Eligible reports whether some known position
	// meets the formula, RequiredPosition is that position, and WaitUs is the expected
	// time until the replica reaches it.
	Eligible         bool
	RequiredPosition int64
	WaitUs           int64
}

// expectedWait returns the expected time until the replica reaches a position: the
// missing positions times ApplyTimeUs, or the time until the commit is LagUs old,
// whichever is longer. The lag matters because a replica that is always a second behind
// does not apply a commit earlier if few positions are missing.
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

// Choice is the replica that serves a read and the position that it has to reach first.
type Choice struct {
	Replica  string
	Position int64
	WaitUs   int64 // expected time until the position is reached
	CostUs   int64 // sum of load, average run time and wait
}

// Choose returns the replica with the lowest sum of load, average run time and expected
// wait, and sets the result fields of all replicas. minPosition is a position that the
// read needs in addition to the formula. pick(n) returns a random index below n to break
// ties. ok is false if no replica is eligible.
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
