package fleetsimulation

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"stoneford/coordinator"
	"stoneford/ports"
	"stoneford/schema"
	"stoneford/switchover"
)

// Control is one control process with its disk.
type Control struct {
	process
	zone     string
	boot     ports.Boot
	core     *coordinator.Core
	disk     [][]byte // synced entries of the voter's log
	writing  [][]byte // being synced
	syncUs   int64    // added to what a sync takes
	evs      []any
	stepping bool
	waits    map[uint64]func(any)
	ids      uint64
	kept     map[string]int // run of the database that a kept connection is to
	startUs  int64
	was      coreState // when the fleet was watched last
}

type (
	announced bool
	fetched   struct {
		table ports.RoutingTable
		ok    bool
	}
)

func (f *Fleet) startControl(c *Control) {
	c.begin()
	c.rate = f.rate()
	c.evs, c.stepping, c.waits, c.kept, c.writing = nil, false, map[uint64]func(any){}, map[string]int{}, nil
	c.startUs = f.Now
	f.runs++
	var entries []*schema.VoterLog
	for _, b := range c.disk {
		l := &schema.VoterLog{}
		if err := proto.Unmarshal(b, l); err != nil {
			panic(err)
		}
		entries = append(entries, l)
	}
	c.core = coordinator.Restore(c.boot, entries, f.R.Uint64()|1, f.runs)
	c.boot.Bootstrap = false
	c.core.Start(c.now())
	c.post("start")
}

// post queues an event for the process's loop; with none it is just woken.
func (c *Control) post(src string, evs ...any) {
	gen := c.gen
	c.enter(src, func() {
		if c.gen != gen {
			return
		}
		c.evs = append(c.evs, evs...)
		if !c.stepping {
			c.stepping = true
			c.f.After(0, func() { c.turn(gen) })
		}
	})
}

// turn is one turn of the loop: a step, a sync, and what leaves after it.
func (c *Control) turn(gen int) {
	f := c.f
	if !c.up || c.gen != gen {
		return
	}
	if c.frozen {
		c.held = append(c.held, heldEvent{"loop", func() { c.turn(gen) }})
		return
	}
	n := min(len(c.evs), 128)
	evs := c.evs[:n:n]
	c.evs = c.evs[n:]
	fx := c.core.Step(c.now(), evs...)
	f.moves.look(c)
	after := func() {
		for _, s := range fx.Send {
			f.sendEnvelope(c.ip, s)
		}
		for _, d := range fx.Do {
			c.do(d)
		}
		if len(fx.Log) > 0 {
			c.evs = append([]any{coordinator.Synced{Mark: fx.Mark}}, c.evs...)
		}
		if len(c.evs) > 0 {
			f.After(0, func() { c.turn(gen) })
			return
		}
		c.stepping = false
		c.alarm(c.core.Due(), func() { c.post("alarm") })
	}
	if len(fx.Log) == 0 {
		after()
		return
	}
	for _, l := range fx.Log {
		b, err := proto.Marshal(l)
		if err != nil {
			panic(err)
		}
		c.writing = append(c.writing, b)
	}
	if f.Plan.Plant == UnsyncedDisk {
		after()
	}
	us := f.Between(1_500, 3_000) + c.syncUs
	if f.Plan.Plant == UnsyncedDisk {
		us += 2_000_000
	}
	f.After(us, func() {
		if !c.up || c.gen != gen {
			return
		}
		c.disk = append(c.disk, c.writing...)
		c.writing = nil
		if f.Chance(0.02) && f.Plan.Plant != UnsyncedDisk {
			b, err := proto.Marshal(c.core.Snapshot())
			if err != nil {
				panic(err)
			}
			c.disk = [][]byte{b}
		}
		if f.Plan.Plant == UnsyncedDisk {
			return
		}
		if c.frozen {
			c.held = append(c.held, heldEvent{"loop", after})
			return
		}
		after()
	})
}

// killControl ends a control process; what was being synced may have reached the
// disk, in part.
func (f *Fleet) killControl(c *Control, silent bool) {
	if !c.up {
		return
	}
	if n := len(c.writing); n > 0 && f.Plan.Plant != UnsyncedDisk {
		c.disk = append(c.disk, c.writing[:f.R.IntN(n+1)]...)
	}
	c.up, c.writing = false, nil
	ws := c.waits
	c.waits = map[uint64]func(any){}
	if !silent {
		for _, id := range sortedKeys(ws) {
			f.After(toCallerUs, func() { ws[id](nil) })
		}
	}
}

// stopControl stops one as its daemon does on the order to stop.
func (f *Fleet) stopControl(c *Control) {
	if !c.up || c.leaving {
		return
	}
	c.leaving = true
	gen := c.gen
	c.post("signal", coordinator.Stop{})
	f.After(400_000, func() {
		if c.gen == gen {
			f.killControl(c, false)
		}
	})
}

func (c *Control) end(id uint64, v any) {
	if w := c.waits[id]; w != nil {
		delete(c.waits, id)
		w(v)
	}
}

func (c *Control) do(d any) {
	f := c.f
	f.observeControl(c, d)
	switch d := d.(type) {
	case coordinator.Announced:
		c.end(d.ID, announced(d.OK))
	case coordinator.Changed:
		c.end(d.ID, d.Result)
	case coordinator.Moved:
		c.end(d.ID, d.Result)
	case coordinator.Fetched:
		c.end(d.ID, fetched{d.Table, d.OK})
	case coordinator.Ask:
		c.ask(d)
	case coordinator.Promote:
		c.promote(d)
	case coordinator.Say:
		f.say("%s: %d %s", c.name, d.Code, d.Text)
	default:
		panic(fmt.Sprintf("effect %T", d))
	}
}

