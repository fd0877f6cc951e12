package coordinator

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"stoneford/paxos"
	"stoneford/ports"
	"stoneford/routingtable"
	"stoneford/schema"
	"stoneford/step"
	"stoneford/voterview"
)

// troubleSeeds is how many seeds run of the schedules with several troubles.
const troubleSeeds = max(8/slower, 2)

// learner is a process that learns what the voters agreed and does not vote, as a
// pool node does.
type learner struct {
	at   string
	view *voterview.View
	// untold has what voters know to be agreed not reach it: a fault that is planted.
	untold bool
}

// attachLearner starts a learner on a cluster's network.
func (c *cluster) attachLearner(at string) *learner {
	l := &learner{at: at}
	take := c.n.Take
	c.n.Take = func(to string, e *schema.Envelope) {
		if to != l.at {
			take(to, e)
		} else if r := e.GetLookReturn(); r != nil {
			if l.untold {
				r.Chosen = nil
			}
			l.view.Step(c.w.Now, e.From, r)
		}
	}
	l.restart(c)
	var tick func()
	tick = func() {
		for _, s := range l.view.Tick(c.w.Now, func() voterview.Report { return voterview.Report{Table: l.revision()} }) {
			c.n.Send(l.at, s)
		}
		c.w.After(10_000, tick)
	}
	tick()
	return l
}

// restart has the learner forget everything.
func (l *learner) restart(c *cluster) {
	l.view = voterview.New(l.at, c.order[:3], "z", "node", "pool", c.w.R.Uint64())
}

// revision is the register's revision of the routing table that the learner knows.
func (l *learner) revision() uint64 {
	known, _ := l.view.Agreed(voterview.TableKey)
	return known.Revision
}

// leased reports whether the learner holds a lease.
func (l *learner) leased(now int64) bool { return now < l.view.LeaseUntil() }

// cutOff cuts a process off from others in both directions, or mends that.
func (c *cluster) cutOff(a string, broken bool, others ...string) {
	for _, o := range others {
		c.n.Cut(a, o, broken)
		c.n.Cut(o, a, broken)
	}
}

// formedCluster is a cluster of so many control processes that bear the loss of two,
// with the first routing table taken.
func formedCluster(t *testing.T, seed uint64, processes int) (*cluster, *callers) {
	t.Helper()
	c := newCluster(t, seed, processes, 3, 2)
	k := newCallers(c)
	for _, a := range c.order {
		c.start(a)
	}
	k.run(8_000_000)
	if c.formed() != 5 {
		t.Fatalf("seed %d: %d voters of 5 formed", seed, c.formed())
	}
	if o := k.take(tableOrder(0, 1, "first"), c.order...); o != ports.Agreed {
		t.Fatalf("seed %d: the first order ended as %d", seed, o)
	}
	k.run(1_000_000)
	return c, k
}

// missedRevision has a revision accepted by three voters of five while the other two
// and a learner are cut off, and one of the three lost before the cut ends. A majority
// is there and has agreed; it returns the learner 5 s later.
func missedRevision(t *testing.T, seed uint64, untold bool) (*learner, int64) {
	t.Helper()
	c, k := formedCluster(t, seed, 5)
	l := c.attachLearner("10.0.9.9:7441")
	l.untold = untold
	k.run(1_000_000)
	if l.revision() == 0 || !l.leased(c.w.Now) {
		t.Fatalf("seed %d: the learner did not begin", seed)
	}
	accepting, away := c.order[:3], c.order[3:]
	for _, a := range away {
		c.cutOff(a, true, accepting...)
		c.cutOff(l.at, true, accepting...)
	}
	if o := k.take(tableOrder(1, 2, "second"), accepting[0]); o != ports.Agreed {
		t.Fatalf("seed %d: the second order ended as %d", seed, o)
	}
	// Those that were away hear of it before the cut is over for the learner.
	for _, a := range away {
		c.cutOff(a, false, accepting...)
	}
	k.run(300_000)
	c.kill(accepting[2], false)
	c.cutOff(l.at, false, accepting...)
	k.run(5_000_000)
	return l, c.w.Now
}

// TestALearnerLearnsWhatItMissed: the learner has to learn what the voters agreed,
// though no majority stands at one ballot any more.
func TestALearnerLearnsWhatItMissed(t *testing.T) {
	for seed := range uint64(6) {
		if l, now := missedRevision(t, seed, false); l.revision() != 2 || !l.leased(now) {
			t.Errorf("seed %d: the learner knows revision %d, holds a lease: %t; revision 2 was agreed 5 s before", seed, l.revision(), l.leased(now))
		}
	}
}

