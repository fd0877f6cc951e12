package control

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"stoneford/language"
	"stoneford/result"
	"stoneford/schema"
	"stoneford/statemachine"
)

const (
	// decisionTimeout bounds the wait for the replies of the pool nodes. An operator
	// waits this long if a node has failed and is not suspected yet.
	decisionTimeout = time.Second
	// poolNode is the kind of the fleet members that make routing decisions.
	poolNode = "pool"
)

// decisionRequests holds the requests for routing decisions that were sent to the pool
// nodes and have not ended.
type decisionRequests struct {
	lastNumber uint64
	pending    map[uint64]*decisionRequest // by request number
}

// decisionRequest collects the replies of the pool nodes to one request.
type decisionRequest struct {
	reply       replyFunc
	deadline    int64
	outstanding int // number of nodes that have not replied
	decisions   []*schema.ReadDecision
	emptyText   string // reply text if no node knows of a decision
}

// requestDecisions asks each live pool node which replicas it selected for a read, or for
// the reads of a group.
func (c *Core) requestDecisions(now int64, partner string, s language.Sentence, reply replyFunc) {
	request := &schema.ReadDecisionRequest{Partner: partner, Query: s.ReadID}
	emptyText := fmt.Sprintf("no node has decided lately on a read %q of %s", s.ReadID, partner)
	if s.Group.Text != "" {
		group, err := language.ResolveGroup(s.Group, c.targets(), partner)
		if err != nil {
			reply(result.NotFound, err.Error())
			return
		}
		request.Group, emptyText = group, "no node has decided on a read of "+group+" yet"
	}
	pending := &decisionRequest{reply: reply, deadline: now + decisionTimeout.Microseconds(), emptyText: emptyText}
	c.decisionRequests.lastNumber++
	request.RequestNumber = c.decisionRequests.lastNumber
	for _, n := range c.nodes {
		if n.Kind == poolNode && n.Alive {
			pending.outstanding++
			c.send(statemachine.Send{To: n.Address, Envelope: &schema.Envelope{From: c.self, Body: &schema.Envelope_ReadDecisionRequest{ReadDecisionRequest: request}}})
		}
	}
	c.decisionRequests.pending[request.RequestNumber] = pending
	c.finishDecisionRequests(now)
}

func (c *Core) handleDecisions(now int64, response *schema.ReadDecisionResponse) {
	if pending := c.decisionRequests.pending[response.RequestNumber]; pending != nil {
		pending.decisions = append(pending.decisions, response.Decisions...)
		pending.outstanding--
		c.finishDecisionRequests(now)
	}
}

// finishDecisionRequests ends the requests that all nodes have replied to or whose
// deadline has passed.
func (c *Core) finishDecisionRequests(now int64) {
	for _, number := range slices.Sorted(maps.Keys(c.decisionRequests.pending)) {
		pending := c.decisionRequests.pending[number]
		if pending.outstanding > 0 && now < pending.deadline {
			continue
		}
		delete(c.decisionRequests.pending, number)
		pending.finish()
	}
}

// finish replies with the decisions, ordered by class, by node and from oldest to newest.
func (r *decisionRequest) finish() {
	if len(r.decisions) == 0 {
		r.reply(result.NotFound, r.emptyText)
		return
	}
	slices.SortStableFunc(r.decisions, func(x, y *schema.ReadDecision) int {
		return cmp.Or(cmp.Compare(x.Class, y.Class), cmp.Compare(x.Node, y.Node), cmp.Compare(y.AgoUs, x.AgoUs))
	})
	var lines []string
	for _, d := range r.decisions {
		lines = append(lines, decisionText(d))
	}
	r.reply(result.OK, strings.Join(lines, "\n"))
}

func decisionText(d *schema.ReadDecision) string {
	text := fmt.Sprintf("%s, %s", d.Group, d.Class)
	if d.Query != "" {
		text += " " + d.Query
	}
	text += fmt.Sprintf(", %.3f s ago by %s: on %s, %s", float64(d.AgoUs)/1e6, d.Node, d.Replica, d.Reason)
	if d.MinPosition > 0 {
		text += fmt.Sprintf("; its session wrote up to %d", d.MinPosition)
	}
	for _, o := range d.Candidates {
		text += "\n  " + candidateText(o)
	}
	return text
}

func candidateText(o *schema.ReplicaCandidate) string {
	if !o.Eligible {
		return fmt.Sprintf("%s: no level known would do; it had applied %d", o.Replica, o.AppliedPosition)
	}
	return fmt.Sprintf("%s: burden %d us + run %d us + wait %d us = %d us; it had applied %d and needed %d",
		o.Replica, o.LoadUs, o.RunUs, o.WaitUs, o.LoadUs+o.RunUs+o.WaitUs, o.AppliedPosition, o.RequiredPosition)
}
