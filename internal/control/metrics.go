package control

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/samber/lo"

	"stoneford/internal/membership"
	"stoneford/schema"
)

// metrics asks the core between two steps; docs/operating.md has the table.
type metrics struct{ process *Process }

func metricDescription(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("stoneford_control_"+name, help, labels, nil)
}

var (
	votesMetric     = metricDescription("votes", "1 if this process's voter votes")
	revisionMetric  = metricDescription("revision", "newest agreed revision known of a register", "register")
	epochMetric     = metricDescription("group_epoch", "a group's epoch", "group")
	openMetric      = metricDescription("group_open", "1 if the group has its primary, 0 during a takeover", "group")
	rolesMetric     = metricDescription("duties", "duties this process acts on")
	nodesMetric     = metricDescription("nodes", "processes known", "standing")
	recordsMetric   = metricDescription("records", "mergeable records held")
	envelopesMetric = metricDescription("envelopes_total", "envelopes to and from other processes", "way")
)

// Describe names nothing beforehand: what there is to tell depends on the
// configuration, and nothing can be collected before the process runs.
func (m metrics) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (m metrics) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, ls ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, ls...)
	}
	m.process.inspect(func(c *Core, now int64) {
		gauge(votesMetric, float64(lo.Ternary(c.voting, 1, 0)))
		for _, k := range c.relay.Keys() {
			gauge(revisionMetric, float64(c.relay.Value(k).Revision), k)
		}
		n := 0
		for k := range c.groups {
			st := GroupState(c.relay.Value(GroupKeyPrefix + k))
			gauge(epochMetric, float64(st.Epoch), k)
			gauge(openMetric, float64(lo.Ternary(st.Phase == schema.Phase_OPEN, 1, 0)), k)
			n += lo.Ternary(c.roles.IsLeader(roleKeyPrefix+k, now), 1, 0)
		}
		gauge(rolesMetric, float64(n))
		gauge(nodesMetric, float64(len(c.nodes)), "known")
		gauge(nodesMetric, float64(len(membership.LiveAddresses(c.nodes))), "alive")
		gauge(recordsMetric, float64(c.records.Len()))
	})
	sent, dropped, received := m.process.links.Counts()
	for direction, n := range map[string]uint64{"sent": sent, "dropped": dropped, "received": received} {
		ch <- prometheus.MustNewConstMetric(envelopesMetric, prometheus.CounterValue, float64(n), direction)
	}
}

func (p *Process) metrics() http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(metrics{p})
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{})
}
