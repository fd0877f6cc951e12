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

	"stoneford/connectionlease"
	"stoneford/crdt"
	"stoneford/failover/sealed"
	"stoneford/failuredetector"
	"stoneford/internal/membership"
	"stoneford/internal/settings"
	"stoneford/leaderelection"
	"stoneford/maintenance"
	"stoneford/paxos"
	"stoneford/relaytree"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/statemachine"
)

// Keys of the registers.
const (
	candidateTimeout       = 1_000_000 // a process that did not ask to vote so long is no candidate
	ConfigurationKeyPrefix = "config/"
	GroupKeyPrefix         = "group/"
	roleKeyPrefix          = "duty/"
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
	// DatabaseReply ends an DatabaseCall.
	DatabaseReply struct {
		Group  string
		ID     uint64
		Failed bool
		Status sealed.Status
	}
	// Stop hands the duties over.
	Stop struct{}
)

// Effects.
type (
	// ConfigurationResult ends a put or a get.
	ConfigurationResult struct {
		ID       uint64
		Code     result.Code
		Revision uint64
		Text     json.RawMessage
		Problems []settings.Problem
	}
	// DatabaseCall puts a question to a database.
	DatabaseCall struct {
		Group     string
		ID        uint64
		Address   string
		SealEpoch uint64
	}
	// FailoverRequest asks the platform for a takeover.
	FailoverRequest struct {
		Group    string
		Target   string
		Identity string // of the copy that is meant: no other may be promoted in its place
		Epoch    uint64
		Members  []sealed.Endpoint
	}
	// LogEntry is for the log.
	LogEntry struct {
		Code result.Code
		Text string
	}
)

// Effects of one step. Log must be synced before anything else is done.
type Effects struct {
	Log  []*schema.WALEntry
	Send []statemachine.Send
	Do   []any
}

const (
	compareInterval    = 400_000
	roleInterval       = 10_000
	announceInterval   = 1_000_000
	membershipInterval = 200_000
	changeTimeout      = 4_000_000
	catchUpInterval    = 400_000
	reportMaxAge       = 1_500_000
	reportRetention    = 30_000_000
)

type groupRole struct {
	setting          *schema.GroupSetting
	databases        []sealed.Endpoint
	connectionLimits map[string]int32
	decider          *sealed.Group
	leaseHolder      *connectionlease.Lessor
	term             uint64
}

// Core is one control process.
type Core struct {
	self            string
	run             uint64
	config          *schema.Boot
	voter           *paxos.Acceptor
	reconfigurer    *paxos.Reconfigurer
	proposer        *paxos.Proposer
	relay           *relaytree.Relay
	records         *crdt.Store
	detector        *failuredetector.Detector // as one node among all
	controlDetector *failuredetector.Detector // over the other control processes
	unresponsive    map[string]bool           // control processes that are silent
	roles           *leaderelection.Candidate
	groups          map[string]*groupRole
	configurations  map[string]*schema.Configuration
	nodes           []membership.Node
	pending         map[string]func(int64, paxos.Outcome)
	catchUpAt       map[string]int64
	lastName        uint64
	stamp           uint64
	compareTurn     int
	voting          bool
	draining        bool
	// the calendar
	wallClockOffset       int64
	wallClockKnown        bool
	calendar              *schema.MaintenanceCalendar
	windowsInProgress     map[uint64]*windowProgress
	calendarChangePending bool
	// questions put to the nodes
	openQuestions     map[uint64]*openQuestion
	lastQuestion      uint64
	nextMaintenanceAt int64
	nextCompareAt     int64
	nextRolesAt       int64
	nextAnnounceAt    int64
	nextMembershipAt  int64
	// since when no majority is heard, 0 if one is; and when that was last looked at
	majorityLostAt, lastTickAt int64
	effects                    Effects
}

