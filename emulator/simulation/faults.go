package simulation

import (
	"maps"
	"slices"

	"stoneford/internal/control"
	"stoneford/internal/pool"
	"stoneford/internal/querytable"
	"stoneford/language"
	"stoneford/schema"
)

// KillControl kills a control process. The log entries that it was syncing may or may not
// reach the disk.
func (f *Fleet) KillControl(i int) {
	c := f.Controls[i]
	if f.Plan.Mutation == LostLogTail {
		c.disk = c.disk[:max(1, len(c.disk)-12)]
	}
	if f.Chance(0.5) { // unsynced entries may have reached the disk
		c.disk = append(c.disk, c.unsynced...)
	}
	c.up, c.unsynced = false, nil
}

// LoseDisk kills a control process and empties its disk.
func (f *Fleet) LoseDisk(i int) { f.KillControl(i); f.Controls[i].disk = nil }

// StartControl starts a control process if it is down. The process restores its state from
// its log.
func (f *Fleet) StartControl(i int) {
	if !f.Controls[i].up {
		f.startControl(f.Controls[i])
	}
}

// controlStopUs is the time that a control process continues to run after a stop request.
const controlStopUs = 1_000_000

// StopControl stops a control process as its daemon does on SIGTERM.
func (f *Fleet) StopControl(i int) {
	c := f.Controls[i]
	f.toControl(c, c.generation, control.Stop{})
	c.draining = true
	g := c.generation
	f.After(controlStopUs, func() {
		if c.generation == g {
			c.up = false
		}
	})
}

// KillNode kills a pool node without a grace period.
func (f *Fleet) KillNode(i int) { f.Nodes[i].up = false }

// StartNode starts a new run of a pool node, also if the node was draining.
func (f *Fleet) StartNode(i int) { f.Nodes[i].draining = false; f.startNode(f.Nodes[i]) }

// restartNode starts a pool node if it is down.
func (f *Fleet) restartNode(i int) {
	if !f.Nodes[i].up {
		f.StartNode(i)
	}
}

// serves reports whether a pool node serves callers.
func (n *nodeProcess) serves() bool { return n.up && !n.frozen && !n.draining }

// StopNode stops a pool node gracefully: it drains for its grace period and then exits.
func (f *Fleet) StopNode(i int) {
	n := f.Nodes[i]
	if !n.serves() {
		return
	}
	n.draining = true
	graceUs := int64(3_500_000)
	if f.Plan.Mutation == NoStopGrace {
		graceUs = 1_000
	}
	for _, group := range slices.Sorted(maps.Keys(n.tables)) {
		f.stepTable(n, group, querytable.Stop{GraceUs: 3_000_000})
	}
	f.stepNode(n, pool.Stop{})
	g := n.generation
	f.After(graceUs, func() {
		if n.generation == g {
			if len(n.waiters) > 0 && !n.frozen {
				f.RecordViolation("%s stopped and dropped %d queries in progress", n.boot.Name, len(n.waiters))
			}
			n.up = false
		}
	})
}

// FreezeNode freezes a pool node. Events wait until ResumeNode.
func (f *Fleet) FreezeNode(i int) { f.Nodes[i].frozen = true }

// ResumeNode unfreezes a pool node.
func (f *Fleet) ResumeNode(i int) { f.Nodes[i].resume(f) }

// FreezeControl freezes a control process. Events wait until ResumeControl.
func (f *Fleet) FreezeControl(i int) { f.Controls[i].frozen = true }

// ResumeControl unfreezes a control process.
func (f *Fleet) ResumeControl(i int) { f.Controls[i].resume(f) }

// KillDatabase kills a database's process if it is up.
func (f *Fleet) KillDatabase(name string) {
	if f.Databases[name].up {
		f.Databases[name].crash()
	}
}

// StartDatabase starts a database with its existing log and identity if it is down.
func (f *Fleet) StartDatabase(name string) {
	if !f.Databases[name].up {
		f.Databases[name].start()
	}
}

// LoseDatabase kills a database and starts it again with an empty disk and a new identity.
func (f *Fleet) LoseDatabase(name string) {
	f.KillDatabase(name)
	f.Databases[name].emptyDisk()
	f.Databases[name].start()
}

// FreezeDatabase freezes a database. Events wait until ResumeDatabase.
func (f *Fleet) FreezeDatabase(name string) { f.Databases[name].frozen = true }

// ResumeDatabase unfreezes a database.
func (f *Fleet) ResumeDatabase(name string) {
	d := f.Databases[name]
	d.frozen = false
	pending := d.pending
	d.pending = nil
	for _, deliver := range pending {
		f.After(0, deliver)
	}
}

// Isolate partitions an address from all other addresses of the fleet, not from the
// callers. It affects the messages that the address sends and, if both is set, also those
// sent to it.
func (f *Fleet) Isolate(address string, both bool) {
	for _, o := range f.Addresses() {
		if o != address {
			f.Network.SetPartition(address, o, true)
			if both {
				f.Network.SetPartition(o, address, true)
			}
		}
	}
}

