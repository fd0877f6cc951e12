package control

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"stoneford/bookings"
	"stoneford/language"
	"stoneford/paxos"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/step"
)

// BookingsKey is the register of the calendar both partners share.
const BookingsKey = "bookings"

// machinesDuty is the duty to stop machines at their time.
const machinesDuty = dutyPrefix + "machines"

const bookingEvery = 200_000

// Events and effects of the language.
type (
	// Ask is a sentence that a partner typed.
	Ask struct {
		ID      uint64
		Partner string
		Text    string
	}
	// Wall tells the wall clock; only the calendar goes by it.
	Wall struct{ Us int64 }
	// Told ends an Ask.
	Told struct {
		ID       uint64
		Code     result.Code
		Text     string
		Bookings []*schema.Booking
	}
	// Replace asks the platform to put a new, empty database in one's place.
	Replace struct{ Database, Address, Identity string }
	// StopMachine asks the platform to stop a machine's pool node.
	StopMachine struct{ Machine string }
)

// carried is what this process remembers of a booking it carries out.
type carried struct {
	state string
	since int64
	asked int64
}

func (c *Core) wall(now int64) int64 { return now + c.wallOffset }

func (c *Core) zone(partner string) *time.Location {
	if l, err := time.LoadLocation(c.configs[partner].GetTimeZone()); err == nil {
		return l
	}
	return time.UTC
}

// places are all databases and machines that a name can mean.
func (c *Core) places() []language.Place {
	var ps []language.Place
	for _, p := range slices.Sorted(maps.Keys(c.configs)) {
		cf := c.configs[p]
		for _, g := range slices.Sorted(maps.Keys(cf.Groups)) {
			st := GroupState(c.relay.Held(GroupPrefix + p + "/" + g))
			for _, m := range cf.Groups[g].Members {
				ps = append(ps, language.Place{Name: m, Partner: p, Group: p + "/" + g, Zone: cf.Databases[m].Zone, Primary: m == st.Primary})
			}
		}
	}
	for _, n := range c.nodes {
		if n.Kind == "pool" {
			ps = append(ps, language.Place{Name: n.Name, Machine: true, Partner: n.Partner, Zone: n.Zone})
		}
	}
	return ps
}

func (c *Core) facts() bookings.Fleet {
	n := 0
	for _, o := range c.nodes {
		if o.Kind == "pool" {
			n++
		}
	}
	return bookings.Fleet{Machines: n}
}

// ask understands a sentence and does what it says.
func (c *Core) sentence(now int64, e Ask) {
	ret := func(code result.Code, text string, bs ...*schema.Booking) {
		c.fx.Do = append(c.fx.Do, Told{ID: e.ID, Code: code, Text: text, Bookings: bs})
	}
	zone := c.zone(e.Partner)
	s, err := language.Parse(e.Text, time.UnixMicro(c.wall(now)).In(zone))
	if err != nil {
		ret(result.NotUnderstood, err.Error())
		return
	}
	switch s.Verb {
	case language.VerbHelp:
		ret(result.OK, language.Help)
	case language.VerbStatus:
		ret(result.OK, c.statusText())
	case language.VerbApplied:
		ret(result.OK, c.appliedText(e.Partner))
	case language.VerbWhy:
		c.why(now, e, s, ret)
	case language.VerbBooked:
		fits := func(string, string, string) bool { return true }
		if s.Whom.Text != "" {
			if fits, err = language.Whom(s.Whom, c.places()); err != nil {
				ret(result.NoSuchThing, err.Error())
				return
			}
		}
		c.read(now, BookingsKey, func(now int64, o paxos.Outcome) {
			if o.Verdict != paxos.Agreed {
				ret(verdict(o.Verdict, false), "")
				return
			}
			var bs []*schema.Booking
			for _, b := range bookings.Read(o.Value.GetData()).Bookings {
				if !fits(b.Owner, b.Group, b.Target) || !s.From.IsZero() && (b.AtUs < s.From.UnixMicro() || b.AtUs >= s.Until.UnixMicro()) || s.From.IsZero() && !bookings.Open(b) {
					continue
				}
				bs = append(bs, b)
			}
			ret(result.OK, c.bookedText(bs, zone), bs...)
		})
	default:
		c.change(now, e, s, zone, ret)
	}
}

