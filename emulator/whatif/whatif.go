// Package whatif works out what-if questions by running the daemons' own cores
// in the seeded simulation, with and without what is asked about.
package whatif

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/samber/lo"
	"github.com/zeebo/errs"

	"stoneford/emulator/checker"
	"stoneford/emulator/simulation"
	"stoneford/internal/settings"
	"stoneford/language"
)

// Scenario is a deployment and its burden.
type Scenario struct {
	Plan simulation.Plan
	Rate float64 // queries a second
	// ChangeAtUs is when what is asked about comes, MeasureUs how long is looked at from
	// then on.
	ChangeAtUs int64
	MeasureUs  int64
}

// Examples are today's sizes.
var Examples = map[string]Scenario{
	"pharmacies": exampleScenario("pharmacies", 11, []string{"cluj", "iasi", "brasov"}, "inventory", 65),
	"lender":     exampleScenario("lender", 10, []string{"north", "middle", "south"}, "ledger", 80),
}

func exampleScenario(partner string, machines int, zones []string, group string, connections int32) Scenario {
	return Scenario{Rate: 450, ChangeAtUs: 5_000_000, MeasureUs: 10_000_000, Plan: simulation.Plan{Partner: partner, Machines: machines, Zones: zones,
		Groups: []string{group + "-1", group + "-2", group + "-3"}, Connections: connections, Sessions: 290, ServiceUs: 1_000, DatabaseServers: 8, LagUs: 5_000, CrossZoneDelayUs: 1_000}}
}

// Change is one thing asked about.
type Change struct {
	Text   string
	apply  func(*Scenario) error                    // before the start
	inject func(*simulation.Fleet, *Scenario) error // at its time
}

// Help lists what can be asked.
const Help = `NAME out               a database, by its name or in words: the Cluj replica of inventory-1
zone ZONE gone         every process and database in a zone
half the connections   or: connections N
replication lags 2 s   or: 300 ms
burden x4              so many times the queries
machines N             so many pool nodes
slow NAME 50 ms        each run of a database takes so much longer
choice random          reads go to any copy, or: choice least-burden, in place of the least sum
positions only         nodes know even their own commits as positions only`

var (
	lagPattern         = regexp.MustCompile(`^replication lags (\d+) ?(s|ms)$`)
	loadPattern        = regexp.MustCompile(`^burden x(\d+(?:\.\d+)?)$`)
	connectionsPattern = regexp.MustCompile(`^connections (\d+)$`)
	machinesPattern    = regexp.MustCompile(`^machines (\d+)$`)
	zonePattern        = regexp.MustCompile(`^(?:zone )?(\S+) gone$`)
	slowPattern        = regexp.MustCompile(`^slow (.+) (\d+) ?(s|ms)$`)
	choicePattern      = regexp.MustCompile(`^choice (random|least-burden)$`)
	databaseOutPattern = regexp.MustCompile(`^(.+?)(?: is)? out$`)
	errWhatIf          = errs.Class("what if")
)

func parseMicroseconds(n, unit string) int64 {
	v, _ := strconv.ParseInt(n, 10, 64)
	return v * lo.Ternary(unit == "s", int64(1_000_000), 1_000)
}

