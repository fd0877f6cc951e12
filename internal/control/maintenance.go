package control

import (
	"strings"
	"time"

	"stoneford/maintenance"
	"stoneford/paxos"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/statemachine"
)

const (
	// machinesRole is the singleton role whose leader stops machines for maintenance.
	machinesRole = roleKeyPrefix + "machines"
	// maintenanceInterval is the time between two checks of the calendar.
	maintenanceInterval = 200 * time.Millisecond
	// platformRetryInterval is the time between two platform requests for the same step
	// of a window.
	platformRetryInterval = 2 * time.Second
)

// maintenanceState holds the maintenance calendar as this process knows it, the progress
// of the windows that this process carries out as leader of their roles, and the time of
// day, by which windows are due. Times are in microseconds of the monotonic clock.
type maintenanceState struct {
	clock         wallClock
	calendar      *schema.MaintenanceCalendar // newest known committed calendar
	progress      map[uint64]*windowProgress  // of the windows that this process carries out, by window ID
	changePending bool                        // a change of the calendar is under way; changes are serialized because each is based on the previous revision
	nextAt        int64                       // time of the next check
}

func newMaintenanceState() maintenanceState {
	return maintenanceState{calendar: &schema.MaintenanceCalendar{}, progress: map[uint64]*windowProgress{}}
}

// windowProgress is the volatile state of a window that this process carries out. It is
// lost with the process. Times are in microseconds of the monotonic clock.
type windowProgress struct {
	state       string // last seen state of the window
	since       int64  // when this process first saw the window in this state
	requestedAt int64  // time of the last platform request
}

// wallClock converts times of the process's monotonic clock to the time of day.
type wallClock struct {
	offset int64 // time of day minus monotonic time, in microseconds
	known  bool
}

func (w *wallClock) set(now, unixMicro int64) { w.offset, w.known = unixMicro-now, true }

func (w *wallClock) at(now int64) int64 { return now + w.offset }

// tickMaintenance carries out the due windows whose role this process leads. Every step
// of a window is committed as a revision of the calendar, so that another process can
// continue if this one fails. Platform requests may be repeated.
func (c *Core) tickMaintenance(now int64) {
	if !c.maintenance.clock.known || !statemachine.Due(now, &c.maintenance.nextAt, maintenanceInterval) {
		return
	}
	calendar, revision := c.maintenance.calendar, c.relay.Value(MaintenanceKey).GetRevision()
	for _, w := range calendar.Windows {
		if !maintenance.Pending(w) || !c.roles.IsLeader(windowRole(w), now) {
			delete(c.maintenance.progress, w.Id)
			continue
		}
		c.advanceWindow(now, calendar, revision, w)
	}
}

// windowRole returns the role whose leader carries out a window.
func windowRole(w *schema.MaintenanceWindow) string {
	if w.Group == "" {
		return machinesRole
	}
	return roleKeyPrefix + w.Group
}

// advanceWindow sends the platform request that a window needs in its state, and proposes
// the window's next state if there is one.
func (c *Core) advanceWindow(now int64, calendar *schema.MaintenanceCalendar, revision uint64, w *schema.MaintenanceWindow) {
	progress := c.maintenance.progressOf(now, w)
	observed := c.observeWindow(now, w)
	observed.InStateUs = now - progress.since
	state, detail, request := maintenance.Next(w, observed)
	if request && now-progress.requestedAt > platformRetryInterval.Microseconds() {
		progress.requestedAt = now
		c.requestFromPlatform(w)
	}
	if state == "" || c.maintenance.changePending {
		return
	}
	c.maintenance.changePending = true
	next := maintenance.SetState(calendar, w.Id, state, detail)
	if state == maintenance.Draining {
		maintenance.Find(next, w.Id).Identity = observed.Identity
	}
	c.proposeCalendar(now, revision, next, func(_ int64, o paxos.Outcome) {
		c.maintenance.changePending = false
		if o.Verdict == paxos.Committed {
			c.logf(result.MaintenanceAdvanced, "booking %d, %s of %s: %s %s", w.Id, w.Kind, w.Target, state, detail)
		}
	})
}

// progressOf returns the progress of a window. It starts over when the window has changed
// its state.
func (m *maintenanceState) progressOf(now int64, w *schema.MaintenanceWindow) *windowProgress {
	progress := m.progress[w.Id]
	if progress == nil || progress.state != w.State {
		progress = &windowProgress{state: w.State, since: now}
		m.progress[w.Id] = progress
	}
	return progress
}

// observeWindow returns the current state of a window's target.
func (c *Core) observeWindow(now int64, w *schema.MaintenanceWindow) maintenance.Observation {
	observed := maintenance.Observation{WallUs: c.maintenance.clock.at(now)}
	if w.Kind == maintenance.Stop {
		observed.MachineStopped = !c.nodeAlive(w.Target)
		return observed
	}
	state := c.groupState(w.Group)
	observed.Target = databaseName(w)
	if state.Phase == schema.Phase_OPEN {
		observed.Primary = state.Primary
	}
	for _, m := range state.Members {
		if m.Database == observed.Target {
			observed.Identity = m.Identity
		}
	}
	group := c.groups[w.Group]
	if group == nil {
		observed.Obstacle = "the group is no longer configured"
		return observed
	}
	for _, m := range state.Members {
		observed.MemberRetired = observed.MemberRetired || m.Database == observed.Target && m.Identity == "" && m.Retiring == w.Identity
	}
	observed.Obstacle = group.failover.Degraded(state)
	report := c.databaseReports(now, w.Group)[observed.Target]
	observed.BusyConnections, observed.OpenTransactions = report.BusyConnections, report.OpenTransactions
	return observed
}

func (c *Core) nodeAlive(name string) bool {
	for _, n := range c.nodes {
		if n.Name == name && n.Alive {
			return true
		}
	}
	return false
}

// databaseName returns the name of a window's target within its partner's configuration.
func databaseName(w *schema.MaintenanceWindow) string {
	return strings.TrimPrefix(w.Target, w.Owner+"/")
}

// requestFromPlatform emits the platform request of a window that waits for the platform.
func (c *Core) requestFromPlatform(w *schema.MaintenanceWindow) {
	if w.State != maintenance.AwaitingPlatform {
		return
	}
	switch w.Kind {
	case maintenance.Stop:
		c.emit(StopMachine{Machine: w.Target})
	case maintenance.Replacement:
		database := databaseName(w)
		address := c.configurations[w.Owner].GetDatabases()[database].GetAddress()
		c.emit(ReplaceDatabase{Database: database, Address: address, Identity: w.Identity})
	}
}

// groupMaintenance returns what the current windows require of a group: the primary to
// switch away from, the replica to set aside, and the identity of a replica to readmit
// because its window ended without a replacement.
func (c *Core) groupMaintenance(group string, state *schema.GroupState) (switchAwayFrom, memberToSetAside, readmitIdentity string) {
	for _, w := range c.maintenance.calendar.Windows {
		if w.Group != group {
			continue
		}
		database := databaseName(w)
		switch {
		case w.State == maintenance.Switching:
			switchAwayFrom = database
		case w.State == maintenance.Retiring:
			memberToSetAside = database
		case !maintenance.Pending(w) && w.Identity != "" && isRetiring(state, database, w.Identity):
			readmitIdentity = w.Identity
		}
	}
	return switchAwayFrom, memberToSetAside, readmitIdentity
}

// isRetiring reports whether a database's data with this identity is set aside.
func isRetiring(state *schema.GroupState, database, identity string) bool {
	for _, m := range state.Members {
		if m.Database == database && m.Retiring == identity {
			return true
		}
	}
	return false
}
