package simulation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"stoneford/emulator/virtualtime"
	"stoneford/internal/control"
	"stoneford/internal/settings"
	"stoneford/schema"
)

// defaultMaxPlatformUs is the maximum time in which the platform carries out a request when
// it has no fault.
const defaultMaxPlatformUs = 5_000

// Fleet is a simulated fleet: its processes and databases, the network, the platform,
// callers and operators. It must be used by one goroutine only.
type Fleet struct {
	*virtualtime.Scheduler
	Plan          Plan
	Configuration *schema.Configuration // of all partners, merged
	Network       *Network
	Controls      []*controlProcess
	Nodes         []*nodeProcess
	Databases     map[string]*Database // by name
	Oracle        *Oracle
	Log           []string // log of the run, one line per entry
	Quiet         bool     // disables Log

	// MaxPlatformUs is the maximum time in which the platform carries out a request,
	// PlatformFailureProbability the probability that it ignores a request.
	MaxPlatformUs              int64
	PlatformFailureProbability float64

	partnerOf          map[string]string            // partner of each group
	configurationTexts map[string][]byte            // configurations as sent by operators, by partner
	classNames         map[string]map[string]string // class names by partner and kind
	zones              map[string]string            // zones by address
	databaseAt         map[string]*Database         // databases by address

	lastID                      uint64
	pendingConfigurationResults map[uint64]func(control.ConfigurationResult)
	pendingCommandResults       map[uint64]func(control.CommandResult)
	platformEpochs              map[string]uint64 // highest epoch that the platform received, by group
	platformTargets             map[string]string // target of that epoch's failover, by group

	lastNoMajorityUs    int64             // last time without a healthy majority of control processes
	appliedRevisions    map[string]uint64 // highest revision that a node ever applied, by "node key"
	firstConfigurations map[string]*schema.Value
	rollingRestart      bool // a rolling restart of all nodes or all control processes is in progress

	callerState
}

// callerState is the state that all callers of a fleet share.
type callerState struct {
	sessions        []*session
	halted          bool // sessions start no new actions
	crowdCount      int
	groupChanges    int
	pendingRequests int               // number of requests without a reply
	lastTag         map[string]string // tag of the last acknowledged write, by route
	lastRead        map[string]string // name of the last read that was sent, by route
}

// RecordViolation records a violation of a rule of docs/never-happens.md.
func (f *Fleet) RecordViolation(format string, a ...any) {
	f.Oracle.violation(fmt.Sprintf("at %.3f s: ", float64(f.Now)/1e6) + fmt.Sprintf(format, a...))
}

// logf appends an entry to the log, with the virtual time.
func (f *Fleet) logf(format string, a ...any) {
	if !f.Quiet {
		f.Log = append(f.Log, fmt.Sprintf("%.3f ", float64(f.Now)/1e6)+fmt.Sprintf(format, a...))
	}
}

// controlCount is the number of control processes of a simulated fleet.
const controlCount = 3

// NewFleet creates a fleet without a configuration and starts its processes and databases.
func NewFleet(p Plan) *Fleet {
	if p.Partner == "" {
		p.Partner = "pharmacies"
	}
	p.TickIntervalUs, p.StepIntervalUs = cmp.Or(p.TickIntervalUs, 50_000), cmp.Or(p.StepIntervalUs, 10_000)
	f := &Fleet{Scheduler: virtualtime.NewScheduler(p.Seed, virtualtime.DefaultStream), Configuration: &schema.Configuration{}, MaxPlatformUs: defaultMaxPlatformUs,
		partnerOf: map[string]string{}, configurationTexts: map[string][]byte{}, classNames: map[string]map[string]string{}, zones: map[string]string{},
		Databases: map[string]*Database{}, databaseAt: map[string]*Database{},
		pendingConfigurationResults: map[uint64]func(control.ConfigurationResult){}, pendingCommandResults: map[uint64]func(control.CommandResult){},
		platformEpochs: map[string]uint64{}, platformTargets: map[string]string{}, appliedRevisions: map[string]uint64{}, firstConfigurations: map[string]*schema.Value{},
		callerState: callerState{lastTag: map[string]string{}, lastRead: map[string]string{}}}
	f.Network = newObservedNetwork(f.Scheduler, p.Observe)
	partners := append([]PartnerPlan{{Partner: p.Partner, Groups: p.Groups}}, p.MorePartners...)
	f.Plan = f.readConfigurations(p, partners)
	if p.MaxDelayUs > 0 {
		f.Network.MinDelayUs, f.Network.MaxDelayUs = p.MaxDelayUs/10, p.MaxDelayUs
	}
	f.Network.ExtraDelayUs = f.crossZoneDelay
	f.Oracle = newOracle(f)
	f.Network.Receive = f.receive
	f.startControls(partners)
	for range p.Machines {
		f.AddNode()
	}
	if p.Mutation == UnrequestedReplacement {
		f.After(0, f.replaceDrainingDatabases)
	}
	f.addDatabases()
	return f
}

