package coordinator

import (
	"maps"
	"math"
	"slices"

	"stoneford/result"
	"stoneford/schema"
	"stoneford/step"
	"stoneford/voterview"
)

// ackExpiry is how long a database waits at most for the acknowledgement of its
// leave. It calls another process after a second of silence.
const ackExpiry = 900_000

type ack struct {
	id    uint64
	recs  []*schema.Record
	by    map[string]bool // voters that have it
	until int64
	again int64
}

// announce takes a database's word (design 17). A process without contact with a
// majority keeps and passes on what it can, and acknowledges nothing: the database
// is to call another one. That a database leaves or is gone is acknowledged once a
// majority of the voters has it.
func (c *Core) announce(now int64, e Announce) {
	k := voterview.DatabasePrefix + e.Instance.ID
	if o := c.insts.Get(k); o != nil && e.Instance.Gone {
		// The last word names nothing but its identity.
		was := voterview.Instance(o)
		was.Gone, was.Call = true, max(was.Call, e.Instance.Call)
		e.Instance = was
	}
	r := voterview.Record(e.Instance)
	told := c.merge(now, []*schema.Record{r})
	// One that announced itself elsewhere until now is passed on at once: whoever it
	// told before may be lost, and the others count its silence.
	moved := now-c.direct[e.Instance.ID] > movedFactor*c.beatUs()
	c.direct[e.Instance.ID] = now
	c.beats[e.Instance.ID]++
	rests := e.Instance.Leaving || e.Instance.Gone
	contact := c.inContact(now)
	pass := told || moved || rests || !contact || c.beats[e.Instance.ID] >= renewEvery
	if pass {
		c.beats[e.Instance.ID] = 0
	}
	if !rests || !contact {
		if pass {
			c.announced(0, []*schema.Record{r})
		}
		c.fx.Do = append(c.fx.Do, Announced{ID: e.ID, OK: contact})
		return
	}
	c.number++
	c.acks[c.number] = &ack{id: e.ID, recs: []*schema.Record{r}, by: map[string]bool{}, until: now + ackExpiry, again: now + ackAgain}
	c.announced(c.number, []*schema.Record{r})
	c.acked(c.self, c.number)
}

// announceAgain repeats what a majority has not acknowledged yet, and refuses it
// when its time is over or the contact with a majority is lost.
func (c *Core) announceAgain(now int64) {
	for _, n := range slices.Sorted(maps.Keys(c.acks)) {
		a := c.acks[n]
		switch {
		case now >= a.until || !c.inContact(now):
			delete(c.acks, n)
			c.fx.Do = append(c.fx.Do, Announced{ID: a.id})
		case now >= a.again:
			a.again = now + ackAgain
			c.announced(n, a.recs)
		}
	}
}

// announceDue is when announceAgain has something to do next.
func (c *Core) announceDue() int64 {
	due := int64(math.MaxInt64)
	for _, a := range c.acks {
		due = min(due, a.until, a.again, c.view.LeaseUntil())
	}
	return due
}

func (c *Core) announced(n uint64, rs []*schema.Record) {
	for _, o := range c.view.Voters() {
		if o != c.self {
			c.send(step.Send{To: o, Env: &schema.Envelope{From: c.self, Body: &schema.Envelope_Announced{Announced: &schema.Announced{Number: n, Instances: rs}}}})
		}
	}
}

// acked counts a voter that has an announcement; a majority of them ends it.
func (c *Core) acked(from string, n uint64) {
	a := c.acks[n]
	if a == nil || !slices.Contains(c.view.Voters(), from) {
		return
	}
	a.by[from] = true
	has := 0
	for _, o := range c.view.Voters() {
		if a.by[o] {
			has++
		}
	}
	if c.known() && has >= c.view.Membership().Quorum() {
		delete(c.acks, n)
		c.fx.Do = append(c.fx.Do, Announced{ID: a.id, OK: true})
	}
}

// merge takes records of databases and says whether one of them said something
// new.
func (c *Core) merge(now int64, rs []*schema.Record) bool {
	told := false
	for _, r := range rs {
		old := c.insts.Get(r.Key)
		if len(c.insts.Put(now, r)) > 0 {
			told = c.merged(now, r, old) || told
		}
	}
	return told
}

func (c *Core) merged(now int64, r, old *schema.Record) bool {
	if old != nil && slices.Equal(old.Data, r.Data) {
		return false // only its stamp
	}
	c.bump(r.Key)
	i := voterview.Instance(r)
	g := c.group(i.Group)
	g.insts[i.ID], g.dirty = i, true
	c.say(result.InstanceSaid, "%s of %s at %s: leaves %t, leads %t, gone %t", i.ID, i.Group, i.Address, i.Leaving, i.Primary, i.Gone)
	return true
}

func (c *Core) beatUs() int64 {
	if c.boot.BeatUs > 0 {
		return c.boot.BeatUs
	}
	return defaultBeatUs
}

// hearsAll says that this process has run, and was in touch with a majority, for
// so long that it heard of every database that there is. A cut that ended just now
// leaves it with announcements as old as the cut.
func (c *Core) hearsAll(now int64) bool {
	return now < c.view.LeaseUntil() && now-max(c.began, c.apart) >= goneFactor*c.beatUs()
}

// expire takes databases that were silent for long as gone, unless this process
// may be the one that hears nothing, or was until lately: databases announce
// themselves to the others then, and what these heard is not here yet.
func (c *Core) expire(now int64) {
	if !c.hearsAll(now) {
		return
	}
	var old []string
	c.insts.Each(voterview.DatabasePrefix, func(r *schema.Record) {
		i := voterview.Instance(r)
		age := c.insts.AgeUs(now, r.Key)
		switch {
		case i.Gone && age > forgetGone:
			old = append(old, r.Key)
		case !i.Gone && age > goneFactor*c.beatUs():
			i.Gone = true
			c.merge(now, []*schema.Record{voterview.Record(i)})
		}
	})
	for _, k := range old {
		i := voterview.Instance(c.insts.Get(k))
		delete(c.group(i.Group).insts, i.ID)
		c.insts.Forget(k)
		delete(c.seqs, k)
		delete(c.direct, i.ID)
	}
}
