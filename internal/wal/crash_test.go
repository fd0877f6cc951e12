package wal_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"stoneford/internal/wal"
	"stoneford/internal/wal/crashdisk"
	"stoneford/paxos"
	"stoneford/schema"
)

// crash runs a voter over a disk that loses power at any call, or refuses, and
// holds that what was synced is there afterwards.
func crash(seed uint64, mutation crashdisk.Mutation) (bad string, losses, refusals int) {
	r := rand.New(rand.NewPCG(seed, 7))
	d := crashdisk.New(r)
	var v *paxos.Acceptor
	var l *wal.Log
	// What the world outside was told: the newest promise and accepted revision.
	acknowledged := map[string]*schema.RegisterState{}
	number := uint64(0)
	open := func() string {
		d.RefusalRate = 0
		var err error
		for {
			v = paxos.NewAcceptor("a", r.Uint64()|1, paxos.Location{}, []string{"a"})
			if l, err = wal.OpenWith(d, "/v", v.Restore); err == nil {
				break
			}
			if !errors.Is(err, crashdisk.ErrPowerLost) {
				return err.Error()
			}
			d.Mutation = crashdisk.NoMutation
			d.PowerLoss() // while it starts
		}
		d.Mutation = mutation
		if len(acknowledged) > 0 && !v.IsVoter() {
			return "the voter that voted has an empty disk"
		}
		for k, c := range acknowledged {
			h := v.RegisterState(k)
			if h == nil || paxos.BallotLess(h.Accepted, c.Accepted) || paxos.BallotLess(h.Promised, c.Promised) {
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
			d.StepsLeft = r.IntN(12)
		}
		d.RefusalRate = 0
		if r.IntN(8) == 0 {
			d.RefusalRate = 0.3
		}
		fx := v.Tick(1)
		number++
		k := fmt.Sprint("k", r.IntN(3))
		e := &schema.Envelope{From: "p", Body: &schema.Envelope_Accept{Accept: &schema.Accept{Key: k, Membership: 1, Ballot: &schema.Ballot{Membership: 1, Number: number, Proposer: "p"},
			Value: &schema.Value{Revision: number, Data: bytes.Repeat([]byte{byte(number)}, r.IntN(3000))}}}}
		fy := v.Step(1, e)
		es := append(fx.Log, fy.Log...)
		if r.IntN(10) == 0 {
			es = []*schema.WALEntry{v.Snapshot()}
		}
		err := l.Write(es, v.Snapshot)
		for err != nil && d.StepsLeft != 0 && r.IntN(3) > 0 {
			refusals++
			err = l.Write(es, v.Snapshot) // as the core does, with the whole state
		}
		switch {
		case err == nil:
			if c := v.RegisterState(k); c != nil && len(fy.Send) > 0 {
				acknowledged[k] = proto.Clone(c).(*schema.RegisterState)
			}
			if r.IntN(15) > 0 {
				continue
			}
			fallthrough // the power goes right after the acknowledgement
		default:
			if d.StepsLeft != 0 && r.IntN(3) == 0 { // only the process ends
				if bad := open(); bad != "" {
					return bad, losses, refusals
				}
				continue
			}
			losses++
			d.Mutation = crashdisk.NoMutation
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
	seeds, losses, refusals := uint64(3000/wal.Slower), 0, 0
	if testing.Short() {
		seeds = 500 / wal.Slower
	}
	for seed := range seeds {
		bad, n, m := crash(seed, crashdisk.NoMutation)
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

// TestCrashMutationsAreDetected: a disk that does not keep what the log rests on is seen.
func TestCrashMutationsAreDetected(t *testing.T) {
	for _, x := range crashdisk.Mutations {
		seen, first := 0, ""
		for seed := range uint64(100) {
			if bad, _, _ := crash(seed, x.Mutation); bad != "" {
				if first == "" {
					first = bad[:min(len(bad), 120)]
				}
				seen++
			}
		}
		t.Logf("%s: %d of 100 seeds show it, first: %s", x.Name, seen, first)
		least := 80
		if x.Mutation == crashdisk.OldFilesRemovedEarly {
			least = 15 // few of the writes are snapshots
		}
		if seen < least {
			t.Errorf("%s: only %d of 100 seeds show it", x.Name, seen)
		}
	}
}
