// Command run-tests runs go test with the arguments it is given and prints what go test
// would, then how many tests passed and failed. Tests that are listed in KNOWN-RED.txt may
// fail; one that passes again must be removed from the list.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"os/exec"
	"slices"
	"strings"
)

// knownFile lists the tests that may fail.
const knownFile = "KNOWN-RED.txt"

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "run-tests:", err)
		os.Exit(1)
	}
}

func run(args []string, out io.Writer) error {
	known, err := readKnown(knownFile)
	if err != nil {
		return err
	}
	c := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	c.Stderr = os.Stderr
	events, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	if err := c.Start(); err != nil {
		return err
	}
	r := newRun(known, out)
	r.verbose = slices.Contains(args, "-v")
	r.partial = slices.ContainsFunc(args, func(a string) bool {
		return a == "-run" || a == "-skip" || strings.HasPrefix(a, "-run=") || strings.HasPrefix(a, "-skip=")
	})
	read := r.read(events)
	ended := c.Wait()
	sum := r.summary()
	switch {
	case read != nil:
		return errors.Join(read, sum)
	case sum == nil && ended != nil && r.knownFailures == 0:
		return fmt.Errorf("go test ended with %w, and no test said why", ended)
	}
	return sum
}

// test is one test and the import path of its package.
type test struct{ pkg, name string }

func (t test) String() string { return t.pkg + " " + t.name }

// readKnown reads the list: package, test, a colon and the reason on each line.
func readKnown(path string) (map[test]string, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	known := map[test]string{}
	for i, l := range strings.Split(string(b), "\n") {
		if l = strings.TrimSpace(l); l == "" || l[0] == '#' {
			continue
		}
		of, why, ok := strings.Cut(l, ": ")
		f := strings.Fields(of)
		if !ok || len(f) != 2 || !strings.HasPrefix(f[1], "Test") || strings.Contains(f[1], "/") || strings.TrimSpace(why) == "" {
			return nil, fmt.Errorf("%s, line %d: it is not `package TestName: cause, issue`", path, i+1)
		}
		known[test{f[0], f[1]}] = strings.TrimSpace(why)
	}
	return known, nil
}

// event is a line of go test -json.
type event struct {
	Action, Package, ImportPath, Test, Output, FailedBuild string
}

// packageRun is what is known of a package under test.
type packageRun struct {
	text         strings.Builder
	tests        map[string]*strings.Builder // output of tests that have not ended
	failed       []string
	ended        map[string]bool
	endedInOrder bool // go test reported the end of all its tests
	unattributed bool // something failed that belongs to no test
}

// testRun is a run of go test.
type testRun struct {
	known          map[test]string
	output         io.Writer
	verbose        bool // print the output of tests that pass, too
	partial        bool // only some tests of the packages run
	packages       map[string]*packageRun
	builds         map[string]*strings.Builder
	passed         int
	failed         int
	knownFailures  int // failures of listed tests
	brokenPackages []string
	passedKnown    []test // listed tests that passed
}

func newRun(known map[test]string, out io.Writer) *testRun {
	return &testRun{known: known, output: out, packages: map[string]*packageRun{}, builds: map[string]*strings.Builder{}}
}

// packageOf is the package with an import path.
func (r *testRun) packageOf(n string) *packageRun {
	p := r.packages[n]
	if p == nil {
		p = &packageRun{tests: map[string]*strings.Builder{}, ended: map[string]bool{}}
		r.packages[n] = p
	}
	return p
}

// read takes all events of go test.
func (r *testRun) read(events io.Reader) error {
	b := bufio.NewReader(events)
	for {
		l, err := b.ReadBytes('\n')
		var e event
		switch {
		case len(l) == 0 && err == io.EOF:
			return nil
		case json.Unmarshal(l, &e) != nil:
			fmt.Fprintf(r.output, "%s", l) // not an event: output of the go command itself
		default:
			r.event(e)
		}
		if err != nil && err != io.EOF {
			return err
		}
	}
}

