package placement

import (
	"slices"
	"time"
)

// The decisions of this file answer loads under which the engines of a service differ much in speed and their slots are
// nearly all in use. Then the engine that is free when a request arrives is often a slow one, on which a long prompt is
// late or delays the streams that run there, while a fast one becomes free within a few milliseconds.

const (
	// fitMargin is the fraction of the value that a request can still achieve on a typical engine from which a free engine
	// counts as fitting.
	fitMargin = 0.9
	// holdMargin is the time before the last moment at which a request is held back no longer. It covers the interval
	// between two decisions and the way to the engine.
	holdMargin = 40 * time.Millisecond
)

// shouldHold reports whether a request waits for a better engine. value is the one that it achieves on the best free
// engine, less what it takes from others there.
func (c *Core) shouldHold(now time.Duration, s *service, r *trackedRequest, best *engine, value float64) bool {
	if r.PartlyDelivered || s.typicalSlowness == 0 {
		return false
	}
	if c.delaysAnyStream(s, r) {
		value = c.valueAt(now, r, best)
	}
	return value < fitMargin*c.fittedValueAt(now+holdMargin, r, &engine{slowness: s.typicalSlowness})
}

// delaysAnyStream reports whether the prompt of a request is so long that it delays the streams of a typical engine too
// much. Waiting spares nobody then.
func (c *Core) delaysAnyStream(s *service, r *trackedRequest) bool {
	return c.isPaused(r, &engine{slowness: s.typicalSlowness}, float64(r.PromptTokens))
}

// maxQueueShare is the fraction of the time for which a caller waits for a first event that its request may wait for a
// slot. A caller that is refused then still has the time to come back.
const maxQueueShare = 0.35

// waitsTooLong reports whether a request has waited for as long as it may.
func (r *trackedRequest) waitsTooLong(now time.Duration) bool {
	patience := min(r.FirstEventDeadline, r.Deadline) - r.ArrivedAt
	return !r.PartlyDelivered && now-r.ArrivedAt > time.Duration(maxQueueShare*float64(patience))
}

// refuseLongWaits rejects the requests that got no slot and have waited for as long as they may. A request that comes late,
// because an earlier attempt failed or the allocator changed, has been offered the free slots by then.
func (c *Core) refuseLongWaits(now time.Duration, s *service) {
	c.rejectWaiting(now, s, func(_ int, r *trackedRequest) (Reason, time.Duration) {
		if !r.waitsTooLong(now) {
			return "", 0
		}
		return ReasonOverload, c.expectedWait(now, s, r)
	})
}

// medianSlowness returns the median slowness of the engines of a service that are in normal use, 0 without one.
func (c *Core) medianSlowness(now time.Duration, s *service) float64 {
	c.slownesses = c.slownesses[:0]
	for _, e := range s.engines {
		if (c.scope == "" || e.DataCentre == c.scope) && !e.Leaving && now >= e.suspendedUntil && !e.probation && !e.throttled {
			c.slownesses = append(c.slownesses, e.slowness)
		}
	}
	if len(c.slownesses) == 0 {
		return 0
	}
	slices.Sort(c.slownesses)
	return c.slownesses[len(c.slownesses)/2]
}

// pauseMargin is the factor by which a pause between two events may be underestimated: prompts take longer beside
// running streams than the learned time states.
const pauseMargin = 1.3

// isPaused reports whether the events of a stream on an engine come too late while prompts of the given length are
// pending there. An event takes the time of its tokens and that of the prompts which are processed between them.
func (c *Core) isPaused(r *trackedRequest, e *engine, pending float64) bool {
	if r.EventGap <= 0 {
		return false
	}
	event := float64(r.TokensPerEvent) * c.latency.stepMS
	prompts := min(pending, float64(r.TokensPerEvent)*chunkTokens) * c.latency.prefillMS
	return milliseconds(pauseMargin*(event+prompts)*e.slowness) > r.EventGap
}

// isLate reports whether a running request can be late no more because it is already.
func (r *trackedRequest) isLate(now time.Duration) bool {
	if r.started {
		return r.firstEventAt > r.FirstEventDue
	}
	return now > r.FirstEventDue
}

// marginalHarm returns the value that the prompt of r takes from the runs on an engine, relative to the value of r.
// Those that are late already, or that pending prompts make late anyway, lose nothing more.
func (c *Core) marginalHarm(now time.Duration, r *trackedRequest, e *engine) float64 {
	pending := e.pendingPromptTokens()
	harm := 0.0
	for _, other := range e.runs {
		if other.isLate(now) {
			continue
		}
		besides := pending
		if !other.started {
			besides -= float64(other.PromptTokens)
		}
		if !c.isPaused(other, e, besides) && c.isPaused(other, e, besides+float64(r.PromptTokens)) {
			harm += (1 - lateValue) * other.value
		}
	}
	return harm / r.value
}

// fitsNow reports whether a free engine fits a request. Other requests that wait meanwhile are held back.
func (c *Core) fitsNow(now time.Duration, s *service, r *trackedRequest) bool {
	free := c.freeEngines(now, s)
	if len(free) == 0 {
		return false
	}
	engine, value := c.bestEngine(now, r, free)
	return engine != nil && !c.shouldHold(now, s, r, engine, value)
}

// fittedValueAt is valueAt with learned errors of the estimates and with the pauses that pending prompts cause.
func (c *Core) fittedValueAt(now time.Duration, r *trackedRequest, e *engine) float64 {
	first := c.estimateFirstEvent(e, r)
	usual, worst := c.firstEventErrors.of(r.PromptTokens).apply(first)
	end := now + usual + time.Duration(float64(c.latency.timeToFinish(e, r)-c.latency.timeToFirstEvent(e, r))*finishTimeMargin)
	switch {
	case end > r.Deadline || now+worst > r.FirstEventDeadline:
		return missedDeadlineValue
	case now+usual > r.FirstEventDue || c.isPaused(r, e, e.pendingPromptTokens()):
		return lateValue
	}
	return 1
}

// estimateFirstEvent estimates the time from the grant of a request to its first event.
func (c *Core) estimateFirstEvent(e *engine, r *trackedRequest) time.Duration {
	return c.latency.timeToFirstEvent(e, r) + prefillOverhead
}

// learnFirstEventError learns from a run that has had its first event.
func (c *Core) learnFirstEventError(now time.Duration, r *trackedRequest) {
	if c.features.BestFit {
		c.firstEventErrors.learn(r.PromptTokens, now-r.grantedAt, r.firstEventEstimate)
	}
}

// learnMissingFirstEvent learns from a run that was cancelled before its first event.
func (c *Core) learnMissingFirstEvent(now time.Duration, r *trackedRequest) {
	if c.features.BestFit {
		c.firstEventErrors.learnMissing(r.PromptTokens, now-r.grantedAt, r.firstEventEstimate)
	}
}

// idleWindow is how long after slots were left free the service counts as having room. It covers a few ends of runs.
const idleWindow = 300 * time.Millisecond

// leavesSlots reports whether a waiting request leaves free slots to others by choice, so that nobody waits for it.
func (s *service) leavesSlots(now time.Duration, r *trackedRequest) bool {
	return r.held && now-s.idleAt <= idleWindow
}
