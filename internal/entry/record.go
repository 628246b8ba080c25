package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// record logs and counts the end of a request.
func (x *exchange) record(duration time.Duration, problem *Problem) {
	status := x.status
	kind := ""
	if problem != nil {
		status = problem.Status
		kind = problem.Type
	}
	tier := x.tierName()
	meter := x.handler.meter(meterKey{tier: tier, outcome: x.outcome})
	meter.requests.Inc()
	meter.seconds.Update(duration.Seconds())
	x.handler.options.Logger.Info().
		Str("request", x.id).
		Str("workspace", x.workspaceName()).
		Str("tier", tier).
		Str("engine", x.engine).
		Str("outcome", string(x.outcome)).
		Int("status", status).
		Str("problem", kind).
		Dur("milliseconds", duration).
		Msg("request ended")
}

// meterKey selects the metrics of a request.
type meterKey struct {
	tier    string
	outcome Outcome
}

// requestMeter counts requests of one tier and outcome, and the time of all of the tier.
type requestMeter struct {
	requests *metrics.Counter
	seconds  *metrics.Histogram
}

// meter returns the metrics of a key; their names are put together once.
func (h *Handler) meter(key meterKey) *requestMeter {
	if known, found := h.meters.Load(key); found {
		return known.(*requestMeter)
	}
	made := &requestMeter{
		requests: h.options.Metrics.GetOrCreateCounter(
			fmt.Sprintf("primrosebeam_entry_requests_total{tier=%q,outcome=%q}", key.tier, key.outcome)),
		seconds: h.options.Metrics.GetOrCreateHistogram(
			fmt.Sprintf("primrosebeam_entry_request_seconds{tier=%q}", key.tier)),
	}
	h.meters.Store(key, made)
	return made
}

func (x *exchange) tierName() string {
	if x.view == nil || x.route.Service == nil || x.tier >= len(x.view.Document().Tiers) {
		return "none"
	}
	return x.view.Document().Tiers[x.tier].Name
}

func (x *exchange) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

// count adds one to a counter of this package; name may carry labels.
func (h *Handler) count(name string) {
	h.options.Metrics.GetOrCreateCounter("primrosebeam_entry_" + name).Inc()
}
