package link

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Link relays connections from an address to a process. It is safe for concurrent use.
type Link struct {
	address     string
	target      string
	listener    net.Listener // nil while the link does not listen
	mu          sync.Mutex
	changed     *sync.Cond // signals changes of partitions and closed
	partitions  map[Direction]bool
	lossRatio   float64
	connections map[net.Conn]bool
	closed      bool
}

// Direction is one direction of the traffic on a link.
type Direction struct {
	Response bool   // from the link's process; otherwise to it
	From     string // IP address that the connections come from, empty for all connections
}

// A process may have been started just before the link connects to it. The link therefore
// dials for about a second while connections are refused.
const (
	dialTimeout       = time.Second
	dialRetryInterval = 20 * time.Millisecond
	maxDialRetries    = 50
)

// retransmissionDelay is the delay that emulates the retransmission of a lost packet.
const retransmissionDelay = 200 * time.Millisecond

// New returns a link from an address to a target. It does not listen yet.
func New(address, target string) *Link {
	k := &Link{address: address, target: target, partitions: map[Direction]bool{}, connections: map[net.Conn]bool{}}
	k.changed = sync.NewCond(&k.mu)
	return k
}

// Listen starts to accept connections. It is called when the process has been started.
func (k *Link) Listen() error {
	l, err := net.Listen("tcp", k.address)
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.listener = l
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

// StopListening stops accepting connections. New ones are refused, as if no process
// listened.
func (k *Link) StopListening() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.listener == nil {
		return nil
	}
	err := k.listener.Close()
	k.listener = nil
	return err
}

// relay relays one connection until both directions have ended.
func (k *Link) relay(c net.Conn) {
	defer c.Close()
	from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	if !k.waitWhilePartitioned(false, from) {
		return
	}
	t, err := net.DialTimeout("tcp", k.target, dialTimeout)
	for n := 0; err != nil && n < maxDialRetries && k.listening(); n++ {
		time.Sleep(dialRetryInterval)
		t, err = net.DialTimeout("tcp", k.target, dialTimeout)
	}
	if err != nil {
		// Reset the connection instead of closing it, as if no process listened.
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		return
	}
	defer t.Close()
	k.mu.Lock()
	k.connections[c], k.connections[t] = true, true
	k.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { k.copyBytes(t, c, false, from) })
	wg.Go(func() { k.copyBytes(c, t, true, from) })
	wg.Wait()
	k.mu.Lock()
	delete(k.connections, c)
	delete(k.connections, t)
	k.mu.Unlock()
}

// listening reports whether the link listens, which it does while its process runs.
func (k *Link) listening() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.listener != nil
}

// waitWhilePartitioned waits while a direction of the connections from an IP address is
// partitioned. It returns false if the link is closed.
func (k *Link) waitWhilePartitioned(response bool, from string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for (k.partitions[Direction{response, ""}] || k.partitions[Direction{response, from}]) && !k.closed {
		k.changed.Wait()
	}
	return !k.closed
}

// copyBytes copies one direction of a connection until its end. ip is the address that the
// connection comes from.
func (k *Link) copyBytes(to, from net.Conn, response bool, ip string) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if !k.waitWhilePartitioned(response, ip) {
				return
			}
			k.mu.Lock()
			late := k.lossRatio > 0 && rand.Float64() < k.lossRatio
			k.mu.Unlock()
			if late {
				time.Sleep(retransmissionDelay)
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

// SetPartition partitions a direction, or ends that partition. As with a broken cable, the
// connections stay open, and no bytes pass.
func (k *Link) SetPartition(direction Direction, partitioned bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if partitioned {
		k.partitions[direction] = true
	} else {
		delete(k.partitions, direction)
	}
	k.changed.Broadcast()
}

// Repair ends all partitions.
func (k *Link) Repair() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.partitions = map[Direction]bool{}
	k.changed.Broadcast()
}

// SetLoss sets the fraction of the relayed chunks of bytes that arrive late, as after the
// loss of a packet.
func (k *Link) SetLoss(ratio float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lossRatio = ratio
}

// Reset resets all open connections.
func (k *Link) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.connections {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		c.Close()
	}
}

// Close stops listening and resets all connections.
func (k *Link) Close() error {
	err := k.StopListening()
	k.mu.Lock()
	k.closed = true
	k.changed.Broadcast()
	k.mu.Unlock()
	k.Reset()
	return err
}
