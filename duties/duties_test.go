package duties

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"stoneford/paxos"
	"stoneford/schema"
)

// register is one that a majority keeps, seen from afar: changes and readings
// arrive late or never, and so do their outcomes.
type register struct {
	v *schema.Value
}

func (r *register) put(c paxos.Change) paxos.Outcome {
	o := paxos.Outcome{Change: c, Verdict: paxos.Agreed, Value: r.v}
	switch {
	case c.Read:
	case c.Base != r.v.GetRevision():
		o.Verdict = paxos.Lost
	default:
		r.v = &schema.Value{Revision: c.Base + 1, Data: c.Data}
		o.Value = r.v
	}
	return o
}

// TestOneIsExclusive: three candidates under clocks that run up to 8 % apart die,
// freeze, leave, come back as another run and do not hear one another; never do
// two of them count as the only holder, and mostly one does.
func TestOneIsExclusive(t *testing.T) {
	type candidate struct {
		d      *Duties
		rate   float64
		offset int64
		silent int64
		in     []func(now int64)
		run    uint64
	}
	held, ticks, handed, changed := 0, 0, 0, 0
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 3))
		reg := &register{}
		names := []string{"a", "b", "c"}
		cs := map[string]*candidate{}
		n, runs := 0, uint64(0)
		start := func(a string) {
			runs++
			c := &candidate{rate: 0.96 + 0.08*r.Float64(), offset: r.Int64N(1<<40) + 1_000_000, run: runs}
			c.d = New(a, c.run, names, func() string { n++; return fmt.Sprint(n) }, func(string, int64) *schema.Grants { return &schema.Grants{} })
			c.d.Want([]string{"duty"})
			cs[a] = c
		}
		for _, a := range names {
			start(a)
		}
		last := ""
		for now := int64(0); now < 60_000_000; now += 20_000 {
			clock := func(c *candidate) int64 { return int64(float64(now)*c.rate) + c.offset }
			switch r.IntN(300) {
			case 0:
				cs[names[r.IntN(3)]].silent = now + r.Int64N(6_000_000)
			case 1:
				start(names[r.IntN(3)])
			case 2:
				cs[names[r.IntN(3)]].d.Leave()
			}
			only := ""
			for _, a := range names {
				c := cs[a]
				if now < c.silent {
					continue
				}
				in := c.in
				c.in = nil
				for _, f := range in {
					f(clock(c))
				}
				fx := c.d.Tick(clock(c), func(o string) bool { return o == a || now >= cs[o].silent && !cs[o].d.leaving && r.IntN(200) > 0 })
				for _, ch := range fx.Changes {
					if r.IntN(10) == 0 {
						continue // it never arrives
					}
					if o := reg.put(ch); r.IntN(10) > 0 {
						c.in = append(c.in, func(now int64) { c.d.Outcome(now, o) })
					}
				}
				if c.d.Exclusive("duty", clock(c)) {
					if only != "" {
						t.Fatalf("seed %d at %d us: %s and %s both count as the only holder", seed, now, only, a)
					}
					only = a
				}
			}
			// One that is frozen counts too: it goes on from where it was.
			for _, a := range names {
				if c := cs[a]; now < c.silent && a != only && only != "" && c.d.Exclusive("duty", clock(c)) {
					t.Fatalf("seed %d at %d us: %s froze as the only holder, and so is %s", seed, now, a, only)
				}
			}
			ticks++
			if only != "" {
				held++
				if only != last {
					last = only
					changed++
					if cs[only].d.Grants("duty") != nil {
						handed++
					}
				}
			}
			if r.IntN(60) == 0 {
				for _, a := range names {
					if cs[a].d.leaving {
						start(a)
					}
				}
			}
		}
	}
	t.Logf("held for %.2f of the time, %d changes of holder, %d of them handed on", float64(held)/float64(ticks), changed, handed)
	if float64(held)/float64(ticks) < 0.4 || changed < 500 || handed < 50 {
		t.Error("the runs show little")
	}
}

// Two candidates over one register: one takes the duty, leaves and names the
// other, which acts at once.
func Example() {
	reg, n := &register{}, 0
	name := func() string { n++; return fmt.Sprint(n) }
	alive := func(string) bool { return true }
	ds := []*Duties{New("a", 1, []string{"a", "b"}, name, nil), New("b", 1, []string{"a", "b"}, name, nil)}
	run := func(from, until int64) {
		for now := from; now < until; now += 100_000 {
			for _, d := range ds {
				for _, ch := range d.Tick(now, alive).Changes {
					d.Outcome(now, reg.put(ch))
				}
			}
		}
	}
	for _, d := range ds {
		d.Want([]string{"sweep"})
	}
	run(1_000_000, 5_000_000)
	first, second := ds[0], ds[1]
	if second.Exclusive("sweep", 5_000_000) {
		first, second = second, first
	}
	fmt.Println(first.Exclusive("sweep", 5_000_000), second.Exclusive("sweep", 5_000_000))
	first.Leave()
	run(5_000_000, 6_000_000)
	fmt.Println(first.Exclusive("sweep", 6_000_000), second.Exclusive("sweep", 6_000_000))
	// Output:
	// true false
	// false true
}
