package coordinator

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"stoneford/paxos"
	"stoneford/ports"
	"stoneford/schema"
	"stoneford/simulation"
	"stoneford/voterlog"
	"stoneford/voterlog/crashdisk"
	"stoneford/voterview"
)

// member is one control process of a cluster with its disk.
type member struct {
	boot    ports.Boot
	core    *Core
	disk    []*schema.VoterLog
	up      bool
	life    int
	hangs   bool // its disk takes writes and does not end them
	refuses bool
	queue   []Effects
	does    []any
	drive   *crashdisk.Disk // where it has one: its log is kept there, not in disk
	log     *voterlog.Log
}

type cluster struct {
	t     *testing.T
	w     *simulation.World
	n     *simulation.Network
	ms    map[string]*member
	order []string
	runs  uint64
}

// newCluster has so many control processes, of which the first are the seeds.
func newCluster(t *testing.T, seed uint64, n, seeds, lost int) *cluster {
	c := &cluster{t: t, w: simulation.NewWorld(seed), ms: map[string]*member{}}
	c.n = simulation.NewNetwork(c.w)
	c.n.DelayHi = 12_000
	c.n.Take = func(to string, e *schema.Envelope) { c.step(to, e) }
	var ss []string
	for i := range seeds {
		ss = append(ss, fmt.Sprintf("10.0.0.%d:8782", i+1))
	}
	for i := range n {
		b := ports.Boot{Name: fmt.Sprint("m", i+1), IP: fmt.Sprintf("10.0.0.%d", i+1), PortFirst: 7440, Seeds: ss, Bootstrap: true, QuorumMember: true,
			LostAtOnce: ports.Tolerance{Machines: lost}, Zone: "z"}
		c.order = append(c.order, b.ControlNode())
		c.ms[b.ControlNode()] = &member{boot: b}
	}
	return c
}

func (c *cluster) start(a string) {
	m := c.ms[a]
	m.life++
	c.runs += 1 + uint64(c.w.R.IntN(1000))
	m.up, m.queue, m.hangs = true, nil, false
	run := c.w.R.Uint64() | 1
	if m.drive != nil && !m.open() {
		m.up = false
		return
	}
	m.core = Restore(m.boot, m.disk, c.w.R.Uint64()|1, run)
	m.boot.Bootstrap = false
	m.core.Start(c.w.Now)
	c.tick(a)
}

// tick steps a process again and again while it runs.
func (c *cluster) tick(a string) {
	m := c.ms[a]
	life := m.life
	var next func()
	next = func() {
		if m.life == life && m.up {
			c.step(a)
			c.w.After(10_000, next)
		}
	}
	next()
}

func (c *cluster) kill(a string, wipe bool) {
	m := c.ms[a]
	m.up = false
	m.life++
	if wipe {
		m.disk = nil
		if m.drive != nil {
			m.drive.Wipe()
		}
	}
}

// open plays back what the drive holds.
func (m *member) open() bool {
	m.disk = nil
	log, err := voterlog.OpenIn(m.drive, "/data/voter", func(l *schema.VoterLog) { m.disk = append(m.disk, l) })
	m.log = log
	return err == nil
}

func (c *cluster) step(a string, evs ...any) {
	m := c.ms[a]
	if m == nil || !m.up {
		return
	}
	fx := m.core.Step(c.w.Now, evs...)
	for _, s := range fx.Send {
		c.n.Send(a, s)
	}
	m.does = append(m.does, fx.Do...)
	if len(fx.Log) > 0 {
		if m.drive != nil && m.log.Due() && !fx.Log[0].Snapshot {
			fx.Log = []*schema.VoterLog{m.core.Snapshot()} // as the process does
		}
		m.queue = append(m.queue, fx)
		life := m.life
		c.w.After(c.w.Between(1_000, 4_000), func() { c.sync(a, life) })
	}
}

