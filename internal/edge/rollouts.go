package edge

import (
	"net/http"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/rollout"
)

// rolloutsChanged puts the orders of a control instance in force.
func (e *Edge) rolloutsChanged(list []rollout.Rollout) {
	e.balancer.SetRollouts(list)
	e.placer.post(placerEvent{kind: eventRollouts, rollouts: list})
	for i := range list {
		r := &list[i]
		e.options.Logger.Info().Str("service", r.Service).Str("target", r.Target).Uint64("number", r.Number).
			Stringer("state", r.State).Msg("roll-out in force")
	}
}

// setLocalRollouts gives the local placement the orders. It never gives a new version anything while its order is active,
// because it does not know what the other instances do.
func (p *placer) setLocalRollouts(now time.Duration, list []rollout.Rollout) {
	orders := make([]placement.Rollout, len(list))
	for i := range list {
		orders[i].Rollout = list[i]
	}
	p.local.SetRollouts(now, orders, nil)
}

// isServerError reports whether the response that was relayed is a server error.
func (x *exchange) isServerError(outcome placement.Outcome) bool {
	return outcome == placement.OutcomeCompleted && x.status >= http.StatusInternalServerError
}

// measure reports a request to a plain service with an order in progress.
func (x *exchange) measure(engine *placement.Engine, sentAt time.Duration, outcome placement.Outcome) {
	switch outcome {
	case placement.OutcomeUnused, placement.OutcomeUnreachable, placement.OutcomeRefused, placement.OutcomeBrittleRefused:
		return // says nothing about the version
	}
	if !x.edge.balancer.IsMeasured(engine.Service) {
		return
	}
	failed := outcome == placement.OutcomeFailed || outcome == placement.OutcomeConnectionLost || x.isServerError(outcome)
	x.edge.placer.post(placerEvent{kind: eventMeasured, service: engine.Service, measured: fleet.MeasuredSample{
		Engine: engine.ID, Route: x.route.Name, Failed: failed, TookUS: max((clock() - sentAt).Microseconds(), 1),
	}})
}
