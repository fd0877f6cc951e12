// Package link is the stand-in for the network in front of one process: a TCP
// relay that can be cut, made lossy, or have its connections reset.
package link

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Link passes what comes to an address on to a process.
type Link struct {
	addr   string
	target string
	l      net.Listener // nil while nobody listens
	mu     sync.Mutex
	cond   *sync.Cond
	cuts   map[Way]bool
	loss   float64
	conns  map[net.Conn]bool
	closed bool
}

// Way is a direction on a link: what comes to its process, or what its process
// returns, of the connections from one IP or, where that is empty, from all.
type Way struct {
	Back bool
	From string
}

// again is how late a lost packet's second sending arrives.
const again = 200 * time.Millisecond

// New makes a link from an address to a target; Up has it listen.
func New(addr, target string) *Link {
	k := &Link{addr: addr, target: target, cuts: map[Way]bool{}, conns: map[net.Conn]bool{}}
	k.cond = sync.NewCond(&k.mu)
	return k
}

// Up listens: the process behind the link is there.
func (k *Link) Up() error {
	l, err := net.Listen("tcp", k.addr)
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.l = l
	k.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.relay(c)
		}
	}()
	return nil
}

// Down bounces connections, as a machine does on which nobody listens.
func (k *Link) Down() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.l == nil {
		return nil
	}
	err := k.l.Close()
	k.l = nil
	return err
}

func (k *Link) relay(c net.Conn) {
	defer c.Close()
	from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	if !k.open(false, from) {
		return
	}
	t, err := net.DialTimeout("tcp", k.target, time.Second)
	for n := 0; err != nil && n < 50 && k.up(); n++ {
		time.Sleep(20 * time.Millisecond) // it has just been started
		t, err = net.DialTimeout("tcp", k.target, time.Second)
	}
	if err != nil {
		// As if nobody listened: a reset instead of a close.
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		return
	}
	defer t.Close()
	k.mu.Lock()
	k.conns[c], k.conns[t] = true, true
	k.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { k.pass(t, c, false, from) })
	wg.Go(func() { k.pass(c, t, true, from) })
	wg.Wait()
	k.mu.Lock()
	delete(k.conns, c)
	delete(k.conns, t)
	k.mu.Unlock()
}

func (k *Link) up() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.l != nil
}

// open waits while a way is cut; false says that the link was closed meanwhile.
func (k *Link) open(back bool, from string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for (k.cuts[Way{back, ""}] || k.cuts[Way{back, from}]) && !k.closed {
		k.cond.Wait()
	}
	return !k.closed
}

func (k *Link) pass(to, from net.Conn, back bool, ip string) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if !k.open(back, ip) {
				return
			}
			k.mu.Lock()
			late := k.loss > 0 && rand.Float64() < k.loss
			k.mu.Unlock()
			if late {
				time.Sleep(again)
			}
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if tc, ok := to.(*net.TCPConn); ok && err == io.EOF {
				_ = tc.CloseWrite()
			} else {
				to.Close()
			}
			return
		}
	}
}

// Cut stops everything on a way, as a broken cable does: nothing is closed.
func (k *Link) Cut(w Way, cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if cut {
		k.cuts[w] = true
	} else {
		delete(k.cuts, w)
	}
	k.cond.Broadcast()
}

// Mend ends every cut.
func (k *Link) Mend() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cuts = map[Way]bool{}
	k.cond.Broadcast()
}

// Loss has a share of what passes arrive late, as after a lost packet.
func (k *Link) Loss(share float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.loss = share
}

// Reset resets every connection now open.
func (k *Link) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		c.Close()
	}
}

// Close ends the link.
func (k *Link) Close() error {
	err := k.Down()
	k.mu.Lock()
	k.closed = true
	k.cond.Broadcast()
	k.mu.Unlock()
	k.Reset()
	return err
}
