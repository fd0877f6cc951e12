package fenced

import (
	"time"

	"stoneford/internal/ports"
	"stoneford/schema"
)

// What a node acknowledged is known only while the node runs. The position of the primary,
// observed after the node's last lease, takes its place: it is at least as new as every
// commit that was acknowledged before. Observations are kept for this purpose, because the
// primary no longer answers when they are needed (design 14.7).

const (
	// primaryPositionInterval is the time between two observations of the primary's
	// position while no node's reports are lost. Nodes may be lost that only other voters
	// know of.
	primaryPositionInterval = 5 * time.Second
	// primaryPositionGap is the minimum time between two positions that are kept. The
	// newest one is always kept.
	primaryPositionGap = time.Second
	// maxPrimaryPositions bounds the number of positions that are kept.
	maxPrimaryPositions = 16
)

// primaryPosition is a position of a primary that was observed by a call.
type primaryPosition struct {
	sentAt   int64 // when the call was sent: every earlier commit is at or before the position
	received ports.Position
}

// primaryPositions holds positions of the primary of one term, oldest first.
type primaryPositions struct {
	term     uint64
	observed []primaryPosition
}

// record records the status of a primary in the reply to a call.
func (p *primaryPositions) record(sentAt int64, status ports.DatabaseStatus) {
	if !status.Primary || status.Term < p.term {
		return
	}
	if status.Term > p.term {
		p.term, p.observed = status.Term, nil
	}
	current := primaryPosition{sentAt: sentAt, received: status.Received}
	n := len(p.observed)
	switch {
	case n > 0 && sentAt <= p.observed[n-1].sentAt:
		return
	case n > 1 && elapsed(p.observed[n-2].sentAt, sentAt) < primaryPositionGap:
		p.observed[n-1] = current
		return
	}
	p.observed = append(p.observed, current)
	if len(p.observed) > maxPrimaryPositions {
		p.observed = p.observed[1:]
	}
}

// firstSince returns the oldest position of a term that was observed at a time or later.
func (p *primaryPositions) firstSince(term uint64, since int64) (position ports.Position, found bool) {
	if term != p.term {
		return ports.Position{}, false
	}
	for _, o := range p.observed {
		if o.sentAt >= since {
			return o.received, true
		}
	}
	return ports.Position{}, false
}

// newestAt returns when the newest position of a term was observed, 0 if none was.
func (p *primaryPositions) newestAt(term uint64) int64 {
	if term != p.term || len(p.observed) == 0 {
		return 0
	}
	return p.observed[len(p.observed)-1].sentAt
}

// ObservedPrimaryPosition returns the newest position of a primary that this process itself
// observed, for the other control processes, nil if there is none. The owner of the role
// may end together with the primary.
func (g *Group) ObservedPrimaryPosition(now int64) *schema.PrimaryPosition {
	o := g.observedPrimary
	if o.sentAt == 0 || g.observedPrimaryTerm != g.positions.term {
		return nil
	}
	return &schema.PrimaryPosition{
		PrimaryTerm: g.observedPrimaryTerm, Term: o.received.Term, Number: o.received.Number, ObservedUs: now - o.sentAt,
	}
}

// HandlePrimaryPosition records a position that another control process observed. That
// process's clock may be a tenth slower.
func (g *Group) HandlePrimaryPosition(now int64, position *schema.PrimaryPosition) {
	received := ports.Position{Term: position.Term, Number: position.Number}
	sentAt := now - position.ObservedUs*11/10
	g.positions.record(sentAt, ports.DatabaseStatus{Primary: true, Term: position.PrimaryTerm, Received: received})
}

// primaryObserved records the status of a database in the reply to a call of this process.
func (g *Group) primaryObserved(sentAt int64, status ports.DatabaseStatus) {
	g.positions.record(sentAt, status)
	if status.Primary && status.Term >= g.observedPrimaryTerm && elapsed(g.observedPrimary.sentAt, sentAt) >= primaryPositionGap {
		g.observedPrimaryTerm, g.observedPrimary = status.Term, primaryPosition{sentAt: sentAt, received: status.Received}
	}
}

// observePrimaryPosition polls the primary after nodes' reports were lost, and otherwise at
// every primaryPositionInterval.
func (g *Group) observePrimaryPosition(now int64, input Input, primary ports.Instance) {
	if input.RequiredReplicaAcks == 0 {
		return // commits may be lost with the primary
	}
	dueAt := input.ReportsLostUntilUs
	if newestAt := g.positions.newestAt(input.State.Term); newestAt > 0 && newestAt >= dueAt {
		dueAt = after(newestAt, primaryPositionInterval)
	}
	if now < dueAt {
		g.wakeAt(dueAt)
		return
	}
	g.poll(now, primary, replicaPollInterval)
}

// termStart records how long ago the group's term may have begun.
type termStart struct {
	term uint64
	// notBefore is a time at which no node had acknowledged a commit of the term or a later
	// one, 0 if none is known.
	notBefore int64
	// changingAt is when a majority last confirmed that the term was being replaced.
	changingAt int64
}

// track records the committed state.
func (t *termStart) track(now int64, input Input) {
	if term := input.State.GetTerm(); term != t.term {
		t.term, t.notBefore, t.changingAt = term, t.changingAt, 0
	}
	if input.phase() == ports.PhasePromoting {
		t.changingAt = min(input.Role.Lease.ConfirmedAtUs, now)
	}
}

// reportsCoverTerm reports whether the nodes' reports are complete since before the term
// began, and a replica has commits of the term. Its log then began as that of the term's
// primary, which had every commit acknowledged earlier.
func (g *Group) reportsCoverTerm(input Input, received ports.Position) bool {
	beganAfter := g.termStart.notBefore
	return beganAfter > 0 && input.AcknowledgedSinceUs <= beganAfter && received.Term == input.State.Term
}

// hasAllAcknowledged reports whether a replica's received position is known to include
// every acknowledged commit: those that the nodes reported, and those of nodes whose
// reports are lost.
func (g *Group) hasAllAcknowledged(input Input, received ports.Position) bool {
	if received.Before(input.Acknowledged) {
		return false
	}
	if input.RequiredReplicaAcks == 0 {
		return true
	}
	if g.reportsCoverTerm(input, received) {
		return true
	}
	position, found := g.positions.firstSince(input.State.Term, input.AcknowledgedSinceUs)
	return found && !received.Before(position)
}
