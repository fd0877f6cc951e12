package coordinator

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"stoneford/internal/fleetstate"
	"stoneford/internal/ports"
	"stoneford/internal/transport"
	"stoneford/schema"
)

const (
	// inboxLength is the capacity of the loop's input queue. When it is full, messages
	// from other processes are dropped, because their senders repeat them; other inputs
	// block until there is space.
	inboxLength = 4096
	// maxInputsPerStep limits how many inputs one step handles, and thereby how long the
	// effects of the first input are delayed by the others.
	maxInputsPerStep = 128
)

// clockStartUs is the initial value of the process's clock. It is not 0, because 0 means
// "never".
const clockStartUs = 1_000_000

// Process runs a Core as a control process. It owns the log on disk, the connections to
// other processes, and the calls to databases and the platform.
type Process struct {
	databases ports.DatabaseClient
	provider  ports.Provider
	config    ports.ProcessConfig
	core      *Core   // used by the loop only; nil until the log is open
	logWriter *writer // used by the loop only
	transport *transport.Transport
	inbox     chan loopInput
	startedAt time.Time
	replies   replies
	callID    atomic.Uint64   // ID of the newest call
	ctx       context.Context // cancelled when the process ends
	cancel    context.CancelFunc
}

var _ ports.ControlProcess = (*Process)(nil)

// loopInput is an input of the process's loop: an event for the core, or a request that
// the loop answers itself.
type loopInput interface{ isLoopInput() }

type (
	// coreEvent is an event for the core.
	coreEvent struct{ Event }
	// configUpdate carries a changed configuration.
	configUpdate struct{ config ports.ProcessConfig }
	// movesRequest requests the state of the moves. The reply is a movesReply.
	movesRequest struct{ id uint64 }
	// stateRequest requests the state of the process. The reply is a stateReply.
	stateRequest struct {
		id        uint64
		withItems bool
	}
)

func (coreEvent) isLoopInput()    {}
func (configUpdate) isLoopInput() {}
func (movesRequest) isLoopInput() {}
func (stateRequest) isLoopInput() {}

// NewProcess creates a control process. Run reads its log from disk; the other methods
// may be called before that.
func NewProcess(config ports.ProcessConfig, databases ports.DatabaseClient, provider ports.Provider) (ports.ControlProcess, error) {
	ctx, cancel := context.WithCancel(context.Background())
	return &Process{
		databases: databases,
		provider:  provider,
		config:    config,
		inbox:     make(chan loopInput, inboxLength),
		startedAt: time.Now(),
		ctx:       ctx,
		cancel:    cancel,
	}, nil
}

// nowUs returns the process's monotonic time in microseconds.
func (p *Process) nowUs() int64 { return time.Since(p.startedAt).Microseconds() + clockStartUs }

// Run serves until the context is cancelled, then shuts down gracefully: it hands over
// its vote if another process can take it. It returns an error if it cannot listen.
func (p *Process) Run(ctx context.Context) error {
	defer p.cancel()
	if p.core = p.restoreWithRetries(ctx); p.core == nil {
		return nil
	}
	defer func() { p.cancel(); p.logWriter.close() }()
	self := p.config.ControlNodeAddress()
	p.transport = transport.New(p.ctx, self, transport.LocalAddress(self), p.deliver)
	listener, err := net.Listen("tcp", p.config.ListenAddress(self))
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- p.transport.Serve(listener) }()
	p.core.Start(p.nowUs())
	go p.serveState(p.ctx)
	log.WithFields(log.Fields{"name": p.config.Name, "listen": self}).Info("stoneford-control is up")
	return p.loop(ctx, failed)
}

// loop steps the core until the shutdown is complete or the listener fails.
func (p *Process) loop(ctx context.Context, failed <-chan error) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	stop := ctx.Done()
	var drain drainState
	for {
		var inputs []loopInput
		select {
		case err := <-failed:
			return err
		case <-stop:
			stop = nil
			inputs = append(inputs, coreEvent{Stop{}})
			drain = p.beginDraining()
		case <-drain.tick:
		case <-timer.C:
		case first := <-p.inbox:
			inputs = append(inputs, first)
		}
		p.step(p.fillFromInbox(inputs))
		if drain.finished(p) {
			return nil
		}
		timer.Reset(time.Duration(max(p.core.Due()-p.nowUs(), 0)) * time.Microsecond)
	}
}

