// Package pool is the data plane. Core is the node's deterministic half: news,
// neighbours, records and permits, from which it works out what each group's
// query table is wanted to do. Process puts links, HTTP and timers around it,
// and runs each group's table on a thread of its own.
package pool

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"stoneford/connectionlease"
	"stoneford/crdt"
	"stoneford/failuredetector"
	"stoneford/internal/control"
	"stoneford/internal/membership"
	"stoneford/internal/querytable"
	"stoneford/internal/settings"
	"stoneford/maintenance"
	"stoneford/paxos"
	"stoneford/relaytree"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/statemachine"
)

// Events.
type (
	// TableReport brings what a group's table knows.
	TableReport struct {
		Group string
		Views []querytable.DatabaseView
		InUse map[string]int
	}
	// Decisions ends a Why.
	Decisions struct {
		Request   DecisionsRequest
		Group     string
		AtUs      int64
		Decisions []querytable.Decision
	}
	// Stop has the node tell that it leaves.
	Stop struct{}
)

// Effects.
type (
	// SetDesired hands a group's table its new wanted state.
	SetDesired struct {
		Group   string
		Desired querytable.Desired
	}
	// SetRoutes hands out the routes in force: route to group, and who may use
	// which class is in the group's Wanted.
	SetRoutes struct{ Routes map[string]Route }
	// DecisionsRequest asks a group's table what it decided lately.
	DecisionsRequest struct {
		From   string
		Number uint64
		Group  string
		Query  string
	}
	// LogEntry is for the log.
	LogEntry struct {
		Code result.Code
		Text string
	}
)

// Route is one route in force.
type Route struct {
	Group   string
	Classes []string
}

// Effects of one step.
type Effects struct {
	Send []statemachine.Send
	Do   []any
}

const (
	announceInterval    = 1_000_000
	membershipInterval  = 200_000
	compareInterval     = 1_000_000
	reportInterval      = 500_000
	groupInterval       = 10_000
	drainReportInterval = 100_000
	readTimeout         = 2_000_000
)

type group struct {
	partner        string
	name           string
	leaseRequester *connectionlease.Lessee
	views          []querytable.DatabaseView
	inUse          map[string]int
	desired        querytable.Desired
	state          *schema.GroupState
	reachable      map[string]bool
	nextReportAt   int64
}

// Core is one pool node.
type Core struct {
	config           *schema.Boot
	self             string
	run              uint64
	stamp            uint64
	relay            *relaytree.Relay
	records          *crdt.Store
	detector         *failuredetector.Detector
	proposer         *paxos.Proposer
	nodes            []membership.Node
	configurations   map[string]*schema.Configuration
	calendar         *schema.MaintenanceCalendar
	appliedRevisions map[string]uint64 // revision of each configuration in force
	readsPending     map[string]bool
	minRevisions     map[string]uint64 // configurations read through a majority: least revision to apply
	groups           map[string]*group
	lastName         uint64
	seedTurn         int
	draining         bool
	nextAnnounceAt   int64
	nextMembershipAt int64
	nextCompareAt    int64
	nextGroupsAt     int64 // set to 0 where a group's wanted state may have changed
	effects          Effects
}

// NewCore makes a node; run must be greater than any earlier run's.
func NewCore(b *schema.Boot, run uint64) *Core {
	return &Core{config: b, self: b.Listen, run: run, stamp: run, relay: relaytree.New(b.Listen, b.Seeds), records: crdt.New(b.Listen),
		detector: failuredetector.New(b.Listen), proposer: paxos.NewProposer(b.Listen, fmt.Sprint(run), b.Seeds),
		configurations: map[string]*schema.Configuration{}, appliedRevisions: map[string]uint64{}, calendar: &schema.MaintenanceCalendar{}, readsPending: map[string]bool{}, minRevisions: map[string]uint64{}, groups: map[string]*group{},
		seedTurn: int(statemachine.Hash(b.Listen) % 3)}
}

// Step takes events, then does what is due.
func (c *Core) Step(now int64, events ...any) Effects {
	c.effects = Effects{}
	for _, e := range events {
		switch e := e.(type) {
		case *schema.Envelope:
			c.handleEnvelope(now, e)
		case TableReport:
			if g := c.groups[e.Group]; g != nil {
				g.views, g.inUse = e.Views, e.InUse
				c.nextGroupsAt = 0
			}
		case Decisions:
			c.handleDecisions(e)
		case Stop:
			c.draining, c.nextAnnounceAt = true, 0
		}
	}
	c.tick(now)
	return c.effects
}

func (c *Core) logf(code result.Code, f string, a ...any) {
	c.effects.Do = append(c.effects.Do, LogEntry{Code: code, Text: fmt.Sprintf(f, a...)})
}

