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
	Order Measure = iota // pending entries
	Age                  // microseconds since the oldest pending commit
	Card                 // changed tuples in pending entries
)

// Formula is either a term or a junction of formulas.
type Formula struct {
	Atom      Atom
	Measure   Measure
	Threshold int64
	And       []Formula // all must hold; the needed level is the greatest
	Or        []Formula // one must hold; the needed level is the least
}

// NeedsRound says whether the formula can only be judged on a status round
// begun after the query came: counts say nothing of commits not seen yet.
func (f Formula) NeedsRound() bool {
	if len(f.And)+len(f.Or) == 0 {
		return f.Measure != Age || f.Threshold <= 0
	}
	return slices.ContainsFunc(append(slices.Clone(f.And), f.Or...), Formula.NeedsRound)
}

// Entry is one commit, or a gap of commits of which only positions are known.
type Entry struct {
	First    int64 // first position
	Last     int64 // last position; the same but for a gap
	CommitUs int64 // earliest moment it can have been committed
	Tuples   int64
	Class    []Atom // what it may have written
	Unseen   bool   // a gap: its content is unknown and conflicts with all
}

func (e Entry) conflicts(a Atom) bool {
	return e.Unseen || slices.ContainsFunc(e.Class, a.Conflicts)
}

// Queue is a group's commits that not every copy has applied yet.
type Queue struct {
	entries []Entry // in commit order, without holes from trimmed to master
	trimmed int64   // all up to here is applied everywhere
	master  int64
	seenUs  int64 // start of the newest poll that showed master, or its commit
	levels  map[string]int64
	known   bool
}

// Reset empties the queue, after a restart or a takeover. Levels are rebuilt
// from the next positions.
func (q *Queue) Reset() { *q = Queue{} }

// Known says whether any position of the primary has been seen.
func (q *Queue) Known() bool { return q.known }

// Master is the newest position known to be committed.
func (q *Queue) Master() int64 { return q.master }

// SeenUs is the start of the newest poll of the primary: a copy that covers
// Master is at most that old.
func (q *Queue) SeenUs() int64 { return q.seenUs }

// Len is the number of entries held.
func (q *Queue) Len() int { return len(q.entries) }

// Level is a copy's pointer.
func (q *Queue) Level(c string) (int64, bool) { l, ok := q.levels[c]; return l, ok }

// Seen takes the primary's position from a poll begun at startUs. Positions
// that no entry covers become a gap, dated to the start of the last poll that
// still showed the older position: the earliest it can have been.
func (q *Queue) Seen(startUs, pos int64) {
	if !q.known {
		q.known, q.master, q.trimmed, q.seenUs = true, pos, pos, startUs
		return
	}
	if pos > q.master {
		q.entries = append(q.entries, Entry{First: q.master + 1, Last: pos, CommitUs: q.seenUs, Unseen: true})
		q.master = pos
	}
	// A poll that shows less than master was overtaken by a commit's return
	// and says nothing of how far the primary is now.
	if pos == q.master && startUs > q.seenUs {
		q.seenUs = startUs
	}
}

// Committed takes a commit this node passed on itself: it was begun at startUs
// and its position is known. It splits the gap that covers it, if one does.
func (q *Queue) Committed(startUs, pos, tuples int64, class []Atom) {
	if !q.known {
		q.Seen(startUs, pos)
		return
	}
	if pos > q.master {
		if pos > q.master+1 {
			q.entries = append(q.entries, Entry{First: q.master + 1, Last: pos - 1, CommitUs: q.seenUs, Unseen: true})
		}
		q.entries = append(q.entries, Entry{First: pos, Last: pos, CommitUs: max(startUs, q.seenUs), Tuples: tuples, Class: slices.Clone(class)})
		// What is not seen yet comes behind this commit, so later than its start.
		q.master, q.seenUs = pos, max(q.seenUs, startUs)
		return
	}
	i := slices.IndexFunc(q.entries, func(e Entry) bool { return e.First <= pos && pos <= e.Last })
	if i < 0 || !q.entries[i].Unseen {
		return
	}
	g := q.entries[i]
	var es []Entry
	if g.First < pos {
		es = append(es, Entry{First: g.First, Last: pos - 1, CommitUs: g.CommitUs, Unseen: true})
	}
	es = append(es, Entry{First: pos, Last: pos, CommitUs: max(startUs, g.CommitUs), Tuples: tuples, Class: slices.Clone(class)})
	if pos < g.Last {
		// Behind it in commit order, so not earlier than it.
		es = append(es, Entry{First: pos + 1, Last: g.Last, CommitUs: max(startUs, g.CommitUs), Unseen: true})
	}
	q.entries = slices.Replace(q.entries, i, i+1, es...)
}

// CommittedUs is the earliest moment a pending position can have been
// committed; ok is false where the queue holds no entry of it.
func (q *Queue) CommittedUs(pos int64) (at int64, ok bool) {
	i, _ := slices.BinarySearchFunc(q.entries, pos, func(e Entry, p int64) int { return cmp.Compare(e.Last, p) })
	if i == len(q.entries) || q.entries[i].First > pos {
		return 0, false
	}
	return q.entries[i].CommitUs, true
}

// Applied moves a copy's pointer; it never moves back but through Drop.
func (q *Queue) Applied(c string, pos int64) {
	if q.levels == nil {
		q.levels = map[string]int64{}
	}
	q.levels[c] = max(q.levels[c], pos)
	q.trim()
}

// Drop takes a stalled, leaving or lost copy's pointer out; it no longer holds
// up trimming.
func (q *Queue) Drop(c string) {
	delete(q.levels, c)
	q.trim()
}

func (q *Queue) trim() {
	if len(q.levels) == 0 {
		return
	}
	lo := int64(math.MaxInt64)
	for _, l := range q.levels {
		lo = min(lo, l)
	}
	n := 0
	for n < len(q.entries) && q.entries[n].Last <= lo {
		q.trimmed = q.entries[n].Last
		n++
	}
	q.entries = slices.Delete(q.entries, 0, n)
}

// Needed is the lowest level at which a copy that now stands at from meets the
// formula. It is never below from. ok is false where no level known now would
// do, because the newest poll of the primary is itself too long ago.
func (q *Queue) Needed(f Formula, from, now int64) (level int64, ok bool) {
	if len(f.And) > 0 {
		level = from
		for _, g := range f.And {
			l, o := q.Needed(g, from, now)
			if !o {
				return 0, false
			}
			level = max(level, l)
		}
		return level, true
	}
	if len(f.Or) > 0 {
		for _, g := range f.Or {
			if l, o := q.Needed(g, from, now); o && (!ok || l < level) {
				level, ok = l, true
			}
		}
		return level, ok
	}
	if !q.known || f.Measure == Age && now-q.seenUs > f.Threshold && f.Threshold > 0 {
		return 0, false
	}
	if from < q.trimmed {
		// What lies below was trimmed while this copy took no part: it first
		// has to come up to where the entries begin.
		from = q.trimmed
	}
	return max(from, q.walk(f, from, now)), true
}

// walk goes from the master level back toward from and stops at the first
// entry with which the threshold would be exceeded.
func (q *Queue) walk(f Formula, from, now int64) int64 {
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
		case Card:
			if e.Unseen {
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
