// Package routingtable changes and checks the operators' routing tables, and
// writes them as registers hold them (design 14.12).
package routingtable

import (
	"bytes"
	"cmp"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"slices"

	"google.golang.org/protobuf/proto"

	"stoneford/internal/ports"
	"stoneford/schema"
)

// Encode writes a table; equal tables give equal bytes.
func Encode(t ports.RoutingTable) []byte {
	message := &schema.RoutingTable{Revision: t.Revision, IdleTimeoutUs: t.Limits.IdleTimeoutUs, TransactionIdleTimeoutUs: t.Limits.TransactionIdleTimeoutUs, LimitsSource: t.Limits.Source, ForgottenRevision: t.ForgottenRevision}
	for _, r := range t.Routes {
		message.Routes = append(message.Routes, &schema.RouteItem{Name: r.Name, Host: r.Host, Prefix: r.Prefix, ReadClass: uint32(r.Class), Group: r.Group,
			TimeoutUs: r.TimeoutUs, LatencyTargetUs: r.LatencyTargetUs, MaxStalenessUs: r.MaxStalenessUs, Rank: int32(r.Rank), MaxAttempts: int32(r.MaxAttempts), Source: r.Source})
	}
	for _, g := range t.Groups {
		message.Groups = append(message.Groups, &schema.GroupItem{Name: g.Name, ConnectionLimit: int32(g.ConnectionLimit), RequiredReplicaAcks: int32(g.RequiredReplicaAcks), Source: g.Source})
	}
	for _, p := range t.Placements {
		message.Placements = append(message.Placements, &schema.Placement{Group: p.Group, Site: p.Site, TableRevision: p.TableRevision, PreviousSite: p.PreviousSite, Reverted: p.Reverted})
	}
	for _, o := range t.RecentOrders {
		message.RecentOrders = append(message.RecentOrders, &schema.AppliedOrder{Revision: o.Revision, Digest: []byte(o.Digest)})
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic(err)
	}
	return compress(encoded)
}

const (
	compressedMarker     = 0        // first byte of a packed table: no message begins with it
	compressionThreshold = 1 << 10  // bytes from which a table is packed
	maxDecompressedSize  = 64 << 20 // bytes that one may unpack to
)

