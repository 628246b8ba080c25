package core

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/drain"
	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/platform"
	"github.com/primrosebeam/primrosebeam/rollout"
)

// maxOrderBytes bounds the body of an order.
const maxOrderBytes = 16 << 10

// UnknownServiceError reports an order for a service that the configuration in force does not have.
type UnknownServiceError struct{ Service string }

func (e *UnknownServiceError) Error() string { return "core: field service: no service " + e.Service }

func (c *ControlInstance) handleRolloutStart(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrderBytes))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		c.refuseOrder(w, http.StatusRequestEntityTooLarge, err)
		return
	case err != nil:
		c.refuseOrder(w, http.StatusBadRequest, err)
		return
	}
	drain.EndBody(r)
	order, err := platform.DecodeOrder(content)
	var absurd *rollout.OrderError
	switch {
	case errors.As(err, &absurd):
		c.refuseOrder(w, http.StatusUnprocessableEntity, err)
		return
	case err != nil:
		c.refuseOrder(w, http.StatusBadRequest, err)
		return
	}
	event := c.options.Logger.Info().Str("service", order.Service).Str("target", order.Target).Int64("durationMS", order.DurationMS)
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	if !c.rollouts.isKnownOrder(&order) {
		err = c.checkService(ctx, &order)
	}
	var unknown *UnknownServiceError
	switch {
	case errors.As(err, &unknown):
		c.refuseOrder(w, http.StatusUnprocessableEntity, err)
		return
	case err != nil:
		event.Err(err).Msg("roll-out not acknowledged")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	stored, err := c.rollouts.store(ctx, order)
	event = event.Dur("took", time.Since(started))
	if err != nil {
		status := orderStatus(err)
		event.Err(err).Int("status", status).Msg("roll-out not acknowledged")
		http.Error(w, err.Error(), status)
		return
	}
	if counter := c.rollouts.outcomes[stored.Outcome]; counter != nil {
		counter.Inc()
	}
	event = event.Uint64("number", stored.Rollout.Number).Stringer("state", stored.Rollout.State)
	switch stored.Outcome {
	case rollout.OutcomeStored, rollout.OutcomeKnown:
		event.Bool("stored", stored.Outcome == rollout.OutcomeStored).Msg("roll-out acknowledged")
	case rollout.OutcomeInProgress:
		event.Str("inProgress", stored.Rollout.Target).Msg("roll-out refused: another one is in progress")
		http.Error(w, "another roll-out of the service is in progress", http.StatusConflict)
	default:
		event.Msg("roll-out refused: too many are in progress")
		http.Error(w, "too many roll-outs are in progress", http.StatusServiceUnavailable)
	}
}

func (c *ControlInstance) refuseOrder(w http.ResponseWriter, status int, err error) {
	c.rollouts.refused.Inc()
	c.options.Logger.Info().Err(err).Int("status", status).Msg("roll-out refused")
	http.Error(w, err.Error(), status)
}

// orderStatus returns the status for an order that was not acknowledged. One that the leader does not know how to store
// may be stored by the next leader.
func orderStatus(err error) int {
	var remote *link.RemoteError
	if errors.As(err, &remote) && remote.Code == link.CodeNoHandler {
		return http.StatusServiceUnavailable
	}
	return httpStatus(err)
}

// checkService returns an *UnknownServiceError if the newest configuration, confirmed by a quorum, does not have the
// service of an order that is not known.
func (c *ControlInstance) checkService(ctx context.Context, o *rollout.Order) error {
	confirmed, err := c.confirm(ctx, false)
	if err != nil {
		return err
	}
	if current := c.register.Current(); current.Number >= confirmed.Number {
		confirmed.Number, confirmed.Content = current.Number, current.Content
	} else if confirmed, err = c.confirm(ctx, true); err != nil {
		return err
	}
	return checkConfirmed(o, &confirmed)
}

// checkConfirmed checks the service of an order against what a quorum has confirmed. An order that was stored is in force
// although a later configuration has no such service, and this instance may not have applied it yet.
func checkConfirmed(o *rollout.Order, confirmed *fleet.Confirmed) error {
	if isKnown(o, confirmed.Rollouts) {
		return nil
	}
	if confirmed.Number == 0 {
		return &NoConfigurationError{}
	}
	table, err := fleet.DecodeConfiguration(confirmed.Content)
	if err != nil {
		return err
	}
	if table.Service(o.Service) == nil {
		return &UnknownServiceError{Service: o.Service}
	}
	return nil
}

// isKnownOrder reports whether an order for the same target was stored: it is acknowledged again, whatever the
// configuration says meanwhile.
func (r *rollouts) isKnownOrder(o *rollout.Order) bool {
	return isKnown(o, r.replica.List())
}

func isKnown(o *rollout.Order, orders []rollout.Rollout) bool {
	return slices.ContainsFunc(orders, func(known rollout.Rollout) bool {
		return known.Service == o.Service && known.Target == o.Target
	})
}

func (c *ControlInstance) handleRolloutRead(w http.ResponseWriter, r *http.Request) {
	service := r.PathValue("service")
	found, known, err := c.rollouts.read(r.Context(), service)
	switch {
	case err != nil:
		c.options.Logger.Info().Str("service", service).Err(err).Msg("roll-out not read: it could not be confirmed")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	case !known:
		http.Error(w, "no roll-out of the service was ordered", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	writeBody(w, c, platform.EncodeRollout(&found))
}
