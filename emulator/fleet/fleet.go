package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"stoneford/emulator/callers"
	"stoneford/emulator/platform"
	"stoneford/internal/databaseclient"
	"stoneford/result"
)

// Fleet is a fleet of processes on one machine.
type Fleet struct {
	Shape               Shape
	programsFolder      string
	olderProgramsFolder string // of an earlier revision; empty for none
	folder              string
	processes           map[string]*process
	order               []string
	databaseAddresses   map[string]string // by name
	operatorAddresses   []string          // of the control processes' HTTP interfaces
	platformAddress     string
	platform            *platform.Server
	seeds               []string
	nodeAddresses       []string // of all pool nodes' HTTP interfaces for callers
	freeAddresses       []string // addresses with free ports for further processes
	lastIP              int
	zones               map[string]string // of pool nodes, by their address for callers
	load                *callers.Runner   // set by NewCallers
	crashed             []string
	mu                  sync.Mutex
	closers             []func() error // called by Close, the newest first
}

// OperatorToken returns the token by which a partner's operators authenticate.
func OperatorToken(partner string) string { return partner + "-token" }

// programs lists the packages of a fleet's programs.
var programs = []string{"./cmd/stoneford-pool", "./cmd/stoneford-control", "./emulator/emulated-database"}

// Build builds the programs of a fleet into the folder bin. root is the folder of the
// module.
func Build(ctx context.Context, root, bin string) error {
	c := exec.CommandContext(ctx, "go", append([]string{"build", "-o", bin + "/"}, programs...)...)
	c.Dir = root
	out, err := c.CombinedOutput()
	if err != nil {
		return fmt.Errorf("go build: %w\n%s", err, out)
	}
	return nil
}

