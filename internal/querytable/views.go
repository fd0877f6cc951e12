package querytable

import "stoneford/result"

// Counts holds a table's counters since its start.
type Counts struct {
	Queries           uint64 `json:"Queries"`   // queries received
	Done              uint64 `json:"Done"`      // queries that succeeded
	Rejected          uint64 `json:"Bounced"`   // queries that ended with a retryable code
	Uncertain         uint64 `json:"Uncertain"` // queries that ended with an uncertain outcome
	Failed            uint64 `json:"Failed"`    // queries that ended with any other error
	ReplicaRuns       uint64 `json:"OnReplica"` // successful runs on a replica
	PrimaryRuns       uint64 `json:"OnPrimary"` // successful runs on the primary
	Polls             uint64 `json:"Polls"`     // polls started
	Runs              uint64 `json:"Runs"`      // runs started
	ConnectionsOpened uint64 `json:"Opens"`     // connections opened, including failed attempts
	RetriedReads      uint64 `json:"Replaced"`  // reads that were routed again
}

// count counts the end of a query.
func (t *Table) count(r Reply) {
	switch {
	case r.Outcome == result.Done:
		t.counts.Done++
	case r.Outcome == result.Uncertain:
		t.counts.Uncertain++
	case r.Code.Retryable():
		t.counts.Rejected++
	default:
		t.counts.Failed++
	}
}

// Counts returns the counters.
func (t *Table) Counts() Counts { return t.counts }

// Gauges returns the number of open sessions, of queries under way, and of connections to
// each database, including those being opened.
func (t *Table) Gauges() (sessions, queries int, connections map[string]int) {
	connections = map[string]int{}
	for _, c := range t.pool.byID {
		connections[c.database]++
	}
	return len(t.sessions), len(t.queries), connections
}

// DatabaseView is the node's knowledge of a database, for reports and operators.
type DatabaseView struct {
	Name             string `json:"Name"`
	Known            bool   `json:"Known"`    // Status was reported for the group's data
	UnresponsiveUs   int64  `json:"SilentUs"` // time for which polls have failed
	Status           Status `json:"Status"`   // newest status received
	Draining         bool   `json:"Leaving"`
	BusyConnections  int    `json:"Busy"` // connections used by a query or transaction
	OpenTransactions int    `json:"Open"` // transactions open on these connections
}

// DatabaseViews returns the node's knowledge of each database of the group.
func (t *Table) DatabaseViews(now int64) []DatabaseView {
	busy, transactions := map[string]int{}, map[string]int{}
	for _, c := range t.pool.byID {
		if !c.isIdle() {
			busy[c.database]++
		}
		if c.sessionID != "" {
			transactions[c.database]++
		}
	}
	var views []DatabaseView
	for _, desired := range t.desired.Members {
		m := t.members[desired.Name]
		v := DatabaseView{
			Name:             desired.Name,
			Known:            m.statusValid,
			Status:           m.status,
			Draining:         m.drainingSince > 0,
			BusyConnections:  busy[desired.Name],
			OpenTransactions: transactions[desired.Name],
		}
		if m.failingSince > 0 {
			v.UnresponsiveUs = now - m.failingSince
		}
		views = append(views, v)
	}
	return views
}
