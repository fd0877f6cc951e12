package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	announceInterval = 1200 * time.Millisecond
	firstRevision    = 7
)

var callClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call posts a body to a control process and returns the status, 0 without an answer.
func call(address, path, base, body string) (int, []byte) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	if base != "" {
		request.Header.Set(names["base"], base)
	}
	response, err := callClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, data
}

// callAny calls the control processes in turn until one answers 2xx, at most until the
// timeout.
func (f *fleet) callAny(path, base, body string, timeout time.Duration) (status int, data []byte) {
	end := time.Now().Add(timeout)
	for i := 0; time.Now().Before(end); i++ {
		status, data = call(f.machines[i%machineCount].ip+":8782", path, base, body)
		if status/100 == 2 {
			return status, data
		}
		time.Sleep(100 * time.Millisecond)
	}
	return status, data
}

// announceAll makes all databases announce themselves until the fleet stops.
func (f *fleet) announceAll() {
	for i, d := range f.group.members {
		go f.announce(d, i)
	}
}

// announce sends the announcements of one database.
func (f *fleet) announce(d *database, next int) {
	target := ""
	for {
		if f.announcing(d) {
			f.group.mu.Lock()
			d.seq++
			phase := names["alive"]
			if d.draining {
				phase = names["draining"]
			}
			body := fmt.Sprintf(names["announcement"], d.group.name, d.address, d.zone, phase, d.role(), d.seq)
			f.group.mu.Unlock()
			target, next = f.announceOnce(d, body, target, next)
		}
		select {
		case <-f.done:
			return
		case <-d.wake:
		case <-time.After(announceInterval):
		}
	}
}

func (f *fleet) announcing(d *database) bool {
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	return d.running() && !d.departed
}

// announceOnce sends one announcement, and returns the address for the next one.
func (f *fleet) announceOnce(d *database, body, target string, next int) (string, int) {
	for range machineCount {
		address := target
		if address == "" {
			address = f.machines[next%machineCount].ip + ":8782"
		}
		status, data := call(address, names["announce"]+d.id, "", body)
		if status/100 == 2 {
			f.group.mu.Lock()
			d.announcedTo = address
			if strings.Contains(body, `"`+names["draining"]+`"`) && d.drainAcknowledgedAt.IsZero() {
				d.drainAcknowledgedAt = time.Now()
			}
			f.group.mu.Unlock()
			var reply map[string]string
			if json.Unmarshal(data, &reply) == nil && reply[names["target"]] != "" {
				target = reply[names["target"]]
			}
			return target, next
		}
		target = ""
		next++
		if !f.announcing(d) {
			break
		}
	}
	return target, next
}

// depart deregisters a database that serves on, and reports whether that was acknowledged.
// It calls the control process that took its last announcement, or another one.
func (f *fleet) depart(d *database, another bool) bool {
	f.group.mu.Lock()
	d.departed = true
	address := d.announcedTo
	f.group.mu.Unlock()
	if another {
		i := slices.IndexFunc(f.machines, func(m *machine) bool { return m.ip+":8782" != address })
		address = f.machines[i].ip + ":8782"
	}
	status, _ := call(address, names["depart"]+d.id, "", "")
	record.logf("database %s deregisters at %s: status %d; it serves on", d.id, address, status)
	return status/100 == 2
}

// configure puts the first configuration into force.
func (f *fleet) configure() bool {
	var routes []string
	for _, r := range [][2]string{{"app-leader", "leader"}, {"app-bounded", "bounded_" + "staleness"}, {"app-pinned", "pinned"}} {
		routes = append(routes, fmt.Sprintf(names["route"], "r-"+r[0], r[0], r[1], 2000, f.group.name, 1500))
	}
	body := fmt.Sprintf(`{"Revision":%d,"Routes":[%s],"Backends":[%s],"Limits":%s}`, firstRevision, strings.Join(routes, ","), fmt.Sprintf(names["service"], f.group.name), names["limits"])
	status, _ := f.callAny(names["replace"], "0", body, 15*time.Second)
	record.logf("operator: configuration %d: status %d", firstRevision, status)
	return status == http.StatusOK
}

// begin starts everything that a case needs: it returns false if the fleet is not ready.
func (f *fleet) begin() bool {
	f.announceAll()
	if !f.configure() || !f.waitReady(15*time.Second) {
		record.logf("the fleet is not ready")
		return false
	}
	time.Sleep(3 * time.Second) // the databases are known and their states observed
	return true
}
