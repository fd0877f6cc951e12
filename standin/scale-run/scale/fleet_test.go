package scale

import (
	"context"
	"testing"
	"time"

	"stoneford/ports"
)

type direct struct{ d *Databases }

func (a direct) Do(id string, k ports.Kind, term uint64) (ports.DatabaseStatus, ports.Code, error) {
	st, code := a.d.Do(id, k, term)
	return st, code, nil
}

func (a direct) Promote(group, id string) (int, error) { return a.d.Promote(group, id), nil }

// until polls, without a bound of its own.
func until(t *testing.T, what string, f func() bool) {
	t.Helper()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !f() {
		select {
		case <-tick.C:
		case <-t.Context().Done():
			t.Fatal(what)
		}
	}
}

func fleet(t *testing.T) {
	Port = 26440 // beside a run under way
	const controls, nodes = 3, 4
	s := ShapeOf(nodes)
	dbs := NewDatabases(s, "127.0.0.1:1")
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, controls)
	var cs []*Control
	for i := range controls {
		c := NewControl(Boot("control", ControlIP(i), i, controls, t.TempDir()), direct{dbs})
		cs = append(cs, c)
		up := make(chan struct{})
		go func() { ended <- c.Run(ctx, up) }()
		<-up
	}
	defer func() {
		stop()
		for range controls {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
	}()
	table := s.Table(1)
	until(t, "no table", func() bool {
		r, err := cs[0].Change(ctx, ports.TableChange{Whole: true, Revision: 1, Name: "first", Routes: table.Routes, Groups: table.Groups})
		return err == nil && r.Outcome == ports.Agreed
	})
	for _, c := range cs {
		c.Announce(dbs.Announcements(0, 1))
	}
	until(t, "groups were not founded", func() bool {
		k, err := cs[1].Known(ctx, s)
		return err == nil && k.Open == s.Groups && k.Members == s.Groups
	})
	h := NewHollow(0, nodes, controls)
	if err := h.Start(0, nodes); err != nil {
		t.Fatal(err)
	}
	defer h.Stop()
	until(t, "nodes did not become ready", func() bool { return h.Ready().Count == nodes && h.InForce(1).Count == nodes })
	if rev, ok := cs[2].Fetch(ctx); !ok || rev != 1 {
		t.Error(rev, ok)
	}
	g := GroupName(0)
	old, term, _ := dbs.Primary(g)
	h.Watch(g, term)
	dbs.SetLeaving(old, true)
	until(t, "the primary was not changed", func() bool {
		for _, c := range cs {
			c.Announce(dbs.Announcements(0, 1))
		}
		return h.Opened().Count == nodes
	})
	if id, now, _ := dbs.Primary(g); id == old || now != term+1 {
		t.Errorf("%s leads term %d", id, now)
	}
	if m := h.Sealed(); m.Count != nodes || m.First > h.Opened().First {
		t.Errorf("%+v", m)
	}
	if h.Heard(0, 0).Count != nodes || h.Heard(0, NowUs()).Count != 0 {
		t.Error("nodes did not hear a control process")
	}
	in, out := h.Traffic.Counts()
	if in["look return"].Envelopes == 0 || in["news"].Bytes == 0 || out["look"].Bytes == 0 {
		t.Error(in, out)
	}
}
