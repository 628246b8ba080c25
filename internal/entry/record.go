package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// record logs the end of a request and updates its metrics.
func (x *exchange) record(duration time.Duration, problem *Problem) {
	status := x.status
	kind := ""
	if problem != nil {
		status = problem.Status
		kind = problem.Type
	}
	tier := x.tierName()
	tierMetrics := x.handler.metricsOf(metricsKey{tier: tier, outcome: x.outcome})
	tierMetrics.requests.Inc()
	tierMetrics.seconds.Update(duration.Seconds())
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

// metricsKey identifies the metrics of a request.
type metricsKey struct {
	tier    string
	outcome Outcome
}

// requestMetrics holds the counter of one tier and outcome and the duration histogram of the tier over all
// outcomes.
type requestMetrics struct {
	requests *metrics.Counter
	seconds  *metrics.Histogram
}

// metricsOf returns the metrics of a key. They are cached, so that their names are formatted only once.
func (h *Handler) metricsOf(key metricsKey) *requestMetrics {
	if known, found := h.metricsByKey.Load(key); found {
		return known.(*requestMetrics)
	}
	created := &requestMetrics{
		requests: h.options.Metrics.GetOrCreateCounter(
			fmt.Sprintf("primrosebeam_entry_requests_total{tier=%q,outcome=%q}", key.tier, key.outcome)),
		seconds: h.options.Metrics.GetOrCreateHistogram(
			fmt.Sprintf("primrosebeam_entry_request_seconds{tier=%q}", key.tier)),
	}
	h.metricsByKey.Store(key, created)
	return created
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

// count increments a counter of this package; name may contain labels.
func (h *Handler) count(name string) {
	h.options.Metrics.GetOrCreateCounter("primrosebeam_entry_" + name).Inc()
}
