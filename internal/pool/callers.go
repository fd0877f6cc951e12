package pool

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"

	"github.com/samber/lo"

	"stoneford/internal/querytable"
	"stoneford/result"
)

const maxBodyBytes = 1 << 20

// reply is the shape of every return to a caller.
type reply struct {
	Code          result.Code       `json:"code"`
	Text          string            `json:"text"`
	Detail        string            `json:"detail,omitempty"`
	Outcome       result.Outcome    `json:"outcome"`
	Session       string            `json:"session,omitempty"`
	Rows          [][][]string      `json:"rows,omitempty"`
	RetryAfterUs  int64             `json:"retry_after_us,omitempty"`
	Token         *querytable.Token `json:"token,omitempty"`
	Database      string            `json:"copy,omitempty"`
	Replica       bool              `json:"replica,omitempty"`
	Position      int64             `json:"position,omitempty"`
	InTransaction bool              `json:"open,omitempty"`
}

func (p *Process) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/sessions", p.openSession)
	m.HandleFunc("DELETE /v1/sessions/{id}", p.closeSession)
	m.HandleFunc("POST /v1/sessions/{id}/values", p.changeSession)
	m.HandleFunc("POST /v1/sessions/{id}/queries", p.querySession)
	m.HandleFunc("GET /v1/ready", p.ready)
	m.HandleFunc("GET /v1/counts", p.counts)
	m.Handle("GET /metrics", p.metrics())
	return m
}

// writeReply writes a return. Behind a stopping node's no further query is to come
// over the same TCP connection: it would find nobody.
func (p *Process) writeReply(w http.ResponseWriter, r reply) {
	if p.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	r.Text = r.Code.String()
	h := r.Code.Row().HTTP
	w.Header().Set("Content-Type", "application/json")
	if r.RetryAfterUs > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((r.RetryAfterUs+999_999)/1_000_000, 10))
	}
	w.WriteHeader(h)
	json.NewEncoder(w).Encode(r)
}

func (p *Process) reject(w http.ResponseWriter, c result.Code, detail string) {
	p.writeReply(w, reply{Code: c, Detail: detail, Outcome: result.NoEffect})
}

// readBody reads the one JSON value a path takes; a name it does not know is an
// error, since leaving it out would change what was asked.
func (p *Process) readBody(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil && d.More() {
		err = errors.New("more than one JSON value")
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		p.reject(w, result.TooLarge, "")
	case err != nil:
		p.reject(w, result.BadJSON, err.Error())
	}
	return err == nil
}

type sessionBody struct {
	Session  string            `json:"session"`
	Route    string            `json:"route"`
	Values   map[string]string `json:"values"`
	Prepared map[string]string `json:"prepared"`
	Token    querytable.Token  `json:"token"`
}

func (p *Process) openSession(w http.ResponseWriter, r *http.Request) {
	var b sessionBody
	if !p.readBody(w, r, &b) {
		return
	}
	routes := *p.routes.Load()
	rt, ok := routes[b.Route]
	var g *runner
	if ok {
		g = (*p.sharedRunners.Load())[rt.Group]
	}
	switch {
	case p.stopping.Load():
		p.reject(w, result.Stopping, "")
		return
	case len(routes) == 0 || ok && g == nil:
		p.writeReply(w, reply{Code: result.NotConfigured, Outcome: result.NoEffect, RetryAfterUs: 300_000})
		return
	case !ok:
		p.reject(w, result.UnknownRoute, b.Route)
		return
	case b.Token.Group != "" && b.Token.Group != rt.Group:
		p.reject(w, result.BadToken, "of "+b.Token.Group)
		return
	}
	id := b.Session
	if id == "" {
		id = rand.Text()
	}
	if _, taken := p.sessions.LoadOrStore(id, &sessionRoute{runner: g, route: b.Route}); taken {
		p.reject(w, result.SessionExists, id)
		return
	}
	g.loop.Post(querytable.OpenSession{Session: id, Values: b.Values, Prepared: b.Prepared, Token: b.Token})
	p.writeReply(w, reply{Outcome: result.Done, Session: id, Token: lo.ToPtr(b.Token)})
}

// sessionRoute is a session's route and its group's runner.
type sessionRoute struct {
	runner *runner
	route  string
	ended  atomic.Bool // its name may be another session's from now on
}

