package sessionpool

import (
	"context"

	"stoneford/internal/ports"
)

// Adapters connect a Process to callers, health checks and databases.
type Adapters struct {
	Frontend  Frontend
	Readiness ReadinessServer
	Dialer    Dialer
}

// Frontend accepts callers' connections until the context is cancelled. An error ends the
// process.
type Frontend interface {
	Serve(ctx context.Context, handler SessionHandler) error
}

// SessionHandler receives the events of callers' sessions. The replies to an event may be
// queued before the call returns.
type SessionHandler interface {
	// SessionOpened opens a session for a host name. The first reply to the client is the
	// result of the opening.
	SessionOpened(client Client, host string) (session uint64)
	// StatementReceived delivers a session's next statement. It must not be called before
	// the reply to the previous statement was queued.
	StatementReceived(session uint64, statement ports.Statement)
	// SessionClosed ends a session. It may be called for a session that the node has
	// already ended.
	SessionClosed(session uint64)
}

// Client is the frontend's side of one session. Reply and Close add to the client's output
// queue, in order, and never block.
type Client interface {
	Reply(reply ports.Reply)
	// Close closes the session after the queued output was written.
	Close()
	// Flush writes the queued output. It does not wait for a caller that does not read.
	Flush()
}

// Dialer opens connections to databases.
type Dialer interface {
	// Dial connects to the database with the given ID and group at an address, and returns
	// the position that the database reported. With an error it returns the code of the
	// database's answer, or ports.Done if the database did not answer.
	Dial(ctx context.Context, address, group, id string) (DatabaseConnection, ports.Position, ports.Code, error)
}

// DatabaseConnection is one connection to a database.
type DatabaseConnection interface {
	// Queue queues operations for writing. It never blocks.
	Queue(ops []ports.Op)
	// Flush writes the queued operations in one write.
	Flush()
	// Read waits for an answer, and appends it and any others that have arrived to into.
	Read(into []ports.Response) ([]ports.Response, error)
	// Close closes the connection, also while operations run. It may be called repeatedly.
	Close()
}

// ReadinessServer serves the node's readiness to load balancers and health checks until
// the context is cancelled.
type ReadinessServer interface {
	Serve(ctx context.Context, ready func() bool) error
}
