package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"stoneford/emulator/databasereplica"
	"stoneford/emulator/link"
)

// Fault is one entry of a schedule.
type Fault struct {
	At     time.Duration
	Action string
	Target string // a process, or primary@GROUP or replica@GROUP
	Value  int64
}

// Actions and what each does.
var Actions = map[string]string{
	"kill":           "kill the process at once",
	"start":          "start it again on its data",
	"wipe":           "kill it, lose its data and start it empty",
	"stop":           "stop it with its grace",
	"restart":        "stop it with its grace and start it again",
	"pause":          "freeze it",
	"resume":         "let it go on",
	"slow":           "database: each run takes so many microseconds more",
	"lag":            "database: applies commits so many microseconds late",
	"lose":           "database: so many runs are run and never returned",
	"dark":           "database: returns nothing any more",
	"light":          "database: all its faults end",
	"stop-receiving": "database: takes no log",
	"stop-applying":  "database: applies no log",
	"leave":          "database: announces that it leaves",
	"stay":           "database: takes that back",
	"cut":            "cut the process off: what is on the way stops, nothing is closed",
	"cut-way":        "cut one way between two processes, the target FROM>TO, as cut does",
	"deaf":           "nothing reaches the process any more; what it sends arrives",
	"mute":           "nothing that the process sends arrives any more; it hears all",
	"mend":           "end cut, cut-way (name it again), deaf, mute and drop",
	"slow-machine":   "the process gets its processor for so many of 100 ms only, until resume",
	"kill-machine":   "machine N: kill its control process and its pool node at once",
	"wipe-machine":   "the same, and its disk is lost",
	"start-machine":  "start both again",
	"upgrade":        "with --older: stop it with its grace and start it with this revision's program",
	"downgrade":      "the same with the earlier revision's",
	"roll":           "restart every process of a kind in turn: pools or controls",
	"boot":           "rewrite the boot file with no signal: 0 well, 1 half-written, 2 with a wrong value, 3 as it was",
	"configure":      "the partner's operators send a change; all processes have to work by it",
	"crowd":          "callers: so many times the sessions come within a second, for 4 s (the target is any word)",
	"move":           "callers: those of a zone, or of all, go on in another zone",
	"reset":          "reset every connection to the process",
	"drop":           "of what comes to the process, so many of 100 pieces arrive 200 ms late",
	"join":           "a new machine joins (the target is any word)",
}

// ParseFaults reads a schedule such as "10s:kill:primary@inventory-1,20s:lag:inventory-1-b:400000".
func ParseFaults(s string) ([]Fault, error) {
	var fs []Fault
	for _, e := range strings.Split(s, ",") {
		if e = strings.TrimSpace(e); e == "" {
			continue
		}
		problems := strings.Split(e, ":")
		if len(problems) < 3 || len(problems) > 4 {
			return nil, fmt.Errorf("%q is not AT:ACTION:TARGET or AT:ACTION:TARGET:VALUE", e)
		}
		at, err := time.ParseDuration(problems[0])
		if err != nil {
			return nil, fmt.Errorf("%q: %w", e, err)
		}
		if Actions[problems[1]] == "" {
			return nil, fmt.Errorf("%q: unknown action %s", e, problems[1])
		}
		f := Fault{At: at, Action: problems[1], Target: problems[2]}
		if len(problems) == 4 {
			if f.Value, err = strconv.ParseInt(problems[3], 10, 64); err != nil {
				return nil, fmt.Errorf("%q: %w", e, err)
			}
		}
		fs = append(fs, f)
	}
	return fs, nil
}

