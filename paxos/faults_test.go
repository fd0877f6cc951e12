package paxos_test

import (
	"fmt"
	"slices"
	"testing"

	"stoneford/paxos"
	"stoneford/schema"
	"stoneford/simulation"
)

// planted is a fault put into the harness around the cores, to show that the
// checks see it.
type planted int

const (
	none planted = iota
	unsyncedPromise
	emptyDiskVotes
	ackBeforeMajority
)

// cluster is three voters, each with a proposer of its own, under kills, lost
// disks, cuts, losses and doubles.
type cluster struct {
	t         *testing.T
	w         *simulation.World
	n         *simulation.Network
	plant     planted
	addrs     []string
	processes map[string]*process
	up        map[string]bool
	gen       map[string]int // life of the process, so that old ticks stop
	lives     map[string]uint64
	changes   int
	ledger
}

func (c *cluster) boot(a string, empty bool) {
	c.gen[a]++
	p := c.processes[a]
	founders := c.addrs
	if empty {
		if c.plant == emptyDiskVotes && p.acceptor != nil {
			// It goes on as the voter that it was, with nothing of what it held.
			p.disk = []*schema.VoterLog{{Life: p.acceptor.Life(), Membership: p.acceptor.Membership().Message(), Active: p.acceptor.Active()}}
		} else {
			p.disk = nil
		}
		if c.w.Chance(0.5) {
			founders = nil
		}
	}
	p.start(c.w.Now, c.w.R, founders)
	c.up[a] = true
	g := c.gen[a]
	var tick func()
	tick = func() {
		if c.gen[a] != g || !c.up[a] {
			return
		}
		p.tick(c.w.Now)
		c.flush(a)
		c.w.After(20_000, tick)
	}
	c.w.After(0, tick)
	var ping func()
	ping = func() {
		if c.gen[a] != g || !c.up[a] {
			return
		}
		p.ping(c.addrs)
		c.flush(a)
		c.w.After(300_000, ping)
	}
	ping()
}

// flush delivers what a process asks for.
func (c *cluster) flush(a string) {
	p := c.processes[a]
	if len(p.disk) > 200 && c.plant == none {
		p.disk = []*schema.VoterLog{p.acceptor.Snapshot()}
	}
	for _, s := range p.takeSends() {
		c.n.Send(a, s)
	}
	for _, o := range p.takeEnded() {
		c.outcome(o)
	}
}

func (c *cluster) take(to string, e *schema.Envelope) {
	if !c.up[to] {
		return
	}
	c.processes[to].take(c.w.Now, e)
	c.flush(to)
}

// run drives one seed; it returns what was found wrong. pace is how many times
// as often changes and faults come, one of them soon after the other.
func run(t *testing.T, seed uint64, plant planted, pace int64) (*cluster, string) {
	c := &cluster{t: t, w: simulation.NewWorld(seed), plant: plant, addrs: []string{"a", "b", "c"}, processes: map[string]*process{},
		up: map[string]bool{}, gen: map[string]int{}, ledger: newLedger("x", "y")}
	c.n = simulation.NewNetwork(c.w)
	c.n.Take = c.take
	c.n.Drop, c.n.Double = 0.05, 0.05
	c.n.DelayHi = 30_000
	for _, a := range c.addrs {
		p := &process{address: a, target: len(c.addrs), ownWordOnly: plant == ackBeforeMajority}
		if plant == unsyncedPromise {
			p.beforeLog = func(p *process, log []*schema.VoterLog) []*schema.VoterLog {
				if !p.acceptor.Votes() || c.w.Chance(0.05) {
					return log
				}
				return slices.DeleteFunc(log, func(l *schema.VoterLog) bool { return !l.Snapshot }) // said, and not on disk
			}
		}
		c.processes[a] = p
		c.boot(a, false)
	}
	const length = 40_000_000
	var change func()
	change = func() {
		a := c.addrs[c.w.R.IntN(3)]
		if c.up[a] {
			c.changes++
			k := []string{"x", "y"}[c.w.R.IntN(2)]
			ch := paxos.Change{Name: fmt.Sprintf("%s%d", a, c.changes), Key: k, Deadline: c.w.Now + c.w.Between(200_000, 3_000_000)}
			ch.Read = c.w.Chance(0.4)
			if !ch.Read {
				ch.Base, ch.Data = c.agreedAt[k], []byte(ch.Name)
			}
			c.began[ch.Name] = c.agreedAt[k]
			c.processes[a].ask(c.w.Now, ch)
			c.flush(a)
		}
		c.w.After(c.w.Between(5_000, 120_000)/pace, change)
	}
	c.w.After(1_000_000, change)
	// One machine is down, or without its disk, at a time.
	var fault func()
	fault = func() {
		a := c.addrs[c.w.R.IntN(3)]
		all := true
		for _, o := range c.addrs {
			all = all && c.up[o] && c.processes[o].acceptor.Votes()
		}
		switch p := c.w.R.IntN(4); {
		case !all:
		case p == 3:
			b := c.addrs[c.w.R.IntN(3)]
			c.n.Cut(a, b, true)
			if c.w.Chance(0.5) {
				c.n.Cut(b, a, true)
			}
			c.w.After(c.w.Between(100_000, 2_000_000), c.n.Mend)
		default:
			c.up[a] = false
			c.w.After(c.w.Between(0, 1_500_000)/pace, func() {
				// A lost disk has all voters write a snapshot, which would mend what the plant left out.
				c.boot(a, p == 0 && plant != unsyncedPromise)
			})
		}
		c.w.After(c.w.Between(200_000, 2_000_000)/pace, fault)
	}
	c.w.After(2_000_000, fault)
	c.w.Run(length)
	return c, c.fail
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
		c, bad := run(t, seed, none, 1)
		if bad != "" {
			t.Fatalf("seed %d: %s", seed, bad)
		}
		agreed, reads = agreed+c.agreed, reads+c.reads
	}
	if agreed < int(n)*100 || reads < int(n)*50 {
		t.Fatalf("only %d changes were agreed and %d readings made: the runs show little", agreed, reads)
	}
	t.Logf("%d seeds: %d changes agreed, %d readings", n, agreed, reads)
}

// TestPlantedFaultsAreSeen: the same checks fail in most seeds once promises
// are not synced, an empty disk votes at once, or one voter's word is taken for a
// majority's; changes and faults come twelve times as often, and without the plant
// nothing is found there either.
func TestPlantedFaultsAreSeen(t *testing.T) {
	for p, name := range map[planted]string{none: "nothing", unsyncedPromise: "unsynced promise", emptyDiskVotes: "empty disk votes", ackBeforeMajority: "ack before majority"} {
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
		if p == none && seen > 0 || p != none && seen < seeds/2 {
			t.Errorf("%s: %d of %d seeds show it", name, seen, seeds)
		}
		t.Logf("%s: seen by %d of %d seeds", name, seen, seeds)
	}
}
