package coordinator

import (
	"context"
	"sync"

	"stoneford/internal/fleetstate"
	"stoneford/internal/ports"
)

// replies are the calls that wait for a reply, by kind.
type replies struct {
	announce waitingCalls[AnnounceDone]
	change   waitingCalls[ChangeTableDone]
	fetch    waitingCalls[FetchTableDone]
	move     waitingCalls[MoveDone]
	moves    waitingCalls[movesReply]
	state    waitingCalls[stateReply]
}

// movesReply is the moves as this process knows them, and whether it is in contact with
// a majority.
type movesReply struct {
	moves   []MoveState
	contact bool
}

// stateReply is the state, unless the log is not open yet.
type stateReply struct {
	state fleetstate.ProcessState
	ok    bool
}

// waitingCalls are the calls that wait for replies of one type.
type waitingCalls[R any] struct {
	mu   sync.Mutex
	byID map[uint64]chan R
}

// open registers a call and returns the channel on which its reply will be.
func (w *waitingCalls[R]) open(id uint64) <-chan R {
	reply := make(chan R, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byID == nil {
		w.byID = map[uint64]chan R{}
	}
	w.byID[id] = reply
	return reply
}

// finish replies to a call, unless it was finished or given up.
func (w *waitingCalls[R]) finish(id uint64, reply R) {
	if waiting := w.remove(id); waiting != nil {
		waiting <- reply
	}
}

func (w *waitingCalls[R]) remove(id uint64) chan R {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting := w.byID[id]
	delete(w.byID, id)
	return waiting
}

// call hands the loop an input with a new ID and waits for its reply. It returns false
// if the context or the process ends first.
func call[R any](ctx context.Context, p *Process, waiting *waitingCalls[R], build func(id uint64) loopInput) (reply R, ok bool) {
	id := p.callID.Add(1)
	result := waiting.open(id)
	p.postInput(build(id))
	select {
	case reply = <-result:
		return reply, true
	case <-ctx.Done():
	case <-p.ctx.Done():
	}
	waiting.remove(id)
	return reply, false
}

// Announce implements ports.Control.
func (p *Process) Announce(ctx context.Context, instance ports.Instance) (bool, string) {
	reply, ok := call(ctx, p, &p.replies.announce, func(id uint64) loopInput { return coreEvent{Announce{ID: id, Instance: instance}} })
	return ok && reply.OK, ""
}

// Change implements ports.Control.
func (p *Process) Change(ctx context.Context, change ports.TableChange) ports.ChangeResult {
	reply, _ := call(ctx, p, &p.replies.change, func(id uint64) loopInput { return coreEvent{ChangeTable{ID: id, Change: change}} })
	return reply.Result
}

// Fetch implements ports.Control.
func (p *Process) Fetch(ctx context.Context) (ports.RoutingTable, bool) {
	reply, ok := call(ctx, p, &p.replies.fetch, func(id uint64) loopInput { return coreEvent{FetchTable{ID: id}} })
	return reply.Table, ok && reply.OK
}

// Move asks that a group's primary serve at another site, which is a zone or a region.
func (p *Process) Move(ctx context.Context, group, site string) MoveResult {
	reply, _ := call(ctx, p, &p.replies.move, func(id uint64) loopInput { return coreEvent{Move{ID: id, Group: group, Site: site}} })
	return reply.Result
}

// CancelMove takes back a move that is staged.
func (p *Process) CancelMove(ctx context.Context, group string) MoveResult {
	reply, _ := call(ctx, p, &p.replies.move, func(id uint64) loopInput { return coreEvent{CancelMove{ID: id, Group: group}} })
	return reply.Result
}

// Moves are the placements and how they stand, as this process knows, and whether it is
// in contact with a majority.
func (p *Process) Moves(ctx context.Context) ([]MoveState, bool) {
	reply, ok := call(ctx, p, &p.replies.moves, func(id uint64) loopInput { return movesRequest{id} })
	return reply.moves, ok && reply.contact
}

// State is what this process knows, put together now by its loop. It is false while the
// voter's log is not open, or if the context ends first.
func (p *Process) State(ctx context.Context, withItems bool) (fleetstate.ProcessState, bool) {
	reply, ok := call(ctx, p, &p.replies.state, func(id uint64) loopInput { return stateRequest{id, withItems} })
	return reply.state, ok && reply.ok
}

// refuse ends a request that cannot be served while the voter's log is not open.
func (p *Process) refuse(in loopInput) {
	switch in := in.(type) {
	case coreEvent:
		p.refuseEvent(in.Event)
	case movesRequest:
		p.replies.moves.finish(in.id, movesReply{})
	case stateRequest:
		p.replies.state.finish(in.id, stateReply{})
	case configUpdate:
		p.config = in.config
	}
}

// refuseEvent replies to the events that have a caller. The others are dropped: they
// come from streams and calls that do not exist yet.
func (p *Process) refuseEvent(event Event) {
	switch e := event.(type) {
	case Announce:
		p.replies.announce.finish(e.ID, AnnounceDone{ID: e.ID})
	case ChangeTable:
		p.replies.change.finish(e.ID, ChangeTableDone{ID: e.ID, Result: changeUnavailable})
	case FetchTable:
		p.replies.fetch.finish(e.ID, FetchTableDone{ID: e.ID})
	case Move:
		p.replies.move.finish(e.ID, MoveDone{ID: e.ID, Result: moveUnavailable})
	case CancelMove:
		p.replies.move.finish(e.ID, MoveDone{ID: e.ID, Result: moveUnavailable})
	}
}
