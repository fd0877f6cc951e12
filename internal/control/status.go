package control

import (
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/samber/lo"

	"stoneford/internal/membership"
	"stoneford/schema"
)

// Status is the body of GET /v1/status. It shows the fleet as one control process knows
// it.
type Status struct {
	Voting bool `json:"votes"` // the process takes part in consensus
	// Majority is true if a majority of the voters is reachable. Without one the other
	// fields may be out of date.
	Majority bool          `json:"majority"`
	Nodes    []NodeStatus  `json:"nodes"`
	Groups   []GroupStatus `json:"groups"`
}

// NodeStatus is the status of a process of the fleet.
type NodeStatus struct {
	Address  string `json:"address"`
	Name     string `json:"name"`
	Kind     string `json:"kind"` // control or pool
	Zone     string `json:"zone"`
	Partner  string `json:"partner"`
	HTTP     string `json:"http"`
	Alive    bool   `json:"alive"`
	Draining bool   `json:"leaving"`
}

// GroupStatus is the status of a group of databases.
type GroupStatus struct {
	Name    string                `json:"name"` // PARTNER/GROUP
	Epoch   uint64                `json:"epoch"`
	Phase   string                `json:"phase"`
	Primary string                `json:"primary"`
	Cause   string                `json:"cause"`       // of the last change of primary
	Leader  string                `json:"duty_holder"` // control process that leads the group's role
	Members []*schema.GroupMember `json:"members"`
}

func (p *Process) serveStatus(w http.ResponseWriter, r *http.Request) {
	if _, ok := p.partner(w, r); !ok {
		return
	}
	s := Status{Nodes: []NodeStatus{}, Groups: []GroupStatus{}} // not nil, so that empty lists are encoded as []
	p.inspect(func(c *Core, _ int64) {
		s.Voting, s.Majority = c.voting, c.majority.reachable()
		for _, n := range c.Nodes() {
			s.Nodes = append(s.Nodes, nodeStatus(n))
		}
		leaders := c.GroupLeaders()
		for _, name := range slices.Sorted(maps.Keys(leaders)) {
			s.Groups = append(s.Groups, groupStatus(name, leaders[name], c.groupState(name)))
		}
	})
	writeJSON(w, http.StatusOK, s)
}

func nodeStatus(n membership.Node) NodeStatus {
	return NodeStatus{
		Address:  n.Address,
		Name:     n.Name,
		Kind:     n.Kind,
		Zone:     n.Zone,
		Partner:  n.Partner,
		HTTP:     n.HttpAddress,
		Alive:    n.Alive,
		Draining: n.Draining,
	}
}

func groupStatus(name, leader string, state *schema.GroupState) GroupStatus {
	return GroupStatus{
		Name:    name,
		Epoch:   state.Epoch,
		Phase:   strings.ToLower(state.Phase.String()),
		Primary: state.Primary,
		Cause:   state.Cause,
		Leader:  leader,
		Members: state.Members,
	}
}

// serveReady replies whether the process can serve operators now.
func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	var ready bool
	p.inspect(func(c *Core, _ int64) { ready = c.voting && c.majority.reachable() })
	writeJSON(w, lo.Ternary(ready, http.StatusOK, http.StatusServiceUnavailable), map[string]bool{"ready": ready})
}
