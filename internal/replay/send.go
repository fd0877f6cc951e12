package replay

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"stoneford/result"
)

// callTimeout bounds a call. It is longer than the longest deadline that a query may have.
const callTimeout = 70 * time.Second

// Outcome is the result of sending an entry.
type Outcome struct {
	Entry          int            `json:"entry"` // index in the file
	RecordedStatus int64          `json:"recorded_status"`
	Status         int            `json:"status"` // HTTP status, 0 if there was no response
	Code           result.Code    `json:"code"`
	Outcome        result.Outcome `json:"outcome"`
	Error          string         `json:"error,omitempty"` // why there is no valid reply
	TookUs         int64          `json:"took_us"`
}

// Send sends the entries to a node one after the other, at the recorded intervals divided
// by speed, or without intervals if speed is 0. It replaces the sessions of the recording
// by those that the node opens now. If the context ends during an interval,
// Send returns the outcomes so far. Without intervals it returns an outcome for each entry;
// the entries after the end of the context are not sent, and their outcomes have its error.
func Send(ctx context.Context, clock clockwork.Clock, node string, entries []Entry, speed float64) []Outcome {
	s := &sender{node: node, sessions: map[string]string{}, http: &http.Client{
		Timeout:       callTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }, // following it would send the call again
	}}
	var outcomes []Outcome
	startedAt := clock.Now()
	for _, e := range entries {
		if speed > 0 {
			due := time.Duration(float64(e.At.Sub(entries[0].At)) / speed)
			select {
			case <-ctx.Done():
				return outcomes
			case <-clock.After(due - clock.Since(startedAt)):
			}
		}
		sentAt := clock.Now()
		o := s.send(ctx, e)
		o.TookUs = clock.Since(sentAt).Microseconds()
		outcomes = append(outcomes, o)
	}
	return outcomes
}

// sender sends entries to a node.
type sender struct {
	node     string
	http     *http.Client
	sessions map[string]string // session opened now, by recorded session
}

// callReply holds the fields of a reply that Send uses.
type callReply struct {
	Code    result.Code    `json:"code"`
	Outcome result.Outcome `json:"outcome"`
	Session string         `json:"session"`
}

func (s *sender) send(ctx context.Context, e Entry) Outcome {
	o := Outcome{Entry: e.Index, RecordedStatus: e.Status}
	var reply callReply
	status, err := s.call(ctx, e, &reply)
	o.Status = status
	if err != nil {
		o.Error = err.Error()
		return o
	}
	o.Code, o.Outcome = reply.Code, reply.Outcome
	if e.Session != "" && reply.Session != "" {
		s.sessions[e.Session] = reply.Session
	}
	return o
}

// call sends an entry and decodes the response into reply. It returns the HTTP status, 0 if
// there was no response.
func (s *sender) call(ctx context.Context, e Entry, reply *callReply) (int, error) {
	request, err := http.NewRequestWithContext(ctx, e.Method, "http://"+s.node+s.path(e), bytes.NewReader([]byte(e.Body)))
	if err != nil {
		return 0, err
	}
	response, err := s.http.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, err
	}
	return response.StatusCode, json.Unmarshal(text, reply)
}

// path returns an entry's path, with the recorded session replaced by the one opened now.
func (s *sender) path(e Entry) string {
	const sessionSegment = 3 // index of SESSION in /v1/sessions/SESSION, split at the slashes
	segments := strings.Split(e.Path, "/")
	if len(segments) > sessionSegment {
		if session, ok := s.sessions[segments[sessionSegment]]; ok {
			segments[sessionSegment] = session
		}
	}
	return strings.Join(segments, "/")
}
