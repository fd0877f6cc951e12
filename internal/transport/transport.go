package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"stoneford/schema"
)

const (
	// queueCapacity is how many envelopes wait for one peer; what exceeds it is dropped. A
	// longer queue bears bursts; what waits long is out of date.
	queueCapacity = 1024
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 300 * time.Millisecond
	// redialDelay is the wait after a failed or broken connection.
	redialDelay = 100 * time.Millisecond
	// idleTimeout is how long a connection that carries nothing is kept.
	idleTimeout = 30 * time.Second
)

// Transport is one process's end of its streams to and from all others.
type Transport struct {
	self         string
	localAddress net.Addr // that connections come from, nil for any
	receive      func(*schema.Envelope)
	ctx          context.Context // ends all streams

	mu     sync.Mutex
	queues map[string]chan *schema.Envelope // by peer; each has a goroutine that sends

	sent        atomic.Uint64
	dropped     atomic.Uint64
	received    atomic.Uint64
	partitioned atomic.Bool
}

// New returns the transport of a process, which runs until ctx ends. Its connections
// come from localAddress, or from any address if that is nil. receive is called for each
// envelope that arrives, from many goroutines; while it blocks, its stream waits.
func New(ctx context.Context, self string, localAddress net.Addr, receive func(*schema.Envelope)) *Transport {
	return &Transport{
		self:         self,
		localAddress: localAddress,
		receive:      receive,
		ctx:          ctx,
		queues:       map[string]chan *schema.Envelope{},
	}
}

// SetPartitioned drops everything in both directions while it is true, as a partitioned
// network does. It is for tests and trials.
func (t *Transport) SetPartitioned(partitioned bool) { t.partitioned.Store(partitioned) }

// Counts returns how many envelopes were sent, dropped and received so far.
func (t *Transport) Counts() (sent, dropped, received uint64) {
	return t.sent.Load(), t.dropped.Load(), t.received.Load()
}

// Send queues an envelope for a peer, or drops it if the queue is full; it never blocks.
// An envelope to this process itself is received at once. The envelope must not be
// changed afterwards.
func (t *Transport) Send(to string, envelope *schema.Envelope) {
	if to == t.self {
		t.receive(envelope)
		return
	}
	if t.partitioned.Load() {
		t.dropped.Add(1)
		return
	}
	select {
	case t.queue(to) <- envelope:
	default:
		t.dropped.Add(1)
	}
}

// queue returns the queue towards a peer, a new one with its goroutine if there is none.
func (t *Transport) queue(to string) chan *schema.Envelope {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue := t.queues[to]
	if queue == nil {
		queue = make(chan *schema.Envelope, queueCapacity)
		t.queues[to] = queue
		go t.sendLoop(to, queue)
	}
	return queue
}

// sendLoop sends a peer's queue, over one connection after the other, until the
// connection was idle.
func (t *Transport) sendLoop(to string, queue chan *schema.Envelope) {
	for t.ctx.Err() == nil {
		if idle := t.sendOverConnection(to, queue); idle && t.removeIfEmpty(to, queue) {
			return
		}
		timer := time.NewTimer(redialDelay)
		select {
		case <-t.ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		t.dropQueued(queue)
	}
}

// removeIfEmpty removes a peer's queue if nothing waits in it, and reports whether it did.
func (t *Transport) removeIfEmpty(to string, queue chan *schema.Envelope) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(t.queues, to)
	return true
}

// dropQueued drops what waited during a failed connection: it is out of date.
func (t *Transport) dropQueued(queue chan *schema.Envelope) {
	for n := len(queue); n > 0; n-- {
		<-queue
		t.dropped.Add(1)
	}
}

// sendOverConnection sends a peer's queue over one connection until that breaks or is
// idle; it reports whether it was idle.
func (t *Transport) sendOverConnection(to string, queue chan *schema.Envelope) (idle bool) {
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: t.localAddress, Control: setUserTimeout}
	raw, err := dialer.DialContext(t.ctx, "tcp", to)
	if err != nil {
		return false
	}
	conn := drpcconn.New(writeTimeoutConn{raw})
	defer conn.Close()
	ctx, stop := context.WithCancel(t.ctx)
	defer stop()
	stream, err := schema.NewDRPCNodesClient(conn).Link(ctx)
	if err != nil {
		return false
	}
	timer := time.NewTimer(idleTimeout)
	defer timer.Stop()
	for {
		select {
		case envelope := <-queue:
			if stream.Send(envelope) != nil {
				return false
			}
			t.sent.Add(1)
			timer.Reset(idleTimeout)
		case <-conn.Closed():
			return false
		case <-timer.C:
			return true
		case <-t.ctx.Done():
			return true
		}
	}
}

// Serve accepts streams on a listener until the transport's context ends.
func (t *Transport) Serve(listener net.Listener) error {
	mux := drpcmux.New()
	if err := schema.DRPCRegisterNodes(mux, nodesServer{t}); err != nil {
		return err
	}
	return drpcserver.New(mux).Serve(t.ctx, listener)
}

// nodesServer implements the drpc service that peers send to.
type nodesServer struct{ transport *Transport }

// Link receives a peer's envelopes until it closes the stream.
func (s nodesServer) Link(stream schema.DRPCNodes_LinkStream) error {
	for {
		envelope, err := stream.Recv()
		if err != nil {
			return stream.SendAndClose(&schema.LinkEnd{})
		}
		if s.transport.partitioned.Load() {
			continue
		}
		s.transport.received.Add(1)
		s.transport.receive(envelope)
	}
}
