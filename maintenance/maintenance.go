// Package maintenance keeps the calendar of planned moves (design 11). Its
// functions are pure: a calendar goes in, a changed copy comes out, and the
// register it lives in decides among those who change it at once.
package maintenance

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"stoneford/result"
	"stoneford/schema"
)

// Kinds of moves.
const (
	Replacement = "replacement" // drain, switch away if it is the primary, hand to the platform, wait until the new copy counts
	Switch      = "switch"      // another copy of the group becomes the primary
	Stop        = "stop"        // the platform stops a machine's pool node
)

// States of a booking.
const (
	Proposed         = "proposed"
	Confirmed        = "confirmed"
	Draining         = "draining"
	Closing          = "closing"
	Switching        = "switching"
	Retiring         = "setting aside"
	AwaitingPlatform = "handed to the platform"
	Done             = "done"
	Failed           = "failed"
	Missed           = "missed"
	Cancelled        = "cancelled"
)

const (
	// LengthUs is the time on the calendar that a move takes up.
	LengthUs = 10 * 60_000_000
	// StartToleranceUs is how much later than booked a move may begin; after that it is
	// missed, and has to be booked anew.
	StartToleranceUs = 15 * 60_000_000
	// retentionUs is how long ended bookings stay to be read.
	retentionUs = 14 * 24 * 3600 * 1_000_000
)

// Pending says whether a booking still has something to come.
func Pending(b *schema.MaintenanceWindow) bool {
	return !slices.Contains([]string{Done, Failed, Missed, Cancelled}, b.State)
}

// InProgress says whether a booking is being carried out.
func InProgress(b *schema.MaintenanceWindow) bool {
	return b.State == Draining || b.State == Closing || b.State == Switching || b.State == Retiring || b.State == AwaitingPlatform
}

// Problem is why a change of the calendar is bounced.
type Problem struct {
	Code result.Code
	Text string
}

func (p *Problem) Error() string { return fmt.Sprintf("%d %s", p.Code, p.Text) }

// Read reads a calendar out of its register's data.
func Read(data []byte) *schema.MaintenanceCalendar {
	c := &schema.MaintenanceCalendar{}
	if proto.Unmarshal(data, c) != nil {
		return &schema.MaintenanceCalendar{}
	}
	return c
}

func clone(c *schema.MaintenanceCalendar) *schema.MaintenanceCalendar {
	return proto.Clone(c).(*schema.MaintenanceCalendar)
}

// Find returns one booking.
func Find(c *schema.MaintenanceCalendar, id uint64) *schema.MaintenanceWindow {
	for _, b := range c.Windows {
		if b.Id == id {
			return b
		}
	}
	return nil
}

// Fleet is what the calendar is checked against: how many machines there are,
// and which of them hold a voter.
type Fleet struct {
	Machines int
}

// checkConflicts holds a booking against the others: a group has one move at a time, so
// that it keeps its majority, and no more than a third of the machines stop.
func checkConflicts(c *schema.MaintenanceCalendar, b *schema.MaintenanceWindow, nowUs int64, f Fleet) *Problem {
	if b.AtUs < nowUs-60_000_000 {
		return &Problem{result.PastTime, ""}
	}
	stops := 0
	for _, o := range c.Windows {
		if o.Id == b.Id || !Pending(o) || o.AtUs >= b.AtUs+b.LengthUs || b.AtUs >= o.AtUs+o.LengthUs {
			continue
		}
		if o.Target == b.Target || b.Group != "" && o.Group == b.Group {
			return &Problem{result.MaintenanceOverlaps, fmt.Sprintf("booking %d: %s of %s", o.Id, o.Kind, o.Target)}
		}
		if o.Kind == Stop {
			stops++
		}
	}
	if b.Kind == Stop && stops+1 > f.Machines/3 {
		return &Problem{result.TooMuchAtOnce, fmt.Sprintf("%d of %d machines would be stopped at once", stops+1, f.Machines)}
	}
	return nil
}

