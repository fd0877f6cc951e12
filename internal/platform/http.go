package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// callTimeout limits how long a call waits for the control process. It is below one
	// second, after which clients call another node.
	callTimeout = 950 * time.Millisecond
	// callTimeoutPerKilobyte is added to callTimeout for each KiB of a change's body.
	callTimeoutPerKilobyte = 10 * time.Millisecond
	// retryAfterSeconds is the Retry-After value of calls that cannot be served now.
	retryAfterSeconds = "1"
)

// newHTTPServer returns a server with the timeouts and limits of all HTTP servers of this
// package.
func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: 3 * time.Second, ReadTimeout: 15 * time.Second, WriteTimeout: 30 * time.Second,
		IdleTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10}
}

// serveHTTP serves requests until the context is cancelled. It then waits up to
// lingerTimeout for the replies to requests in flight.
func serveHTTP(ctx context.Context, address string, h http.Handler) error {
	listener, err := listen(ctx, address)
	if err != nil {
		return err
	}
	s := newHTTPServer(h)
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lingerTimeout)
		defer cancel()
		if s.Shutdown(ctx) != nil {
			s.Close()
		}
	})
	err = s.Serve(listener)
	if !stop() {
		<-ended
		return nil
	}
	return err
}

// callTimeoutFor returns the timeout of a call whose body has the given number of bytes.
func callTimeoutFor(bytes int) time.Duration {
	return callTimeout + time.Duration(bytes/1024)*callTimeoutPerKilobyte
}

// setRetryAfter sets the header that makes clients retry at this node later.
func setRetryAfter(w http.ResponseWriter) { w.Header().Set("Retry-After", retryAfterSeconds) }

// replyUnavailable replies that this node cannot serve a call now. The reply leaves open
// whether the call takes effect; the client calls another node, or retries.
func replyUnavailable(w http.ResponseWriter) {
	setRetryAfter(w)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// readBody reads a request's body. If that fails, it replies with an error and returns
// false. An incomplete body does not show that the request is invalid, so the reply is 408,
// after which the client sends the request once more.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		// The body arrived too slowly, which does not make the request invalid.
		w.WriteHeader(http.StatusRequestTimeout)
	case err != nil:
		w.WriteHeader(http.StatusRequestTimeout)
	}
	return data, err == nil
}

// replyJSON sends a reply with a JSON body.
func replyJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header()["Content-Type"] = jsonType
	w.WriteHeader(status)
	w.Write(data)
}

var jsonType = []string{"application/json"}
