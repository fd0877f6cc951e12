// Package querytable is one group's half of the data plane: every query is a
// record in a table that passes are run over (design 7). It decides where each
// query goes, when it may start and when its return may leave. It is a
// deterministic core: Step(now, events) hands back effects, and the edge does
// them.
package querytable

import (
	"maps"
	"math/rand/v2"
	"slices"

	"stoneford/freshness"
	"stoneford/result"
)

// Member is one database of the group as this node is told of it.
type Member struct {
	Name     string
	Identity string // as agreed; a copy with another one does not count
	Address  string
	Leased   int   // connections this node may hold
	UntilUs  int64 // and until when
	Drained  bool  // an agreed move drains it: no new reads on a replica, no new transaction on a primary
	Closed   bool  // and nothing new at all
}

// leased is how many connections may be held now: a node that was frozen wakes up with none.
func (m Member) leased(now int64) int {
	if now >= m.UntilUs {
		return 0
	}
	return m.Leased
}

// Class is a query class's promise.
type Class struct {
	Name       string
	Kind       string // current, stale or pinned
	StaleUs    int64
	MarginUs   int64
	WaitUs     int64
	DeadlineUs int64
}

func (c Class) formula(margin int64) freshness.Formula {
	if c.Kind == "current" {
		return freshness.Formula{Measure: freshness.Order}
	}
	return freshness.Formula{Measure: freshness.Age, Threshold: max(c.StaleUs-margin, 0)}
}

// Wanted is the state the node is told to work by; it is swapped whole.
type Wanted struct {
	Group    string
	Epoch    uint64
	Primary  string // "" while a takeover has not chosen one
	Members  []Member
	Classes  map[string]Class
	Line     int
	Choice   string // least-sum; random and least-burden only for comparison
	Position bool   // own commits stay gaps, for comparison
}

func (w Wanted) member(n string) (Member, bool) {
	for _, m := range w.Members {
		if m.Name == n {
			return m, true
		}
	}
	return Member{}, false
}

// Statement is one statement as the caller sent it; no byte of it is changed.
type Statement struct {
	Text     string   `json:"text,omitempty"`
	Prepared string   `json:"prepared,omitempty"`
	Params   []string `json:"params,omitempty"`
}

// Token is what another node needs to go on with a session.
type Token struct {
	Group    string `json:"group"`
	Epoch    uint64 `json:"epoch"`
	Position int64  `json:"position"`
}

// Events.
type (
	// Open makes a session.
	Open struct {
		Session  string
		Values   map[string]string
		Prepared map[string]string
		Token    Token
	}
	// Shut ends a session; an open transaction is rolled back.
	Shut struct{ Session string }
	// Change sets session values and prepared names.
	Change struct {
		ID       uint64
		Session  string
		Values   map[string]string
		Prepared map[string]string
	}
	// Query asks for statements to be run.
	Query struct {
		ID         uint64
		Session    string
		Name       string // the caller's own id of it
		Class      string
		ReadOnly   bool
		Begin      bool
		Commit     bool
		Rollback   bool
		Statements []Statement
		DeadlineUs int64 // from its arrival; 0 for the class's
	}
	// Opened ends an OpenConnection; ID is the database's.
	Opened struct {
		Conn    uint64
		Address string
		ID      int64
		Err     string
	}
	// Ran ends a Run. Left says that bytes may have reached the database.
	Ran struct {
		Run     uint64
		Left    bool
		Err     string
		Refused string
		Results []Result
		Epoch   uint64
		Applied int64
	}
	// Polled ends a Poll.
	Polled struct {
		Poll   uint64
		Err    string
		Status Status
	}
	// Boot brings a new wanted state.
	Boot struct{ Wanted Wanted }
	// Stop drains the node; transactions get until GraceUs.
	Stop struct{ GraceUs int64 }
	// Why asks what was decided lately: of one query by its caller's id, or the
	// newest of each class.
	Why struct {
		ID   uint64
		Name string
	}
	// Tick lets time pass.
	Tick struct{}
)

