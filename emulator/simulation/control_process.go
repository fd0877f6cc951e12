package simulation

import (
	"slices"
	"strings"

	"stoneford/emulator/databasereplica"
	"stoneford/failover/sealed"
	"stoneford/internal/control"
	"stoneford/internal/pool"
	"stoneford/maintenance"
	"stoneford/schema"
)

type controlProcess struct {
	boot     *schema.Boot
	core     *control.Core
	disk     []*schema.WALEntry
	unsynced []*schema.WALEntry
	syncUs   int64 // a sync of the disk takes so long
	draining bool
	processState
}

func (f *Fleet) startControl(c *controlProcess) {
	c.begin()
	c.unsynced, c.syncUs, c.draining = nil, 0, false
	c.core = control.NewCore(c.boot, f.runNumber(), f.Random.Uint64()|1)
	for _, l := range c.disk {
		c.core.Restore(l)
	}
	f.ticks(&c.processState, 20_000, func() { f.stepControl(c, control.WallClock{UnixMicro: f.Now}) })
}

func (f *Fleet) stepControl(c *controlProcess, events ...control.Event) {
	effects := c.core.Step(f.Now, events...)
	if c.syncUs == 0 || len(effects.Log) == 0 {
		f.afterSync(c, effects)
		return
	}
	// Nothing leaves before the sync has ended, and no other step begins.
	took := f.Between(c.syncUs/2, c.syncUs*3/2)
	c.freeAtUs, c.unsynced = f.Now+took, effects.Log
	gen := c.generation
	var end func()
	end = func() {
		switch {
		case !c.up || c.generation != gen:
		case c.frozen:
			c.pending = append(c.pending, end)
		default:
			c.unsynced = nil
			f.afterSync(c, effects)
		}
	}
	f.After(took, end)
}

// afterSync keeps what a step logged and does what it asked for.
func (f *Fleet) afterSync(c *controlProcess, effects control.Effects) {
	c.disk = append(c.disk, effects.Log...)
	if len(c.disk) > 300 {
		c.disk = []*schema.WALEntry{c.core.Snapshot()}
	}
	for _, s := range effects.Send {
		f.Network.Send(c.boot.Listen, s)
	}
	for _, d := range effects.Do {
		f.observeControl(c, d)
		switch d := d.(type) {
		case control.ConfigurationResult:
			if r := f.pendingReturns[d.ID]; r != nil {
				delete(f.pendingReturns, d.ID)
				r(d)
			}
		case control.DatabaseCall:
			f.callDatabase(c, d)
		case control.FailoverRequest:
			f.platform(d)
		case control.CommandResult:
			if r := f.pendingNotifications[d.ID]; r != nil {
				delete(f.pendingNotifications, d.ID)
				r(d)
			}
		case control.ReplaceDatabase:
			f.After(f.Between(500, f.MaxPlatformUs), func() {
				if f.Chance(f.PlatformFailureProbability) {
					return
				}
				if o := f.Databases[d.Database]; o.state.Identity == d.Identity {
					f.LoseDatabase(d.Database)
				}
			})
		case control.StopMachine:
			for i, n := range f.Nodes {
				if n.boot.Name == d.Machine {
					f.After(f.Between(500, f.MaxPlatformUs), func() {
						if !f.Chance(f.PlatformFailureProbability) {
							f.StopNode(i)
						}
					})
				}
			}
		case control.LogEntry:
			f.logf("%s %d %s", c.boot.Name, d.Code, d.Text)
		}
	}
}

// replaceUnrequested has the platform replace what a booking drains, if that is planted.
func (f *Fleet) replaceUnrequested() {
	for _, b := range f.Calendar().Windows {
		n := strings.TrimPrefix(b.Target, b.Owner+"/")
		if b.State == maintenance.Draining && f.Databases[n] != nil && f.Databases[n].state.Identity == b.Identity {
			f.LoseDatabase(n)
		}
	}
	f.After(100_000, f.replaceUnrequested)
}

// toControl hands an event to a control process, later where it is frozen or
// slow.
func (f *Fleet) toControl(c *controlProcess, gen int, e control.Event) {
	f.enter(&c.processState, gen, func() { f.stepControl(c, e) })
}

// Operate puts an operator's event to a control process; done is called unless
// the process dies first.
func (f *Fleet) Operate(c *controlProcess, e func(id uint64) control.Event, done func(control.ConfigurationResult)) {
	f.lastID++
	id := f.lastID
	f.pendingReturns[id] = done
	f.toControl(c, c.generation, e(id))
}

// RunOperatorCommand has a partner type a sentence at a control process.
func (f *Fleet) RunOperatorCommand(c *controlProcess, who, text string, done func(control.CommandResult)) {
	f.lastID++
	id := f.lastID
	f.pendingNotifications[id] = done
	f.toControl(c, c.generation, control.Command{ID: id, Partner: who, Text: text})
}

