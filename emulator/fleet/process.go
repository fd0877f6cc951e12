package fleet

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

// process is one process of the fleet. The fields after mu are guarded by it.
type process struct {
	name          string
	kind          string
	args          []string
	folder        string // data folder, deleted by wipe faults
	httpAddress   string // its own HTTP address, which bypasses its links
	olderPrograms bool   // runs the program of an earlier revision
	ip            string // source address of its connections
	configFile    string // configuration file, empty for a database
	zone          string
	links         []*link.Link
	mu            sync.Mutex
	cmd           *exec.Cmd
	exited        chan struct{}
	endThrottle   chan struct{} // closed to end throttle; nil if it does not run
	exitExpected  bool          // the next exit is caused by a fault
	terminated    bool          // the next exit is caused by SIGTERM alone, so its status is 0
}

const (
	// reloadsInShutdown is the number of SIGHUP that a daemon gets after SIGTERM.
	reloadsInShutdown = 3
	// reloadInterval is the time between two of them.
	reloadInterval = 20 * time.Millisecond
)

// ownAddress returns the process's IP address with the port of another address.
func (p *process) ownAddress(addr string) string { return p.ip + addr[strings.LastIndex(addr, ":"):] }

// start starts a process and makes its links listen. If the process exits without a fault
// that ends it, it is added to the crashed processes.
func (f *Fleet) start(p *process) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	logFile, err := os.OpenFile(filepath.Join(f.folder, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	bin := f.programsFolder
	if p.olderPrograms {
		bin = f.olderProgramsFolder
	}
	c := exec.Command(filepath.Join(bin, p.kind), p.args...)
	c.Stdout, c.Stderr = logFile, logFile
	if err := c.Start(); err != nil {
		logFile.Close()
		return err
	}
	p.cmd, p.exited, p.exitExpected, p.terminated = c, make(chan struct{}), false, false
	done := p.exited
	for _, k := range p.links {
		if err := k.Listen(); err != nil {
			return err
		}
	}
	go func() {
		exit := c.Wait()
		logFile.Close()
		err := exit
		for _, k := range p.links {
			err = errors.Join(err, k.StopListening())
		}
		p.mu.Lock()
		if !p.exitExpected || p.terminated && exit != nil {
			f.mu.Lock()
			f.crashed = append(f.crashed, fmt.Sprintf("%s ended by itself: %v (see its log)", p.name, err))
			f.mu.Unlock()
		}
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process. If ends is set, the signal ends the process: signal
// then also sends SIGCONT, so that a frozen process can handle the signal, and waits for
// the exit of the process.
func (p *process) signal(s syscall.Signal, ends bool) {
	p.mu.Lock()
	c, done := p.cmd, p.exited
	if c != nil {
		p.exitExpected = p.exitExpected || ends
		p.terminated = p.terminated && !ends
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

// isDaemon reports whether the process is a daemon of this revision rather than an emulated
// database. Daemons handle SIGHUP at any time.
func (p *process) isDaemon() bool { return p.configFile != "" && !p.olderPrograms }

// terminate sends SIGTERM to the process, and SIGHUP to a daemon while it shuts down, and waits
// for its exit. A daemon has to exit with status 0.
func (p *process) terminate() {
	p.mu.Lock()
	c, done := p.cmd, p.exited
	if c == nil {
		p.mu.Unlock()
		return
	}
	p.exitExpected, p.terminated = true, p.isDaemon()
	_ = c.Process.Signal(syscall.SIGTERM)
	_ = c.Process.Signal(syscall.SIGCONT)
	p.mu.Unlock()
	for range reloadsInShutdown {
		if !p.isDaemon() {
			break
		}
		_ = c.Process.Signal(syscall.SIGHUP)
		select {
		case <-done:
			return
		case <-time.After(reloadInterval):
		}
	}
	<-done
}

// addLink adds a link from an address to the target, which is one of the process's
// addresses.
func (f *Fleet) addLink(p *process, address, target string) {
	k := link.New(address, target)
	p.links = append(p.links, k)
	f.addCloser(k.Close)
}

// addProcess adds a process to the fleet.
func (f *Fleet) addProcess(p *process) {
	f.processes[p.name] = p
	f.order = append(f.order, p.name)
}

// throttlePeriod is the period in which a throttled process runs once and is frozen for the
// rest.
const throttlePeriod = 100 * time.Millisecond

// throttle lets the process run only for the time runs in each throttlePeriod, by SIGSTOP
// and SIGCONT. If runs is 0, it ends the throttling.
func (p *process) throttle(runs time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endThrottle != nil {
		close(p.endThrottle)
		p.endThrottle = nil
	}
	if runs <= 0 || p.cmd == nil {
		return
	}
	stop, c, done := make(chan struct{}), p.cmd, p.exited
	p.endThrottle = stop
	go func() {
		for i := 0; ; i++ {
			sig, d := syscall.SIGCONT, runs
			if i%2 == 1 {
				sig, d = syscall.SIGSTOP, throttlePeriod-runs
			}
			_ = c.Process.Signal(sig)
			t := time.NewTimer(d)
			select {
			case <-done:
				t.Stop()
				return
			case <-stop:
				t.Stop()
				_ = c.Process.Signal(syscall.SIGCONT)
				return
			case <-t.C:
			}
		}
	}()
}
