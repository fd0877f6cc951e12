package settings

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"stoneford/schema"
)

// ReadConfiguration reads a partner's configuration from its JSON text and returns every
// problem found. The caller may use the configuration only if there is no problem.
func ReadConfiguration(text []byte) (*schema.Configuration, []Problem) {
	c := &schema.Configuration{}
	problems := problems{list: Read(text, c)}
	if len(problems.list) == 1 && problems.list[0].Field == "" {
		return c, problems.list // the text is not a single JSON object
	}
	checkDatabases(&problems, c)
	checkGroups(&problems, c)
	checkRoutes(&problems, c)
	checkClasses(&problems, c)
	if _, err := time.LoadLocation(c.TimeZone); err != nil {
		problems.add("time_zone", "unknown: %s", c.TimeZone)
	}
	return c, problems.list
}

// checkDatabases checks that no two databases have the same address.
func checkDatabases(problems *problems, c *schema.Configuration) {
	databaseAt := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.Databases)) {
		address := c.Databases[name].Address
		if other, ok := databaseAt[address]; ok && address != "" {
			problems.add("databases."+name+".address", "is also that of %s", other)
		}
		databaseAt[address] = name
	}
}

// checkGroups checks that the members of each group are databases that belong to no other
// group, and that the primary is a member.
func checkGroups(problems *problems, c *schema.Configuration) {
	groupOf := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.Groups)) {
		group := c.Groups[name]
		for i, member := range group.Members {
			path := fmt.Sprintf("groups.%s.members[%d]", name, i)
			if c.Databases[member] == nil {
				problems.add(path, "no such database: %s", member)
			}
			if other, ok := groupOf[member]; ok {
				problems.add(path, "%s is already a member of %s", member, other)
			}
			groupOf[member] = name
		}
		if group.Primary != "" && !slices.Contains(group.Members, group.Primary) {
			problems.add("groups."+name+".primary", "%s is not a member", group.Primary)
		}
	}
}

// checkRoutes checks that the group and the classes of each route exist.
func checkRoutes(problems *problems, c *schema.Configuration) {
	for _, name := range slices.Sorted(maps.Keys(c.Routes)) {
		route := c.Routes[name]
		if route.Group != "" && c.Groups[route.Group] == nil {
			problems.add("routes."+name+".group", "no such group: %s", route.Group)
		}
		for i, class := range route.Classes {
			if c.Classes[class] == nil {
				problems.add(fmt.Sprintf("routes.%s.classes[%d]", name, i), "no such class: %s", class)
			}
		}
	}
}

// currentKind is the kind of the classes whose reads must not be stale.
const currentKind = "current"

// checkClasses checks that the margin of each class is less than its staleness bound,
// except for classes of current reads.
func checkClasses(problems *problems, c *schema.Configuration) {
	for _, name := range slices.Sorted(maps.Keys(c.Classes)) {
		if class := c.Classes[name]; class.Kind != currentKind && class.MarginUs >= class.StaleUs {
			problems.add("classes."+name+".margin_us", "must be less than stale_us")
		}
	}
}
