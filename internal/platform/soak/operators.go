package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Requests and replies of operators, in the platform's format.
type (
	routeItem struct {
		Name        string `json:"Name"`
		Host        string `json:"Host"`
		PathPrefix  string `json:"PathPrefix"`
		RouteClass  string `json:"RouteClass"`
		StalenessMs int    `json:"StalenessMs,omitempty"`
		DeadlineMs  int    `json:"DeadlineMs"`
		TargetMs    int    `json:"TargetMs"`
		Rank        int    `json:"Rank"`
		Backend     string `json:"Backend"`
		MaxTries    int    `json:"MaxTries"`
	}
	backendItem struct {
		Name         string `json:"Name"`
		ProbePath    string `json:"ProbePath"`
		ConnLimit    int    `json:"ConnLimit"`
		Protocol     string `json:"Protocol"`
		SyncReplicas int    `json:"SyncReplicas"`
	}
	limitItem struct {
		MaxHeaderBytes int `json:"MaxHeaderBytes"`
		MaxBodyBytes   int `json:"MaxBodyBytes"`
		HeaderWaitMs   int `json:"HeaderWaitMs"`
		IdleMs         int `json:"IdleMs"`
		TxnIdleMs      int `json:"TxnIdleMs"`
	}
	tableItem struct {
		Revision uint64        `json:"Revision"`
		Routes   []routeItem   `json:"Routes"`
		Backends []backendItem `json:"Backends"`
		Limits   limitItem     `json:"Limits"`
	}
	amendItem struct {
		Revision uint64 `json:"Revision"`
		Upsert   struct {
			Routes []routeItem `json:"Routes"`
		} `json:"Upsert,omitzero"`
		Remove struct {
			Routes []string `json:"Routes"`
		} `json:"Remove,omitzero"`
	}
)

const (
	// callTimeout bounds a client's wait for a reply, after which it calls another process.
	callTimeout = time.Second
	minBackoff  = 20 * time.Millisecond
	maxBackoff  = 600 * time.Millisecond
	// readInterval is the time between two reads of the table.
	readInterval = 100 * time.Millisecond
	serviceCount = 2
	// databasesPerService is the number of databases of a service, the first of which is
	// its primary.
	databasesPerService = 3
	// sessionHosts is the number of hosts that session clients use, whose routes guarantee
	// that a session reads its own writes.
	sessionHosts = 3
	// sessionStaleness is how old reads on those routes may be, except that they show the
	// commits of their own session.
	sessionStaleness = 2500 * time.Millisecond
)

// operators emulates the operators. They send changes of the routing table one after the other,
// and occasionally two concurrent changes based on the same version.
type operators struct {
	fleet        *fleet
	history      *history
	rand         *rand.Rand // used only by the goroutine that generates changes
	client       *http.Client
	lastRevision uint64
	newestAcked  *version // newest version that the operators know to be acknowledged
}

func newOperators(f *fleet, h *history) *operators {
	return &operators{fleet: f, history: h, rand: rand.New(rand.NewPCG(f.options.seed, 0x6f70)), newestAcked: h.versions[0],
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}}
}

// serviceName returns the name of the service with an index.
func serviceName(i int) string { return fmt.Sprintf("service-%d", i+1) }

// databaseName returns the name of a database of the service with an index.
func databaseName(service, i int) string { return fmt.Sprintf("%s-%c", serviceName(service), 'a'+i) }

// serviceOf returns the service of the database with a name.
func serviceOf(database string) string {
	i := strings.LastIndex(database, "-")
	return database[:max(i, 0)]
}

// sessionHost returns the name of the session clients' host with an index.
func sessionHost(i int) string { return fmt.Sprintf("%s%d", sessionPrefix, i) }

const sessionPrefix = "session-"

func isSessionHost(host string) bool { return strings.HasPrefix(host, sessionPrefix) }

// routeFor returns the route that routes a host to a service.
func routeFor(host, service string) routeItem {
	if isSessionHost(host) {
		return routeItem{Name: "r-" + host, Host: host, PathPrefix: "/", RouteClass: "pinned", StalenessMs: int(sessionStaleness.Milliseconds()), DeadlineMs: 800, TargetMs: 300, Rank: 1, Backend: service, MaxTries: 2}
	}
	return routeItem{Name: "r-" + host, Host: host, PathPrefix: "/", RouteClass: "leader", DeadlineMs: 800, TargetMs: 300, Rank: 1, Backend: service, MaxTries: 2}
}

// tableRequest is the request for a change, which may be sent repeatedly.
type tableRequest struct {
	path    string
	body    []byte
	version *version
}

// nextRevision returns a revision that is 1 to 3 higher than the last one.
func (o *operators) nextRevision() uint64 {
	o.lastRevision += 1 + uint64(o.rand.IntN(3))
	return o.lastRevision
}

// initialTable returns the first change, which sets the complete table.
func (o *operators) initialTable() tableRequest {
	v := &version{revision: o.nextRevision(), serviceByHost: map[string]string{}}
	table := tableItem{Revision: v.revision, Limits: limitItem{16384, 262144, 3000, 15000, 3000}}
	for i := range serviceCount {
		table.Backends = append(table.Backends, backendItem{Name: serviceName(i), ProbePath: "/health", ConnLimit: 60, Protocol: "h1"})
	}
	for i := range 6 {
		name := fmt.Sprintf("base-%d", i)
		v.serviceByHost[name] = serviceName(i % serviceCount)
		table.Routes = append(table.Routes, routeFor(name, v.serviceByHost[name]))
	}
	for i := range sessionHosts {
		name := sessionHost(i)
		v.serviceByHost[name] = serviceName(i % serviceCount)
		table.Routes = append(table.Routes, routeFor(name, v.serviceByHost[name]))
	}
	return newTableRequest("/stoneford/Config.Replace", table, v)
}

