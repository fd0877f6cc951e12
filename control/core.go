// Package control is the control plane: voters, mergeable records and the
// duties that go with them. Core is deterministic and is what the simulator
// runs; Process puts links, disk, HTTP and timers around it.
package control

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"google.golang.org/protobuf/proto"

	"stoneford/bookings"
	"stoneford/duties"
	"stoneford/neighbours"
	"stoneford/paxos"
	"stoneford/permits"
	"stoneford/records"
	"stoneford/relaytree"
	"stoneford/result"
	"stoneford/roster"
	"stoneford/schema"
	"stoneford/settings"
	"stoneford/step"
	"stoneford/takeover"
)

// Keys of the registers.
const (
	candidateFor = 1_000_000 // a process that did not ask to vote so long is no candidate
	ConfigPrefix = "config/"
	GroupPrefix  = "group/"
	dutyPrefix   = "duty/"
)

// Events.
type (
	// PutConfiguration brings a partner's whole configuration or a merge patch.
	PutConfiguration struct {
		ID      uint64
		Partner string
		Base    uint64
		Patch   bool
		DryRun  bool
		Text    []byte
	}
	// GetConfiguration reads a partner's configuration through a majority.
	GetConfiguration struct {
		ID      uint64
		Partner string
	}
	// DatabaseSaid ends an AskDatabase.
	DatabaseSaid struct {
		Group  string
		ID     uint64
		Err    bool
		Status takeover.Status
	}
	// Stop hands the duties over.
	Stop struct{}
)

// Effects.
type (
	// Return ends a put or a get.
	Return struct {
		ID       uint64
		Code     result.Code
		Revision uint64
		Text     json.RawMessage
		Problems []settings.Problem
	}
	// AskDatabase puts a question to a database.
	AskDatabase struct {
		Group   string
		ID      uint64
		Address string
		Seal    uint64
	}
	// Platform asks the platform for a takeover.
	Platform struct {
		Group    string
		Target   string
		Identity string // of the copy that is meant: no other may be promoted in its place
		Epoch    uint64
		Members  []takeover.Place
	}
	// Say is for the log.
	Say struct {
		Code result.Code
		Text string
	}
)

// Effects of one step. Log must be synced before anything else is done.
type Effects struct {
	Log  []*schema.VoterLog
	Send []step.Send
	Do   []any
}

const (
	compareEvery  = 400_000
	dutyEvery     = 10_000
	announceEvery = 1_000_000
	rosterEvery   = 200_000
	settingExpiry = 4_000_000
	catchUpEvery  = 400_000
	reportFresh   = 1_500_000
	reportGone    = 30_000_000
)

type groupDuty struct {
	setting *schema.GroupSetting
	places  []takeover.Place
	limits  map[string]int32
	decider *takeover.Group
	holder  *permits.Holder
	term    uint64
}

// Core is one control process.
type Core struct {
	self     string
	run      uint64
	boot     *schema.Boot
	voter    *paxos.Acceptor
	reconf   *paxos.Reconfigurer
	proposer *paxos.Proposer
	relay    *relaytree.Relay
	recs     *records.Store
	watch    *neighbours.Watch // as one node among all
	ctl      *neighbours.Watch // over the other control processes
	down     map[string]bool   // control processes that are silent
	duty     *duties.Duties
	groups   map[string]*groupDuty
	configs  map[string]*schema.Configuration
	nodes    []roster.Node
	pending  map[string]func(int64, paxos.Outcome)
	catching map[string]int64
	names    uint64
	stamp    uint64
	turn     int
	formed   bool
	leaving  bool
	// the calendar
	wallOffset int64
	wallKnown  bool
	cal        *schema.Calendar
	carries    map[uint64]*carried
	bookingPut bool
	// questions put to the nodes
	asked    map[uint64]*asked
	whys     uint64
	nextBook int64
	nextCmp  int64
	nextDuty int64
	nextAnn  int64
	nextRos  int64
	// since when no majority is heard, 0 if one is; and when that was last looked at
	aloneSince, lastTick int64
	fx                   Effects
}

