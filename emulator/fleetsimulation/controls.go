package fleetsimulation

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"stoneford/internal/coordinator"
	"stoneford/internal/ports"
	"stoneford/schema"
)

// Control is a control process and its disk. startControl resets the fields that describe
// one run.
type Control struct {
	process
	zone            string
	config          ports.ProcessConfig
	core            *coordinator.Core
	disk            [][]byte // durable entries of the write-ahead log
	unsynced        [][]byte // entries whose sync is under way
	syncUs          int64    // extra duration of a sync
	events          []coordinator.Event
	stepping        bool
	pendingCalls    map[uint64]func(any)
	lastCallID      uint64
	keptConnections map[string]int // by identity of the database: its generation when the kept connection was opened
	startUs         int64
	lastState       controlState // state that the oracle observed last
}

// announceReply is the reply to an announcement; it reports whether the announcement is
// acknowledged.
type announceReply bool

// fetchTableReply is the reply to a request for the routing table.
type fetchTableReply struct {
	table ports.RoutingTable
	ok    bool
}

// startControl starts a new run of a control process, which restores its state from the
// log entries on disk.
func (f *Fleet) startControl(c *Control) {
	c.startRun()
	c.clockRate = f.randomClockRate()
	c.events, c.stepping, c.pendingCalls, c.keptConnections, c.unsynced = nil, false, map[uint64]func(any){}, map[string]int{}, nil
	c.startUs = f.Now
	f.lastRunNumber++
	var entries []*schema.WALEntry
	for _, b := range c.disk {
		l := &schema.WALEntry{}
		if err := proto.Unmarshal(b, l); err != nil {
			panic(err)
		}
		entries = append(entries, l)
	}
	c.core = coordinator.Restore(c.config, entries, f.Random.Uint64()|1, f.lastRunNumber)
	c.config.Bootstrap = false
	c.core.Start(c.now())
	c.post("start")
}

// post queues events for the process's event loop and wakes it.
func (c *Control) post(source string, events ...coordinator.Event) {
	generation := c.generation
	c.handle(source, func() {
		if c.generation != generation {
			return
		}
		c.events = append(c.events, events...)
		if !c.stepping {
			c.stepping = true
			c.fleet.After(0, func() { c.runStep(generation) })
		}
	})
}

const (
	// maxEventsPerStep bounds the number of events in one step.
	maxEventsPerStep = 128
	// unsyncedDelayUs is the extra duration of a sync with the mutation UnsyncedDisk.
	unsyncedDelayUs = 2_000_000
	// snapshotProbability is the probability that a sync is followed by a snapshot.
	snapshotProbability = 0.02
)

// controlStep is one step of a control process with its effects.
type controlStep struct {
	control    *Control
	generation int
	effects    coordinator.Effects
}

// runStep runs one iteration of the event loop: it steps the core, syncs the log entries
// of the step, and performs the effects after the sync.
func (c *Control) runStep(generation int) {
	f := c.fleet
	if !c.up || c.generation != generation {
		return
	}
	if c.frozen {
		c.pending = append(c.pending, pendingEvent{"loop", func() { c.runStep(generation) }})
		return
	}
	n := min(len(c.events), maxEventsPerStep)
	events := c.events[:n:n]
	c.events = c.events[n:]
	s := &controlStep{control: c, generation: generation, effects: c.core.Step(c.now(), events...)}
	f.moves.observe(c)
	if len(s.effects.Log) == 0 {
		s.perform()
		return
	}
	c.write(s.effects.Log)
	if f.Plan.Mutation == UnsyncedDisk {
		s.perform()
	}
	syncUs := f.Between(1_500, 3_000) + c.syncUs
	if f.Plan.Mutation == UnsyncedDisk {
		syncUs += unsyncedDelayUs
	}
	f.After(syncUs, s.synced)
}

// write starts writing log entries to the disk.
func (c *Control) write(entries []*schema.WALEntry) {
	for _, l := range entries {
		b, err := proto.Marshal(l)
		if err != nil {
			panic(err)
		}
		c.unsynced = append(c.unsynced, b)
	}
}

// synced completes the sync of the step's log entries. Only then are the step's effects
// performed.
func (s *controlStep) synced() {
	c, f := s.control, s.control.fleet
	if !c.up || c.generation != s.generation {
		return
	}
	c.disk = append(c.disk, c.unsynced...)
	c.unsynced = nil
	if f.Chance(snapshotProbability) && f.Plan.Mutation != UnsyncedDisk {
		c.snapshot()
	}
	switch {
	case f.Plan.Mutation == UnsyncedDisk: // the effects are performed already
	case c.frozen:
		c.pending = append(c.pending, pendingEvent{"loop", s.perform})
	default:
		s.perform()
	}
}