// newTableRequest encodes the request for a version.
func newTableRequest(path string, body any, v *version) tableRequest {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return tableRequest{path: path, body: b, version: v}
}

// amendment returns a random change based on a version: it adds a route, changes the service of
// one or of all session clients' routes, removes one, or is invalid because its service does not exist.
func (o *operators) amendment(base *version) tableRequest {
	v := &version{revision: o.nextRevision(), base: base.revision, serviceByHost: map[string]string{}}
	var names []string
	for name, service := range base.serviceByHost {
		v.serviceByHost[name] = service
		if !isSessionHost(name) {
			names = append(names, name)
		}
	}
	a := amendItem{Revision: v.revision}
	upsert := func(name, service string) {
		v.serviceByHost[name] = service
		a.Upsert.Routes = append(a.Upsert.Routes, routeFor(name, service))
	}
	switch draw := o.rand.IntN(16); {
	case draw >= 10: // the session clients' routes move from service to service and back while sessions are open
		for i := range sessionHosts {
			upsert(sessionHost(i), otherService(base.serviceByHost[sessionHost(i)]))
		}
	case draw < 4:
		upsert(fmt.Sprintf("added-%d", v.revision), serviceName(o.rand.IntN(serviceCount)))
	case draw < 7:
		upsert(pickName(o.rand, names), serviceName(o.rand.IntN(serviceCount)))
	case draw < 9 && len(names) > 4:
		name := pickName(o.rand, names)
		delete(v.serviceByHost, name)
		a.Remove.Routes = []string{"r-" + name}
	default:
		v.invalid = true
		upsert(fmt.Sprintf("invalid-%d", v.revision), "no-such-service")
	}
	return newTableRequest("/stoneford/Config.Amend", a, v)
}

// otherService returns the service that follows another one, the first after the last.
func otherService(name string) string {
	for i := range serviceCount {
		if serviceName(i) == name {
			return serviceName((i + 1) % serviceCount)
		}
	}
	return serviceName(0)
}

// pickName returns a random name. The choice does not depend on the order of the names, which
// come from a map.
func pickName(rand *rand.Rand, names []string) string {
	chosen := ""
	offset := rand.Uint64()
	minHash := uint64(0)
	for _, name := range names {
		h := offset
		for _, c := range []byte(name) {
			h = (h ^ uint64(c)) * 0x100000001b3
		}
		if chosen == "" || h < minHash {
			chosen, minHash = name, h
		}
	}
	return chosen
}

// send sends a change to random control processes until it gets a final reply, whose status it
// returns. It returns 0 if the context is cancelled before.
func (o *operators) send(ctx context.Context, request tableRequest, rand *rand.Rand) int {
	backoff := minBackoff
	for ctx.Err() == nil {
		m := o.fleet.controls()[rand.IntN(o.fleet.options.controls)]
		switch status := o.call(ctx, m, request); {
		case status == http.StatusOK:
			o.history.recordAcknowledged(request.version)
			return status
		case status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			o.history.recordRefused(request.version, status)
			return status
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return 0
}

// call sends a request once. It returns the status of the reply, or 0 if there is none.
func (o *operators) call(ctx context.Context, m *machine, request tableRequest) int {
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address(m.ip, operatorRelayPort)+request.path, bytes.NewReader(request.body))
	if err != nil {
		return 0
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	httpRequest.Header.Set("Base-Revision", strconv.FormatUint(request.version.base, 10))
	response, err := o.client.Do(httpRequest)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// change sends one change, or two concurrent ones based on the same version, and waits for the
// final replies. It may repeat an acknowledged change.
func (o *operators) change(ctx context.Context) {
	requests := []tableRequest{o.amendment(o.newestAcked)}
	if o.rand.IntN(4) == 0 {
		requests = append(requests, o.amendment(o.newestAcked))
	}
	var wg sync.WaitGroup
	for _, request := range requests {
		o.history.recordSent(request.version)
		rand := rand.New(rand.NewPCG(o.rand.Uint64(), request.version.revision))
		wg.Go(func() { o.send(ctx, request, rand) })
	}
	wg.Wait()
	for _, request := range requests {
		if !request.version.ackedAt.IsZero() {
			o.newestAcked = request.version
			if o.rand.IntN(5) == 0 { // repeat the change before any other is sent
				o.send(ctx, request, o.rand)
			}
		}
	}
}

// read reads the table from one process and checks it. It returns false if the process does not
// return a table.
func (o *operators) read(ctx context.Context, m *machine) bool {
	sentAt := time.Now()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address(m.ip, operatorRelayPort)+"/stoneford/Config.Fetch", nil)
	if err != nil {
		return false
	}
	response, err := o.client.Do(httpRequest)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var table tableItem
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&table) != nil {
		o.history.count(func(c *counts) { c.FailedReads++ })
		return false
	}
	serviceByHost := map[string]string{}
	for _, r := range table.Routes {
		serviceByHost[r.Host] = r.Backend
	}
	o.history.checkTable(m.name, table.Revision, serviceByHost, sentAt)
	return true
}

// readPeriodically reads the table from random control processes until the context is
// cancelled.
func (o *operators) readPeriodically(ctx context.Context) {
	rand := rand.New(rand.NewPCG(o.fleet.options.seed, 0x7264))
	for ctx.Err() == nil {
		o.read(ctx, o.fleet.controls()[rand.IntN(o.fleet.options.controls)])
		select {
		case <-ctx.Done():
		case <-time.After(readInterval):
		}
	}
}