func (c *cluster) sync(a string, life int) {
	m := c.ms[a]
	if m.life != life || m.hangs || len(m.queue) == 0 {
		return
	}
	fx := m.queue[0]
	m.queue = m.queue[1:]
	if m.refuses {
		m.queue = nil
		c.step(a, Unsynced{Err: "refused"})
		return
	}
	switch {
	case m.drive != nil:
		if err := m.log.Write(fx.Log, nil); err != nil {
			m.queue = nil
			c.step(a, Unsynced{Err: err.Error()})
			return
		}
	case fx.Log[0].Snapshot:
		m.disk = fx.Log
	default:
		m.disk = append(m.disk, fx.Log...)
	}
	c.step(a, Synced{Mark: fx.Mark})
}

func (c *cluster) run(us int64) { c.w.Run(c.w.Now + us) }

// change has a process put a change of a key to the vote and says how it ended.
func (c *cluster) change(a, key, data string) paxos.Verdict {
	c.t.Helper()
	m := c.ms[a]
	v, ended := paxos.Unreached, false
	ask := func(ch paxos.Change) {
		ch.Name, ch.Key, ch.Deadline = fmt.Sprint(data, c.w.Now), key, c.w.Now+3_000_000
		m.core.fx = Effects{}
		m.core.ask(c.w.Now, ch, func(_ int64, o paxos.Outcome) {
			if ch.Read {
				ch.Read, ch.Base, ch.Data, ch.Name = false, o.Value.GetRevision(), []byte(data), ch.Name+"w"
				m.core.ask(c.w.Now, ch, func(_ int64, o paxos.Outcome) { v, ended = o.Verdict, true })
				return
			}
		})
		fx := m.core.fx
		for _, s := range fx.Send {
			c.n.Send(a, s)
		}
		c.step(a)
	}
	ask(paxos.Change{Read: true})
	for range 400 {
		if ended {
			return v
		}
		c.run(10_000)
	}
	return v
}

// read is the newest value by a reading through a process.
func (c *cluster) read(a, key string) string {
	got, ended := "", false
	m := c.ms[a]
	m.core.fx = Effects{}
	m.core.read(c.w.Now, key, func(_ int64, o paxos.Outcome) {
		if o.Verdict == paxos.Agreed {
			got = string(o.Value.GetData())
		}
		ended = true
	})
	for _, s := range m.core.fx.Send {
		c.n.Send(a, s)
	}
	c.step(a)
	for i := 0; i < 500 && !ended; i++ {
		c.run(10_000)
	}
	return got
}

func (c *cluster) formed() (n int) {
	for _, m := range c.ms {
		if m.up && m.core.votes() {
			n++
		}
	}
	return n
}

