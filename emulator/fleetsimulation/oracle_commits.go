package fleetsimulation

import "stoneford/internal/ports"

// committed checks a commit that a database has made.
func (o *Oracle) committed(e *entry) {
	for _, w := range e.writes {
		w.commits = append(w.commits, e)
		if len(w.commits) > 1 {
			o.violation("TWICE: %q took effect at position %v and again at position %v", w.raw, w.commits[0].position, e.position)
		}
		if w.attempt.rejection != "" {
			o.violation("REFUSED: %q is committed at position %v; its caller received the rejection %s", w.raw, e.position, w.attempt.rejection)
		}
	}
	if e.commit != e.writes[0] {
		e.commit.commits = append(e.commit.commits, e)
		if e.commit.kind != ports.Commit || e.commit.attempt != e.writes[0].attempt {
			o.violation("UNASKED: the commit by %q contains %q, which it must not commit", e.commit.raw, e.writes[0].raw)
		}
	}
}

// writeAcknowledged records and checks a write whose caller was notified that it is
// committed.
func (o *Oracle) writeAcknowledged(statement *Statement) {
	if len(statement.commits) == 0 {
		o.violation("LOST: %q was acknowledged but no database committed it", statement.raw)
		return
	}
	o.AcknowledgedWrites++
	e := statement.commits[len(statement.commits)-1]
	g := e.primary.group
	e.acknowledgedUs = o.fleet.Now
	newest := e
	if n := len(g.acknowledged); n > 0 && g.acknowledged[n-1].newest.position.Compare(e.position) > 0 {
		newest = g.acknowledged[n-1].newest
	}
	g.acknowledged = append(g.acknowledged, acknowledgedEntry{o.fleet.Now, e, newest})
	statement.attempt.op.wroteTo = g
	statement.session.acknowledged = append(statement.session.acknowledged, e)
	o.fleet.moves.checkCommitTable(statement, e)
	if e.fromFormerPrimary {
		o.violation("ONE: the commit at position %v by %s was acknowledged, though made %d ms after the promotion of another primary", e.position, e.primary.id, (e.committedAtUs-g.promotedUs)/1000)
	}
	if g.primary != nil {
		o.checkHasEntry(g.primary, e, "is primary")
	}
}

// promoted checks that a newly promoted primary has every acknowledged commit.
func (o *Oracle) promoted(d *Database) {
	o.Promotions++
	for _, a := range d.group.acknowledged {
		o.checkHasEntry(d, a.entry, "was promoted")
	}
}

// checkHasEntry checks that a primary has an acknowledged commit. It reports each lost
// commit once; state states in the report how the database is or became the primary.
func (o *Oracle) checkHasEntry(d *Database, e *entry, state string) {
	if i := int(e.position.Number); (i > len(d.log) || d.log[i-1] != e) && !d.group.reportedLost[e] {
		d.group.reportedLost[e] = true
		o.violation("LOST: %s %s without the commit at position %v, which was acknowledged at %.3f s", d.id, state, e.position, float64(e.acknowledgedUs)/1e6)
	}
}
