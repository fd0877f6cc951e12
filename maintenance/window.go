package maintenance

import (
	"slices"
	"time"

	"stoneford/schema"
)

// Kinds of maintenance windows. They are stored in the calendar.
const (
	Replacement = "replacement" // the platform replaces a database by a new, empty one
	Switch      = "switch"      // another database of the group becomes the primary
	Stop        = "stop"        // the platform stops the pool node of a machine
)

// States of a window. They are stored in the calendar.
const (
	Proposed         = "proposed"               // waits for the owner's confirmation
	Confirmed        = "confirmed"              // waits for its start time
	Draining         = "draining"               // no new transactions, and no new reads on a replica
	Closing          = "closing"                // no new statements on the primary
	Switching        = "switching"              // another database becomes the primary
	Retiring         = "setting aside"          // the group stops counting the database as a member
	AwaitingPlatform = "handed to the platform" // the platform replaces the database or stops the machine
	Done             = "done"
	Failed           = "failed"
	Missed           = "missed" // was not confirmed, or could not begin, in time
	Cancelled        = "cancelled"
)

const (
	// Length is the length of a window in the calendar. Windows of the same group must not
	// overlap.
	Length = 10 * time.Minute
	// StartTolerance is the maximum delay of a window's start. A window that has not begun
	// by then is missed and has to be proposed again.
	StartTolerance = 15 * time.Minute
	// retention is the time after its planned start for which an ended window stays in
	// the calendar.
	retention = 14 * 24 * time.Hour
	// clockTolerance is the maximum time by which the start of a new window may lie in the
	// past, since the clocks of the partners and the control processes differ.
	clockTolerance = time.Minute
)

// Pending reports whether a window has not ended.
func Pending(w *schema.MaintenanceWindow) bool {
	switch w.State {
	case Done, Failed, Missed, Cancelled:
		return false
	}
	return true
}

// InProgress reports whether a window has begun and not ended.
func InProgress(w *schema.MaintenanceWindow) bool {
	switch w.State {
	case Draining, Closing, Switching, Retiring, AwaitingPlatform:
		return true
	}
	return false
}

// IsDraining reports whether a window drains a database (PARTNER/DATABASE): a replica gets
// no new reads, and a primary gets no new transactions.
func IsDraining(c *schema.MaintenanceCalendar, target string) bool {
	return hasWindowInState(c, target, Draining) || IsClosed(c, target)
}

// IsClosed reports whether a window closes a database to all new statements.
func IsClosed(c *schema.MaintenanceCalendar, target string) bool {
	return hasWindowInState(c, target, Closing, Switching, Retiring, AwaitingPlatform)
}

func hasWindowInState(c *schema.MaintenanceCalendar, target string, states ...string) bool {
	return slices.ContainsFunc(c.GetWindows(), func(w *schema.MaintenanceWindow) bool {
		return w.Target == target && w.Kind != Stop && slices.Contains(states, w.State)
	})
}
