package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"

	"stoneford/emulator/callers"
	"stoneford/emulator/checker"
	"stoneford/emulator/fleet"
	"stoneford/result"
)

// queryStats are the results of queries that callers observed.
type queryStats struct {
	Queries   int            `json:"queries"`
	Served    float64        `json:"served_share"`
	FirstTry  float64        `json:"served_at_first_try_share"`
	P50Us     int64          `json:"p50_us"`
	P99Us     int64          `json:"p99_us"`
	Codes     map[string]int `json:"codes"`
	Databases map[string]int `json:"copies,omitempty"` // number of served reads by database
}

// faultReport reports an injected fault. AtS is the time from the start of the load to the
// end of the injection, and FirstAckS the time from the start of the injection to the first
// acknowledged write.
type faultReport struct {
	Fault     fleet.Fault `json:"fault"`
	Target    string      `json:"hit"`
	AtS       float64     `json:"at_s"`
	FirstAckS float64     `json:"first_acknowledged_write_after_s,omitempty"`
}

// report is the result of a run.
type report struct {
	Shape     string                `json:"shape"`
	Seed      uint64                `json:"seed"`
	Seconds   float64               `json:"seconds"`
	StartS    float64               `json:"start_to_all_ready_s"`
	Rate      float64               `json:"queries_per_s"`
	All       queryStats            `json:"all"`
	Kinds     map[string]queryStats `json:"kinds"` // by kind of query
	OnReplica float64               `json:"reads_on_replicas_share"`
	PerSecond []string              `json:"served_of_sent_per_second"`
	Faults    []faultReport         `json:"faults,omitempty"`
	Check     checker.Verdict       `json:"check"`
	CPU       map[string]float64    `json:"cpu_us_per_query"` // by kind of process
	Polls     float64               `json:"status_polls_per_query"`
	Envelopes float64               `json:"envelopes_of_nodes_per_query"`
	Crashed   []string              `json:"ended_by_themselves,omitempty"`
}

// seconds returns a duration in seconds, truncated to milliseconds.
func seconds(d time.Duration) float64 { return float64(d.Milliseconds()) / 1000 }

// fillCost fills in the processor time, status polls and envelopes per query, from the
// processor times and counters before and after the load. A process that was restarted
// during the load counts only from its restart on.
func (r *report) fillCost(cpu, cpuAfter map[string]time.Duration, counts, countsAfter fleet.Counters) {
	r.CPU = map[string]float64{}
	queries := countsAfter.Queries - counts.Queries
	if queries <= 0 {
		return
	}
	for kind, d := range cpuAfter {
		r.CPU[kind] = float64((d - cpu[kind]).Microseconds()) / queries
	}
	r.Polls, r.Envelopes = (countsAfter.StatusPolls-counts.StatusPolls)/queries, (countsAfter.EnvelopesSent-counts.EnvelopesSent)/queries
}

// fillFaults fills in the faults, and how long after each the first write was acknowledged.
func (r *report) fillFaults(faults []injectedFault, began time.Time, shape fleet.Shape, runner *callers.Runner) {
	r.Faults = make([]faultReport, len(faults))
	for i, ft := range faults {
		r.Faults[i] = faultReport{Fault: ft.fault, Target: ft.target, AtS: seconds(ft.endedAt.Sub(began))}
		route := shape.Route(ft.target)
		if route == "" {
			continue
		}
		atUs := ft.startedAt.UnixMicro()
		if a := runner.FirstAcknowledgementAfter(route, atUs); a > 0 {
			r.Faults[i].FirstAckS = float64((a-atUs)/1000) / 1000
		}
	}
}

// fillSamples fills in the results that callers observed during the load.
func (r *report) fillSamples(samples []callers.Sample, began time.Time, took time.Duration) {
	r.Seconds = seconds(took)
	r.Rate = float64(int(float64(len(samples))/took.Seconds()*10)) / 10
	r.All = summarize(samples)
	for kind, ofKind := range lo.GroupBy(samples, func(s callers.Sample) string { return s.Kind }) {
		r.Kinds[kind] = summarize(ofKind)
	}
	r.PerSecond = servedPerSecond(samples, began, took)
	reads := lo.Filter(samples, func(s callers.Sample, _ int) bool {
		return (s.Kind == checker.Lookup || s.Kind == checker.ReadYourWrites || s.Kind == checker.Current) && s.Outcome == result.Done
	})
	r.All.Databases = lo.CountValuesBy(reads, func(s callers.Sample) string { return s.Database })
	if len(reads) > 0 {
		r.OnReplica = fraction(lo.CountBy(reads, func(s callers.Sample) bool { return s.OnReplica }), len(reads))
	}
}

// servedPerSecond returns a text SERVED/SENT for each second of the load: of the queries
// sent in that second, how many were served.
func servedPerSecond(samples []callers.Sample, began time.Time, took time.Duration) (text []string) {
	n := int(took.Seconds()) + 1
	sent, served := make([]int, n), make([]int, n)
	for _, s := range samples {
		i := int((s.AtUs - began.UnixMicro()) / 1_000_000)
		if i >= 0 && i < n {
			sent[i]++
			served[i] += lo.Ternary(s.Outcome == result.Done, 1, 0)
		}
	}
	for i := range n {
		text = append(text, fmt.Sprintf("%d/%d", served[i], sent[i]))
	}
	return text
}

// fraction returns a/b, rounded to four decimal places.
func fraction(a, b int) float64 { return float64(int(float64(a)/float64(b)*10000+0.5)) / 10000 }

// summarize returns the statistics of queries.
func summarize(samples []callers.Sample) queryStats {
	f := queryStats{Queries: len(samples), Codes: map[string]int{}}
	var durations []int64
	served, first := 0, 0
	for _, s := range samples {
		f.Codes[fmt.Sprintf("%d %s", s.Code, lo.Ternary(s.Code < 0, "no return", s.Code.String()))]++
		if s.Outcome == result.Done {
			served++
			durations = append(durations, s.DurationUs)
			if s.Attempts == 1 {
				first++
			}
		}
	}
	slices.Sort(durations)
	if len(samples) > 0 {
		f.Served, f.FirstTry = fraction(served, len(samples)), fraction(first, len(samples))
	}
	f.P50Us, f.P99Us = checker.Quantile(durations, 0.5), checker.Quantile(durations, 0.99)
	return f
}