// NewCore makes a control process; run must be greater than any earlier run's
// of this process, life random: it tells this disk from any other.
func NewCore(b *schema.Boot, run, life uint64) *Core {
	c := &Core{self: b.Listen, run: run, boot: b,
		voter:    paxos.NewAcceptor(b.Listen, life, paxos.Place{}, b.Seeds),
		proposer: paxos.NewProposer(b.Listen, fmt.Sprint(run), b.Seeds),
		reconf:   paxos.NewReconfigurer(b.Listen, fmt.Sprint(run)),
		relay:    relaytree.New(b.Listen, b.Seeds), recs: records.New(b.Listen),
		watch: neighbours.New(b.Listen), ctl: neighbours.New(b.Listen), down: map[string]bool{},
		groups: map[string]*groupDuty{}, configs: map[string]*schema.Configuration{},
		pending: map[string]func(int64, paxos.Outcome){}, catching: map[string]int64{}, carries: map[uint64]*carried{}, asked: map[uint64]*asked{}, cal: &schema.Calendar{}, stamp: run}
	c.duty = duties.New(b.Listen, run, b.Seeds, c.name, c.given)
	return c
}

// Restore plays one entry of the voter's log back.
func (c *Core) Restore(l *schema.VoterLog) { c.voter.Restore(l) }

// Snapshot is the voter's whole state as one log entry.
func (c *Core) Snapshot() *schema.VoterLog { return c.voter.Snapshot() }

func (c *Core) name() string { c.names++; return fmt.Sprintf("%s#%d#%d", c.self, c.run, c.names) }

func (c *Core) say(code result.Code, f string, a ...any) {
	c.fx.Do = append(c.fx.Do, Say{Code: code, Text: fmt.Sprintf(f, a...)})
}

// Step takes events, then does what is due.
func (c *Core) Step(now int64, evs ...any) Effects {
	c.fx = Effects{}
	for _, e := range evs {
		c.event(now, e)
	}
	c.tick(now)
	return c.fx
}

func (c *Core) event(now int64, e any) {
	switch e := e.(type) {
	case *schema.Envelope:
		c.envelope(now, e)
	case PutConfiguration:
		c.putConfiguration(now, e)
	case GetConfiguration:
		c.getConfiguration(now, e)
	case DatabaseSaid:
		if g := c.groups[e.Group]; g != nil {
			g.decider.Said(now, e.ID, e.Err, e.Status)
		}
	case Ask:
		c.sentence(now, e)
	case Wall:
		c.wallOffset, c.wallKnown = e.Us-now, true
	case Stop:
		c.leaving = true
		c.duty.Leave()
		c.nextAnn = 0
	}
}

func (c *Core) envelope(now int64, e *schema.Envelope) {
	if paxos.IsForAcceptor(e) {
		c.voted(now, c.voter.Step(now, e))
	}
	if paxos.IsForProposer(e) {
		c.proposed(now, c.proposer.Step(now, e))
	}
	switch b := e.Body.(type) {
	case *schema.Envelope_News, *schema.Envelope_Digest:
		c.learned(c.relay.Step(now, e))
	case *schema.Envelope_Records, *schema.Envelope_RangeDigests:
		c.fx.Send = append(c.fx.Send, c.recs.Step(now, e).Send...)
	case *schema.Envelope_Ping:
		c.watched(now, c.watch.Step(now, e))
	case *schema.Envelope_Pong:
		c.watched(now, c.watch.Step(now, e))
		c.watchedCtl(c.ctl.Step(now, e))
	case *schema.Envelope_WhyReturn:
		c.whyReturn(now, b.WhyReturn)
	case *schema.Envelope_PermitAsk:
		c.permitAsk(now, e.From, b.PermitAsk)
	}
}

func (c *Core) voted(now int64, fx paxos.Effects) {
	c.proposer.SetMembership(now, c.voter.Membership())
	c.fx.Log = append(c.fx.Log, fx.Log...)
	c.fx.Send = append(c.fx.Send, fx.Send...)
}