// asked is a question put to every node.
type asked struct {
	ret    func(result.Code, string, ...*schema.Booking)
	until  int64
	waits  int
	found  []*schema.Decision
	nobody string // what to say if no node knows
}

// whyWait is how long nodes are waited for.
const whyWait = 1_000_000

// why asks every living node what it decided.
func (c *Core) why(now int64, e Ask, s language.Sentence, ret func(result.Code, string, ...*schema.Booking)) {
	m := &schema.WhyAsk{Partner: e.Partner, Query: s.Read}
	a := &asked{ret: ret, until: now + whyWait, nobody: fmt.Sprintf("no node has decided lately on a read %q of %s", s.Read, e.Partner)}
	if s.Group.Text != "" {
		g, err := language.Group(s.Group, c.places(), e.Partner)
		if err != nil {
			ret(result.NoSuchThing, err.Error())
			return
		}
		m.Group, a.nobody = g, "no node has decided on a read of "+g+" yet"
	}
	c.whys++
	m.Number = c.whys
	for _, n := range c.nodes {
		if n.Kind == "pool" && n.Alive {
			a.waits++
			c.fx.Send = append(c.fx.Send, step.Send{To: n.Address, Env: &schema.Envelope{From: c.self, Body: &schema.Envelope_WhyAsk{WhyAsk: m}}})
		}
	}
	c.asked[m.Number] = a
	c.whyTick(now)
}

func (c *Core) whyReturn(now int64, r *schema.WhyReturn) {
	if a := c.asked[r.Number]; a != nil {
		a.found = append(a.found, r.Decisions...)
		a.waits--
		c.whyTick(now)
	}
}

// whyTick ends the questions that all nodes have replied to, or long enough.
func (c *Core) whyTick(now int64) {
	for _, k := range slices.Sorted(maps.Keys(c.asked)) {
		a := c.asked[k]
		if a.waits > 0 && now < a.until {
			continue
		}
		delete(c.asked, k)
		if len(a.found) == 0 {
			a.ret(result.NoSuchThing, a.nobody)
			continue
		}
		slices.SortStableFunc(a.found, func(x, y *schema.Decision) int {
			return cmp.Or(cmp.Compare(x.Class, y.Class), cmp.Compare(x.Node, y.Node), cmp.Compare(y.AgoUs, x.AgoUs))
		})
		var ls []string
		for _, d := range a.found {
			ls = append(ls, decisionText(d))
		}
		a.ret(result.OK, strings.Join(ls, "\n"))
	}
}

func decisionText(d *schema.Decision) string {
	l := fmt.Sprintf("%s, %s", d.Group, d.Class)
	if d.Query != "" {
		l += " " + d.Query
	}
	l += fmt.Sprintf(", %.3f s ago by %s: on %s, %s", float64(d.AgoUs)/1e6, d.Node, d.Copy, d.Reason)
	if d.Floor > 0 {
		l += fmt.Sprintf("; its session wrote up to %d", d.Floor)
	}
	for _, o := range d.Candidates {
		if o.Fit {
			l += fmt.Sprintf("\n  %s: burden %d us + run %d us + wait %d us = %d us; it had applied %d and needed %d", o.Copy, o.BurdenUs, o.RunUs, o.WaitUs, o.BurdenUs+o.RunUs+o.WaitUs, o.Level, o.Need)
		} else {
			l += fmt.Sprintf("\n  %s: no level known would do; it had applied %d", o.Copy, o.Level)
		}
	}
	return l
}

