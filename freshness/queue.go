package freshness

import (
	"cmp"
	"math"
	"slices"
)

// Entry is one commit, or a gap: consecutive commits of which only the positions
// are known.
type Entry struct {
	First    int64  // first position
	Last     int64  // last position, equal to First unless the entry is a gap
	CommitUs int64  // earliest possible time of the commit
	Tuples   int64  // number of tuples that the commit changed
	Writes   []Atom // atoms that the commit may have written
	Gap      bool   // the content is unknown and conflicts with every atom
}

func (e Entry) conflicts(a Atom) bool {
	return e.Gap || slices.ContainsFunc(e.Writes, a.Conflicts)
}

// Queue holds a group's commits that not every replica has applied. The zero value
// is empty and ready for use.
//
// Invariant: the entries are in commit order and cover every position above
// trimmedTo and up to primaryPosition exactly once.
type Queue struct {
	entries          []Entry
	trimmedTo        int64            // every replica has applied the log up to this position
	primaryPosition  int64            // newest position known to be committed
	polledAt         int64            // start of the newest poll that showed primaryPosition, or of its commit
	appliedPositions map[string]int64 // by replica
	primaryKnown     bool             // a position of the primary was observed
}

// Reset empties the queue after a restart or a change of primary. The next polls show the
// positions again.
func (q *Queue) Reset() { *q = Queue{} }

// PrimaryKnown reports whether a position of the primary was observed.
func (q *Queue) PrimaryKnown() bool { return q.primaryKnown }

// PrimaryPosition returns the newest position known to be committed.
func (q *Queue) PrimaryPosition() int64 { return q.primaryPosition }

// PolledAt returns the start of the newest poll that showed PrimaryPosition, or of the
// commit at that position. The data of a replica that has applied PrimaryPosition is at
// most as old as the time since then.
func (q *Queue) PolledAt() int64 { return q.polledAt }

// Len returns the number of entries. A gap counts as one entry.
func (q *Queue) Len() int { return len(q.entries) }

// AppliedPosition returns the position up to which a replica has applied the log. known is
// false if no position of the replica was observed.
func (q *Queue) AppliedPosition(replica string) (position int64, known bool) {
	position, known = q.appliedPositions[replica]
	return position, known
}

// ObservePrimary records the primary's position from a poll that began at startUs.
// Positions that no entry covers become a gap. Its commit time is the start of the last
// poll that still showed the older position, which is the earliest possible time.
func (q *Queue) ObservePrimary(startUs, position int64) {
	if !q.primaryKnown {
		q.primaryKnown, q.primaryPosition, q.trimmedTo, q.polledAt = true, position, position, startUs
		return
	}
	if position > q.primaryPosition {
		q.entries = append(q.entries, q.gapTo(position))
		q.primaryPosition = position
	}
	// A poll that shows a lower position than primaryPosition was overtaken by the reply to
	// a commit, so it does not show the primary's present position.
	if position == q.primaryPosition && startUs > q.polledAt {
		q.polledAt = startUs
	}
}

// gapTo returns the gap from the newest known position to a later one.
func (q *Queue) gapTo(position int64) Entry {
	return Entry{First: q.primaryPosition + 1, Last: position, CommitUs: q.polledAt, Gap: true}
}

// AddCommit adds a commit that this node forwarded itself. The commit began at startUs,
// and its position and the atoms that it may have written are known. If a gap covers the
// position, the gap is split.
func (q *Queue) AddCommit(startUs, position, tuples int64, writes []Atom) {
	if !q.primaryKnown {
		q.ObservePrimary(startUs, position)
		return
	}
	commit := Entry{First: position, Last: position, CommitUs: max(startUs, q.polledAt), Tuples: tuples, Writes: slices.Clone(writes)}
	if position <= q.primaryPosition {
		q.fillGap(startUs, commit)
		return
	}
	if position > q.primaryPosition+1 {
		q.entries = append(q.entries, q.gapTo(position-1))
	}
	q.entries = append(q.entries, commit)
	// Commits that were not observed yet come after this commit, and so after its start.
	q.primaryPosition, q.polledAt = position, max(q.polledAt, startUs)
}

