// Command rig runs one case of the second review: it starts the project's programs as
// separate processes on loopback addresses, with stand-ins for databases, clients, operator
// and platform, and checks one rule. It exits with 1 if the rule was broken, with 0 if it
// was kept, and with 2 if the case could not run.
package main

import (
	"bufio"
	_ "embed"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

//go:embed names.txt
var namesText string

//go:embed settings.txt
var settingsText string

// names holds the platform's names and message templates, from names.txt.
var names = readNames()

func readNames() map[string]string {
	m := map[string]string{}
	for line := range strings.SplitSeq(namesText, "\n") {
		if key, value, ok := strings.Cut(line, "="); ok {
			m[key] = value
		}
	}
	return m
}

// recorder writes what was sent, answered and run to a file, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	out   *bufio.Writer
	start time.Time
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

var record *recorder

// caseTimeout bounds the time that a case may take.
const caseTimeout = 110 * time.Second

// verdict is the result of a case.
type verdict int

const (
	kept verdict = iota
	broken
	notRun
)

// scenario plays a case on a fleet; disrupt is false for the run without the disruption.
type scenario func(f *fleet, disrupt bool) verdict

var scenarios = map[string]scenario{}

func main() {
	name := flag.String("case", "", "name of the case")
	disrupt := flag.Bool("disrupt", true, "play the disruption")
	path := flag.String("record", "record.txt", "file for the record")
	pool := flag.String("pool", "", "command of the pool node")
	control := flag.String("control", "", "command of the control process")
	logs := flag.String("logs", "", "folder for the logs of the processes, none if empty")
	flag.Parse()
	os.Exit(int(run(*name, *disrupt, *path, options{pool: *pool, control: *control, logs: *logs})))
}

func run(name string, disrupt bool, path string, o options) verdict {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer file.Close()
	record = &recorder{out: bufio.NewWriter(file), start: time.Now()}
	defer func() {
		record.mu.Lock()
		record.out.Flush()
		record.mu.Unlock()
	}()
	play := scenarios[name]
	if play == nil {
		record.logf("no case %q", name)
		return notRun
	}
	f, err := newFleet(o)
	if err != nil {
		record.logf("the fleet could not start: %v", err)
		return notRun
	}
	defer f.stop()
	limit := time.AfterFunc(caseTimeout, func() { os.Exit(int(notRun)) }) // the processes end with this one
	defer limit.Stop()
	result := play(f, disrupt)
	record.logf("result: %s", []string{"the rule was kept", "THE RULE WAS BROKEN", "the case could not run"}[result])
	return result
}
