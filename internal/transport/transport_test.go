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

// breaking passes connections on to an address, and breaks each one after some
// bytes: in order, or by a reset. It counts those it broke.
func breaking(t *testing.T, to string) (address string, broken *atomic.Int64) {
	t.Helper()
	broken = &atomic.Int64{}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
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
			}()
		}
	}()
	return ln.Addr().String(), broken
}

// TestEnvelopeDeliveredAtMostOnce: connections break at any byte; what was lost
// with one is not sent again over the next.
func TestEnvelopeDeliveredAtMostOnce(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	var mu sync.Mutex
	seen := map[string]int{}
	there := New(ctx, "there", nil, func(e *schema.Envelope) {
		mu.Lock()
		defer mu.Unlock()
		seen[e.From]++
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- there.Serve(ln) }()
	here := New(ctx, "here", nil, func(*schema.Envelope) { t.Error("an envelope came back") })
	to, broken := breaking(t, ln.Addr().String())
	arrived := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(seen)
	}
	all, until := 0, time.Now().Add(30*time.Second)
	for ; time.Now().Before(until) && (arrived() < 1000 || broken.Load() < 10); all++ {
		here.Send(to, &schema.Envelope{From: name(all)})
		if all%10 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	stop()
	<-served
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for _, n := range seen {
		if n > 1 {
			twice++
		}
	}
	sent, dropped, _ := here.Counts()
	t.Logf("%d envelopes, %d sent, %d dropped, %d arrived, %d connections broken", all, sent, dropped, len(seen), broken.Load())
	if twice > 0 || len(seen) < 1000 || broken.Load() < 10 {
		t.Errorf("%d arrived twice", twice)
	}
}

// name is a From of some length, so that envelopes break in the middle too.
func name(i int) string {
	b := make([]byte, 40)
	for j := range b {
		b[j] = byte('a' + (i>>(j%20))&15)
	}
	return string(b)
}

// TestUnresponsivePeerBlocksNobody: a neighbour that takes no bytes costs what
// is sent to it and nothing else.
func TestUnresponsivePeerBlocksNobody(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close() // it accepts nothing
	l := New(t.Context(), "here", nil, func(*schema.Envelope) {})
	began := time.Now()
	for i := range 20_000 {
		l.Send(ln.Addr().String(), &schema.Envelope{From: name(i)})
	}
	if d := time.Since(began); d > 5*time.Second {
		t.Error("sending took", d)
	}
	if _, dropped, _ := l.Counts(); dropped == 0 {
		t.Error("nothing was dropped")
	}
}
