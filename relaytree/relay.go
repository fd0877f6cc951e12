package relaytree

import (
	"maps"
	"slices"
	"time"

	"stoneford/schema"
	"stoneford/statemachine"
)

const (
	// parentDigestInterval is how often a child sends its parent a digest. It bounds what
	// one lost update costs at each level of the tree.
	parentDigestInterval = 400 * time.Millisecond
	// rootDigestInterval is how often a node sends a root a digest, the roots in turn. It
	// bounds what a failed relay costs, and how much the roots are asked.
	rootDigestInterval = time.Second
	// subscriptionTimeout is how long a child that sends no digest keeps being sent
	// updates: a few digest intervals.
	subscriptionTimeout = 1500 * time.Millisecond
	// parentTimeout is how long a parent may send nothing before another one is chosen:
	// some digest intervals.
	parentTimeout = 1200 * time.Millisecond
	// parentRetryDelay is how long such a parent is avoided before it is tried again.
	parentRetryDelay = 5 * time.Second
)

// Effects is what the caller has to carry out after a step.
type Effects struct {
	Send    []statemachine.Send
	Updated []*schema.Register // registers that became newer here
}

// Relay is one node's part in the tree.
type Relay struct {
	self   string
	roots  []string // the control processes
	isRoot bool
	live   []string // live nodes that are not roots, in order of their rank

	values      map[string]*schema.Value // newest value of each key
	subscribers map[string]int64         // children, and until when they are sent updates

	parent         string
	parentHeardAt  int64
	avoidedParents map[string]int64 // until when each is avoided

	nextParentDigestAt int64
	nextRootDigestAt   int64
	rootIndex          int // of the root that was sent a digest last
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

// Keys returns the keys of which a value is known, sorted.
func (r *Relay) Keys() []string { return slices.Sorted(maps.Keys(r.values)) }

// Parent returns the process that this node subscribes to, empty for none.
func (r *Relay) Parent() string { return r.parent }

// SubscriberCount returns how many children subscribe to this node.
func (r *Relay) SubscriberCount() int { return len(r.subscribers) }

// Learn takes committed registers and passes what is newer on to the subscribers at
// once, but not to from, which sent them; hops is how many relays they passed.
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

// Step handles an update or a digest of another node; other messages are ignored.
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

// handleDigest replies with what the sender lacks, which may be nothing: the reply shows
// that this node is alive.
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

// Tick sends the digests that are due: a root's to the other roots, a node's to its
// parent and to a root in turn.
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

// tickRoot sends the other roots digests.
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

// tickParent chooses the parent and sends it a digest.
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

// digestEnvelope is a digest of all values here.
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
