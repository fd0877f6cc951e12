package control

import "time"

// majorityLossDelay is the time without a responsive majority after which reads and
// changes of a configuration are rejected immediately. It is long enough to tolerate the
// loss of a few envelopes, after which a voter is suspected for a moment. It adds to the
// time that operators wait.
const majorityLossDelay = 500 * time.Millisecond

// majorityTracker tracks whether a majority of the voters has been unresponsive for some
// time. It only serves to reject calls early (design 17) and to report the status and
// readiness of the process. No configuration is returned or accepted without a read
// through a majority. Times are in microseconds.
type majorityTracker struct {
	lostAt    int64 // 0 while a majority is responsive
	updatedAt int64 // time of the last update
}

// update records whether a majority is responsive at now.
func (m *majorityTracker) update(now int64, responsive bool) {
	m.updatedAt = now
	switch {
	case responsive:
		m.lostAt = 0
	case m.lostAt == 0:
		m.lostAt = now
	}
}

// reachable reports whether a majority was responsive within majorityLossDelay.
func (m *majorityTracker) reachable() bool {
	return m.lostAt == 0 || m.updatedAt-m.lostAt < majorityLossDelay.Microseconds()
}

// majorityResponsive reports whether the voters that are not known to be unresponsive,
// including this one, form a majority.
func (c *Core) majorityResponsive() bool {
	voters, unresponsive := len(c.config.Seeds), 0
	for _, v := range c.config.Seeds {
		if v != c.self && c.unresponsive[v] {
			unresponsive++
		}
	}
	return voters-unresponsive > voters/2
}
