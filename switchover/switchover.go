// Package switchover decides, for one group, who leads it where followers can be
// held but not sealed: it founds the group, replaces a primary that is lost or
// that leaves, and tidies up behind (design 14.6, 14.7). Group is a
// deterministic core; every step that counts is a revision of the group's
// register, and only the agreed holder of the group's duty commands a database or
// calls the platform (duty.go, design 16).
package switchover

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"stoneford/ports"
	"stoneford/result"
	"stoneford/schema"
)

// Sight is what the pool nodes say of one database.
type Sight struct {
	Nodes     int   // that cannot use it
	Cut       int   // of these, whose connections ended
	FailingUs int64 // longest
}

// Input is what a step is told beside the time.
type Input struct {
	Group      string
	Sync       int
	State      *schema.Leadership
	Rev        uint64
	Settled    bool // State is the newest that any voter holds
	Duty       Duty
	Instances  []ports.Instance // of this group, none that is gone
	Gone       map[string]bool  // those that said or are taken to be gone
	Complete   bool             // whoever is neither here nor gone is gone too
	Members    []string         // agreed: whose word counts
	MembersRev uint64
	Heard      map[string]int64 // when each last announced itself here
	Sights     map[string]Sight
	Nodes      int  // pool nodes that looked lately
	Quiet      bool // all of them say that nothing is under way at the primary
	Told       bool // all of them know of the newest revision
	Cleared    bool // no node relies on an older revision any more
	Acked      ports.Position
	Move       Move
}

// Move is what the routing table wants of the group (design 15).
type Move struct {
	At    func(zone string) bool // says that a zone belongs to the site that the table names; nil: none
	Site  string
	Table uint64 // register revision that made it
	Look  bool   // see whether a database there is level
	Begin bool   // all work by that table: the switch is to be carried out
}

// at says that a database stands at the site wanted.
func (in Input) at(zone string) bool { return in.Move.At != nil && in.Move.At(zone) }

// moving says that the change under way is the move.
func (in Input) moving() bool { return in.Move.Begin && in.State.GetTable() == in.Move.Table }

// Effects.
type (
	// Ask puts a question to a database; Kind is Status, Hold, Resume or StepDown.
	// A command is not to leave, nor to be under way, at or after Until.
	Ask struct {
		ID       uint64
		Instance ports.Instance
		Kind     ports.Kind
		Term     uint64
		WaitUs   int64
		Until    int64
	}
	// Put asks for a new revision of the group's register.
	Put struct {
		Base uint64
		Data []byte
	}
	// PutMembers asks for a new revision of the members' register.
	PutMembers struct {
		Base uint64
		IDs  []string
	}
	// Promote asks the platform to have a database lead. The call is not to leave,
	// nor to be under way, at or after Until.
	Promote struct {
		ID    string
		Owner string
		Fence uint64
		Until int64
	}
	// Say is for the log.
	Say struct {
		Code result.Code
		Text string
	}
)

// Said ends an Ask.
type Said struct {
	ID        uint64
	Err       string
	NotThere  bool // nobody listens at its address, or another database does
	Withdrawn bool // it never left: the lease had ended
	Status    ports.DatabaseStatus
}

const (
	askWait       = 400_000
	probeEvery    = 60_000
	holdEvery     = 60_000
	lookEvery     = 40_000    // at a database that is being promoted
	silentAfter   = 450_000   // a primary that does not answer this long is given up
	beatsMissed   = 4_000_000 // an announcement that is so late has the database looked at
	quietWait     = 250_000   // longest that open transactions hold a planned switch up
	promoteEvery  = 1_500_000 // the platform is asked again
	promoteAgain  = 250_000   // where it bounced the call
	targetGone    = 900_000
	planEvery     = 400_000
	planMost      = 4_500_000 // a primary that leaves is left then, however its followers stand
	stepDownEvery = 700_000
	tidyEvery     = 250_000
	tidyFor       = 8_000_000
	goneGrace     = 300_000
	watchFor      = 30_000_000 // after a claim: followers are looked at for late commands
	watchEvery    = 1_000_000
	levelWait     = 1_000_000 // longest that a move waits for the database at its site before it seals; afterwards twice that
	restFor       = 4_000_000 // between a change and a move: the platform may carry out an order of the change late
	behindMost    = 400       // commits that a follower may lack as a planned switch begins
)

