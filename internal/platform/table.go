package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"

	"stoneford/internal/ports"
)

// number is an integer or a fraction, which the platform writes either way.
type number float64

// UnmarshalJSON decodes any JSON number that is not below 0.
func (n *number) UnmarshalJSON(data []byte) error {
	f, err := strconv.ParseFloat(string(data), 64)
	if err != nil || f < 0 || f > 1e15 {
		return fmt.Errorf("%.30s is not a number that can be used", data)
	}
	*n = number(f)
	return nil
}

// microseconds is a number of milliseconds in µs.
func (n number) microseconds() int64 { return int64(math.Round(float64(n) * 1000)) }

// integer is the number without its fraction.
func (n number) integer() int { return int(min(float64(n), math.MaxInt32)) }

// rawTable are the items of a routing table as they arrive.
type rawTable struct {
	Routes   []json.RawMessage `json:"Routes"`
	Backends []json.RawMessage `json:"Backends"`
}

// rawChange is a change of the routing table as it arrives: a replacement has the items at
// its top, an amendment has Upsert and Remove.
type rawChange struct {
	Revision *uint64 `json:"Revision"`
	rawTable
	Limits json.RawMessage `json:"Limits"`
	Upsert rawTable        `json:"Upsert"`
	Remove struct {
		Routes   []string `json:"Routes"`
		Backends []string `json:"Backends"`
	} `json:"Remove"`
}

// rawRoute is a route as it arrives.
type rawRoute struct {
	Name        string `json:"Name"`
	Host        string `json:"Host"`
	PathPrefix  string `json:"PathPrefix"`
	RouteClass  string `json:"RouteClass"`
	Backend     string `json:"Backend"`
	DeadlineMs  number `json:"DeadlineMs"`
	TargetMs    number `json:"TargetMs"`
	StalenessMs number `json:"StalenessMs"`
	Rank        number `json:"Rank"`
	MaxTries    number `json:"MaxTries"`
}

// rawGroup is a service of databases as it arrives.
type rawGroup struct {
	Name         string `json:"Name"`
	ConnLimit    number `json:"ConnLimit"`
	SyncReplicas number `json:"SyncReplicas"`
}

// rawLimits are the limits as they arrive.
type rawLimits struct {
	IdleMs    number `json:"IdleMs"`
	TxnIdleMs number `json:"TxnIdleMs"`
}

// routeClasses are the platform's names for the classes of reads.
var routeClasses = map[string]ports.ReadClass{"leader": ports.CurrentRead, "bounded_staleness": ports.BoundedStaleness, "pinned": ports.ReadYourWrites}

func readRoute(data []byte) (ports.Route, error) {
	var route rawRoute
	if err := json.Unmarshal(data, &route); err != nil {
		return ports.Route{}, err
	}
	kind, ok := routeClasses[route.RouteClass]
	switch {
	case route.Name == "":
		return ports.Route{}, errors.New("it has no name")
	case !ok:
		return ports.Route{}, fmt.Errorf("%s: %q is not a class of routes", route.Name, route.RouteClass)
	}
	return ports.Route{Name: route.Name, Host: route.Host, Prefix: route.PathPrefix, Class: kind, Group: route.Backend, TimeoutUs: route.DeadlineMs.microseconds(),
		LatencyTargetUs: route.TargetMs.microseconds(), MaxStalenessUs: route.StalenessMs.microseconds(), Rank: route.Rank.integer(), MaxAttempts: route.MaxTries.integer(), Source: data}, nil
}

func readGroup(data []byte) (ports.Group, error) {
	var group rawGroup
	if err := json.Unmarshal(data, &group); err != nil {
		return ports.Group{}, err
	}
	if group.Name == "" {
		return ports.Group{}, errors.New("it has no name")
	}
	return ports.Group{Name: group.Name, ConnectionLimit: group.ConnLimit.integer(), RequiredReplicaAcks: group.SyncReplicas.integer(), Source: data}, nil
}

func readLimits(data []byte) (ports.Limits, error) {
	var limits rawLimits
	if err := json.Unmarshal(data, &limits); err != nil {
		return ports.Limits{}, err
	}
	return ports.Limits{IdleTimeoutUs: limits.IdleMs.microseconds(), TransactionIdleTimeoutUs: limits.TxnIdleMs.microseconds(), Source: data}, nil
}

// renderTable is a table as an operator would replace it with, each item as it came.
func renderTable(t ports.RoutingTable) []byte {
	data := strconv.AppendUint([]byte(`{"Revision":`), t.Revision, 10)
	data = append(data, `,"Routes":[`...)
	for i, r := range t.Routes {
		if i > 0 {
			data = append(data, ',')
		}
		data = append(data, r.Source...)
	}
	data = append(data, `],"Backends":[`...)
	for i, g := range t.Groups {
		if i > 0 {
			data = append(data, ',')
		}
		data = append(data, g.Source...)
	}
	data = append(data, ']')
	if len(t.Limits.Source) > 0 {
		data = append(append(data, `,"Limits":`...), t.Limits.Source...)
	}
	return append(data, '}')
}
