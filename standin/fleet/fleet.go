// Package fleet starts a whole fleet on one machine as separate processes,
// brings faults about on a schedule, and reports what callers saw.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"stoneford/cleanup"
	"stoneford/control"
	"stoneford/databaseclient"
	"stoneford/operators"
	"stoneford/result"
	"stoneford/standin/callers"
	"stoneford/standin/databasecopy"
	"stoneford/standin/link"
	"stoneford/standin/platform"
)

// Part is what one partner brings.
type Part struct {
	Partner     string
	Groups      []string
	Zones       []string // its names for the three zones
	Connections int
	Classes     [3]string // its names of the current, the stale and the pinned class
}

// Shape is a deployment's sizes.
type Shape struct {
	Parts    []Part
	Machines int
	Sessions int
	Rate     float64
}

var (
	pharmacies = Part{Partner: "pharmacies", Groups: []string{"inventory-1", "inventory-2", "inventory-3"}, Zones: []string{"cluj", "iasi", "brasov"}, Connections: 65, Classes: [3]string{"reserve", "lookup", "pickup"}}
	lender     = Part{Partner: "lender", Groups: []string{"ledger-1", "ledger-2", "ledger-3"}, Zones: []string{"cluj", "iasi", "brasov"}, Connections: 80, Classes: [3]string{"disburse", "repayment", "limit"}}
)

// Shapes are the users' two, both on one pool, and a smaller one.
var Shapes = map[string]Shape{
	"pharmacies": {Parts: []Part{pharmacies}, Machines: 11, Sessions: 290, Rate: 450},
	"lender":     {Parts: []Part{lender}, Machines: 10, Sessions: 290, Rate: 450},
	"both":       {Parts: []Part{pharmacies, lender}, Machines: 21, Sessions: 580, Rate: 900},
	"two":        {Parts: []Part{{Partner: "pharmacies", Groups: []string{"inventory-1"}, Zones: pharmacies.Zones, Connections: 40, Classes: pharmacies.Classes}, {Partner: "lender", Groups: []string{"ledger-1"}, Zones: pharmacies.Zones, Connections: 40, Classes: lender.Classes}}, Machines: 4, Sessions: 40, Rate: 80},
	"small":      {Parts: []Part{{Partner: "pharmacies", Groups: []string{"inventory-1"}, Zones: pharmacies.Zones, Connections: 40, Classes: pharmacies.Classes}}, Machines: 4, Sessions: 40, Rate: 80},
}

// groups names every group, as PARTNER/GROUP.
func (s Shape) groups() []string {
	var gs []string
	for _, p := range s.Parts {
		for _, g := range p.Groups {
			gs = append(gs, p.Partner+"/"+g)
		}
	}
	return gs
}

// owner is whom a machine belongs to: the partners bring them in turn.
func (s Shape) owner(machine int) string { return s.Parts[machine%len(s.Parts)].Partner }

// partner is whom a group belongs to; groups of different partners have
// different names here.
func (s Shape) partner(group string) string {
	for _, p := range s.Parts {
		if slices.Contains(p.Groups, group) {
			return p.Partner
		}
	}
	return ""
}

func (s Shape) connections(group string) int {
	for _, p := range s.Parts {
		if strings.HasPrefix(group, p.Partner+"/") {
			return p.Connections
		}
	}
	return 0
}

// Route is the route that leads to the group of a database, "" for other
// processes.
func (s Shape) Route(process string) string {
	for _, g := range s.groups() {
		if _, n, _ := strings.Cut(g, "/"); strings.HasPrefix(process, n+"-") {
			return g
		}
	}
	return ""
}

// proc is one process of the fleet.
type proc struct {
	name   string
	kind   string
	args   []string
	folder string // its data folder, wiped when it is lost for good
	http   string // where the runner itself reaches it, past its links
	older  bool   // runs the programs of an earlier revision
	ip     string // where its connections come from
	boot   string // its boot file
	zone   string
	links  []*link.Link
	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	unslow chan struct{} // ends its slow machine
	wanted bool          // an exit now is a fault of the schedule
}

// Fleet is a running fleet.
type Fleet struct {
	Shape    Shape
	bin      string
	older    string // programs of an earlier revision, "" for none
	folder   string
	procs    map[string]*proc
	order    []string
	addr     map[string]string // databases' addresses
	ops      []string          // operators' addresses
	plat     string            // the platform's address
	platform *platform.Server
	seeds    []string
	nodes    []string // callers' addresses of all pool nodes
	free     []string // ports not taken yet
	ips      int
	zones    map[string]string // of pool nodes, by callers' address
	burden   *callers.Run      // what callers do, once they run
	died     []string
	mu       sync.Mutex
	clean    cleanup.Stack
}

