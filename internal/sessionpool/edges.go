// Package sessionpool is a pool node on a platform of databases that announce
// themselves: the core (package sessiontable) behind its edges.
package sessionpool

import (
	"context"

	"stoneford/internal/ports"
)

// Frontend takes callers' connections until the context ends.
type Frontend interface {
	Serve(ctx context.Context, e SessionHandler) error
}

// SessionHandler is what callers do. Asked brings a session's next statement only after
// the reply to the one before was queued. The replies to an event may be queued
// before its call returns.
type SessionHandler interface {
	SessionOpened(c Client, host string) (session uint64)
	StatementReceived(session uint64, st ports.Statement)
	SessionClosed(session uint64)
}

// Client is one caller's session at the edge. Reply and End queue, in order, and
// never block; Flush writes what was queued and does not wait for a caller that
// does not read.
type Client interface {
	Reply(r ports.Reply)
	Close() // closes the session behind what was queued
	Flush()
}

// Dialer opens connections to databases. With an error, the code is what the
// database said, if it said anything.
type Dialer interface {
	Dial(ctx context.Context, address, group, id string) (Database, ports.Position, ports.Code, error)
}

// Database is one connection to a database. Queue never blocks; Flush writes
// what was queued, in one write. Read waits for an answer and appends it and
// those that came along with it.
type Database interface {
	Queue(ops []ports.Op)
	Flush()
	Read(into []ports.Response) ([]ports.Response, error)
	Close()
}

// ReadinessServer answers whether the node is ready, until the context ends.
type ReadinessServer interface {
	Serve(ctx context.Context, ready func() bool) error
}
