package scheduler

import "time"

const (
	evaluateAll  = 16   // open engines up to which each is evaluated
	sampled      = 8    // engines that are evaluated beyond that, besides those with the prefix
	choiceJitter = 0.05 // part by which estimates vary, so that instances with the same view spread
)

// dispatch hands out waiting requests while engines have room.
func (s *Scheduler) dispatch(now time.Time) {
	n := len(s.ordered)
	s.turn++
	for i := range n {
		sv := s.ordered[(s.turn+i)%n]
		for s.dispatchOne(now, sv) {
		}
	}
}

// dispatchOne dispatches the request of the service that is next in order and can be served.
func (s *Scheduler) dispatchOne(now time.Time, sv *service) bool {
	if sv.waiting == 0 || len(sv.open) == 0 {
		return false
	}
	if g := s.reserved(sv); g != nil && s.dispatchGroup(now, sv, g) {
		return true
	}
	for _, g := range sv.groups {
		if g.waiting > 0 && s.dispatchGroup(now, sv, g) {
			return true
		}
	}
	return false
}

// reserved returns the tier that is owed engine time by its minimumShare, nil when there is none.
func (s *Scheduler) reserved(sv *service) *group {
	for _, g := range sv.groups {
		if g.credit > 0 && g.waiting > 0 {
			return g
		}
	}
	return nil
}

func (s *Scheduler) dispatchGroup(now time.Time, sv *service, g *group) bool {
	for e := g.retries.first; e != nil; e = e.next {
		if m := s.choose(now, sv, e); m != nil {
			s.send(now, e, m)
			return true
		}
	}
	_, list := g.next()
	if list == nil {
		return false
	}
	e := s.lookAhead(sv, g, list)
	m := s.choose(now, sv, e)
	if m == nil {
		return false
	}
	s.send(now, e, m)
	return true
}

// choose returns the open engine with the least expected completion time, nil when every one has
// refused the request.
func (s *Scheduler) choose(now time.Time, sv *service, e *entry) *server {
	c := choice{scheduler: s, now: now, entry: e, affinity: sv.affinity(e)}
	if len(sv.members) <= evaluateAll {
		for _, m := range sv.members {
			c.considerAffinity(m)
		}
		return c.best
	}
	for _, number := range s.prefixes.find(e.request.Prefix) {
		if number > 0 && s.members[number-1].serves(sv) {
			c.considerAffinity(s.members[number-1])
		}
	}
	if c.affinity != nil {
		c.considerAffinity(c.affinity)
	}
	for range sampled {
		c.consider(sv.open[s.rand.IntN(len(sv.open))])
	}
	if c.best != nil {
		return c.best
	}
	for _, m := range sv.open {
		c.consider(m)
	}
	return c.best
}

// choice collects the best engine for an entry.
type choice struct {
	scheduler *Scheduler
	now       time.Time
	entry     *entry
	affinity  *server // counts as having part of the prefix
	best      *server
	expected  float64
}

// considerAffinity considers an engine that is open, or has a place in its reserve and the prefix.
func (c *choice) considerAffinity(m *server) {
	if !m.accepts() {
		return
	}
	if m.view.HasFreeSlot() {
		c.consider(m)
		return
	}
	prompt := float64(c.entry.request.PromptTokens)
	if prompt > 0 && m.view.HasFreeReserveSlot(c.entry.flow.group.reserve) && cachedTokens(m, c.entry) > reservePart*prompt {
		c.consider(m)
	}
}

func (c *choice) consider(m *server) {
	e := c.entry
	if e.refusals > 0 && e.refusedByServer(m) {
		return
	}
	prompt := float64(e.request.PromptTokens)
	cached := cachedTokens(m, e)
	if m == c.affinity {
		cached = max(cached, affinityPart*prompt)
	}
	expected := float64(m.view.ExpectedDuration(c.now, prompt, cached, e.output))
	expected *= 1 + choiceJitter*c.scheduler.rand.Float64()
	if c.best == nil || expected < c.expected {
		c.best = m
		c.expected = expected
	}
}

// cachedTokens estimates the prompt tokens of a request that the engine has cached.
func cachedTokens(m *server, e *entry) float64 {
	blocks := len(e.request.Prefix)
	if blocks == 0 {
		return 0
	}
	share := float64(m.view.Prefix.Match(e.request.Prefix)) / float64(blocks)
	return share * m.view.Prefix.Confidence() * float64(e.request.PromptTokens)
}

// send dispatches a waiting entry to an engine with room.
func (s *Scheduler) send(now time.Time, e *entry, m *server) {
	sv, g := e.service, e.flow.group
	s.dequeue(e)
	e.server = m
	e.dispatched = now
	e.flight.Prompt = float64(e.request.PromptTokens)
	e.flight.Cached = cachedTokens(m, e)
	e.flight.FirstToken = s.policy.Tiers[e.tier].FirstToken
	e.flight.BetweenTokens = s.policy.Tiers[e.tier].BetweenTokens
	e.charged = sv.estimate(e.flight.Prompt-e.flight.Cached, e.output)
	g.charge(e.flow, e.charged)
	s.grant(sv, g, e.charged)
	m.view.Start(now, &e.flight)
	m.view.Prefix.Add(e.request.Prefix)
	s.prefixes.add(e.request.Prefix, m.number)
	m.updateOpen()
	s.inFlight++
	s.counters.Dispatched++
	s.decide(Decision{Kind: DecideDispatch, ID: e.request.ID, Engine: m.config.Name})
}

// grant gives every tier that waits its minimumShare of the dispatched engine time.
func (s *Scheduler) grant(sv *service, from *group, cost float64) {
	if from.credit > 0 {
		from.credit -= cost
	}
	for _, g := range sv.groups[1:] {
		share := s.policy.Tiers[g.tier].MinimumShare
		if share > 0 && g.waiting > 0 {
			g.credit = min(g.credit+share*cost, cost)
		}
	}
}
