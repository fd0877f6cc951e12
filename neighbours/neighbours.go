// Package neighbours has each node watch the few others that rendezvous hashing
// names for it, and tells silence only after it was confirmed (design 4).
package neighbours

import (
	"maps"
	"slices"

	"stoneford/schema"
	"stoneford/step"
)

// Watchers is how many nodes watch each node.
const Watchers = 3

const (
	pingEvery    = 250_000
	suspectAfter = 1_000_000
)

// Effects of a step. Suspected has the neighbours whose standing changed.
type Effects struct {
	Send    []step.Send
	Changed map[string]bool // neighbour to suspected
}

type watched struct {
	heard     int64
	suspected bool
}

// Watch is one node's watch over its neighbours.
type Watch struct {
	self    string
	watched map[string]*watched
	number  uint64
	next    int64
}

// New makes a watch over nobody.
func New(self string) *Watch { return &Watch{self: self, watched: map[string]*watched{}} }

// Of names who watches a node: the first few of all others, ranked by the hash
// of the pair. Every node that knows the same others names the same ones.
func Of(node string, all []string) []string {
	os := step.Rank(node, slices.DeleteFunc(slices.Clone(all), func(o string) bool { return o == node }))
	return os[:min(Watchers, len(os))]
}

// Nodes brings all nodes this one knows of.
func (w *Watch) Nodes(now int64, all []string) {
	m := map[string]*watched{}
	for _, n := range all {
		if n != w.self && slices.Contains(Of(n, all), w.self) {
			if m[n] = w.watched[n]; m[n] == nil {
				m[n] = &watched{heard: now}
			}
		}
	}
	w.watched = m
}

// Peers are the nodes this one watches.
func (w *Watch) Peers() []string { return slices.Sorted(maps.Keys(w.watched)) }

// Tick pings and looks for silence.
func (w *Watch) Tick(now int64) Effects {
	fx := Effects{Changed: map[string]bool{}}
	if now < w.next {
		return fx
	}
	if now-w.next > suspectAfter && w.next > 0 {
		// This node itself stood still: the silence may be its own.
		for _, v := range w.watched {
			v.heard = now
		}
	}
	w.next = now + pingEvery
	w.number++
	for _, n := range w.Peers() {
		v := w.watched[n]
		fx.Send = append(fx.Send, step.Send{To: n, Env: &schema.Envelope{From: w.self, Body: &schema.Envelope_Ping{Ping: &schema.Ping{Number: w.number}}}})
		if !v.suspected && now-v.heard > suspectAfter {
			v.suspected = true
			fx.Changed[n] = true
		}
	}
	return fx
}

// Step takes a ping or a pong.
func (w *Watch) Step(now int64, e *schema.Envelope) Effects {
	fx := Effects{Changed: map[string]bool{}}
	switch b := e.Body.(type) {
	case *schema.Envelope_Ping:
		fx.Send = append(fx.Send, step.Send{To: e.From, Env: &schema.Envelope{From: w.self, Body: &schema.Envelope_Pong{Pong: &schema.Pong{Number: b.Ping.Number}}}})
	case *schema.Envelope_Pong:
		if v := w.watched[e.From]; v != nil {
			v.heard = now
			if v.suspected {
				v.suspected = false
				fx.Changed[e.From] = false
			}
		}
	}
	return fx
}

// Confirmed says whether a node counts as dead: a majority of those who watch
// it, of the nodes known, suspect it.
func Confirmed(node string, all []string, suspects func(watcher string) bool) bool {
	ws := Of(node, all)
	n := 0
	for _, o := range ws {
		if suspects(o) {
			n++
		}
	}
	return n > len(ws)/2
}
