package coordinator

import (
	"maps"
	"math"
	"slices"
	"time"

	"stoneford/internal/learner"
	"stoneford/internal/ports"
	"stoneford/schema"
	"stoneford/statemachine"
)

const (
	// ackTimeout limits how long a database waits for the acknowledgement that it is
	// draining or gone. It is below one second, after which a database without a reply
	// calls another process.
	ackTimeout = 900 * time.Millisecond
	// ackRetryInterval is the time between two attempts to forward an announcement that
	// a majority has not acknowledged.
	ackRetryInterval = 200 * time.Millisecond
	// announcementsPerForward is the number of unchanged announcements of a database for
	// which one is forwarded. A higher value would make the other processes consider the
	// database gone sooner after a lost message; a lower one would increase their load.
	announcementsPerForward = 3
	// rehomedAnnouncementLimit is the number of announcement intervals without an
	// announcement here after which a database is assumed to have announced itself to
	// another process in the meantime.
	rehomedAnnouncementLimit = 2
)

// announcements tracks the announcements that this process received.
type announcements struct {
	newest         uint64 // number of the newest announcement that needs a majority
	pending        map[uint64]*pendingAnnouncement
	unsent         map[string]int   // by database: announcements since the last forwarded one
	receivedAt     map[string]int64 // by database: time of the last announcement to this process
	nextExpiration int64            // time of the next check for missed announcements
}

// pendingAnnouncement is an announcement that waits for acknowledgements from a majority
// of the voters.
type pendingAnnouncement struct {
	callID   uint64
	records  []*schema.Record
	ackedBy  map[string]bool // addresses of the processes that have acknowledged it
	deadline int64
	retryAt  int64
}

// newAnnouncements creates the state for a run. Numbers start at the run's identifier, so
// that a late acknowledgement for an earlier run matches no announcement of this one.
func newAnnouncements(run uint64) announcements {
	return announcements{
		newest:     run,
		pending:    map[uint64]*pendingAnnouncement{},
		unsent:     map[string]int{},
		receivedAt: map[string]int64{},
	}
}

// resetForwardCounts restarts the counts of announcements since the last forwarded one.
func (a *announcements) resetForwardCounts() {
	for id := range a.unsent {
		a.unsent[id] = 0
	}
}

// announce handles a database's announcement (design 17). Without contact with a
// majority, this process stores and forwards the announcement but does not acknowledge
// it, so that the database calls another process. An announcement that a database is
// draining or gone is acknowledged only once a majority of the voters has it.
func (c *Core) announce(now int64, e Announce) {
	instance, complete := c.completeInstance(e)
	if !complete {
		c.emit(AnnounceDone{ID: e.ID})
		return
	}
	records := []*schema.Record{learner.EncodeInstance(instance)}
	id := e.Instance.ID
	changed := c.mergeRecords(now, records)
	mustBeAcked := e.Instance.Draining || e.Instance.Gone
	contact := c.inContact(now)
	// The first announcement of a database that announced itself to another process
	// before is forwarded at once: that process may be lost, and the others have counted
	// missed announcements since.
	rehomed := now-c.announcements.receivedAt[id] > rehomedAnnouncementLimit*c.announcementIntervalUs()
	c.announcements.receivedAt[id] = now
	c.announcements.unsent[id]++
	forward := changed || rehomed || mustBeAcked || !contact || c.announcements.unsent[id] >= announcementsPerForward
	if forward {
		c.announcements.unsent[id] = 0
	}
	if mustBeAcked && contact {
		c.awaitAcks(now, e.ID, records)
		return
	}
	if forward {
		c.forwardAnnouncement(0, records)
	}
	c.emit(AnnounceDone{ID: e.ID, OK: contact})
}

