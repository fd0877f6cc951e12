package replay

import (
	"encoding/json"
	"net/http"
	"net/url"
	"os"
	"regexp"
	"slices"
	"time"

	"github.com/chromedp/cdproto/har"
	"github.com/zeebo/errs"
)

// Entry is a recorded call.
type Entry struct {
	Index   int       // in the file, from 1
	At      time.Time // when the recorded call started
	Method  string
	Path    string
	Body    string
	Session string // session that the recorded call opened, "" if none
	Status  int64  // HTTP status of the recorded reply, 0 if there is none
}

const sessionsPath = "/v1/sessions"

// callerPath matches the paths of the callers' HTTP interface.
var callerPath = regexp.MustCompile(`^` + sessionsPath + `(/[^/]+(/(queries|values))?)?$`)

// Read reads a HAR file and returns its entries in the order of their times. The error
// lists every invalid entry with the name of the file. After an error, the caller must not
// send any of the entries.
func Read(file string) ([]Entry, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var archive har.HAR
	if err := json.Unmarshal(text, &archive); err != nil {
		return nil, errs.New("%s: not a HAR file: %v", file, err)
	}
	if archive.Log == nil || len(archive.Log.Entries) == 0 {
		return nil, errs.New("%s: not a HAR file: it has no log with entries", file)
	}
	var entries []Entry
	var problems errs.Group
	for i, recorded := range archive.Log.Entries {
		e, err := parseEntry(recorded)
		if err != nil {
			problems.Add(errs.New("%s: entry %d: %v", file, i+1, err))
			continue
		}
		e.Index = i + 1
		entries = append(entries, e)
	}
	slices.SortStableFunc(entries, func(a, b Entry) int { return a.At.Compare(b.At) })
	return entries, problems.Err()
}

func parseEntry(recorded *har.Entry) (Entry, error) {
	if recorded == nil || recorded.Request == nil {
		return Entry{}, errs.New("it has no request")
	}
	request := recorded.Request
	at, err := time.Parse(time.RFC3339Nano, recorded.StartedDateTime)
	if err != nil {
		return Entry{}, errs.New("startedDateTime: %v", err)
	}
	u, err := url.Parse(request.URL)
	if err != nil {
		return Entry{}, errs.New("url: %v", err)
	}
	if !callerPath.MatchString(u.Path) || request.Method != http.MethodPost && request.Method != http.MethodDelete {
		return Entry{}, errs.New("%s %s is no caller's path", request.Method, u.Path)
	}
	e := Entry{At: at, Method: request.Method, Path: u.Path}
	if request.PostData != nil {
		e.Body = request.PostData.Text
	}
	if e.Method == http.MethodPost && !json.Valid([]byte(e.Body)) {
		return Entry{}, errs.New("its body is not JSON")
	}
	if recorded.Response != nil {
		e.Status = recorded.Response.Status
		e.Session = openedSession(u.Path, recorded.Response)
	}
	return e, nil
}

// openedSession returns the session that a recorded call to a path opened, "" if none.
func openedSession(path string, response *har.Response) string {
	var reply struct {
		Session string `json:"session"`
	}
	if path != sessionsPath || response.Content == nil || json.Unmarshal([]byte(response.Content.Text), &reply) != nil {
		return ""
	}
	return reply.Session
}
