package fleetsimulation

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"stoneford/failover/fenced"
	"stoneford/internal/coordinator"
	"stoneford/internal/ports"
	"stoneford/schema"
)

// Control is one control process with its disk.
type Control struct {
	process
	zone            string
	boot            ports.ProcessConfig
	core            *coordinator.Core
	disk            [][]byte // synced entries of the voter's log
	writing         [][]byte // being synced
	syncUs          int64    // added to what a sync takes
	events          []coordinator.Event
	stepping        bool
	pendingCalls    map[uint64]func(any)
	lastCall        uint64
	keptConnections map[string]int // run of the database that a kept connection is to
	startUs         int64
	lastState       coreState // when the fleet was watched last
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
	c.clockRate = f.rate()
	c.events, c.stepping, c.pendingCalls, c.keptConnections, c.writing = nil, false, map[uint64]func(any){}, map[string]int{}, nil
	c.startUs = f.Now
	f.lastRun++
	var entries []*schema.WALEntry
	for _, b := range c.disk {
		l := &schema.WALEntry{}
		if err := proto.Unmarshal(b, l); err != nil {
			panic(err)
		}
		entries = append(entries, l)
	}
	c.core = coordinator.Restore(c.boot, entries, f.Random.Uint64()|1, f.lastRun)
	c.boot.Bootstrap = false
	c.core.Start(c.now())
	c.post("start")
}

// post queues an event for the process's loop; with none it is just woken.
func (c *Control) post(src string, events ...coordinator.Event) {
	gen := c.generation
	c.enter(src, func() {
		if c.generation != gen {
			return
		}
		c.events = append(c.events, events...)
		if !c.stepping {
			c.stepping = true
			c.fleet.After(0, func() { c.runStep(gen) })
		}
	})
}

// runStep is one turn of the loop: a step, a sync, and what leaves after it.
func (c *Control) runStep(gen int) {
	f := c.fleet
	if !c.up || c.generation != gen {
		return
	}
	if c.frozen {
		c.pending = append(c.pending, pendingEvent{"loop", func() { c.runStep(gen) }})
		return
	}
	n := min(len(c.events), 128)
	events := c.events[:n:n]
	c.events = c.events[n:]
	effects := c.core.Step(c.now(), events...)
	f.moves.observe(c)
	after := func() {
		for _, s := range effects.Send {
			f.sendEnvelope(c.ip, s)
		}
		for _, d := range effects.Do {
			c.perform(d)
		}
		if len(effects.Log) > 0 {
			c.events = append([]coordinator.Event{coordinator.Synced{Watermark: effects.Watermark}}, c.events...)
		}
		if len(c.events) > 0 {
			f.After(0, func() { c.runStep(gen) })
			return
		}
		c.stepping = false
		c.alarm(c.core.Due(), func() { c.post("alarm") })
	}
	if len(effects.Log) == 0 {
		after()
		return
	}
	for _, l := range effects.Log {
		b, err := proto.Marshal(l)
		if err != nil {
			panic(err)
		}
		c.writing = append(c.writing, b)
	}
	if f.Plan.Mutation == UnsyncedDisk {
		after()
	}
	us := f.Between(1_500, 3_000) + c.syncUs
	if f.Plan.Mutation == UnsyncedDisk {
		us += 2_000_000
	}
	f.After(us, func() {
		if !c.up || c.generation != gen {
			return
		}
		c.disk = append(c.disk, c.writing...)
		c.writing = nil
		if f.Chance(0.02) && f.Plan.Mutation != UnsyncedDisk {
			b, err := proto.Marshal(c.core.Snapshot())
			if err != nil {
				panic(err)
			}
			c.disk = [][]byte{b}
		}
		if f.Plan.Mutation == UnsyncedDisk {
			return
		}
		if c.frozen {
			c.pending = append(c.pending, pendingEvent{"loop", after})
			return
		}
		after()
	})
}

// killControl ends a control process; what was being synced may have reached the
// disk, in part.
func (f *Fleet) killControl(c *Control, unresponsive bool) {
	if !c.up {
		return
	}
	if n := len(c.writing); n > 0 && f.Plan.Mutation != UnsyncedDisk {
		c.disk = append(c.disk, c.writing[:f.Random.IntN(n+1)]...)
	}
	c.up, c.writing = false, nil
	ws := c.pendingCalls
	c.pendingCalls = map[uint64]func(any){}
	if !unresponsive {
		for _, id := range sortedKeys(ws) {
			f.After(toCallerDelayUs, func() { ws[id](nil) })
		}
	}
}

// stopControl stops one as its daemon does on the order to stop.
func (f *Fleet) stopControl(c *Control) {
	if !c.up || c.draining {
		return
	}
	c.draining = true
	gen := c.generation
	c.post("signal", coordinator.Stop{})
	f.After(400_000, func() {
		if c.generation == gen {
			f.killControl(c, false)
		}
	})
}

func (c *Control) end(id uint64, v any) {
	if w := c.pendingCalls[id]; w != nil {
		delete(c.pendingCalls, id)
		w(v)
	}
}

