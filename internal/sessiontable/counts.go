package sessiontable

import "stoneford/internal/ports"

// Counts holds totals since the start of the node.
type Counts struct {
	Results         [ports.UnknownCode + 1]int64 // replies by code
	AnsweredLocally int64                        // statements answered without a database
	Rejected        int64                        // statements that this node rejected because no database could run them
	Retries         int64                        // attempts of statements after the first one
	Connects        int64
	Resets          int64 // connection resets before a statement
	AtReplica       int64 // reads and read transactions sent to replicas
	AtPrimary       int64 // statements and transactions sent to primaries
}

// Gauges holds the current numbers of sessions, connections, statements and transactions.
type Gauges struct {
	Sessions         int
	Connections      int // open or being opened
	Running          int // statements running at databases
	Waiting          int // statements in queues
	OpenTransactions int
}

// Counts returns totals since the start of the node.
func (t *Table) Counts() Counts { return t.counts }

// Gauges returns the current numbers of sessions, connections, statements and transactions.
func (t *Table) Gauges() Gauges {
	return Gauges{Sessions: len(t.sessions), Connections: len(t.connections), Running: t.running, Waiting: t.waiting, OpenTransactions: t.openTransactions}
}
