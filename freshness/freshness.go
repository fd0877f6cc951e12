// Package freshness decides which copy serves a read and when it may start,
// after "Refresco: Improving Query Performance Through Freshness Control in a
// Database Cluster" (docs/refresco.md says what was kept and changed).
//
// A Queue holds a group's commits in the primary's commit order. It is a plain
// value without clock or lock: callers hand it the time in microseconds of
// their own monotonic clock.
package freshness

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// Atom is a part of the database: "" is all of it, "stock" a relation,
// "stock.amount" an attribute.
type Atom string

// Conflicts says whether two atoms are equal or one lies in the other.
func (a Atom) Conflicts(b Atom) bool {
	if a == b || a == "" || b == "" {
		return true
	}
	return strings.HasPrefix(string(a), string(b)+".") || strings.HasPrefix(string(b), string(a)+".")
}

// Measure is one of the three ways to say how stale an atom is.
type Measure int

// The measures.
const (
	Order       Measure = iota // pending entries
	Age                        // microseconds since the oldest pending commit
	Cardinality                // changed tuples in pending entries
)

// Formula is either a term or a junction of formulas.
type Formula struct {
	Atom      Atom
	Measure   Measure
	Threshold int64
	And       []Formula // all must hold; the needed level is the greatest
	Or        []Formula // one must hold; the needed level is the least
}

// NeedsFreshPoll says whether the formula can only be judged on a status round
// begun after the query came: counts say nothing of commits not seen yet.
func (f Formula) NeedsFreshPoll() bool {
	if len(f.And)+len(f.Or) == 0 {
		return f.Measure != Age || f.Threshold <= 0
	}
	return slices.ContainsFunc(append(slices.Clone(f.And), f.Or...), Formula.NeedsFreshPoll)
}

// Entry is one commit, or a gap of commits of which only positions are known.
type Entry struct {
	First    int64 // first position
	Last     int64 // last position; the same but for a gap
	CommitUs int64 // earliest moment it can have been committed
	Tuples   int64
	Writes   []Atom // what it may have written
	Gap      bool   // a gap: its content is unknown and conflicts with all
}

func (e Entry) conflicts(a Atom) bool {
	return e.Gap || slices.ContainsFunc(e.Writes, a.Conflicts)
}

// Queue is a group's commits that not every copy has applied yet.
type Queue struct {
	entries          []Entry // in commit order, without holes from trimmed to master
	trimmedTo        int64   // all up to here is applied everywhere
	primaryPosition  int64
	polledAt         int64 // start of the newest poll that showed master, or its commit
	appliedPositions map[string]int64
	primaryKnown     bool
}

// Reset empties the queue, after a restart or a takeover. Levels are rebuilt
// from the next positions.
func (q *Queue) Reset() { *q = Queue{} }

// Known says whether any position of the primary has been seen.
func (q *Queue) Known() bool { return q.primaryKnown }

// PrimaryPosition is the newest position known to be committed.
func (q *Queue) PrimaryPosition() int64 { return q.primaryPosition }

// PolledAt is the start of the newest poll of the primary: a copy that covers
// Master is at most that old.
func (q *Queue) PolledAt() int64 { return q.polledAt }

// Len is the number of entries held.
func (q *Queue) Len() int { return len(q.entries) }

// AppliedPosition is a copy's pointer.
func (q *Queue) AppliedPosition(c string) (int64, bool) { l, ok := q.appliedPositions[c]; return l, ok }

// ObservePrimary takes the primary's position from a poll begun at startUs. Positions
// that no entry covers become a gap, dated to the start of the last poll that
// still showed the older position: the earliest it can have been.
func (q *Queue) ObservePrimary(startUs, pos int64) {
	if !q.primaryKnown {
		q.primaryKnown, q.primaryPosition, q.trimmedTo, q.polledAt = true, pos, pos, startUs
		return
	}
	if pos > q.primaryPosition {
		q.entries = append(q.entries, Entry{First: q.primaryPosition + 1, Last: pos, CommitUs: q.polledAt, Gap: true})
		q.primaryPosition = pos
	}
	// A poll that shows less than master was overtaken by a commit's return
	// and says nothing of how far the primary is now.
	if pos == q.primaryPosition && startUs > q.polledAt {
		q.polledAt = startUs
	}
}