// NewCore makes a control process; run must be greater than any earlier run's
// of this process, life random: it tells this disk from any other.
func NewCore(b *schema.Boot, run, diskID uint64) *Core {
	c := &Core{self: b.Listen, run: run, config: b,
		voter:        paxos.NewAcceptor(b.Listen, diskID, paxos.Location{}, b.Seeds),
		proposer:     paxos.NewProposer(b.Listen, fmt.Sprint(run), b.Seeds),
		reconfigurer: paxos.NewReconfigurer(b.Listen, fmt.Sprint(run)),
		relay:        relaytree.New(b.Listen, b.Seeds), records: crdt.New(b.Listen),
		detector: failuredetector.New(b.Listen), controlDetector: failuredetector.New(b.Listen), unresponsive: map[string]bool{},
		groups: map[string]*groupRole{}, configurations: map[string]*schema.Configuration{},
		pending: map[string]func(int64, paxos.Outcome){}, catchUpAt: map[string]int64{}, windowsInProgress: map[uint64]*windowProgress{}, openQuestions: map[uint64]*openQuestion{}, calendar: &schema.MaintenanceCalendar{}, stamp: run}
	c.roles = leaderelection.New(b.Listen, run, b.Seeds, c.newChangeName, c.leaseGrants)
	return c
}

// Restore plays one entry of the voter's log back.
func (c *Core) Restore(l *schema.WALEntry) { c.voter.Restore(l) }

// Snapshot is the voter's whole state as one log entry.
func (c *Core) Snapshot() *schema.WALEntry { return c.voter.Snapshot() }

func (c *Core) newChangeName() string {
	c.lastName++
	return fmt.Sprintf("%s#%d#%d", c.self, c.run, c.lastName)
}

func (c *Core) logf(code result.Code, f string, a ...any) {
	c.effects.Do = append(c.effects.Do, LogEntry{Code: code, Text: fmt.Sprintf(f, a...)})
}

// Step takes events, then does what is due.
func (c *Core) Step(now int64, events ...any) Effects {
	c.effects = Effects{}
	for _, e := range events {
		c.handleEvent(now, e)
	}
	c.tick(now)
	return c.effects
}

func (c *Core) handleEvent(now int64, e any) {
	switch e := e.(type) {
	case *schema.Envelope:
		c.handleEnvelope(now, e)
	case PutConfiguration:
		c.putConfiguration(now, e)
	case GetConfiguration:
		c.getConfiguration(now, e)
	case DatabaseReply:
		if g := c.groups[e.Group]; g != nil {
			g.decider.HandleReply(e.ID, e.Failed, e.Status)
		}
	case Command:
		c.handleCommand(now, e)
	case WallClock:
		c.wallClockOffset, c.wallClockKnown = e.UnixMicro-now, true
	case Stop:
		c.draining = true
		c.roles.Drain()
		c.nextAnnounceAt = 0
	}
}

func (c *Core) handleEnvelope(now int64, e *schema.Envelope) {
	if paxos.IsForAcceptor(e) {
		c.applyAcceptorEffects(now, c.voter.Step(now, e))
	}
	if paxos.IsForProposer(e) {
		c.applyProposerEffects(now, c.proposer.Step(now, e))
	}
	switch b := e.Body.(type) {
	case *schema.Envelope_RegisterUpdate, *schema.Envelope_Digest:
		c.applyRelayEffects(c.relay.Step(now, e))
	case *schema.Envelope_Records, *schema.Envelope_RangeDigests:
		c.effects.Send = append(c.effects.Send, c.records.Step(now, e).Send...)
	case *schema.Envelope_Ping:
		c.applyDetectorEffects(now, c.detector.Step(now, e))
	case *schema.Envelope_Pong:
		c.applyDetectorEffects(now, c.detector.Step(now, e))
		c.applyControlDetectorEffects(c.controlDetector.Step(now, e))
	case *schema.Envelope_ReadDecisionResponse:
		c.handleDecisions(now, b.ReadDecisionResponse)
	case *schema.Envelope_ConnectionLeaseRequest:
		c.handleLeaseRequest(now, e.From, b.ConnectionLeaseRequest)
	}
}

func (c *Core) applyAcceptorEffects(now int64, effects paxos.Effects) {
	c.proposer.SetMembership(now, c.voter.Membership())
	c.effects.Log = append(c.effects.Log, effects.Log...)
	c.effects.Send = append(c.effects.Send, effects.Send...)
}

