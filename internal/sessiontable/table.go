// Package sessiontable is the data plane on databases that announce themselves
// (design 14.8 to 14.11): callers' sessions share connections, each read goes
// to the copy that is fresh enough and costs least, and each statement ends
// with what is known of it. It is a deterministic core: Step(now, events) hands
// back effects, and the edge does them.
package sessiontable

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"stoneford/freshness"
	"stoneford/internal/invariant"
	"stoneford/internal/ports"
)

// Options are the bounds the table works by; zero values take the defaults.
type Options struct {
	LeaseUs                 int64 // how long a node may rely on what it learned
	StalenessMarginUs       int64 // taken off what a route allows a read to be old
	UnavailableWaitUs       int64 // most that a statement is held while no database can take it
	ExpectedFailoverUs      int64 // how long a change of primary takes, where nothing is known of it
	UnresponsiveUs          int64 // a database that is silent for so long, or 8 average runs, is suspect
	IdleConnectionUs        int64 // a connection unused for so long is closed
	ConnectTimeoutUs        int64 // a connect is given up after this
	OpenDelayUs             int64 // a statement waits so long for a connection in use before one more is opened
	DrainTimeoutUs          int64 // a database that leaves gets nothing new after this
	CommitConfirmationUs    int64 // an answered commit waits so long for the lease to be renewed
	AbandonedTimeoutUs      int64 // how long an end that nobody waits for may take
	LocalZoneRunUs          int64 // guessed run time in this zone
	RemoteZoneRunUs         int64 // and elsewhere
	CrossZonePenaltyUs      int64 // what a crossing between zones counts beyond its time
	PrimaryReadPenaltyUs    int64 // what a read that a follower could take counts at the primary
	RunTimeRetentionUs      int64 // a run time not fed for so long counts no more if it was long
	ReadyGraceUs            int64 // the node calls itself ready so long after its lease ran out
	RoutingGraceUs          int64 // statements are routed by the table so long after its lease ran out
	IdleTransactionMarginUs int64 // a transaction may rest so much longer than its limit
	PrimaryDenialUs         int64 // a primary that said it is none is left alone so long, or until the next view
	MaxQueue                int   // most statements that wait for one database
	MaxPrepared             int   // most prepared names kept on a connection
	MaxAttempts             int   // most places a read is tried at
	ReservedConnections     int   // connections of each database left to control
	SeparateBegin           bool  // a kept beginning is sent alone, and its statement after its return
	DefaultCapacity         int   // where a database names no capacity
}

func (o *Options) setDefaults() {
	def := func(p *int64, v int64) {
		if *p == 0 {
			*p = v
		}
	}
	def(&o.LeaseUs, 1_000_000)
	def(&o.StalenessMarginUs, 150_000)
	def(&o.UnavailableWaitUs, 75_000)
	def(&o.ExpectedFailoverUs, 700_000)
	def(&o.UnresponsiveUs, 400_000)
	def(&o.IdleConnectionUs, 60_000_000)
	def(&o.ConnectTimeoutUs, 400_000)
	def(&o.OpenDelayUs, 4_000)
	def(&o.DrainTimeoutUs, 6_200_000)
	def(&o.CommitConfirmationUs, 400_000)
	def(&o.AbandonedTimeoutUs, 3_000_000)
	def(&o.LocalZoneRunUs, 5_000)
	def(&o.RemoteZoneRunUs, 25_000)
	def(&o.CrossZonePenaltyUs, 2_000)
	def(&o.PrimaryReadPenaltyUs, 10_000)
	def(&o.ReadyGraceUs, 3*o.LeaseUs)
	def(&o.RoutingGraceUs, 1_000_000)
	def(&o.RunTimeRetentionUs, 5_000_000)
	def(&o.IdleTransactionMarginUs, 200_000)
	def(&o.PrimaryDenialUs, 2_000_000)
	num := func(p *int, v int) {
		if *p == 0 {
			*p = v
		}
	}
	num(&o.MaxQueue, 256)
	num(&o.MaxPrepared, 64)
	num(&o.MaxAttempts, 3)
	num(&o.ReservedConnections, 4)
	num(&o.DefaultCapacity, 4)
}

// Counts only rise.
type Counts struct {
	Results         [ports.UnknownCode + 1]int64 // statements by code
	AnsweredLocally int64                        // statements that no database saw
	Rejected        int64                        // refused by this node
	Retries         int64                        // sent once more, or elsewhere
	Connects        int64
	Resets          int64
	AtReplica       int64 // reads and read transactions placed at followers
	AtPrimary       int64 // and at the primary
}

// Gauges are of now.
type Gauges struct {
	Sessions         int
	Connections      int
	Running          int
	Waiting          int
	OpenTransactions int // transactions
}

// Table is one node's sessions and connections.
type Table struct {
	rand    *rand.Rand
	zone    string
	options Options
	now     int64
	seq     uint64
	effects []Effect

	routingTable *ports.RoutingTable
	routes       map[string]*ports.Route // by host
	groups       map[string]*databaseGroup
	groupsByName []*databaseGroup // by name
	databases    map[string]*database
	// drainingSince is since when instances leave that were taken out: one that comes back
	// may have missed a few beats, and its time goes on.
	drainingSince  map[string]int64
	sessions       map[uint64]*session
	connections    map[uint64]*connection
	shapes         map[shapeKey]*preparedShape
	preparedNames  uint64 // prepared names given out
	lastConnection uint64 // of connections

	timers             heap[*timer]
	changedQueues      []*database   // whose line is to be gone through
	touchedConnections []*connection // to be checked
	leaseUntil         int64         // newest lease
	leaseRequestedUs   int64         // when a look was asked for, 0 if none is wanted
	nodes              int
	reportChanged      bool
	running            int
	waiting            int
	openTransactions   int
	counts             Counts
	candidates         []freshness.Replica // scratch

	rejections         map[string]int // refusals since rejectionsLoggedUs, by cause
	rejectionsLoggedUs int64

	checks invariant.Checks

	draining     bool
	drainStartUs int64
	graceUs      int64
	drainTimer   timer
}

