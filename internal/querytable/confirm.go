package querytable

import (
	"time"

	"stoneford/freshness"
	"stoneford/result"
)

// majorityTimeout bounds the time that the reply to a write waits for a majority. After
// it the outcome of a commit is reported as uncertain, and an open transaction as lost.
const majorityTimeout = 2 * time.Second

// finishConfirmedQueries replies to the queries whose commit or read position a majority
// of the databases has received in the epoch of the run (design 8.1). Queries that waited
// too long for a majority end without confirmation.
func (t *Table) finishConfirmedQueries(now int64) {
	t.eachQuery(func(q *query) {
		if q.state != awaitingMajority {
			return
		}
		since := int64(0)
		if q.class.isCurrent() {
			since = q.arrivedAt
		}
		if t.majorityReceived(q.epoch, q.majorityPosition, since) {
			t.finishConfirmed(now, q)
		} else {
			t.checkMajorityTimeout(now, q)
		}
	})
}

// finishConfirmed replies to a confirmed query. A read whose data is no longer fresh is
// routed again.
func (t *Table) finishConfirmed(now int64, q *query) {
	if q.commit.position > 0 {
		t.recordCommit(q)
	}
	if !q.class.isCurrent() && !t.isFresh(q, 0, q.majorityPosition, now) {
		t.retryRead(now, q, false)
		return
	}
	t.finish(now, q, q.reply)
}

// recordCommit advances the session's token to a commit and adds the commit to the
// freshness queue.
func (t *Table) recordCommit(q *query) {
	s := t.sessions[q.Session]
	s.token = Token{Group: t.desired.Group, Epoch: q.epoch, Position: max(s.token.Position, q.commit.position)}
	if t.desired.IgnoreOwnCommits {
		return
	}
	atoms := []freshness.Atom{""} // stands for all relations, if the database did not report which
	if len(q.commit.relations) > 0 {
		atoms = nil
		for _, r := range q.commit.relations {
			atoms = append(atoms, freshness.Atom(r))
		}
	}
	t.freshness.AddCommit(q.sentAt, q.commit.position, q.commit.tuples, atoms)
}

// checkMajorityTimeout ends a query that has waited too long for a majority. The outcome
// of a commit is then uncertain, an open transaction is lost, and a read is rejected.
func (t *Table) checkMajorityTimeout(now int64, q *query) {
	waitedUs := now - q.waitingSince
	switch {
	case q.write && waitedUs > majorityTimeout.Microseconds():
		t.abandon(now, q, result.NoMajority, "")
	case !q.write && waitedUs > queueTimeout.Microseconds():
		t.reject(now, q, result.NoFreshReplica, unavailableRetryDelay.Microseconds())
	}
}
