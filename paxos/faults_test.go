package paxos_test

import (
	"fmt"
	"slices"
	"testing"

	"stoneford/emulator/simulation"
	"stoneford/emulator/virtualtime"
	"stoneford/paxos"
	"stoneford/schema"
)

// clusterMutation is a fault put into the harness around the cores, to show that the
// checks see it.
type clusterMutation int

const (
	noClusterMutation clusterMutation = iota
	unsyncedPromise
	emptyDiskAccepts
	ackBeforeMajority
)

// cluster is three voters, each with a proposer of its own, under kills, lost
// disks, cuts, losses and doubles.
type cluster struct {
	t           *testing.T
	environment *virtualtime.Scheduler
	network     *simulation.Network
	mutation    clusterMutation
	addresses   []string
	processes   map[string]*process
	up          map[string]bool
	incarnation map[string]int // life of the process, so that old ticks stop
	diskIDs     map[string]uint64
	changes     int
	history
}

func (c *cluster) boot(a string, empty bool) {
	c.incarnation[a]++
	p := c.processes[a]
	founders := c.addresses
	if empty {
		if c.mutation == emptyDiskAccepts && p.acceptor != nil {
			// It goes on as the voter that it was, with nothing of what it held.
			p.disk = []*schema.WALEntry{{DiskId: p.acceptor.DiskID(), Membership: p.acceptor.Membership().Proto(), ActiveMembership: p.acceptor.ActiveMembership()}}
		} else {
			p.disk = nil
		}
		if c.environment.Chance(0.5) {
			founders = nil
		}
	}
	p.start(c.environment.Now, c.environment.Random, founders)
	c.up[a] = true
	g := c.incarnation[a]
	var tick func()
	tick = func() {
		if c.incarnation[a] != g || !c.up[a] {
			return
		}
		p.tick(c.environment.Now)
		c.flush(a)
		c.environment.After(20_000, tick)
	}
	c.environment.After(0, tick)
	var ping func()
	ping = func() {
		if c.incarnation[a] != g || !c.up[a] {
			return
		}
		p.ping(c.addresses)
		c.flush(a)
		c.environment.After(300_000, ping)
	}
	ping()
}

// flush delivers what a process asks for.
func (c *cluster) flush(a string) {
	p := c.processes[a]
	if len(p.disk) > 200 && c.mutation == noClusterMutation {
		p.disk = []*schema.WALEntry{p.acceptor.Snapshot()}
	}
	for _, s := range p.takeOutgoing() {
		c.network.Send(a, s)
	}
	for _, o := range p.takeOutcomes() {
		c.recordOutcome(o)
	}
}

func (c *cluster) receive(to string, e *schema.Envelope) {
	if !c.up[to] {
		return
	}
	c.processes[to].receive(c.environment.Now, e)
	c.flush(to)
}

