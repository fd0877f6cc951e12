package simulation

// faultTarget has the components that a random fault may affect: a group, one of its
// databases, a pool node and a control process. They are drawn anew for every fault.
type faultTarget struct {
	group    string
	database *Database
	node     int // index of a pool node
	control  int // index of a control process
}

// faultCondition reports whether a fault may be injected now. The fleet must tolerate the
// loss of one control process and, in each group, of one database at a time.
type faultCondition func(f *Fleet, t faultTarget) bool

func redundantGroup(f *Fleet, t faultTarget) bool { return f.groupHasRedundancy(t.group) }

func allControlsHealthy(f *Fleet, _ faultTarget) bool { return f.controlsHealthy() }

func nodeServes(f *Fleet, t faultTarget) bool { return f.Nodes[t.node].serves() }

// always is the condition of faults that the fleet tolerates at any time, and of faults
// whose inject function checks a condition itself.
func always(*Fleet, faultTarget) bool { return true }

// faultKind is a kind of random fault.
type faultKind struct {
	allowed faultCondition
	inject  func(f *Fleet, t faultTarget)
}

// faultKinds are drawn with equal probability; some are listed more than once. A change of
// the order or number changes the run of every seed.
var faultKinds = []faultKind{
	{redundantGroup, (*Fleet).crashDatabase},
	{redundantGroup, (*Fleet).wipeDatabase},
	{redundantGroup, (*Fleet).stopResponses},
	{redundantGroup, (*Fleet).freezeDatabase},
	{redundantGroup, (*Fleet).isolateDatabase},
	{redundantGroup, (*Fleet).loseResponses},
	{redundantGroup, (*Fleet).slowDatabase},
	{redundantGroup, (*Fleet).stopResponsesBesideLaggingReplica},
	{redundantGroup, (*Fleet).drainDatabase},
	{allControlsHealthy, (*Fleet).endControl},
	{allControlsHealthy, (*Fleet).loseControlDisk},
	{allControlsHealthy, (*Fleet).freezeOneControl},
	{nodeServes, (*Fleet).killOneNode},
	{nodeServes, (*Fleet).freezeOneNode},
	{nodeServes, (*Fleet).freezeOneNode},
	{nodeServes, (*Fleet).stopOneNode},
	{always, (*Fleet).isolateProcess},
	{always, (*Fleet).degradeNetwork},
	{always, (*Fleet).raceOperators},
	{always, (*Fleet).raceOperators},
	{always, (*Fleet).injectCrowd},
	{always, (*Fleet).moveSomeCallers},
	{always, (*Fleet).moveSomeCallers},
	{always, (*Fleet).slowNode},
	{always, (*Fleet).slowControl},
	{always, (*Fleet).loseMachine},
	{always, (*Fleet).loseMachine},
	{always, (*Fleet).joinMachine},
	{always, (*Fleet).restartAllNodes},
	{always, (*Fleet).restartAllControls},
	{always, (*Fleet).replaceGroup},
	{always, (*Fleet).loseAllPrimaries},
	{always, (*Fleet).disturbPlatform},
	{always, (*Fleet).scheduleMaintenance},
	{always, (*Fleet).scheduleMaintenance},
	{always, (*Fleet).scheduleMaintenance},
}

// randomFault draws a target and a fault kind, and injects the fault if its condition
// holds.
func (f *Fleet) randomFault() {
	t := faultTarget{group: f.Plan.Groups[f.Random.IntN(len(f.Plan.Groups))]}
	t.database = f.Databases[f.Configuration.Groups[t.group].Members[f.Random.IntN(3)]]
	if p := f.Primary(t.group); p != nil && f.Chance(0.5) {
		t.database = p
	}
	t.node, t.control = f.Random.IntN(len(f.Nodes)), f.Random.IntN(3)
	if kind := faultKinds[f.Random.IntN(len(faultKinds))]; kind.allowed(f, t) {
		kind.inject(f, t)
	}
}

// afterRandomDelay calls run after a random delay between minUs and maxUs.
func (f *Fleet) afterRandomDelay(minUs, maxUs int64, run func()) {
	f.After(f.Between(minUs, maxUs), run)
}

func (f *Fleet) crashDatabase(t faultTarget) {
	name := t.database.name
	f.logf("fault: kill %s", name)
	f.KillDatabase(name)
	f.afterRandomDelay(500_000, 6_000_000, func() { f.StartDatabase(name) })
}

func (f *Fleet) wipeDatabase(t faultTarget) {
	name := t.database.name
	f.logf("fault: kill %s and lose its disk", name)
	f.KillDatabase(name)
	f.afterRandomDelay(500_000, 6_000_000, func() { f.LoseDatabase(name) })
}

