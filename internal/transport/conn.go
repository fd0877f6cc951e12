package transport

import (
	"cmp"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// writeTimeout bounds one write to a connection. A stopped process's kernel may keep a
	// connection open that takes no bytes.
	writeTimeout = 3 * time.Second
	// unacknowledgedTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection. Behind a partition it would else retransmit ever less
	// often, and long after the partition has healed.
	unacknowledgedTimeout = 900 * time.Millisecond
)

// setUserTimeout sets TCP_USER_TIMEOUT; it is a net.Dialer's Control.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	if err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	}); err != nil {
		return err
	}
	return optionErr
}

// writeTimeoutConn is a connection each of whose writes is bounded by writeTimeout.
type writeTimeoutConn struct{ net.Conn }

// Write implements net.Conn.
func (c writeTimeoutConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// LocalAddress returns the address that a process's connections should come from, so
// that others can attribute them: the IP of the first listen address that is not empty,
// or nil, for any, if the process listens on all addresses.
func LocalAddress(listen ...string) net.Addr {
	host, _, err := net.SplitHostPort(cmp.Or(listen...))
	if ip := net.ParseIP(host); err == nil && ip != nil && !ip.IsUnspecified() {
		return &net.TCPAddr{IP: ip}
	}
	return nil
}