// TestPlantedDecisionsUntold: where nobody tells it what was agreed, it stays behind.
func TestPlantedDecisionsUntold(t *testing.T) {
	for seed := range uint64(6) {
		if l, now := missedRevision(t, seed, true); l.revision() != 1 || l.leased(now) {
			t.Errorf("seed %d: the learner knows revision %d", seed, l.revision())
		}
	}
}

// TestLearnersLearnUnderTroubles: orders come one after the other while control
// processes are killed, cut off and lose their disks, two troubles at a time, and
// learners start anew. Once a majority has been calm for as long as processes are
// given, each learner knows the newest order that was taken and holds a lease.
func TestLearnersLearnUnderTroubles(t *testing.T) {
	const calm = 4_000_000
	for seed := range uint64(troubleSeeds) {
		c, k := formedCluster(t, seed, 5+int(seed%2))
		var learners []*learner
		for i := range 4 {
			learners = append(learners, c.attachLearner(fmt.Sprintf("10.0.9.%d:7441", i+1)))
		}
		taken := uint64(1)
		for range 2 {
			taken = troubled(c, k, learners, taken)
			k.run(calm)
			for _, l := range learners {
				known, _ := l.view.Agreed(voterview.TableKey)
				if held := c.decoded(known.Data); held.Revision < taken || !l.leased(c.w.Now) {
					t.Errorf("seed %d: %s works by revision %d after %d ms of calm, holds a lease: %t; %d was taken", seed, l.at, held.Revision, calm/1000, l.leased(c.w.Now), taken)
				}
			}
			for _, a := range c.order {
				if !c.ms[a].up {
					c.start(a)
				}
			}
			k.run(calm)
		}
	}
}

// troubled sends orders while two control processes are cut off, loses a third one
// about when the cut ends, and has learners start anew at any moment. The one that
// was lost stays dead. It returns the newest revision taken.
func troubled(c *cluster, k *callers, learners []*learner, taken uint64) uint64 {
	r := c.w.R
	hit := slices.Clone(c.order)
	r.Shuffle(len(hit), func(i, j int) { hit[i], hit[j] = hit[j], hit[i] })
	cut, dies, others := hit[:2], hit[2], hit[2:]
	began := c.w.Now
	ends := began + c.w.Between(1_000_000, 2_500_000)
	for _, a := range cut {
		c.w.After(c.w.Between(0, 300_000), func() { c.cutOff(a, true, others...) })
		c.w.After(ends-began, func() { c.cutOff(a, false, others...) })
	}
	c.w.After(ends-began+c.w.Between(-200_000, 400_000), func() { c.kill(dies, false) })
	for _, l := range learners {
		if r.IntN(2) == 0 {
			c.w.After(c.w.Between(0, 4_000_000), func() { l.restart(c) })
		}
	}
	for c.w.Now < ends {
		revision := taken + 1
		if k.take(tableOrder(taken, revision, "under troubles"), others...) == ports.Agreed {
			taken = revision
		}
		k.run(c.w.Between(1_000, 400_000))
	}
	k.run(max(ends+500_000-c.w.Now, 0))
	return taken
}

// decoded reads a routing table.
func (c *cluster) decoded(data []byte) ports.RoutingTable {
	c.t.Helper()
	t, err := routingtable.Decode(data)
	if err != nil {
		c.t.Fatal(err)
	}
	return t
}

// slowWay has what a cluster sends to a learner come over a way of so many bytes a
// second, in order, behind what is on it already.
func (c *cluster) slowWay(l *learner, bytesPerSecond int64) (sent *int64) {
	sent = new(int64)
	free := int64(0)
	take := c.n.Take
	c.n.Take = func(to string, e *schema.Envelope) {
		if to != l.at {
			take(to, e)
			return
		}
		n := int64(proto.Size(e))
		*sent += n
		free = max(free, c.w.Now) + n*1_000_000/bytesPerSecond
		c.w.After(free-c.w.Now, func() { take(to, e) })
	}
	return sent
}

// largeTable is a first order with so many routes, none of which packs well.
func (c *cluster) largeTable(routes int) ports.TableChange {
	order := tableOrder(0, 1, "large")
	for i := range routes {
		source := make([]byte, 40)
		for j := range source {
			source[j] = byte(c.w.R.Uint32())
		}
		name := fmt.Sprint("route-", i)
		order.Routes = append(order.Routes, ports.Route{Name: name, Host: name, Prefix: "/", Group: "g", ExpiryUs: 800_000, Source: source})
	}
	return order
}