// compress makes a table small: it goes through every voter's disk and to every
// node, some of them behind 2 Mbit/s, and items repeat one another.
func compress(b []byte) []byte {
	if len(b) < compressionThreshold {
		return b
	}
	var o bytes.Buffer
	o.WriteByte(compressedMarker)
	w, err := flate.NewWriter(&o, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	if _, err := w.Write(b); err != nil {
		panic(err)
	}
	if err := w.Close(); err != nil {
		panic(err)
	}
	return o.Bytes()
}

func decompress(b []byte) ([]byte, error) {
	if len(b) == 0 || b[0] != compressedMarker {
		return b, nil
	}
	r := flate.NewReader(bytes.NewReader(b[1:]))
	o, err := io.ReadAll(io.LimitReader(r, maxDecompressedSize))
	return o, errors.Join(err, r.Close())
}

// Decode reads a table; no bytes are the empty table.
func Decode(b []byte) (ports.RoutingTable, error) {
	message := &schema.RoutingTable{}
	b, err := decompress(b)
	if err != nil {
		return ports.RoutingTable{}, err
	}
	if err := proto.Unmarshal(b, message); err != nil {
		return ports.RoutingTable{}, err
	}
	table := ports.RoutingTable{Revision: message.Revision, Limits: ports.Limits{IdleTimeoutUs: message.IdleTimeoutUs, TransactionIdleTimeoutUs: message.TransactionIdleTimeoutUs, Source: message.LimitsSource}, ForgottenRevision: message.ForgottenRevision}
	for _, r := range message.Routes {
		table.Routes = append(table.Routes, ports.Route{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Class: ports.ReadClass(r.ReadClass), Group: r.Group,
			TimeoutUs: r.TimeoutUs, LatencyTargetUs: r.LatencyTargetUs, MaxStalenessUs: r.MaxStalenessUs, Rank: int(r.Rank), MaxAttempts: int(r.MaxAttempts), Source: r.Source})
	}
	for _, g := range message.Groups {
		table.Groups = append(table.Groups, ports.Group{Name: g.Name, ConnectionLimit: int(g.ConnectionLimit), RequiredReplicaAcks: int(g.RequiredReplicaAcks), Source: g.Source})
	}
	for _, p := range message.Placements {
		table.Placements = append(table.Placements, ports.Placement{Group: p.Group, Site: p.Site, TableRevision: p.TableRevision, PreviousSite: p.PreviousSite, Reverted: p.Reverted})
	}
	for _, o := range message.RecentOrders {
		table.RecentOrders = append(table.RecentOrders, ports.AppliedOrder{Revision: o.Revision, Digest: string(o.Digest)})
	}
	return table, nil
}

// WithPlacement is the table with a group's placement put in.
func WithPlacement(old ports.RoutingTable, p ports.Placement) ports.RoutingTable {
	old.Placements = upsert(slices.Clone(old.Placements), []ports.Placement{p}, func(p ports.Placement) string { return p.Group })
	slices.SortFunc(old.Placements, func(a, b ports.Placement) int { return cmp.Compare(a.Group, b.Group) })
	return old
}

// Apply makes the table that a change leads to from old, and names every reason
// why it is not a valid one; where there are reasons the table is not to be
// used. Placements stay, of groups that stay.
func Apply(old ports.RoutingTable, change ports.TableChange) (ports.RoutingTable, []string) {
	problems := slices.Clone(change.Problems)
	table := ports.RoutingTable{Revision: change.Revision, Limits: old.Limits}
	if !change.Complete {
		table.Routes, table.Groups = slices.Clone(old.Routes), slices.Clone(old.Groups)
		table.Routes = slices.DeleteFunc(table.Routes, func(r ports.Route) bool { return slices.Contains(change.RemoveRoutes, r.Name) })
		table.Groups = slices.DeleteFunc(table.Groups, func(g ports.Group) bool { return slices.Contains(change.RemoveGroups, g.Name) })
	}
	problems = append(problems, duplicates("route", change.Routes, func(r ports.Route) string { return r.Name })...)
	problems = append(problems, duplicates("group", change.Groups, func(g ports.Group) string { return g.Name })...)
	table.Routes = upsert(table.Routes, change.Routes, func(r ports.Route) string { return r.Name })
	table.Groups = upsert(table.Groups, change.Groups, func(g ports.Group) string { return g.Name })
	for _, p := range old.Placements {
		if slices.ContainsFunc(table.Groups, func(g ports.Group) bool { return g.Name == p.Group }) {
			table.Placements = append(table.Placements, p)
		}
	}
	if change.Limits != nil {
		table.Limits = *change.Limits
	}
	table.RecentOrders, table.ForgottenRevision = recordOrder(old, change)
	if change.Revision <= old.Revision {
		problems = append(problems, fmt.Sprintf("revision %d is not above %d, which is in force", change.Revision, old.Revision))
	}
	return table, append(problems, Check(table)...)
}

// Check names every reason why a table cannot be worked by.
func Check(t ports.RoutingTable) []string {
	var problems []string
	groups := map[string]bool{}
	for _, g := range t.Groups {
		groups[g.Name] = true
		if g.Name == "" {
			problems = append(problems, "a group has no name")
		}
		if g.ConnectionLimit < 0 || g.RequiredReplicaAcks < 0 {
			problems = append(problems, fmt.Sprintf("group %s: a number is below 0", g.Name))
		}
	}
	routeAt := map[[2]string]string{}
	for _, r := range t.Routes {
		switch {
		case r.Name == "":
			problems = append(problems, "a route has no name")
		case r.Host == "":
			problems = append(problems, fmt.Sprintf("route %s has no host", r.Name))
		case !groups[r.Group]:
			problems = append(problems, fmt.Sprintf("route %s: unknown group %q", r.Name, r.Group))
		}
		if r.TimeoutUs <= 0 {
			problems = append(problems, fmt.Sprintf("route %s: its time is 0", r.Name))
		}
		if r.MaxStalenessUs < 0 || r.LatencyTargetUs < 0 {
			problems = append(problems, fmt.Sprintf("route %s: a time is below 0", r.Name))
		}
		key := [2]string{r.Host, r.Prefix}
		if o, ok := routeAt[key]; ok {
			problems = append(problems, fmt.Sprintf("routes %s and %s share host %s and prefix %q", o, r.Name, r.Host, r.Prefix))
		}
		routeAt[key] = r.Name
	}
	return problems
}

func upsert[T any](old, items []T, name func(T) string) []T {
	for _, i := range items {
		if at := slices.IndexFunc(old, func(o T) bool { return name(o) == name(i) }); at >= 0 {
			old[at] = i
		} else {
			old = append(old, i)
		}
	}
	return old
}

func duplicates[T any](what string, items []T, name func(T) string) []string {
	var problems []string
	seen := map[string]bool{}
	for _, i := range items {
		if seen[name(i)] {
			problems = append(problems, fmt.Sprintf("%s %s stands twice", what, name(i)))
		}
		seen[name(i)] = true
	}
	return problems
}
