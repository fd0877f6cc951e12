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
	// LeaseDuration is the duration of a lease, counted from the sending of the poll
	// that a majority answered. A longer lease tolerates longer interruptions but
	// delays every change that has to wait until old leases have expired.
	LeaseDuration = 1100 * time.Millisecond
	// LeaseEndBound is the time after which the lease of another process has expired
	// on every clock. It is a tenth longer than the lease because clock rates differ.
	LeaseEndBound = LeaseDuration * 11 / 10

	// LeaseDurationUs is LeaseDuration in the microseconds of the cores' clocks.
	LeaseDurationUs = int64(LeaseDuration / time.Microsecond)
	// LeaseEndBoundUs is LeaseEndBound in the microseconds of the cores' clocks.
	LeaseEndBoundUs = int64(LeaseEndBound / time.Microsecond)
)

// Config identifies the polling process and the control processes that it polls first.
type Config struct {
	// Self is the address under which other processes know this process.
	Self string
	// SeedAddresses are the control processes that are asked for the voters while none is
	// known, and again once the lease has been over for seedPollDelay.
	SeedAddresses []string
	// Zone is this process's zone; large data is fetched from a voter in it.
	Zone string
	// Name and Kind ("pool" or "control") are sent with each poll.
	Name, Kind string
	// Run distinguishes this run of the process from any other. Run numbers are not
	// ordered, since they may come from the time of day, which can step back.
	Run uint64
}

// Learner holds what one process has learned from the voters. Use New to create one.
type Learner struct {
	config Config
	now    int64 // time argument of the newest call that has one

	membership paxos.Membership       // newest membership known to be committed
	addresses  []string               // its voters, or the seeds and added addresses while no voter is known
	voters     map[string]*voterState // by address, one for each of addresses

	polls       pollHistory
	lease       leaseState
	registers   registerTable
	unconfirmed unconfirmedKeys
	databases   databaseTable

	// dataSourceIndex selects the ranked voter that is asked for the data of changed
	// registers. It advances when that voter does not know a value.
	dataSourceIndex int
	invariants      invariant.Checks
}

// New returns a learner without any values or membership.
func New(config Config) *Learner {
	config.SeedAddresses = slices.Clone(config.SeedAddresses)
	l := &Learner{
		config:      config,
		voters:      map[string]*voterState{},
		polls:       newPollHistory(config.Self, config.Run),
		registers:   newRegisterTable(),
		unconfirmed: newUnconfirmedKeys(),
		databases:   newDatabaseTable(),
	}
	l.setAddresses(config.SeedAddresses)
	return l
}

// Run returns the number of this run of the process.
func (l *Learner) Run() uint64 { return l.config.Run }

// Checks returns the counters of violated invariants.
func (l *Learner) Checks() *invariant.Checks { return &l.invariants }

// Learn records a value that is known to be committed under a membership, for example
// because this process's own proposer got it chosen. A nil value and a value without a
// revision are ignored.
func (l *Learner) Learn(now int64, key string, value *schema.Value, membership uint64) {
	if value.GetRevision() == 0 {
		return
	}
	l.now = max(l.now, now)
	l.learn(key, value.Revision, value.Data, membership)
	l.recountLeases()
}

// TakeChanges returns the sorted keys of the registers that got a newer value or became
// unconfirmed since the last call, and whether databases changed.
func (l *Learner) TakeChanges() (keys []string, databases bool) {
	return l.registers.takeChanged(), l.databases.takeChanged()
}

// dataSource returns the voter that is asked for the data of changed registers. It
// prefers voters that answered recently, and among them voters of this zone, since
// sending a large routing table across zones is expensive.
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

// zoneDistance returns 0 for a voter of this process's zone and 1 for any other.
func (l *Learner) zoneDistance(address string) int {
	if l.voters[address].zone == l.config.Zone {
		return 0
	}
	return 1
}

// rankedVoters returns the voters ranked for this process, so that different processes
// fetch data from different voters. A process that is a voter ranks itself first.
func (l *Learner) rankedVoters() []string {
	if i := slices.Index(l.addresses, l.config.Self); i >= 0 {
		return append([]string{l.config.Self}, slices.Delete(slices.Clone(l.addresses), i, i+1)...)
	}
	return statemachine.Rank(l.config.Self, l.addresses)
}
