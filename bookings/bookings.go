// Package bookings keeps the calendar of planned moves (design 11). Its
// functions are pure: a calendar goes in, a changed copy comes out, and the
// register it lives in decides among those who change it at once.
package bookings

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
	Proposed  = "proposed"
	Confirmed = "confirmed"
	Draining  = "draining"
	Closing   = "closing"
	Switching = "switching"
	Aside     = "setting aside"
	Handed    = "handed to the platform"
	Done      = "done"
	Failed    = "failed"
	Missed    = "missed"
	Cancelled = "cancelled"
)

const (
	// LengthUs is the time on the calendar that a move takes up.
	LengthUs = 10 * 60_000_000
	// MissAfterUs is how much later than booked a move may begin; after that it is
	// missed, and has to be booked anew.
	MissAfterUs = 15 * 60_000_000
	// keepUs is how long ended bookings stay to be read.
	keepUs = 14 * 24 * 3600 * 1_000_000
)

// Open says whether a booking still has something to come.
func Open(b *schema.Booking) bool {
	return !slices.Contains([]string{Done, Failed, Missed, Cancelled}, b.State)
}

// Begun says whether a booking is being carried out.
func Begun(b *schema.Booking) bool {
	return b.State == Draining || b.State == Closing || b.State == Switching || b.State == Aside || b.State == Handed
}

// Problem is why a change of the calendar is bounced.
type Problem struct {
	Code result.Code
	Text string
}

func (p *Problem) Error() string { return fmt.Sprintf("%d %s", p.Code, p.Text) }

// Read reads a calendar out of its register's data.
func Read(data []byte) *schema.Calendar {
	c := &schema.Calendar{}
	if proto.Unmarshal(data, c) != nil {
		return &schema.Calendar{}
	}
	return c
}

func copyOf(c *schema.Calendar) *schema.Calendar { return proto.Clone(c).(*schema.Calendar) }

