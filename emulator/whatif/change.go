package whatif

import (
	"errors"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/samber/lo"
	"github.com/zeebo/errs"

	"stoneford/emulator/simulation"
	"stoneford/internal/settings"
	"stoneford/language"
)

// Change is a change of a deployment. It either modifies the scenario before the simulation
// starts, or acts on the running fleet at the scenario's ChangeAtUs.
type Change struct {
	Text   string                                   // normalized text that was parsed
	apply  func(*Scenario) error                    // modifies the scenario before the start; may be nil
	inject func(*simulation.Fleet, *Scenario) error // acts on the running fleet; may be nil
}

// Help describes the syntax of all changes.
const Help = `NAME out               a database, by its name or in words: the Cluj replica of inventory-1
zone ZONE gone         every process and database in a zone
half the connections   or: connections N
replication lags 2 s   or: 300 ms
burden x4              so many times the queries
machines N             so many pool nodes
slow NAME 50 ms        each run of a database takes so much longer
choice random          reads go to any copy, or: choice least-burden, in place of the least sum
positions only         nodes know even their own commits as positions only`

var errWhatIf = errs.Class("what if")

// errOtherChange is returned by a parser if the text is a change of another kind.
var errOtherChange = errors.New("the text is a change of another kind")

// parsers has one parser for each kind of change; a parser returns errOtherChange for texts
// of other kinds. They are tried in order: the patterns of the last ones, with names, match
// almost any text.
var parsers = []func(text string) (Change, error){
	parseLag, parseLoad, parseHalfConnections, parseConnections, parseMachines, parseSlow,
	parseChoice, parsePositionsOnly, parseZone, parseDatabaseOut,
}

// Parse parses a change; [Help] describes the syntax.
func Parse(text string) (Change, error) {
	normalized := strings.Join(strings.Fields(strings.ToLower(text)), " ")
	for _, parse := range parsers {
		c, err := parse(normalized)
		if errors.Is(err, errOtherChange) {
			continue
		}
		c.Text = normalized
		if err != nil {
			err = errWhatIf.New("%q: %w", text, err)
		}
		return c, err
	}
	return Change{Text: normalized}, errWhatIf.New("%q is not a known change; known changes are:\n%s", text, Help)
}

var (
	lagPattern         = regexp.MustCompile(`^replication lags (\d+) ?(s|ms)$`)
	loadPattern        = regexp.MustCompile(`^burden x(\d+(?:\.\d+)?)$`)
	connectionsPattern = regexp.MustCompile(`^connections (\d+)$`)
	machinesPattern    = regexp.MustCompile(`^machines (\d+)$`)
	zonePattern        = regexp.MustCompile(`^(?:zone )?(\S+) gone$`)
	slowPattern        = regexp.MustCompile(`^slow (.+) (\d+) ?(s|ms)$`)
	choicePattern      = regexp.MustCompile(`^choice (random|least-burden)$`)
	databaseOutPattern = regexp.MustCompile(`^(.+?)(?: is)? out$`)
)

// parseMicroseconds converts a number of seconds ("s") or milliseconds (any other unit) to
// microseconds. A number that does not fit an int64 is taken as the greatest int64; the
// conversion of very large numbers overflows.
func parseMicroseconds(n, unit string) int64 {
	v, _ := strconv.ParseInt(n, 10, 64)
	return v * lo.Ternary(unit == "s", int64(1_000_000), 1_000)
}

func parseLag(text string) (Change, error) {
	m := lagPattern.FindStringSubmatch(text)
	if m == nil {
		return Change{}, errOtherChange
	}
	return Change{inject: func(f *simulation.Fleet, _ *Scenario) error {
		f.SetLag(parseMicroseconds(m[1], m[2]))
		return nil
	}}, nil
}

func parseLoad(text string) (Change, error) {
	m := loadPattern.FindStringSubmatch(text)
	if m == nil {
		return Change{}, errOtherChange
	}
	factor, err := strconv.ParseFloat(m[1], 64)
	if err != nil || factor <= 0 {
		return Change{}, errors.New("the load factor must be a number greater than 0")
	}
	return Change{apply: func(scenario *Scenario) error { scenario.Rate *= factor; return nil }}, nil
}

