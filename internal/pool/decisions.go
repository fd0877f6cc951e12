package pool

import (
	"maps"
	"slices"

	"stoneford/internal/querytable"
	"stoneford/schema"
)

// requestDecisions asks the tables of the requesting partner's groups for their
// decisions, or only one group's table if the request names the group.
func (c *Core) requestDecisions(from string, request *schema.ReadDecisionRequest) {
	for _, key := range slices.Sorted(maps.Keys(c.groups)) {
		if c.groups[key].partner == request.Partner && (request.Group == "" || request.Group == key) {
			c.emit(DecisionsRequest{From: from, RequestNumber: request.RequestNumber, Group: key, QueryName: request.Query})
		}
	}
}

// handleDecisions sends a table's decisions to the control process that requested them.
func (c *Core) handleDecisions(e Decisions) {
	response := &schema.ReadDecisionResponse{RequestNumber: e.Request.RequestNumber}
	for _, d := range e.Decisions {
		response.Decisions = append(response.Decisions, &schema.ReadDecision{
			Node:        c.config.Name,
			Group:       e.Group,
			Query:       d.QueryName,
			Class:       d.Class,
			AgoUs:       e.AtUs - d.AtUs,
			Replica:     d.Database,
			Reason:      d.Reason,
			MinPosition: d.MinPosition,
			Candidates:  replicaCandidates(d),
		})
	}
	c.sendTo(&schema.Envelope{From: c.self, Body: &schema.Envelope_ReadDecisionResponse{ReadDecisionResponse: response}}, e.Request.From)
}

func replicaCandidates(d querytable.Decision) []*schema.ReplicaCandidate {
	var candidates []*schema.ReplicaCandidate
	for _, r := range d.Candidates {
		candidates = append(candidates, &schema.ReplicaCandidate{
			Replica:          r.Name,
			AppliedPosition:  r.AppliedPosition,
			RequiredPosition: r.RequiredPosition,
			LoadUs:           r.LoadUs,
			RunUs:            r.AverageRunUs,
			WaitUs:           r.WaitUs,
			Eligible:         r.Eligible,
		})
	}
	return candidates
}
