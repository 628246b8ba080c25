package entry

import (
	"fmt"
	"time"
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
	x.handler.count(fmt.Sprintf("requests_total{tier=%q,outcome=%q}", tier, x.outcome))
	x.handler.options.Metrics.GetOrCreateHistogram(
		fmt.Sprintf("primrosebeam_entry_request_seconds{tier=%q}", tier)).Update(duration.Seconds())
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
