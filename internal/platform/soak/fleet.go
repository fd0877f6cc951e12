package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"stoneford/emulator/link"
)

// Ports of all machines. Connections between machines, and from operators to control processes,
// go through relays that inject faults. The relays of nodes forward to the relay targets.
const (
	controlNodePort        = 7440
	poolNodePort           = 7441
	controlStatePort       = 7442
	poolStatePort          = 7443
	controlRelayTargetPort = 7450
	poolRelayTargetPort    = 7451
	controlAPIPort         = 8782
	operatorRelayPort      = 8792
	callerPort             = 8784
	readinessPort          = 8785
	providerPort           = 8783
)

// maxApplyTime is the time within which an acknowledged change must be in force on all nodes.
// It is also the value of Bounds.ApplyMs in the settings.
const maxApplyTime = 4 * time.Second

// machine is an IP address with the processes that run on it.
type machine struct {
	name          string
	ip            string
	zone          string
	control       *process // nil on machines with only a pool node
	pool          *process
	relays        []*link.Link // of connections from other machines
	operatorRelay *link.Link   // of operators' connections, nil without a control process
}

// process is a program that runs on a machine and can be restarted.
type process struct {
	programPath  string
	settingsPath string
	logPath      string
	mu           sync.Mutex
	cmd          *exec.Cmd // nil while the program does not run
	incarnation  int       // number of starts
	paused       bool      // stopped by SIGSTOP
	killed       bool      // the current incarnation was sent SIGKILL
	terminated   bool      // the current incarnation was sent SIGTERM
	// ended is called with a description of each end that no signal of the soak accounts for.
	ended func(description string)
}

// fleet is the set of all machines with their processes and relays.
type fleet struct {
	options  options
	folder   string
	machines []*machine
}

// address returns IP:port.
func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// newFleet writes the settings of a fleet and starts its relays, but none of its processes.
func newFleet(options options) (*fleet, error) {
	folder, err := os.MkdirTemp("", "soak-fleet")
	if err != nil {
		return nil, err
	}
	f := &fleet{options: options, folder: folder}
	for i := range options.controls + options.pools {
		m := &machine{name: fmt.Sprintf("machine-%d", i+1), ip: fmt.Sprintf("127.%d.1.%d", options.addressBlock, i+1), zone: fmt.Sprintf("zone-%d", i%3+1)}
		f.machines = append(f.machines, m)
		m.relays = append(m.relays, link.New(address(m.ip, poolNodePort), address(m.ip, poolRelayTargetPort)))
		if i < options.controls {
			m.relays = append(m.relays, link.New(address(m.ip, controlNodePort), address(m.ip, controlRelayTargetPort)))
			m.operatorRelay = link.New(address(m.ip, operatorRelayPort), address(m.ip, controlAPIPort))
		}
	}
	for i, m := range f.machines {
		if m.pool, err = f.newProcess(m, "pool"); err != nil {
			return f, err
		}
		if i < options.controls {
			if m.control, err = f.newProcess(m, "control"); err != nil {
				return f, err
			}
		}
		for _, relay := range m.allRelays() {
			if err := relay.Listen(); err != nil {
				return f, err
			}
		}
	}
	return f, nil
}

// allRelays returns all relays of a machine.
func (m *machine) allRelays() []*link.Link {
	if m.operatorRelay == nil {
		return m.relays
	}
	return append([]*link.Link{m.operatorRelay}, m.relays...)
}

// newProcess creates a process that does not run yet, and writes its settings.
func (f *fleet) newProcess(m *machine, kind string) (*process, error) {
	p := &process{programPath: filepath.Join(f.options.programFolder, "stoneford-"+kind)}
	p.settingsPath = filepath.Join(f.folder, m.name+"-"+kind+".conf")
	p.logPath = filepath.Join(f.folder, m.name+"-"+kind+".log")
	return p, f.writeSettings(m, kind, true)
}

