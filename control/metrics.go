package control

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/samber/lo"

	"stoneford/roster"
	"stoneford/schema"
)

// metrics asks the core between two steps; docs/operating.md has the table.
type metrics struct{ p *Process }

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("stoneford_control_"+name, help, labels, nil)
}

var (
	dVotes    = desc("votes", "1 if this process's voter votes")
	dRevision = desc("revision", "newest agreed revision known of a register", "register")
	dEpoch    = desc("group_epoch", "a group's epoch", "group")
	dOpen     = desc("group_open", "1 if the group has its primary, 0 during a takeover", "group")
	dDuties   = desc("duties", "duties this process acts on")
	dNodes    = desc("nodes", "processes known", "standing")
	dRecords  = desc("records", "mergeable records held")
	dEnv      = desc("envelopes_total", "envelopes to and from other processes", "way")
)

// Describe names nothing beforehand: what there is to tell depends on the
// configuration, and nothing can be collected before the process runs.
func (m metrics) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (m metrics) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, ls ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, ls...)
	}
	m.p.see(func(c *Core, now int64) {
		gauge(dVotes, float64(lo.Ternary(c.formed, 1, 0)))
		for _, k := range c.relay.Keys() {
			gauge(dRevision, float64(c.relay.Held(k).Revision), k)
		}
		n := 0
		for k := range c.groups {
			st := GroupState(c.relay.Held(GroupPrefix + k))
			gauge(dEpoch, float64(st.Epoch), k)
			gauge(dOpen, float64(lo.Ternary(st.Phase == schema.Phase_OPEN, 1, 0)), k)
			n += lo.Ternary(c.duty.Acts(dutyPrefix+k, now), 1, 0)
		}
		gauge(dDuties, float64(n))
		gauge(dNodes, float64(len(c.nodes)), "known")
		gauge(dNodes, float64(len(roster.Live(c.nodes))), "alive")
		gauge(dRecords, float64(c.recs.Len()))
	})
	sent, dropped, received := m.p.links.Counts()
	for way, n := range map[string]uint64{"sent": sent, "dropped": dropped, "received": received} {
		ch <- prometheus.MustNewConstMetric(dEnv, prometheus.CounterValue, float64(n), way)
	}
}

func (p *Process) metrics() http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(metrics{p})
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{})
}