func parseHalfConnections(text string) (Change, error) {
	if text != "half the connections" {
		return Change{}, errOtherChange
	}
	return changeConnections(func(n int32) int32 { return max(1, n/2) }), nil
}

func parseConnections(text string) (Change, error) {
	m := connectionsPattern.FindStringSubmatch(text)
	if m == nil {
		return Change{}, errOtherChange
	}
	n, err := strconv.ParseInt(m[1], 10, 32)
	if err != nil || n < 1 {
		return Change{}, errors.New("the number of connections must be a 32-bit integer of at least 1")
	}
	return changeConnections(func(int32) int32 { return int32(n) }), nil
}

// changeConnections returns a change that replaces the connection limit of every database
// by limit(old limit).
func changeConnections(limit func(int32) int32) Change {
	return Change{apply: func(scenario *Scenario) error {
		if scenario.Plan.Configuration == nil {
			scenario.Plan.Connections = limit(scenario.Plan.Connections)
			return nil
		}
		configuration, problems := settings.ReadConfiguration(scenario.Plan.Configuration)
		if len(problems) > 0 {
			return errWhatIf.New("the scenario's configuration is invalid: %s", problems[0])
		}
		for _, d := range configuration.Databases {
			d.Connections = limit(d.Connections)
		}
		text, err := settings.Write(configuration)
		scenario.Plan.Configuration = text
		return err
	}}
}

func parseMachines(text string) (Change, error) {
	m := machinesPattern.FindStringSubmatch(text)
	if m == nil {
		return Change{}, errOtherChange
	}
	n, err := strconv.Atoi(m[1])
	if err != nil || n < 1 {
		return Change{}, errors.New("the number of machines must be an integer of at least 1")
	}
	return Change{apply: func(scenario *Scenario) error { scenario.Plan.Machines = n; return nil }}, nil
}

func parseSlow(text string) (Change, error) {
	m := slowPattern.FindStringSubmatch(text)
	if m == nil {
		return Change{}, errOtherChange
	}
	return Change{inject: func(f *simulation.Fleet, _ *Scenario) error {
		name, err := resolveDatabase(f, m[1])
		if err == nil {
			f.SetSlow(name, parseMicroseconds(m[2], m[3]))
		}
		return err
	}}, nil
}

func parseChoice(text string) (Change, error) {
	m := choicePattern.FindStringSubmatch(text)
	if m == nil {
		return Change{}, errOtherChange
	}
	return Change{apply: func(scenario *Scenario) error { scenario.Plan.ReplicaSelection = m[1]; return nil }}, nil
}

func parsePositionsOnly(text string) (Change, error) {
	if text != "positions only" {
		return Change{}, errOtherChange
	}
	return Change{apply: func(scenario *Scenario) error { scenario.Plan.IgnoreOwnCommits = true; return nil }}, nil
}

func parseZone(text string) (Change, error) {
	m := zonePattern.FindStringSubmatch(text)
	if m == nil {
		return Change{}, errOtherChange
	}
	return Change{inject: func(f *simulation.Fleet, scenario *Scenario) error {
		if !slices.Contains(scenario.Plan.Zones, m[1]) {
			return errWhatIf.New("zone %q does not exist; the zones are: %s", m[1], strings.Join(scenario.Plan.Zones, ", "))
		}
		f.CrashZone(m[1])
		return nil
	}}, nil
}

func parseDatabaseOut(text string) (Change, error) {
	m := databaseOutPattern.FindStringSubmatch(text)
	if m == nil {
		return Change{}, errOtherChange
	}
	return Change{inject: func(f *simulation.Fleet, _ *Scenario) error {
		name, err := resolveDatabase(f, m[1])
		if err == nil {
			f.KillDatabase(name)
		}
		return err
	}}, nil
}

// resolveDatabase returns the name of the database that the words refer to. It returns an
// error if there is no such database or the reference is ambiguous.
func resolveDatabase(f *simulation.Fleet, words string) (string, error) {
	var tokens []language.Token
	for i, w := range strings.Fields(words) {
		tokens = append(tokens, language.Token{Text: w, Column: i + 1})
	}
	p, err := language.Resolve(tokens, f.DatabasePlacements(), false)
	if err != nil {
		return "", errWhatIf.New("database %q: %w", words, err)
	}
	return p.Name, nil
}
