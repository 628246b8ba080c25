package claims

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/primrosebeam/primrosebeam/journal"
	"github.com/primrosebeam/primrosebeam/ledger"
)

// State is a dump of an owner without keys, secrets or answers.
type State struct {
	Name            string           `json:"name"`
	Ledger          ledger.Stats     `json:"ledger"`
	Waiting         int              `json:"waiting"` // requests in the ring
	JournalFirst    journal.Sequence `json:"journalFirst"`
	JournalLast     journal.Sequence `json:"journalLast"`
	BytesToSnapshot int64            `json:"bytesToSnapshot"` // journal growth until the next snapshot
	Failure         string           `json:"failure,omitempty"`
	Freezes         int              `json:"freezes"`
	Snapshots       int              `json:"snapshots"`       // taken since the start
	SnapshotsFailed int              `json:"snapshotsFailed"` // since the start
	PublishedAt     time.Time        `json:"publishedAt"`
}

// State returns the latest published state without waiting for the duty.
func (o *Owner) State() State {
	s := *o.state.Load()
	s.Waiting = o.calls.Len()
	return s
}

func (o *Owner) publish() {
	s := State{
		Name:            o.options.Name,
		Ledger:          o.ledger.Stats(),
		JournalFirst:    o.journal.First(),
		JournalLast:     o.journal.Last(),
		BytesToSnapshot: max(o.options.SnapshotBytes, snapshotGrowth*o.snapshotBytes) - o.grown,
		Freezes:         o.freezes,
		Snapshots:       o.snapshotCount,
		SnapshotsFailed: o.snapshotsFailed,
		PublishedAt:     time.Now(),
	}
	if o.failure != nil {
		s.Failure = o.failure.Error()
	}
	o.state.Store(&s)
}

// meters are the metrics of an owner.
type meters struct {
	set             *metrics.Set
	succeeded       [operations]*metrics.Counter
	syncSeconds     *metrics.Histogram
	syncRecords     *metrics.Histogram
	snapshotSeconds *metrics.Histogram
	beginSeconds    *metrics.Histogram // from the arrival in the ring to the answer
	freezes         *metrics.Counter
	failures        *metrics.Counter
}

func newMeters(set *metrics.Set, o *Owner) meters {
	set.GetOrCreateGauge("primrosebeam_ledger_keys", func() float64 { return float64(o.State().Ledger.Keys) })
	set.GetOrCreateGauge("primrosebeam_ledger_claims", func() float64 { return float64(o.State().Ledger.Claims) })
	set.GetOrCreateGauge("primrosebeam_ledger_copy_bytes", func() float64 { return float64(o.State().Ledger.CopyBytes) })
	set.GetOrCreateGauge("primrosebeam_ledger_waiting", func() float64 { return float64(o.calls.Len()) })
	m := meters{
		set:             set,
		syncSeconds:     set.GetOrCreateHistogram("primrosebeam_ledger_sync_seconds"),
		syncRecords:     set.GetOrCreateHistogram("primrosebeam_ledger_sync_records"),
		snapshotSeconds: set.GetOrCreateHistogram("primrosebeam_ledger_snapshot_seconds"),
		beginSeconds:    set.GetOrCreateHistogram("primrosebeam_ledger_begin_seconds"),
		freezes:         set.GetOrCreateCounter("primrosebeam_ledger_freezes_total"),
		failures:        set.GetOrCreateCounter("primrosebeam_ledger_journal_failures_total"),
	}
	for op := range operations {
		m.succeeded[op] = set.GetOrCreateCounter(requestsMetric(op, nil))
	}
	return m
}

func requestsMetric(op operation, err error) string {
	return fmt.Sprintf("primrosebeam_ledger_requests_total{operation=%q,result=%q}", operationNames[op], code(err))
}

func (m meters) count(c *call) {
	if c.operation == opBegin {
		m.beginSeconds.UpdateDuration(c.queued)
	}
	if c.err == nil {
		m.succeeded[c.operation].Inc()
		return
	}
	m.set.GetOrCreateCounter(requestsMetric(c.operation, c.err)).Inc()
}
