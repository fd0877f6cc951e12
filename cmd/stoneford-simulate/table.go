package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"stoneford/emulator/checker"
	"stoneford/emulator/whatif"
)

// table writes the figures of several reports, one row for each figure and one column for
// each report.
type table struct {
	out     *tabwriter.Writer
	reports []whatif.Report
}

// row writes one figure of every report.
func (t table) row(name string, figure func(whatif.Figures) float64) {
	cells := []string{name}
	for _, report := range t.reports {
		cells = append(cells, report.Spread(figure).String())
	}
	fmt.Fprintln(t.out, strings.Join(cells, "\t"))
}

// writeTable writes all figures of the reports, then the seeds and the simulated time.
func writeTable(out io.Writer, scenario whatif.Scenario, reports []whatif.Report) error {
	t := table{tabwriter.NewWriter(out, 0, 4, 2, ' ', 0), reports}
	header := []string{"", "as it is"}
	if len(reports) > 1 {
		header = append(header, "what if "+strings.Join(reports[1].Changes, " and "))
	}
	fmt.Fprintln(t.out, strings.Join(header, "\t"))
	t.row("queries", func(f whatif.Figures) float64 { return float64(f.Queries) })
	t.row("served, share", func(f whatif.Figures) float64 { return f.Served })
	t.row("at the first try, share", func(f whatif.Figures) float64 { return f.FirstTry })
	t.row("p50, ms", func(f whatif.Figures) float64 { return float64(f.P50Us) / 1000 })
	t.row("p99, ms", func(f whatif.Figures) float64 { return float64(f.P99Us) / 1000 })
	for _, kind := range slices.Sorted(maps.Keys(reports[0].Runs[0].Kinds)) {
		t.row(kind+", served", func(f whatif.Figures) float64 { return f.Kinds[kind].Served })
		t.row(kind+", p99 ms", func(f whatif.Figures) float64 { return float64(f.Kinds[kind].P99Us) / 1000 })
	}
	for _, class := range []string{checker.Lookup, checker.ReadYourWrites} {
		t.row(class+", greatest age ms", func(f whatif.Figures) float64 { return float64(f.Ages[class].MaxUs) / 1000 })
	}
	t.row("status polls a query", func(f whatif.Figures) float64 { return f.PollsPerQuery })
	t.row("uncertain writes", func(f whatif.Figures) float64 { return float64(f.UncertainWrites) })
	t.row("promises broken", func(f whatif.Figures) float64 { return float64(f.Violations) })
	for _, database := range databaseNames(reports) {
		t.row("reads on "+database+", share", func(f whatif.Figures) float64 { return f.Databases[database] })
	}
	if err := t.out.Flush(); err != nil {
		return err
	}
	seeds := reports[0].Seeds
	fmt.Fprintf(out, "\nmedian (least to greatest) of %d seeds from %d, %d s each\n", len(seeds), seeds[0], scenario.MeasureUs/1_000_000)
	return nil
}

// databaseNames returns the sorted names of all databases that served a read in any run.
func databaseNames(reports []whatif.Report) []string {
	names := map[string]bool{}
	for _, report := range reports {
		for _, run := range report.Runs {
			for name := range run.Databases {
				names[name] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(names))
}
