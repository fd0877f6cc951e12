package coordinator

import (
	"slices"
	"time"

	"stoneford/crdt"
	"stoneford/internal/learner"
	"stoneford/result"
	"stoneford/schema"
)

const (
	// defaultAnnouncementInterval is the time between a database's announcements if the
	// configuration does not set it.
	defaultAnnouncementInterval = 1200 * time.Millisecond
	// missedAnnouncementLimit is the number of announcements that a database may miss
	// before it is declared gone. A failover does not wait for that; the limit only cleans
	// up after a database that disappeared without a final announcement.
	missedAnnouncementLimit = 6
	// goneRetention is how long the record of a gone database is kept, so that an older
	// record of it does not make it present again.
	goneRetention = 120 * time.Second
	// compareInterval is the time between two comparisons of all records with another
	// control process. They restore records whose messages were lost.
	compareInterval = 5 * time.Second
)

// maintenance schedules the periodic work.
type maintenance struct {
	nextRunAt  int64
	voterIndex int // index of the voter to compare records with, modulo the number of voters
}

// tickMaintenance compares the records with the next voter in turn, and forgets processes
// that stopped polling.
func (c *Core) tickMaintenance(now int64) {
	if now < c.maintenance.nextRunAt {
		return
	}
	c.maintenance.nextRunAt = now + compareInterval.Microseconds()
	c.maintenance.voterIndex++
	voters := c.learner.Voters()
	if address := voters[c.maintenance.voterIndex%len(voters)]; address != c.self {
		c.send(c.databases.CompareRange(address, crdt.KeyRange{}))
	}
	c.forgetPollers(now)
}

// mergeRecords merges database records into the store and reports whether one of them
// changed the content of a record.
func (c *Core) mergeRecords(now int64, records []*schema.Record) bool {
	changed := false
	for _, record := range records {
		known := c.databases.Get(record.Key)
		if len(c.databases.Merge(now, record)) > 0 {
			changed = c.handleMergedRecord(record, known) || changed
		}
	}
	return changed
}

// handleMergedRecord updates the database's group after a record replaced an older one.
// It reports whether the content changed.
func (c *Core) handleMergedRecord(record, old *schema.Record) bool {
	if old != nil && slices.Equal(old.Data, record.Data) {
		return false // only the timestamp is newer
	}
	c.changes.recordChanged(record.Key)
	instance := learner.DecodeInstance(record)
	g := c.group(instance.Group)
	g.databases[instance.ID], g.stepRequested = instance, true
	c.logf(result.DatabaseStateChanged, "database %s of group %s at %s: draining %t, primary %t, gone %t",
		instance.ID, instance.Group, instance.Address, instance.Draining, instance.Primary, instance.Gone)
	return true
}

// sendDatabaseRecords sends the records of all databases to a new voter.
func (c *Core) sendDatabaseRecords(to string) {
	var all []*schema.Record
	c.databases.ForEach("", func(record *schema.Record) { all = append(all, record) })
	if len(all) > 0 {
		c.sendRecords(to, 0, all)
	}
}

func (c *Core) announcementIntervalUs() int64 {
	if c.config.AnnouncementIntervalUs > 0 {
		return c.config.AnnouncementIntervalUs
	}
	return defaultAnnouncementInterval.Microseconds()
}

// inventoryComplete reports whether this process has been running and in contact with a
// majority for long enough to have heard of every existing database. Right after a
// partition its newest announcements may be as old as the start of the partition.
func (c *Core) inventoryComplete(now int64) bool {
	listening := now - max(c.startedAt, c.contact.disconnectedAt)
	return c.inContact(now) && listening >= missedAnnouncementLimit*c.announcementIntervalUs()
}

// tickExpiration checks once per announcement interval for expired databases.
func (c *Core) tickExpiration(now int64) {
	if now >= c.announcements.nextExpiration {
		c.announcements.nextExpiration = now + c.announcementIntervalUs()
		c.expireDatabases(now)
	}
}

// expireDatabases declares databases gone that missed missedAnnouncementLimit
// announcements. It does nothing if this process is, or was until recently, partitioned:
// databases then announced themselves to other processes, whose records may not have
// arrived here yet.
func (c *Core) expireDatabases(now int64) {
	if !c.inventoryComplete(now) {
		return
	}
	var expired []string
	c.databases.ForEach(learner.DatabasePrefix, func(record *schema.Record) {
		instance := learner.DecodeInstance(record)
		age := c.databases.AgeUs(now, record.Key)
		switch {
		case instance.Gone && age > goneRetention.Microseconds():
			expired = append(expired, record.Key)
		case !instance.Gone && age > missedAnnouncementLimit*c.announcementIntervalUs():
			instance.Gone = true
			c.mergeRecords(now, []*schema.Record{learner.EncodeInstance(instance)})
		}
	})
	for _, key := range expired {
		c.forgetDatabase(key)
	}
}

// forgetDatabase deletes the record of a database that has been gone for goneRetention.
func (c *Core) forgetDatabase(key string) {
	instance := learner.DecodeInstance(c.databases.Get(key))
	delete(c.group(instance.Group).databases, instance.ID)
	c.databases.Forget(key)
	c.changes.forget(key)
	delete(c.announcements.receivedAt, instance.ID)
}
