package claims

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/primrosebeam/primrosebeam/journal"
	"github.com/primrosebeam/primrosebeam/ledger"
)

// State is the state of an owner for diagnostics. It contains no keys, secrets or stored responses.
type State struct {
	Name            string           `json:"name"`
	Ledger          ledger.Stats     `json:"ledger"`
	Waiting         int              `json:"waiting"` // number of requests in the queue
	JournalFirst    journal.Sequence `json:"journalFirst"`
	JournalLast     journal.Sequence `json:"journalLast"`
	BytesToSnapshot int64            `json:"bytesToSnapshot"`   // journal growth in bytes until the next snapshot
	Failure         string           `json:"failure,omitempty"` // first error of the journal; empty while it works
	Freezes         int              `json:"freezes"`           // number of times the process was frozen
	Snapshots       int              `json:"snapshots"`         // snapshots installed since the start
	SnapshotsFailed int              `json:"snapshotsFailed"`   // snapshots failed since the start
	PublishedAt     time.Time        `json:"publishedAt"`
}

// State returns the last published state without waiting for the worker.
func (o *Owner) State() State {
	s := *o.state.Load()
	s.Waiting = o.calls.Len()
	return s
}

// publish stores the current state for State.
func (o *Owner) publish() {
	s := State{
		Name:            o.options.Name,
		BytesToSnapshot: max(o.options.SnapshotBytes, snapshotGrowth*o.lastSnapshotBytes) - o.bytesSinceSnapshot,
		Freezes:         o.freezes,
		Snapshots:       o.snapshotCount,
		SnapshotsFailed: o.snapshotsFailed,
		PublishedAt:     time.Now(),
	}
	if o.ledger != nil {
		s.Ledger = o.ledger.Stats()
		s.JournalFirst, s.JournalLast = o.journal.First(), o.journal.Last()
	}
	if o.failure != nil {
		s.Failure = o.failure.Error()
	}
	o.state.Store(&s)
}

// ownerMetrics contains the metrics of an owner.
type ownerMetrics struct {
	set             *metrics.Set
	succeeded       [operationCount]*metrics.Counter
	syncSeconds     *metrics.Histogram
	syncRecords     *metrics.Histogram
	snapshotSeconds *metrics.Histogram
	beginSeconds    *metrics.Histogram // from queueing to the reply
	freezes         *metrics.Counter
	failures        *metrics.Counter
	reopenAttempts  *metrics.Counter
	reopens         *metrics.Counter // times that the journal worked again
}

func newOwnerMetrics(set *metrics.Set, o *Owner) ownerMetrics {
	set.GetOrCreateGauge("primrosebeam_ledger_keys", func() float64 { return float64(o.State().Ledger.Keys) })
	set.GetOrCreateGauge("primrosebeam_ledger_claims", func() float64 { return float64(o.State().Ledger.Claims) })
	set.GetOrCreateGauge("primrosebeam_ledger_copy_bytes", func() float64 { return float64(o.State().Ledger.CopyBytes) })
	set.GetOrCreateGauge("primrosebeam_ledger_waiting", func() float64 { return float64(o.calls.Len()) })
	m := ownerMetrics{
		set:             set,
		syncSeconds:     set.GetOrCreateHistogram("primrosebeam_ledger_sync_seconds"),
		syncRecords:     set.GetOrCreateHistogram("primrosebeam_ledger_sync_records"),
		snapshotSeconds: set.GetOrCreateHistogram("primrosebeam_ledger_snapshot_seconds"),
		beginSeconds:    set.GetOrCreateHistogram("primrosebeam_ledger_begin_seconds"),
		freezes:         set.GetOrCreateCounter("primrosebeam_ledger_freezes_total"),
		failures:        set.GetOrCreateCounter("primrosebeam_ledger_journal_failures_total"),
		reopenAttempts:  set.GetOrCreateCounter("primrosebeam_ledger_journal_reopen_attempts_total"),
		reopens:         set.GetOrCreateCounter("primrosebeam_ledger_journal_reopens_total"),
	}
	for op := range operationCount {
		m.succeeded[op] = set.GetOrCreateCounter(requestsMetric(op, nil))
	}
	return m
}

func requestsMetric(op operation, err error) string {
	return fmt.Sprintf("primrosebeam_ledger_requests_total{operation=%q,result=%q}", operationNames[op], code(err))
}

// count counts a finished call.
func (m ownerMetrics) count(c *call) {
	if c.operation == opBegin {
		m.beginSeconds.UpdateDuration(c.queued)
	}
	if c.err == nil {
		m.succeeded[c.operation].Inc()
		return
	}
	m.set.GetOrCreateCounter(requestsMetric(c.operation, c.err)).Inc()
}
