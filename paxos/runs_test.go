package paxos

import (
	"testing"

	"stoneford/schema"
)

var runsVoters = Membership{Number: 1, Voters: map[string]uint64{"a": 1, "b": 2, "c": 3}}

// run is a proposer of one run of a's process, and what it asks the voters.
type run struct {
	p     *Proposer
	ended []Outcome
	asks  []*schema.Envelope // one for each time that all were asked
}

func newRun(name string) *run {
	r := &run{p: NewProposer("a", name, nil)}
	r.p.SetMembership(1, runsVoters)
	return r
}

func (r *run) took(fx ProposerEffects) {
	r.ended = append(r.ended, fx.Outcomes...)
	for _, s := range fx.Send {
		if s.To == "a" {
			r.asks = append(r.asks, s.Env)
		}
	}
}

func (r *run) ask(c Change) {
	c.Key, c.Deadline = "k", 1_000_000
	r.took(r.p.Ask(1, c))
}

// replies hands a reply of a voter to the newest question of another run.
func (r *run) promises(of *run, from string) {
	m := of.asks[len(of.asks)-1].GetPrepare()
	r.took(r.p.Step(2, &schema.Envelope{From: from, Body: &schema.Envelope_Promise{Promise: &schema.Promise{Key: "k", Attempt: m.Attempt, Given: true, Promised: m.Ballot, Membership: 1, Life: runsVoters.Voters[from]}}}))
}

func (r *run) accepts(of *run, from string) {
	m := of.asks[len(of.asks)-1].GetAccept()
	r.took(r.p.Step(3, &schema.Envelope{From: from, Body: &schema.Envelope_Accepted{Accepted: &schema.Accepted{Key: "k", Attempt: m.Attempt, Given: true, Promised: m.Ballot, Membership: 1, Life: runsVoters.Voters[from]}}}))
}

// TestRepliesToAnEarlierRunDoNotCount: a process that starts again begins with a
// question of its own. A late reply to the same question of its earlier run says
// what was so then: counted, it has a reading miss what was chosen since, and a
// change be confirmed that no majority accepted.
func TestRepliesToAnEarlierRunDoNotCount(t *testing.T) {
	earlier, later := newRun("1"), newRun("2")
	for _, r := range []*run{earlier, later} {
		r.ask(Change{Name: "reading", Read: true})
	}
	later.promises(later, "a")
	later.promises(earlier, "b")
	later.promises(earlier, "c")
	if len(later.ended) > 0 {
		t.Fatalf("a reading ends with what was said to an earlier run: %+v", later.ended)
	}
	later.promises(later, "b")
	if len(later.ended) != 1 || later.ended[0].Verdict != Agreed {
		t.Fatalf("the reading ends with %+v", later.ended)
	}

	earlier, later = newRun("1"), newRun("2")
	for _, r := range []*run{earlier, later} {
		r.ask(Change{Name: "change"})
		r.promises(r, "a")
		r.promises(r, "b")
		if r.asks[len(r.asks)-1].GetAccept() == nil {
			t.Fatal("nothing was put to the vote")
		}
	}
	later.accepts(later, "a")
	later.accepts(earlier, "b")
	later.accepts(earlier, "c")
	if len(later.ended) > 0 {
		t.Fatalf("a change is agreed on what an earlier run was told: %+v", later.ended)
	}
	later.accepts(later, "c")
	if len(later.ended) != 1 || later.ended[0].Verdict != Agreed {
		t.Fatalf("the change ends with %+v", later.ended)
	}
}
