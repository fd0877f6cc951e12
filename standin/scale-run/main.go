// Command scale-run measures how state, traffic, CPU and the time of changes grow
// with the number of pool nodes (docs/CAPACITY.md). It starts control processes
// with their disks, real pool nodes and one process of hollow nodes, all on
// loopback, size after size, and prints each figure with its slope.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

type options struct {
	sizes    []int
	controls []int
	seconds  int
	repeats  int
	changes  int
	switches int
	real     int
	bound    time.Duration
	part     string
	out      string
	profile  string

	role  string
	index int
	count int
	of    int // control processes
	dir   string
	dbs   string
}

func main() {
	var o options
	sizes, controls := "", ""
	flag.StringVar(&o.part, "part", "fleet", "fleet, data (statements and sessions), freshness, or table (of what -out holds)")
	flag.StringVar(&sizes, "sizes", "10,40,160,690", "numbers of pool nodes")
	flag.StringVar(&controls, "controls", "3", "numbers of control processes")
	flag.IntVar(&o.seconds, "seconds", 6, "how long the steady state is measured")
	flag.IntVar(&o.repeats, "repeats", 3, "runs of each size")
	flag.IntVar(&o.changes, "changes", 4, "changes of the routing table in each run")
	flag.IntVar(&o.switches, "switches", 2, "changes of primary in each run")
	flag.IntVar(&o.real, "real", 2, "pool nodes that are processes of their own")
	flag.DurationVar(&o.bound, "bound", 60*time.Second, "each run is ended after this, and keeps the figures it has")
	flag.StringVar(&o.out, "out", "", "file that each run's figures are appended to, as JSON")
	flag.StringVar(&o.profile, "profile", "", "folder for a CPU profile of the first control process in the steady state")
	flag.StringVar(&o.role, "role", "", "set by the run itself for the processes that it starts")
	flag.IntVar(&o.index, "index", 0, "likewise")
	flag.IntVar(&o.count, "count", 0, "likewise")
	flag.IntVar(&o.of, "of", 0, "likewise")
	flag.StringVar(&o.dir, "dir", "", "likewise")
	flag.StringVar(&o.dbs, "databases", "", "likewise")
	flag.Parse()
	o.sizes, o.controls = numbers(sizes), numbers(controls)
	log.SetHandler(discard.New())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "scale-run:", err)
		os.Exit(1)
	}
}

func numbers(s string) (ns []int) {
	for f := range strings.SplitSeq(s, ",") {
		if n, err := strconv.Atoi(f); err == nil && n > 0 {
			ns = append(ns, n)
		}
	}
	return ns
}

func run(ctx context.Context, o options) error {
	switch o.role {
	case "control", "pool":
		// As the daemons do it.
		runtime.GOMAXPROCS(1)
		debug.SetGCPercent(100)
	case "hollow":
		runtime.GOMAXPROCS(4)
	default:
		runtime.GOMAXPROCS(2)
	}
	switch {
	case o.role != "":
		return child(ctx, o)
	case o.part == "data":
		f, err := data(ctx, o)
		if err != nil {
			return err
		}
		return show(f)
	case o.part == "table":
		return tables(o)
	case o.part == "freshness":
		return show(freshnessState())
	}
	return fleet(ctx, o)
}

func show(f any) error {
	b, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return err
	}
	fmt.Println(string(b))
	return nil
}