func (c *Core) proposed(now int64, fx paxos.ProposerEffects) {
	c.fx.Send = append(c.fx.Send, fx.Send...)
	for _, o := range fx.Outcomes {
		if o.Change.Key == paxos.MembershipKey {
			c.reconf.Done()
			if m, ok := paxos.ChosenMembership(o); ok {
				c.voted(now, c.voter.Adopt(m))
			}
			continue
		}
		if o.Verdict == paxos.Agreed || o.Verdict == paxos.Lost {
			c.agreed(now, o.Change.Key, o.Value)
		}
		if f := c.pending[o.Change.Name]; f != nil {
			delete(c.pending, o.Change.Name)
			f(now, o)
		}
	}
}

// reconfigure has a voter whose disk was lost vote again, as the disk that it has
// now. Who the processes are stays as the settings name it.
func (c *Core) reconfigure(now int64) {
	s := paxos.Survey{Lost: map[string]bool{}, Candidates: c.voter.Candidates(now, candidateFor)}
	for _, o := range c.voter.Membership().Addresses() {
		s.Lost[o] = o != c.self && c.down[o]
	}
	if ch, ok := c.reconf.Step(now, c.voter, s); ok {
		c.proposed(now, c.proposer.Ask(now, ch))
	}
}

// agreed hands what is known to be chosen to the relay tree.
func (c *Core) agreed(now int64, key string, v *schema.Value) {
	if v.GetRevision() > 0 && !strings.HasPrefix(key, dutyPrefix) {
		c.learned(c.relay.Learn(now, []*schema.Register{{Key: key, Value: v}}, 0, c.self))
	}
}

func (c *Core) learned(fx relaytree.Effects) {
	c.fx.Send = append(c.fx.Send, fx.Send...)
	for _, g := range fx.New {
		if g.Key == BookingsKey {
			c.cal = bookings.Read(g.Value.Data)
		}
		if p, ok := strings.CutPrefix(g.Key, ConfigPrefix); ok {
			cf, ps := settings.ReadConfiguration(g.Value.Data)
			if len(ps) > 0 {
				c.say(result.InvalidConfiguration, "%s revision %d: %s", g.Key, g.Value.Revision, ps[0])
				continue
			}
			c.configs[p] = cf
			c.say(result.RevisionApplied, "%s revision %d", g.Key, g.Value.Revision)
			c.plan()
		}
	}
}

// plan works out which groups there are and who has a duty to them.
func (c *Core) plan() {
	var ks []string
	for _, p := range slices.Sorted(maps.Keys(c.configs)) {
		cf := c.configs[p]
		for _, n := range slices.Sorted(maps.Keys(cf.Groups)) {
			k := p + "/" + n
			ks = append(ks, dutyPrefix+k)
			g := c.groups[k]
			if g == nil {
				g = &groupDuty{decider: takeover.New()}
				c.groups[k] = g
			}
			g.setting, g.places, g.limits = cf.Groups[n], nil, map[string]int32{}
			for _, m := range cf.Groups[n].Members {
				g.places = append(g.places, takeover.Place{Name: m, Address: cf.Databases[m].Address})
				g.limits[m] = cf.Databases[m].Connections
			}
		}
	}
	c.duty.Want(append(ks, machinesDuty))
	maps.DeleteFunc(c.groups, func(k string, _ *groupDuty) bool { return !slices.Contains(ks, dutyPrefix+k) })
}

func (c *Core) ask(now int64, ch paxos.Change, f func(int64, paxos.Outcome)) {
	c.pending[ch.Name] = f
	c.proposed(now, c.proposer.Ask(now, ch))
}

func (c *Core) read(now int64, key string, f func(int64, paxos.Outcome)) {
	c.ask(now, paxos.Change{Name: c.name(), Key: key, Read: true, Deadline: now + settingExpiry}, f)
}

