package ports

import "cmp"

// Position is a replication position: a place in a group's log, by the term of its
// primary and the number of the commit. The zero Position stands for none.
type Position struct {
	Term   uint64 `json:"Term"`
	Number int64  `json:"Number"`
}

// Compare orders positions as the log does.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Term, o.Term), cmp.Compare(p.Number, o.Number))
}

// Before says whether p comes before o in the log.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// Known says whether p is a position at all.
func (p Position) Known() bool { return p != Position{} }