// readConfigurations reads the configurations of all partners and returns the plan with the
// groups of all partners.
func (f *Fleet) readConfigurations(p Plan, partners []PartnerPlan) Plan {
	p.Groups = nil
	for i, partner := range partners {
		text := p.Configuration
		if i > 0 || text == nil {
			text = p.configuration(partner, 3*len(p.Groups))
		}
		configuration, problems := settings.ReadConfiguration(text)
		if len(problems) > 0 {
			panic(fmt.Sprintf("simulation: the configuration of %s is invalid: %v", partner.Partner, problems))
		}
		f.configurationTexts[partner.Partner], f.classNames[partner.Partner] = text, map[string]string{}
		for _, name := range slices.Sorted(maps.Keys(configuration.Classes)) {
			f.classNames[partner.Partner][configuration.Classes[name].Kind] = name
		}
		for _, g := range slices.Sorted(maps.Keys(configuration.Groups)) {
			f.partnerOf[g] = partner.Partner
			p.Groups = append(p.Groups, g)
		}
		proto.Merge(f.Configuration, configuration)
	}
	return p
}

// startControls starts the control processes; their machines belong to the partners in
// turn.
func (f *Fleet) startControls(partners []PartnerPlan) {
	var seeds []string
	for i := range controlCount {
		seeds = append(seeds, fmt.Sprintf("10.0.0.%d:1", i+1))
	}
	for i, address := range seeds {
		c := &controlProcess{boot: &schema.Boot{Name: fmt.Sprintf("control-%d", i+1), Zone: f.zone(i), Partner: partners[i%len(partners)].Partner, Listen: address, Http: address, Seeds: seeds, DataFolder: "x"}}
		f.Controls = append(f.Controls, c)
		f.zones[address] = c.boot.Zone
		f.startControl(c)
	}
}

// addDatabases adds and starts the databases of all groups.
func (f *Fleet) addDatabases() {
	for _, g := range f.Plan.Groups {
		for _, m := range f.Configuration.Groups[g].Members {
			d := f.Configuration.Databases[m]
			f.addDatabase(m, g, d.Address, d.Zone, int(d.Connections))
			f.zones[f.Databases[m].address] = f.Databases[m].zone
		}
	}
}

// crossZoneDelay returns the additional network delay between two addresses:
// CrossZoneDelayUs if they are in different zones, otherwise 0.
func (f *Fleet) crossZoneDelay(from, to string) int64 {
	if f.zones[from] == f.zones[to] {
		return 0
	}
	return f.Plan.CrossZoneDelayUs
}

// zone returns the zone of the i-th machine; machines are assigned to the zones in turn.
func (f *Fleet) zone(i int) string { return f.Plan.Zones[i%len(f.Plan.Zones)] }

// Partners returns the names of all partners, sorted.
func (f *Fleet) Partners() []string { return slices.Sorted(maps.Keys(f.configurationTexts)) }

// AddNode adds a machine with a pool node and starts the node; machines belong to the
// partners in turn.
func (f *Fleet) AddNode() {
	i := len(f.Nodes)
	a := fmt.Sprintf("10.0.1.%d:1", i+1)
	n := &nodeProcess{fleet: f, boot: &schema.Boot{Name: fmt.Sprintf("pool-%d", i+1), Zone: f.zone(i), Partner: f.Partners()[i%len(f.configurationTexts)], Listen: a, Http: a, Seeds: f.Controls[0].boot.Seeds}}
	f.Nodes = append(f.Nodes, n)
	f.zones[a] = n.boot.Zone
	f.startNode(n)
}

// runNumber returns a number for a new run of a process, which is greater than the numbers
// of its earlier runs.
func (f *Fleet) runNumber() uint64 { return uint64(f.Now) }
