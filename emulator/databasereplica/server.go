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

// Faults are set by the fleet runner.
type Faults struct {
	ServiceUs     int64 `json:"service_us"`     // time each run takes
	LagUs         int64 `json:"lag_us"`         // a commit is applied no earlier than this after it
	StopReceiving bool  `json:"stop_receiving"` // the copy takes no log
	StopApplying  bool  `json:"stop_applying"`  // the copy applies no log
	LoseResponses int   `json:"lose_returns"`   // so many runs are run and never returned
	Unresponsive  bool  `json:"dark"`           // nothing is returned at all
}

// RunRequest is the body of a run.
type RunRequest struct {
	Epoch    uint64      `json:"epoch"`
	ReadOnly bool        `json:"read_only,omitempty"`
	Ops      []Operation `json:"ops"`
}

// RunResponse is its return.
type RunResponse struct {
	Refused string   `json:"refused,omitempty"`
	Results []Result `json:"results,omitempty"`
	Epoch   uint64   `json:"epoch"`
	Applied int64    `json:"applied"`
	AtUs    int64    `json:"at_us"`
}

type diskEntry struct {
	State       *PersistentState `json:"kept,omitempty"`
	Entry       *LogEntry        `json:"entry,omitempty"`
	TruncatedTo *int64           `json:"cut,omitempty"`
}

// Server runs a Copy. Its log is written before a return leaves but not
// synced: what fails here is processes, not machines.
type Server struct {
	mu         sync.Mutex
	replica    *Replica
	wal        *wal.Log
	nextIndex  uint64
	changed    chan struct{}
	faults     Faults
	client     *http.Client
	persisted  PersistentState
	cancelPull context.CancelFunc // ends the pull under way
}

// NewServer opens the log in the folder and restores the copy from it.
func NewServer(name, identity, folder string, limit int, from net.Addr, f Faults) (*Server, error) {
	w, err := wal.Open(folder, &wal.Options{NoSync: true, LogFormat: wal.JSON, NoCopy: false, SegmentSize: 20 << 20, SegmentCacheSize: 2})
	if err != nil {
		return nil, err
	}
	s := &Server{replica: New(name, identity, limit, rand.Int64N(1<<30)<<32), wal: w, changed: make(chan struct{}), faults: f,
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4, DialContext: (&net.Dialer{LocalAddr: from}).DialContext}}}
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

