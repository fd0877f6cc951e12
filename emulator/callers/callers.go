// Package callers is the stand-in for apps and tills, with a checker that knows
// the ground truth: what was acknowledged, when, and what the databases hold.
package callers

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"stoneford/emulator/checker"
	"stoneford/internal/querytable"
	"stoneford/result"
)

// Load is what callers do.
type Load struct {
	Routes   []string                     // one group behind each
	Classes  map[string]map[string]string // a class's name by route and kind
	Sessions int
	Rate     float64 // queries a second, all sessions together
	Seed     uint64
	Nodes    func() []string          // ready nodes, as the platform hands them out
	Zones    []string                 // zones that callers stand in
	Zone     func(node string) string // a node's zone
}

// reply is a pool's return.
type reply struct {
	Code         result.Code      `json:"code"`
	Text         string           `json:"text"`
	Detail       string           `json:"detail"`
	Outcome      result.Outcome   `json:"outcome"`
	Session      string           `json:"session"`
	Rows         [][][]string     `json:"rows"`
	RetryAfterUs int64            `json:"retry_after_us"`
	Token        querytable.Token `json:"token"`
	Database     string           `json:"copy"`
	Replica      bool             `json:"replica"`
}

// Kinds of queries.
const (
	Reservation = "reservation"
	Transaction = "transaction"
)

// Sample is one query for the figures.
type Sample struct {
	Kind       string
	AtUs       int64 // when it was first sent
	DurationUs int64
	Code       result.Code
	Outcome    result.Outcome
	Attempts   int
	Database   string

	OnReplica bool
}

// Runner is one run of the callers.
type Runner struct {
	load           Load
	client         *http.Client
	startedAt      time.Time
	mu             sync.Mutex
	samples        []Sample
	Checker        *checker.Checker
	acknowledgedAt map[string][]int64 // times of acknowledged writes by route
	lastTag        map[string]string  // newest acknowledged tag by route
	sequence       atomic.Int64
	ctx            context.Context // of Go
	sessionsDone   sync.WaitGroup
	allSessions    []*session
	crowds         int
}

