package simulation

import (
	"stoneford/internal/querytable"
	"stoneford/result"
)

// nodePollIntervalUs is the interval at which a caller checks whether its node has ended.
const nodePollIntervalUs = 50_000

// delayedRejectionUs is the delay of rejections with the mutation DelayedRejections.
const delayedRejectionUs = 4_500_000

// nodeRequest is a request of a session to its node. If no reply arrives, the outcome is
// uncertain.
type nodeRequest struct {
	session    *session
	node       *nodeProcess
	generation int
	id         uint64
	event      querytable.Event
	arrivedUs  int64
	ended      bool
	onReply    func(querytable.Reply)
}

// request sends an event to the session's node. onReply is called once: with the node's
// reply, with UnknownSession if the node has ended before the event arrives, or with an
// uncertain outcome if the node ends later or does not reply in time.
func (s *session) request(n *nodeProcess, id uint64, e querytable.Event, onReply func(querytable.Reply)) {
	r := &nodeRequest{session: s, node: n, generation: s.generation, id: id, event: e, onReply: onReply}
	s.fleet.pendingRequests++
	s.fleet.After(s.fleet.callerDelay(), r.arrive)
	s.fleet.After(callerTimeoutUs, r.endWithoutReply)
}

func (r *nodeRequest) end(reply querytable.Reply) {
	if !r.ended {
		r.ended = true
		r.session.fleet.pendingRequests--
		r.onReply(reply)
	}
}

// endWithoutReply ends the request with an uncertain outcome.
func (r *nodeRequest) endWithoutReply() { r.end(querytable.Reply{Code: -1, Outcome: result.Uncertain}) }

// nodeEnded reports whether the run of the node that the request was sent to has ended.
func (r *nodeRequest) nodeEnded() bool { return !r.node.up || r.node.generation != r.generation }

// arrive delivers the event to the node. If the node has ended, the request ends without
// effect.
func (r *nodeRequest) arrive() {
	f := r.session.fleet
	if r.nodeEnded() {
		r.end(querytable.Reply{Code: result.UnknownSession, Outcome: result.NoEffect})
		return
	}
	r.arrivedUs = f.Now
	f.toNode(r.node, r.generation, func() {
		r.node.waiters[r.id] = r.receiveReply
		f.stepTable(r.node, r.session.group, r.event)
	})
	f.After(nodePollIntervalUs, r.watchNode)
}

// watchNode ends the request when the node has ended.
func (r *nodeRequest) watchNode() {
	if !r.ended && r.nodeEnded() {
		r.endWithoutReply()
	}
	if !r.ended {
		r.session.fleet.After(nodePollIntervalUs, r.watchNode)
	}
}

// receiveReply handles the node's reply; the mutation DelayedRejections delays rejections.
func (r *nodeRequest) receiveReply(reply querytable.Reply) {
	f := r.session.fleet
	if f.Plan.Mutation == DelayedRejections && reply.Code.Retryable() {
		f.After(delayedRejectionUs, func() { r.deliver(reply) })
		return
	}
	r.deliver(reply)
}

// deliver sends the reply to the caller. It checks that a node without faults fails or
// rejects queries in time.
func (r *nodeRequest) deliver(reply querytable.Reply) {
	f := r.session.fleet
	tookUs := f.Now - r.arrivedUs
	if reply.Outcome != result.Done && r.node.lastFaultUs < r.arrivedUs {
		f.Oracle.RejectionDelays[reply.Code] = append(f.Oracle.RejectionDelays[reply.Code], tookUs)
		if tookUs > maxGiveUpUs || reply.Code.Retryable() && tookUs > maxRejectionUs {
			f.RecordViolation("%s kept a query for %d us before it failed with code %d, want at most %d us for a rejection and %d us for another failure", r.node.boot.Name, tookUs, reply.Code, maxRejectionUs, maxGiveUpUs)
		}
	}
	f.After(f.callerDelay(), func() { r.end(reply) })
}

// callerTimeoutUs is the time that a caller waits for a reply.
const callerTimeoutUs = 12_000_000

// callerDelay returns a random network delay between a caller and a node.
func (f *Fleet) callerDelay() int64 { return f.Between(f.Network.MinDelayUs, f.Network.MaxDelayUs) }
