package simulation

import (
	"fmt"
	"slices"
	"time"

	"stoneford/internal/control"
	"stoneford/maintenance"
	"stoneford/result"
)

// RandomFaults injects faults at a mean interval until a time, both in microseconds. The
// faults stay within what the fleet must tolerate: the loss of one control process and, in
// each group, of one database at a time.
func (f *Fleet) RandomFaults(untilUs int64, meanUs int64) {
	var next func()
	next = func() {
		if f.Now >= untilUs {
			return
		}
		f.randomFault()
		f.After(f.Between(meanUs/2, meanUs*3/2), next)
	}
	f.After(f.Between(0, meanUs), next)
}

// maxReplicaLag is the maximum number of log entries that a replica may be behind for its
// group to tolerate the loss of another database.
const maxReplicaLag = 50

// groupHasRedundancy reports whether a group tolerates the loss of a database: all three
// databases are up, follow the same epoch, are up to date, and are the members that the
// register names.
func (f *Fleet) groupHasRedundancy(g string) bool {
	p := f.Primary(g)
	if p == nil {
		return false
	}
	ids := map[string]string{}
	for _, c := range f.Controls {
		if !c.up || c.frozen {
			continue
		}
		st := control.GroupState(c.core.CommittedValue(control.GroupKeyPrefix + f.partnerOf[g] + "/" + g))
		if st.Epoch == p.state.Epoch {
			for _, m := range st.Members {
				ids[m.Database] = m.Identity
			}
		}
	}
	for _, n := range f.Configuration.Groups[g].Members {
		d := f.Databases[n]
		if !d.responds() || d.receivesNothing || d.state.Epoch != p.state.Epoch || d.state.LogEpoch() != p.state.Epoch || ids[d.name] != d.state.Identity || p.state.Received()-d.state.Received() > maxReplicaLag {
			return false
		}
	}
	return true
}

// controlsHealthy reports whether all control processes run and vote.
func (f *Fleet) controlsHealthy() bool {
	for _, c := range f.Controls {
		if !c.up || c.frozen || c.draining || !c.core.Voting() {
			return false
		}
	}
	return true
}

// crashMachine kills the control process and the pool node of a machine, with or without
// its disk, and in half of the cases one database of each group that tolerates it.
func (f *Fleet) crashMachine(i int) {
	if !f.controlsHealthy() {
		return
	}
	diskLost, databases := f.Chance(0.5), f.Chance(0.5)
	f.logf("fault: machine %d crashes and %s its disks; %s", i+1, map[bool]string{true: "loses", false: "keeps"}[diskLost], map[bool]string{true: "databases crash in groups that tolerate it", false: "databases keep running"}[databases])
	later := func(run func()) { f.After(f.Between(500_000, 6_000_000), run) }
	f.KillControl(i)
	if diskLost {
		f.LoseDisk(i)
	}
	later(func() { f.StartControl(i) })
	if f.Nodes[i].serves() {
		f.KillNode(i)
		later(func() { f.restartNode(i) })
	}
	if !databases {
		return
	}
	for _, g := range f.Plan.Groups {
		d := f.Databases[f.Configuration.Groups[g].Members[f.Random.IntN(3)]]
		if !f.groupHasRedundancy(g) {
			continue
		}
		f.KillDatabase(d.name)
		later(func() {
			if diskLost {
				f.LoseDatabase(d.name)
			} else {
				f.StartDatabase(d.name)
			}
		})
	}
}

// restartNodesFrom restarts the pool nodes from the i-th on, one after the other.
func (f *Fleet) restartNodesFrom(i int) {
	if i == len(f.Nodes) || f.halted {
		f.rollingRestart = false
		return
	}
	n := f.Nodes[i]
	if !n.serves() {
		f.restartNodesFrom(i + 1)
		return
	}
	f.StopNode(i)
	f.After(3_600_000, func() {
		f.restartNode(i)
		f.After(f.Between(100_000, 1_000_000), func() { f.restartNodesFrom(i + 1) })
	})
}

// restartControlsFrom restarts the control processes from the i-th on, one after the other,
// each when all control processes vote.
func (f *Fleet) restartControlsFrom(i int) {
	if i == len(f.Controls) || f.halted {
		f.rollingRestart = false
		return
	}
	if !f.controlsHealthy() {
		f.After(200_000, func() { f.restartControlsFrom(i) })
		return
	}
	f.StopControl(i)
	f.After(1_100_000, func() {
		f.StartControl(i)
		f.restartControlsFrom(i + 1)
	})
}

// replaceDatabasesFrom replaces the databases of a group from the i-th on, one after the
// other, each when the group tolerates its loss.
func (f *Fleet) replaceDatabasesFrom(g string, i int) {
	switch {
	case i == 3 || f.halted:
	case !f.groupHasRedundancy(g):
		f.After(200_000, func() { f.replaceDatabasesFrom(g, i) })
	default:
		db := f.Configuration.Groups[g].Members[i]
		f.KillDatabase(db)
		f.After(f.Between(50_000, 1_000_000), func() {
			f.LoseDatabase(db)
			f.After(300_000, func() { f.replaceDatabasesFrom(g, i+1) })
		})
	}
}