func (c *Core) handleEnvelope(now int64, e *schema.Envelope) {
	switch b := e.Body.(type) {
	case *schema.Envelope_RegisterUpdate, *schema.Envelope_Digest:
		c.applyRelayEffects(now, c.relay.Step(now, e))
	case *schema.Envelope_Records, *schema.Envelope_RangeDigests:
		c.effects.Send = append(c.effects.Send, c.records.Step(now, e).Send...)
	case *schema.Envelope_Ping, *schema.Envelope_Pong:
		c.applyDetectorEffects(now, c.detector.Step(now, e))
	case *schema.Envelope_Promise, *schema.Envelope_Accepted, *schema.Envelope_MembershipNotice:
		c.applyProposerEffects(now, c.proposer.Step(now, e))
	case *schema.Envelope_ReadDecisionRequest:
		// Only of groups of the partner that asks.
		for _, k := range slices.Sorted(maps.Keys(c.groups)) {
			if g := c.groups[k]; g.partner == b.ReadDecisionRequest.Partner && (b.ReadDecisionRequest.Group == "" || b.ReadDecisionRequest.Group == k) {
				c.effects.Do = append(c.effects.Do, DecisionsRequest{From: e.From, Number: b.ReadDecisionRequest.RequestNumber, Group: k, Query: b.ReadDecisionRequest.Query})
			}
		}
	case *schema.Envelope_ConnectionLeaseResponse:
		if g := c.groups[b.ConnectionLeaseResponse.Group]; g != nil {
			g.leaseRequester.HandleResponse(b.ConnectionLeaseResponse)
			c.nextGroupsAt = 0
		}
	}
}

// handleDecisions sends what a table decided to the control process that asked.
func (c *Core) handleDecisions(e Decisions) {
	r := &schema.ReadDecisionResponse{RequestNumber: e.Request.Number}
	for _, d := range e.Decisions {
		s := &schema.ReadDecision{Node: c.config.Name, Group: e.Group, Query: d.Name, Class: d.Class, AgoUs: e.AtUs - d.AtUs, Replica: d.Database, Reason: d.Reason, MinPosition: d.Floor}
		for _, o := range d.Candidates {
			s.Candidates = append(s.Candidates, &schema.ReplicaCandidate{Replica: o.Name, AppliedPosition: o.AppliedPosition, RequiredPosition: o.RequiredPosition, LoadUs: o.LoadUs, RunUs: o.AverageRunUs, WaitUs: o.WaitUs, Eligible: o.Eligible})
		}
		r.Decisions = append(r.Decisions, s)
	}
	c.effects.Send = append(c.effects.Send, statemachine.Send{To: e.Request.From, Envelope: &schema.Envelope{From: c.self, Body: &schema.Envelope_ReadDecisionResponse{ReadDecisionResponse: r}}})
}

func (c *Core) applyRelayEffects(now int64, effects relaytree.Effects) {
	c.effects.Send = append(c.effects.Send, effects.Send...)
	for _, g := range effects.Updated {
		c.nextGroupsAt = 0
		switch {
		case g.Key == control.MaintenanceKey:
			c.calendar = maintenance.Read(g.Value.Data)
		case strings.HasPrefix(g.Key, control.ConfigurationKeyPrefix):
			c.applyConfiguration(now, g.Key, g.Value)
		case strings.HasPrefix(g.Key, control.GroupKeyPrefix):
			if o := c.groups[strings.TrimPrefix(g.Key, control.GroupKeyPrefix)]; o != nil {
				o.state = control.GroupState(g.Value)
			}
			c.reportApplied(now, g.Key)
		}
	}
}

// applyConfiguration puts a configuration in force. The first one after a start is read
// through a majority, so that this node never works by an older one than it
// did before it was restarted (design 5.4).
func (c *Core) applyConfiguration(now int64, key string, v *schema.Value) {
	least, ok := c.minRevisions[key]
	if !ok {
		if !c.readsPending[key] {
			c.readsPending[key] = true
			c.lastName++
			c.applyProposerEffects(now, c.proposer.Propose(now, paxos.Change{ID: fmt.Sprintf("%s#%d#%d", c.self, c.run, c.lastName), Key: key, ReadOnly: true, Deadline: now + readTimeout}))
		}
		return
	}
	if v.Revision < least {
		return
	}
	configuration, ps := settings.ReadConfiguration(v.Data)
	if len(ps) > 0 {
		c.logf(result.InvalidConfiguration, "%s revision %d: %s", key, v.Revision, ps[0])
		return
	}
	c.configurations[strings.TrimPrefix(key, control.ConfigurationKeyPrefix)] = configuration
	c.appliedRevisions[key] = v.Revision
	c.logf(result.RevisionApplied, "%s revision %d", key, v.Revision)
	c.updateGroups()
	c.reportApplied(now, key)
}

