package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"stoneford/standin/databasecopy"
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
	"mend":           "end cut and drop",
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
		ps := strings.Split(e, ":")
		if len(ps) < 3 || len(ps) > 4 {
			return nil, fmt.Errorf("%q is not AT:ACTION:TARGET or AT:ACTION:TARGET:VALUE", e)
		}
		at, err := time.ParseDuration(ps[0])
		if err != nil {
			return nil, fmt.Errorf("%q: %w", e, err)
		}
		if Actions[ps[1]] == "" {
			return nil, fmt.Errorf("%q: unknown action %s", e, ps[1])
		}
		f := Fault{At: at, Action: ps[1], Target: ps[2]}
		if len(ps) == 4 {
			if f.Value, err = strconv.ParseInt(ps[3], 10, 64); err != nil {
				return nil, fmt.Errorf("%q: %w", e, err)
			}
		}
		fs = append(fs, f)
	}
	return fs, nil
}

// Do brings one fault about and returns the process it hit.
func (f *Fleet) Do(ctx context.Context, ft Fault) (string, error) {
	n := ft.Target
	if ft.Action == "join" {
		return f.Join()
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
	p := f.procs[n]
	if p == nil {
		return n, fmt.Errorf("no process %q", n)
	}
	set := func(d databasecopy.Faults) error {
		return databasecopy.Call(ctx, "http://"+p.http+"/faults", d, nil)
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
	case "restart":
		p.signal(syscall.SIGTERM, true)
		return n, f.start(p)
	case "pause":
		p.signal(syscall.SIGSTOP, false)
	case "resume":
		p.signal(syscall.SIGCONT, false)
	case "slow":
		return n, set(databasecopy.Faults{ServiceUs: plain + ft.Value})
	case "lag":
		return n, set(databasecopy.Faults{ServiceUs: plain, LagUs: ft.Value})
	case "lose":
		return n, set(databasecopy.Faults{ServiceUs: plain, LoseReturns: int(ft.Value)})
	case "dark":
		return n, set(databasecopy.Faults{ServiceUs: plain, Dark: true})
	case "light":
		return n, set(databasecopy.Faults{ServiceUs: plain})
	case "stop-receiving":
		return n, set(databasecopy.Faults{ServiceUs: plain, StopReceiving: true})
	case "stop-applying":
		return n, set(databasecopy.Faults{ServiceUs: plain, StopApplying: true})
	case "cut", "mend", "reset", "drop":
		for _, k := range p.links {
			switch ft.Action {
			case "cut":
				k.Cut(true)
			case "mend":
				k.Cut(false)
				k.Loss(0)
			case "reset":
				k.Reset()
			case "drop":
				k.Loss(float64(ft.Value) / 100)
			}
		}
	case "leave", "stay":
		return n, databasecopy.Call(ctx, "http://"+p.http+"/v1/leave", map[string]bool{"leaving": ft.Action == "leave"}, nil)
	}
	return n, nil
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
