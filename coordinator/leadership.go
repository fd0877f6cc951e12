package coordinator

import (
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"stoneford/paxos"
	"stoneford/ports"
	"stoneford/schema"
	"stoneford/step"
	"stoneford/switchover"
	"stoneford/voterview"
)

type group struct {
	decider *switchover.Group
	sealed  uint64 // revision of the newest sealing accepted here
	at      int64  // when
	before  map[string]bool
	cleared uint64                    // newest sealing that no node that looked here goes against
	told    uint64                    // newest cleared that the others were told
	insts   map[string]ports.Instance // announced, and those that are gone
	order   []string                  // control processes, in the order in which they claim its duty
	ranked  uint64                    // number of the membership that order is of
	putting int64                     // when a change of its move was put to the vote, 0 for none
	dirty   bool
	rev     uint64 // newest revision of its leadership that was gone through here
}

// accepted notes when a sealing came here first: nodes that looked before may
// work by what was before it.
func (c *Core) accepted(now int64, k string) {
	n, ok := strings.CutPrefix(k, voterview.LeaderPrefix)
	if !ok {
		return
	}
	l := voterview.Leadership(voterview.Chosen{Data: c.cells[k].GetValue().GetData()})
	g := c.group(n)
	if l.SealRev <= g.sealed {
		return
	}
	g.sealed, g.at, g.before = l.SealRev, now, map[string]bool{}
	for a, f := range c.follow {
		if f.kind == "pool" && now-f.returned < voterview.WaitUs {
			g.before[a] = true
		}
	}
}

// clearedHere says whether no node that this voter sent a return before it
// accepted the sealing relies on that return any more (design 14.6).
func (c *Core) clearedHere(now int64, n string, g *group) bool {
	if c.activated > 0 && now-c.activated < voterview.WaitUs {
		return false // what voters of the membership before returned is not known
	}
	if now-g.at >= voterview.WaitUs {
		return true
	}
	if now-c.began < voterview.WaitUs {
		return false // what an earlier run returned is not known
	}
	for a := range g.before {
		if f := c.follow[a]; f == nil || f.words[n].GetRevision() < g.sealed {
			return false
		}
	}
	return true
}

// cleared says whether a majority of voters is clear of what was before a
// sealing.
func (c *Core) cleared(now int64, n string, g *group, rev uint64) bool {
	if rev == 0 {
		return false
	}
	k := 0
	for _, o := range c.view.Voters() {
		if o == c.self {
			if g.sealed >= rev && g.cleared >= rev {
				k++
			}
		} else if f := c.follow[o]; f != nil {
			if w := f.words[n]; w.GetQuiet() && w.Revision >= rev {
				k++
			}
		}
	}
	return k > len(c.view.Voters())/2
}

func (c *Core) group(n string) *group {
	g := c.groups[n]
	if g == nil {
		g = &group{decider: switchover.New(), insts: map[string]ports.Instance{}}
		c.groups[n] = g
	}
	return g
}

func (c *Core) groupsTick(now int64) {
	if !c.votes() {
		return
	}
	all := now >= c.nextAll
	if all {
		c.nextAll = now + allEvery
	}
	var due []string
	for n, g := range c.groups {
		if all || g.dirty || now >= g.decider.Due() || g.sealed > g.cleared {
			due = append(due, n)
		}
	}
	slices.Sort(due)
	c.sayAll(now)
	for _, n := range due {
		c.groupTick(now, n, c.groups[n])
	}
}