// Status is a database's READY or STATUS.
type Status struct {
	Identity string `json:"Identity"`
	Role     string `json:"Role"`
	Epoch    uint64 `json:"Epoch"`
	LogEpoch uint64 `json:"LogEpoch"`
	Received int64  `json:"Received"`
	Applied  int64  `json:"Applied"`
	Leaving  bool   `json:"Leaving"`
}

// Result is one op's return from the database.
type Result struct {
	Rows      [][]string
	Position  int64
	Tuples    int64
	Relations []string
	Error     string
}

// Op is one step of a run.
type Op struct {
	Op       string
	Text     string
	Prepared string
	Params   []string
	Values   map[string]string
}

// Effects.
type (
	// OpenConnection asks for a connection to a database.
	OpenConnection struct {
		Conn    uint64
		Address string
	}
	// CloseConnection gives one up; what runs on it is abandoned.
	CloseConnection struct {
		Conn    uint64
		Address string
		ID      int64
	}
	// Run sends ops over a connection; it must be given up at UntilUs.
	Run struct {
		Run     uint64
		Conn    uint64
		Address string
		ID      int64
		Epoch   uint64
		Ops     []Op
		// ReadOnly has the database refuse a write.
		ReadOnly bool
		UntilUs  int64
	}
	// Poll asks a database for its status, waiting at most WaitUs for the
	// positions named.
	Poll struct {
		Poll     uint64
		Address  string
		Received int64
		Applied  int64
		WaitUs   int64
	}
	// Return ends a query.
	Return struct {
		ID           uint64
		Code         result.Code
		Outcome      result.Outcome
		Text         string
		Rows         [][][]string
		RetryAfterUs int64
		Token        Token
		Copy         string
		Replica      bool  // a replica served it
		Position     int64 // what a read showed
		Open         bool  // a transaction is open behind it
	}
	// Decided ends a Why.
	Decided struct {
		ID        uint64
		Decisions []Decision
	}
	// Say is for the log.
	Say struct {
		Code result.Code
		Text string
	}
)

// Decision is one choice of a copy, as it was made.
type Decision struct {
	Name   string // the caller's own id of the query
	Class  string
	AtUs   int64
	Copy   string
	Reason string
	Floor  int64 // position of the session's newest write, for a pinned read
	Copies []freshness.Copy
}

// Effect is one of the above.
type Effect any

type session struct {
	id       string
	values   map[string]string
	prepared map[string]string
	token    Token
	busy     uint64 // query that is not ended
	conn     uint64 // held by an open transaction
	lost     bool   // a transaction was lost and the caller was not told yet
	touched  int64
	past     []Return // newest returns, to repeat for a query asked twice
	names    []string
}

type state int

const (
	placing  state = iota // no copy chosen, or it waits for a round
	level                 // waits until its copy has applied the level
	lining                // waits for a connection
	running               // at the database
	settling              // waits until a majority holds what it did or read
)

type query struct {
	Query
	class    Class
	came     int64
	deadline int64
	write    bool // goes to the primary and may leave something there
	ends     bool // a run of it may commit
	state    state
	db       string
	need     int64
	waited   int64 // when it began to wait for its level
	primary  bool  // fallen back to the primary
	conn     uint64
	run      uint64
	sent     int64
	epoch    uint64
	held     int64 // position a majority must hold
	commit   commit
	ret      Return
	tries    int
	avoid    []string
	idle     int64 // time spent waiting before its runs
	idleAt   int64 // since when it waits again
}

type commit struct {
	pos, tuples int64
	relations   []string
}

type conn struct {
	id      uint64
	db      string
	address string
	remote  int64
	ready   bool
	epoch   uint64
	dirty   bool
	query   uint64
	session string // of an open transaction
	since   int64
}

type poll struct {
	member string
	start  int64
	long   bool
	rec    int64
	app    int64
}

