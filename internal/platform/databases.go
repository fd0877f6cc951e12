package platform

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"stoneford/internal/ports"
	"stoneford/internal/sessionpool"
)

const (
	databaseBuffer          = 4 << 10
	tcpUserTimeout          = 0x12 // TCP_USER_TIMEOUT
	unacknowledgedTimeoutMs = 1500 // how long sent bytes may go unacknowledged
)

var (
	errUnsolicitedAnswer = errors.New("an answer that nobody asked for")
	errNotAField         = errors.New("a name is one field of a message")
)

// DatabaseDialer opens connections to databases from one address, under one name.
type DatabaseDialer struct {
	dialer     net.Dialer
	clientName string
}

// NewDatabaseDialer opens them from an IP.
func NewDatabaseDialer(ip, who string) *DatabaseDialer {
	return &DatabaseDialer{clientName: who, dialer: net.Dialer{
		LocalAddr:       &net.TCPAddr{IP: net.ParseIP(ip)},
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 2},
		Control:         setUnacknowledgedTimeout,
	}}
}

// setUnacknowledgedTimeout has the kernel end a connection whose bytes the far end
// does not acknowledge.
func setUnacknowledgedTimeout(_, _ string, rawConn syscall.RawConn) error {
	var err error
	controlErr := rawConn.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, unacknowledgedTimeoutMs)
	})
	return errors.Join(controlErr, err)
}

// Dial opens a connection to the instance of a group at an address.
func (d *DatabaseDialer) Dial(ctx context.Context, address, group, id string) (sessionpool.Database, ports.Position, ports.Code, error) {
	conn, p, code, err := d.dial(ctx, address, group, id)
	if err != nil {
		return nil, p, code, err
	}
	return conn, p, code, nil
}

func (d *DatabaseDialer) dial(ctx context.Context, address, group, id string) (conn *databaseConn, p ports.Position, code ports.Code, err error) {
	if !isField(group) || !isField(d.clientName) || id != "" && !isField(id) {
		return nil, p, ports.Done, fmt.Errorf("%w: %.80q, %.80q", errNotAField, group, id)
	}
	netConn, err := d.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, p, ports.Done, err
	}
	stop := context.AfterFunc(ctx, func() { netConn.Close() })
	defer func() {
		if !stop() {
			err = ctx.Err() // rather than what its end led to
		}
		if err != nil {
			netConn.Close()
		}
	}()
	hello := verbConnect + " " + group + " " + d.clientName
	if id != "" {
		hello += " " + id
	}
	if _, err = netConn.Write([]byte(hello + crlf)); err != nil {
		return nil, p, ports.Done, err
	}
	conn = &databaseConn{reader: bufio.NewReaderSize(netConn, databaseBuffer)}
	conn.init(netConn)
	if p, code, err = readOpened(conn.reader); err != nil {
		return nil, p, code, err
	}
	return conn, p, code, nil
}

// databaseConn is one connection to a database. Answers carry no id: the first one
// is that of the first op, and so on, as long as nothing comes unasked.
type databaseConn struct {
	outbox
	reader     *bufio.Reader
	unanswered int // ops queued whose answers have not begun, under mu
}

// Queue queues ops.
func (c *databaseConn) Queue(ops []ports.Op) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := len(c.queued)
	for _, o := range ops {
		var err error
		if c.queued, err = appendOp(c.queued, o); err != nil {
			// Half of what belongs together is not sent.
			c.queued, c.closed = c.queued[:at], true
			c.conn.Close()
			return
		}
	}
	c.unanswered += len(ops)
}

// Flush writes what is queued.
func (c *databaseConn) Flush() { c.flush() }

// Close gives the connection up. One with an op under way is reset: what of it
// has not arrived yet, behind a cut, never will.
func (c *databaseConn) Close() {
	c.mu.Lock()
	c.closed = true
	inFlight := c.unanswered > 0
	c.mu.Unlock()
	if inFlight {
		resetOnClose(c.conn)
	}
	c.conn.Close()
}

// resetOnClose has the close of a connection drop what has not arrived yet.
// Closed in order, the kernel would go on sending it, and a call that its caller
// gave up would be carried out once the network is mended.
func resetOnClose(netConn net.Conn) {
	if c, ok := netConn.(*net.TCPConn); ok {
		c.SetLinger(0)
	}
}

