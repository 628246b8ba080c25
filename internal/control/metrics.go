package control

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// counters holds the metrics of one instance. They are labelled with its name, because a demo or a test
// runs several instances in one process.
type counters struct {
	version           *metrics.Gauge   // version in force here
	partitioned       *metrics.Gauge   // 1 while no control replica that knows a leader is reachable, else 0
	versionsApplied   *metrics.Counter // versions put in force
	staleVersions     *metrics.Counter // versions that were not higher than the one in force
	unusableDocuments *metrics.Counter // documents or edits that could not be used
	fileFailures      *metrics.Counter
	fetchedBytes      *metrics.Counter
	servedBytes       *metrics.Counter
	droppedEvents     *metrics.Counter // events and messages that a full queue did not accept
	announcements     *metrics.Counter
	results           map[Outcome]*metrics.Counter
	retries           *metrics.Counter // attempts of Submit after the first
	subscribers       *metrics.Gauge
}

func newCounters(instance string) *counters {
	name := func(suffix string) string {
		return fmt.Sprintf("primrosebeam_control_%s{instance=%q}", suffix, instance)
	}
	c := &counters{
		version:           metrics.GetOrCreateGauge(name("version_in_force"), nil),
		partitioned:       metrics.GetOrCreateGauge(name("partitioned"), nil),
		versionsApplied:   metrics.GetOrCreateCounter(name("versions_total")),
		staleVersions:     metrics.GetOrCreateCounter(name("stale_versions_refused_total")),
		unusableDocuments: metrics.GetOrCreateCounter(name("unusable_documents_total")),
		fileFailures:      metrics.GetOrCreateCounter(name("file_failures_total")),
		fetchedBytes:      metrics.GetOrCreateCounter(name("fetched_bytes_total")),
		servedBytes:       metrics.GetOrCreateCounter(name("served_bytes_total")),
		droppedEvents:     metrics.GetOrCreateCounter(name("events_dropped_total")),
		announcements:     metrics.GetOrCreateCounter(name("announcements_total")),
		retries:           metrics.GetOrCreateCounter(name("submit_retries_total")),
		subscribers:       metrics.GetOrCreateGauge(name("subscribers"), nil),
		results:           map[Outcome]*metrics.Counter{},
	}
	for _, outcome := range []Outcome{OutcomeAccepted, OutcomeCommitted, OutcomeConflict, OutcomeInvalid, OutcomeUndetermined} {
		text := fmt.Sprintf("primrosebeam_control_answers_total{instance=%q,outcome=%q}", instance, outcome)
		c.results[outcome] = metrics.GetOrCreateCounter(text)
	}
	return c
}