func verdict(v paxos.Verdict, change bool) result.Code {
	switch {
	case v == paxos.Agreed:
		return result.OK
	case v == paxos.Lost:
		return result.LosingRevision
	case v == paxos.Uncertain && change:
		return result.ChangeUncertain
	}
	return result.NoVoterMajority
}

func text(v *schema.Value) json.RawMessage {
	if v == nil {
		return nil
	}
	return v.Data
}

// putConfiguration reads the newest revision through a majority, checks the change
// against it and puts it to the vote.
func (c *Core) putConfiguration(now int64, e PutConfiguration) {
	key := ConfigPrefix + e.Partner
	ret := func(r Return) { r.ID = e.ID; c.fx.Do = append(c.fx.Do, r) }
	if !c.reachesMajority() {
		ret(Return{Code: result.NoVoterMajority})
		return
	}
	c.read(now, key, func(now int64, o paxos.Outcome) {
		cur := o.Value
		switch {
		case o.Verdict != paxos.Agreed:
			ret(Return{Code: result.NoVoterMajority})
			return
		case cur.GetRevision() != e.Base:
			ret(Return{Code: result.LosingRevision, Revision: cur.GetRevision(), Text: text(cur)})
			return
		}
		next := e.Text
		if e.Patch {
			old := cur.GetData()
			if old == nil {
				old = []byte("{}")
			}
			var err error
			if next, err = jsonpatch.MergePatch(old, e.Text); err != nil {
				ret(Return{Code: result.OperatorBadJSON, Revision: e.Base, Problems: []settings.Problem{{Text: err.Error()}}})
				return
			}
		}
		if _, ps := settings.ReadConfiguration(next); len(ps) > 0 {
			ret(Return{Code: result.InvalidConfiguration, Revision: e.Base, Problems: ps})
			return
		}
		if e.DryRun {
			ret(Return{Code: result.OK, Revision: e.Base, Text: next})
			return
		}
		c.ask(now, paxos.Change{Name: c.name(), Key: key, Base: e.Base, Data: next, Deadline: now + settingExpiry}, func(now int64, o paxos.Outcome) {
			ret(Return{Code: verdict(o.Verdict, true), Revision: o.Value.GetRevision(), Text: text(o.Value)})
		})
	})
}

func (c *Core) watched(now int64, fx neighbours.Effects) {
	c.fx.Send = append(c.fx.Send, fx.Send...)
	for _, n := range slices.Sorted(maps.Keys(fx.Changed)) {
		if fx.Changed[n] {
			c.say(result.NeighbourSuspected, "%s", n)
		}
		c.write(now, roster.SuspectKey(n, c.self), roster.Suspicion(c.nodes, n, fx.Changed[n]))
	}
}

func (c *Core) watchedCtl(fx neighbours.Effects) {
	c.fx.Send = append(c.fx.Send, fx.Send...)
	for n, s := range fx.Changed {
		c.down[n] = s
	}
}

func (c *Core) write(now int64, key string, m proto.Message) {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	c.stamp++
	c.recs.Put(now, &schema.Record{Key: key, Stamp: c.stamp, Data: b})
}

func (c *Core) alive(o string) bool { return o == c.self && !c.leaving || o != c.self && !c.down[o] }

