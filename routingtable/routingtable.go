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

	"stoneford/ports"
	"stoneford/schema"
)

// Encode writes a table; equal tables give equal bytes.
func Encode(t ports.RoutingTable) []byte {
	m := &schema.RoutingTable{Revision: t.Revision, IdleUs: t.Limits.IdleUs, TxIdleUs: t.Limits.TxIdleUs, Limits: t.Limits.Source, Forgotten: t.Forgotten}
	for _, r := range t.Routes {
		m.Routes = append(m.Routes, &schema.RouteItem{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: uint32(r.Kind), Group: r.Group,
			ExpiryUs: r.ExpiryUs, AimUs: r.AimUs, StaleUs: r.StaleUs, Rank: int32(r.Rank), Tries: int32(r.Tries), Source: r.Source})
	}
	for _, g := range t.Groups {
		m.Groups = append(m.Groups, &schema.GroupItem{Name: g.Name, ConnLimit: int32(g.ConnLimit), Sync: int32(g.Sync), Source: g.Source})
	}
	for _, p := range t.Placements {
		m.Placements = append(m.Placements, &schema.Placement{Group: p.Group, Site: p.Site, Table: p.Table, From: p.From, Back: p.Back})
	}
	for _, o := range t.Taken {
		m.Taken = append(m.Taken, &schema.TakenOrder{Revision: o.Revision, Digest: []byte(o.Digest)})
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	return pack(b)
}

const (
	packed   = 0        // first byte of a packed table: no message begins with it
	packFrom = 1 << 10  // bytes from which a table is packed
	most     = 64 << 20 // bytes that one may unpack to
)

// pack makes a table small: it goes through every voter's disk and to every
// node, some of them behind 2 Mbit/s, and items repeat one another.
func pack(b []byte) []byte {
	if len(b) < packFrom {
		return b
	}
	var o bytes.Buffer
	o.WriteByte(packed)
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

func unpack(b []byte) ([]byte, error) {
	if len(b) == 0 || b[0] != packed {
		return b, nil
	}
	r := flate.NewReader(bytes.NewReader(b[1:]))
	o, err := io.ReadAll(io.LimitReader(r, most))
	return o, errors.Join(err, r.Close())
}

// Decode reads a table; no bytes are the empty table.
func Decode(b []byte) (ports.RoutingTable, error) {
	m := &schema.RoutingTable{}
	b, err := unpack(b)
	if err != nil {
		return ports.RoutingTable{}, err
	}
	if err := proto.Unmarshal(b, m); err != nil {
		return ports.RoutingTable{}, err
	}
	t := ports.RoutingTable{Revision: m.Revision, Limits: ports.Limits{IdleUs: m.IdleUs, TxIdleUs: m.TxIdleUs, Source: m.Limits}, Forgotten: m.Forgotten}
	for _, r := range m.Routes {
		t.Routes = append(t.Routes, ports.Route{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: ports.ClassKind(r.Kind), Group: r.Group,
			ExpiryUs: r.ExpiryUs, AimUs: r.AimUs, StaleUs: r.StaleUs, Rank: int(r.Rank), Tries: int(r.Tries), Source: r.Source})
	}
	for _, g := range m.Groups {
		t.Groups = append(t.Groups, ports.Group{Name: g.Name, ConnLimit: int(g.ConnLimit), Sync: int(g.Sync), Source: g.Source})
	}
	for _, p := range m.Placements {
		t.Placements = append(t.Placements, ports.Placement{Group: p.Group, Site: p.Site, Table: p.Table, From: p.From, Back: p.Back})
	}
	for _, o := range m.Taken {
		t.Taken = append(t.Taken, ports.TakenOrder{Revision: o.Revision, Digest: string(o.Digest)})
	}
	return t, nil
}

// Place is the table with a group's placement put in.
func Place(old ports.RoutingTable, p ports.Placement) ports.RoutingTable {
	old.Placements = put(slices.Clone(old.Placements), []ports.Placement{p}, func(p ports.Placement) string { return p.Group })
	slices.SortFunc(old.Placements, func(a, b ports.Placement) int { return cmp.Compare(a.Group, b.Group) })
	return old
}

// Apply makes the table that a change leads to from old, and names every reason
// why it is not a valid one; where there are reasons the table is not to be
// used. Placements stay, of groups that stay.
func Apply(old ports.RoutingTable, c ports.TableChange) (ports.RoutingTable, []string) {
	ps := slices.Clone(c.Problems)
	t := ports.RoutingTable{Revision: c.Revision, Limits: old.Limits}
	if !c.Whole {
		t.Routes, t.Groups = slices.Clone(old.Routes), slices.Clone(old.Groups)
		t.Routes = slices.DeleteFunc(t.Routes, func(r ports.Route) bool { return slices.Contains(c.RemoveRoutes, r.Name) })
		t.Groups = slices.DeleteFunc(t.Groups, func(g ports.Group) bool { return slices.Contains(c.RemoveGroups, g.Name) })
	}
	ps = append(ps, twice("route", c.Routes, func(r ports.Route) string { return r.Name })...)
	ps = append(ps, twice("group", c.Groups, func(g ports.Group) string { return g.Name })...)
	t.Routes = put(t.Routes, c.Routes, func(r ports.Route) string { return r.Name })
	t.Groups = put(t.Groups, c.Groups, func(g ports.Group) string { return g.Name })
	for _, p := range old.Placements {
		if slices.ContainsFunc(t.Groups, func(g ports.Group) bool { return g.Name == p.Group }) {
			t.Placements = append(t.Placements, p)
		}
	}
	if c.Limits != nil {
		t.Limits = *c.Limits
	}
	t.Taken, t.Forgotten = remember(old, c)
	if c.Revision <= old.Revision {
		ps = append(ps, fmt.Sprintf("revision %d is not above %d, which is in force", c.Revision, old.Revision))
	}
	return t, append(ps, Check(t)...)
}

// Check names every reason why a table cannot be worked by.
func Check(t ports.RoutingTable) []string {
	var ps []string
	gs := map[string]bool{}
	for _, g := range t.Groups {
		gs[g.Name] = true
		if g.Name == "" {
			ps = append(ps, "a group has no name")
		}
		if g.ConnLimit < 0 || g.Sync < 0 {
			ps = append(ps, fmt.Sprintf("group %s: a number is below 0", g.Name))
		}
	}
	at := map[[2]string]string{}
	for _, r := range t.Routes {
		switch {
		case r.Name == "":
			ps = append(ps, "a route has no name")
		case r.Host == "":
			ps = append(ps, fmt.Sprintf("route %s has no host", r.Name))
		case !gs[r.Group]:
			ps = append(ps, fmt.Sprintf("route %s: unknown group %q", r.Name, r.Group))
		}
		if r.ExpiryUs <= 0 {
			ps = append(ps, fmt.Sprintf("route %s: its time is 0", r.Name))
		}
		if r.StaleUs < 0 || r.AimUs < 0 {
			ps = append(ps, fmt.Sprintf("route %s: a time is below 0", r.Name))
		}
		k := [2]string{r.Host, r.Prefix}
		if o, ok := at[k]; ok {
			ps = append(ps, fmt.Sprintf("routes %s and %s share host %s and prefix %q", o, r.Name, r.Host, r.Prefix))
		}
		at[k] = r.Name
	}
	return ps
}

func put[T any](old, items []T, name func(T) string) []T {
	for _, i := range items {
		if at := slices.IndexFunc(old, func(o T) bool { return name(o) == name(i) }); at >= 0 {
			old[at] = i
		} else {
			old = append(old, i)
		}
	}
	return old
}

func twice[T any](what string, items []T, name func(T) string) []string {
	var ps []string
	seen := map[string]bool{}
	for _, i := range items {
		if seen[name(i)] {
			ps = append(ps, fmt.Sprintf("%s %s stands twice", what, name(i)))
		}
		seen[name(i)] = true
	}
	return ps
}
