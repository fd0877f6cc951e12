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

	"stoneford/language"
	"stoneford/maintenance"
	"stoneford/paxos"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/statemachine"
)

// MaintenanceKey is the register of the calendar both partners share.
const MaintenanceKey = "bookings"

// machinesRole is the duty to stop machines at their time.
const machinesRole = roleKeyPrefix + "machines"

const maintenanceInterval = 200_000

// Events and effects of the language.
type (
	// Command is a sentence that a partner typed.
	Command struct {
		ID      uint64
		Partner string
		Text    string
	}
	// WallClock tells the wall clock; only the calendar goes by it.
	WallClock struct{ UnixMicro int64 }
	// CommandResult ends an Ask.
	CommandResult struct {
		ID       uint64
		Code     result.Code
		Text     string
		Bookings []*schema.MaintenanceWindow
	}
	// ReplaceDatabase asks the platform to put a new, empty database in one's place.
	ReplaceDatabase struct{ Database, Address, Identity string }
	// StopMachine asks the platform to stop a machine's pool node.
	StopMachine struct{ Machine string }
)

// windowProgress is what this process remembers of a booking it carries out.
type windowProgress struct {
	state       string
	since       int64
	requestedAt int64
}

func (c *Core) wallClock(now int64) int64 { return now + c.wallClockOffset }

func (c *Core) timeZone(partner string) *time.Location {
	if l, err := time.LoadLocation(c.configurations[partner].GetTimeZone()); err == nil {
		return l
	}
	return time.UTC
}

// targets are all databases and machines that a name can mean.
func (c *Core) targets() []language.Target {
	var problems []language.Target
	for _, p := range slices.Sorted(maps.Keys(c.configurations)) {
		configuration := c.configurations[p]
		for _, g := range slices.Sorted(maps.Keys(configuration.Groups)) {
			st := GroupState(c.relay.Value(GroupKeyPrefix + p + "/" + g))
			for _, m := range configuration.Groups[g].Members {
				problems = append(problems, language.Target{Name: m, Partner: p, Group: p + "/" + g, Zone: configuration.Databases[m].Zone, Primary: m == st.Primary})
			}
		}
	}
	for _, n := range c.nodes {
		if n.Kind == "pool" {
			problems = append(problems, language.Target{Name: n.Name, Machine: true, Partner: n.Partner, Zone: n.Zone})
		}
	}
	return problems
}

func (c *Core) fleet() maintenance.Fleet {
	n := 0
	for _, o := range c.nodes {
		if o.Kind == "pool" {
			n++
		}
	}
	return maintenance.Fleet{Machines: n}
}

// ask understands a sentence and does what it says.
func (c *Core) handleCommand(now int64, e Command) {
	reply := func(code result.Code, text string, windows ...*schema.MaintenanceWindow) {
		c.effects.Do = append(c.effects.Do, CommandResult{ID: e.ID, Code: code, Text: text, Bookings: windows})
	}
	zone := c.timeZone(e.Partner)
	s, err := language.Parse(e.Text, time.UnixMicro(c.wallClock(now)).In(zone))
	if err != nil {
		reply(result.NotUnderstood, err.Error())
		return
	}
	switch s.Verb {
	case language.VerbHelp:
		reply(result.OK, language.Help)
	case language.VerbStatus:
		reply(result.OK, c.statusText())
	case language.VerbApplied:
		reply(result.OK, c.appliedText(e.Partner))
	case language.VerbWhy:
		c.askForDecisions(now, e, s, reply)
	case language.VerbListWindows:
		fits := func(string, string, string) bool { return true }
		if s.Subject.Text != "" {
			if fits, err = language.MatchSubject(s.Subject, c.targets()); err != nil {
				reply(result.NotFound, err.Error())
				return
			}
		}
		c.readRegister(now, MaintenanceKey, func(now int64, o paxos.Outcome) {
			if o.Verdict != paxos.Committed {
				reply(verdictCode(o.Verdict, false), "")
				return
			}
			var windows []*schema.MaintenanceWindow
			for _, b := range maintenance.Read(o.Value.GetData()).Windows {
				if !fits(b.Owner, b.Group, b.Target) || !s.From.IsZero() && (b.AtUs < s.From.UnixMicro() || b.AtUs >= s.Until.UnixMicro()) || s.From.IsZero() && !maintenance.Pending(b) {
					continue
				}
				windows = append(windows, b)
			}
			reply(result.OK, c.calendarText(windows, zone), windows...)
		})
	default:
		c.changeCalendar(now, e, s, zone, reply)
	}
}

