package fleet

import (
	"fmt"
	"slices"
	"strings"
)

// PartnerShape describes the databases and classes of one partner.
type PartnerShape struct {
	Partner         string
	Groups          []string
	Zones           []string  // the partner's names of the three zones
	ConnectionLimit int       // of each database
	Classes         [3]string // the partner's names of the classes for current, stale and read-your-writes reads
}

// Shape describes a deployment and its load.
type Shape struct {
	Partners []PartnerShape
	Machines int
	Sessions int
	Rate     float64 // queries per second
}

var (
	pharmacies = PartnerShape{Partner: "pharmacies", Groups: []string{"inventory-1", "inventory-2", "inventory-3"}, Zones: []string{"cluj", "iasi", "brasov"}, ConnectionLimit: 65, Classes: [3]string{"reserve", "lookup", "pickup"}}
	lender     = PartnerShape{Partner: "lender", Groups: []string{"ledger-1", "ledger-2", "ledger-3"}, Zones: []string{"cluj", "iasi", "brasov"}, ConnectionLimit: 80, Classes: [3]string{"disburse", "repayment", "limit"}}
)

// Shapes maps names to shapes: the deployment of each of two partners, one with both of
// them on one pool, and smaller ones for tests.
var Shapes = map[string]Shape{
	"pharmacies": {Partners: []PartnerShape{pharmacies}, Machines: 11, Sessions: 290, Rate: 450},
	"lender":     {Partners: []PartnerShape{lender}, Machines: 10, Sessions: 290, Rate: 450},
	"both":       {Partners: []PartnerShape{pharmacies, lender}, Machines: 21, Sessions: 580, Rate: 900},
	"two":        {Partners: []PartnerShape{{Partner: "pharmacies", Groups: []string{"inventory-1"}, Zones: pharmacies.Zones, ConnectionLimit: 40, Classes: pharmacies.Classes}, {Partner: "lender", Groups: []string{"ledger-1"}, Zones: pharmacies.Zones, ConnectionLimit: 40, Classes: lender.Classes}}, Machines: 4, Sessions: 40, Rate: 80},
	"small":      {Partners: []PartnerShape{{Partner: "pharmacies", Groups: []string{"inventory-1"}, Zones: pharmacies.Zones, ConnectionLimit: 40, Classes: pharmacies.Classes}}, Machines: 4, Sessions: 40, Rate: 80},
}

// groups returns the names of all groups, as PARTNER/GROUP.
func (s Shape) groups() []string {
	var groups []string
	for _, p := range s.Partners {
		for _, g := range p.Groups {
			groups = append(groups, p.Partner+"/"+g)
		}
	}
	return groups
}

// machineOwner returns the partner that a machine belongs to. Machines are assigned to the
// partners in turn.
func (s Shape) machineOwner(machine int) string { return s.Partners[machine%len(s.Partners)].Partner }

// partnerOf returns the partner that a group belongs to. No two partners of a shape have
// groups of the same name.
func (s Shape) partnerOf(group string) string {
	for _, p := range s.Partners {
		if slices.Contains(p.Groups, group) {
			return p.Partner
		}
	}
	return ""
}

// connectionLimit returns the connection limit of the databases of PARTNER/GROUP.
func (s Shape) connectionLimit(group string) int {
	for _, p := range s.Partners {
		if strings.HasPrefix(group, p.Partner+"/") {
			return p.ConnectionLimit
		}
	}
	return 0
}

// Route returns the route to the group of a database, "" for other processes.
func (s Shape) Route(process string) string {
	for _, g := range s.groups() {
		if _, n, _ := strings.Cut(g, "/"); strings.HasPrefix(process, n+"-") {
			return g
		}
	}
	return ""
}

// Configuration returns the configuration of a partner.
func (f *Fleet) Configuration(partner PartnerShape) map[string]any {
	dbs, groups, routes := map[string]any{}, map[string]any{}, map[string]any{}
	for i, g := range partner.Groups {
		var members []string
		for j := range 3 {
			n := fmt.Sprintf("%s-%c", g, 'a'+j)
			members = append(members, n)
			dbs[n] = map[string]any{"address": f.databaseAddresses[n], "zone": partner.Zones[(i+j)%3], "connections": partner.ConnectionLimit}
		}
		groups[g] = map[string]any{"members": members, "primary": members[0]}
		routes[g] = map[string]any{"group": g, "classes": partner.Classes[:]}
	}
	return map[string]any{"databases": dbs, "groups": groups, "routes": routes, "classes": map[string]any{
		partner.Classes[0]: map[string]any{"kind": "current"},
		partner.Classes[1]: map[string]any{"kind": "stale", "stale_us": 1_500_000},
		partner.Classes[2]: map[string]any{"kind": "pinned", "stale_us": 2_500_000},
	}}
}