func (c *Core) tick(now int64) {
	c.lastTick = now
	c.watchMajority(now)
	c.voted(now, c.voter.Tick(now))
	c.reconfigure(now)
	if c.voter.Votes() && !c.formed {
		c.formed = true
		c.say(result.VoterFormed, "%s", c.self)
	}
	c.proposed(now, c.proposer.Tick(now))
	c.learned(c.relay.Tick(now))
	if now >= c.nextRos {
		c.nextRos = now + rosterEvery
		c.nodes = roster.Read(now, c.recs)
		all := roster.Addresses(c.nodes)
		c.watch.Nodes(now, all)
		c.ctl.Nodes(now, c.boot.Seeds)
		c.relay.Live(roster.Live(c.nodes))
		c.recs.Each(roster.ReportPrefix, func(r *schema.Record) {
			if c.recs.AgeUs(now, r.Key) > reportGone {
				c.recs.Forget(r.Key)
			}
		})
	}
	if now >= c.nextAnn {
		c.nextAnn = now + announceEvery
		c.write(now, roster.NodePrefix+c.self, &schema.NodeRecord{Name: c.boot.Name, Zone: c.boot.Zone, Partner: c.boot.Partner,
			Http: c.boot.Http, Kind: "control", Leaving: c.leaving, Run: c.run})
		for _, k := range c.relay.Keys() {
			if r := c.recs.Get(roster.AppliedPrefix + k + "/" + c.boot.Name); r == nil || !c.sameRevision(r, k) {
				c.write(now, roster.AppliedPrefix+k+"/"+c.boot.Name, &schema.AppliedRecord{Revision: c.relay.Held(k).Revision})
			}
		}
	}
	c.watched(now, c.watch.Tick(now))
	c.watchedCtl(c.ctl.Tick(now))
	if now >= c.nextCmp {
		c.nextCmp = now + compareEvery
		c.turn++
		if o := c.boot.Seeds[c.turn%len(c.boot.Seeds)]; o != c.self {
			c.fx.Send = append(c.fx.Send, c.recs.Compare(o, "", ""))
		}
	}
	if now >= c.nextDuty {
		// Not behind every envelope: this goes over all groups and reports.
		c.nextDuty = now + dutyEvery
		c.catchUp(now)
		c.dutyTick(now)
		c.whyTick(now)
	}
}

func (c *Core) sameRevision(r *schema.Record, k string) bool {
	d := &schema.AppliedRecord{}
	return proto.Unmarshal(r.Data, d) == nil && d.Revision == c.relay.Held(k).Revision
}

// catchUp asks after registers of which this voter accepted more than it heard
// was agreed: whoever made the revision may have died before it told anyone.
func (c *Core) catchUp(now int64) {
	if !c.formed {
		return
	}
	vs := c.voter.Values()
	for _, k := range slices.Sorted(maps.Keys(vs)) {
		if strings.HasPrefix(k, dutyPrefix) || vs[k].Revision <= c.relay.Held(k).GetRevision() || now < c.catching[k] {
			continue
		}
		if c.catching[k] == 0 {
			// Most often the proposer is just about to tell.
			c.catching[k] = now + catchUpEvery
			continue
		}
		c.catching[k] = now + catchUpEvery
		c.read(now, k, func(int64, paxos.Outcome) { delete(c.catching, k) })
	}
}

func (c *Core) dutyTick(now int64) {
	if !c.formed {
		return
	}
	fx := c.duty.Tick(now, c.alive)
	for _, ch := range fx.Changes {
		c.ask(now, ch, func(now int64, o paxos.Outcome) {
			for _, k := range c.duty.Outcome(now, o).Taken {
				c.say(result.DutyTaken, "%s", k)
			}
		})
	}
	for _, k := range slices.Sorted(maps.Keys(c.groups)) {
		c.groupTick(now, k, c.groups[k])
	}
	c.bookingTick(now)
}

// GroupState reads a group's state out of its register.
func GroupState(v *schema.Value) *schema.GroupState {
	s := &schema.GroupState{}
	if v != nil && proto.Unmarshal(v.Data, s) != nil {
		return &schema.GroupState{}
	}
	return s
}

