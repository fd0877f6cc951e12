package control

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"stoneford/language"
	"stoneford/result"
	"stoneford/schema"
)

// replyFunc ends a command with a result. windows are the maintenance windows that text
// describes.
type replyFunc func(code result.Code, text string, windows ...*schema.MaintenanceWindow)

// handleCommand parses a command and executes it.
func (c *Core) handleCommand(now int64, e Command) {
	reply := func(code result.Code, text string, windows ...*schema.MaintenanceWindow) {
		c.emit(CommandResult{ID: e.ID, Code: code, Text: text, Windows: windows})
	}
	zone := c.timeZone(e.Partner)
	s, err := language.Parse(e.Text, time.UnixMicro(c.maintenance.clock.at(now)).In(zone))
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
		c.requestDecisions(now, e.Partner, s, reply)
	case language.VerbListWindows:
		c.listWindows(now, s, zone, reply)
	default:
		c.changeCalendar(now, e.Partner, s, zone, reply)
	}
}

// timeZone returns the time zone in which a partner's commands are interpreted: the one
// configured or else UTC.
func (c *Core) timeZone(partner string) *time.Location {
	if zone, err := time.LoadLocation(c.configurations[partner].GetTimeZone()); err == nil {
		return zone
	}
	return time.UTC
}

// targets returns all databases and machines that a command can name.
func (c *Core) targets() []language.Target {
	var targets []language.Target
	for _, partner := range slices.Sorted(maps.Keys(c.configurations)) {
		configuration := c.configurations[partner]
		for _, name := range slices.Sorted(maps.Keys(configuration.Groups)) {
			group := partner + "/" + name
			primary := c.groupState(group).Primary
			for _, m := range configuration.Groups[name].Members {
				targets = append(targets, language.Target{Name: m, Partner: partner, Group: group, Zone: configuration.Databases[m].Zone, Primary: m == primary})
			}
		}
	}
	for _, n := range c.nodes {
		if n.Kind == poolNode {
			targets = append(targets, language.Target{Name: n.Name, Machine: true, Partner: n.Partner, Zone: n.Zone})
		}
	}
	return targets
}

func (c *Core) statusText() string {
	var lines []string
	for _, group := range slices.Sorted(maps.Keys(c.groups)) {
		state := c.groupState(group)
		lines = append(lines, fmt.Sprintf("%s: epoch %d, %s, primary %s", group, state.Epoch, strings.ToLower(state.Phase.String()), state.Primary))
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
	key := ConfigurationKeyPrefix + partner
	lines := []string{fmt.Sprintf("%s, newest known revision %d", partner, c.relay.Value(key).GetRevision())}
	revisions := c.AppliedRevisions(key)
	for _, node := range slices.Sorted(maps.Keys(revisions)) {
		lines = append(lines, fmt.Sprintf("%s: revision %d", node, revisions[node]))
	}
	return strings.Join(lines, "\n")
}
