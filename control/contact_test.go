package control_test

import (
	"fmt"
	"testing"

	"stoneford/control"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/simulation"
)

// trio is three control processes on a network.
type trio struct {
	w     *simulation.World
	n     *simulation.Network
	cores map[string]*control.Core
	seeds []string
	told  map[uint64]control.Return
	at    map[uint64]int64
}

func newTrio(seed uint64) *trio {
	x := &trio{w: simulation.NewWorld(seed), cores: map[string]*control.Core{}, told: map[uint64]control.Return{}, at: map[uint64]int64{}}
	x.n = simulation.NewNetwork(x.w)
	x.n.Take = func(to string, e *schema.Envelope) { x.step(to, e) }
	x.seeds = []string{"a:1", "b:1", "c:1"}
	for i, s := range x.seeds {
		x.cores[s] = control.NewCore(&schema.Boot{Name: s[:1], Listen: s, Seeds: x.seeds}, 1, uint64(i+1))
		var tick func()
		tick = func() { x.step(s); x.w.After(20_000, tick) }
		tick()
	}
	return x
}

func (x *trio) step(at string, evs ...any) {
	fx := x.cores[at].Step(x.w.Now, evs...)
	for _, s := range fx.Send {
		x.n.Send(at, s)
	}
	for _, d := range fx.Do {
		if r, ok := d.(control.Return); ok {
			x.told[r.ID], x.at[r.ID] = r, x.w.Now
		}
	}
}

// TestCutOffTellsOperatorsNothing: a control process that is cut off, in either
// direction, refuses readings and changes of the configuration at once, and
// afterwards hands out nothing old.
func TestCutOffTellsOperatorsNothing(t *testing.T) {
	const silenceSeen = 2_000_000
	calls := 0
	for _, cut := range []struct{ from, to bool }{{true, true}, {true, false}, {false, true}} {
		x := newTrio(3)
		x.w.Run(3_000_000)
		for _, o := range x.seeds[1:] {
			x.n.Cut("a:1", o, cut.from)
			x.n.Cut(o, "a:1", cut.to)
		}
		began, id := x.w.Now, uint64(0)
		for ; x.w.Now < began+20_000_000; x.w.Run(x.w.Now + 250_000) {
			sent := x.w.Now
			for _, e := range []any{control.GetConfiguration{ID: id + 1, Partner: "p"}, control.PutConfiguration{ID: id + 2, Partner: "p", Text: []byte(`{}`)}} {
				x.step("a:1", e)
			}
			for _, n := range []uint64{id + 1, id + 2} {
				r, told := x.told[n]
				if sent > began+silenceSeen && (!told || x.at[n] != sent || r.Code != result.NoVoterMajority) {
					t.Fatalf("%v: %d ms after the cut call %d was told %v, %t", cut, (sent-began)/1000, n, r.Code, told)
				}
				calls++
			}
			id += 2
		}
		for n, r := range x.told {
			if r.Code == result.OK || r.Code == result.LosingRevision || r.Code == result.InvalidConfiguration {
				t.Fatalf("%v: call %d was told %d", cut, n, r.Code)
			}
		}
		x.step("b:1", control.GetConfiguration{ID: 99_999, Partner: "p"})
		x.w.Run(x.w.Now + 500_000)
		if r, told := x.told[99_999]; !told || r.Code != result.OK {
			t.Fatalf("%v: another one told %v, %t", cut, r, told)
		}
		x.n.Mend()
		x.w.Run(x.w.Now + 3_000_000)
		x.step("a:1", control.GetConfiguration{ID: 100_000, Partner: "p"})
		x.w.Run(x.w.Now + 500_000)
		if r, told := x.told[100_000]; !told || r.Code != result.OK {
			t.Fatalf("%v: after the cut a reading was told %v, %t", cut, r, told)
		}
	}
	t.Log(fmt.Sprint(calls), "calls to a control process that was cut off, in three ways")
}
