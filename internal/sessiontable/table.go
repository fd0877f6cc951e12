package sessiontable

import (
	"fmt"
	"math/rand/v2"

	"stoneford/freshness"
	"stoneford/internal/invariant"
	"stoneford/internal/ports"
)

// randomStream separates the table's random numbers from other streams of the same seed.
const randomStream = 0x7365737374

// Table manages the sessions and connections of one node. Its methods must not be called
// concurrently.
type Table struct {
	rand         *rand.Rand
	zone         string
	options      Options
	now          int64 // time of the current Step
	lastSequence uint64
	effects      []Effect // effects of the current Step

	routing          routing
	leaseRequestedUs int64 // when an Update was requested, 0 if none is outstanding
	nodes            int   // pool nodes that divide the databases' connections among them
	groups           map[string]*databaseGroup
	groupsByName     []*databaseGroup // sorted
	databases        map[string]*database
	// drainingSinceUs maps databases that are no longer announced to the start of their
	// drain. A database that is announced again may only have missed announcements, so its
	// drain time-out continues.
	drainingSinceUs map[string]int64

	sessions       map[uint64]*session
	prepared       preparedCache
	connections    map[uint64]*connection
	lastConnection uint64

	timers             timerQueue
	changedQueues      []*database         // dispatched at the end of the step
	touchedConnections []*connection       // checked at the end of the step
	candidates         []freshness.Replica // reused by readCandidates

	running          int // statements running at databases
	waiting          int // statements in queues
	openTransactions int
	counts           Counts
	rejections       rejectionLog
	reportChanged    bool
	checks           invariant.Checks
	shutdown         shutdown
}

// New returns an empty table for a node in a zone. seed seeds the table's random numbers.
func New(seed uint64, zone string, o Options) *Table {
	o.setDefaults()
	t := &Table{
		rand: rand.New(rand.NewPCG(seed, randomStream)), zone: zone, options: o, nodes: 1,
		routing: routing{byHost: map[string]*ports.Route{}},
		groups:  map[string]*databaseGroup{}, databases: map[string]*database{}, drainingSinceUs: map[string]int64{},
		sessions: map[uint64]*session{}, connections: map[uint64]*connection{},
		prepared: preparedCache{byKey: map[preparedKey]*preparedStatement{}}, timers: newTimerQueue(),
	}
	t.shutdown.timer.owner = &t.shutdown
	return t
}

// Step processes events at a moment (µs of the node's clock, which never goes back) and
// returns the effects that the process has to perform, in order.
func (t *Table) Step(now int64, events ...Event) []Effect {
	t.now = max(now, t.now)
	t.effects = nil
	for _, e := range events {
		t.handle(e)
	}
	for timer := t.timers.popDue(t.now); timer != nil; timer = t.timers.popDue(t.now) {
		timer.owner.timerFired(t)
	}
	t.dispatchChanged()
	t.checkTouched()
	return t.effects
}

// handle processes one event.
func (t *Table) handle(e Event) {
	switch e := e.(type) {
	case SessionOpened:
		t.openSession(e)
	case StatementReceived:
		t.receiveStatement(e)
	case SessionClosed:
		t.endSession(e)
	case ConnectFinished:
		t.connectFinished(e)
	case AnswerReceived:
		t.receiveAnswer(e)
	case ConnectionLost:
		t.connectionLost(e)
	case Update:
		t.update(e)
	case Drain:
		t.drain(e)
	case Tick:
	default:
		panic(fmt.Sprintf("sessiontable: unknown event type %T", e))
	}
}

// emit adds an effect to those of the current Step.
func (t *Table) emit(e Effect) { t.effects = append(t.effects, e) }

// nextSequence returns the next number for ordering requests by arrival.
func (t *Table) nextSequence() uint64 {
	t.lastSequence++
	return t.lastSequence
}

// Due returns when the next Tick is needed, or math.MaxInt64 if none is.
func (t *Table) Due() int64 { return t.timers.due() }

// Ready reports whether the node can serve callers: it has a routing table, its lease ran
// out no longer than ReadyGrace ago, and it is not shutting down.
func (t *Table) Ready(now int64) bool {
	return t.routing.table != nil && !t.shutdown.active && t.routing.leaseUntilUs > 0 && now < t.routing.leaseUntilUs+t.options.ReadyGrace.Microseconds()
}

// InFlight returns the number of running and waiting statements and open transactions. A
// statement inside a transaction counts twice.
func (t *Table) InFlight() int { return t.running + t.waiting + t.openTransactions }

// Checks returns the violations of the invariants that the table checks while it runs.
func (t *Table) Checks() *invariant.Checks { return &t.checks }
