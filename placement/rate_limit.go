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
