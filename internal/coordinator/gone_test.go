package coordinator

import (
	"testing"

	"stoneford/internal/learner"
	"stoneford/internal/ports"
)

// TestPartitionedExpiresNoDatabase: a process that was cut off heard no announcements;
// back among the others it takes no database as gone for that.
func TestPartitionedExpiresNoDatabase(t *testing.T) {
	for seed := range uint64(12) {
		c := newCluster(t, seed, 3, 3, 1)
		for _, a := range c.order {
			c.start(a)
		}
		c.run(2_000_000)
		call := uint64(0)
		var beat func()
		beat = func() {
			call++
			c.step(c.order[0], Announce{ID: call, Instance: ports.Instance{ID: "db", Group: "g", Address: "10.1.1.1:1", AnnouncementNumber: call}})
			c.environment.After(1_200_000, beat)
		}
		beat()
		c.run(15_000_000)
		off := c.order[2]
		cut := func(broken bool) {
			for _, o := range c.order[:2] {
				c.network.SetPartition(off, o, broken)
				c.network.SetPartition(o, off, broken)
			}
		}
		cut(true)
		c.run(4_000_000 + int64(seed)*400_000)
		cut(false)
		for range 600 {
			c.run(10_000)
			for _, a := range c.order {
				if r := c.members[a].core.databases.Get(learner.DatabasePrefix + "db"); r == nil || learner.DecodeInstance(r).Gone {
					t.Fatalf("seed %d: %s takes the database as gone", seed, a)
				}
			}
		}
		// One that is silent towards all is taken as gone.
		c.step(c.order[1], Announce{ID: 1 << 40, Instance: ports.Instance{ID: "silent", Group: "g", Address: "10.1.1.2:1", AnnouncementNumber: 1}})
		c.run(14_000_000)
		if r := c.members[off].core.databases.Get(learner.DatabasePrefix + "silent"); r == nil || !learner.DecodeInstance(r).Gone {
			t.Fatalf("seed %d: one that is silent for long is not taken as gone", seed)
		}
	}
}
