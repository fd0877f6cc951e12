package learner

import (
	"slices"
	"time"

	"stoneford/internal/invariant"
	"stoneford/paxos"
	"stoneford/schema"
	"stoneford/statemachine"
)

const (
	// LeaseDuration is how long a poll that a majority answered may be relied on,
	// counted from its sending. A longer lease bears longer interruptions and makes
	// every change that has to wait for old leases take longer.
	LeaseDuration = 1100 * time.Millisecond
	// LeaseEndBound is the time after which a lease that another process holds has
	// run out by every clock: a tenth longer, for clocks that run at different rates.
	LeaseEndBound = LeaseDuration * 11 / 10

	// LeaseDurationUs is LeaseDuration in the microseconds of the cores' clocks.
	LeaseDurationUs = int64(LeaseDuration / time.Microsecond)
	// LeaseEndBoundUs is LeaseEndBound in the microseconds of the cores' clocks.
	LeaseEndBoundUs = int64(LeaseEndBound / time.Microsecond)
)

// Config identifies the process that polls, and whom it asks at first.
type Config struct {
	// Self is the address under which this process is known to the others.
	Self string
	// Contacts are the addresses that are asked who the voters are.
	Contacts []string
	// Zone is this process's zone; large data is fetched from a voter in it.
	Zone string
	// Name and Kind ("pool" or "control") go out with each poll.
	Name, Kind string
	// Run distinguishes this run of the process from any other. Runs have no order: the time
	// of day that they might be taken from can step back.
	Run uint64
}

// Learner is what one process has learned from the voters. The zero value is not
// usable; see New.
type Learner struct {
	config Config
	now    int64 // time of the newest call that brought one

	membership paxos.Membership       // newest known to be committed
	addresses  []string               // of its voters; the contacts while none is known
	voters     map[string]*voterState // by address, for each of addresses

	polls       pollHistory
	lease       leaseState
	registers   registerTable
	unconfirmed unconfirmedKeys
	databases   databaseTable

	// dataSourceIndex selects which of the ranked voters is asked for the data of
	// changed registers; it advances when that voter does not know a value.
	dataSourceIndex int
	invariants      invariant.Checks
}

// New returns a learner that knows nothing yet.
func New(config Config) *Learner {
	config.Contacts = slices.Clone(config.Contacts)
	l := &Learner{
		config:      config,
		voters:      map[string]*voterState{},
		polls:       newPollHistory(config.Self, config.Run),
		registers:   newRegisterTable(),
		unconfirmed: newUnconfirmedKeys(),
		databases:   newDatabaseTable(),
	}
	l.setAddresses(config.Contacts)
	return l
}

// Run is the number of this run of the process.
func (l *Learner) Run() uint64 { return l.config.Run }

// Checks counts what did not hold of what this process learned.
func (l *Learner) Checks() *invariant.Checks { return &l.invariants }

// Learn takes a value that is known to be committed under a membership, for example
// because this process's own proposer had it chosen. A nil value, or one without a
// revision, is ignored.
func (l *Learner) Learn(now int64, key string, value *schema.Value, membership uint64) {
	if value.GetRevision() == 0 {
		return
	}
	l.now = max(l.now, now)
	l.learn(key, value.Revision, value.Data, membership)
	l.recountLeases()
}

// TakeChanges returns, in order, the keys of registers that became newer or
// unconfirmed since the last call, and whether databases changed.
func (l *Learner) TakeChanges() (keys []string, databases bool) {
	return l.registers.takeChanged(), l.databases.takeChanged()
}

// dataSource is the voter that is asked for the data of what changed: one of this
// zone first, since large routing tables cost what they cross, and one that answered
// lately if there is any.
func (l *Learner) dataSource() string {
	ranked := l.rankedVoters()
	slices.SortStableFunc(ranked, func(a, b string) int { return l.zoneDistance(a) - l.zoneDistance(b) })
	responsive := slices.DeleteFunc(slices.Clone(ranked), func(address string) bool {
		return l.voters[address].lastResponse+responsiveWindow.Microseconds() < l.now
	})
	if len(responsive) > 0 {
		ranked = responsive
	}
	return ranked[l.dataSourceIndex%len(ranked)]
}

// zoneDistance is 0 for a voter of this process's zone and 1 for any other.
func (l *Learner) zoneDistance(address string) int {
	if l.voters[address].zone == l.config.Zone {
		return 0
	}
	return 1
}

// rankedVoters orders the voters for this process, itself first if it is one, so
// that different processes fetch data from different voters.
func (l *Learner) rankedVoters() []string {
	if i := slices.Index(l.addresses, l.config.Self); i >= 0 {
		return append([]string{l.config.Self}, slices.Delete(slices.Clone(l.addresses), i, i+1)...)
	}
	return statemachine.Rank(l.config.Self, l.addresses)
}
