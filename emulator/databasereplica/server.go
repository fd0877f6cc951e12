package databasereplica

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/tidwall/wal"
)

// Times in microseconds.
const (
	followWithoutPrimaryUs = 20_000  // retry interval of a replica that has no primary to fetch from
	followAfterErrorUs     = 50_000  // retry interval of a replica whose fetch failed
	logWaitUs              = 500_000 // bound of a primary's wait for new entries before it responds
	applyIntervalUs        = 5_000   // interval at which entries whose lag has passed are applied
)

// maxLogBatch bounds the log entries in one response.
const maxLogBatch = 500

// callTimeout bounds a replica's calls to its primary.
const callTimeout = 3 * time.Second

// Faults are the injected faults of a database. They are set over HTTP while it runs.
type Faults struct {
	ServiceUs     int64 `json:"service_us"`     // time by which each run is delayed
	LagUs         int64 `json:"lag_us"`         // time after a commit before which a replica does not apply it
	StopReceiving bool  `json:"stop_receiving"` // the replica receives no log
	StopApplying  bool  `json:"stop_applying"`  // the replica applies no log
	LoseResponses int   `json:"lose_returns"`   // number of following runs that are executed, but get no response
	Unresponsive  bool  `json:"dark"`           // no request gets a response
}

// RunRequest is the body of a run.
type RunRequest struct {
	Epoch    uint64      `json:"epoch"`
	ReadOnly bool        `json:"read_only,omitempty"`
	Ops      []Operation `json:"ops"`
}

// RunResponse is the body of the response to a run.
type RunResponse struct {
	Rejected string   `json:"refused,omitempty"`
	Results  []Result `json:"results,omitempty"`
	Epoch    uint64   `json:"epoch"`
	Applied  int64    `json:"applied"`
	AtUs     int64    `json:"at_us"`
}

// diskEntry is one record of the log on disk: the state, a commit or a truncation. Exactly
// one of its fields is set.
type diskEntry struct {
	State       *PersistentState `json:"kept,omitempty"`
	Entry       *LogEntry        `json:"entry,omitempty"`
	TruncatedTo *int64           `json:"cut,omitempty"`
}

// Server serves a Replica over HTTP. It writes its log before it sends a response, but does
// not sync it, since processes fail here and machines do not.
type Server struct {
	mu          sync.Mutex
	replica     *Replica
	wal         *wal.Log
	nextIndex   uint64        // of the next record in wal
	changed     chan struct{} // closed and replaced when the replica changes
	faults      Faults
	client      *http.Client
	persisted   PersistentState    // state on disk
	cancelFetch context.CancelFunc // cancels the current fetch
}

// NewServer opens the log in a folder and restores the replica from it. If the folder is
// empty, the new replica gets the given identity. Calls to the primary come from
// localAddress, or from any address if that is nil.
func NewServer(name, identity, folder string, limit int, localAddress net.Addr, faults Faults) (*Server, error) {
	w, err := wal.Open(folder, &wal.Options{NoSync: true, LogFormat: wal.JSON, NoCopy: false, SegmentSize: 20 << 20, SegmentCacheSize: 2})
	if err != nil {
		return nil, err
	}
	s := &Server{replica: New(name, identity, limit, rand.Int64N(1<<30)<<32), wal: w, changed: make(chan struct{}), faults: faults,
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4, DialContext: (&net.Dialer{LocalAddr: localAddress}).DialContext}}}
	last, err := w.LastIndex()
	if err != nil {
		return nil, err
	}
	k := PersistentState{}
	var log []LogEntry
	for i := uint64(1); i <= last; i++ {
		b, err := w.Read(i)
		if err != nil {
			return nil, err
		}
		var d diskEntry
		if err := json.Unmarshal(b, &d); err != nil {
			return nil, err
		}
		switch {
		case d.State != nil:
			k = *d.State
		case d.Entry != nil:
			log = append(log, *d.Entry)
		case d.TruncatedTo != nil:
			log = log[:*d.TruncatedTo]
		}
	}
	s.nextIndex = last + 1
	if last > 0 {
		s.replica.Restore(k, log)
		s.persisted = k
	} else if err := s.persist(0, false); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Server) append(d diskEntry) error {
	b, err := json.Marshal(d)
	if err != nil {
		return err
	}
	if err := s.wal.Write(s.nextIndex, b); err != nil {
		return err
	}
	s.nextIndex++
	return nil
}

