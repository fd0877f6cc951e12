package fleetstate

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"stoneford/ports"
)

func sample() []Reply {
	control := State{Name: "machine-1", Kind: KindControl, Zone: "cluj", Node: "10.1.0.8:7440", UpUs: 90_500_000, Ready: true, LeaseLeftUs: 1_200_000,
		Voters:     []Voter{{Node: "10.1.0.8:7440", Zone: "cluj", Self: true, Disk: DiskName(0xab), Votes: true, Membership: 3, HeardUs: 100_000}, {Node: "10.2.0.6:7440", Behind: 2, HeardUs: Never}},
		Membership: 3, Candidates: []Candidate{{Node: "10.4.0.2:7440", Zone: "iasi", Disk: DiskName(0xcd), Counts: true, HeardUs: 150_000}},
		Registers: []Register{{Key: "leader/stock", Revision: 4, Seen: 5, Accepted: 5, Changes: []string{"10.1.0.8:7440#1764#9"}},
			{Key: "routes", Revision: 2, Seen: 2, Accepted: 2, Changes: []string{"0b33e0b1f8a0c9b7e4", "aa"}}},
		Table: Routing(ports.RoutingTable{Revision: 7, Routes: []ports.Route{{Name: "r1", Host: "shop", Kind: ports.Bounded, Group: "stock", ExpiryUs: 800_000, AimUs: 300_000, StaleUs: 1_500_000, Rank: 1}},
			Groups: []ports.Group{{Name: "stock", ConnLimit: 65, Sync: 1}}, Limits: ports.Limits{TxIdleUs: 3_000_000}}, 2, true),
		Control: &Control{
			Databases: []Database{{ID: "i-1", Group: "stock", Address: "10.128.0.9:8080", Zone: "cluj", Capacity: 4, Primary: true, HeardUs: 700_000},
				{ID: "i-2", Group: "stock", Address: "10.128.0.10:8080", Zone: "iasi", Capacity: 4, Leaving: true, HeardUs: 70_000},
				{ID: "i-3", Group: "stock", Address: "10.128.0.11:8080", Capacity: 4, Gone: true, HeardUs: 61_000_000}},
			Leaders: []Leadership{{Group: "stock", Revision: 4, Doubt: true, Term: 3, Primary: "i-1", Address: "10.128.0.9:8080", Phase: "open", Cause: "i-0 went dark", Holder: "machine-1",
				Fence: 2, ExpectUs: 1_050_000, Members: []string{"i-1", "i-2"}}, {Group: "other", Phase: "none"}},
			Nodes: []Node{{Name: "machine-4", Node: "10.1.0.9:7441", Kind: KindPool, HeardUs: 200_000, Sightings: []Sighting{{ID: "i-2", FailingUs: 400_000, Cut: true}, {ID: "i-3", FailingUs: 1}}},
				{Name: "machine-5", Node: "10.1.0.10:7441", Kind: KindPool, HeardUs: 8_000_000, Leaving: true}},
		}}
	pool := State{Name: "machine-4", Kind: KindPool, Zone: "cluj", Node: "10.1.0.9:7441", UpUs: 400_000, LeaseLeftUs: -20, Table: control.Table,
		Voters: control.Voters[:1],
		Pool: &Pool{Nodes: 11, Sessions: 30, Connections: 4, Running: 2, Waiting: 1, Open: 1, Ended: Results([ports.Unknown + 1]int64{ports.Done: 900, ports.Lagging: 2, ports.InDoubt: 1}),
			Held: 3, Again: 4, Groups: []PoolGroup{{Group: "stock", Revision: 4, Term: 3, Primary: "i-1", Phase: "open", SureUs: 900_000, Waiting: 1, Acked: ports.Position{Term: 3, Number: 41}, Master: 42,
				Databases: []PoolDatabase{{ID: "i-1", Conns: 3, Most: 5, Idle: 1, Running: 2, Slots: 4, Open: 1, FailingUs: Never, Level: Never, Named: ports.Position{Term: 3, Number: 42}},
					{ID: "i-2", Conns: 1, Most: 5, Slots: 2.5, Waiting: 1, FailingUs: 400_000, Level: 40, Named: ports.Position{Term: 3, Number: 40}}}}}}}
	return []Reply{{At: "10.1.0.8:7442", State: control}, {At: "10.3.0.7:7442", Err: errors.New("silent")}, {At: "10.1.0.9:7443", State: pool}}
}

func TestTables(t *testing.T) {
	rs := sample()
	for name, write := range map[string]func(io.Writer) error{
		"status":    func(w io.Writer) error { return WriteStatus(w, rs) },
		"databases": func(w io.Writer) error { return WriteDatabases(w, rs) },
		"voters":    func(w io.Writer) error { return WriteVoters(w, rs) },
		"leaders":   func(w io.Writer) error { return WriteLeaders(w, rs) },
		"nodes": func(w io.Writer) error {
			return WriteNodes(w, rs[0].State, map[string]State{rs[2].State.Node: rs[2].State})
		},
		"table": func(w io.Writer) error { return WriteTable(w, rs[0].State) },
	} {
		var b bytes.Buffer
		if err := write(&b); err != nil {
			t.Error(err)
		}
		goldie.New(t).Assert(t, name, b.Bytes())
	}
}

func TestAskingAll(t *testing.T) {
	told := sample()[0].State
	var whole []bool
	up := httptest.NewServer(Handler(func(_ context.Context, w bool) (State, bool) { whole = append(whole, w); return told, true }))
	defer up.Close()
	down := httptest.NewServer(Handler(func(context.Context, bool) (State, bool) { return State{}, false }))
	defer down.Close()
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "{}") }))
	defer other.Close()
	at := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	rs := AskAll(t.Context(), []string{at(down), at(up), at(other), "127.0.0.1:1"}, true)
	for i, ok := range []bool{false, true, false, false} {
		if (rs[i].Err == nil) != ok {
			t.Errorf("%d: %v", i, rs[i].Err)
		}
	}
	if s, err := FirstControl(rs); err != nil || s.Name != told.Name || s.Control.Leaders[0].Cause != "i-0 went dark" || len(s.Table.Routes) != 1 {
		t.Errorf("%v %+v", err, s)
	}
	if _, err := FirstControl(rs[2:]); err == nil {
		t.Error("nobody is a control process there")
	}
	if Ask(t.Context(), at(up), false); len(whole) != 2 || !whole[0] || whole[1] {
		t.Error(whole)
	}
	for _, c := range []struct {
		method, path string
		want         int
	}{{http.MethodPost, Path, http.StatusMethodNotAllowed}, {http.MethodGet, "/", http.StatusNotFound}} {
		r, err := http.NewRequest(c.method, up.URL+c.path, nil)
		if err != nil {
			t.Fatal(err)
		}
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode != c.want {
			t.Errorf("%s %s: %d", c.method, c.path, res.StatusCode)
		}
	}
}

func TestEachResultHasAName(t *testing.T) {
	var ended [ports.Unknown + 1]int64
	for i := range ended {
		ended[i] = 1
	}
	if m := Results(ended); len(m) != len(ended) || m[""] != 0 {
		t.Error(m)
	}
}
