package failuredetector

import (
	"maps"
	"slices"
	"time"

	"stoneford/schema"
	"stoneford/statemachine"
)

// WatchersPerNode is how many nodes probe each node. With three, one that is wrong or
// gone is outvoted.
const WatchersPerNode = 3

const (
	// probeInterval is how often each peer is pinged.
	probeInterval = 250 * time.Millisecond
	// suspicionTimeout is how long a peer may not answer before it is suspected: some
	// probes. A longer one bears more loss and pauses; a shorter one detects sooner.
	suspicionTimeout = time.Second
)

// Effects is what the caller has to carry out after a step.
type Effects struct {
	Send    []statemachine.Send
	Changed map[string]bool // peers whose suspicion changed: whether each is suspected now
}

// peer is a node that this one probes.
type peer struct {
	heardAt   int64
	suspected bool
}

// Detector is one node's watch over its peers.
type Detector struct {
	self        string
	peers       map[string]*peer
	sequence    uint64 // of the last ping
	nextProbeAt int64
}

// New returns a detector without peers.
func New(self string) *Detector { return &Detector{self: self, peers: map[string]*peer{}} }

// WatchersOf returns the nodes that probe a node: the first of all others, ranked by the
// hash of the pair. Every process that knows the same nodes names the same ones.
func WatchersOf(node string, nodes []string) []string {
	others := slices.DeleteFunc(slices.Clone(nodes), func(other string) bool { return other == node })
	ranked := statemachine.Rank(node, others)
	return ranked[:min(WatchersPerNode, len(ranked))]
}

// SetNodes sets all nodes that this one knows of, and with them whom it probes. Peers
// that remain keep what is known of them.
func (d *Detector) SetNodes(now int64, nodes []string) {
	peers := map[string]*peer{}
	for _, node := range nodes {
		if node == d.self || !slices.Contains(WatchersOf(node, nodes), d.self) {
			continue
		}
		if peers[node] = d.peers[node]; peers[node] == nil {
			peers[node] = &peer{heardAt: now}
		}
	}
	d.peers = peers
}

// Peers returns the nodes that this one probes, sorted.
func (d *Detector) Peers() []string { return slices.Sorted(maps.Keys(d.peers)) }

// Tick pings the peers and suspects those that have not answered for too long.
func (d *Detector) Tick(now int64) Effects {
	effects := Effects{Changed: map[string]bool{}}
	if now < d.nextProbeAt {
		return effects
	}
	if d.nextProbeAt > 0 && now-d.nextProbeAt > suspicionTimeout.Microseconds() {
		// This process itself was paused: the peers may have answered.
		for _, p := range d.peers {
			p.heardAt = now
		}
	}
	d.nextProbeAt = now + probeInterval.Microseconds()
	d.sequence++
	for _, address := range d.Peers() {
		d.send(&effects, address, &schema.Envelope{Body: &schema.Envelope_Ping{Ping: &schema.Ping{Sequence: d.sequence}}})
		if p := d.peers[address]; !p.suspected && now-p.heardAt > suspicionTimeout.Microseconds() {
			p.suspected = true
			effects.Changed[address] = true
		}
	}
	return effects
}

// Step answers a ping, or takes a pong as a proof of liveness; other messages are ignored.
func (d *Detector) Step(now int64, envelope *schema.Envelope) Effects {
	effects := Effects{Changed: map[string]bool{}}
	switch body := envelope.Body.(type) {
	case *schema.Envelope_Ping:
		d.send(&effects, envelope.From, &schema.Envelope{Body: &schema.Envelope_Pong{Pong: &schema.Pong{Sequence: body.Ping.Sequence}}})
	case *schema.Envelope_Pong:
		p := d.peers[envelope.From]
		if p == nil {
			break
		}
		p.heardAt = now
		if p.suspected {
			p.suspected = false
			effects.Changed[envelope.From] = false
		}
	}
	return effects
}

func (d *Detector) send(effects *Effects, to string, envelope *schema.Envelope) {
	envelope.From = d.self
	effects.Send = append(effects.Send, statemachine.Send{To: to, Envelope: envelope})
}

// SuspicionConfirmed reports whether a node counts as dead: a majority of its watchers,
// among the nodes known, suspects it.
func SuspicionConfirmed(node string, nodes []string, suspects func(watcher string) bool) bool {
	watchers := WatchersOf(node, nodes)
	n := 0
	for _, watcher := range watchers {
		if suspects(watcher) {
			n++
		}
	}
	return n > len(watchers)/2
}
