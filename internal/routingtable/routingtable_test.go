package routingtable

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"stoneford/internal/ports"
)

func route(n int) ports.Route {
	return ports.Route{Name: fmt.Sprintf("r-%d", n), Host: fmt.Sprintf("host%d", n), Prefix: "/", Group: "g", TimeoutUs: 800_000, LatencyTargetUs: 300_000,
		Source: []byte(fmt.Sprintf(`{"Name":"r-%d","Host":"host%d","Prefix":"/","Kind":"some kind","Time":800,"Aim":300,"Group":"g"}`, n, n))}
}

func table(rev uint64, n int) ports.RoutingTable {
	t := ports.RoutingTable{Revision: rev, Groups: []ports.Group{{Name: "g", ConnectionLimit: 60, RequiredReplicaAcks: 1, Source: []byte(`{}`)}}, Limits: ports.Limits{TransactionIdleTimeoutUs: 3, Source: []byte(`{"a":1}`)}}
	for i := range n {
		t.Routes = append(t.Routes, route(i))
	}
	return t
}

// TestRoundTrip: a table comes back as it was, small or large, and large ones are
// stored small.
func TestRoundTrip(t *testing.T) {
	for _, n := range []int{0, 1, 3, 130, 1500} {
		in := table(7, n)
		b := Encode(in)
		out, err := Decode(b)
		if err != nil || !reflect.DeepEqual(in, out) {
			t.Fatalf("%d routes: %v", n, err)
		}
		if string(b) != string(Encode(in)) {
			t.Fatal("equal tables give different bytes")
		}
		if n >= 130 && len(b) > n*60 {
			t.Fatalf("%d routes take %d bytes", n, len(b))
		}
	}
}

// TestDamaged: no bytes make Decode panic, and truncated ones are an error.
func TestDamaged(t *testing.T) {
	b := Encode(table(7, 130))
	r := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		c := append([]byte{}, b...)
		c[r.IntN(len(c))] ^= byte(1 + r.IntN(255))
		_, _ = Decode(c)
	}
	for n := 1; n < len(b); n += 97 {
		if _, err := Decode(b[:n]); err == nil {
			t.Fatalf("truncated at %d of %d it was read", n, len(b))
		}
	}
}

// TestApply: what makes a change invalid, each named, and what valid ones lead to.
func TestApply(t *testing.T) {
	old := table(5, 3)
	complete := func(f func(*ports.TableChange)) ports.TableChange {
		c := ports.TableChange{BaseRevision: 5, Revision: 7, Complete: true, Routes: table(7, 2).Routes, Groups: old.Groups}
		f(&c)
		return c
	}
	for _, c := range []struct {
		name, problem string
		change        ports.TableChange
	}{
		{"valid", "", complete(func(*ports.TableChange) {})},
		{"cut short", "not read", complete(func(c *ports.TableChange) { c.Problems = []string{"not read whole"} })},
		{"unknown group", "unknown group", complete(func(c *ports.TableChange) { c.Routes[0].Group = "h" })},
		{"same place", "share host", complete(func(c *ports.TableChange) { c.Routes[1].Host = c.Routes[0].Host })},
		{"no time", "time is 0", complete(func(c *ports.TableChange) { c.Routes[0].TimeoutUs = 0 })},
		{"old revision", "not above", complete(func(c *ports.TableChange) { c.Revision = 5 })},
		{"twice", "stands twice", complete(func(c *ports.TableChange) { c.Routes[1].Name = c.Routes[0].Name })},
		{"group in use removed", "unknown group", ports.TableChange{BaseRevision: 5, Revision: 7, RemoveGroups: []string{"g"}}},
	} {
		got, problems := Apply(old, c.change)
		if (c.problem == "") != (len(problems) == 0) || c.problem != "" && !strings.Contains(strings.Join(problems, "; "), c.problem) {
			t.Errorf("%s: %v", c.name, problems)
		}
		if c.problem == "" && (len(got.Routes) != 2 || got.Revision != 7) {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
	got, problems := Apply(old, ports.TableChange{BaseRevision: 5, Revision: 9, Routes: []ports.Route{route(9), func() ports.Route { r := route(1); r.TimeoutUs = 1; return r }()}, RemoveRoutes: []string{"r-0"}})
	if len(problems) > 0 || len(got.Routes) != 3 || got.Routes[0].Name != "r-1" || got.Routes[0].TimeoutUs != 1 || got.Routes[2].Name != "r-9" || got.Limits.TransactionIdleTimeoutUs != 3 || len(old.Routes) != 3 || old.Routes[1].TimeoutUs != 800_000 {
		t.Fatalf("%v %+v", problems, got)
	}
}