// persist writes the state, if it changed, and the log entries after oldLength to disk, and
// signals the change. If truncated is set, it records before these entries that the log was
// truncated to oldLength.
func (s *Server) persist(oldLength int64, truncated bool) error {
	if s.persisted != s.replica.PersistentState {
		if s.cancelFetch != nil {
			s.cancelFetch() // the replica may have to fetch from another primary now
		}
		k := s.replica.PersistentState
		if err := s.append(diskEntry{State: &k}); err != nil {
			return err
		}
		s.persisted = k
	}
	if truncated {
		if err := s.append(diskEntry{TruncatedTo: &oldLength}); err != nil {
			return err
		}
	}
	for _, e := range s.replica.LogAfter(oldLength) {
		if err := s.append(diskEntry{Entry: &e}); err != nil {
			return err
		}
	}
	s.signalChange()
	return nil
}

func nowUs() int64 { return time.Now().UnixMicro() }

// Serve serves the database interface until the context ends, and to tools also an
// interface to set faults and to read the log.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/status", s.serveStatus)
	m.HandleFunc("POST /v1/connections", s.serveOpen)
	m.HandleFunc("DELETE /v1/connections/{id}", s.serveClose)
	m.HandleFunc("POST /v1/connections/{id}", s.serveRun)
	m.HandleFunc("GET /v1/log", s.serveLog)
	m.HandleFunc("POST /v1/seal", s.roleCall(func(c *Replica, a roleRequest) bool { return c.Seal(a.Epoch) }))
	m.HandleFunc("POST /v1/promote", s.roleCall(func(c *Replica, a roleRequest) bool { return c.Promote(a.Epoch, a.Identity, nowUs()) }))
	m.HandleFunc("POST /v1/follow", s.roleCall(func(c *Replica, a roleRequest) bool { return c.Follow(a.Epoch, a.Primary) }))
	m.HandleFunc("POST /v1/leave", s.serveDrain)
	m.HandleFunc("POST /faults", s.setFaults)
	m.HandleFunc("GET /truth/log", s.serveOracleLog)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.currentFaults().Unresponsive && r.URL.Path != "/faults" && r.URL.Path != "/truth/log" {
			<-r.Context().Done()
			return
		}
		m.ServeHTTP(w, r)
	})
	httpServer := &http.Server{Handler: h, BaseContext: func(net.Listener) context.Context { return ctx }}
	go s.follow(ctx)
	go s.applyWithLag(ctx)
	go func() { <-ctx.Done(); httpServer.Close() }()
	if err := httpServer.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := json.NewDecoder(r.Body).Decode(&s.faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, s.faults)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func queryInteger(r *http.Request, k string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(k), 10, 64)
	return n
}

// serveStatus responds with the status as soon as the positions in the query are reached or
// its wait time has passed.
func (s *Server) serveStatus(w http.ResponseWriter, r *http.Request) {
	minReceived, minApplied, untilUs := queryInteger(r, "received"), queryInteger(r, "applied"), nowUs()+queryInteger(r, "wait_us")
	for {
		s.mu.Lock()
		st, ch := s.replica.Status(), s.changed
		s.mu.Unlock()
		left := untilUs - nowUs()
		if st.Received >= minReceived && st.Applied >= minApplied || left <= 0 {
			writeJSON(w, st)
			return
		}
		if !waitForChange(r.Context(), ch, left) {
			return
		}
	}
}

