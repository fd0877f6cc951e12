package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// promotionCall is one call that the platform received.
type promotionCall struct {
	at    time.Time
	owner string
	token uint64
	id    string
}

// provider is the stand-in of the platform.
type provider struct {
	address string
	groups  []*group

	mu    sync.Mutex
	calls []promotionCall
}

func newProvider(address string, groups []*group) (*provider, error) {
	p := &provider{address: address, groups: groups}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names["promote"], p.promote)
	go http.Serve(listener, mux)
	return p, nil
}

// promote answers at once; the database takes the next term some hundred ms later.
func (p *provider) promote(w http.ResponseWriter, r *http.Request) {
	var body map[string]string
	json.NewDecoder(r.Body).Decode(&body)
	token, _ := strconv.ParseUint(r.Header.Get(names["token"]), 10, 64)
	call := promotionCall{at: time.Now(), owner: r.Header.Get(names["owner"]), token: token, id: body["Id"]}
	p.mu.Lock()
	p.calls = append(p.calls, call)
	p.mu.Unlock()
	status := http.StatusConflict
	for _, g := range p.groups {
		g.mu.Lock()
		for _, d := range g.members {
			if g.name == body["Backend"] && d.id == call.id && d.running() {
				status = http.StatusOK
				go g.promote(d)
			}
		}
		g.mu.Unlock()
	}
	record.logf("platform <- promote %s of %s by %s with token %d: %d", call.id, body["Backend"], call.owner, call.token, status)
	w.WriteHeader(status)
}

func (p *provider) received() []promotionCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]promotionCall(nil), p.calls...)
}