// Propose adds a booking.
func Propose(c *schema.MaintenanceCalendar, b *schema.MaintenanceWindow, nowUs int64, f Fleet) (*schema.MaintenanceCalendar, *schema.MaintenanceWindow, *Problem) {
	n := clone(c)
	n.Windows = slices.DeleteFunc(n.Windows, func(o *schema.MaintenanceWindow) bool { return !Pending(o) && o.AtUs < nowUs-retentionUs })
	n.LastId++
	b = proto.Clone(b).(*schema.MaintenanceWindow)
	b.Id, b.State, b.LengthUs = n.LastId, Proposed, LengthUs
	if p := checkConflicts(n, b, nowUs, f); p != nil {
		return nil, nil, p
	}
	n.Windows = append(n.Windows, b)
	return n, b, nil
}

// changeNotStarted is what all changes by a person have in common: the booking is there
// and has not begun.
func changeNotStarted(c *schema.MaintenanceCalendar, id uint64, do func(*schema.MaintenanceWindow) *Problem) (*schema.MaintenanceCalendar, *schema.MaintenanceWindow, *Problem) {
	n := clone(c)
	b := Find(n, id)
	if b == nil {
		return nil, nil, &Problem{result.NotFound, fmt.Sprintf("booking %d", id)}
	}
	if b.State != Proposed && b.State != Confirmed {
		return nil, nil, &Problem{result.WrongState, fmt.Sprintf("booking %d is %s", id, b.State)}
	}
	if p := do(b); p != nil {
		return nil, nil, p
	}
	return n, b, nil
}

// Confirm is the owner's alone.
func Confirm(c *schema.MaintenanceCalendar, id uint64, partner string, nowUs int64, f Fleet) (*schema.MaintenanceCalendar, *schema.MaintenanceWindow, *Problem) {
	return changeNotStarted(c, id, func(b *schema.MaintenanceWindow) *Problem {
		if b.Owner != partner {
			return &Problem{result.NotOwner, fmt.Sprintf("%s belongs to %s", b.Target, b.Owner)}
		}
		b.State = Confirmed
		return checkConflicts(c, b, nowUs, f)
	})
}

// Cancel is its proposer's or the owner's.
func Cancel(c *schema.MaintenanceCalendar, id uint64, partner string) (*schema.MaintenanceCalendar, *schema.MaintenanceWindow, *Problem) {
	return changeNotStarted(c, id, func(b *schema.MaintenanceWindow) *Problem {
		if b.Owner != partner && b.ProposedBy != partner {
			return &Problem{result.NotOwner, fmt.Sprintf("%s belongs to %s", b.Target, b.Owner)}
		}
		b.State, b.Detail = Cancelled, "by "+partner
		return nil
	})
}

// Move gives a booking another time; whoever does it, the owner has to confirm
// it again.
func Move(c *schema.MaintenanceCalendar, id uint64, partner string, atUs, nowUs int64, f Fleet) (*schema.MaintenanceCalendar, *schema.MaintenanceWindow, *Problem) {
	return changeNotStarted(c, id, func(b *schema.MaintenanceWindow) *Problem {
		if b.Owner != partner && b.ProposedBy != partner {
			return &Problem{result.NotOwner, fmt.Sprintf("%s belongs to %s", b.Target, b.Owner)}
		}
		b.AtUs, b.State = atUs, Proposed
		return checkConflicts(c, b, nowUs, f)
	})
}

// SetState brings a booking to its next state.
func SetState(c *schema.MaintenanceCalendar, id uint64, state, detail string) *schema.MaintenanceCalendar {
	n := clone(c)
	if b := Find(n, id); b != nil {
		b.State, b.Detail = state, detail
	}
	return n
}

// IsDraining says whether a database is being drained by a booking under way.
func IsDraining(c *schema.MaintenanceCalendar, target string) bool {
	return inState(c, target, Draining) || IsClosed(c, target)
}

// IsClosed says whether a booking under way lets nothing new reach a database.
func IsClosed(c *schema.MaintenanceCalendar, target string) bool {
	return inState(c, target, Closing, Switching, Retiring, AwaitingPlatform)
}

