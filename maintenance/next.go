package maintenance

import (
	"time"

	"stoneford/schema"
)

const (
	// minDrain is the minimum time in a state that waits for connections to become idle.
	// The pool nodes learn of the state within this time.
	minDrain = 300 * time.Millisecond
	// maxDrain bounds the wait for open transactions and reads. Those that have not ended
	// by then are interrupted.
	maxDrain = 4 * time.Second
	// maxClosing bounds the wait for single statements on a closed primary. Callers'
	// statements are rejected during this time.
	maxClosing = time.Second
	// switchTimeout bounds the wait until another database is the primary, or until the
	// group can do without the database.
	switchTimeout = time.Minute
	// platformTimeout bounds the wait for the platform to replace a database or to
	// stop a machine.
	platformTimeout = 10 * time.Minute
)

// Observation is the state of a window's target as the process that carries out the
// window observes it.
type Observation struct {
	WallUs           int64  // time of day
	InStateUs        int64  // time for which the process has seen the window in its state
	Obstacle         string // reason why the group cannot have a window now, "" if it can
	Primary          string // primary of the group, "" while its epoch is not open
	Target           string // name of the target database
	Identity         string // committed identity of the target's data
	MemberRetired    bool   // the group no longer counts the data to be replaced as a member
	BusyConnections  int    // busy connections to the target
	OpenTransactions int    // open transactions on these connections
	MachineStopped   bool
}

func (o Observation) targetIsPrimary() bool { return o.Target != "" && o.Primary == o.Target }

// otherPrimary reports whether a database other than the target is the primary.
func (o Observation) otherPrimary() bool { return o.Primary != "" && o.Primary != o.Target }

// inStateFor reports whether the window has been in its state for at least a duration.
func (o Observation) inStateFor(d time.Duration) bool { return o.InStateUs >= d.Microseconds() }

// exceeds reports whether the window has been in its state for longer than a duration.
func (o Observation) exceeds(d time.Duration) bool { return o.InStateUs > d.Microseconds() }

// replaced reports whether the group now counts other data as a member instead of the data
// to be replaced.
func (o Observation) replaced(w *schema.MaintenanceWindow) bool {
	return o.Identity != "" && o.Identity != w.Identity
}

// transition holds the next state of a window, "" if the window stays in its state, and the
// detail to be stored with it.
type transition struct{ state, detail string }

var noTransition transition

// Next returns the next state of a window and the detail to be stored with it; the state
// is "" if the window stays in its state. request reports whether the platform, or the
// group's failover decision, has to be asked to act in the present state.
func Next(w *schema.MaintenanceWindow, o Observation) (state, detail string, request bool) {
	var t transition
	switch w.State {
	case Proposed:
		t = nextProposed(w, o)
	case Confirmed:
		t = nextConfirmed(w, o)
	case Draining:
		t = nextDraining(w, o)
	case Closing:
		t = nextClosing(o)
	case Switching:
		t, request = nextSwitching(w, o), true
	case Retiring:
		t, request = nextRetiring(w, o), true
	case AwaitingPlatform:
		t, request = nextAwaitingPlatform(w, o), true
	}
	return t.state, t.detail, request && t == noTransition
}

func startMissed(w *schema.MaintenanceWindow, o Observation) bool {
	return o.WallUs > w.AtUs+StartTolerance.Microseconds()
}

func nextProposed(w *schema.MaintenanceWindow, o Observation) transition {
	if startMissed(w, o) {
		return transition{Missed, "it was not confirmed in time"}
	}
	return noTransition
}

// nextConfirmed begins the window once it is due and the group has no obstacle.
func nextConfirmed(w *schema.MaintenanceWindow, o Observation) transition {
	switch {
	case o.WallUs < w.AtUs:
		return noTransition
	case startMissed(w, o):
		return transition{Missed, "it could not begin in time: " + o.Obstacle}
	case o.Obstacle != "":
		return noTransition
	case w.Kind == Stop:
		return transition{AwaitingPlatform, ""}
	case w.Kind == Switch && o.Primary != o.Target:
		return transition{Done, "it is not the primary"}
	}
	return transition{Draining, ""}
}

// nextDraining waits until transactions have ended. Meanwhile a primary continues to run
// single statements. A replica gets no new statements, so all its connections become idle.
func nextDraining(w *schema.MaintenanceWindow, o Observation) transition {
	primary := o.targetIsPrimary()
	busy := o.OpenTransactions > 0 || o.BusyConnections > 0 && !primary
	switch {
	case !o.inStateFor(minDrain), !o.inStateFor(maxDrain) && busy:
		return noTransition
	case primary:
		return transition{Closing, ""}
	case w.Kind == Switch && o.Primary != "":
		return transition{Done, o.Primary + " is the primary"}
	case o.Primary != "":
		return transition{Retiring, ""}
	case o.exceeds(switchTimeout):
		return transition{Failed, "the group could not bear it: " + o.Obstacle}
	}
	return noTransition
}

// nextClosing waits until the last statements on the primary have ended.
func nextClosing(o Observation) transition {
	idle := o.inStateFor(minDrain) && o.BusyConnections == 0
	if o.Primary != o.Target || idle || o.inStateFor(maxClosing) {
		return transition{Switching, ""}
	}
	return noTransition
}

// nextSwitching waits until another database is the primary.
func nextSwitching(w *schema.MaintenanceWindow, o Observation) transition {
	switch {
	case o.otherPrimary() && w.Kind == Switch:
		return transition{Done, o.Primary + " is the primary"}
	case o.otherPrimary():
		return transition{Retiring, o.Primary + " is the primary"}
	case o.exceeds(switchTimeout):
		return transition{Failed, "no other copy became the primary"}
	}
	return noTransition
}

// nextRetiring waits until the group no longer counts the database as a member. Only then
// is the platform asked to replace it, so that no acknowledged commit depends on the
// removed database (design 11.4).
func nextRetiring(w *schema.MaintenanceWindow, o Observation) transition {
	switch {
	case o.MemberRetired:
		return transition{AwaitingPlatform, ""}
	case o.targetIsPrimary():
		return transition{Switching, "a takeover made it the primary"}
	case o.replaced(w):
		return transition{Done, "another copy counts already"}
	case o.exceeds(switchTimeout):
		return transition{Failed, "the group could not spare it: " + o.Obstacle}
	}
	return noTransition
}

// nextAwaitingPlatform waits until the platform has replaced the database or stopped the
// machine.
func nextAwaitingPlatform(w *schema.MaintenanceWindow, o Observation) transition {
	switch {
	case w.Kind == Stop && o.MachineStopped:
		return transition{Done, ""}
	case w.Kind == Replacement && o.replaced(w):
		return transition{Done, "the new copy counts"}
	case o.exceeds(platformTimeout):
		return transition{Failed, "the platform did not carry it out"}
	}
	return noTransition
}