// Token is what a partner's operators send.
func Token(partner string) string { return partner + "-token" }

// Programs a fleet is made of.
var programs = []string{"./cmd/stoneford-pool", "./cmd/stoneford-control", "./standin/standin-database"}

// Build builds the programs into a folder, from the module's root.
func Build(ctx context.Context, root, bin string) error {
	c := exec.CommandContext(ctx, "go", append([]string{"build", "-o", bin + "/"}, programs...)...)
	c.Dir = root
	out, err := c.CombinedOutput()
	if err != nil {
		return fmt.Errorf("go build: %w\n%s", err, out)
	}
	return nil
}

// ports finds n free ports on the loopback address.
func ports(n int) ([]string, error) {
	var ls []net.Listener
	var as []string
	defer func() {
		for _, l := range ls {
			l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		ls, as = append(ls, l), append(as, l.Addr().String())
	}
	return as, nil
}

// New lays a fleet out; nothing runs yet.
func New(s Shape, bin, folder string) (*Fleet, error) {
	f := &Fleet{Shape: s, bin: bin, folder: folder, procs: map[string]*proc{}, addr: map[string]string{}, zones: map[string]string{}}
	// Every process listens on a port of its own behind a link that others
	// reach it through; some ports are kept for machines that join later.
	ps, err := ports(1 + 2*(2*3+2*(s.Machines+spare)+3*len(s.groups())))
	if err != nil {
		return nil, err
	}
	f.free = ps
	take := f.take
	f.plat = take()
	for range 3 {
		f.seeds = append(f.seeds, take())
	}
	seeds := f.seeds
	tokens := map[string]string{}
	for _, pt := range s.Parts {
		tokens[pt.Partner] = Token(pt.Partner)
	}
	for _, k := range s.groups() {
		for i := range 3 {
			_, g, _ := strings.Cut(k, "/")
			n := fmt.Sprintf("%s-%c", g, 'a'+i)
			f.addr[n] = take()
			p := &proc{name: n, kind: "standin-database", ip: f.nextIP()}
			d, at := filepath.Join(folder, n), p.at(take())
			p.folder, p.http = d, at
			f.link(p, f.addr[n], at)
			p.args = []string{"--name", n, "--listen", at, "--folder", d, "--connections", fmt.Sprint(s.connections(k))}
			f.add(p)
		}
	}
	for i := range 3 {
		n := fmt.Sprintf("control-%d", i+1)
		h := take()
		f.ops = append(f.ops, h)
		d := filepath.Join(folder, n)
		if err := f.boot(n, "stoneford-control", map[string]any{"name": n, "zone": s.Parts[0].Zones[i%3], "partner": s.owner(i), "listen": seeds[i], "http": h,
			"seeds": seeds, "data_folder": d, "platform": f.plat, "tokens": tokens}); err != nil {
			return nil, err
		}
	}
	for range s.Machines {
		if _, err := f.addPool(); err != nil {
			return nil, err
		}
	}
	f.platform = platform.New(f.nodes, platform.Hands{Replace: f.replace, Stop: f.stopMachine})
	return f, nil
}

// spare is how many machines may join later.
const spare = 4

// nextIP gives each process an address of its own on the loopback, so that what
// it sends can be told by where it comes from.
func (f *Fleet) nextIP() string {
	f.ips++
	return fmt.Sprintf("127.0.%d.%d", 1+f.ips/200, 1+f.ips%200)
}

// at is the process's own address with a port that was found free.
func (p *proc) at(addr string) string { return p.ip + addr[strings.LastIndex(addr, ":"):] }

func (f *Fleet) take() string {
	p := f.free[0]
	f.free = f.free[1:]
	return p
}

// addPool lays one more pool node out.
func (f *Fleet) addPool() (string, error) {
	i := len(f.nodes)
	n, h := fmt.Sprintf("pool-%d", i+1), f.take()
	f.nodes = append(f.nodes, h)
	return n, f.boot(n, "stoneford-pool", map[string]any{"name": n, "zone": f.Shape.Parts[0].Zones[i%3], "partner": f.Shape.owner(i),
		"listen": f.take(), "http": h, "seeds": f.seeds})
}

// Join has a new machine join: its node is started and the platform told.
func (f *Fleet) Join() (string, error) {
	if len(f.free) < 4 {
		return "", errors.New("no more machines are kept")
	}
	n, err := f.addPool()
	if err != nil {
		return n, err
	}
	if err := f.start(f.procs[n]); err != nil {
		return n, err
	}
	f.platform.SetNodes(f.nodes)
	return n, nil
}

// replace loses a database's disk and starts it empty, if it is still the copy
// that was meant.
func (f *Fleet) replace(database, identity string) error {
	p := f.procs[database]
	if p == nil {
		return fmt.Errorf("no database %q", database)
	}
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	st, err := databaseclient.New(nil).Poll(ctx, p.http, 0, 0, 0)
	if err == nil && st.Identity != identity {
		return nil
	}
	_, err = f.Do(context.Background(), Fault{Action: "wipe", Target: database})
	return err
}

func (f *Fleet) stopMachine(machine string) error {
	p := f.procs[machine]
	if p == nil {
		return fmt.Errorf("no machine %q", machine)
	}
	go p.signal(syscall.SIGTERM, true)
	return nil
}

// link puts a link in front of a process.
func (f *Fleet) link(p *proc, addr, target string) {
	k := link.New(addr, target)
	p.links = append(p.links, k)
	f.clean.Push(k.Close)
}

func (f *Fleet) add(p *proc) { f.procs[p.name] = p; f.order = append(f.order, p.name) }

func (f *Fleet) boot(name, kind string, m map[string]any) error {
	p := &proc{name: name, kind: kind, ip: f.nextIP(), zone: m["zone"].(string)}
	for _, k := range [][2]string{{"listen", "bind"}, {"http", "bind_http"}} {
		at := p.at(f.take())
		f.link(p, m[k[0]].(string), at)
		m[k[1]] = at
		p.http = at
	}
	b, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(f.folder, name+".json")
	if err := os.WriteFile(file, b, 0o644); err != nil {
		return err
	}
	p.folder, _ = m["data_folder"].(string)
	p.args, p.boot = []string{"--boot", file}, file
	f.mu.Lock()
	f.zones[m["http"].(string)] = p.zone
	f.mu.Unlock()
	f.add(p)
	return nil
}

// Configuration is one partner's configuration.
func (f *Fleet) Configuration(pt Part) map[string]any {
	dbs, gs, rs := map[string]any{}, map[string]any{}, map[string]any{}
	for i, g := range pt.Groups {
		var ms []string
		for j := range 3 {
			n := fmt.Sprintf("%s-%c", g, 'a'+j)
			ms = append(ms, n)
			dbs[n] = map[string]any{"address": f.addr[n], "zone": pt.Zones[(i+j)%3], "connections": pt.Connections}
		}
		gs[g] = map[string]any{"members": ms, "primary": ms[0]}
		rs[g] = map[string]any{"group": g, "classes": pt.Classes[:]}
	}
	return map[string]any{"databases": dbs, "groups": gs, "routes": rs, "classes": map[string]any{
		pt.Classes[0]: map[string]any{"kind": "current"},
		pt.Classes[1]: map[string]any{"kind": "stale", "stale_us": 1_500_000},
		pt.Classes[2]: map[string]any{"kind": "pinned", "stale_us": 2_500_000},
	}}
}

// Burden is what callers of the shape do, so many sessions and queries a second.
func (f *Fleet) Burden(sessions int, rate float64, seed uint64) callers.Burden {
	b := callers.Burden{Routes: f.Shape.groups(), Classes: map[string]map[string]string{}, Sessions: sessions, Rate: rate, Seed: seed, Nodes: f.Nodes,
		Zones: f.Shape.Parts[0].Zones, Zone: f.zoneOf}
	for _, p := range f.Shape.Parts {
		for _, g := range p.Groups {
			b.Classes[p.Partner+"/"+g] = map[string]string{"current": p.Classes[0], "stale": p.Classes[1], "pinned": p.Classes[2]}
		}
	}
	return b
}

func (f *Fleet) start(p *proc) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	lf, err := os.OpenFile(filepath.Join(f.folder, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	bin := f.bin
	if p.older {
		bin = f.older
	}
	c := exec.Command(filepath.Join(bin, p.kind), p.args...)
	c.Stdout, c.Stderr = lf, lf
	if err := c.Start(); err != nil {
		lf.Close()
		return err
	}
	p.cmd, p.done, p.wanted = c, make(chan struct{}), false
	done := p.done
	for _, k := range p.links {
		if err := k.Up(); err != nil {
			return err
		}
	}
	go func() {
		err := c.Wait()
		lf.Close()
		for _, k := range p.links {
			err = errors.Join(err, k.Down())
		}
		p.mu.Lock()
		if !p.wanted {
			f.mu.Lock()
			f.died = append(f.died, fmt.Sprintf("%s ended by itself: %v (see its log)", p.name, err))
			f.mu.Unlock()
		}
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

func (p *proc) signal(s syscall.Signal, ends bool) {
	p.mu.Lock()
	c, done := p.cmd, p.done
	if c != nil {
		p.wanted = p.wanted || ends
		_ = c.Process.Signal(s)
		if ends {
			_ = c.Process.Signal(syscall.SIGCONT)
		}
	}
	p.mu.Unlock()
	if c != nil && ends {
		<-done
	}
}

// Older has every process of ours begin with the programs in a folder, of an
// earlier revision, but the control process that operators ask first: their paths
// are those of this revision.
func (f *Fleet) Older(bin string) {
	f.older = bin
	for n, p := range f.procs {
		p.older = strings.HasPrefix(p.kind, "stoneford-") && n != "control-1"
	}
}

// Start starts every process and puts the configuration in force.
func (f *Fleet) Start(ctx context.Context) error {
	pctx, end := context.WithCancel(context.Background())
	f.clean.Push(func() error { end(); return nil })
	pl, err := net.Listen("tcp", f.plat)
	if err != nil {
		return err
	}
	go f.platform.Serve(pctx, pl)
	f.clean.Push(func() error {
		for _, n := range f.order {
			f.procs[n].signal(syscall.SIGKILL, true)
		}
		return nil
	})
	for _, n := range f.order {
		if err := f.start(f.procs[n]); err != nil {
			return err
		}
	}
	for _, pt := range f.Shape.Parts {
		b, err := json.Marshal(f.Configuration(pt))
		if err != nil {
			return err
		}
		if err := Until(ctx, 30*time.Second, func() error {
			r, err := f.Operators(pt.Partner).Change(ctx, 0, b, false, false)
			if err != nil {
				return err
			}
			if r.Revision != 1 {
				return fmt.Errorf("the configuration was not taken: %d %s %v", r.Code, r.Text, r.Problems)
			}
			return nil
		}); err != nil {
			return err
		}
	}
	return Until(ctx, 30*time.Second, func() error {
		if n := len(f.Nodes()); n < f.Shape.Machines {
			return fmt.Errorf("%d of %d nodes are ready", n, f.Shape.Machines)
		}
		return nil
	})
}

// Until tries f again until it does not fail or the time is over.
func Until(ctx context.Context, most time.Duration, f func() error) error {
	end := time.Now().Add(most)
	for {
		err := f()
		if err == nil || time.Now().After(end) {
			return err
		}
		t := time.NewTimer(50 * time.Millisecond)
		select {
		case <-ctx.Done():
			t.Stop()
			return errors.Join(err, ctx.Err())
		case <-t.C:
		}
	}
}

// Operators is a partner's operators' side of the fleet.
func (f *Fleet) Operators(partner string) operators.Client {
	return operators.Client{Addresses: f.ops, Token: Token(partner)}
}

// Nodes are the ready pool nodes, as the platform hands them out.
func (f *Fleet) Nodes() []string {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + f.plat + "/v1/nodes")
	if err != nil {
		return nil
	}
	defer r.Body.Close()
	var ns []string
	if json.NewDecoder(r.Body).Decode(&ns) != nil {
		return nil
	}
	return ns
}

// Ready asks a process whether it is ready.
func (f *Fleet) Ready(ctx context.Context, name string) error {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.procs[name].http+"/v1/ready", nil)
	if err != nil {
		return err
	}
	r, err := http.DefaultClient.Do(rq)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("%s is not ready", name)
	}
	return nil
}

// Primary is a group's primary now.
func (f *Fleet) Primary(ctx context.Context, group string) string {
	s, err := f.Operators(f.Shape.Parts[0].Partner).Status(ctx)
	if err != nil {
		return ""
	}
	i := slices.IndexFunc(s.Groups, func(g control.GroupStatus) bool { return g.Name == f.Shape.partner(group)+"/"+group })
	if i < 0 {
		return ""
	}
	return s.Groups[i].Primary
}

// Logs reads what each group's primary holds, from the copies themselves: the
// furthest log in the latest epoch.
func (f *Fleet) Logs(ctx context.Context) (map[string][]databasecopy.LogEntry, error) {
	out := map[string][]databasecopy.LogEntry{}
	for _, k := range f.Shape.groups() {
		_, g, _ := strings.Cut(k, "/")
		err := Until(ctx, 20*time.Second, func() error {
			p := f.Primary(ctx, g)
			if p == "" {
				return fmt.Errorf("%s has no primary", g)
			}
			r, err := http.Get("http://" + f.procs[p].http + "/truth/log")
			if err != nil {
				return err
			}
			defer r.Body.Close()
			b, err := io.ReadAll(r.Body)
			if err != nil {
				return err
			}
			var es []databasecopy.LogEntry
			out[k] = es
			if err := json.Unmarshal(b, &es); err != nil {
				return err
			}
			out[k] = es
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}

// Died tells which processes ended by themselves.
func (f *Fleet) Died() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.died)
}

// Close ends every process.
func (f *Fleet) Close() error { return f.clean.Run() }

// zoneOf is the zone of the pool node at a callers' address.
func (f *Fleet) zoneOf(node string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.zones[node]
}

// CPU is the processor time of our living processes so far, by kind, as the
// kernel accounts it.
func (f *Fleet) CPU() map[string]time.Duration {
	m := map[string]time.Duration{}
	for _, n := range f.order {
		p := f.procs[n]
		p.mu.Lock()
		c := p.cmd
		p.mu.Unlock()
		if c == nil || !strings.HasPrefix(p.kind, "stoneford-") {
			continue
		}
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.Process.Pid))
		if err != nil {
			continue // it is down just now
		}
		fs := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
		for _, t := range fs[11:13] { // user and system time, in hundredths of a second
			if v, err := strconv.ParseInt(t, 10, 64); err == nil {
				m[p.kind] += time.Duration(v) * 10 * time.Millisecond
			}
		}
	}
	return m
}

