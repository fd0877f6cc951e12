package checker

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"

	"stoneford/emulator/databasereplica"
	"stoneford/result"
)

// Kinds of reads, with the guarantee of each.
const (
	Current        = "current read" // includes every write acknowledged before the read was sent
	Lookup         = "lookup"       // is at most MaxLookupAgeUs old
	ReadYourWrites = "pinned"       // includes its session's writes and is at most MaxReadYourWritesAgeUs old
)

// Write is a write that a caller sent with a unique tag. Its commit changes the tag's row
// and the rows in Rows by one each.
type Write struct {
	Route   string
	Tag     string
	Rows    []string // as RELATION/KEY, without the tag's row
	Outcome result.Outcome
	AtUs    int64 // time of the reply
}

// ObservedRow is a row of a read.
type ObservedRow struct {
	Row          string // as RELATION/KEY
	Value        int64  // number of the row's changes that the read showed: the absolute value that was read, since each write changes it by one in the same direction
	Acknowledged int64  // number of the row's changes that were acknowledged before the read was sent
}

// Read is a completed read.
type Read struct {
	Route    string
	Kind     string
	Rows     []ObservedRow
	AtUs     int64  // time of the reply
	ServedBy string // database, node and possibly time of the read, for violation texts
}

// TickRow is the row of the ticks: it is incremented at a fixed interval, so that its value
// in a read shows the age of the data.
const TickRow = "ticks/t"

// Prefixes of rows by their relation.
const (
	sessionPrefix = "own/"
	tagPrefix     = "ledger/"
)

// SessionRow returns the row that only the given session writes.
func SessionRow(session string) string { return sessionPrefix + session }

// TagRow returns the row of a write's tag.
func TagRow(tag string) string { return tagPrefix + tag }

// ReadStatement returns the statement that reads the given rows.
func ReadStatement(rows []string) string {
	return "read " + strings.ReplaceAll(strings.Join(rows, " "), "/", " ")
}

// Checker collects the writes and reads of callers with their replies. It is safe for
// concurrent use.
type Checker struct {
	mu           sync.Mutex
	writes       []Write
	reads        []Read
	violations   []string
	acknowledged map[string]map[string]int64 // number of acknowledged changes, by route and row
}

// New returns an empty checker.
func New() *Checker { return &Checker{acknowledged: map[string]map[string]int64{}} }

// RecordWrite records a write and its outcome.
func (c *Checker) RecordWrite(w Write) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes = append(c.writes, w)
	if w.Outcome == result.Done {
		c.acknowledge(w.Route, append(w.Rows, TagRow(w.Tag))...)
	}
}

// RecordTick records an acknowledged tick.
func (c *Checker) RecordTick(route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledge(route, TickRow)
}

// acknowledge counts one acknowledged change of each row. The caller must have locked c.mu.
func (c *Checker) acknowledge(route string, rows ...string) {
	m := c.acknowledged[route]
	if m == nil {
		m = map[string]int64{}
		c.acknowledged[route] = m
	}
	for _, r := range rows {
		m[r]++
	}
}

// ExpectedRows returns the given rows with the number of their changes acknowledged so far.
// It must be called before the read is sent.
func (c *Checker) ExpectedRows(route string, rows ...string) []ObservedRow {
	c.mu.Lock()
	defer c.mu.Unlock()
	observed := make([]ObservedRow, len(rows))
	for i, r := range rows {
		observed[i] = ObservedRow{Row: r, Acknowledged: c.acknowledged[route][r]}
	}
	return observed
}

// RecordRead records a read: r.Rows are the rows as returned by ExpectedRows, and values
// are the rows of the reply, in the same order. A reply without a number for each row is
// recorded as a violation.
func (c *Checker) RecordRead(r Read, values [][]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Rows = slices.Clone(r.Rows)
	for i := range r.Rows {
		n, err := int64(0), error(nil)
		if i >= len(values) || len(values[i]) != 1 {
			err = fmt.Errorf("no value for %s", r.Rows[i].Row)
		} else {
			n, err = strconv.ParseInt(values[i][0], 10, 64)
		}
		if err != nil {
			c.violations = append(c.violations, fmt.Sprintf("%s: a %s %s returned %v: %v", r.Route, r.Kind, r.ServedBy, values, err))
			return
		}
		r.Rows[i].Value = max(n, -n)
	}
	c.reads = append(c.reads, r)
}

// RecordViolation records a violation that a caller detected itself.
func (c *Checker) RecordViolation(format string, a ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, a...))
}

// Limits on the age of the data of reads, in microseconds.
const (
	MaxLookupAgeUs         = 1_500_000
	MaxReadYourWritesAgeUs = 2_500_000
)

// Ages summarizes the age of the data of all reads of one kind, in microseconds.
type Ages struct {
	Reads    int   `json:"reads"`
	MedianUs int64 `json:"median_us"`
	P99Us    int64 `json:"p99_us"`
	MaxUs    int64 `json:"max_us"`
}

// Verdict is the result of a check.
type Verdict struct {
	Violations         []string        `json:"violations"`
	Ages               map[string]Ages `json:"ages"`
	Acknowledged       int             `json:"acknowledged_writes"`
	Uncertain          int             `json:"uncertain_writes"`
	UncertainCommitted int             `json:"uncertain_writes_kept"`
}

// Check compares the recorded writes and reads with the logs of the primaries at the end of
// a run, by route.
func (c *Checker) Check(logs map[string][]databasereplica.LogEntry) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := &check{checker: c, verdict: Verdict{Violations: slices.Clone(c.violations), Ages: map[string]Ages{}},
		sent: map[string]Write{}, commits: map[string]int64{}, ticks: map[string][]int64{}, changes: map[string]map[string]int64{}}
	for _, w := range c.writes {
		k.sent[w.Route+" "+w.Tag] = w
	}
	for route, log := range logs {
		k.checkLog(route, log)
	}
	for _, w := range c.writes {
		k.checkWrite(w)
	}
	k.checkReads()
	return k.verdict
}

// changedRows returns the rows that a commit changes, sorted, and the tag of its write if
// it has one.
func changedRows(e databasereplica.LogEntry) (rows []string, tag string) {
	for _, w := range e.Writes {
		r := w.Relation + "/" + w.Key
		if w.Put != nil || w.Add != 1 && w.Add != -1 {
			r += " by another amount"
		}
		rows = append(rows, r)
		if t, ok := strings.CutPrefix(r, tagPrefix); ok {
			tag = t
		}
	}
	slices.Sort(rows)
	return rows, tag
}

// Quantile returns the q-th quantile, q from 0 to 1, of sorted values, or 0 if there are no
// values.
func Quantile(sorted []int64, q float64) int64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(float64(len(sorted))*q))]
}