// New is an empty table of a node in a zone.
func New(seed uint64, zone string, o Options) *Table {
	o.setDefaults()
	t := &Table{
		rand: rand.New(rand.NewPCG(seed, 0x7365737374)), zone: zone, options: o, nodes: 1,
		routes: map[string]*ports.Route{}, groups: map[string]*databaseGroup{}, databases: map[string]*database{}, drainingSince: map[string]int64{},
		sessions: map[uint64]*session{}, connections: map[uint64]*connection{}, shapes: map[shapeKey]*preparedShape{},
	}
	t.timers = heap[*timer]{
		less:  func(a, b *timer) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq },
		index: func(timer *timer) *int { return &timer.index },
	}
	t.drainTimer.owner = t
	return t
}

// Step takes events at a moment (µs of the node's clock, which never goes back) and
// returns what the process has to do, in order.
func (t *Table) Step(now int64, events ...Event) []Effect {
	t.now = max(now, t.now)
	t.effects = nil
	for _, e := range events {
		t.handle(e)
	}
	for t.timers.len() > 0 && t.timers.top().at <= t.now {
		timer := t.timers.top()
		t.timers.remove(timer)
		t.timerFired(timer.owner)
	}
	t.dispatchChanged()
	t.checkTouched()
	return t.effects
}

func (t *Table) handle(e Event) {
	switch e := e.(type) {
	case SessionOpened:
		t.openSession(e)
	case StatementReceived:
		t.receiveStatement(e)
	case SessionClosed:
		t.endSession(e)
	case ConnectEnded:
		t.connectEnded(e)
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
		panic(fmt.Sprintf("sessiontable: event %T", e))
	}
}

// Due is when the next Tick is needed.
func (t *Table) Due() int64 {
	if t.timers.len() == 0 {
		return math.MaxInt64
	}
	return t.timers.top().at
}

func (t *Table) emit(e Effect) { t.effects = append(t.effects, e) }

func (t *Table) timerFired(owner any) {
	switch o := owner.(type) {
	case *request:
		t.requestTimerFired(o)
	case *session:
		t.transactionIdle(o)
	case *connection:
		t.closeConnection(o)
	case *database:
		o.markChanged(t)
		t.checkHealth(o)
	case *Table:
		t.enforceDrain()
	}
}

// dispatchChanged goes through the lines that something changed for.
func (t *Table) dispatchChanged() {
	for i := 0; i < len(t.changedQueues); i++ {
		db := t.changedQueues[i]
		db.queueChanged = false
		t.dispatch(db)
	}
	t.changedQueues = t.changedQueues[:0]
}

// requestLease asks for a look, once until the next view or a while later.
func (t *Table) requestLease() {
	if t.leaseRequestedUs != 0 && t.now-t.leaseRequestedUs < 100_000 {
		return
	}
	t.leaseRequestedUs = max(t.now, 1)
	t.emit(RenewLease{})
}

// Ready says whether the node can serve: it has a routing table, has lately
// learned what the voters hold, and does not stop.
func (t *Table) Ready(now int64) bool {
	return t.routingTable != nil && !t.draining && t.leaseUntil > 0 && now < t.leaseUntil+t.options.ReadyGraceUs
}

// Busy is the number of statements under way and of open transactions.
func (t *Table) Busy() int { return t.running + t.waiting + t.openTransactions }

// Gauges are of now.
func (t *Table) Gauges() Gauges {
	return Gauges{Sessions: len(t.sessions), Connections: len(t.connections), Running: t.running, Waiting: t.waiting, OpenTransactions: t.openTransactions}
}

// Counts are since the start.
func (t *Table) Counts() Counts { return t.counts }

// Stop and grace (design 7.7): resting sessions are shut at once, open
// transactions get six tenths of the grace to end.
func (t *Table) drain(e Drain) {
	if t.draining {
		return
	}
	t.draining, t.drainStartUs, t.graceUs = true, t.now, e.GraceUs
	for _, id := range slices.Sorted(maps.Keys(t.sessions)) {
		if session := t.sessions[id]; session.request == nil && session.state == ports.Idle {
			t.closeSession(session)
		}
	}
	t.arm(&t.drainTimer, t.now+e.GraceUs*6/10)
}

func (t *Table) closeSession(session *session) {
	t.emit(CloseSession{Session: session.id})
	t.forget(session)
}

func (t *Table) enforceDrain() {
	last := t.now >= t.drainStartUs+t.graceUs*9/10
	for _, id := range slices.Sorted(maps.Keys(t.sessions)) {
		session := t.sessions[id]
		switch {
		case session.request != nil:
		case last:
			t.closeSession(session)
		case session.tx != nil:
			t.release(session.tx)
			session.tx.ended = true
		}
	}
	if !last {
		t.arm(&t.drainTimer, t.drainStartUs+t.graceUs*9/10)
	}
}
