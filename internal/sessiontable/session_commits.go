package sessiontable

import (
	"slices"

	"stoneford/internal/ports"
)

// maxCommitGroups bounds the groups in which a session's newest commit is kept. A session
// commits in more groups only if the operators change the route of its host that often.
const maxCommitGroups = 8

// groupCommit is the newest commit in a group that was acknowledged to a session.
type groupCommit struct {
	group    *databaseGroup
	position ports.Position // zero if the answer to the commit named none
}

// sessionCommits holds the newest commit that was acknowledged to a session in each group.
// A session commits in several groups if the route of its host changes, and may return to
// any of them. The zero value is a session without commits.
type sessionCommits struct {
	newest  []groupCommit // at most maxCommitGroups, the group of the latest commit last
	dropped bool          // a commit was dropped from newest
}

// record records an acknowledged commit. A position that is not known replaces a known one,
// which the commit follows. If there are too many groups, record drops the one in which the
// session has not committed for longest.
func (c *sessionCommits) record(group *databaseGroup, position ports.Position) {
	commit := groupCommit{group, position}
	if i := c.index(group); i >= 0 {
		if position.Known() && position.Before(c.newest[i].position) {
			commit.position = c.newest[i].position
		}
		c.newest = slices.Delete(c.newest, i, i+1)
	}
	if len(c.newest) >= maxCommitGroups {
		c.newest = slices.Delete(c.newest, 0, 1)
		c.dropped = true
	}
	c.newest = append(c.newest, commit)
}

// in returns the position of the session's newest commit in a group, or the zero position
// if it has none there. ok is false if it may have one at a position that is not known.
func (c *sessionCommits) in(group *databaseGroup) (position ports.Position, ok bool) {
	if i := c.index(group); i >= 0 {
		return c.newest[i].position, c.newest[i].position.Known()
	}
	return ports.Position{}, !c.dropped
}

// index returns the index of a group in newest, or -1.
func (c *sessionCommits) index(group *databaseGroup) int {
	return slices.IndexFunc(c.newest, func(commit groupCommit) bool { return commit.group == group })
}
