package fleetstate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"stoneford/internal/ports"
)

const (
	// Path is where the state stands; ?routes=1 brings the routing table's items.
	Path                 = "/v1/state"
	requestTimeout       = 3 * time.Second
	maxStateBytes        = 64 << 20
	maxConcurrentFetches = 64
	shutdownTimeout      = 100 * time.Millisecond
)

// Source puts the state together; whole asks for the routing table's items. False
// says that the process could not.
type Source func(ctx context.Context, includeItems bool) (ProcessState, bool)

// Handler answers operators; more mounts what else a process has for them.
func Handler(source Source, more ...func(*http.ServeMux)) http.Handler {
	mux := http.NewServeMux()
	for _, f := range more {
		f(mux)
	}
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, r *http.Request) {
		ctx, stop := context.WithTimeout(r.Context(), requestTimeout)
		defer stop()
		state, ok := source(ctx, r.URL.Query().Get("routes") == "1")
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		b, err := json.Marshal(state)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Write(append(b, '\n'))
	})
	return mux
}

// Serve answers at an address until the context ends. Nothing runs while nobody
// asks but the wait for a connection.
func Serve(ctx context.Context, address string, source Source, more ...func(*http.ServeMux)) error {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: Handler(source, more...), ReadHeaderTimeout: requestTimeout, ReadTimeout: requestTimeout, WriteTimeout: 4 * requestTimeout,
		IdleTimeout: requestTimeout, MaxHeaderBytes: 8 << 10}
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if srv.Shutdown(ctx) != nil {
			srv.Close()
		}
	})
	err = srv.Serve(ln)
	if !stop() {
		<-ended
		return nil
	}
	return err
}

// Fetch asks one process.
func Fetch(ctx context.Context, address string, includeItems bool) (ProcessState, error) {
	ctx, stop := context.WithTimeout(ctx, 2*requestTimeout)
	defer stop()
	u := "http://" + address + Path
	if includeItems {
		u += "?routes=1"
	}
	var s ProcessState
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return s, err
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return s, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return s, fmt.Errorf("%s: %s", address, res.Status)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxStateBytes)).Decode(&s); err != nil {
		return s, fmt.Errorf("%s: %w", address, err)
	}
	if s.Kind == "" {
		return s, fmt.Errorf("%s: no process of stoneford's told its state there", address)
	}
	return s, nil
}

// FetchResult is what came of asking one process.
type FetchResult struct {
	Address string
	State   ProcessState
	Err     error
}

// FetchAll asks all, many at once; the replies stand in the order of the addresses.
func FetchAll(ctx context.Context, addresses []string, includeItems bool) []FetchResult {
	results := make([]FetchResult, len(addresses))
	var g sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentFetches)
	for i, a := range addresses {
		slots <- struct{}{}
		g.Go(func() {
			defer func() { <-slots }()
			s, err := Fetch(ctx, a, includeItems)
			results[i] = FetchResult{Address: a, State: s, Err: err}
		})
	}
	g.Wait()
	return results
}

// StateAddress is where the process that others reach at node tells its state.
func StateAddress(node string) (string, error) {
	h, p, err := net.SplitHostPort(node)
	if err != nil {
		return "", err
	}
	n, err := strconv.Atoi(p)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(h, strconv.Itoa(n+ports.StatePortOffset)), nil
}

// FirstControl is the first control process among the replies.
func FirstControl(results []FetchResult) (ProcessState, error) {
	var all []error
	for _, r := range results {
		if r.Err == nil && r.State.Control != nil {
			return r.State, nil
		}
		all = append(all, r.Err)
	}
	return ProcessState{}, errors.Join(append(all, errors.New("none of these is a control process that replies"))...)
}