// waitForChange waits for a change or for a time in microseconds. It returns false if the
// context ends first.
func waitForChange(ctx context.Context, ch chan struct{}, us int64) bool {
	t := time.NewTimer(time.Duration(us) * time.Microsecond)
	defer t.Stop()
	select {
	case <-ch:
	case <-t.C:
	case <-ctx.Done():
		return false
	}
	return true
}

func (s *Server) serveOpen(w http.ResponseWriter, r *http.Request) {
	var a struct {
		Owner string `json:"owner"`
		Run   uint64 `json:"run"`
	}
	if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	id, ok := s.replica.Open(a.Owner, a.Run, nowUs())
	s.mu.Unlock()
	if !ok {
		http.Error(w, "connection limit reached", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, map[string]int64{"connection": id})
}

func pathID(r *http.Request) int64 {
	n, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	return n
}

func (s *Server) serveClose(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.replica.Close(pathID(r))
	s.mu.Unlock()
	writeJSON(w, struct{}{})
}

func (s *Server) serveRun(w http.ResponseWriter, r *http.Request) {
	var request RunRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if d := s.currentFaults().ServiceUs; d > 0 {
		time.Sleep(time.Duration(d) * time.Microsecond)
	}
	s.mu.Lock()
	oldLength := s.replica.Received()
	results, rejected := s.replica.Run(pathID(r), request.Epoch, request.Ops, request.ReadOnly, nowUs())
	var err error
	if s.replica.Received() != oldLength {
		err = s.persist(oldLength, false)
	}
	out := RunResponse{Rejected: rejected, Results: results, Epoch: s.replica.Epoch, Applied: s.replica.Applied(), AtUs: nowUs()}
	lost := s.faults.LoseResponses > 0
	if lost {
		s.faults.LoseResponses--
	}
	s.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if lost {
		<-r.Context().Done()
		return
	}
	writeJSON(w, out)
}

// logResponse is the body of the response to a replica that fetches the log (see
// Replica.FetchLog).
type logResponse struct {
	Entries  []LogEntry `json:"entries,omitempty"`
	RewindTo int64      `json:"back"`
}

// serveLog responds to a replica with the log entries after its position, as soon as there
// are any or the query's wait time has passed.
func (s *Server) serveLog(w http.ResponseWriter, r *http.Request) {
	untilUs := nowUs() + queryInteger(r, "wait_us")
	for {
		s.mu.Lock()
		entries, rewindTo, ok := s.replica.FetchLog(uint64(queryInteger(r, "epoch")), queryInteger(r, "after"), uint64(queryInteger(r, "after_epoch")), maxLogBatch)
		ch := s.changed
		s.mu.Unlock()
		if !ok {
			http.Error(w, "not the primary of that epoch", http.StatusConflict)
			return
		}
		left := untilUs - nowUs()
		if len(entries) > 0 || rewindTo >= 0 || left <= 0 {
			writeJSON(w, logResponse{Entries: entries, RewindTo: rewindTo})
			return
		}
		if !waitForChange(r.Context(), ch, left) {
			return
		}
	}
}

// logFetch is the part of the log that a replica fetches next.
type logFetch struct {
	epoch uint64
	from  int64 // position after which it fetches, -1 for the end of its log
}

// follow fetches the log of the current primary until the context ends.
func (s *Server) follow(ctx context.Context) {
	next := logFetch{from: -1}
	for ctx.Err() == nil {
		next = s.fetch(ctx, next)
	}
}

// fetch fetches and appends one batch of the log, and returns the next batch to fetch. If
// there is no primary or the fetch fails, it waits for a change or a retry interval.
func (s *Server) fetch(ctx context.Context, next logFetch) logFetch {
	s.mu.Lock()
	state, faults, changed := s.replica.PersistentState, s.faults, s.changed
	if next.from < 0 || next.epoch != state.Epoch || next.from > s.replica.Received() {
		next = logFetch{epoch: state.Epoch, from: s.replica.Received()}
	}
	fromEpoch := s.replica.EpochAt(next.from)
	fetchCtx, end := context.WithCancel(ctx)
	s.cancelFetch = end
	s.mu.Unlock()
	defer end()
	if state.Following == "" || faults.StopReceiving || faults.Unresponsive {
		waitForChange(ctx, changed, followWithoutPrimaryUs)
		return next
	}
	url := fmt.Sprintf("http://%s/v1/log?epoch=%d&after=%d&after_epoch=%d&wait_us=%d", state.Following, state.Epoch, next.from, fromEpoch, logWaitUs)
	var response logResponse
	if err := s.get(fetchCtx, url, &response); err != nil {
		end()
		waitForChange(ctx, changed, followAfterErrorUs)
		return next
	}
	if response.RewindTo >= 0 {
		next.from = response.RewindTo
		return next
	}
	if err := s.appendLog(state.Epoch, next.from, response.Entries); err != nil {
		panic(err) // a process that cannot write its log must not serve from it
	}
	next.from = -1
	return next
}

// appendLog appends the entries that the primary of an epoch has after a position, and
// writes them to disk.
func (s *Server) appendLog(epoch uint64, after int64, entries []LogEntry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.StopReceiving || s.faults.Unresponsive {
		return nil
	}
	had := s.replica.Received()
	truncated, ok := s.replica.AppendLog(epoch, after, entries)
	if !ok {
		return nil
	}
	if truncated {
		had = after
	}
	if s.faults.LagUs == 0 && !s.faults.StopApplying {
		s.replica.Apply(s.replica.Received())
	}
	if !truncated && s.replica.Received() <= had {
		return nil
	}
	return s.persist(had, truncated)
}

func (s *Server) get(ctx context.Context, u string, v any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return err
	}
	response, err := s.client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(v)
}

