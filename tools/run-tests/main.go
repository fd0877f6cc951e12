// Command run-tests runs go test with the given arguments, prints the output as go test
// does, and then prints how many tests passed and failed. Tests listed in KNOWN-RED.txt may
// fail. If a listed test passes, the command fails until the test is removed from the list.
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

// knownFile is the file that lists the tests that may fail.
const knownFile = "KNOWN-RED.txt"

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "run-tests:", err)
		os.Exit(1)
	}
}

// run runs go test and returns an error unless only listed tests failed.
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
	readErr := r.readEvents(events)
	waitErr := c.Wait()
	summaryErr := r.summary()
	switch {
	case readErr != nil:
		return errors.Join(readErr, summaryErr)
	case summaryErr == nil && waitErr != nil && r.knownFailures == 0:
		return fmt.Errorf("go test ended with %w, and no test said why", waitErr)
	}
	return summaryErr
}

// testID identifies a top-level test by the import path of its package and its name.
type testID struct{ pkg, name string }

func (t testID) String() string { return t.pkg + " " + t.name }

// readKnown reads the list of tests that may fail. Each line holds a package, a test, a
// colon and the reason. Empty lines and lines that begin with # are skipped. A missing
// file is an empty list.
func readKnown(path string) (map[testID]string, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	known := map[testID]string{}
	for i, line := range strings.Split(string(b), "\n") {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		id, reason, ok := strings.Cut(line, ": ")
		fields := strings.Fields(id)
		if !ok || len(fields) != 2 || !strings.HasPrefix(fields[1], "Test") || strings.Contains(fields[1], "/") || strings.TrimSpace(reason) == "" {
			return nil, fmt.Errorf("%s, line %d: the line does not have the form `package TestName: cause, issue`", path, i+1)
		}
		known[testID{fields[0], fields[1]}] = strings.TrimSpace(reason)
	}
	return known, nil
}

// event is a line of the output of go test -json.
type event struct {
	Action, Package, ImportPath, Test, Output, FailedBuild string
}

// packageRun is the state of the test run of one package.
type packageRun struct {
	output             strings.Builder             // output that belongs to no test
	tests              map[string]*strings.Builder // output of tests that have not ended
	failedTests        []string
	endedTests         map[string]bool
	testsCompleted     bool // the test binary reported that all its tests ended
	failedOutsideTests bool // a failure was reported that belongs to no test
}

// testRun is the state of a run of go test.
type testRun struct {
	known          map[testID]string // tests that may fail, with the reason
	output         io.Writer
	verbose        bool // also print the output of tests that pass
	partial        bool // flags select only some tests of the packages
	packages       map[string]*packageRun
	buildOutput    map[string]*strings.Builder // by import path
	passed         int                         // number of tests that passed
	failed         int                         // number of unexpected failures
	knownFailures  int                         // number of listed tests that failed
	brokenPackages []string                    // packages whose failure the list cannot excuse
	passedKnown    []testID                    // listed tests that passed
}

func newRun(known map[testID]string, out io.Writer) *testRun {
	return &testRun{known: known, output: out, packages: map[string]*packageRun{}, buildOutput: map[string]*strings.Builder{}}
}

// packageRunOf returns the state of the package with an import path. It creates the state
// on first use.
func (r *testRun) packageRunOf(path string) *packageRun {
	p := r.packages[path]
	if p == nil {
		p = &packageRun{tests: map[string]*strings.Builder{}, endedTests: map[string]bool{}}
		r.packages[path] = p
	}
	return p
}

// readEvents processes the output of go test -json up to its end.
func (r *testRun) readEvents(events io.Reader) error {
	b := bufio.NewReader(events)
	for {
		line, err := b.ReadBytes('\n')
		var e event
		switch {
		case len(line) == 0 && err == io.EOF:
			return nil
		case json.Unmarshal(line, &e) != nil:
			fmt.Fprintf(r.output, "%s", line) // not an event but output of the go command itself
		default:
			r.handleEvent(e)
		}
		if err != nil && err != io.EOF {
			return err
		}
	}
}

