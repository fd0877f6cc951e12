package coordinator

import (
	"fmt"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"stoneford/paxos"
	"stoneford/ports"
	"stoneford/schema"
	"stoneford/step"
)

const (
	votersKey     = "voters"
	candidateWait = 2_500_000
	fewestVoters  = 3
	foundingTry   = 1_000_000
)

// founding is a seed's part in agreeing who the voters are, where the seeds are
// too few for what may be lost (design 3.6). The seeds alone vote on one register
// that never changes again; what its voter keeps is marked in the one log. A nil
// founding takes no part.
type founding struct {
	voter    *paxos.Voter
	proposer *paxos.Proposer
	least    int // voters needed
	began    int64
	pending  bool
	tries    int
}

// leastVoters is how many voters it takes for a majority to be left of whatever
// may be lost.
func leastVoters(b ports.Boot) int { return 2*b.LostAtOnce.Machines + 1 }

// Restore makes a control process of what its log holds. Who the voters are is
// what the log says; on the first start of all it is the seeds, or what these
// agree on. A process that knows neither founds nothing: it asks.
func Restore(b ports.Boot, es []*schema.VoterLog, nonce uint32, run uint64) *Core {
	self := b.ControlNode()
	v, f := paxos.NewVoter(self, nil, nonce), paxos.NewVoter(self, nil, nonce)
	for _, l := range es {
		v.Restore(l)
		if l.Founding != nil {
			f.Restore(l.Founding)
		}
	}
	seeds := slices.Sorted(slices.Values(b.SeedVoters()))
	if first := b.Bootstrap && len(es) == 0; first && len(seeds) >= leastVoters(b) {
		v.SetVoters(seeds)
	} else if first && slices.Contains(seeds, self) {
		f.SetVoters(seeds)
	}
	c := NewCore(b, v, v.Voters(), run)
	if vs := f.Voters(); len(vs) > 0 {
		c.founding = &founding{voter: f, proposer: paxos.NewProposer(self, fmt.Sprint("founding#", run), vs), least: leastVoters(b)}
	}
	return c
}

// known says whether this process knows who the voters are. Nothing is put to
// the vote before that.
func (c *Core) known() bool { return len(c.voter.Voters()) > 0 }

// adopt takes who the voters are, once for good.
func (c *Core) adopt(now int64, voters []string) {
	if c.known() {
		return
	}
	vs := slices.Sorted(slices.Values(voters))
	c.voter.SetVoters(vs)
	c.proposer.SetVoters(now, vs)
	c.view.SetVoters(vs)
	c.changed = true
}

// hold wraps what the founding voter's step asks for.
func (f *founding) hold(c *Core, now int64, fx paxos.Effects) {
	var log []*schema.VoterLog
	for _, l := range fx.Log {
		log = append(log, &schema.VoterLog{Founding: l})
	}
	c.hold(now, log, held{sends: marked(fx.Send), formed: c.voter.Formed()})
}

func marked(ss []step.Send) []step.Send {
	for _, s := range ss {
		s.Env.Founding = true // built just now, and not sent yet
	}
	return ss
}

func (f *founding) take(c *Core, now int64, e *schema.Envelope) {
	if f != nil {
		f.hold(c, now, f.voter.Step(now, e))
	}
}

func (f *founding) answered(c *Core, now int64, e *schema.Envelope) {
	if f != nil {
		f.proposed(c, now, f.proposer.Step(now, e))
	}
}

func (f *founding) proposed(c *Core, now int64, fx paxos.ProposerEffects) {
	c.send(marked(fx.Send)...)
	for _, o := range fx.Outcomes {
		f.pending = false
		r := &schema.Roster{}
		if (o.Verdict == paxos.Agreed || o.Verdict == paxos.Lost) && proto.Unmarshal(o.Value.GetData(), r) == nil && len(r.Voters) > 0 {
			c.adopt(now, r.Voters)
		}
	}
}

func (f *founding) tick(c *Core, now int64) {
	if f == nil {
		return
	}
	if f.began == 0 {
		f.began = now
	}
	f.hold(c, now, f.voter.Tick(now))
	f.proposed(c, now, f.proposer.Tick(now))
	if c.known() || f.pending || !f.voter.Formed() {
		return
	}
	cs := c.candidates(now, f.voter.Voters())
	if len(cs) < f.least && now-f.began < candidateWait {
		return
	}
	vs := chooseVoters(f.voter.Voters(), cs, f.least)
	if len(vs) < fewestVoters {
		return
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(&schema.Roster{Voters: vs})
	if err != nil {
		panic(err)
	}
	f.pending = true
	f.tries++
	f.proposed(c, now, f.proposer.Ask(now, paxos.Change{Name: fmt.Sprintf("%s#%d", c.name(), f.tries), Key: votersKey, Data: b, Deadline: now + foundingTry}))
}

// candidates are the seeds, and the control processes that count of those that
// looked here lately.
func (c *Core) candidates(now int64, seeds []string) []string {
	cs := slices.Clone(seeds)
	for a, f := range c.follow {
		if f.kind == "control" && f.counts && now-f.at < followFor && !slices.Contains(cs, a) {
			cs = append(cs, a)
		}
	}
	return cs
}

// chooseVoters is the smallest odd set of at least so many that holds the seeds,
// the others in order of their addresses, or the largest odd one there is.
func chooseVoters(seeds, candidates []string, least int) []string {
	others := slices.DeleteFunc(slices.Sorted(slices.Values(candidates)), func(a string) bool { return slices.Contains(seeds, a) })
	want := max(least, len(seeds))
	want += 1 - want%2
	if n := len(seeds) + len(others); want > n {
		want = n - (1 - n%2)
	}
	if want < len(seeds) {
		return nil // an even number of seeds with nobody beside them
	}
	return slices.Sorted(slices.Values(append(slices.Clone(seeds), others[:want-len(seeds)]...)))
}

func (f *founding) due(now int64) int64 {
	if f == nil {
		return math.MaxInt64
	}
	d := min(f.voter.Due(), f.proposer.Due())
	if w := f.began + candidateWait; f.voter.Formed() && now < w {
		d = min(d, w)
	}
	return d
}

func (f *founding) snapshot() *schema.VoterLog {
	if f == nil {
		return nil
	}
	return f.voter.Snapshot()
}
