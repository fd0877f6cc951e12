package paxos

import (
	"slices"

	"stoneford/schema"
	"stoneford/statemachine"
)

// maxChangeIDs is the maximum number of change IDs that a value carries, newest first.
// They let a proposer that missed the outcome of its change find it in later revisions.
// A higher limit makes values larger; a lower one makes Uncertain verdicts more likely.
const maxChangeIDs = 16

// Verdict is the result of a change or a read.
type Verdict int

// Possible verdicts.
const (
	// Committed means that the change was committed, or that the read returned the newest
	// value.
	Committed Verdict = iota
	// Conflict means that BaseRevision was not the newest revision; the change was not
	// applied.
	Conflict
	// Uncertain means that no majority confirmed the change before its deadline. It may
	// have been chosen already or may still be chosen later.
	Uncertain
	// NoQuorum means that no majority was reached in time; the change was not applied and
	// never will be.
	NoQuorum
)

// Change describes a write of Data as the revision after BaseRevision of a key, or a
// read of the key's newest value.
type Change struct {
	ID           string // unique; a change is applied at most once per ID
	Key          string
	BaseRevision uint64 // the verdict is Conflict if this is not the newest revision
	Data         []byte

	// ReadOnly reads the newest value and changes nothing. With Recommit the read runs a
	// ballot in which all voters accept that value again, including voters that have
	// accepted another one.
	ReadOnly bool
	Recommit bool

	Deadline int64 // time by which the change ends, in microseconds
}

// Outcome reports how a change ended.
type Outcome struct {
	Change  Change
	Verdict Verdict
	Value   *schema.Value // newest committed value known, set for Committed and Conflict
}

// ProposerEffects lists what the caller must do after a step of a Proposer.
type ProposerEffects struct {
	Send     []statemachine.Send
	Outcomes []Outcome
}

// nextValue returns the value that a ballot proposes for a change and whether it is the
// change's own value. If the change's base is not the newest revision, the ballot
// proposes the newest value again, so that this value is chosen.
func (c Change) nextValue(newest *schema.Value) (value *schema.Value, own bool) {
	if c.ReadOnly || newest.GetRevision() != c.BaseRevision || c.includedIn(newest) {
		return newest, false
	}
	ids := append([]string{c.ID}, newest.GetChangeIds()...)
	return &schema.Value{
		Revision:  newest.GetRevision() + 1,
		ChangeIds: ids[:min(len(ids), maxChangeIDs)],
		Data:      c.Data,
	}, true
}

// includedIn reports whether a value lists this change among its newest change IDs.
func (c Change) includedIn(value *schema.Value) bool {
	return slices.Contains(value.GetChangeIds(), c.ID)
}
