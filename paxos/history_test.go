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

// recordOutcome checks the end of a change or read. Those that are Uncertain or found
// NoQuorum show nothing.
func (h *history) recordOutcome(o paxos.Outcome) {
	if o.Verdict != paxos.Committed && o.Verdict != paxos.Conflict {
		return
	}
	key, revision := o.Change.Key, o.Value.GetRevision()
	if revision > 0 {
		data := string(o.Value.Data)
		if previous, ok := h.chosen[key][revision]; ok && previous != data {
			h.failf("%s revision %d is both %s and %s", key, revision, previous, data)
		}
		h.chosen[key][revision] = data
	}
	if revision < h.revisionAtStart[o.Change.ID] {
		h.failf("%s: %s ended at revision %d, but %d was committed before it began", key, o.Change.ID, revision, h.revisionAtStart[o.Change.ID])
	}
	if o.Change.ReadOnly {
		h.reads++
	} else {
		h.recordChange(o)
	}
	h.committedRevision[key] = max(h.committedRevision[key], revision)
}

// recordChange checks a change against the value of its own revision, which is the one
// after its base, whatever came later.
func (h *history) recordChange(o paxos.Outcome) {
	key, revision, data := o.Change.Key, o.Change.BaseRevision+1, string(o.Change.Data)
	value, known := h.chosen[key][revision]
	if o.Verdict == paxos.Conflict {
		if value == data {
			h.failf("%s: %s was reported as a conflict and is in force", key, o.Change.ID)
		}
		return
	}
	h.committed++
	if known && value != data {
		h.failf("%s: %s was reported committed, but revision %d is %s", key, o.Change.ID, revision, value)
	}
	h.chosen[key][revision] = data
}
