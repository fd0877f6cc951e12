package fleetstate

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// Path is the path of the state; ?routes=1 includes the routing table's items.
const (
	Path              = "/v1/state"
	includeItemsQuery = "routes"
)

const (
	// requestTimeout bounds each part of a request: its reading, its answer by the
	// Source, and the rest of an idle connection.
	requestTimeout = 3 * time.Second
	// writeTimeout bounds the writing of an answer; a state with all routes is large.
	writeTimeout = 4 * requestTimeout
	// shutdownTimeout is how long requests in flight hold up the end of the server.
	shutdownTimeout = 100 * time.Millisecond
	// maxHeaderBytes bounds the memory that a request can make the server use.
	maxHeaderBytes = 8 << 10
)

// Source puts the state of the process together, with the routing table's items if
// they are asked for. ok is false where the process could not do so in time.
type Source func(ctx context.Context, includeItems bool) (state ProcessState, ok bool)

// Handler serves the state to operators; more adds what else a process has for them.
func Handler(source Source, more ...func(*http.ServeMux)) http.Handler {
	mux := http.NewServeMux()
	for _, add := range more {
		add(mux)
	}
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, r *http.Request) {
		ctx, stop := context.WithTimeout(r.Context(), requestTimeout)
		defer stop()
		state, ok := source(ctx, r.URL.Query().Get(includeItemsQuery) == "1")
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		body, err := json.Marshal(state)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Write(append(body, '\n'))
	})
	return mux
}

// Serve serves Handler at an address until the context ends. The error is that of
// the listener. It uses no time while nobody asks.
func Serve(ctx context.Context, address string, source Source, more ...func(*http.ServeMux)) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           Handler(source, more...),
		ReadHeaderTimeout: requestTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       requestTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			server.Close()
		}
	})
	err = server.Serve(listener)
	if !stop() {
		<-ended
		return nil
	}
	return err
}
