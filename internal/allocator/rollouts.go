package allocator

import (
	"time"

	"github.com/primrosebeam/primrosebeam/placement"
)

// SetRollouts replaces the orders of all services.
func (a *Allocator) SetRollouts(orders []placement.Rollout) {
	a.enqueue(event{orders: append([]placement.Rollout{}, orders...)})
}

// decideRollouts passes on the decisions about the orders in progress.
func (a *Allocator) decideRollouts(now time.Duration) {
	total := a.core.ExposureInProgress()
	a.exposed.Set(float64(total.Exposed))
	a.exposedOf.Set(float64(total.Requests))
	for _, d := range a.core.RolloutDecisions(now) {
		status := a.core.RolloutStatus(d.Service)
		a.options.Logger.Info().Str("service", d.Service).Uint64("number", d.Number).Stringer("state", d.State).
			Str("reason", d.Reason).Int("exposed", status.Exposed).Int("requests", status.Requests).Msg("roll-out decided")
		if a.options.OnRollout != nil {
			a.options.OnRollout(d)
		}
	}
}