// completeInstance returns the instance that an announcement describes. A deregistration may
// carry only the database's ID, so the other fields are taken from the stored record. It is
// not complete if this process does not know the database, so that the database calls
// another process.
func (c *Core) completeInstance(e Announce) (instance ports.Instance, complete bool) {
	if !e.Instance.Gone {
		return e.Instance, true
	}
	instance = e.Instance
	if known := c.databases.Get(learner.DatabasePrefix + instance.ID); known != nil {
		instance = learner.DecodeInstance(known)
	}
	instance.Gone, instance.AnnouncementNumber = true, learner.FinalAnnouncementNumber
	return instance, instance.Group != ""
}

// awaitAcks forwards an announcement and registers it as pending until a majority of the
// voters has acknowledged it.
func (c *Core) awaitAcks(now int64, callID uint64, records []*schema.Record) {
	c.announcements.newest++
	number := c.announcements.newest
	c.announcements.pending[number] = &pendingAnnouncement{
		callID:   callID,
		records:  records,
		ackedBy:  map[string]bool{},
		deadline: now + ackTimeout.Microseconds(),
		retryAt:  now + ackRetryInterval.Microseconds(),
	}
	c.forwardAnnouncement(number, records)
	c.countAnnouncementAck(c.self, number)
}

// retryAnnouncements forwards pending announcements again. It refuses those that have
// timed out, and all of them if the contact with a majority is lost.
func (c *Core) retryAnnouncements(now int64) {
	for _, number := range slices.Sorted(maps.Keys(c.announcements.pending)) {
		a := c.announcements.pending[number]
		switch {
		case now >= a.deadline || !c.inContact(now):
			delete(c.announcements.pending, number)
			c.emit(AnnounceDone{ID: a.callID})
		case now >= a.retryAt:
			a.retryAt = now + ackRetryInterval.Microseconds()
			c.forwardAnnouncement(number, a.records)
		}
	}
}

// announcementsDue returns the time at which retryAnnouncements has work next.
func (c *Core) announcementsDue() int64 {
	due := int64(math.MaxInt64)
	for _, a := range c.announcements.pending {
		due = min(due, a.deadline, a.retryAt, c.learner.LeaseUntil())
	}
	return due
}

// forwardAnnouncement sends records to the other voters. They acknowledge the records
// unless the number is 0.
func (c *Core) forwardAnnouncement(number uint64, records []*schema.Record) {
	for _, address := range c.learner.Voters() {
		if address != c.self {
			c.sendRecords(address, number, records)
		}
	}
}

func (c *Core) sendRecords(to string, number uint64, records []*schema.Record) {
	message := &schema.AnnouncementForward{Number: number, Databases: records}
	c.send(statemachine.Send{To: to, Envelope: &schema.Envelope{From: c.self, Body: &schema.Envelope_AnnouncementForward{AnnouncementForward: message}}})
}

// handleAnnouncementForward merges records that another control process forwarded. It
// acknowledges them unless the number is 0.
func (c *Core) handleAnnouncementForward(now int64, from string, forward *schema.AnnouncementForward) {
	c.mergeRecords(now, forward.Databases)
	if forward.Number == 0 {
		return
	}
	ack := &schema.AnnouncementAck{Number: forward.Number}
	c.send(statemachine.Send{To: from, Envelope: &schema.Envelope{From: c.self, Body: &schema.Envelope_AnnouncementAck{AnnouncementAck: ack}}})
}

// countAnnouncementAck counts a voter's acknowledgement of an announcement, and replies
// to the database once a majority has acknowledged it.
func (c *Core) countAnnouncementAck(from string, number uint64) {
	a := c.announcements.pending[number]
	if a == nil || !slices.Contains(c.learner.Voters(), from) {
		return
	}
	a.ackedBy[from] = true
	count := 0
	for _, address := range c.learner.Voters() {
		if a.ackedBy[address] {
			count++
		}
	}
	if c.membershipKnown() && count >= c.learner.Membership().Quorum() {
		delete(c.announcements.pending, number)
		c.emit(AnnounceDone{ID: a.callID, OK: true})
	}
}