// openQuestion is a question put to every node.
type openQuestion struct {
	reply       func(result.Code, string, ...*schema.MaintenanceWindow)
	deadline    int64
	outstanding int
	decisions   []*schema.ReadDecision
	emptyText   string // what to say if no node knows
}

// questionTimeout is how long nodes are waited for.
const questionTimeout = 1_000_000

// askForDecisions asks every living node what it decided.
func (c *Core) askForDecisions(now int64, e Command, s language.Sentence, reply func(result.Code, string, ...*schema.MaintenanceWindow)) {
	request := &schema.ReadDecisionRequest{Partner: e.Partner, Query: s.ReadID}
	question := &openQuestion{reply: reply, deadline: now + questionTimeout, emptyText: fmt.Sprintf("no node has decided lately on a read %q of %s", s.ReadID, e.Partner)}
	if s.Group.Text != "" {
		group, err := language.Group(s.Group, c.targets(), e.Partner)
		if err != nil {
			reply(result.NotFound, err.Error())
			return
		}
		request.Group, question.emptyText = group, "no node has decided on a read of "+group+" yet"
	}
	c.lastQuestion++
	request.RequestNumber = c.lastQuestion
	for _, n := range c.nodes {
		if n.Kind == "pool" && n.Alive {
			question.outstanding++
			c.effects.Send = append(c.effects.Send, statemachine.Send{To: n.Address, Envelope: &schema.Envelope{From: c.self, Body: &schema.Envelope_ReadDecisionRequest{ReadDecisionRequest: request}}})
		}
	}
	c.openQuestions[request.RequestNumber] = question
	c.finishQuestions(now)
}

func (c *Core) handleDecisions(now int64, response *schema.ReadDecisionResponse) {
	if question := c.openQuestions[response.RequestNumber]; question != nil {
		question.decisions = append(question.decisions, response.Decisions...)
		question.outstanding--
		c.finishQuestions(now)
	}
}

// finishQuestions ends the questions that all nodes have replied to, or long enough.
func (c *Core) finishQuestions(now int64) {
	for _, k := range slices.Sorted(maps.Keys(c.openQuestions)) {
		question := c.openQuestions[k]
		if question.outstanding > 0 && now < question.deadline {
			continue
		}
		delete(c.openQuestions, k)
		if len(question.decisions) == 0 {
			question.reply(result.NotFound, question.emptyText)
			continue
		}
		slices.SortStableFunc(question.decisions, func(x, y *schema.ReadDecision) int {
			return cmp.Or(cmp.Compare(x.Class, y.Class), cmp.Compare(x.Node, y.Node), cmp.Compare(y.AgoUs, x.AgoUs))
		})
		var lines []string
		for _, d := range question.decisions {
			lines = append(lines, decisionText(d))
		}
		question.reply(result.OK, strings.Join(lines, "\n"))
	}
}

func decisionText(d *schema.ReadDecision) string {
	line := fmt.Sprintf("%s, %s", d.Group, d.Class)
	if d.Query != "" {
		line += " " + d.Query
	}
	line += fmt.Sprintf(", %.3f s ago by %s: on %s, %s", float64(d.AgoUs)/1e6, d.Node, d.Replica, d.Reason)
	if d.MinPosition > 0 {
		line += fmt.Sprintf("; its session wrote up to %d", d.MinPosition)
	}
	for _, o := range d.Candidates {
		if o.Eligible {
			line += fmt.Sprintf("\n  %s: burden %d us + run %d us + wait %d us = %d us; it had applied %d and needed %d", o.Replica, o.LoadUs, o.RunUs, o.WaitUs, o.LoadUs+o.RunUs+o.WaitUs, o.AppliedPosition, o.RequiredPosition)
		} else {
			line += fmt.Sprintf("\n  %s: no level known would do; it had applied %d", o.Replica, o.AppliedPosition)
		}
	}
	return line
}

