package simulation

import (
	"encoding/json"
	"fmt"

	"stoneford/internal/behaviourhash"
)

// Plan describes a simulated fleet, its load and its environment. Times are in
// microseconds.
type Plan struct {
	Seed               uint64
	Partner            string        // empty for "pharmacies"
	Configuration      []byte        // as sent by operators; nil to generate it from Groups, Zones and Connections
	MorePartners       []PartnerPlan // further partners on the same pool
	Machines           int
	Groups             []string
	Zones              []string
	Connections        int32   // connection limit of each database
	Sessions           int     // number of callers' sessions
	TickIntervalUs     int64   // time between two ticks of a group, 0 for 50 ms
	StepIntervalUs     int64   // time between two steps of a node without events, 0 for 10 ms
	DayUs              int64   // period of the callers' daily load curve, 0 for constant load
	ThinkUs            int64   // mean time between two actions of a session
	ServiceUs          int64   // mean service time of a run on a database
	DatabaseServers    int     // number of runs that a database executes concurrently
	AbandonProbability float64 // probability that a caller abandons a transaction before its last step
	LagUs              int64   // delay after which replicas apply a commit
	ReplicaSelection   string  // querytable.DesiredState.ReplicaSelection of all tables
	IgnoreOwnCommits   bool    // querytable.DesiredState.IgnoreOwnCommits of all tables
	MaxDelayUs         int64   // maximum network delay in one direction, 0 for 1500; the minimum is a tenth of it, 100 by default
	CrossZoneDelayUs   int64   // added to the network delay between two zones
	Mutation           Mutation
	// Observe, if not nil, records the outputs of the cores: envelopes, calls to databases
	// and to the platform, and replies. It does not affect the run.
	Observe *behaviourhash.Recorder
}

// PartnerPlan is another partner on the same pool. The names of its groups must be unique
// in the fleet.
type PartnerPlan struct {
	Partner string
	Groups  []string
}

// Mutation is a bug that is injected into the simulated environment, to show that the check
// of the rule that it breaks detects it (mutation testing).
type Mutation int

// Kinds of mutations.
const (
	NoMutation                Mutation = iota
	DuplicateExecution                 // a database executes some runs twice
	LostResponseAsNotExecuted          // a run whose response is lost is reported as never sent
	AckBeforeMajority                  // the status of replicas reports more log entries received than they have
	UnsealedFailover                   // databases confirm a seal request without sealing
	HiddenCommits                      // polls of the primary omit its newest commits
	ReceivedAsApplied                  // the status of replicas reports all received log entries as applied
	DroppedToken                       // sessions are opened without their token
	MissingReset                       // connections are reported as reset although they are not
	StalePreparedText                  // a database prepares the first text it received under every prepared name
	ChangedStatement                   // some statements reach the database with a changed text
	HiddenDraining                     // the status of databases does not report that they drain
	NoStopGrace                        // a stopped node exits without its grace period
	LateUpdates                        // nodes receive register updates 4 s late
	StaleConfiguration                 // a restarted node receives the first configuration as the newest
	UnvalidatedChange                  // an invalid change is accepted because a valid one is sent in its place
	RebasedChange                      // a change rejected for a conflict is sent again, based on the newest revision
	LostLogTail                        // a killed control process loses the last entries of its log
	DelayedRejections                  // rejections reach callers only after the query's deadline
	UncheckedIdentity                  // the platform and the nodes do not check the identity of the promoted database
	UnrequestedReplacement             // the platform replaces databases as soon as they drain
)

// classNames has the class names of partners that do not use the default ones, in the order
// of the kinds in Plan.configuration.
var classNames = map[string][3]string{"lender": {"disburse", "repayment", "limit"}}

// configuration returns the generated configuration of a partner. Its databases get
// addresses from number first+1 on.
func (p Plan) configuration(partner PartnerPlan, first int) []byte {
	classes, ok := classNames[partner.Partner]
	if !ok {
		classes = [3]string{"reserve", "lookup", "pickup"}
	}
	databases, groups, routes := map[string]any{}, map[string]any{}, map[string]any{}
	for i, g := range partner.Groups {
		var members []string
		for j := range 3 {
			n := fmt.Sprintf("%s-%c", g, 'a'+j)
			members = append(members, n)
			databases[n] = map[string]any{"address": fmt.Sprintf("10.0.2.%d:1", first+i*3+j+1), "zone": p.Zones[(i+j)%len(p.Zones)], "connections": p.Connections}
		}
		groups[g] = map[string]any{"members": members, "primary": members[0]}
		routes[g] = map[string]any{"group": g, "classes": classes[:]}
	}
	b, err := json.Marshal(map[string]any{"databases": databases, "groups": groups, "routes": routes, "classes": map[string]any{
		classes[0]: map[string]any{"kind": "current"},
		classes[1]: map[string]any{"kind": "stale", "stale_us": 1_500_000},
		classes[2]: map[string]any{"kind": "pinned", "stale_us": 2_500_000},
	}})
	if err != nil {
		panic(err)
	}
	return b
}

// TwoPartnerPlan returns the plan that most tests use: two partners with one group each, and
// four machines.
func TwoPartnerPlan(seed uint64) Plan {
	return Plan{Seed: seed, Machines: 4, Groups: []string{"inventory-1"}, MorePartners: []PartnerPlan{{Partner: "lender", Groups: []string{"ledger-1"}}}, Zones: []string{"cluj", "iasi", "brasov"}, Connections: 20,
		Sessions: 16, ThinkUs: 120_000, ServiceUs: 1_000, DatabaseServers: 8, LagUs: 5_000, AbandonProbability: 0.03}
}
