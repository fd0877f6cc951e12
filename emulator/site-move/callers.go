package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"stoneford/internal/ports"
	"stoneford/internal/sessionpool"
)

// caller is a caller's end of a session at a node. It implements the interface through
// which the node sends replies.
type caller struct{ replies chan ports.Reply }

func (c *caller) Reply(r ports.Reply) { c.replies <- r }

func (c *caller) Close() {}

func (c *caller) Flush() {}

const (
	// replyTimeout bounds a caller's wait for a reply.
	replyTimeout = 10 * time.Second
	// retryInterval is the time after which a caller retries.
	retryInterval = 20 * time.Millisecond
)

// runCaller confirms pickups one after the other, each with its own ID, until the context
// ends. A pickup whose confirmation had no effect is confirmed again with the same ID. If
// it is in doubt whether a confirmation took effect, the caller does not retry it, since a
// person would check first.
func (w *siteMove) runCaller(ctx context.Context, n int) {
	s := &callerSession{siteMove: w, random: rand.New(rand.NewPCG(uint64(n), 1))}
	defer s.close()
	for k := 0; ctx.Err() == nil; k++ {
		s.confirm(ctx, fmt.Sprintf("pickup-%d-%d", n, k))
		wait(ctx, w.options.ConfirmInterval/2+time.Duration(s.random.Int64N(int64(w.options.ConfirmInterval))))
	}
}

// callerSession is the current session of a running caller.
type callerSession struct {
	siteMove *siteMove
	random   *rand.Rand // chooses nodes and intervals
	caller   *caller    // nil while no session is open
	handler  sessionpool.SessionHandler
	id       uint64
}

// confirm confirms a pickup, and retries until the confirmation is acknowledged or in doubt.
func (s *callerSession) confirm(ctx context.Context, pickup string) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if s.caller == nil && !s.open() {
			wait(ctx, retryInterval)
			continue
		}
		s.handler.StatementReceived(s.id, ports.Statement{ID: fmt.Sprintf("%s.%d", pickup, attempt), Kind: ports.Write, Text: pickup, Raw: []byte(pickup)})
		r, ok := s.reply()
		if ok && r.Code == ports.Done {
			s.siteMove.acknowledge(pickup)
			return
		}
		s.close()
		if !ok || !r.Code.NoEffect() {
			s.siteMove.countInDoubt()
			return
		}
		wait(ctx, retryInterval)
	}
}

// open opens a session at a random node, and reports whether that succeeded.
func (s *callerSession) open() bool {
	s.caller, s.handler = &caller{make(chan ports.Reply, 4)}, s.siteMove.handlers[s.random.IntN(len(s.siteMove.handlers))]
	s.id = s.handler.SessionOpened(s.caller, "pickups")
	if r, ok := s.reply(); !ok || r.Code != ports.Done {
		s.close()
		return false
	}
	return true
}

// reply returns the next reply, or false if none arrives within replyTimeout.
func (s *callerSession) reply() (ports.Reply, bool) {
	select {
	case r := <-s.caller.replies:
		return r, true
	case <-time.After(replyTimeout):
		return ports.Reply{}, false
	}
}

// close closes the session, if one is open.
func (s *callerSession) close() {
	if s.caller != nil {
		s.handler.SessionClosed(s.id)
		s.caller = nil
	}
}

// acknowledge records an acknowledged confirmation.
func (w *siteMove) acknowledge(pickup string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acknowledged[pickup] = true
	w.acknowledgedAt = append(w.acknowledgedAt, time.Now())
}

func (w *siteMove) countInDoubt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inDoubt++
}

// wait waits for a duration, or until the context ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
