package fleetstate

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/samber/lo"
)

// WriteStatus writes an overview of the processes, their voters and registers.
func WriteStatus(w io.Writer, results []FetchResult) error {
	t := newTableWriter(w)
	t.writeRow("PROCESS", "KIND", "ZONE", "NODE", "UP", "STANDING", "TABLE", "OPERATORS' REVISION", "LEASE LEFT")
	for _, r := range results {
		if r.Err != nil {
			t.writeRow("?", "?", "?", r.Address, "?", "silent", "?", "?", "?")
			continue
		}
		s := r.State
		standing := lo.Ternary(s.Draining, "leaving", lo.Ternary(s.Ready, lo.Ternary(s.Kind == KindControl, "votes", "ready"), "not ready"))
		t.writeRow(s.Name, s.Kind, s.Zone, s.NodeAddress, formatDuration(s.UpUs), standing, s.Table.Revision, s.Table.OperatorRevision, formatRemaining(s.LeaseLeftUs))
	}
	for _, r := range results {
		if r.Err != nil {
			continue
		}
		t.writeHeading(r.State)
		r.State.writeVoters(t)
		if p := r.State.Pool; p != nil {
			p.writeTotals(t)
		} else {
			r.State.writeRegisters(t)
		}
	}
	return t.Flush()
}

func (s ProcessState) writeVoters(t tableWriter) {
	t.writeRow("  VOTER", "ZONE", "DISK", "VOTES", "BEHIND", "HEARD")
	for _, v := range s.Voters {
		t.writeRow("  "+v.NodeAddress+textIf(v.Self, " (itself)"), v.Zone, v.Disk, v.Voting, v.LaggingRegisters, formatDuration(v.HeardUs))
	}
}

// WriteVoters writes the voters and the candidates that each process knows.
func WriteVoters(w io.Writer, results []FetchResult) error {
	t := newTableWriter(w)
	for _, r := range results {
		if r.Err != nil {
			fmt.Fprintf(t, "%s is silent: %v\n", r.Address, r.Err)
			continue
		}
		fmt.Fprintf(t, "%s knows membership %d\n", r.State.Name, r.State.Membership)
		r.State.writeVoters(t)
		if len(r.State.Candidates) > 0 {
			t.writeRow("  ASKS TO VOTE", "ZONE", "DISK", "COUNTS", "HEARD")
		}
		for _, c := range r.State.Candidates {
			t.writeRow("  "+c.NodeAddress, c.Zone, c.Disk, c.CountsForQuorum, formatDuration(c.HeardUs))
		}
	}
	return t.Flush()
}

func (s ProcessState) writeRegisters(t tableWriter) {
	t.writeRow("  REGISTER", "REVISION", "SEEN", "ACCEPTED HERE", "CHANGED BY")
	for _, r := range s.Registers {
		t.writeRow("  "+r.Key, r.Revision, r.HighestSeen, r.Accepted, shortChangeName(r.Changes))
	}
}

func (p PoolState) writeTotals(t tableWriter) {
	t.writeRow("  SESSIONS", "CONNECTIONS", "RUNNING", "WAITING", "TRANSACTIONS", "NODES")
	t.writeRow(fmt.Sprint("  ", p.Sessions), p.Connections, p.Running, p.Waiting, p.OpenTransactions, p.Nodes)
	t.writeRow("  STATEMENTS", "COUNT")
	for _, n := range slices.Sorted(maps.Keys(p.StatementsByResult)) {
		t.writeRow("  "+n, p.StatementsByResult[n])
	}
	t.writeRow("  (seen by no database)", p.AnsweredLocally)
	t.writeRow("  (bounced here)", p.Rejected)
	t.writeRow("  (tried again)", p.Retried)
	t.writeRow("  (placed at followers)", p.PlacedAtReplicas)
	t.writeRow("  (placed at primaries)", p.PlacedAtPrimaries)
	t.writeRow("  (connects)", p.Connects)
	t.writeRow("  (resets)", p.Resets)
}

// WriteDatabases writes the databases that a control process knows, and then the
// connections of each pool node to them.
func WriteDatabases(w io.Writer, results []FetchResult) error {
	t := newTableWriter(w)
	if control, err := FirstControl(results); err == nil {
		t.writeRow("GROUP", "DATABASE", "ROLE", "ADDRESS", "ZONE", "SLOTS", "STANDING", "HEARD")
		for _, d := range control.Control.Databases {
			role := lo.Ternary(d.Primary, "primary", "follower")
			standing := lo.Ternary(d.Gone, "gone", lo.Ternary(d.Draining, "leaving", "serves"))
			t.writeRow(d.Group, d.ID, role, d.Address, d.Zone, d.Capacity, standing, formatDuration(d.HeardUs))
		}
	}
	for _, node := range poolNodes(results) {
		t.writeHeading(node)
		t.writeRow("  GROUP", "DATABASE", "CONNECTIONS", "IDLE", "RUNNING", "SLOTS", "WAITING", "TRANSACTIONS", "LEVEL", "NAMED", "FAILING")
		for _, g := range node.Pool.Groups {
			for _, d := range g.Databases {
				g.writeDatabase(t, d)
			}
		}
	}
	return t.Flush()
}

