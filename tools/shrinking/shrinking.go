// Package shrinking implements baselines for checks: lists of the findings that a check
// tolerates in files older than the check. A list can only shrink.
//
// A list has one line for each rule and file, with the number of findings. The number must
// equal the number found, so that a file without findings is removed from the list. No
// number may be higher than in any earlier commit of the list, and a file that an earlier
// commit lacks may not be added. The exception is a file that was split or moved out of a
// listed file: its line names that file, and all lines with the same origin are counted
// together.
package shrinking

import (
	"bufio"
	"cmp"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
)

// Key identifies a line of a list.
type Key struct{ Rule, File string }

// Entry holds the tolerated findings of a key.
type Entry struct {
	Count int
	From  string // file that contained the findings when the list was created, "" if it is Key.File
}

// List is the content of a list file at one commit or in the working folder.
type List map[Key]Entry

// Parse parses a list with "RULE FILE COUNT" or "RULE FILE COUNT from FILE" on each line.
// It skips empty lines and lines that begin with #.
func Parse(r io.Reader) (List, error) {
	list := List{}
	scanner := bufio.NewScanner(r)
	for n := 1; scanner.Scan(); n++ {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, entry, err := parseLine(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		if _, duplicate := list[key]; duplicate {
			return nil, fmt.Errorf("line %d: second entry for file %s and rule %s", n, key.File, key.Rule)
		}
		list[key] = entry
	}
	return list, scanner.Err()
}

// parseLine parses a line of a list.
func parseLine(line string) (Key, Entry, error) {
	var key Key
	var entry Entry
	fields := strings.Fields(line)
	if len(fields) == 5 && fields[3] == "from" {
		entry.From = fields[4]
	} else if len(fields) != 3 {
		return key, entry, fmt.Errorf("line %q does not have the form RULE FILE COUNT [from FILE]", line)
	}
	key = Key{fields[0], fields[1]}
	if _, err := fmt.Sscanf(fields[2], "%d", &entry.Count); err != nil || entry.Count < 1 {
		return key, entry, fmt.Errorf("count %q is not a number above 0", fields[2])
	}
	return key, entry, nil
}

// Read reads a list from a file.
func Read(name string) (List, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	list, err := Parse(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return list, nil
}

// Write writes a list to a file, sorted by rule and file, with heading as its first line.
func Write(name, heading string, list List) error {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n# RULE FILE COUNT [from FILE]; the numbers only fall.\n", heading)
	for _, key := range sortedKeys(list) {
		fmt.Fprintf(&b, "%s %s %d", key.Rule, key.File, list[key].Count)
		if from := list[key].From; from != "" {
			fmt.Fprintf(&b, " from %s", from)
		}
		b.WriteByte('\n')
	}
	return os.WriteFile(name, []byte(b.String()), 0o644)
}

// sortedKeys returns the keys of a map, sorted by rule and file.
func sortedKeys[V any](m map[Key]V) []Key {
	return slices.SortedFunc(maps.Keys(m), func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.File, b.File))
	})
}

// Differences returns a message for each key whose number of findings differs from the
// listed number.
func Differences(found map[Key]int, list List) []string {
	var out []string
	for _, key := range sortedKeys(found) {
		if listed := list[key].Count; found[key] > listed {
			out = append(out, fmt.Sprintf("%s: %s: %d found, %d allowed", key.File, key.Rule, found[key], listed))
		}
	}
	for _, key := range sortedKeys(list) {
		if listed := list[key].Count; found[key] < listed {
			out = append(out, fmt.Sprintf("%s: %s: %d found, %d listed: lower the list (-shrink)", key.File, key.Rule, found[key], listed))
		}
	}
	return out
}

// Lowered returns the list with each number lowered to the number found, without the keys
// that have no findings left. It raises no number and adds no key.
func Lowered(found map[Key]int, list List) List {
	out := List{}
	for key, entry := range list {
		entry.Count = min(entry.Count, found[key])
		if entry.Count > 0 {
			out[key] = entry
		}
	}
	return out
}