// fillFromInbox appends the inputs that are queued already, so that one disk sync covers
// all of them.
func (p *Process) fillFromInbox(inputs []loopInput) []loopInput {
	for len(inputs) < maxInputsPerStep {
		select {
		case next := <-p.inbox:
			inputs = append(inputs, next)
		default:
			return inputs
		}
	}
	return inputs
}

// step answers the requests among the inputs, steps the core with the events and carries
// out the effects.
func (p *Process) step(inputs []loopInput) {
	var events []Event
	for _, in := range inputs {
		switch in := in.(type) {
		case coreEvent:
			events = append(events, in.Event)
		case configUpdate:
			p.core.UpdateConfig(in.config)
		case stateRequest:
			p.replies.state.finish(in.id, stateReply{state: p.stateNow(in.withItems), ok: true})
		case movesRequest:
			now := p.nowUs()
			p.replies.moves.finish(in.id, movesReply{moves: p.core.Moves(now), contact: p.core.inContact(now)})
		}
	}
	effects := p.core.Step(p.nowUs(), events...)
	if len(effects.Log) > 0 {
		p.logWriter.write(p.logEntries(effects.Log), effects.Watermark)
	}
	for _, message := range effects.Send {
		p.transport.Send(message.To, message.Envelope)
	}
	for _, effect := range effects.Do {
		p.handleEffect(effect)
	}
}

// logEntries returns the entries to write: those of the step, or, if the log has grown
// so large that it must be compacted, a snapshot that includes them.
func (p *Process) logEntries(entries []*schema.WALEntry) []*schema.WALEntry {
	if p.logWriter.snapshotDue.Load() && !entries[0].Snapshot {
		return []*schema.WALEntry{p.core.Snapshot()}
	}
	return entries
}

func (p *Process) handleEffect(effect Effect) {
	switch e := effect.(type) {
	case AnnounceDone:
		p.replies.announce.finish(e.ID, e)
	case ChangeTableDone:
		p.replies.change.finish(e.ID, e)
	case FetchTableDone:
		p.replies.fetch.finish(e.ID, e)
	case MoveDone:
		p.replies.move.finish(e.ID, e)
	case DatabaseCall:
		go p.callDatabase(e)
	case Promote:
		go p.promote(e)
	case LogEntry:
		log.WithFields(log.Fields{"code": int(e.Code), "what": e.Text}).Info(e.Code.String())
	}
}

// deliver queues a message from the transport. If the inbox is full, it drops the
// message; the sender repeats every message that matters.
func (p *Process) deliver(envelope *schema.Envelope) {
	select {
	case p.inbox <- coreEvent{Message{envelope}}:
	default:
	}
}

// post queues an event for the loop. It blocks while the inbox is full.
func (p *Process) post(event Event) { p.postInput(coreEvent{event}) }

// postInput queues an input for the loop. It blocks while the inbox is full.
func (p *Process) postInput(in loopInput) {
	select {
	case p.inbox <- in:
	case <-p.ctx.Done():
	}
}

// UpdateConfig implements ports.ControlProcess.
func (p *Process) UpdateConfig(config ports.ProcessConfig) { p.postInput(configUpdate{config}) }

// SetLinksBroken breaks or restores the links to other processes, for tests. The process
// must be running.
func (p *Process) SetLinksBroken(broken bool) { p.transport.SetPartitioned(broken) }

func (p *Process) stateNow(withItems bool) fleetstate.ProcessState {
	now := p.nowUs()
	state := p.core.State(now, withItems)
	state.UpUs = now - clockStartUs
	return state
}

// serveState serves the state and the moves over HTTP to operators. The process can run
// without this interface, so an error is only logged.
func (p *Process) serveState(ctx context.Context) {
	address, ok := p.config.StateAddress(p.config.PortFirst)
	if !ok {
		return
	}
	if err := fleetstate.Serve(ctx, address, p.State, p.MountMoves); err != nil {
		log.WithError(err).Error("cannot serve the state to operators")
	}
}
