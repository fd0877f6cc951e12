package pool

import (
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// TestMetricNames: the metrics have the names and labels that dashboards ask for.
func TestMetricNames(t *testing.T) {
	for _, x := range []struct {
		desc         *prometheus.Desc
		name, labels string
	}{
		{dQueries, "stoneford_pool_queries_total", "{group,end}"},
		{dReads, "stoneford_pool_runs_by_copy_total", "{group,copy}"},
		{dPolls, "stoneford_pool_status_polls_total", "{group}"},
		{dOpens, "stoneford_pool_connections_opened_total", "{group}"},
		{dReplaced, "stoneford_pool_reads_placed_again_total", "{group}"},
		{dSessions, "stoneford_pool_sessions", "{group}"},
		{dUnder, "stoneford_pool_queries_under_way", "{group}"},
		{dConns, "stoneford_pool_connections", "{group,database}"},
		{dSilent, "stoneford_pool_database_silent_us", "{group,database}"},
		{dApplied, "stoneford_pool_database_applied_position", "{group,database}"},
		{dEnv, "stoneford_pool_envelopes_total", "{way}"},
		{dNodes, "stoneford_pool_nodes", "{standing}"},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := x.desc.String()
			if !strings.Contains(s, `fqName: "`+x.name+`"`) || !strings.Contains(s, "variableLabels: "+x.labels) {
				t.Errorf("it is %s, not %s%s", s, x.name, x.labels)
			}
		})
	}
}
