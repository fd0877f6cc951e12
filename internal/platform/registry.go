package platform

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"stoneford/internal/ports"
)

const (
	pathHeartbeat  = "/stoneford/Instances.Heartbeat/"
	pathDeregister = "/stoneford/Instances.Deregister/"
	pathReplace    = "/stoneford/Config.Replace"
	pathAmend      = "/stoneford/Config.Amend"
	pathFetch      = "/stoneford/Config.Fetch"

	headerBase = "Base-Revision"

	maxBodyBytes      = 4 << 20 // limit for changes
	maxHeartbeatBytes = 64 << 10
)

// ServeControl serves the calls of databases and operators until the context is cancelled.
func ServeControl(ctx context.Context, address string, c ports.Control) error {
	return serveHTTP(ctx, address, registryHandler(c))
}

// registryHandler returns the handler for the calls of databases and operators.
func registryHandler(c ports.Control) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+pathHeartbeat+"{id}", func(w http.ResponseWriter, r *http.Request) { handleHeartbeat(w, r, c) })
	m.HandleFunc("POST "+pathDeregister+"{id}", func(w http.ResponseWriter, r *http.Request) { handleDeregister(w, r, c) })
	m.HandleFunc("POST "+pathReplace, func(w http.ResponseWriter, r *http.Request) { handleChange(w, r, c, true) })
	m.HandleFunc("POST "+pathAmend, func(w http.ResponseWriter, r *http.Request) { handleChange(w, r, c, false) })
	m.HandleFunc("GET "+pathFetch, func(w http.ResponseWriter, r *http.Request) { handleFetch(w, r, c) })
	return m
}

// statusByOutcome maps the outcome of a change to the HTTP status of the reply.
var statusByOutcome = map[ports.Outcome]int{
	ports.Committed:   http.StatusOK,
	ports.Stale:       http.StatusPreconditionFailed,
	ports.Invalid:     http.StatusBadRequest,
	ports.Unavailable: http.StatusServiceUnavailable,
}

// changeReply is the body of the reply to a change.
type changeReply struct {
	Revision uint64   `json:"Revision"`
	Problems []string `json:"Problems,omitempty"`
}

// handleChange applies an operator's change of the routing table, which is a replacement or an
// amendment.
func handleChange(w http.ResponseWriter, r *http.Request, c ports.Control, replace bool) {
	data, ok := readBody(w, r, maxBodyBytes)
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), callTimeoutFor(len(data)))
	defer stop()
	base := strings.Join(r.Header.Values(headerBase), ",") // repeated headers make an invalid revision
	result := c.Change(ctx, readChange(replace, base, data))
	if result.Outcome == ports.Unavailable {
		setRetryAfter(w)
	}
	replyJSON(w, statusByOutcome[result.Outcome], changeReply{result.Revision, result.Problems})
}

// handleFetch replies with the current routing table.
func handleFetch(w http.ResponseWriter, r *http.Request, c ports.Control) {
	ctx, stop := context.WithTimeout(r.Context(), callTimeout)
	defer stop()
	t, ok := c.Fetch(ctx)
	if !ok {
		replyUnavailable(w)
		return
	}
	data := renderTable(t)
	w.Header()["Content-Type"] = jsonType
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.Write(data)
}

// handleHeartbeat accepts a database's heartbeat.
func handleHeartbeat(w http.ResponseWriter, r *http.Request, c ports.Control) {
	data, ok := readBody(w, r, maxHeartbeatBytes)
	if !ok {
		return
	}
	instance, err := readHeartbeat(r.PathValue("id"), data)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	announce(w, r, c, instance)
}

// handleDeregister announces that a database is gone. The body may be a heartbeat with the
// database's details; any other body is ignored.
func handleDeregister(w http.ResponseWriter, r *http.Request, c ports.Control) {
	data, ok := readBody(w, r, maxHeartbeatBytes)
	if !ok {
		return
	}
	instance := ports.Instance{ID: r.PathValue("id")}
	if !isSingleField(instance.ID) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if full, err := readHeartbeat(instance.ID, data); err == nil {
		instance = full
	}
	instance.Gone, instance.Draining = true, true
	announce(w, r, c, instance)
}

// announce passes a database's announcement to the control process, and replies with the
// target of the next heartbeat.
func announce(w http.ResponseWriter, r *http.Request, c ports.Control, instance ports.Instance) {
	ctx, stop := context.WithTimeout(r.Context(), callTimeout)
	defer stop()
	ok, next := c.Announce(ctx, instance)
	if !ok {
		replyUnavailable(w)
		return
	}
	w.Header()["Content-Type"] = jsonType
	if next == "" {
		io.WriteString(w, "{}")
		return
	}
	replyJSON(w, http.StatusOK, heartbeatReply{next})
}
