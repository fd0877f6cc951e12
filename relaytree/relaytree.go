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
	"stoneford/statemachine"
)

const (
	fanOut               = 3
	parentDigestInterval = 400_000   // digest to the parent
	rootDigestInterval   = 1_000_000 // digest to a control process, in turn
	subscriptionTimeout  = 1_500_000 // a follower that sent no digest so long is dropped
	parentTimeout        = 1_200_000 // a parent that sent nothing so long is passed over
	parentRetryDelay     = 5_000_000 // and tried again after this
)

// Effects of a step. New has the registers that became newer here.
type Effects struct {
	Send    []statemachine.Send
	Updated []*schema.Register
}

// Relay is one node's part of the tree.
type Relay struct {
	self               string
	roots              []string
	isRoot             bool
	live               []string // live nodes that are not roots
	values             map[string]*schema.Value
	subscribers        map[string]int64 // until
	parent             string
	parentHeardAt      int64
	avoidedParents     map[string]int64 // parents passed over, until
	nextParentDigestAt int64
	nextRootDigestAt   int64
	rootIndex          int
}

// New makes a relay; roots are the control processes.
func New(self string, roots []string) *Relay {
	return &Relay{self: self, roots: slices.Clone(roots), isRoot: slices.Contains(roots, self), values: map[string]*schema.Value{},
		subscribers: map[string]int64{}, avoidedParents: map[string]int64{}, rootIndex: int(statemachine.Hash(self) % uint64(max(1, len(roots))))}
}

// SetLiveNodes brings the live nodes as this node knows them.
func (r *Relay) SetLiveNodes(ns []string) {
	r.live = slices.DeleteFunc(slices.Clone(ns), func(n string) bool { return slices.Contains(r.roots, n) })
	if !r.isRoot && !slices.Contains(r.live, r.self) {
		r.live = append(r.live, r.self)
	}
	r.live = statemachine.Rank("relay", r.live)
}

// Value returns what is held of a key.
func (r *Relay) Value(k string) *schema.Value { return r.values[k] }

// Keys returns all keys held, in order.
func (r *Relay) Keys() []string { return slices.Sorted(maps.Keys(r.values)) }

// Parent is whom this node follows now.
func (r *Relay) Parent() string { return r.parent }

// SubscriberCount is how many follow this node.
func (r *Relay) SubscriberCount() int { return len(r.subscribers) }

// Learn takes agreed registers and passes what is newer on at once. A revision
// never slips back.
func (r *Relay) Learn(now int64, gs []*schema.Register, hops uint32, from string) Effects {
	var effects Effects
	for _, g := range gs {
		if g.Value.GetRevision() > r.values[g.Key].GetRevision() {
			r.values[g.Key] = g.Value
			effects.Updated = append(effects.Updated, g)
		}
	}
	if len(effects.Updated) == 0 {
		return effects
	}
	for _, f := range slices.Sorted(maps.Keys(r.subscribers)) {
		if f != from && r.subscribers[f] > now {
			r.send(&effects, f, &schema.Envelope{Body: &schema.Envelope_RegisterUpdate{RegisterUpdate: &schema.RegisterUpdate{Registers: effects.Updated, Hops: hops + 1}}})
		}
	}
	return effects
}

// Step takes news or a digest.
func (r *Relay) Step(now int64, e *schema.Envelope) Effects {
	switch b := e.Body.(type) {
	case *schema.Envelope_RegisterUpdate:
		if e.From == r.parent {
			r.parentHeardAt = now
		}
		return r.Learn(now, b.RegisterUpdate.Registers, b.RegisterUpdate.Hops, e.From)
	case *schema.Envelope_Digest:
		return r.handleDigest(now, e.From, b.Digest)
	}
	return Effects{}
}

func (r *Relay) handleDigest(now int64, from string, d *schema.Digest) Effects {
	var effects Effects
	if d.Subscribe {
		r.subscribers[from] = now + subscriptionTimeout
	}
	has := map[string]uint64{}
	for _, h := range d.Revisions {
		has[h.Key] = h.Revision
	}
	n := &schema.RegisterUpdate{}
	for _, k := range r.Keys() {
		if r.values[k].Revision > has[k] {
			n.Registers = append(n.Registers, &schema.Register{Key: k, Value: r.values[k]})
		}
	}
	r.send(&effects, from, &schema.Envelope{Body: &schema.Envelope_RegisterUpdate{RegisterUpdate: n}})
	return effects
}

// Tick asks the parent, and a root in turn, for what was missed.
func (r *Relay) Tick(now int64) Effects {
	var effects Effects
	maps.DeleteFunc(r.subscribers, func(_ string, u int64) bool { return u <= now })
	maps.DeleteFunc(r.avoidedParents, func(_ string, u int64) bool { return u <= now })
	if r.isRoot {
		if now >= r.nextRootDigestAt {
			r.nextRootDigestAt = now + rootDigestInterval
			for _, o := range r.roots {
				if o != r.self {
					r.send(&effects, o, r.digestEnvelope(true))
				}
			}
		}
		return effects
	}
	if r.parent != "" && now-r.parentHeardAt > parentTimeout {
		r.avoidedParents[r.parent] = now + parentRetryDelay
	}
	if p := r.chooseParent(); p != r.parent {
		r.parent, r.parentHeardAt, r.nextParentDigestAt = p, now, 0
	}
	if now >= r.nextParentDigestAt && r.parent != "" {
		r.nextParentDigestAt = now + parentDigestInterval
		r.send(&effects, r.parent, r.digestEnvelope(true))
	}
	if now >= r.nextRootDigestAt {
		r.nextRootDigestAt = now + rootDigestInterval
		r.rootIndex++
		if o := r.roots[r.rootIndex%len(r.roots)]; o != r.parent {
			r.send(&effects, o, r.digestEnvelope(false))
		}
	}
	return effects
}

func (r *Relay) digestEnvelope(follow bool) *schema.Envelope {
	d := &schema.Digest{Subscribe: follow}
	for _, k := range r.Keys() {
		d.Revisions = append(d.Revisions, &schema.KeyRevision{Key: k, Revision: r.values[k].Revision})
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
		if r.avoidedParents[r.live[i]] == 0 {
			return r.live[i]
		}
	}
	at := max(i, 0)
	for j := range r.roots {
		if o := r.roots[(at+j)%len(r.roots)]; r.avoidedParents[o] == 0 {
			return o
		}
	}
	return r.roots[at%len(r.roots)]
}

func (r *Relay) send(effects *Effects, to string, e *schema.Envelope) {
	e.From = r.self
	effects.Send = append(effects.Send, statemachine.Send{To: to, Envelope: e})
}
