package coordinator

import (
	"maps"
	"slices"
	"strings"

	"stoneford/result"
	"stoneford/routingtable"
	"stoneford/schema"
	"stoneford/step"
	"stoneford/voterview"
)

type follower struct {
	seq      uint64
	at       int64
	returned int64 // when it was last sent a return
	kind     string
	name     string
	run      uint64
	leaving  bool
	bodies   bool
	unable   bool // a control process that lacks a lease
	sights   []*schema.Sighting
	words    map[string]*schema.GroupWord
	tables   map[uint64]tableSeen // of each run
	behind   []string
	doubts   []*schema.Held // of the look that is being returned
}

// tableSeen is the newest routing table that a run of a process said it works
// by, and when it looked last.
type tableSeen struct {
	at       int64
	revision uint64
}

// sayVoters returns a look that wants to know who the voters are.
func (c *Core) sayVoters(to string, m *schema.Look) {
	r := &schema.LookReturn{Number: m.Number, Life: c.run, Active: c.active, Zone: c.boot.Zone, Disk: c.voter.Life()}
	if known := c.view.Membership(); known.Known() {
		r.Membership = known.Message()
	}
	c.send(step.Send{To: to, Env: &schema.Envelope{From: c.self, Body: &schema.Envelope_LookReturn{LookReturn: r}}})
}

// look returns what changed here since the asker's last.
func (c *Core) look(now int64, from string, m *schema.Look) {
	if m.VotersOnly {
		if m.Kind == "control" {
			c.view.Hear(from)
		}
		c.sayVoters(from, m)
		return
	}
	f := c.follow[from]
	if f == nil || f.run != m.Run {
		old := f
		f = &follower{words: map[string]*schema.GroupWord{}, run: m.Run, tables: map[uint64]tableSeen{}}
		if old != nil {
			f.tables = old.tables // an earlier run's look may come late, or its lease be in use yet
		}
		c.follow[from] = f
		c.pacing.forget(from)
	}
	if m.Kind == "control" {
		c.view.Hear(from)
	}
	if m.Life == c.run {
		c.pacing.came(from, m.Seq)
	}
	since := c.since(f, m)
	for _, ss := range [][]*schema.Sighting{f.sights, m.Sightings} {
		for _, s := range ss {
			if r := c.insts.Get(voterview.DatabasePrefix + s.Id); r != nil {
				c.group(voterview.Instance(r).Group).dirty = true
			}
		}
	}
	f.at, f.kind, f.name, f.leaving, f.bodies, f.sights, f.seq = now, m.Kind, m.Name, m.Leaving, m.Bodies, m.Sightings, since
	c.lookedBy(now, from, f, m)
	for _, w := range m.Groups {
		if w.Group == leaseWord {
			c.heardLease(f, w)
			continue
		}
		f.words[w.Group] = w
		c.group(w.Group).dirty = true
	}
	f.returned = now
	f.doubts = m.Doubts
	c.send(step.Send{To: from, Env: c.pacedNews(now, from, f, m.Number)})
	f.doubts = nil
	f.seq = c.seq // what does not arrive shows in the next look
}

// since is the place from which a look is returned. What was sent to the asker's run
// already is on its way, as far as the asker does not say that something is missing:
// on a slow way each return would else bring all of it once more, the returns would
// take longer the more looks there are, and never catch up again.
func (c *Core) since(f *follower, m *schema.Look) uint64 {
	switch {
	case m.Sequenced && !m.Again && f.seq > 0:
		return f.seq
	case m.Life == c.run:
		return m.Seq
	default:
		return 0
	}
}

// pacedNews is what changed since a follower's last look, without the large data if
// as much is still on its way. It names every revision in any case: a lease rests on
// that.
func (c *Core) pacedNews(now int64, to string, f *follower, number uint64) *schema.Envelope {
	e := c.news(f, number, f.bodies)
	if c.pacing.may(now, heavyTo{to: to, kind: heavyNews}, e, c.seq) {
		return e
	}
	f.doubts = nil
	return c.news(f, number, false)
}

