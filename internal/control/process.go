package control

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"stoneford/internal/config"
	"stoneford/internal/databaseclient"
	"stoneford/internal/eventloop"
	"stoneford/internal/transport"
	"stoneford/internal/wal"
	"stoneford/result"
	"stoneford/schema"
)

const (
	// tickInterval is the maximum time between two steps of the core, and so the
	// resolution of its timers.
	tickInterval = 20 * time.Millisecond
	// eventQueueLength is the maximum number of events that wait for the core. When the
	// queue is full, envelopes are dropped, which their senders repeat, and calls block.
	eventQueueLength = 16384
	// headerTimeout bounds the time in which an operator's connection must send the
	// header of a request.
	headerTimeout = 10 * time.Second
	// handoverPeriod is the time that a stopping process keeps running so that its roles
	// are handed over. A process that has not handed them over by then is unable to.
	handoverPeriod = time.Second
)

// Process is a control process: a Core with its log on disk, its connections to other
// processes, databases and the platform, and the operators' HTTP interface. Create it
// with NewProcess and call Run once.
type Process struct {
	config    *schema.Boot
	tokens    atomic.Pointer[map[string]string] // partner name by token
	clock     clockwork.Clock
	core      *Core // accessed only by the goroutine of loop
	loop      *eventloop.Loop[input]
	links     *transport.Transport
	databases *databaseclient.Client
	voterLog  *wal.Log
	waiters   sync.Map // map from ID to the channel that receives the result
	lastID    atomic.Uint64
	ctx       context.Context // canceled when the process ends
	fail      func(error)     // makes Run return an error
}

// input is an item of the event loop: an event for the core, or a function to call
// between two steps.
type input struct {
	event   Event
	inspect func(c *Core, now int64) // nil for an event
}

// NewProcess returns a control process whose voter is restored from the log in the
// configured folder. A corrupt log is moved to quarantine and the process starts with an
// empty one. It is then unknown what its voter promised, so it must join as a new voter
// (design 3.3).
func NewProcess(config *schema.Boot, clock clockwork.Clock) (*Process, error) {
	if config.DataFolder == "" {
		return nil, errs.New("boot: data_folder: required on a control process")
	}
	diskID, err := randomDiskID()
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(config.DataFolder, 0o755); err != nil {
		return nil, err
	}
	p := &Process{
		config:    config,
		clock:     clock,
		loop:      eventloop.New[input](clock, clock.Now(), eventQueueLength),
		databases: databaseclient.New(transport.LocalAddress(config.Bind, config.Listen)),
	}
	p.SetTokens(config.Tokens)
	folder := filepath.Join(config.DataFolder, "voter")
	err = p.restore(folder, diskID)
	if errors.Is(err, wal.ErrCorrupt) {
		movedTo, moveErr := wal.Quarantine(folder)
		log.WithFields(log.Fields{"code": int(result.LogDamaged), "kept_in": movedTo}).WithError(err).Error(result.LogDamaged.String())
		if moveErr != nil {
			return nil, moveErr
		}
		err = p.restore(folder, diskID)
	}
	return p, err
}

// restore creates the core and opens the log, from which the core's voter is restored.
func (p *Process) restore(folder string, diskID uint64) (err error) {
	p.core = NewCore(p.config, uint64(p.clock.Now().UnixMicro()), diskID)
	p.voterLog, err = wal.Open(folder, p.core.Restore)
	return err
}

// randomDiskID returns a random disk ID, which is never 0.
func randomDiskID() (uint64, error) {
	var b [8]byte
	_, err := rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:]) | 1, err
}

// SetTokens replaces the tokens that identify partners. tokens holds the token of each
// partner by name.
func (p *Process) SetTokens(tokens map[string]string) {
	partners := make(map[string]string, len(tokens))
	for partner, token := range tokens {
		partners[token] = partner
	}
	p.tokens.Store(&partners)
}

// Run serves until the context ends or a listener fails. When the context ends it hands
// over the roles first. It closes everything that it opened and returns the errors of all
// of this.
func (p *Process) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Join(err, p.voterLog.Close()) }()
	runCtx, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	p.ctx, p.fail = runCtx, func(err error) { stop(err) }
	p.links = transport.New(runCtx, p.config.Listen, transport.LocalAddress(p.config.Bind, p.config.Listen), func(e *schema.Envelope) { p.loop.TryPost(input{event: Received{e}}) })
	nodeListener, httpListener, err := config.Listen(p.config)
	if err != nil {
		return err
	}
	httpServer := &http.Server{Handler: p.handler(), ReadHeaderTimeout: headerTimeout}
	defer func() { err = errors.Join(err, httpServer.Close()) }()
	go p.postWallClock(runCtx)
	ended := make(chan struct{})
	go func() { p.fail(p.links.Serve(nodeListener)) }()
	go func() { p.fail(httpServer.Serve(httpListener)) }()
	go func() {
		p.loop.Run(runCtx, tickInterval, p.step)
		close(ended)
	}()
	defer func() {
		stop(nil)
		<-ended
	}()
	log.WithFields(log.Fields{"name": p.config.Name, "listen": p.config.Listen, "http": p.config.Http}).Info("stoneford-control is up")
	select {
	case <-runCtx.Done():
		return context.Cause(runCtx)
	case <-ctx.Done():
	}
	p.post(Stop{})
	<-p.clock.After(handoverPeriod)
	return nil
}

// step runs the core on the events that have arrived and executes its effects. The
// voter's log is synced first, because losing a vote would break consensus.
func (p *Process) step(now int64, inputs []input) {
	events := make([]Event, 0, len(inputs))
	for _, i := range inputs {
		if i.inspect == nil {
			events = append(events, i.event)
		}
	}
	effects := p.core.Step(now, events...)
	if err := p.voterLog.Write(effects.Log, p.core.Snapshot); err != nil {
		p.fail(errs.New("writing the voter's log: %w", err))
		return
	}
	for _, s := range effects.Send {
		p.links.Send(s.To, s.Envelope)
	}
	for _, e := range effects.Do {
		p.apply(e)
	}
	for _, i := range inputs {
		if i.inspect != nil {
			i.inspect(p.core, now)
		}
	}
}

// post posts an event to the core. It blocks while the queue is full.
func (p *Process) post(e Event) { p.loop.Post(input{event: e}) }

// apply executes an effect. Calls over the network run on goroutines of their own.
func (p *Process) apply(effect Effect) {
	switch e := effect.(type) {
	case ConfigurationResult:
		deliver(p, e.ID, e)
	case CommandResult:
		deliver(p, e.ID, e)
	case DatabaseCall:
		go p.callDatabase(e)
	case FailoverRequest:
		go p.requestFailover(e)
	case ReplaceDatabase:
		go p.requestReplacement(e)
	case StopMachine:
		go p.requestStop(e)
	case LogEntry:
		log.WithFields(log.Fields{"code": int(e.Code), "what": e.Text}).Info(e.Code.String())
	}
}
