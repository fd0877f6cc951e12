package platform

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"stoneford/internal/ports"
)

const (
	pathHeartbeat  = "/stoneford/Instances.Heartbeat/"
	pathDeregister = "/stoneford/Instances.Deregister/"
	pathReplace    = "/stoneford/Config.Replace"
	pathAmend      = "/stoneford/Config.Amend"
	pathFetch      = "/stoneford/Config.Fetch"

	headerBase = "Base-Revision"

	maxBodyBytes      = 4 << 20
	maxHeartbeatBytes = 64 << 10
	phaseDraining     = "draining"
)

// registry is what databases and operators call.
func registry(c ports.Control) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+pathHeartbeat+"{id}", func(w http.ResponseWriter, r *http.Request) { handleHeartbeat(w, r, c) })
	m.HandleFunc("POST "+pathDeregister+"{id}", func(w http.ResponseWriter, r *http.Request) { handleDeregister(w, r, c) })
	m.HandleFunc("POST "+pathReplace, func(w http.ResponseWriter, r *http.Request) { handleChange(w, r, c, true) })
	m.HandleFunc("POST "+pathAmend, func(w http.ResponseWriter, r *http.Request) { handleChange(w, r, c, false) })
	m.HandleFunc("GET "+pathFetch, func(w http.ResponseWriter, r *http.Request) { handleFetch(w, r, c) })
	return m
}

const (
	// callTimeout is how long a call may wait for the control process; who calls goes
	// on to another node after a second of silence.
	callTimeout = 950 * time.Millisecond
	// callTimeoutPerKilobyte is added for the size of an order.
	callTimeoutPerKilobyte = 10 * time.Millisecond
	// retryAfterSeconds is when a call may come back that cannot be served now.
	retryAfterSeconds = "1"
)

// callTimeoutFor is how long a call with a body of that many bytes may wait.
func callTimeoutFor(bytes int) time.Duration {
	return callTimeout + time.Duration(bytes/1024)*callTimeoutPerKilobyte
}

// setRetryAfter says when to ask this node again.
func setRetryAfter(w http.ResponseWriter) { w.Header().Set("Retry-After", retryAfterSeconds) }

// unavailable says that this node cannot serve a call now, and nothing of what
// may become of the call: whoever calls asks another node, or comes back.
func unavailable(w http.ResponseWriter) {
	setRetryAfter(w)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// httpServer has the time-outs of all servers here.
func httpServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: 3 * time.Second, ReadTimeout: 15 * time.Second, WriteTimeout: 30 * time.Second,
		IdleTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10}
}

// serveHTTP serves until the context ends; what is under way then still gets
// its answer.
func serveHTTP(ctx context.Context, address string, h http.Handler) error {
	listener, err := listen(ctx, address)
	if err != nil {
		return err
	}
	s := httpServer(h)
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lingerTimeout)
		defer cancel()
		if s.Shutdown(ctx) != nil {
			s.Close()
		}
	})
	err = s.Serve(listener)
	if !stop() {
		<-ended
		return nil
	}
	return err
}

// ServeControl serves databases and operators until the context ends.
func ServeControl(ctx context.Context, address string, c ports.Control) error {
	return serveHTTP(ctx, address, registry(c))
}

// number is a whole or fractional number.
type number float64

// UnmarshalJSON reads any JSON number that is not below 0.
func (n *number) UnmarshalJSON(data []byte) error {
	f, err := strconv.ParseFloat(string(data), 64)
	if err != nil || f < 0 || f > 1e15 {
		return fmt.Errorf("%.30s is not a number that can be used", data)
	}
	*n = number(f)
	return nil
}

func (n number) microseconds() int64 { return int64(math.Round(float64(n) * 1000)) }

func (n number) integer() int { return int(min(float64(n), math.MaxInt32)) }

// rawTable is a configuration's items as they came.
type rawTable struct {
	Routes   []json.RawMessage `json:"Routes"`
	Backends []json.RawMessage `json:"Backends"`
}

type rawChange struct {
	Revision *uint64 `json:"Revision"`
	rawTable
	Limits json.RawMessage `json:"Limits"`
	Upsert rawTable        `json:"Upsert"`
	Remove struct {
		Routes   []string `json:"Routes"`
		Backends []string `json:"Backends"`
	} `json:"Remove"`
}

type rawRoute struct {
	Name        string `json:"Name"`
	Host        string `json:"Host"`
	PathPrefix  string `json:"PathPrefix"`
	RouteClass  string `json:"RouteClass"`
	Backend     string `json:"Backend"`
	DeadlineMs  number `json:"DeadlineMs"`
	TargetMs    number `json:"TargetMs"`
	StalenessMs number `json:"StalenessMs"`
	Rank        number `json:"Rank"`
	MaxTries    number `json:"MaxTries"`
}