// TestALearnerOnASlowWayStartsInAStorm: a learner behind 2 Mbit/s starts anew while
// changes come five times a second and the control processes hold 60 registers more and
// know of 90 databases. It is never further behind than a part of what a change may take, and holds a lease.
func TestALearnerOnASlowWayStartsInAStorm(t *testing.T) {
	const (
		behindMost = 2_000_000
		startsIn   = 2_500_000
		rate       = 2_000_000 / 8 / 2 // callers use the other half
	)
	c := newCluster(t, 3, 5, 3, 2)
	k := newCallers(c)
	for _, a := range c.order {
		c.start(a)
	}
	k.run(8_000_000)
	if o := k.take(c.largeTable(160), c.order...); o != ports.Agreed {
		t.Fatalf("the first order ended as %d", o)
	}
	for i := range 90 {
		id := fmt.Sprintf("i-%010x", c.w.R.Uint32())
		k.announce(c.order[i%5], ports.Instance{ID: id, Group: fmt.Sprint("group-", i/3), Address: fmt.Sprintf("10.1.%d.%d:8080", i, i), Zone: "zone-of-it", Capacity: 4, Call: 1, Primary: i%3 == 0})
	}
	for i := range 60 {
		key, data := fmt.Sprintf("members/group-%02d", i), strings.Repeat("member-", 10)
		if v := c.change(c.order[i%5], key, fmt.Sprint(data, i)); v != paxos.Agreed {
			t.Fatalf("%s ended as %d", key, v)
		}
	}
	k.run(2_000_000)
	l := c.attachLearner("10.0.9.9:7441")
	// What a node has its looks leave at once for: commits that wait for a lease.
	var wants func()
	wants = func() {
		if !l.leased(c.w.Now) {
			l.view.Want()
		}
		c.w.After(100_000, wants)
	}
	wants()
	sent := c.slowWay(l, rate)
	storm := stormSeen{at: map[uint64]int64{1: c.w.Now}}
	taken, started := uint64(1), c.w.Now
	for n := range 100 {
		if n == 20 {
			l.restart(c)
			started = c.w.Now
		}
		if k.take(tableOrder(taken, taken+1, "storm"), c.order[n%5]) == ports.Agreed {
			taken++
			storm.at[taken] = c.w.Now
		}
		for range 10 {
			k.run(20_000)
			if c.w.Now-started >= startsIn {
				storm.look(c, l, 20_000)
			}
		}
	}
	t.Logf("%d changes: at the most %d ms behind, %d ms without a lease, %d KB sent to it", taken, storm.behind/1000, storm.leaseless/1000, *sent>>10)
	if taken < 80 || storm.behind > behindMost || storm.leaseless > behindMost {
		t.Errorf("%d changes: %d ms behind, %d ms without a lease", taken, storm.behind/1000, storm.leaseless/1000)
	}
}

// stormSeen is how a learner fares in a storm of changes.
type stormSeen struct {
	at        map[uint64]int64 // when each revision was acknowledged
	behind    int64            // for how long, at the most, a newer one was there
	leaseless int64            // how long it had no lease
}

// look takes a learner's state down, each so many microseconds.
func (s *stormSeen) look(c *cluster, l *learner, every int64) {
	known, _ := l.view.Agreed(voterview.TableKey)
	if next, ok := s.at[c.decoded(known.Data).Revision+1]; ok {
		s.behind = max(s.behind, c.w.Now-next)
	}
	if !l.leased(c.w.Now) {
		s.leaseless += every
	}
}

// TestWhoAsksForTheVotersIsToldNoMore: a learner that has no lease asks processes that
// do not vote who the voters are, again and again. They send it that and not all that
// they know.
func TestWhoAsksForTheVotersIsToldNoMore(t *testing.T) {
	c, k := formedCluster(t, 5, 6)
	i := slices.IndexFunc(c.order, func(a string) bool { return !c.ms[a].core.votes() })
	spare := c.order[i]
	for i := range 60 {
		k.announce(c.order[(i+1)%6], ports.Instance{ID: fmt.Sprint("i-", i), Group: "g", Address: "10.1.1.1:8080", Zone: "z", Call: 1})
	}
	k.run(6_000_000)
	l := &learner{at: "10.0.9.9:7441"}
	largest := 0
	take := c.n.Take
	c.n.Take = func(to string, e *schema.Envelope) {
		if to == l.at && e.From == spare {
			largest = max(largest, proto.Size(e))
		}
		take(to, e)
	}
	c.n.Send(l.at, step.Send{To: spare, Env: &schema.Envelope{From: l.at, Body: &schema.Envelope_Look{Look: &schema.Look{Number: 1, Kind: "pool", Run: 7, VotersOnly: true}}}})
	k.run(500_000)
	if largest == 0 || largest > 1_000 {
		t.Errorf("it was returned %d bytes", largest)
	}
}