// writeSettings writes the settings of a machine's pool node or control process.
func (f *fleet) writeSettings(m *machine, kind string, bootstrap bool) error {
	var seeds []string
	for _, s := range f.machines[:min(3, f.options.controls)] {
		seeds = append(seeds, address(s.ip, controlAPIPort))
	}
	lines := []string{
		"NodeName=" + m.name, "Role=" + kind, "Ip=" + m.ip, "Zone=" + m.zone, "Region=region-1",
		"Zones.zone-1=region-1", "Zones.zone-2=region-1", "Zones.zone-3=region-1",
		fmt.Sprintf("PortRange=%d,%d", controlNodePort, controlNodePort+15), "Seeds=" + strings.Join(seeds, ","),
		fmt.Sprintf("Bootstrap=%t", bootstrap), "Tolerance.Machines=2", fmt.Sprintf("BeatMs=%d", heartbeatInterval.Milliseconds()),
		"Limits.MemoryMb=184", "Limits.FdLimit=4300", "Limits.DiskMb=64",
		"Bounds.ContactMs=6000", "Bounds.AckMs=8000", "Bounds.CatchUpS=6", "Bounds.GraceS=6",
		fmt.Sprintf("Bounds.DrainMs=%d", drainTime.Milliseconds()), fmt.Sprintf("Bounds.ApplyMs=%d", maxApplyTime.Milliseconds()), "Bounds.RevertSlackMs=250", "Bounds.StretchMs=15000", "Bounds.RecoverS=15",
		"Provider.Address=" + address(f.machines[0].ip, providerPort),
	}
	if kind == "pool" {
		lines = append(lines, "Serves=edge", "Listen.Front="+address(m.ip, callerPort), "Listen.ReadyProbe="+address(m.ip, readinessPort),
			"Listen.Nodes="+address(m.ip, poolRelayTargetPort))
	} else {
		lines = append(lines, "Serves=controller", "QuorumMember=true", "Listen.Control="+address(m.ip, controlAPIPort),
			"Listen.Nodes="+address(m.ip, controlRelayTargetPort), "DataDir="+filepath.Join(f.folder, m.name+"-data"))
	}
	return os.WriteFile(filepath.Join(f.folder, m.name+"-"+kind+".conf"), []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// setBootstrapped rewrites all settings with Bootstrap=false, as after the first start of the
// system.
func (f *fleet) setBootstrapped() error {
	var errs []error
	for _, m := range f.machines {
		errs = append(errs, f.writeSettings(m, "pool", false))
		if m.control != nil {
			errs = append(errs, f.writeSettings(m, "control", false))
		}
	}
	return errors.Join(errs...)
}

// processes returns the processes of all machines.
func (f *fleet) processes() []*process {
	var out []*process
	for _, m := range f.machines {
		if m.control != nil {
			out = append(out, m.control)
		}
		out = append(out, m.pool)
	}
	return out
}

// controls returns the machines with a control process.
func (f *fleet) controls() []*machine { return f.machines[:f.options.controls] }

// start starts the program if it does not run.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	logged, err := log.Stat()
	if err != nil {
		return err
	}
	cmd := exec.Command(p.programPath)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "STONEFORD_SETTINGS=" + p.settingsPath}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.paused, p.killed, p.terminated = cmd, false, false, false
	p.incarnation++
	go func() {
		_ = cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.cmd == cmd {
			p.cmd = nil
		}
		starting := p.loggedSince(logged.Size()) == 0
		if problem := endProblem(cmd.ProcessState, p.killed, p.terminated, starting); problem != "" && p.ended != nil {
			p.ended(fmt.Sprintf("%s ended by itself: %s", p.programPath, problem))
		}
	}()
	return nil
}

// loggedSince returns how many bytes the process has logged since its log had a size.
func (p *process) loggedSince(size int64) int64 {
	log, err := os.Stat(p.logPath)
	if err != nil {
		return 0
	}
	return log.Size() - size
}

// endProblem describes what is wrong with the end of a process, "" if nothing is. A process
// ends with status 0 after SIGTERM, and otherwise by SIGKILL only. One that is starting, and
// has not logged anything, may also be ended by SIGTERM: it has nothing to finish.
func endProblem(state *os.ProcessState, killed, terminated, starting bool) string {
	status, _ := state.Sys().(syscall.WaitStatus)
	endedBySIGTERM := status.Signaled() && status.Signal() == syscall.SIGTERM
	switch {
	case killed || terminated && state.Success():
		return ""
	case terminated && starting && endedBySIGTERM:
		return ""
	case terminated:
		return "after SIGTERM: " + state.String()
	default:
		return state.String()
	}
}

// currentIncarnation returns the number of starts so far, and whether the program runs.
func (p *process) currentIncarnation() (incarnation int, running bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation, p.cmd != nil
}

// signal sends a signal to the program if it runs. The program can handle a SIGHUP only once
// it is loaded, so one that would arrive before is not sent.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || s == syscall.SIGHUP && !isLoaded(p.cmd.Process.Pid) {
		return
	}
	p.killed = p.killed || s == syscall.SIGKILL
	p.terminated = p.terminated || s == syscall.SIGTERM
	_ = p.cmd.Process.Signal(s)
	p.paused = s == syscall.SIGSTOP || p.paused && s != syscall.SIGCONT
}

// kill sends SIGKILL to the program and waits until it has ended. Another fault may have
// started it again by then.
func (p *process) kill() {
	killed, _ := p.currentIncarnation()
	p.signal(syscall.SIGKILL)
	for {
		if incarnation, up := p.currentIncarnation(); !up || incarnation != killed {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// startAll starts all processes that do not run.
func (f *fleet) startAll() error {
	var errs []error
	for _, p := range f.processes() {
		errs = append(errs, p.start())
	}
	return errors.Join(errs...)
}

// removeFaults repairs and resets all relays, resumes stopped processes, and starts those that
// do not run.
func (f *fleet) removeFaults() error {
	for _, m := range f.machines {
		for _, relay := range m.allRelays() {
			relay.Repair()
			relay.SetLoss(0)
			relay.Reset()
		}
	}
	for _, p := range f.processes() {
		p.signal(syscall.SIGCONT)
	}
	return f.startAll()
}

// partition breaks or repairs the transfer of data from one machine to another, in
// connections that either of them opened.
func (f *fleet) partition(from, to *machine, broken bool) {
	for _, relay := range to.relays {
		relay.SetPartition(link.Direction{From: from.ip}, broken)
	}
	for _, relay := range from.relays {
		relay.SetPartition(link.Direction{Response: true, From: to.ip}, broken)
	}
}

// close kills all processes and closes all relays.
func (f *fleet) close() {
	for _, p := range f.processes() {
		if p != nil {
			p.kill()
		}
	}
	for _, m := range f.machines {
		for _, relay := range m.allRelays() {
			_ = relay.Close()
		}
	}
}
