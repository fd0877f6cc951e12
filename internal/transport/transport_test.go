package transport

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"stoneford/schema"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// breakingProxy forwards connections to an address, and breaks each one after some
// bytes: in order, or by a reset. It counts those it broke.
func breakingProxy(t *testing.T, to string) (address string, broken *atomic.Int64) {
	t.Helper()
	broken = &atomic.Int64{}
	listener := listen(t)
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go breakConnection(near, to, broken)
		}
	}()
	return listener.Addr().String(), broken
}

func breakConnection(near net.Conn, to string, broken *atomic.Int64) {
	defer near.Close()
	far, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer far.Close()
	go io.Copy(near, far)
	io.CopyN(far, near, 200+rand.Int64N(20_000))
	if rand.IntN(2) == 0 {
		near.(*net.TCPConn).SetLinger(0)
		far.(*net.TCPConn).SetLinger(0)
	}
	broken.Add(1)
}

// receivedCounts counts envelopes by their sender's name.
type receivedCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (r *receivedCounts) receive(e *schema.Envelope) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[e.From]++
}

// different returns how many different envelopes came, and how many of them repeatedly.
func (r *receivedCounts) different() (different, repeated int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.counts {
		if n > 1 {
			repeated++
		}
	}
	return len(r.counts), repeated
}

// TestEnvelopeIsNeverDeliveredTwice: connections break at any byte; what was lost with one
// is not sent again over the next.
func TestEnvelopeIsNeverDeliveredTwice(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	received := &receivedCounts{counts: map[string]int{}}
	receiver := New(ctx, "there", nil, received.receive)
	listener := listen(t)
	served := make(chan error, 1)
	go func() { served <- receiver.Serve(listener) }()
	sender := New(ctx, "here", nil, func(*schema.Envelope) { t.Error("an envelope came back") })
	to, broken := breakingProxy(t, listener.Addr().String())
	arrived := func() int {
		n, _ := received.different()
		return n
	}
	all, until := 0, time.Now().Add(30*time.Second)
	for ; time.Now().Before(until) && (arrived() < 1000 || broken.Load() < 10); all++ {
		sender.Send(to, &schema.Envelope{From: longName(all)})
		if all%10 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	stop()
	<-served
	different, repeated := received.different()
	sent, dropped, _ := sender.Counts()
	t.Logf("%d envelopes, %d sent, %d dropped, %d arrived, %d connections broken", all, sent, dropped, different, broken.Load())
	if repeated > 0 || different < 1000 || broken.Load() < 10 {
		t.Errorf("%d arrived twice", repeated)
	}
}

// longName is a different From for each i, so long that envelopes break in the middle
// too.
func longName(i int) string {
	b := make([]byte, 40)
	for j := range b {
		b[j] = byte('a' + (i>>(j%20))&15)
	}
	return string(b)
}

// TestUnresponsivePeerBlocksNobody: a peer that takes no bytes costs what is sent to it
// and nothing else.
func TestUnresponsivePeerBlocksNobody(t *testing.T) {
	listener := listen(t) // it accepts nothing
	sender := New(t.Context(), "here", nil, func(*schema.Envelope) {})
	startedAt := time.Now()
	for i := range 20_000 {
		sender.Send(listener.Addr().String(), &schema.Envelope{From: longName(i)})
	}
	if d := time.Since(startedAt); d > 5*time.Second {
		t.Error("sending took", d)
	}
	if _, dropped, _ := sender.Counts(); dropped == 0 {
		t.Error("nothing was dropped")
	}
}
