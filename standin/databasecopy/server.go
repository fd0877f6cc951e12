package databasecopy

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
	LoseReturns   int   `json:"lose_returns"`   // so many runs are run and never returned
	Dark          bool  `json:"dark"`           // nothing is returned at all
}

// RunCall is the body of a run.
type RunCall struct {
	Epoch    uint64 `json:"epoch"`
	ReadOnly bool   `json:"read_only,omitempty"`
	Ops      []Op   `json:"ops"`
}

// RunReturn is its return.
type RunReturn struct {
	Refused string   `json:"refused,omitempty"`
	Results []Result `json:"results,omitempty"`
	Epoch   uint64   `json:"epoch"`
	Applied int64    `json:"applied"`
	AtUs    int64    `json:"at_us"`
}

type diskEntry struct {
	Kept  *Kept     `json:"kept,omitempty"`
	Entry *LogEntry `json:"entry,omitempty"`
	Cut   *int64    `json:"cut,omitempty"`
}

// Server runs a Copy. Its log is written before a return leaves but not
// synced: what fails here is processes, not machines.
type Server struct {
	mu     sync.Mutex
	c      *Copy
	w      *wal.Log
	next   uint64
	news   chan struct{}
	faults Faults
	client *http.Client
	kept   Kept
	unpull context.CancelFunc // ends the pull under way
}

// NewServer opens the log in the folder and restores the copy from it.
func NewServer(name, identity, folder string, limit int, from net.Addr, f Faults) (*Server, error) {
	w, err := wal.Open(folder, &wal.Options{NoSync: true, LogFormat: wal.JSON, NoCopy: false, SegmentSize: 20 << 20, SegmentCacheSize: 2})
	if err != nil {
		return nil, err
	}
	s := &Server{c: New(name, identity, limit, rand.Int64N(1<<30)<<32), w: w, news: make(chan struct{}), faults: f,
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4, DialContext: (&net.Dialer{LocalAddr: from}).DialContext}}}
	last, err := w.LastIndex()
	if err != nil {
		return nil, err
	}
	k := Kept{}
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
		case d.Kept != nil:
			k = *d.Kept
		case d.Entry != nil:
			log = append(log, *d.Entry)
		case d.Cut != nil:
			log = log[:*d.Cut]
		}
	}
	s.next = last + 1
	if last > 0 {
		s.c.Restore(k, log)
		s.kept = k
	} else if err := s.keep(0, false); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Server) append(d diskEntry) error {
	b, err := json.Marshal(d)
	if err != nil {
		return err
	}
	if err := s.w.Write(s.next, b); err != nil {
		return err
	}
	s.next++
	return nil
}

// keep writes what changed since the log was `had` long, and wakes who waits.
func (s *Server) keep(had int64, cut bool) error {
	if s.kept != s.c.Kept {
		if s.unpull != nil {
			s.unpull() // whom it follows may have changed
		}
		k := s.c.Kept
		if err := s.append(diskEntry{Kept: &k}); err != nil {
			return err
		}
		s.kept = k
	}
	if cut {
		if err := s.append(diskEntry{Cut: &had}); err != nil {
			return err
		}
	}
	for _, e := range s.c.Log(had) {
		if err := s.append(diskEntry{Entry: &e}); err != nil {
			return err
		}
	}
	close(s.news)
	s.news = make(chan struct{})
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
	m.HandleFunc("GET /v1/log", s.giveLog)
	m.HandleFunc("POST /v1/seal", s.roleCall(func(c *Copy, a roleArgs) bool { return c.Seal(a.Epoch) }))
	m.HandleFunc("POST /v1/promote", s.roleCall(func(c *Copy, a roleArgs) bool { return c.Promote(a.Epoch, a.Identity, nowUs()) }))
	m.HandleFunc("POST /v1/follow", s.roleCall(func(c *Copy, a roleArgs) bool { return c.Follow(a.Epoch, a.Primary) }))
	m.HandleFunc("POST /v1/leave", s.leave)
	m.HandleFunc("POST /faults", s.setFaults)
	m.HandleFunc("GET /truth/log", s.truth)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.f().Dark && r.URL.Path != "/faults" && r.URL.Path != "/truth/log" {
			<-r.Context().Done()
			return
		}
		m.ServeHTTP(w, r)
	})
	hs := &http.Server{Handler: h, BaseContext: func(net.Listener) context.Context { return ctx }}
	go s.follow(ctx)
	go s.applyLate(ctx)
	go func() { <-ctx.Done(); hs.Close() }()
	if err := hs.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func (s *Server) f() Faults {
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
	give(w, s.faults)
}

func give(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func num(r *http.Request, k string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(k), 10, 64)
	return n
}

// status may wait until received or applied has come to a position.
func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	rec, app, until := num(r, "received"), num(r, "applied"), nowUs()+num(r, "wait_us")
	for {
		s.mu.Lock()
		st, ch := s.c.Status(), s.news
		s.mu.Unlock()
		left := until - nowUs()
		if st.Received >= rec && st.Applied >= app || left <= 0 {
			give(w, st)
			return
		}
		if !wait(r.Context(), ch, left) {
			return
		}
	}
}

