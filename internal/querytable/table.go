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
	Name         string
	Identity     string // as agreed; a copy with another one does not count
	Address      string
	Leased       int   // connections this node may hold
	LeaseUntilUs int64 // and until when
	Draining     bool  // an agreed move drains it: no new reads on a replica, no new transaction on a primary
	Closed       bool  // and nothing new at all
}

// usableLeases is how many connections may be held now: a node that was frozen wakes up with none.
func (m Member) usableLeases(now int64) int {
	if now >= m.LeaseUntilUs {
		return 0
	}
	return m.Leased
}

// Class is a query class's promise.
type Class struct {
	Name           string
	Kind           string // current, stale or pinned
	MaxStalenessUs int64
	MarginUs       int64
	MaxWaitUs      int64
	DeadlineUs     int64
}

func (c Class) formula(margin int64) freshness.Formula {
	if c.Kind == "current" {
		return freshness.Formula{Measure: freshness.Order}
	}
	return freshness.Formula{Measure: freshness.Age, Threshold: max(c.MaxStalenessUs-margin, 0)}
}

// Desired is the state the node is told to work by; it is swapped whole.
type Desired struct {
	Group        string
	Epoch        uint64
	Primary      string // "" while a takeover has not chosen one
	Members      []Member
	Classes      map[string]Class
	QueueLimit   int
	Selection    string // least-sum; random and least-burden only for comparison
	PositionOnly bool   // own commits stay gaps, for comparison
}

