package placement

import "time"

const (
	// minRate is the lowest rate at which an engine with a stated limit is used, in requests a second. A lower one
	// would never show that the limit has ended.
	minRate = 0.1
	// rateBurstTime is the time whose requests may be sent at once after a pause. The users accept half of the
	// requests of four seconds.
	rateBurstTime = 500 * time.Millisecond
	// roundingError is the error of a level that is the sum of many small parts.
	roundingError = 1e-6
)

// pacer keeps the requests to an engine within its rate limit. It starts without a request to give away, since a
// former allocator may have used all.
type pacer struct {
	rate    float64 // requests a second from all instances
	level   float64 // requests that may be sent now
	updated time.Duration
}

// burst returns the maximum level for a share of the limit.
func (p *pacer) burst(share float64) float64 {
	return 1 + p.rate*share*rateBurstTime.Seconds()
}

func (p *pacer) refill(now time.Duration, share float64) {
	p.level = min(p.level+p.rate*share*(now-p.updated).Seconds(), p.burst(share))
	p.updated = now
}

// SetRateLimits replaces the rate limits of the engines.
func (c *Core) SetRateLimits(now time.Duration, limits []RateLimit) {
	former := c.pacers
	c.pacers = map[string]*pacer{}
	for _, limit := range limits {
		if limit.Lifted {
			continue
		}
		p := former[limit.Engine]
		if p == nil {
			p = &pacer{updated: now}
		}
		p.refill(now, c.quotaShare)
		p.rate = max(limit.PerSecond, minRate)
		c.pacers[limit.Engine] = p
	}
}

// RestartRateLimits takes the requests away that engines with a rate limit may get at once, because another core may
// have sent them.
func (c *Core) RestartRateLimits(now time.Duration) {
	for _, p := range c.pacers {
		p.level, p.updated = 0, now
	}
}

// isWithinRate reports whether the rate limit of an engine allows a request now.
func (c *Core) isWithinRate(now time.Duration, engineID string) bool {
	p := c.pacers[engineID]
	if p == nil {
		return true
	}
	p.refill(now, c.quotaShare)
	return p.level >= 1-roundingError
}

// addToRate changes how many requests the rate limit of an engine allows now: -1 for a request that is sent, 1 for one
// that was not sent after all.
func (c *Core) addToRate(engineID string, requests float64) {
	if p := c.pacers[engineID]; p != nil {
		p.level = min(p.level+requests, p.burst(c.quotaShare))
	}
}

// usableSlots returns the number of slots of an engine that its rate limit lets requests of the given slot time fill.
// The slots count as those of an engine of average speed.
func (c *Core) usableSlots(e *engine, perRequest time.Duration) float64 {
	slots := float64(e.usableSlots()) / max(e.slowness, minSlowness)
	if p := c.pacers[e.ID]; p != nil && perRequest > 0 {
		slots = min(slots, p.rate*c.quotaShare*perRequest.Seconds())
	}
	return slots
}
