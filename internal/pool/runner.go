package pool

import (
	"crypto/rand"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"stoneford/internal/eventloop"
	"stoneford/internal/querytable"
	"stoneford/result"
	"stoneford/statemachine"
)

const (
	// tableTickInterval is the maximum time between two steps of a table, and so the
	// resolution of its timers.
	tableTickInterval = 10 * time.Millisecond
	// viewInterval is the time between two reports of a table to the core and to
	// operators.
	viewInterval = 100 * time.Millisecond
)

// runner runs the table of a group on a goroutine of its own and executes the table's
// effects.
type runner struct {
	process          *Process
	group            string
	loop             *eventloop.Loop[querytable.Event]
	table            *querytable.Table // accessed only by the goroutine of loop
	waiters          sync.Map          // map from query ID to the channel that receives its querytable.Reply
	decisionRequests sync.Map          // map from ID to DecisionsRequest
	busy             atomic.Int64      // number of queries and open transactions
	view             atomic.Pointer[tableView]
	nextViewAt       int64
	ready            bool
}

// tableView is the state of a table as operators see it, for GET /v1/counts and the
// metrics.
type tableView struct {
	Counts      querytable.Counts         `json:"Counts"`
	Sessions    int                       `json:"Sessions"`
	Queries     int                       `json:"Queries"` // under way
	Connections map[string]int            `json:"Conns"`   // by database
	Databases   []querytable.DatabaseView `json:"Views"`
	// Ready is true once the table has been ready. It stays true, because a later change
	// of primary is no reason to send callers to other nodes.
	Ready bool `json:"Ready"`
}

func newRunner(p *Process, group string) *runner {
	return &runner{
		process: p,
		group:   group,
		loop:    eventloop.New[querytable.Event](p.clock, p.startedAt, eventQueueLength),
		table:   querytable.New(randomSeed()),
	}
}

func randomSeed() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return binary.LittleEndian.Uint64(b[:])
}

// stop makes the table accept no new transactions and abort the open ones after
// shutdownGrace.
func (r *runner) stop() { r.loop.Post(querytable.Stop{GraceUs: shutdownGrace.Microseconds()}) }

// step runs the table on the events that have arrived and executes its effects.
func (r *runner) step(now int64, events []querytable.Event) {
	for _, e := range r.table.Step(now, events...) {
		r.apply(now, e)
	}
	sessions, queries, connections := r.table.Gauges()
	r.busy.Store(int64(queries + r.table.OpenTransactions()))
	if !statemachine.Due(now, &r.nextViewAt, viewInterval) {
		return
	}
	databases := r.table.DatabaseViews(now)
	r.ready = r.ready || r.table.Ready(now)
	r.view.Store(&tableView{Counts: r.table.Counts(), Sessions: sessions, Queries: queries, Connections: connections, Databases: databases, Ready: r.ready})
	r.process.loop.TryPost(TableReport{Group: r.group, Views: databases, InUse: connections})
}

// apply executes an effect of the table. Calls to databases run on goroutines of their
// own.
func (r *runner) apply(now int64, effect querytable.Effect) {
	switch e := effect.(type) {
	case querytable.Reply:
		if waiter, ok := r.waiters.LoadAndDelete(e.ID); ok {
			waiter.(chan querytable.Reply) <- e
		}
	case querytable.OpenConnection:
		go r.open(e)
	case querytable.CloseConnection:
		go r.close(e)
	case querytable.Run:
		go r.run(e, now)
	case querytable.Poll:
		go r.poll(e)
	case querytable.Decisions:
		if request, ok := r.decisionRequests.LoadAndDelete(e.ID); ok {
			r.process.loop.TryPost(Decisions{Request: request.(DecisionsRequest), Group: r.group, AtUs: now, Decisions: e.Decisions})
		}
	case querytable.LogEntry:
		logEntry(e.Code, e.Text)
	}
}

func (r *runner) requestDecisions(e DecisionsRequest) {
	id := r.process.lastID.Add(1)
	r.decisionRequests.Store(id, e)
	r.loop.Post(querytable.DecisionsRequest{ID: id, QueryName: e.QueryName})
}

// call posts an event with a query's ID and waits for the reply. It returns by the
// query's deadline, by which the table always replies, or when the process ends.
func (r *runner) call(id uint64, e querytable.Event) querytable.Reply {
	waiter := make(chan querytable.Reply, 1)
	r.waiters.Store(id, waiter)
	r.loop.Post(e)
	select {
	case reply := <-waiter:
		return reply
	case <-r.process.ctx.Done():
		return querytable.Reply{ID: id, Code: result.ResponseLost, Outcome: result.Uncertain, Text: "the node stopped"}
	}
}