// changeCalendar changes the calendar: against its newest revision, and as the next.
func (c *Core) changeCalendar(now int64, e Command, s language.Sentence, zone *time.Location, reply func(result.Code, string, ...*schema.MaintenanceWindow)) {
	var window *schema.MaintenanceWindow
	if s.Verb == language.VerbSchedule {
		problem, err := language.Resolve(s.Name, c.targets(), s.Kind == maintenance.Stop)
		if err != nil {
			var languageErr *language.Error
			if errors.As(err, &languageErr) && languageErr.Ambiguous {
				reply(result.Ambiguous, err.Error())
			} else {
				reply(result.NotFound, err.Error())
			}
			return
		}
		window = &schema.MaintenanceWindow{Kind: s.Kind, Target: problem.Partner + "/" + problem.Name, Group: problem.Group, Owner: problem.Partner, ProposedBy: e.Partner, AtUs: s.At.UnixMicro()}
		if problem.Machine {
			window.Target = problem.Name
		}
	}
	c.readRegister(now, MaintenanceKey, func(now int64, o paxos.Outcome) {
		if o.Verdict != paxos.Committed {
			reply(result.NoVoterMajority, "")
			return
		}
		old := maintenance.Read(o.Value.GetData())
		var calendar *schema.MaintenanceCalendar
		var changed *schema.MaintenanceWindow
		var problem *maintenance.Problem
		wall := c.wallClock(now)
		switch s.Verb {
		case language.VerbSchedule:
			calendar, changed, problem = maintenance.Propose(old, window, wall, c.fleet())
		case language.VerbConfirm:
			calendar, changed, problem = maintenance.Confirm(old, s.WindowID, e.Partner, wall, c.fleet())
		case language.VerbCancel:
			calendar, changed, problem = maintenance.Cancel(old, s.WindowID, e.Partner)
		case language.VerbMove:
			calendar, changed, problem = maintenance.Move(old, s.WindowID, e.Partner, s.At.UnixMicro(), wall, c.fleet())
		}
		if problem != nil {
			reply(problem.Code, problem.Text)
			return
		}
		c.putCalendar(now, o.Value.GetRevision(), calendar, func(now int64, o paxos.Outcome) {
			if o.Verdict != paxos.Committed {
				reply(verdictCode(o.Verdict, true), "")
				return
			}
			reply(result.OK, c.calendarText([]*schema.MaintenanceWindow{changed}, zone), changed)
		})
	})
}

func (c *Core) putCalendar(now int64, base uint64, calendar *schema.MaintenanceCalendar, f func(int64, paxos.Outcome)) {
	b, err := proto.Marshal(calendar)
	if err != nil {
		panic(err)
	}
	c.propose(now, paxos.Change{ID: c.newChangeName(), Key: MaintenanceKey, BaseRevision: base, Data: b, Deadline: now + changeTimeout}, f)
}