type seen struct {
	status  ports.DatabaseStatus
	at      int64 // when the newest answer's question left
	known   bool
	err     int64 // since when it does not answer, 0 if it does
	gone    int64 // since when nobody listens there
	fails   int
	asking  uint64
	next    int64
	held    uint64 // seen held at this term
	heldAt  int64
	levelAt int64 // when it was asked last and had what the primary had before
}

type question struct {
	id   string
	kind ports.Kind
	at   int64
}

// Group decides for one group.
type Group struct {
	m       map[string]*seen
	qs      map[uint64]question
	n       uint64
	rev     uint64 // revision that the times below are of
	since   int64  // when it was first acted on
	putting int64
	asked   int64 // when the platform was last asked
	bounced bool
	calls   int
	tidied  map[string]bool
	leaving map[string]int64
	begun   int64                     // when the change under way was first seen here
	parted  map[string]int64          // members that are gone, and since when
	most    map[string]ports.Position // what the primary held after that
	joining int64
	due     int64
	level   bool   // a database at the site that the move goes to is level
	uneven  string // why it is not
	tenure  tenure
	fx      []any
}

// New makes a group's decider.
func New() *Group {
	return &Group{m: map[string]*seen{}, qs: map[uint64]question{}, tidied: map[string]bool{}, leaving: map[string]int64{},
		parted: map[string]int64{}, most: map[string]ports.Position{}}
}

// Due is when Step has something to do next even if nothing happens.
func (g *Group) Due() int64 { return g.due }

func (g *Group) wake(at int64) { g.due = min(g.due, at) }

// MembersDone tells that a PutMembers has ended, however.
func (g *Group) MembersDone() { g.joining = 0 }

// PutDone tells that a Put has ended, however.
func (g *Group) PutDone() { g.putting = 0 }

// Promoted ends a Promote: ok if the platform took it, gone if it says that the
// database is not running.
func (g *Group) Promoted(now int64, ok, gone bool) {
	g.tenure.called(now, ok)
	if gone {
		g.asked, g.bounced = now, true
		for _, s := range g.m {
			s.next = 0
		}
		return
	}
	g.bounced = !ok
}

// Said takes a database's answer.
func (g *Group) Said(now int64, e Said) {
	q, ok := g.qs[e.ID]
	delete(g.qs, e.ID)
	s := g.m[q.id]
	if !ok || s == nil {
		return
	}
	if s.asking == e.ID {
		s.asking = 0
	}
	if e.Withdrawn {
		return
	}
	if e.Err != "" {
		if q.kind != ports.Status {
			g.tenure.unsureAt = now
		}
		s.fails++
		if s.err == 0 {
			s.err = q.at
		}
		if e.NotThere {
			if s.gone == 0 {
				s.gone = q.at
			}
		} else {
			s.gone = 0
		}
		return
	}
	if s.known && q.at < s.at {
		return
	}
	s.status, s.at, s.known, s.err, s.gone, s.fails = e.Status, q.at, true, 0, 0, 0
	if e.Status.Held > 0 {
		s.held, s.heldAt = e.Status.Held, q.at
	} else {
		s.held = 0
	}
}

func (g *Group) say(c result.Code, f string, a ...any) {
	g.fx = append(g.fx, Say{Code: c, Text: fmt.Sprintf(f, a...)})
}

func (g *Group) ask(now int64, i ports.Instance, k ports.Kind, term uint64, every int64) {
	s := g.m[i.ID]
	if k != ports.Status && !g.tenure.commands {
		g.wake(now + commandAgain)
		return
	}
	if s.asking != 0 || now < s.next {
		g.wake(max(s.next, now+every))
		return
	}
	g.n++
	s.asking, s.next = g.n, now+every
	g.qs[g.n] = question{id: i.ID, kind: k, at: now}
	g.fx = append(g.fx, Ask{ID: g.n, Instance: i, Kind: k, Term: term, WaitUs: askWait, Until: g.tenure.until})
	g.wake(now + every)
}

func (g *Group) put(now int64, in Input, s *schema.Leadership) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		panic(err)
	}
	g.putting = now
	g.fx = append(g.fx, Put{Base: in.Rev, Data: b})
}

// next is the state that follows. It keeps the holder: only a claim or a
// hand-over changes that.
func next(in Input, p ports.Phase, cause string) *schema.Leadership {
	n := proto.Clone(in.State).(*schema.Leadership)
	n.Phase, n.Cause = uint32(p), cause
	return n
}

// forget drops what was seen of the databases.
func (g *Group) forget() {
	for _, s := range g.m {
		s.known, s.held, s.err, s.gone, s.levelAt = false, 0, 0, 0, 0
	}
	g.rev = 0
}