// freeLoopbackPorts returns n addresses with free ports on the loopback interface.
func freeLoopbackPorts(n int) ([]string, error) {
	var listeners []net.Listener
	var addresses []string
	defer func() {
		for _, l := range listeners {
			l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners, addresses = append(listeners, l), append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// New creates a fleet of a shape from the programs in bin, with its configuration files and
// data in a folder. It starts no process.
func New(s Shape, bin, folder string) (*Fleet, error) {
	f := &Fleet{Shape: s, programsFolder: bin, folder: folder, processes: map[string]*process{}, databaseAddresses: map[string]string{}, zones: map[string]string{}}
	// Every process listens on ports of its own, and others connect to it through links.
	// Some ports are reserved for machines that join later.
	addresses, err := freeLoopbackPorts(1 + 2*(2*3+2*(s.Machines+spareMachines)+3*len(s.groups())))
	if err != nil {
		return nil, err
	}
	f.freeAddresses = addresses
	take := f.takeAddress
	f.platformAddress = take()
	for range 3 {
		f.seeds = append(f.seeds, take())
	}
	seeds := f.seeds
	tokens := map[string]string{}
	for _, partner := range s.Partners {
		tokens[partner.Partner] = OperatorToken(partner.Partner)
	}
	for _, k := range s.groups() {
		for i := range 3 {
			_, g, _ := strings.Cut(k, "/")
			n := fmt.Sprintf("%s-%c", g, 'a'+i)
			f.databaseAddresses[n] = take()
			p := &process{name: n, kind: "emulated-database", ip: f.nextIP()}
			d, at := filepath.Join(folder, n), p.ownAddress(take())
			p.folder, p.httpAddress = d, at
			f.addLink(p, f.databaseAddresses[n], at)
			p.args = []string{"--name", n, "--listen", at, "--folder", d, "--connections", fmt.Sprint(s.connectionLimit(k))}
			f.addProcess(p)
		}
	}
	for i := range 3 {
		n := fmt.Sprintf("control-%d", i+1)
		httpAddress := take()
		f.operatorAddresses = append(f.operatorAddresses, httpAddress)
		d := filepath.Join(folder, n)
		if err := f.addDaemon(n, "stoneford-control", map[string]any{"name": n, "zone": s.Partners[0].Zones[i%3], "partner": s.machineOwner(i), "listen": seeds[i], "http": httpAddress,
			"seeds": seeds, "data_folder": d, "platform": f.platformAddress, "tokens": tokens}); err != nil {
			return nil, err
		}
	}
	for range s.Machines {
		if _, err := f.addPool(); err != nil {
			return nil, err
		}
	}
	f.platform = platform.New(f.nodeAddresses, platform.Actions{Replace: f.replaceDatabase, Stop: f.stopMachine})
	return f, nil
}

// spareMachines bounds the machines that can join later.
const spareMachines = 4

// nextIP returns an unused loopback address for a process. By this source address the links
// identify the process that a connection comes from.
func (f *Fleet) nextIP() string {
	f.lastIP++
	return fmt.Sprintf("127.0.%d.%d", 1+f.lastIP/200, 1+f.lastIP%200)
}

// takeAddress returns an address with a free port that no other process uses.
func (f *Fleet) takeAddress() string {
	p := f.freeAddresses[0]
	f.freeAddresses = f.freeAddresses[1:]
	return p
}

// addPool adds a pool node to the fleet, but does not start it.
func (f *Fleet) addPool() (string, error) {
	i := len(f.nodeAddresses)
	n, httpAddress := fmt.Sprintf("pool-%d", i+1), f.takeAddress()
	f.nodeAddresses = append(f.nodeAddresses, httpAddress)
	return n, f.addDaemon(n, "stoneford-pool", map[string]any{"name": n, "zone": f.Shape.Partners[0].Zones[i%3], "partner": f.Shape.machineOwner(i),
		"listen": f.takeAddress(), "http": httpAddress, "seeds": f.seeds})
}

// AddMachine starts a pool node on a new machine, adds it to the platform's nodes and
// returns its name.
func (f *Fleet) AddMachine() (string, error) {
	if len(f.freeAddresses) < 4 {
		return "", errors.New("no ports are left for a new machine")
	}
	n, err := f.addPool()
	if err != nil {
		return n, err
	}
	if err := f.start(f.processes[n]); err != nil {
		return n, err
	}
	f.platform.SetPoolNodes(f.nodeAddresses)
	return n, nil
}

// replaceDatabase restarts a database without its data, unless it reports that its data has
// another identity. A database that does not respond is restarted as well.
func (f *Fleet) replaceDatabase(database, identity string) error {
	p := f.processes[database]
	if p == nil {
		return fmt.Errorf("replace: database %q does not exist", database)
	}
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	st, err := databaseclient.New(nil).Poll(ctx, p.httpAddress, 0, 0, 0)
	if err == nil && st.Identity != identity {
		return nil
	}
	_, err = f.Inject(context.Background(), Fault{Action: "wipe", Target: database})
	return err
}

// stopMachine starts to stop the pool node of a machine gracefully. machine is the name of
// the node.
func (f *Fleet) stopMachine(machine string) error {
	p := f.processes[machine]
	if p == nil {
		return fmt.Errorf("stop: machine %q does not exist", machine)
	}
	go p.terminate()
	return nil
}

// addDaemon writes the configuration file of a daemon with the settings m, and adds the
// daemon behind links at its listen and HTTP addresses.
func (f *Fleet) addDaemon(name, kind string, m map[string]any) error {
	p := &process{name: name, kind: kind, ip: f.nextIP(), zone: m["zone"].(string)}
	for _, k := range [][2]string{{"listen", "bind"}, {"http", "bind_http"}} {
		at := p.ownAddress(f.takeAddress())
		f.addLink(p, m[k[0]].(string), at)
		m[k[1]] = at
		p.httpAddress = at
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
	p.args, p.configFile = []string{"--boot", file}, file
	f.mu.Lock()
	f.zones[m["http"].(string)] = p.zone
	f.mu.Unlock()
	f.addProcess(p)
	return nil
}

// Load returns the load of the shape's callers, with a number of sessions and a rate in
// queries per second.
func (f *Fleet) Load(sessions int, rate float64, seed uint64) callers.Load {
	load := callers.Load{Routes: f.Shape.groups(), Classes: map[string]map[string]string{}, Sessions: sessions, Rate: rate, Seed: seed, Nodes: f.ReadyNodes,
		Zones: f.Shape.Partners[0].Zones, NodeZone: f.zoneOf}
	for _, p := range f.Shape.Partners {
		for _, g := range p.Groups {
			load.Classes[p.Partner+"/"+g] = map[string]string{"current": p.Classes[0], "stale": p.Classes[1], "pinned": p.Classes[2]}
		}
	}
	return load
}

// UseOlderPrograms makes the control processes and pool nodes start with the programs of an
// earlier revision in the folder bin, except control-1: operators call it first, and their
// calls are those of this revision.
func (f *Fleet) UseOlderPrograms(bin string) {
	f.olderProgramsFolder = bin
	for n, p := range f.processes {
		p.olderPrograms = strings.HasPrefix(p.kind, "stoneford-") && n != "control-1"
	}
}

// startTimeout bounds the time until a configuration is accepted, until all nodes are ready
// and until all processes apply a configuration.
const startTimeout = 30 * time.Second

// Start starts every process, configures the fleet, and waits until all nodes are ready.
func (f *Fleet) Start(ctx context.Context) error {
	platformCtx, end := context.WithCancel(context.Background())
	f.addCloser(func() error {
		end()
		return nil
	})
	listener, err := net.Listen("tcp", f.platformAddress)
	if err != nil {
		return err
	}
	go f.platform.Serve(platformCtx, listener)
	f.addCloser(func() error {
		for _, n := range f.order {
			f.processes[n].signal(syscall.SIGKILL, true)
		}
		return nil
	})
	for _, n := range f.order {
		if err := f.start(f.processes[n]); err != nil {
			return err
		}
	}
	for _, partner := range f.Shape.Partners {
		b, err := json.Marshal(f.Configuration(partner))
		if err != nil {
			return err
		}
		if err := Retry(ctx, startTimeout, func() error {
			r, err := f.OperatorClient(partner.Partner).Change(ctx, 0, b, false, false)
			if err != nil {
				return err
			}
			if r.Revision != 1 {
				return fmt.Errorf("first configuration of %s: got code %d, text %q and problems %v, want it to become revision 1", partner.Partner, r.Code, r.Text, r.Problems)
			}
			return nil
		}); err != nil {
			return err
		}
	}
	return Retry(ctx, startTimeout, func() error {
		if n := len(f.ReadyNodes()); n < f.Shape.Machines {
			return fmt.Errorf("%d of %d nodes are ready", n, f.Shape.Machines)
		}
		return nil
	})
}

// addCloser adds a function that Close calls.
func (f *Fleet) addCloser(closer func() error) { f.closers = append(f.closers, closer) }

// Close ends all processes, links and the platform. It returns all errors joined.
func (f *Fleet) Close() error {
	var failures []error
	for len(f.closers) > 0 {
		newest := len(f.closers) - 1
		closer := f.closers[newest]
		f.closers = f.closers[:newest]
		failures = append(failures, closer())
	}
	return errors.Join(failures...)
}

// Configure changes the line of the partner's first route, and returns the time from the
// acceptance of the change until every process reports that it applies it.
func (f *Fleet) Configure(ctx context.Context, partner string, line int64) (time.Duration, error) {
	client := f.OperatorClient(partner)
	reply, err := client.Configuration(ctx, false)
	if err != nil {
		return 0, err
	}
	var group string
	for _, p := range f.Shape.Partners {
		if p.Partner == partner {
			group = p.Groups[0]
		}
	}
	reply, err = client.Change(ctx, reply.Revision, fmt.Appendf(nil, `{"routes":{%q:{"line":%d}}}`, group, line), true, false)
	if err != nil || reply.Code != result.OK {
		return 0, fmt.Errorf("change of %s's configuration: code %d, error: %w", partner, reply.Code, err)
	}
	acceptedAt := time.Now()
	err = Retry(ctx, startTimeout, func() error {
		status, err := client.Configuration(ctx, true)
		if err != nil {
			return err
		}
		n := 0
		for _, rev := range status.Applied {
			if rev >= reply.Revision {
				n++
			}
		}
		if n < len(f.nodeAddresses)+3 {
			return fmt.Errorf("%d of %d processes apply revision %d", n, len(f.nodeAddresses)+3, reply.Revision)
		}
		return nil
	})
	return time.Since(acceptedAt), err
}
