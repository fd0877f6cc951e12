package sessiontable

import "stoneford/internal/ports"

// Counts are totals since the start of the node.
type Counts struct {
	Results         [ports.UnknownCode + 1]int64 // replies by code
	AnsweredLocally int64                        // statements that no database had to run
	Rejected        int64                        // statements that this node rejected itself
	Retries         int64                        // attempts after the first of a statement
	Connects        int64
	Resets          int64 // of connections, before they run another session's statement
	AtReplica       int64 // reads and read transactions sent to replicas
	AtPrimary       int64 // statements and transactions sent to primaries
}

// Gauges are the present state of the node.
type Gauges struct {
	Sessions         int
	Connections      int // those that are being opened too
	Running          int // statements at databases
	Waiting          int // statements in queues
	OpenTransactions int
}

// Counts are totals since the start of the node.
func (t *Table) Counts() Counts { return t.counts }

// Gauges are the present state of the node.
func (t *Table) Gauges() Gauges {
	return Gauges{Sessions: len(t.sessions), Connections: len(t.connections), Running: t.running, Waiting: t.waiting, OpenTransactions: t.openTransactions}
}
