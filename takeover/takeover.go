// Package takeover decides who is a group's primary, in which epoch (design 8).
//
// The order is: agree that an epoch is opened; seal a majority of members at
// it, so that nothing of an older epoch can be acknowledged any more; agree on
// the furthest of the sealed as the primary; ask the platform, again and again,
// until the primary is seen. Every acknowledged commit was held by a majority
// of members in its epoch, and any two majorities share a member, so the
// furthest of a sealed majority holds all of them.
package takeover

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"stoneford/result"
	"stoneford/schema"
)

const (
	pollEvery     = 200_000
	askTimeout    = 1_500_000
	suspectAfter  = 700_000   // the primary replied to none of the holder's polls so long
	aloneAfter    = 2_000_000 // the same where no pool node reports at all
	sealEvery     = 150_000
	thirdGrace    = 300_000 // a third copy that replies is waited for so long
	platformEvery = 400_000
	sayEvery      = 5_000_000
	switchEvery   = 3_000_000
)

// Status is what a database says of itself.
type Status struct {
	Identity  string
	Role      string
	Epoch     uint64
	LogEpoch  uint64
	Received  int64
	Applied   int64
	Following string
	Leaving   bool
}

// Place is one member's place as configured.
type Place struct{ Name, Address string }

// Report sums what pool nodes say of one database lately.
type Report struct{ Reach, Miss, Busy, Open int }

// Input is what a step is told beside the time.
type Input struct {
	Places  []Place
	First   string // the configured first primary
	State   *schema.GroupState
	Rev     uint64
	Known   bool // State and Rev are the newest known agreed ones
	Acts    bool // this process holds the group's duty
	Reports map[string]Report
	Avoid   string // a planned switch away from this one is wanted
	Aside   string // this member is to be set aside, so that it can be replaced
	Kept    string // the identity of a copy that was set aside and stays after all
}

// Effects.
type (
	// Ask puts a question to a database: its status, or to seal.
	Ask struct {
		ID      uint64
		Address string
		Seal    uint64 // epoch, 0 for a status
	}
	// Put asks for a new revision of the group's register.
	Put struct {
		Base uint64
		Data []byte
	}
	// Platform asks the platform to carry a takeover out.
	Platform struct {
		Target   string
		Identity string // of the copy that is meant
		Epoch    uint64
		Members  []Place
	}
	// Say is for the log.
	Say struct {
		Code result.Code
		Text string
	}
)

type member struct {
	status  Status
	known   bool
	start   int64 // of the newest good poll
	okAt    int64
	failing int64
	next    int64
	asking  uint64
	fresh   string // an identity not agreed yet
	since   int64  // when it was first seen
}

type ask struct {
	member string
	start  int64
	seal   uint64
}

// Group decides for one group.
type Group struct {
	m          map[string]*member
	asks       map[uint64]ask
	next       uint64
	sealed     map[string]Status
	sealFor    uint64
	sealAt     int64 // when a majority was first sealed
	nextSeal   int64
	nextPlat   int64
	nextSay    int64
	nextSwitch int64
	putting    int64
	acted      bool
	sealBegan  int64
	asideFor   uint64 // epoch in which a copy is set aside
	asideAt    int64  // when it was first seen to take no log any more
	fx         []any
}

// New makes a group's decider.
func New() *Group { return &Group{m: map[string]*member{}, asks: map[uint64]ask{}} }

// Said takes a database's return.
func (g *Group) Said(now int64, id uint64, err bool, s Status) {
	a, ok := g.asks[id]
	delete(g.asks, id)
	m := g.m[a.member]
	if !ok || m == nil {
		return
	}
	if m.asking == id {
		m.asking = 0
	}
	if err {
		if m.failing == 0 {
			m.failing = a.start
		}
		return
	}
	if a.start < m.start {
		return
	}
	m.failing, m.okAt, m.start, m.status, m.known = 0, now, a.start, s, true
	if a.seal > 0 && a.seal == g.sealFor && s.Epoch == a.seal && s.Role == "sealed" {
		g.sealed[a.member] = s
	}
}

// PutDone tells that a Put has ended, however.
func (g *Group) PutDone() { g.putting = 0 }