// handleEvent processes an event.
func (r *testRun) handleEvent(e event) {
	if e.Action == "build-output" {
		w := r.buildOutput[e.ImportPath]
		if w == nil {
			w = &strings.Builder{}
			r.buildOutput[e.ImportPath] = w
		}
		w.WriteString(e.Output)
		return
	}
	if e.Package == "" {
		return
	}
	p := r.packageRunOf(e.Package)
	if e.Test == "" {
		r.handlePackageEvent(e, p)
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
			r.handleTestEnd(e.Package, p, top, e.Action)
		}
	}
}

// handleTestEnd records the result of a top-level test and prints its output if it failed.
func (r *testRun) handleTestEnd(pkg string, p *packageRun, name, action string) {
	output := p.tests[name].String()
	delete(p.tests, name)
	p.endedTests[name] = true
	t := testID{pkg, name}
	_, listed := r.known[t]
	switch action {
	case "pass":
		r.passed++
		if listed {
			r.passedKnown = append(r.passedKnown, t)
		}
	case "fail":
		p.failedTests = append(p.failedTests, name)
		fmt.Fprint(r.output, output)
		if !listed {
			r.failed++
		}
	}
}

// handlePackageEvent processes an event that belongs to no test.
func (r *testRun) handlePackageEvent(e event, p *packageRun) {
	switch e.Action {
	case "output":
		p.testsCompleted = p.testsCompleted || e.Output == "FAIL\n" // missing after a panic
		p.failedOutsideTests = p.failedOutsideTests || strings.Contains(e.Output, "race detected outside of test execution")
		if !strings.HasPrefix(e.Output, "=== ") && e.Output != "PASS\n" {
			p.output.WriteString(e.Output)
		}
	case "pass", "skip":
		fmt.Fprint(r.output, p.output.String())
	case "fail":
		if w := r.buildOutput[e.FailedBuild]; w != nil {
			fmt.Fprint(r.output, w)
		}
		for _, name := range slices.Sorted(maps.Keys(p.tests)) { // tests that were still running
			r.handleTestEnd(e.Package, p, name, "fail")
			p.testsCompleted = false
		}
		fmt.Fprint(r.output, p.output.String())
		r.handlePackageFailure(e, p)
	}
}

// handlePackageFailure counts the listed tests that failed in a package. If the package did
// not run to its end, some tests may never have run, so the list excuses no failure in it.
func (r *testRun) handlePackageFailure(e event, p *packageRun) {
	listed := 0
	for _, name := range p.failedTests {
		if _, ok := r.known[testID{e.Package, name}]; ok {
			listed++
		}
	}
	if len(p.failedTests) == 0 || !p.testsCompleted || p.failedOutsideTests {
		r.brokenPackages = append(r.brokenPackages, e.Package)
		if listed == len(p.failedTests) {
			r.failed++
		}
		return
	}
	r.knownFailures += listed
}

// summary prints the results of the listed tests and the counts. It returns an error if a
// test that is not listed failed, or if the list names a test that passed, or one that did
// not run although its complete package was tested.
func (r *testRun) summary() error {
	failed := r.failed > 0
	for _, t := range slices.SortedFunc(maps.Keys(r.known), func(a, b testID) int { return strings.Compare(a.String(), b.String()) }) {
		p := r.packages[t.pkg]
		switch {
		case p == nil:
		case slices.Contains(p.failedTests, t.name):
			fmt.Fprintf(r.output, "known red: %s: %s\n", t, r.known[t])
		case slices.Contains(r.passedKnown, t):
			fmt.Fprintf(r.output, "%s passes: remove it from the list in %s\n", t, knownFile)
			failed = true
		case !p.endedTests[t.name] && !r.partial && !slices.Contains(r.brokenPackages, t.pkg):
			fmt.Fprintf(r.output, "%s names no test that ran: remove it from the list in %s\n", t, knownFile)
			failed = true
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
	if failed {
		return errors.New("not all is well")
	}
	return nil
}