// Parse reads one thing that is asked about.
func Parse(text string) (Change, error) {
	t := strings.Join(strings.Fields(strings.ToLower(text)), " ")
	c := Change{Text: t}
	connections := func(f func(int32) int32) {
		c.apply = func(k *Scenario) error {
			if k.Plan.Configuration == nil {
				k.Plan.Connections = f(k.Plan.Connections)
				return nil
			}
			cf, ps := settings.ReadConfiguration(k.Plan.Configuration)
			if len(ps) > 0 {
				return errWhatIf.New("%s", ps[0])
			}
			for _, d := range cf.Databases {
				d.Connections = f(d.Connections)
			}
			b, err := settings.Write(cf)
			k.Plan.Configuration = b
			return err
		}
	}
	if m := lagPattern.FindStringSubmatch(t); m != nil {
		c.inject = func(f *simulation.Fleet, _ *Scenario) error { f.SetLag(parseMicroseconds(m[1], m[2])); return nil }
	} else if m := loadPattern.FindStringSubmatch(t); m != nil {
		x, err := strconv.ParseFloat(m[1], 64)
		if err != nil || x <= 0 {
			return c, errWhatIf.New("%q: not a burden", text)
		}
		c.apply = func(k *Scenario) error { k.Rate *= x; return nil }
	} else if t == "half the connections" {
		connections(func(n int32) int32 { return max(1, n/2) })
	} else if m := connectionsPattern.FindStringSubmatch(t); m != nil {
		n, err := strconv.ParseInt(m[1], 10, 32)
		if err != nil || n < 1 {
			return c, errWhatIf.New("%q: not a number of connections", text)
		}
		connections(func(int32) int32 { return int32(n) })
	} else if m := machinesPattern.FindStringSubmatch(t); m != nil {
		n, err := strconv.Atoi(m[1])
		if err != nil || n < 1 {
			return c, errWhatIf.New("%q: not a number of machines", text)
		}
		c.apply = func(k *Scenario) error { k.Plan.Machines = n; return nil }
	} else if m := slowPattern.FindStringSubmatch(t); m != nil {
		c.inject = func(f *simulation.Fleet, _ *Scenario) error {
			n, err := database(f, m[1])
			if err == nil {
				f.SetSlow(n, parseMicroseconds(m[2], m[3]))
			}
			return err
		}
	} else if m := choicePattern.FindStringSubmatch(t); m != nil {
		c.apply = func(k *Scenario) error { k.Plan.Choice = m[1]; return nil }
	} else if t == "positions only" {
		c.apply = func(k *Scenario) error { k.Plan.Position = true; return nil }
	} else if m := zonePattern.FindStringSubmatch(t); m != nil {
		c.inject = func(f *simulation.Fleet, k *Scenario) error {
			if !slices.Contains(k.Plan.Zones, m[1]) {
				return errWhatIf.New("no zone %q; there are: %s", m[1], strings.Join(k.Plan.Zones, ", "))
			}
			f.CrashZone(m[1])
			return nil
		}
	} else if m := databaseOutPattern.FindStringSubmatch(t); m != nil {
		c.inject = func(f *simulation.Fleet, _ *Scenario) error {
			n, err := database(f, m[1])
			if err == nil {
				f.KillDatabase(n)
			}
			return err
		}
	} else {
		return c, errWhatIf.New("%q is not understood; these are:\n%s", text, Help)
	}
	return c, nil
}

// database finds the one database that words name.
func database(f *simulation.Fleet, words string) (string, error) {
	var ws []language.Token
	for i, w := range strings.Fields(words) {
		ws = append(ws, language.Token{Text: w, Column: i + 1})
	}
	p, err := language.Resolve(ws, f.DatabasePlacements(), false)
	if err != nil {
		return "", errWhatIf.New("%s: %w", words, err)
	}
	return p.Name, nil
}

// Figures are what callers would see.
type Figures struct {
	Queries   int                     `json:"queries"`
	Served    float64                 `json:"served_share"`
	FirstTry  float64                 `json:"served_at_first_try_share"`
	P50Us     int64                   `json:"p50_us"`
	P99Us     int64                   `json:"p99_us"`
	Kinds     map[string]Kind         `json:"kinds"`
	Databases map[string]float64      `json:"reads_by_copy_share"`
	Ages      map[string]checker.Ages `json:"ages"`
	Polls     float64                 `json:"status_polls_per_query"`
	Uncertain int                     `json:"uncertain_writes"`
	Broken    int                     `json:"promises_broken"`
}

// Kind is one kind of query.
type Kind struct {
	Served float64 `json:"served_share"`
	P50Us  int64   `json:"p50_us"`
	P99Us  int64   `json:"p99_us"`
}

