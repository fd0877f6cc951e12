package freshness

import (
	"slices"
	"strings"
)

// Atom is a part of the database: "" is all of it, "stock" a relation,
// "stock.amount" an attribute.
type Atom string

// Conflicts says whether two atoms are equal or one contains the other.
func (a Atom) Conflicts(b Atom) bool {
	if a == b || a == "" || b == "" {
		return true
	}
	return strings.HasPrefix(string(a), string(b)+".") || strings.HasPrefix(string(b), string(a)+".")
}

// Measure is one of the three ways to measure how stale an atom is.
type Measure int

const (
	// Order counts the commits that wrote the atom and are not applied.
	Order Measure = iota
	// Age is the microseconds since the oldest of these commits.
	Age
	// Cardinality counts the tuples that these commits changed.
	Cardinality
)

// Formula bounds how stale a read may be: it is a term (an atom's measure is at
// most Threshold), or combines formulas.
type Formula struct {
	Atom      Atom
	Measure   Measure
	Threshold int64 // commits, microseconds or tuples, by the measure
	// And are formulas that all have to hold: the required position is the highest of
	// theirs.
	And []Formula
	// Or are formulas of which one has to hold: the required position is the lowest of
	// theirs.
	Or []Formula
}

// NeedsFreshPoll says whether the formula can be judged only on a poll of the
// primary that was begun after the read arrived: a count says nothing of commits
// that were not seen yet.
func (f Formula) NeedsFreshPoll() bool {
	if len(f.And)+len(f.Or) == 0 {
		return f.Measure != Age || f.Threshold <= 0
	}
	return slices.ContainsFunc(append(slices.Clone(f.And), f.Or...), Formula.NeedsFreshPoll)
}
