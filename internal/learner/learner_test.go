package learner

import (
	"testing"

	"stoneford/schema"
)

var testVoters = []string{"a", "b", "c"}

func newTestLearner(run uint64, contacts ...string) *Learner {
	return New(Config{Self: "n", Contacts: contacts, Zone: "z", Name: "n", Kind: "pool", Run: run})
}

func sendPolls(t *testing.T, l *Learner, now int64) map[string]*schema.Poll {
	t.Helper()
	l.RequestPoll()
	out := map[string]*schema.Poll{}
	for _, s := range l.Tick(now, func() Report { return Report{} }) {
		out[s.To] = s.Envelope.GetPoll()
	}
	if len(out) != len(testVoters) {
		t.Fatalf("%d polls", len(out))
	}
	return out
}

// diskOf is the identity of a voter's disk.
func diskOf(address string) uint64 { return uint64(address[0]) }

func membershipMessage(number uint64, addresses ...string) *schema.Membership {
	m := &schema.Membership{Number: number}
	for _, address := range addresses {
		m.Voters = append(m.Voters, &schema.Voter{Address: address, DiskId: diskOf(address)})
	}
	return m
}

func pollResponse(from string, poll *schema.Poll, run uint64, revs ...uint64) *schema.PollResponse {
	r := &schema.PollResponse{Number: poll.Number, VoterRun: run, ChangeNumber: 10, ActiveMembership: 1, DiskId: diskOf(from), Membership: membershipMessage(1, testVoters...)}
	if poll.VoterRun == run {
		r.SinceChange = poll.ChangeNumber
	}
	for _, n := range revs {
		r.Registers = append(r.Registers, &schema.RegisterState{Key: "leader/g", Accepted: &schema.Ballot{Membership: 1, Number: n}, Value: &schema.Value{Revision: n, Data: []byte{byte(n)}}})
	}
	return r
}

// TestResponseOfARunWithALowerNumberCounts: the time of day may step back between two runs
// of a voter; the later run counts all the same, and a late response of the earlier
// one does not come back in.
func TestResponseOfARunWithALowerNumberCounts(t *testing.T) {
	l := newTestLearner(9, testVoters...)
	polls := sendPolls(t, l, 1_000_000)
	l.Step(1_010_000, "a", pollResponse("a", polls["a"], 900, 1))
	l.Step(1_010_000, "b", pollResponse("b", polls["b"], 900, 1))
	if l.LeaseUntil() != 1_000_000+LeaseDurationUs {
		t.Fatal("no lease")
	}
	late := sendPolls(t, l, 1_100_000)
	polls = sendPolls(t, l, 1_200_000)
	// Both ran anew with numbers that are less.
	l.Step(1_210_000, "a", pollResponse("a", polls["a"], 5, 1, 2))
	l.Step(1_210_000, "b", pollResponse("b", polls["b"], 5, 1, 2))
	if c, _ := l.Committed("leader/g"); c.Revision != 2 || l.LeaseUntil() != 1_200_000+LeaseDurationUs {
		t.Fatalf("revision %d, lease until %d: the later runs do not count", c.Revision, l.LeaseUntil())
	}
	old := pollResponse("a", late["a"], 900, 3)
	old.SinceChange = 0
	l.Step(1_220_000, "a", old)
	if l.voters["a"].run != 5 {
		t.Fatal("the earlier run came back in")
	}
}

// TestResponsesToAnEarlierRunDoNotCount: a return that is late by a restart of the
// asker proves nothing to its next run.
func TestResponsesToAnEarlierRunDoNotCount(t *testing.T) {
	for run := range uint64(200) {
		before, after := newTestLearner(run, testVoters...), newTestLearner(run+1, testVoters...)
		was := sendPolls(t, before, 1_000_000)
		sendPolls(t, after, 1_000_000)
		after.Step(1_001_000, "a", pollResponse("a", was["a"], 900, 1))
		after.Step(1_001_000, "b", pollResponse("b", was["b"], 900, 1))
		if after.LeaseUntil() != 0 {
			t.Fatalf("run %d: a lease on what an earlier run was returned", run)
		}
	}
}

