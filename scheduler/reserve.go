package scheduler

import (
	"math"
	"time"
)

const (
	reserveCachedFraction = 0.5 // fraction of a prompt that must be cached to use an engine's reserve
	lowestTierReserve     = 0.1 // fraction of the reserve for the lowest tier; see newTierQueues
	reserveCandidates     = 32  // waiting requests examined when a reserve slot becomes free
)

// dispatchToReserve dispatches a request that has just arrived and found no open engine to an engine
// with a free reserve slot that has its prefix cached. It does nothing while requests of higher tiers
// wait.
func (s *Scheduler) dispatchToReserve(now time.Time, e *entry) {
	if e.list == nil || e.service.plain() || e.service.mostUrgent() != e.flow.queue {
		return
	}
	if !e.flow.withinFairShare(e, e.flow.queue.leastTag()) {
		return
	}
	c := reserveChoice{entry: e, cached: reserveCachedFraction * float64(e.request.PromptTokens)}
	if len(e.service.members) <= exhaustiveSearchLimit {
		for _, m := range e.service.members {
			c.consider(m)
		}
	} else {
		for _, number := range s.prefixes.find(e.request.Prefix) {
			if number > 0 && s.members[number-1].serves(e.service) {
				c.consider(s.members[number-1])
			}
		}
	}
	if c.best != nil {
		s.send(now, e, c.best)
	}
}

// reserveChoice tracks the engine that has cached most of a prompt among those with a free reserve slot.
type reserveChoice struct {
	entry  *entry
	best   *server
	cached float64 // prompt tokens cached on best; initially the required minimum
}

func (c *reserveChoice) consider(m *server) {
	if !m.accepts() || !m.view.HasFreeReserveSlot(c.entry.flow.queue.reserve) {
		return
	}
	if cached := cachedTokens(m, c.entry); cached > c.cached {
		c.best, c.cached = m, cached
	}
}

// fillReserve assigns a reserve slot of the engine on which an attempt ended in this step to a waiting
// request of the most urgent tier. The request's prefix must be cached there, unless allowsUncached
// permits any request.
func (s *Scheduler) fillReserve(now time.Time) {
	m := s.freedEngine
	s.freedEngine = nil
	if m == nil || !m.accepts() {
		return
	}
	for _, sv := range m.services {
		if q := sv.mostUrgent(); q != nil && !sv.plain() && m.view.HasFreeReserveSlot(q.reserve) {
			if e := q.bestCachedRequest(m, s.allowsUncached(q)); e != nil {
				s.send(now, e, m)
				return
			}
		}
	}
}

// leastTag returns the smallest start tag of the flows with waiting requests.
func (q *tierQueue) leastTag() float64 {
	least := math.Inf(1)
	for _, f := range q.active {
		least = min(least, f.Tag())
	}
	return least
}

// withinFairShare reports whether the flow is ahead of its fair share by at most the cost of its
// request e, so that a workspace with cached prefixes cannot take the slots of the others. least is
// the smallest start tag of the tier.
func (f *flow) withinFairShare(e *entry, least float64) bool {
	return f.Tag() <= least+e.cost/f.Weight()
}

// mostUrgent returns the queue of the highest tier with a waiting request, nil when no request waits.
func (sv *service) mostUrgent() *tierQueue {
	for _, q := range sv.tiers {
		if q.waiting > 0 {
			return q
		}
	}
	return nil
}

// allowsUncached reports whether a request of the tier may take the slot that became free on an engine
// although its prefix is not cached there. When other instances share the engine, its reserve stays in
// use while a request waits here. Without this rule the requests in flight would never fall below this
// instance's small share, and an uncached request would find no free slot.
func (s *Scheduler) allowsUncached(q *tierQueue) bool {
	return len(s.peers) > 0 && q.tier == 0
}

// bestCachedRequest returns the request with the largest cached fraction of its prompt on the engine,
// among the first requests of the flows. It returns nil when no request has more than
// reserveCachedFraction cached, unless allowUncached is set.
func (q *tierQueue) bestCachedRequest(m *server, allowUncached bool) *entry {
	var best *entry
	highest := reserveCachedFraction
	if allowUncached {
		highest = -1
	}
	remaining, least := reserveCandidates, q.leastTag()
	for _, f := range q.active {
		for e := f.onTime.first; e != nil && remaining > 0 && f.withinFairShare(e, least); e = e.next {
			remaining--
			fraction := cachedTokens(m, e) / float64(max(e.request.PromptTokens, 1))
			if fraction > highest {
				best, highest = e, fraction
			}
		}
	}
	return best
}

func (m *server) serves(sv *service) bool {
	for _, candidate := range m.services {
		if candidate == sv {
			return true
		}
	}
	return false
}