func (c *Core) applyProposerEffects(now int64, effects paxos.ProposerEffects) {
	c.effects.Send = append(c.effects.Send, effects.Send...)
	for _, o := range effects.Outcomes {
		k := o.Change.Key
		delete(c.readsPending, k)
		if o.Verdict == paxos.Committed {
			c.minRevisions[k] = o.Value.GetRevision()
			c.applyRelayEffects(now, c.relay.Learn(now, []*schema.Register{{Key: k, Value: o.Value}}, 0, ""))
		}
		if v := c.relay.Value(k); v != nil {
			c.applyConfiguration(now, k, v)
		}
	}
}

// updateGroups works out routes and groups from the configurations in force.
func (c *Core) updateGroups() {
	routes := map[string]Route{}
	gs := map[string]bool{}
	for _, p := range slices.Sorted(maps.Keys(c.configurations)) {
		configuration := c.configurations[p]
		for n, r := range configuration.Routes {
			routes[p+"/"+n] = Route{Group: p + "/" + r.Group, Classes: slices.Clone(r.Classes)}
		}
		for n := range configuration.Groups {
			k := p + "/" + n
			gs[k] = true
			if c.groups[k] == nil {
				c.groups[k] = &group{partner: p, name: n, leaseRequester: connectionlease.NewLessee(k, c.run), state: control.GroupState(c.relay.Value(control.GroupKeyPrefix + k)), reachable: map[string]bool{}}
			}
		}
	}
	maps.DeleteFunc(c.groups, func(k string, _ *group) bool { return !gs[k] })
	c.effects.Do = append(c.effects.Do, SetRoutes{Routes: routes})
}

func (c *Core) applyDetectorEffects(now int64, effects failuredetector.Effects) {
	c.effects.Send = append(c.effects.Send, effects.Send...)
	for _, n := range slices.Sorted(maps.Keys(effects.Changed)) {
		if effects.Changed[n] {
			c.logf(result.PeerSuspected, "%s", n)
		}
		c.sendRecord(c.putRecord(now, membership.SuspectKey(n, c.self), membership.NewSuspicion(c.nodes, n, effects.Changed[n])), c.config.Seeds...)
	}
}

// putRecord puts a record of this node's own.
func (c *Core) putRecord(now int64, key string, m proto.Message) *schema.Record {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	c.stamp++
	r := &schema.Record{Key: key, Timestamp: c.stamp, Data: b}
	c.records.Merge(now, r)
	return r
}

func (c *Core) sendRecord(r *schema.Record, to ...string) {
	for _, o := range to {
		c.effects.Send = append(c.effects.Send, statemachine.Send{To: o, Envelope: &schema.Envelope{From: c.self, Body: &schema.Envelope_Records{Records: &schema.Records{Records: []*schema.Record{r}}}}})
	}
}

// nextSeed is one control process, another each time.
func (c *Core) nextSeed() string { c.seedTurn++; return c.config.Seeds[c.seedTurn%len(c.config.Seeds)] }

func (c *Core) reportApplied(now int64, key string) {
	k := membership.AppliedPrefix + key + "/" + c.config.Name
	r := c.putRecord(now, k, &schema.AppliedRecord{Revision: c.relay.Value(key).GetRevision()})
	c.records.Forget(k) // control processes keep these
	c.sendRecord(r, c.config.Seeds...)
}

func (c *Core) tick(now int64) {
	c.applyRelayEffects(now, c.relay.Tick(now))
	c.applyProposerEffects(now, c.proposer.Tick(now))
	if now >= c.nextMembershipAt {
		c.nextMembershipAt = now + membershipInterval
		c.nodes = membership.ReadNodes(now, c.records)
		c.detector.SetNodes(now, membership.Addresses(c.nodes))
		c.relay.SetLiveNodes(membership.LiveAddresses(c.nodes))
	}
	c.applyDetectorEffects(now, c.detector.Tick(now))
	if now >= c.nextAnnounceAt {
		first := c.nextAnnounceAt == 0
		c.nextAnnounceAt = now + announceInterval
		r := c.putRecord(now, membership.NodePrefix+c.self, &schema.NodeRecord{Name: c.config.Name, Zone: c.config.Zone, Partner: c.config.Partner,
			HttpAddress: c.config.Http, Kind: "pool", Draining: c.draining, Run: c.run})
		if first {
			c.sendRecord(r, c.config.Seeds...)
		} else {
			c.sendRecord(r, c.nextSeed())
		}
	}
	if now >= c.nextCompareAt {
		c.nextCompareAt = now + compareInterval
		to := c.relay.Parent()
		if to == "" {
			to = c.nextSeed()
		}
		for _, r := range membership.ReplicatedRanges() {
			c.effects.Send = append(c.effects.Send, c.records.CompareRange(to, r[0], r[1]))
		}
	}
	if now >= c.nextGroupsAt {
		c.nextGroupsAt = now + groupInterval
		for _, k := range slices.Sorted(maps.Keys(c.groups)) {
			c.tickGroup(now, k, c.groups[k])
		}
	}
}

