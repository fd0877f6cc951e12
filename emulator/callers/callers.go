package callers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"stoneford/emulator/checker"
	"stoneford/result"
)

// Load describes the load that callers generate.
type Load struct {
	Routes   []string                     // each has its own group
	Classes  map[string]map[string]string // class names by route and kind
	Sessions int
	Rate     float64 // queries per second, of all sessions together
	Seed     uint64
	Nodes    func() []string          // returns the addresses of the ready nodes, as the platform lists them
	Zones    []string                 // zones of the callers
	NodeZone func(node string) string // returns the zone of a node
}

// Kinds of queries; reads have the kinds of package checker.
const (
	Reservation = "reservation"
	Transaction = "transaction"
)

// Sample is the result of one query or transaction, with all its attempts. Times are in
// microseconds.
type Sample struct {
	Kind       string
	AtUs       int64 // time of the first attempt
	DurationUs int64 // from the first attempt to the last reply
	Code       result.Code
	Outcome    result.Outcome
	Attempts   int
	Database   string // database that executed it
	OnReplica  bool   // the database was a replica
}

// Runner runs a load once.
type Runner struct {
	load           Load
	client         *http.Client
	startedAt      time.Time
	mu             sync.Mutex
	samples        []Sample
	Checker        *checker.Checker
	acknowledgedAt map[string][]int64 // times of acknowledged writes in microseconds since 1970, by route
	lastTag        map[string]string  // tag of the last acknowledged write, by route
	sequence       atomic.Int64
	ctx            context.Context // context of Run
	sessionsDone   sync.WaitGroup
	allSessions    []*session
	crowdCount     int
}

// New returns a runner for a load.
func New(l Load) *Runner {
	return &Runner{load: l, startedAt: time.Now(), Checker: checker.New(), acknowledgedAt: map[string][]int64{}, lastTag: map[string]string{},
		client: &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
}

func nowUs() int64 { return time.Now().UnixMicro() }

// Run generates the load until the context ends, and then waits for the replies to all
// queries in progress.
func (r *Runner) Run(ctx context.Context) {
	r.mu.Lock()
	r.ctx = ctx
	r.mu.Unlock()
	for _, route := range r.load.Routes {
		r.sessionsDone.Go(func() { r.runTicks(ctx, route) })
	}
	for i := range r.load.Sessions {
		r.startSession(ctx, fmt.Sprintf("s%d-%d", r.load.Seed, i), i, r.load.Rate)
	}
	r.sessionsDone.Wait()
}

// startSession starts a session that sends its share of rate, which is the number of
// queries per second of all sessions together.
func (r *Runner) startSession(ctx context.Context, name string, i int, rate float64) {
	per := time.Duration(float64(time.Second) * float64(r.load.Sessions) / rate)
	s := r.newSession(name, r.load.Routes[i%len(r.load.Routes)], uint64(i))
	r.sessionsDone.Go(func() {
		next := time.Now().Add(time.Duration(s.random.Int64N(int64(min(per, time.Second)))))
		for sleep(ctx, time.Until(next)) {
			s.runAction(ctx)
			next = next.Add(time.Duration((0.5 + s.random.Float64()) * float64(per)))
			if n := time.Now(); next.Before(n) {
				next = n
			}
		}
	})
}

func (r *Runner) newSession(name, route string, i uint64) *session {
	s := &session{runner: r, name: name, route: route, random: rand.New(rand.NewPCG(r.load.Seed, i))}
	if n := len(r.load.Zones); n > 0 {
		s.zone.Store(r.load.Zones[int(i)%n])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.allSessions = append(r.allSessions, s)
	return s
}

// AddCrowd adds times as many sessions as the load has, for the given time. They start
// within a second, and each sends as many queries as an ordinary session.
func (r *Runner) AddCrowd(times int, length time.Duration) {
	r.mu.Lock()
	ctx := r.ctx
	r.crowdCount++
	n := r.crowdCount
	r.mu.Unlock()
	ctx, stop := context.WithTimeout(ctx, length)
	for i := range times * r.load.Sessions {
		r.startSession(ctx, fmt.Sprintf("c%d-%d-%d", r.load.Seed, n, i), n<<20+i, r.load.Rate)
	}
	r.sessionsDone.Go(func() { <-ctx.Done(); stop() })
}

// MoveCallers moves the callers in a zone, or in all zones for "all", to the next zone,
// also in the middle of a transaction.
func (r *Runner) MoveCallers(zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	zones := r.load.Zones
	for _, s := range r.allSessions {
		z, _ := s.zone.Load().(string)
		if i := slices.Index(zones, z); i >= 0 && (zone == z || zone == "all") {
			s.zone.Store(zones[(i+1)%len(zones)])
			s.moved.Store(true)
		}
	}
}

// sleep waits for a duration. It returns false if the context ends first.
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

// tickInterval is the time between two ticks.
const tickInterval = 50 * time.Millisecond

// runTicks increments a route's tick row at a fixed interval. The row's value in a read
// shows the age of the data.
func (r *Runner) runTicks(ctx context.Context, route string) {
	s := r.newSession("tick-"+route, route, 1<<40)
	for sleep(ctx, tickInterval) {
		v, ok := s.call(ctx, "tick", query{Class: s.class("current"), Statements: statements("add ticks t 1")})
		if ok && v.Outcome == result.Done {
			r.Checker.RecordTick(route)
			r.mu.Lock()
			r.acknowledgedAt[route] = append(r.acknowledgedAt[route], nowUs())
			r.mu.Unlock()
		}
	}
}

// Samples returns the samples of all queries that have ended so far.
func (r *Runner) Samples() []Sample {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.samples)
}

// FirstAcknowledgementAfter returns the time of the first acknowledged write on a route
// after afterUs, or 0 if there is none. Both are in microseconds since 1970.
func (r *Runner) FirstAcknowledgementAfter(route string, afterUs int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var firstUs int64
	for _, t := range r.acknowledgedAt[route] {
		if t > afterUs && (firstUs == 0 || t < firstUs) {
			firstUs = t
		}
	}
	return firstUs
}
