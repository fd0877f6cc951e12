package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"

	"stoneford/internal/ports"
)

// number is a number that the platform writes as an integer or with a fraction.
type number float64

// UnmarshalJSON decodes a JSON number from 0 to 1e15.
func (n *number) UnmarshalJSON(data []byte) error {
	f, err := strconv.ParseFloat(string(data), 64)
	if err != nil || f < 0 || f > 1e15 {
		return fmt.Errorf("%.30s is not a number that can be used", data)
	}
	*n = number(f)
	return nil
}

// microseconds converts a number of milliseconds to µs.
func (n number) microseconds() int64 { return int64(math.Round(float64(n) * 1000)) }

// integer returns the number without its fraction, limited to math.MaxInt32.
func (n number) integer() int { return int(min(float64(n), math.MaxInt32)) }

// rawTable holds the undecoded items of a routing table in the platform's format.
type rawTable struct {
	Routes   []json.RawMessage `json:"Routes"`
	Backends []json.RawMessage `json:"Backends"`
}

// rawChange is a change of the routing table in the platform's format. A replacement has its
// items at the top level, an amendment in Upsert and Remove.
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

// rawRoute is a route in the platform's format.
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

// rawGroup is a group of databases in the platform's format, which calls it a backend.
type rawGroup struct {
	Name         string `json:"Name"`
	ConnLimit    number `json:"ConnLimit"`
	SyncReplicas number `json:"SyncReplicas"`
}

// rawLimits holds the limits in the platform's format.
type rawLimits struct {
	IdleMs    number `json:"IdleMs"`
	TxnIdleMs number `json:"TxnIdleMs"`
}

// routeClasses maps the platform's route classes to read classes.
var routeClasses = map[string]ports.ReadClass{"leader": ports.CurrentRead, "bounded_staleness": ports.BoundedStaleness, "pinned": ports.ReadYourWrites}

// readRoute decodes a route. Its errors are part of the reply to the operator.
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

// readGroup decodes a group. Its errors are part of the reply to the operator.
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

// readLimits decodes the limits. Its errors are part of the reply to the operator.
func readLimits(data []byte) (ports.Limits, error) {
	var limits rawLimits
	if err := json.Unmarshal(data, &limits); err != nil {
		return ports.Limits{}, err
	}
	return ports.Limits{IdleTimeoutUs: limits.IdleMs.microseconds(), TransactionIdleTimeoutUs: limits.TxnIdleMs.microseconds(), Source: data}, nil
}

// renderTable returns a table in the format of a replacement, with each item byte for byte as
// an operator sent it.
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