// stopResponses makes a database handle requests without responding.
func (f *Fleet) stopResponses(t faultTarget) {
	f.logf("fault: %s does not respond", t.database.name)
	t.database.unresponsive = true
	f.afterRandomDelay(500_000, 6_000_000, func() { t.database.unresponsive = false })
}

func (f *Fleet) freezeDatabase(t faultTarget) {
	name := t.database.name
	f.logf("fault: freeze %s", name)
	f.FreezeDatabase(name)
	f.afterRandomDelay(300_000, 6_000_000, func() { f.ResumeDatabase(name) })
}

func (f *Fleet) isolateDatabase(t faultTarget) {
	f.logf("fault: isolate %s", t.database.name)
	f.Isolate(t.database.address, f.Chance(0.5))
	f.afterRandomDelay(500_000, 5_000_000, f.Network.Repair)
}

func (f *Fleet) loseResponses(t faultTarget) {
	f.logf("fault: %s loses responses", t.database.name)
	t.database.lostResponses = 1 + f.Random.IntN(5)
}

func (f *Fleet) slowDatabase(t faultTarget) {
	f.logf("fault: %s is slow", t.database.name)
	t.database.extraServiceUs = f.Between(5_000, 400_000)
	f.afterRandomDelay(500_000, 4_000_000, func() { t.database.extraServiceUs = 0 })
}

// stopResponsesBesideLaggingReplica makes another database of the group receive nothing,
// and shortly after makes this database unresponsive.
func (f *Fleet) stopResponsesBesideLaggingReplica(t faultTarget) {
	f.logf("fault: %s does not respond and a replica receives nothing", t.database.name)
	for _, m := range f.Configuration.Groups[t.group].Members {
		if o := f.Databases[m]; o != t.database {
			o.receivesNothing = true
			f.afterRandomDelay(100_000, 3_000_000, func() { o.receivesNothing = false })
			break
		}
	}
	f.afterRandomDelay(0, 1_000_000, func() { t.database.unresponsive = true })
	f.afterRandomDelay(2_000_000, 6_000_000, func() { t.database.unresponsive = false })
}

func (f *Fleet) drainDatabase(t faultTarget) {
	f.logf("fault: %s drains temporarily", t.database.name)
	t.database.startDraining()
	f.afterRandomDelay(2_000_000, 10_000_000, func() { t.database.state.Draining = false })
}

// endControl stops a control process gracefully or kills it.
func (f *Fleet) endControl(t faultTarget) {
	if f.Chance(0.5) {
		f.logf("fault: stop %s", f.Controls[t.control].boot.Name)
		f.StopControl(t.control)
	} else {
		f.logf("fault: kill %s", f.Controls[t.control].boot.Name)
		f.KillControl(t.control)
	}
	f.afterRandomDelay(1_100_000, 6_000_000, func() { f.StartControl(t.control) })
}

// disturbControl injects a fault of a control process that ends after a random time.
func (f *Fleet) disturbControl(t faultTarget, action string, begin, end func(control int), minUs, maxUs int64) {
	f.logf("fault: %s %s", action, f.Controls[t.control].boot.Name)
	begin(t.control)
	f.afterRandomDelay(minUs, maxUs, func() { end(t.control) })
}

func (f *Fleet) loseControlDisk(t faultTarget) {
	f.disturbControl(t, "lose the disk of", f.LoseDisk, f.StartControl, 300_000, 6_000_000)
}

func (f *Fleet) freezeOneControl(t faultTarget) {
	f.disturbControl(t, "freeze", f.FreezeControl, f.ResumeControl, 300_000, 8_000_000)
}

// disturbNode injects a fault of a pool node that ends after a random time.
func (f *Fleet) disturbNode(t faultTarget, action string, begin, end func(node int), minUs, maxUs int64) {
	f.logf("fault: %s %s", action, f.Nodes[t.node].boot.Name)
	begin(t.node)
	f.afterRandomDelay(minUs, maxUs, func() { end(t.node) })
}

func (f *Fleet) killOneNode(t faultTarget) {
	f.disturbNode(t, "kill", f.KillNode, f.restartNode, 300_000, 6_000_000)
}

func (f *Fleet) freezeOneNode(t faultTarget) {
	f.disturbNode(t, "freeze", f.FreezeNode, f.ResumeNode, 300_000, 8_000_000)
}

func (f *Fleet) stopOneNode(t faultTarget) {
	f.disturbNode(t, "stop", f.StopNode, f.restartNode, 4_000_000, 9_000_000)
}

