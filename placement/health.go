package placement

import (
	"time"

	"github.com/rs/zerolog"
)

// Health is what a core believes of an engine from the ends of its runs.
type Health string

// Healths of an engine.
const (
	HealthUsable    Health = "usable"
	HealthSuspended Health = "rests" // gets no runs for a while, then one at a time until it answers
	HealthThrottled Health = "paced" // gets one run at a time with a pause after each failure
)

// HealthMessage is the message of the log line for a HealthChange.
const HealthMessage = "health of an engine changed"

// HealthChange is a change of what a core believes of an engine.
type HealthChange struct {
	Engine              string
	Service             string
	Health              Health
	Outcome             Outcome // of the run that changed it
	FailureRate         float64 // decaying share of failed runs
	ConsecutiveFailures int     // failures since the last answer
	Running             int
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (h *HealthChange) MarshalZerologObject(event *zerolog.Event) {
	event.Str("engine", h.Engine).Str("service", h.Service).Str("health", string(h.Health)).Stringer("outcome", h.Outcome).
		Float64("failures", h.FailureRate).Int("inRow", h.ConsecutiveFailures).Int("runs", h.Running)
}

func (e *engine) health() Health {
	switch {
	case e.paced:
		return HealthThrottled
	case e.probation:
		return HealthSuspended
	}
	return HealthUsable
}

// mostChanges bounds the changes that are kept for a caller that does not take them.
const mostChanges = 1000

func (c *Core) noteHealth(e *engine, before Health, outcome Outcome) {
	if now := e.health(); now != before && len(c.changes) < mostChanges {
		c.changes = append(c.changes, HealthChange{
			Engine: e.ID, Service: e.Service, Health: now, Outcome: outcome,
			FailureRate: e.failures, ConsecutiveFailures: e.failuresInRow, Running: len(e.runs),
		})
	}
}

// HealthChanges returns the changes since the last call.
func (c *Core) HealthChanges() []HealthChange {
	changes := c.changes
	c.changes = nil
	return changes
}

// mayRest reports whether another engine of a service may rest because of failures.
func (s *service) mayRest(now time.Duration) bool {
	resting := 0
	for _, e := range s.engines {
		if now < e.restsUntil || e.probation {
			resting++
		}
	}
	return float64(resting+1) <= max(restingPart*float64(len(s.engines)), 1)
}

// mayPace reports whether another engine of a service may be paced because of failures.
func (s *service) mayPace(now time.Duration) bool {
	out := 0
	for _, e := range s.engines {
		if now < e.restsUntil || e.probation || e.paced {
			out++
		}
	}
	return float64(out+1) <= pacedPart*float64(len(s.engines))
}
