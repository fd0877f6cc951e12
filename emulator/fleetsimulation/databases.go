package fleetsimulation

import (
	"fmt"

	"stoneford/internal/ports"
)

// Database is one incarnation of a database: a log under one identity. start resets the
// fields that describe one run of its process.
type Database struct {
	fleet   *Fleet
	id      string
	address string
	ip      string
	group   *group
	zone    string

	up           bool
	unresponsive bool // the process is down and its machine drops packets instead of refusing connections
	removed      bool // permanently; it never starts again
	generation   int  // number of the run of its process
	startUs      int64
	busySlots    int // slots in use
	queue        []job
	connections  []*databaseConnection

	logState
	announcementState
	databaseFaults
}

// logState holds a database's log and its replication state.
type logState struct {
	primary      bool
	term         uint64
	log          []*entry
	applied      int    // number of log entries visible to reads
	frozenBy     uint64 // term that froze replication, 0 if it is not frozen
	frozenLength int    // length of the log when replication was frozen

	lastOfferUs              map[string]int64 // on a primary, by replica: time of the last offer of the log
	receivedByReplica        map[string]int   // on a primary, by replica: number of log entries received
	syncWaits                []syncWait
	reachesNewPrimarySinceUs int64 // on a primary: time from which on it has reached a primary of a newer term, 0 if it reaches none
	truncatingUntilUs        int64 // until then the database truncates its log and runs no statements
}

// announcementState holds the state of a database's announcements to control processes.
type announcementState struct {
	draining               bool
	drainAcknowledgedUs    int64    // time at which a control process acknowledged that the database drains, 0 if none did
	announcementNumber     uint64   // number of the newest announcement
	target                 *Control // control process that receives the announcements
	announcing             bool
	changedWhileAnnouncing bool
	finalAnnouncementSent  bool // the announcement of the removal was sent
	deregistered           bool // it sent that announcement first, and serves on without others
}

// databaseFaults holds the current faults of a database.
type databaseFaults struct {
	receivesNothing      bool
	lagFactor            float64 // multiple of the usual time until an entry is applied
	lostReplyProbability float64
	lostReplyKind        int // 0: the reply never arrives; otherwise the connection is reset
	failureProbability   float64
	extraServiceUs       int64 // additional duration of each job
}

// job is work that occupies a slot for a duration and then calls run.
type job struct {
	durationUs int64
	run        func()
}

// group is a replication group: one primary and its replicas.
type group struct {
	name            string
	databases       []*Database // without removed databases
	syncReplicas    int
	connectionLimit int
	promotedUs      int64     // time at which the newest promotion took effect, 0 for none
	primary         *Database // of the newest term
	acknowledged    []acknowledgedEntry
	reportedLost    map[*entry]bool // acknowledged commits that are missing and already reported
	newestTerm      uint64
}

// slots is the number of statements that a database runs concurrently.
const slots = 4

// maxQueue bounds the number of statements that wait for a slot; further ones are
// rejected.
const maxQueue = 32

// newDatabase adds a database to its group without starting it.
func (f *Fleet) newDatabase(g *group, id, addr, zone string) *Database {
	d := &Database{fleet: f, id: id, address: addr, ip: hostOf(addr), group: g, zone: zone, databaseFaults: databaseFaults{lagFactor: 1},
		logState: logState{term: 1, receivedByReplica: map[string]int{}, lastOfferUs: map[string]int64{}}}
	f.network.zones[d.ip] = zone
	g.databases = append(g.databases, d)
	f.databases[id] = d
	return d
}

// start begins a run of the process. Only the log survives from the run before;
// replication is no longer frozen.
func (d *Database) start() {
	f := d.fleet
	d.generation++
	d.up, d.unresponsive = true, false
	d.busySlots, d.queue, d.connections, d.syncWaits, d.frozenBy, d.reachesNewPrimarySinceUs, d.truncatingUntilUs = 0, nil, nil, nil, 0, 0, 0
	d.receivedByReplica = map[string]int{}
	d.applied = len(d.log)
	d.startUs, d.announcing, d.changedWhileAnnouncing = f.Now, false, false
	f.databaseAt[d.address] = d
	if d.primary && d.group.newestTerm > d.term {
		d.primary = false
	}
	gen := d.generation
	d.replicationLoop(gen)
	f.After(f.Between(0, 100_000), func() { d.announceLoop(gen) })
}

