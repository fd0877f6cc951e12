package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"
)

// anyService stands for an unknown service: the session opened, so the node knows the host, but
// no row names the service.
const anyService = "any"

// nodeReply describes how a node routed a host.
type nodeReply struct {
	conclusive bool   // the node used its routing table
	service    string // empty if the node does not know the host
}

const (
	// sessionTimeout limits the duration of a session.
	sessionTimeout = 3 * time.Second
	// sessionInterval is the time between two sessions.
	sessionInterval = 30 * time.Millisecond
)

// probeClient opens sessions at one pool node, and checks that the node's replies agree with the
// acknowledged changes. A node whose table may be outdated replies with an error, which is not
// a violation.
type probeClient struct {
	fleet       *fleet
	history     *history
	machine     *machine
	rand        *rand.Rand
	incarnation int    // of the node's process at the last conclusive reply
	minRevision uint64 // oldest revision that this incarnation may use
}

func newProbeClient(f *fleet, h *history, m *machine, i int) *probeClient {
	return &probeClient{fleet: f, history: h, machine: m, rand: rand.New(rand.NewPCG(f.options.seed, 0x6361+uint64(i)))}
}

// run opens sessions until the context is cancelled.
func (c *probeClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.history.mu.Lock()
		hosts := append(slices.Clone(c.history.hosts), "never-there")
		c.history.mu.Unlock()
		if n := len(hosts); n > 12 { // only the 2 oldest and 9 newest hosts, and never-there
			hosts = append(hosts[:2], hosts[n-10:]...)
		}
		c.probe(ctx, hosts[c.rand.IntN(len(hosts))])
		select {
		case <-ctx.Done():
		case <-time.After(sessionInterval):
		}
	}
}

// probe runs a session for a host, and checks the node's reply.
func (c *probeClient) probe(ctx context.Context, host string) {
	before, running := c.machine.pool.currentIncarnation()
	sentAt := time.Now()
	reply := c.runSession(ctx, host)
	after, _ := c.machine.pool.currentIncarnation()
	if !running || before != after || !reply.conclusive {
		return // the process was restarted meanwhile, or did not use its routing table
	}
	if c.incarnation != after {
		c.incarnation, c.minRevision = after, 0
	}
	c.minRevision = c.history.checkNodeReply(c.machine.name, host, reply.service, sentAt, c.minRevision)
}

// runSession opens a session, reads once, and closes it.
func (c *probeClient) runSession(ctx context.Context, host string) nodeReply {
	ctx, stop := context.WithTimeout(ctx, sessionTimeout)
	defer stop()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address(c.machine.ip, callerPort))
	if err != nil {
		c.count(func(n *counts) { n.Unresponsive++ })
		return nodeReply{}
	}
	defer conn.Close()
	if end, ok := ctx.Deadline(); ok && conn.SetDeadline(end) != nil {
		return nodeReply{}
	}
	reader := bufio.NewReader(conn)
	fmt.Fprintf(conn, "CONNECT %s soak\r\n", host)
	if reply, open := c.readConnectReply(reader); !open {
		return reply
	}
	fmt.Fprintf(conn, "QUERY %016x FETCH thing\r\n", c.rand.Uint64())
	return c.readResult(reader)
}

// readConnectReply reads the reply to CONNECT, and reports whether the session is open.
func (c *probeClient) readConnectReply(reader *bufio.Reader) (reply nodeReply, open bool) {
	switch fields := readFields(reader); {
	case len(fields) == 0:
		c.count(func(n *counts) { n.Unresponsive++ })
	case fields[0] == "STMTERR" && len(fields) > 1 && fields[1] == "NODB":
		c.count(func(n *counts) { n.Unknown++; n.Answers++ })
		return nodeReply{conclusive: true}, false
	case fields[0] == "READY":
		return nodeReply{}, true
	default:
		c.count(func(n *counts) { n.Busy++; n.Answers++ })
	}
	return nodeReply{}, false
}

// readResult reads the reply to the read in an open session.
func (c *probeClient) readResult(reader *bufio.Reader) nodeReply {
	reply := nodeReply{conclusive: true, service: anyService}
	for {
		fields := readFields(reader)
		switch {
		case len(fields) == 0:
			c.count(func(n *counts) { n.Unresponsive++ })
			return reply
		case fields[0] == "ROW" && len(fields) > 1:
			reply.service = fields[1]
		case fields[0] == "STMTERR":
			c.count(func(n *counts) { n.Busy++; n.Answers++ })
			return reply
		case fields[0] == "READY":
			c.count(func(n *counts) { n.Served++; n.Answers++ })
			return reply
		}
	}
}

// count calls add to update the totals.
func (c *probeClient) count(add func(n *counts)) { c.history.count(add) }

// readFields reads a line and splits it at white space. It returns nil if there is no complete
// line.
func readFields(reader *bufio.Reader) []string {
	line, err := reader.ReadString('\n')
	if err != nil {
		return nil
	}
	return strings.Fields(line)
}