// Read waits for an answer and appends it and the whole ones behind it.
func (c *databaseConn) Read(into []ports.Response) ([]ports.Response, error) {
	for {
		a, err := c.readAnswer()
		if err != nil {
			return into, err
		}
		into = append(into, a)
		if !answerBuffered(c.reader) {
			return into, nil
		}
	}
}

// readAnswer waits for the answer to the oldest op without one. What comes while
// there is none, or the beginning of it, is nobody's.
func (c *databaseConn) readAnswer() (ports.Response, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return ports.Response{}, err
	}
	c.mu.Lock()
	pending := c.unanswered > 0
	c.mu.Unlock()
	if !pending {
		return ports.Response{}, errUnsolicitedAnswer
	}
	a, err := readAnswer(c.reader)
	if err == nil {
		c.mu.Lock()
		c.unanswered--
		c.mu.Unlock()
	}
	return a, err
}

// idleAndOpen says that a connection on which nothing is asked is open, and that
// nothing came on it.
func (c *databaseConn) idleAndOpen() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.rawConn == nil {
		return true
	}
	var err error
	var b [1]byte
	controlErr := c.rawConn.Read(func(fd uintptr) bool {
		_, err = syscall.Read(int(fd), b[:])
		return true
	})
	return controlErr == nil && err == syscall.EAGAIN
}

var readyLine = []byte(crlf + verbReady + " ")

// answerBuffered says that the next answer has come whole.
func answerBuffered(reader *bufio.Reader) bool {
	n := reader.Buffered()
	if n == 0 {
		return false
	}
	data, err := reader.Peek(n)
	if err != nil {
		return false
	}
	i := bytes.Index(data, readyLine)
	return i >= 0 && bytes.Contains(data[i+len(crlf):], []byte(crlf))
}

// DatabaseClient asks single databases, one op at a time on each kept
// connection.
type DatabaseClient struct {
	dialer *DatabaseDialer
	mu     sync.Mutex
	pool   map[databaseTarget]*pooledConnection
}

type databaseTarget struct{ address, group, id string }

type pooledConnection struct {
	mu       sync.Mutex // of c
	conn     *databaseConn
	users    int // these two are under the client's lock
	lastUsed time.Time
}

// idleConnectionLifetime is how long a connection is kept unused.
const idleConnectionLifetime = 15 * time.Second

// NewDatabaseClient asks over connections opened by dbs.
func NewDatabaseClient(dialer *DatabaseDialer) *DatabaseClient {
	return &DatabaseClient{dialer: dialer, pool: map[databaseTarget]*pooledConnection{}}
}

// Do sends one op to a database and waits for its answer. The code is the
// database's own word; err is set where it said nothing that can be used.
func (d *DatabaseClient) Do(ctx context.Context, address, group, id string, op ports.Op) (ports.DatabaseStatus, ports.Code, error) {
	pooled := d.acquire(databaseTarget{address, group, id})
	defer d.release(pooled)
	pooled.mu.Lock() // who has it ends with its own context
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
		a, code, err = d.call(ctx, pooled, address, group, id, op) // the kept connection had gone
	}
	switch {
	case code != ports.Done:
		return ports.DatabaseStatus{}, code, nil
	case err != nil:
		return ports.DatabaseStatus{}, ports.Done, err
	case a.Code != ports.Done:
		return ports.DatabaseStatus{}, a.Code, nil
	}
	if len(a.Rows) != 1 {
		return ports.DatabaseStatus{}, ports.Done, errNotAnAnswer
	}
	status, ok := parseStatus(a.Rows[0])
	if !ok {
		return status, ports.Done, fmt.Errorf("%w: %.40q", errNotAnAnswer, a.Rows[0])
	}
	return status, ports.Done, nil
}

// idempotent says that an op does the same if it runs twice, also late: a status
// changes nothing, and a hold and a step down carry the term that they are for.
// A resume carries none: sent again it could undo a hold of another's.
func idempotent(op ports.Op) bool {
	switch op.Statement.Kind {
	case ports.Status, ports.FreezeReplication, ports.StepDown:
		return true
	}
	return false
}

// acquire gives the place of a target's connection, and closes those long unused.
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

func (d *DatabaseClient) release(pooled *pooledConnection) {
	d.mu.Lock()
	pooled.users--
	pooled.lastUsed = time.Now()
	d.mu.Unlock()
}

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
		err = ctx.Err() // rather than what its end led to
	}
	if err != nil {
		conn.Close()
		pooled.conn = nil
	}
	return a, ports.Done, err
}

// Close closes all connections that nobody uses.
func (d *DatabaseClient) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.prune(0)
}
