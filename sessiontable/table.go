// Package sessiontable is the data plane on databases that announce themselves
// (design 14.8 to 14.11): callers' sessions share connections, each read goes
// to the copy that is fresh enough and costs least, and each statement ends
// with what is known of it. It is a deterministic core: Step(now, events) hands
// back effects, and the edge does them.
package sessiontable

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"stoneford/freshness"
	"stoneford/invariant"
	"stoneford/ports"
)

// Options are the bounds the table works by; zero values take the defaults.
type Options struct {
	LeaseUs      int64 // how long a node may rely on what it learned
	MarginUs     int64 // taken off what a route allows a read to be old
	WaitUs       int64 // most that a statement is held while no database can take it
	ExpectUs     int64 // how long a change of primary takes, where nothing is known of it
	SilentUs     int64 // a database that is silent for so long, or 8 average runs, is suspect
	IdleUs       int64 // a connection unused for so long is closed
	ConnectUs    int64 // a connect is given up after this
	OpenUs       int64 // a statement waits so long for a connection in use before one more is opened
	DrainUs      int64 // a database that leaves gets nothing new after this
	UnsureUs     int64 // an answered commit waits so long for the lease to be renewed
	OrphanUs     int64 // how long an end that nobody waits for may take
	SameUs       int64 // guessed run time in this zone
	OtherUs      int64 // and elsewhere
	CrossUs      int64 // what a crossing between zones counts beyond its time
	PrimaryUs    int64 // what a read that a follower could take counts at the primary
	ForgetUs     int64 // a run time not fed for so long counts no more if it was long
	ReadyUs      int64 // the node calls itself ready so long after its lease ran out
	RouteUs      int64 // statements are routed by the table so long after its lease ran out
	RestUs       int64 // a transaction may rest so much longer than its limit
	NotedUs      int64 // a primary that said it is none is left alone so long, or until the next view
	Line         int   // most statements that wait for one database
	Prepared     int   // most prepared names kept on a connection
	Tries        int   // most places a read is tried at
	Spare        int   // connections of each database left to control
	BeginApart   bool  // a kept beginning is sent alone, and its statement after its return
	GuessedSlots int   // where a database names no capacity
}

func (o *Options) fill() {
	def := func(p *int64, v int64) {
		if *p == 0 {
			*p = v
		}
	}
	def(&o.LeaseUs, 1_000_000)
	def(&o.MarginUs, 150_000)
	def(&o.WaitUs, 75_000)
	def(&o.ExpectUs, 700_000)
	def(&o.SilentUs, 400_000)
	def(&o.IdleUs, 60_000_000)
	def(&o.ConnectUs, 400_000)
	def(&o.OpenUs, 4_000)
	def(&o.DrainUs, 6_200_000)
	def(&o.UnsureUs, 400_000)
	def(&o.OrphanUs, 3_000_000)
	def(&o.SameUs, 5_000)
	def(&o.OtherUs, 25_000)
	def(&o.CrossUs, 2_000)
	def(&o.PrimaryUs, 10_000)
	def(&o.ReadyUs, 3*o.LeaseUs)
	def(&o.RouteUs, 1_000_000)
	def(&o.ForgetUs, 5_000_000)
	def(&o.RestUs, 200_000)
	def(&o.NotedUs, 2_000_000)
	num := func(p *int, v int) {
		if *p == 0 {
			*p = v
		}
	}
	num(&o.Line, 256)
	num(&o.Prepared, 64)
	num(&o.Tries, 3)
	num(&o.Spare, 4)
	num(&o.GuessedSlots, 4)
}

// Counts only rise.
type Counts struct {
	Ended    [ports.Unknown + 1]int64 // statements by code
	Local    int64                    // statements that no database saw
	Held     int64                    // refused by this node
	Again    int64                    // sent once more, or elsewhere
	Connects int64
	Resets   int64
	Follower int64 // reads and read transactions placed at followers
	Primary  int64 // and at the primary
}

// Gauges are of now.
type Gauges struct {
	Sessions    int
	Connections int
	Running     int
	Waiting     int
	Open        int // transactions
}

// Table is one node's sessions and connections.
type Table struct {
	r    *rand.Rand
	zone string
	o    Options
	now  int64
	seq  uint64
	out  []Effect

	table  *ports.RoutingTable
	routes map[string]*ports.Route // by host
	groups map[string]*group
	gs     []*group // by name
	ins    map[string]*instance
	// leaving is since when instances leave that were taken out: one that comes back
	// may have missed a few beats, and its time goes on.
	leaving map[string]int64
	sess    map[uint64]*session
	conns   map[uint64]*conn
	shapes  map[shapeKey]*shape
	names   uint64 // prepared names given out
	nextID  uint64 // of connections

	timers  heap[*timer]
	dirty   []*instance // whose line is to be gone through
	touched []*conn     // to be checked
	until   int64       // newest lease
	lookUs  int64       // when a look was asked for, 0 if none is wanted
	nodes   int
	changed bool
	running int
	waiting int
	open    int
	counts  Counts
	copies  []freshness.Copy // scratch

	held   map[string]int // refusals since heldUs, by cause
	heldUs int64

	checks invariant.Checks

	stopping bool
	stopUs   int64
	graceUs  int64
	stopper  timer
}

