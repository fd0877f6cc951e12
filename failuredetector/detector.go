package failuredetector

import (
	"maps"
	"slices"
	"time"

	"stoneford/schema"
	"stoneford/statemachine"
)

// WatchersPerNode is the number of nodes that probe each node. With three, a single
// watcher that is wrong or unavailable is outvoted.
const WatchersPerNode = 3

const (
	// probeInterval is the interval at which each peer is pinged.
	probeInterval = 250 * time.Millisecond
	// suspicionTimeout is the time without an answer after which a peer is suspected. It
	// spans several probes. A longer timeout tolerates more loss and longer pauses; a
	// shorter one detects failures sooner.
	suspicionTimeout = time.Second
)

// Effects are the actions that the caller has to carry out after a step.
type Effects struct {
	Send    []statemachine.Send
	Changed map[string]bool // new suspicion state of each peer whose state changed
}

// peer is the state of a probed node.
type peer struct {
	heardAt   int64 // time of the last pong
	suspected bool
}

// Detector probes the peers of one node.
type Detector struct {
	self        string
	peers       map[string]*peer
	sequence    uint64 // sequence number of the last ping
	nextProbeAt int64
}

// New returns a detector without peers.
func New(self string) *Detector { return &Detector{self: self, peers: map[string]*peer{}} }

// WatchersOf returns the nodes that probe a node: the first WatchersPerNode of all other
// nodes, ranked by the hash of the pair. Every process that knows the same nodes gets the
// same watchers.
func WatchersOf(node string, nodes []string) []string {
	others := slices.DeleteFunc(slices.Clone(nodes), func(other string) bool { return other == node })
	ranked := statemachine.Rank(node, others)
	return ranked[:min(WatchersPerNode, len(ranked))]
}

// SetNodes sets all known nodes, from which the detector derives its peers. Peers that
// remain keep their state.
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

// Peers returns the sorted addresses of the nodes that this node probes.
func (d *Detector) Peers() []string { return slices.Sorted(maps.Keys(d.peers)) }

// Tick pings the peers, if it is time, and suspects each peer that has not answered for
// suspicionTimeout.
func (d *Detector) Tick(now int64) Effects {
	effects := Effects{Changed: map[string]bool{}}
	if now < d.nextProbeAt {
		return effects
	}
	if d.nextProbeAt > 0 && now-d.nextProbeAt > suspicionTimeout.Microseconds() {
		// This process itself was paused, and the peers may have answered meanwhile.
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

// Step answers a ping, or records that the sender of a pong is alive; other messages are
// ignored.
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

// SuspicionConfirmed reports whether a node counts as dead, that is, whether a majority of
// its watchers among the given nodes suspects it.
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
