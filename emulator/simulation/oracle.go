package simulation

import (
	"slices"

	"stoneford/emulator/checker"
	"stoneford/internal/control"
	"stoneford/result"
)

// Time limits for nodes without faults, in microseconds.
const (
	// maxRejectionUs is the maximum time after which a node rejects a query.
	maxRejectionUs = 3_500_000
	// maxGiveUpUs is the maximum time after which a node fails a query that it sent to a
	// database.
	maxGiveUpUs = 4_000_000
	// maxPropagationUs is the maximum time until a node has applied an accepted
	// configuration.
	maxPropagationUs = 3_000_000
)

// Sample is the result of one action of a caller, with all its attempts. Times are in
// microseconds.
type Sample struct {
	Kind       string
	AtUs       int64 // time of the first attempt
	DurationUs int64 // from the first attempt to the last reply
	Outcome    result.Outcome
	Code       result.Code
	Attempts   int
	Database   string // database that executed it
	OnReplica  bool   // the database was a replica
	Group      string
}

// Oracle records the replies to callers and operators, and checks them against the contents
// of the databases at the end of a run. Times are in microseconds.
type Oracle struct {
	*checker.Checker
	Samples               []Sample
	RefusedConnections    int                                   // connections that databases refused because of their limit
	RejectionDelays       map[result.Code][]int64               // times after which nodes failed or rejected queries, by code
	RetriesAfterRejection map[result.Code][]RetryAfterRejection // by code of the first rejection
	ConfigurationDelays   []int64                               // times until accepted configurations were applied on all healthy nodes

	fleet    *Fleet
	accepted map[string]control.ConfigurationResult // newest accepted configuration, by partner
}

func newOracle(f *Fleet) *Oracle {
	return &Oracle{fleet: f, Checker: checker.New(), RejectionDelays: map[result.Code][]int64{}, RetriesAfterRejection: map[result.Code][]RetryAfterRejection{}, accepted: map[string]control.ConfigurationResult{}}
}

func (o *Oracle) violation(s string) { o.RecordViolation("%s", s) }

// configurationAccepted is called when an operator receives that a configuration was
// accepted. It checks that every node without faults applies the configuration in time, as
// long as a majority of the control processes is healthy.
func (o *Oracle) configurationAccepted(partner string, r control.ConfigurationResult) {
	if r.Revision <= o.accepted[partner].Revision {
		return
	}
	o.accepted[partner] = r
	f, acceptedUs := o.fleet, o.fleet.Now
	behind := func() string {
		for _, n := range f.Nodes {
			if n.up && n.lastFaultUs < acceptedUs && n.core.AppliedRevisions()[control.ConfigurationKeyPrefix+partner] < r.Revision {
				return n.boot.Name
			}
		}
		return ""
	}
	var poll func()
	poll = func() {
		n := behind()
		switch {
		case f.lastNoMajorityUs >= acceptedUs:
		case n == "":
			o.ConfigurationDelays = append(o.ConfigurationDelays, f.Now-acceptedUs)
		case f.Now-acceptedUs > maxPropagationUs:
			f.RecordViolation("%s has not applied configuration revision %d of %s, accepted %d us ago, want at most %d us", n, r.Revision, partner, f.Now-acceptedUs, maxPropagationUs)
		default:
			f.After(20_000, poll)
		}
	}
	poll()
}

// ServedFraction returns the fraction of samples with the outcome Done.
func ServedFraction(samples []Sample) float64 {
	n := 0
	for _, s := range samples {
		if s.Outcome == result.Done {
			n++
		}
	}
	return float64(n) / float64(max(1, len(samples)))
}

// ServedDurations returns the durations of the samples with the outcome Done, sorted.
func ServedDurations(samples []Sample) []int64 {
	var durations []int64
	for _, s := range samples {
		if s.Outcome == result.Done {
			durations = append(durations, s.DurationUs)
		}
	}
	slices.Sort(durations)
	return durations
}
