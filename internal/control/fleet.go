package control

import (
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"stoneford/crdt"
	"stoneford/failuredetector"
	"stoneford/internal/membership"
	"stoneford/result"
	"stoneford/schema"
)

const (
	// announceInterval is the time between two announcements of this process.
	announceInterval = time.Second
	// membershipInterval is the time between two updates of the member list from the
	// records. It adds to the delay with which a new or departed member is noticed.
	membershipInterval = 200 * time.Millisecond
	// compareInterval is the time between two comparisons of all records with another
	// control process. It bounds how long a lost record stays missing.
	compareInterval = 400 * time.Millisecond
	// reportRetention bounds how long a pool node's last report is kept when no newer one
	// arrives.
	reportRetention = 30 * time.Second
)

// updateMembership reads the members of the fleet from the records, and removes reports
// that have not been renewed for reportRetention.
func (c *Core) updateMembership(now int64) {
	c.nodes = membership.ReadNodes(now, c.records)
	c.detector.SetNodes(now, membership.Addresses(c.nodes))
	c.controlDetector.SetNodes(now, c.config.Seeds)
	c.relay.SetLiveNodes(membership.LiveAddresses(c.nodes))
	c.records.ForEach(membership.ReportPrefix, func(r *schema.Record) {
		if c.records.AgeUs(now, r.Key) > reportRetention.Microseconds() {
			c.records.Forget(r.Key)
		}
	})
}

// announce renews this process's node record, and updates the records of its applied
// revisions where these changed.
func (c *Core) announce(now int64) {
	c.putRecord(now, membership.NodePrefix+c.self, &schema.NodeRecord{
		Name:        c.config.Name,
		Zone:        c.config.Zone,
		Partner:     c.config.Partner,
		HttpAddress: c.config.Http,
		Kind:        "control",
		Draining:    c.draining,
		Run:         c.run,
	})
	for _, key := range c.relay.Keys() {
		recordKey := membership.AppliedPrefix + key + "/" + c.config.Name
		revision := c.relay.Value(key).Revision
		if r := c.records.Get(recordKey); r == nil || !hasRevision(r, revision) {
			c.putRecord(now, recordKey, &schema.AppliedRecord{Revision: revision})
		}
	}
}

// hasRevision reports whether an applied record holds the given revision.
func hasRevision(r *schema.Record, revision uint64) bool {
	applied := &schema.AppliedRecord{}
	return proto.Unmarshal(r.Data, applied) == nil && applied.Revision == revision
}

// compareRecords starts a comparison of all records with the next control process in
// turn.
func (c *Core) compareRecords() {
	c.schedule.lastPeer++
	if peer := c.config.Seeds[c.schedule.lastPeer%len(c.config.Seeds)]; peer != c.self {
		c.send(c.records.CompareRange(peer, crdt.KeyRange{}))
	}
}

// putRecord writes a record of this process. The timestamps of its records only grow, so
// that the newest record wins every merge.
func (c *Core) putRecord(now int64, key string, m proto.Message) {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	c.lastTimestamp++
	c.records.Merge(now, &schema.Record{Key: key, Timestamp: c.lastTimestamp, Data: data})
}

// applyDetectorEffects writes a record for each member of the fleet that this process
// started or stopped suspecting.
func (c *Core) applyDetectorEffects(now int64, effects failuredetector.Effects) {
	c.send(effects.Send...)
	for _, node := range slices.Sorted(maps.Keys(effects.Changed)) {
		suspected := effects.Changed[node]
		if suspected {
			c.logf(result.PeerSuspected, "%s", node)
		}
		c.putRecord(now, membership.SuspectKey(node, c.self), membership.NewSuspicion(c.nodes, node, suspected))
	}
}

func (c *Core) applyControlDetectorEffects(effects failuredetector.Effects) {
	c.send(effects.Send...)
	maps.Copy(c.unresponsive, effects.Changed)
}

// isAlive reports whether a control process is eligible to lead a role.
func (c *Core) isAlive(address string) bool {
	if address == c.self {
		return !c.draining
	}
	return !c.unresponsive[address]
}

// AppliedRevisions returns the revision of a register that is in force on each process,
// by process name.
func (c *Core) AppliedRevisions(key string) map[string]uint64 {
	revisions := map[string]uint64{}
	prefix := membership.AppliedPrefix + key + "/"
	c.records.ForEach(prefix, func(r *schema.Record) {
		applied := &schema.AppliedRecord{}
		if proto.Unmarshal(r.Data, applied) == nil {
			revisions[strings.TrimPrefix(r.Key, prefix)] = applied.Revision
		}
	})
	return revisions
}
