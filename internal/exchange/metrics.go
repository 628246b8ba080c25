package exchange

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/primrosebeam/primrosebeam/membership"
)

// exchangeMetrics holds the counters and gauges of an Exchange.
type exchangeMetrics struct {
	sent         *metrics.Counter
	dropped      *metrics.Counter
	full         *metrics.Counter
	undecodable  *metrics.Counter
	resumed      *metrics.Counter
	cacheDropped *metrics.Counter
	states       [membership.StateLeaving + 1]atomic.Int64 // number of instances, by state
}

func newExchangeMetrics(set *metrics.Set) *exchangeMetrics {
	m := &exchangeMetrics{
		sent:         set.GetOrCreateCounter("primrosebeam_exchange_sent_messages_total"),
		dropped:      set.GetOrCreateCounter("primrosebeam_exchange_dropped_messages_total"),
		full:         set.GetOrCreateCounter("primrosebeam_exchange_ring_full_total"),
		undecodable:  set.GetOrCreateCounter("primrosebeam_exchange_undecodable_total"),
		resumed:      set.GetOrCreateCounter("primrosebeam_exchange_resumed_total"),
		cacheDropped: set.GetOrCreateCounter("primrosebeam_exchange_cache_events_dropped_total"),
	}
	for s := range m.states {
		name := fmt.Sprintf("primrosebeam_membership_instances{state=%q}", membership.State(s))
		set.GetOrCreateGauge(name, func() float64 { return float64(m.states[s].Load()) })
	}
	return m
}

func (m *exchangeMetrics) setStates(instances []membership.Instance) {
	var counts [len(m.states)]int64
	for _, i := range instances {
		counts[i.State]++
	}
	for s, n := range counts {
		m.states[s].Store(n)
	}
}
