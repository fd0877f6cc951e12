package routingtable

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"stoneford/ports"
)

func route(n int) ports.Route {
	return ports.Route{Name: fmt.Sprintf("r-%d", n), Host: fmt.Sprintf("host%d", n), Prefix: "/", Group: "g", ExpiryUs: 800_000, AimUs: 300_000,
		Source: []byte(fmt.Sprintf(`{"Name":"r-%d","Host":"host%d","Prefix":"/","Kind":"some kind","Time":800,"Aim":300,"Group":"g"}`, n, n))}
}

func table(rev uint64, n int) ports.RoutingTable {
	t := ports.RoutingTable{Revision: rev, Groups: []ports.Group{{Name: "g", ConnLimit: 60, Sync: 1, Source: []byte(`{}`)}}, Limits: ports.Limits{TxIdleUs: 3, Source: []byte(`{"a":1}`)}}
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

// TestDamaged: no bytes make Decode panic, and cut ones are told.
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
			t.Fatalf("cut at %d of %d it was read", n, len(b))
		}
	}
}

// TestApply: what makes a change invalid, each named, and what valid ones lead to.
func TestApply(t *testing.T) {
	old := table(5, 3)
	whole := func(f func(*ports.TableChange)) ports.TableChange {
		c := ports.TableChange{Base: 5, Revision: 7, Whole: true, Routes: table(7, 2).Routes, Groups: old.Groups}
		f(&c)
		return c
	}
	for _, c := range []struct {
		name, why string
		change    ports.TableChange
	}{
		{"valid", "", whole(func(*ports.TableChange) {})},
		{"cut short", "not read", whole(func(c *ports.TableChange) { c.Problems = []string{"not read whole"} })},
		{"unknown group", "unknown group", whole(func(c *ports.TableChange) { c.Routes[0].Group = "h" })},
		{"same place", "share host", whole(func(c *ports.TableChange) { c.Routes[1].Host = c.Routes[0].Host })},
		{"no time", "time is 0", whole(func(c *ports.TableChange) { c.Routes[0].ExpiryUs = 0 })},
		{"old revision", "not above", whole(func(c *ports.TableChange) { c.Revision = 5 })},
		{"twice", "stands twice", whole(func(c *ports.TableChange) { c.Routes[1].Name = c.Routes[0].Name })},
		{"group in use removed", "unknown group", ports.TableChange{Base: 5, Revision: 7, RemoveGroups: []string{"g"}}},
	} {
		got, ps := Apply(old, c.change)
		if (c.why == "") != (len(ps) == 0) || c.why != "" && !strings.Contains(strings.Join(ps, "; "), c.why) {
			t.Errorf("%s: %v", c.name, ps)
		}
		if c.why == "" && (len(got.Routes) != 2 || got.Revision != 7) {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
	got, ps := Apply(old, ports.TableChange{Base: 5, Revision: 9, Routes: []ports.Route{route(9), func() ports.Route { r := route(1); r.ExpiryUs = 1; return r }()}, RemoveRoutes: []string{"r-0"}})
	if len(ps) > 0 || len(got.Routes) != 3 || got.Routes[0].Name != "r-1" || got.Routes[0].ExpiryUs != 1 || got.Routes[2].Name != "r-9" || got.Limits.TxIdleUs != 3 || len(old.Routes) != 3 || old.Routes[1].ExpiryUs != 800_000 {
		t.Fatalf("%v %+v", ps, got)
	}
}