func (c *Core) applyProposerEffects(now int64, effects paxos.ProposerEffects) {
	c.effects.Send = append(c.effects.Send, effects.Send...)
	for _, o := range effects.Outcomes {
		if o.Change.Key == paxos.MembershipKey {
			c.reconfigurer.Done()
			if m, ok := paxos.ChosenMembership(o); ok {
				c.applyAcceptorEffects(now, c.voter.AdoptMembership(m))
			}
			continue
		}
		if o.Verdict == paxos.Committed || o.Verdict == paxos.Conflict {
			c.publishCommitted(now, o.Change.Key, o.Value)
		}
		if f := c.pending[o.Change.ID]; f != nil {
			delete(c.pending, o.Change.ID)
			f(now, o)
		}
	}
}

// reconfigure has a voter whose disk was lost vote again, as the disk that it has
// now. Who the processes are stays as the settings name it.
func (c *Core) reconfigure(now int64) {
	s := paxos.PlanningInput{Unavailable: map[string]bool{}, Candidates: c.voter.Candidates(now, candidateTimeout)}
	for _, o := range c.voter.Membership().Addresses() {
		s.Unavailable[o] = o != c.self && c.unresponsive[o]
	}
	if ch, ok := c.reconfigurer.Step(now, c.voter, s); ok {
		c.applyProposerEffects(now, c.proposer.Propose(now, ch))
	}
}

// publishCommitted hands what is known to be chosen to the relay tree.
func (c *Core) publishCommitted(now int64, key string, v *schema.Value) {
	if v.GetRevision() > 0 && !strings.HasPrefix(key, roleKeyPrefix) {
		c.applyRelayEffects(c.relay.Learn(now, []*schema.Register{{Key: key, Value: v}}, 0, c.self))
	}
}

func (c *Core) applyRelayEffects(effects relaytree.Effects) {
	c.effects.Send = append(c.effects.Send, effects.Send...)
	for _, g := range effects.Updated {
		if g.Key == MaintenanceKey {
			c.calendar = maintenance.Read(g.Value.Data)
		}
		if p, ok := strings.CutPrefix(g.Key, ConfigurationKeyPrefix); ok {
			configuration, problems := settings.ReadConfiguration(g.Value.Data)
			if len(problems) > 0 {
				c.logf(result.InvalidConfiguration, "%s revision %d: %s", g.Key, g.Value.Revision, problems[0])
				continue
			}
			c.configurations[p] = configuration
			c.logf(result.RevisionApplied, "%s revision %d", g.Key, g.Value.Revision)
			c.updateGroups()
		}
	}
}

// updateGroups works out which groups there are and who has a duty to them.
func (c *Core) updateGroups() {
	var roleKeys []string
	for _, p := range slices.Sorted(maps.Keys(c.configurations)) {
		configuration := c.configurations[p]
		for _, n := range slices.Sorted(maps.Keys(configuration.Groups)) {
			k := p + "/" + n
			roleKeys = append(roleKeys, roleKeyPrefix+k)
			g := c.groups[k]
			if g == nil {
				g = &groupRole{decider: sealed.New()}
				c.groups[k] = g
			}
			g.setting, g.databases, g.connectionLimits = configuration.Groups[n], nil, map[string]int32{}
			for _, m := range configuration.Groups[n].Members {
				g.databases = append(g.databases, sealed.Endpoint{Name: m, Address: configuration.Databases[m].Address})
				g.connectionLimits[m] = configuration.Databases[m].Connections
			}
		}
	}
	c.roles.SetRoles(append(roleKeys, machinesRole))
	maps.DeleteFunc(c.groups, func(k string, _ *groupRole) bool { return !slices.Contains(roleKeys, roleKeyPrefix+k) })
}

func (c *Core) propose(now int64, ch paxos.Change, f func(int64, paxos.Outcome)) {
	c.pending[ch.ID] = f
	c.applyProposerEffects(now, c.proposer.Propose(now, ch))
}

func (c *Core) readRegister(now int64, key string, f func(int64, paxos.Outcome)) {
	c.propose(now, paxos.Change{ID: c.newChangeName(), Key: key, ReadOnly: true, Deadline: now + changeTimeout}, f)
}

func verdictCode(v paxos.Verdict, change bool) result.Code {
	switch {
	case v == paxos.Committed:
		return result.OK
	case v == paxos.Conflict:
		return result.LosingRevision
	case v == paxos.Uncertain && change:
		return result.ChangeUncertain
	}
	return result.NoVoterMajority
}