// TestFounding: three seeds of six found five voters; all agree who they are,
// also the one that is none, and those that restart in the middle.
func TestFounding(t *testing.T) {
	for seed := range uint64(24) {
		c := newCluster(t, seed, 6, 3, 2)
		c.n.Drop, c.n.Double = 0.03, 0.03
		for _, a := range c.order {
			c.w.After(c.w.Between(0, 1_000_000), func() { c.start(a) })
		}
		if seed%2 == 1 { // restarts in the middle
			for range 4 {
				a := c.order[c.w.R.IntN(6)]
				c.w.After(c.w.Between(1_100_000, 4_000_000), func() {
					if len(c.ms[a].disk) > 0 {
						c.kill(a, false)
						c.start(a)
					}
				})
			}
		}
		c.run(9_000_000)
		if c.formed() != 5 {
			for _, a := range c.order {
				t.Logf("%s: votes %t, knows membership %v", a, c.ms[a].core.votes(), c.ms[a].core.view.Membership())
			}
			t.Fatalf("seed %d: %d voters of 5 formed", seed, c.formed())
		}
		want := c.ms[c.order[0]].core.view.Voters()
		if len(want) != 5 {
			t.Fatalf("seed %d: %v", seed, want)
		}
		for _, a := range c.order {
			if vs := c.ms[a].core.view.Voters(); !slices.Equal(vs, want) {
				t.Fatalf("seed %d: %s takes %v for the voters, not %v", seed, a, vs, want)
			}
		}
		i := slices.IndexFunc(c.order, func(a string) bool { return !slices.Contains(want, a) })
		if v := c.change(c.order[i], "x", "one"); v != paxos.Agreed {
			t.Fatalf("seed %d: a change through one that is no voter ended as %d", seed, v)
		}
		c.ms[c.order[i]].does = nil
		c.step(c.order[i], Announce{ID: 7, Instance: ports.Instance{ID: "db", Group: "g", Address: "10.1.1.1:1", Leaving: true, Call: 3}})
		c.run(800_000)
		if !slices.Contains(c.ms[c.order[i]].does, any(Announced{ID: 7, OK: true})) {
			t.Fatalf("seed %d: an announcement through one that is no voter is not acknowledged", seed)
		}
		// Two disks lost at once, then two others: all is there and all vote again.
		for _, k := range []int{0, 3} {
			var gone []string
			for _, a := range want[k : k+2] {
				c.kill(a, true)
				gone = append(gone, a)
			}
			if v := c.change(want[2], "x", fmt.Sprint("two", k)); v != paxos.Agreed {
				t.Fatalf("seed %d: with two lost a change ended as %d", seed, v)
			}
			for _, a := range gone {
				c.start(a)
			}
			c.run(4_000_000)
			if c.formed() != 5 {
				t.Fatalf("seed %d: after two lost disks %d voters vote", seed, c.formed())
			}
			if got := c.read(gone[0], "x"); got != fmt.Sprint("two", k) {
				t.Fatalf("seed %d: %q is read", seed, got)
			}
		}
	}
}

// TestFoundsNothing: a process with an empty disk that is not at the first start
// founds nothing, however many of them there are.
func TestFoundsNothing(t *testing.T) {
	c := newCluster(t, 1, 3, 3, 1)
	for _, a := range c.order {
		c.ms[a].boot.Bootstrap = false
		c.start(a)
	}
	c.run(20_000_000)
	for _, a := range c.order {
		if m := c.ms[a]; m.core.known() || m.core.votes() || len(m.disk) > 0 {
			t.Fatalf("%s knows %v", a, m.core.view.Membership())
		}
	}
}

// TestDiskHangs: a voter whose disk hangs promises and accepts nothing, returns
// looks, and the others go on; what it had not synced was told nobody.
func TestDiskHangs(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		c := newCluster(t, 5, 3, 3, 1)
		for _, a := range c.order {
			c.start(a)
		}
		c.run(2_000_000)
		a, b := c.order[0], c.order[1]
		c.change(b, "leader/g", "one")
		c.run(500_000)
		m := c.ms[a]
		m.hangs, m.refuses = !refuses, refuses
		for i := range 5 {
			if v := c.change(b, "leader/g", fmt.Sprint("more", i)); v != paxos.Agreed {
				t.Fatalf("refuses %t: a change ended as %d while one disk is in trouble", refuses, v)
			}
		}
		if v := c.change(a, "x", "through it"); v != paxos.Agreed {
			t.Fatalf("refuses %t: a change through it ended as %d", refuses, v)
		}
		if string(m.core.cells["leader/g"].Value.Data) != "one" {
			t.Fatalf("refuses %t: it shows what is not on disk", refuses)
		}
		if c.ms[b].core.view.Heard(a) < c.w.Now-700_000 {
			t.Fatalf("refuses %t: it returns no looks", refuses)
		}
		if refuses && !slices.ContainsFunc(m.does, func(d any) bool { s, ok := d.(Say); return ok && s.Text == "refused" }) {
			t.Fatal("it does not say so")
		}
		if m.hangs {
			// Its power goes, with all that was not synced.
			c.kill(a, false)
			c.start(a)
		}
		m.refuses = false
		c.run(3_000_000)
		// It votes again: with another one gone changes need it.
		c.kill(c.order[2], false)
		if v := c.change(b, "leader/g", "after"); v != paxos.Agreed {
			t.Fatalf("refuses %t: afterwards a change ended as %d", refuses, v)
		}
		if got := c.read(a, "leader/g"); got != "after" {
			t.Fatalf("refuses %t: %q is read", refuses, got)
		}
	}
}