// Find returns one booking.
func Find(c *schema.Calendar, id uint64) *schema.Booking {
	for _, b := range c.Bookings {
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

// check holds a booking against the others: a group has one move at a time, so
// that it keeps its majority, and no more than a third of the machines stop.
func check(c *schema.Calendar, b *schema.Booking, nowUs int64, f Fleet) *Problem {
	if b.AtUs < nowUs-60_000_000 {
		return &Problem{result.PastTime, ""}
	}
	stops := 0
	for _, o := range c.Bookings {
		if o.Id == b.Id || !Open(o) || o.AtUs >= b.AtUs+b.LengthUs || b.AtUs >= o.AtUs+o.LengthUs {
			continue
		}
		if o.Target == b.Target || b.Group != "" && o.Group == b.Group {
			return &Problem{result.Overlaps, fmt.Sprintf("booking %d: %s of %s", o.Id, o.Kind, o.Target)}
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
func Propose(c *schema.Calendar, b *schema.Booking, nowUs int64, f Fleet) (*schema.Calendar, *schema.Booking, *Problem) {
	n := copyOf(c)
	n.Bookings = slices.DeleteFunc(n.Bookings, func(o *schema.Booking) bool { return !Open(o) && o.AtUs < nowUs-keepUs })
	n.LastId++
	b = proto.Clone(b).(*schema.Booking)
	b.Id, b.State, b.LengthUs = n.LastId, Proposed, LengthUs
	if p := check(n, b, nowUs, f); p != nil {
		return nil, nil, p
	}
	n.Bookings = append(n.Bookings, b)
	return n, b, nil
}

// change is what all changes by a person have in common: the booking is there
// and has not begun.
func change(c *schema.Calendar, id uint64, do func(*schema.Booking) *Problem) (*schema.Calendar, *schema.Booking, *Problem) {
	n := copyOf(c)
	b := Find(n, id)
	if b == nil {
		return nil, nil, &Problem{result.NoSuchThing, fmt.Sprintf("booking %d", id)}
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
func Confirm(c *schema.Calendar, id uint64, partner string, nowUs int64, f Fleet) (*schema.Calendar, *schema.Booking, *Problem) {
	return change(c, id, func(b *schema.Booking) *Problem {
		if b.Owner != partner {
			return &Problem{result.NotOwner, fmt.Sprintf("%s belongs to %s", b.Target, b.Owner)}
		}
		b.State = Confirmed
		return check(c, b, nowUs, f)
	})
}

// Cancel is its proposer's or the owner's.
func Cancel(c *schema.Calendar, id uint64, partner string) (*schema.Calendar, *schema.Booking, *Problem) {
	return change(c, id, func(b *schema.Booking) *Problem {
		if b.Owner != partner && b.ProposedBy != partner {
			return &Problem{result.NotOwner, fmt.Sprintf("%s belongs to %s", b.Target, b.Owner)}
		}
		b.State, b.Detail = Cancelled, "by "+partner
		return nil
	})
}

// Move gives a booking another time; whoever does it, the owner has to confirm
// it again.
func Move(c *schema.Calendar, id uint64, partner string, atUs, nowUs int64, f Fleet) (*schema.Calendar, *schema.Booking, *Problem) {
	return change(c, id, func(b *schema.Booking) *Problem {
		if b.Owner != partner && b.ProposedBy != partner {
			return &Problem{result.NotOwner, fmt.Sprintf("%s belongs to %s", b.Target, b.Owner)}
		}
		b.AtUs, b.State = atUs, Proposed
		return check(c, b, nowUs, f)
	})
}

// To brings a booking to its next state.
func To(c *schema.Calendar, id uint64, state, detail string) *schema.Calendar {
	n := copyOf(c)
	if b := Find(n, id); b != nil {
		b.State, b.Detail = state, detail
	}
	return n
}

// Drained says whether a database is being drained by a booking under way.
func Drained(c *schema.Calendar, target string) bool {
	return at(c, target, Draining) || Closed(c, target)
}

// Closed says whether a booking under way lets nothing new reach a database.
func Closed(c *schema.Calendar, target string) bool {
	return at(c, target, Closing, Switching, Aside, Handed)
}

func at(c *schema.Calendar, target string, states ...string) bool {
	return slices.ContainsFunc(c.GetBookings(), func(b *schema.Booking) bool {
		return b.Target == target && b.Kind != Stop && slices.Contains(states, b.State)
	})
}

// View is what the one who carries a booking out sees.
type View struct {
	WallUs   int64
	SinceUs  int64  // how long it has seen the booking in this state
	Well     string // why the group could not bear the move now, "" if it could
	Primary  string // the group's, once its epoch is open
	Target   string // the database's own name
	Identity string // the agreed one of the target's copy
	Aside    bool   // the copy that is to go no longer counts as a member
	Busy     int    // connections in use to the target
	Open     int    // of these, by open transactions
	Gone     bool   // the machine is stopped
}

const (
	drainLeast = 300_000
	drainMost  = 4_000_000
	closeMost  = 1_000_000
	giveUp     = 10 * 60_000_000
	switchMost = 60_000_000
)

// Next is the state a booking goes on to now, "" for none. ask says that the
// platform, or the group's decider, is to be asked in this state.
func Next(b *schema.Booking, v View) (state, detail string, ask bool) {
	switch b.State {
	case Proposed:
		if v.WallUs > b.AtUs+MissAfterUs {
			return Missed, "it was not confirmed in time", false
		}
	case Confirmed:
		switch {
		case v.WallUs < b.AtUs:
		case v.WallUs > b.AtUs+MissAfterUs:
			return Missed, "it could not begin in time: " + v.Well, false
		case v.Well != "":
		case b.Kind == Stop:
			return Handed, "", false
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
		case v.SinceUs < drainLeast, v.SinceUs < drainMost && (v.Open > 0 || v.Busy > 0 && !primary):
		case primary:
			return Closing, "", false
		case b.Kind == Switch && v.Primary != "":
			return Done, v.Primary + " is the primary", false
		case v.Primary != "":
			return Aside, "", false
		case v.SinceUs > switchMost:
			return Failed, "the group could not bear it: " + v.Well, false
		}
	case Closing:
		switch {
		case v.Primary != v.Target:
			return Switching, "", false
		case v.SinceUs >= drainLeast && v.Busy == 0 || v.SinceUs >= closeMost:
			return Switching, "", false
		}
	case Switching:
		switch {
		case v.Primary != "" && v.Primary != v.Target && b.Kind == Switch:
			return Done, v.Primary + " is the primary", false
		case v.Primary != "" && v.Primary != v.Target:
			return Aside, v.Primary + " is the primary", false
		case v.SinceUs > switchMost:
			return Failed, "no other copy became the primary", false
		}
		return "", "", true
	case Aside:
		// The platform is asked only once nothing acknowledged rests on the copy
		// that goes (design 11.4).
		switch {
		case v.Aside:
			return Handed, "", false
		case v.Primary == v.Target && v.Target != "":
			return Switching, "a takeover made it the primary", false
		case v.Identity != "" && v.Identity != b.Identity:
			return Done, "another copy counts already", false
		case v.SinceUs > switchMost:
			return Failed, "the group could not spare it: " + v.Well, false
		}
		return "", "", true
	case Handed:
		switch {
		case b.Kind == Stop && v.Gone:
			return Done, "", false
		case b.Kind == Replacement && v.Identity != "" && v.Identity != b.Identity:
			return Done, "the new copy counts", false
		case v.SinceUs > giveUp:
			return Failed, "the platform did not carry it out", false
		}
		return "", "", true
	}
	return "", "", false
}
