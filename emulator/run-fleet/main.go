// Command run-fleet starts a whole fleet on this machine, puts a load on it,
// brings faults about and prints what callers saw as JSON. It exits with 1 if
// anything happened that must never happen.
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
	"sync"
	"syscall"
	"time"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"stoneford/emulator/callers"
	"stoneford/emulator/checker"
	"stoneford/emulator/fleet"
	"stoneford/result"
)

type figures struct {
	Queries   int            `json:"queries"`
	Served    float64        `json:"served_share"`
	FirstTry  float64        `json:"served_at_first_try_share"`
	P50Us     int64          `json:"p50_us"`
	P99Us     int64          `json:"p99_us"`
	Codes     map[string]int `json:"codes"`
	Databases map[string]int `json:"copies,omitempty"`
}

type fault struct {
	Fault     fleet.Fault `json:"fault"`
	Hit       string      `json:"hit"`
	AtS       float64     `json:"at_s"`
	FirstAckS float64     `json:"first_acknowledged_write_after_s,omitempty"`
}

type report struct {
	Shape     string             `json:"shape"`
	Seed      uint64             `json:"seed"`
	Seconds   float64            `json:"seconds"`
	StartS    float64            `json:"start_to_all_ready_s"`
	Rate      float64            `json:"queries_per_s"`
	All       figures            `json:"all"`
	Kinds     map[string]figures `json:"kinds"`
	OnReplica float64            `json:"reads_on_replicas_share"`
	PerSecond []string           `json:"served_of_sent_per_second"`
	Faults    []fault            `json:"faults,omitempty"`
	Check     checker.Verdict    `json:"check"`
	CPU       map[string]float64 `json:"cpu_us_per_query"` // by kind of process
	Polls     float64            `json:"status_polls_per_query"`
	Envelopes float64            `json:"envelopes_of_nodes_per_query"`
	Died      []string           `json:"ended_by_themselves,omitempty"`
}

func main() {
	c := &cli.Command{
		Name: "run-fleet", Usage: "start a fleet, burden it, break it and report",
		Description: "Run it from the project's root. Actions of --faults:\n" + actions(),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "shape", Value: "small", Usage: strings.Join(slices.Sorted(maps.Keys(fleet.Shapes)), ", ")},
			&cli.IntFlag{Name: "seconds", Value: 15, Usage: "how long callers send"},
			&cli.FloatFlag{Name: "rate", Usage: "queries a second (default: the shape's)"},
			&cli.IntFlag{Name: "sessions", Usage: "open sessions (default: the shape's)"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "faults", Usage: "AT:ACTION:TARGET[:VALUE], separated by commas; a target is a process, primary@GROUP or replica@GROUP"},
			&cli.StringFlag{Name: "folder", Usage: "where boot files, logs and data go (default: a new one, removed at the end unless something is wrong)"},
			&cli.StringFlag{Name: "older", Usage: "folder with the programs of an earlier revision, which all but control-1 begin with"},
			&cli.BoolFlag{Name: "hold", Usage: "send no load; keep the fleet up until interrupted and print how to reach it"},
		},
		Action: run,
	}
	if err := c.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "run-fleet:", err)
		os.Exit(1)
	}
}

func actions() string {
	var b strings.Builder
	for _, a := range slices.Sorted(maps.Keys(fleet.Actions)) {
		fmt.Fprintf(&b, "  %-15s %s\n", a, fleet.Actions[a])
	}
	return b.String()
}

