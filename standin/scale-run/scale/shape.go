// Package scale has what a scale run is made of (docs/CAPACITY.md): the shape of
// a fleet by its number of nodes, hollow pool nodes and databases, control
// processes whose traffic is counted, and lines fitted over sizes.
package scale

import (
	"fmt"

	"stoneford/ports"
)

// The users' sizes in two years; smaller fleets keep their proportions.
const (
	FullNodes  = 690
	FullGroups = 310
	perGroup   = 3
)

// Port is the first of the ports that processes use, on addresses of loopback
// that nobody else uses; it may be set before anything starts.
var Port = 27440

var zones = []string{"zone-a", "zone-b", "zone-c", "zone-d", "zone-e", "zone-f"}

// Zone is where the i-th of anything stands.
func Zone(i int) string { return zones[i%len(zones)] }

// Region is the region of a zone's number; zones alternate between the two.
func Region(i int) string { return []string{"region-1", "region-2"}[i%2] }

// ControlIP is the address of a control process.
func ControlIP(i int) string { return fmt.Sprintf("127.77.1.%d", i+1) }

// NodeIP is the address of a pool node.
func NodeIP(i int) string { return fmt.Sprintf("127.78.%d.%d", i/250, i%250+1) }

// Boot is what a process of the run is told at its start.
func Boot(name, ip string, i, controls int, folder string) ports.Boot {
	b := ports.Boot{Name: name, Zone: Zone(i), Region: Region(i), IP: ip, PortFirst: Port, PortLast: Port + 20, Bootstrap: true, QuorumMember: true,
		DataFolder: folder, BeatUs: 1_200_000, Front: fmt.Sprintf("%s:%d", ip, Port+12), Ready: fmt.Sprintf("%s:%d", ip, Port+13), FDs: 15_000}
	for c := range controls {
		b.Seeds = append(b.Seeds, fmt.Sprintf("%s:%d", ControlIP(c), Port+14))
	}
	return b
}

// Shape is a fleet's size.
type Shape struct{ Nodes, Groups int }

// ShapeOf keeps the users' proportion of groups to nodes.
func ShapeOf(nodes int) Shape {
	return Shape{Nodes: nodes, Groups: max(1, (nodes*FullGroups+FullNodes/2)/FullNodes)}
}

// Databases is how many the shape has.
func (s Shape) Databases() int { return s.Groups * perGroup }

// GroupName names a group.
func GroupName(i int) string { return fmt.Sprintf("service-%03d", i) }

// DatabaseID names a database of a group.
func DatabaseID(group, i int) string {
	return fmt.Sprintf("db-%03d-%c-5f1c%04x", group, 'a'+rune(i), group*perGroup+i)
}

// Table is a routing table with one route of each kind for each group.
func (s Shape) Table(revision uint64) ports.RoutingTable {
	t := ports.RoutingTable{Revision: revision, Limits: ports.Limits{IdleUs: 600_000_000, TxIdleUs: 10_000_000}}
	for g := range s.Groups {
		n := GroupName(g)
		t.Groups = append(t.Groups, ports.Group{Name: n, ConnLimit: 200, Sync: 1, Source: fmt.Appendf(nil, `{"name":%q,"connections":200,"followers":1,"owner":"team-%03d"}`, n, g)})
		for i, k := range []ports.ClassKind{ports.Current, ports.Bounded, ports.Pinned} {
			t.Routes = append(t.Routes, Route(g, i, k))
		}
	}
	return t
}

// Route is one route of a group.
func Route(group, i int, k ports.ClassKind) ports.Route {
	n := GroupName(group)
	r := ports.Route{Name: fmt.Sprintf("%s-route-%d", n, i), Host: fmt.Sprintf("%s-%d.internal", n, i), Prefix: "/", Kind: k, Group: n,
		ExpiryUs: 2_000_000, AimUs: 500_000, StaleUs: int64(i) * 1_000_000, Rank: i, Tries: 3}
	r.Source = fmt.Appendf(nil, `{"name":%q,"host":%q,"prefix":"/","kind":%d,"group":%q,"expiry":2000,"aim":500,"rank":%d,"tries":3,"owner":"team-%03d"}`,
		r.Name, r.Host, k, n, i, group)
	return r
}
