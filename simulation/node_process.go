package simulation

import (
	"maps"
	"slices"
	"strings"

	"stoneford/pool"
	"stoneford/querytable"
	"stoneford/schema"
	"stoneford/standin/databasecopy"
)

type nodeProc struct {
	f       *Fleet
	boot    *schema.Boot
	core    *pool.Core
	tables  map[string]*querytable.Table
	routes  map[string]pool.Route
	waiters map[uint64]func(querytable.Return)
	wanted  map[string]querytable.Wanted
	leftAt  map[string]int64 // by address: when leaving was learned
	run     uint64
	leaving bool
	life
}

func (f *Fleet) startNode(n *nodeProc) {
	n.begin()
	n.trouble = f.Now
	n.run = f.runNumber()
	n.core = pool.NewCore(n.boot, n.run)
	n.tables, n.routes = map[string]*querytable.Table{}, map[string]pool.Route{}
	n.waiters, n.wanted, n.leftAt = map[uint64]func(querytable.Return){}, map[string]querytable.Wanted{}, map[string]int64{}
	f.ticks(&n.life, f.Plan.StepUs, func() {
		var said []any
		for _, k := range slices.Sorted(maps.Keys(n.tables)) {
			f.stepTable(n, k, querytable.Tick{})
			_, _, in := n.tables[k].Gauges()
			said = append(said, pool.TableSaid{Group: k, Views: n.tables[k].Views(f.Now), InUse: in})
		}
		f.stepNode(n, said...)
		f.checkLeases()
	})
}

func (f *Fleet) toNode(n *nodeProc, gen int, do func()) { f.enter(&n.life, gen, do) }

func (f *Fleet) stepNode(n *nodeProc, evs ...any) {
	fx := n.core.Step(f.Now, evs...)
	for _, s := range fx.Send {
		f.Net.Send(n.boot.Listen, s)
	}
	for _, d := range fx.Do {
		switch d := d.(type) {
		case pool.Want:
			w := d.Wanted
			w.Choice, w.Position = f.Plan.Choice, f.Plan.Position
			if n.tables[d.Group] == nil {
				n.tables[d.Group] = querytable.New(f.R.Uint64())
			}
			n.wanted[d.Group] = w
			f.stepTable(n, d.Group, querytable.Boot{Wanted: w})
		case pool.Routes:
			n.routes = d.Routes
		case pool.Why:
			if t := n.tables[d.Group]; t != nil {
				for _, e := range t.Step(f.Now, querytable.Why{Name: d.Query}) {
					if e, ok := e.(querytable.Decided); ok {
						f.stepNode(n, pool.Decided{Why: d, Group: d.Group, AtUs: f.Now, Decisions: e.Decisions})
					}
				}
			}
		case pool.Say:
			f.say("%s %d %s", n.boot.Name, d.Code, d.Text)
		}
	}
	for k, r := range n.core.InForce() {
		id := n.boot.Name + " " + k
		if r < f.applied[id] {
			f.Bad("%s went back from revision %d to %d of %s", n.boot.Name, f.applied[id], r, k)
		}
		f.applied[id] = r
	}
}

// checkLeases: what all nodes together may open never passes the limit.
func (f *Fleet) checkLeases() {
	sum := map[string]int{}
	for _, n := range f.Nodes {
		if !n.up || n.paused {
			continue
		}
		for _, w := range n.wanted {
			for _, m := range w.Members {
				if f.Now < m.UntilUs {
					sum[m.Name] += m.Leased
				}
			}
		}
	}
	for db, s := range sum {
		if l := int(f.Cf.Databases[db].Connections); s > l {
			f.Bad("nodes are permitted %d connections to %s, the limit is %d", s, db, l)
		}
	}
}

func (f *Fleet) stepTable(n *nodeProc, group string, evs ...any) {
	t := n.tables[group]
	for _, e := range t.Step(f.Now, evs...) {
		f.observeTable(n, group, e)
		switch e := e.(type) {
		case querytable.Return:
			if w := n.waiters[e.ID]; w != nil {
				delete(n.waiters, e.ID)
				w(e)
			}
		case querytable.OpenConnection:
			f.openConnection(n, group, e)
		case querytable.CloseConnection:
			f.call(n.boot.Listen, e.Address, 1_000_000, func(db *DB, reply func(any)) { db.c.Close(e.ID); reply(nil) }, func(any, bool) {})
		case querytable.Run:
			f.run(n, group, e)
		case querytable.Poll:
			f.poll(n, group, e)
		case querytable.Say:
			f.say("%s %d %s", n.boot.Name, e.Code, e.Text)
		}
	}
}

func (f *Fleet) back(n *nodeProc, gen int, group string, e any) {
	f.toNode(n, gen, func() {
		if n.tables[group] != nil {
			f.stepTable(n, group, e)
		}
	})
}

func (f *Fleet) openConnection(n *nodeProc, group string, e querytable.OpenConnection) {
	gen, run := n.gen, n.run
	f.call(n.boot.Listen, e.Address, 1_000_000, func(db *DB, reply func(any)) {
		id, ok := db.c.Open(n.boot.Name, run, f.Now)
		if !ok {
			f.Truth.RefusedConnections++
			reply("limit")
			return
		}
		reply(id)
	}, func(v any, _ bool) {
		o := querytable.Opened{Conn: e.Conn, Address: e.Address, Err: "no connection"}
		if id, ok := v.(int64); ok {
			o.ID, o.Err = id, ""
		}
		f.back(n, gen, group, o)
	})
}