func valueData(v *schema.Value) json.RawMessage {
	if v == nil {
		return nil
	}
	return v.Data
}

// putConfiguration reads the newest revision through a majority, checks the change
// against it and puts it to the vote.
func (c *Core) putConfiguration(now int64, e PutConfiguration) {
	key := ConfigurationKeyPrefix + e.Partner
	reply := func(r ConfigurationResult) { r.ID = e.ID; c.effects.Do = append(c.effects.Do, r) }
	if !c.reachesMajority() {
		reply(ConfigurationResult{Code: result.NoVoterMajority})
		return
	}
	c.readRegister(now, key, func(now int64, o paxos.Outcome) {
		current := o.Value
		switch {
		case o.Verdict != paxos.Committed:
			reply(ConfigurationResult{Code: result.NoVoterMajority})
			return
		case current.GetRevision() != e.Base:
			reply(ConfigurationResult{Code: result.LosingRevision, Revision: current.GetRevision(), Text: valueData(current)})
			return
		}
		next := e.Text
		if e.Patch {
			old := current.GetData()
			if old == nil {
				old = []byte("{}")
			}
			var err error
			if next, err = jsonpatch.MergePatch(old, e.Text); err != nil {
				reply(ConfigurationResult{Code: result.OperatorBadJSON, Revision: e.Base, Problems: []settings.Problem{{Text: err.Error()}}})
				return
			}
		}
		if _, problems := settings.ReadConfiguration(next); len(problems) > 0 {
			reply(ConfigurationResult{Code: result.InvalidConfiguration, Revision: e.Base, Problems: problems})
			return
		}
		if e.DryRun {
			reply(ConfigurationResult{Code: result.OK, Revision: e.Base, Text: next})
			return
		}
		c.propose(now, paxos.Change{ID: c.newChangeName(), Key: key, BaseRevision: e.Base, Data: next, Deadline: now + changeTimeout}, func(now int64, o paxos.Outcome) {
			reply(ConfigurationResult{Code: verdictCode(o.Verdict, true), Revision: o.Value.GetRevision(), Text: valueData(o.Value)})
		})
	})
}

func (c *Core) applyDetectorEffects(now int64, effects failuredetector.Effects) {
	c.effects.Send = append(c.effects.Send, effects.Send...)
	for _, n := range slices.Sorted(maps.Keys(effects.Changed)) {
		if effects.Changed[n] {
			c.logf(result.PeerSuspected, "%s", n)
		}
		c.putRecord(now, membership.SuspectKey(n, c.self), membership.NewSuspicion(c.nodes, n, effects.Changed[n]))
	}
}

func (c *Core) applyControlDetectorEffects(effects failuredetector.Effects) {
	c.effects.Send = append(c.effects.Send, effects.Send...)
	for n, s := range effects.Changed {
		c.unresponsive[n] = s
	}
}

func (c *Core) putRecord(now int64, key string, m proto.Message) {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	c.stamp++
	c.records.Merge(now, &schema.Record{Key: key, Timestamp: c.stamp, Data: b})
}

func (c *Core) isAlive(o string) bool {
	return o == c.self && !c.draining || o != c.self && !c.unresponsive[o]
}

