// Package replay sends what a HAR file recorded of callers to a pool node again.
package replay

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/chromedp/cdproto/har"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"stoneford/result"
)

// Entry is one recorded query that can be sent again.
type Entry struct {
	Index   int // in the file, from 1
	At      time.Time
	Method  string
	Path    string
	Body    string
	Session string // the one its return opened
	Status  int64
}

var callerPath = regexp.MustCompile(`^/v1/sessions(/[^/]+(/(queries|values))?)?$`)

// Read reads a file and checks every entry; each error names file and entry.
// Nothing of a file with errors is sent.
func Read(file string) ([]Entry, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var archive har.HAR
	if err := json.Unmarshal(b, &archive); err != nil {
		return nil, errs.New("%s: not a HAR file: %v", file, err)
	}
	if archive.Log == nil || len(archive.Log.Entries) == 0 {
		return nil, errs.New("%s: not a HAR file: it has no log with entries", file)
	}
	var entries []Entry
	var problems errs.Group
	for i, e := range archive.Log.Entries {
		n, err := parseEntry(e)
		if err != nil {
			problems.Add(errs.New("%s: entry %d: %v", file, i+1, err))
			continue
		}
		n.Index = i + 1
		entries = append(entries, n)
	}
	slices.SortStableFunc(entries, func(a, b Entry) int { return a.At.Compare(b.At) })
	return entries, problems.Err()
}

func parseEntry(e *har.Entry) (Entry, error) {
	var n Entry
	if e == nil || e.Request == nil {
		return n, errs.New("it has no request")
	}
	at, err := time.Parse(time.RFC3339Nano, e.StartedDateTime)
	if err != nil {
		return n, errs.New("startedDateTime: %v", err)
	}
	u, err := url.Parse(e.Request.URL)
	if err != nil {
		return n, errs.New("url: %v", err)
	}
	if !callerPath.MatchString(u.Path) || e.Request.Method != http.MethodPost && e.Request.Method != http.MethodDelete {
		return n, errs.New("%s %s is no caller's path", e.Request.Method, u.Path)
	}
	n = Entry{At: at, Method: e.Request.Method, Path: u.Path}
	if e.Request.PostData != nil {
		n.Body = e.Request.PostData.Text
	}
	if n.Method == http.MethodPost && !json.Valid([]byte(n.Body)) {
		return n, errs.New("its body is not JSON")
	}
	if e.Response != nil {
		n.Status = e.Response.Status
		var r struct {
			Session string `json:"session"`
		}
		if n.Path == "/v1/sessions" && e.Response.Content != nil && json.Unmarshal([]byte(e.Response.Content.Text), &r) == nil {
			n.Session = r.Session
		}
	}
	return n, nil
}

// Outcome is what became of one entry.
type Outcome struct {
	Entry          int            `json:"entry"`
	RecordedStatus int64          `json:"recorded_status"`
	Status         int            `json:"status"`
	Code           result.Code    `json:"code"`
	Outcome        result.Outcome `json:"outcome"`
	Error          string         `json:"error,omitempty"`
	TookUs         int64          `json:"took_us"`
}

// Send sends the entries to a node one after the other, at the recorded
// distances divided by speed; 0 sends them without any. Sessions that the file
// opened get the ids they have now.
func Send(ctx context.Context, clock clockwork.Clock, node string, entries []Entry, speed float64) []Outcome {
	ids := map[string]string{}
	c := &http.Client{Timeout: 70 * time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	var outcomes []Outcome
	began := clock.Now()
	for _, e := range entries {
		if speed > 0 {
			due := time.Duration(float64(e.At.Sub(entries[0].At)) / speed)
			select {
			case <-ctx.Done():
				return outcomes
			case <-clock.After(due - clock.Since(began)):
			}
		}
		sentAt := clock.Now()
		o := sendOne(ctx, c, node, e, ids)
		o.TookUs = clock.Since(sentAt).Microseconds()
		outcomes = append(outcomes, o)
	}
	return outcomes
}

func sendOne(ctx context.Context, c *http.Client, node string, e Entry, ids map[string]string) Outcome {
	o := Outcome{Entry: e.Index, RecordedStatus: e.Status}
	fail := func(err error) Outcome { o.Error = err.Error(); return o }
	segments := strings.Split(e.Path, "/")
	if len(segments) > 3 {
		if n, ok := ids[segments[3]]; ok {
			segments[3] = n
		}
	}
	request, err := http.NewRequestWithContext(ctx, e.Method, "http://"+node+strings.Join(segments, "/"), bytes.NewReader([]byte(e.Body)))
	if err != nil {
		return fail(err)
	}
	response, err := c.Do(request)
	if err != nil {
		return fail(err)
	}
	defer response.Body.Close()
	o.Status = response.StatusCode
	b, err := io.ReadAll(response.Body)
	if err != nil {
		return fail(err)
	}
	var r struct {
		Code    result.Code    `json:"code"`
		Outcome result.Outcome `json:"outcome"`
		Session string         `json:"session"`
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return fail(err)
	}
	o.Code, o.Outcome = r.Code, r.Outcome
	if e.Session != "" && r.Session != "" {
		ids[e.Session] = r.Session
	}
	return o
}
