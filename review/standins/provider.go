package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
)

// provider stands in for the platform that changes the primary of a service.
type provider struct{ world *world }

// startProvider starts the platform's server.
func (w *world) startProvider() error {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", w.machines[0].ip, w.ports.provider))
	if err != nil {
		return err
	}
	w.provider = &provider{w}
	go func() { _ = http.Serve(listener, w.provider) }()
	return nil
}

// ServeHTTP answers requests for a change of the primary.
func (p *provider) ServeHTTP(out http.ResponseWriter, request *http.Request) {
	var body struct {
		Backend string `json:"Backend"`
		ID      string `json:"Id"`
	}
	s := (*service)(nil)
	if request.URL.Path == x("{failover-path}") && json.NewDecoder(request.Body).Decode(&body) == nil {
		s = p.world.services[body.Backend]
	}
	if s == nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	status := s.promote(body.ID)
	p.world.record.add("FAILOVER of %s to %s by %s with fence %s -> %d", body.Backend, body.ID, request.Header.Get(x("{lease-owner}")), request.Header.Get(x("{fence-token}")), status)
	out.WriteHeader(status)
}
