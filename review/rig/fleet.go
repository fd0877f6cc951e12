package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// options holds the commands of the programs.
type options struct{ pool, control, logs string }

// machine has one process of each program, on an address of its own.
type machine struct {
	name, ip, zone string
	pool, control  *process
}

// process is one of the project's programs.
type process struct {
	name    string
	command string
	env     string
	log     string
	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
}

// fleet holds three machines, one service with a primary and two replicas, and the platform.
type fleet struct {
	options
	folder   string
	base     int // second and third byte of all addresses
	machines []*machine
	group    *group
	provider *provider
	done     chan struct{}
	// seedOffset rotates the seeds in settings that are written.
	seedOffset int
}

const machineCount = 3

func (f *fleet) ip(last int) string { return fmt.Sprintf("127.%d.%d.%d", f.base>>8, f.base&255, last) }

func newFleet(o options) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-rig-")
	if err != nil {
		return nil, err
	}
	f := &fleet{options: o, folder: folder, done: make(chan struct{})}
	for range 50 {
		f.base = (1+rand.IntN(250))<<8 | (1 + rand.IntN(250))
		if f.free() {
			break
		}
	}
	f.group = &group{name: "service1", runs: map[string]string{}, reads: map[string]bool{}}
	if f.provider, err = newProvider(f.ip(99)+":8783", []*group{f.group}); err != nil {
		return nil, err
	}
	for i := range 3 {
		d := &database{id: fmt.Sprintf("i-%04x%d", rand.IntN(1<<16), i+1), zone: fmt.Sprintf("zone-%d", i+1), address: f.ip(50+i) + ":8149",
			group: f.group, up: true, primary: i == 0, term: 3, wake: make(chan struct{}, 1)}
		d.server = &databaseServer{database: d}
		if err := d.server.start(); err != nil {
			return nil, err
		}
		f.group.members = append(f.group.members, d)
	}
	go f.group.replicate(f.done)
	for i := range machineCount {
		m := &machine{name: fmt.Sprintf("edge-%d", i+1), ip: f.ip(1 + i), zone: fmt.Sprintf("zone-%d", i+1)}
		f.machines = append(f.machines, m)
		m.pool = &process{name: m.name + "/pool", command: o.pool}
		m.control = &process{name: m.name + "/control", command: o.control}
		for _, p := range []*process{m.pool, m.control} {
			if err := f.start(m, p, true); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

// free reports whether the addresses of the fleet are not in use.
func (f *fleet) free() bool {
	for _, last := range []int{1, 2, 3, 50, 99} {
		listener, err := net.Listen("tcp", f.ip(last)+":8784")
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

// start writes a process's settings and starts it.
func (f *fleet) start(m *machine, p *process, first bool) error {
	role := "pool"
	if p == m.control {
		role = "control"
		if err := os.MkdirAll(filepath.Join(f.folder, m.name), 0o755); err != nil {
			return err
		}
	}
	path, err := f.writeSettings(m, role, first)
	if err != nil {
		return err
	}
	p.env = names["environment"] + "=" + path
	if f.logs != "" {
		p.log = filepath.Join(f.logs, m.name+"-"+role+".log")
	}
	return p.start()
}

// rewriteSettings changes the settings of a machine's pool node: its seeds come in another
// order.
func (f *fleet) rewriteSettings(m *machine) error {
	f.seedOffset++
	_, err := f.writeSettings(m, "pool", false)
	return err
}

// writeSettings writes the settings file of a process and returns its path.
func (f *fleet) writeSettings(m *machine, role string, first bool) (string, error) {
	serves, data := "edge", ""
	if role == "control" {
		serves, data = "controller", filepath.Join(f.folder, m.name)
	}
	var seeds []string
	for i := range machineCount {
		seeds = append(seeds, f.ip(1+(i+f.seedOffset)%machineCount)+":8782")
	}
	text := strings.NewReplacer("%NAME%", m.name, "%ROLE%", role, "%SERVES%", serves, "%IP%", m.ip, "%ZONE%", m.zone, "%SEEDS%", strings.Join(seeds, ","),
		"%BOOTSTRAP%", fmt.Sprint(first), "%DATA%", data, "%PROVIDER%", f.provider.address).Replace(settingsText)
	path := filepath.Join(f.folder, m.name+"-"+role+".conf")
	return path, os.WriteFile(path, []byte(text), 0o644)
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.command)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), p.env}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if p.log != "" {
		file, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer file.Close()
		p.cmd.Stdout, p.cmd.Stderr = file, file
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.exited = exited
	cmd := p.cmd
	go func() {
		cmd.Wait()
		close(exited)
	}()
	record.logf("process %s starts", p.name)
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	record.logf("process %s gets signal %v", p.name, s)
	p.cmd.Process.Signal(s)
}

// restart kills a process and starts it half a second later, as the platform does.
func (f *fleet) restart(m *machine, p *process, s syscall.Signal) error {
	p.signal(s)
	<-p.exited
	time.Sleep(500 * time.Millisecond)
	return f.start(m, p, false)
}

// stop ends all processes that the fleet started.
func (f *fleet) stop() {
	close(f.done)
	for _, m := range f.machines {
		for _, p := range []*process{m.pool, m.control} {
			p.cmd.Process.Signal(syscall.SIGCONT)
			p.cmd.Process.Kill()
			<-p.exited
		}
	}
	os.RemoveAll(f.folder)
}

// waitReady waits until all pool nodes call themselves ready.
func (f *fleet) waitReady(timeout time.Duration) bool {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	return waitFor(timeout, func() bool {
		for _, m := range f.machines {
			response, err := client.Get("http://" + m.ip + ":8785" + names["readiness"])
			if err != nil {
				return false
			}
			response.Body.Close()
			if response.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// waitFor waits until a condition is true, and returns false after a timeout.
func waitFor(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
