package relaytree

import (
	"maps"
	"slices"
	"time"

	"stoneford/schema"
	"stoneford/statemachine"
)

const (
	// parentDigestInterval is the interval at which a child sends its parent a digest. It
	// bounds the delay that one lost update causes at each level of the tree.
	parentDigestInterval = 400 * time.Millisecond
	// rootDigestInterval is the interval at which a node sends a digest to one of the
	// roots, in turn. It bounds the delay that a failed relay causes, and the load on the
	// roots.
	rootDigestInterval = time.Second
	// subscriptionTimeout is the time after a child's last digest at which its
	// subscription ends: a few digest intervals.
	subscriptionTimeout = 1500 * time.Millisecond
	// parentTimeout is the time without a message from the parent after which another
	// parent is chosen: a few digest intervals.
	parentTimeout = 1200 * time.Millisecond
	// parentRetryDelay is the time for which an unresponsive parent is avoided.
	parentRetryDelay = 5 * time.Second
)

// Effects are the actions that the caller has to carry out after a step.
type Effects struct {
	Send    []statemachine.Send
	Updated []*schema.Register // registers that got a newer revision
}

// Relay is one node of the tree.
type Relay struct {
	self   string
	roots  []string // addresses of the control processes
	isRoot bool
	live   []string // live nodes that are not roots, by rank

	values      map[string]*schema.Value // newest value of each key
	subscribers map[string]int64         // end of each child's subscription

	parent         string
	parentHeardAt  int64
	avoidedParents map[string]int64 // time until which each parent is avoided

	nextParentDigestAt int64
	nextRootDigestAt   int64
	rootIndex          int // index of the last root that was sent a digest
}

// New returns a relay without values; roots are the addresses of the control processes.
func New(self string, roots []string) *Relay {
	return &Relay{
		self:           self,
		roots:          slices.Clone(roots),
		isRoot:         slices.Contains(roots, self),
		values:         map[string]*schema.Value{},
		subscribers:    map[string]int64{},
		avoidedParents: map[string]int64{},
		rootIndex:      int(statemachine.Hash(self) % uint64(max(1, len(roots)))),
	}
}

// Value returns the newest value of a key, nil if none is known.
func (r *Relay) Value(key string) *schema.Value { return r.values[key] }

// Keys returns the sorted keys of all known values.
func (r *Relay) Keys() []string { return slices.Sorted(maps.Keys(r.values)) }

// Parent returns the address of the process that this node subscribes to, empty for none.
func (r *Relay) Parent() string { return r.parent }

// SubscriberCount returns the number of children that subscribe to this node.
func (r *Relay) SubscriberCount() int { return len(r.subscribers) }

// Learn records committed registers and forwards the registers that are newer here to the
// subscribers, except to from, the sender of the registers. hops is the number of relays
// that the registers have passed.
func (r *Relay) Learn(now int64, registers []*schema.Register, hops uint32, from string) Effects {
	var effects Effects
	for _, register := range registers {
		if register.Value.GetRevision() > r.values[register.Key].GetRevision() {
			r.values[register.Key] = register.Value
			effects.Updated = append(effects.Updated, register)
		}
	}
	if len(effects.Updated) == 0 {
		return effects
	}
	for _, subscriber := range slices.Sorted(maps.Keys(r.subscribers)) {
		if subscriber != from && r.subscribers[subscriber] > now {
			r.send(&effects, subscriber, updateEnvelope(&schema.RegisterUpdate{Registers: effects.Updated, Hops: hops + 1}))
		}
	}
	return effects
}

// Step handles an update or a digest from another node; other messages are ignored.
func (r *Relay) Step(now int64, envelope *schema.Envelope) Effects {
	switch body := envelope.Body.(type) {
	case *schema.Envelope_RegisterUpdate:
		if envelope.From == r.parent {
			r.parentHeardAt = now
		}
		return r.Learn(now, body.RegisterUpdate.Registers, body.RegisterUpdate.Hops, envelope.From)
	case *schema.Envelope_Digest:
		return r.handleDigest(now, envelope.From, body.Digest)
	}
	return Effects{}
}

// handleDigest replies with the registers that are newer here than at the sender. The
// reply is sent even if there are none, because it shows that this node is alive.
func (r *Relay) handleDigest(now int64, from string, digest *schema.Digest) Effects {
	var effects Effects
	if digest.Subscribe {
		r.subscribers[from] = now + subscriptionTimeout.Microseconds()
	}
	known := map[string]uint64{}
	for _, entry := range digest.Revisions {
		known[entry.Key] = entry.Revision
	}
	update := &schema.RegisterUpdate{}
	for _, key := range r.Keys() {
		if r.values[key].Revision > known[key] {
			update.Registers = append(update.Registers, &schema.Register{Key: key, Value: r.values[key]})
		}
	}
	r.send(&effects, from, updateEnvelope(update))
	return effects
}

// Tick sends the digests that are due: a root sends to the other roots, any other node
// sends to its parent and to the roots in turn.
func (r *Relay) Tick(now int64) Effects {
	var effects Effects
	ended := func(_ string, until int64) bool { return until <= now }
	maps.DeleteFunc(r.subscribers, ended)
	maps.DeleteFunc(r.avoidedParents, ended)
	if r.isRoot {
		r.tickRoot(&effects, now)
		return effects
	}
	r.tickParent(&effects, now)
	if now >= r.nextRootDigestAt {
		r.nextRootDigestAt = now + rootDigestInterval.Microseconds()
		r.rootIndex++
		if root := r.roots[r.rootIndex%len(r.roots)]; root != r.parent {
			r.send(&effects, root, r.digestEnvelope(false))
		}
	}
	return effects
}

// tickRoot sends digests to the other roots if they are due.
func (r *Relay) tickRoot(effects *Effects, now int64) {
	if now < r.nextRootDigestAt {
		return
	}
	r.nextRootDigestAt = now + rootDigestInterval.Microseconds()
	for _, root := range r.roots {
		if root != r.self {
			r.send(effects, root, r.digestEnvelope(true))
		}
	}
}

// tickParent chooses the parent and sends it a digest if one is due.
func (r *Relay) tickParent(effects *Effects, now int64) {
	if r.parent != "" && now-r.parentHeardAt > parentTimeout.Microseconds() {
		r.avoidedParents[r.parent] = now + parentRetryDelay.Microseconds()
	}
	if parent := r.chooseParent(); parent != r.parent {
		r.parent, r.parentHeardAt, r.nextParentDigestAt = parent, now, 0
	}
	if now >= r.nextParentDigestAt && r.parent != "" {
		r.nextParentDigestAt = now + parentDigestInterval.Microseconds()
		r.send(effects, r.parent, r.digestEnvelope(true))
	}
}

// digestEnvelope returns an envelope with a digest of all known values.
func (r *Relay) digestEnvelope(subscribe bool) *schema.Envelope {
	digest := &schema.Digest{Subscribe: subscribe}
	for _, key := range r.Keys() {
		digest.Revisions = append(digest.Revisions, &schema.KeyRevision{Key: key, Revision: r.values[key].Revision})
	}
	return &schema.Envelope{Body: &schema.Envelope_Digest{Digest: digest}}
}

func updateEnvelope(update *schema.RegisterUpdate) *schema.Envelope {
	return &schema.Envelope{Body: &schema.Envelope_RegisterUpdate{RegisterUpdate: update}}
}

func (r *Relay) send(effects *Effects, to string, envelope *schema.Envelope) {
	envelope.From = r.self
	effects.Send = append(effects.Send, statemachine.Send{To: to, Envelope: envelope})
}