// Counters are the pool nodes' counts of queries, status polls and envelopes.
type Counters struct{ Queries, Polls, Sent float64 }

// Counters sums what all pool nodes counted so far.
func (f *Fleet) Counters(ctx context.Context) (c Counters) {
	for _, n := range f.order {
		p := f.procs[n]
		if p.kind != "stoneford-pool" {
			continue
		}
		var v struct {
			Groups map[string]struct {
				Counts struct{ Queries, Polls float64 }
			}
			Links map[string]float64
		}
		rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.http+"/v1/counts", nil)
		if err != nil {
			continue
		}
		r, err := http.DefaultClient.Do(rq)
		if err != nil {
			continue
		}
		err = json.NewDecoder(r.Body).Decode(&v)
		r.Body.Close()
		if err != nil {
			continue
		}
		for _, g := range v.Groups {
			c.Queries, c.Polls = c.Queries+g.Counts.Queries, c.Polls+g.Counts.Polls
		}
		c.Sent += v.Links["sent"]
	}
	return c
}

// Configure sends a change of a partner's and returns how long after its
// acceptance every process that is up works by it, as they report themselves.
func (f *Fleet) Configure(ctx context.Context, partner string, line int64) (time.Duration, error) {
	o := f.Operators(partner)
	r, err := o.Configuration(ctx, false)
	if err != nil {
		return 0, err
	}
	var g string
	for _, p := range f.Shape.Parts {
		if p.Partner == partner {
			g = p.Groups[0]
		}
	}
	r, err = o.Change(ctx, r.Revision, fmt.Appendf(nil, `{"routes":{%q:{"line":%d}}}`, g, line), true, false)
	if err != nil || r.Code != result.OK {
		return 0, fmt.Errorf("the change ended as %d: %w", r.Code, err)
	}
	at := time.Now()
	err = Until(ctx, 30*time.Second, func() error {
		a, err := o.Configuration(ctx, true)
		if err != nil {
			return err
		}
		n := 0
		for _, rev := range a.Applied {
			if rev >= r.Revision {
				n++
			}
		}
		if n < len(f.nodes)+3 {
			return fmt.Errorf("%d of %d processes work by revision %d", n, len(f.nodes)+3, r.Revision)
		}
		return nil
	})
	return time.Since(at), err
}

// Callers starts callers that faults can crowd and move; Go sends the burden.
func (f *Fleet) Callers(b callers.Burden) *callers.Run {
	f.burden = callers.New(b)
	return f.burden
}

// Describe prints how the fleet can be reached.
func (f *Fleet) Describe(w io.Writer) {
	var ts []string
	for _, p := range f.Shape.Parts {
		ts = append(ts, Token(p.Partner))
	}
	fmt.Fprintf(w, "control (operators): %s\ntokens: %s\nnodes (callers): %s\nroutes: %s\nfolder: %s\n",
		strings.Join(f.ops, " "), strings.Join(ts, " "), strings.Join(f.Nodes(), " "), strings.Join(f.Shape.groups(), " "), f.folder)
}
