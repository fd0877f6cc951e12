package control_test

import (
	"fmt"
	"testing"

	"stoneford/emulator/simulation"
	"stoneford/emulator/virtualtime"
	"stoneford/internal/control"
	"stoneford/result"
	"stoneford/schema"
)

// threeProcesses is three control processes on a network.
type threeProcesses struct {
	environment *virtualtime.Scheduler
	network     *simulation.Network
	cores       map[string]*control.Core
	seeds       []string
	results     map[uint64]control.ConfigurationResult
	resultsAt   map[uint64]int64
}

func newThreeProcesses(seed uint64) *threeProcesses {
	x := &threeProcesses{environment: virtualtime.NewScheduler(seed, virtualtime.DefaultStream), cores: map[string]*control.Core{}, results: map[uint64]control.ConfigurationResult{}, resultsAt: map[uint64]int64{}}
	x.network = simulation.NewNetwork(x.environment)
	x.network.Receive = func(to string, e *schema.Envelope) { x.step(to, e) }
	x.seeds = []string{"a:1", "b:1", "c:1"}
	for i, s := range x.seeds {
		x.cores[s] = control.NewCore(&schema.Boot{Name: s[:1], Listen: s, Seeds: x.seeds}, 1, uint64(i+1))
		var tick func()
		tick = func() { x.step(s); x.environment.After(20_000, tick) }
		tick()
	}
	return x
}

func (x *threeProcesses) step(at string, events ...any) {
	effects := x.cores[at].Step(x.environment.Now, events...)
	for _, s := range effects.Send {
		x.network.Send(at, s)
	}
	for _, d := range effects.Do {
		if r, ok := d.(control.ConfigurationResult); ok {
			x.results[r.ID], x.resultsAt[r.ID] = r, x.environment.Now
		}
	}
}

// TestDisconnectedProcessRejectsOperators: a control process that is cut off, in either
// direction, refuses readings and changes of the configuration at once, and
// afterwards hands out nothing old.
func TestDisconnectedProcessRejectsOperators(t *testing.T) {
	const timeoutNoticed = 2_000_000
	calls := 0
	for _, partition := range []struct{ from, to bool }{{true, true}, {true, false}, {false, true}} {
		x := newThreeProcesses(3)
		x.environment.Run(3_000_000)
		for _, o := range x.seeds[1:] {
			x.network.SetPartition("a:1", o, partition.from)
			x.network.SetPartition(o, "a:1", partition.to)
		}
		began, id := x.environment.Now, uint64(0)
		for ; x.environment.Now < began+20_000_000; x.environment.Run(x.environment.Now + 250_000) {
			sent := x.environment.Now
			for _, e := range []any{control.GetConfiguration{ID: id + 1, Partner: "p"}, control.PutConfiguration{ID: id + 2, Partner: "p", Text: []byte(`{}`)}} {
				x.step("a:1", e)
			}
			for _, n := range []uint64{id + 1, id + 2} {
				r, replied := x.results[n]
				if sent > began+timeoutNoticed && (!replied || x.resultsAt[n] != sent || r.Code != result.NoVoterMajority) {
					t.Fatalf("%v: %d ms after the cut call %d was told %v, %t", partition, (sent-began)/1000, n, r.Code, replied)
				}
				calls++
			}
			id += 2
		}
		for n, r := range x.results {
			if r.Code == result.OK || r.Code == result.LosingRevision || r.Code == result.InvalidConfiguration {
				t.Fatalf("%v: call %d was told %d", partition, n, r.Code)
			}
		}
		x.step("b:1", control.GetConfiguration{ID: 99_999, Partner: "p"})
		x.environment.Run(x.environment.Now + 500_000)
		if r, replied := x.results[99_999]; !replied || r.Code != result.OK {
			t.Fatalf("%v: another one told %v, %t", partition, r, replied)
		}
		x.network.Repair()
		x.environment.Run(x.environment.Now + 3_000_000)
		x.step("a:1", control.GetConfiguration{ID: 100_000, Partner: "p"})
		x.environment.Run(x.environment.Now + 500_000)
		if r, replied := x.results[100_000]; !replied || r.Code != result.OK {
			t.Fatalf("%v: after the cut a reading was told %v, %t", partition, r, replied)
		}
	}
	t.Log(fmt.Sprint(calls), "calls to a control process that was cut off, in three ways")
}
