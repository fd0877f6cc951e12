// Command stoneford-simulate works out what-if questions about a deployment.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"stoneford/emulator/checker"
	"stoneford/emulator/whatif"
	"stoneford/internal/settings"
)

func main() {
	c := &cli.Command{
		Name: "stoneford-simulate", Usage: "what would callers see if …",
		ArgsUsage: "[WHAT-IF...]",
		Description: "Runs the daemons' own cores on a fake clock, with and without what is asked about, and compares.\n\n" + whatif.Help +
			"\n\nExample: stoneford-simulate --example pharmacies \"the Cluj replica of inventory-2 out\" \"burden x2\"",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "example", Value: "pharmacies", Usage: strings.Join(slices.Sorted(maps.Keys(whatif.Examples)), ", ")},
			&cli.StringFlag{Name: "configuration", Usage: "a configuration `FILE` as operators send it, in place of the example's"},
			&cli.IntFlag{Name: "machines", Usage: "pool nodes (default: the example's)"},
			&cli.IntFlag{Name: "sessions", Usage: "open sessions (default: the example's)"},
			&cli.FloatFlag{Name: "rate", Usage: "queries a second (default: the example's)"},
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "how many runs"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first of them"},
			&cli.IntFlag{Name: "seconds", Value: 10, Usage: "how long is looked at, from the change on"},
			&cli.Int64Flag{Name: "delay-us", Value: 1500, Usage: "greatest time of one way"},
			&cli.Int64Flag{Name: "between-zones-us", Value: 1000, Usage: "added to each way between two zones"},
			&cli.Int64Flag{Name: "service-us", Value: 1000, Usage: "mean time of a run on a database"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON, with every run's figures"},
		},
		Action: run,
	}
	if err := c.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "stoneford-simulate:", err)
		os.Exit(1)
	}
}

func run(_ context.Context, c *cli.Command) error {
	scenario, ok := whatif.Examples[c.String("example")]
	if !ok {
		return fmt.Errorf("no example %q", c.String("example"))
	}
	if p := c.String("configuration"); p != "" {
		b, err := os.ReadFile(p)
		if err != nil {
			return err
		}
		cf, ps := settings.ReadConfiguration(b)
		if len(ps) > 0 {
			for _, p := range ps {
				fmt.Fprintln(os.Stderr, " ", p)
			}
			return fmt.Errorf("%s has errors", p)
		}
		scenario.Plan.Configuration = b
		scenario.Plan.Zones = nil
		for _, n := range slices.Sorted(maps.Keys(cf.Databases)) {
			if z := cf.Databases[n].Zone; !slices.Contains(scenario.Plan.Zones, z) {
				scenario.Plan.Zones = append(scenario.Plan.Zones, z)
			}
		}
	}
	if n := c.Int("machines"); n > 0 {
		scenario.Plan.Machines = n
	}
	if n := c.Int("sessions"); n > 0 {
		scenario.Plan.Sessions = n
	}
	if r := c.Float("rate"); r > 0 {
		scenario.Rate = r
	}
	scenario.MeasureUs = int64(c.Int("seconds")) * 1_000_000
	scenario.Plan.MaxDelayUs, scenario.Plan.CrossZoneDelayUs, scenario.Plan.ServiceUs = c.Int64("delay-us"), c.Int64("between-zones-us"), c.Int64("service-us")
	var changes []whatif.Change
	for _, t := range c.Args().Slice() {
		ch, err := whatif.Parse(t)
		if err != nil {
			return err
		}
		changes = append(changes, ch)
	}
	var seeds []uint64
	for i := range c.Int("seeds") {
		seeds = append(seeds, c.Uint64("seed")+uint64(i))
	}
	if len(seeds) == 0 {
		return fmt.Errorf("at least one seed is needed")
	}
	answers := []whatif.Report{}
	answer, err := whatif.Answer(scenario, nil, seeds)
	if err != nil {
		return err
	}
	answers = append(answers, answer)
	if len(changes) > 0 {
		if answer, err = whatif.Answer(scenario, changes, seeds); err != nil {
			return err
		}
		answers = append(answers, answer)
	}
	if c.Bool("json") {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(answers)
	}
	return writeTable(scenario, answers)
}

func writeTable(scenario whatif.Scenario, answers []whatif.Report) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	head := []string{"", "as it is"}
	if len(answers) > 1 {
		head = append(head, "what if "+strings.Join(answers[1].Changes, " and "))
	}
	fmt.Fprintln(w, strings.Join(head, "\t"))
	row := func(name string, f func(whatif.Figures) float64) {
		fmt.Fprintln(w, strings.Join(append([]string{name}, lo.Map(answers, func(a whatif.Report, _ int) string { return a.Figures(f).String() })...), "\t"))
	}
	row("queries", func(f whatif.Figures) float64 { return float64(f.Queries) })
	row("served, share", func(f whatif.Figures) float64 { return f.Served })
	row("at the first try, share", func(f whatif.Figures) float64 { return f.FirstTry })
	row("p50, ms", func(f whatif.Figures) float64 { return float64(f.P50Us) / 1000 })
	row("p99, ms", func(f whatif.Figures) float64 { return float64(f.P99Us) / 1000 })
	for _, n := range slices.Sorted(maps.Keys(answers[0].Runs[0].Kinds)) {
		row(n+", served", func(f whatif.Figures) float64 { return f.Kinds[n].Served })
		row(n+", p99 ms", func(f whatif.Figures) float64 { return float64(f.Kinds[n].P99Us) / 1000 })
	}
	for _, n := range []string{checker.Lookup, checker.ReadYourWrites} {
		row(n+", greatest age ms", func(f whatif.Figures) float64 { return float64(f.Ages[n].MaxUs) / 1000 })
	}
	row("status polls a query", func(f whatif.Figures) float64 { return f.Polls })
	row("uncertain writes", func(f whatif.Figures) float64 { return float64(f.Uncertain) })
	row("promises broken", func(f whatif.Figures) float64 { return float64(f.Broken) })
	replicas := map[string]bool{}
	for _, a := range answers {
		for _, r := range a.Runs {
			for c := range r.Databases {
				replicas[c] = true
			}
		}
	}
	for _, c := range slices.Sorted(maps.Keys(replicas)) {
		row("reads on "+c+", share", func(f whatif.Figures) float64 { return f.Databases[c] })
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Printf("\nmedian (least to greatest) of %d seeds from %d, %d s each\n", len(answers[0].Seeds), answers[0].Seeds[0], scenario.MeasureUs/1_000_000)
	return nil
}