// countsByOrigin returns the sums of the counts of a list by rule and original file.
func countsByOrigin(list List) map[Key]int {
	out := map[Key]int{}
	for key, entry := range list {
		out[Key{key.Rule, cmp.Or(entry.From, key.File)}] += entry.Count
	}
	return out
}

// Increases returns a message for each rule and original file whose count is higher in
// the current list than in an earlier one.
func Increases(current, earlier List) []string {
	var out []string
	before, after := countsByOrigin(earlier), countsByOrigin(current)
	for _, key := range sortedKeys(after) {
		if after[key] > before[key] {
			out = append(out, fmt.Sprintf("%s: %s: the list allows %d, an earlier commit allowed %d", key.File, key.Rule, after[key], before[key]))
		}
	}
	return out
}

// History returns the content of a list file in each commit of the branch that changed it,
// newest first.
func History(name string) ([]List, error) {
	log, err := exec.Command("git", "log", "--first-parent", "--diff-filter=AM", "--format=%H", "--", name).Output()
	if err != nil {
		return nil, fmt.Errorf("read the history of the list: git log: %w", err)
	}
	var out []List
	for _, commit := range strings.Fields(string(log)) {
		text, err := exec.Command("git", "show", commit+":./"+filepath.ToSlash(name)).Output()
		if err != nil {
			return nil, fmt.Errorf("read the list of commit %s: %w", commit, err)
		}
		list, err := Parse(strings.NewReader(string(text)))
		if err != nil {
			return nil, fmt.Errorf("read the list of commit %s: %w", commit, err)
		}
		out = append(out, list)
	}
	return out, nil
}

// Mode selects whether Check updates the list file before it compares.
type Mode int

// Values of Mode.
const (
	Compare Mode = iota // leave the list as it is
	Shrink              // lower the list to the numbers found
	Begin               // create the list with the numbers found; an error if a commit already has the list
)

// Check compares the numbers found with the list in a file, and the list with its content
// in all earlier commits. It returns an error that lists all differences and increases.
func Check(name, heading string, found map[Key]int, mode Mode) error {
	history, err := History(name)
	if err != nil {
		return err
	}
	list := List{}
	switch {
	case mode == Begin && len(history) > 0:
		return fmt.Errorf("%s was already committed: it can only shrink, not be created again", name)
	case mode == Begin:
		for key, n := range found {
			list[key] = Entry{Count: n}
		}
	default:
		if list, err = Read(name); err != nil {
			return err
		}
	}
	if mode == Shrink {
		list = Lowered(found, list)
	}
	if mode != Compare {
		if err := Write(name, heading, list); err != nil {
			return err
		}
	}
	problems := Differences(found, list)
	for _, e := range history {
		problems = append(problems, Increases(list, e)...)
	}
	if len(problems) > 0 {
		return errors.New(strings.Join(slices.Compact(problems), "\n"))
	}
	return nil
}

// ParseFlags parses the command-line arguments of a check: -shrink, -begin or none.
func ParseFlags(args []string) (Mode, error) {
	flags := flag.NewFlagSet("check", flag.ContinueOnError)
	shrink := flags.Bool("shrink", false, "lower the list to the numbers found")
	begin := flags.Bool("begin", false, "create the list, if no commit has it yet")
	if err := flags.Parse(args); err != nil {
		return Compare, err
	}
	switch {
	case *shrink && *begin || flags.NArg() > 0:
		return Compare, errors.New("at most one of -shrink and -begin is allowed, and no other arguments")
	case *shrink:
		return Shrink, nil
	case *begin:
		return Begin, nil
	}
	return Compare, nil
}

// Total returns the number of findings that a list allows and the number of files with
// such findings.
func Total(list List) (findings, files int) {
	seen := map[string]bool{}
	for key, entry := range list {
		findings += entry.Count
		seen[key.File] = true
	}
	return findings, len(seen)
}
