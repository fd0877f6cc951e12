package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// httpClient sends each call over a connection of its own.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}

// isReady reports whether a readiness check is answered with 200.
func isReady(url string) bool {
	response, err := httpClient.Get(url)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// heartbeatBody returns the body of the next heartbeat, with the next number.
func (d *database) heartbeatBody() (body []byte, sequence int64) {
	s := d.service
	s.mu.Lock()
	defer s.mu.Unlock()
	d.calls++
	role, phase := "follower", "ready"
	if d.leader {
		role = "leader"
	}
	if d.draining {
		phase = "draining"
	}
	body, err := json.Marshal(map[string]any{"Backend": s.name, "Address": d.address, "Zone": d.zone, "Revision": "v1", "Capacity": 4,
		"Phase": phase, x("{warmupleftms}"): 0, x("{dbrole}"): role, x("{callseq}"): d.calls})
	if err != nil {
		panic(err) // every field can be encoded
	}
	return body, d.calls
}

// post sends one call of a database to a control process, and reports whether it was
// acknowledged.
func (d *database) post(m *machine, path string, body []byte) bool {
	url := fmt.Sprintf("http://%s:%d/stoneford/%s/%s", m.ip, d.service.world.ports.control, path, d.id)
	response, err := httpClient.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode/100 == 2
}

// heartbeat sends one heartbeat, to the next control process until one acknowledges it.
func (d *database) heartbeat() bool {
	machines := d.service.world.machines
	for i := range 2 * len(machines) {
		body, sequence := d.heartbeatBody()
		m := machines[i%len(machines)]
		if d.post(m, x("{instances.heartbeat}"), body) {
			d.service.world.record.add("%s heartbeat %d acknowledged by %s", d.id, sequence, m.name)
			return true
		}
	}
	return false
}

// sendHeartbeats sends a heartbeat each heartbeatInterval while this run of the database goes on.
func (d *database) sendHeartbeats() {
	d.service.mu.Lock()
	startedAt := d.startedAt
	d.service.mu.Unlock()
	for d.service.world.ctx.Err() == nil {
		d.service.mu.Lock()
		running := d.running && d.announcing && d.startedAt.Equal(startedAt)
		d.service.mu.Unlock()
		if !running {
			return
		}
		d.heartbeat()
		time.Sleep(heartbeatInterval)
	}
}

// stopHeartbeats ends the heartbeats of a database.
func (d *database) stopHeartbeats() {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	d.announcing = false
}

// setDraining makes the database state in its heartbeats that it drains.
func (d *database) setDraining() {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	d.draining = true
}

// deregister sends the call with which a database states that it ends, until it is
// acknowledged. It returns when that was.
func (d *database) deregister() (acknowledged time.Time, ok bool) {
	machines := d.service.world.machines
	for i := range 10 * len(machines) {
		m := machines[i%len(machines)]
		if d.post(m, x("{instances.deregister}"), nil) {
			d.service.world.record.add("DEREGISTERED %s, acknowledged by %s", d.id, m.name)
			return time.Now(), true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Time{}, false
}
