package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Fault is one entry of a schedule of faults.
type Fault struct {
	At     time.Duration // since the start of the load
	Action string        // a key of Actions
	Target string        // usually a process, primary@GROUP or replica@GROUP; see Actions
	Value  int64         // parameter of the action, 0 if it has none
}

// Actions maps the name of each action to its description for the help text.
var Actions = map[string]string{
	"kill":           "kill the process",
	"start":          "start the process again with its data",
	"wipe":           "kill the process, delete its data and start it again",
	"stop":           "stop the process gracefully",
	"restart":        "stop the process gracefully and start it again",
	"pause":          "freeze the process",
	"resume":         "end pause and slow-machine",
	"slow":           "database: each run takes VALUE microseconds more",
	"lag":            "database: it applies commits VALUE microseconds late",
	"lose":           "database: it executes VALUE runs and does not respond to them",
	"dark":           "database: it responds to no request",
	"light":          "database: end slow, lag, lose, dark, stop-receiving and stop-applying",
	"stop-receiving": "database: it receives no log",
	"stop-applying":  "database: it applies no log",
	"leave":          "database: it announces that it drains",
	"stay":           "database: end leave",
	"cut":            "partition all connections to the process, which stay open",
	"cut-way":        "partition one direction between two processes, the target is FROM>TO; the connections stay open",
	"deaf":           "partition what other processes send to the process",
	"mute":           "partition what the process sends to others",
	"mend":           "end cut, cut-way (with its target again), deaf, mute and drop",
	"slow-machine":   "run the process for only VALUE of each 100 ms, until resume",
	"kill-machine":   "kill the control process and the pool node of a machine; the target is its number",
	"wipe-machine":   "kill-machine, and delete the machine's data",
	"start-machine":  "start the control process and the pool node of a machine again",
	"upgrade":        "with --older: stop the process gracefully and start it with this revision's program",
	"downgrade":      "with --older: stop the process gracefully and start it with the earlier revision's program",
	"roll":           "restart every process of a kind in turn; the target is pools or controls",
	"boot":           "rewrite the boot file without a signal: 0 valid change, 1 half-written, 2 invalid value, 3 original",
	"configure":      "the partner's operators send a change, which all processes must apply",
	"crowd":          "callers: VALUE times the sessions open within a second, for 4 s (any target)",
	"move":           "callers: those of a zone, or of all zones, continue in another zone",
	"reset":          "reset every connection to the process",
	"drop":           "delay VALUE percent of the chunks sent to the process by 200 ms",
	"join":           "start a pool node on a new machine (any target)",
}

// ParseFaults parses a schedule such as "10s:kill:primary@inventory-1,20s:lag:inventory-1-b:400000".
func ParseFaults(schedule string) ([]Fault, error) {
	var faults []Fault
	for _, entry := range strings.Split(schedule, ",") {
		if entry = strings.TrimSpace(entry); entry == "" {
			continue
		}
		parts := strings.Split(entry, ":")
		if len(parts) < 3 || len(parts) > 4 {
			return nil, fmt.Errorf("%q is not AT:ACTION:TARGET or AT:ACTION:TARGET:VALUE", entry)
		}
		at, err := time.ParseDuration(parts[0])
		if err != nil {
			return nil, fmt.Errorf("%q: %w", entry, err)
		}
		if Actions[parts[1]] == "" {
			return nil, fmt.Errorf("%q: unknown action %s", entry, parts[1])
		}
		f := Fault{At: at, Action: parts[1], Target: parts[2]}
		if len(parts) == 4 {
			if f.Value, err = strconv.ParseInt(parts[3], 10, 64); err != nil {
				return nil, fmt.Errorf("%q: %w", entry, err)
			}
		}
		faults = append(faults, f)
	}
	return faults, nil
}

// crowdDuration is the time for which the sessions of a crowd stay open.
const crowdDuration = 4 * time.Second

// Inject injects a fault. It returns the name of the process that it acted on, or its
// target if it acted on no single process.
func (f *Fleet) Inject(ctx context.Context, ft Fault) (string, error) {
	switch ft.Action {
	case "join":
		return f.AddMachine()
	case "configure":
		took, err := f.Configure(ctx, ft.Target, 300+int64(ft.At/time.Millisecond)%300)
		return fmt.Sprintf("%s, in force everywhere after %d ms", ft.Target, took.Milliseconds()), err
	case "crowd":
		f.load.AddCrowd(int(ft.Value), crowdDuration)
		return ft.Target, nil
	case "move":
		f.load.MoveCallers(ft.Target)
		return ft.Target, nil
	case "roll":
		return ft.Target, f.rollingRestart(ctx, ft.Target)
	case "kill-machine", "wipe-machine", "start-machine":
		return ft.Target, f.injectMachineFault(ft)
	}
	// On a target FROM>TO, every action but cut-way ends the partition.
	if from, to, ok := strings.Cut(ft.Target, ">"); ok {
		return ft.Target, f.setPartition(from, to, ft.Action == "cut-way")
	}
	name := f.resolveTarget(ctx, ft.Target)
	p := f.processes[name]
	if p == nil {
		return name, fmt.Errorf("%s: process %q does not exist", ft.Action, name)
	}
	if inject := processFaults[ft.Action]; inject != nil {
		return name, inject(ctx, f, p, ft.Value)
	}
	return name, nil
}

// resolveTarget returns the name of the process that a target stands for: the current
// primary of a group for primary@GROUP, and another of its databases for replica@GROUP.
func (f *Fleet) resolveTarget(ctx context.Context, target string) string {
	if group, ok := strings.CutPrefix(target, "primary@"); ok {
		return f.Primary(ctx, group)
	}
	group, ok := strings.CutPrefix(target, "replica@")
	if !ok {
		return target
	}
	primary, name := f.Primary(ctx, group), ""
	for _, c := range "abc" {
		if name = fmt.Sprintf("%s-%c", group, c); name != primary {
			break
		}
	}
	return name
}

// rollingRestart restarts the processes of a kind one after the other, and waits after each
// until it is ready again.
func (f *Fleet) rollingRestart(ctx context.Context, kind string) error {
	prefix := map[string]string{"pools": "pool-", "controls": "control-"}[kind]
	if prefix == "" {
		return fmt.Errorf("roll: unknown kind %q, want pools or controls", kind)
	}
	for _, n := range slices.Clone(f.order) {
		if !strings.HasPrefix(n, prefix) {
			continue
		}
		if _, err := f.Inject(ctx, Fault{Action: "restart", Target: n}); err != nil {
			return err
		}
		if err := Retry(ctx, time.Minute, func() error { return f.CheckReady(ctx, n) }); err != nil {
			return err
		}
	}
	return nil
}

// injectMachineFault kills or starts the control process and the pool node of a machine.
func (f *Fleet) injectMachineFault(ft Fault) error {
	for _, n := range []string{"control-" + ft.Target, "pool-" + ft.Target} {
		p := f.processes[n]
		switch {
		case p == nil:
			return fmt.Errorf("%s: machine %q does not exist", ft.Action, ft.Target)
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

// String returns the fault in the form that ParseFaults parses.
func (f Fault) String() string {
	s := fmt.Sprintf("%s:%s:%s", f.At, f.Action, f.Target)
	if f.Value != 0 {
		s += ":" + strconv.FormatInt(f.Value, 10)
	}
	return s
}

// MarshalJSON encodes the fault as the JSON string of its String form.
func (f Fault) MarshalJSON() ([]byte, error) { return json.Marshal(f.String()) }
