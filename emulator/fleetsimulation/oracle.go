package fleetsimulation

import (
	"fmt"

	"stoneford/internal/ports"
)

const (
	// contactTimeoutUs is the time for which a process must have been free of faults
	// before rules with a time bound apply to it.
	contactTimeoutUs = 4_000_000
	// drainTimeoutUs is the time after the acknowledgement of its draining in which a
	// database may still receive new work.
	drainTimeoutUs = 7_000_000
	// configApplyTimeoutUs limits the time from the acknowledgement of a table until it
	// is in force on every node in contact.
	configApplyTimeoutUs = 3_000_000
	// sessionStretchUs is added to configApplyTimeoutUs while the control processes are unstable.
	sessionStretchUs = 12_000_000
	// rejectTimeoutUs limits the time that a node keeps a statement before it rejects it.
	rejectTimeoutUs = 1_500_000
	// recoveryPeriodUs is the time after the last fault in which operations may still
	// fail.
	recoveryPeriodUs = 6_000_000
	// minFaultFreeSuccessRatio is the fraction of operations that must succeed in the
	// fault-free period.
	minFaultFreeSuccessRatio = 0.97
	// maxReportedViolations bounds the violations that a run reports; further ones are
	// only counted.
	maxReportedViolations = 12
	// observeIntervalUs is the interval at which the oracle observes the processes.
	observeIntervalUs = 20_000
	// invariantCheckInterval is the number of observations between two checks of the
	// processes' own invariant counters.
	invariantCheckInterval = 5
)

// Oracle records what callers, databases and operators observe, and checks it against the
// rules of docs/never-happens.md. A violation begins with the name of its rule.
type Oracle struct {
	Violations         []string // at most maxReportedViolations
	AcknowledgedWrites int      // writes acknowledged to callers
	Reads              int      // reads that databases ran
	InDoubt            int      // statements with an outcome unknown to their callers
	Promotions         int
	Codes              map[ports.Code]int // number of ended statements by result code
	UnopenedSessions   int                // sessions that did not open in time
	RejectionDelays    []int64            // times for which nodes kept statements before they rejected them, in microseconds

	fleet                  *Fleet
	unreportedViolations   int
	statements             map[string]*Statement
	connections            int   // number of connections that databases accepted
	lastControlsUnstableUs int64 // last time at which the control processes were unstable: one of them changed its state or had a fault, or no majority was connected
	lastNoMajorityUs       int64 // last time at which no majority of control processes was healthy
	reportedInvariants     map[string]bool
	observations           int
}

// acknowledgedEntry is a commit that was acknowledged to a caller.
type acknowledgedEntry struct {
	acknowledgedUs int64
	entry          *entry
	newest         *entry // entry with the highest position acknowledged so far
}

func newOracle(f *Fleet) *Oracle {
	return &Oracle{fleet: f, statements: map[string]*Statement{}, reportedInvariants: map[string]bool{}, Codes: map[ports.Code]int{}}
}

// violation logs a violation with the virtual time in seconds, and adds it to the report.
func (o *Oracle) violation(format string, a ...any) {
	text := fmt.Sprintf("%.3f: ", float64(o.fleet.Now)/1e6) + fmt.Sprintf(format, a...)
	o.fleet.logf("VIOLATION %s", text)
	if len(o.Violations) < maxReportedViolations {
		o.Violations = append(o.Violations, text)
	} else {
		o.unreportedViolations++
	}
}

// finish checks the final state against all acknowledged writes.
func (o *Oracle) finish() {
	for _, g := range o.fleet.groups {
		primary := g.primary
		for _, a := range g.acknowledged {
			o.checkHasEntry(primary, a.entry, "is primary at the end")
		}
		if !primary.up {
			o.violation("LIVE: the primary of %s is down at the end of the run", g.name)
		}
	}
	if o.unreportedViolations > 0 {
		o.Violations = append(o.Violations, fmt.Sprintf("and %d more violations", o.unreportedViolations))
	}
}
