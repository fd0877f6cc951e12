package paxos_test

import (
	"fmt"

	"stoneford/paxos"
)

// history checks the outcomes of changes and reads against each other: no revision has
// two values, nothing reported as committed is lost, no read returns an older revision
// than what was committed before it began.
type history struct {
	chosen            map[string]map[uint64]string // value by key and revision
	committedRevision map[string]uint64            // newest one known committed, by key
	revisionAtStart   map[string]uint64            // newest one committed as a change began, by its ID
	committed         int                          // changes
	reads             int
	failure           string // the first one found
}

func newHistory(keys ...string) history {
	h := history{chosen: map[string]map[uint64]string{}, committedRevision: map[string]uint64{}, revisionAtStart: map[string]uint64{}}
	for _, k := range keys {
		h.chosen[k] = map[uint64]string{}
	}
	return h
}

func (h *history) failf(format string, arguments ...any) {
	if h.failure == "" {
		h.failure = fmt.Sprintf(format, arguments...)
	}
}

func (h *history) recordOutcome(o paxos.Outcome) {
	if o.Verdict != paxos.Committed && o.Verdict != paxos.Conflict {
		return
	}
	k, r := o.Change.Key, o.Value.GetRevision()
	if r > 0 {
		d := string(o.Value.Data)
		if previous, ok := h.chosen[k][r]; ok && previous != d {
			h.failf("%s revision %d is both %s and %s", k, r, previous, d)
		}
		h.chosen[k][r] = d
	}
	if r < h.revisionAtStart[o.Change.ID] {
		h.failf("%s: %s ended at revision %d, but %d was committed before it began", k, o.Change.ID, r, h.revisionAtStart[o.Change.ID])
	}
	if !o.Change.ReadOnly && o.Verdict == paxos.Committed {
		h.committed++
		// Its own revision is base+1, whatever came later.
		if previous, ok := h.chosen[k][o.Change.BaseRevision+1]; ok && previous != string(o.Change.Data) {
			h.failf("%s: %s was reported committed, but revision %d is %s", k, o.Change.ID, o.Change.BaseRevision+1, previous)
		}
		h.chosen[k][o.Change.BaseRevision+1] = string(o.Change.Data)
	}
	if !o.Change.ReadOnly && o.Verdict == paxos.Conflict && h.chosen[k][o.Change.BaseRevision+1] == string(o.Change.Data) {
		h.failf("%s: %s was reported as a conflict and is in force", k, o.Change.ID)
	}
	if o.Change.ReadOnly {
		h.reads++
	}
	h.committedRevision[k] = max(h.committedRevision[k], r)
}
