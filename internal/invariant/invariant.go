// Package invariant counts violations of invariants. The checks run in the daemons as
// well as in tests: a daemon logs and counts a violation and shows it in its state; a test
// fails on the first one.
//
// A core tests a condition itself and calls Checks.Violated if it is false; its process
// logs the result of TakeUnreported and reports Counts. Checks has no lock, since only its
// core uses it.
package invariant

import (
	"fmt"
	"maps"
	"slices"
)

// Rule identifies an invariant.
type Rule string

// The rules. Their texts appear in the processes' states and must not change.
const (
	// RoutedUnconfirmed is violated when a node routes a statement, or rejects a name, by
	// a routing table that a majority of the voters last confirmed longer ago than the
	// time within which a change comes into force everywhere.
	RoutedUnconfirmed Rule = "routed-unvouched"
	// TableRevertedToOlder is violated when a running process replaces its routing table
	// by an older one.
	TableRevertedToOlder Rule = "table-went-back"
	// CommittedValueChanged is violated when the content of a revision changes that is
	// known to be committed.
	CommittedValueChanged Rule = "agreed-changed"
	// StaleTableReturned is violated when a control process answers a call by an older
	// table than the newest one that it knew to be committed when the call arrived.
	StaleTableReturned Rule = "older-handed-out"
	// LearnedTooLate is violated when a process whose polls a majority of the voters
	// answers does not learn of a commit within a bounded time.
	LearnedTooLate Rule = "learned-late"
)

// Violation describes one violation of a rule.
type Violation struct {
	Rule   Rule
	Detail string
}

// Checks counts the violations in one core. The zero value is ready for use.
type Checks struct {
	counts     map[Rule]int64
	unreported []Violation // first violation of each rule, until TakeUnreported returns it
}

// Violated counts a violation. Callers test the condition themselves, so that a condition
// that is true costs no more than the test.
func (c *Checks) Violated(rule Rule, format string, a ...any) {
	if c.counts == nil {
		c.counts = map[Rule]int64{}
	}
	c.counts[rule]++
	if c.counts[rule] == 1 {
		c.unreported = append(c.unreported, Violation{Rule: rule, Detail: fmt.Sprintf(format, a...)})
	}
}

// TakeUnreported returns the first violation of each rule, for the log. It returns each
// violation once.
func (c *Checks) TakeUnreported() []Violation {
	unreported := c.unreported
	c.unreported = nil
	return unreported
}

// Counts returns the number of violations of each rule that was violated.
func (c *Checks) Counts() map[string]int64 {
	out := make(map[string]int64, len(c.counts))
	for rule, n := range c.counts {
		out[string(rule)] = n
	}
	return out
}

// MergeCounts returns the sums of the counts of several processes or cores.
func MergeCounts(all ...map[string]int64) map[string]int64 {
	out := map[string]int64{}
	for _, counts := range all {
		for rule, n := range counts {
			out[rule] += n
		}
	}
	return out
}

// ViolatedRules returns the rules that were violated, sorted.
func ViolatedRules(counts map[string]int64) []string { return slices.Sorted(maps.Keys(counts)) }