// Inject brings one fault about and returns the process it hit.
func (f *Fleet) Inject(ctx context.Context, ft Fault) (string, error) {
	n := ft.Target
	switch ft.Action {
	case "join":
		return f.Join()
	case "configure":
		took, err := f.Configure(ctx, n, 300+int64(ft.At/time.Millisecond)%300)
		return fmt.Sprintf("%s, in force everywhere after %d ms", n, took.Milliseconds()), err
	case "crowd":
		f.load.AddCrowd(int(ft.Value), 4*time.Second)
		return n, nil
	case "move":
		f.load.MoveZone(n)
		return n, nil
	case "roll":
		return n, f.roll(ctx, n)
	case "kill-machine", "wipe-machine", "start-machine":
		return n, f.machine(ft)
	}
	if from, to, ok := strings.Cut(n, ">"); ok {
		return n, f.setPartition(from, to, ft.Action == "cut-way")
	}
	if g, ok := strings.CutPrefix(n, "primary@"); ok {
		n = f.Primary(ctx, g)
	} else if g, ok := strings.CutPrefix(n, "replica@"); ok {
		p := f.Primary(ctx, g)
		for _, c := range "abc" {
			if n = fmt.Sprintf("%s-%c", g, c); n != p {
				break
			}
		}
	}
	p := f.processes[n]
	if p == nil {
		return n, fmt.Errorf("no process %q", n)
	}
	set := func(d databasereplica.Faults) error {
		return databasereplica.Call(ctx, "http://"+p.http+"/faults", d, nil)
	}
	const plain = 1000 // the stand-in's own service time
	switch ft.Action {
	case "kill":
		p.signal(syscall.SIGKILL, true)
	case "start":
		return n, f.start(p)
	case "wipe":
		p.signal(syscall.SIGKILL, true)
		if err := os.RemoveAll(p.folder); err != nil {
			return n, err
		}
		return n, f.start(p)
	case "stop":
		p.signal(syscall.SIGTERM, true)
	case "upgrade", "downgrade":
		if f.olderProgramsFolder == "" {
			return n, errors.New("there are no programs of an earlier revision")
		}
		p.signal(syscall.SIGTERM, true)
		p.olderPrograms = ft.Action == "downgrade"
		return n, f.start(p)
	case "restart":
		p.signal(syscall.SIGTERM, true)
		return n, f.start(p)
	case "pause":
		p.signal(syscall.SIGSTOP, false)
	case "resume":
		p.slow(0)
		p.signal(syscall.SIGCONT, false)
	case "slow":
		return n, set(databasereplica.Faults{ServiceUs: plain + ft.Value})
	case "lag":
		return n, set(databasereplica.Faults{ServiceUs: plain, LagUs: ft.Value})
	case "lose":
		return n, set(databasereplica.Faults{ServiceUs: plain, LoseResponses: int(ft.Value)})
	case "dark":
		return n, set(databasereplica.Faults{ServiceUs: plain, Unresponsive: true})
	case "light":
		return n, set(databasereplica.Faults{ServiceUs: plain})
	case "stop-receiving":
		return n, set(databasereplica.Faults{ServiceUs: plain, StopReceiving: true})
	case "stop-applying":
		return n, set(databasereplica.Faults{ServiceUs: plain, StopApplying: true})
	case "cut", "mend", "reset", "drop":
		if ft.Action == "mend" {
			for _, o := range f.order { // what this one sends passes the links of others
				for _, k := range f.processes[o].links {
					k.SetPartition(link.Direction{From: p.ip}, false)
					k.SetPartition(link.Direction{From: p.ip, Response: true}, false)
				}
			}
		}
		for _, k := range p.links {
			switch ft.Action {
			case "cut":
				k.SetPartition(link.Direction{}, true)
				k.SetPartition(link.Direction{Response: true}, true)
			case "mend":
				k.Repair()
				k.SetLoss(0)
			case "reset":
				k.Reset()
			case "drop":
				k.SetLoss(float64(ft.Value) / 100)
			}
		}
	case "deaf", "mute":
		for _, o := range f.order {
			from, to := n, o
			if ft.Action == "deaf" {
				from, to = o, n
			}
			if o != n {
				if err := f.setPartition(from, to, true); err != nil {
					return n, err
				}
			}
		}
	case "slow-machine":
		p.slow(time.Duration(ft.Value) * time.Millisecond)
	case "boot":
		return n, rewrite(p.configFile, ft.Value)
	case "leave", "stay":
		return n, databasereplica.Call(ctx, "http://"+p.http+"/v1/leave", map[string]bool{"leaving": ft.Action == "leave"}, nil)
	}
	return n, nil
}

