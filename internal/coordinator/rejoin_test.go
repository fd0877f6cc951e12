package coordinator

import (
	"fmt"
	"testing"

	"stoneford/internal/learner"
	"stoneford/internal/ports"
)

// TestPartitionedExpiresNoDatabaseInMoves: a control process that was cut off from the
// others heard nothing of the databases that announce themselves to these. Once
// it is back it takes none of them for gone; one that is silent towards all is
// taken for gone all the same.
func TestPartitionedExpiresNoDatabaseInMoves(t *testing.T) {
	for seed := range uint64(30) {
		c := newCluster(t, seed, 3, 3, 1)
		for _, a := range c.order {
			c.start(a)
		}
		c.run(2_000_000)
		call := uint64(0)
		silent := false
		announce := func(id string) {
			call++
			c.step(c.order[1], Announce{ID: call, Instance: ports.Instance{ID: id, Group: "g", Address: "10.1.1.1:1", AnnouncementNumber: call}})
		}
		var beat func()
		beat = func() {
			if announce("stays"); !silent {
				announce("ends")
			}
			c.environment.After(defaultHeartbeatInterval, beat)
		}
		beat()
		c.run(10_000_000)
		gone := func(id string) (by []string) {
			for _, a := range c.order {
				if r := c.members[a].core.databases.Get(learner.DatabasePrefix + id); r == nil || learner.DecodeInstance(r).Gone {
					by = append(by, a)
				}
			}
			return by
		}
		for _, o := range c.order[1:] {
			c.network.SetPartition(c.order[0], o, true)
			c.network.SetPartition(o, c.order[0], true)
		}
		c.run(c.environment.Between(8_000_000, 20_000_000))
		c.network.Repair()
		for range 500 {
			c.run(20_000)
			if by := gone("stays"); len(by) > 0 {
				t.Fatalf("seed %d: a database that beats is gone for %v", seed, by)
			}
		}
		silent = true
		c.run(missedHeartbeatLimit*defaultHeartbeatInterval + 8_000_000)
		if by := gone("ends"); fmt.Sprint(by) != fmt.Sprint(c.order) {
			t.Fatalf("seed %d: a silent database is gone for %v only", seed, by)
		}
	}
}
