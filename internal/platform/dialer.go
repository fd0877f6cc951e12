package platform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"stoneford/internal/ports"
	"stoneford/internal/sessionpool"
)

const (
	databaseReadBufferBytes = 4 << 10
	tcpUserTimeout          = 0x12 // the socket option TCP_USER_TIMEOUT
	// unacknowledgedTimeoutMs bounds the time that sent bytes may stay unacknowledged
	// before the kernel closes the connection. A shorter time detects a partition sooner,
	// but breaks connections on a slow network.
	unacknowledgedTimeoutMs = 1500
)

var (
	errUnsolicitedAnswer = errors.New("data received while no operation is in flight")
	errInvalidName       = errors.New("a name is empty, or has a blank or control character")
)

// DatabaseDialer opens connections to databases from one local address and under one client
// name. It implements sessionpool.Dialer.
type DatabaseDialer struct {
	dialer     net.Dialer
	clientName string
}

// NewDatabaseDialer returns a dialer that connects from an IP address under a client name.
func NewDatabaseDialer(ip, clientName string) *DatabaseDialer {
	return &DatabaseDialer{clientName: clientName, dialer: net.Dialer{
		LocalAddr:       &net.TCPAddr{IP: net.ParseIP(ip)},
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 2},
		Control:         setUnacknowledgedTimeout,
	}}
}

// Dial connects to the database at an address. The database rejects the connection if it is
// not in the group, or does not have the ID; with an empty ID it accepts any database of the
// group. Dial returns the database's position, or the code with which it rejected the
// connection.
func (d *DatabaseDialer) Dial(ctx context.Context, address, group, id string) (sessionpool.DatabaseConnection, ports.Position, ports.Code, error) {
	conn, p, code, err := d.dial(ctx, address, group, id)
	if err != nil {
		return nil, p, code, err
	}
	return conn, p, code, nil
}

// dial implements Dial, and returns the concrete type.
func (d *DatabaseDialer) dial(ctx context.Context, address, group, id string) (conn *databaseConn, p ports.Position, code ports.Code, err error) {
	if !isSingleField(group) || !isSingleField(d.clientName) || id != "" && !isSingleField(id) {
		return nil, p, ports.Done, fmt.Errorf("%w: %.80q, %.80q", errInvalidName, group, id)
	}
	netConn, err := d.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, p, ports.Done, err
	}
	stop := context.AfterFunc(ctx, func() { netConn.Close() })
	defer func() {
		if !stop() {
			err = ctx.Err() // not the error from closing the connection
		}
		if err != nil {
			netConn.Close()
		}
	}()
	request := verbConnect + " " + group + " " + d.clientName
	if id != "" {
		request += " " + id
	}
	if _, err = netConn.Write([]byte(request + crlf)); err != nil {
		return nil, p, ports.Done, err
	}
	conn = &databaseConn{reader: bufio.NewReaderSize(netConn, databaseReadBufferBytes)}
	conn.init(netConn)
	if p, code, err = readConnectReply(conn.reader); err != nil {
		return nil, p, code, err
	}
	return conn, p, code, nil
}

// setUnacknowledgedTimeout makes the kernel close a connection whose peer does not
// acknowledge sent bytes within unacknowledgedTimeoutMs.
func setUnacknowledgedTimeout(_, _ string, rawConn syscall.RawConn) error {
	var err error
	controlErr := rawConn.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, unacknowledgedTimeoutMs)
	})
	return errors.Join(controlErr, err)
}

// resetOnClose makes closing a connection discard undelivered bytes. After an ordinary close
// the kernel would go on sending them, so an abandoned call could still be executed after a
// partition ends.
func resetOnClose(netConn net.Conn) {
	if c, ok := netConn.(*net.TCPConn); ok {
		c.SetLinger(0)
	}
}
