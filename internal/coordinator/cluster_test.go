package coordinator

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"stoneford/emulator/simulation"
	"stoneford/emulator/virtualtime"
	"stoneford/internal/learner"
	"stoneford/internal/ports"
	"stoneford/internal/wal"
	"stoneford/internal/wal/crashdisk"
	"stoneford/paxos"
	"stoneford/schema"
)

// member is one control process of a cluster with its disk.
type member struct {
	boot        ports.ProcessConfig
	core        *Core
	disk        []*schema.WALEntry
	up          bool
	incarnation int
	hangs       bool // its disk takes writes and does not end them
	refuses     bool
	queue       []Effects
	done        []any
	drive       *crashdisk.Disk // where it has one: its log is kept there, not in disk
	log         *wal.Log
}

type cluster struct {
	t           *testing.T
	environment *virtualtime.Scheduler
	network     *simulation.Network
	members     map[string]*member
	order       []string
	runs        uint64
}

// newCluster has so many control processes, of which the first are the seeds.
func newCluster(t *testing.T, seed uint64, n, seeds, lost int) *cluster {
	c := &cluster{t: t, environment: virtualtime.NewScheduler(seed, virtualtime.DefaultStream), members: map[string]*member{}}
	c.network = simulation.NewNetwork(c.environment)
	c.network.MaxDelayUs = 12_000
	c.network.Receive = func(to string, e *schema.Envelope) { c.step(to, e) }
	var ss []string
	for i := range seeds {
		ss = append(ss, fmt.Sprintf("10.0.0.%d:8782", i+1))
	}
	for i := range n {
		b := ports.ProcessConfig{Name: fmt.Sprint("m", i+1), IP: fmt.Sprintf("10.0.0.%d", i+1), PortFirst: 7440, Seeds: ss, Bootstrap: true, QuorumMember: true,
			Tolerance: ports.Tolerance{Machines: lost}, Zone: "z"}
		c.order = append(c.order, b.ControlNodeAddress())
		c.members[b.ControlNodeAddress()] = &member{boot: b}
	}
	return c
}

func (c *cluster) start(a string) {
	m := c.members[a]
	m.incarnation++
	c.runs += 1 + uint64(c.environment.Random.IntN(1000))
	m.up, m.queue, m.hangs = true, nil, false
	run := c.environment.Random.Uint64() | 1
	if m.drive != nil && !m.open() {
		m.up = false
		return
	}
	m.core = Restore(m.boot, m.disk, c.environment.Random.Uint64()|1, run)
	m.boot.Bootstrap = false
	m.core.Start(c.environment.Now)
	c.tick(a)
}

// tick steps a process again and again while it runs.
func (c *cluster) tick(a string) {
	m := c.members[a]
	life := m.incarnation
	var next func()
	next = func() {
		if m.incarnation == life && m.up {
			c.step(a)
			c.environment.After(10_000, next)
		}
	}
	next()
}

func (c *cluster) kill(a string, wipe bool) {
	m := c.members[a]
	m.up = false
	m.incarnation++
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
	log, err := wal.OpenWith(m.drive, "/data/voter", func(l *schema.WALEntry) { m.disk = append(m.disk, l) })
	m.log = log
	return err == nil
}

func (c *cluster) step(a string, evs ...any) {
	m := c.members[a]
	if m == nil || !m.up {
		return
	}
	fx := m.core.Step(c.environment.Now, evs...)
	for _, s := range fx.Send {
		c.network.Send(a, s)
	}
	m.done = append(m.done, fx.Do...)
	if len(fx.Log) > 0 {
		if m.drive != nil && m.log.SnapshotDue() && !fx.Log[0].Snapshot {
			fx.Log = []*schema.WALEntry{m.core.Snapshot()} // as the process does
		}
		m.queue = append(m.queue, fx)
		life := m.incarnation
		c.environment.After(c.environment.Between(1_000, 4_000), func() { c.sync(a, life) })
	}
}