type rawGroup struct {
	Name         string `json:"Name"`
	ConnLimit    number `json:"ConnLimit"`
	SyncReplicas number `json:"SyncReplicas"`
}

type rawLimits struct {
	IdleMs    number `json:"IdleMs"`
	TxnIdleMs number `json:"TxnIdleMs"`
}

var routeClasses = map[string]ports.ReadClass{"leader": ports.CurrentRead, "bounded_staleness": ports.BoundedStaleness, "pinned": ports.ReadYourWrites}

func readRoute(data []byte) (ports.Route, error) {
	var route rawRoute
	if err := json.Unmarshal(data, &route); err != nil {
		return ports.Route{}, err
	}
	kind, ok := routeClasses[route.RouteClass]
	switch {
	case route.Name == "":
		return ports.Route{}, errors.New("it has no name")
	case !ok:
		return ports.Route{}, fmt.Errorf("%s: %q is not a class of routes", route.Name, route.RouteClass)
	}
	return ports.Route{Name: route.Name, Host: route.Host, Prefix: route.PathPrefix, Class: kind, Group: route.Backend, TimeoutUs: route.DeadlineMs.microseconds(),
		LatencyTargetUs: route.TargetMs.microseconds(), MaxStalenessUs: route.StalenessMs.microseconds(), Rank: route.Rank.integer(), MaxAttempts: route.MaxTries.integer(), Source: data}, nil
}

func readGroup(data []byte) (ports.Group, error) {
	var group rawGroup
	if err := json.Unmarshal(data, &group); err != nil {
		return ports.Group{}, err
	}
	if group.Name == "" {
		return ports.Group{}, errors.New("it has no name")
	}
	return ports.Group{Name: group.Name, ConnectionLimit: group.ConnLimit.integer(), RequiredReplicaAcks: group.SyncReplicas.integer(), Source: data}, nil
}

func readLimits(data []byte) (ports.Limits, error) {
	var limits rawLimits
	if err := json.Unmarshal(data, &limits); err != nil {
		return ports.Limits{}, err
	}
	return ports.Limits{IdleTimeoutUs: limits.IdleMs.microseconds(), TransactionIdleTimeoutUs: limits.TxnIdleMs.microseconds(), Source: data}, nil
}

// requestName names an order by its exact content: which call it is, the number in
// its Base-Revision and the bytes of its body. Nothing else of a call counts, so
// the same order may come over any connection with any other headers; a body of
// other bytes is another order, even if it says the same.
func requestName(replace bool, base string, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%t\n%s\n", replace, base)
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// readChange reads an operator's change; what cannot be read is among its
// Problems.
func readChange(replace bool, base string, body []byte) ports.TableChange {
	change := ports.TableChange{Complete: replace}
	problem := func(f string, a ...any) { change.Problems = append(change.Problems, fmt.Sprintf(f, a...)) }
	var err error
	if change.BaseRevision, err = strconv.ParseUint(base, 10, 64); err != nil {
		problem("%s: %q is not a revision", headerBase, base)
	} else {
		base = strconv.FormatUint(change.BaseRevision, 10)
	}
	change.Digest = requestName(replace, base, body)
	var raw rawChange
	if !utf8.Valid(body) {
		problem("the body is not UTF-8")
		return change
	}
	if err := json.Unmarshal(body, &raw); err != nil {
		problem("the body: %v", err)
		return change
	}
	if raw.Revision == nil {
		problem("Revision: is missing")
	} else {
		change.Revision = *raw.Revision
	}
	items := raw.Upsert
	if replace {
		items = raw.rawTable
		if items.Routes == nil {
			problem("Routes: are missing")
		}
		if items.Backends == nil {
			problem("Backends: are missing")
		}
	} else {
		change.RemoveRoutes, change.RemoveGroups = raw.Remove.Routes, raw.Remove.Backends
	}
	for i, b := range items.Routes {
		r, err := readRoute(b)
		if err != nil {
			problem("route %d: %v", i+1, err)
			continue
		}
		change.Routes = append(change.Routes, r)
	}
	for i, b := range items.Backends {
		g, err := readGroup(b)
		if err != nil {
			problem("service %d: %v", i+1, err)
			continue
		}
		change.Groups = append(change.Groups, g)
	}
	if len(raw.Limits) > 0 {
		l, err := readLimits(raw.Limits)
		if err != nil {
			problem("Limits: %v", err)
		}
		change.Limits = &l
	}
	return change
}

// readBody reads a body whole; false says that it has answered. A body that does
// not come whole says nothing of the call: 408 has it sent again.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		// Nothing is known against it; it may be sent again.
		w.WriteHeader(http.StatusRequestTimeout)
	case err != nil:
		w.WriteHeader(http.StatusRequestTimeout)
	}
	return data, err == nil
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header()["Content-Type"] = jsonType
	w.WriteHeader(status)
	w.Write(data)
}

var jsonType = []string{"application/json"}

