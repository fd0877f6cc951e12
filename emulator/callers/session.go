package callers

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"stoneford/internal/querytable"
	"stoneford/result"
)

// reply is the JSON reply of a pool node.
type reply struct {
	Code         result.Code      `json:"code"`
	Text         string           `json:"text"`
	Detail       string           `json:"detail"`
	Outcome      result.Outcome   `json:"outcome"`
	Session      string           `json:"session"`
	Rows         [][][]string     `json:"rows"`
	RetryAfterUs int64            `json:"retry_after_us"`
	Token        querytable.Token `json:"token"`
	Database     string           `json:"copy"`
	FromReplica  bool             `json:"replica"`
}

// query is the JSON body of a query.
type query struct {
	Query      string                 `json:"query,omitempty"`
	Class      string                 `json:"class"`
	ReadOnly   bool                   `json:"read_only,omitempty"`
	Begin      bool                   `json:"begin,omitempty"`
	Commit     bool                   `json:"commit,omitempty"`
	Rollback   bool                   `json:"rollback,omitempty"`
	Statements []querytable.Statement `json:"statements,omitempty"`
	TimeoutUs  int64                  `json:"expiry_us,omitempty"`
}

// session is the session of one caller.
type session struct {
	runner   *Runner
	name     string
	route    string
	random   *rand.Rand
	node     string
	id       string
	token    querytable.Token
	ownValue string // session value that only this session sets
	zone     atomic.Value
	moved    atomic.Bool // the zone changed since the last query was sent
}

// post sends a JSON body to a pool node and decodes the reply.
func (s *session) post(ctx context.Context, url string, in any) (reply, error) {
	b, err := json.Marshal(in)
	if err != nil {
		return reply{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return reply{}, err
	}
	response, err := s.runner.client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	var v reply
	return v, json.NewDecoder(response.Body).Decode(&v)
}

// open opens a session on a random ready node, preferably in the caller's zone, with the
// token of the previous session.
func (s *session) open(ctx context.Context) bool {
	for n := 0; ctx.Err() == nil && n < 50; n++ {
		nodes := s.runner.load.Nodes()
		if len(nodes) == 0 {
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		if z, _ := s.zone.Load().(string); z != "" {
			if near := slices.DeleteFunc(slices.Clone(nodes), func(n string) bool { return s.runner.load.NodeZone(n) != z }); len(near) > 0 {
				nodes = near
			}
		}
		s.node = nodes[s.random.IntN(len(nodes))]
		s.ownValue = s.name + "/" + strconv.FormatInt(s.runner.sequence.Add(1), 10)
		v, err := s.post(ctx, "http://"+s.node+"/v1/sessions", map[string]any{"route": s.route, "token": s.token,
			"values": map[string]string{"mark": s.ownValue}, "prepared": map[string]string{"mine": "value mark"}})
		if err == nil && v.Code == result.OK {
			s.id = v.Session
			return true
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return false
}

// send sends a query once, and opens a session first if none is open. If no reply arrives,
// the outcome is uncertain. It returns false if no session could be opened.
func (s *session) send(ctx context.Context, q query) (reply, bool) {
	if s.moved.Swap(false) {
		s.id = "" // without closing the session, like a mobile device that changes networks
	}
	if s.id == "" && !s.open(ctx) {
		return reply{}, false
	}
	// Wait for the reply even if the run ends meanwhile.
	v, err := s.post(context.WithoutCancel(ctx), "http://"+s.node+"/v1/sessions/"+s.id+"/queries", q)
	if err != nil {
		s.id = ""
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			// No process accepted the connection, so the query had no effect.
			return reply{Outcome: result.NoEffect, Code: result.UnknownSession, Detail: err.Error()}, true
		}
		return reply{Outcome: result.Uncertain, Code: -1, Detail: err.Error()}, true
	}
	if v.Token.Position > s.token.Position {
		s.token = v.Token
	}
	if v.Code == result.UnknownSession || v.Code == result.Stopping {
		s.id = ""
	}
	return v, true
}

// callerPatience is the time for which a caller retries, about as long as a person would
// wait.
const callerPatience = 5 * time.Second

// waitForRetry waits for the retry delay of a reply and reports whether the caller should
// retry. It returns false at once if the caller's patience is over.
func waitForRetry(ctx context.Context, v reply, startUs int64) bool {
	if nowUs()-startUs >= callerPatience.Microseconds() {
		return false
	}
	return sleep(ctx, time.Duration(v.RetryAfterUs)*time.Microsecond)
}

// rejected reports whether the query had no effect and should be retried.
func (v reply) rejected() bool { return v.Code.Retryable() || v.Code == result.UnknownSession }

// call sends a query and retries it as the replies ask. It returns false if no session
// could be opened.
func (s *session) call(ctx context.Context, kind string, q query) (reply, bool) {
	startUs := nowUs()
	for attempts := 1; ; attempts++ {
		v, ok := s.send(ctx, q)
		if !ok {
			return v, false
		}
		if v.rejected() && waitForRetry(ctx, v, startUs) {
			continue
		}
		s.recordSample(kind, startUs, attempts, v)
		return v, true
	}
}
