package simulation

import (
	"maps"
	"slices"
	"strings"

	"stoneford/emulator/databasereplica"
	"stoneford/internal/pool"
	"stoneford/internal/querytable"
	"stoneford/schema"
)

type nodeProcess struct {
	fleet           *Fleet
	boot            *schema.Boot
	core            *pool.Core
	tables          map[string]*querytable.Table
	routes          map[string]pool.Route
	waiters         map[uint64]func(querytable.Reply)
	wanted          map[string]querytable.Desired
	drainingSinceUs map[string]int64 // by address: when leaving was learned
	run             uint64
	draining        bool
	processState
}

func (f *Fleet) startNode(n *nodeProcess) {
	n.begin()
	n.lastFaultUs = f.Now
	n.run = f.runNumber()
	n.core = pool.NewCore(n.boot, n.run)
	n.tables, n.routes = map[string]*querytable.Table{}, map[string]pool.Route{}
	n.waiters, n.wanted, n.drainingSinceUs = map[uint64]func(querytable.Reply){}, map[string]querytable.Desired{}, map[string]int64{}
	f.ticks(&n.processState, f.Plan.StepIntervalUs, func() {
		var events []pool.Event
		for _, k := range slices.Sorted(maps.Keys(n.tables)) {
			f.stepTable(n, k, querytable.Tick{})
			_, _, in := n.tables[k].Gauges()
			events = append(events, pool.TableReport{Group: k, Views: n.tables[k].Views(f.Now), InUse: in})
		}
		f.stepNode(n, events...)
		f.checkLeases()
	})
}

func (f *Fleet) toNode(n *nodeProcess, gen int, do func()) { f.enter(&n.processState, gen, do) }

func (f *Fleet) stepNode(n *nodeProcess, events ...pool.Event) {
	effects := n.core.Step(f.Now, events...)
	for _, s := range effects.Send {
		f.Network.Send(n.boot.Listen, s)
	}
	for _, d := range effects.Do {
		switch d := d.(type) {
		case pool.SetDesired:
			w := d.Desired
			w.Selection, w.PositionOnly = f.Plan.Choice, f.Plan.Position
			if n.tables[d.Group] == nil {
				n.tables[d.Group] = querytable.New(f.Random.Uint64())
			}
			n.wanted[d.Group] = w
			f.stepTable(n, d.Group, querytable.SetDesired{Desired: w})
		case pool.SetRoutes:
			n.routes = d.Routes
		case pool.DecisionsRequest:
			if t := n.tables[d.Group]; t != nil {
				for _, e := range t.Step(f.Now, querytable.DecisionsRequest{Name: d.Query}) {
					if e, ok := e.(querytable.Decisions); ok {
						f.stepNode(n, pool.Decisions{Request: d, Group: d.Group, AtUs: f.Now, Decisions: e.Decisions})
					}
				}
			}
		case pool.LogEntry:
			f.logf("%s %d %s", n.boot.Name, d.Code, d.Text)
		}
	}
	for k, r := range n.core.AppliedRevisions() {
		id := n.boot.Name + " " + k
		if r < f.applied[id] {
			f.Violation("%s went back from revision %d to %d of %s", n.boot.Name, f.applied[id], r, k)
		}
		f.applied[id] = r
	}
}

// checkLeases: what all nodes together may open never passes the limit.
func (f *Fleet) checkLeases() {
	sum := map[string]int{}
	for _, n := range f.Nodes {
		if !n.up || n.frozen {
			continue
		}
		for _, w := range n.wanted {
			for _, m := range w.Members {
				if f.Now < m.LeaseUntilUs {
					sum[m.Name] += m.Leased
				}
			}
		}
	}
	for db, s := range sum {
		if l := int(f.Configuration.Databases[db].Connections); s > l {
			f.Violation("nodes are permitted %d connections to %s, the limit is %d", s, db, l)
		}
	}
}

func (f *Fleet) stepTable(n *nodeProcess, group string, events ...querytable.Event) {
	t := n.tables[group]
	for _, e := range t.Step(f.Now, events...) {
		f.observeTable(n, group, e)
		switch e := e.(type) {
		case querytable.Reply:
			if w := n.waiters[e.ID]; w != nil {
				delete(n.waiters, e.ID)
				w(e)
			}
		case querytable.OpenConnection:
			f.openConnection(n, group, e)
		case querytable.CloseConnection:
			f.call(n.boot.Listen, e.Address, 1_000_000, func(db *Database, reply func(any)) { db.state.Close(e.ID); reply(nil) }, func(any, bool) {})
		case querytable.Run:
			f.run(n, group, e)
		case querytable.Poll:
			f.poll(n, group, e)
		case querytable.LogEntry:
			f.logf("%s %d %s", n.boot.Name, e.Code, e.Text)
		}
	}
}

func (f *Fleet) returnNearest(n *nodeProcess, gen int, group string, e querytable.Event) {
	f.toNode(n, gen, func() {
		if n.tables[group] != nil {
			f.stepTable(n, group, e)
		}
	})
}

func (f *Fleet) openConnection(n *nodeProcess, group string, e querytable.OpenConnection) {
	gen, run := n.generation, n.run
	f.call(n.boot.Listen, e.Address, 1_000_000, func(db *Database, reply func(any)) {
		id, ok := db.state.Open(n.boot.Name, run, f.Now)
		if !ok {
			f.Oracle.RefusedConnections++
			reply("limit")
			return
		}
		reply(id)
	}, func(v any, _ bool) {
		o := querytable.ConnectionOpened{Connection: e.Connection, Address: e.Address, Err: "no connection"}
		if id, ok := v.(int64); ok {
			o.ID, o.Err = id, ""
		}
		f.returnNearest(n, gen, group, o)
	})
}