// Step does what is due.
func (g *Group) Step(now int64, in Input) []any {
	g.fx, g.due = nil, math.MaxInt64
	g.observe(now, in)
	if !g.Acts(now, in) {
		if in.Rev == 0 || g.tenure.fence == 0 {
			g.forget() // what another does meanwhile makes it old
		}
		g.changeHolder(now, in)
		return g.fx
	}
	if !in.Settled {
		return nil
	}
	if now-g.tenure.actedAt > silentAfter {
		g.forget()
	}
	g.tenure.actedAt = now
	for _, i := range in.Instances {
		if g.m[i.ID] == nil {
			g.m[i.ID] = &seen{}
		}
		if i.Leaving && g.leaving[i.ID] == 0 {
			g.leaving[i.ID] = now
		}
	}
	gone := func(id string) bool { _, ok := find(in, id); return !ok && id != in.State.GetPrimary() }
	maps.DeleteFunc(g.m, func(id string, _ *seen) bool { return gone(id) })
	maps.DeleteFunc(g.leaving, func(id string, _ int64) bool { return gone(id) })
	if g.proposing(now) {
		return g.fx
	}
	if g.rev != in.Rev {
		g.rev, g.since, g.asked, g.calls, g.bounced = in.Rev, now, 0, 0, false
		clear(g.tidied)
		for _, s := range g.m {
			s.next = 0 // what was asked now and then is asked at once
		}
		if ports.Phase(in.State.GetPhase()) == ports.PhaseOpen {
			g.begun = 0
		} else {
			if g.begun == 0 {
				g.begun = now
			}
			for _, s := range g.m {
				s.next = 0 // what was asked at leisure before is urgent now
			}
		}
	}
	switch {
	case in.Rev == 0:
		g.found(now, in)
	case ports.Phase(in.State.Phase) == ports.PhaseOpen:
		g.open(now, in)
	case ports.Phase(in.State.Phase) == ports.PhaseClosing:
		g.closing(now, in)
	case ports.Phase(in.State.Phase) == ports.PhaseSealing:
		g.sealing(now, in)
	default:
		g.promoting(now, in)
	}
	return g.fx
}

// left says that a database is surely no longer there.
func (in Input) left(id string) bool {
	_, here := find(in, id)
	return !here && (in.Gone[id] || in.Complete)
}

func find(in Input, id string) (ports.Instance, bool) {
	i := slices.IndexFunc(in.Instances, func(i ports.Instance) bool { return i.ID == id })
	if i < 0 {
		return ports.Instance{}, false
	}
	return in.Instances[i], true
}

// found begins with the database that leads already.
func (g *Group) found(now int64, in Input) {
	for _, i := range in.Instances {
		if !i.Primary {
			continue
		}
		if s := g.m[i.ID]; s.known && s.status.Primary {
			g.say(result.TakeoverSeen, "%s: %s leads term %d as found", in.Group, i.ID, s.status.Term)
			g.put(now, in, &schema.Leadership{Term: s.status.Term, Primary: i.ID, Address: i.Address, Holder: in.Duty.Self, HolderRun: in.Duty.Run, Fence: 1, Cause: "found"})
			g.tenure.free = 1
			return
		}
		g.ask(now, i, ports.Status, 0, probeEvery*2)
	}
}

// open looks after a group that has a primary.
func (g *Group) open(now int64, in Input) {
	st := in.State
	p, ok := find(in, st.Primary)
	if g.adopt(now, in, ok) {
		return
	}
	if !ok && in.left(st.Primary) {
		if why := g.lost(now, in); why != "" {
			g.seal(now, in, why)
		}
		return
	}
	if !ok {
		// This process has merely not heard of it yet.
		p = ports.Instance{ID: st.Primary, Group: in.Group, Address: st.Address, Primary: true}
		if g.m[p.ID] == nil {
			g.m[p.ID] = &seen{}
		}
	}
	if why := g.suspect(now, in, p); why != "" {
		g.seal(now, in, why)
		return
	}
	if in.Move.Begin && st.Table < in.Move.Table {
		g.move(now, in, p)
		return
	}
	g.tidy(now, in)
	g.release(now, in)
	g.retire(now, in, p)
	g.members(now, in, p)
	if in.Move.Look {
		g.look(now, in, p)
	}
	if p.Leaving {
		g.leave(now, in, p)
	}
}

