package edge

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// reason tells why a request ended as it did; placement.Reason values are used as well.
type reason string

const (
	reasonAnswered        reason = "answered"
	reasonNoConfiguration reason = "no-configuration"
	reasonNoLease         reason = "no-lease" // the configuration in force here may be out of date
	reasonNoRoute         reason = "no-route"
	reasonUnknownKey      reason = "unknown-key"
	reasonTooLarge        reason = "too-large"
	reasonUnread          reason = "unread"
	reasonFull            reason = "full"
	reasonRefused         reason = "refused-by-engines"
	reasonFailed          reason = "failed-at-engine"
	reasonBroken          reason = "broken-off"
	reasonTimeout         reason = "timeout"
	reasonGone            reason = "caller-left"
)

// counters are the metrics of the entry path.
type counters struct {
	set        *metrics.Set
	resends    *metrics.Counter
	foreign    *metrics.Counter
	firstEvent *metrics.Histogram
	queue      *metrics.Histogram
	outcomes   sync.Map // reason to *metrics.Counter; reasons are a fixed set
}

func newCounters(set *metrics.Set) *counters {
	return &counters{
		set:        set,
		resends:    set.NewCounter("primrosebeam_resends_total"),
		foreign:    set.NewCounter("primrosebeam_foreign_answers_total"),
		firstEvent: set.NewHistogram("primrosebeam_first_event_seconds"),
		queue:      set.NewHistogram("primrosebeam_queue_seconds"),
	}
}

func (c *counters) outcome(why reason) {
	counter, known := c.outcomes.Load(why)
	if !known {
		counter, _ = c.outcomes.LoadOrStore(why, c.set.GetOrCreateCounter(fmt.Sprintf("primrosebeam_requests_total{reason=%q}", why)))
	}
	counter.(*metrics.Counter).Inc()
}

// log writes the one line of a request with the inputs of its decisions.
func (x *exchange) log(status int, why reason) {
	x.edge.counters.outcome(why)
	x.edge.counters.queue.Update(x.queued.Seconds())
	level := zerolog.InfoLevel
	if why != reasonAnswered && why != reasonGone {
		level = zerolog.WarnLevel
	}
	event := x.edge.options.Logger.WithLevel(level).Str("id", x.id).Int("status", status).Str("reason", string(why))
	if x.table != nil {
		event.Uint64("configuration", uint64(x.table.Number))
	}
	if x.route != nil {
		event.Str("route", x.route.Name).Int("tier", x.tier)
	}
	if x.workspace != nil {
		event.Str("workspace", x.workspace.Name).Dur("lease", x.lease)
	}
	if x.engine != "" {
		event.Str("engine", x.engine).Int("sends", x.sends).Int("resends", x.resends).Int("events", x.events).Dur("first", x.first)
	}
	if x.cause != "" && why != reasonAnswered {
		event.Str("cause", x.cause)
	}
	if x.hasTokens {
		event.Int("prompt", x.tokens.Prompt).Int("output", x.tokens.OutputMax).Int("expected", x.expectedOutput()).
			Str("allocator", x.decision.by).Int("runs", x.decision.runs)
	}
	if x.decision.reason != "" {
		event.Int("waiting", x.decision.waiting).Dur("wait", x.decision.wait).Float64("capacity", x.decision.capacity).
			Dur("retryAfter", x.decision.retryAfter).Bool("returning", x.decision.returning)
	}
	now := clock()
	event.Dur("queued", x.queued).Dur("took", now-x.arrived).Dur("left", x.deadline-now).Msg("request")
}