// TestVotersAreLearned: more voters than the seeds that were named.
func TestVotersAreLearned(t *testing.T) {
	l := newTestLearner(1, testVoters[:1]...)
	l.RequestPoll()
	ss := l.Tick(1, func() Report { return Report{} })
	l.Step(2, "a", pollResponse("a", ss[0].Envelope.GetPoll(), 3, 1))
	if len(l.Voters()) != 3 || l.LeaseUntil() != 0 {
		t.Fatalf("%v, lease until %d", l.Voters(), l.LeaseUntil())
	}
	if _, ok := l.Committed("leader/g"); ok {
		t.Fatal("one of three is taken for a majority")
	}
}

// TestRemovedVotersDoNotCount: under a newer membership neither the lease nor an
// agreed value rests on a voter that it does not name, or on what was accepted under
// the one before.
func TestRemovedVotersDoNotCount(t *testing.T) {
	l := newTestLearner(9, testVoters...)
	polls := sendPolls(t, l, 1_000_000)
	l.Step(1_010_000, "a", pollResponse("a", polls["a"], 900))
	l.Step(1_010_000, "b", pollResponse("b", polls["b"], 900))
	if l.LeaseUntil() != 1_000_000+LeaseDurationUs {
		t.Fatal("no lease")
	}
	// The membership after it names d in the place of c; a says so first.
	polls = sendPolls(t, l, 1_400_000)
	next := func(from string, active uint64, revisions ...uint64) *schema.PollResponse {
		r := pollResponse(from, polls[from], 900, revisions...)
		r.Membership, r.ActiveMembership, r.SinceChange = membershipMessage(2, "a", "b", "d"), active, 0
		return r
	}
	l.Step(1_410_000, "a", next("a", 2))
	late := pollResponse("c", polls["c"], 900, 1)
	l.Step(1_410_000, "c", late)
	l.Step(1_410_000, "b", next("b", 1, 1))
	if l.LeaseUntil() != 1_000_000+LeaseDurationUs {
		t.Error("a lease on a voter that is removed, or on one that votes under the membership before")
	}
	if _, ok := l.Committed("leader/g"); ok {
		t.Error("agreed on what was accepted under the membership before")
	}
	polls = sendPolls(t, l, 1_500_000)
	l.Step(1_510_000, "a", next("a", 2))
	l.Step(1_510_000, "d", next("d", 2))
	if l.LeaseUntil() != 1_500_000+LeaseDurationUs {
		t.Error("no lease on a majority of the voters of now")
	}
}

// TestUnconfirmedRevisionOfALostDiskIsDropped: a revision that only a lost disk had accepted was never chosen;
// it stays unconfirmed until a lease rests on what the present voters hold, and not
// before.
func TestUnconfirmedRevisionOfALostDiskIsDropped(t *testing.T) {
	l := newTestLearner(9, testVoters...)
	polls := sendPolls(t, l, 1_000_000)
	l.Step(1_010_000, "a", pollResponse("a", polls["a"], 900, 1, 2))
	l.Step(1_010_000, "b", pollResponse("b", polls["b"], 900, 1))
	l.Step(1_010_000, "c", pollResponse("c", polls["c"], 900, 1))
	if !l.Unconfirmed("leader/g") {
		t.Fatal("what one voter alone holds counts as confirmed")
	}
	polls = sendPolls(t, l, 1_400_000)
	// The disk of a is lost; another disk takes its place.
	next := membershipMessage(2, testVoters...)
	next.Voters[0].DiskId = 77
	answer := func(from string, run uint64) *schema.PollResponse {
		r := pollResponse(from, polls[from], run, 1)
		r.Membership, r.ActiveMembership, r.SinceChange = next, 2, 0
		r.Registers[0].Accepted.Membership = 2
		if from == "a" {
			r.DiskId = 77
		}
		return r
	}
	l.Step(1_410_000, "b", answer("b", 900))
	l.Step(1_410_000, "c", answer("c", 900))
	if !l.Unconfirmed("leader/g") {
		t.Error("it is dropped while a held it, as far as is known")
	}
	l.Step(1_420_000, "a", answer("a", 901))
	if !l.Unconfirmed("leader/g") {
		t.Error("it is dropped before a lease whose poll was sent after a came back")
	}
	polls = sendPolls(t, l, 1_800_000)
	for _, o := range testVoters {
		r := answer(o, map[string]uint64{"a": 901, "b": 900, "c": 900}[o])
		l.Step(1_810_000, o, r)
	}
	if l.Unconfirmed("leader/g") {
		t.Error("it is not dropped")
	}
	if c, ok := l.Committed("leader/g"); !ok || c.Revision != 1 {
		t.Errorf("%v is agreed", c)
	}
}
