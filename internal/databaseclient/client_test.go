package databaseclient

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// faultyDatabase is a database that reacts to whole calls, and counts them.
func faultyDatabase(t *testing.T, react http.HandlerFunc) (address string, calls *atomic.Int64) {
	t.Helper()
	calls = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		calls.Add(1)
		react(w, r)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), calls
}

func replying(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, text) }
}

// disconnecting ends the connection with what was written to it, or resets it.
func disconnecting(text string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		io.WriteString(c, text)
		if reset {
			c.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
	}
}

const completeRun = `{"results":[{"rows":[["a"]]},{"position":7}],"epoch":3,"applied":7}`

var twoOps = []Op{{Op: "statement", Text: "x"}, {Op: "commit"}}

// TestRunIsSentOnce: whatever becomes of its answer, and also on a connection
// that was used before, a run is sent once.
func TestRunIsSentOnce(t *testing.T) {
	otherAddress, otherCalls := faultyDatabase(t, replying(completeRun))
	for name, react := range map[string]http.HandlerFunc{
		"redirects, 307": func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "http://"+otherAddress+r.URL.Path, 307)
		},
		"redirects, 308": func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "http://"+otherAddress+r.URL.Path, 308)
		},
		"redirects, 303": func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "http://"+otherAddress+r.URL.Path, 303)
		},
		"resets":                 disconnecting("", true),
		"hangs up":               disconnecting("", false),
		"half a head":            disconnecting("HTTP/1.1 200", false),
		"half a body":            disconnecting("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n"+completeRun[:30], false),
		"a short body":           disconnecting("HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n"+completeRun, false),
		"silent":                 nil,
		"more than one value":    replying(completeRun + completeRun),
		"no results":             replying(`{}`),
		"fewer results than ops": replying(`{"results":[{"rows":[["a"]]}],"epoch":3}`),
		"more results than ops":  replying(`{"results":[{},{},{}],"epoch":3}`),
	} {
		ctx, giveUp := context.WithTimeout(t.Context(), 20*time.Second)
		first := true
		address, calls := faultyDatabase(t, func(w http.ResponseWriter, r *http.Request) {
			switch {
			case first:
				first = false
				io.WriteString(w, completeRun)
			case react == nil:
				giveUp()
				<-r.Context().Done()
			default:
				react(w, r)
			}
		})
		c := New(nil)
		if _, err := c.Run(t.Context(), address, 4, 3, false, twoOps); err != nil {
			t.Fatal(name, err)
		}
		out, err := c.Run(ctx, address, 4, 3, false, twoOps)
		giveUp()
		if err == nil || errors.Is(err, ErrNotSent) {
			t.Errorf("%s: %+v %v", name, out, err)
		}
		if n := calls.Load(); n != 2 {
			t.Errorf("%s: %d calls for two runs", name, n)
		}
	}
	if n := otherCalls.Load(); n != 0 {
		t.Errorf("another address was called %d times", n)
	}
}

func TestFailedRunHasFewerResults(t *testing.T) {
	for _, text := range []string{`{"results":[{"error":"failed"}]}`, `{"results":[{},{"error":"failed"}]}`, `{"refused":"epoch"}`} {
		address, _ := faultyDatabase(t, replying(text))
		if _, err := New(nil).Run(t.Context(), address, 4, 3, false, twoOps); err != nil {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// TestLateReplyIsNotReadAsNext: what comes after its caller's time is not read as
// the next call's.
func TestLateReplyIsNotReadAsNext(t *testing.T) {
	late := make(chan struct{})
	ctx, giveUp := context.WithCancel(t.Context())
	var n atomic.Int64
	address, _ := faultyDatabase(t, func(w http.ResponseWriter, _ *http.Request) {
		if n.Add(1) == 1 {
			giveUp()
			<-late
			io.WriteString(w, `{"identity":"old"}`)
			return
		}
		io.WriteString(w, `{"identity":"new"}`)
	})
	c := New(nil)
	if s, err := c.Seal(ctx, address, 3); !errors.Is(err, context.Canceled) {
		t.Error(s, err)
	}
	close(late)
	for range 3 {
		if s, err := c.Seal(t.Context(), address, 3); err != nil || s.Identity != "new" {
			t.Error(s, err)
		}
	}
}

// TestTakeoverIsSentOnce: the platform is called once, and only where it is.
func TestTakeoverIsSentOnce(t *testing.T) {
	otherAddress, otherCalls := faultyDatabase(t, replying(`{}`))
	address, calls := faultyDatabase(t, func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "http://"+otherAddress+r.URL.Path, 307)
	})
	if err := New(nil).Takeover(t.Context(), address, "g", "a", "i-1", 4, nil); err == nil {
		t.Error("it was taken elsewhere")
	}
	if calls.Load() != 1 || otherCalls.Load() != 0 {
		t.Error(calls.Load(), otherCalls.Load())
	}
}
