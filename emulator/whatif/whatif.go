package whatif

import (
	"fmt"
	"slices"
	"sync"

	"github.com/samber/lo"
	"github.com/zeebo/errs"

	"stoneford/emulator/checker"
	"stoneford/emulator/simulation"
)

// Scenario is a simulated deployment with its load.
type Scenario struct {
	Plan simulation.Plan
	Rate float64 // queries per second
	// ChangeAtUs is the time from the start of the callers until the changes are made;
	// queries are measured for MeasureUs from then on. Both are in microseconds.
	ChangeAtUs int64
	MeasureUs  int64
}

// Examples has a scenario of typical size for each partner, by partner.
var Examples = map[string]Scenario{
	"pharmacies": exampleScenario("pharmacies", 11, []string{"cluj", "iasi", "brasov"}, "inventory", 65),
	"lender":     exampleScenario("lender", 10, []string{"north", "middle", "south"}, "ledger", 80),
}

func exampleScenario(partner string, machines int, zones []string, group string, connections int32) Scenario {
	return Scenario{Rate: 450, ChangeAtUs: 5_000_000, MeasureUs: 10_000_000, Plan: simulation.Plan{Partner: partner, Machines: machines, Zones: zones,
		Groups: []string{group + "-1", group + "-2", group + "-3"}, Connections: connections, Sessions: 290, ServiceUs: 1_000, DatabaseServers: 8, LagUs: 5_000, CrossZoneDelayUs: 1_000}}
}

// Figures are the results of one run, as seen by callers. Times are in microseconds.
type Figures struct {
	Queries         int                     `json:"queries"`
	Served          float64                 `json:"served_share"`              // fraction of the queries with the outcome Done
	FirstTry        float64                 `json:"served_at_first_try_share"` // fraction of the queries with the outcome Done at the first attempt
	P50Us           int64                   `json:"p50_us"`
	P99Us           int64                   `json:"p99_us"`
	Kinds           map[string]KindFigures  `json:"kinds"`
	Databases       map[string]float64      `json:"reads_by_copy_share"` // share of the reads that each database ran
	Ages            map[string]checker.Ages `json:"ages"`
	PollsPerQuery   float64                 `json:"status_polls_per_query"`
	UncertainWrites int                     `json:"uncertain_writes"`
	Violations      int                     `json:"promises_broken"`
}

// KindFigures are the results for one kind of query.
type KindFigures struct {
	Served float64 `json:"served_share"`
	P50Us  int64   `json:"p50_us"`
	P99Us  int64   `json:"p99_us"`
}

// warmUpUs is the time that a fleet runs before its callers start.
const warmUpUs = 3_000_000

// runOnce runs the scenario with one seed.
func runOnce(scenario Scenario, changes []Change, seed uint64) (Figures, error) {
	for _, c := range changes {
		if c.apply != nil {
			if err := c.apply(&scenario); err != nil {
				return Figures{}, err
			}
		}
	}
	scenario.Plan.Seed = seed
	scenario.Plan.ThinkUs = int64(float64(scenario.Plan.Sessions) / scenario.Rate * 1e6)
	f := simulation.NewFleet(scenario.Plan)
	f.Quiet = true
	f.PutConfiguration(nil)
	f.Run(f.Now + warmUpUs)
	f.StartCallers()
	f.Run(f.Now + scenario.ChangeAtUs)
	for _, c := range changes {
		if c.inject != nil {
			if err := c.inject(f, &scenario); err != nil {
				return Figures{}, err
			}
		}
	}
	start, before := f.Now, f.Counts()
	f.Run(start + scenario.MeasureUs)
	end, after := f.Now, f.Counts()
	verdict := f.Finish()
	samples := lo.Filter(f.Oracle.Samples, func(s simulation.Sample, _ int) bool { return s.AtUs >= start && s.AtUs < end })
	figures := summarize(samples)
	figures.Ages, figures.UncertainWrites, figures.Violations = verdict.Ages, verdict.Uncertain, len(verdict.Violations)
	figures.PollsPerQuery = float64(after.Polls-before.Polls) / float64(max(1, after.Queries-before.Queries))
	return figures, nil
}

// summarize computes the figures that follow from the samples alone.
func summarize(samples []simulation.Sample) Figures {
	durations := simulation.ServedDurations(samples)
	f := Figures{Queries: len(samples), Served: simulation.ServedFraction(samples), P50Us: checker.Quantile(durations, 0.5), P99Us: checker.Quantile(durations, 0.99),
		Kinds: map[string]KindFigures{}, Databases: map[string]float64{}}
	f.FirstTry = simulation.ServedFraction(lo.Map(samples, func(s simulation.Sample, _ int) simulation.Sample {
		if s.Attempts > 1 {
			s.Outcome = ""
		}
		return s
	}))
	for kind, samples := range lo.GroupBy(samples, func(s simulation.Sample) string { return s.Kind }) {
		durations := simulation.ServedDurations(samples)
		f.Kinds[kind] = KindFigures{Served: simulation.ServedFraction(samples), P50Us: checker.Quantile(durations, 0.5), P99Us: checker.Quantile(durations, 0.99)}
	}
	reads := lo.Filter(samples, func(s simulation.Sample, _ int) bool {
		return s.Database != "" && s.Kind != "reservation" && s.Kind != "transaction"
	})
	for database, n := range lo.CountValuesBy(reads, func(s simulation.Sample) string { return s.Database }) {
		f.Databases[database] = float64(n) / float64(len(reads))
	}
	return f
}

// Spread is the median, minimum and maximum of a figure over all seeds.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

// newSpread returns the spread of the values; it sorts them in place.
func newSpread(values []float64) Spread {
	slices.Sort(values)
	return Spread{Median: values[len(values)/2], Min: values[0], Max: values[len(values)-1]}
}

// String formats the spread as "median (minimum to maximum)".
func (s Spread) String() string { return fmt.Sprintf("%.4g (%.4g to %.4g)", s.Median, s.Min, s.Max) }

// Report has the figures of a scenario for every seed.
type Report struct {
	Changes []string  `json:"asked"`
	Seeds   []uint64  `json:"seeds"`
	Runs    []Figures `json:"runs"`
}

// maxParallelRuns limits the number of simulations that run concurrently.
const maxParallelRuns = 8

// Run simulates a scenario with changes, once for each seed.
func Run(scenario Scenario, changes []Change, seeds []uint64) (Report, error) {
	report := Report{Seeds: seeds, Runs: make([]Figures, len(seeds))}
	for _, c := range changes {
		report.Changes = append(report.Changes, c.Text)
	}
	runErrors := make([]error, len(seeds))
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelRuns)
	for i, seed := range seeds {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			report.Runs[i], runErrors[i] = runOnce(scenario, changes, seed)
		})
	}
	wg.Wait()
	return report, errs.Combine(runErrors...)
}

// Spread returns the spread over all seeds of the figure that f selects.
func (r Report) Spread(f func(Figures) float64) Spread {
	return newSpread(lo.Map(r.Runs, func(figures Figures, _ int) float64 { return f(figures) }))
}
