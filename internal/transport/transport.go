// Package transport carries envelopes between processes over drpc. Delivery is not
// promised: a neighbour that is slow or gone loses what does not fit its line,
// and the cores above repeat what matters (design 2.3).
package transport

import (
	"cmp"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"stoneford/schema"
)

const (
	queueCapacity         = 1024
	dialTimeout           = 300 * time.Millisecond
	redialDelay           = 100 * time.Millisecond
	idleTimeout           = 30 * time.Second
	writeTimeout          = 3 * time.Second
	unacknowledgedTimeout = 900 * time.Millisecond
)

// Transport is one process's end of all its links.
type Transport struct {
	self         string
	localAddress net.Addr
	receive      func(*schema.Envelope)
	ctx          context.Context
	mu           sync.Mutex
	queues       map[string]chan *schema.Envelope
	sent         atomic.Uint64
	dropped      atomic.Uint64
	received     atomic.Uint64
	partitioned  atomic.Bool
}

// SetPartitioned has nothing pass any more, in either direction, until it is mended: what a
// broken network does, for trials.
func (l *Transport) SetPartitioned(broken bool) { l.partitioned.Store(broken) }

// New makes the links of a process, whose connections come from a local address
// or from any; receive is called from many goroutines.
func New(ctx context.Context, self string, local net.Addr, receive func(*schema.Envelope)) *Transport {
	return &Transport{self: self, localAddress: local, receive: receive, ctx: ctx, queues: map[string]chan *schema.Envelope{}}
}

// Counts are envelopes sent, dropped and received.
func (l *Transport) Counts() (sent, dropped, received uint64) {
	return l.sent.Load(), l.dropped.Load(), l.received.Load()
}

// Send hands an envelope on; it never blocks.
func (l *Transport) Send(to string, e *schema.Envelope) {
	if to == l.self {
		l.receive(e)
		return
	}
	if l.partitioned.Load() {
		l.dropped.Add(1)
		return
	}
	l.mu.Lock()
	ch := l.queues[to]
	if ch == nil {
		ch = make(chan *schema.Envelope, queueCapacity)
		l.queues[to] = ch
		go l.sendLoop(to, ch)
	}
	l.mu.Unlock()
	select {
	case ch <- e:
	default:
		l.dropped.Add(1)
	}
}

func (l *Transport) sendLoop(to string, ch chan *schema.Envelope) {
	for l.ctx.Err() == nil {
		if l.sendOverConnection(to, ch) {
			l.mu.Lock()
			if len(ch) == 0 {
				delete(l.queues, to)
				l.mu.Unlock()
				return
			}
			l.mu.Unlock()
		}
		t := time.NewTimer(redialDelay)
		select {
		case <-l.ctx.Done():
		case <-t.C:
		}
		t.Stop()
		// What waited out a failed dial is old news.
		for n := len(ch); n > 0; n-- {
			<-ch
			l.dropped.Add(1)
		}
	}
}

// sendOverConnection sends over one connection until it breaks; true says that it was
// merely idle.
func (l *Transport) sendOverConnection(to string, ch chan *schema.Envelope) bool {
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: l.localAddress, Control: setUserTimeout}
	nc, err := d.DialContext(l.ctx, "tcp", to)
	if err != nil {
		return false
	}
	c := drpcconn.New(writeDeadlineConn{nc})
	defer c.Close()
	ctx, stop := context.WithCancel(l.ctx)
	defer stop()
	s, err := schema.NewDRPCNodesClient(c).Link(ctx)
	if err != nil {
		return false
	}
	t := time.NewTimer(idleTimeout)
	defer t.Stop()
	for {
		select {
		case e := <-ch:
			if s.Send(e) != nil {
				return false
			}
			l.sent.Add(1)
			t.Reset(idleTimeout)
		case <-c.Closed():
			return false
		case <-t.C:
			return true
		case <-l.ctx.Done():
			return true
		}
	}
}

// setUserTimeout has the kernel end a connection whose bytes nobody confirms: behind
// a cut it would else try again ever less often, and long after the cut is over.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}

// writeDeadlineConn gives up on a neighbour that takes no bytes: its kernel may hold
// the connection open long after its process stopped.
type writeDeadlineConn struct{ net.Conn }

func (d writeDeadlineConn) Write(b []byte) (int, error) {
	if err := d.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return d.Conn.Write(b)
}

// LocalAddress is the address that connections of a process come from, so that others
// can tell it by it: the IP of the first address named, on which it listens, or
// any where it listens on all.
func LocalAddress(listen ...string) net.Addr {
	h, _, err := net.SplitHostPort(cmp.Or(listen...))
	if ip := net.ParseIP(h); err == nil && ip != nil && !ip.IsUnspecified() {
		return &net.TCPAddr{IP: ip}
	}
	return nil
}

type nodesServer struct{ transport *Transport }

// Link takes a neighbour's envelopes until it hangs up.
func (n nodesServer) Link(s schema.DRPCNodes_LinkStream) error {
	for {
		e, err := s.Recv()
		if err != nil {
			return s.SendAndClose(&schema.LinkEnd{})
		}
		if n.transport.partitioned.Load() {
			continue
		}
		n.transport.received.Add(1)
		n.transport.receive(e)
	}
}

// Serve takes links on a listener until the context ends.
func (l *Transport) Serve(ln net.Listener) error {
	m := drpcmux.New()
	if err := schema.DRPCRegisterNodes(m, nodesServer{l}); err != nil {
		return err
	}
	return drpcserver.New(m).Serve(l.ctx, ln)
}
