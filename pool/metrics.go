package pool

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics reads the counters the process keeps anyway; docs/operating.md has
// the table.
type metrics struct{ p *Process }

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("stoneford_pool_"+name, help, labels, nil)
}

var (
	dQueries  = desc("queries_total", "queries by how they ended", "group", "end")
	dReads    = desc("runs_by_copy_total", "runs that ended on a replica or on the primary", "group", "copy")
	dPolls    = desc("status_polls_total", "status polls of databases", "group")
	dOpens    = desc("connections_opened_total", "connections opened", "group")
	dReplaced = desc("reads_placed_again_total", "reads that were placed once more", "group")
	dSessions = desc("sessions", "open sessions", "group")
	dUnder    = desc("queries_under_way", "queries under way", "group")
	dConns    = desc("connections", "connections held", "group", "database")
	dSilent   = desc("database_silent_us", "how long polls of a database have failed", "group", "database")
	dApplied  = desc("database_applied_position", "position a database has applied", "group", "database")
	dEnv      = desc("envelopes_total", "envelopes to and from other processes", "way")
	dNodes    = desc("nodes", "processes this node knows of", "standing")
)

// Describe names nothing beforehand: what there is to tell depends on the
// configuration, and nothing can be collected before the process runs.
func (m metrics) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (m metrics) Collect(ch chan<- prometheus.Metric) {
	put := func(d *prometheus.Desc, t prometheus.ValueType, v float64, ls ...string) {
		ch <- prometheus.MustNewConstMetric(d, t, v, ls...)
	}
	for g, r := range *m.p.groups.Load() {
		v := r.counts.Load()
		if v == nil {
			continue
		}
		c := v.Counts
		for end, n := range map[string]uint64{"done": c.Done, "bounced": c.Refused, "uncertain": c.Uncertain, "failed": c.Failed} {
			put(dQueries, prometheus.CounterValue, float64(n), g, end)
		}
		put(dReads, prometheus.CounterValue, float64(c.OnReplica), g, "replica")
		put(dReads, prometheus.CounterValue, float64(c.OnPrimary), g, "primary")
		put(dPolls, prometheus.CounterValue, float64(c.Polls), g)
		put(dOpens, prometheus.CounterValue, float64(c.Opens), g)
		put(dReplaced, prometheus.CounterValue, float64(c.Replaced), g)
		put(dSessions, prometheus.GaugeValue, float64(v.Sessions), g)
		put(dUnder, prometheus.GaugeValue, float64(v.Queries), g)
		for db, n := range v.Conns {
			put(dConns, prometheus.GaugeValue, float64(n), g, db)
		}
		for _, w := range v.Views {
			put(dSilent, prometheus.GaugeValue, float64(w.SilentUs), g, w.Name)
			put(dApplied, prometheus.GaugeValue, float64(w.Status.Applied), g, w.Name)
		}
	}
	sent, dropped, received := m.p.links.Counts()
	for way, n := range map[string]uint64{"sent": sent, "dropped": dropped, "received": received} {
		put(dEnv, prometheus.CounterValue, float64(n), way)
	}
	n := m.p.nodes.Load()
	put(dNodes, prometheus.GaugeValue, float64(n.Nodes), "known")
	put(dNodes, prometheus.GaugeValue, float64(n.Alive), "alive")
}

func (p *Process) metrics() http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(metrics{p})
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{})
}
