package control

import (
	"encoding/json"
	"maps"
	"slices"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"stoneford/failover/sealed"
	"stoneford/internal/settings"
	"stoneford/paxos"
	"stoneford/result"
	"stoneford/schema"
)

// getConfiguration reads a partner's configuration through a majority of the voters.
func (c *Core) getConfiguration(now int64, e GetConfiguration) {
	if !c.majority.reachable() {
		c.emit(ConfigurationResult{ID: e.ID, Code: result.NoVoterMajority})
		return
	}
	c.readRegister(now, ConfigurationKeyPrefix+e.Partner, func(_ int64, o paxos.Outcome) {
		c.emit(ConfigurationResult{ID: e.ID, Code: verdictCode(o.Verdict, false), Revision: o.Value.GetRevision(), Text: valueData(o.Value)})
	})
}

// putConfiguration reads the newest revision through a majority of the voters, applies
// the change to it, validates the result and proposes it as the next revision.
func (c *Core) putConfiguration(now int64, e PutConfiguration) {
	key := ConfigurationKeyPrefix + e.Partner
	reply := func(r ConfigurationResult) {
		r.ID = e.ID
		c.emit(r)
	}
	if !c.majority.reachable() {
		reply(ConfigurationResult{Code: result.NoVoterMajority})
		return
	}
	c.readRegister(now, key, func(now int64, o paxos.Outcome) {
		if o.Verdict != paxos.Committed {
			reply(ConfigurationResult{Code: result.NoVoterMajority})
			return
		}
		next, rejection := nextConfiguration(e, o.Value)
		switch {
		case rejection != nil:
			reply(*rejection)
			return
		case e.DryRun:
			reply(ConfigurationResult{Code: result.OK, Revision: e.BaseRevision, Text: next})
			return
		}
		c.proposeValue(now, key, e.BaseRevision, next, func(_ int64, o paxos.Outcome) {
			reply(ConfigurationResult{Code: verdictCode(o.Verdict, true), Revision: o.Value.GetRevision(), Text: valueData(o.Value)})
		})
	})
}

// nextConfiguration returns the configuration that results from applying a change to the
// current one, or the reply that rejects the change.
func nextConfiguration(e PutConfiguration, current *schema.Value) (json.RawMessage, *ConfigurationResult) {
	if current.GetRevision() != e.BaseRevision {
		return nil, &ConfigurationResult{Code: result.RevisionConflict, Revision: current.GetRevision(), Text: valueData(current)}
	}
	next := e.Text
	if e.Patch {
		old := current.GetData()
		if old == nil {
			old = []byte("{}")
		}
		var err error
		if next, err = jsonpatch.MergePatch(old, e.Text); err != nil {
			return nil, &ConfigurationResult{Code: result.OperatorBadJSON, Revision: e.BaseRevision, Problems: []settings.Problem{{Text: err.Error()}}}
		}
	}
	if _, problems := settings.ReadConfiguration(next); len(problems) > 0 {
		return nil, &ConfigurationResult{Code: result.InvalidConfiguration, Revision: e.BaseRevision, Problems: problems}
	}
	return next, nil
}

// applyConfiguration puts a committed configuration in force. An invalid one is logged
// and ignored: this version never proposes one, but another version with less strict
// validation may have.
func (c *Core) applyConfiguration(partner string, register *schema.Register) {
	configuration, problems := settings.ReadConfiguration(register.Value.Data)
	if len(problems) > 0 {
		c.logf(result.InvalidConfiguration, "%s revision %d: %s", register.Key, register.Value.Revision, problems[0])
		return
	}
	c.configurations[partner] = configuration
	c.logf(result.RevisionApplied, "%s revision %d", register.Key, register.Value.Revision)
	c.updateGroups()
}

// updateGroups derives the groups and their singleton roles from the configurations in
// force.
func (c *Core) updateGroups() {
	var roles []string
	for _, partner := range slices.Sorted(maps.Keys(c.configurations)) {
		configuration := c.configurations[partner]
		for _, name := range slices.Sorted(maps.Keys(configuration.Groups)) {
			key := partner + "/" + name
			roles = append(roles, roleKeyPrefix+key)
			if c.groups[key] == nil {
				c.groups[key] = &groupRole{failover: sealed.New()}
			}
			c.groups[key].configure(configuration, name)
		}
	}
	c.roles.SetRoles(append(roles, machinesRole))
	maps.DeleteFunc(c.groups, func(key string, _ *groupRole) bool { return !slices.Contains(roles, roleKeyPrefix+key) })
}