// TestHeldBack is the plant's other side: nothing that rests on the voter's
// entries leaves before they are on disk.
func TestHeldBack(t *testing.T) {
	c := newCluster(t, 5, 3, 3, 1)
	for _, a := range c.order {
		c.start(a)
	}
	c.run(2_000_000)
	m := c.ms[c.order[0]]
	m.hangs = true
	fx := m.core.Step(c.w.Now, &schema.Envelope{From: c.order[1], Body: &schema.Envelope_Accept{Accept: &schema.Accept{Key: voterview.TableKey, Attempt: 1, Membership: 1,
		Ballot: &schema.Ballot{Membership: 1, Round: 999, Proposer: "p"}, Value: &schema.Value{Revision: 1, Data: []byte("x")}}}})
	look := &schema.Envelope{From: c.order[1], Body: &schema.Envelope_Look{Look: &schema.Look{Number: 3, Run: 1, Kind: "pool", Bodies: true}}}
	read := &schema.Envelope{From: c.order[1], Body: &schema.Envelope_Prepare{Prepare: &schema.Prepare{Key: voterview.TableKey, Attempt: 2, Membership: 1}}}
	fy := m.core.Step(c.w.Now, look, read)
	if len(fx.Log) == 0 {
		t.Fatal("nothing to sync")
	}
	returned := false
	for _, s := range append(fx.Send, fy.Send...) {
		if s.Env.GetAccepted() != nil || s.Env.GetPromise() != nil || len(s.Env.GetLookReturn().GetCells()) > 0 {
			t.Fatalf("%v left before the sync", s.Env)
		}
		returned = returned || s.Env.GetLookReturn() != nil
	}
	if !returned {
		t.Fatal("the look waits for the disk")
	}
	fz := m.core.Step(c.w.Now, Synced{Mark: fx.Mark})
	accepted, promised := false, false
	for _, s := range fz.Send {
		accepted, promised = accepted || s.Env.GetAccepted() != nil, promised || s.Env.GetPromise() != nil
	}
	if !accepted || !promised {
		t.Fatal("after the sync it does not leave")
	}
}

// TestNobodyReadsTheTimeOfDay: in what decides, the only clocks are monotonic: a
// process's began, since when it counts, and waits.
func TestNobodyReadsTheTimeOfDay(t *testing.T) {
	calls := regexp.MustCompile(`\b(UnixMicro|UnixNano|UnixMilli|Unix|Weekday|Format|Date)\(|\.(Year|Hour)\(`)
	now := regexp.MustCompile(`(time|clock)\.Now\(\)`)
	for _, p := range []string{"coordinator", "paxos", "switchover", "voterview", "voterlog", "sessiontable", "sessionpool", "takeover", "duties", "permits", "records", "step", "routingtable"} {
		fs, err := filepath.Glob(filepath.Join("..", p, "*.go"))
		if err != nil || len(fs) == 0 {
			t.Fatalf("%s: no files: %v", p, err)
		}
		for _, f := range fs {
			if strings.HasSuffix(f, "_test.go") {
				continue
			}
			b, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			for i, l := range strings.Split(string(b), "\n") {
				l, _, _ = strings.Cut(l, "//")
				if calls.MatchString(l) && strings.Contains(string(b), `"time"`) || now.MatchString(l) && !strings.Contains(l, "began") {
					t.Errorf("%s:%d reads the time of day: %s", f, i+1, strings.TrimSpace(l))
				}
			}
		}
	}
}