// runOnce runs one seed.
func runOnce(k Scenario, cs []Change, seed uint64) (Figures, error) {
	for _, c := range cs {
		if c.apply != nil {
			if err := c.apply(&k); err != nil {
				return Figures{}, err
			}
		}
	}
	k.Plan.Seed = seed
	// A transaction is three queries and a tick's session is no person.
	k.Plan.ThinkUs = int64(float64(k.Plan.Sessions) / k.Rate * 1e6)
	f := simulation.NewFleet(k.Plan)
	f.Quiet = true
	f.PutConfiguration(nil)
	f.Run(f.Now + 3_000_000)
	f.Callers()
	f.Run(f.Now + k.ChangeAtUs)
	for _, c := range cs {
		if c.inject != nil {
			if err := c.inject(f, &k); err != nil {
				return Figures{}, err
			}
		}
	}
	at := f.Now
	before := f.Counts()
	f.Run(at + k.MeasureUs)
	end, after := f.Now, f.Counts()
	v := f.Finish()
	ss := lo.Filter(f.Oracle.Samples, func(s simulation.Sample, _ int) bool { return s.AtUs >= at && s.AtUs < end })
	ts := simulation.Took(ss)
	g := Figures{Queries: len(ss), Served: simulation.Served(ss), P50Us: checker.Quantile(ts, 0.5), P99Us: checker.Quantile(ts, 0.99), Kinds: map[string]Kind{},
		Databases: map[string]float64{}, Ages: v.Ages, Uncertain: v.InDoubt, Broken: len(v.Violations)}
	g.Polls = float64(after.Polls-before.Polls) / float64(max(1, after.Queries-before.Queries))
	g.FirstTry = simulation.Served(lo.Map(ss, func(s simulation.Sample, _ int) simulation.Sample {
		if s.Attempts > 1 {
			s.Outcome = ""
		}
		return s
	}))
	for n, l := range lo.GroupBy(ss, func(s simulation.Sample) string { return s.Kind }) {
		t := simulation.Took(l)
		g.Kinds[n] = Kind{Served: simulation.Served(l), P50Us: checker.Quantile(t, 0.5), P99Us: checker.Quantile(t, 0.99)}
	}
	reads := lo.Filter(ss, func(s simulation.Sample, _ int) bool {
		return s.Database != "" && s.Kind != "reservation" && s.Kind != "transaction"
	})
	for c, n := range lo.CountValuesBy(reads, func(s simulation.Sample) string { return s.Database }) {
		g.Databases[c] = float64(n) / float64(len(reads))
	}
	return g, nil
}

// Spread is a figure over the seeds.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

func spread(vs []float64) Spread {
	slices.Sort(vs)
	return Spread{Median: vs[len(vs)/2], Min: vs[0], Max: vs[len(vs)-1]}
}

func (s Spread) String() string { return fmt.Sprintf("%.4g (%.4g to %.4g)", s.Median, s.Min, s.Max) }

// Report holds the figures of all seeds.
type Report struct {
	Changes []string  `json:"asked"`
	Seeds   []uint64  `json:"seeds"`
	Runs    []Figures `json:"runs"`
}

// Answer runs a case over seeds.
func Answer(k Scenario, cs []Change, seeds []uint64) (Report, error) {
	a := Report{Seeds: seeds, Runs: make([]Figures, len(seeds))}
	for _, c := range cs {
		a.Changes = append(a.Changes, c.Text)
	}
	es := make([]error, len(seeds))
	var wg sync.WaitGroup
	gate := make(chan struct{}, 8)
	for i, s := range seeds {
		wg.Go(func() {
			gate <- struct{}{}
			defer func() { <-gate }()
			a.Runs[i], es[i] = runOnce(k, cs, s)
		})
	}
	wg.Wait()
	return a, errs.Combine(es...)
}

// Figures sums one figure over the seeds.
func (a Report) Figures(f func(Figures) float64) Spread {
	return spread(lo.Map(a.Runs, func(g Figures, _ int) float64 { return f(g) }))
}
