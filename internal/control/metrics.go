package control

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// counters are the metrics of one instance. They carry its name, since a demo or test runs
// several instances in one process.
type counters struct {
	version       *metrics.Gauge   // in force here
	partitioned   *metrics.Gauge   // 1 while no control replica is reachable
	moved         *metrics.Counter // versions put in force
	refusedStale  *metrics.Counter // offered versions that were not higher
	refusedBad    *metrics.Counter // offered documents that could not be used
	fileFailures  *metrics.Counter
	fetchedBytes  *metrics.Counter
	servedBytes   *metrics.Counter
	dropped       *metrics.Counter // events for a full ring
	announcements *metrics.Counter
	answers       map[Outcome]*metrics.Counter
	retries       *metrics.Counter // attempts of Submit after the first
	subscribers   *metrics.Gauge
}

func newCounters(instance string) *counters {
	name := func(suffix string) string {
		return fmt.Sprintf("primrosebeam_control_%s{instance=%q}", suffix, instance)
	}
	c := &counters{
		version:       metrics.GetOrCreateGauge(name("version_in_force"), nil),
		partitioned:   metrics.GetOrCreateGauge(name("partitioned"), nil),
		moved:         metrics.GetOrCreateCounter(name("versions_total")),
		refusedStale:  metrics.GetOrCreateCounter(name("stale_versions_refused_total")),
		refusedBad:    metrics.GetOrCreateCounter(name("unusable_documents_total")),
		fileFailures:  metrics.GetOrCreateCounter(name("file_failures_total")),
		fetchedBytes:  metrics.GetOrCreateCounter(name("fetched_bytes_total")),
		servedBytes:   metrics.GetOrCreateCounter(name("served_bytes_total")),
		dropped:       metrics.GetOrCreateCounter(name("events_dropped_total")),
		announcements: metrics.GetOrCreateCounter(name("announcements_total")),
		retries:       metrics.GetOrCreateCounter(name("submit_retries_total")),
		subscribers:   metrics.GetOrCreateGauge(name("subscribers"), nil),
		answers:       map[Outcome]*metrics.Counter{},
	}
	for _, outcome := range []Outcome{OutcomeAccepted, OutcomeCommitted, OutcomeConflict, OutcomeInvalid, OutcomeUndetermined} {
		text := fmt.Sprintf("primrosebeam_control_answers_total{instance=%q,outcome=%q}", instance, outcome)
		c.answers[outcome] = metrics.GetOrCreateCounter(text)
	}
	return c
}
