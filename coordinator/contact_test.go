package coordinator

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"stoneford/ports"
	"stoneford/schema"
	"stoneford/voterview"
)

const (
	cutFor = 20_000_000
	// atOnce is how soon a process refuses that has been cut off for longer than a
	// lease; members are stepped every 10 ms.
	atOnce = 15_000
	// caughtUpWithin is how soon all is served again after a cut.
	caughtUpWithin = 2_000_000
)

// cuts are the ways in which a member is cut off.
var cuts = []struct {
	name     string
	from, to bool // what is lost: envelopes from it, envelopes to it
	restart  bool // it is started again while it is cut off
}{
	{"both directions", true, true, false},
	{"nothing from it arrives", true, false, false},
	{"nothing arrives at it", false, true, false},
	{"restarted while cut", true, true, true},
	{"restarted, nothing from it arrives", true, false, true},
	{"restarted, nothing arrives at it", false, true, true},
}

// cutDay is 20 s with a member cut off while all kinds of calls go to it, and the
// others are called as well.
type cutDay struct {
	*cluster
	k      *callers
	off    string   // the member that is cut off
	others []string // the other two
	cutAt  int64
	// refuses is from when on the member has to refuse all calls at once: its last
	// lease is over, or it was started again.
	refuses int64
	from    bool
	to      bool
	node    *learner // hears, while the cut lasts, from that member alone

	base    uint64 // newest revision that was acknowledged
	last    uint64 // newest number used
	acked   []ports.TableChange
	numbers uint64 // of databases' calls
	away    []*sentAway
	broken  []string
	moved   int
}

// sentAway is a call to the member that is cut off, with what was true then.
type sentAway struct {
	*asked
	what   string
	order  ports.TableChange
	base   uint64 // newest acknowledged when it was sent
	leaves string // a database that says that it leaves
}

func (d *cutDay) bad(rule, f string, a ...any) {
	d.broken = append(d.broken, rule+": "+fmt.Sprintf(f, a...))
}

func newCutDay(t *testing.T, seed uint64) *cutDay {
	c, k := settled(t, seed)
	d := &cutDay{cluster: c, k: k, base: 1, last: 1}
	i := int(seed) % len(c.order)
	d.off = c.order[i]
	d.others = slices.Delete(slices.Clone(c.order), i, i+1)
	d.node = c.attachLearner("10.0.9.9:7441")
	k.run(1_000_000)
	if d.node.view.LeaseUntil() < c.w.Now {
		t.Fatalf("seed %d: the node has no lease", seed)
	}
	return d
}

func (d *cutDay) cut(broken bool) {
	for _, o := range d.others {
		d.n.Cut(d.off, o, broken && d.from)
		d.n.Cut(o, d.off, broken && d.to)
	}
}

func (d *cutDay) database(id string, phase string) ports.Instance {
	d.numbers++
	return ports.Instance{ID: id, Group: "g", Address: id + ":1", Zone: "z", Call: d.numbers, Leaving: phase != "ready", Gone: phase == "gone"}
}

// advance has an operator put the next order through the others.
func (d *cutDay) advance() {
	d.last++
	o := tableOrder(d.base, d.last, "main")
	if r := d.k.take(o, d.others...); r != ports.Agreed {
		d.bad("SERVED", "the others ended an order as %d", r)
		return
	}
	d.base, d.acked = d.last, append(d.acked, o)
}

