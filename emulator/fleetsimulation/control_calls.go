package fleetsimulation

import (
	"stoneford/failover/fenced"
	"stoneford/internal/coordinator"
	"stoneford/internal/ports"
)

// connectTimeUs is the time that a database takes to accept a connection.
const connectTimeUs = 12_000

// controlDatabaseCall is a call of a control process to a database.
type controlDatabaseCall struct {
	fleet      *Fleet
	control    *Control
	generation int
	call       coordinator.DatabaseCall
	instance   ports.Instance // database that the call is meant for
	ip         string
	op         ports.Op
	ended      bool
}

// callDatabase calls a database over a kept or a new connection. Commands are sent only
// while the lease under which they are issued is valid.
func (c *Control) callDatabase(d coordinator.DatabaseCall) {
	f := c.fleet
	k := &controlDatabaseCall{fleet: f, control: c, generation: c.generation, call: d, instance: d.Call.Instance, ip: hostOf(d.Call.Instance.Address),
		op: ports.Op{Internal: true, Statement: ports.Statement{Kind: d.Call.Kind}, Term: d.Call.Term}}
	timeoutUs := d.Call.TimeoutUs
	if d.Call.Kind != ports.Status {
		if timeoutUs = min(timeoutUs, d.Call.LeaseExpiresAtUs-c.now()); timeoutUs <= 0 {
			c.post("database calls", coordinator.DatabaseReply{Group: d.Group, Reply: fenced.DatabaseReply{ID: d.Call.ID, NotSent: true}})
			return
		}
		f.primaryRoles.commandSent(c, d)
	}
	f.After(int64(float64(timeoutUs)/c.clockRate), func() { k.end(fenced.DatabaseReply{Err: "timed out"}) })
	f.network.transmit(c.ip, k.ip, k.arrive)
}

// end completes the call with a reply. A connection that failed is not kept.
func (k *controlDatabaseCall) end(reply fenced.DatabaseReply) {
	c := k.control
	if k.ended || !c.up || c.generation != k.generation {
		return
	}
	k.ended = true
	reply.ID = k.call.Call.ID
	if reply.Err != "" {
		delete(c.keptConnections, k.instance.ID)
	}
	c.post("database calls", coordinator.DatabaseReply{Group: k.call.Group, Reply: reply})
}

// reply sends the call's result from the database's host to the control process.
func (k *controlDatabaseCall) reply(reply fenced.DatabaseReply) {
	k.fleet.network.transmit(k.ip, k.control.ip, func() { k.end(reply) })
}

// arrive receives the call at the database's address.
func (k *controlDatabaseCall) arrive() {
	f, kept := k.fleet, k.control.keptConnections
	db := f.databaseAt[k.instance.Address]
	switch {
	case db != nil && db.unresponsive && !db.up:
	case db == nil || !db.up:
		k.reply(fenced.DatabaseReply{Err: "connection refused", Absent: true})
	case db.id != k.instance.ID || db.group.name != k.instance.Group:
		k.reply(fenced.DatabaseReply{Err: "a different database is running at this address", Absent: true})
	case kept[k.instance.ID] == db.generation:
		k.run(db)
	case len(db.connections) >= db.group.connectionLimit:
		k.reply(fenced.DatabaseReply{Err: "too many connections", Absent: f.Plan.BusyAsConnectionRefused})
	default:
		kept[k.instance.ID] = db.generation
		db.runInSlot(connectTimeUs, true, func() { k.connected(db) })
	}
}

// connected sends the call over a new connection once the control process has learned
// that the connection is open.
func (k *controlDatabaseCall) connected(db *Database) {
	f := k.fleet
	f.network.transmit(k.ip, k.control.ip, func() {
		if k.ended {
			return
		}
		f.network.transmit(k.control.ip, k.ip, func() {
			if db.up && f.databaseAt[k.instance.Address] == db {
				k.run(db)
			}
		})
	})
}

// run runs the command at the database. A rejection is reported as coordinator.Process does,
// or as a refused connection if Plan.BusyAsConnectionRefused is set.
func (k *controlDatabaseCall) run(db *Database) {
	db.runCommand(k.op, func(status ports.DatabaseStatus, code ports.Code) {
		if code != ports.Done {
			k.reply(fenced.DatabaseReply{Err: "the database rejected the call", Absent: k.fleet.Plan.BusyAsConnectionRefused})
			return
		}
		k.reply(fenced.DatabaseReply{Status: status})
	})
}
