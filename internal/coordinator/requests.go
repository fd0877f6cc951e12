package coordinator

import (
	"context"
	"sync"

	"stoneford/internal/fleetstate"
	"stoneford/internal/ports"
)

// replies holds the calls that wait for a reply, by kind.
type replies struct {
	announce waitingCalls[AnnounceDone]
	change   waitingCalls[ChangeTableDone]
	fetch    waitingCalls[FetchTableDone]
	move     waitingCalls[MoveDone]
	moves    waitingCalls[movesReply]
	state    waitingCalls[stateReply]
}

// movesReply holds the moves as this process knows them, and whether it is in contact
// with a majority.
type movesReply struct {
	moves   []MoveState
	contact bool
}

// stateReply holds the process's state. ok is false while the log is not open yet.
type stateReply struct {
	state fleetstate.ProcessState
	ok    bool
}

// waitingCalls holds the calls that wait for replies of one type. It is safe for
// concurrent use.
type waitingCalls[R any] struct {
	mu   sync.Mutex
	byID map[uint64]chan R
}

// open registers a call and returns the channel that receives its reply.
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

// finish sends the reply to a call, unless the call was finished or removed before.
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

// call queues an input with a new ID for the loop and waits for the reply. ok is false
// if the context is cancelled or the process ends first.
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

// Move requests that a group's primary move to another site, which is a zone or a region.
func (p *Process) Move(ctx context.Context, group, site string) MoveResult {
	reply, _ := call(ctx, p, &p.replies.move, func(id uint64) loopInput { return coreEvent{Move{ID: id, Group: group, Site: site}} })
	return reply.Result
}

// CancelMove cancels a staged move.
func (p *Process) CancelMove(ctx context.Context, group string) MoveResult {
	reply, _ := call(ctx, p, &p.replies.move, func(id uint64) loopInput { return coreEvent{CancelMove{ID: id, Group: group}} })
	return reply.Result
}

// Moves returns the placements and the state of their moves as this process knows them,
// and whether it is in contact with a majority.
func (p *Process) Moves(ctx context.Context) ([]MoveState, bool) {
	reply, ok := call(ctx, p, &p.replies.moves, func(id uint64) loopInput { return movesRequest{id} })
	return reply.moves, ok && reply.contact
}

// State returns the current state of the process, which its loop assembles. It returns
// false while the voter's log is not open, or if the context is cancelled first.
func (p *Process) State(ctx context.Context, withItems bool) (fleetstate.ProcessState, bool) {
	reply, ok := call(ctx, p, &p.replies.state, func(id uint64) loopInput { return stateRequest{id, withItems} })
	return reply.state, ok && reply.ok
}

// refuse replies to an input that arrives while the voter's log is not open. It stores a
// changed configuration.
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

// refuseEvent refuses the events that have a caller. It drops the others: no stream or
// outgoing call that could produce them exists before the log is open.
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