// callAway sends the member that is cut off one call of each kind.
func (d *cutDay) callAway(round int) {
	add := func(what string, a *asked, s sentAway) {
		s.asked, s.what, s.base = a, what, d.base
		d.away = append(d.away, &s)
	}
	add("fetch", d.k.fetch(d.off), sentAway{})
	d.last++
	fresh := tableOrder(d.base, d.last, "away")
	add("order", d.k.order(d.off, fresh), sentAway{order: fresh})
	d.last++
	again := tableOrder(1, d.last, "stale")
	add("stale order", d.k.order(d.off, again), sentAway{order: again})
	bad := tableOrder(d.base, d.last+1, "invalid")
	bad.Routes[0].Group = "nobody"
	add("invalid order", d.k.order(d.off, bad), sentAway{order: bad})
	if len(d.acked) > 0 {
		o := d.acked[len(d.acked)-1]
		add("taken order", d.k.order(d.off, o), sentAway{order: o})
	}
	add("beat", d.k.announce(d.off, d.database("steady", "ready")), sentAway{})
	leaves, ends := fmt.Sprint("leaves-", round), fmt.Sprint("ends-", round)
	add("leave", d.k.announce(d.off, d.database(leaves, "draining")), sentAway{leaves: leaves})
	add("end", d.k.announce(d.off, d.database(ends, "gone")), sentAway{leaves: ends})
	add("move", d.k.send(d.off, func(id uint64) any { return Move{ID: id, Group: "g", Site: "z"} }), sentAway{})
}

// play cuts the member off, calls it and the others, and mends the cut.
func (d *cutDay) play(from, to, restart bool) {
	d.from, d.to, d.cutAt = from, to, d.w.Now
	d.refuses = d.cutAt + voterview.LeaseUs
	d.cut(true)
	// The node hears the member that is cut off, and it alone.
	for _, o := range d.others {
		d.n.Cut(o, d.node.at, true)
	}
	for round := 0; d.w.Now < d.cutAt+cutFor; round++ {
		if restart && round == 4 {
			d.kill(d.off, false)
			d.k.broken(d.off)
			d.start(d.off)
			d.refuses = d.w.Now
		}
		d.callAway(round)
		d.k.run(d.w.Between(50_000, 400_000))
		if round%3 == 0 {
			d.advance()
		}
		d.goOn()
	}
	if until := d.node.view.LeaseUntil(); until > d.cutAt+voterview.LeaseUs {
		d.bad("NEWS", "a node that hears a member alone, cut off, has a lease until %d ms after the cut", (until-d.cutAt)/1000)
	}
	d.cut(false)
	d.n.Mend()
	d.k.run(1_000_000)
	if d.node.view.LeaseUntil() < d.w.Now {
		d.bad("NEWS", "the node has no lease a second after the cut")
	}
	d.afterwards()
	d.judgeAll()
}

// goOn has the databases that were refused call another member.
func (d *cutDay) goOn() {
	for _, s := range d.away {
		a, ok := s.answer.(Announced)
		if ok && a.OK && s.leaves != "" && !d.known(s.leaves) {
			d.bad("LEAVE", "%s was acknowledged and no other member knows of it", s.leaves)
		}
		if ok && !a.OK && s.leaves != "" && !strings.HasSuffix(s.leaves, "!") {
			i := d.database(s.leaves, "draining")
			s.leaves += "!"
			if r, _ := d.k.wait(d.k.announce(d.others[0], i), 1_000_000).(Announced); !r.OK {
				d.bad("SERVED", "%s is not acknowledged by another member", i.ID)
			}
			d.moved++
		}
	}
}

// known says that a member that is not cut off knows that a database leaves.
func (d *cutDay) known(id string) bool {
	return slices.ContainsFunc(d.others, func(o string) bool {
		r := d.ms[o].core.insts.Get(voterview.DatabasePrefix + id)
		return r != nil && voterview.Instance(r).Leaving
	})
}

// afterwards reads through the member until it serves: never anything old.
func (d *cutDay) afterwards() {
	began := d.w.Now
	for d.w.Now < began+2*caughtUpWithin {
		a := d.k.fetch(d.off)
		d.k.wait(a, 1_000_000)
		if f, _ := a.answer.(Fetched); f.OK {
			if f.Table.Revision < d.base {
				d.bad("READ", "after the cut it handed out revision %d; %d was acknowledged", f.Table.Revision, d.base)
			}
			if d.w.Now > began+caughtUpWithin {
				d.bad("SERVED", "it served %d ms after the cut", (d.w.Now-began)/1000)
			}
			d.advance()
			return
		}
		d.k.run(20_000)
	}
	d.bad("SERVED", "it does not serve after the cut")
}

