package simulation

import (
	"slices"
	"strings"

	"stoneford/bookings"
	"stoneford/control"
	"stoneford/schema"
	"stoneford/standin/databasecopy"
	"stoneford/takeover"
)

type controlProc struct {
	boot     *schema.Boot
	core     *control.Core
	disk     []*schema.VoterLog
	unsynced []*schema.VoterLog
	syncUs   int64 // a sync of the disk takes so long
	leaving  bool
	life
}

func (f *Fleet) startControl(c *controlProc) {
	c.begin()
	c.unsynced, c.syncUs, c.leaving = nil, 0, false
	c.core = control.NewCore(c.boot, f.runNumber(), f.R.Uint64()|1)
	for _, l := range c.disk {
		c.core.Restore(l)
	}
	f.ticks(&c.life, 20_000, func() { f.stepControl(c, control.Wall{Us: f.Now}) })
}

func (f *Fleet) stepControl(c *controlProc, evs ...any) {
	fx := c.core.Step(f.Now, evs...)
	if c.syncUs == 0 || len(fx.Log) == 0 {
		f.synced(c, fx)
		return
	}
	// Nothing leaves before the sync has ended, and no other step begins.
	took := f.Between(c.syncUs/2, c.syncUs*3/2)
	c.free, c.unsynced = f.Now+took, fx.Log
	gen := c.gen
	var end func()
	end = func() {
		switch {
		case !c.up || c.gen != gen:
		case c.paused:
			c.held = append(c.held, end)
		default:
			c.unsynced = nil
			f.synced(c, fx)
		}
	}
	f.After(took, end)
}

// synced keeps what a step logged and does what it asked for.
func (f *Fleet) synced(c *controlProc, fx control.Effects) {
	c.disk = append(c.disk, fx.Log...)
	if len(c.disk) > 300 {
		c.disk = []*schema.VoterLog{c.core.Snapshot()}
	}
	for _, s := range fx.Send {
		f.Net.Send(c.boot.Listen, s)
	}
	for _, d := range fx.Do {
		f.observeControl(c, d)
		switch d := d.(type) {
		case control.Return:
			if r := f.returns[d.ID]; r != nil {
				delete(f.returns, d.ID)
				r(d)
			}
		case control.AskDatabase:
			f.askDatabase(c, d)
		case control.Platform:
			f.platform(d)
		case control.Told:
			if r := f.told[d.ID]; r != nil {
				delete(f.told, d.ID)
				r(d)
			}
		case control.Replace:
			f.After(f.Between(500, f.PlatformUs), func() {
				if f.Chance(f.PlatformFails) {
					return
				}
				if o := f.DBs[d.Database]; o.c.Identity == d.Identity {
					f.LoseDB(d.Database)
				}
			})
		case control.StopMachine:
			for i, n := range f.Nodes {
				if n.boot.Name == d.Machine {
					f.After(f.Between(500, f.PlatformUs), func() {
						if !f.Chance(f.PlatformFails) {
							f.StopNode(i)
						}
					})
				}
			}
		case control.Say:
			f.say("%s %d %s", c.boot.Name, d.Code, d.Text)
		}
	}
}

// unasked has the platform replace what a booking drains, if that is planted.
func (f *Fleet) unasked() {
	for _, b := range f.Calendar().Bookings {
		n := strings.TrimPrefix(b.Target, b.Owner+"/")
		if b.State == bookings.Draining && f.DBs[n] != nil && f.DBs[n].c.Identity == b.Identity {
			f.LoseDB(n)
		}
	}
	f.After(100_000, f.unasked)
}

// toControl hands an event to a control process, later where it is frozen or
// slow.
func (f *Fleet) toControl(c *controlProc, gen int, e any) {
	f.enter(&c.life, gen, func() { f.stepControl(c, e) })
}

// Operate puts an operator's event to a control process; done is called unless
// the process dies first.
func (f *Fleet) Operate(c *controlProc, e func(id uint64) any, done func(control.Return)) {
	f.ids++
	id := f.ids
	f.returns[id] = done
	f.toControl(c, c.gen, e(id))
}

// Type has a partner type a sentence at a control process.
func (f *Fleet) Type(c *controlProc, who, text string, done func(control.Told)) {
	f.ids++
	id := f.ids
	f.told[id] = done
	f.toControl(c, c.gen, control.Ask{ID: id, Partner: who, Text: text})
}

