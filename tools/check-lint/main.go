// Command check-lint runs the linters that go.mod pins (staticcheck and revive, with the
// rules in staticcheck.conf and revive.toml) on all packages. It exits with 1 if the
// numbers of their findings differ from those in left.txt, the list of findings that are
// still allowed.
//
//	go run ./tools/check-lint [-shrink | -begin]
//
// With -shrink it first lowers left.txt to the numbers found; with -begin it creates
// left.txt, if no commit has it yet.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"

	"stoneford/tools/shrinking"
)

const (
	listFile = "tools/check-lint/left.txt"
	heading  = "What the linters still find in files from before them (go run ./tools/check-lint -shrink)."
)

// finding is a finding of a linter.
type finding struct {
	rule, file string
	line       int
	text       string
}

func main() {
	mode, err := shrinking.ParseFlags(os.Args[1:])
	if err == nil {
		err = run(mode, os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "check-lint:", err)
		os.Exit(1)
	}
}

// run runs the linters, compares their findings with the list and prints the result.
func run(mode shrinking.Mode, out io.Writer) error {
	findings, err := lint("./...")
	if err != nil {
		return err
	}
	found := map[shrinking.Key]int{}
	for _, f := range findings {
		found[shrinking.Key{Rule: f.rule, File: f.file}]++
	}
	if err := shrinking.Check(listFile, heading, found, mode); err != nil {
		list, listErr := shrinking.Read(listFile)
		for _, f := range findings {
			key := shrinking.Key{Rule: f.rule, File: f.file}
			if listErr == nil && found[key] > list[key].Count {
				fmt.Fprintf(out, "%s:%d: %s: %s\n", f.file, f.line, f.rule, f.text)
			}
		}
		return err
	}
	list, err := shrinking.Read(listFile)
	if err != nil {
		return err
	}
	left, files := shrinking.Total(list)
	fmt.Fprintf(out, "check-lint: clean, but for %d findings left in %d files\n", left, files)
	return nil
}

// lint runs both linters on packages of the module in the working folder and returns their
// findings.
func lint(packages string) ([]finding, error) {
	staticcheckFindings, err := runLinter("staticcheck", readStaticcheck, "-f", "json", packages)
	if err != nil {
		return nil, err
	}
	reviveFindings, err := runLinter("revive", readRevive, "-config", "revive.toml", "-formatter", "json", packages)
	return append(staticcheckFindings, reviveFindings...), err
}

// runLinter runs a linter and returns its findings. A linter exits with an error when it
// has findings; runLinter returns that error only if there are none.
func runLinter(name string, read func([]byte) ([]finding, error), args ...string) ([]finding, error) {
	var stdout, stderr bytes.Buffer
	c := exec.Command("go", append([]string{"tool", name}, args...)...)
	c.Stdout, c.Stderr = &stdout, &stderr
	err := c.Run()
	findings, readErr := read(stdout.Bytes())
	if readErr != nil || err != nil && len(findings) == 0 {
		return nil, fmt.Errorf("%s: %w: %s", name, errors.Join(err, readErr), stderr.String())
	}
	return findings, nil
}

// readStaticcheck parses the output of staticcheck, one JSON object per line.
func readStaticcheck(text []byte) ([]finding, error) {
	var out []finding
	for d := json.NewDecoder(bytes.NewReader(text)); ; {
		var line struct {
			Code, Message string
			Location      struct {
				File string
				Line int
			}
		}
		if err := d.Decode(&line); errors.Is(err, io.EOF) {
			return out, nil
		} else if err != nil {
			return nil, err
		}
		file, err := relativePath(line.Location.File)
		if err != nil {
			return nil, err
		}
		out = append(out, finding{line.Code, file, line.Location.Line, line.Message})
	}
}

// readRevive parses the output of revive, one JSON array.
func readRevive(text []byte) ([]finding, error) {
	var lines []struct {
		RuleName, Failure string
		Position          struct {
			Start struct {
				Filename string
				Line     int
			}
		}
	}
	if err := json.Unmarshal(text, &lines); err != nil {
		return nil, err
	}
	var out []finding
	for _, line := range lines {
		file, err := relativePath(line.Position.Start.Filename)
		if err != nil {
			return nil, err
		}
		out = append(out, finding{line.RuleName, file, line.Position.Start.Line, line.Failure})
	}
	return out, nil
}

// relativePath returns the path of a file relative to the working folder, which is the
// root of the module.
func relativePath(file string) (string, error) {
	if filepath.IsAbs(file) {
		root, err := os.Getwd()
		if err != nil {
			return "", err
		}
		if file, err = filepath.Rel(root, file); err != nil {
			return "", err
		}
	}
	return filepath.ToSlash(filepath.Clean(file)), nil
}