// isolateProcess partitions a pool node from the fleet or, if all control processes are
// healthy, possibly a control process.
func (f *Fleet) isolateProcess(t faultTarget) {
	address := f.Nodes[t.node].boot.Listen
	if f.controlsHealthy() && f.Chance(0.5) {
		address = f.Controls[t.control].boot.Listen
	}
	f.logf("fault: isolate %s", address)
	f.Isolate(address, f.Chance(0.5))
	f.afterRandomDelay(300_000, 6_000_000, f.Network.Repair)
}

func (f *Fleet) degradeNetwork(faultTarget) {
	f.logf("fault: the network loses and duplicates envelopes")
	f.Network.LossProbability, f.Network.DuplicateProbability = 0.1, 0.1
	f.afterRandomDelay(500_000, 5_000_000, func() { f.Network.LossProbability, f.Network.DuplicateProbability = 0, 0 })
}

func (f *Fleet) raceOperators(faultTarget) { f.StartOperatorRace() }

func (f *Fleet) injectCrowd(faultTarget) {
	f.logf("fault: crowd of additional sessions")
	f.AddCrowd(4, f.Between(2_000_000, 5_000_000))
}

// moveSomeCallers moves all callers of a zone, or some callers of all zones, to other
// zones.
func (f *Fleet) moveSomeCallers(faultTarget) {
	zone, fraction := "", 0.4
	if f.Chance(0.5) {
		zone, fraction = f.Plan.Zones[f.Random.IntN(len(f.Plan.Zones))], 1
	}
	f.logf("fault: callers move to other zones (from zone %q)", zone)
	f.MoveCallers(zone, fraction)
}

func (f *Fleet) slowNode(t faultTarget) {
	n := f.Nodes[t.node]
	f.logf("fault: the machine of %s is slow", n.boot.Name)
	n.slowUs = f.Between(5_000, 80_000)
	f.afterRandomDelay(1_000_000, 6_000_000, func() { n.slowUs = 0 })
}

func (f *Fleet) slowControl(t faultTarget) {
	if !f.controlsHealthy() {
		return
	}
	c := f.Controls[t.control]
	f.logf("fault: the machine and disk of %s are slow", c.boot.Name)
	c.slowUs, c.syncUs = f.Between(0, 40_000), f.Between(5_000, 200_000)
	f.afterRandomDelay(1_000_000, 6_000_000, func() { c.slowUs, c.syncUs = 0, 0 })
}

func (f *Fleet) loseMachine(t faultTarget) { f.crashMachine(t.control) }

// maxJoinedMachines is the maximum number of machines that join a fleet.
const maxJoinedMachines = 3

func (f *Fleet) joinMachine(faultTarget) {
	if len(f.Nodes) < f.Plan.Machines+maxJoinedMachines {
		f.logf("fault: a machine joins")
		f.AddNode()
	}
}

func (f *Fleet) restartAllNodes(faultTarget) {
	if !f.rollingRestart {
		f.logf("fault: every node is restarted in turn")
		f.rollingRestart = true
		f.restartNodesFrom(0)
	}
}

func (f *Fleet) restartAllControls(faultTarget) {
	if !f.rollingRestart {
		f.logf("fault: every control process is restarted in turn")
		f.rollingRestart = true
		f.restartControlsFrom(0)
	}
}

func (f *Fleet) replaceGroup(t faultTarget) {
	f.logf("fault: the databases of %s are replaced one after the other", t.group)
	f.replaceDatabasesFrom(t.group, 0)
}

// loseAllPrimaries kills the primary of every group that tolerates its loss, or makes it
// unresponsive.
func (f *Fleet) loseAllPrimaries(faultTarget) {
	f.logf("fault: all primaries are lost at the same time")
	for _, g := range f.Plan.Groups {
		if !f.groupHasRedundancy(g) {
			continue
		}
		p := f.Primary(g)
		if f.Chance(0.5) {
			f.KillDatabase(p.name)
			f.afterRandomDelay(2_000_000, 6_000_000, func() { f.StartDatabase(p.name) })
		} else {
			p.unresponsive = true
			f.afterRandomDelay(2_000_000, 6_000_000, func() { p.unresponsive = false })
		}
	}
}

// disturbPlatform makes the platform slow and lets it ignore half of its requests.
func (f *Fleet) disturbPlatform(faultTarget) {
	f.logf("fault: the platform is slow and ignores some requests")
	f.MaxPlatformUs, f.PlatformFailureProbability = f.Between(100_000, 3_000_000), 0.5
	f.afterRandomDelay(2_000_000, 6_000_000, func() { f.MaxPlatformUs, f.PlatformFailureProbability = defaultMaxPlatformUs, 0 })
}

func (f *Fleet) scheduleMaintenance(t faultTarget) { f.scheduleRandomMaintenance(t.group) }