// Step does what is due.
func (g *Group) Step(now int64, in Input) []any {
	g.fx = nil
	if !in.Acts || !in.Known {
		g.acted = false
		return nil
	}
	if !g.acted {
		// What was known before another held the duty is too old to act on.
		*g = Group{m: map[string]*member{}, asks: map[uint64]ask{}, next: g.next, acted: true, putting: g.putting}
	}
	for _, p := range in.Places {
		if g.m[p.Name] == nil {
			g.m[p.Name] = &member{}
		}
	}
	for _, p := range in.Places {
		if m := g.m[p.Name]; now >= m.next && m.asking == 0 {
			m.next = now + pollEvery
			m.asking = g.ask(now, p, 0)
		}
	}
	if g.putting > 0 && now-g.putting < 4_000_000 {
		return g.fx
	}
	switch st := in.State; {
	case in.Rev == 0:
		g.found(now, in)
	case st.Phase == schema.Phase_SEALING:
		g.seal(now, in)
	default:
		g.keep(now, in)
	}
	return g.fx
}

func (g *Group) ask(now int64, p Place, seal uint64) uint64 {
	g.next++
	g.asks[g.next] = ask{member: p.Name, start: now, seal: seal}
	g.fx = append(g.fx, Ask{ID: g.next, Address: p.Address, Seal: seal})
	return g.next
}

func (g *Group) put(now int64, base uint64, s *schema.GroupState) {
	b, err := proto.Marshal(s)
	if err != nil {
		panic(err)
	}
	g.putting = now
	g.fx = append(g.fx, Put{Base: base, Data: b})
}

func (g *Group) say(c result.Code, f string, a ...any) {
	g.fx = append(g.fx, Say{Code: c, Text: fmt.Sprintf(f, a...)})
}

// found makes the group's first state, once all members are seen: with empty
// copies the configured primary begins epoch 1; copies that hold something are
// sealed first, all of them, and the furthest is chosen.
func (g *Group) found(now int64, in Input) {
	s := &schema.GroupState{Epoch: 1, Phase: schema.Phase_PROMOTING, Primary: in.First, Cause: "first"}
	for _, p := range in.Places {
		m := g.m[p.Name]
		if !m.known {
			return
		}
		s.Members = append(s.Members, &schema.Member{Database: p.Name, Identity: m.status.Identity})
		if m.status.Epoch > 0 || m.status.Received > 0 {
			s.Epoch, s.Phase, s.Primary = max(s.Epoch, m.status.Epoch+1), schema.Phase_SEALING, ""
		}
	}
	g.put(now, 0, s)
}

// keep looks after a group that has a primary.
func (g *Group) keep(now int64, in Input) {
	st := in.State
	p := g.m[st.Primary]
	if p == nil {
		g.open(now, in, "the primary is no longer configured")
		return
	}
	if why := g.suspect(now, in, p); why != "" {
		g.open(now, in, why)
		return
	}
	if !p.known {
		return
	}
	right := p.status.Epoch == st.Epoch && p.status.Role == "primary"
	led, all := false, right
	addr := address(in, st.Primary)
	for _, pl := range in.Places {
		m := g.m[pl.Name]
		if pl.Name == st.Primary || !m.known {
			continue
		}
		ok := m.status.Epoch == st.Epoch && m.status.Role == "replica" && m.status.Following == addr
		led = led || ok && m.status.LogEpoch == st.Epoch
		all = all && (ok || m.failing > 0 || m.status.Epoch > st.Epoch)
	}
	if !all && now >= g.nextPlat {
		g.nextPlat = now + platformEvery
		g.fx = append(g.fx, Platform{Target: st.Primary, Identity: identity(st, st.Primary), Epoch: st.Epoch, Members: in.Places})
	}
	if right && led && st.Phase == schema.Phase_PROMOTING {
		n := proto.Clone(st).(*schema.GroupState)
		n.Phase = schema.Phase_OPEN
		g.say(result.TakeoverSeen, "%s is the primary of epoch %d", st.Primary, st.Epoch)
		g.put(now, in.Rev, n)
		return
	}
	if right && led && now >= g.nextSwitch && (in.Avoid == st.Primary || p.status.Leaving && g.Well(now, st) == "") {
		// A primary that announces that it leaves is switched away from, as a
		// booked one is. One that is still the furthest stays, and is tried
		// again when its followers have come up to it.
		g.nextSwitch = now + switchEvery
		in.Avoid = st.Primary
		g.open(now, in, plannedSwitch)
		return
	}
	if !right || st.Phase != schema.Phase_OPEN {
		return
	}
	if in.Aside != "" && g.setAside(now, in, p) {
		return
	}
	for _, m := range st.Members {
		// What was set aside and stays follows again in a new epoch.
		if c := g.m[m.Database]; led && m.Retiring != "" && m.Retiring == in.Kept && c != nil && c.known && c.failing == 0 && c.status.Identity == in.Kept && c.status.Epoch > st.Epoch {
			g.open(now, in, m.Database+" was set aside and stays")
			return
		}
	}
	g.allowNew(now, in, p)
}

