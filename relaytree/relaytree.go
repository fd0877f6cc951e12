// Package relaytree carries news of agreed registers from the control processes
// down a tree of relays that the nodes form among themselves (design 5).
//
// Every node ranks the live nodes by one hash and reads its parent off its
// rank; no one hands the tree out. Followers send their parent a digest now
// and then, and a control process now and then, so that what a broken relay
// did not pass is asked for.
package relaytree

import (
	"maps"
	"slices"

	"stoneford/schema"
	"stoneford/step"
)

const (
	fanOut      = 3
	askEvery    = 400_000   // digest to the parent
	rootEvery   = 1_000_000 // digest to a control process, in turn
	followTime  = 1_500_000 // a follower that sent no digest so long is dropped
	parentTime  = 1_200_000 // a parent that sent nothing so long is passed over
	forgiveTime = 5_000_000 // and tried again after this
)

// Effects of a step. New has the registers that became newer here.
type Effects struct {
	Send []step.Send
	New  []*schema.Register
}

// Relay is one node's part of the tree.
type Relay struct {
	self      string
	roots     []string
	isRoot    bool
	live      []string // live nodes that are not roots
	held      map[string]*schema.Value
	followers map[string]int64 // until
	parent    string
	heard     int64
	passed    map[string]int64 // parents passed over, until
	nextAsk   int64
	nextRoot  int64
	turn      int
}

// New makes a relay; roots are the control processes.
func New(self string, roots []string) *Relay {
	return &Relay{self: self, roots: slices.Clone(roots), isRoot: slices.Contains(roots, self), held: map[string]*schema.Value{},
		followers: map[string]int64{}, passed: map[string]int64{}, turn: int(step.Hash(self) % uint64(max(1, len(roots))))}
}

// Live brings the live nodes as this node knows them.
func (r *Relay) Live(ns []string) {
	r.live = slices.DeleteFunc(slices.Clone(ns), func(n string) bool { return slices.Contains(r.roots, n) })
	if !r.isRoot && !slices.Contains(r.live, r.self) {
		r.live = append(r.live, r.self)
	}
	r.live = step.Rank("relay", r.live)
}

// Held returns what is held of a key.
func (r *Relay) Held(k string) *schema.Value { return r.held[k] }

// Keys returns all keys held, in order.
func (r *Relay) Keys() []string { return slices.Sorted(maps.Keys(r.held)) }

// Parent is whom this node follows now.
func (r *Relay) Parent() string { return r.parent }

// Followers is how many follow this node.
func (r *Relay) Followers() int { return len(r.followers) }

// Learn takes agreed registers and passes what is newer on at once. A revision
// never slips back.
func (r *Relay) Learn(now int64, gs []*schema.Register, hops uint32, from string) Effects {
	var fx Effects
	for _, g := range gs {
		if g.Value.GetRevision() > r.held[g.Key].GetRevision() {
			r.held[g.Key] = g.Value
			fx.New = append(fx.New, g)
		}
	}
	if len(fx.New) == 0 {
		return fx
	}
	for _, f := range slices.Sorted(maps.Keys(r.followers)) {
		if f != from && r.followers[f] > now {
			r.send(&fx, f, &schema.Envelope{Body: &schema.Envelope_News{News: &schema.News{Registers: fx.New, Hops: hops + 1}}})
		}
	}
	return fx
}

// Step takes news or a digest.
func (r *Relay) Step(now int64, e *schema.Envelope) Effects {
	switch b := e.Body.(type) {
	case *schema.Envelope_News:
		if e.From == r.parent {
			r.heard = now
		}
		return r.Learn(now, b.News.Registers, b.News.Hops, e.From)
	case *schema.Envelope_Digest:
		return r.digest(now, e.From, b.Digest)
	}
	return Effects{}
}

func (r *Relay) digest(now int64, from string, d *schema.Digest) Effects {
	var fx Effects
	if d.Follow {
		r.followers[from] = now + followTime
	}
	has := map[string]uint64{}
	for _, h := range d.Held {
		has[h.Key] = h.Revision
	}
	n := &schema.News{}
	for _, k := range r.Keys() {
		if r.held[k].Revision > has[k] {
			n.Registers = append(n.Registers, &schema.Register{Key: k, Value: r.held[k]})
		}
	}
	r.send(&fx, from, &schema.Envelope{Body: &schema.Envelope_News{News: n}})
	return fx
}

// Tick asks the parent, and a root in turn, for what was missed.
func (r *Relay) Tick(now int64) Effects {
	var fx Effects
	maps.DeleteFunc(r.followers, func(_ string, u int64) bool { return u <= now })
	maps.DeleteFunc(r.passed, func(_ string, u int64) bool { return u <= now })
	if r.isRoot {
		if now >= r.nextRoot {
			r.nextRoot = now + rootEvery
			for _, o := range r.roots {
				if o != r.self {
					r.send(&fx, o, r.ask(true))
				}
			}
		}
		return fx
	}
	if r.parent != "" && now-r.heard > parentTime {
		r.passed[r.parent] = now + forgiveTime
	}
	if p := r.chooseParent(); p != r.parent {
		r.parent, r.heard, r.nextAsk = p, now, 0
	}
	if now >= r.nextAsk && r.parent != "" {
		r.nextAsk = now + askEvery
		r.send(&fx, r.parent, r.ask(true))
	}
	if now >= r.nextRoot {
		r.nextRoot = now + rootEvery
		r.turn++
		if o := r.roots[r.turn%len(r.roots)]; o != r.parent {
			r.send(&fx, o, r.ask(false))
		}
	}
	return fx
}

func (r *Relay) ask(follow bool) *schema.Envelope {
	d := &schema.Digest{Follow: follow}
	for _, k := range r.Keys() {
		d.Held = append(d.Held, &schema.Held{Key: k, Revision: r.held[k].Revision})
	}
	return &schema.Envelope{Body: &schema.Envelope_Digest{Digest: d}}
}

// chooseParent reads the parent off this node's rank: the first ranks follow
// the roots, the others a node of a lesser rank, so no view of the live nodes
// can hold a ring. One that is passed over is replaced by the one above it.
func (r *Relay) chooseParent() string {
	i := slices.Index(r.live, r.self)
	for i >= len(r.roots)*fanOut {
		i = (i - len(r.roots)*fanOut) / fanOut
		if r.passed[r.live[i]] == 0 {
			return r.live[i]
		}
	}
	at := max(i, 0)
	for j := range r.roots {
		if o := r.roots[(at+j)%len(r.roots)]; r.passed[o] == 0 {
			return o
		}
	}
	return r.roots[at%len(r.roots)]
}

func (r *Relay) send(fx *Effects, to string, e *schema.Envelope) {
	e.From = r.self
	fx.Send = append(fx.Send, step.Send{To: to, Env: e})
}
