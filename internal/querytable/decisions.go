package querytable

import (
	"slices"

	"stoneford/freshness"
)

// maxDecisions is the number of recent decisions kept for DecisionsRequest.
const maxDecisions = 256

// Reasons of decisions, as shown to operators.
const (
	reasonLowestCost     = "least burden, run time and wait together"
	reasonWaitTooLong    = "the primary, for the least sum's wait is longer than its class allows"
	reasonNoReplica      = "the primary, for no replica takes part"
	reasonReplicaTooSlow = "the primary, for the copy chosen did not come up in time"
)

// decisionLog is a ring buffer of the newest decisions.
type decisionLog struct {
	ring   []Decision
	oldest int // index of the oldest decision once the ring is full
}

func (l *decisionLog) add(d Decision) {
	if len(l.ring) < maxDecisions {
		l.ring = append(l.ring, d)
		return
	}
	l.ring[l.oldest] = d
	l.oldest = (l.oldest + 1) % maxDecisions
}

// recent returns the decisions for the query with the given name, oldest first. Without a
// name it returns the newest decision of each class.
func (l *decisionLog) recent(name string) []Decision {
	var recent []Decision
	for i := range l.ring {
		d := l.ring[(l.oldest+i)%len(l.ring)]
		if name != "" && d.QueryName != name {
			continue
		}
		if name == "" {
			recent = slices.DeleteFunc(recent, func(o Decision) bool { return o.Class == d.Class })
		}
		recent = append(recent, d)
	}
	return recent
}

func (t *Table) recordDecision(now int64, q *query, database, reason string, minPosition int64, candidates []freshness.Replica) {
	t.decisions.add(Decision{QueryName: q.Name, Class: q.class.Name, AtUs: now, Database: database, Reason: reason, MinPosition: minPosition, Candidates: candidates})
}
