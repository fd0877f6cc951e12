package voterlog_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"stoneford/paxos"
	"stoneford/schema"
	"stoneford/voterlog"
	"stoneford/voterlog/crashdisk"
)

// crash runs a voter over a disk that loses power at any call, or refuses, and
// holds that what was synced is there afterwards.
func crash(seed uint64, plant crashdisk.Plant) (bad string, losses, refusals int) {
	r := rand.New(rand.NewPCG(seed, 7))
	d := crashdisk.New(r)
	var v *paxos.Acceptor
	var l *voterlog.Log
	// What the world outside was told: the newest promise and accepted revision.
	told := map[string]*schema.Cell{}
	round := uint64(0)
	open := func() string {
		d.Refuse = 0
		var err error
		for {
			v = paxos.NewAcceptor("a", r.Uint64()|1, paxos.Place{}, []string{"a"})
			if l, err = voterlog.OpenIn(d, "/v", v.Restore); err == nil {
				break
			}
			if err != crashdisk.ErrPower {
				return err.Error()
			}
			d.Plant = crashdisk.None
			d.PowerLoss() // while it starts
		}
		d.Plant = plant
		if len(told) > 0 && !v.Votes() {
			return "the voter that voted has an empty disk"
		}
		for k, c := range told {
			h := v.Cell(k)
			if h == nil || paxos.Less(h.Accepted, c.Accepted) || paxos.Less(h.Promised, c.Promised) {
				return fmt.Sprintf("%s: %v was told, %v is there", k, c, h)
			}
		}
		return ""
	}
	if bad := open(); bad != "" {
		return bad, 0, 0
	}
	for range 60 {
		if r.IntN(6) == 0 {
			d.Steps = r.IntN(12)
		}
		d.Refuse = 0
		if r.IntN(8) == 0 {
			d.Refuse = 0.3
		}
		fx := v.Tick(1)
		round++
		k := fmt.Sprint("k", r.IntN(3))
		e := &schema.Envelope{From: "p", Body: &schema.Envelope_Accept{Accept: &schema.Accept{Key: k, Membership: 1, Ballot: &schema.Ballot{Membership: 1, Round: round, Proposer: "p"},
			Value: &schema.Value{Revision: round, Data: bytes.Repeat([]byte{byte(round)}, r.IntN(3000))}}}}
		fy := v.Step(1, e)
		es := append(fx.Log, fy.Log...)
		if r.IntN(10) == 0 {
			es = []*schema.VoterLog{v.Snapshot()}
		}
		err := l.Write(es, v.Snapshot)
		for err != nil && d.Steps != 0 && r.IntN(3) > 0 {
			refusals++
			err = l.Write(es, v.Snapshot) // as the core does, with the whole state
		}
		switch {
		case err == nil:
			if c := v.Cell(k); c != nil && len(fy.Send) > 0 {
				told[k] = proto.Clone(c).(*schema.Cell)
			}
			if r.IntN(15) > 0 {
				continue
			}
			fallthrough // the power goes right after the acknowledgement
		default:
			if d.Steps != 0 && r.IntN(3) == 0 { // only the process ends
				if bad := open(); bad != "" {
					return bad, losses, refusals
				}
				continue
			}
			losses++
			d.Plant = crashdisk.None
			d.PowerLoss()
			if bad := open(); bad != "" {
				return bad, losses, refusals
			}
		}
	}
	return "", losses, refusals
}

// TestCrashes: over thousands of seeds whatever a voter told is there after the
// power was lost at any call, the process ended, or the disk refused.
func TestCrashes(t *testing.T) {
	seeds, losses, refusals := uint64(3000/voterlog.Slower), 0, 0
	if testing.Short() {
		seeds = 500 / voterlog.Slower
	}
	for seed := range seeds {
		bad, n, m := crash(seed, crashdisk.None)
		if bad != "" {
			t.Fatalf("seed %d: %s", seed, bad)
		}
		losses, refusals = losses+n, refusals+m
	}
	t.Logf("%d seeds: %d losses of power, %d refused writes", seeds, losses, refusals)
	if losses < int(seeds)*3 || refusals < int(seeds)/2 {
		t.Error("the runs show little")
	}
}

// TestCrashesPlanted: a disk that does not keep what the log rests on is seen.
func TestCrashesPlanted(t *testing.T) {
	for _, x := range crashdisk.Planted {
		seen, first := 0, ""
		for seed := range uint64(100) {
			if bad, _, _ := crash(seed, x.Plant); bad != "" {
				if first == "" {
					first = bad[:min(len(bad), 120)]
				}
				seen++
			}
		}
		t.Logf("%s: %d of 100 seeds show it, first: %s", x.What, seen, first)
		least := 80
		if x.Plant == crashdisk.OldRemoved {
			least = 15 // few of the writes are snapshots
		}
		if seen < least {
			t.Errorf("%s: only %d of 100 seeds show it", x.What, seen)
		}
	}
}
