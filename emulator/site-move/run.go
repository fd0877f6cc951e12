package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"stoneford/internal/coordinator"
	"stoneford/internal/ports"
	"stoneford/internal/sessionpool"
	"stoneford/internal/sessiontable"
	"stoneford/result"
)

const observeInterval = 5 * time.Millisecond

// edge takes a node's callers.
type edge struct {
	events chan sessionpool.SessionHandler
}

func (e edge) Serve(ctx context.Context, ev sessionpool.SessionHandler) error {
	e.events <- ev
	<-ctx.Done()
	return nil
}

type probe struct{}

func (probe) Serve(ctx context.Context, _ func() bool) error { <-ctx.Done(); return nil }

// run runs the whole trial.
func run(ctx context.Context, o options) (r report, err error) {
	r.Callers = o.Callers
	w := &siteMove{options: o, store: newStore(sites), acknowledged: map[string]bool{}}
	folder, err := os.MkdirTemp("", "site-move")
	if err != nil {
		return r, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	ctx, stop := context.WithCancel(ctx)
	ended := make(chan error, 16)
	running := 0
	defer func() {
		stop()
		for range running {
			err = errors.Join(err, <-ended)
		}
		for _, c := range w.controls {
			c.stop()
			err = errors.Join(err, <-c.done)
		}
	}()
	var ips []string
	for i := range sites {
		for j := range 3 {
			ips = append(ips, fmt.Sprintf("127.0.%d.%d", 10+i, 1+j))
		}
	}
	first, err := freePorts(ips)
	if err != nil {
		return r, err
	}
	boot := func(i, j int, name string) ports.ProcessConfig {
		b := ports.ProcessConfig{Name: name, Zone: sites[i], IP: ips[i*3+j], PortFirst: first, PortLast: first + 3, Bootstrap: true, AnnouncementIntervalUs: 500_000,
			DataFolder: filepath.Join(folder, name)}
		for k := range sites {
			b.Seeds = append(b.Seeds, ips[k*3]+":1")
		}
		b.Bounds.GraceUs = 1_000_000
		return b
	}
	for i := range sites {
		c := &control{store: w.store, boot: boot(i, 0, fmt.Sprintf("control-%d", i+1))}
		if err := c.start(); err != nil {
			return r, err
		}
		w.controls = append(w.controls, c)
		c.boot.Bootstrap = false
	}
	for n := range 2 * len(sites) {
		e := edge{make(chan sessionpool.SessionHandler, 1)}
		d := &dialer{store: w.store}
		p := sessionpool.NewProcess(boot(n%3, 1+n/3, fmt.Sprintf("pool-%d", n+1)), clockwork.NewRealClock(), sessionpool.Edges{Frontend: e, Readiness: probe{}, Dialer: d}, sessiontable.Options{})
		d.table = p.TableRevision
		w.nodes = append(w.nodes, p)
		running++
		go func() { ended <- p.Run(ctx) }()
		select {
		case ev := <-e.events:
			w.serving = append(w.serving, ev)
		case <-time.After(o.Longest):
			return r, errors.New("a node does not come up")
		}
	}
	running++
	go func() { w.announce(ctx); ended <- nil }()
	if err := w.configure(ctx); err != nil {
		return r, err
	}
	callers := make(chan struct{}, o.Callers)
	work, rest := context.WithCancel(ctx)
	defer rest()
	for i := range o.Callers {
		go func() { w.call(work, i); callers <- struct{}{} }()
	}
	if err := w.until(ctx, "every caller was served", func() bool { w.mu.Lock(); defer w.mu.Unlock(); return len(w.acknowledgedAt) > 2*o.Callers }); err != nil {
		return r, err
	}
	for i, to := range []string{"site-b", "site-c", "site-a"} {
		m, err := w.move(ctx, i, to)
		r.Moves = append(r.Moves, m)
		if err != nil {
			r.Problems = append(r.Problems, err.Error())
			break
		}
	}
	rest()
	for range o.Callers {
		<-callers
	}
	w.check(&r)
	return r, nil
}

// until looks until something holds.
func (w *siteMove) until(ctx context.Context, what string, ok func() bool) error {
	end := time.After(w.options.Longest)
	t := time.NewTicker(observeInterval)
	defer t.Stop()
	for !ok() {
		select {
		case <-t.C:
		case <-end:
			return errors.New("never seen: " + what)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// announce has the databases tell the control processes how they stand.
func (w *siteMove) announce(ctx context.Context) {
	t := time.NewTicker(400 * time.Millisecond)
	defer t.Stop()
	for {
		which := w.store.databases
		select {
		case <-ctx.Done():
			return
		case d := <-w.store.changed:
			which = []*database{d}
		case <-t.C:
		}
		for _, d := range which {
			w.store.mu.Lock()
			d.calls++
			i := ports.Instance{ID: d.id, Group: group, Address: d.id, Zone: d.zone, Capacity: 64, Primary: d.primary, AnnouncementNumber: d.calls}
			w.store.mu.Unlock()
			for _, k := range rand.Perm(len(w.controls)) {
				c, stop := context.WithTimeout(ctx, 300*time.Millisecond)
				ok, _ := w.controls[k].process.Load().Announce(c, i)
				stop()
				if ok {
					break
				}
			}
		}
	}
}

func (w *siteMove) configure(ctx context.Context) error {
	c := ports.TableChange{Revision: 1, Complete: true, Digest: "first",
		Routes: []ports.Route{{Name: "pickups", Host: "pickups", Prefix: "/", Class: ports.CurrentRead, Group: group, TimeoutUs: 4_000_000, LatencyTargetUs: 2_000_000, MaxAttempts: 2}},
		Groups: []ports.Group{{Name: group, ConnectionLimit: 400, RequiredReplicaAcks: 1}}, Limits: &ports.Limits{}}
	return w.until(ctx, "the first routing table was taken", func() bool {
		c2, stop := context.WithTimeout(ctx, time.Second)
		defer stop()
		return w.controls[0].process.Load().Change(c2, c).Outcome == ports.Committed
	})
}

// caller is one caller's session at a node.
type caller struct{ replies chan ports.Reply }

func (c *caller) Reply(r ports.Reply) { c.replies <- r }
func (c *caller) Close()              {}
func (c *caller) Flush()              {}

// call confirms one pickup after the other, each with an id of its own. One that
// was promised not to be kept is confirmed again under its id; one in doubt is
// left, as a person would look first.
func (w *siteMove) call(ctx context.Context, n int) {
	r := rand.New(rand.NewPCG(uint64(n), 1))
	var c *caller
	var ev sessionpool.SessionHandler
	var session uint64
	reply := func() (ports.Reply, bool) {
		select {
		case x := <-c.replies:
			return x, true
		case <-time.After(10 * time.Second):
			return ports.Reply{}, false
		}
	}
	shutDown := func() {
		if c != nil {
			ev.SessionClosed(session)
			c = nil
		}
	}
	defer shutDown()
	wait := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	for k := 0; ctx.Err() == nil; k++ {
		id := fmt.Sprintf("pickup-%d-%d", n, k)
		for try := 0; ctx.Err() == nil; try++ {
			if c == nil {
				c, ev = &caller{make(chan ports.Reply, 4)}, w.serving[r.IntN(len(w.serving))]
				session = ev.SessionOpened(c, "pickups")
				if x, ok := reply(); !ok || x.Code != ports.Done {
					shutDown()
					wait(20 * time.Millisecond)
					continue
				}
			}
			ev.StatementReceived(session, ports.Statement{ID: fmt.Sprintf("%s.%d", id, try), Kind: ports.Write, Text: id, Raw: []byte(id)})
			x, ok := reply()
			if ok && x.Code == ports.Done {
				w.mu.Lock()
				w.acknowledged[id] = true
				w.acknowledgedAt = append(w.acknowledgedAt, time.Now())
				w.mu.Unlock()
				break
			}
			shutDown()
			if !ok || !x.Code.NoEffect() {
				w.mu.Lock()
				w.inDoubt++
				w.mu.Unlock()
				break
			}
			wait(20 * time.Millisecond)
		}
		wait(w.options.Every/2 + time.Duration(r.Int64N(int64(w.options.Every))))
	}
}

// requestMove asks control processes in turn over their own interface.
func (w *siteMove) requestMove(ctx context.Context, method string, in any) (coordinator.MoveReply, error) {
	var all error
	for _, c := range w.controls {
		at, _ := c.boot.StateAddress(c.boot.PortFirst)
		b, err := json.Marshal(in)
		if err != nil {
			return coordinator.MoveReply{}, err
		}
		c2, stop := context.WithTimeout(ctx, 2*time.Second)
		rq, err := http.NewRequestWithContext(c2, method, "http://"+at+coordinator.MovesPath, bytes.NewReader(b))
		if err != nil {
			stop()
			return coordinator.MoveReply{}, err
		}
		rs, err := http.DefaultClient.Do(rq)
		var m coordinator.MoveReply
		if err == nil {
			err = json.NewDecoder(rs.Body).Decode(&m)
			rs.Body.Close()
		}
		stop()
		if err == nil {
			return m, nil
		}
		all = errors.Join(all, err)
	}
	return coordinator.MoveReply{}, all
}

// move moves the group; the second time with a node's links cut, the third with
// a control process killed.
func (w *siteMove) move(ctx context.Context, i int, to string) (moveResult, error) {
	m := moveResult{To: to}
	repaired := make(chan struct{})
	switch i {
	case 1:
		m.With = "the links of pool-6 cut"
		w.nodes[5].PartitionLinks(true)
		time.AfterFunc(w.options.Frozen, func() { w.nodes[5].PartitionLinks(false); close(repaired) })
	default:
		close(repaired)
	}
	began := time.Now()
	if err := w.until(ctx, "the move to "+to+" was taken", func() bool {
		r, err := w.requestMove(ctx, http.MethodPost, coordinator.MoveRequest{Group: group, Site: to})
		m.Table = r.Table
		return err == nil && r.Code == result.OK
	}); err != nil {
		return m, err
	}
	m.StagedMs = time.Since(began).Milliseconds()
	if i == 2 {
		m.With = "control-2 killed"
		c := w.controls[1]
		c.process.Load().SetLinksBroken(true)
		c.stop()
	}
	var seen coordinator.MoveReply
	if err := w.until(ctx, "the move to "+to+" was switched", func() bool {
		r, err := w.requestMove(ctx, http.MethodGet, nil)
		seen = r
		if err != nil || len(r.Moves) != 1 || r.Moves[0].Table != m.Table {
			return false
		}
		ms := time.Since(began).Milliseconds()
		switch r.Moves[0].Phase {
		case "agreed":
			if m.AgreedMs == 0 {
				m.AgreedMs = ms
			}
		case "switched":
			m.SwitchedMs = ms
		case "failed":
			// It serves where it did: an operator asks again.
			m.Failed = append(m.Failed, r.Moves[0].Cause)
			m.AgreedMs = 0
			if a, err := w.requestMove(ctx, http.MethodPost, coordinator.MoveRequest{Group: group, Site: to}); err == nil && a.Code == result.OK {
				m.Table = a.Table
			}
		}
		return m.SwitchedMs > 0
	}); err != nil {
		return m, fmt.Errorf("%w; asked for by table %d, seen %+v", err, m.Table, seen)
	}
	if m.AgreedMs == 0 {
		m.AgreedMs = m.SwitchedMs
	}
	w.store.mu.Lock()
	m.Term = w.store.terms
	at := ""
	for _, d := range w.store.databases {
		if d.primary && d.term == w.store.terms {
			at = d.zone
		}
	}
	w.store.mu.Unlock()
	if at != to {
		return m, fmt.Errorf("switched to %s, and the primary is at %q", to, at)
	}
	if i == 2 {
		c := w.controls[1]
		if err := <-c.done; err != nil {
			return m, err
		}
		if err := c.start(); err != nil {
			return m, err
		}
	}
	rest := time.After(w.options.Rest)
	<-repaired
	<-rest
	w.mu.Lock()
	m.OutageMs = callerInterval(w.acknowledgedAt, began).Milliseconds()
	w.mu.Unlock()
	return m, nil
}

// callerInterval is the longest time without an acknowledgement since a moment.
func callerInterval(at []time.Time, since time.Time) time.Duration {
	var limit time.Duration
	last := since
	for _, t := range at {
		if t.After(since) {
			limit = max(limit, t.Sub(last))
			last = t
		}
	}
	return max(limit, time.Since(last))
}

// check holds what was acknowledged against the newest primary's log.
func (w *siteMove) check(r *report) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	r.Acknowledged, r.InDoubt = len(w.acknowledged), w.inDoubt
	var p *database
	for _, d := range w.store.databases {
		if d.primary && d.term == w.store.terms {
			p = d
		}
	}
	if p == nil {
		r.Problems = append(r.Problems, "no primary at the end")
		return
	}
	times := map[string]int{}
	for _, e := range p.log {
		times[e.text]++
		if w.acknowledged[e.text] && slices.ContainsFunc(r.Moves, func(m moveResult) bool { return m.Term > 0 && e.term >= m.Term && e.table < m.Table }) {
			r.Older++
		}
	}
	for id := range w.acknowledged {
		if times[id] == 0 {
			r.Lost++
		}
	}
	for _, n := range times {
		if n > 1 {
			r.Doubled++
		}
	}
}