func (f *Fleet) askDatabase(c *controlProc, d control.AskDatabase) {
	gen := c.gen
	back := func(err bool, s databasecopy.Status) {
		f.toControl(c, gen, control.DatabaseSaid{Group: d.Group, ID: d.ID, Err: err, Status: takeover.Status{Identity: s.Identity, Role: s.Role,
			Epoch: s.Epoch, LogEpoch: s.LogEpoch, Received: s.Received, Applied: s.Applied, Following: s.Following, Leaving: s.Leaving}})
	}
	f.call(c.boot.Listen, d.Address, 500_000, func(db *DB, reply func(any)) {
		if d.Seal > 0 && f.Plan.Plant == UnsealedTakeover {
			s := db.c.Status()
			s.Epoch, s.Role = d.Seal, "sealed"
			reply(s)
			return
		}
		if d.Seal > 0 {
			db.c.Seal(d.Seal)
			db.changed()
		}
		reply(db.c.Status())
	}, func(v any, _ bool) {
		if s, ok := v.(databasecopy.Status); ok {
			back(false, s)
		} else {
			back(true, databasecopy.Status{})
		}
	})
}

// platform carries a takeover out as the stand-in does.
func (f *Fleet) platform(d control.Platform) {
	f.After(f.Between(500, f.PlatformUs), func() {
		if f.Chance(f.PlatformFails) || d.Epoch < f.plat[d.Group] || d.Epoch == f.plat[d.Group] && f.platT[d.Group] != d.Target {
			return
		}
		f.plat[d.Group], f.platT[d.Group] = d.Epoch, d.Target
		t := f.DBs[d.Target]
		if t == nil || !t.talks() {
			return
		}
		if f.Plan.Plant == UnmeantPromotion {
			d.Identity = ""
		}
		if !t.c.Promote(d.Epoch, d.Identity, f.Now) {
			return
		}
		t.changed()
		for _, m := range d.Members {
			if o := f.DBs[m.Name]; o != nil && m.Name != d.Target && o.talks() {
				o.c.Follow(d.Epoch, t.addr)
				o.changed()
			}
		}
	})
}

func (f *Fleet) take(to string, e *schema.Envelope) {
	switch f.Plan.Plant {
	case LateNews:
		if e.GetNews() != nil && f.Now > 3_400_000 {
			f.After(4_000_000, func() { f.arrive(to, e) })
			return
		}
	case SlippingBack:
		f.slip(to, e)
	}
	f.arrive(to, e)
}

// slip has a node that started lately be told the first revision there was of
// each configuration, by news and by voters.
func (f *Fleet) slip(to string, e *schema.Envelope) {
	young := slices.ContainsFunc(f.Nodes, func(n *nodeProc) bool {
		return n.boot.Listen == to && n.gen > 1 && f.Now-int64(n.run) < 2_000_000
	})
	old := func(key string, v *schema.Value) *schema.Value {
		if !strings.HasPrefix(key, control.ConfigPrefix) || v == nil {
			return v
		}
		if f.firsts[key] == nil {
			f.firsts[key] = v
		}
		if young {
			return f.firsts[key]
		}
		return v
	}
	for _, r := range e.GetNews().GetRegisters() {
		r.Value = old(r.Key, r.Value)
	}
	if p := e.GetPromise(); p != nil {
		p.Value = old(p.Key, p.Value)
	}
}

func (f *Fleet) arrive(to string, e *schema.Envelope) {
	for _, c := range f.Controls {
		if c.boot.Listen == to {
			f.toControl(c, c.gen, e)
			return
		}
	}
	for _, n := range f.Nodes {
		if n.boot.Listen == to {
			f.toNode(n, n.gen, func() { f.stepNode(n, e) })
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
		c := f.Controls[f.R.IntN(3)]
		if !c.up {
			f.After(200_000, try)
			return
		}
		f.Operate(c, func(id uint64) any { return control.PutConfiguration{ID: id, Partner: partner, Text: b} }, func(r control.Return) {
			if r.Revision == 0 {
				f.After(200_000, try)
				return
			}
			f.Truth.configured(partner, r)
			if done != nil {
				done()
			}
		})
	}
	try()
}