// Level says whether a database at the site wanted is level, and if not why.
func (g *Group) Level() (bool, string) { return g.level, g.uneven }

// look sees whether a database at the site wanted is level with the primary.
func (g *Group) look(now int64, in Input, p ports.Instance) {
	g.level, g.uneven = in.at(p.Zone), ""
	if g.level {
		return
	}
	if in.State.Old != "" && now-g.since < restFor {
		g.uneven = "the group changed its primary just now"
		g.wake(g.since + restFor)
		return
	}
	g.uneven = "no database is announced there"
	ps := g.m[p.ID]
	for _, i := range in.Instances {
		if i.ID == p.ID || i.Leaving || !in.at(i.Zone) {
			continue
		}
		s := g.m[i.ID]
		switch {
		case !s.known || s.err > 0 || now-s.at > 3*planEvery:
			g.uneven = i.ID + " does not answer"
		case s.status.Primary || s.status.Held > 0:
			g.uneven = i.ID + " does not follow"
		case !ps.known || ps.err > 0 || now-ps.at > 3*planEvery:
			g.uneven = p.ID + ", which leads, does not answer"
		case ps.status.Received.Number-s.status.Received.Number > behindMost:
			g.uneven = fmt.Sprintf("%s lacks %d commits", i.ID, ps.status.Received.Number-s.status.Received.Number)
		default:
			g.level, g.uneven = true, ""
		}
		g.ask(now, i, ports.Status, 0, planEvery)
		if g.level {
			break
		}
	}
	g.ask(now, p, ports.Status, 0, planEvery)
}

// move begins the switch to the site that the table names. From here on the
// leadership needs that table.
func (g *Group) move(now int64, in Input, p ports.Instance) {
	if in.at(p.Zone) {
		n := next(in, ports.PhaseOpen, "serves at "+in.Move.Site+" already")
		n.Table = in.Move.Table
		g.put(now, in, n)
		return
	}
	n := next(in, ports.PhaseClosing, "moves to "+in.Move.Site)
	n.Old, n.Table = p.ID, in.Move.Table
	g.say(result.TakeoverOpened, "%s: term %d: %s", in.Group, in.State.Term, n.Cause)
	g.put(now, in, n)
}

// stay opens the group again where it was.
func (g *Group) stay(now int64, in Input, why string) {
	n := next(in, ports.PhaseOpen, why)
	n.Primary = cmp.Or(in.State.Old, in.State.Primary) // Old stays, so that those that were held are told to go on
	if i, ok := find(in, n.Primary); ok {
		n.Address = i.Address
	}
	g.say(result.TakeoverSeen, "%s: %s leads on in term %d: %s", in.Group, n.Primary, n.Term, why)
	g.put(now, in, n)
}

// levelled says, once all is quiet, whether a database at the site wanted has
// received all that the primary has.
func (g *Group) levelled(now int64, in Input) bool {
	p, ok := find(in, in.State.Primary)
	if !ok {
		return false
	}
	ps := g.m[p.ID]
	g.ask(now, p, ports.Status, 0, lookEvery)
	yes := false
	for _, i := range in.Instances {
		if i.ID == p.ID || i.Leaving || !in.at(i.Zone) {
			continue
		}
		s := g.m[i.ID]
		yes = yes || ps.known && ps.err == 0 && ps.at >= g.since && s.known && s.err == 0 && s.at >= g.since &&
			!s.status.Received.Before(ps.status.Received)
		g.ask(now, i, ports.Status, 0, lookEvery)
	}
	return yes
}

// adopt takes a primary that came back by itself with another identity, or one
// that the platform promoted for a process that died before it could say so.
func (g *Group) adopt(now int64, in Input, there bool) bool {
	for _, i := range in.Instances {
		if i.ID == in.State.Primary || !i.Primary {
			continue
		}
		s := g.m[i.ID]
		if !s.known || !s.status.Primary {
			if !there {
				g.ask(now, i, ports.Status, 0, probeEvery*2)
			}
			continue
		}
		if s.status.Term > in.State.Term || s.status.Term == in.State.Term && !there {
			n := next(in, ports.PhaseOpen, "came back")
			n.Term, n.Primary, n.Address = s.status.Term, i.ID, i.Address
			g.say(result.TakeoverSeen, "%s: %s leads term %d, come back", in.Group, i.ID, n.Term)
			g.put(now, in, n)
			return true
		}
	}
	return false
}