func wait(ctx context.Context, ch chan struct{}, us int64) bool {
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
	id, ok := s.c.Open(a.Owner, a.Run, nowUs())
	s.mu.Unlock()
	if !ok {
		http.Error(w, "connection limit reached", http.StatusServiceUnavailable)
		return
	}
	give(w, map[string]int64{"connection": id})
}

func pathID(r *http.Request) int64 {
	n, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	return n
}

func (s *Server) close(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.c.Close(pathID(r))
	s.mu.Unlock()
	give(w, struct{}{})
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	var rc RunCall
	if err := json.NewDecoder(r.Body).Decode(&rc); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if d := s.f().ServiceUs; d > 0 {
		time.Sleep(time.Duration(d) * time.Microsecond)
	}
	s.mu.Lock()
	had := s.c.Received()
	rs, ref := s.c.Run(pathID(r), rc.Epoch, rc.Ops, rc.ReadOnly, nowUs())
	var err error
	if s.c.Received() != had {
		err = s.keep(had, false)
	}
	out := RunReturn{Refused: ref, Results: rs, Epoch: s.c.Epoch, Applied: s.c.Applied(), AtUs: nowUs()}
	lost := s.faults.LoseReturns > 0
	if lost {
		s.faults.LoseReturns--
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
	give(w, out)
}

type logReturn struct {
	Entries []LogEntry `json:"entries,omitempty"`
	Back    int64      `json:"back"`
}

func (s *Server) giveLog(w http.ResponseWriter, r *http.Request) {
	until := nowUs() + num(r, "wait_us")
	for {
		s.mu.Lock()
		es, back, ok := s.c.Give(uint64(num(r, "epoch")), num(r, "after"), uint64(num(r, "after_epoch")), 500)
		ch := s.news
		s.mu.Unlock()
		if !ok {
			http.Error(w, "not the primary of that epoch", http.StatusConflict)
			return
		}
		left := until - nowUs()
		if len(es) > 0 || back >= 0 || left <= 0 {
			give(w, logReturn{Entries: es, Back: back})
			return
		}
		if !wait(r.Context(), ch, left) {
			return
		}
	}
}

// follow takes the primary's log for as long as there is one to follow.
func (s *Server) follow(ctx context.Context) {
	asked := int64(-1) // where to ask from when the logs parted
	var epoch uint64
	for ctx.Err() == nil {
		s.mu.Lock()
		k, f, ch := s.c.Kept, s.faults, s.news
		if asked < 0 || epoch != k.Epoch || asked > s.c.Received() {
			asked, epoch = s.c.Received(), k.Epoch
		}
		ae := s.c.EpochAt(asked)
		pull, end := context.WithCancel(ctx)
		s.unpull = end
		s.mu.Unlock()
		if k.Following == "" || f.StopReceiving || f.Dark {
			end()
			wait(ctx, ch, 20_000)
			continue
		}
		u := fmt.Sprintf("http://%s/v1/log?epoch=%d&after=%d&after_epoch=%d&wait_us=500000", k.Following, k.Epoch, asked, ae)
		var lr logReturn
		err := s.get(pull, u, &lr)
		end()
		if err != nil {
			wait(ctx, ch, 50_000)
			continue
		}
		if lr.Back >= 0 {
			asked = lr.Back
			continue
		}
		s.mu.Lock()
		if !s.faults.StopReceiving && !s.faults.Dark {
			had := s.c.Received()
			if cut, ok := s.c.Take(k.Epoch, asked, lr.Entries); ok {
				if cut {
					had = asked
				}
				if s.faults.LagUs == 0 && !s.faults.StopApplying {
					s.c.Apply(s.c.Received())
				}
				if cut || s.c.Received() > had {
					if err := s.keep(had, cut); err != nil {
						panic(err)
					}
				}
			}
		}
		asked = -1
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

// applyLate applies what lag held back.
func (s *Server) applyLate(ctx context.Context) {
	for wait(ctx, nil, 5_000) {
		s.mu.Lock()
		if !s.faults.StopApplying {
			until, had := s.c.Applied(), s.c.Applied()
			for _, e := range s.c.Log(until) {
				if e.AtUs+s.faults.LagUs > nowUs() {
					break
				}
				until++
			}
			s.c.Apply(until)
			if s.c.Applied() != had {
				close(s.news)
				s.news = make(chan struct{})
			}
		}
		s.mu.Unlock()
	}
}

type roleArgs struct {
	Identity string `json:"identity"`
	Epoch    uint64 `json:"epoch"`
	Primary  string `json:"primary"`
}

func (s *Server) roleCall(f func(*Copy, roleArgs) bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var a roleArgs
		if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		had := s.c.Received()
		ok := f(s.c, a)
		err := s.keep(had, false)
		st := s.c.Status()
		s.mu.Unlock()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		if !ok {
			w.WriteHeader(http.StatusConflict)
		}
		give(w, st)
	}
}

func (s *Server) leave(w http.ResponseWriter, r *http.Request) {
	var a struct {
		Leaving bool `json:"leaving"`
	}
	if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.c.Leaving = a.Leaving
	st := s.c.Status()
	s.mu.Unlock()
	give(w, st)
}

func (s *Server) truth(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	es := s.c.Log(num(r, "after"))
	s.mu.Unlock()
	give(w, es)
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
