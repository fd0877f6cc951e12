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

// anyService stands for a service that is not known: a session opened, so the name is
// there.
const anyService = "any"

// nodeReply is how a node handled a question about a name.
type nodeReply struct {
	conclusive bool   // it said what rests on its table
	service    string // empty where it said that there is no such name
}

const (
	sessionTimeout  = 3 * time.Second
	sessionInterval = 30 * time.Millisecond
)

// probeClient ask one node about names all the time and hold its answers against what was
// acknowledged. Their first moment without an answer of the present table is no
// violation: a node that is not sure says so.
type probeClient struct {
	fleet       *fleet
	history     *history
	machine     *machine
	rand        *rand.Rand
	incarnation int
	floor       uint64 // oldest version that the node's process can work by
}

func newProbeClient(f *fleet, h *history, m *machine, i int) *probeClient {
	return &probeClient{fleet: f, history: h, machine: m, rand: rand.New(rand.NewPCG(f.options.seed, 0x6361+uint64(i)))}
}

// run asks until the context ends.
func (c *probeClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.history.mu.Lock()
		names := append(slices.Clone(c.history.names), "never-there")
		c.history.mu.Unlock()
		if n := len(names); n > 12 { // the newest ones most often
			names = append(names[:2], names[n-10:]...)
		}
		c.readOnce(ctx, names[c.rand.IntN(len(names))])
		select {
		case <-ctx.Done():
		case <-time.After(sessionInterval):
		}
	}
}

// readOnce opens a session, reads once, and ends it.
func (c *probeClient) readOnce(ctx context.Context, name string) {
	before, up := c.machine.pool.currentIncarnation()
	sentAt := time.Now()
	reply := c.session(ctx, name)
	after, _ := c.machine.pool.currentIncarnation()
	if !up || before != after || !reply.conclusive {
		return // which process answered is not known, or nothing was said
	}
	if c.incarnation != after {
		c.incarnation, c.floor = after, 0
	}
	c.floor = c.history.seen(c.machine.name, name, reply.service, sentAt, c.floor)
}

func (c *probeClient) session(ctx context.Context, name string) nodeReply {
	ctx, stop := context.WithTimeout(ctx, sessionTimeout)
	defer stop()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address(c.machine.ip, frontPort))
	if err != nil {
		c.history.count(func(n *counts) { n.Silent++ })
		return nodeReply{}
	}
	defer conn.Close()
	if end, ok := ctx.Deadline(); ok && conn.SetDeadline(end) != nil {
		return nodeReply{}
	}
	reader := bufio.NewReader(conn)
	fmt.Fprintf(conn, "CONNECT %s soak\r\n", name)
	reply := nodeReply{}
	switch fields := readFields(reader); {
	case len(fields) == 0:
		c.history.count(func(n *counts) { n.Silent++ })
		return reply
	case fields[0] == "STMTERR" && len(fields) > 1 && fields[1] == "NODB":
		c.history.count(func(n *counts) { n.Unknown++; n.Answers++ })
		return nodeReply{conclusive: true}
	case fields[0] != "READY":
		c.history.count(func(n *counts) { n.Busy++; n.Answers++ })
		return reply
	}
	reply = nodeReply{conclusive: true, service: anyService}
	fmt.Fprintf(conn, "QUERY %016x FETCH thing\r\n", c.rand.Uint64())
	for {
		fields := readFields(reader)
		switch {
		case len(fields) == 0:
			c.history.count(func(n *counts) { n.Silent++ })
			return reply
		case fields[0] == "ROW" && len(fields) > 1:
			reply.service = fields[1]
		case fields[0] == "STMTERR":
			c.history.count(func(n *counts) { n.Busy++; n.Answers++ })
			return reply
		case fields[0] == "READY":
			c.history.count(func(n *counts) { n.Served++; n.Answers++ })
			return reply
		}
	}
}

// readFields reads a line and splits it at blanks; none at the end.
func readFields(reader *bufio.Reader) []string {
	line, err := reader.ReadString('\n')
	if err != nil {
		return nil
	}
	return strings.Fields(line)
}