// lost says why a group whose primary is no longer announced is to have another.
func (g *Group) lost(now int64, in Input) string {
	if now-g.since < goneGrace {
		g.wake(g.since + goneGrace)
		return ""
	}
	if slices.ContainsFunc(in.Instances, func(i ports.Instance) bool { return i.Primary }) {
		return "" // one that leads is being looked at
	}
	if len(in.Instances) == 0 {
		return ""
	}
	return "the primary is gone"
}

// suspect looks at a primary that nodes cannot use, or that does not announce
// itself, and says why it is given up.
func (g *Group) suspect(now int64, in Input, p ports.Instance) string {
	s := g.m[p.ID]
	w := in.Sights[p.ID]
	late := in.Heard[p.ID] > 0 && now-in.Heard[p.ID] > beatsMissed
	if !late && in.Heard[p.ID] > 0 {
		g.wake(in.Heard[p.ID] + beatsMissed)
	}
	if w.Nodes == 0 && !late {
		s.err, s.gone, s.fails = 0, 0, 0
		return ""
	}
	if s.err == 0 && s.known && s.at > g.since && now-s.at < probeEvery*3 && s.asking == 0 && w.Nodes <= in.Nodes/2 {
		// It answers this process; some nodes have trouble of their own.
		g.wake(now + probeEvery*3)
		return ""
	}
	switch {
	case s.gone > 0 && (s.fails >= 2 || w.Cut >= 2):
		return fmt.Sprintf("nobody listens at the primary's address; %d nodes cannot use it", w.Nodes)
	case s.err > 0 && now-s.err >= silentAfter && (w.Nodes*2 > in.Nodes || late || w.FailingUs >= silentAfter && w.Nodes > 1):
		return fmt.Sprintf("the primary is silent; %d of %d nodes cannot use it", w.Nodes, in.Nodes)
	}
	if s.err > 0 {
		g.wake(s.err + silentAfter)
	}
	g.ask(now, p, ports.Status, 0, probeEvery)
	return ""
}

// leave begins a planned switch once the followers are well.
func (g *Group) leave(now int64, in Input, p ports.Instance) {
	late := now-g.leaving[p.ID] > planMost
	well, ill, stays := 0, false, false
	ps := g.m[p.ID]
	for _, i := range in.Instances {
		s := g.m[i.ID]
		if i.ID != p.ID && !i.Leaving && s.known && s.err == 0 && !s.status.Primary && s.status.Held == 0 &&
			ps.known && ps.status.Received.Number-s.status.Received.Number <= behindMost {
			well++
		}
		// Another that leaves as soon is no better.
		stays = stays || i.ID != p.ID && s.known && s.err == 0 && (!i.Leaving || g.leaving[i.ID]-g.leaving[p.ID] > planMost/2)
		// One that does not answer would hold the change up once it has begun.
		ill = ill || !s.known || s.err > 0
		g.ask(now, i, ports.Status, 0, planEvery)
	}
	for _, id := range in.Members {
		_, here := find(in, id)
		ill = ill || !here
	}
	if well > 0 && !ill || late && stays {
		n := next(in, ports.PhaseClosing, p.ID+" leaves")
		n.Old = p.ID
		g.say(result.TakeoverOpened, "%s: term %d: %s", in.Group, in.State.Term, n.Cause)
		g.put(now, in, n)
	}
}

// closing waits until nothing is under way at the primary.
func (g *Group) closing(now int64, in Input) {
	if in.moving() {
		p, ok := find(in, in.State.Primary)
		switch {
		case !ok && in.left(in.State.Primary), ok && g.m[p.ID].err > 0 && now-g.m[p.ID].err >= silentAfter:
			g.seal(now, in, "the primary is lost while the group moves")
		case (in.Quiet || now-g.since >= quietWait) && g.levelled(now, in):
			g.seal(now, in, in.State.Cause)
		case now-g.since >= levelWait:
			g.stay(now, in, "stays: no database at "+in.Move.Site+" came level")
		default:
			g.wake(now + lookEvery)
		}
		return
	}
	if in.Quiet || now-g.since >= quietWait {
		g.seal(now, in, in.State.Cause)
		return
	}
	g.wake(g.since + quietWait)
}

// seal opens the change: from its agreement on nothing goes to any primary.
func (g *Group) seal(now int64, in Input, why string) {
	n := next(in, ports.PhaseSealing, why)
	n.Old, n.SealRev, n.Asked = in.State.Primary, in.Rev+1, false
	if ports.Phase(in.State.Phase) == ports.PhaseOpen {
		g.say(result.TakeoverOpened, "%s: term %d: %s", in.Group, in.State.Term, why)
	}
	g.put(now, in, n)
}

