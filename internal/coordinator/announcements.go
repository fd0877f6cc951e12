package coordinator

import (
	"maps"
	"math"
	"slices"

	"stoneford/internal/learner"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/statemachine"
)

// ackTimeout is how long a database waits at most for the acknowledgement of its
// leave. It calls another process after a second of silence.
const ackTimeout = 900_000

type pendingAnnouncement struct {
	callID   uint64
	records  []*schema.Record
	ackedBy  map[string]bool // voters that have it
	deadline int64
	retryAt  int64
}

// announce takes a database's word (design 17). A process without contact with a
// majority keeps and passes on what it can, and acknowledges nothing: the database
// is to call another one. That a database leaves or is gone is acknowledged once a
// majority of the voters has it.
func (c *Core) announce(now int64, e Announce) {
	k := learner.DatabasePrefix + e.Instance.ID
	if o := c.databases.Get(k); o != nil && e.Instance.Gone {
		// The last word names nothing but its identity.
		was := learner.DecodeInstance(o)
		was.Gone, was.AnnouncementNumber = true, max(was.AnnouncementNumber, e.Instance.AnnouncementNumber)
		e.Instance = was
	}
	r := learner.EncodeInstance(e.Instance)
	told := c.mergeRecords(now, []*schema.Record{r})
	// One that announced itself elsewhere until now is passed on at once: whoever it
	// told before may be lost, and the others count its silence.
	moved := now-c.lastHeartbeatHere[e.Instance.ID] > rehomedHeartbeatLimit*c.heartbeatIntervalUs()
	c.lastHeartbeatHere[e.Instance.ID] = now
	c.heartbeatsSinceForward[e.Instance.ID]++
	rests := e.Instance.Draining || e.Instance.Gone
	contact := c.inContact(now)
	pass := told || moved || rests || !contact || c.heartbeatsSinceForward[e.Instance.ID] >= heartbeatsPerForward
	if pass {
		c.heartbeatsSinceForward[e.Instance.ID] = 0
	}
	if !rests || !contact {
		if pass {
			c.forwardAnnouncement(0, []*schema.Record{r})
		}
		c.effects.Do = append(c.effects.Do, AnnounceDone{ID: e.ID, OK: contact})
		return
	}
	c.announcementNumber++
	c.pendingAnnouncements[c.announcementNumber] = &pendingAnnouncement{callID: e.ID, records: []*schema.Record{r}, ackedBy: map[string]bool{}, deadline: now + ackTimeout, retryAt: now + ackRetryInterval}
	c.forwardAnnouncement(c.announcementNumber, []*schema.Record{r})
	c.countAnnouncementAck(c.self, c.announcementNumber)
}

// retryAnnouncements repeats what a majority has not acknowledged yet, and refuses it
// when its time is over or the contact with a majority is lost.
func (c *Core) retryAnnouncements(now int64) {
	for _, n := range slices.Sorted(maps.Keys(c.pendingAnnouncements)) {
		a := c.pendingAnnouncements[n]
		switch {
		case now >= a.deadline || !c.inContact(now):
			delete(c.pendingAnnouncements, n)
			c.effects.Do = append(c.effects.Do, AnnounceDone{ID: a.callID})
		case now >= a.retryAt:
			a.retryAt = now + ackRetryInterval
			c.forwardAnnouncement(n, a.records)
		}
	}
}

// announcementsDue is when retryAnnouncements has something to do next.
func (c *Core) announcementsDue() int64 {
	due := int64(math.MaxInt64)
	for _, a := range c.pendingAnnouncements {
		due = min(due, a.deadline, a.retryAt, c.learner.LeaseUntil())
	}
	return due
}

func (c *Core) forwardAnnouncement(n uint64, rs []*schema.Record) {
	for _, o := range c.learner.Voters() {
		if o != c.self {
			c.send(statemachine.Send{To: o, Envelope: &schema.Envelope{From: c.self, Body: &schema.Envelope_AnnouncementForward{AnnouncementForward: &schema.AnnouncementForward{Number: n, Databases: rs}}}})
		}
	}
}

// countAnnouncementAck counts a voter that has an announcement; a majority of them ends it.
func (c *Core) countAnnouncementAck(from string, n uint64) {
	a := c.pendingAnnouncements[n]
	if a == nil || !slices.Contains(c.learner.Voters(), from) {
		return
	}
	a.ackedBy[from] = true
	has := 0
	for _, o := range c.learner.Voters() {
		if a.ackedBy[o] {
			has++
		}
	}
	if c.membershipKnown() && has >= c.learner.Membership().Quorum() {
		delete(c.pendingAnnouncements, n)
		c.effects.Do = append(c.effects.Do, AnnounceDone{ID: a.callID, OK: true})
	}
}

// mergeRecords takes records of databases and says whether one of them said something
// new.
func (c *Core) mergeRecords(now int64, rs []*schema.Record) bool {
	told := false
	for _, r := range rs {
		old := c.databases.Get(r.Key)
		if len(c.databases.Merge(now, r)) > 0 {
			told = c.recordMerged(now, r, old) || told
		}
	}
	return told
}

func (c *Core) recordMerged(now int64, r, old *schema.Record) bool {
	if old != nil && slices.Equal(old.Data, r.Data) {
		return false // only its stamp
	}
	c.increment(r.Key)
	i := learner.DecodeInstance(r)
	g := c.group(i.Group)
	g.databases[i.ID], g.changed = i, true
	c.logf(result.DatabaseStateChanged, "%s of %s at %s: leaves %t, leads %t, gone %t", i.ID, i.Group, i.Address, i.Draining, i.Primary, i.Gone)
	return true
}

func (c *Core) heartbeatIntervalUs() int64 {
	if c.config.AnnouncementIntervalUs > 0 {
		return c.config.AnnouncementIntervalUs
	}
	return defaultHeartbeatInterval
}

// heardAllDatabases says that this process has run, and was in touch with a majority, for
// so long that it heard of every database that there is. A cut that ended just now
// leaves it with announcements as old as the cut.
func (c *Core) heardAllDatabases(now int64) bool {
	return now < c.learner.LeaseUntil() && now-max(c.startedAt, c.disconnectedAt) >= missedHeartbeatLimit*c.heartbeatIntervalUs()
}

// expireDatabases takes databases that were silent for long as gone, unless this process
// may be the one that hears nothing, or was until lately: databases announce
// themselves to the others then, and what these heard is not here yet.
func (c *Core) expireDatabases(now int64) {
	if !c.heardAllDatabases(now) {
		return
	}
	var old []string
	c.databases.ForEach(learner.DatabasePrefix, func(r *schema.Record) {
		i := learner.DecodeInstance(r)
		age := c.databases.AgeUs(now, r.Key)
		switch {
		case i.Gone && age > goneRetention:
			old = append(old, r.Key)
		case !i.Gone && age > missedHeartbeatLimit*c.heartbeatIntervalUs():
			i.Gone = true
			c.mergeRecords(now, []*schema.Record{learner.EncodeInstance(i)})
		}
	})
	for _, k := range old {
		i := learner.DecodeInstance(c.databases.Get(k))
		delete(c.group(i.Group).databases, i.ID)
		c.databases.Forget(k)
		delete(c.changeNumbers, k)
		delete(c.lastHeartbeatHere, i.ID)
	}
}
