package edge

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/platform"
)

// reason is the outcome of a request in logs and metrics. The values of placement.Reason are used as well.
type reason string

const (
	reasonAnswered        reason = "answered"
	reasonNoConfiguration reason = "no-configuration"
	reasonNoLease         reason = "no-lease" // the configuration in force on this instance may be out of date
	reasonNoRoute         reason = "no-route"
	reasonUnknownKey      reason = "unknown-key"
	reasonTooLarge        reason = "too-large"
	reasonUnreadableBody  reason = "unread"
	reasonNoRoom          reason = "no-room"      // this instance holds too many bytes for callers
	reasonStalledBody     reason = "stalled-body" // the rest of the body did not come
	reasonQueueFull       reason = "full"
	reasonRefused         reason = "refused-by-engines"
	reasonFailed          reason = "failed-at-engine"
	reasonIncomplete      reason = "broken-off"
	reasonTimeout         reason = "timeout"
	reasonCallerLeft      reason = "caller-left"
	reasonUnknownOrigin   reason = "unknown-origin" // which version began the stream is not known
	reasonStopping        reason = "stopping"       // this instance may stop before the end of the response
)

// counters holds the metrics of the requests.
type counters struct {
	set              *metrics.Set
	retries          *metrics.Counter
	foreignResponses *metrics.Counter
	leavingNotices   *metrics.Counter
	rests            *metrics.Counter
	rateLimits       *metrics.Counter
	brittle          *metrics.Counter
	unsentGrants     *metrics.Counter
	unprovenRefusals *metrics.Counter // responses by whose status the caller would take a request that may have run for refused
	firstEvent       *metrics.Histogram
	queue            *metrics.Histogram
	outcomes         sync.Map // *metrics.Counter by reason; the set of reasons is fixed
}

func newCounters(set *metrics.Set) *counters {
	return &counters{
		set:              set,
		retries:          set.NewCounter("primrosebeam_resends_total"),
		foreignResponses: set.NewCounter("primrosebeam_foreign_answers_total"),
		leavingNotices:   set.NewCounter("primrosebeam_engine_leaving_notices_total"),
		rests:            set.NewCounter("primrosebeam_engine_rests_total"),
		rateLimits:       set.NewCounter("primrosebeam_engine_rate_limits_total"),
		brittle:          set.NewCounter("primrosebeam_engine_brittle_changes_total"),
		unsentGrants:     set.NewCounter("primrosebeam_unsent_grants_total"),
		unprovenRefusals: set.NewCounter("primrosebeam_unproven_refusals_total"),
		firstEvent:       set.NewHistogram("primrosebeam_first_event_seconds"),
		queue:            set.NewHistogram("primrosebeam_queue_seconds"),
	}
}

// countOutcome counts a request that ended for the given reason.
func (c *counters) countOutcome(why reason) {
	counter, known := c.outcomes.Load(why)
	if !known {
		counter, _ = c.outcomes.LoadOrStore(why, c.set.GetOrCreateCounter(fmt.Sprintf("primrosebeam_requests_total{reason=%q}", why)))
	}
	counter.(*metrics.Counter).Inc()
}

// isOutsideLimits reports whether a request ended since its caller kept outside the limits. Of these only one in a second
// is logged.
func (r reason) isOutsideLimits() bool {
	switch r {
	case reasonTooLarge, reasonUnreadableBody, reasonNoRoom, reasonStalledBody:
		return true
	}
	return false
}

// log counts the outcome of the request and writes its only log line, which holds the inputs of all
// decisions.
func (x *exchange) log(status int, why reason) {
	x.edge.counters.countOutcome(why)
	x.edge.counters.queue.Update(x.queueTime.Seconds())
	if why.isOutsideLimits() {
		x.edge.gate.Refused(string(why))
		return
	}
	x.logRequest(status, why)
}

func (x *exchange) logRequest(status int, why reason) {
	level := zerolog.InfoLevel
	if why != reasonAnswered && why != reasonCallerLeft {
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
		event.Str("workspace", x.workspace.Name).Dur("lease", x.leaseLeft)
	}
	if x.engine != "" {
		event.Str("engine", x.engine).Str("version", x.version).Int("sends", x.sends).Int("resends", x.retries).
			Int("events", x.eventsSent).Dur("first", x.timeToFirst).Dur("pause", x.longestGap)
	}
	if a := x.answer; a.status != 0 && (why != reasonAnswered || a.status >= http.StatusBadRequest) {
		event.Int("engineStatus", a.status).Bool("notExecuted", a.notExecuted).Bool("identified", a.identified).Bool("reused", a.reused)
	}
	if after := x.request.Header.Get(platform.HeaderLastEvent); after != "" {
		event.Str("after", after).Str("resumes", x.request.Header.Get(platform.HeaderResumes)).Str("origin", x.pinnedVersion)
	}
	if x.cause != "" && why != reasonAnswered {
		event.Str("cause", x.cause).Str("fingerprint", strconv.FormatUint(uint64(x.fingerprints()[0]), 16))
	}
	if x.hasTokens {
		event.Int("prompt", x.tokens.Prompt).Int("output", x.tokens.MaxOutput).Int("expected", x.expectedOutput()).
			Str("allocator", x.decision.allocator).Int("runs", x.decision.running)
	}
	if x.decision.reason != "" {
		event.Int("waiting", x.decision.waiting).Dur("wait", x.decision.wait).Float64("capacity", x.decision.capacity).
			Dur("retryAfter", x.decision.retryAfter).Bool("returning", x.decision.likelyRetry)
	}
	now := clock()
	if x.deadline != 0 { // it is 0 if the request was refused before its deadline was read
		event.Dur("left", x.deadline-now)
	}
	event.Dur("queued", x.queueTime).Dur("took", now-x.arrived).Msg("request")
}
