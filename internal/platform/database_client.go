package platform

import (
	"context"
	"fmt"
	"sync"
	"time"

	"stoneford/internal/ports"
)

// idleConnectionLifetime is the time after which an unused pooled connection is closed by
// the next call to any database. A longer time saves connects, but occupies more of a
// database's connections.
const idleConnectionLifetime = 15 * time.Second

// DatabaseClient calls individual databases, one operation at a time on each pooled
// connection. It is safe for concurrent use.
type DatabaseClient struct {
	dialer *DatabaseDialer
	mu     sync.Mutex
	pool   map[databaseTarget]*pooledConnection
}

// databaseTarget identifies the database of a pooled connection.
type databaseTarget struct{ address, group, id string }

// pooledConnection is a connection that calls to one database share, one after the other.
type pooledConnection struct {
	mu       sync.Mutex // guards conn; locked for the duration of a call
	conn     *databaseConn
	users    int // users and lastUsed are guarded by DatabaseClient.mu
	lastUsed time.Time
}

// NewDatabaseClient returns a client that opens its connections with a dialer.
func NewDatabaseClient(dialer *DatabaseDialer) *DatabaseClient {
	return &DatabaseClient{dialer: dialer, pool: map[databaseTarget]*pooledConnection{}}
}

// Do sends one operation to a database and waits for the answer. It returns the database's
// status, the code with which the database rejected the connection or the operation, or an
// error if there is no valid answer. If a reused connection fails, it sends an idempotent
// operation once more over a new one.
func (d *DatabaseClient) Do(ctx context.Context, address, group, id string, op ports.Op) (ports.DatabaseStatus, ports.Code, error) {
	pooled := d.acquire(databaseTarget{address, group, id})
	defer d.release(pooled)
	pooled.mu.Lock() // the call that holds the lock ends with its own context
	defer pooled.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return ports.DatabaseStatus{}, ports.Done, err
	}
	if pooled.conn != nil && !pooled.conn.idleAndOpen() {
		pooled.conn.Close()
		pooled.conn = nil
	}
	fresh := pooled.conn == nil
	a, code, err := d.call(ctx, pooled, address, group, id, op)
	if err != nil && !fresh && idempotent(op) && code == ports.Done && ctx.Err() == nil {
		a, code, err = d.call(ctx, pooled, address, group, id, op) // the reused connection had failed
	}
	switch {
	case code != ports.Done:
		return ports.DatabaseStatus{}, code, nil
	case err != nil:
		return ports.DatabaseStatus{}, ports.Done, err
	case a.Code != ports.Done:
		return ports.DatabaseStatus{}, a.Code, nil
	}
	status, err := statusFromAnswer(a)
	return status, ports.Done, err
}

// statusFromAnswer returns the status in a database's answer.
func statusFromAnswer(answer ports.Response) (ports.DatabaseStatus, error) {
	if len(answer.Rows) != 1 {
		return ports.DatabaseStatus{}, errInvalidAnswer
	}
	status, ok := parseStatus(answer.Rows[0])
	if !ok {
		return status, fmt.Errorf("%w: %.40q", errInvalidAnswer, answer.Rows[0])
	}
	return status, nil
}

// idempotent reports whether an operation may run twice, even with a delay. Status changes
// nothing, and FreezeReplication and StepDown carry the term for which they are valid.
// ResumeReplication carries no term: a second execution could undo a later freeze.
func idempotent(op ports.Op) bool {
	switch op.Statement.Kind {
	case ports.Status, ports.FreezeReplication, ports.StepDown:
		return true
	}
	return false
}

// acquire returns the pooled connection to a database, and closes connections that were
// unused for idleConnectionLifetime.
func (d *DatabaseClient) acquire(t databaseTarget) *pooledConnection {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.prune(idleConnectionLifetime)
	pooled := d.pool[t]
	if pooled == nil {
		pooled = &pooledConnection{}
		d.pool[t] = pooled
	}
	pooled.users++
	return pooled
}

// release returns a connection to the pool.
func (d *DatabaseClient) release(pooled *pooledConnection) {
	d.mu.Lock()
	pooled.users--
	pooled.lastUsed = time.Now()
	d.mu.Unlock()
}

// prune closes the connections that were unused for at least the given time.
func (d *DatabaseClient) prune(unused time.Duration) {
	for t, pooled := range d.pool {
		if pooled.users == 0 && time.Since(pooled.lastUsed) >= unused {
			delete(d.pool, t)
			if pooled.conn != nil {
				pooled.conn.Close()
			}
		}
	}
}

// call sends an operation over a pooled connection, which it opens first if there is none.
func (d *DatabaseClient) call(ctx context.Context, pooled *pooledConnection, address, group, id string, op ports.Op) (ports.Response, ports.Code, error) {
	if pooled.conn == nil {
		conn, _, code, err := d.dialer.dial(ctx, address, group, id)
		if err != nil {
			return ports.Response{}, code, err
		}
		pooled.conn = conn
	}
	conn := pooled.conn
	stop := context.AfterFunc(ctx, conn.Close)
	conn.Queue([]ports.Op{op})
	conn.Flush()
	a, err := conn.readAnswer()
	if !stop() {
		err = ctx.Err() // not the error from closing the connection
	}
	if err != nil {
		conn.Close()
		pooled.conn = nil
	}
	return a, ports.Done, err
}

// Close closes all idle connections.
func (d *DatabaseClient) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.prune(0)
}