// setPartition stops, or lets go on, what one process sends another: on the links of
// the one what it returns, on those of the other what comes from it.
func (f *Fleet) setPartition(from, to string, partitioned bool) error {
	a, b := f.processes[from], f.processes[to]
	if a == nil || b == nil {
		return fmt.Errorf("no processes %s and %s", from, to)
	}
	for _, k := range b.links {
		k.SetPartition(link.Direction{From: a.ip}, partitioned)
	}
	for _, k := range a.links {
		k.SetPartition(link.Direction{From: b.ip, Response: true}, partitioned)
	}
	return nil
}

// roll restarts every process of a kind in turn, each once the one before is
// ready again.
func (f *Fleet) roll(ctx context.Context, kind string) error {
	pre := map[string]string{"pools": "pool-", "controls": "control-"}[kind]
	if pre == "" {
		return fmt.Errorf("roll %s: neither pools nor controls", kind)
	}
	for _, n := range slices.Clone(f.order) {
		if !strings.HasPrefix(n, pre) {
			continue
		}
		if _, err := f.Inject(ctx, Fault{Action: "restart", Target: n}); err != nil {
			return err
		}
		if err := Until(ctx, time.Minute, func() error { return f.Ready(ctx, n) }); err != nil {
			return err
		}
	}
	return nil
}

// machine ends or starts both processes of a disk machine.
func (f *Fleet) machine(ft Fault) error {
	for _, n := range []string{"control-" + ft.Target, "pool-" + ft.Target} {
		p := f.processes[n]
		switch {
		case p == nil:
			return fmt.Errorf("no machine %s", ft.Target)
		case ft.Action == "start-machine":
			if err := f.start(p); err != nil {
				return err
			}
			continue
		}
		p.signal(syscall.SIGKILL, true)
		if ft.Action == "wipe-machine" && p.folder != "" {
			if err := os.RemoveAll(p.folder); err != nil {
				return err
			}
		}
	}
	return nil
}

// slow has the process run for so much of each 100 ms, 0 for all of it.
func (p *process) slow(runs time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endSlowdown != nil {
		close(p.endSlowdown)
		p.endSlowdown = nil
	}
	if runs <= 0 || p.cmd == nil {
		return
	}
	stop, c, done := make(chan struct{}), p.cmd, p.exited
	p.endSlowdown = stop
	go func() {
		for i := 0; ; i++ {
			sig, d := syscall.SIGCONT, runs
			if i%2 == 1 {
				sig, d = syscall.SIGSTOP, 100*time.Millisecond-runs
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

// rewrite changes a boot file in place, as an operator's editor may.
func rewrite(file string, how int64) error {
	complete, err := os.ReadFile(file + ".whole")
	if errors.Is(err, os.ErrNotExist) {
		if complete, err = os.ReadFile(file); err == nil {
			err = os.WriteFile(file+".whole", complete, 0o644)
		}
	}
	if err != nil {
		return err
	}
	m := map[string]any{}
	if err := json.Unmarshal(complete, &m); err != nil {
		return err
	}
	out := complete
	switch how {
	case 0:
		m["log_level"] = "debug"
		out, err = json.Marshal(m)
	case 1:
		out = complete[:len(complete)/2]
	case 2:
		m["log_level"] = "loud"
		out, err = json.Marshal(m)
	}
	if err != nil {
		return err
	}
	return os.WriteFile(file, out, 0o644)
}

// String is the schedule's own form.
func (f Fault) String() string {
	s := fmt.Sprintf("%s:%s:%s", f.At, f.Action, f.Target)
	if f.Value != 0 {
		s += ":" + strconv.FormatInt(f.Value, 10)
	}
	return s
}

// MarshalJSON gives the schedule's own form.
func (f Fault) MarshalJSON() ([]byte, error) { return json.Marshal(f.String()) }
