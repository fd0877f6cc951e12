package pool

import (
	"crypto/rand"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"stoneford/internal/querytable"
	"stoneford/result"
)

// notConfiguredRetryDelay is the retry delay of a call to a node that has no
// configuration yet.
const notConfiguredRetryDelay = 300 * time.Millisecond

// sessionBody is the body of a call that opens a session.
type sessionBody struct {
	Session  string            `json:"session"` // name of the session, "" to let the node generate it
	Route    string            `json:"route"`
	Values   map[string]string `json:"values"`
	Prepared map[string]string `json:"prepared"` // text of prepared statements, by name
	Token    querytable.Token  `json:"token"`    // to continue a session of another node
}

// valuesBody is the body of a call that changes a session. An empty string removes a
// name.
type valuesBody struct {
	Values   map[string]string `json:"values"`
	Prepared map[string]string `json:"prepared"`
}

// queryBody is the body of a query.
type queryBody struct {
	Query      string                 `json:"query"` // see querytable.Query.Name
	Class      string                 `json:"class"`
	ReadOnly   bool                   `json:"read_only"`
	Begin      bool                   `json:"begin"`
	Commit     bool                   `json:"commit"`
	Rollback   bool                   `json:"rollback"`
	Statements []querytable.Statement `json:"statements"`
	TimeoutUs  int64                  `json:"expiry_us"` // time from arrival to deadline, 0 for the default of the class
}

// sessionRoute holds the route of a session and the runner of its group.
type sessionRoute struct {
	runner *runner
	route  string
	ended  atomic.Bool // after that another session may use the name
}

func (p *Process) openSession(w http.ResponseWriter, r *http.Request) {
	var b sessionBody
	if !p.readBody(w, r, &b) {
		return
	}
	runner, rejection := p.runnerFor(b)
	if rejection != nil {
		p.writeReply(w, *rejection)
		return
	}
	id := b.Session
	if id == "" {
		id = rand.Text()
	}
	if _, exists := p.sessions.LoadOrStore(id, &sessionRoute{runner: runner, route: b.Route}); exists {
		p.reject(w, result.SessionExists, id)
		return
	}
	runner.loop.Post(querytable.OpenSession{Session: id, Values: b.Values, Prepared: b.Prepared, Token: b.Token})
	p.writeReply(w, reply{Outcome: result.Done, Session: id, Token: lo.ToPtr(b.Token)})
}

// runnerFor returns the runner of the group that a session's route leads to, or the reply
// that rejects the session.
func (p *Process) runnerFor(b sessionBody) (*runner, *reply) {
	routes := *p.routes.Load()
	route, known := routes[b.Route]
	runner := (*p.sharedRunners.Load())[route.Group]
	switch {
	case p.stopping.Load():
		return nil, &reply{Code: result.Stopping, Outcome: result.NoEffect}
	case len(routes) == 0 || known && runner == nil:
		return nil, &reply{Code: result.NotConfigured, Outcome: result.NoEffect, RetryAfterUs: notConfiguredRetryDelay.Microseconds()}
	case !known:
		return nil, &reply{Code: result.UnknownRoute, Detail: b.Route, Outcome: result.NoEffect}
	case b.Token.Group != "" && b.Token.Group != route.Group:
		return nil, &reply{Code: result.BadToken, Detail: "of " + b.Token.Group + "; the route leads to " + route.Group, Outcome: result.NoEffect}
	}
	return runner, nil
}

// endSession ends a session and frees its name. It returns false if the session had
// already ended, since its name may belong to another session by then.
func (p *Process) endSession(id string, s *sessionRoute) bool {
	if !s.ended.CompareAndSwap(false, true) {
		return false
	}
	s.runner.loop.Post(querytable.CloseSession{Session: id}) // must be posted before the name is free
	p.sessions.CompareAndDelete(id, s)
	return true
}

// lookupSession returns the ID and the session that a call names. If there is no such
// session, it rejects the call and the returned session is nil.
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
	var b valuesBody
	if !p.readBody(w, r, &b) {
		return
	}
	n := p.lastID.Add(1)
	v := s.runner.call(n, querytable.ChangeSession{ID: n, Session: id, Values: b.Values, Prepared: b.Prepared})
	p.writeResult(w, id, s, v)
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
	route, known := (*p.routes.Load())[s.route]
	switch {
	case !known:
		p.reject(w, result.UnknownRoute, s.route)
		return
	case !slices.Contains(route.Classes, b.Class):
		p.reject(w, result.ClassNotOnRoute, b.Class)
		return
	}
	n := p.lastID.Add(1)
	v := s.runner.call(n, querytable.Query{
		ID:         n,
		Session:    id,
		Name:       b.Query,
		Class:      b.Class,
		ReadOnly:   b.ReadOnly,
		Begin:      b.Begin,
		Commit:     b.Commit,
		Rollback:   b.Rollback,
		Statements: b.Statements,
		TimeoutUs:  b.TimeoutUs,
	})
	p.writeResult(w, id, s, v)
}

// writeResult writes the table's reply to a call. A session that is unknown to the table
// was closed as idle, so its name is freed.
func (p *Process) writeResult(w http.ResponseWriter, session string, s *sessionRoute, v querytable.Reply) {
	if v.Code == result.UnknownSession {
		p.endSession(session, s)
	}
	p.writeReply(w, reply{
		Code:          v.Code,
		Detail:        v.Text,
		Outcome:       v.Outcome,
		Session:       session,
		Rows:          v.Rows,
		RetryAfterUs:  v.RetryAfterUs,
		Token:         lo.ToPtr(v.Token),
		Database:      v.Database,
		FromReplica:   v.FromReplica,
		Position:      v.Position,
		InTransaction: v.InTransaction,
	})
}
