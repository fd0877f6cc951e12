package fleetsimulation

import (
	"fmt"
	"slices"

	"stoneford/internal/ports"
	"stoneford/internal/sessionpool"
	"stoneford/internal/sessiontable"
	"stoneford/schema"
)

const (
	firstPort = 7440
	// unackedBytesTimeoutUs is the time after which a node's connection breaks if sent
	// bytes are still unacknowledged (TCP_USER_TIMEOUT).
	unackedBytesTimeoutUs = 1_500_000
	// retransmissionIntervalUs is the time between two transmissions to an unresponsive
	// machine.
	retransmissionIntervalUs = 100_000
	// unreachableNodeTimeoutUs is the time after which a database drops a connection
	// whose peer is unreachable.
	unreachableNodeTimeoutUs = 3_000_000
	// unreachableDatabaseTimeoutUs is the time after which a node drops a connection whose peer is
	// unreachable.
	unreachableDatabaseTimeoutUs = 5_000_000
	// streamSweepIntervalUs is the interval at which unreachableNodeTimeoutUs and
	// unreachableDatabaseTimeoutUs are checked.
	streamSweepIntervalUs = 250_000
)

// Node is a pool node's process. startNode resets the fields that describe one run.
type Node struct {
	process
	zone           string
	config         ports.ProcessConfig
	core           *sessionpool.Core
	sessions       map[uint64]*Session
	streams        map[uint64]*stream
	lastID         uint64
	newestRevision uint64 // newest revision of the routing table in force in this run
	ready          bool   // according to the platform's health checks
	missedChecks   int    // consecutive missed health checks
	startUs        int64
}

// startNode starts a run of a pool node.
func (f *Fleet) startNode(n *Node) {
	n.startRun()
	n.clockRate = f.randomClockRate()
	if f.Plan.Mutation == SlowClock {
		n.clockRate = 0.25
	}
	n.sessions, n.streams, n.lastID, n.newestRevision, n.ready, n.missedChecks = map[uint64]*Session{}, map[uint64]*stream{}, 0, 0, false, 0
	n.startUs = f.Now
	f.lastRunNumber++
	n.core = sessionpool.NewCore(n.config, f.lastRunNumber, f.Random.Uint64(), f.Plan.Options)
	n.handle("start", func() { n.step(sessiontable.Tick{}) })
}

// killNode ends a node's process. Databases do not learn of it if the machine is
// unresponsive; callers then learn of it after a time-out.
func (f *Fleet) killNode(n *Node, unresponsive bool) {
	if !n.up {
		return
	}
	n.up = false
	for _, id := range sortedKeys(n.streams) {
		s := n.streams[id]
		s.atNode = false
		if !unresponsive {
			f.network.transmit(n.ip, s.ip, func() { s.closeAtDatabase() })
		}
	}
	for _, id := range sortedKeys(n.sessions) {
		s := n.sessions[id]
		if !unresponsive {
			f.After(toCallerDelayUs, func() { s.connectionBroke() })
		} else {
			f.After(f.Between(1_000_000, 3_000_000), func() { s.connectionBroke() })
		}
	}
	n.streams, n.sessions = map[uint64]*stream{}, map[uint64]*Session{}
}

// Times of the graceful shutdown of a node, in microseconds.
const (
	nodeGraceUs      = 6_000_000
	minNodeDrainUs   = 2_000_000 // time for the platform to detect that the node is not ready
	nodeKillMarginUs = 300_000   // the node ends this long before its grace period does, even with statements in flight
	nodePollUs       = 25_000
)

// stopNode stops a node gracefully, as its daemon does on a stop signal.
func (f *Fleet) stopNode(n *Node) {
	if !n.up || n.draining {
		return
	}
	n.draining = true
	generation, startedUs := n.generation, f.Now
	n.handle("signal", func() { n.step(sessiontable.Drain{GraceUs: nodeGraceUs}) })
	var poll func()
	poll = func() {
		if !n.up || n.generation != generation {
			return
		}
		elapsedUs := f.Now - startedUs
		if elapsedUs >= nodeGraceUs || !n.frozen && (elapsedUs >= nodeGraceUs-nodeKillMarginUs || n.core.Table.InFlight() == 0 && elapsedUs >= minNodeDrainUs) {
			f.killNode(n, false)
			return
		}
		f.After(nodePollUs, poll)
	}
	f.After(nodePollUs, poll)
}

// step passes events to the core and performs the resulting effects.
func (n *Node) step(events ...sessiontable.Event) {
	for _, e := range events {
		n.performAll(n.core.Step(n.now(), e))
	}
	n.afterStep()
}

// receive passes an envelope to the core and performs the resulting effects.
func (n *Node) receive(e *schema.Envelope) {
	n.performAll(n.core.Receive(n.now(), e))
	n.afterStep()
}

// performAll performs the table's effects of one step and sends the step's envelopes.
func (n *Node) performAll(effects sessionpool.Effects) {
	for _, d := range effects.Table {
		n.perform(d)
	}
	for _, s := range effects.Send {
		n.fleet.sendEnvelope(n.ip, s)
	}
}

// afterStep checks that the revision in force did not decrease, and sets the timer.
func (n *Node) afterStep() {
	f := n.fleet
	if r := n.core.Revision(); r != n.newestRevision {
		if r < n.newestRevision {
			f.oracle.violation("%s returned from revision %d to the older revision %d", n.name, n.newestRevision, r)
		}
		n.newestRevision = r
		f.oracle.revisionInForce(n, r)
	}
	n.setTimer(n.core.Due(), func() { n.step(sessiontable.Tick{}) })
}

// perform carries out one effect of the node's table: it replies to a caller, closes a
// session, opens, uses or closes a connection to a database, or writes an entry to the
// simulation's log.
func (n *Node) perform(d sessiontable.Effect) {
	f := n.fleet
	f.observeNode(n, d)
	switch d := d.(type) {
	case sessiontable.Reply:
		n.reply(d)
	case sessiontable.CloseSession:
		if s := n.sessions[d.Session]; s != nil {
			delete(n.sessions, d.Session)
			s.closeFromNode()
		}
	case sessiontable.Connect:
		n.connect(d)
	case sessiontable.Send:
		if s := n.streams[d.Conn]; s != nil && s.established {
			s.send(d.Ops)
		} else {
			f.oracle.violation("%s sent operations over connection %d, which is not open", n.name, d.Conn)
		}
	case sessiontable.CloseConnection:
		if s := n.streams[d.Conn]; s != nil {
			delete(n.streams, d.Conn)
			s.closeFromNode()
		}
	case sessiontable.LogEntry:
		f.logf("%s: code %d: %s", n.name, d.Code, d.Text)
	default:
		panic(fmt.Sprintf("unknown effect %T", d))
	}
}

// lateReplyUs is the delay of late replies with the mutation RepliesLate.
const lateReplyUs = rejectTimeoutUs + 100_000

// reply sends a reply to its session if the session is still open.
func (n *Node) reply(d sessiontable.Reply) {
	f := n.fleet
	s := n.sessions[d.Session]
	if s == nil {
		return
	}
	if d.Close {
		delete(n.sessions, d.Session)
	}
	r := d.Reply
	r.Body = slices.Clone(r.Body)
	if f.Plan.Mutation == BodiesSwapped && f.Chance(0.01) {
		r.Body = []byte("another's")
	}
	if f.Plan.Mutation == RepliesLate && f.Chance(0.05) {
		f.After(lateReplyUs, func() { s.deliverReply(r, d.Close) })
		return
	}
	s.deliverReply(r, d.Close)
}