func (c *Control) announce(id uint64, i ports.Instance) {
	c.post("databases", coordinator.Announce{ID: id, Instance: i})
}

// callControl has someone call a control process. end is told nil where nobody
// answers or the connection breaks; it may be called never.
func (f *Fleet) callControl(from string, c *Control, call func(c *Control, id uint64), end func(any)) {
	if c.silent() {
		return
	}
	f.net.carry(from, c.ip, func() {
		if !c.up {
			if !c.silent() {
				f.net.carry(c.ip, from, func() { end(nil) })
			}
			return
		}
		c.ids++
		id := c.ids
		c.waits[id] = func(v any) { f.net.carry(c.ip, from, func() { end(v) }) }
		call(c, id)
	})
}

func (c *Control) silent() bool { return false }

// ask puts a question to a database over a kept connection, or a new one.
func (c *Control) ask(d coordinator.Ask) {
	f := c.f
	i := d.Ask.Instance
	ip := hostOf(i.Address)
	gen := c.gen
	ended := false
	wait := d.Ask.WaitUs
	if d.Ask.Kind != ports.Status {
		if wait = min(wait, d.Ask.Until-c.now()); wait <= 0 {
			c.post("asks", coordinator.Said{Group: d.Group, Said: switchover.Said{ID: d.Ask.ID, Withdrawn: true}})
			return
		}
		f.duties.commanded(c, d)
	}
	end := func(s switchover.Said) {
		if ended || !c.up || c.gen != gen {
			return
		}
		ended = true
		s.ID = d.Ask.ID
		if s.Err != "" {
			delete(c.kept, i.ID)
		}
		c.post("asks", coordinator.Said{Group: d.Group, Said: s})
	}
	f.After(int64(float64(wait)/c.rate), func() { end(switchover.Said{Err: "no answer in time"}) })
	back := func(s switchover.Said) { f.net.carry(ip, c.ip, func() { end(s) }) }
	op := ports.Op{Own: true, St: ports.Statement{Kind: d.Ask.Kind}, Term: d.Ask.Term}
	run := func(db *DB) {
		db.command(op, func(st ports.DatabaseStatus, code ports.Code) {
			if code != ports.Done {
				// The edge tells it so: see platform.DatabaseClient and coordinator.Process.
				back(switchover.Said{Err: "the database bounced it", NotThere: f.Plan.BusyIsNotThere})
				return
			}
			back(switchover.Said{Status: st})
		})
	}
	f.net.carry(c.ip, ip, func() {
		db := f.dbAt[i.Address]
		switch {
		case db != nil && db.silent && !db.up:
		case db == nil || !db.up:
			back(switchover.Said{Err: "refused", NotThere: true})
		case db.id != i.ID || db.group.name != i.Group:
			back(switchover.Said{Err: "another database is there", NotThere: true})
		case c.kept[i.ID] == db.gen:
			run(db)
		case len(db.conns) >= db.group.limit:
			back(switchover.Said{Err: "too many connections", NotThere: f.Plan.BusyIsNotThere})
		default:
			c.kept[i.ID] = db.gen
			db.work(12_000, true, func() {
				f.net.carry(ip, c.ip, func() {
					if ended {
						return
					}
					f.net.carry(c.ip, ip, func() {
						if db.up && f.dbAt[i.Address] == db {
							run(db)
						}
					})
				})
			})
		}
	})
}

// provider is the platform's own calls.
type provider struct {
	ip     string
	slowUs int64
	bounce float64
	lose   float64
	takeUs int64 // how long a change of primary takes
	calls  int
}

const providerHost = "10.200.0.160"

func (c *Control) promote(d coordinator.Promote) {
	f, p := c.f, &c.f.provider
	gen := c.gen
	ended := false
	end := func(ok, gone bool) {
		if ended || !c.up || c.gen != gen {
			return
		}
		ended = true
		c.post("platform", coordinator.Promoted{Group: d.Group, OK: ok, Gone: gone})
	}
	wait := min(1_500_000, d.Promote.Until-c.now())
	if wait <= 0 {
		end(false, false)
		return
	}
	f.After(int64(float64(wait)/c.rate), func() {
		if !c.frozen {
			end(false, false)
		}
	})
	until := f.Now + int64(float64(wait)/c.rate)
	f.net.carry(c.ip, p.ip, func() {
		if f.Now > until && !(c.gen == gen && c.up && c.frozen) {
			return // its connection was reset: see platform.Provider
		}
		p.calls++
		f.duties.called(c, d, gen, until)
		if f.Chance(p.bounce) {
			f.net.carry(p.ip, c.ip, func() { end(false, false) })
			return
		}
		f.After(p.slowUs, func() {
			back := func(ok, gone bool) {
				if !f.Chance(p.lose) {
					f.net.carry(p.ip, c.ip, func() { end(ok, gone) })
				}
			}
			g := f.group(d.Group)
			i := slices.IndexFunc(g.dbs, func(o *DB) bool { return o.id == d.Promote.ID })
			f.say("the platform is asked by %s to have %s lead %s", c.name, d.Promote.ID, d.Group)
			if i < 0 || !g.dbs[i].up {
				back(false, true)
				return
			}
			db := g.dbs[i]
			back(true, false)
			if db == g.primary && db.primary || f.Plan.Plant == PromotionsForgotten {
				return
			}
			f.truth.promotionAsked(c, db)
			f.After(p.takeUs+f.Between(0, p.takeUs/4), func() {
				if db.up && !db.ended {
					db.promote()
				}
			})
		})
	})
}
