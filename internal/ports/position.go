package ports

import "cmp"

// Position is a replication position: a place in a group's log, given by the term of
// the primary and the number of the commit. The zero value means no position.
type Position struct {
	Term   uint64 `json:"Term"`
	Number int64  `json:"Number"`
}

// Compare compares two positions in log order, by term first.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Term, o.Term), cmp.Compare(p.Number, o.Number))
}

// Before reports whether p precedes o in the log.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// Known reports whether p is not the zero value.
func (p Position) Known() bool { return p != Position{} }