func (c *Core) tick(now int64) {
	c.lastTickAt = now
	c.watchMajority(now)
	c.applyAcceptorEffects(now, c.voter.Tick(now))
	c.reconfigure(now)
	if c.voter.IsVoter() && !c.voting {
		c.voting = true
		c.logf(result.VoterStarted, "%s", c.self)
	}
	c.applyProposerEffects(now, c.proposer.Tick(now))
	c.applyRelayEffects(c.relay.Tick(now))
	if now >= c.nextMembershipAt {
		c.nextMembershipAt = now + membershipInterval
		c.nodes = membership.ReadNodes(now, c.records)
		all := membership.Addresses(c.nodes)
		c.detector.SetNodes(now, all)
		c.controlDetector.SetNodes(now, c.config.Seeds)
		c.relay.SetLiveNodes(membership.LiveAddresses(c.nodes))
		c.records.ForEach(membership.ReportPrefix, func(r *schema.Record) {
			if c.records.AgeUs(now, r.Key) > reportRetention {
				c.records.Forget(r.Key)
			}
		})
	}
	if now >= c.nextAnnounceAt {
		c.nextAnnounceAt = now + announceInterval
		c.putRecord(now, membership.NodePrefix+c.self, &schema.NodeRecord{Name: c.config.Name, Zone: c.config.Zone, Partner: c.config.Partner,
			HttpAddress: c.config.Http, Kind: "control", Draining: c.draining, Run: c.run})
		for _, k := range c.relay.Keys() {
			if r := c.records.Get(membership.AppliedPrefix + k + "/" + c.config.Name); r == nil || !c.sameRevision(r, k) {
				c.putRecord(now, membership.AppliedPrefix+k+"/"+c.config.Name, &schema.AppliedRecord{Revision: c.relay.Value(k).Revision})
			}
		}
	}
	c.applyDetectorEffects(now, c.detector.Tick(now))
	c.applyControlDetectorEffects(c.controlDetector.Tick(now))
	if now >= c.nextCompareAt {
		c.nextCompareAt = now + compareInterval
		c.compareTurn++
		if o := c.config.Seeds[c.compareTurn%len(c.config.Seeds)]; o != c.self {
			c.effects.Send = append(c.effects.Send, c.records.CompareRange(o, "", ""))
		}
	}
	if now >= c.nextRolesAt {
		// Not behind every envelope: this goes over all groups and reports.
		c.nextRolesAt = now + roleInterval
		c.catchUp(now)
		c.tickRoles(now)
		c.finishQuestions(now)
	}
}

func (c *Core) sameRevision(r *schema.Record, k string) bool {
	d := &schema.AppliedRecord{}
	return proto.Unmarshal(r.Data, d) == nil && d.Revision == c.relay.Value(k).Revision
}

// catchUp asks after registers of which this voter accepted more than it heard
// was agreed: whoever made the revision may have died before it told anyone.
func (c *Core) catchUp(now int64) {
	if !c.voting {
		return
	}
	values := c.voter.AcceptedValues()
	for _, k := range slices.Sorted(maps.Keys(values)) {
		if strings.HasPrefix(k, roleKeyPrefix) || values[k].Revision <= c.relay.Value(k).GetRevision() || now < c.catchUpAt[k] {
			continue
		}
		if c.catchUpAt[k] == 0 {
			// Most often the proposer is just about to tell.
			c.catchUpAt[k] = now + catchUpInterval
			continue
		}
		c.catchUpAt[k] = now + catchUpInterval
		c.readRegister(now, k, func(int64, paxos.Outcome) { delete(c.catchUpAt, k) })
	}
}

func (c *Core) tickRoles(now int64) {
	if !c.voting {
		return
	}
	effects := c.roles.Tick(now, c.isAlive)
	for _, ch := range effects.Changes {
		c.propose(now, ch, func(now int64, o paxos.Outcome) {
			for _, k := range c.roles.HandleOutcome(now, o).Acquired {
				c.logf(result.RoleOwnerChanged, "%s", k)
			}
		})
	}
	for _, k := range slices.Sorted(maps.Keys(c.groups)) {
		c.tickGroup(now, k, c.groups[k])
	}
	c.tickMaintenance(now)
}

// GroupState reads a group's state out of its register.
func GroupState(v *schema.Value) *schema.GroupState {
	s := &schema.GroupState{}
	if v != nil && proto.Unmarshal(v.Data, s) != nil {
		return &schema.GroupState{}
	}
	return s
}

func (c *Core) tickGroup(now int64, k string, g *groupRole) {
	acts := c.roles.IsLeader(roleKeyPrefix+k, now)
	v := c.relay.Value(GroupKeyPrefix + k)
	input := sealed.Input{Endpoints: g.databases, InitialPrimary: g.setting.Primary, State: GroupState(v), Revision: v.GetRevision(), UpToDate: true, HasRole: acts}
	if acts {
		input.Reports = c.databaseReports(now, k)
		input.SwitchAwayFrom, input.SetAside, input.KeptIdentity = c.groupMaintenance(k, input.State)
	}
	for _, e := range g.decider.Step(now, input) {
		switch e := e.(type) {
		case sealed.DatabaseCall:
			c.effects.Do = append(c.effects.Do, DatabaseCall{Group: k, ID: e.ID, Address: e.Address, SealEpoch: e.SealEpoch})
		case sealed.ProposeState:
			c.propose(now, paxos.Change{ID: c.newChangeName(), Key: GroupKeyPrefix + k, BaseRevision: e.BaseRevision, Data: e.Data, Deadline: now + changeTimeout},
				func(int64, paxos.Outcome) { g.decider.ProposalDone() })
		case sealed.Reparent:
			c.effects.Do = append(c.effects.Do, FailoverRequest{Group: k, Target: e.Target, Identity: e.Identity, Epoch: e.Epoch, Members: e.Endpoints})
		case sealed.LogEntry:
			c.logf(e.Code, "%s %s", k, e.Message)
		}
	}
}