// run drives one seed; it returns what was found wrong. pace is how many times
// as often changes and faults come, one of them soon after the other.
func run(t *testing.T, seed uint64, mutation clusterMutation, pace int64) (*cluster, string) {
	c := &cluster{t: t, environment: virtualtime.NewScheduler(seed, virtualtime.DefaultStream), mutation: mutation, addresses: []string{"a", "b", "c"}, processes: map[string]*process{},
		up: map[string]bool{}, incarnation: map[string]int{}, history: newHistory("x", "y")}
	c.network = simulation.NewNetwork(c.environment)
	c.network.Receive = c.receive
	c.network.LossProbability, c.network.DuplicateProbability = 0.05, 0.05
	c.network.MaxDelayUs = 30_000
	for _, a := range c.addresses {
		p := &process{address: a, target: len(c.addresses), ownVoterOnly: mutation == ackBeforeMajority}
		if mutation == unsyncedPromise {
			p.mutateLog = func(p *process, log []*schema.WALEntry) []*schema.WALEntry {
				if !p.acceptor.IsVoter() || c.environment.Chance(0.05) {
					return log
				}
				return slices.DeleteFunc(log, func(l *schema.WALEntry) bool { return !l.Snapshot }) // said, and not on disk
			}
		}
		c.processes[a] = p
		c.boot(a, false)
	}
	const length = 40_000_000
	var change func()
	change = func() {
		a := c.addresses[c.environment.Random.IntN(3)]
		if c.up[a] {
			c.changes++
			k := []string{"x", "y"}[c.environment.Random.IntN(2)]
			ch := paxos.Change{ID: fmt.Sprintf("%s%d", a, c.changes), Key: k, Deadline: c.environment.Now + c.environment.Between(200_000, 3_000_000)}
			ch.ReadOnly = c.environment.Chance(0.4)
			if !ch.ReadOnly {
				ch.BaseRevision, ch.Data = c.committedRevision[k], []byte(ch.ID)
			}
			c.revisionAtStart[ch.ID] = c.committedRevision[k]
			c.processes[a].propose(c.environment.Now, ch)
			c.flush(a)
		}
		c.environment.After(c.environment.Between(5_000, 120_000)/pace, change)
	}
	c.environment.After(1_000_000, change)
	// One machine is down, or without its disk, at a time.
	var fault func()
	fault = func() {
		a := c.addresses[c.environment.Random.IntN(3)]
		all := true
		for _, o := range c.addresses {
			all = all && c.up[o] && c.processes[o].acceptor.IsVoter()
		}
		switch p := c.environment.Random.IntN(4); {
		case !all:
		case p == 3:
			b := c.addresses[c.environment.Random.IntN(3)]
			c.network.SetPartition(a, b, true)
			if c.environment.Chance(0.5) {
				c.network.SetPartition(b, a, true)
			}
			c.environment.After(c.environment.Between(100_000, 2_000_000), c.network.Repair)
		default:
			c.up[a] = false
			c.environment.After(c.environment.Between(0, 1_500_000)/pace, func() {
				// A lost disk has all voters write a snapshot, which would mend what the plant left out.
				c.boot(a, p == 0 && mutation != unsyncedPromise)
			})
		}
		c.environment.After(c.environment.Between(200_000, 2_000_000)/pace, fault)
	}
	c.environment.After(2_000_000, fault)
	c.environment.Run(length)
	return c, c.failure
}

// TestRegistersUnderFaults: over many seeds no revision is ever two values,
// none that was told agreed is lost, and no reading is older than what was
// agreed before it began.
func TestRegistersUnderFaults(t *testing.T) {
	n := uint64(200)
	if testing.Short() {
		n = 40
	}
	agreed, reads := 0, 0
	for seed := range n {
		c, bad := run(t, seed, noClusterMutation, 1)
		if bad != "" {
			t.Fatalf("seed %d: %s", seed, bad)
		}
		agreed, reads = agreed+c.committed, reads+c.reads
	}
	if agreed < int(n)*100 || reads < int(n)*50 {
		t.Fatalf("only %d changes were agreed and %d readings made: the runs show little", agreed, reads)
	}
	t.Logf("%d seeds: %d changes agreed, %d readings", n, agreed, reads)
}

// TestRegisterMutationsAreDetected: the same checks fail in most seeds once promises
// are not synced, an empty disk votes at once, or one voter's word is taken for a
// majority's; changes and faults come twelve times as often, and without the plant
// nothing is found there either.
func TestRegisterMutationsAreDetected(t *testing.T) {
	for p, name := range map[clusterMutation]string{noClusterMutation: "nothing", unsyncedPromise: "unsynced promise", emptyDiskAccepts: "empty disk votes", ackBeforeMajority: "ack before majority"} {
		seen := 0
		const seeds = 12
		for seed := range uint64(seeds) {
			if _, bad := run(t, seed, p, 12); bad != "" {
				if seen == 0 {
					t.Logf("%s: seed %d: %s", name, seed, bad)
				}
				seen++
			}
		}
		if p == noClusterMutation && seen > 0 || p != noClusterMutation && seen < seeds/2 {
			t.Errorf("%s: %d of %d seeds show it", name, seen, seeds)
		}
		t.Logf("%s: seen by %d of %d seeds", name, seen, seeds)
	}
}