// holdTerm is above every term seen.
func (g *Group) holdTerm(in Input) uint64 {
	t := in.State.Term
	for _, s := range g.m {
		if s.known {
			t = max(t, s.status.Term)
		}
	}
	return t + 1
}

// followers are the databases whose word counts: all that are there but the old
// primary, as it was or come back in a new life.
func (g *Group) followers(in Input) []ports.Instance {
	return slices.DeleteFunc(slices.Clone(in.Instances), func(i ports.Instance) bool {
		s := g.m[i.ID]
		return i.ID == in.State.Old || s.known && s.err == 0 && s.status.Primary && s.status.Term <= in.State.Term
	})
}

// hold has each follower receive nothing more, and returns those that are seen
// held by a question asked after since; missing are those that are not.
func (g *Group) hold(now int64, in Input, since int64) (held, missing []ports.Instance) {
	t := g.holdTerm(in)
	for _, i := range g.followers(in) {
		s := g.m[i.ID]
		if s.known && s.err == 0 && s.held > in.State.Term && s.heldAt >= since {
			held = append(held, i)
			continue
		}
		missing = append(missing, i)
		kind := ports.Hold
		if s.fails%2 == 1 || !g.tenure.commands {
			kind = ports.Status // it bounces a hold at a term that is none above its own: learn that
		}
		g.ask(now, i, kind, t, holdEvery)
	}
	for _, id := range in.Members {
		if _, here := find(in, id); !here && id != in.State.Old {
			// Gone or not, what it received is not known to be held by others.
			missing = append(missing, ports.Instance{ID: id})
		}
	}
	return held, missing
}

// sealing holds the followers and proposes the furthest.
func (g *Group) sealing(now int64, in Input) {
	moving := in.moving() && !in.State.Asked
	if (!moving || now-g.since >= 2*levelWait) && g.back(now, in) {
		return
	}
	// A database that led a later term already: a promotion that was asked for
	// took effect late.
	for _, i := range in.Instances {
		if s := g.m[i.ID]; s.known && s.status.Primary && s.status.Term > in.State.Term && i.ID != in.State.Old {
			n := next(in, ports.PhasePromoting, in.State.Cause)
			n.Primary, n.Address, n.Asked = i.ID, i.Address, true
			g.put(now, in, n)
			return
		}
	}
	held, missing := g.hold(now, in, g.since)
	if len(held) == 0 {
		return
	}
	best := g.furthest(in, held)
	if len(missing) > 0 && !g.enough(now, in, best, missing) {
		return
	}
	if !in.Cleared {
		// A node may still acknowledge what the old primary commits; once another
		// was promoted, followers may be held no longer.
		g.wake(now + 50_000)
		return
	}
	if moving && !in.at(best.Zone) && now-g.since < 2*levelWait {
		// Another is further: the old primary leads on, if it can.
		if o, ok := find(in, in.State.Old); ok {
			if s := g.m[o.ID]; s.known && s.err == 0 && s.at > g.since && s.status.Primary && s.status.Term == in.State.Term {
				g.stay(now, in, "stays: another database is further than the one at "+in.Move.Site)
				return
			}
			g.ask(now, o, ports.Status, 0, lookEvery)
			return
		}
	}
	n := next(in, ports.PhasePromoting, in.State.Cause)
	n.Primary, n.Address, n.Asked = best.ID, best.Address, true
	var who []string
	for _, i := range held {
		who = append(who, fmt.Sprintf("%s at %d.%d", i.ID, g.m[i.ID].status.Received.Term, g.m[i.ID].status.Received.Number))
	}
	g.say(result.TakeoverChosen, "%s: %s is the furthest of %v, %d missing", in.Group, best.ID, who, len(missing))
	g.put(now, in, n)
}

// back has the old primary lead on where it is back before the platform was
// asked for another, whether as it was or in a new life.
func (g *Group) back(now int64, in Input) bool {
	if in.State.Asked {
		return false
	}
	for _, o := range in.Instances {
		if o.Leaving || o.ID != in.State.Old && !o.Primary {
			continue
		}
		if s := g.m[o.ID]; s.known && s.err == 0 && s.at > g.since && s.status.Primary && s.status.Term == in.State.Term {
			n := next(in, ports.PhaseOpen, "the primary is back")
			n.Primary, n.Address = o.ID, o.Address
			g.say(result.TakeoverSeen, "%s: %s leads on in term %d", in.Group, o.ID, n.Term)
			g.put(now, in, n)
			return true
		}
		if now-g.since > 2*holdEvery {
			g.ask(now, o, ports.Status, 0, planEvery)
		}
	}
	return false
}

