package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"stoneford/emulator/databasereplica"
	"stoneford/internal/databaseclient"
)

const (
	// readyInterval is the time between two checks of the pool nodes.
	readyInterval = 200 * time.Millisecond
	// readyTimeout bounds the check of a node. A node that takes longer is not ready.
	readyTimeout = 300 * time.Millisecond
	// takeoverTimeout bounds the calls to all databases of one takeover.
	takeoverTimeout = time.Second
)

// Server serves the platform's HTTP interface.
type Server struct {
	mu      sync.Mutex
	nodes   []string          // addresses of all pool nodes for callers
	ready   []string          // addresses of the ready pool nodes, sorted
	epochs  map[string]uint64 // highest epoch of a takeover, by group
	targets map[string]string // database promoted in that epoch, by group
	actions Actions
}

// Actions are the platform's operations on processes.
type Actions struct {
	// Replace replaces a database by an empty one if its data has the given identity. If
	// the identity differs, it does nothing, so that it is idempotent.
	Replace func(database, identity string) error
	// Stop stops a machine's pool node gracefully.
	Stop func(machine string) error
}

// New returns a platform with the pool nodes at these addresses.
func New(nodes []string, actions Actions) *Server {
	return &Server{nodes: slices.Clone(nodes), actions: actions, epochs: map[string]uint64{}, targets: map[string]string{}}
}

type takeoverRequest struct {
	Group    string                  `json:"group"`
	Target   string                  `json:"target"`
	Identity string                  `json:"identity"`
	Epoch    uint64                  `json:"epoch"`
	Members  []databaseclient.Member `json:"members"`
}

// Serve serves the platform's interface and checks the pool nodes until the context ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/takeover", s.takeover)
	m.HandleFunc("GET /v1/nodes", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		json.NewEncoder(w).Encode(s.ready)
	})
	m.HandleFunc("POST /v1/replace", s.serveAction(func(a actionRequest) error { return s.actions.Replace(a.Database, a.Identity) }))
	m.HandleFunc("POST /v1/stop", s.serveAction(func(a actionRequest) error { return s.actions.Stop(a.Machine) }))
	httpServer := &http.Server{Handler: m}
	go s.watchNodes(ctx)
	go func() { <-ctx.Done(); httpServer.Close() }()
	if err := httpServer.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// SetPoolNodes replaces the addresses of the pool nodes.
func (s *Server) SetPoolNodes(nodes []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = slices.Clone(nodes)
}

type actionRequest struct {
	Database string `json:"database"`
	Address  string `json:"address"`
	Identity string `json:"identity"`
	Machine  string `json:"machine"`
}

// serveAction returns a handler that decodes a request and passes it to f. If f fails, the
// handler responds with the error and the status 409.
func (s *Server) serveAction(f func(actionRequest) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var a actionRequest
		if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := f(a); err != nil {
			w.WriteHeader(http.StatusConflict)
			json.NewEncoder(w).Encode(map[string]string{"error": err.Error()})
			return
		}
		json.NewEncoder(w).Encode(struct{}{})
	}
}

// watchNodes updates the list of ready nodes at an interval until the context ends.
func (s *Server) watchNodes(ctx context.Context) {
	c := &http.Client{Timeout: readyTimeout}
	for ctx.Err() == nil {
		s.mu.Lock()
		nodes := slices.Clone(s.nodes)
		s.mu.Unlock()
		ready := readyNodes(c, nodes)
		s.mu.Lock()
		s.ready = ready
		s.mu.Unlock()
		t := time.NewTimer(readyInterval)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// readyNodes returns the nodes that report that they are ready, sorted.
func readyNodes(c *http.Client, nodes []string) []string {
	var mu sync.Mutex
	var wg sync.WaitGroup
	ready := []string{}
	for _, n := range nodes {
		wg.Go(func() {
			r, err := c.Get("http://" + n + "/v1/ready")
			if err != nil {
				return
			}
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				mu.Lock()
				ready = append(ready, n)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	slices.Sort(ready)
	return ready
}

// takeover promotes the target and makes the other members follow it. It is idempotent. It
// rejects an epoch below the group's highest so far, and another target in the same epoch.
func (s *Server) takeover(w http.ResponseWriter, r *http.Request) {
	var t takeoverRequest
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reject := func(why string) {
		w.WriteHeader(http.StatusConflict)
		json.NewEncoder(w).Encode(map[string]string{"error": why})
	}
	s.mu.Lock()
	newestEpoch, newestTarget := s.epochs[t.Group], s.targets[t.Group]
	if t.Epoch > newestEpoch {
		s.epochs[t.Group], s.targets[t.Group] = t.Epoch, t.Target
	}
	s.mu.Unlock()
	if t.Epoch < newestEpoch {
		reject("a later epoch was asked for")
		return
	}
	if t.Epoch == newestEpoch && newestTarget != t.Target {
		reject("another target was asked for in this epoch")
		return
	}
	i := slices.IndexFunc(t.Members, func(m databaseclient.Member) bool { return m.Name == t.Target })
	if i < 0 {
		reject("the target is not among the members")
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), takeoverTimeout)
	defer stop()
	addr := t.Members[i].Address
	if err := databasereplica.PostJSON(ctx, "http://"+addr+"/v1/promote", map[string]any{"epoch": t.Epoch, "identity": t.Identity}, nil); err != nil {
		reject(err.Error())
		return
	}
	var wg sync.WaitGroup
	for _, m := range t.Members {
		if m.Name != t.Target {
			// A member that does not respond follows when the takeover is requested again.
			wg.Go(func() {
				_ = databasereplica.PostJSON(ctx, "http://"+m.Address+"/v1/follow", map[string]any{"epoch": t.Epoch, "primary": addr}, nil)
			})
		}
	}
	wg.Wait()
	json.NewEncoder(w).Encode(struct{}{})
}