// applyWithLag applies entries whose lag has passed, at an interval until the context ends.
func (s *Server) applyWithLag(ctx context.Context) {
	for waitForChange(ctx, nil, applyIntervalUs) {
		s.applyDue()
	}
}

// applyDue applies the entries whose lag has passed by now, unless the fault StopApplying
// is set.
func (s *Server) applyDue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.StopApplying {
		return
	}
	until, had := s.replica.Applied(), s.replica.Applied()
	for _, e := range s.replica.LogAfter(until) {
		if e.AtUs+s.faults.LagUs > nowUs() {
			break
		}
		until++
	}
	s.replica.Apply(until)
	if s.replica.Applied() != had {
		s.signalChange()
	}
}

// signalChange wakes all goroutines that wait for a change of the replica.
func (s *Server) signalChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// roleRequest is the body of seal, promote and follow requests.
type roleRequest struct {
	Identity string `json:"identity"`
	Epoch    uint64 `json:"epoch"`
	Primary  string `json:"primary"`
}

// roleCall returns a handler that changes the replica's role with f, persists the change
// and then responds with the status.
func (s *Server) roleCall(f func(*Replica, roleRequest) bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var a roleRequest
		if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		had := s.replica.Received()
		ok := f(s.replica, a)
		err := s.persist(had, false)
		st := s.replica.Status()
		s.mu.Unlock()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		if !ok {
			w.WriteHeader(http.StatusConflict)
		}
		writeJSON(w, st)
	}
}

// serveDrain makes the database report in its status that it drains, or that it does not.
func (s *Server) serveDrain(w http.ResponseWriter, r *http.Request) {
	var a struct {
		Draining bool `json:"leaving"`
	}
	if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.replica.Draining = a.Draining
	st := s.replica.Status()
	s.mu.Unlock()
	writeJSON(w, st)
}

// serveOracleLog responds to the checker with the log. Unlike the database interface, it
// also responds while the fault Unresponsive is set.
func (s *Server) serveOracleLog(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	entries := s.replica.LogAfter(queryInteger(r, "after"))
	s.mu.Unlock()
	writeJSON(w, entries)
}

// PostJSON posts a JSON body to a URL and decodes the JSON response into out, unless that is
// nil.
func PostJSON(ctx context.Context, url string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, response.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(out)
}