func (c *Core) calendarText(windows []*schema.MaintenanceWindow, zone *time.Location) string {
	if len(windows) == 0 {
		return "nothing is booked"
	}
	var lines []string
	for _, window := range windows {
		line := fmt.Sprintf("booking %d: %s of %s at %s, %s", window.Id, window.Kind, window.Target, time.UnixMicro(window.AtUs).In(zone).Format("2006-01-02 15:04 MST"), window.State)
		if window.State == maintenance.Proposed {
			line += " by " + window.ProposedBy + ", to be confirmed by " + window.Owner
		}
		if window.Detail != "" {
			line += " (" + window.Detail + ")"
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

func (c *Core) statusText() string {
	var lines []string
	for _, k := range slices.Sorted(maps.Keys(c.groups)) {
		g := GroupState(c.relay.Value(GroupKeyPrefix + k))
		lines = append(lines, fmt.Sprintf("%s: epoch %d, %s, primary %s", k, g.Epoch, strings.ToLower(g.Phase.String()), g.Primary))
	}
	alive := 0
	for _, n := range c.nodes {
		if n.Alive {
			alive++
		}
	}
	return strings.Join(append(lines, fmt.Sprintf("%d processes, %d alive", len(c.nodes), alive)), "\n")
}

func (c *Core) appliedText(partner string) string {
	m := c.AppliedRevisions(ConfigurationKeyPrefix + partner)
	lines := []string{fmt.Sprintf("%s, newest known revision %d", partner, c.relay.Value(ConfigurationKeyPrefix+partner).GetRevision())}
	for _, n := range slices.Sorted(maps.Keys(m)) {
		lines = append(lines, fmt.Sprintf("%s: revision %d", n, m[n]))
	}
	return strings.Join(lines, "\n")
}

// tickMaintenance carries out what is due and is this process's duty. Every step
// of a booking is a revision of the calendar, so another process goes on from
// there if this one dies; what the platform is asked for can be asked again.
func (c *Core) tickMaintenance(now int64) {
	if now < c.nextMaintenanceAt || !c.wallClockKnown {
		return
	}
	c.nextMaintenanceAt = now + maintenanceInterval
	calendar := c.calendar
	revision := c.relay.Value(MaintenanceKey).GetRevision()
	for _, b := range calendar.Windows {
		role := machinesRole
		if b.Group != "" {
			role = roleKeyPrefix + b.Group
		}
		if !maintenance.Pending(b) || !c.roles.IsLeader(role, now) {
			delete(c.windowsInProgress, b.Id)
			continue
		}
		progress := c.windowsInProgress[b.Id]
		if progress == nil || progress.state != b.State {
			progress = &windowProgress{state: b.State, since: now}
			c.windowsInProgress[b.Id] = progress
		}
		view := c.maintenanceView(now, b)
		view.InStateUs = now - progress.since
		state, detail, request := maintenance.Next(b, view)
		if request && now-progress.requestedAt > 2_000_000 {
			progress.requestedAt = now
			c.requestFromPlatform(b)
		}
		if state == "" || c.calendarChangePending {
			continue
		}
		c.calendarChangePending = true
		next := maintenance.SetState(calendar, b.Id, state, detail)
		if state == maintenance.Draining {
			maintenance.Find(next, b.Id).Identity = view.Identity
		}
		c.putCalendar(now, revision, next, func(now int64, o paxos.Outcome) {
			c.calendarChangePending = false
			if o.Verdict == paxos.Committed {
				c.logf(result.MaintenanceAdvanced, "booking %d, %s of %s: %s %s", b.Id, b.Kind, b.Target, state, detail)
			}
		})
	}
}

func (c *Core) maintenanceView(now int64, b *schema.MaintenanceWindow) maintenance.Observation {
	view := maintenance.Observation{WallUs: c.wallClock(now)}
	if b.Kind == maintenance.Stop {
		view.MachineStopped = true
		for _, n := range c.nodes {
			view.MachineStopped = view.MachineStopped && !(n.Name == b.Target && n.Alive)
		}
		return view
	}
	group := c.groups[b.Group]
	state := GroupState(c.relay.Value(GroupKeyPrefix + b.Group))
	view.Target = strings.TrimPrefix(b.Target, b.Owner+"/")
	if state.Phase == schema.Phase_OPEN {
		view.Primary = state.Primary
	}
	for _, m := range state.Members {
		if m.Database == view.Target {
			view.Identity = m.Identity
		}
	}
	if group == nil {
		view.Obstacle = "the group is no longer configured"
		return view
	}
	for _, m := range state.Members {
		view.MemberRetired = view.MemberRetired || m.Database == view.Target && m.Identity == "" && m.Retiring == b.Identity
	}
	view.Obstacle = group.decider.Degraded(state)
	report := c.databaseReports(now, b.Group)[view.Target]
	view.BusyConnections, view.OpenTransactions = report.BusyConnections, report.OpenTransactions
	return view
}

func (c *Core) requestFromPlatform(b *schema.MaintenanceWindow) {
	switch {
	case b.Kind == maintenance.Stop && b.State == maintenance.AwaitingPlatform:
		c.effects.Do = append(c.effects.Do, StopMachine{Machine: b.Target})
	case b.Kind == maintenance.Replacement && b.State == maintenance.AwaitingPlatform:
		n := strings.TrimPrefix(b.Target, b.Owner+"/")
		c.effects.Do = append(c.effects.Do, ReplaceDatabase{Database: n, Address: c.configurations[b.Owner].GetDatabases()[n].GetAddress(), Identity: b.Identity})
	}
}

// groupMaintenance is what the bookings under way want of a group: the primary to switch
// away from, the replica to set aside, and a copy that was set aside and stays,
// since its booking ended without a replacement.
func (c *Core) groupMaintenance(group string, state *schema.GroupState) (avoidPrimary, retire, keepIdentity string) {
	for _, b := range c.calendar.Windows {
		if b.Group != group {
			continue
		}
		n := strings.TrimPrefix(b.Target, b.Owner+"/")
		switch {
		case b.State == maintenance.Switching:
			avoidPrimary = n
		case b.State == maintenance.Retiring:
			retire = n
		case !maintenance.Pending(b) && b.Identity != "":
			for _, m := range state.Members {
				if m.Database == n && m.Retiring == b.Identity {
					keepIdentity = b.Identity
				}
			}
		}
	}
	return avoidPrimary, retire, keepIdentity
}
