// Command run-fleet runs a complete fleet of processes on this machine (emulator/fleet),
// puts load on it, injects faults and prints as JSON what callers observed. It exits with
// status 1 if a rule of docs/never-happens.md was violated.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"stoneford/emulator/fleet"
)

func main() {
	c := &cli.Command{
		Name: "run-fleet", Usage: "start a fleet, put load on it, inject faults and report",
		Description: "Run it from the project's root. Actions of --faults:\n" + actions(),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "shape", Value: "small", Usage: strings.Join(slices.Sorted(maps.Keys(fleet.Shapes)), ", ")},
			&cli.IntFlag{Name: "seconds", Value: 15, Usage: "duration of the load"},
			&cli.FloatFlag{Name: "rate", Usage: "queries a second (default: the shape's)"},
			&cli.IntFlag{Name: "sessions", Usage: "open sessions (default: the shape's)"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "faults", Usage: "AT:ACTION:TARGET[:VALUE], separated by commas; a target is a process, primary@GROUP or replica@GROUP"},
			&cli.StringFlag{Name: "folder", Usage: "folder for boot files, logs and data (default: a new one, removed at the end unless the run fails)"},
			&cli.StringFlag{Name: "older", Usage: "folder with the programs of an earlier revision, with which all processes but control-1 start"},
			&cli.BoolFlag{Name: "hold", Usage: "send no load; keep the fleet up until interrupted and print how to reach it"},
		},
		Action: run,
	}
	if err := c.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "run-fleet:", err)
		os.Exit(1)
	}
}

// actions lists the actions of the flag --faults with their descriptions.
func actions() string {
	var b strings.Builder
	for _, a := range slices.Sorted(maps.Keys(fleet.Actions)) {
		fmt.Fprintf(&b, "  %-15s %s\n", a, fleet.Actions[a])
	}
	return b.String()
}

// options are the values of the flags.
type options struct {
	shapeName string
	shape     fleet.Shape
	seconds   int
	rate      float64 // queries per second
	sessions  int
	seed      uint64
	faults    []fleet.Fault
	folder    string // empty for a new folder that is removed at the end
	older     string // folder with programs of an earlier revision, empty for none
	keepUp    bool
}

func readOptions(c *cli.Command) (options, error) {
	s := options{shapeName: c.String("shape"), seconds: c.Int("seconds"), rate: c.Float("rate"), sessions: c.Int("sessions"), seed: c.Uint64("seed"),
		folder: c.String("folder"), older: c.String("older"), keepUp: c.Bool("hold")}
	var ok bool
	if s.shape, ok = fleet.Shapes[s.shapeName]; !ok {
		return s, fmt.Errorf("unknown shape %q", s.shapeName)
	}
	s.rate = lo.Ternary(s.rate > 0, s.rate, s.shape.Rate)
	s.sessions = lo.Ternary(s.sessions > 0, s.sessions, s.shape.Sessions)
	var err error
	s.faults, err = fleet.ParseFaults(c.String("faults"))
	return s, err
}

func run(ctx context.Context, c *cli.Command) (err error) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	s, err := readOptions(c)
	if err != nil {
		return err
	}
	folder, remove, err := makeFolder(s.folder)
	if err != nil {
		return err
	}
	defer func() { err = remove(err) }()
	f, err := newFleet(ctx, s, folder)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	began := time.Now()
	if err := f.Start(ctx); err != nil {
		return err
	}
	r := report{Shape: s.shapeName, Seed: s.seed, StartS: seconds(time.Since(began)), Kinds: map[string]queryStats{}}
	if s.keepUp {
		f.WriteDeployment(os.Stdout)
		<-ctx.Done()
		return nil
	}
	if err := runLoad(ctx, f, s, &r); err != nil {
		return err
	}
	return printReport(r)
}

// makeFolder creates the folder for configuration files, logs and data, a temporary one if
// the name is empty. The function remove is called at the end with the error of the run: it
// removes a temporary folder, unless the run failed, and returns the error of the run or
// its own.
func makeFolder(name string) (folder string, remove func(error) error, err error) {
	if name != "" {
		return name, func(err error) error { return err }, os.MkdirAll(name, 0o755)
	}
	if folder, err = os.MkdirTemp("", "stoneford-fleet-"); err != nil {
		return "", nil, err
	}
	return folder, func(err error) error {
		if err == nil {
			return os.RemoveAll(folder)
		}
		fmt.Fprintln(os.Stderr, "run-fleet: logs are kept in", folder)
		return err
	}, nil
}

// newFleet builds the programs and creates the fleet, but does not start it.
func newFleet(ctx context.Context, s options, folder string) (*fleet.Fleet, error) {
	programs := filepath.Join(folder, "bin")
	if err := fleet.Build(ctx, ".", programs); err != nil {
		return nil, err
	}
	f, err := fleet.New(s.shape, programs, folder)
	if err == nil && s.older != "" {
		f.UseOlderPrograms(s.older)
	}
	return f, err
}

// runLoad runs the callers and injects the faults, and fills in the report.
func runLoad(ctx context.Context, f *fleet.Fleet, s options, r *report) error {
	nodes := watchNodes(ctx, f)
	loadCtx, stop := context.WithTimeout(ctx, time.Duration(s.seconds)*time.Second)
	defer stop()
	load := f.Load(s.sessions, s.rate, s.seed)
	load.Nodes = nodes.get
	runner := f.NewCallers(load)
	cpu, counts := f.CPUTimes(), f.Counters(ctx)
	began := time.Now()
	schedule := startFaults(ctx, loadCtx, f, s.faults)
	runner.Run(loadCtx)
	took := time.Since(began)
	countsAfter := f.Counters(ctx)
	r.fillCost(cpu, f.CPUTimes(), counts, countsAfter)
	faults, err := schedule.wait()
	if err != nil {
		return err
	}
	r.fillFaults(faults, began, s.shape, runner)
	logs, err := f.PrimaryLogs(ctx)
	if err != nil {
		return err
	}
	r.Check = runner.Checker.Check(logs)
	r.fillSamples(runner.Samples(), began, took)
	r.Crashed = f.Crashed()
	return nil
}

// printReport prints the report. It returns an error if the report lists violations or
// crashed processes.
func printReport(r report) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	fmt.Println(string(text))
	if n := len(r.Check.Violations) + len(r.Crashed); n > 0 {
		return fmt.Errorf("%d violations and %d processes that exited by themselves: see check and ended_by_themselves in the report", len(r.Check.Violations), len(r.Crashed))
	}
	return nil
}