// snapshot replaces the log on disk by a snapshot.
func (c *Control) snapshot() {
	b, err := proto.Marshal(c.core.Snapshot())
	if err != nil {
		panic(err)
	}
	c.disk = [][]byte{b}
}

// perform performs the step's effects and then runs the next step, or sets the timer if
// no events are queued.
func (s *controlStep) perform() {
	c, f := s.control, s.control.fleet
	for _, envelope := range s.effects.Send {
		f.sendEnvelope(c.ip, envelope)
	}
	for _, d := range s.effects.Do {
		c.perform(d)
	}
	if len(s.effects.Log) > 0 {
		c.events = append([]coordinator.Event{coordinator.Synced{Watermark: s.effects.Watermark}}, c.events...)
	}
	if len(c.events) > 0 {
		f.After(0, func() { c.runStep(s.generation) })
		return
	}
	c.stepping = false
	c.setTimer(c.core.Due(), func() { c.post("timer") })
}

// killControl ends a control process. A random part of the entries being synced reaches
// the disk. Callers with a pending call do not learn of the end if the machine is
// unresponsive.
func (f *Fleet) killControl(c *Control, unresponsive bool) {
	if !c.up {
		return
	}
	if n := len(c.unsynced); n > 0 && f.Plan.Mutation != UnsyncedDisk {
		c.disk = append(c.disk, c.unsynced[:f.Random.IntN(n+1)]...)
	}
	c.up, c.unsynced = false, nil
	calls := c.pendingCalls
	c.pendingCalls = map[uint64]func(any){}
	if !unresponsive {
		for _, id := range sortedKeys(calls) {
			f.After(toCallerDelayUs, func() { calls[id](nil) })
		}
	}
}

// controlStopUs is the time from the stop signal to a control process until it ends.
const controlStopUs = 400_000

// stopControl stops a control process gracefully, as its daemon does on a stop signal.
func (f *Fleet) stopControl(c *Control) {
	if !c.up || c.draining {
		return
	}
	c.draining = true
	generation := c.generation
	c.post("signal", coordinator.Stop{})
	f.After(controlStopUs, func() {
		if c.generation == generation {
			f.killControl(c, false)
		}
	})
}

// endCall completes a pending call to the control process with its reply.
func (c *Control) endCall(id uint64, reply any) {
	if end := c.pendingCalls[id]; end != nil {
		delete(c.pendingCalls, id)
		end(reply)
	}
}

// perform carries out one effect of the core: it completes a pending call to the control
// process, calls a database or the platform, or writes an entry to the simulation's log.
func (c *Control) perform(d coordinator.Effect) {
	f := c.fleet
	f.observeControl(c, d)
	switch d := d.(type) {
	case coordinator.AnnounceDone:
		c.endCall(d.ID, announceReply(d.OK))
	case coordinator.ChangeTableDone:
		c.endCall(d.ID, d.Result)
	case coordinator.MoveDone:
		c.endCall(d.ID, d.Result)
	case coordinator.FetchTableDone:
		c.endCall(d.ID, fetchTableReply{d.Table, d.OK})
	case coordinator.DatabaseCall:
		c.callDatabase(d)
	case coordinator.Promote:
		c.promote(d)
	case coordinator.LogEntry:
		f.logf("%s: code %d: %s", c.name, d.Code, d.Text)
	default:
		panic(fmt.Sprintf("unknown effect %T", d))
	}
}

// announce delivers a database's announcement to the control process.
func (c *Control) announce(id uint64, i ports.Instance) {
	c.post("databases", coordinator.Announce{ID: id, Instance: i})
}

// callControl calls a control process from a host. It passes the reply to end, or nil if
// the connection is refused or breaks; if the reply is lost, end is never called.
func (f *Fleet) callControl(from string, c *Control, call func(c *Control, id uint64), end func(any)) {
	f.network.transmit(from, c.ip, func() {
		if !c.up {
			f.network.transmit(c.ip, from, func() { end(nil) })
			return
		}
		c.lastCallID++
		id := c.lastCallID
		c.pendingCalls[id] = func(v any) { f.network.transmit(c.ip, from, func() { end(v) }) }
		call(c, id)
	})
}