// scheduleRandomMaintenance lets a random partner schedule maintenance for the current
// minute. A partner that does not own the target tries to confirm the window first, then
// the owner confirms it.
func (f *Fleet) scheduleRandomMaintenance(g string) {
	owner, scheduler := f.partnerOf[g], f.Partners()[f.Random.IntN(len(f.configurationTexts))]
	db := f.Configuration.Groups[g].Members[f.Random.IntN(3)]
	maintenanceText := fmt.Sprintf("%s for %s", db, []string{maintenance.Replacement, maintenance.Switch}[f.Random.IntN(2)])
	if f.Chance(0.2) {
		n := f.Nodes[f.Random.IntN(len(f.Nodes))].boot
		owner, maintenanceText = n.Partner, n.Name+" for stop"
	}
	c := f.Controls[f.Random.IntN(3)]
	f.logf("%s schedules %s", scheduler, maintenanceText)
	f.RunOperatorCommand(c, scheduler, "book "+maintenanceText+" at "+time.UnixMicro(f.Now).UTC().Format("2006-01-02 15:04"), func(a control.CommandResult) {
		if a.Code != result.OK || len(a.Windows) != 1 {
			f.logf("scheduling failed: code %d, text %q", a.Code, a.Text)
			return
		}
		id, other := a.Windows[0].Id, f.otherPartner(owner)
		f.confirmWindow(c, other, owner, id, func() { f.confirmWindow(c, owner, owner, id, func() {}) })
	})
}

// otherPartner returns another partner than the given one, or the given one if it is the
// only partner.
func (f *Fleet) otherPartner(partner string) string {
	if first := f.Partners()[0]; first != partner {
		return first
	}
	return f.Partners()[len(f.configurationTexts)-1]
}

// confirmWindow confirms a maintenance window in the name of a partner, and checks that
// only the owner can do so.
func (f *Fleet) confirmWindow(c *controlProcess, partner, owner string, id uint64, done func()) {
	f.RunOperatorCommand(c, partner, fmt.Sprintf("confirm booking %d", id), func(a control.CommandResult) {
		if partner != owner && a.Code == result.OK {
			f.RecordViolation("%s confirmed a maintenance window of %s", partner, owner)
		}
		done()
	})
}

// StartOperatorRace lets two operators of a partner change the configuration concurrently.
// Both changes, some of them invalid, are based on the same revision and go to random
// control processes. At most one of them may be accepted.
func (f *Fleet) StartOperatorRace() {
	partner := f.Partners()[f.Random.IntN(len(f.configurationTexts))]
	race := &operatorRace{fleet: f, partner: partner, base: f.Oracle.accepted[partner].Revision}
	group := f.Plan.Groups[slices.IndexFunc(f.Plan.Groups, func(g string) bool { return f.partnerOf[g] == partner })]
	for i := range 2 {
		c := f.Controls[f.Random.IntN(controlCount)]
		if !c.up {
			continue
		}
		limit := 300 + f.Random.IntN(300)
		change := &operatorChange{race: race, operator: i, control: c, valid: f.Chance(0.7)}
		change.text = fmt.Sprintf(`{"routes":{"%s":{"line":%d}}}`, group, limit)
		if !change.valid {
			change.text = fmt.Sprintf(`{"routes":{"%s":{"line":0,"group":"nowhere"}}}`, group)
		}
		f.logf("operator %d of %s sends a change based on revision %d", i, partner, race.base)
		change.send(race.base)
	}
}

// operatorRace is a pair of concurrent changes that are based on the same revision.
type operatorRace struct {
	fleet    *Fleet
	partner  string
	base     uint64 // revision that both changes are based on
	accepted int    // number of accepted changes
}

// operatorChange is one change of an operatorRace.
type operatorChange struct {
	race     *operatorRace
	operator int
	control  *controlProcess
	valid    bool // false for a change that must be rejected
	text     string
}

func (c *operatorChange) send(base uint64) {
	f := c.race.fleet
	f.SubmitRequest(c.control, func(id uint64) control.Event {
		e := control.PutConfiguration{ID: id, Partner: c.race.partner, BaseRevision: base, Patch: true, Text: []byte(c.text)}
		if f.Plan.Mutation == UnvalidatedChange && !c.valid {
			e.Text = []byte(`{"time_zone":"UTC"}`)
		}
		return e
	}, c.ended)
}

// ended handles the reply to a change.
func (c *operatorChange) ended(r control.ConfigurationResult) {
	race, f := c.race, c.race.fleet
	if r.Code == result.RevisionConflict && f.Plan.Mutation == RebasedChange {
		c.send(r.Revision)
		return
	}
	f.logf("operator %d receives code %d, revision %d", c.operator, r.Code, r.Revision)
	if r.Code != result.OK {
		return
	}
	if !c.valid {
		f.RecordViolation("an invalid configuration was accepted as revision %d", r.Revision)
	}
	if race.accepted++; race.accepted > 1 || r.Revision != race.base+1 {
		f.RecordViolation("a losing change based on revision %d was accepted as revision %d: %d changes of the race were accepted, want 1, as revision %d", race.base, r.Revision, race.accepted, race.base+1)
	}
	f.Oracle.configurationAccepted(race.partner, r)
}
