package placement

import (
	"time"

	"github.com/rs/zerolog"
)

// Health is the state of an engine as derived from the outcomes of its runs.
type Health string

// States of an engine.
const (
	HealthUsable    Health = "usable"
	HealthSuspended Health = "rests" // gets no requests for a while, then one at a time until it responds
	HealthThrottled Health = "paced" // gets one request at a time, with a pause after each failure
)

// HealthMessage is the log message for a HealthChange.
const HealthMessage = "health of an engine changed"

// HealthChange reports that the health of an engine has changed.
type HealthChange struct {
	Engine              string
	Service             string
	Health              Health
	Outcome             Outcome // outcome of the run that caused the change
	FailureRate         float64 // decaying fraction of failed runs
	ConsecutiveFailures int     // failures since the last response
	Running             int     // number of requests on the engine
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (h *HealthChange) MarshalZerologObject(event *zerolog.Event) {
	event.Str("engine", h.Engine).Str("service", h.Service).Str("health", string(h.Health)).Stringer("outcome", h.Outcome).
		Float64("failures", h.FailureRate).Int("inRow", h.ConsecutiveFailures).Int("runs", h.Running)
}

func (e *engine) health() Health {
	switch {
	case e.throttled:
		return HealthThrottled
	case e.probation:
		return HealthSuspended
	}
	return HealthUsable
}

// maxHealthChanges bounds the changes that are kept if the caller does not fetch them.
const maxHealthChanges = 1000

// recordHealthChange appends a HealthChange if the health of an engine differs from its former one.
func (c *Core) recordHealthChange(e *engine, before Health, outcome Outcome) {
	if now := e.health(); now != before && len(c.healthChanges) < maxHealthChanges {
		c.healthChanges = append(c.healthChanges, HealthChange{
			Engine: e.ID, Service: e.Service, Health: now, Outcome: outcome,
			FailureRate: e.failureRate, ConsecutiveFailures: e.consecutiveFailures, Running: len(e.runs),
		})
	}
}

// HealthChanges returns the changes since the last call.
func (c *Core) HealthChanges() []HealthChange {
	changes := c.healthChanges
	c.healthChanges = nil
	return changes
}

// maySuspend reports whether one more engine of the service may be suspended because of failures.
func (s *service) maySuspend(now time.Duration) bool {
	suspended := 0
	for _, e := range s.engines {
		if now < e.suspendedUntil || e.probation {
			suspended++
		}
	}
	return float64(suspended+1) <= max(maxSuspendedShare*float64(len(s.engines)), 1)
}

// mayThrottle reports whether one more engine of the service may be throttled because of failures.
func (s *service) mayThrottle(now time.Duration) bool {
	unavailable := 0
	for _, e := range s.engines {
		if now < e.suspendedUntil || e.probation || e.throttled {
			unavailable++
		}
	}
	return float64(unavailable+1) <= maxThrottledShare*float64(len(s.engines))
}
