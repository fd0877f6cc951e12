package pool

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics collects the metrics of a node from the views of its tables. docs/operating.md
// describes them.
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

// Describe implements prometheus.Collector. It sends no descriptions, because the metrics
// depend on the configuration.
func (m metrics) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (m metrics) Collect(ch chan<- prometheus.Metric) {
	for group, r := range *m.process.sharedRunners.Load() {
		if v := r.view.Load(); v != nil {
			collectTable(ch, group, v)
		}
	}
	sent, dropped, received := m.process.links.Counts()
	for direction, n := range map[string]uint64{"sent": sent, "dropped": dropped, "received": received} {
		count(ch, envelopesMetric, n, direction)
	}
	view := m.process.nodeView.Load()
	gauge(ch, nodesMetric, float64(view.Nodes), "known")
	gauge(ch, nodesMetric, float64(view.Alive), "alive")
}

// collectTable collects the metrics of a group's table.
func collectTable(ch chan<- prometheus.Metric, group string, v *tableView) {
	c := v.Counts
	for end, n := range map[string]uint64{"done": c.Done, "bounced": c.Rejected, "uncertain": c.Uncertain, "failed": c.Failed} {
		count(ch, queriesMetric, n, group, end)
	}
	count(ch, runsMetric, c.ReplicaRuns, group, "replica")
	count(ch, runsMetric, c.PrimaryRuns, group, "primary")
	count(ch, pollsMetric, c.Polls, group)
	count(ch, opensMetric, c.ConnectionsOpened, group)
	count(ch, retriesMetric, c.RetriedReads, group)
	gauge(ch, sessionsMetric, float64(v.Sessions), group)
	gauge(ch, inFlightMetric, float64(v.Queries), group)
	for database, n := range v.Connections {
		gauge(ch, connectionsMetric, float64(n), group, database)
	}
	for _, d := range v.Databases {
		gauge(ch, unresponsiveMetric, float64(d.UnresponsiveUs), group, d.Name)
		gauge(ch, appliedMetric, float64(d.Status.Applied), group, d.Name)
	}
}

func count(ch chan<- prometheus.Metric, d *prometheus.Desc, n uint64, labels ...string) {
	ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), labels...)
}

func gauge(ch chan<- prometheus.Metric, d *prometheus.Desc, v float64, labels ...string) {
	ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
}

func (p *Process) metrics() http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(metrics{p})
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{})
}