type member struct {
	name      string
	status    Status
	start     int64 // of the newest good poll
	okAt      int64 // when it returned
	known     bool
	failing   int64 // first failure since the last good poll
	quick     uint64
	long      uint64
	next      int64 // when the next plain poll is due
	leaving   int64 // when leaving was learned, 0 if it is not
	other     bool  // another copy than the agreed one is there
	stuck     int64 // since when applied stands still behind the master
	rateUs    int64
	rateAt    int64
	rateFrom  int64
	lagUs     int64
	openAgain int64 // no new connection before
}

// Counts are a table's counters.
type Counts struct {
	Queries   uint64 `json:"Queries"`
	Done      uint64 `json:"Done"`
	Refused   uint64 `json:"Bounced"` // the public name
	Uncertain uint64 `json:"Uncertain"`
	Failed    uint64 `json:"Failed"`
	OnReplica uint64 `json:"OnReplica"`
	OnPrimary uint64 `json:"OnPrimary"`
	Polls     uint64 `json:"Polls"`
	Runs      uint64 `json:"Runs"`
	Opens     uint64 `json:"Opens"`
	Replaced  uint64 `json:"Replaced"`
}

// Table is one group's sessions, queries, connections and freshness queue.
type Table struct {
	w        Wanted
	sessions map[string]*session
	queries  map[uint64]*query
	order    []uint64 // queries by arrival
	conns    map[uint64]*conn
	connIDs  []uint64 // in the order they were opened, some of them closed
	idle     map[string][]uint64
	polls    map[uint64]poll
	runs     map[uint64]uint64 // run to query
	members  map[string]*member
	fresh    freshness.Queue
	runUs    map[string]int64 // average run time by class and database
	next     uint64
	rnd      *rand.Rand
	stopAt   int64
	stopping bool
	fx       []Effect
	counts   Counts
	decided  []Decision // newest choices, in a ring
	decideAt int
	nextIdle int64 // when sessions are looked over for long idle ones
	outage   int64 // since when the primary takes nothing new, 0 while it does
	usualUs  int64 // how long that usually lasts
}

// New makes an empty table; ties are broken from the seed.
func New(seed uint64) *Table {
	return &Table{sessions: map[string]*session{}, queries: map[uint64]*query{}, conns: map[uint64]*conn{},
		idle: map[string][]uint64{}, polls: map[uint64]poll{}, runs: map[uint64]uint64{}, members: map[string]*member{},
		runUs: map[string]int64{}, usualUs: usualOutage, rnd: rand.New(rand.NewPCG(seed, 0))}
}

// Counts returns the counters.
func (t *Table) Counts() Counts { return t.counts }

// Gauges returns open sessions, queries under way and connections by database.
func (t *Table) Gauges() (sessions, queries int, conns map[string]int) {
	conns = map[string]int{}
	for _, c := range t.conns {
		conns[c.db]++
	}
	return len(t.sessions), len(t.queries), conns
}

// Times the table works by, in microseconds.
const (
	pollEvery    = 100_000   // plain poll of each member
	pollWait     = 250_000   // longest a poll waits at the database
	silentAfter  = 600_000   // a primary that failed polls this long gets no new queries
	stallAfter   = 1_000_000 // a copy that stands still this long takes no part
	leaveGrace   = 4_000_000 // transactions on a leaving database get this long
	idleConn     = 10_000_000
	idleTx       = 10_000_000
	idleSession  = 3_600_000_000
	idleEvery    = 1_000_000
	openBackoff  = 50_000
	settleWait   = 2_000_000
	lineWait     = 1_000_000 // longest a query waits for a connection, beside what its class lets it wait for a copy
	readMost     = 500_000   // a read that runs so long, and eight times its average, is placed elsewhere;
	readSlow     = 1_000_000 // at the latest then, unless its average is half of that or more
	writeMost    = 2_000_000 // a write that runs so long, and eight times its average, is given up
	keptReturns  = 8
	keptChoices  = 256
	usualOutage  = 1_000_000 // until this node has seen one
	retryShort   = 50_000
	retryPrimary = 300_000
)

// Step takes events and runs the passes.
func (t *Table) Step(now int64, evs ...any) []Effect {
	t.fx = nil
	for _, e := range evs {
		t.event(now, e)
	}
	t.passes(now)
	return t.fx
}

