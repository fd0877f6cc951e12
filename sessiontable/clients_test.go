package sessiontable

import (
	"fmt"
	"maps"
	"testing"

	"stoneford/ports"
)

// open has a new caller come.
func (w *world) open() {
	w.next++
	c := &client{session: w.next, host: w.routes[w.r.IntN(len(w.routes))].Host, values: map[string]string{}, prepared: map[string]shapeKey{}}
	w.byID[c.session] = c
	w.step(Opened{Session: c.session, Host: c.host})
}

func (w *world) route(host string) ports.Route {
	for _, r := range w.routes {
		if r.Host == host {
			return r
		}
	}
	return ports.Route{}
}

// ask has a caller send a statement.
func (w *world) ask(c *client, k ports.Kind, name, text string, writes bool) string {
	w.ids++
	id := fmt.Sprintf("s%d", w.ids)
	c.asked, c.kind, c.pend = id, k, nil
	tr := &truth{c: c, kind: k, tx: c.tx, at: w.now, values: maps.Clone(c.values), route: w.route(c.host), floor: c.floor}
	switch {
	case k == ports.Begin || k == ports.BeginRead:
		c.pend = func() { c.tx, c.txAt, c.writes, c.readOnly = id, tr.at, nil, k == ports.BeginRead }
	case c.tx != "":
		tr.at = c.txAt
		tr.floor = w.tr[c.tx].floor
	}
	switch k {
	case ports.SetValue:
		c.pend = func() { c.values[name] = text }
	case ports.Prepare:
		c.pend = func() { c.prepared[name] = shapeKey{writes, text} }
	case ports.Drop:
		c.pend = func() { delete(c.prepared, name) }
	case ports.Run:
		tr.shape = c.prepared[name]
	}
	w.tr[id] = tr
	if k == ports.Write || k == ports.Run && tr.shape.writes {
		c.writes = append(c.writes, id)
	}
	w.step(Asked{Session: c.session, St: ports.Statement{ID: id, Kind: k, Name: name, Text: text, Writes: writes}})
	return id
}

// next has a caller do something.
func (w *world) act(c *client) {
	if c.left || c.asked != "" {
		return
	}
	if w.odds(150) {
		c.left = true
		delete(w.byID, c.session)
		w.step(Left{Session: c.session})
		return
	}
	n := fmt.Sprintf("n%d", w.r.IntN(3))
	read := func() {
		switch {
		case w.odds(3) && c.prepared[n].text != "" && !c.prepared[n].writes:
			w.ask(c, ports.Run, n, "", false)
		default:
			w.ask(c, ports.Read, "", "k", false)
		}
	}
	write := func() {
		switch {
		case w.odds(3) && c.prepared[n].text != "" && c.prepared[n].writes:
			w.ask(c, ports.Run, n, "", false)
		default:
			w.ask(c, ports.Write, "", "k", false)
		}
	}
	if c.state == ports.Broken {
		w.ask(c, []ports.Kind{ports.Rollback, ports.Commit, ports.Read}[w.r.IntN(3)], "", "", false)
		return
	}
	switch w.r.IntN(12) {
	case 0:
		w.ask(c, ports.SetValue, n, fmt.Sprintf("v%d", w.r.IntN(3)), false)
		return
	case 1:
		w.ask(c, ports.Prepare, n, fmt.Sprintf("q%d", w.r.IntN(4)), w.odds(2))
		return
	}
	if c.tx != "" {
		switch w.r.IntN(6) {
		case 0:
			w.ask(c, ports.Commit, "", "", false)
		case 1:
			if w.odds(3) {
				w.ask(c, ports.Rollback, "", "", false)
			} else {
				w.ask(c, ports.Commit, "", "", false)
			}
		case 2, 3:
			if !c.readOnly {
				write()
				return
			}
			read()
		default:
			read()
		}
		return
	}
	switch w.r.IntN(8) {
	case 0, 1:
		w.ask(c, ports.Begin, "", "", false)
	case 2:
		w.ask(c, ports.BeginRead, "", "", false)
	case 3, 4:
		write()
	default:
		read()
	}
}

// reply holds what a caller is told to what is known of the databases.
func (w *world) reply(e Reply) {
	c := w.byID[e.Session]
	if c == nil {
		w.fatal("a reply to session %d, which is none: %+v", e.Session, e)
	}
	if e.Close {
		defer func() {
			c.left = true
			delete(w.byID, e.Session)
		}()
	}
	again := func() { w.after(w.between(500, 60_000), func() { w.act(c) }) }
	if c.asked == "" {
		c.state = ports.Idle
		again()
		return
	}
	id := c.asked
	c.asked = ""
	tr := w.tr[id]
	tr.told, tr.code = true, e.Code
	w.codes[e.Code]++
	w.note("session %d: %s kind %d ends %d state %d %s", e.Session, id, tr.kind, e.Code, e.State, e.Text)
	if tr.route.ExpiryUs > 0 && w.now > tr.at+tr.route.ExpiryUs+1 && tr.tx == "" {
		w.fatal("%s ends past its expiry", id)
	}
	was := c.state
	c.state = e.State
	if e.Code == ports.Done && c.pend != nil {
		c.pend()
	}
	wrote := tr.kind == ports.Write || tr.kind == ports.Run && tr.shape.writes
	if tr.tx == "" && wrote || tr.kind == ports.Commit {
		ids := c.writes
		c.writes = nil
		for _, x := range ids {
			switch ran := w.tr[x].ran; {
			case e.Code == ports.Done && ran != 1:
				w.fatal("%s is told done and took effect %d times", x, ran)
			case e.Code.Promise() && ran != 0:
				w.fatal("%s is told that nothing is kept, and it is", x)
			case e.Code.Promise():
				w.tr[x].void = true
			}
		}
		if e.Code == ports.Done && len(ids) > 0 {
			pos := w.posOf(ids[0])
			w.acked(pos)
			if c.floor.Before(pos) {
				c.floor = pos
			}
		}
	}
	if tr.tx != "" && tr.kind != ports.Commit && tr.kind != ports.Rollback && e.Code != ports.Done {
		if e.State != ports.Broken {
			w.fatal("%s failed inside a transaction and the state is %d", id, e.State)
		}
		if e.Code.Promise() {
			for _, x := range c.writes {
				w.tr[x].void = true
			}
		}
	}
	if e.State == ports.Idle && tr.tx != "" {
		c.tx, c.writes = "", nil
	}
	if tr.tx == "" && e.State != ports.Idle && tr.kind != ports.Begin && tr.kind != ports.BeginRead || was == ports.Broken && e.Code == ports.Done && e.State != ports.Idle {
		w.fatal("%s leaves state %d behind %d", id, e.State, was)
	}
	if tr.tx == "" {
		if wrote {
			c.writes = nil
		}
	}
	again()
}