// New is an empty table of a node in a zone.
func New(seed uint64, zone string, o Options) *Table {
	o.fill()
	t := &Table{
		r: rand.New(rand.NewPCG(seed, 0x7365737374)), zone: zone, o: o, nodes: 1,
		routes: map[string]*ports.Route{}, groups: map[string]*group{}, ins: map[string]*instance{}, leaving: map[string]int64{},
		sess: map[uint64]*session{}, conns: map[uint64]*conn{}, shapes: map[shapeKey]*shape{},
	}
	t.timers = heap[*timer]{
		less: func(a, b *timer) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq },
		at:   func(m *timer) *int { return &m.place },
	}
	t.stopper.owner = t
	return t
}

// Step takes events in at a moment and hands back what is to be done.
func (t *Table) Step(now int64, evs ...any) []Effect {
	t.now = max(now, t.now)
	t.out = nil
	for _, e := range evs {
		switch e := e.(type) {
		case Opened:
			t.opened(e)
		case Asked:
			t.asked(e)
		case Left:
			t.left(e)
		case Connected:
			t.connected(e)
		case Answered:
			t.answered(e)
		case Lost:
			t.lost(e)
		case View:
			t.view(e)
		case Stop:
			t.stop(e)
		case Tick:
		default:
			panic(fmt.Sprintf("sessiontable: event %T", e))
		}
	}
	for t.timers.len() > 0 && t.timers.top().at <= t.now {
		m := t.timers.top()
		t.timers.remove(m)
		t.fire(m.owner)
	}
	t.settle()
	t.checkTouched()
	return t.out
}

// Due is when the next Tick is needed.
func (t *Table) Due() int64 {
	if t.timers.len() == 0 {
		return math.MaxInt64
	}
	return t.timers.top().at
}

func (t *Table) emit(e Effect) { t.out = append(t.out, e) }

func (t *Table) fire(owner any) {
	switch o := owner.(type) {
	case *request:
		t.overdue(o)
	case *session:
		t.rested(o)
	case *conn:
		t.drop(o)
	case *instance:
		o.dirtyIn(t)
		t.probe(o)
	case *Table:
		t.grace()
	}
}

// settle goes through the lines that something changed for.
func (t *Table) settle() {
	for i := 0; i < len(t.dirty); i++ {
		in := t.dirty[i]
		in.dirty = false
		t.dispatch(in)
	}
	t.dirty = t.dirty[:0]
}

// lookNow asks for a look, once until the next view or a while later.
func (t *Table) lookNow() {
	if t.lookUs != 0 && t.now-t.lookUs < 100_000 {
		return
	}
	t.lookUs = max(t.now, 1)
	t.emit(Look{})
}

// Ready says whether the node can serve: it has a routing table, has lately
// learned what the voters hold, and does not stop.
func (t *Table) Ready(now int64) bool {
	return t.table != nil && !t.stopping && t.until > 0 && now < t.until+t.o.ReadyUs
}

// Busy is the number of statements under way and of open transactions.
func (t *Table) Busy() int { return t.running + t.waiting + t.open }

// Gauges are of now.
func (t *Table) Gauges() Gauges {
	return Gauges{Sessions: len(t.sess), Connections: len(t.conns), Running: t.running, Waiting: t.waiting, Open: t.open}
}

// Counts are since the start.
func (t *Table) Counts() Counts { return t.counts }

// Changed says whether the next Report would say so.
func (t *Table) Changed() bool { return t.changed }

// Report is what the voters are to be told; it clears Changed.
func (t *Table) Report(now int64) Report {
	r := Report{Changed: t.changed}
	t.changed = false
	for _, g := range t.gs {
		for _, in := range g.ins {
			if in.failing > 0 {
				r.Sightings = append(r.Sightings, Sighting{ID: in.ID, FailingUs: max(now-in.failing, 0), Cut: in.cut})
			}
		}
		if g.has {
			r.Words = append(r.Words, Word{Group: g.name, Revision: g.view.Revision, Acked: g.acked, Quiet: t.quiet(g)})
		}
	}
	return r
}

func (t *Table) quiet(g *group) bool {
	p := t.ins[g.view.Primary]
	return p == nil || p.running == 0 && p.txs == 0
}

// quieter notes that a group may have fallen quiet while its change waits for it.
func (t *Table) quieter(in *instance) {
	g := in.g
	if g.has && g.view.Phase == ports.PhaseClosing && g.view.Primary == in.ID && in.running == 0 && in.txs == 0 {
		t.changed = true
	}
}

// Stop and grace (design 7.7): resting sessions are shut at once, open
// transactions get six tenths of the grace to end.
func (t *Table) stop(e Stop) {
	if t.stopping {
		return
	}
	t.stopping, t.stopUs, t.graceUs = true, t.now, e.GraceUs
	for _, id := range slices.Sorted(maps.Keys(t.sess)) {
		if s := t.sess[id]; s.request == nil && s.state == ports.Idle {
			t.shut(s)
		}
	}
	t.arm(&t.stopper, t.now+e.GraceUs*6/10)
}

func (t *Table) shut(s *session) {
	t.emit(Shut{Session: s.id})
	t.forget(s)
}

func (t *Table) grace() {
	last := t.now >= t.stopUs+t.graceUs*9/10
	for _, id := range slices.Sorted(maps.Keys(t.sess)) {
		s := t.sess[id]
		switch {
		case s.request != nil:
		case last:
			t.shut(s)
		case s.tx != nil:
			t.release(s.tx)
			s.tx.over = true
		}
	}
	if !last {
		t.arm(&t.stopper, t.stopUs+t.graceUs*9/10)
	}
}