func (c *cluster) sync(a string, life int) {
	m := c.members[a]
	if m.incarnation != life || m.hangs || len(m.queue) == 0 {
		return
	}
	fx := m.queue[0]
	m.queue = m.queue[1:]
	if m.refuses {
		m.queue = nil
		c.step(a, SyncFailed{Cause: "refused"})
		return
	}
	switch {
	case m.drive != nil:
		if err := m.log.Write(fx.Log, nil); err != nil {
			m.queue = nil
			c.step(a, SyncFailed{Cause: err.Error()})
			return
		}
	case fx.Log[0].Snapshot:
		m.disk = fx.Log
	default:
		m.disk = append(m.disk, fx.Log...)
	}
	c.step(a, Synced{Watermark: fx.Watermark})
}

func (c *cluster) run(us int64) { c.environment.Run(c.environment.Now + us) }

// change has a process put a change of a key to the vote and says how it ended.
func (c *cluster) change(a, key, data string) paxos.Verdict {
	c.t.Helper()
	m := c.members[a]
	v, ended := paxos.NoQuorum, false
	ask := func(ch paxos.Change) {
		ch.ID, ch.Key, ch.Deadline = fmt.Sprint(data, c.environment.Now), key, c.environment.Now+3_000_000
		m.core.effects = Effects{}
		m.core.propose(c.environment.Now, ch, func(_ int64, o paxos.Outcome) {
			if ch.ReadOnly {
				ch.ReadOnly, ch.BaseRevision, ch.Data, ch.ID = false, o.Value.GetRevision(), []byte(data), ch.ID+"w"
				m.core.propose(c.environment.Now, ch, func(_ int64, o paxos.Outcome) { v, ended = o.Verdict, true })
				return
			}
		})
		fx := m.core.effects
		for _, s := range fx.Send {
			c.network.Send(a, s)
		}
		c.step(a)
	}
	ask(paxos.Change{ReadOnly: true})
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
	m := c.members[a]
	m.core.effects = Effects{}
	m.core.readRegister(c.environment.Now, key, func(_ int64, o paxos.Outcome) {
		if o.Verdict == paxos.Committed {
			got = string(o.Value.GetData())
		}
		ended = true
	})
	for _, s := range m.core.effects.Send {
		c.network.Send(a, s)
	}
	c.step(a)
	for i := 0; i < 500 && !ended; i++ {
		c.run(10_000)
	}
	return got
}

