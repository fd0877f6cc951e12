package voterview

import (
	"testing"

	"stoneford/schema"
)

var voters = []string{"a", "b", "c"}

func looks(t *testing.T, v *View, now int64) map[string]*schema.Look {
	t.Helper()
	v.Want()
	out := map[string]*schema.Look{}
	for _, s := range v.Tick(now, func() Report { return Report{} }) {
		out[s.To] = s.Env.GetLook()
	}
	if len(out) != len(voters) {
		t.Fatalf("%d looks", len(out))
	}
	return out
}

// disk is the identity of a voter's disk.
func disk(address string) uint64 { return uint64(address[0]) }

func membership(number uint64, addresses ...string) *schema.Membership {
	m := &schema.Membership{Number: number}
	for _, address := range addresses {
		m.Voters = append(m.Voters, &schema.Voter{Address: address, Life: disk(address)})
	}
	return m
}

func ret(from string, l *schema.Look, life uint64, revs ...uint64) *schema.LookReturn {
	r := &schema.LookReturn{Number: l.Number, Life: life, Seq: 10, Active: 1, Disk: disk(from), Membership: membership(1, voters...)}
	if l.Life == life {
		r.Since = l.Seq
	}
	for _, n := range revs {
		r.Cells = append(r.Cells, &schema.Cell{Key: "leader/g", Accepted: &schema.Ballot{Membership: 1, Round: n}, Value: &schema.Value{Revision: n, Data: []byte{byte(n)}}})
	}
	return r
}

// TestARunWithALowerNumberCounts: the time of day may step back between two runs
// of a voter; the later run counts all the same, and a late word of the earlier
// one does not come back in.
func TestARunWithALowerNumberCounts(t *testing.T) {
	v := New("n", voters, "z", "n", "pool", 9)
	l := looks(t, v, 1_000_000)
	v.Step(1_010_000, "a", ret("a", l["a"], 900, 1))
	v.Step(1_010_000, "b", ret("b", l["b"], 900, 1))
	if v.LeaseUntil() != 1_000_000+LeaseUs {
		t.Fatal("no lease")
	}
	late := looks(t, v, 1_100_000)
	l = looks(t, v, 1_200_000)
	// Both ran anew with numbers that are less.
	v.Step(1_210_000, "a", ret("a", l["a"], 5, 1, 2))
	v.Step(1_210_000, "b", ret("b", l["b"], 5, 1, 2))
	if c, _ := v.Agreed("leader/g"); c.Revision != 2 || v.LeaseUntil() != 1_200_000+LeaseUs {
		t.Fatalf("revision %d, lease until %d: the later runs do not count", c.Revision, v.LeaseUntil())
	}
	old := ret("a", late["a"], 900, 3)
	old.Since = 0
	v.Step(1_220_000, "a", old)
	if v.vs["a"].life != 5 {
		t.Fatal("the earlier run came back in")
	}
}

// TestReturnsToAnEarlierRunDoNotCount: a return that is late by a restart of the
// asker proves nothing to its next run.
func TestReturnsToAnEarlierRunDoNotCount(t *testing.T) {
	for run := range uint64(200) {
		before, after := New("n", voters, "z", "n", "pool", run), New("n", voters, "z", "n", "pool", run+1)
		was := looks(t, before, 1_000_000)
		looks(t, after, 1_000_000)
		after.Step(1_001_000, "a", ret("a", was["a"], 900, 1))
		after.Step(1_001_000, "b", ret("b", was["b"], 900, 1))
		if after.LeaseUntil() != 0 {
			t.Fatalf("run %d: a lease on what an earlier run was returned", run)
		}
	}
}

// TestVotersAreLearned: more voters than the seeds that were named.
func TestVotersAreLearned(t *testing.T) {
	v := New("n", voters[:1], "z", "n", "pool", 1)
	v.Want()
	ss := v.Tick(1, func() Report { return Report{} })
	v.Step(2, "a", ret("a", ss[0].Env.GetLook(), 3, 1))
	if len(v.Voters()) != 3 || v.LeaseUntil() != 0 {
		t.Fatalf("%v, lease until %d", v.Voters(), v.LeaseUntil())
	}
	if _, ok := v.Agreed("leader/g"); ok {
		t.Fatal("one of three is taken for a majority")
	}
}