// fillGap replaces a position of a gap by its commit, if a gap covers the position.
func (q *Queue) fillGap(startUs int64, commit Entry) {
	position := commit.First
	i := slices.IndexFunc(q.entries, func(e Entry) bool { return e.First <= position && position <= e.Last })
	if i < 0 || !q.entries[i].Gap {
		return
	}
	gap := q.entries[i]
	commit.CommitUs = max(startUs, gap.CommitUs)
	var split []Entry
	if gap.First < position {
		split = append(split, Entry{First: gap.First, Last: position - 1, CommitUs: gap.CommitUs, Gap: true})
	}
	split = append(split, commit)
	if position < gap.Last {
		// The rest of the gap follows the commit in the log, so it is not older.
		split = append(split, Entry{First: position + 1, Last: gap.Last, CommitUs: commit.CommitUs, Gap: true})
	}
	q.entries = slices.Replace(q.entries, i, i+1, split...)
}

// CommitTime returns the earliest possible commit time of a position; ok is false if the
// queue has no entry for the position.
func (q *Queue) CommitTime(position int64) (at int64, ok bool) {
	i, _ := slices.BinarySearchFunc(q.entries, position, func(e Entry, p int64) int { return cmp.Compare(e.Last, p) })
	if i == len(q.entries) || q.entries[i].First > position {
		return 0, false
	}
	return q.entries[i].CommitUs, true
}

// ObserveReplica records the position that a replica has applied. A replica's position
// never decreases unless RemoveReplica is called.
func (q *Queue) ObserveReplica(replica string, position int64) {
	if q.appliedPositions == nil {
		q.appliedPositions = map[string]int64{}
	}
	q.appliedPositions[replica] = max(q.appliedPositions[replica], position)
	q.trim()
}

// RemoveReplica removes a replica that stalled, drains or failed, so that the queue can
// be trimmed without it.
func (q *Queue) RemoveReplica(replica string) {
	delete(q.appliedPositions, replica)
	q.trim()
}

// trim removes the entries that every replica has applied.
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

// RequiredPosition returns a position, not below applied, at which a replica meets the
// formula; applied is the position that the replica has applied now. For a term it is the
// lowest such position, as far as the entries show. ok is false if no known position meets
// the formula, because the newest poll of the primary is too old or there was none.
func (q *Queue) RequiredPosition(f Formula, applied, now int64) (position int64, ok bool) {
	switch {
	case len(f.And) > 0:
		return q.requiredByAll(f.And, applied, now)
	case len(f.Or) > 0:
		return q.requiredByAny(f.Or, applied, now)
	case !q.primaryKnown || f.Measure == Age && now-q.polledAt > f.Threshold && f.Threshold > 0:
		return 0, false
	}
	// Entries up to trimmedTo were trimmed while this replica was removed, so it first has
	// to reach trimmedTo.
	applied = max(applied, q.trimmedTo)
	return max(applied, q.requiredByTerm(f, applied, now)), true
}

func (q *Queue) requiredByAll(formulas []Formula, applied, now int64) (position int64, ok bool) {
	position = applied
	for _, f := range formulas {
		required, ok := q.RequiredPosition(f, applied, now)
		if !ok {
			return 0, false
		}
		position = max(position, required)
	}
	return position, true
}

func (q *Queue) requiredByAny(formulas []Formula, applied, now int64) (position int64, ok bool) {
	for _, f := range formulas {
		if required, possible := q.RequiredPosition(f, applied, now); possible && (!ok || required < position) {
			position, ok = required, true
		}
	}
	return position, ok
}

// requiredByTerm returns the position that a term requires. It goes back from the
// primary's position to the applied one and stops at the first entry that would exceed the
// threshold.
func (q *Queue) requiredByTerm(f Formula, applied, now int64) int64 {
	var sum int64
	for _, e := range slices.Backward(q.entries) {
		if e.Last <= applied {
			break
		}
		if !e.conflicts(f.Atom) {
			continue
		}
		switch f.Measure {
		case Order:
			n := e.Last - max(e.First, applied+1) + 1
			if sum+n > f.Threshold {
				// In a gap each position counts as one commit.
				return e.Last - (f.Threshold - sum)
			}
			sum += n
		case Age:
			if now-e.CommitUs > f.Threshold {
				return e.Last
			}
		case Cardinality:
			if e.Gap || sum+e.Tuples > f.Threshold { // a gap may have changed any number
				return e.Last
			}
			sum += e.Tuples
		}
	}
	return applied
}
