package placement

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxRest bounds the rest that an engine can request, so that an absurd value does not remove the
	// engine for good.
	maxRest = 2 * time.Minute
	// noticeRetention is how long a leaving notice is kept at least, even if the engine is no longer
	// listed. A list may lack an engine because its entry could not be decoded.
	noticeRetention = 10 * time.Second
)

// Notices holds what engines have stated about themselves in their responses: that they are leaving, that
// they want no requests from this instance for some time, or how many requests a second they take. It is safe for concurrent use.
//
// Invariant: a leaving notice is final for an engine ID while the engine is listed, since the ID changes when
// the engine restarts.
type Notices struct {
	mu      sync.Mutex
	leaving map[string]time.Duration // time of the notice by engine ID
	rests   map[string]time.Duration // end of the rest by engine ID
	limits  *rateLimits
	brittle map[string]time.Duration // until when the engines of a service count as brittle
}

// NewNotices returns Notices without an entry.
func NewNotices() *Notices {
	return &Notices{leaving: map[string]time.Duration{}, rests: map[string]time.Duration{}, limits: newRateLimits(), brittle: map[string]time.Duration{}}
}

// RecordLeaving records that an engine is leaving. It reports whether that was not known before.
func (n *Notices) RecordLeaving(now time.Duration, engine string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.leaving[engine]; known {
		return false
	}
	n.leaving[engine] = now
	return true
}

// RecordRest records that an engine wants no requests from this instance for d, which is bounded by maxRest.
// It returns the end of the rest.
func (n *Notices) RecordRest(now time.Duration, engine string, d time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.rests, func(_ string, until time.Duration) bool { return now >= until })
	n.rests[engine] = max(n.rests[engine], now+min(d, maxRest))
	return n.rests[engine]
}

// MayUse reports whether this instance may send a new request to an engine.
func (n *Notices) MayUse(now time.Duration, engine string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, leaving := n.leaving[engine]
	return !leaving && now >= n.rests[engine]
}

// Leaving returns the IDs of the engines that stated that they are leaving.
func (n *Notices) Leaving() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Sorted(maps.Keys(n.leaving))
}

// Rests returns the ends of the current rests by engine ID.
func (n *Notices) Rests(now time.Duration) map[string]time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	rests := map[string]time.Duration{}
	for engine, until := range n.rests {
		if until > now {
			rests[engine] = until
		}
	}
	return rests
}

// Apply returns a copy of a new list of engines in which the engines that stated so are leaving. It removes
// the notices of engines that are no longer listed.
func (n *Notices) Apply(now time.Duration, list []Engine) []Engine {
	n.mu.Lock()
	defer n.mu.Unlock()
	listed := make(map[string]bool, len(list))
	out := slices.Clone(list)
	for i := range out {
		listed[out[i].ID] = true
		if _, leaving := n.leaving[out[i].ID]; leaving {
			out[i].Leaving = true
		}
	}
	maps.DeleteFunc(n.leaving, func(engine string, at time.Duration) bool {
		return !listed[engine] && now-at > noticeRetention
	})
	n.limits.prune(now, listed)
	return out
}
