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

	"stoneford/ports"
)

const (
	// Path is where the state stands; ?routes=1 brings the routing table's items.
	Path      = "/v1/state"
	askTime   = 3 * time.Second
	mostState = 64 << 20
	atOnce    = 64
	leaveTime = 100 * time.Millisecond
)

// Source puts the state together; whole asks for the routing table's items. False
// says that the process could not.
type Source func(ctx context.Context, whole bool) (State, bool)

// Handler answers operators; more mounts what else a process has for them.
func Handler(s Source, more ...func(*http.ServeMux)) http.Handler {
	m := http.NewServeMux()
	for _, f := range more {
		f(m)
	}
	m.HandleFunc("GET "+Path, func(w http.ResponseWriter, r *http.Request) {
		ctx, stop := context.WithTimeout(r.Context(), askTime)
		defer stop()
		st, ok := s(ctx, r.URL.Query().Get("routes") == "1")
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		b, err := json.Marshal(st)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Write(append(b, '\n'))
	})
	return m
}

// Serve answers at an address until the context ends. Nothing runs while nobody
// asks but the wait for a connection.
func Serve(ctx context.Context, address string, s Source, more ...func(*http.ServeMux)) error {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: Handler(s, more...), ReadHeaderTimeout: askTime, ReadTimeout: askTime, WriteTimeout: 4 * askTime,
		IdleTimeout: askTime, MaxHeaderBytes: 8 << 10}
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTime)
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

// Ask asks one process.
func Ask(ctx context.Context, address string, whole bool) (State, error) {
	ctx, stop := context.WithTimeout(ctx, 2*askTime)
	defer stop()
	u := "http://" + address + Path
	if whole {
		u += "?routes=1"
	}
	var s State
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
	if err := json.NewDecoder(io.LimitReader(res.Body, mostState)).Decode(&s); err != nil {
		return s, fmt.Errorf("%s: %w", address, err)
	}
	if s.Kind == "" {
		return s, fmt.Errorf("%s: no process of stoneford's told its state there", address)
	}
	return s, nil
}

// Reply is what came of asking one process.
type Reply struct {
	At    string
	State State
	Err   error
}

// AskAll asks all, many at once; the replies stand in the order of the addresses.
func AskAll(ctx context.Context, addresses []string, whole bool) []Reply {
	rs := make([]Reply, len(addresses))
	var g sync.WaitGroup
	turn := make(chan struct{}, atOnce)
	for i, a := range addresses {
		turn <- struct{}{}
		g.Go(func() {
			defer func() { <-turn }()
			s, err := Ask(ctx, a, whole)
			rs[i] = Reply{At: a, State: s, Err: err}
		})
	}
	g.Wait()
	return rs
}

// At is where the process that others reach at node tells its state.
func At(node string) (string, error) {
	h, p, err := net.SplitHostPort(node)
	if err != nil {
		return "", err
	}
	n, err := strconv.Atoi(p)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(h, strconv.Itoa(n+ports.StateAfter)), nil
}

// FirstControl is the first control process among the replies.
func FirstControl(rs []Reply) (State, error) {
	var all []error
	for _, r := range rs {
		if r.Err == nil && r.State.Control != nil {
			return r.State, nil
		}
		all = append(all, r.Err)
	}
	return State{}, errors.Join(append(all, errors.New("none of these is a control process that replies"))...)
}
