// Command stoneford-simulate estimates how changes to a deployment would affect its
// callers. It runs the daemons' own cores on a simulated clock, with and without the
// changes, and compares the results (package whatif).
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"stoneford/emulator/whatif"
	"stoneford/internal/settings"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "stoneford-simulate:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:      "stoneford-simulate",
		Usage:     "what would callers see if …",
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
}

func run(_ context.Context, c *cli.Command) error {
	scenario, err := readScenario(c)
	if err != nil {
		return err
	}
	changes, err := readChanges(c.Args().Slice())
	if err != nil {
		return err
	}
	seeds, err := readSeeds(c)
	if err != nil {
		return err
	}
	reports, err := compare(scenario, changes, seeds)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(reports)
	}
	return writeTable(os.Stdout, scenario, reports)
}

// readScenario returns the example that the flags name, with the changes that other flags
// make to it.
func readScenario(c *cli.Command) (whatif.Scenario, error) {
	scenario, ok := whatif.Examples[c.String("example")]
	if !ok {
		return scenario, fmt.Errorf("no example %q", c.String("example"))
	}
	if path := c.String("configuration"); path != "" {
		if err := setConfiguration(&scenario, path); err != nil {
			return scenario, err
		}
	}
	if n := c.Int("machines"); n > 0 {
		scenario.Plan.Machines = n
	}
	if n := c.Int("sessions"); n > 0 {
		scenario.Plan.Sessions = n
	}
	if rate := c.Float("rate"); rate > 0 {
		scenario.Rate = rate
	}
	scenario.MeasureUs = int64(c.Int("seconds")) * 1_000_000
	scenario.Plan.MaxDelayUs = c.Int64("delay-us")
	scenario.Plan.CrossZoneDelayUs = c.Int64("between-zones-us")
	scenario.Plan.ServiceUs = c.Int64("service-us")
	return scenario, nil
}

// setConfiguration replaces the example's configuration with the one in a file, and the
// example's zones with the zones of the databases in that configuration.
func setConfiguration(scenario *whatif.Scenario, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	configuration, problems := settings.ReadConfiguration(text)
	if len(problems) > 0 {
		for _, p := range problems {
			fmt.Fprintln(os.Stderr, " ", p)
		}
		return fmt.Errorf("%s has errors", path)
	}
	scenario.Plan.Configuration, scenario.Plan.Zones = text, nil
	for _, name := range slices.Sorted(maps.Keys(configuration.Databases)) {
		if zone := configuration.Databases[name].Zone; !slices.Contains(scenario.Plan.Zones, zone) {
			scenario.Plan.Zones = append(scenario.Plan.Zones, zone)
		}
	}
	return nil
}

// readChanges parses the arguments, each of which describes a change.
func readChanges(texts []string) ([]whatif.Change, error) {
	var changes []whatif.Change
	for _, text := range texts {
		change, err := whatif.Parse(text)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// readSeeds returns consecutive seeds, one for each run.
func readSeeds(c *cli.Command) ([]uint64, error) {
	var seeds []uint64
	for i := range c.Int("seeds") {
		seeds = append(seeds, c.Uint64("seed")+uint64(i))
	}
	if len(seeds) == 0 {
		return nil, errors.New("at least one seed is needed")
	}
	return seeds, nil
}

// compare returns the report of the scenario without the changes and, if there are any
// changes, a second report with them.
func compare(scenario whatif.Scenario, changes []whatif.Change, seeds []uint64) ([]whatif.Report, error) {
	baseline, err := whatif.Run(scenario, nil, seeds)
	if err != nil || len(changes) == 0 {
		return []whatif.Report{baseline}, err
	}
	changed, err := whatif.Run(scenario, changes, seeds)
	return []whatif.Report{baseline, changed}, err
}
