package fleetsimulation

import (
	"stoneford/internal/behaviourhash"
	"stoneford/internal/sessiontable"
)

// Mutation is a bug that is injected into the simulated environment on purpose, to
// show that the check of the rule it breaks sees it (mutation testing).
type Mutation int

// Mutations.
const (
	NoMutation              Mutation = iota
	FreezeIgnored                    // databases whose replication is frozen receive on
	SyncDropped                      // a primary responds before any replica has received the commit
	SlowClock                        // nodes' clocks run at a quarter of the true rate
	ResetIgnored                     // databases keep values and prepared names over a reset
	AfterIgnored                     // databases serve reads whose position they lack
	BusyThatRan                      // a database reports as not run what it ran
	RunsTwice                        // a database runs a write twice
	TextChanged                      // a statement is changed on the way to its database
	BodiesSwapped                    // a caller is sent another's result
	RepliesLate                      // replies leave a node late
	UnsyncedDisk                     // control processes send before their log is synced
	DrainingForgotten                // no node hears that a database drains
	TablesForgotten                  // one node hears of no new routing table
	GateSkipped                      // voters report that all processes work by the newest table, and one node hears of none
	FloorIgnored                     // beside that, nodes do not hear which table a leadership needs
	DrainingReplicasReceive          // replication to draining replicas is not frozen
	PromotionsForgotten              // the platform acknowledges promotions and does not carry them out
)

// Plan is what a simulated fleet is made of.
type Plan struct {
	Seed                uint64
	Nodes               int
	Controls            int // 3 if it is 0
	Groups              int
	Callers             int
	CallerIntervalUs    int64   // mean time between two operations of a caller
	ConflictProbability float64 // that a database rolls a write back by itself
	ClockRateSpread     float64 // greatest difference of a clock's rate from the true one
	Options             sessiontable.Options
	Mutation            Mutation
	// BusyAsConnectionRefused has control processes' edges report a call that a
	// database rejects as a refused connection.
	BusyAsConnectionRefused bool
	// FailedBeginKeepsConnection has the failed beginning of a transaction leave its
	// connection idle, so that what is sent along with it runs on its own.
	FailedBeginKeepsConnection bool
	// Observe, where it is set, records what the cores do at their edge: envelopes,
	// calls to databases and to the platform, and responses. It changes nothing.
	Observe *behaviourhash.Recorder
}
