package pool

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"stoneford/failuredetector"
	"stoneford/internal/membership"
	"stoneford/result"
	"stoneford/schema"
)

const (
	// announceInterval is the time between two announcements of this node.
	announceInterval = time.Second
	// membershipInterval is the time between two updates of the member list from the
	// records. It adds to the delay with which a new or departed member is noticed.
	membershipInterval = 200 * time.Millisecond
	// compareInterval is the time between two comparisons of the records with the node's
	// parent. It bounds how long a lost record stays missing.
	compareInterval = time.Second
)

// updateMembership reads the members of the fleet from the records.
func (c *Core) updateMembership(now int64) {
	c.nodes = membership.ReadNodes(now, c.records)
	c.detector.SetNodes(now, membership.Addresses(c.nodes))
	c.relay.SetLiveNodes(membership.LiveAddresses(c.nodes))
}

// announce renews this node's record and sends it to one control process or, with toAll,
// to all of them, as after a start and after a stop.
func (c *Core) announce(now int64, toAll bool) {
	r := c.putRecord(now, membership.NodePrefix+c.self, &schema.NodeRecord{
		Name:        c.config.Name,
		Zone:        c.config.Zone,
		Partner:     c.config.Partner,
		HttpAddress: c.config.Http,
		Kind:        "pool",
		Draining:    c.draining,
		Run:         c.run,
	})
	if toAll {
		c.sendRecord(r, c.config.Seeds...)
	} else {
		c.sendRecord(r, c.nextSeed())
	}
}

// compareRecords starts a comparison of the records replicated to every process, with the
// parent in the relay tree or, without a parent, with a control process.
func (c *Core) compareRecords() {
	peer := c.relay.Parent()
	if peer == "" {
		peer = c.nextSeed()
	}
	for _, keys := range membership.ReplicatedRanges() {
		c.send(c.records.CompareRange(peer, keys))
	}
}

// nextSeed returns the address of the next control process in turn.
func (c *Core) nextSeed() string {
	c.lastSeed++
	return c.config.Seeds[c.lastSeed%len(c.config.Seeds)]
}

// applyDetectorEffects writes a record for each member of the fleet that this node
// started or stopped suspecting, and sends it to the control processes at once.
func (c *Core) applyDetectorEffects(now int64, effects failuredetector.Effects) {
	c.send(effects.Send...)
	for _, node := range slices.Sorted(maps.Keys(effects.Changed)) {
		suspected := effects.Changed[node]
		if suspected {
			c.logf(result.PeerSuspected, "%s", node)
		}
		r := c.putRecord(now, membership.SuspectKey(node, c.self), membership.NewSuspicion(c.nodes, node, suspected))
		c.sendRecord(r, c.config.Seeds...)
	}
}

// putRecord writes a record of this node. The timestamps of its records only grow, so
// that the newest record wins every merge.
func (c *Core) putRecord(now int64, key string, m proto.Message) *schema.Record {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	c.lastTimestamp++
	r := &schema.Record{Key: key, Timestamp: c.lastTimestamp, Data: data}
	c.records.Merge(now, r)
	return r
}

// newReport returns a new record that the caller must send. The control processes keep
// it, this node does not.
func (c *Core) newReport(now int64, key string, m proto.Message) *schema.Record {
	r := c.putRecord(now, key, m)
	c.records.Forget(key)
	return r
}

// reportApplied reports this node's revision of a register to the control processes.
func (c *Core) reportApplied(now int64, key string) {
	recordKey := membership.AppliedPrefix + key + "/" + c.config.Name
	r := c.newReport(now, recordKey, &schema.AppliedRecord{Revision: c.relay.Value(key).GetRevision()})
	c.sendRecord(r, c.config.Seeds...)
}

func (c *Core) sendRecord(r *schema.Record, addresses ...string) {
	for _, address := range addresses {
		c.sendTo(&schema.Envelope{From: c.self, Body: &schema.Envelope_Records{Records: &schema.Records{Records: []*schema.Record{r}}}}, address)
	}
}