// persist writes what changed since the log was `had` long, and wakes who waits.
func (s *Server) persist(had int64, partitioned bool) error {
	if s.persisted != s.replica.PersistentState {
		if s.cancelPull != nil {
			s.cancelPull() // whom it follows may have changed
		}
		k := s.replica.PersistentState
		if err := s.append(diskEntry{State: &k}); err != nil {
			return err
		}
		s.persisted = k
	}
	if partitioned {
		if err := s.append(diskEntry{TruncatedTo: &had}); err != nil {
			return err
		}
	}
	for _, e := range s.replica.Log(had) {
		if err := s.append(diskEntry{Entry: &e}); err != nil {
			return err
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

func nowUs() int64 { return time.Now().UnixMicro() }

// Serve serves on the listener until the context ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/status", s.status)
	m.HandleFunc("POST /v1/connections", s.open)
	m.HandleFunc("DELETE /v1/connections/{id}", s.close)
	m.HandleFunc("POST /v1/connections/{id}", s.run)
	m.HandleFunc("GET /v1/log", s.serveLog)
	m.HandleFunc("POST /v1/seal", s.roleCall(func(c *Replica, a roleRequest) bool { return c.Seal(a.Epoch) }))
	m.HandleFunc("POST /v1/promote", s.roleCall(func(c *Replica, a roleRequest) bool { return c.Promote(a.Epoch, a.Identity, nowUs()) }))
	m.HandleFunc("POST /v1/follow", s.roleCall(func(c *Replica, a roleRequest) bool { return c.Follow(a.Epoch, a.Primary) }))
	m.HandleFunc("POST /v1/leave", s.drain)
	m.HandleFunc("POST /faults", s.setFaults)
	m.HandleFunc("GET /truth/log", s.serveOracleLog)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.currentFaults().Unresponsive && r.URL.Path != "/faults" && r.URL.Path != "/truth/log" {
			<-r.Context().Done()
			return
		}
		m.ServeHTTP(w, r)
	})
	hs := &http.Server{Handler: h, BaseContext: func(net.Listener) context.Context { return ctx }}
	go s.follow(ctx)
	go s.applyWithLag(ctx)
	go func() { <-ctx.Done(); hs.Close() }()
	if err := hs.Serve(l); err != http.ErrServerClosed {
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

// status may wait until received or applied has come to a position.
func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	rec, app, until := queryInteger(r, "received"), queryInteger(r, "applied"), nowUs()+queryInteger(r, "wait_us")
	for {
		s.mu.Lock()
		st, ch := s.replica.Status(), s.changed
		s.mu.Unlock()
		left := until - nowUs()
		if st.Received >= rec && st.Applied >= app || left <= 0 {
			writeJSON(w, st)
			return
		}
		if !waitForChange(r.Context(), ch, left) {
			return
		}
	}
}

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

func (s *Server) open(w http.ResponseWriter, r *http.Request) {
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

func (s *Server) close(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.replica.Close(pathID(r))
	s.mu.Unlock()
	writeJSON(w, struct{}{})
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	var rc RunRequest
	if err := json.NewDecoder(r.Body).Decode(&rc); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if d := s.currentFaults().ServiceUs; d > 0 {
		time.Sleep(time.Duration(d) * time.Microsecond)
	}
	s.mu.Lock()
	had := s.replica.Received()
	rs, ref := s.replica.Run(pathID(r), rc.Epoch, rc.Ops, rc.ReadOnly, nowUs())
	var err error
	if s.replica.Received() != had {
		err = s.persist(had, false)
	}
	out := RunResponse{Refused: ref, Results: rs, Epoch: s.replica.Epoch, Applied: s.replica.Applied(), AtUs: nowUs()}
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

type logResponse struct {
	Entries []LogEntry `json:"entries,omitempty"`
	Back    int64      `json:"back"`
}

func (s *Server) serveLog(w http.ResponseWriter, r *http.Request) {
	until := nowUs() + queryInteger(r, "wait_us")
	for {
		s.mu.Lock()
		es, back, ok := s.replica.LogFor(uint64(queryInteger(r, "epoch")), queryInteger(r, "after"), uint64(queryInteger(r, "after_epoch")), 500)
		ch := s.changed
		s.mu.Unlock()
		if !ok {
			http.Error(w, "not the primary of that epoch", http.StatusConflict)
			return
		}
		left := until - nowUs()
		if len(es) > 0 || back >= 0 || left <= 0 {
			writeJSON(w, logResponse{Entries: es, Back: back})
			return
		}
		if !waitForChange(r.Context(), ch, left) {
			return
		}
	}
}

// follow takes the primary's log for as long as there is one to follow.
func (s *Server) follow(ctx context.Context) {
	requested := int64(-1) // where to ask from when the logs parted
	var epoch uint64
	for ctx.Err() == nil {
		s.mu.Lock()
		k, f, ch := s.replica.PersistentState, s.faults, s.changed
		if requested < 0 || epoch != k.Epoch || requested > s.replica.Received() {
			requested, epoch = s.replica.Received(), k.Epoch
		}
		ae := s.replica.EpochAt(requested)
		pull, end := context.WithCancel(ctx)
		s.cancelPull = end
		s.mu.Unlock()
		if k.Following == "" || f.StopReceiving || f.Unresponsive {
			end()
			waitForChange(ctx, ch, 20_000)
			continue
		}
		u := fmt.Sprintf("http://%s/v1/log?epoch=%d&after=%d&after_epoch=%d&wait_us=500000", k.Following, k.Epoch, requested, ae)
		var lr logResponse
		err := s.get(pull, u, &lr)
		end()
		if err != nil {
			waitForChange(ctx, ch, 50_000)
			continue
		}
		if lr.Back >= 0 {
			requested = lr.Back
			continue
		}
		s.mu.Lock()
		if !s.faults.StopReceiving && !s.faults.Unresponsive {
			had := s.replica.Received()
			if partitioned, ok := s.replica.AppendLog(k.Epoch, requested, lr.Entries); ok {
				if partitioned {
					had = requested
				}
				if s.faults.LagUs == 0 && !s.faults.StopApplying {
					s.replica.Apply(s.replica.Received())
				}
				if partitioned || s.replica.Received() > had {
					if err := s.persist(had, partitioned); err != nil {
						panic(err)
					}
				}
			}
		}
		requested = -1
		s.mu.Unlock()
	}
}

func (s *Server) get(ctx context.Context, u string, v any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return err
	}
	rs, err := s.client.Do(r)
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", rs.StatusCode)
	}
	return json.NewDecoder(rs.Body).Decode(v)
}

// applyWithLag applies what lag held back.
func (s *Server) applyWithLag(ctx context.Context) {
	for waitForChange(ctx, nil, 5_000) {
		s.mu.Lock()
		if !s.faults.StopApplying {
			until, had := s.replica.Applied(), s.replica.Applied()
			for _, e := range s.replica.Log(until) {
				if e.AtUs+s.faults.LagUs > nowUs() {
					break
				}
				until++
			}
			s.replica.Apply(until)
			if s.replica.Applied() != had {
				close(s.changed)
				s.changed = make(chan struct{})
			}
		}
		s.mu.Unlock()
	}
}

type roleRequest struct {
	Identity string `json:"identity"`
	Epoch    uint64 `json:"epoch"`
	Primary  string `json:"primary"`
}

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

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	var a struct {
		Leaving bool `json:"leaving"`
	}
	if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.replica.Draining = a.Leaving
	st := s.replica.Status()
	s.mu.Unlock()
	writeJSON(w, st)
}

func (s *Server) serveOracleLog(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	es := s.replica.Log(queryInteger(r, "after"))
	s.mu.Unlock()
	writeJSON(w, es)
}

// Call posts a JSON body to a stand-in and reads its JSON return; tools use it.
func Call(ctx context.Context, url string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return err
	}
	rs, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, rs.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(rs.Body).Decode(out)
}
