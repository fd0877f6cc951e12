// Package invariant counts violations of what has to hold at every moment. The
// checks run in the daemons as they do in tests: a violation is logged and counted,
// and shows in the process's state; tests fail on the first one.
package invariant

import (
	"fmt"
	"maps"
	"slices"
)

// Rule names what has to hold.
type Rule string

// Rules.
const (
	// RoutedUnvouched: a node routes a statement, or refuses a name, only by a
	// routing table that a majority of the voters vouched for no longer ago than a
	// change may take to be in force everywhere.
	RoutedUnvouched Rule = "routed-unvouched"
	// TableWentBack: within a run, a process's routing table never becomes older.
	TableWentBack Rule = "table-went-back"
	// AgreedChanged: a revision that is known to be agreed keeps its content.
	AgreedChanged Rule = "agreed-changed"
	// OlderHandedOut: a control process answers no call by a table older than one
	// that it knew to be agreed when the call came.
	OlderHandedOut Rule = "older-handed-out"
	// LearnedLate: a process whose looks a majority of the voters returns learns what
	// they agreed within a bounded time.
	LearnedLate Rule = "learned-late"
)

// Violation is a broken rule and how it was broken.
type Violation struct {
	Rule Rule
	Text string
}

// Checks counts violations of one process. The zero value is ready for use.
type Checks struct {
	counts map[Rule]int64
	fresh  []Violation
}

// Broken notes a violation. Callers test the condition themselves, so that a check that
// holds costs nothing more.
func (c *Checks) Broken(rule Rule, format string, a ...any) {
	if c.counts == nil {
		c.counts = map[Rule]int64{}
	}
	c.counts[rule]++
	if c.counts[rule] == 1 {
		c.fresh = append(c.fresh, Violation{Rule: rule, Text: fmt.Sprintf(format, a...)})
	}
}

// Take hands out the first violation of each rule, once, for the log.
func (c *Checks) Take() []Violation {
	fresh := c.fresh
	c.fresh = nil
	return fresh
}

// Counts is how often each rule was broken; rules that hold are left out.
func (c *Checks) Counts() map[string]int64 {
	out := make(map[string]int64, len(c.counts))
	for rule, n := range c.counts {
		out[string(rule)] = n
	}
	return out
}

// Merge adds several processes' or parts' counts.
func Merge(all ...map[string]int64) map[string]int64 {
	out := map[string]int64{}
	for _, counts := range all {
		for rule, n := range counts {
			out[rule] += n
		}
	}
	return out
}

// Names are the rules that were broken, in order.
func Names(counts map[string]int64) []string { return slices.Sorted(maps.Keys(counts)) }
