package operators

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// TestChangeIsSentOnce: a change goes to one control process that was reached,
// and only a control process's own word is its answer.
func TestChangeIsSentOnce(t *testing.T) {
	serve := func(h http.HandlerFunc) (string, *atomic.Int64) {
		calls := &atomic.Int64{}
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			calls.Add(1)
			h(w, r)
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://"), calls
	}
	replying := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, text) }
	}
	otherAddress, otherCalls := serve(replying(`{"code":0,"text":"ok","revision":9}`))
	for name, react := range map[string]http.HandlerFunc{
		"redirects, 307":      func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "http://"+otherAddress, 307) },
		"redirects, 308":      func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "http://"+otherAddress, 308) },
		"hangs up":            func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"is another program":  replying(`{}`),
		"has no code":         replying(`{"text":"ok","revision":9}`),
		"is no JSON":          replying(`ok`),
		"half a value":        replying(`{"code":0,"text":"ok","revis`),
		"more than one value": replying(`{"code":0,"text":"ok"}{"code":1}`),
	} {
		address, calls := serve(react)
		r, err := Client{Addresses: []string{address, otherAddress}}.Change(t.Context(), 8, json.RawMessage(`{}`), false, false)
		if err == nil {
			t.Errorf("%s: %+v", name, r)
		}
		if n := calls.Load(); n != 1 {
			t.Errorf("%s: %d calls", name, n)
		}
	}
	if n := otherCalls.Load(); n != 0 {
		t.Errorf("another process was sent %d changes", n)
	}
	// Where the first was never reached the second is asked.
	closed := httptest.NewServer(nil)
	closed.Close()
	r, err := Client{Addresses: []string{strings.TrimPrefix(closed.URL, "http://"), otherAddress}}.Change(t.Context(), 8, json.RawMessage(`{}`), false, false)
	if err != nil || r.Revision != 9 || otherCalls.Load() != 1 {
		t.Error(r, err)
	}
}
