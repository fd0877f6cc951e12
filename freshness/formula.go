package freshness

import (
	"slices"
	"strings"
)

// Atom is a part of the database: "" is the entire database, "stock" is a relation, and
// "stock.amount" is an attribute.
type Atom string

// Conflicts reports whether the two atoms are equal or one contains the other.
func (a Atom) Conflicts(b Atom) bool {
	if a == b || a == "" || b == "" {
		return true
	}
	return strings.HasPrefix(string(a), string(b)+".") || strings.HasPrefix(string(b), string(a)+".")
}

// Measure is one of the three ways to measure how stale an atom is.
type Measure int

const (
	// Order is the number of commits that wrote to the atom and are not applied.
	Order Measure = iota
	// Age is the time in microseconds since the oldest of these commits.
	Age
	// Cardinality is the number of tuples that these commits changed.
	Cardinality
)

// Formula bounds how stale a read may be. It is either a term, which requires that an
// atom's measure is at most Threshold, or a combination of formulas.
type Formula struct {
	Atom      Atom
	Measure   Measure
	Threshold int64 // number of commits, microseconds or number of tuples, by the measure
	// And lists formulas that all must hold. The required position is the highest of their
	// required positions.
	And []Formula
	// Or lists formulas of which at least one must hold. The required position is the lowest
	// of their required positions.
	Or []Formula
}

// NeedsFreshPoll reports whether evaluating the formula requires a poll of the primary
// that began after the read arrived. Measures that count need it, since commits that no
// poll has shown yet are missing from the count.
func (f Formula) NeedsFreshPoll() bool {
	if len(f.And)+len(f.Or) == 0 {
		return f.Measure != Age || f.Threshold <= 0
	}
	return slices.ContainsFunc(append(slices.Clone(f.And), f.Or...), Formula.NeedsFreshPoll)
}