// change changes the calendar: against its newest revision, and as the next.
func (c *Core) change(now int64, e Ask, s language.Sentence, zone *time.Location, ret func(result.Code, string, ...*schema.Booking)) {
	var b *schema.Booking
	if s.Verb == language.VerbBook {
		p, err := language.Resolve(s.Name, c.places(), s.Kind == bookings.Stop)
		if err != nil {
			var le *language.Error
			if errors.As(err, &le) && le.Several {
				ret(result.Ambiguous, err.Error())
			} else {
				ret(result.NoSuchThing, err.Error())
			}
			return
		}
		b = &schema.Booking{Kind: s.Kind, Target: p.Partner + "/" + p.Name, Group: p.Group, Owner: p.Partner, ProposedBy: e.Partner, AtUs: s.At.UnixMicro()}
		if p.Machine {
			b.Target = p.Name
		}
	}
	c.read(now, BookingsKey, func(now int64, o paxos.Outcome) {
		if o.Verdict != paxos.Agreed {
			ret(result.NoVoterMajority, "")
			return
		}
		old := bookings.Read(o.Value.GetData())
		var cal *schema.Calendar
		var is *schema.Booking
		var p *bookings.Problem
		wall := c.wall(now)
		switch s.Verb {
		case language.VerbBook:
			cal, is, p = bookings.Propose(old, b, wall, c.facts())
		case language.VerbConfirm:
			cal, is, p = bookings.Confirm(old, s.Booking, e.Partner, wall, c.facts())
		case language.VerbCancel:
			cal, is, p = bookings.Cancel(old, s.Booking, e.Partner)
		case language.VerbMove:
			cal, is, p = bookings.Move(old, s.Booking, e.Partner, s.At.UnixMicro(), wall, c.facts())
		}
		if p != nil {
			ret(p.Code, p.Text)
			return
		}
		c.putCalendar(now, o.Value.GetRevision(), cal, func(now int64, o paxos.Outcome) {
			if o.Verdict != paxos.Agreed {
				ret(verdict(o.Verdict, true), "")
				return
			}
			ret(result.OK, c.bookedText([]*schema.Booking{is}, zone), is)
		})
	})
}

func (c *Core) putCalendar(now int64, base uint64, cal *schema.Calendar, f func(int64, paxos.Outcome)) {
	b, err := proto.Marshal(cal)
	if err != nil {
		panic(err)
	}
	c.ask(now, paxos.Change{Name: c.name(), Key: BookingsKey, Base: base, Data: b, Deadline: now + settingExpiry}, f)
}

func (c *Core) bookedText(bs []*schema.Booking, zone *time.Location) string {
	if len(bs) == 0 {
		return "nothing is booked"
	}
	var ls []string
	for _, b := range bs {
		l := fmt.Sprintf("booking %d: %s of %s at %s, %s", b.Id, b.Kind, b.Target, time.UnixMicro(b.AtUs).In(zone).Format("2006-01-02 15:04 MST"), b.State)
		if b.State == bookings.Proposed {
			l += " by " + b.ProposedBy + ", to be confirmed by " + b.Owner
		}
		if b.Detail != "" {
			l += " (" + b.Detail + ")"
		}
		ls = append(ls, l)
	}
	return strings.Join(ls, "\n")
}

func (c *Core) statusText() string {
	var ls []string
	for _, k := range slices.Sorted(maps.Keys(c.groups)) {
		g := GroupState(c.relay.Held(GroupPrefix + k))
		ls = append(ls, fmt.Sprintf("%s: epoch %d, %s, primary %s", k, g.Epoch, strings.ToLower(g.Phase.String()), g.Primary))
	}
	alive := 0
	for _, n := range c.nodes {
		if n.Alive {
			alive++
		}
	}
	return strings.Join(append(ls, fmt.Sprintf("%d processes, %d alive", len(c.nodes), alive)), "\n")
}

func (c *Core) appliedText(partner string) string {
	m := c.Applied(ConfigPrefix + partner)
	ls := []string{fmt.Sprintf("%s, newest known revision %d", partner, c.relay.Held(ConfigPrefix+partner).GetRevision())}
	for _, n := range slices.Sorted(maps.Keys(m)) {
		ls = append(ls, fmt.Sprintf("%s: revision %d", n, m[n]))
	}
	return strings.Join(ls, "\n")
}

