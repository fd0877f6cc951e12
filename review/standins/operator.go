package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// route is a route in the operator's configuration, with the platform's names.
type route map[string]any

// newRoute returns a route for a host with the times of the small deployments.
func newRoute(host, class, backend string, stalenessMs int) route {
	r := route{"Name": "r-" + host, "Host": host, x("{pathprefix}"): "/", x("{routeclass}"): class, x("{deadlinems}"): 800, x("{targetms}"): 300, "Rank": 1, "Backend": backend, "MaxTries": 2}
	if stalenessMs > 0 {
		r[x("{stalenessms}")] = stalenessMs
	}
	return r
}

// replaceConfig sends a complete configuration until it gets a final answer, and returns its
// status.
func (w *world) replaceConfig(base, revision int, routes []route) int {
	var backends []map[string]any
	var names []string
	for name := range w.services {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		backends = append(backends, map[string]any{"Name": name, "ProbePath": "/health", "ConnLimit": connectionLimit, "Protocol": "h1", "Tls": false, x("{syncreplicas}"): 1})
	}
	return w.change(x("{config.replace}"), base, map[string]any{"Revision": revision, "Routes": routes, "Backends": backends,
		"Limits": map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderWaitMs": 3000, "IdleMs": 15000, x("{txnidlems}"): 3000}})
}

// amendRoute replaces one route and returns the status of the answer.
func (w *world) amendRoute(base, revision int, changed route) int {
	return w.change(x("{config.amend}"), base, map[string]any{"Revision": revision, x("{upsert}"): map[string]any{"Routes": []route{changed}}})
}

// change sends a change of the configuration until it gets a final answer.
func (w *world) change(path string, base int, content any) int {
	body, err := json.Marshal(content)
	if err != nil {
		panic(err) // every field can be encoded
	}
	end := time.Now().Add(startupTimeout)
	for i := 0; time.Now().Before(end) && w.ctx.Err() == nil; i++ {
		m := w.machines[i%len(w.machines)]
		status := w.changeOnce(m, path, base, body)
		w.record.add("operator sent %s on base %d to %s -> %d: %s", path, base, m.name, status, body)
		if status == http.StatusOK || status >= 400 && status < 500 && status != 408 && status != 429 {
			return status
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0
}

func (w *world) changeOnce(m *machine, path string, base int, body []byte) int {
	request, err := http.NewRequestWithContext(w.ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/stoneford/%s", m.ip, w.ports.control, path), bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(x("{base-revision}"), strconv.Itoa(base))
	response, err := httpClient.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}
