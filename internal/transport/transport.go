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
	// queueCapacity bounds the envelopes that wait for one peer; further ones are dropped.
	// A longer queue would absorb larger bursts, but would deliver outdated envelopes.
	queueCapacity = 1024
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 300 * time.Millisecond
	// redialDelay is the wait before connecting again after a connection failed.
	redialDelay = 100 * time.Millisecond
	// idleTimeout is the time after which a connection without envelopes is closed.
	idleTimeout = 30 * time.Second
)

// Transport sends a process's envelopes to its peers and receives theirs.
type Transport struct {
	self         string
	localAddress net.Addr // source address of connections, nil for any
	receive      func(*schema.Envelope)
	ctx          context.Context // ends all streams

	mu     sync.Mutex
	queues map[string]chan *schema.Envelope // by peer; one sendLoop goroutine empties each

	sent        atomic.Uint64
	dropped     atomic.Uint64
	received    atomic.Uint64
	partitioned atomic.Bool
}

// New returns the transport of the process with the address self. It runs until ctx ends.
// Its connections come from localAddress, or from any address if that is nil. The
// transport calls receive for each envelope that arrives, from many goroutines; a call
// that blocks delays the stream that the envelope came over.
func New(ctx context.Context, self string, localAddress net.Addr, receive func(*schema.Envelope)) *Transport {
	return &Transport{
		self:         self,
		localAddress: localAddress,
		receive:      receive,
		ctx:          ctx,
		queues:       map[string]chan *schema.Envelope{},
	}
}

// SetPartitioned makes the transport drop all envelopes in both directions, as a
// partitioned network does, or ends that. It is for tests and trials.
func (t *Transport) SetPartitioned(partitioned bool) { t.partitioned.Store(partitioned) }

// Counts returns the numbers of envelopes sent, dropped and received so far.
func (t *Transport) Counts() (sent, dropped, received uint64) {
	return t.sent.Load(), t.dropped.Load(), t.received.Load()
}

// Send queues an envelope for a peer, or drops it if the queue is full; it never blocks on
// the network. An envelope to the process itself is passed to receive directly. The caller
// must not change the envelope afterwards.
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

// queue returns the queue to a peer. If there is none, it creates one and starts the
// goroutine that sends its envelopes.
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

// sendLoop sends the envelopes in a peer's queue, and connects again whenever the
// connection fails. It ends when a connection has been idle and the queue is empty.
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

// removeIfEmpty removes a peer's queue if it is empty, and reports whether it did.
func (t *Transport) removeIfEmpty(to string, queue chan *schema.Envelope) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(t.queues, to)
	return true
}

// dropQueued drops the envelopes that queued up while the connection was down: they are
// out of date.
func (t *Transport) dropQueued(queue chan *schema.Envelope) {
	for n := len(queue); n > 0; n-- {
		<-queue
		t.dropped.Add(1)
	}
}

// sendOverConnection sends a peer's queue over one new connection. It returns when the
// connection has been idle for idleTimeout, the transport ends or the connection fails. idle
// is false after a failure.
func (t *Transport) sendOverConnection(to string, queue chan *schema.Envelope) (idle bool) {
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: t.localAddress, Control: setUnacknowledgedTimeout}
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

// nodesServer implements the drpc service that receives peers' envelopes.
type nodesServer struct{ transport *Transport }

// Link receives envelopes until the peer closes the stream or the connection fails.
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
