package scheduler

import "time"

const (
	reservePart     = 0.5 // part of a prompt that must be cached to use an engine's reserve
	reserveRequests = 16  // waiting requests that are looked at when a place in a reserve becomes free
)

// sendHome dispatches a request that has just arrived and found no open engine to one that has its
// prefix cached and a place in its reserve. Requests of higher tiers that wait come first.
func (s *Scheduler) sendHome(now time.Time, e *entry) {
	if e.list == nil || e.service.plain() || e.service.mostUrgent() != e.flow.group {
		return
	}
	if !e.flow.group.inTurn(e.flow, e) {
		return
	}
	c := reserveChoice{entry: e, most: reservePart * float64(e.request.PromptTokens)}
	if len(e.service.members) <= evaluateAll {
		for _, m := range e.service.members {
			c.consider(m)
		}
	} else {
		for _, number := range s.homes.find(e.request.Prefix) {
			if number > 0 && s.members[number-1].serves(e.service) {
				c.consider(s.members[number-1])
			}
		}
	}
	if c.best != nil {
		s.send(now, e, c.best)
	}
}

// reserveChoice collects the engine with most of a prompt among those with a place in the reserve.
type reserveChoice struct {
	entry *entry
	best  *server
	most  float64 // tokens
}

func (c *reserveChoice) consider(m *server) {
	if !m.accepts() || !m.view.RoomForCached() {
		return
	}
	if cached := cachedTokens(m, c.entry); cached > c.most {
		c.best, c.most = m, cached
	}
}

// fillReserve gives a place in the reserve of an engine that a request has left to a waiting
// request of the most urgent tier whose prefix is cached there.
func (s *Scheduler) fillReserve(now time.Time) {
	m := s.freed
	s.freed = nil
	if m == nil || !m.accepts() || !m.view.RoomForCached() {
		return
	}
	for _, sv := range m.services {
		if g := sv.mostUrgent(); g != nil && !sv.plain() {
			if e := g.cachedOn(m); e != nil {
				s.send(now, e, m)
				return
			}
		}
	}
}

// inTurn reports whether a flow is ahead of its fair share by no more than the given request of it,
// so that a workspace with cached prefixes cannot take the reserve from the others.
func (g *group) inTurn(f *flow, e *entry) bool {
	least := f.tag
	for _, candidate := range g.active {
		least = min(least, candidate.tag)
	}
	return f.tag <= least+e.cost/f.weight
}

// mostUrgent returns the highest tier of which a request waits, nil when none does.
func (sv *service) mostUrgent() *group {
	for _, g := range sv.groups {
		if g.waiting > 0 {
			return g
		}
	}
	return nil
}

// cachedOn returns the request with most of its prompt cached on an engine among the first ones of
// the flows, nil when none has enough.
func (g *group) cachedOn(m *server) *entry {
	var best *entry
	most := reservePart
	left := reserveRequests
	for _, f := range g.active {
		for e := f.onTime.first; e != nil && left > 0 && g.inTurn(f, e); e = e.next {
			left--
			part := cachedTokens(m, e) / float64(max(e.request.PromptTokens, 1))
			if part > most {
				best, most = e, part
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