func (c *Control) perform(d coordinator.Effect) {
	f := c.fleet
	f.observeControl(c, d)
	switch d := d.(type) {
	case coordinator.AnnounceDone:
		c.end(d.ID, announced(d.OK))
	case coordinator.ChangeTableDone:
		c.end(d.ID, d.Result)
	case coordinator.MoveDone:
		c.end(d.ID, d.Result)
	case coordinator.FetchTableDone:
		c.end(d.ID, fetched{d.Table, d.OK})
	case coordinator.DatabaseCall:
		c.callDatabase(d)
	case coordinator.Promote:
		c.promote(d)
	case coordinator.LogEntry:
		f.logf("%s: %d %s", c.name, d.Code, d.Text)
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
	if c.unresponsive() {
		return
	}
	f.network.carry(from, c.ip, func() {
		if !c.up {
			if !c.unresponsive() {
				f.network.carry(c.ip, from, func() { end(nil) })
			}
			return
		}
		c.lastCall++
		id := c.lastCall
		c.pendingCalls[id] = func(v any) { f.network.carry(c.ip, from, func() { end(v) }) }
		call(c, id)
	})
}

func (c *Control) unresponsive() bool { return false }

// callDatabase puts a question to a database over a kept connection, or a new one.
func (c *Control) callDatabase(d coordinator.DatabaseCall) {
	f := c.fleet
	i := d.Call.Instance
	ip := hostOf(i.Address)
	gen := c.generation
	ended := false
	wait := d.Call.TimeoutUs
	if d.Call.Kind != ports.Status {
		if wait = min(wait, d.Call.Until-c.now()); wait <= 0 {
			c.post("asks", coordinator.DatabaseReply{Group: d.Group, Reply: fenced.DatabaseReply{ID: d.Call.ID, NotSent: true}})
			return
		}
		f.primaryRoles.commanded(c, d)
	}
	end := func(s fenced.DatabaseReply) {
		if ended || !c.up || c.generation != gen {
			return
		}
		ended = true
		s.ID = d.Call.ID
		if s.Err != "" {
			delete(c.keptConnections, i.ID)
		}
		c.post("asks", coordinator.DatabaseReply{Group: d.Group, Reply: s})
	}
	f.After(int64(float64(wait)/c.clockRate), func() { end(fenced.DatabaseReply{Err: "no answer in time"}) })
	back := func(s fenced.DatabaseReply) { f.network.carry(ip, c.ip, func() { end(s) }) }
	op := ports.Op{Internal: true, Statement: ports.Statement{Kind: d.Call.Kind}, Term: d.Call.Term}
	run := func(db *Database) {
		db.command(op, func(statement ports.DatabaseStatus, code ports.Code) {
			if code != ports.Done {
				// The edge tells it so: see platform.DatabaseClient and coordinator.Process.
				back(fenced.DatabaseReply{Err: "the database bounced it", Absent: f.Plan.BusyAsConnectionRefused})
				return
			}
			back(fenced.DatabaseReply{Status: statement})
		})
	}
	f.network.carry(c.ip, ip, func() {
		db := f.databaseAt[i.Address]
		switch {
		case db != nil && db.unresponsive && !db.up:
		case db == nil || !db.up:
			back(fenced.DatabaseReply{Err: "refused", Absent: true})
		case db.id != i.ID || db.group.name != i.Group:
			back(fenced.DatabaseReply{Err: "another database is there", Absent: true})
		case c.keptConnections[i.ID] == db.generation:
			run(db)
		case len(db.connections) >= db.group.limit:
			back(fenced.DatabaseReply{Err: "too many connections", Absent: f.Plan.BusyAsConnectionRefused})
		default:
			c.keptConnections[i.ID] = db.generation
			db.work(12_000, true, func() {
				f.network.carry(ip, c.ip, func() {
					if ended {
						return
					}
					f.network.carry(c.ip, ip, func() {
						if db.up && f.databaseAt[i.Address] == db {
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
	ip                   string
	responseUs           int64
	rejectProbability    float64
	lostReplyProbability float64
	takeoverUs           int64 // how long a change of primary takes
	calls                int
}

const providerHost = "10.200.0.160"

func (c *Control) promote(d coordinator.Promote) {
	f, p := c.fleet, &c.fleet.provider
	gen := c.generation
	ended := false
	end := func(ok, gone bool) {
		if ended || !c.up || c.generation != gen {
			return
		}
		ended = true
		c.post("platform", coordinator.PromoteDone{Group: d.Group, OK: ok, Gone: gone})
	}
	wait := min(1_500_000, d.Promote.Until-c.now())
	if wait <= 0 {
		end(false, false)
		return
	}
	f.After(int64(float64(wait)/c.clockRate), func() {
		if !c.frozen {
			end(false, false)
		}
	})
	until := f.Now + int64(float64(wait)/c.clockRate)
	f.network.carry(c.ip, p.ip, func() {
		if f.Now > until && !(c.generation == gen && c.up && c.frozen) {
			return // its connection was reset: see platform.Provider
		}
		p.calls++
		f.primaryRoles.called(c, d, gen, until)
		if f.Chance(p.rejectProbability) {
			f.network.carry(p.ip, c.ip, func() { end(false, false) })
			return
		}
		f.After(p.responseUs, func() {
			back := func(ok, gone bool) {
				if !f.Chance(p.lostReplyProbability) {
					f.network.carry(p.ip, c.ip, func() { end(ok, gone) })
				}
			}
			g := f.group(d.Group)
			i := slices.IndexFunc(g.databases, func(o *Database) bool { return o.id == d.Promote.ID })
			f.logf("the platform is asked by %s to have %s lead %s", c.name, d.Promote.ID, d.Group)
			if i < 0 || !g.databases[i].up {
				back(false, true)
				return
			}
			db := g.databases[i]
			back(true, false)
			if db == g.primary && db.primary || f.Plan.Mutation == PromotionsForgotten {
				return
			}
			f.After(p.takeoverUs+f.Between(0, p.takeoverUs/4), func() {
				if db.up && !db.ended {
					db.promote()
				}
			})
		})
	})
}
