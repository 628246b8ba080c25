package placement

import (
	"maps"
	"sync/atomic"
	"time"
)

// RateLimit is what an engine states about the number of requests a second that it takes from all instances
// together.
type RateLimit struct {
	Engine    string
	PerSecond float64
	Lifted    bool // the engine states no limit any more
	// At dates the evidence, by the clock of this instance: the arrival of the response that states the limit, or
	// the sending of the request whose response states none. A response that was on its way before a limit was
	// known therefore never lifts it.
	At time.Duration
}

// rateLimitRefresh is the interval at which a limit that stays the same is reported again. Evidence that another
// instance has of its end may be older than what is seen here.
const rateLimitRefresh = time.Second

// rateLimits holds the rate limits that engines state. Of two statements about an engine the one with the newer
// evidence counts, in whatever order they arrive from other instances. The owner of the value serializes changes.
type rateLimits struct {
	known    map[string]RateLimit // keyed by engine ID
	reported map[string]time.Duration
	active   atomic.Pointer[map[string]float64] // limits in force, in requests a second
}

func newRateLimits() *rateLimits {
	l := &rateLimits{known: map[string]RateLimit{}, reported: map[string]time.Duration{}}
	l.publish()
	return l
}

func (l *rateLimits) publish() {
	active := map[string]float64{}
	for engine, limit := range l.known {
		if !limit.Lifted {
			active[engine] = limit.PerSecond
		}
	}
	l.active.Store(&active)
}

func (l *rateLimits) record(limit RateLimit) (changed bool) {
	former, known := l.known[limit.Engine]
	if known && limit.At <= former.At || !known && limit.Lifted {
		return false
	}
	l.known[limit.Engine] = limit
	if known && former.Lifted == limit.Lifted && former.PerSecond == limit.PerSecond {
		return false
	}
	l.publish()
	return true
}

// RecordRateLimit records a rate limit that this or another instance has seen. It reports whether it changes what
// is in force.
func (n *Notices) RecordRateLimit(limit RateLimit) (changed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limits.record(limit)
}

// ObserveRateLimit records what a response to a request sent at sentAt states about the rate limit of its engine.
// report states whether other instances have to learn of it.
func (n *Notices) ObserveRateLimit(now, sentAt time.Duration, engine string, perSecond float64, stated bool) (limit RateLimit, report bool) {
	if _, limited := n.RateLimit(engine); !stated && !limited {
		return RateLimit{}, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	limit = RateLimit{Engine: engine, PerSecond: perSecond, At: now}
	if !stated {
		limit = RateLimit{Engine: engine, Lifted: true, At: sentAt}
	}
	if n.limits.record(limit) || stated && now-n.limits.reported[engine] >= rateLimitRefresh {
		n.limits.reported[engine] = now
		return limit, true
	}
	return RateLimit{}, false
}

// RateLimit returns the rate limit of an engine, in requests a second from all instances together. limited is false
// if the engine states none.
func (n *Notices) RateLimit(engine string) (perSecond float64, limited bool) {
	perSecond, limited = (*n.limits.active.Load())[engine]
	return perSecond, limited
}

// RateLimits returns what is known about rate limits, including those that were lifted.
func (n *Notices) RateLimits() []RateLimit {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]RateLimit, 0, len(n.limits.known))
	for _, limit := range n.limits.known {
		list = append(list, limit)
	}
	return list
}

// prune removes the limits of engines that have not been listed for noticeRetention.
func (l *rateLimits) prune(now time.Duration, listed map[string]bool) {
	before := len(l.known)
	maps.DeleteFunc(l.known, func(engine string, limit RateLimit) bool {
		return !listed[engine] && now-limit.At > noticeRetention
	})
	maps.DeleteFunc(l.reported, func(engine string, _ time.Duration) bool { _, known := l.known[engine]; return !known })
	if len(l.known) != before {
		l.publish()
	}
}

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
	slots := float64(e.Slots) / max(e.slowness, minSlowness)
	if p := c.pacers[e.ID]; p != nil && perRequest > 0 {
		slots = min(slots, p.rate*c.quotaShare*perRequest.Seconds())
	}
	return slots
}
