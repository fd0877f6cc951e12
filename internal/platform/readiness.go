package platform

import (
	"context"
	"net/http"
)

const pathReady = "/stoneford/readiness"

// ReadinessServer serves the readiness check of a node at its address. It implements
// sessionpool.ReadinessServer.
type ReadinessServer struct{ Address string }

// Serve answers readiness checks with the result of ready until the context is cancelled.
func (p ReadinessServer) Serve(ctx context.Context, ready func() bool) error {
	return serveHTTP(ctx, p.Address, readinessHandler(ready))
}

// readinessHandler answers 200 if the node is ready, and 503 if it is not.
func readinessHandler(ready func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != pathReady:
			w.WriteHeader(http.StatusNotFound)
		case ready():
			w.WriteHeader(http.StatusOK)
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
