package maintenance

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"stoneford/result"
	"stoneford/schema"
)

// Problem is the reason for which a change of the calendar is rejected.
type Problem struct {
	Code result.Code
	Text string // details, may be empty
}

// Error returns the code and the text.
func (p *Problem) Error() string { return fmt.Sprintf("%d %s", p.Code, p.Text) }

// Fleet holds the properties of the fleet that limit the calendar.
type Fleet struct {
	Machines int // number of machines that run a pool node
}

// Decode decodes a calendar from its register's data. The calendar is empty if data is
// nil or corrupt.
func Decode(data []byte) *schema.MaintenanceCalendar {
	c := &schema.MaintenanceCalendar{}
	if proto.Unmarshal(data, c) != nil {
		return &schema.MaintenanceCalendar{}
	}
	return c
}

// Find returns the window with an ID, nil if there is none.
func Find(c *schema.MaintenanceCalendar, id uint64) *schema.MaintenanceWindow {
	for _, w := range c.Windows {
		if w.Id == id {
			return w
		}
	}
	return nil
}

// Propose adds a window to the calendar and sets the window's ID, state and length. It
// also removes ended windows whose planned start is longer ago than retention. nowUs is
// the time of day.
func Propose(c *schema.MaintenanceCalendar, window *schema.MaintenanceWindow, nowUs int64, f Fleet) (*schema.MaintenanceCalendar, *schema.MaintenanceWindow, *Problem) {
	next := clone(c)
	next.Windows = slices.DeleteFunc(next.Windows, func(o *schema.MaintenanceWindow) bool { return !Pending(o) && o.AtUs < nowUs-retention.Microseconds() })
	next.LastId++
	window = proto.Clone(window).(*schema.MaintenanceWindow)
	window.Id, window.State, window.LengthUs = next.LastId, Proposed, Length.Microseconds()
	if p := checkConflicts(next, window, nowUs, f); p != nil {
		return nil, nil, p
	}
	next.Windows = append(next.Windows, window)
	return next, window, nil
}

// Confirm confirms a window. Only the owner of its target may do so.
func Confirm(c *schema.MaintenanceCalendar, id uint64, partner string, nowUs int64, f Fleet) (*schema.MaintenanceCalendar, *schema.MaintenanceWindow, *Problem) {
	return changeNotStarted(c, id, func(w *schema.MaintenanceWindow) *Problem {
		if w.Owner != partner {
			return notOwner(w)
		}
		w.State = Confirmed
		return checkConflicts(c, w, nowUs, f)
	})
}

// Cancel cancels a window. The owner and the partner who proposed the window may do so.
func Cancel(c *schema.MaintenanceCalendar, id uint64, partner string) (*schema.MaintenanceCalendar, *schema.MaintenanceWindow, *Problem) {
	return changeNotStarted(c, id, func(w *schema.MaintenanceWindow) *Problem {
		if w.Owner != partner && w.ProposedBy != partner {
			return notOwner(w)
		}
		w.State, w.Detail = Cancelled, "by "+partner
		return nil
	})
}

// Move changes the time of a window. The owner and the partner who proposed the window may
// do so; in either case the owner has to confirm the window again.
func Move(c *schema.MaintenanceCalendar, id uint64, partner string, atUs, nowUs int64, f Fleet) (*schema.MaintenanceCalendar, *schema.MaintenanceWindow, *Problem) {
	return changeNotStarted(c, id, func(w *schema.MaintenanceWindow) *Problem {
		if w.Owner != partner && w.ProposedBy != partner {
			return notOwner(w)
		}
		w.AtUs, w.State = atUs, Proposed
		return checkConflicts(c, w, nowUs, f)
	})
}

// SetState returns the calendar with the state and detail of a window replaced.
func SetState(c *schema.MaintenanceCalendar, id uint64, state, detail string) *schema.MaintenanceCalendar {
	next := clone(c)
	if w := Find(next, id); w != nil {
		w.State, w.Detail = state, detail
	}
	return next
}

// changeNotStarted applies a change to a copy of a window that has not begun.
func changeNotStarted(c *schema.MaintenanceCalendar, id uint64, change func(*schema.MaintenanceWindow) *Problem) (*schema.MaintenanceCalendar, *schema.MaintenanceWindow, *Problem) {
	next := clone(c)
	w := Find(next, id)
	if w == nil {
		return nil, nil, &Problem{result.NotFound, fmt.Sprintf("booking %d", id)}
	}
	if w.State != Proposed && w.State != Confirmed {
		return nil, nil, &Problem{result.WrongState, fmt.Sprintf("booking %d is %s", id, w.State)}
	}
	if p := change(w); p != nil {
		return nil, nil, p
	}
	return next, w, nil
}

// checkConflicts checks that a window is not in the past and does not conflict with the
// other windows of the calendar: a group has at most one window at a time, and at most a
// third of the machines are stopped at once.
func checkConflicts(c *schema.MaintenanceCalendar, w *schema.MaintenanceWindow, nowUs int64, f Fleet) *Problem {
	if w.AtUs < nowUs-clockTolerance.Microseconds() {
		return &Problem{result.TimeInPast, ""}
	}
	stops := 0
	for _, o := range c.Windows {
		if o.Id == w.Id || !Pending(o) || !overlaps(o, w) {
			continue
		}
		if o.Target == w.Target || w.Group != "" && o.Group == w.Group {
			return &Problem{result.MaintenanceOverlaps, fmt.Sprintf("booking %d: %s of %s", o.Id, o.Kind, o.Target)}
		}
		if o.Kind == Stop {
			stops++
		}
	}
	if w.Kind == Stop && stops+1 > f.Machines/3 {
		return &Problem{result.InsufficientCapacity, fmt.Sprintf("%d of %d machines would be stopped at once", stops+1, f.Machines)}
	}
	return nil
}

func overlaps(a, b *schema.MaintenanceWindow) bool {
	return a.AtUs < b.AtUs+b.LengthUs && b.AtUs < a.AtUs+a.LengthUs
}

func notOwner(w *schema.MaintenanceWindow) *Problem {
	return &Problem{result.NotOwner, fmt.Sprintf("%s belongs to %s", w.Target, w.Owner)}
}

func clone(c *schema.MaintenanceCalendar) *schema.MaintenanceCalendar {
	return proto.Clone(c).(*schema.MaintenanceCalendar)
}