// AddCommit takes a commit this node passed on itself: it was begun at startUs
// and its position is known. It splits the gap that covers it, if one does.
func (q *Queue) AddCommit(startUs, pos, tuples int64, writes []Atom) {
	if !q.primaryKnown {
		q.ObservePrimary(startUs, pos)
		return
	}
	if pos > q.primaryPosition {
		if pos > q.primaryPosition+1 {
			q.entries = append(q.entries, Entry{First: q.primaryPosition + 1, Last: pos - 1, CommitUs: q.polledAt, Gap: true})
		}
		q.entries = append(q.entries, Entry{First: pos, Last: pos, CommitUs: max(startUs, q.polledAt), Tuples: tuples, Writes: slices.Clone(writes)})
		// What is not seen yet comes behind this commit, so later than its start.
		q.primaryPosition, q.polledAt = pos, max(q.polledAt, startUs)
		return
	}
	i := slices.IndexFunc(q.entries, func(e Entry) bool { return e.First <= pos && pos <= e.Last })
	if i < 0 || !q.entries[i].Gap {
		return
	}
	gap := q.entries[i]
	var split []Entry
	if gap.First < pos {
		split = append(split, Entry{First: gap.First, Last: pos - 1, CommitUs: gap.CommitUs, Gap: true})
	}
	split = append(split, Entry{First: pos, Last: pos, CommitUs: max(startUs, gap.CommitUs), Tuples: tuples, Writes: slices.Clone(writes)})
	if pos < gap.Last {
		// Behind it in commit order, so not earlier than it.
		split = append(split, Entry{First: pos + 1, Last: gap.Last, CommitUs: max(startUs, gap.CommitUs), Gap: true})
	}
	q.entries = slices.Replace(q.entries, i, i+1, split...)
}

// CommitTime is the earliest moment a pending position can have been
// committed; ok is false where the queue holds no entry of it.
func (q *Queue) CommitTime(pos int64) (at int64, ok bool) {
	i, _ := slices.BinarySearchFunc(q.entries, pos, func(e Entry, p int64) int { return cmp.Compare(e.Last, p) })
	if i == len(q.entries) || q.entries[i].First > pos {
		return 0, false
	}
	return q.entries[i].CommitUs, true
}

// ObserveReplica moves a copy's pointer; it never moves back but through Drop.
func (q *Queue) ObserveReplica(c string, pos int64) {
	if q.appliedPositions == nil {
		q.appliedPositions = map[string]int64{}
	}
	q.appliedPositions[c] = max(q.appliedPositions[c], pos)
	q.trim()
}

// RemoveReplica takes a stalled, leaving or lost copy's pointer out; it no longer holds
// up trimming.
func (q *Queue) RemoveReplica(c string) {
	delete(q.appliedPositions, c)
	q.trim()
}

func (q *Queue) trim() {
	if len(q.appliedPositions) == 0 {
		return
	}
	lowest := int64(math.MaxInt64)
	for _, applied := range q.appliedPositions {
		lowest = min(lowest, applied)
	}
	n := 0
	for n < len(q.entries) && q.entries[n].Last <= lowest {
		q.trimmedTo = q.entries[n].Last
		n++
	}
	q.entries = slices.Delete(q.entries, 0, n)
}

// RequiredPosition is the lowest level at which a copy that now stands at from meets the
// formula. It is never below from. ok is false where no level known now would
// do, because the newest poll of the primary is itself too long ago.
func (q *Queue) RequiredPosition(f Formula, from, now int64) (required int64, ok bool) {
	if len(f.And) > 0 {
		required = from
		for _, part := range f.And {
			position, satisfiable := q.RequiredPosition(part, from, now)
			if !satisfiable {
				return 0, false
			}
			required = max(required, position)
		}
		return required, true
	}
	if len(f.Or) > 0 {
		for _, part := range f.Or {
			if position, satisfiable := q.RequiredPosition(part, from, now); satisfiable && (!ok || position < required) {
				required, ok = position, true
			}
		}
		return required, ok
	}
	if !q.primaryKnown || f.Measure == Age && now-q.polledAt > f.Threshold && f.Threshold > 0 {
		return 0, false
	}
	if from < q.trimmedTo {
		// What lies below was trimmed while this copy took no part: it first
		// has to come up to where the entries begin.
		from = q.trimmedTo
	}
	return max(from, q.firstAcceptable(f, from, now)), true
}

// firstAcceptable goes from the master level back toward from and stops at the first
// entry with which the threshold would be exceeded.
func (q *Queue) firstAcceptable(f Formula, from, now int64) int64 {
	var sum int64
	for i := len(q.entries) - 1; i >= 0; i-- {
		e := q.entries[i]
		if e.Last <= from {
			break
		}
		if !e.conflicts(f.Atom) {
			continue
		}
		switch f.Measure {
		case Order:
			n := e.Last - max(e.First, from+1) + 1
			if sum+n > f.Threshold {
				// Within a gap the count is known position by position.
				return e.Last - (f.Threshold - sum)
			}
			sum += n
		case Age:
			if now-e.CommitUs > f.Threshold {
				return e.Last
			}
		case Cardinality:
			if e.Gap {
				return e.Last // may have touched any number of tuples
			}
			if sum+e.Tuples > f.Threshold {
				return e.Last
			}
			sum += e.Tuples
		}
	}
	return from
}
