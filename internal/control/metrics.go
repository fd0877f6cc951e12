package control

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/lo"

	"stoneford/internal/membership"
	"stoneford/schema"
)

// metrics collects the metrics of a process, which docs/operating.md describes.
type metrics struct{ process *Process }

func metricDescription(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("stoneford_control_"+name, help, labels, nil)
}

var (
	votingMetric    = metricDescription("votes", "1 if this process's voter votes")
	revisionMetric  = metricDescription("revision", "newest agreed revision known of a register", "register")
	epochMetric     = metricDescription("group_epoch", "a group's epoch", "group")
	openMetric      = metricDescription("group_open", "1 if the group has its primary, 0 during a takeover", "group")
	rolesMetric     = metricDescription("duties", "duties this process acts on")
	nodesMetric     = metricDescription("nodes", "processes known", "standing")
	recordsMetric   = metricDescription("records", "mergeable records held")
	envelopesMetric = metricDescription("envelopes_total", "envelopes to and from other processes", "way")
)

// Describe implements prometheus.Collector. It sends no descriptions, because the metrics
// depend on the configuration and nothing can be collected before the process runs.
func (m metrics) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (m metrics) Collect(ch chan<- prometheus.Metric) {
	m.process.inspect(func(c *Core, now int64) { collectCore(ch, c, now) })
	sent, dropped, received := m.process.links.Counts()
	for direction, n := range map[string]uint64{"sent": sent, "dropped": dropped, "received": received} {
		ch <- prometheus.MustNewConstMetric(envelopesMetric, prometheus.CounterValue, float64(n), direction)
	}
}

func collectCore(ch chan<- prometheus.Metric, c *Core, now int64) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	gauge(votingMetric, lo.Ternary(c.voting, 1.0, 0))
	for _, key := range c.relay.Keys() {
		gauge(revisionMetric, float64(c.relay.Value(key).Revision), key)
	}
	leading := 0
	for group := range c.groups {
		state := c.groupState(group)
		gauge(epochMetric, float64(state.Epoch), group)
		gauge(openMetric, lo.Ternary(state.Phase == schema.Phase_OPEN, 1.0, 0), group)
		if c.roles.IsLeader(roleKeyPrefix+group, now) {
			leading++
		}
	}
	gauge(rolesMetric, float64(leading))
	gauge(nodesMetric, float64(len(c.nodes)), "known")
	gauge(nodesMetric, float64(len(membership.LiveAddresses(c.nodes))), "alive")
	gauge(recordsMetric, float64(c.records.Len()))
}

func (p *Process) metrics() http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(metrics{p})
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{})
}