func (c *Core) tickGroup(now int64, k string, g *group) {
	if a := g.leaseRequester.NextRequest(now, g.inUse); a != nil {
		for _, o := range c.config.Seeds {
			c.effects.Send = append(c.effects.Send, statemachine.Send{To: o, Envelope: &schema.Envelope{From: c.self, Body: &schema.Envelope_ConnectionLeaseRequest{ConnectionLeaseRequest: a}}})
		}
	}
	c.reportDatabases(now, k, g)
	if w := c.desiredState(now, k, g); !reflect.DeepEqual(w, g.desired) {
		g.desired = w
		c.effects.Do = append(c.effects.Do, SetDesired{Group: k, Desired: w})
	}
}

func (c *Core) desiredState(now int64, k string, g *group) querytable.Desired {
	configuration := c.configurations[g.partner]
	desired := querytable.Desired{Group: k, Epoch: g.state.Epoch, Primary: g.state.Primary, Classes: map[string]querytable.Class{}}
	ids := map[string]string{}
	for _, m := range g.state.Members {
		ids[m.Database] = m.Identity
	}
	for _, m := range configuration.Groups[g.name].Members {
		desired.Members = append(desired.Members, querytable.Member{Name: m, Identity: ids[m], Address: configuration.Databases[m].Address, Leased: g.leaseRequester.Limit(now, m), LeaseUntilUs: g.leaseRequester.ExpiresAt(),
			Draining: maintenance.IsDraining(c.calendar, g.partner+"/"+m), Closed: maintenance.IsClosed(c.calendar, g.partner+"/"+m)})
	}
	for n, s := range configuration.Classes {
		desired.Classes[n] = querytable.Class{Name: n, Kind: s.Kind, MaxStalenessUs: s.StaleUs, MarginUs: s.MarginUs, MaxWaitUs: s.WaitUs, DeadlineUs: s.ExpiryUs}
	}
	for _, r := range configuration.Routes {
		if r.Group == g.name {
			desired.QueueLimit = max(desired.QueueLimit, int(r.Line))
		}
	}
	return desired
}

// reportDatabases tells the control processes what this node sees of the databases:
// each a change at once, one of them the rest now and then.
func (c *Core) reportDatabases(now int64, k string, g *group) {
	due := now >= g.nextReportAt
	if due {
		g.nextReportAt = now + reportInterval
		if slices.ContainsFunc(g.desired.Members, func(m querytable.Member) bool { return m.Draining }) {
			g.nextReportAt = now + drainReportInterval // somebody waits for connections to fall idle
		}
	}
	for _, v := range g.views {
		reachable := v.UnresponsiveUs == 0
		if wasReachable, reported := g.reachable[v.Name]; reachable && !v.Known && !reported || !due && reachable == wasReachable {
			continue
		}
		key := membership.ReportPrefix + k + "/" + v.Name + "/" + c.config.Name
		r := c.putRecord(now, key, &schema.DatabaseReport{Reachable: reachable, UnresponsiveUs: v.UnresponsiveUs, Epoch: v.Status.Epoch,
			Received: v.Status.Received, Applied: v.Status.Applied, Draining: v.Draining, Role: v.Status.Role, BusyConnections: int32(v.BusyConnections), OpenTransactions: int32(v.OpenTransactions)})
		c.records.Forget(key) // control processes keep these
		if reachable != g.reachable[v.Name] {
			c.sendRecord(r, c.config.Seeds...)
		} else {
			c.sendRecord(r, c.nextSeed())
		}
		g.reachable[v.Name] = reachable
	}
}

// AppliedRevisions is the revision of each configuration this node works by.
func (c *Core) AppliedRevisions() map[string]uint64 { return c.appliedRevisions }

// Nodes is who is in the fleet, as this node knows it.
func (c *Core) Nodes() []membership.Node { return c.nodes }

// Parent is whom the node follows in the relay tree.
func (c *Core) Parent() string { return c.relay.Parent() }