// judgeAll holds each answer of the member that was cut off against what was true.
func (d *cutDay) judgeAll() {
	final := d.k.newest(d.others[0])
	for _, o := range d.acked {
		if !has(final, o) {
			d.bad("LOST", "%s was acknowledged and is not in force", o.Name)
		}
	}
	for _, s := range d.away {
		d.judge(s, final)
	}
}

func (d *cutDay) judge(s *sentAway, final ports.RoutingTable) {
	late := s.sent >= d.refuses
	if s.ended == 0 || s.ended > 0 && s.took() > 1_000_000 && s.what != "move" || late && s.took() > atOnce {
		d.bad("HELD", "%s, sent %d ms after the cut, was held %d ms", s.what, (s.sent-d.cutAt)/1000, s.took()/1000)
	}
	switch a := s.answer.(type) {
	case Fetched:
		if a.OK && a.Table.Revision < s.base {
			d.bad("READ", "revision %d was handed out; %d was acknowledged before", a.Table.Revision, s.base)
		}
		if a.OK && late {
			d.bad("READ", "a table was handed out %d ms after the cut", (s.sent-d.cutAt)/1000)
		}
	case Changed:
		d.judgeOrder(s, a.Result, late, final)
	case Announced:
		rule := map[string]string{"beat": "BEAT", "leave": "LEAVE", "end": "END"}[s.what]
		if a.OK && late {
			d.bad(rule, "%s was acknowledged %d ms after the cut", s.what, (s.sent-d.cutAt)/1000)
		}
	case Moved:
		if a.Result.Outcome != ports.Unavailable && late {
			d.bad("MOVE", "a move was decided %d ms after the cut: %d", (s.sent-d.cutAt)/1000, a.Result.Outcome)
		}
	}
}

func (d *cutDay) judgeOrder(s *sentAway, r ports.ChangeResult, late bool, final ports.RoutingTable) {
	switch r.Outcome {
	case ports.Agreed:
		if !has(final, s.order) {
			d.bad("ORDER", "%s was acknowledged and is not in force", s.order.Name)
		}
		if late {
			d.bad("ORDER", "%s was acknowledged %d ms after the cut", s.order.Name, (s.sent-d.cutAt)/1000)
		}
	case ports.Stale:
		if has(final, s.order) || late {
			d.bad("STALE", "%s was refused %d ms after the cut, in force %t", s.order.Name, (s.sent-d.cutAt)/1000, has(final, s.order))
		}
	case ports.Invalid:
		if has(final, s.order) || late {
			d.bad("INVALID", "%s was called invalid %d ms after the cut", s.order.Name, (s.sent-d.cutAt)/1000)
		}
	}
}

// TestCutOffServesNothing: a member that is cut off for 20 s, in each way, refuses
// at once whatever only the newest state can justify; what it acknowledged before
// is kept, those who called it are served by others, and afterwards it serves
// nothing until it has caught up.
func TestCutOffServesNothing(t *testing.T) {
	calls, moved, owners := 0, 0, 0
	for _, x := range cuts {
		for seed := range uint64(6) {
			d := newCutDay(t, seed)
			if d.ms[d.off].core.group("g").order[0] == d.off {
				owners++ // of the group's changes
			}
			d.play(x.from, x.to, x.restart)
			if len(d.broken) > 0 {
				t.Fatalf("%s, seed %d: %d broken, the first: %s", x.name, seed, len(d.broken), strings.Join(d.broken[:min(4, len(d.broken))], "\n"))
			}
			if len(d.acked) < 10 || d.moved < 20 {
				t.Fatalf("%s, seed %d: only %d orders and %d databases went to others", x.name, seed, len(d.acked), d.moved)
			}
			calls, moved = calls+len(d.away), moved+d.moved
		}
	}
	if owners == 0 {
		t.Fatal("no member that was cut off held a group's duty")
	}
	t.Logf("%d ways to be cut off, 6 seeds each, in %d with a duty held: %d calls to the member that was cut off, %d databases went on to others", len(cuts), owners, calls, moved)
}