// setAside has a replica no longer count, without an epoch's end: it is sealed
// above the epoch, so that nothing more can be acknowledged on its word; once
// the other replica holds all that the primary held after that, whatever rested
// on it is held by both others, and its place is agreed to be empty. It says
// whether it is at that.
func (g *Group) setAside(now int64, in Input, p *member) bool {
	st := in.State
	t := g.m[in.Aside]
	i := slices.IndexFunc(st.Members, func(m *schema.Member) bool { return m.Database == in.Aside })
	if t == nil || !t.known || i < 0 || st.Members[i].Identity == "" || st.Members[i].Identity != t.status.Identity || in.Aside == st.Primary {
		return false
	}
	for _, m := range st.Members {
		c := g.m[m.Database]
		if m.Database == in.Aside {
			continue
		}
		if m.Identity == "" || c == nil || c.known && c.status.Identity != m.Identity || c.failing > 0 && now-c.failing >= suspectAfter {
			// One of the others is lost: without it the group needs this one.
			if t.status.Epoch > st.Epoch && t.failing == 0 {
				g.open(now, in, in.Aside+" was set aside and is needed")
				return true
			}
			return false
		}
		if !c.known || c.failing > 0 || c.status.Epoch != st.Epoch || c.status.LogEpoch != st.Epoch {
			return true
		}
	}
	if t.status.Epoch <= st.Epoch || t.status.Role != "sealed" {
		g.asideFor = 0
		if now >= g.nextSeal {
			g.nextSeal = now + sealEvery
			g.ask(now, Place{Name: in.Aside, Address: address(in, in.Aside)}, st.Epoch+1)
		}
		return true
	}
	if g.asideFor != st.Epoch {
		g.asideFor, g.asideAt = st.Epoch, now
	}
	if p.start <= g.asideAt {
		return true
	}
	for _, m := range st.Members {
		if c := g.m[m.Database]; m.Database != in.Aside && c.status.Received < p.status.Received {
			return true
		}
	}
	n := proto.Clone(st).(*schema.GroupState)
	n.Members[i].Retiring, n.Members[i].Identity = n.Members[i].Identity, ""
	g.say(result.MemberAside, "%s at %d; the others hold %d", in.Aside, t.status.Received, p.status.Received)
	g.put(now, in.Rev, n)
	return true
}

// plannedSwitch is the cause of an epoch that no failure opened.
const plannedSwitch = "a planned switch"

// suspect says why the primary is given up, or nothing.
func (g *Group) suspect(now int64, in Input, p *member) string {
	for _, m := range in.State.Members {
		if m.Database == in.State.Primary && p.known && p.failing == 0 && p.status.Identity != m.Identity {
			return "the primary came back on another disk"
		}
	}
	since := p.failing
	if since == 0 || now-since < suspectAfter {
		return ""
	}
	switch r := in.Reports[in.State.Primary]; {
	case r.Miss > r.Reach:
		return fmt.Sprintf("the primary is silent; %d of %d nodes confirm it", r.Miss, r.Miss+r.Reach)
	case r.Reach+r.Miss == 0 && now-since >= aloneAfter:
		return "the primary is silent; no node reports on it"
	}
	return ""
}

func (g *Group) open(now int64, in Input, why string) {
	n := proto.Clone(in.State).(*schema.GroupState)
	n.Epoch, n.Phase, n.Primary, n.Cause, n.Avoid = n.Epoch+1, schema.Phase_SEALING, "", why, ""
	if why == plannedSwitch {
		n.Avoid = in.Avoid
	}
	for _, m := range g.m {
		if m.known {
			n.Epoch = max(n.Epoch, m.status.Epoch+1)
		}
	}
	g.say(result.TakeoverOpened, "epoch %d: %s", n.Epoch, why)
	g.put(now, in.Rev, n)
}

