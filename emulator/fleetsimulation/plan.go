package fleetsimulation

import (
	"stoneford/internal/behaviourhash"
	"stoneford/internal/sessiontable"
)

// Mutation is a bug that is deliberately injected into the simulated environment, to
// verify that the oracle reports the rule it breaks (mutation testing).
type Mutation int

// Mutations, each with the bug that it injects.
const (
	NoMutation              Mutation = iota
	FreezeIgnored                    // databases receive entries while their replication is frozen
	SyncDropped                      // a primary responds before any replica has received the commit
	SlowClock                        // nodes' clocks run at a quarter of the true rate
	ResetIgnored                     // databases keep session values and prepared names after a reset
	AfterIgnored                     // databases serve reads before they have applied the required position
	BusyThatRan                      // a database runs a write and responds that it did not
	RunsTwice                        // a database runs a write twice
	TextChanged                      // the text of a statement changes on the way to its database
	BodiesSwapped                    // a caller receives the result of another statement
	RepliesLate                      // nodes reply late
	UnsyncedDisk                     // control processes send before their log is synced
	DrainingForgotten                // nodes are not notified that a database drains
	TablesForgotten                  // one node receives no new routing table
	GateSkipped                      // voters report that all processes have applied the newest table, while one node receives none
	FloorIgnored                     // as GateSkipped, and nodes are not notified which table a leadership requires
	DrainingReplicasReceive          // replication to draining replicas is not frozen
	PromotionsForgotten              // the platform acknowledges promotions without carrying them out
	OwnCommitsForgotten              // reads of a session that committed in several groups require no position
)

// Plan configures a simulated fleet.
type Plan struct {
	Seed                uint64
	Nodes               int
	Controls            int // 3 if zero
	Groups              int
	Callers             int
	CallerIntervalUs    int64   // mean time between two operations of a caller
	ConflictProbability float64 // probability that a database rolls a write back because of a conflict
	ClockRateSpread     float64 // maximum deviation of a clock's rate from 1
	Options             sessiontable.Options
	Mutation            Mutation
	// BusyAsConnectionRefused makes control processes report a call that a database
	// rejects as a refused connection.
	BusyAsConnectionRefused bool
	// FailedBeginKeepsConnection makes a rejected Begin leave its connection idle, so
	// that statements pipelined after it run outside a transaction.
	FailedBeginKeepsConnection bool
	// Observe, if not nil, records what the cores send: envelopes, calls to databases and
	// to the platform, and responses. It does not influence the run.
	Observe *behaviourhash.Recorder
}