// TestPlantedServesAlone: a member that says what it knows by itself, each kind of
// answer by its own, is seen.
func TestPlantedServesAlone(t *testing.T) {
	plants := []struct {
		rule  string
		alone func(d *cutDay, event any) any
	}{
		{"READ", func(d *cutDay, event any) any {
			if e, ok := event.(Fetch); ok {
				return Fetched{ID: e.ID, Table: d.held(d.off), OK: true}
			}
			return nil
		}},
		{"ORDER", planOutcome(ports.Agreed)},
		{"STALE", planOutcome(ports.Stale)},
		{"INVALID", planOutcome(ports.Invalid)},
		{"BEAT", planAnnounced(func(i ports.Instance) bool { return !i.Leaving })},
		{"LEAVE", planAnnounced(func(i ports.Instance) bool { return i.Leaving && !i.Gone })},
		{"END", planAnnounced(func(i ports.Instance) bool { return i.Gone })},
		{"MOVE", func(_ *cutDay, event any) any {
			if e, ok := event.(Move); ok {
				return Moved{ID: e.ID, Result: MoveResult{Outcome: ports.Invalid, Problem: "no such group"}}
			}
			return nil
		}},
	}
	for _, p := range plants {
		red := 0
		for seed := range uint64(4) {
			d := newCutDay(t, seed)
			d.k.planted = func(to string, event any) any {
				if to != d.off || d.cutAt == 0 {
					return nil
				}
				return p.alone(d, event)
			}
			d.play(true, true, false)
			if slices.ContainsFunc(d.broken, func(b string) bool { return strings.HasPrefix(b, p.rule+":") }) {
				red++
			}
		}
		if red < 4 {
			t.Errorf("%s: seen in %d of 4", p.rule, red)
		}
		t.Logf("%s: seen in %d of 4", p.rule, red)
	}
}

// planOutcome plants a member that judges orders by the table it holds, where that
// leads to an outcome.
func planOutcome(want ports.Outcome) func(*cutDay, any) any {
	return func(d *cutDay, event any) any {
		e, ok := event.(Change)
		if !ok {
			return nil
		}
		t := d.held(d.off)
		if want == ports.Invalid {
			t.Revision = e.Change.Base // the items alone are judged
		}
		if r := judgeAlone(t, e.Change); r.Outcome == want {
			return Changed{ID: e.ID, Result: r}
		}
		return nil
	}
}

func planAnnounced(which func(ports.Instance) bool) func(*cutDay, any) any {
	return func(_ *cutDay, event any) any {
		if e, ok := event.(Announce); ok && which(e.Instance) {
			return Announced{ID: e.ID, OK: true}
		}
		return nil
	}
}

// TestPlantedNewsOfOne: a node that took the word of one member for a majority's
// would have a lease while it hears that one alone.
func TestPlantedNewsOfOne(t *testing.T) {
	for seed := range uint64(4) {
		d := newCutDay(t, seed)
		take := d.n.Take
		d.n.Take = func(to string, e *schema.Envelope) {
			take(to, e)
			if r := e.GetLookReturn(); to == d.node.at && e.From == d.off && d.cutAt > 0 && r.GetNumber() > 0 {
				m := d.ms[d.off].core.voter.Membership()
				d.node.view.Step(d.w.Now, d.others[0], &schema.LookReturn{Number: r.Number, Life: 5, Seq: 0, Active: m.Number,
					Disk: m.Voters[d.others[0]], Membership: m.Message()})
			}
		}
		d.play(true, true, false)
		if !slices.ContainsFunc(d.broken, func(b string) bool { return strings.HasPrefix(b, "NEWS:") }) {
			t.Errorf("seed %d: it is not seen: %v", seed, d.broken)
		}
	}
}