func (w *world) posOf(id string) ports.Position {
	for _, d := range w.dbs {
		for i := len(d.log) - 1; i >= 0; i-- {
			for _, x := range d.log[i].ids {
				if x == id {
					return d.log[i].pos
				}
			}
		}
	}
	w.fatal("%s was told done and stands in no log", id)
	return ports.Position{}
}

// start brings a world up.
func (w *world) start(callers int) {
	w.step(View{Table: &ports.RoutingTable{Revision: 1, Routes: w.routes, Groups: []ports.Group{{Name: "g", ConnLimit: 65, Sync: 1}}, Limits: ports.Limits{TxIdleUs: 3_000_000}}})
	w.look()
	w.after(50_000, func() {
		w.looks()
		if !w.p.alone {
			w.others()
		}
	})
	for range callers {
		w.after(w.between(60_000, 400_000), w.open)
	}
	w.after(1_000_000, func() { w.refill(callers) })
}

func (w *world) refill(n int) {
	if w.stopAt == 0 {
		for range n - len(w.byID) {
			w.open()
		}
	}
	w.after(200_000, func() { w.refill(n) })
}

// trouble plays what the plan allows.
func (w *world) trouble() {
	w.after(w.between(200_000, 1_500_000), w.trouble)
	var can []func()
	add := func(yes bool, f func()) {
		if yes {
			can = append(can, f)
		}
	}
	add(w.p.crash, func() { w.dbs[w.r.IntN(3)].crash() })
	add(w.p.changes, func() {
		for _, d := range w.dbs {
			if !d.alive {
				return
			}
		}
		w.change(false)
	})
	add(w.p.cut, func() {
		d := w.dbs[w.r.IntN(3)]
		for _, c := range sorted(d.conns) {
			if w.odds(2) {
				c.cutNow()
			}
		}
	})
	add(w.p.cutOff, func() {
		w.cut = true
		w.after(w.between(100_000, 1_200_000), func() { w.cut = false })
	})
	add(w.p.leave, func() {
		d := w.dbs[w.r.IntN(3)]
		d.leaving, d.call = !d.leaving, d.call+1
	})
	add(true, func() { d := w.dbs[w.r.IntN(3)]; d.lag = w.between(1_000, 1_500_000) })
	can[w.r.IntN(len(can))]()
}

func sorted(m map[uint64]*fakeConn) (l []*fakeConn) {
	for id := range uint64(100_000) {
		if c := m[id]; c != nil {
			l = append(l, c)
			if len(l) == len(m) {
				break
			}
		}
	}
	return l
}

// TestWorlds drives random callers against databases that fail in every way
// there is, and holds what callers are told to what the databases did.
func TestWorlds(t *testing.T) {
	plans := []struct {
		name string
		p    plan
	}{
		{"quiet", plan{forgets: true, brokenBegin: true}},
		{"alone", plan{alone: true, brokenBegin: true}},
		{"busy", plan{busy: true, brokenBegin: true}},
		{"lost", plan{lose: true, cut: true, silent: true, brokenBegin: true}},
		{"crash", plan{crash: true, brokenBegin: true}},
		{"changes", plan{changes: true, brokenBegin: true}},
		{"cut off", plan{changes: true, cutOff: true, brokenBegin: true}},
		{"all", plan{busy: true, lose: true, cut: true, silent: true, crash: true, changes: true, leave: true, cutOff: true, brokenBegin: true}},
		{"all, apart", plan{busy: true, lose: true, cut: true, silent: true, crash: true, changes: true, leave: true, cutOff: true, apart: true}},
	}
	seeds := uint64(20)
	if testing.Short() {
		seeds = 2
	}
	for _, p := range plans {
		t.Run(p.name, func(t *testing.T) {
			total := map[ports.Code]int{}
			follow := 0
			for seed := range seeds {
				w := newWorld(t, seed, p.p)
				w.start(25)
				w.after(600_000, w.trouble)
				w.runUntil(7_000_000)
				for c, n := range w.codes {
					total[c] += n
				}
				follow += w.follow
			}
			if total[ports.Done] == 0 || follow == 0 {
				t.Fatalf("ended %v, %d at followers", total, follow)
			}
			t.Logf("ended %v, %d at followers", total, follow)
		})
	}
}