// crash ends the process; its log stays on disk. If the machine is unresponsive, its
// connections are not closed towards their peers.
func (d *Database) crash(unresponsive bool) {
	if !d.up {
		return
	}
	f := d.fleet
	d.up, d.unresponsive = false, unresponsive
	for _, c := range d.connections {
		c.open = false
		if s := c.stream; s != nil && !unresponsive {
			f.network.transmit(d.ip, s.node.ip, func() { s.notifyLost(true, "reset") })
		}
	}
	d.connections = nil
}

// afterInRun calls run after a delay if this run of the process has not ended by then.
func (d *Database) afterInRun(delayUs int64, run func()) {
	gen := d.generation
	d.fleet.After(delayUs, func() {
		if d.up && d.generation == gen {
			run()
		}
	})
}

// status returns the status that the database reports to control processes.
func (d *Database) status() ports.DatabaseStatus {
	return ports.DatabaseStatus{Primary: d.primary, Term: d.term, Received: d.positionAt(len(d.log)), FrozenTerm: d.frozenBy, BusyConnections: d.busySlots, OpenTransactions: len(d.connections)}
}

// runInSlot occupies a slot for a duration and then calls done. Without a free slot the
// job is queued; it returns false if the queue is full, unless force is set.
func (d *Database) runInSlot(durationUs int64, force bool, done func()) bool {
	durationUs += d.extraServiceUs
	if d.busySlots >= slots || d.truncatingUntilUs > d.fleet.Now {
		if len(d.queue) >= maxQueue && !force {
			return false
		}
		d.queue = append(d.queue, job{durationUs, done})
		if d.truncatingUntilUs > d.fleet.Now && d.busySlots == 0 {
			d.afterInRun(d.truncatingUntilUs-d.fleet.Now, d.startQueuedJobs)
		}
		return true
	}
	d.runJob(job{durationUs, done})
	return true
}

// runJob runs a job in a free slot.
func (d *Database) runJob(j job) {
	d.busySlots++
	d.afterInRun(j.durationUs, func() {
		d.busySlots--
		j.run()
		d.startQueuedJobs()
	})
}

// startQueuedJobs starts queued jobs while slots are free.
func (d *Database) startQueuedJobs() {
	for d.busySlots < slots && len(d.queue) > 0 && d.truncatingUntilUs <= d.fleet.Now {
		j := d.queue[0]
		d.queue = d.queue[1:]
		d.runJob(j)
	}
}

// runCommand runs a command of a control process: Status, FreezeReplication,
// ResumeReplication or StepDown.
func (d *Database) runCommand(op ports.Op, done func(ports.DatabaseStatus, ports.Code)) {
	if !d.runInSlot(1_000, false, func() {
		code := ports.Done
		switch op.Statement.Kind {
		case ports.FreezeReplication:
			switch {
			case d.primary || op.Term == d.frozenBy || d.draining && d.fleet.Plan.Mutation == DrainingReplicasReceive:
			case op.Term <= d.term:
				code = ports.Malformed
			default:
				d.frozenBy, d.frozenLength = max(d.frozenBy, op.Term), len(d.log)
				d.fleet.logf("%s: replication frozen by term %d, its log ends at position %v", d.id, d.frozenBy, d.positionAt(len(d.log)))
			}
		case ports.ResumeReplication:
			d.frozenBy = 0
		case ports.StepDown:
			if d.primary && d.term < op.Term {
				d.stepDown()
			}
		}
		done(d.status(), code)
	}) {
		done(ports.DatabaseStatus{}, ports.Busy)
	}
}

// String returns the database's identity, its term and the position at the end of its log.
func (d *Database) String() string {
	return fmt.Sprintf("%s(term %d, log ends at %v)", d.id, d.term, d.positionAt(len(d.log)))
}
