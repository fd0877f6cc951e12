package pool

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"stoneford/connectionlease"
	"stoneford/internal/control"
	"stoneford/internal/settings"
	"stoneford/maintenance"
	"stoneford/paxos"
	"stoneford/relaytree"
	"stoneford/result"
	"stoneford/schema"
)

// readTimeout bounds a read of a configuration through a majority of the voters. The node
// serves nothing of a partner before such a read has succeeded.
const readTimeout = 2 * time.Second

// revisions tracks which revision of each configuration may be put in force. The maps are
// by register key.
type revisions struct {
	proposer       *paxos.Proposer
	lastReadNumber uint64            // number of the newest read, part of its change ID
	reading        map[string]bool   // a read is under way
	minimum        map[string]uint64 // lowest revision that may be put in force, as read through a majority
	applied        map[string]uint64 // revision in force
}

func (c *Core) applyRelayEffects(now int64, effects relaytree.Effects) {
	c.send(effects.Send...)
	for _, register := range effects.Updated {
		c.schedule.groups = 0
		switch {
		case register.Key == control.MaintenanceKey:
			c.calendar = maintenance.Decode(register.Value.Data)
		case strings.HasPrefix(register.Key, control.ConfigurationKeyPrefix):
			c.applyConfiguration(now, register.Key, register.Value)
		case strings.HasPrefix(register.Key, control.GroupKeyPrefix):
			if g := c.groups[strings.TrimPrefix(register.Key, control.GroupKeyPrefix)]; g != nil {
				g.state = control.GroupState(register.Value)
			}
			c.reportApplied(now, register.Key)
		}
	}
}

// applyConfiguration puts a configuration in force. After a start the first one is read
// through a majority, because the relay tree may deliver an older one than was in force
// before the restart (design 5.4). A configuration that is older than the one read is
// ignored, and an invalid one is logged and ignored.
func (c *Core) applyConfiguration(now int64, key string, v *schema.Value) {
	minimum, known := c.revisions.minimum[key]
	if !known {
		c.readConfiguration(now, key)
		return
	}
	if v.Revision < minimum {
		return
	}
	configuration, problems := settings.ReadConfiguration(v.Data)
	if len(problems) > 0 {
		c.logf(result.InvalidConfiguration, "%s revision %d: %s", key, v.Revision, problems[0])
		return
	}
	c.configurations[strings.TrimPrefix(key, control.ConfigurationKeyPrefix)] = configuration
	c.revisions.applied[key] = v.Revision
	c.logf(result.RevisionApplied, "%s revision %d", key, v.Revision)
	c.updateGroups()
	c.reportApplied(now, key)
}

// readConfiguration reads a configuration through a majority of the voters, unless a read
// is already under way.
func (c *Core) readConfiguration(now int64, key string) {
	if c.revisions.reading[key] {
		return
	}
	c.revisions.reading[key] = true
	c.revisions.lastReadNumber++
	c.applyProposerEffects(now, c.revisions.proposer.Propose(now, paxos.Change{
		ID:       fmt.Sprintf("%s#%d#%d", c.self, c.run, c.revisions.lastReadNumber),
		Key:      key,
		ReadOnly: true,
		Deadline: now + readTimeout.Microseconds(),
	}))
}

func (c *Core) applyProposerEffects(now int64, effects paxos.ProposerEffects) {
	c.send(effects.Send...)
	for _, outcome := range effects.Outcomes {
		key := outcome.Change.Key
		delete(c.revisions.reading, key)
		if outcome.Verdict == paxos.Committed {
			c.revisions.minimum[key] = outcome.Value.GetRevision()
			c.applyRelayEffects(now, c.relay.Learn(now, []*schema.Register{{Key: key, Value: outcome.Value}}, 0, ""))
		}
		if v := c.relay.Value(key); v != nil {
			c.applyConfiguration(now, key, v)
		}
	}
}

// updateGroups derives the routes and groups from the configurations in force.
func (c *Core) updateGroups() {
	routes := map[string]Route{}
	configured := map[string]bool{}
	for _, partner := range slices.Sorted(maps.Keys(c.configurations)) {
		configuration := c.configurations[partner]
		for name, r := range configuration.Routes {
			routes[partner+"/"+name] = Route{Group: partner + "/" + r.Group, Classes: slices.Clone(r.Classes)}
		}
		for name := range configuration.Groups {
			key := partner + "/" + name
			configured[key] = true
			if c.groups[key] == nil {
				c.groups[key] = &group{
					partner:   partner,
					name:      name,
					lessee:    connectionlease.NewLessee(key, c.run),
					state:     control.GroupState(c.relay.Value(control.GroupKeyPrefix + key)),
					reachable: map[string]bool{},
				}
			}
		}
	}
	maps.DeleteFunc(c.groups, func(key string, _ *group) bool { return !configured[key] })
	c.emit(SetRoutes{Routes: routes})
}