// passes run over the table in the order a query goes through it.
func (t *Table) passes(now int64) {
	t.passEpoch(now)
	t.endPastDeadline(now)
	t.passPlace(now)
	t.passConnect(now)
	t.passSettle(now)
	t.passClean(now)
	t.passPoll(now)
	t.watchOutage(now)
	t.sweep()
	t.check()
}

func (t *Table) event(now int64, e any) {
	switch e := e.(type) {
	case Boot:
		t.boot(now, e.Wanted)
	case Open:
		t.open(now, e)
	case Shut:
		t.shut(now, e.Session)
	case Change:
		t.change(now, e)
	case Query:
		t.allow(now, e)
	case Opened:
		t.opened(now, e)
	case Ran:
		t.ran(now, e)
	case Polled:
		t.polled(now, e)
	case Why:
		t.fx = append(t.fx, Decided{ID: e.ID, Decisions: t.why(e.Name)})
	case Stop:
		t.stopping, t.stopAt = true, now+e.GraceUs
	}
}

// boot takes a new wanted state. A new epoch starts the freshness queue anew;
// an older epoch than the one known is never taken back.
func (t *Table) boot(now int64, w Wanted) {
	if w.Epoch < t.w.Epoch {
		return
	}
	if w.Epoch > t.w.Epoch {
		t.fresh.Reset()
		for _, m := range t.members {
			m.known, m.next = false, 0
		}
		t.say(result.EpochSeen, w.Group+" "+w.Primary)
	}
	old := t.w
	t.w = w
	for _, m := range w.Members {
		p, had := old.member(m.Name)
		if !had || t.members[m.Name] == nil {
			t.members[m.Name] = &member{name: m.Name}
		}
		if (m.Drained || m.Closed) && t.members[m.Name].leaving == 0 {
			t.members[m.Name].leaving = now
		}
		if had && (p.Address != m.Address || p.Identity != m.Identity) {
			t.members[m.Name].known = false
			t.fresh.Drop(m.Name)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(t.members)) {
		if _, ok := w.member(n); !ok {
			delete(t.members, n)
			t.fresh.Drop(n)
		}
	}
}

func (t *Table) say(c result.Code, s string) { t.fx = append(t.fx, Say{Code: c, Text: s}) }

func (t *Table) id() uint64 { t.next++; return t.next }

// sweep takes ended queries out of the arrival order, and closed connections out
// of theirs.
func (t *Table) sweep() {
	if len(t.order) > len(t.queries) {
		t.order = slices.DeleteFunc(t.order, func(id uint64) bool { return t.queries[id] == nil })
	}
	if len(t.connIDs) > len(t.conns) {
		t.connIDs = slices.DeleteFunc(t.connIDs, func(id uint64) bool { return t.conns[id] == nil })
	}
}

// eachConn goes over the connections as they were opened; f may close any.
func (t *Table) eachConn(f func(*conn)) {
	for _, id := range t.connIDs {
		if c := t.conns[id]; c != nil {
			f(c)
		}
	}
}

// check holds the table's invariants; breaking one is a defect, and going on
// would be worse than stopping (design 7.6).
func (t *Table) check() {
	for id, c := range t.conns {
		if c.query != 0 {
			q := t.queries[c.query]
			if q == nil || q.conn != id {
				panic("querytable: a connection is lent to a query that does not hold it")
			}
			if c.session != "" && q.Session != c.session {
				panic("querytable: a query runs in another session's transaction")
			}
		}
		if c.session != "" {
			if s := t.sessions[c.session]; s == nil || s.conn != id {
				panic("querytable: a transaction's connection is not its session's")
			}
		}
	}
	for d, ids := range t.idle {
		for _, id := range ids {
			if c := t.conns[id]; c == nil || c.db != d || c.query != 0 || c.session != "" {
				panic("querytable: a connection in use stands among the idle ones")
			}
		}
	}
	for id, q := range t.queries {
		if s := t.sessions[q.Session]; s == nil || s.busy != id {
			panic("querytable: a query's session does not know it")
		}
	}
}
