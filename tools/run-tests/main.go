// Command run-tests runs go test with the arguments it is given and prints what
// go test would, then how many tests passed and failed. Tests listed in
// KNOWN-RED.txt may fail; one that passes again has to leave the list.
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
	r.all = slices.Contains(args, "-v")
	r.list = slices.ContainsFunc(args, func(a string) bool {
		return a == "-run" || a == "-skip" || strings.HasPrefix(a, "-run=") || strings.HasPrefix(a, "-skip=")
	})
	read := r.read(events)
	ended := c.Wait()
	sum := r.summary()
	switch {
	case read != nil:
		return errors.Join(read, sum)
	case sum == nil && ended != nil && r.failing == 0:
		return fmt.Errorf("go test ended with %w, and no test said why", ended)
	}
	return sum
}

// test is one test by its package's import path.
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

// packageRun is a package under test.
type packageRun struct {
	text         strings.Builder
	tests        map[string]*strings.Builder // that have not ended
	fails        []string
	ended        map[string]bool
	complete     bool // all its tests ended
	unattributed bool // something beside them failed
}

type tests struct {
	known    map[test]string
	output   io.Writer
	all      bool // print what passed too
	list     bool // not all tests of the packages are run
	packages map[string]*packageRun
	builds   map[string]*strings.Builder
	passed   int
	failed   int
	failing  int // of known ones
	complete []string
	green    []test // listed ones that passed
}

func newRun(known map[test]string, out io.Writer) *tests {
	return &tests{known: known, output: out, packages: map[string]*packageRun{}, builds: map[string]*strings.Builder{}}
}

func (r *tests) packageOf(n string) *packageRun {
	p := r.packages[n]
	if p == nil {
		p = &packageRun{tests: map[string]*strings.Builder{}, ended: map[string]bool{}}
		r.packages[n] = p
	}
	return p
}

func (r *tests) read(events io.Reader) error {
	b := bufio.NewReader(events)
	for {
		l, err := b.ReadBytes('\n')
		var e event
		switch {
		case len(l) == 0 && err == io.EOF:
			return nil
		case json.Unmarshal(l, &e) != nil:
			fmt.Fprintf(r.output, "%s", l) // go's own words
		default:
			r.event(e)
		}
		if err != nil && err != io.EOF {
			return err
		}
	}
}

func (r *tests) event(e event) {
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
		r.ofPackage(e, p)
		return
	}
	top, _, sub := strings.Cut(e.Test, "/")
	if p.tests[top] == nil {
		p.tests[top] = &strings.Builder{}
	}
	switch e.Action {
	case "output":
		if r.all {
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

func (r *tests) end(pkg string, p *packageRun, name, action string) {
	text := p.tests[name].String()
	delete(p.tests, name)
	p.ended[name] = true
	t := test{pkg, name}
	_, listed := r.known[t]
	switch action {
	case "pass":
		r.passed++
		if listed {
			r.green = append(r.green, t)
		}
	case "fail":
		p.fails = append(p.fails, name)
		fmt.Fprint(r.output, text)
		if !listed {
			r.failed++
		}
	}
}

func (r *tests) ofPackage(e event, p *packageRun) {
	switch e.Action {
	case "output":
		p.complete = p.complete || e.Output == "FAIL\n" // which a panic leaves out
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
		for _, n := range slices.Sorted(maps.Keys(p.tests)) { // those it ended in the middle of
			r.end(e.Package, p, n, "fail")
			p.complete = false
		}
		fmt.Fprint(r.output, p.text.String())
		r.packageFailed(e, p)
	}
}

// packageFailed counts known failures; where the package did not end in order,
// tests behind them never ran, so nothing in it is excused.
func (r *tests) packageFailed(e event, p *packageRun) {
	listed := 0
	for _, n := range p.fails {
		if _, ok := r.known[test{e.Package, n}]; ok {
			listed++
		}
	}
	if len(p.fails) == 0 || !p.complete || p.unattributed {
		r.complete = append(r.complete, e.Package)
		if listed == len(p.fails) {
			r.failed++
		}
		return
	}
	r.failing += listed
}

// summary prints the counts and says whether all is well.
func (r *tests) summary() error {
	bad := r.failed > 0
	for _, t := range slices.SortedFunc(maps.Keys(r.known), func(a, b test) int { return strings.Compare(a.String(), b.String()) }) {
		p := r.packages[t.pkg]
		switch {
		case p == nil:
		case slices.Contains(p.fails, t.name):
			fmt.Fprintf(r.output, "known red: %s: %s\n", t, r.known[t])
		case slices.Contains(r.green, t):
			fmt.Fprintf(r.output, "%s passes: remove it from the list in %s\n", t, knownFile)
			bad = true
		case !p.ended[t.name] && !r.list && !slices.Contains(r.complete, t.pkg):
			fmt.Fprintf(r.output, "%s names no test that ran: remove it from the list in %s\n", t, knownFile)
			bad = true
		}
	}
	for _, p := range r.complete {
		fmt.Fprintf(r.output, "%s did not end in order\n", p)
	}
	fmt.Fprintf(r.output, "%d passed, %d failed", r.passed, r.failed)
	if r.failing > 0 {
		fmt.Fprintf(r.output, ", %d known red", r.failing)
	}
	fmt.Fprintln(r.output)
	if bad {
		return errors.New("not all is well")
	}
	return nil
}