func (f *Fleet) run(n *nodeProc, group string, e querytable.Run) {
	gen, until := n.gen, e.UntilUs-f.Now
	if f.Plan.Plant == NothingKeptSaid {
		until = 500_000
	}
	ops := make([]databasecopy.Op, len(e.Ops))
	for i, o := range e.Ops {
		ops[i] = databasecopy.Op(o)
	}
	f.call(n.boot.Listen, e.Address, until, func(db *DB, reply func(any)) {
		if at, ok := n.leftAt[db.addr]; ok && f.Now-at > 7_000_000 && db.c.Leaving {
			f.Bad("%s sent a query to %s %d us after it learned that it leaves", n.boot.Name, db.name, f.Now-at)
		}
		db.work(func() {
			had := db.c.Received()
			rs, ref := db.c.Run(e.ID, e.Epoch, f.planted(db, ops), e.ReadOnly, f.Now)
			if f.Plan.Plant == WriteTwice && !e.ReadOnly && f.Chance(0.05) {
				db.c.Run(e.ID, e.Epoch, ops, e.ReadOnly, f.Now)
			}
			if db.c.Received() > had {
				db.changed()
			}
			if db.lose > 0 {
				db.lose--
				return
			}
			reply(databasecopy.RunReturn{Refused: ref, Results: rs, Epoch: db.c.Epoch, Applied: db.c.Applied(), AtUs: f.Now})
		})
	}, func(v any, left bool) {
		r := querytable.Ran{Run: e.Run, Left: left && f.Plan.Plant != NothingKeptSaid}
		if v, ok := v.(databasecopy.RunReturn); ok {
			r.Refused, r.Epoch, r.Applied = v.Refused, v.Epoch, v.Applied
			if f.Plan.Plant == ClaimedApplied {
				r.Applied = 1 << 40
			}
			for _, s := range v.Results {
				r.Results = append(r.Results, querytable.Result(s))
			}
		} else {
			r.Err = "no return"
		}
		f.back(n, gen, group, r)
	})
}

// planted is what a database is sent in the place of some ops.
func (f *Fleet) planted(db *DB, ops []databasecopy.Op) []databasecopy.Op {
	ops = slices.Clone(ops)
	for i := range ops {
		o := &ops[i]
		switch {
		case f.Plan.Plant == ChangedText && strings.HasPrefix(o.Text, "add ledger") && f.Chance(0.05):
			o.Text = strings.Replace(o.Text, "add ledger ", "add ledger x", 1)
		case f.Plan.Plant == ForeignPrepared && o.Op == "prepare":
			if db.prepared == "" {
				db.prepared = o.Text
			}
			o.Text = db.prepared
		}
	}
	if f.Plan.Plant == TornSession {
		ops = slices.DeleteFunc(ops, func(o databasecopy.Op) bool { return o.Op == "reset" })
	}
	return ops
}

func (f *Fleet) poll(n *nodeProc, group string, e querytable.Poll) {
	gen := n.gen
	f.call(n.boot.Listen, e.Address, e.WaitUs+500_000, func(db *DB, reply func(any)) {
		db.wait(e.Received, e.Applied, e.WaitUs, func() { reply(db.c.Status()) })
	}, func(v any, _ bool) {
		p := querytable.Polled{Poll: e.Poll}
		if s, ok := v.(databasecopy.Status); ok {
			p.Status = querytable.Status{Identity: s.Identity, Role: s.Role, Epoch: s.Epoch, LogEpoch: s.LogEpoch, Received: s.Received, Applied: s.Applied, Leaving: s.Leaving}
			switch {
			case f.Plan.Plant == AckBeforeMajority && s.Role == "replica":
				p.Status.Received += 1000
			case f.Plan.Plant == SkippedEntry && s.Role == "primary":
				p.Status.Received = max(0, s.Received-3)
			case f.Plan.Plant == ClaimedApplied && s.Role == "replica":
				p.Status.Applied = s.Received
			}
			if f.Plan.Plant == UnmeantPromotion {
				for _, m := range n.wanted[group].Members {
					if m.Address == e.Address {
						p.Status.Identity = m.Identity
					}
				}
			}
			if f.Plan.Plant == UnheardLeaving {
				p.Status.Leaving = false
			}
			if s.Leaving && n.leftAt[e.Address] == 0 {
				n.leftAt[e.Address] = f.Now
			} else if !s.Leaving {
				delete(n.leftAt, e.Address)
			}
		} else {
			p.Err = "no return"
		}
		f.back(n, gen, group, p)
	})
}

// HoldsLease says whether a node may use connections to every group's primary now.
func (f *Fleet) HoldsLease(i int) bool {
	n := f.Nodes[i]
	for _, g := range f.Plan.Groups {
		w := n.wanted[f.owner[g]+"/"+g]
		if !slices.ContainsFunc(w.Members, func(m querytable.Member) bool { return m.Name == w.Primary && m.Leased > 0 && f.Now < m.UntilUs }) {
			return false
		}
	}
	return true
}
