package checker

import (
	"fmt"
	"slices"
	"strings"

	"stoneford/emulator/databasereplica"
	"stoneford/result"
)

// check is the state of one call of Checker.Check.
type check struct {
	checker *Checker
	verdict Verdict
	sent    map[string]Write            // writes that callers sent, by "route tag"
	commits map[string]int64            // number of commits, by "route tag"
	ticks   map[string][]int64          // commit times of the ticks in microseconds by route, in log order
	changes map[string]map[string]int64 // number of committed changes, by route and row
}

func (k *check) violation(format string, a ...any) {
	k.verdict.Violations = append(k.verdict.Violations, fmt.Sprintf(format, a...))
}

// checkLog checks that each commit in a route's log is a write that a caller sent, and that
// the log has every acknowledged change.
func (k *check) checkLog(route string, log []databasereplica.LogEntry) {
	changes := map[string]int64{}
	k.changes[route] = changes
	for i, e := range log {
		rows, tag := changedRows(e)
		for _, r := range rows {
			changes[r]++
		}
		switch {
		case len(rows) == 0:
		case tag != "":
			k.checkCommit(route, tag, i+1, rows)
		case slices.Equal(rows, []string{TickRow}):
			k.ticks[route] = append(k.ticks[route], e.AtUs)
		default:
			k.violation("%s: position %d changes %v, which no caller sent as one write", route, i+1, rows)
		}
	}
	for r, acknowledged := range k.checker.acknowledged[route] {
		if n := changes[r]; n < acknowledged {
			k.violation("%s: %d changes of %s were acknowledged and %d are kept", route, acknowledged, r, n)
		}
	}
}

// checkCommit checks that a commit with a tag changes exactly the rows of the write with
// this tag.
func (k *check) checkCommit(route, tag string, position int, rows []string) {
	k.commits[route+" "+tag]++
	w, ok := k.sent[route+" "+tag]
	want := slices.Sorted(slices.Values(append(slices.Clone(w.Rows), TagRow(tag))))
	if !ok || !slices.Equal(rows, want) {
		k.violation("%s: position %d changes %v, but the write that was sent changes %v", route, position, rows, want)
	}
}

// checkWrite checks the effect of a write against the outcome that its caller received.
func (k *check) checkWrite(w Write) {
	n := k.commits[w.Route+" "+w.Tag]
	switch {
	case n > 1:
		k.violation("%s: write %s took effect %d times", w.Route, w.Tag, n)
	case w.Outcome == result.Done && n == 0:
		k.violation("%s: acknowledged write %s (reply at %d us) is gone", w.Route, w.Tag, w.AtUs)
	case w.Outcome == result.NoEffect && n > 0:
		k.violation("%s: write %s took effect, but the reply to its caller reported no effect", w.Route, w.Tag)
	}
	switch w.Outcome {
	case result.Done:
		k.verdict.Acknowledged++
	case result.Uncertain:
		k.verdict.Uncertain++
		k.verdict.UncertainCommitted += int(min(n, 1))
	}
}

// checkReads checks all reads and summarizes the age of their data by kind.
func (k *check) checkReads() {
	ages := map[string][]int64{}
	for _, r := range k.checker.reads {
		ages[r.Kind] = append(ages[r.Kind], k.checkRead(r))
	}
	for kind, a := range ages {
		slices.Sort(a)
		k.verdict.Ages[kind] = Ages{Reads: len(a), MedianUs: Quantile(a, 0.5), P99Us: Quantile(a, 0.99), MaxUs: a[len(a)-1]}
	}
}

// checkRead checks one read and returns the age of its data in microseconds.
func (k *check) checkRead(read Read) (age int64) {
	where := fmt.Sprintf("%s: a %s %s", read.Route, read.Kind, read.ServedBy)
	for _, r := range read.Rows {
		if ticks := k.ticks[read.Route]; r.Row == TickRow && r.Value < int64(len(ticks)) {
			// The data is as old as the first tick that it does not include.
			age = max(0, read.AtUs-ticks[r.Value])
		}
		changes := k.changes[read.Route][r.Row]
		switch {
		case r.Value < r.Acknowledged && read.mustShow(r.Row):
			k.violation("%s showed %d changes of %s, %d were acknowledged before it", where, r.Value, r.Row, r.Acknowledged)
		case read.Kind == Current && r.Value > changes:
			k.violation("%s showed %d changes of %s, %d are kept", where, r.Value, r.Row, changes)
		}
	}
	switch {
	case read.Kind == Lookup && age > MaxLookupAgeUs, read.Kind == ReadYourWrites && age > MaxReadYourWritesAgeUs:
		k.violation("%s was %d us old, want at most %d us for a %s and %d us for a %s read", where, age, MaxLookupAgeUs, Lookup, MaxReadYourWritesAgeUs, ReadYourWrites)
	}
	return age
}

// mustShow reports whether the read must include every acknowledged change of a row. This
// holds for all rows of a current read, and for the session's own row of a read-your-writes
// read.
func (r Read) mustShow(row string) bool {
	return r.Kind == Current || r.Kind == ReadYourWrites && strings.HasPrefix(row, sessionPrefix)
}
