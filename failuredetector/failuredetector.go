// Package failuredetector has each node watch the few others that rendezvous hashing
// names for it, and tells silence only after it was confirmed (design 4).
package failuredetector

import (
	"maps"
	"slices"

	"stoneford/schema"
	"stoneford/statemachine"
)

// WatchersPerNode is how many nodes watch each node.
const WatchersPerNode = 3

const (
	probeInterval    = 250_000
	suspicionTimeout = 1_000_000
)

// Effects of a step. Suspected has the neighbours whose standing changed.
type Effects struct {
	Send    []statemachine.Send
	Changed map[string]bool // neighbour to suspected
}

type peer struct {
	heardAt   int64
	suspected bool
}

// Detector is one node's watch over its neighbours.
type Detector struct {
	self        string
	peers       map[string]*peer
	sequence    uint64
	nextProbeAt int64
}

// New makes a watch over nobody.
func New(self string) *Detector { return &Detector{self: self, peers: map[string]*peer{}} }

// WatchersOf names who watches a node: the first few of all others, ranked by the hash
// of the pair. Every node that knows the same others names the same ones.
func WatchersOf(node string, all []string) []string {
	os := statemachine.Rank(node, slices.DeleteFunc(slices.Clone(all), func(o string) bool { return o == node }))
	return os[:min(WatchersPerNode, len(os))]
}

// SetNodes brings all nodes this one knows of.
func (w *Detector) SetNodes(now int64, all []string) {
	m := map[string]*peer{}
	for _, n := range all {
		if n != w.self && slices.Contains(WatchersOf(n, all), w.self) {
			if m[n] = w.peers[n]; m[n] == nil {
				m[n] = &peer{heardAt: now}
			}
		}
	}
	w.peers = m
}

// Peers are the nodes this one watches.
func (w *Detector) Peers() []string { return slices.Sorted(maps.Keys(w.peers)) }

// Tick pings and looks for silence.
func (w *Detector) Tick(now int64) Effects {
	effects := Effects{Changed: map[string]bool{}}
	if now < w.nextProbeAt {
		return effects
	}
	if now-w.nextProbeAt > suspicionTimeout && w.nextProbeAt > 0 {
		// This node itself stood still: the silence may be its own.
		for _, v := range w.peers {
			v.heardAt = now
		}
	}
	w.nextProbeAt = now + probeInterval
	w.sequence++
	for _, n := range w.Peers() {
		v := w.peers[n]
		effects.Send = append(effects.Send, statemachine.Send{To: n, Envelope: &schema.Envelope{From: w.self, Body: &schema.Envelope_Ping{Ping: &schema.Ping{Sequence: w.sequence}}}})
		if !v.suspected && now-v.heardAt > suspicionTimeout {
			v.suspected = true
			effects.Changed[n] = true
		}
	}
	return effects
}

// Step takes a ping or a pong.
func (w *Detector) Step(now int64, e *schema.Envelope) Effects {
	effects := Effects{Changed: map[string]bool{}}
	switch b := e.Body.(type) {
	case *schema.Envelope_Ping:
		effects.Send = append(effects.Send, statemachine.Send{To: e.From, Envelope: &schema.Envelope{From: w.self, Body: &schema.Envelope_Pong{Pong: &schema.Pong{Sequence: b.Ping.Sequence}}}})
	case *schema.Envelope_Pong:
		if v := w.peers[e.From]; v != nil {
			v.heardAt = now
			if v.suspected {
				v.suspected = false
				effects.Changed[e.From] = false
			}
		}
	}
	return effects
}

// SuspicionConfirmed says whether a node counts as dead: a majority of those who watch
// it, of the nodes known, suspect it.
func SuspicionConfirmed(node string, all []string, suspects func(watcher string) bool) bool {
	ws := WatchersOf(node, all)
	n := 0
	for _, o := range ws {
		if suspects(o) {
			n++
		}
	}
	return n > len(ws)/2
}
