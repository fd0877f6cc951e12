package sessiontable

import (
	"stoneford/internal/invariant"
	"stoneford/internal/ports"
)

// routing is the operators' routing table as this node knows it.
//
// A majority of the voters confirms the table under a lease (design 17.4). Without a lease
// the table may have been replaced, so its use is limited:
//
//   - An unknown host may have been added since. Only a lease rules that out, so an
//     unknown host is rejected for good only under a lease.
//   - A known route may have been removed or changed. A change takes a while to be in
//     force everywhere, so statements are routed for RoutingGrace beyond the lease.
type routing struct {
	table        *ports.RoutingTable // nil until the first Update brings one
	byHost       map[string]*ports.Route
	leaseUntilUs int64 // end of the newest lease
}

// setTable puts a routing table into force. Of several routes of a host, the one with the
// shortest prefix applies.
func (r *routing) setTable(table *ports.RoutingTable) {
	r.table = table
	clear(r.byHost)
	for i := range table.Routes {
		route := &table.Routes[i]
		known := r.byHost[route.Host]
		if known == nil || len(route.Prefix) < len(known.Prefix) {
			r.byHost[route.Host] = route
		}
	}
}

// limits returns the limits in the routing table, or none before the first table.
func (r *routing) limits() ports.Limits {
	if r.table == nil {
		return ports.Limits{}
	}
	return r.table.Limits
}

// tableConfirmed reports whether a lease confirms the routing table now.
func (t *Table) tableConfirmed() bool { return t.now < t.routing.leaseUntilUs }

// mayRoute reports whether statements may be routed by the routing table.
func (t *Table) mayRoute() bool {
	return t.now < t.routing.leaseUntilUs+t.options.RoutingGrace.Microseconds()
}

// routeOf returns the route of a session's next statement, or replies with a rejection and
// returns nil. A statement inside a transaction uses the route of the transaction's begin.
func (t *Table) routeOf(session *session, kind ports.StatementKind) *ports.Route {
	if session.tx != nil {
		return session.tx.route
	}
	route := t.routing.byHost[session.host]
	switch {
	case route == nil:
		code, text := t.rejectUnknownHost()
		t.reply(session, ports.Reply{Code: code, Text: text, State: ports.Idle}, true)
		return nil
	case t.shutdown.active:
		t.reply(session, ports.Reply{Code: ports.Busy, Text: textShutdown, State: ports.Idle}, true)
		return nil
	case needsRoute(kind) && !t.mayRoute():
		code, text := t.rejectUnconfirmedTable()
		t.answerLocally(session, code, text)
		return nil
	}
	if needsRoute(kind) {
		t.checkRouted()
	}
	return route
}

// needsRoute reports whether a statement outside a transaction is routed to a database,
// rather than answered by this node.
func needsRoute(kind ports.StatementKind) bool {
	switch kind {
	case ports.Begin, ports.BeginRead, ports.Read, ports.Write, ports.Execute:
		return true
	}
	return false
}

// rejectUnknownHost counts a host that is not in the routing table, and returns the
// rejection. It is final only under a lease.
func (t *Table) rejectUnknownHost() (ports.Code, string) {
	if !t.tableConfirmed() {
		t.countRejectionCause("unknown names, the routing table's lease is over")
		return unconfirmedTableReply()
	}
	t.countRejectionCause("unknown names")
	if t.now >= t.routing.leaseUntilUs {
		t.checks.Violated(invariant.RoutedUnconfirmed, "an unknown host was rejected for good %d ms after the lease", (t.now-t.routing.leaseUntilUs)/1000)
	}
	return ports.DatabaseUnavailable, "no such database"
}

// rejectUnconfirmedTable counts a statement that cannot be routed because the table is
// unconfirmed, and returns the rejection.
func (t *Table) rejectUnconfirmedTable() (ports.Code, string) {
	t.countRejectionCause("no majority confirms the routing table")
	return unconfirmedTableReply()
}

// unconfirmedTableReply returns the rejection while the routing table is unconfirmed.
func unconfirmedTableReply() (ports.Code, string) {
	return ports.Busy, "no majority vouches for this node's routing table; retry after 500 ms"
}

// checkRouted checks the invariant that statements are routed only while the routing table
// may be used.
func (t *Table) checkRouted() {
	if !t.mayRoute() {
		t.checks.Violated(invariant.RoutedUnconfirmed, "a statement was routed %d ms after the lease", (t.now-t.routing.leaseUntilUs)/1000)
	}
}
