package ballots_test

import (
	"fmt"

	"stoneford/ballots"
	"stoneford/schema"
	"stoneford/step"
)

// Three voters and a proposer in one process; envelopes are handed over as they
// come, and what a voter logs would be synced here.
func Example() {
	names := []string{"a", "b", "c"}
	voters := map[string]*ballots.Voter{}
	for i, n := range names {
		voters[n] = ballots.NewVoter(n, names, uint32(i+1))
	}
	p := ballots.NewProposer("a", "1", names)
	var line []step.Send
	var ended []ballots.Outcome
	proposed := func(fx ballots.ProposerEffects) {
		line, ended = append(line, fx.Send...), append(ended, fx.Outcomes...)
	}
	run := func() {
		for len(line) > 0 {
			s := line[0]
			line = line[1:]
			switch s.Env.Body.(type) {
			case *schema.Envelope_Promise, *schema.Envelope_Accepted:
				proposed(p.Step(1, s.Env))
			default:
				line = append(line, voters[s.To].Step(1, s.Env).Send...)
			}
		}
	}
	for now := int64(1); now < 1_000_000; now += 250_000 {
		for _, n := range names {
			line = append(line, voters[n].Tick(now).Send...) // they form
		}
		run()
	}
	proposed(p.Ask(1, ballots.Change{Name: "first", Key: "colour", Data: []byte("green"), Expiry: 1_000_000}))
	run()
	proposed(p.Ask(1, ballots.Change{Name: "late", Key: "colour", Base: 0, Data: []byte("red"), Expiry: 1_000_000}))
	run()
	for _, o := range ended {
		fmt.Println(o.Change.Name, o.Verdict == ballots.Agreed, o.Value.Revision, string(o.Value.Data))
	}
	// Output:
	// first true 1 green
	// late false 1 green
}
