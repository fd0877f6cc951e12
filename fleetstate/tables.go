package fleetstate

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"

	"stoneford/ports"
)

// tables writes tables of text.
type tables struct{ *tabwriter.Writer }

func newTables(w io.Writer) tables { return tables{tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)} }

func (t tables) row(cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(t, "\t")
		}
		if s := fmt.Sprint(c); s != "" {
			fmt.Fprint(t, s)
		} else {
			fmt.Fprint(t, "-")
		}
	}
	fmt.Fprintln(t)
}

// span is a time as people read it.
func span(us int64) string {
	if us < 0 {
		return "never"
	}
	d := time.Duration(us) * time.Microsecond
	switch {
	case d < time.Second:
		return d.Round(time.Millisecond).String()
	case d < time.Minute:
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}

func left(us int64) string {
	if us <= 0 {
		return "run out"
	}
	return span(us)
}

func position(p ports.Position) string {
	if !p.Known() {
		return ""
	}
	return fmt.Sprintf("%d.%d", p.Term, p.Number)
}

func yes(b bool, word string) string { return lo.Ternary(b, word, "") }

// short is the beginning of a change's name.
func short(names []string) string {
	if len(names) == 0 {
		return ""
	}
	n := names[0]
	if !strings.Contains(n, "#") && len(n) > 12 {
		n = n[:12]
	}
	return n
}

// WriteStatus writes what each process asked is.
func WriteStatus(w io.Writer, rs []Reply) error {
	t := newTables(w)
	t.row("PROCESS", "KIND", "ZONE", "NODE", "UP", "STANDING", "TABLE", "OPERATORS' REVISION", "LEASE LEFT")
	for _, r := range rs {
		if r.Err != nil {
			t.row("?", "?", "?", r.At, "?", "silent", "?", "?", "?")
			continue
		}
		s := r.State
		standing := lo.Ternary(s.Leaving, "leaving", lo.Ternary(s.Ready, lo.Ternary(s.Kind == KindControl, "votes", "ready"), "not ready"))
		t.row(s.Name, s.Kind, s.Zone, s.Node, span(s.UpUs), standing, s.Table.Revision, s.Table.Operators, left(s.LeaseLeftUs))
	}
	for _, r := range rs {
		if r.Err != nil {
			continue
		}
		t.row()
		fmt.Fprintf(t, "%s\n", r.State.Name)
		r.State.voters(t)
		if p := r.State.Pool; p != nil {
			p.sums(t)
		} else {
			r.State.registers(t)
		}
	}
	return t.Flush()
}

func (s State) voters(t tables) {
	t.row("  VOTER", "ZONE", "DISK", "VOTES", "BEHIND", "HEARD")
	for _, v := range s.Voters {
		t.row("  "+v.Node+yes(v.Self, " (itself)"), v.Zone, v.Disk, v.Votes, v.Behind, span(v.HeardUs))
	}
}

// WriteVoters writes who votes, as each process asked knows it, and who asks to.
func WriteVoters(w io.Writer, rs []Reply) error {
	t := newTables(w)
	for _, r := range rs {
		if r.Err != nil {
			fmt.Fprintf(t, "%s is silent: %v\n", r.At, r.Err)
			continue
		}
		fmt.Fprintf(t, "%s knows membership %d\n", r.State.Name, r.State.Membership)
		r.State.voters(t)
		if len(r.State.Candidates) > 0 {
			t.row("  ASKS TO VOTE", "ZONE", "DISK", "COUNTS", "HEARD")
		}
		for _, c := range r.State.Candidates {
			t.row("  "+c.Node, c.Zone, c.Disk, c.Counts, span(c.HeardUs))
		}
	}
	return t.Flush()
}

func (s State) registers(t tables) {
	t.row("  REGISTER", "REVISION", "SEEN", "ACCEPTED HERE", "CHANGED BY")
	for _, r := range s.Registers {
		t.row("  "+r.Key, r.Revision, r.Seen, r.Accepted, short(r.Changes))
	}
}

func (p Pool) sums(t tables) {
	t.row("  SESSIONS", "CONNECTIONS", "RUNNING", "WAITING", "TRANSACTIONS", "NODES")
	t.row(fmt.Sprint("  ", p.Sessions), p.Connections, p.Running, p.Waiting, p.Open, p.Nodes)
	t.row("  STATEMENTS", "COUNT")
	for _, n := range slices.Sorted(maps.Keys(p.Ended)) {
		t.row("  "+n, p.Ended[n])
	}
	t.row("  (seen by no database)", p.Local)
	t.row("  (bounced here)", p.Held)
	t.row("  (tried again)", p.Again)
	t.row("  (placed at followers)", p.Follower)
	t.row("  (placed at primaries)", p.Primary)
	t.row("  (connects)", p.Connects)
	t.row("  (resets)", p.Resets)
}

// WriteDatabases writes the databases known to a control process, then how each
// pool node asked uses them.
func WriteDatabases(w io.Writer, rs []Reply) error {
	t := newTables(w)
	if s, err := FirstControl(rs); err == nil {
		t.row("GROUP", "DATABASE", "ROLE", "ADDRESS", "ZONE", "SLOTS", "STANDING", "HEARD")
		for _, d := range s.Control.Databases {
			standing := lo.Ternary(d.Gone, "gone", lo.Ternary(d.Leaving, "leaving", "serves"))
			t.row(d.Group, d.ID, lo.Ternary(d.Primary, "primary", "follower"), d.Address, d.Zone, d.Capacity, standing, span(d.HeardUs))
		}
	}
	for _, r := range rs {
		if r.Err != nil || r.State.Pool == nil {
			continue
		}
		t.row()
		fmt.Fprintf(t, "%s\n", r.State.Name)
		t.row("  GROUP", "DATABASE", "CONNECTIONS", "IDLE", "RUNNING", "SLOTS", "WAITING", "TRANSACTIONS", "LEVEL", "NAMED", "FAILING")
		for _, g := range r.State.Pool.Groups {
			for _, d := range g.Databases {
				t.row("  "+g.Group, d.ID, fmt.Sprintf("%d of %d", d.Conns, d.Most), d.Idle, d.Running, fmt.Sprintf("%.1f", d.Slots), d.Waiting, d.Open,
					lo.Ternary(d.Level == Never, "", fmt.Sprintf("%d of %d", d.Level, g.Master)), position(d.Named), lo.Ternary(d.FailingUs == Never, "", span(d.FailingUs)))
			}
		}
	}
	return t.Flush()
}

// WriteLeaders writes the groups' leaderships as a control process knows them,
// then as each pool node asked works by them.
func WriteLeaders(w io.Writer, rs []Reply) error {
	t := newTables(w)
	if s, err := FirstControl(rs); err == nil {
		t.row("GROUP", "TERM", "PHASE", "PRIMARY", "ADDRESS", "REVISION", "HOLDER", "FENCE", "LAST CHANGE TOOK", "MEMBERS", "CAUSE")
		for _, l := range s.Control.Leaders {
			t.row(l.Group, l.Term, l.Phase+yes(l.Doubt, " (in doubt)"), l.Primary, l.Address, l.Revision, l.Holder, l.Fence,
				lo.Ternary(l.ExpectUs == 0, "", span(l.ExpectUs)), strings.Join(l.Members, " "), l.Cause)
		}
	}
	for _, r := range rs {
		if r.Err != nil || r.State.Pool == nil {
			continue
		}
		t.row()
		fmt.Fprintf(t, "%s\n", r.State.Name)
		t.row("  GROUP", "TERM", "PHASE", "PRIMARY", "REVISION", "SURE FOR", "WAITING", "ACKED")
		for _, g := range r.State.Pool.Groups {
			t.row("  "+g.Group, g.Term, g.Phase+yes(g.Doubt, " (in doubt)"), g.Primary, g.Revision, left(g.SureUs), g.Waiting, position(g.Acked))
		}
	}
	return t.Flush()
}

// WriteNodes writes which processes looked lately, with what each of them that
// replied tells itself, by its node address.
func WriteNodes(w io.Writer, s State, own map[string]State) error {
	t := newTables(w)
	t.row("PROCESS", "KIND", "NODE", "HEARD", "STANDING", "TABLE", "OPERATORS' REVISION", "LEASE LEFT", "CANNOT USE")
	for _, n := range s.Control.Nodes {
		var cannot []string
		for _, g := range n.Sightings {
			cannot = append(cannot, fmt.Sprintf("%s for %s%s", g.ID, span(g.FailingUs), yes(g.Cut, " (cut)")))
		}
		o, ok := own[n.Node]
		standing := lo.Ternary(n.Leaving, "leaving", "silent to us")
		rev, ops, lease := "?", "?", "?"
		if ok {
			standing = lo.Ternary(o.Leaving, "leaving", lo.Ternary(o.Ready, "ready", "not ready"))
			rev, ops, lease = fmt.Sprint(o.Table.Revision), fmt.Sprint(o.Table.Operators), left(o.LeaseLeftUs)
		}
		t.row(n.Name, n.Kind, n.Node, span(n.HeardUs), standing, rev, ops, lease, strings.Join(cannot, ", "))
	}
	return t.Flush()
}

// WriteTable writes the routing table that a process works by.
func WriteTable(w io.Writer, s State) error {
	t := newTables(w)
	fmt.Fprintf(t, "%s works by revision %d, the operators' %d\n", s.Name, s.Table.Revision, s.Table.Operators)
	for _, r := range s.Registers {
		if len(r.Changes) > 0 && r.Key == "routes" {
			fmt.Fprintf(t, "changed lately by, newest first:\n")
			for _, c := range r.Changes {
				fmt.Fprintf(t, "  %s\n", c)
			}
		}
	}
	t.row()
	t.row("ROUTE", "HOST", "PREFIX", "KIND", "GROUP", "EXPIRY", "AIM", "STALE", "RANK")
	for _, r := range s.Table.Routes {
		t.row(r.Name, r.Host, r.Prefix, r.Kind, r.Group, span(r.ExpiryUs), span(r.AimUs), span(r.StaleUs), r.Rank)
	}
	t.row()
	t.row("GROUP", "CONNECTIONS", "SYNC FOLLOWERS")
	for _, g := range s.Table.Groups {
		t.row(g.Name, g.ConnLimit, g.Sync)
	}
	if l := s.Table.Limits; l != nil {
		fmt.Fprintf(t, "\nsessions may rest %s, open transactions %s (0s: not bounded)\n", span(l.IdleUs), span(l.TxIdleUs))
	}
	return t.Flush()
}
