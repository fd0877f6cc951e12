package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"stoneford/freshness"
	"stoneford/platform"
	"stoneford/standin/scale-run/scale"
)

var wire = platform.Sample

var (
	connectWord  = wire[0]
	readyLine    = wire[1] + "\r\n"
	rowLines     = wire[4] + "\r\n" + wire[3] + "\r\n"
	doneLines    = wire[3] + "\r\n"
	ownLines     = wire[8] + "\r\n"
	writeWord    = " " + wire[5] + " "
	ownMark      = wire[2] + " - "
	writeLine    = wire[6] + "\r\n"
	readLine     = wire[7] + "\r\n"
	connectLine  = connectWord + " %s scale-run\r\n"
	readyPrefix  = []byte(strings.Fields(wire[1])[0])
	statementLen = 120
)

// database is a database's wire with nothing behind it: it takes each statement
// at once.
type database struct {
	number atomic.Int64
	open   atomic.Int64
}

func (d *database) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go d.connection(c)
	}
}

func (d *database) connection(c net.Conn) {
	defer c.Close()
	d.open.Add(1)
	defer d.open.Add(-1)
	in := bufio.NewReader(c)
	var out []byte
	for {
		l, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		out = d.reply(out, l)
		if in.Buffered() == 0 {
			if _, err := c.Write(out); err != nil {
				return
			}
			out = out[:0]
		}
	}
}

func (d *database) reply(out, l []byte) []byte {
	switch {
	case bytes.HasPrefix(l, []byte(connectWord)):
	case bytes.HasPrefix(l, []byte(ownMark)):
		out = append(out, ownLines...)
	case bytes.Contains(l, []byte(writeWord)):
		d.number.Add(1)
		out = append(out, doneLines...)
	default:
		out = append(out, rowLines...)
	}
	return fmt.Appendf(out, readyLine, max(d.number.Load(), 1))
}

// caller is one session.
type caller struct {
	c  net.Conn
	in *bufio.Reader
}

func dial(ctx context.Context, address, host string) (*caller, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	x := &caller{c: c, in: bufio.NewReaderSize(c, 512)}
	if _, err := fmt.Fprintf(c, connectLine, host); err != nil {
		return nil, err
	}
	return x, x.ended()
}

// ended reads until a statement has ended; its error is the reply's.
func (x *caller) ended() error {
	for {
		l, err := x.in.ReadSlice('\n')
		if err != nil {
			return err
		}
		if bytes.HasPrefix(l, readyPrefix) {
			return nil
		}
		if !bytes.HasPrefix(l, []byte(strings.Fields(wire[4])[0])) && !bytes.HasPrefix(l, []byte(strings.Fields(wire[3])[0])) {
			err = errors.New(strings.TrimSpace(string(l)))
			if _, e := x.in.ReadSlice('\n'); e != nil {
				return e
			}
			return err
		}
	}
}

var pad = strings.Repeat("x", statementLen)

func (x *caller) statement(n int64) error {
	line := readLine
	if n%5 == 0 {
		line = writeLine
	}
	if _, err := fmt.Fprintf(x.c, line, fmt.Sprint("s", n), pad); err != nil {
		return err
	}
	return x.ended()
}