func (f *Fleet) callDatabase(c *controlProcess, d control.DatabaseCall) {
	gen := c.generation
	back := func(err bool, s databasereplica.Status) {
		f.toControl(c, gen, control.DatabaseReply{Group: d.Group, ID: d.ID, Failed: err, Status: sealed.Status{Identity: s.Identity, Role: s.Role,
			Epoch: s.Epoch, LogEpoch: s.LogEpoch, Received: s.Received, Applied: s.Applied, Following: s.Following, Draining: s.Draining}})
	}
	f.call(c.boot.Listen, d.Address, 500_000, func(db *Database, reply func(any)) {
		if d.SealEpoch > 0 && f.Plan.Mutation == UnsealedTakeover {
			s := db.state.Status()
			s.Epoch, s.Role = d.SealEpoch, "sealed"
			reply(s)
			return
		}
		if d.SealEpoch > 0 {
			db.state.Seal(d.SealEpoch)
			db.changed()
		}
		reply(db.state.Status())
	}, func(v any, _ bool) {
		if s, ok := v.(databasereplica.Status); ok {
			back(false, s)
		} else {
			back(true, databasereplica.Status{})
		}
	})
}

// platform carries a takeover out as the stand-in does.
func (f *Fleet) platform(d control.FailoverRequest) {
	f.After(f.Between(500, f.MaxPlatformUs), func() {
		if f.Chance(f.PlatformFailureProbability) || d.Epoch < f.platformEpochs[d.Group] || d.Epoch == f.platformEpochs[d.Group] && f.platformTargets[d.Group] != d.Target {
			return
		}
		f.platformEpochs[d.Group], f.platformTargets[d.Group] = d.Epoch, d.Target
		t := f.Databases[d.Target]
		if t == nil || !t.responds() {
			return
		}
		if f.Plan.Mutation == UnmeantPromotion {
			d.Identity = ""
		}
		if !t.state.Promote(d.Epoch, d.Identity, f.Now) {
			return
		}
		t.changed()
		for _, m := range d.Members {
			if o := f.Databases[m.Name]; o != nil && m.Name != d.Target && o.responds() {
				o.state.Follow(d.Epoch, t.address)
				o.changed()
			}
		}
	})
}

func (f *Fleet) receive(to string, e *schema.Envelope) {
	switch f.Plan.Mutation {
	case LateUpdates:
		if e.GetRegisterUpdate() != nil && f.Now > 3_400_000 {
			f.After(4_000_000, func() { f.arrive(to, e) })
			return
		}
	case SlippingBack:
		f.mutateOldRevision(to, e)
	}
	f.arrive(to, e)
}

// mutateOldRevision has a node that started lately be told the first revision there was of
// each configuration, by news and by voters.
func (f *Fleet) mutateOldRevision(to string, e *schema.Envelope) {
	young := slices.ContainsFunc(f.Nodes, func(n *nodeProcess) bool {
		return n.boot.Listen == to && n.generation > 1 && f.Now-int64(n.run) < 2_000_000
	})
	old := func(key string, v *schema.Value) *schema.Value {
		if !strings.HasPrefix(key, control.ConfigurationKeyPrefix) || v == nil {
			return v
		}
		if f.firstConfigurations[key] == nil {
			f.firstConfigurations[key] = v
		}
		if young {
			return f.firstConfigurations[key]
		}
		return v
	}
	for _, r := range e.GetRegisterUpdate().GetRegisters() {
		r.Value = old(r.Key, r.Value)
	}
	if p := e.GetPromise(); p != nil {
		p.Value = old(p.Key, p.Value)
	}
}

func (f *Fleet) arrive(to string, e *schema.Envelope) {
	for _, c := range f.Controls {
		if c.boot.Listen == to {
			f.toControl(c, c.generation, control.Received{Envelope: e})
			return
		}
	}
	for _, n := range f.Nodes {
		if n.boot.Listen == to {
			f.toNode(n, n.generation, func() { f.stepNode(n, pool.Received{Envelope: e}) })
			return
		}
	}
}

// PutConfiguration sends all partners' configurations until they are accepted.
func (f *Fleet) PutConfiguration(done func()) {
	for _, p := range f.Partners() {
		f.putConfiguration(p, done)
	}
}

func (f *Fleet) putConfiguration(partner string, done func()) {
	b := f.texts[partner]
	var try func()
	try = func() {
		c := f.Controls[f.Random.IntN(3)]
		if !c.up {
			f.After(200_000, try)
			return
		}
		f.Operate(c, func(id uint64) control.Event { return control.PutConfiguration{ID: id, Partner: partner, Text: b} }, func(r control.ConfigurationResult) {
			if r.Revision == 0 {
				f.After(200_000, try)
				return
			}
			f.Oracle.configured(partner, r)
			if done != nil {
				done()
			}
		})
	}
	try()
}