func (g PoolGroup) writeDatabase(t tableWriter, d PoolDatabase) {
	connections := fmt.Sprintf("%d of %d", d.Connections, d.MaxConnections)
	level := textIf(d.AppliedPosition != Unknown, fmt.Sprintf("%d of %d", d.AppliedPosition, g.PrimaryPosition))
	failing := textIf(d.FailingUs != Unknown, formatDuration(d.FailingUs))
	t.writeRow("  "+g.Group, d.ID, connections, d.Idle, d.Running, fmt.Sprintf("%.1f", d.Slots), d.Waiting, d.OpenTransactions,
		level, formatPosition(d.HighestNamed), failing)
}

// WriteLeaders writes the groups' leaderships that a control process knows, and then the
// leaderships that each pool node uses.
func WriteLeaders(w io.Writer, results []FetchResult) error {
	t := newTableWriter(w)
	if control, err := FirstControl(results); err == nil {
		t.writeRow("GROUP", "TERM", "PHASE", "PRIMARY", "ADDRESS", "REVISION", "HOLDER", "FENCE", "LAST CHANGE TOOK", "MEMBERS", "CAUSE")
		for _, l := range control.Control.Leaders {
			phase := l.Phase + textIf(l.Unconfirmed, " (in doubt)")
			lastChange := textIf(l.LastFailoverUs != 0, formatDuration(l.LastFailoverUs))
			t.writeRow(l.Group, l.Term, phase, l.Primary, l.Address, l.Revision, l.RoleOwner, l.FencingToken, lastChange, strings.Join(l.Members, " "), l.Cause)
		}
	}
	for _, node := range poolNodes(results) {
		t.writeHeading(node)
		t.writeRow("  GROUP", "TERM", "PHASE", "PRIMARY", "REVISION", "SURE FOR", "WAITING", "ACKED")
		for _, g := range node.Pool.Groups {
			phase := g.Phase + textIf(g.Unconfirmed, " (in doubt)")
			t.writeRow("  "+g.Group, g.Term, phase, g.Primary, g.Revision, formatRemaining(g.ConfirmedForUs), g.Waiting, formatPosition(g.Acknowledged))
		}
	}
	return t.Flush()
}

// poolNodes returns the states of the pool nodes among the results.
func poolNodes(results []FetchResult) []ProcessState {
	var nodes []ProcessState
	for _, r := range results {
		if r.Err == nil && r.State.Pool != nil {
			nodes = append(nodes, r.State)
		}
	}
	return nodes
}

// writeHeading writes the name of a process above its tables.
func (t tableWriter) writeHeading(s ProcessState) {
	t.writeRow()
	fmt.Fprintf(t, "%s\n", s.Name)
}

// WriteNodes writes the processes that recently polled the control process with state s.
// reported has the states that some of these processes reported themselves, by node
// address.
func WriteNodes(w io.Writer, s ProcessState, reported map[string]ProcessState) error {
	t := newTableWriter(w)
	t.writeRow("PROCESS", "KIND", "NODE", "HEARD", "STANDING", "TABLE", "OPERATORS' REVISION", "LEASE LEFT", "CANNOT USE")
	for _, n := range s.Control.Nodes {
		var cannot []string
		for _, g := range n.HealthReports {
			cannot = append(cannot, fmt.Sprintf("%s for %s%s", g.DatabaseID, formatDuration(g.FailingUs), textIf(g.Disconnected, " (cut)")))
		}
		o, ok := reported[n.NodeAddress]
		standing := lo.Ternary(n.Draining, "leaving", "silent to us")
		rev, ops, lease := "?", "?", "?"
		if ok {
			standing = lo.Ternary(o.Draining, "leaving", lo.Ternary(o.Ready, "ready", "not ready"))
			rev, ops, lease = fmt.Sprint(o.Table.Revision), fmt.Sprint(o.Table.OperatorRevision), formatRemaining(o.LeaseLeftUs)
		}
		t.writeRow(n.Name, n.Kind, n.NodeAddress, formatDuration(n.HeardUs), standing, rev, ops, lease, strings.Join(cannot, ", "))
	}
	return t.Flush()
}

// WriteTable writes the routing table that a process uses.
func WriteTable(w io.Writer, s ProcessState) error {
	t := newTableWriter(w)
	fmt.Fprintf(t, "%s works by revision %d, the operators' %d\n", s.Name, s.Table.Revision, s.Table.OperatorRevision)
	for _, r := range s.Registers {
		if len(r.Changes) > 0 && r.Key == "routes" {
			fmt.Fprintf(t, "changed lately by, newest first:\n")
			for _, c := range r.Changes {
				fmt.Fprintf(t, "  %s\n", c)
			}
		}
	}
	t.writeRow()
	t.writeRow("ROUTE", "HOST", "PREFIX", "KIND", "GROUP", "EXPIRY", "AIM", "STALE", "RANK")
	for _, r := range s.Table.Routes {
		t.writeRow(r.Name, r.Host, r.Prefix, r.Kind, r.Group, formatDuration(r.TimeoutUs), formatDuration(r.LatencyTargetUs), formatDuration(r.MaxStalenessUs), r.Rank)
	}
	t.writeRow()
	t.writeRow("GROUP", "CONNECTIONS", "SYNC FOLLOWERS")
	for _, g := range s.Table.Groups {
		t.writeRow(g.Name, g.ConnectionLimit, g.RequiredReplicaAcks)
	}
	if l := s.Table.Limits; l != nil {
		fmt.Fprintf(t, "\nsessions may rest %s, open transactions %s (0s: not bounded)\n", formatDuration(l.IdleTimeoutUs), formatDuration(l.TransactionIdleTimeoutUs))
	}
	return t.Flush()
}
