package scheduler

import "time"

const (
	exhaustiveSearchLimit = 16   // largest number of engines of a service for which every engine is evaluated
	sampleSize            = 8    // random open engines evaluated beyond that, besides those with the prefix
	choiceJitter          = 0.05 // relative variation of estimates, so that instances choose different engines
)

// dispatch sends waiting requests to engines while these have free slots.
func (s *Scheduler) dispatch(now time.Time) {
	n := len(s.ordered)
	s.firstService++
	for i := range n {
		sv := s.ordered[(s.firstService+i)%n]
		for s.dispatchOne(now, sv) {
		}
	}
}

// dispatchOne dispatches the next request of the service, if an engine can take it, and reports
// whether it did.
func (s *Scheduler) dispatchOne(now time.Time, sv *service) bool {
	if sv.waiting == 0 || len(sv.open) == 0 {
		return false
	}
	if q := s.tierWithCredit(sv); q != nil && s.dispatchFromTier(now, sv, q) {
		return true
	}
	for _, q := range sv.tiers {
		if q.waiting > 0 && s.dispatchFromTier(now, sv, q) {
			return true
		}
	}
	return false
}

// tierWithCredit returns the first tier with waiting requests and unused engine time of its
// MinimumShare, nil when there is none.
func (s *Scheduler) tierWithCredit(sv *service) *tierQueue {
	for _, q := range sv.tiers {
		if q.credit > 0 && q.waiting > 0 {
			return q
		}
	}
	return nil
}

func (s *Scheduler) dispatchFromTier(now time.Time, sv *service, q *tierQueue) bool {
	for e := q.retries.first; e != nil; e = e.next {
		if m := s.choose(now, sv, e); m != nil {
			s.send(now, e, m)
			return true
		}
	}
	_, list := q.next()
	if list == nil {
		return false
	}
	e := s.lookAhead(sv, q, list)
	m := s.choose(now, sv, e)
	if m == nil {
		return false
	}
	s.send(now, e, m)
	return true
}

// choose returns the engine with the lowest expected duration for the request, nil when no engine that
// may take it is left.
func (s *Scheduler) choose(now time.Time, sv *service, e *entry) *server {
	c := choice{scheduler: s, now: now, entry: e, affinity: sv.affinity(e)}
	if len(sv.members) <= exhaustiveSearchLimit {
		for _, m := range sv.members {
			c.considerWithReserve(m)
		}
		return c.best
	}
	for _, number := range s.prefixes.find(e.request.Prefix) {
		if number > 0 && s.members[number-1].serves(sv) {
			c.considerWithReserve(s.members[number-1])
		}
	}
	if c.affinity != nil {
		c.considerWithReserve(c.affinity)
	}
	for range sampleSize {
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

// choice tracks the best engine for an entry among those considered.
type choice struct {
	scheduler *Scheduler
	now       time.Time
	entry     *entry
	affinity  *server // engine assumed to have cached affinityCachedFraction of the prompt
	best      *server
	expected  float64 // expected duration on best, in nanoseconds with jitter
}

// considerWithReserve considers an engine that has a free slot, or that has a free reserve slot and
// enough of the prompt in its cache.
func (c *choice) considerWithReserve(m *server) {
	if !m.accepts() {
		return
	}
	if m.view.HasFreeSlot() {
		c.consider(m)
		return
	}
	prompt := float64(c.entry.request.PromptTokens)
	if prompt > 0 && m.view.HasFreeReserveSlot(c.entry.flow.queue.reserve) &&
		cachedTokens(m, c.entry) > reserveCachedFraction*prompt {
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
		cached = max(cached, affinityCachedFraction*prompt)
	}
	expected := float64(m.view.ExpectedDuration(c.now, prompt, cached, e.output))
	expected *= 1 + choiceJitter*c.scheduler.rand.Float64()
	if c.best == nil || expected < c.expected {
		c.best = m
		c.expected = expected
	}
}

// cachedTokens estimates how many prompt tokens of a request the engine has cached.
func cachedTokens(m *server, e *entry) float64 {
	blocks := len(e.request.Prefix)
	if blocks == 0 {
		return 0
	}
	share := float64(m.view.Prefix.Match(e.request.Prefix)) / float64(blocks)
	return share * m.view.Prefix.Confidence() * float64(e.request.PromptTokens)
}

// send dispatches a waiting entry to an engine with a free slot or reserve slot.
func (s *Scheduler) send(now time.Time, e *entry, m *server) {
	sv, q := e.service, e.flow.queue
	s.dequeue(e)
	e.server = m
	e.dispatched = now
	e.engineRequest.Prompt = float64(e.request.PromptTokens)
	e.engineRequest.Cached = cachedTokens(m, e)
	e.engineRequest.FirstToken = s.policy.Tiers[e.tier].FirstToken
	e.engineRequest.BetweenTokens = s.policy.Tiers[e.tier].BetweenTokens
	e.charged = sv.estimate(e.engineRequest.Prompt-e.engineRequest.Cached, e.output)
	q.shares.Serve(&e.flow.Flow, e.charged)
	s.accrueCredit(sv, q, e.charged)
	m.view.Start(now, &e.engineRequest)
	m.view.Prefix.Add(e.request.Prefix)
	s.prefixes.add(e.request.Prefix, m.number)
	m.updateOpen()
	s.inFlight++
	s.counters.Dispatched++
	s.decide(Decision{Kind: DecideDispatch, ID: e.request.ID, Engine: m.config.Name})
}

// accrueCredit credits every waiting tier but the first with its MinimumShare of the engine time that
// was dispatched, and charges the tier of the dispatched request.
func (s *Scheduler) accrueCredit(sv *service, from *tierQueue, cost float64) {
	if from.credit > 0 {
		from.credit -= cost
	}
	for _, q := range sv.tiers[1:] {
		share := s.policy.Tiers[q.tier].MinimumShare
		if share > 0 && q.waiting > 0 {
			q.credit = min(q.credit+share*cost, cost)
		}
	}
}