func (w Desired) member(n string) (Member, bool) {
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
	// OpenSession makes a session.
	OpenSession struct {
		Session  string
		Values   map[string]string
		Prepared map[string]string
		Token    Token
	}
	// CloseSession ends a session; an open transaction is rolled back.
	CloseSession struct{ Session string }
	// ChangeSession sets session values and prepared names.
	ChangeSession struct {
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
	// ConnectionOpened ends an OpenConnection; ID is the database's.
	ConnectionOpened struct {
		Connection uint64
		Address    string
		ID         int64
		Err        string
	}
	// RunEnded ends a Run. Left says that bytes may have reached the database.
	RunEnded struct {
		Run       uint64
		MaybeSent bool
		Err       string
		Rejected  string
		Results   []Result
		Epoch     uint64
		Applied   int64
	}
	// PollEnded ends a Poll.
	PollEnded struct {
		Poll   uint64
		Err    string
		Status Status
	}
	// SetDesired brings a new wanted state.
	SetDesired struct{ Desired Desired }
	// Stop drains the node; transactions get until GraceUs.
	Stop struct{ GraceUs int64 }
	// DecisionsRequest asks what was decided lately: of one query by its caller's id, or the
	// newest of each class.
	DecisionsRequest struct {
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
	Draining bool   `json:"Leaving"`
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
		Connection uint64
		Address    string
	}
	// CloseConnection gives one up; what runs on it is abandoned.
	CloseConnection struct {
		Connection uint64
		Address    string
		ID         int64
	}
	// Run sends ops over a connection; it must be given up at LeaseUntilUs.
	Run struct {
		Run        uint64
		Connection uint64
		Address    string
		ID         int64
		Epoch      uint64
		Ops        []Op
		// ReadOnly has the database refuse a write.
		ReadOnly bool
		UntilUs  int64
	}
	// Poll asks a database for its status, waiting at most MaxWaitUs for the
	// positions named.
	Poll struct {
		Poll     uint64
		Address  string
		Received int64
		Applied  int64
		WaitUs   int64
	}
	// Reply ends a query.
	Reply struct {
		ID            uint64
		Code          result.Code
		Outcome       result.Outcome
		Text          string
		Rows          [][][]string
		RetryAfterUs  int64
		Token         Token
		Database      string
		FromReplica   bool  // a replica served it
		Position      int64 // what a read showed
		InTransaction bool  // a transaction is open behind it
	}
	// Decisions ends a Why.
	Decisions struct {
		ID        uint64
		Decisions []Decision
	}
	// LogEntry is for the log.
	LogEntry struct {
		Code result.Code
		Text string
	}
)

// Decision is one choice of a copy, as it was made.
type Decision struct {
	Name       string // the caller's own id of the query
	Class      string
	AtUs       int64
	Database   string
	Reason     string
	Floor      int64 // position of the session's newest write, for a pinned read
	Candidates []freshness.Replica
}

// Effect is one of the above.
type Effect any

type session struct {
	id              string
	values          map[string]string
	prepared        map[string]string
	token           Token
	activeQuery     uint64 // query that is not ended
	connection      uint64 // held by an open transaction
	transactionLost bool   // a transaction was lost and the caller was not told yet
	lastUsedAt      int64
	recentReplies   []Reply // newest returns, to repeat for a query asked twice
	recentNames     []string
}

type state int

const (
	placing            state = iota // no copy chosen, or it waits for a round
	awaitingPosition                // waits until its copy has applied the level
	awaitingConnection              // waits for a connection
	running                         // at the database
	awaitingMajority                // waits until a majority holds what it did or read
)

type query struct {
	Query
	class            Class
	arrivedAt        int64
	deadline         int64
	write            bool // goes to the primary and may leave something there
	mayCommit        bool // a run of it may commit
	state            state
	database         string
	requiredPosition int64
	waitingSince     int64 // when it began to wait for its level
	onPrimary        bool  // fallen back to the primary
	connection       uint64
	run              uint64
	sentAt           int64
	epoch            uint64
	majorityPosition int64 // position a majority must hold
	commit           commit
	reply            Reply
	attempts         int
	excluded         []string
	waitedUs         int64 // time spent waiting before its runs
	waitStartedAt    int64 // since when it waits again
}

type commit struct {
	position, tuples int64
	relations        []string
}

type connection struct {
	id          uint64
	database    string
	address     string
	remoteID    int64
	established bool
	epoch       uint64
	needsReset  bool
	queryID     uint64
	sessionID   string // of an open transaction
	usedAt      int64
}

type poll struct {
	member    string
	startedAt int64
	long      bool
	received  int64
	applied   int64
}

type member struct {
	name                 string
	status               Status
	pollStartedAt        int64 // of the newest good poll
	lastSuccessAt        int64 // when it returned
	known                bool
	failingSince         int64 // first failure since the last good poll
	quickPoll            uint64
	longPoll             uint64
	nextPollAt           int64 // when the next plain poll is due
	drainingSince        int64 // when leaving was learned, 0 if it is not
	otherIdentity        bool  // another copy than the agreed one is there
	stalledSince         int64 // since when applied stands still behind the master
	applyIntervalUs      int64
	rateMeasuredAt       int64
	rateMeasuredPosition int64
	lagUs                int64
	reconnectAt          int64 // no new connection before
}

// Counts are a table's counters.
type Counts struct {
	Queries   uint64 `json:"Queries"`
	Done      uint64 `json:"Done"`
	Rejected  uint64 `json:"Bounced"` // the public name
	Uncertain uint64 `json:"Uncertain"`
	Failed    uint64 `json:"Failed"`
	OnReplica uint64 `json:"OnReplica"`
	OnPrimary uint64 `json:"OnPrimary"`
	Polls     uint64 `json:"Polls"`
	Runs      uint64 `json:"Runs"`
	Opens     uint64 `json:"Opens"`
	Retried   uint64 `json:"Replaced"`
}

// Table is one group's sessions, queries, connections and freshness queue.
type Table struct {
	desired         Desired
	sessions        map[string]*session
	queries         map[uint64]*query
	queryOrder      []uint64 // queries by arrival
	connections     map[uint64]*connection
	connectionOrder []uint64 // in the order they were opened, some of them closed
	idleConnections map[string][]uint64
	polls           map[uint64]poll
	runs            map[uint64]uint64 // run to query
	members         map[string]*member
	freshness       freshness.Queue
	averageRunUs    map[string]int64 // average run time by class and database
	lastID          uint64
	random          *rand.Rand
	shutdownAt      int64
	stopping        bool
	effects         []Effect
	counts          Counts
	decisions       []Decision // newest choices, in a ring
	oldestDecision  int
	nextIdleCheckAt int64 // when sessions are looked over for long idle ones
	outageSince     int64 // since when the primary takes nothing new, 0 while it does
	usualOutageUs   int64 // how long that usually lasts
}

// New makes an empty table; ties are broken from the seed.
func New(seed uint64) *Table {
	return &Table{sessions: map[string]*session{}, queries: map[uint64]*query{}, connections: map[uint64]*connection{},
		idleConnections: map[string][]uint64{}, polls: map[uint64]poll{}, runs: map[uint64]uint64{}, members: map[string]*member{},
		averageRunUs: map[string]int64{}, usualOutageUs: initialOutageEstimate, random: rand.New(rand.NewPCG(seed, 0))}
}

// Counts returns the counters.
func (t *Table) Counts() Counts { return t.counts }

// Gauges returns open sessions, queries under way and connections by database.
func (t *Table) Gauges() (sessions, queries int, conns map[string]int) {
	conns = map[string]int{}
	for _, c := range t.connections {
		conns[c.database]++
	}
	return len(t.sessions), len(t.queries), conns
}

// Times the table works by, in microseconds.
const (
	pollInterval           = 100_000   // plain poll of each member
	longPollTimeout        = 250_000   // longest a poll waits at the database
	unresponsiveTimeout    = 600_000   // a primary that failed polls this long gets no new queries
	stallTimeout           = 1_000_000 // a copy that stands still this long takes no part
	drainGrace             = 4_000_000 // transactions on a leaving database get this long
	idleConnectionTimeout  = 10_000_000
	idleTransactionTimeout = 10_000_000
	idleSessionTimeout     = 3_600_000_000
	idleCheckInterval      = 1_000_000
	reconnectDelay         = 50_000
	majorityTimeout        = 2_000_000
	queueTimeout           = 1_000_000 // longest a query waits for a connection, beside what its class lets it wait for a copy
	minReadTimeout         = 500_000   // a read that runs so long, and eight times its average, is placed elsewhere;
	maxReadTimeout         = 1_000_000 // at the latest then, unless its average is half of that or more
	minWriteTimeout        = 2_000_000 // a write that runs so long, and eight times its average, is given up
	maxRecentReplies       = 8
	maxDecisions           = 256
	initialOutageEstimate  = 1_000_000 // until this node has seen one
	shortRetryDelay        = 50_000
	primaryRetryDelay      = 300_000
)

// Step takes events and runs the passes.
func (t *Table) Step(now int64, events ...any) []Effect {
	t.effects = nil
	for _, e := range events {
		t.handleEvent(now, e)
	}
	t.runPasses(now)
	return t.effects
}

// runPasses run over the table in the order a query goes through it.
func (t *Table) runPasses(now int64) {
	t.endInterruptedRuns(now)
	t.endPastDeadline(now)
	t.placeQueries(now)
	t.assignConnections(now)
	t.releaseConfirmed(now)
	t.closeUnusedConnections(now)
	t.pollMembers(now)
	t.watchOutage(now)
	t.sweep()
	t.checkInvariants()
}

func (t *Table) handleEvent(now int64, e any) {
	switch e := e.(type) {
	case SetDesired:
		t.setDesired(now, e.Desired)
	case OpenSession:
		t.openSession(now, e)
	case CloseSession:
		t.closeSession(now, e.Session)
	case ChangeSession:
		t.changeSession(now, e)
	case Query:
		t.admit(now, e)
	case ConnectionOpened:
		t.finishOpen(now, e)
	case RunEnded:
		t.finishRun(now, e)
	case PollEnded:
		t.finishPoll(now, e)
	case DecisionsRequest:
		t.effects = append(t.effects, Decisions{ID: e.ID, Decisions: t.recentDecisions(e.Name)})
	case Stop:
		t.stopping, t.shutdownAt = true, now+e.GraceUs
	}
}

// setDesired takes a new wanted state. A new epoch starts the freshness queue anew;
// an older epoch than the one known is never taken back.
func (t *Table) setDesired(now int64, w Desired) {
	if w.Epoch < t.desired.Epoch {
		return
	}
	if w.Epoch > t.desired.Epoch {
		t.freshness.Reset()
		for _, m := range t.members {
			m.known, m.nextPollAt = false, 0
		}
		t.log(result.EpochSeen, w.Group+" "+w.Primary)
	}
	old := t.desired
	t.desired = w
	for _, m := range w.Members {
		p, had := old.member(m.Name)
		if !had || t.members[m.Name] == nil {
			t.members[m.Name] = &member{name: m.Name}
		}
		if (m.Draining || m.Closed) && t.members[m.Name].drainingSince == 0 {
			t.members[m.Name].drainingSince = now
		}
		if had && (p.Address != m.Address || p.Identity != m.Identity) {
			t.members[m.Name].known = false
			t.freshness.RemoveReplica(m.Name)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(t.members)) {
		if _, ok := w.member(n); !ok {
			delete(t.members, n)
			t.freshness.RemoveReplica(n)
		}
	}
}

func (t *Table) log(c result.Code, s string) {
	t.effects = append(t.effects, LogEntry{Code: c, Text: s})
}

func (t *Table) newID() uint64 { t.lastID++; return t.lastID }

// sweep takes ended queries out of the arrival order, and closed connections out
// of theirs.
func (t *Table) sweep() {
	if len(t.queryOrder) > len(t.queries) {
		t.queryOrder = slices.DeleteFunc(t.queryOrder, func(id uint64) bool { return t.queries[id] == nil })
	}
	if len(t.connectionOrder) > len(t.connections) {
		t.connectionOrder = slices.DeleteFunc(t.connectionOrder, func(id uint64) bool { return t.connections[id] == nil })
	}
}

// eachConnection goes over the connections as they were opened; f may close any.
func (t *Table) eachConnection(f func(*connection)) {
	for _, id := range t.connectionOrder {
		if c := t.connections[id]; c != nil {
			f(c)
		}
	}
}

// checkInvariants holds the table's invariants; breaking one is a defect, and going on
// would be worse than stopping (design 7.6).
func (t *Table) checkInvariants() {
	for id, c := range t.connections {
		if c.queryID != 0 {
			q := t.queries[c.queryID]
			if q == nil || q.connection != id {
				panic("querytable: a connection is lent to a query that does not hold it")
			}
			if c.sessionID != "" && q.Session != c.sessionID {
				panic("querytable: a query runs in another session's transaction")
			}
		}
		if c.sessionID != "" {
			if s := t.sessions[c.sessionID]; s == nil || s.connection != id {
				panic("querytable: a transaction's connection is not its session's")
			}
		}
	}
	for d, ids := range t.idleConnections {
		for _, id := range ids {
			if c := t.connections[id]; c == nil || c.database != d || c.queryID != 0 || c.sessionID != "" {
				panic("querytable: a connection in use stands among the idle ones")
			}
		}
	}
	for id, q := range t.queries {
		if s := t.sessions[q.Session]; s == nil || s.activeQuery != id {
			panic("querytable: a query's session does not know it")
		}
	}
}