// bookingTick carries out what is due and is this process's duty. Every step
// of a booking is a revision of the calendar, so another process goes on from
// there if this one dies; what the platform is asked for can be asked again.
func (c *Core) bookingTick(now int64) {
	if now < c.nextBook || !c.wallKnown {
		return
	}
	c.nextBook = now + bookingEvery
	cal := c.cal
	rev := c.relay.Held(BookingsKey).GetRevision()
	for _, b := range cal.Bookings {
		d := machinesDuty
		if b.Group != "" {
			d = dutyPrefix + b.Group
		}
		if !bookings.Open(b) || !c.duty.Acts(d, now) {
			delete(c.carries, b.Id)
			continue
		}
		w := c.carries[b.Id]
		if w == nil || w.state != b.State {
			w = &carried{state: b.State, since: now}
			c.carries[b.Id] = w
		}
		v := c.bookingView(now, b)
		v.SinceUs = now - w.since
		st, detail, ask := bookings.Next(b, v)
		if ask && now-w.asked > 2_000_000 {
			w.asked = now
			c.carryOut(b)
		}
		if st == "" || c.bookingPut {
			continue
		}
		c.bookingPut = true
		n := bookings.To(cal, b.Id, st, detail)
		if st == bookings.Draining {
			bookings.Find(n, b.Id).Identity = v.Identity
		}
		c.putCalendar(now, rev, n, func(now int64, o paxos.Outcome) {
			c.bookingPut = false
			if o.Verdict == paxos.Agreed {
				c.say(result.BookingMoved, "booking %d, %s of %s: %s %s", b.Id, b.Kind, b.Target, st, detail)
			}
		})
	}
}

func (c *Core) bookingView(now int64, b *schema.Booking) bookings.View {
	v := bookings.View{WallUs: c.wall(now)}
	if b.Kind == bookings.Stop {
		v.Gone = true
		for _, n := range c.nodes {
			v.Gone = v.Gone && !(n.Name == b.Target && n.Alive)
		}
		return v
	}
	g := c.groups[b.Group]
	st := GroupState(c.relay.Held(GroupPrefix + b.Group))
	v.Target = strings.TrimPrefix(b.Target, b.Owner+"/")
	if st.Phase == schema.Phase_OPEN {
		v.Primary = st.Primary
	}
	for _, m := range st.Members {
		if m.Database == v.Target {
			v.Identity = m.Identity
		}
	}
	if g == nil {
		v.Well = "the group is no longer configured"
		return v
	}
	for _, m := range st.Members {
		v.Aside = v.Aside || m.Database == v.Target && m.Identity == "" && m.Retiring == b.Identity
	}
	v.Well = g.decider.Well(now, st)
	r := c.reports(now, b.Group)[v.Target]
	v.Busy, v.Open = r.Busy, r.Open
	return v
}

func (c *Core) carryOut(b *schema.Booking) {
	switch {
	case b.Kind == bookings.Stop && b.State == bookings.Handed:
		c.fx.Do = append(c.fx.Do, StopMachine{Machine: b.Target})
	case b.Kind == bookings.Replacement && b.State == bookings.Handed:
		n := strings.TrimPrefix(b.Target, b.Owner+"/")
		c.fx.Do = append(c.fx.Do, Replace{Database: n, Address: c.configs[b.Owner].GetDatabases()[n].GetAddress(), Identity: b.Identity})
	}
}

// moves is what the bookings under way want of a group: the primary to switch
// away from, the replica to set aside, and a copy that was set aside and stays,
// since its booking ended without a replacement.
func (c *Core) moves(group string, st *schema.GroupState) (avoid, aside, kept string) {
	for _, b := range c.cal.Bookings {
		if b.Group != group {
			continue
		}
		n := strings.TrimPrefix(b.Target, b.Owner+"/")
		switch {
		case b.State == bookings.Switching:
			avoid = n
		case b.State == bookings.Aside:
			aside = n
		case !bookings.Open(b) && b.Identity != "":
			for _, m := range st.Members {
				if m.Database == n && m.Retiring == b.Identity {
					kept = b.Identity
				}
			}
		}
	}
	return avoid, aside, kept
}