// chosen is what this process knows to be agreed of registers that another one
// doubts. Without contact with a majority it says nothing: what it knows is true, and
// may be long replaced.
func (c *Core) chosen(doubts []*schema.Held) []*schema.Chosen {
	if !c.inContact(c.lastStep) {
		return nil
	}
	var out []*schema.Chosen
	for _, d := range doubts {
		if known, ok := c.view.Agreed(d.Key); ok && known.Revision > d.Revision {
			out = append(out, &schema.Chosen{Key: d.Key, Membership: known.Membership, Value: &schema.Value{Revision: known.Revision, Data: known.Data}})
		}
	}
	return out
}

// news is what changed since a follower's last look.
func (c *Core) news(f *follower, number uint64, bodies bool) *schema.Envelope {
	r := &schema.LookReturn{Number: number, Life: c.run, Seq: c.seq, Since: f.seq, Active: c.active,
		Nodes: uint32(c.nodes()), Bodies: bodies, Chosen: c.chosen(f.doubts)}
	if f.seq < c.membershipSeq || number > 0 && f.seq == 0 {
		// Those who have heard it keep it.
		r.Zone, r.Disk = c.boot.Zone, c.voter.Life()
		if m := c.view.Membership(); m.Known() {
			r.Membership = m.Message()
		}
	}
	if f.seq < c.seq {
		for _, k := range slices.Sorted(maps.Keys(c.seqs)) {
			if c.seqs[k] <= f.seq {
				continue
			}
			if strings.HasPrefix(k, voterview.DatabasePrefix) {
				r.Instances = append(r.Instances, c.insts.Get(k))
			} else if d := c.cells[k]; d != nil {
				w := &schema.Cell{Key: k, Accepted: d.Accepted, Value: &schema.Value{Revision: d.Value.Revision}}
				// A revision that was told, and is agreed anew under another membership, keeps
				// its data.
				told := k == voterview.TableKey && f.seq > 0 && c.revisions[k].revision == d.Value.Revision && c.revisions[k].seq <= f.seq
				if !told && (bodies || k != voterview.TableKey) {
					w.Value.Data = d.Value.Data
				}
				r.Cells = append(r.Cells, w)
			}
		}
	}
	return &schema.Envelope{From: c.self, Body: &schema.Envelope_LookReturn{LookReturn: r}}
}

// push tells all that looked lately what changed.
func (c *Core) push(now int64) {
	for _, a := range slices.Sorted(maps.Keys(c.follow)) {
		f := c.follow[a]
		if now-f.at < followFor && f.seq < c.seq {
			c.send(step.Send{To: a, Env: c.pacedNews(now, a, f, 0)})
			f.seq = c.seq
		}
	}
}

func (c *Core) nodes() int {
	n := 0
	for _, f := range c.follow {
		if f.kind == "pool" && !f.leaving && c.lastStep-f.at < followFor {
			n++
		}
	}
	return n
}

// learned takes what the view found agreed.
func (c *Core) learned(now int64) {
	ks, _ := c.view.Take()
	for _, k := range ks {
		if k == voterview.TableKey {
			if v, ok := c.view.Agreed(k); ok && v.Revision > c.tableRev {
				t, err := routingtable.Decode(v.Data)
				if err != nil {
					c.say(result.InvalidConfiguration, "%s revision %d: %v", k, v.Revision, err)
					continue
				}
				c.table, c.tableRev = t, v.Revision
				c.say(result.RevisionApplied, "routes revision %d, the operators' %d", v.Revision, t.Revision)
				for _, g := range t.Groups {
					c.group(g.Name).dirty = true
				}
				c.view.Want() // a move may wait to hear that this process works by it
			}
		}
	}
	for _, k := range ks {
		for _, p := range []string{voterview.LeaderPrefix, voterview.MembersPrefix, voterview.MovePrefix} {
			if n, ok := strings.CutPrefix(k, p); ok {
				c.group(n).dirty = true
			}
		}
	}
}

// report is what this process tells the other voters.
func (c *Core) report() voterview.Report {
	r := voterview.Report{Leaving: c.leaving, Table: c.tableRev, All: c.allTold}
	if c.staged() {
		r.Behind = c.behind(c.lastStep)
	}
	for _, n := range slices.Sorted(maps.Keys(c.groups)) {
		if g := c.groups[n]; g.cleared > 0 {
			g.told = g.cleared
			r.Words = append(r.Words, &schema.GroupWord{Group: n, Revision: g.cleared, Quiet: true})
		}
	}
	r.Words = c.sayLease(c.lastStep, r.Words)
	return r
}
