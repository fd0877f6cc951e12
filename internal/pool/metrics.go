package pool

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics reads the counters the process keeps anyway; docs/operating.md has
// the table.
type metrics struct{ process *Process }

func metricDescription(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("stoneford_pool_"+name, help, labels, nil)
}

var (
	queriesMetric      = metricDescription("queries_total", "queries by how they ended", "group", "end")
	runsMetric         = metricDescription("runs_by_copy_total", "runs that ended on a replica or on the primary", "group", "copy")
	pollsMetric        = metricDescription("status_polls_total", "status polls of databases", "group")
	opensMetric        = metricDescription("connections_opened_total", "connections opened", "group")
	retriesMetric      = metricDescription("reads_placed_again_total", "reads that were placed once more", "group")
	sessionsMetric     = metricDescription("sessions", "open sessions", "group")
	inFlightMetric     = metricDescription("queries_under_way", "queries under way", "group")
	connectionsMetric  = metricDescription("connections", "connections held", "group", "database")
	unresponsiveMetric = metricDescription("database_silent_us", "how long polls of a database have failed", "group", "database")
	appliedMetric      = metricDescription("database_applied_position", "position a database has applied", "group", "database")
	envelopesMetric    = metricDescription("envelopes_total", "envelopes to and from other processes", "way")
	nodesMetric        = metricDescription("nodes", "processes this node knows of", "standing")
)

// Describe names nothing beforehand: what there is to tell depends on the
// configuration, and nothing can be collected before the process runs.
func (m metrics) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (m metrics) Collect(ch chan<- prometheus.Metric) {
	put := func(d *prometheus.Desc, t prometheus.ValueType, v float64, ls ...string) {
		ch <- prometheus.MustNewConstMetric(d, t, v, ls...)
	}
	for g, r := range *m.process.sharedRunners.Load() {
		v := r.view.Load()
		if v == nil {
			continue
		}
		c := v.Counts
		for end, n := range map[string]uint64{"done": c.Done, "bounced": c.Rejected, "uncertain": c.Uncertain, "failed": c.Failed} {
			put(queriesMetric, prometheus.CounterValue, float64(n), g, end)
		}
		put(runsMetric, prometheus.CounterValue, float64(c.OnReplica), g, "replica")
		put(runsMetric, prometheus.CounterValue, float64(c.OnPrimary), g, "primary")
		put(pollsMetric, prometheus.CounterValue, float64(c.Polls), g)
		put(opensMetric, prometheus.CounterValue, float64(c.Opens), g)
		put(retriesMetric, prometheus.CounterValue, float64(c.Retried), g)
		put(sessionsMetric, prometheus.GaugeValue, float64(v.Sessions), g)
		put(inFlightMetric, prometheus.GaugeValue, float64(v.Queries), g)
		for db, n := range v.Connections {
			put(connectionsMetric, prometheus.GaugeValue, float64(n), g, db)
		}
		for _, w := range v.Databases {
			put(unresponsiveMetric, prometheus.GaugeValue, float64(w.UnresponsiveUs), g, w.Name)
			put(appliedMetric, prometheus.GaugeValue, float64(w.Status.Applied), g, w.Name)
		}
	}
	sent, dropped, received := m.process.links.Counts()
	for direction, n := range map[string]uint64{"sent": sent, "dropped": dropped, "received": received} {
		put(envelopesMetric, prometheus.CounterValue, float64(n), direction)
	}
	n := m.process.nodeView.Load()
	put(nodesMetric, prometheus.GaugeValue, float64(n.Nodes), "known")
	put(nodesMetric, prometheus.GaugeValue, float64(n.Alive), "alive")
}

func (p *Process) metrics() http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(metrics{p})
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{})
}