// endSession ends a session and makes its name free, unless that was done before: a
// session that was opened under the name since is another one.
func (p *Process) endSession(id string, s *sessionRoute) bool {
	if !s.ended.CompareAndSwap(false, true) {
		return false
	}
	s.runner.loop.Post(querytable.CloseSession{Session: id}) // before the name is free
	p.sessions.CompareAndDelete(id, s)
	return true
}

func (p *Process) lookupSession(w http.ResponseWriter, r *http.Request) (string, *sessionRoute) {
	id := r.PathValue("id")
	v, ok := p.sessions.Load(id)
	if !ok {
		p.reject(w, lo.Ternary(p.stopping.Load(), result.Stopping, result.UnknownSession), id)
		return id, nil
	}
	return id, v.(*sessionRoute)
}

func (p *Process) closeSession(w http.ResponseWriter, r *http.Request) {
	id, s := p.lookupSession(w, r)
	if s == nil {
		return
	}
	if !p.endSession(id, s) {
		p.reject(w, result.UnknownSession, id)
		return
	}
	p.writeReply(w, reply{Outcome: result.Done, Session: id})
}

func (p *Process) changeSession(w http.ResponseWriter, r *http.Request) {
	id, s := p.lookupSession(w, r)
	if s == nil {
		return
	}
	var b struct {
		Values   map[string]string `json:"values"`
		Prepared map[string]string `json:"prepared"`
	}
	if !p.readBody(w, r, &b) {
		return
	}
	n := p.queryID.Add(1)
	p.writeResult(w, id, s, s.runner.call(n, querytable.ChangeSession{ID: n, Session: id, Values: b.Values, Prepared: b.Prepared}))
}

type queryBody struct {
	Query      string                 `json:"query"`
	Class      string                 `json:"class"`
	ReadOnly   bool                   `json:"read_only"`
	Begin      bool                   `json:"begin"`
	Commit     bool                   `json:"commit"`
	Rollback   bool                   `json:"rollback"`
	Statements []querytable.Statement `json:"statements"`
	DeadlineUs int64                  `json:"expiry_us"`
}

func (p *Process) querySession(w http.ResponseWriter, r *http.Request) {
	id, s := p.lookupSession(w, r)
	if s == nil {
		return
	}
	var b queryBody
	if !p.readBody(w, r, &b) {
		return
	}
	if rt, ok := (*p.routes.Load())[s.route]; !ok {
		p.reject(w, result.UnknownRoute, s.route)
		return
	} else if !slices.Contains(rt.Classes, b.Class) {
		p.reject(w, result.ClassNotOnRoute, b.Class)
		return
	}
	n := p.queryID.Add(1)
	p.writeResult(w, id, s, s.runner.call(n, querytable.Query{ID: n, Session: id, Name: b.Query, Class: b.Class, ReadOnly: b.ReadOnly, Begin: b.Begin,
		Commit: b.Commit, Rollback: b.Rollback, Statements: b.Statements, DeadlineUs: b.DeadlineUs}))
}

func (p *Process) writeResult(w http.ResponseWriter, session string, s *sessionRoute, v querytable.Reply) {
	if v.Code == result.UnknownSession {
		p.endSession(session, s) // the table let it go after long idling
	}
	p.writeReply(w, reply{Code: v.Code, Detail: v.Text, Outcome: v.Outcome, Session: session, Rows: v.Rows, RetryAfterUs: v.RetryAfterUs,
		Token: lo.ToPtr(v.Token), Database: v.Database, Replica: v.FromReplica, Position: v.Position, InTransaction: v.InTransaction})
}

// ready says whether the platform may hand this node connections.
func (p *Process) ready(w http.ResponseWriter, _ *http.Request) {
	gs := *p.sharedRunners.Load()
	ok := len(gs) > 0 && !p.stopping.Load()
	waiting := []string{}
	for k, g := range gs {
		if v := g.view.Load(); v == nil || !v.Ready {
			ok = false
			waiting = append(waiting, k)
		}
	}
	slices.Sort(waiting)
	w.Header().Set("Content-Type", "application/json")
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	json.NewEncoder(w).Encode(map[string]any{"ready": ok, "stopping": p.stopping.Load(), "waiting_for": waiting})
}

func (p *Process) counts(w http.ResponseWriter, _ *http.Request) {
	gs := map[string]*tableView{}
	for k, g := range *p.sharedRunners.Load() {
		gs[k] = g.view.Load()
	}
	sent, dropped, received := p.links.Counts()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"groups": gs, "node": p.nodeView.Load(),
		"links": map[string]uint64{"sent": sent, "dropped": dropped, "received": received}})
}