func (c *cluster) formed() (n int) {
	for _, m := range c.members {
		if m.up && m.core.isVoting() {
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
		c.network.LossProbability, c.network.DuplicateProbability = 0.03, 0.03
		for _, a := range c.order {
			c.environment.After(c.environment.Between(0, 1_000_000), func() { c.start(a) })
		}
		if seed%2 == 1 { // restarts in the middle
			for range 4 {
				a := c.order[c.environment.Random.IntN(6)]
				c.environment.After(c.environment.Between(1_100_000, 4_000_000), func() {
					if len(c.members[a].disk) > 0 {
						c.kill(a, false)
						c.start(a)
					}
				})
			}
		}
		c.run(9_000_000)
		if c.formed() != 5 {
			for _, a := range c.order {
				t.Logf("%s: votes %t, knows membership %v", a, c.members[a].core.isVoting(), c.members[a].core.learner.Membership())
			}
			t.Fatalf("seed %d: %d voters of 5 formed", seed, c.formed())
		}
		want := c.members[c.order[0]].core.learner.Voters()
		if len(want) != 5 {
			t.Fatalf("seed %d: %v", seed, want)
		}
		for _, a := range c.order {
			if vs := c.members[a].core.learner.Voters(); !slices.Equal(vs, want) {
				t.Fatalf("seed %d: %s takes %v for the voters, not %v", seed, a, vs, want)
			}
		}
		i := slices.IndexFunc(c.order, func(a string) bool { return !slices.Contains(want, a) })
		if v := c.change(c.order[i], "x", "one"); v != paxos.Committed {
			t.Fatalf("seed %d: a change through one that is no voter ended as %d", seed, v)
		}
		c.members[c.order[i]].done = nil
		c.step(c.order[i], Announce{ID: 7, Instance: ports.Instance{ID: "db", Group: "g", Address: "10.1.1.1:1", Draining: true, AnnouncementNumber: 3}})
		c.run(800_000)
		if !slices.Contains(c.members[c.order[i]].done, any(AnnounceDone{ID: 7, OK: true})) {
			t.Fatalf("seed %d: an announcement through one that is no voter is not acknowledged", seed)
		}
		// Two disks lost at once, then two others: all is there and all vote again.
		for _, k := range []int{0, 3} {
			var gone []string
			for _, a := range want[k : k+2] {
				c.kill(a, true)
				gone = append(gone, a)
			}
			if v := c.change(want[2], "x", fmt.Sprint("two", k)); v != paxos.Committed {
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
		c.members[a].boot.Bootstrap = false
		c.start(a)
	}
	c.run(20_000_000)
	for _, a := range c.order {
		if m := c.members[a]; m.core.membershipKnown() || m.core.isVoting() || len(m.disk) > 0 {
			t.Fatalf("%s knows %v", a, m.core.learner.Membership())
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
		m := c.members[a]
		m.hangs, m.refuses = !refuses, refuses
		for i := range 5 {
			if v := c.change(b, "leader/g", fmt.Sprint("more", i)); v != paxos.Committed {
				t.Fatalf("refuses %t: a change ended as %d while one disk is in trouble", refuses, v)
			}
		}
		if v := c.change(a, "x", "through it"); v != paxos.Committed {
			t.Fatalf("refuses %t: a change through it ended as %d", refuses, v)
		}
		if string(m.core.syncedCells["leader/g"].Value.Data) != "one" {
			t.Fatalf("refuses %t: it shows what is not on disk", refuses)
		}
		if c.members[b].core.learner.LastResponse(a) < c.environment.Now-700_000 {
			t.Fatalf("refuses %t: it returns no looks", refuses)
		}
		if refuses && !slices.ContainsFunc(m.done, func(d any) bool { s, ok := d.(LogEntry); return ok && s.Text == "refused" }) {
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
		if v := c.change(b, "leader/g", "after"); v != paxos.Committed {
			t.Fatalf("refuses %t: afterwards a change ended as %d", refuses, v)
		}
		if got := c.read(a, "leader/g"); got != "after" {
			t.Fatalf("refuses %t: %q is read", refuses, got)
		}
	}
}

// TestNothingLeavesBeforeItsEntriesAreSynced is the plant's other side: nothing that rests on the voter's
// entries leaves before they are on disk.
func TestNothingLeavesBeforeItsEntriesAreSynced(t *testing.T) {
	c := newCluster(t, 5, 3, 3, 1)
	for _, a := range c.order {
		c.start(a)
	}
	c.run(2_000_000)
	m := c.members[c.order[0]]
	m.hangs = true
	fx := m.core.Step(c.environment.Now, &schema.Envelope{From: c.order[1], Body: &schema.Envelope_Accept{Accept: &schema.Accept{Key: learner.TableKey, Attempt: 1, Membership: 1,
		Ballot: &schema.Ballot{Membership: 1, Number: 999, Proposer: "p"}, Value: &schema.Value{Revision: 1, Data: []byte("x")}}}})
	look := &schema.Envelope{From: c.order[1], Body: &schema.Envelope_Poll{Poll: &schema.Poll{Number: 3, Run: 1, Kind: "pool", IncludeData: true}}}
	read := &schema.Envelope{From: c.order[1], Body: &schema.Envelope_Prepare{Prepare: &schema.Prepare{Key: learner.TableKey, Attempt: 2, Membership: 1}}}
	fy := m.core.Step(c.environment.Now, look, read)
	if len(fx.Log) == 0 {
		t.Fatal("nothing to sync")
	}
	returned := false
	for _, s := range append(fx.Send, fy.Send...) {
		if s.Envelope.GetAccepted() != nil || s.Envelope.GetPromise() != nil || len(s.Envelope.GetPollResponse().GetRegisters()) > 0 {
			t.Fatalf("%v left before the sync", s.Envelope)
		}
		returned = returned || s.Envelope.GetPollResponse() != nil
	}
	if !returned {
		t.Fatal("the look waits for the disk")
	}
	fz := m.core.Step(c.environment.Now, Synced{Watermark: fx.Watermark})
	accepted, promised := false, false
	for _, s := range fz.Send {
		accepted, promised = accepted || s.Envelope.GetAccepted() != nil, promised || s.Envelope.GetPromise() != nil
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