func (f *Fleet) run(n *nodeProcess, group string, e querytable.Run) {
	gen, until := n.generation, e.UntilUs-f.Now
	if f.Plan.Mutation == NotExecutedClaimed {
		until = 500_000
	}
	ops := make([]databasereplica.Operation, len(e.Ops))
	for i, o := range e.Ops {
		ops[i] = databasereplica.Operation(o)
	}
	f.call(n.boot.Listen, e.Address, until, func(db *Database, reply func(any)) {
		if at, ok := n.drainingSinceUs[db.address]; ok && f.Now-at > 7_000_000 && db.state.Draining {
			f.Violation("%s sent a query to %s %d us after it learned that it leaves", n.boot.Name, db.name, f.Now-at)
		}
		db.work(func() {
			had := db.state.Received()
			rs, ref := db.state.Run(e.ID, e.Epoch, f.mutateEffects(db, ops), e.ReadOnly, f.Now)
			if f.Plan.Mutation == WriteTwice && !e.ReadOnly && f.Chance(0.05) {
				db.state.Run(e.ID, e.Epoch, ops, e.ReadOnly, f.Now)
			}
			if db.state.Received() > had {
				db.changed()
			}
			if db.lostResponses > 0 {
				db.lostResponses--
				return
			}
			reply(databasereplica.RunResponse{Refused: ref, Results: rs, Epoch: db.state.Epoch, Applied: db.state.Applied(), AtUs: f.Now})
		})
	}, func(v any, left bool) {
		r := querytable.RunEnded{Run: e.Run, MaybeSent: left && f.Plan.Mutation != NotExecutedClaimed}
		if v, ok := v.(databasereplica.RunResponse); ok {
			r.Rejected, r.Epoch, r.Applied = v.Refused, v.Epoch, v.Applied
			if f.Plan.Mutation == ClaimedApplied {
				r.Applied = 1 << 40
			}
			for _, s := range v.Results {
				r.Results = append(r.Results, querytable.Result(s))
			}
		} else {
			r.Err = "no return"
		}
		f.returnNearest(n, gen, group, r)
	})
}

// mutateEffects is what a database is sent in the place of some ops.
func (f *Fleet) mutateEffects(db *Database, ops []databasereplica.Operation) []databasereplica.Operation {
	ops = slices.Clone(ops)
	for i := range ops {
		o := &ops[i]
		switch {
		case f.Plan.Mutation == ChangedText && strings.HasPrefix(o.Text, "add ledger") && f.Chance(0.05):
			o.Text = strings.Replace(o.Text, "add ledger ", "add ledger x", 1)
		case f.Plan.Mutation == ForeignPrepared && o.Op == "prepare":
			if db.prepared == "" {
				db.prepared = o.Text
			}
			o.Text = db.prepared
		}
	}
	if f.Plan.Mutation == TornSession {
		ops = slices.DeleteFunc(ops, func(o databasereplica.Operation) bool { return o.Op == "reset" })
	}
	return ops
}

func (f *Fleet) poll(n *nodeProcess, group string, e querytable.Poll) {
	gen := n.generation
	f.call(n.boot.Listen, e.Address, e.WaitUs+500_000, func(db *Database, reply func(any)) {
		db.wait(e.Received, e.Applied, e.WaitUs, func() { reply(db.state.Status()) })
	}, func(v any, _ bool) {
		p := querytable.PollEnded{Poll: e.Poll}
		if s, ok := v.(databasereplica.Status); ok {
			p.Status = querytable.Status{Identity: s.Identity, Role: s.Role, Epoch: s.Epoch, LogEpoch: s.LogEpoch, Received: s.Received, Applied: s.Applied, Draining: s.Draining}
			switch {
			case f.Plan.Mutation == AckBeforeMajority && s.Role == "replica":
				p.Status.Received += 1000
			case f.Plan.Mutation == SkippedEntry && s.Role == "primary":
				p.Status.Received = max(0, s.Received-3)
			case f.Plan.Mutation == ClaimedApplied && s.Role == "replica":
				p.Status.Applied = s.Received
			}
			if f.Plan.Mutation == UnmeantPromotion {
				for _, m := range n.wanted[group].Members {
					if m.Address == e.Address {
						p.Status.Identity = m.Identity
					}
				}
			}
			if f.Plan.Mutation == UnheardDraining {
				p.Status.Draining = false
			}
			if s.Draining && n.drainingSinceUs[e.Address] == 0 {
				n.drainingSinceUs[e.Address] = f.Now
			} else if !s.Draining {
				delete(n.drainingSinceUs, e.Address)
			}
		} else {
			p.Err = "no return"
		}
		f.returnNearest(n, gen, group, p)
	})
}

// HasLease says whether a node may use connections to every group's primary now.
func (f *Fleet) HasLease(i int) bool {
	n := f.Nodes[i]
	for _, g := range f.Plan.Groups {
		w := n.wanted[f.owner[g]+"/"+g]
		if !slices.ContainsFunc(w.Members, func(m querytable.Member) bool { return m.Name == w.Primary && m.Leased > 0 && f.Now < m.LeaseUntilUs }) {
			return false
		}
	}
	return true
}