// seal has the members take no log below the epoch any more, and proposes the
// furthest of a sealed majority.
func (g *Group) seal(now int64, in Input) {
	st := in.State
	if g.sealFor != st.Epoch {
		g.sealFor, g.sealed, g.sealAt, g.nextSeal, g.sealBegan = st.Epoch, map[string]Status{}, 0, 0, now
	}
	for _, p := range in.Places {
		if m := g.m[p.Name]; m.known && m.status.Epoch > st.Epoch {
			g.open(now, in, p.Name+" is in a later epoch")
			return
		}
	}
	if now >= g.nextSeal {
		g.nextSeal = now + sealEvery
		for _, p := range in.Places {
			if _, ok := g.sealed[p.Name]; !ok {
				g.ask(now, p, st.Epoch)
			}
		}
	}
	var best string
	n, waits := 0, false
	for _, m := range st.Members {
		s, ok := g.sealed[m.Database]
		if m.Identity == "" {
			continue // nothing acknowledged rests on it
		}
		if !ok || s.Identity != m.Identity {
			// A copy on a disk that is not agreed holds nothing it can vouch for.
			waits = waits || g.m[m.Database] != nil && g.m[m.Database].failing == 0
			continue
		}
		n++
		b := g.sealed[best]
		if best == "" || s.LogEpoch > b.LogEpoch || s.LogEpoch == b.LogEpoch && (s.Received > b.Received || s.Received == b.Received && worse(st, best, b) && !worse(st, m.Database, s)) {
			best = m.Database
		}
	}
	need := sealsNeeded(st)
	if n < need {
		if now >= g.nextSay && now-g.sealBegan > askTimeout {
			g.nextSay = now + sayEvery
			g.say(result.TakeoverWaits, "epoch %d: %d of %d members sealed", st.Epoch, n, need)
		}
		return
	}
	if g.sealAt == 0 {
		g.sealAt = now
	}
	if waits && now-g.sealAt < thirdGrace {
		return
	}
	x := proto.Clone(st).(*schema.GroupState)
	x.Phase, x.Primary, x.Avoid = schema.Phase_PROMOTING, best, ""
	var who []string
	for _, m := range st.Members {
		if s, ok := g.sealed[m.Database]; ok {
			who = append(who, fmt.Sprintf("%s at %d/%d", m.Database, s.LogEpoch, s.Received))
		}
	}
	g.say(result.TakeoverChosen, "epoch %d: %s is the furthest of %s", st.Epoch, best, strings.Join(who, ", "))
	g.put(now, in.Rev, x)
}

// sealsNeeded is how many members have to be sealed so that one of them holds
// whatever was acknowledged, which the primary and one replica held: all but
// one of those that count. A first epoch is founded with all.
func sealsNeeded(st *schema.GroupState) int {
	n := 0
	for _, m := range st.Members {
		if m.Identity != "" {
			n++
		}
	}
	if st.Cause == "first" {
		return n
	}
	return max(1, n-1)
}

// worse decides among copies that are equally far.
func worse(st *schema.GroupState, name string, s Status) bool { return name == st.Avoid || s.Leaving }

// Well says why the group could not bear the loss of a copy now, "" if it
// could: all members reply, as agreed, in the open epoch.
func (g *Group) Well(_ int64, st *schema.GroupState) string {
	if st.Phase != schema.Phase_OPEN {
		return "a takeover is under way"
	}
	for _, a := range st.Members {
		m := g.m[a.Database]
		if m == nil || !m.known || m.failing > 0 {
			return a.Database + " does not reply"
		}
		if m.status.Identity != a.Identity || m.status.Epoch != st.Epoch || m.status.LogEpoch != st.Epoch {
			return a.Database + " has not caught up"
		}
	}
	return ""
}

// allowNew lets a copy with a new disk count as a member once it holds all the
// primary held after the new disk was first seen: whatever the lost disk
// vouched for is then on the new one.
func (g *Group) allowNew(now int64, in Input, p *member) {
	for i, m := range in.State.Members {
		c := g.m[m.Database]
		if c == nil || !c.known || m.Database == in.State.Primary {
			continue
		}
		if c.status.Identity == m.Identity || c.status.Identity == m.Retiring && m.Retiring != in.Kept {
			c.fresh = ""
			continue
		}
		if c.fresh != c.status.Identity {
			c.fresh, c.since = c.status.Identity, now
			continue
		}
		if p.start > c.since && c.failing == 0 && c.status.Epoch == in.State.Epoch && c.status.LogEpoch == in.State.Epoch && c.status.Received >= p.status.Received {
			n := proto.Clone(in.State).(*schema.GroupState)
			n.Members[i].Identity, n.Members[i].Retiring = c.status.Identity, ""
			g.say(result.MemberAllowed, "%s at %d", m.Database, c.status.Received)
			g.put(now, in.Rev, n)
			return
		}
	}
}

// identity is the agreed one of a member.
func identity(st *schema.GroupState, name string) string {
	for _, m := range st.Members {
		if m.Database == name {
			return m.Identity
		}
	}
	return ""
}

func address(in Input, name string) string {
	i := slices.IndexFunc(in.Places, func(p Place) bool { return p.Name == name })
	if i < 0 {
		return ""
	}
	return in.Places[i].Address
}