// furthest is the held follower that has received most; of equals one that does
// not leave, one at the site that the table names, and the one that is warm.
func (g *Group) furthest(in Input, held []ports.Instance) ports.Instance {
	return slices.MaxFunc(held, func(a, b ports.Instance) int {
		x, y := g.m[a.ID].status.Received, g.m[b.ID].status.Received
		l := func(i ports.Instance) int {
			if i.Leaving {
				return 0
			}
			return 1
		}
		site := func(i ports.Instance) int {
			if in.at(i.Zone) {
				return 1
			}
			return 0
		}
		return cmp.Or(x.Compare(y), cmp.Compare(l(a), l(b)), cmp.Compare(site(a), site(b)), -cmp.Compare(a.WarmUs, b.WarmUs), cmp.Compare(a.ID, b.ID))
	})
}

// enough says whether the furthest of those held is known to hold all that was
// acknowledged although others are missing: every node has told what it
// acknowledged, after it stopped working by the old primary.
func (g *Group) enough(now int64, in Input, best ports.Instance, missing []ports.Instance) bool {
	if !in.Told || !in.Cleared || in.Nodes == 0 {
		return false
	}
	for _, i := range missing {
		if !g.givenUp(now, in, i.ID, silentAfter) {
			g.wake(now + holdEvery)
			return false
		}
	}
	return !g.m[best.ID].status.Received.Before(in.Acked)
}

// givenUp reports whether a database is not waited for any more: it is surely gone,
// or has not answered for a time.
func (g *Group) givenUp(now int64, in Input, id string, after int64) bool {
	if in.left(id) {
		return true
	}
	s := g.m[id]
	return s != nil && s.err > 0 && now-s.err >= after
}

// promoting sees the agreed target through.
func (g *Group) promoting(now int64, in Input) {
	t, ok := find(in, in.State.Primary)
	if !ok {
		g.again(now, in, "the chosen one is gone")
		return
	}
	s := g.m[t.ID]
	if s.known && s.status.Primary && s.status.Term > in.State.Term {
		if !in.Cleared {
			g.wake(now + 50_000)
			return
		}
		n := next(in, ports.PhaseOpen, in.State.Cause)
		n.Term = s.status.Term
		if g.begun > 0 {
			n.ExpectUs = now - g.begun
		}
		g.say(result.TakeoverSeen, "%s: %s leads term %d after %d ms", in.Group, t.ID, n.Term, n.ExpectUs/1000)
		g.put(now, in, n)
		return
	}
	if s.gone > 0 && now-s.gone > targetGone {
		g.again(now, in, "nobody listens at the chosen one's address")
		return
	}
	if g.asked == 0 || g.bounced && now-g.asked >= promoteAgain || now-g.asked >= promoteEvery {
		// What was held must be seen held just before.
		since := now - holdEvery*2
		if g.asked == 0 {
			since = g.since
		}
		held, missing := g.hold(now, in, since)
		if !slices.ContainsFunc(held, func(i ports.Instance) bool { return i.ID == t.ID }) {
			if now-max(g.since, g.tenure.mayAt) > targetGone && g.asked == 0 && g.tenure.commands {
				g.again(now, in, "the chosen one cannot be held")
			}
			return
		}
		if g.m[g.furthest(in, held).ID].status.Received.Compare(s.status.Received) > 0 {
			g.again(now, in, "another is further by now")
			return
		}
		for _, i := range missing {
			if !g.givenUp(now, in, i.ID, goneGrace) {
				g.wake(now + holdEvery)
				return
			}
		}
		if !g.stepped(now, in) {
			return
		}
		if !g.tenure.commands {
			g.wake(now + commandAgain)
			return
		}
		g.asked, g.bounced = now, false
		g.calls++
		g.tenure.calls++
		g.fx = append(g.fx, Promote{ID: t.ID, Owner: in.State.Holder, Fence: in.State.Fence, Until: g.tenure.until})
		s.next = now + lookEvery*3
		g.wake(now + lookEvery*3)
		return
	}
	g.ask(now, t, ports.Status, 0, lookEvery)
	if g.bounced {
		g.wake(g.asked + promoteAgain)
	}
	g.wake(g.asked + promoteEvery)
}

