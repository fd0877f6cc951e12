package paxos

import (
	"slices"

	"stoneford/schema"
	"stoneford/statemachine"
)

// maxChangeIDs is how many IDs of changes a value carries, newest first, so that a
// proposer that lost track of its change still finds it in later revisions. More make
// values larger; fewer make an Uncertain end likelier.
const maxChangeIDs = 16

// Verdict says how a change or a read ended.
type Verdict int

// Verdicts.
const (
	// Committed means that the change is in force, or that the read returned the newest
	// value.
	Committed Verdict = iota
	// Conflict means that another revision came first; nothing was changed.
	Conflict
	// Uncertain means that no majority confirmed the change before its deadline; it may
	// or may not be chosen, now or later.
	Uncertain
	// NoQuorum means that no majority was reached in time and nothing was changed.
	NoQuorum
)

// Change asks for the revision after BaseRevision of a key to hold Data, or for the
// newest value of the key.
type Change struct {
	ID           string // unique; a change of one ID takes effect at most once
	Key          string
	BaseRevision uint64 // the change ends as a Conflict if this is not the newest
	Data         []byte

	// ReadOnly asks for the newest value and changes nothing. With Recommit a ballot has
	// that value accepted anew, also by voters that hold another one.
	ReadOnly bool
	Recommit bool

	Deadline int64 // when the change ends at the latest, in microseconds
}

// Outcome is the end of a change.
type Outcome struct {
	Change  Change
	Verdict Verdict
	Value   *schema.Value // newest committed value known, if Committed or Conflict
}

// ProposerEffects is what the caller has to carry out after a step of a Proposer.
type ProposerEffects struct {
	Send     []statemachine.Send
	Outcomes []Outcome
}

// nextValue returns what a ballot proposes for a change, given the newest value, and
// whether it is the change's own value: it is if the change's base is the newest
// revision, else the newest value is proposed once more so that it is chosen.
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

// includedIn reports whether a value names this change among its newest ones.
func (c Change) includedIn(value *schema.Value) bool {
	return slices.Contains(value.GetChangeIds(), c.ID)
}