func (c *Core) groupTick(now int64, n string, g *group) {
	g.dirty = false
	if number := c.view.Membership().Number; g.ranked != number || len(g.order) != len(c.view.Voters()) {
		g.ranked = number
		g.order = step.Rank("change/"+n, c.view.Voters())
	}
	k := voterview.LeaderPrefix + n
	v, ok := c.view.Agreed(k)
	l := &schema.Leadership{}
	if ok {
		l = voterview.Leadership(v)
	}
	if g.sealed > g.cleared && c.clearedHere(now, n, g) {
		g.cleared = g.sealed
		if g.told < g.cleared {
			c.view.Want()
		}
	}
	i := slices.IndexFunc(c.table.Groups, func(t ports.Group) bool { return t.Name == n })
	if i < 0 {
		return
	}
	in := switchover.Input{Group: n, Sync: c.table.Groups[i].Sync, State: l, Rev: v.Revision, Settled: !c.view.Doubt(k), Duty: c.duty(now, n, l)}
	acts := g.decider.Acts(now, in)
	if g.rev != v.Revision {
		g.rev = v.Revision
		if acts {
			c.view.Want() // a majority is to be met after the change
		}
	}
	if acts {
		c.sum(now, n, k, g, l, &in)
		c.wanted(n, &in)
	}
	fx := g.decider.Step(now, in)
	if acts {
		c.moveTick(now, n, g, in)
	}
	for _, e := range fx {
		switch e := e.(type) {
		case switchover.Ask:
			c.fx.Do = append(c.fx.Do, Ask{Group: n, Ask: e})
		case switchover.Promote:
			c.fx.Do = append(c.fx.Do, Promote{Group: n, Promote: e})
		case switchover.Say:
			c.say(e.Code, "%s", e.Text)
		case switchover.PutMembers:
			b, err := proto.MarshalOptions{Deterministic: true}.Marshal(&schema.Members{Ids: e.IDs})
			if err != nil {
				panic(err)
			}
			c.ask(now, paxos.Change{Name: c.name(), Key: voterview.MembersPrefix + n, Base: e.Base, Data: b, Deadline: now + changeExpiry}, func(int64, paxos.Outcome) {
				g.decider.MembersDone()
				g.dirty = true
			})
		case switchover.Put:
			c.ask(now, paxos.Change{Name: c.name(), Key: k, Base: e.Base, Data: e.Data, Deadline: now + changeExpiry}, func(int64, paxos.Outcome) {
				g.decider.PutDone()
				g.dirty = true
			})
		}
	}
}

// sum brings what databases and nodes said lately into a decider's input.
func (c *Core) sum(now int64, n, k string, g *group, l *schema.Leadership, in *switchover.Input) {
	in.Heard, in.Gone, in.Sights = map[string]int64{}, map[string]bool{}, map[string]switchover.Sight{}
	for _, id := range slices.Sorted(maps.Keys(g.insts)) {
		if i := g.insts[id]; i.Gone {
			in.Gone[id] = true
		} else {
			in.Instances = append(in.Instances, i)
			in.Heard[id] = now - c.insts.AgeUs(now, voterview.DatabasePrefix+id)
		}
	}
	in.Complete = c.hearsAll(now)
	if v, ok := c.view.Agreed(voterview.MembersPrefix + n); ok {
		m := &schema.Members{}
		if proto.Unmarshal(v.Data, m) == nil {
			in.Members, in.MembersRev = m.Ids, v.Revision
		}
	}
	in.Quiet, in.Told = true, true
	for _, f := range c.follow {
		if f.kind != "pool" || now-f.at > followFor {
			continue
		}
		in.Nodes++
		for _, s := range f.sights {
			if now-f.at > ownerSilent {
				continue
			}
			w := in.Sights[s.Id]
			w.Nodes++
			if s.Cut {
				w.Cut++
			}
			w.FailingUs = max(w.FailingUs, s.FailingUs+now-f.at)
			in.Sights[s.Id] = w
		}
		w := f.words[n]
		in.Quiet = in.Quiet && w.GetQuiet() && w.GetRevision() >= in.Rev
		in.Told = in.Told && w.GetRevision() >= l.SealRev
		if p := (ports.Position{Term: w.GetAckedTerm(), Number: w.GetAckedNumber()}); in.Acked.Before(p) {
			in.Acked = p
		}
	}
	in.Cleared = c.cleared(now, n, g, l.SealRev)
}