var outcomes = map[ports.Outcome]int{ports.Committed: http.StatusOK, ports.Stale: http.StatusPreconditionFailed,
	ports.Invalid: http.StatusBadRequest, ports.Unavailable: http.StatusServiceUnavailable}

// changeReply is what an operator hears of a change.
type changeReply struct {
	Revision uint64   `json:"Revision"`
	Problems []string `json:"Problems,omitempty"`
}

func handleChange(w http.ResponseWriter, r *http.Request, c ports.Control, replace bool) {
	data, ok := readBody(w, r, maxBodyBytes)
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), callTimeoutFor(len(data)))
	defer stop()
	base := strings.Join(r.Header.Values(headerBase), ",") // two are not one revision
	result := c.Change(ctx, readChange(replace, base, data))
	if result.Outcome == ports.Unavailable {
		setRetryAfter(w)
	}
	reply(w, outcomes[result.Outcome], changeReply{result.Revision, result.Problems})
}

func handleFetch(w http.ResponseWriter, r *http.Request, c ports.Control) {
	ctx, stop := context.WithTimeout(r.Context(), callTimeout)
	defer stop()
	t, ok := c.Fetch(ctx)
	if !ok {
		unavailable(w)
		return
	}
	data := renderTable(t)
	w.Header()["Content-Type"] = jsonType
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.Write(data)
}

// renderTable writes a table as an operator would send it whole.
func renderTable(t ports.RoutingTable) []byte {
	data := strconv.AppendUint([]byte(`{"Revision":`), t.Revision, 10)
	data = append(data, `,"Routes":[`...)
	for i, r := range t.Routes {
		if i > 0 {
			data = append(data, ',')
		}
		data = append(data, r.Source...)
	}
	data = append(data, `],"Backends":[`...)
	for i, g := range t.Groups {
		if i > 0 {
			data = append(data, ',')
		}
		data = append(data, g.Source...)
	}
	data = append(data, ']')
	if len(t.Limits.Source) > 0 {
		data = append(append(data, `,"Limits":`...), t.Limits.Source...)
	}
	return append(data, '}')
}

// rawBeat is a database's word on itself.
type rawBeat struct {
	Backend      string `json:"Backend"`
	Address      string `json:"Address"`
	Zone         string `json:"Zone"`
	Phase        string `json:"Phase"`
	DbRole       string `json:"DbRole"`
	Capacity     number `json:"Capacity"`
	WarmupLeftMs number `json:"WarmupLeftMs"`
	CallSeq      uint64 `json:"CallSeq"`
}

// beatReply names the process that the next beat should go to.
type beatReply struct {
	BeatTarget string `json:"BeatTarget"`
}

func readHeartbeat(id string, body []byte) (ports.Instance, error) {
	var heartbeat rawBeat
	if err := json.Unmarshal(body, &heartbeat); err != nil {
		return ports.Instance{}, err
	}
	if !isField(id) || !isField(heartbeat.Backend) || !isField(heartbeat.Address) {
		return ports.Instance{}, fmt.Errorf("%w: %.80q, %.80q, %.80q", errNotAField, id, heartbeat.Backend, heartbeat.Address)
	}
	return ports.Instance{ID: id, Group: heartbeat.Backend, Address: heartbeat.Address, Zone: heartbeat.Zone, Capacity: heartbeat.Capacity.integer(), Draining: heartbeat.Phase == phaseDraining,
		Primary: heartbeat.DbRole == roleLeader, WarmupUs: heartbeat.WarmupLeftMs.microseconds(), AnnouncementNumber: heartbeat.CallSeq}, nil
}

func handleHeartbeat(w http.ResponseWriter, r *http.Request, c ports.Control) {
	data, ok := readBody(w, r, maxHeartbeatBytes)
	if !ok {
		return
	}
	instance, err := readHeartbeat(r.PathValue("id"), data)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	announce(w, r, c, instance)
}

// handleDeregister takes a database's end; a body, where there is one, may say more.
func handleDeregister(w http.ResponseWriter, r *http.Request, c ports.Control) {
	data, ok := readBody(w, r, maxHeartbeatBytes)
	if !ok {
		return
	}
	instance := ports.Instance{ID: r.PathValue("id")}
	if !isField(instance.ID) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if full, err := readHeartbeat(instance.ID, data); err == nil {
		instance = full
	}
	instance.Gone, instance.Draining = true, true
	announce(w, r, c, instance)
}

func announce(w http.ResponseWriter, r *http.Request, c ports.Control, instance ports.Instance) {
	ctx, stop := context.WithTimeout(r.Context(), callTimeout)
	defer stop()
	ok, next := c.Announce(ctx, instance)
	if !ok {
		unavailable(w)
		return
	}
	w.Header()["Content-Type"] = jsonType
	if next == "" {
		io.WriteString(w, "{}")
		return
	}
	reply(w, http.StatusOK, beatReply{next})
}