// databaseReports sums what pool nodes said lately of a group's databases.
func (c *Core) databaseReports(now int64, group string) map[string]sealed.HealthReport {
	m := map[string]sealed.HealthReport{}
	prefix := membership.ReportPrefix + group + "/"
	c.records.ForEach(prefix, func(r *schema.Record) {
		d := &schema.DatabaseReport{}
		if c.records.AgeUs(now, r.Key) > reportMaxAge || proto.Unmarshal(r.Data, d) != nil {
			return
		}
		db, _, _ := strings.Cut(strings.TrimPrefix(r.Key, prefix), "/")
		s := m[db]
		if d.Reachable {
			s.Reachable++
		} else {
			s.Unreachable++
		}
		s.BusyConnections, s.OpenTransactions = s.BusyConnections+int(d.BusyConnections), s.OpenTransactions+int(d.OpenTransactions)
		m[db] = s
	})
	return m
}

func (c *Core) handleLeaseRequest(now int64, from string, request *schema.ConnectionLeaseRequest) {
	group, role := c.groups[request.Group], roleKeyPrefix+request.Group
	if group == nil || !c.roles.IsExclusive(role, now) {
		return
	}
	_, term := c.roles.LeadingUs(role, now)
	if group.leaseHolder == nil || group.term != term {
		group.leaseHolder, group.term = connectionlease.NewLessor(now, term == 1), term
		if grants := c.roles.InheritedLeases(role); grants != nil {
			group.leaseHolder = connectionlease.NewLessorFromLeases(now, grants)
		}
	}
	mayReceive := true
	for _, n := range c.nodes {
		if n.Address == from {
			mayReceive = !n.Draining
		}
	}
	grant := group.leaseHolder.HandleRequest(now, from, request, group.connectionLimits, mayReceive)
	c.effects.Send = append(c.effects.Send, statemachine.Send{To: from, Envelope: &schema.Envelope{From: c.self, Body: &schema.Envelope_ConnectionLeaseResponse{ConnectionLeaseResponse: grant}}})
}

// leaseGrants is what this holder of a group's duty tells its successor; nil while
// permits that it does not know of may be out.
func (c *Core) leaseGrants(key string, now int64) *schema.ConnectionLeases {
	g := c.groups[strings.TrimPrefix(key, roleKeyPrefix)]
	_, term := c.roles.LeadingUs(key, now)
	if g == nil || g.leaseHolder == nil || g.term != term || !g.leaseHolder.Complete(now) {
		return nil
	}
	return g.leaseHolder.Leases(now)
}

// Voting says whether this process's voter votes.
func (c *Core) Voting() bool { return c.voter.IsVoter() }

// Nodes is who is in the fleet, as this process knows it.
func (c *Core) Nodes() []membership.Node { return c.nodes }

// Committed returns the newest agreed value this process knows of a register.
func (c *Core) Committed(key string) *schema.Value { return c.relay.Value(key) }

// GroupLeaders names all configured groups, with the holder of the duty to each.
func (c *Core) GroupLeaders() map[string]string {
	m := map[string]string{}
	for k := range c.groups {
		m[k] = c.roles.Leader(roleKeyPrefix + k)
	}
	return m
}

// AppliedRevisions tells which revision of a register is in force on each node.
func (c *Core) AppliedRevisions(key string) map[string]uint64 {
	m := map[string]uint64{}
	prefix := membership.AppliedPrefix + key + "/"
	c.records.ForEach(prefix, func(r *schema.Record) {
		d := &schema.AppliedRecord{}
		if proto.Unmarshal(r.Data, d) == nil {
			m[strings.TrimPrefix(r.Key, prefix)] = d.Revision
		}
	})
	return m
}
