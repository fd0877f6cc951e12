package replay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
)

func writeHAR(t *testing.T, entries ...string) string {
	t.Helper()
	p := filepath.Join(t.TempDir(), "day.har")
	if err := os.WriteFile(p, []byte(`{"log":{"version":"1.2","creator":{"name":"x","version":"1"},"entries":[`+strings.Join(entries, ",")+`]}}`), 0o644); err != nil {
		t.Fatal(err)
	}
	return p
}

func recordedEntry(at, method, path, body, back string) string {
	return fmt.Sprintf(`{"startedDateTime":%q,"time":1,"request":{"method":%q,"url":"http://10.0.0.9:7201%s","httpVersion":"HTTP/1.1","cookies":[],"headers":[],"queryString":[],"postData":{"mimeType":"application/json","params":[],"text":%q},"headersSize":-1,"bodySize":-1},"response":{"status":200,"statusText":"OK","httpVersion":"HTTP/1.1","cookies":[],"headers":[],"content":{"size":1,"mimeType":"application/json","text":%q},"redirectURL":"","headersSize":-1,"bodySize":-1},"cache":{},"timings":{"send":0,"wait":1,"receive":0}}`,
		at, method, path, body, back)
}

// TestReplay: entries are sent in the order of their times, to the sessions that the
// node has now.
func TestReplay(t *testing.T) {
	var got []string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = append(got, r.Method+" "+r.URL.Path)
		fmt.Fprint(w, `{"code":0,"outcome":"done","session":"new"}`)
	}))
	defer s.Close()
	es, err := Read(writeHAR(t,
		recordedEntry("2026-11-30T08:00:01.000Z", "POST", "/v1/sessions/old/queries", `{"class":"lookup"}`, `{}`),
		recordedEntry("2026-11-30T08:00:00.000Z", "POST", "/v1/sessions", `{"route":"pharmacies/stock"}`, `{"session":"old"}`),
		recordedEntry("2026-11-30T08:00:02.000Z", "DELETE", "/v1/sessions/old", ``, `{}`)))
	if err != nil {
		t.Fatal(err)
	}
	os := Send(context.Background(), clockwork.NewRealClock(), strings.TrimPrefix(s.URL, "http://"), es, 0)
	want := "POST /v1/sessions, POST /v1/sessions/new/queries, DELETE /v1/sessions/new"
	if strings.Join(got, ", ") != want || len(os) != 3 || os[0].Entry != 2 || os[2].Outcome != "done" {
		t.Errorf("%v %+v", got, os)
	}
}

// TestErrorsNameTheEntry: the error names the file and each invalid entry.
func TestErrorsNameTheEntry(t *testing.T) {
	_, err := Read(writeHAR(t,
		recordedEntry("2026-11-30T08:00:01.000Z", "POST", "/v1/sessions", `{}`, `{}`),
		recordedEntry("yesterday", "POST", "/v1/sessions", `{}`, `{}`),
		recordedEntry("2026-11-30T08:00:01.000Z", "GET", "/v1/sessions", `{}`, `{}`),
		recordedEntry("2026-11-30T08:00:01.000Z", "POST", "/v1/configuration", `{}`, `{}`),
		recordedEntry("2026-11-30T08:00:01.000Z", "POST", "/v1/sessions/a/queries", `{`, `{}`)))
	for _, w := range []string{"day.har: entry 2: startedDateTime", "day.har: entry 3: GET", "day.har: entry 4: POST /v1/configuration", "day.har: entry 5: its body"} {
		if err == nil || !strings.Contains(fmt.Sprintf("%+v", err), w) {
			t.Errorf("%q is not in %+v", w, err)
		}
	}
	p := filepath.Join(t.TempDir(), "x.har")
	for _, b := range []string{"", "[]", `{"log":{}}`, `{"log":{"entries":[]}}`} {
		if err := os.WriteFile(p, []byte(b), 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(p); err == nil || !strings.Contains(err.Error(), "x.har") {
			t.Errorf("%q: %v", b, err)
		}
	}
}

// FuzzRead: no file ends the process, and every error names the file.
func FuzzRead(f *testing.F) {
	good := recordedEntry("2026-11-30T08:00:01.000Z", "POST", "/v1/sessions", `{"route":"a/b"}`, `{"session":"x"}`)
	for _, s := range []string{`{"log":{"entries":[` + good + `]}}`, `{"log":{"entries":[null]}}`, `{"log":null}`, `[]`, ``, `{"log":{"entries":[{"request":{"url":"%zz"},"startedDateTime":"x"}]}}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		p := filepath.Join(t.TempDir(), "day.har")
		if err := os.WriteFile(p, b, 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(p); err != nil && !strings.Contains(err.Error(), "day.har") {
			t.Errorf("%q: %v", b, err)
		}
	})
}

// TestRecordedCallIsSentOnce: a redirection is the reply, and not followed.
func TestRecordedCallIsSentOnce(t *testing.T) {
	calls := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer s.Close()
	es, err := Read(writeHAR(t, recordedEntry("2026-11-30T08:00:01.000Z", "POST", "/v1/sessions/old/queries", `{"class":"lookup"}`, `{}`)))
	if err != nil {
		t.Fatal(err)
	}
	os := Send(context.Background(), clockwork.NewRealClock(), strings.TrimPrefix(s.URL, "http://"), es, 0)
	if calls != 1 || len(os) != 1 || os[0].Status != http.StatusTemporaryRedirect {
		t.Errorf("%d calls, %+v", calls, os)
	}
}