// stepped says that the old primary leads no more, or does not answer. One that
// answers steps down before another is promoted: a node that heard nothing may
// go on with single writes there, and a follower that is no longer held would
// have them acknowledged.
func (g *Group) stepped(now int64, in Input) bool {
	o, ok := find(in, in.State.Old)
	if !ok || g.asked > 0 || now-max(g.since, g.tenure.mayAt) > targetGone {
		return true
	}
	s := g.m[o.ID]
	if s.err > 0 || s.known && s.at > g.since && !s.status.Primary {
		return true
	}
	g.ask(now, o, ports.StepDown, g.holdTerm(in), holdEvery)
	return false
}

// again chooses anew.
func (g *Group) again(now int64, in Input, why string) {
	n := next(in, ports.PhaseSealing, why)
	for _, s := range g.m {
		if s.known {
			s.held = 0
		}
	}
	g.say(result.TakeoverWaits, "%s: %s", in.Group, why)
	g.put(now, in, n)
}

// tidy has what was held go on, and what led before step down.
func (g *Group) tidy(now int64, in Input) {
	for _, i := range in.Instances {
		if i.ID == in.State.Primary {
			continue
		}
		s := g.m[i.ID]
		if i.Primary || s.known && s.status.Primary {
			if s.known && !s.status.Primary && s.at > g.since {
				continue // it stepped down and did not announce it yet
			}
			if now-g.since < tidyFor {
				g.ask(now, i, ports.StepDown, in.State.Term, stepDownEvery)
			}
			continue
		}
		if in.State.Old == "" || in.retires(i) || g.tidied[i.ID] || now-g.since > tidyFor {
			continue
		}
		if s.known && s.at >= g.since && s.status.Held == 0 {
			g.tidied[i.ID] = true
			continue
		}
		g.ask(now, i, ports.Resume, 0, tidyEvery)
	}
}

// release looks for followers that are held in an open group, and has them go
// on: a command of the holder before may arrive long after it was given up. It
// does so for a while after a claim, and where nodes cannot use the primary, which
// answers no commit while nobody receives.
func (g *Group) release(now int64, in Input) {
	t := &g.tenure
	if in.Sights[in.State.Primary].Nodes == 0 && (t.free == t.fence || now-t.since > watchFor) {
		return
	}
	for _, i := range in.Instances {
		s := g.m[i.ID]
		switch {
		case i.ID == in.State.Primary || i.Primary || in.retires(i):
		case s.known && s.err == 0 && s.status.Held > 0:
			g.ask(now, i, ports.Resume, 0, tidyEvery)
		default:
			g.ask(now, i, ports.Status, 0, watchEvery)
		}
	}
}

// members keeps the agreed members: whoever is announced joins at once; one that
// is gone is left out once the others hold all that the primary held after it
// went, so that nothing acknowledged rests on it alone.
func (g *Group) members(now int64, in Input, p ports.Instance) {
	if g.joining > 0 && now-g.joining < 4_000_000 {
		return
	}
	var ids []string
	for _, i := range in.Instances {
		ids = append(ids, i.ID)
	}
	for _, id := range in.Members {
		if _, here := find(in, id); here {
			delete(g.parted, id)
			delete(g.most, id)
			continue
		}
		if !g.covered(now, in, p, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	if slices.Equal(ids, in.Members) {
		return
	}
	g.joining = now
	g.fx = append(g.fx, PutMembers{Base: in.MembersRev, IDs: ids})
}

// covered says whether all the other members hold what the primary held after a
// member was seen to be gone.
func (g *Group) covered(now int64, in Input, p ports.Instance, id string) bool {
	if !in.left(id) {
		return false
	}
	if g.parted[id] == 0 {
		g.parted[id] = now
	}
	if !g.most[id].Known() {
		if s := g.m[p.ID]; s.known && s.err == 0 && s.at > g.parted[id] && s.status.Primary {
			g.most[id] = s.status.Received
		} else {
			g.ask(now, p, ports.Status, 0, planEvery)
			return false
		}
	}
	others := 0
	for _, i := range in.Instances {
		if i.ID == p.ID {
			continue
		}
		if s := g.m[i.ID]; !s.known || s.err > 0 || s.at <= g.parted[id] || s.status.Received.Before(g.most[id]) {
			g.ask(now, i, ports.Status, 0, planEvery)
			return false
		}
		others++
	}
	return others > 0
}