// event takes one event.
func (r *testRun) event(e event) {
	if e.Action == "build-output" {
		w := r.builds[e.ImportPath]
		if w == nil {
			w = &strings.Builder{}
			r.builds[e.ImportPath] = w
		}
		w.WriteString(e.Output)
		return
	}
	if e.Package == "" {
		return
	}
	p := r.packageOf(e.Package)
	if e.Test == "" {
		r.packageEvent(e, p)
		return
	}
	top, _, sub := strings.Cut(e.Test, "/")
	if p.tests[top] == nil {
		p.tests[top] = &strings.Builder{}
	}
	switch e.Action {
	case "output":
		if r.verbose {
			fmt.Fprint(r.output, e.Output)
		} else if !strings.HasPrefix(e.Output, "=== ") {
			p.tests[top].WriteString(e.Output)
		}
	case "pass", "fail", "skip":
		if !sub {
			r.end(e.Package, p, top, e.Action)
		}
	}
}

// end takes the end of a top-level test.
func (r *testRun) end(pkg string, p *packageRun, name, action string) {
	text := p.tests[name].String()
	delete(p.tests, name)
	p.ended[name] = true
	t := test{pkg, name}
	_, listed := r.known[t]
	switch action {
	case "pass":
		r.passed++
		if listed {
			r.passedKnown = append(r.passedKnown, t)
		}
	case "fail":
		p.failed = append(p.failed, name)
		fmt.Fprint(r.output, text)
		if !listed {
			r.failed++
		}
	}
}

// packageEvent takes an event that belongs to no test.
func (r *testRun) packageEvent(e event, p *packageRun) {
	switch e.Action {
	case "output":
		p.endedInOrder = p.endedInOrder || e.Output == "FAIL\n" // a panic leaves it out
		p.unattributed = p.unattributed || strings.Contains(e.Output, "race detected outside of test execution")
		if !strings.HasPrefix(e.Output, "=== ") && e.Output != "PASS\n" {
			p.text.WriteString(e.Output)
		}
	case "pass", "skip":
		fmt.Fprint(r.output, p.text.String())
	case "fail":
		if w := r.builds[e.FailedBuild]; w != nil {
			fmt.Fprint(r.output, w)
		}
		for _, n := range slices.Sorted(maps.Keys(p.tests)) { // those that were running at the end
			r.end(e.Package, p, n, "fail")
			p.endedInOrder = false
		}
		fmt.Fprint(r.output, p.text.String())
		r.packageFailed(e, p)
	}
}

// packageFailed counts known failures. Where the package did not end in order, tests after
// them never ran, so nothing in it is excused.
func (r *testRun) packageFailed(e event, p *packageRun) {
	listed := 0
	for _, n := range p.failed {
		if _, ok := r.known[test{e.Package, n}]; ok {
			listed++
		}
	}
	if len(p.failed) == 0 || !p.endedInOrder || p.unattributed {
		r.brokenPackages = append(r.brokenPackages, e.Package)
		if listed == len(p.failed) {
			r.failed++
		}
		return
	}
	r.knownFailures += listed
}

// summary prints the counts, and returns an error unless only listed tests failed.
func (r *testRun) summary() error {
	bad := r.failed > 0
	for _, t := range slices.SortedFunc(maps.Keys(r.known), func(a, b test) int { return strings.Compare(a.String(), b.String()) }) {
		p := r.packages[t.pkg]
		switch {
		case p == nil:
		case slices.Contains(p.failed, t.name):
			fmt.Fprintf(r.output, "known red: %s: %s\n", t, r.known[t])
		case slices.Contains(r.passedKnown, t):
			fmt.Fprintf(r.output, "%s passes: remove it from the list in %s\n", t, knownFile)
			bad = true
		case !p.ended[t.name] && !r.partial && !slices.Contains(r.brokenPackages, t.pkg):
			fmt.Fprintf(r.output, "%s names no test that ran: remove it from the list in %s\n", t, knownFile)
			bad = true
		}
	}
	for _, p := range r.brokenPackages {
		fmt.Fprintf(r.output, "%s did not end in order\n", p)
	}
	fmt.Fprintf(r.output, "%d passed, %d failed", r.passed, r.failed)
	if r.knownFailures > 0 {
		fmt.Fprintf(r.output, ", %d known red", r.knownFailures)
	}
	fmt.Fprintln(r.output)
	if bad {
		return errors.New("not all is well")
	}
	return nil
}
