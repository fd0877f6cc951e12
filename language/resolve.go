package language

import (
	"fmt"
	"slices"
	"strings"
)

// Target is a database or a machine that a name can refer to.
type Target struct {
	Name    string
	Machine bool // whether the target is a machine rather than a database
	Partner string
	Group   string // group of a database as PARTNER/GROUP, empty for a machine
	Zone    string
	Primary bool // whether the database is the primary of its group
}

// String describes a target with its name, role, group and zone, which distinguishes it
// from all other targets.
func (t Target) String() string {
	if t.Machine {
		return t.Name + " (machine in " + t.Zone + ")"
	}
	role := "replica"
	if t.Primary {
		role = "primary"
	}
	return fmt.Sprintf("%s (%s of %s in %s)", t.Name, role, t.Group, t.Zone)
}

// inGroup reports whether name is the name of the target's group, with or without the
// partner's name. It ignores case.
func (t Target) inGroup(name string) bool {
	return t.Group != "" && (strings.EqualFold(t.Group, name) || strings.EqualFold(t.Group[strings.Index(t.Group, "/")+1:], name))
}

// ResolveGroup returns the group of a partner that a token names, as PARTNER/GROUP.
func ResolveGroup(name Token, targets []Target, partner string) (string, error) {
	partnerTargets := slices.DeleteFunc(slices.Clone(targets), func(t Target) bool { return t.Partner != partner })
	for _, t := range partnerTargets {
		if t.inGroup(name.Text) {
			return t.Group, nil
		}
	}
	return "", errorAt(name.Column, fmt.Sprintf("%s has no group %q; there are: %s", partner, name.Text, joinSorted(partnerTargets, targetGroup)))
}

// MatchSubject returns a function that reports whether a maintenance window with the
// given owner, group and target belongs to the partner, group, database or machine that
// name refers to. It returns an error if name refers to none of them.
func MatchSubject(name Token, targets []Target) (matches func(owner, group, target string) bool, err error) {
	matchesName := func(s string) bool {
		return s != "" && (strings.EqualFold(s, name.Text) || strings.EqualFold(s[strings.LastIndex(s, "/")+1:], name.Text))
	}
	for _, t := range targets {
		if matchesName(t.Name) || matchesName(t.Partner) || matchesName(t.Group) {
			return func(owner, group, target string) bool {
				return matchesName(owner) || matchesName(group) || matchesName(target)
			}, nil
		}
	}
	return nil, errorAt(name.Column, fmt.Sprintf("%q is no partner, group, database or machine; there are: %s", name.Text, joinSorted(targets, targetName)))
}

// Resolve returns the database to which the tokens of a name refer, or the machine if
// machines is set. If no target matches, the error lists all targets of that kind; if
// several match, it lists these and is marked as ambiguous.
func Resolve(tokens []Token, targets []Target, machines bool) (Target, error) {
	wanted, err := parseName(tokens, targets, machines)
	if err != nil {
		return Target{}, err
	}
	var matching []Target
	for _, t := range targets {
		if t.Machine == machines && wanted.matches(t) {
			matching = append(matching, t)
		}
	}
	column := tokens[0].Column
	switch len(matching) {
	case 1:
		return matching[0], nil
	case 0:
		return Target{}, errorAt(column, "nothing fits; there are: "+joinSorted(filterByKind(targets, machines), Target.String))
	}
	return Target{}, &Error{Column: column, Text: "this fits: " + joinSorted(matching, Target.String), Ambiguous: true}
}

// criteria holds the properties that a name requires of a target, in lower case. An empty
// property matches every target.
type criteria struct{ name, zone, group, role string }

// Values of criteria.role.
const (
	replicaRole = "replica"
	primaryRole = "primary"
)

// matches reports whether a target has all required properties. A machine has no role.
func (c criteria) matches(t Target) bool {
	return (c.name == "" || strings.EqualFold(t.Name, c.name)) &&
		(c.zone == "" || strings.EqualFold(t.Zone, c.zone)) &&
		(c.group == "" || t.inGroup(c.group)) &&
		(c.role == "" || (c.role == primaryRole) == t.Primary && !t.Machine)
}

// parseName returns the criteria that the tokens of a name state. A token that could be
// several things is taken as the name of a target before a zone, and as a zone before a
// group.
func parseName(tokens []Token, targets []Target, machines bool) (criteria, error) {
	var c criteria
	for i := 0; i < len(tokens); i++ {
		text := strings.ToLower(tokens[i].Text)
		switch {
		case isFiller(text):
		case text == replicaRole || text == primaryRole:
			c.role = text
		case text == "of":
			i++
			group, err := parseGroupAfterOf(tokens, i, targets)
			if err != nil {
				return c, err
			}
			c.group = group
		case slices.ContainsFunc(targets, func(t Target) bool { return strings.EqualFold(t.Name, text) }):
			c.name = text
		case slices.ContainsFunc(targets, func(t Target) bool { return strings.EqualFold(t.Zone, text) }):
			c.zone = text
		case slices.ContainsFunc(targets, func(t Target) bool { return t.inGroup(text) }):
			c.group = text
		default:
			return c, errorAt(tokens[i].Column, fmt.Sprintf("%q is no database, machine, zone or group; there are: %s", tokens[i].Text, joinSorted(filterByKind(targets, machines), targetName)))
		}
	}
	return c, nil
}

// isFiller reports whether a token of a name, in lower case, carries no criterion.
func isFiller(text string) bool {
	switch text {
	case "the", "a", "database", "machine", "in", "at":
		return true
	}
	return false
}

// parseGroupAfterOf returns the group that the token at index names, in lower case. The
// token before it is "of".
func parseGroupAfterOf(tokens []Token, index int, targets []Target) (string, error) {
	if index == len(tokens) {
		return "", errorAt(tokens[index-1].Column, "expected a group behind of")
	}
	group := strings.ToLower(tokens[index].Text)
	if !slices.ContainsFunc(targets, func(t Target) bool { return t.inGroup(group) }) {
		return "", errorAt(tokens[index].Column, fmt.Sprintf("no group %q; there are: %s", tokens[index].Text, joinSorted(targets, targetGroup)))
	}
	return group, nil
}

// targetName and targetGroup are arguments of joinSorted.
func targetName(t Target) string { return t.Name }

func targetGroup(t Target) string { return t.Group }

// filterByKind returns the machines among targets if machines is set, otherwise the
// databases.
func filterByKind(targets []Target, machines bool) []Target {
	return slices.DeleteFunc(slices.Clone(targets), func(t Target) bool { return t.Machine != machines })
}

// joinSorted returns the distinct non-empty texts of targets, sorted and separated by
// commas, or "none" if there are none.
func joinSorted(targets []Target, text func(Target) string) string {
	var texts []string
	for _, t := range targets {
		if s := text(t); s != "" && !slices.Contains(texts, s) {
			texts = append(texts, s)
		}
	}
	slices.Sort(texts)
	if len(texts) == 0 {
		return "none"
	}
	return strings.Join(texts, ", ")
}
