package platform

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"stoneford/internal/sessionpool"
)

const (
	// acceptRetryInterval is the delay before the next Accept after one failed.
	acceptRetryInterval = 20 * time.Millisecond
	// keepaliveIdleSeconds is the idle time of a connection before the kernel sends
	// keepalive probes.
	keepaliveIdleSeconds = 30
)

// Frontend accepts callers' connections at an address, at most MaxConnections at a time, or
// any number if that is 0. It implements sessionpool.Frontend.
type Frontend struct {
	Address        string
	MaxConnections int
}

// Serve accepts connections until the context is cancelled. Open connections stay open then.
func (f Frontend) Serve(ctx context.Context, handler sessionpool.SessionHandler) error {
	listener, err := listen(ctx, f.Address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	return f.serve(ctx, listener, handler)
}

// listen opens a listener with TCP keepalive on its connections, so that the kernel closes
// connections whose caller has disappeared.
func listen(ctx context.Context, address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, rawConn syscall.RawConn) error {
		var err error
		controlErr := rawConn.Control(func(fd uintptr) {
			err = errors.Join(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, keepaliveIdleSeconds))
		})
		return errors.Join(controlErr, err)
	}}
	return lc.Listen(ctx, "tcp", address)
}

// serve accepts connections. After an error that may be temporary, such as a lack of file
// descriptors, it retries. It closes connections beyond MaxConnections at once.
func (f Frontend) serve(ctx context.Context, listener net.Listener, handler sessionpool.SessionHandler) error {
	var open atomic.Int64
	for {
		netConn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				netConn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil: // for example, no free file descriptor
			waitRetry(ctx)
			continue
		case f.MaxConnections > 0 && open.Load() >= int64(f.MaxConnections):
			netConn.Close()
			continue
		}
		open.Add(1)
		go func() {
			defer open.Add(-1)
			newCallerConn(netConn).run(handler)
		}()
	}
}

// waitRetry waits for acceptRetryInterval, or until the context is cancelled.
func waitRetry(ctx context.Context) {
	timer := time.NewTimer(acceptRetryInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