// data measures one real pool node: memory a session and a connection, and CPU a
// statement at the users' rate a node and as fast as it goes.
func data(ctx context.Context, o options) (map[string]float64, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	const sessions, rate, busy = 3189, 1160, 32 // 2.2 million and 800,000/s over 690 nodes
	o.real = 0
	s := sample{Figures: map[string]float64{}}
	w := &world{o: o, shape: scale.Shape{Nodes: 1, Groups: 8}, k: 3, s: &s}
	if err := w.begin(ctx); err != nil {
		w.end()
		return nil, err
	}
	defer w.end()
	ln, err := net.Listen("tcp", "127.77.0.2:0")
	if err != nil {
		return nil, err
	}
	defer ln.Close()
	db := &database{}
	go db.serve(ln)
	w.dbs.SetAddress(ln.Addr().String())
	if err := w.found(ctx); err != nil {
		return nil, err
	}
	p, err := start(ctx, "pool", 600, 0, w.k, "", ln.Addr().String())
	if err != nil {
		return nil, err
	}
	w.pools = append(w.pools, p)
	if !wait(ctx, herdWait, func() bool { ok, err := call[bool](p, "Ready", 0); return err == nil && ok }) {
		return nil, errors.New("the pool node did not become ready")
	}
	settle(ctx, 3*time.Second)
	front := scale.Boot("", scale.NodeIP(600), 600, w.k, "").Front
	f := s.Figures
	use := func(collect bool) Report {
		r, e := call[Report](p, "Use", collect)
		err = errors.Join(err, e)
		return r
	}
	// Sessions that rest.
	empty := use(true)
	var xs []*caller
	for i := range sessions {
		r := scale.Route(i%w.shape.Groups, i%3, 0)
		x, err := dial(ctx, front, r.Host)
		if err != nil {
			return nil, err
		}
		xs = append(xs, x)
	}
	full := use(true)
	f["session at rest: bytes of heap"] = float64(full.HeapBytes-empty.HeapBytes) / sessions
	f["session at rest: bytes of stacks"] = float64(full.StackBytes-empty.StackBytes) / sessions
	f["session at rest: bytes resident"] = float64(full.ResidentBytes-empty.ResidentBytes) / sessions
	f["node with 3189 sessions at rest: resident, MB"] = float64(full.ResidentBytes) / 1e6
	// Idle, then the users' rate, then as fast as it goes.
	a := use(false)
	settle(ctx, time.Duration(o.seconds)*time.Second)
	b := use(false)
	idle := float64(b.CPUUs-a.CPUUs) / float64(b.AtUs-a.AtUs)
	f["node at rest with its sessions: CPU, % of a core"] = 100 * idle
	var n, failed atomic.Int64
	run := func(workers int, perSecond float64) (Report, Report) {
		// Each worker has sessions of its own, one statement under way at a time.
		var wg sync.WaitGroup
		n.Store(0)
		failed.Store(0)
		c, end := context.WithTimeout(ctx, time.Duration(o.seconds)*time.Second)
		defer end()
		a := use(false)
		for k := range workers {
			wg.Go(func() {
				var tick *time.Ticker
				if perSecond > 0 {
					tick = time.NewTicker(time.Duration(float64(time.Second) * float64(workers) / perSecond))
					defer tick.Stop()
				}
				for i := k; c.Err() == nil; i = (i + workers) % sessions {
					if i%workers != k {
						i = k
					}
					if tick != nil {
						select {
						case <-tick.C:
						case <-c.Done():
							return
						}
					}
					if xs[i].statement(n.Add(1)) != nil {
						failed.Add(1)
					}
				}
			})
		}
		wg.Wait()
		return a, use(false)
	}
	run(busy, rate) // connections are opened
	a, b = run(busy, rate)
	secs := float64(b.AtUs-a.AtUs) / 1e6
	f["users' rate: statements/s"] = float64(n.Load()) / secs
	f["users' rate: statements not done"] = float64(failed.Load())
	f["users' rate: CPU, % of a core"] = float64(b.CPUUs-a.CPUUs) / secs / 1e4
	f["users' rate: CPU us a statement"] = float64(b.CPUUs-a.CPUUs) / float64(n.Load())
	f["users' rate: reads and writes a statement"] = float64(b.ReadCalls-a.ReadCalls+b.Writes-a.Writes) / float64(n.Load())
	a, b = run(busy, 0)
	secs = float64(b.AtUs-a.AtUs) / 1e6
	f["closed loop of 32: statements/s"] = float64(n.Load()) / secs
	f["closed loop of 32: statements not done"] = float64(failed.Load())
	f["closed loop of 32: CPU us a statement"] = float64(b.CPUUs-a.CPUUs) / float64(n.Load())
	f["closed loop of 32: bytes read and written a statement"] = float64(b.ReadBytes-a.ReadBytes+b.WroteBytes-a.WroteBytes) / float64(n.Load())
	f["database connections open at the end"] = float64(db.open.Load())
	f["after statements: node resident, MB"] = float64(use(true).ResidentBytes) / 1e6
	// Connections to a database, each with its reader.
	const conns = 500
	a = use(true)
	if _, e := call[int](p, "Dial", conns); e != nil {
		return nil, e
	}
	b = use(true)
	f["connection to a database: bytes of heap"] = float64(b.HeapBytes-a.HeapBytes) / conns
	f["connection to a database: bytes of stacks"] = float64(b.StackBytes-a.StackBytes) / conns
	for _, x := range xs {
		x.c.Close()
	}
	return f, err
}

// freshnessState measures what a group's list of commits holds on a node.
func freshnessState() map[string]float64 {
	const groups = scale.FullGroups
	f := map[string]float64{}
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for _, pending := range []int64{0, 16, 256, 4096} {
		before := heap()
		qs := make([]freshness.Queue, groups)
		for i := range qs {
			qs[i].Applied("db-000-a-5f1c0000", 1)
			qs[i].Applied("db-000-b-5f1c0001", 1)
			for p := range pending + 1 {
				qs[i].Seen(1000*p, p+1)
			}
		}
		f[fmt.Sprintf("310 groups, %d pending commits each: KB a group", pending)] = (heap() - before) / groups / 1e3
		runtime.KeepAlive(qs)
	}
	const n = 1 << 18
	var q freshness.Queue
	q.Applied("a", 1)
	began := scale.NowUs()
	for p := range int64(n) {
		q.Seen(p, p+1)
		if p%16 == 0 {
			q.Applied("a", p+1)
		}
	}
	f["ns a position taken in, 16 pending"] = float64(scale.NowUs()-began) * 1e3 / n
	return f
}
