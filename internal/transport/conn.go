package transport

import (
	"cmp"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// writeTimeout bounds one write to a connection. The kernel of a stopped process may
	// keep its connections open although nothing reads from them any more.
	writeTimeout = 3 * time.Second
	// unacknowledgedTimeout bounds the time that sent bytes may stay unacknowledged before
	// the kernel closes the connection. Without it the kernel backs off its retransmissions
	// during a partition, and the connection stays stuck long after the partition has
	// healed.
	unacknowledgedTimeout = 900 * time.Millisecond
)

// setUnacknowledgedTimeout sets TCP_USER_TIMEOUT on a new socket to unacknowledgedTimeout.
// It is used as the Control function of a net.Dialer.
func setUnacknowledgedTimeout(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	if err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	}); err != nil {
		return err
	}
	return optionErr
}

// writeTimeoutConn wraps a connection and bounds each write by writeTimeout.
type writeTimeoutConn struct{ net.Conn }

// Write implements net.Conn.
func (c writeTimeoutConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// LocalAddress returns the source address for a process's outgoing connections, by which
// peers can attribute them: the IP of the first listen address that is not empty. It
// returns nil, which stands for any address, if the process listens on all addresses.
func LocalAddress(listen ...string) net.Addr {
	host, _, err := net.SplitHostPort(cmp.Or(listen...))
	if ip := net.ParseIP(host); err == nil && ip != nil && !ip.IsUnspecified() {
		return &net.TCPAddr{IP: ip}
	}
	return nil
}