func (c *Core) groupTick(now int64, k string, g *groupDuty) {
	acts := c.duty.Acts(dutyPrefix+k, now)
	v := c.relay.Held(GroupPrefix + k)
	in := takeover.Input{Places: g.places, First: g.setting.Primary, State: GroupState(v), Rev: v.GetRevision(), Known: true, Acts: acts}
	if acts {
		in.Reports = c.reports(now, k)
		in.Avoid, in.Aside, in.Kept = c.moves(k, in.State)
	}
	for _, e := range g.decider.Step(now, in) {
		switch e := e.(type) {
		case takeover.Ask:
			c.fx.Do = append(c.fx.Do, AskDatabase{Group: k, ID: e.ID, Address: e.Address, Seal: e.Seal})
		case takeover.Put:
			c.ask(now, paxos.Change{Name: c.name(), Key: GroupPrefix + k, Base: e.Base, Data: e.Data, Deadline: now + settingExpiry},
				func(int64, paxos.Outcome) { g.decider.PutDone() })
		case takeover.Platform:
			c.fx.Do = append(c.fx.Do, Platform{Group: k, Target: e.Target, Identity: e.Identity, Epoch: e.Epoch, Members: e.Members})
		case takeover.Say:
			c.say(e.Code, "%s %s", k, e.Text)
		}
	}
}

// reports sums what pool nodes said lately of a group's databases.
func (c *Core) reports(now int64, group string) map[string]takeover.Report {
	m := map[string]takeover.Report{}
	pre := roster.ReportPrefix + group + "/"
	c.recs.Each(pre, func(r *schema.Record) {
		d := &schema.DatabaseReport{}
		if c.recs.AgeUs(now, r.Key) > reportFresh || proto.Unmarshal(r.Data, d) != nil {
			return
		}
		db, _, _ := strings.Cut(strings.TrimPrefix(r.Key, pre), "/")
		s := m[db]
		if d.Reachable {
			s.Reach++
		} else {
			s.Miss++
		}
		s.Busy, s.Open = s.Busy+int(d.Busy), s.Open+int(d.Open)
		m[db] = s
	})
	return m
}

func (c *Core) permitAsk(now int64, from string, a *schema.PermitAsk) {
	g, k := c.groups[a.Group], dutyPrefix+a.Group
	if g == nil || !c.duty.Exclusive(k, now) {
		return
	}
	_, term := c.duty.HeldUs(k, now)
	if g.holder == nil || g.term != term {
		g.holder, g.term = permits.NewHolder(now, term == 1), term
		if gs := c.duty.Grants(k); gs != nil {
			g.holder = permits.Handed(now, gs)
		}
	}
	wants := true
	for _, n := range c.nodes {
		if n.Address == from {
			wants = !n.Leaving
		}
	}
	gv := g.holder.Ask(now, from, a, g.limits, wants)
	c.fx.Send = append(c.fx.Send, step.Send{To: from, Env: &schema.Envelope{From: c.self, Body: &schema.Envelope_PermitGive{PermitGive: gv}}})
}

// given is what this holder of a group's duty tells its successor; nil while
// permits that it does not know of may be out.
func (c *Core) given(key string, now int64) *schema.Grants {
	g := c.groups[strings.TrimPrefix(key, dutyPrefix)]
	_, term := c.duty.HeldUs(key, now)
	if g == nil || g.holder == nil || g.term != term || !g.holder.Whole(now) {
		return nil
	}
	return g.holder.Grants(now)
}

// Votes says whether this process's voter votes.
func (c *Core) Votes() bool { return c.voter.Votes() }

// Nodes is who is in the fleet, as this process knows it.
func (c *Core) Nodes() []roster.Node { return c.nodes }

// Held returns the newest agreed value this process knows of a register.
func (c *Core) Held(key string) *schema.Value { return c.relay.Held(key) }

// Groups names all configured groups, with the holder of the duty to each.
func (c *Core) Groups() map[string]string {
	m := map[string]string{}
	for k := range c.groups {
		m[k] = c.duty.Holder(dutyPrefix + k)
	}
	return m
}

// Applied tells which revision of a register is in force on each node.
func (c *Core) Applied(key string) map[string]uint64 {
	m := map[string]uint64{}
	pre := roster.AppliedPrefix + key + "/"
	c.recs.Each(pre, func(r *schema.Record) {
		d := &schema.AppliedRecord{}
		if proto.Unmarshal(r.Data, d) == nil {
			m[strings.TrimPrefix(r.Key, pre)] = d.Revision
		}
	})
	return m
}
