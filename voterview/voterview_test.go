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

// TestRemovedVotersCountNoMore: under a newer membership neither the lease nor an
// agreed value rests on a voter that it does not name, or on what was accepted under
// the one before.
func TestRemovedVotersCountNoMore(t *testing.T) {
	v := New("n", voters, "z", "n", "pool", 9)
	l := looks(t, v, 1_000_000)
	v.Step(1_010_000, "a", ret("a", l["a"], 900))
	v.Step(1_010_000, "b", ret("b", l["b"], 900))
	if v.LeaseUntil() != 1_000_000+LeaseUs {
		t.Fatal("no lease")
	}
	// The membership after it names d in the place of c; a says so first.
	l = looks(t, v, 1_400_000)
	next := func(from string, active uint64, revisions ...uint64) *schema.LookReturn {
		r := ret(from, l[from], 900, revisions...)
		r.Membership, r.Active, r.Since = membership(2, "a", "b", "d"), active, 0
		return r
	}
	v.Step(1_410_000, "a", next("a", 2))
	late := ret("c", l["c"], 900, 1)
	v.Step(1_410_000, "c", late)
	v.Step(1_410_000, "b", next("b", 1, 1))
	if v.LeaseUntil() != 1_000_000+LeaseUs {
		t.Error("a lease on a voter that is removed, or on one that votes under the membership before")
	}
	if _, ok := v.Agreed("leader/g"); ok {
		t.Error("agreed on what was accepted under the membership before")
	}
	l = looks(t, v, 1_500_000)
	v.Step(1_510_000, "a", next("a", 2))
	v.Step(1_510_000, "d", next("d", 2))
	if v.LeaseUntil() != 1_500_000+LeaseUs {
		t.Error("no lease on a majority of the voters of now")
	}
}

// TestDoubtEnds: a revision that only a lost disk had accepted was never chosen;
// the doubt about it ends once a lease rests on what the voters of now hold, and not
// before.
func TestDoubtEnds(t *testing.T) {
	v := New("n", voters, "z", "n", "pool", 9)
	l := looks(t, v, 1_000_000)
	v.Step(1_010_000, "a", ret("a", l["a"], 900, 1, 2))
	v.Step(1_010_000, "b", ret("b", l["b"], 900, 1))
	v.Step(1_010_000, "c", ret("c", l["c"], 900, 1))
	if !v.Doubt("leader/g") {
		t.Fatal("no doubt about what one voter holds")
	}
	l = looks(t, v, 1_400_000)
	// The disk of a is lost; another disk takes its place.
	next := membership(2, voters...)
	next.Voters[0].Life = 77
	answer := func(from string, life uint64) *schema.LookReturn {
		r := ret(from, l[from], life, 1)
		r.Membership, r.Active, r.Since = next, 2, 0
		r.Cells[0].Accepted.Membership = 2
		if from == "a" {
			r.Disk = 77
		}
		return r
	}
	v.Step(1_410_000, "b", answer("b", 900))
	v.Step(1_410_000, "c", answer("c", 900))
	if !v.Doubt("leader/g") {
		t.Error("the doubt ends while a held it, as far as is known")
	}
	v.Step(1_420_000, "a", answer("a", 901))
	if !v.Doubt("leader/g") {
		t.Error("the doubt ends before a lease that was asked for after a came back")
	}
	l = looks(t, v, 1_800_000)
	for _, o := range voters {
		r := answer(o, map[string]uint64{"a": 901, "b": 900, "c": 900}[o])
		v.Step(1_810_000, o, r)
	}
	if v.Doubt("leader/g") {
		t.Error("the doubt does not end")
	}
	if c, ok := v.Agreed("leader/g"); !ok || c.Revision != 1 {
		t.Errorf("%v is agreed", c)
	}
}