// Addresses returns the addresses of all control processes, pool nodes and databases, in
// this order.
func (f *Fleet) Addresses() []string {
	var addresses []string
	for _, c := range f.Controls {
		addresses = append(addresses, c.boot.Listen)
	}
	for _, n := range f.Nodes {
		addresses = append(addresses, n.boot.Listen)
	}
	return append(addresses, slices.Sorted(maps.Keys(f.databaseAt))...)
}

// SetReplicasReceiveNothing starts or ends a fault in which the replicas of a group receive
// nothing from the primary.
func (f *Fleet) SetReplicasReceiveNothing(group string, active bool) {
	for _, n := range f.Configuration.Groups[group].Members {
		if !f.Databases[n].state.Primary {
			f.Databases[n].SetReceivesNothing(active)
		}
	}
}

// SlowControls sets the mean delay of each step of all control processes, in microseconds.
func (f *Fleet) SlowControls(delayUs int64) {
	for _, c := range f.Controls {
		c.slowUs = delayUs
	}
}

// HasRedundancy reports whether a group tolerates the loss of a database.
func (f *Fleet) HasRedundancy(group string) bool { return f.groupHasRedundancy(group) }

// ElectedPrimary returns the database that a failover has elected but not yet promoted, or
// "" if there is none.
func (f *Fleet) ElectedPrimary(group string) string {
	for _, c := range f.Controls {
		if st := control.GroupState(c.core.CommittedValue(control.GroupKeyPrefix + f.partnerOf[group] + "/" + group)); st.Phase == schema.Phase_PROMOTING {
			return st.Primary
		}
	}
	return ""
}

// SetAppliesNothing starts or ends a fault in which a database does not apply received log
// entries.
func (f *Fleet) SetAppliesNothing(name string, active bool) {
	f.Databases[name].appliesNothing = active
}

// LoseResponses makes the database execute the next n runs without sending their responses.
func (d *Database) LoseResponses(n int) { d.lostResponses = n }

// SetReceivesNothing starts or ends a fault in which the database receives nothing from the
// primary.
func (d *Database) SetReceivesNothing(active bool) { d.receivesNothing = active }

// DrainPrimary makes the primary of a group report that it drains.
func (f *Fleet) DrainPrimary(group string) {
	if p := f.Primary(group); p != nil {
		p.startDraining()
	}
}

// DropConnectionLeases drops all connection leases sent to nodes from now on, as a
// mutation.
func (f *Fleet) DropConnectionLeases() {
	receive := f.Network.Receive
	f.Network.Receive = func(to string, e *schema.Envelope) {
		if e.GetConnectionLeaseResponse() == nil {
			receive(to, e)
		}
	}
}

// CrashZone kills all processes and databases in a zone.
func (f *Fleet) CrashZone(zone string) {
	for i, c := range f.Controls {
		if c.boot.Zone == zone {
			f.KillControl(i)
		}
	}
	for i, n := range f.Nodes {
		if n.boot.Zone == zone {
			f.KillNode(i)
		}
	}
	for _, a := range slices.Sorted(maps.Keys(f.databaseAt)) {
		if d := f.databaseAt[a]; d.zone == zone {
			f.KillDatabase(d.name)
		}
	}
}

// SetLag sets the delay after which replicas apply a commit, in microseconds.
func (f *Fleet) SetLag(lagUs int64) {
	for _, d := range f.Databases {
		d.lagUs = lagUs
	}
}

// Address returns the database's address.
func (d *Database) Address() string { return d.address }

// Heal ends all faults: it repairs the network, ends freezes and slowness, and starts all
// processes that are down.
func (f *Fleet) Heal() {
	f.Network.Repair()
	f.Network.LossProbability, f.Network.DuplicateProbability, f.MaxPlatformUs, f.PlatformFailureProbability = 0, 0, defaultMaxPlatformUs, 0
	for i, c := range f.Controls {
		if !c.up {
			f.StartControl(i)
		} else if c.frozen {
			f.ResumeControl(i)
		}
		c.slowUs, c.syncUs = 0, 0
	}
	for i, n := range f.Nodes {
		if !n.up {
			f.StartNode(i)
		} else if n.frozen {
			f.ResumeNode(i)
		}
		n.slowUs = 0
	}
	for _, g := range f.Plan.Groups {
		for _, n := range f.Configuration.Groups[g].Members {
			d := f.Databases[n]
			d.unresponsive, d.receivesNothing, d.appliesNothing, d.extraServiceUs, d.lagUs, d.lostResponses, d.state.Draining = false, false, false, 0, f.Plan.LagUs, 0, false
			if !d.up {
				f.StartDatabase(n)
			} else if d.frozen {
				f.ResumeDatabase(n)
			}
		}
	}
}

// SetSlow sets the time that is added to each run of a database, in microseconds.
func (f *Fleet) SetSlow(name string, extraServiceUs int64) {
	f.Databases[name].extraServiceUs = extraServiceUs
}

// DatabasePlacements returns all databases as targets of the operators' language.
func (f *Fleet) DatabasePlacements() []language.Target {
	var targets []language.Target
	for _, g := range f.Plan.Groups {
		p := f.Primary(g)
		for _, n := range f.Configuration.Groups[g].Members {
			targets = append(targets, language.Target{Name: n, Partner: f.partnerOf[g], Group: f.partnerOf[g] + "/" + g, Zone: f.Databases[n].zone, Primary: p == f.Databases[n]})
		}
	}
	return targets
}
