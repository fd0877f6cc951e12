package fleetstate

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// Path is the HTTP path of the state; ?routes=1 includes the routing table's items.
const (
	Path              = "/v1/state"
	includeItemsQuery = "routes"
)

const (
	// requestTimeout bounds the reading of a request, the call of the Source, and the
	// idle time of a connection, each on its own.
	requestTimeout = 3 * time.Second
	// writeTimeout bounds the writing of a response; a state with all routes is large.
	writeTimeout = 4 * requestTimeout
	// shutdownTimeout is the time that requests in flight have to end at a shutdown.
	shutdownTimeout = 100 * time.Millisecond
	// maxHeaderBytes bounds the memory for a request's header.
	maxHeaderBytes = 8 << 10
)

// Source returns the state of the process, with the routing table's items if includeItems
// is set. ok is false if the process did not provide the state in time.
type Source func(ctx context.Context, includeItems bool) (state ProcessState, ok bool)

// Handler returns a handler that serves the state to operators. Each function in more
// registers further handlers of the process.
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

// Serve serves Handler on an address until the context ends. It returns an error only if
// listening or accepting fails. It does no work between requests.
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