// TestStartingServesNothing: a member that has not met a majority yet refuses all
// calls at once, whether it starts for the first time or has its disk.
func TestStartingServesNothing(t *testing.T) {
	for seed := range uint64(6) {
		for _, founded := range []bool{false, true} {
			c, k := newCluster(t, seed, 3, 3, 1), (*callers)(nil)
			if k = newCallers(c); founded {
				c, k = settled(t, seed)
				for _, a := range c.order {
					c.kill(a, false)
				}
			}
			a := c.order[0]
			c.start(a)
			c.ms[a].does, k.read[a] = nil, 0
			for range 20 {
				for _, q := range []*asked{k.fetch(a), k.order(a, tableOrder(0, 1, "first")), k.order(a, tableOrder(1, 2, "next")),
					k.announce(a, ports.Instance{ID: "d", Group: "g", Address: "d:1", Call: 1}), k.announce(a, ports.Instance{ID: "e", Group: "g", Address: "e:1", Call: 1, Leaving: true})} {
					k.run(100_000)
					switch r := q.answer.(type) {
					case Fetched:
						if r.OK {
							t.Fatalf("seed %d, founded %t: it handed out %d", seed, founded, r.Table.Revision)
						}
					case Changed:
						if r.Result.Outcome != ports.Unavailable {
							t.Fatalf("seed %d, founded %t: an order ended as %d", seed, founded, r.Result.Outcome)
						}
					case Announced:
						if r.OK {
							t.Fatalf("seed %d, founded %t: a database's word was acknowledged", seed, founded)
						}
					}
					if q.ended == 0 || q.took() > atOnce {
						t.Fatalf("seed %d, founded %t: a call was held", seed, founded)
					}
				}
			}
			for _, o := range c.order[1:] {
				c.start(o)
			}
			k.run(2_000_000)
			if o := k.take(tableOrder(0, 1, "first"), a); o != ports.Agreed {
				t.Fatalf("seed %d, founded %t: with a majority the first order ended as %d", seed, founded, o)
			}
		}
	}
}

// TestThawedServesNothingOld: what came while a member stood still is refused when
// it goes on, and no return that waited with it is taken for the newest state.
func TestThawedServesNothingOld(t *testing.T) {
	for seed := range uint64(8) {
		c, k := settled(t, seed)
		m := c.ms[c.order[0]]
		var waiting []*schema.Envelope
		take := c.n.Take
		// The reading leaves, and its returns wait with the member.
		a := k.fetch(c.order[0])
		m.up = false
		c.n.Take = func(to string, e *schema.Envelope) {
			if to == c.order[0] {
				waiting = append(waiting, e)
				return
			}
			take(to, e)
		}
		k.run(3_000_000)
		if o := k.take(tableOrder(1, 2, "meanwhile"), c.order[1], c.order[2]); o != ports.Agreed {
			t.Fatalf("seed %d: the others ended an order as %d", seed, o)
		}
		m.up = true
		evs := make([]any, len(waiting))
		for i, e := range waiting {
			evs[i] = e
		}
		c.step(c.order[0], evs...)
		k.collect()
		if f, _ := a.answer.(Fetched); f.OK {
			t.Fatalf("seed %d: it handed out revision %d, %d ms after it was asked", seed, f.Table.Revision, a.took()/1000)
		}
	}
}

// TestNobodyIsGoneWithoutContact: a member that is cut off hears nothing of
// databases that call others, and says of none that it is gone; nor does it say so
// right after the cut, when it has a lease and has not heard of them yet.
func TestNobodyIsGoneWithoutContact(t *testing.T) {
	plays := 0
	for _, x := range cuts {
		for seed := range uint64(12) {
			if x.restart {
				continue
			}
			d := newCutDay(t, seed)
			beat := func(to string) { d.k.announce(to, d.database("steady", "ready")) }
			beat(d.off)
			d.k.run(500_000)
			d.from, d.to, d.cutAt = x.from, x.to, d.w.Now
			d.cut(true)
			mendAt := d.cutAt + cutFor + int64(seed)*300_000
			d.w.After(mendAt-d.w.Now, func() { d.n.Mend() })
			for d.w.Now < mendAt+8_000_000 {
				beat(d.others[0])
				d.k.run(1_200_000)
			}
			for _, m := range d.order {
				for _, did := range d.ms[m].does {
					if s, ok := did.(Say); ok && strings.HasPrefix(s.Text, "steady ") && strings.HasSuffix(s.Text, "gone true") {
						t.Fatalf("%s, seed %d: %s took a database for gone that called another one", x.name, seed, m)
					}
				}
			}
			plays++
		}
	}
	t.Logf("%d plays", plays)
}