// New makes a run.
func New(l Load) *Runner {
	return &Runner{load: l, startedAt: time.Now(), Checker: checker.New(), acknowledgedAt: map[string][]int64{}, lastTag: map[string]string{},
		client: &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
}

func nowUs() int64 { return time.Now().UnixMicro() }

// Run sends the load until the context ends, then waits for what is under way.
func (r *Runner) Run(ctx context.Context) {
	r.mu.Lock()
	r.ctx = ctx
	r.mu.Unlock()
	for _, rt := range r.load.Routes {
		r.sessionsDone.Go(func() { r.tick(ctx, rt) })
	}
	for i := range r.load.Sessions {
		r.startSession(ctx, fmt.Sprintf("s%d-%d", r.load.Seed, i), i, r.load.Rate)
	}
	r.sessionsDone.Wait()
}

// startSession starts one session that shares so many queries a second with the others.
func (r *Runner) startSession(ctx context.Context, name string, i int, rate float64) {
	per := time.Duration(float64(time.Second) * float64(r.load.Sessions) / rate)
	s := r.session(name, r.load.Routes[i%len(r.load.Routes)], uint64(i))
	r.sessionsDone.Go(func() {
		next := time.Now().Add(time.Duration(s.random.Int64N(int64(min(per, time.Second)))))
		for sleep(ctx, time.Until(next)) {
			s.runOne(ctx)
			next = next.Add(time.Duration((0.5 + s.random.Float64()) * float64(per)))
			if n := time.Now(); next.Before(n) {
				next = n
			}
		}
	})
}

func (r *Runner) session(name, route string, i uint64) *session {
	s := &session{runner: r, name: name, route: route, random: rand.New(rand.NewPCG(r.load.Seed, i))}
	if n := len(r.load.Zones); n > 0 {
		s.zone.Store(r.load.Zones[int(i)%n])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.allSessions = append(r.allSessions, s)
	return s
}

// AddCrowd has so many times the sessions come within a second, each as busy as the
// others, and go again.
func (r *Runner) AddCrowd(times int, length time.Duration) {
	r.mu.Lock()
	ctx := r.ctx
	r.crowds++
	n := r.crowds
	r.mu.Unlock()
	ctx, stop := context.WithTimeout(ctx, length)
	for i := range times * r.load.Sessions {
		r.startSession(ctx, fmt.Sprintf("c%d-%d-%d", r.load.Seed, n, i), n<<20+i, r.load.Rate)
	}
	r.sessionsDone.Go(func() { <-ctx.Done(); stop() })
}

// MoveZone has the sessions of a zone, or all, go on in the next one, in the middle of
// what they are at.
func (r *Runner) MoveZone(zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	zs := r.load.Zones
	for _, s := range r.allSessions {
		z, _ := s.zone.Load().(string)
		if i := slices.Index(zs, z); i >= 0 && (zone == z || zone == "all") {
			s.zone.Store(zs[(i+1)%len(zs)])
			s.moved.Store(true)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// tick adds one to a row over and over; how far it is tells how fresh a read is.
func (r *Runner) tick(ctx context.Context, route string) {
	s := r.session("tick-"+route, route, 1<<40)
	for sleep(ctx, 50*time.Millisecond) {
		v, ok := s.call(ctx, "tick", query{Class: s.class("current"), Statements: statements("add ticks t 1")})
		if ok && v.Outcome == result.Done {
			r.Checker.RecordTick(route)
			r.mu.Lock()
			r.acknowledgedAt[route] = append(r.acknowledgedAt[route], nowUs())
			r.mu.Unlock()
		}
	}
}

func statements(ts ...string) []querytable.Statement {
	var ss []querytable.Statement
	for _, t := range ts {
		ss = append(ss, querytable.Statement{Text: t})
	}
	return ss
}

type query struct {
	Query      string                 `json:"query,omitempty"`
	Class      string                 `json:"class"`
	ReadOnly   bool                   `json:"read_only,omitempty"`
	Begin      bool                   `json:"begin,omitempty"`
	Commit     bool                   `json:"commit,omitempty"`
	Rollback   bool                   `json:"rollback,omitempty"`
	Statements []querytable.Statement `json:"statements,omitempty"`
	DeadlineUs int64                  `json:"expiry_us,omitempty"`
}

type session struct {
	runner   *Runner
	name     string
	route    string
	random   *rand.Rand
	node     string
	id       string
	token    querytable.Token
	ownValue string // a session value only this session sets
	zone     atomic.Value
	moved    atomic.Bool // it is in another zone and has not noticed
}

func (s *session) post(ctx context.Context, url string, in any) (reply, error) {
	b, err := json.Marshal(in)
	if err != nil {
		return reply{}, err
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return reply{}, err
	}
	rs, err := s.runner.client.Do(rq)
	if err != nil {
		return reply{}, err
	}
	defer rs.Body.Close()
	var v reply
	return v, json.NewDecoder(rs.Body).Decode(&v)
}

// open has a session on some ready node, with the token of the last one.
func (s *session) open(ctx context.Context) bool {
	for n := 0; ctx.Err() == nil && n < 50; n++ {
		ns := s.runner.load.Nodes()
		if len(ns) == 0 {
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		if z, _ := s.zone.Load().(string); z != "" {
			if near := slices.DeleteFunc(slices.Clone(ns), func(n string) bool { return s.runner.load.Zone(n) != z }); len(near) > 0 {
				ns = near
			}
		}
		s.node = ns[s.random.IntN(len(ns))]
		s.ownValue = s.name + "/" + strconv.FormatInt(s.runner.sequence.Add(1), 10)
		v, err := s.post(ctx, "http://"+s.node+"/v1/sessions", map[string]any{"route": s.route, "token": s.token,
			"values": map[string]string{"mark": s.ownValue}, "prepared": map[string]string{"mine": "value mark"}})
		if err == nil && v.Code == result.OK {
			s.id = v.Session
			return true
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return false
}

// send sends one query once. The caller that never hears back does not know.
func (s *session) send(ctx context.Context, q query) (reply, bool) {
	if s.moved.Swap(false) {
		s.id = "" // the old node is told nothing, as when a phone changes networks
	}
	if s.id == "" && !s.open(ctx) {
		return reply{}, false
	}
	// A return under way at the end of a run is still waited for.
	v, err := s.post(context.WithoutCancel(ctx), "http://"+s.node+"/v1/sessions/"+s.id+"/queries", q)
	if err != nil {
		s.id = ""
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			// Nobody was there to take it.
			return reply{Outcome: result.NoEffect, Code: result.UnknownSession, Detail: err.Error()}, true
		}
		return reply{Outcome: result.Uncertain, Code: -1, Detail: err.Error()}, true
	}
	if v.Token.Position > s.token.Position {
		s.token = v.Token
	}
	if v.Code == result.UnknownSession || v.Code == result.Stopping {
		s.id = ""
	}
	return v, true
}

// call sends a query, coming back when told to, for as long as a person would.
func (s *session) call(ctx context.Context, kind string, q query) (reply, bool) {
	t0 := nowUs()
	for n := 1; ; n++ {
		v, ok := s.send(ctx, q)
		if !ok {
			return v, false
		}
		retry := v.Code.Retryable() || v.Code == result.UnknownSession
		if retry && nowUs()-t0 < 5_000_000 && sleep(ctx, time.Duration(v.RetryAfterUs)*time.Microsecond) {
			continue
		}
		s.runner.mu.Lock()
		s.runner.samples = append(s.runner.samples, Sample{Kind: kind, AtUs: t0, DurationUs: nowUs() - t0, Code: v.Code, Outcome: v.Outcome, Attempts: n, Database: v.Database, OnReplica: v.Replica})
		s.runner.mu.Unlock()
		return v, true
	}
}

// runOne does one thing a till or an app does.
func (s *session) runOne(ctx context.Context) {
	switch p := s.random.Float64(); {
	case p < 0.38:
		s.reserve(ctx)
	case p < 0.55:
		s.transaction(ctx)
	case p < 0.60:
		s.read(ctx, checker.Current, query{Class: s.class("current"), ReadOnly: true})
	case p < 0.87:
		s.read(ctx, checker.Lookup, query{Class: s.class("stale")})
	default:
		s.read(ctx, checker.ReadYourWrites, query{Class: s.class("pinned")})
	}
}

func (s *session) tag() string { return "t" + strconv.FormatInt(s.runner.sequence.Add(1), 10) }

func (s *session) recordWrite(tag string, o result.Outcome, rows ...string) {
	s.runner.Checker.RecordWrite(checker.Write{Route: s.route, Tag: tag, Rows: rows, Outcome: o, AtUs: nowUs()})
	if o == result.Done {
		s.runner.mu.Lock()
		defer s.runner.mu.Unlock()
		s.runner.lastTag[s.route] = tag
		s.runner.acknowledgedAt[s.route] = append(s.runner.acknowledgedAt[s.route], nowUs())
	}
}

// reserve is a single statement. Each time it is sent again it has a new tag,
// so that the truth can be told try by try.
func (s *session) reserve(ctx context.Context) {
	t0 := nowUs()
	for n := 1; ; n++ {
		tag := s.tag()
		v, ok := s.send(ctx, query{Query: tag, Class: s.class("current"), Statements: statements("add ledger " + tag + " 1")})
		if !ok {
			return
		}
		s.recordWrite(tag, v.Outcome)
		if (v.Code.Retryable() || v.Code == result.UnknownSession) && nowUs()-t0 < 5_000_000 && sleep(ctx, time.Duration(v.RetryAfterUs)*time.Microsecond) {
			continue
		}
		s.sample(Reservation, t0, n, v)
		return
	}
}

func (s *session) sample(kind string, t0 int64, n int, v reply) {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	s.runner.samples = append(s.runner.samples, Sample{Kind: kind, AtUs: t0, DurationUs: nowUs() - t0, Code: v.Code, Outcome: v.Outcome, Attempts: n, Database: v.Database, OnReplica: v.Replica})
}

// transaction reads, takes stock in up to a dozen queries and writes its tag,
// and looks that it runs under its own session values.
func (s *session) transaction(ctx context.Context) {
	t0 := nowUs()
	for n := 1; ; n++ {
		tag := s.tag()
		call, seen := s.current()
		steps := []query{{Class: s.class("current"), Begin: true, Statements: statements(call, "value mark")}}
		rows := []string{checker.OwnRow(s.name)}
		for range 1 + s.random.IntN(1+s.random.IntN(10)) {
			key := strconv.Itoa(s.random.IntN(50))
			rows = append(rows, "stock/"+key)
			steps = append(steps, query{Class: s.class("current"), Statements: []querytable.Statement{{Text: "add stock ? -1", Params: []string{key}}, {Prepared: "mine"}}})
		}
		steps = append(steps, query{Class: s.class("current"), Commit: true, Statements: statements("add ledger "+tag+" 1", "add own "+s.name+" 1")})
		value := s.ownValue
		var v reply
		ok := true
		for i, q := range steps {
			if i > 0 && s.moved.Load() {
				v = reply{Code: result.TransactionLost, Outcome: result.NoEffect}
				break // what it had begun elsewhere keeps nothing
			}
			if v, ok = s.send(ctx, q); !ok {
				if i > 0 {
					s.recordWrite(tag, result.NoEffect, rows...)
				}
				return
			}
			if i == 0 {
				value = s.ownValue
			}
			if v.Outcome != result.Done || i == len(steps)-1 {
				break
			}
			if i == 0 {
				s.received(checker.Current, v, seen)
			}
			if len(v.Rows) != 2 || v.Rows[1][0][0] != value {
				s.runner.Checker.RecordViolation("%s: step %d of a transaction showed the values of another: %v, not %s", s.route, i, v.Rows, value)
			}
		}
		s.recordWrite(tag, v.Outcome, rows...)
		if (v.Code.Retryable() || v.Code == result.UnknownSession || v.Code == result.TransactionLost) && nowUs()-t0 < 5_000_000 && sleep(ctx, time.Duration(v.RetryAfterUs)*time.Microsecond) {
			continue
		}
		s.sample(Transaction, t0, n, v)
		return
	}
}

// class is the route's class of a kind.
func (s *session) class(kind string) string { return s.runner.load.Classes[s.route][kind] }

// current is a statement that reads the ticks, the session's own row and the
// newest tag that another wrote, and what must show in it.
func (s *session) current() (string, []checker.ObservedRow) {
	rows := []string{checker.TickRow, checker.OwnRow(s.name)}
	s.runner.mu.Lock()
	t := s.runner.lastTag[s.route]
	s.runner.mu.Unlock()
	if t != "" {
		rows = append(rows, checker.TagRow(t))
	}
	return checker.ReadStatement(rows), s.runner.Checker.ReadExpectation(s.route, rows...)
}

func (s *session) read(ctx context.Context, kind string, q query) {
	call, seen := s.current()
	q.Statements = statements(call)
	v, ok := s.call(ctx, kind, q)
	if ok && v.Outcome == result.Done {
		s.received(kind, v, seen)
	}
}

func (s *session) received(kind string, v reply, seen []checker.ObservedRow) {
	var vs [][]string
	if len(v.Rows) > 0 {
		vs = v.Rows[0]
	}
	s.runner.Checker.RecordRead(checker.Read{Route: s.route, Kind: kind, Rows: seen, AtUs: nowUs(), Database: "on " + v.Database + " by " + s.node}, vs)
}

// Samples returns all queries sent so far.
func (r *Runner) Samples() []Sample {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.samples)
}

// FirstAcknowledgementAfter is when the first write on a route was acknowledged behind a
// moment, 0 if none was.
func (r *Runner) FirstAcknowledgementAfter(route string, at int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best int64
	for _, t := range r.acknowledgedAt[route] {
		if t > at && (best == 0 || t < best) {
			best = t
		}
	}
	return best
}
