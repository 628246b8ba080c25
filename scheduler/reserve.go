package scheduler

import (
	"math"
	"time"
)

const (
	reservePart     = 0.5 // part of a prompt that must be cached to use an engine's reserve
	lowestReserve   = 0.1 // part of the reserve for the lowest tier: a flood of it that fills the reserves slows the streams of urgent requests
	reserveRequests = 32  // waiting requests that are looked at when a place in a reserve becomes free
)

// sendHome dispatches a request that has just arrived and found no open engine to one that has its
// prefix cached and a place in its reserve. Requests of higher tiers that wait come first.
func (s *Scheduler) sendHome(now time.Time, e *entry) {
	if e.list == nil || e.service.plain() || e.service.mostUrgent() != e.flow.group {
		return
	}
	if !e.flow.inTurn(e, e.flow.group.leastTag()) {
		return
	}
	c := reserveChoice{entry: e, most: reservePart * float64(e.request.PromptTokens)}
	if len(e.service.members) <= evaluateAll {
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

// reserveChoice collects the engine with most of a prompt among those with a place in the reserve.
type reserveChoice struct {
	entry *entry
	best  *server
	most  float64 // tokens
}

func (c *reserveChoice) consider(m *server) {
	if !m.accepts() || !m.view.HasFreeReserveSlot(c.entry.flow.group.reserve) {
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
	if m == nil || !m.accepts() {
		return
	}
	for _, sv := range m.services {
		if g := sv.mostUrgent(); g != nil && !sv.plain() && m.view.HasFreeReserveSlot(g.reserve) {
			if e := g.suited(m, s.replaces(g)); e != nil {
				s.send(now, e, m)
				return
			}
		}
	}
}

// leastTag returns the smallest tag of the flows that wait.
func (g *group) leastTag() float64 {
	least := math.Inf(1)
	for _, f := range g.active {
		least = min(least, f.tag)
	}
	return least
}

// inTurn reports whether a flow is ahead of its fair share by no more than the given request of it,
// so that a workspace with cached prefixes cannot take the places of the others. least is the
// smallest tag of the group.
func (f *flow) inTurn(e *entry, least float64) bool { return f.tag <= least+e.cost/f.weight }

// mostUrgent returns the highest tier of which a request waits, nil when none does.
func (sv *service) mostUrgent() *group {
	for _, g := range sv.groups {
		if g.waiting > 0 {
			return g
		}
	}
	return nil
}

// replaces reports whether a request of the tier may take the place of one that has left an engine
// although its prefix is not cached there. With other instances on the engine, its reserves stay in
// use while a request waits here, so that it would never fall below this instance's small share.
func (s *Scheduler) replaces(g *group) bool {
	return len(s.peers) > 0 && g.tier == 0
}

// suited returns the request with most of its prompt cached on an engine among the first ones of
// the flows, nil when none has enough and no other may go there.
func (g *group) suited(m *server, any bool) *entry {
	var best *entry
	most := reservePart
	if any {
		most = -1
	}
	left, least := reserveRequests, g.leastTag()
	for _, f := range g.active {
		for e := f.onTime.first; e != nil && left > 0 && f.inTurn(e, least); e = e.next {
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
