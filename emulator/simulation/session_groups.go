package simulation

import (
	"stoneford/internal/querytable"
)

// ChangeGroups leads the routes of a random fraction of the sessions to another group of
// their partner. Each session follows from its next action on, and continues there with the
// token that it got from that group before, if there is one.
func (f *Fleet) ChangeGroups(fraction float64) {
	for _, s := range f.sessions {
		groups := f.groupsOf(s.partner)
		if s.endsAtUs == 0 && len(groups) > 1 && f.Chance(fraction) {
			s.nextGroup = groups[f.Random.IntN(len(groups))]
		}
	}
}

// groupsOf returns the groups of a partner, in the order of the plan.
func (f *Fleet) groupsOf(partner string) []string {
	var groups []string
	for _, g := range f.Plan.Groups {
		if f.partnerOf[g] == partner {
			groups = append(groups, g)
		}
	}
	return groups
}

// followRoute moves the session to the group to which its route leads now. A token belongs
// to one group, so the session keeps one for each.
func (s *session) followRoute() {
	group := s.partner + "/" + s.nextGroup
	if s.nextGroup == "" || group == s.group {
		s.nextGroup = ""
		return
	}
	s.moved = true
	s.abandonNode()
	if s.otherTokens == nil {
		s.otherTokens = map[string]querytable.Token{}
	}
	s.otherTokens[s.group] = s.token
	s.token = s.otherTokens[group]
	s.group, s.route = group, s.partner+"/"+s.fleet.route(s.nextGroup)
	s.nextGroup = ""
	s.fleet.groupChanges++
}

// GroupChanges returns the number of times that a session followed its route to another
// group.
func (f *Fleet) GroupChanges() int { return f.groupChanges }