func run(ctx context.Context, c *cli.Command) (err error) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	sh, ok := fleet.Shapes[c.String("shape")]
	if !ok {
		return fmt.Errorf("no shape %q", c.String("shape"))
	}
	fs, err := fleet.ParseFaults(c.String("faults"))
	if err != nil {
		return err
	}
	dir := c.String("folder")
	if dir == "" {
		if dir, err = os.MkdirTemp("", "stoneford-fleet-"); err != nil {
			return err
		}
		defer func() {
			if err == nil {
				err = os.RemoveAll(dir)
			} else {
				fmt.Fprintln(os.Stderr, "run-fleet: logs are left in", dir)
			}
		}()
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	bin := filepath.Join(dir, "bin")
	if err := fleet.Build(ctx, ".", bin); err != nil {
		return err
	}
	f, err := fleet.New(sh, bin, dir)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	if o := c.String("older"); o != "" {
		f.UseOlderPrograms(o)
	}
	t0 := time.Now()
	if err := f.Start(ctx); err != nil {
		return err
	}
	rep := report{Shape: c.String("shape"), Seed: c.Uint64("seed"), StartS: seconds(time.Since(t0)), Kinds: map[string]figures{}}
	if c.Bool("hold") {
		f.WriteDeployment(os.Stdout)
		<-ctx.Done()
		return nil
	}
	rate, ses := c.Float("rate"), c.Int("sessions")
	rate = lo.Ternary(rate > 0, rate, sh.Rate)
	ses = lo.Ternary(ses > 0, ses, sh.Sessions)
	var mu sync.Mutex
	var nodes []string
	poll := func() {
		if ns := f.Nodes(); len(ns) > 0 {
			mu.Lock()
			nodes = ns
			mu.Unlock()
		}
	}
	poll()
	lctx, lstop := context.WithTimeout(ctx, time.Duration(c.Int("seconds"))*time.Second)
	defer lstop()
	go func() {
		t := time.NewTicker(200 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				poll()
			}
		}
	}()
	load := f.Load(ses, rate, c.Uint64("seed"))
	load.Nodes = func() []string { mu.Lock(); defer mu.Unlock(); return nodes }
	r := f.Callers(load)
	cpu, counts := f.CPU(), f.Counters(ctx)
	began := time.Now()
	var wg sync.WaitGroup
	ats := make([]int64, len(fs))
	rep.Faults = make([]fault, len(fs))
	ferrs := make([]error, len(fs))
	for i, ft := range fs {
		wg.Go(func() {
			t := time.NewTimer(ft.At)
			defer t.Stop()
			select {
			case <-lctx.Done():
				ferrs[i] = fmt.Errorf("%s: the run ended before it", ft)
				return
			case <-t.C:
			}
			ats[i] = time.Now().UnixMicro()
			hit, err := f.Inject(ctx, ft)
			rep.Faults[i] = fault{Fault: ft, Hit: hit, AtS: seconds(time.Since(began))}
			ferrs[i] = err
		})
	}
	r.Run(lctx)
	took := time.Since(began)
	// Processes that were started anew in between count from there on.
	rep.CPU = map[string]float64{}
	after := f.Counters(ctx)
	if q := after.Queries - counts.Queries; q > 0 {
		for k, d := range f.CPU() {
			rep.CPU[k] = float64((d - cpu[k]).Microseconds()) / q
		}
		rep.Polls, rep.Envelopes = (after.Polls-counts.Polls)/q, (after.Sent-counts.Sent)/q
	}
	wg.Wait()
	if err := errors.Join(ferrs...); err != nil {
		return err
	}
	logs, err := f.Logs(ctx)
	if err != nil {
		return err
	}
	rep.Check = r.Checker.Check(logs)
	for i := range rep.Faults {
		if rt := sh.Route(rep.Faults[i].Hit); rt != "" {
			if a := r.FirstAcknowledgementAfter(rt, ats[i]); a > 0 {
				rep.Faults[i].FirstAckS = float64((a-ats[i])/1000) / 1000
			}
		}
	}
	fill(&rep, r.Samples(), began, took)
	rep.Died = f.Crashed()
	b, err := json.MarshalIndent(rep, "", "  ")
	if err != nil {
		return err
	}
	fmt.Println(string(b))
	if n := len(rep.Check.Violations) + len(rep.Died); n > 0 {
		return fmt.Errorf("%d things happened that must never happen", n)
	}
	return nil
}

func seconds(d time.Duration) float64 { return float64(d.Milliseconds()) / 1000 }

func fill(rep *report, ss []callers.Sample, began time.Time, took time.Duration) {
	rep.Seconds = seconds(took)
	rep.Rate = float64(int(float64(len(ss))/took.Seconds()*10)) / 10
	rep.All = addCounters(ss)
	for k, l := range lo.GroupBy(ss, func(s callers.Sample) string { return s.Kind }) {
		rep.Kinds[k] = addCounters(l)
	}
	reads := lo.Filter(ss, func(s callers.Sample, _ int) bool {
		return (s.Kind == checker.Lookup || s.Kind == checker.ReadYourWrites || s.Kind == checker.Current) && s.Outcome == result.Done
	})
	by := lo.CountValuesBy(reads, func(s callers.Sample) string { return s.Database })
	rep.All.Databases = by
	n := int(took.Seconds()) + 1
	sent, served := make([]int, n), make([]int, n)
	for _, s := range ss {
		i := int((s.AtUs - began.UnixMicro()) / 1_000_000)
		if i >= 0 && i < n {
			sent[i]++
			served[i] += lo.Ternary(s.Outcome == result.Done, 1, 0)
		}
	}
	for i := range n {
		rep.PerSecond = append(rep.PerSecond, fmt.Sprintf("%d/%d", served[i], sent[i]))
	}
	rs := 0
	for _, s := range reads {
		rs += lo.Ternary(s.OnReplica, 1, 0)
	}
	if len(reads) > 0 {
		rep.OnReplica = fraction(rs, len(reads))
	}
}

func fraction(a, b int) float64 { return float64(int(float64(a)/float64(b)*10000+0.5)) / 10000 }

func addCounters(ss []callers.Sample) figures {
	f := figures{Queries: len(ss), Codes: map[string]int{}}
	var took []int64
	ok, first := 0, 0
	for _, s := range ss {
		f.Codes[fmt.Sprintf("%d %s", s.Code, lo.Ternary(s.Code < 0, "no return", s.Code.String()))]++
		if s.Outcome == result.Done {
			ok++
			took = append(took, s.DurationUs)
			if s.Attempts == 1 {
				first++
			}
		}
	}
	slices.Sort(took)
	if len(ss) > 0 {
		f.Served, f.FirstTry = fraction(ok, len(ss)), fraction(first, len(ss))
	}
	f.P50Us, f.P99Us = checker.Quantile(took, 0.5), checker.Quantile(took, 0.99)
	return f
}