func inState(c *schema.MaintenanceCalendar, target string, states ...string) bool {
	return slices.ContainsFunc(c.GetWindows(), func(b *schema.MaintenanceWindow) bool {
		return b.Target == target && b.Kind != Stop && slices.Contains(states, b.State)
	})
}

// Observation is what the one who carries a booking out sees.
type Observation struct {
	WallUs           int64
	InStateUs        int64  // how long it has seen the booking in this state
	Obstacle         string // why the group could not bear the move now, "" if it could
	Primary          string // the group's, once its epoch is open
	Target           string // the database's own name
	Identity         string // the agreed one of the target's copy
	MemberRetired    bool   // the copy that is to go no longer counts as a member
	BusyConnections  int    // connections in use to the target
	OpenTransactions int    // of these, by open transactions
	MachineStopped   bool   // the machine is stopped
}

const (
	minDrain        = 300_000
	maxDrain        = 4_000_000
	maxClosing      = 1_000_000
	platformTimeout = 10 * 60_000_000
	switchTimeout   = 60_000_000
)

// Next is the state a booking goes on to now, "" for none. ask says that the
// platform, or the group's decider, is to be asked in this state.
func Next(b *schema.MaintenanceWindow, v Observation) (state, detail string, requestPlatform bool) {
	switch b.State {
	case Proposed:
		if v.WallUs > b.AtUs+StartToleranceUs {
			return Missed, "it was not confirmed in time", false
		}
	case Confirmed:
		switch {
		case v.WallUs < b.AtUs:
		case v.WallUs > b.AtUs+StartToleranceUs:
			return Missed, "it could not begin in time: " + v.Obstacle, false
		case v.Obstacle != "":
		case b.Kind == Stop:
			return AwaitingPlatform, "", false
		case b.Kind == Switch && v.Primary != v.Target:
			return Done, "it is not the primary", false
		default:
			return Draining, "", false
		}
	case Draining:
		// A primary goes on with single statements until its transactions have
		// ended; a replica takes nothing new at once.
		primary := v.Primary == v.Target && v.Target != ""
		switch {
		case v.InStateUs < minDrain, v.InStateUs < maxDrain && (v.OpenTransactions > 0 || v.BusyConnections > 0 && !primary):
		case primary:
			return Closing, "", false
		case b.Kind == Switch && v.Primary != "":
			return Done, v.Primary + " is the primary", false
		case v.Primary != "":
			return Retiring, "", false
		case v.InStateUs > switchTimeout:
			return Failed, "the group could not bear it: " + v.Obstacle, false
		}
	case Closing:
		switch {
		case v.Primary != v.Target:
			return Switching, "", false
		case v.InStateUs >= minDrain && v.BusyConnections == 0 || v.InStateUs >= maxClosing:
			return Switching, "", false
		}
	case Switching:
		switch {
		case v.Primary != "" && v.Primary != v.Target && b.Kind == Switch:
			return Done, v.Primary + " is the primary", false
		case v.Primary != "" && v.Primary != v.Target:
			return Retiring, v.Primary + " is the primary", false
		case v.InStateUs > switchTimeout:
			return Failed, "no other copy became the primary", false
		}
		return "", "", true
	case Retiring:
		// The platform is asked only once nothing acknowledged rests on the copy
		// that goes (design 11.4).
		switch {
		case v.MemberRetired:
			return AwaitingPlatform, "", false
		case v.Primary == v.Target && v.Target != "":
			return Switching, "a takeover made it the primary", false
		case v.Identity != "" && v.Identity != b.Identity:
			return Done, "another copy counts already", false
		case v.InStateUs > switchTimeout:
			return Failed, "the group could not spare it: " + v.Obstacle, false
		}
		return "", "", true
	case AwaitingPlatform:
		switch {
		case b.Kind == Stop && v.MachineStopped:
			return Done, "", false
		case b.Kind == Replacement && v.Identity != "" && v.Identity != b.Identity:
			return Done, "the new copy counts", false
		case v.InStateUs > platformTimeout:
			return Failed, "the platform did not carry it out", false
		}
		return "", "", true
	}
	return "", "", false
}
