package pool

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"

	"stoneford/internal/querytable"
	"stoneford/result"
)

// maxBodyBytes bounds the size of a request body.
const maxBodyBytes = 1 << 20

// reply is the body of every reply about sessions and queries.
type reply struct {
	Code          result.Code       `json:"code"`
	Text          string            `json:"text"` // description of Code
	Detail        string            `json:"detail,omitempty"`
	Outcome       result.Outcome    `json:"outcome"`
	Session       string            `json:"session,omitempty"`
	Rows          [][][]string      `json:"rows,omitempty"`           // one table for each statement that returned rows
	RetryAfterUs  int64             `json:"retry_after_us,omitempty"` // delay after which the call should be retried
	Token         *querytable.Token `json:"token,omitempty"`          // to continue the session at another node
	Database      string            `json:"copy,omitempty"`           // database that ran the query
	FromReplica   bool              `json:"replica,omitempty"`        // Database is a replica
	Position      int64             `json:"position,omitempty"`       // position of the data that a read returned
	InTransaction bool              `json:"open,omitempty"`
}

// handler returns the handler of the callers' HTTP interface (docs/operating.md).
func (p *Process) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/sessions", p.openSession)
	m.HandleFunc("DELETE /v1/sessions/{id}", p.closeSession)
	m.HandleFunc("POST /v1/sessions/{id}/values", p.changeSession)
	m.HandleFunc("POST /v1/sessions/{id}/queries", p.querySession)
	m.HandleFunc("GET /v1/ready", p.serveReady)
	m.HandleFunc("GET /v1/counts", p.serveCounts)
	m.Handle("GET /metrics", p.metrics())
	return m
}

// writeJSON writes a JSON body. It ignores write errors, since they mean that the caller
// has disconnected.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// writeReply writes a reply. A stopping node closes the TCP connection afterwards, so
// that the caller's next call reaches another node.
func (p *Process) writeReply(w http.ResponseWriter, r reply) {
	if p.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.RetryAfterUs > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((r.RetryAfterUs+999_999)/1_000_000, 10))
	}
	r.Text = r.Code.String()
	writeJSON(w, r.Code.Row().HTTP, r)
}

// reject replies to a call that had no effect.
func (p *Process) reject(w http.ResponseWriter, c result.Code, detail string) {
	p.writeReply(w, reply{Code: c, Detail: detail, Outcome: result.NoEffect})
}

// readBody decodes a body of one JSON value. On failure it rejects the call and returns
// false. Unknown fields are an error because ignoring them could change the meaning of
// the call.
func (p *Process) readBody(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil && d.More() {
		err = errors.New("more than one JSON value")
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		p.reject(w, result.TooLarge, "")
	case err != nil:
		p.reject(w, result.BadJSON, err.Error())
	}
	return err == nil
}

// serveReady replies whether the node can serve callers: it is not stopping, it has at
// least one group, and the table of every group has been ready since its start.
func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	runners, stopping := *p.sharedRunners.Load(), p.stopping.Load()
	waitingFor := []string{}
	for group, r := range runners {
		if v := r.view.Load(); v == nil || !v.Ready {
			waitingFor = append(waitingFor, group)
		}
	}
	slices.Sort(waitingFor)
	ready := len(runners) > 0 && len(waitingFor) == 0 && !stopping
	status := http.StatusOK
	if !ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, map[string]any{"ready": ready, "stopping": stopping, "waiting_for": waitingFor})
}

// serveCounts replies with the counters and views of the node.
func (p *Process) serveCounts(w http.ResponseWriter, _ *http.Request) {
	groups := map[string]*tableView{}
	for group, r := range *p.sharedRunners.Load() {
		groups[group] = r.view.Load()
	}
	sent, dropped, received := p.links.Counts()
	writeJSON(w, http.StatusOK, map[string]any{
		"groups": groups,
		"node":   p.nodeView.Load(),
		"links":  map[string]uint64{"sent": sent, "dropped": dropped, "received": received},
	})
}
