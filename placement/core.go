package placement

import (
	"cmp"
	"slices"
	"time"
)

// Core holds the waiting and running requests and decides on their placement. It is not safe for
// concurrent use.
//
// Invariants: each request is either waiting or running; a grant never raises the number of requests that
// run on an engine above its number of slots.
type Core struct {
	engines    map[string]*engine
	services   map[string]*service
	requests   map[RequestID]*trackedRequest
	quotas     map[string]*tokenBucket
	quotaShare float64 // fraction of each quota that this core may spend
	latency    latencyModel
	// scope is the data centre to which grants are limited; empty means that all engines are used.
	scope string

	grants        []Grant
	rejections    []Rejection
	healthChanges []HealthChange
}

// trackedRequest is a request and its scheduling state.
type trackedRequest struct {
	Request
	engine       *engine // engine on which it runs; nil while it waits
	outputTokens float64 // expected number of output tokens
	likelyRetry  bool    // classified as a retry of a rejected request
	valueDensity float64 // value of an on-time response per second of slot time
	sizeClass    int     // index into sizeClassBounds, or -1
	grantedAt    time.Duration
	started      bool // the first event has arrived
	firstEventAt time.Duration
}

// service is the queue and the engines of one service.
type service struct {
	name    string
	engines []*engine
	waiting []*trackedRequest
	routes  map[string]*routeStats // keyed by route name
	// reviewAt is the time of the next re-estimation of the expected waits.
	reviewAt       time.Duration
	recentArrivals arrivals
}

// slots returns the number of slots of the first engine of the service, which stands for all of them, or 1
// if there is none.
func (s *service) slots() int {
	for _, e := range s.engines {
		return e.Slots
	}
	return 1
}

// New returns a Core without engines.
func New() *Core {
	return &Core{
		engines:    map[string]*engine{},
		services:   map[string]*service{},
		requests:   map[RequestID]*trackedRequest{},
		quotas:     map[string]*tokenBucket{},
		quotaShare: 1,
		latency:    newLatencyModel(),
	}
}

// SetScope limits grants to the engines of one data centre. An empty name removes the limit.
func (c *Core) SetScope(dataCentre string) { c.scope = dataCentre }

// SetEngines replaces the list of engines. Requests on engines that are no longer listed continue to run.
func (c *Core) SetEngines(list []Engine) {
	seen := make(map[string]bool, len(list))
	for _, s := range c.services {
		s.engines = s.engines[:0]
	}
	for _, listed := range list {
		if seen[listed.ID] {
			continue
		}
		seen[listed.ID] = true
		e := c.engines[listed.ID]
		if e == nil {
			e = newEngine(listed)
			c.engines[listed.ID] = e
		}
		e.update(listed)
		s := c.service(listed.Service)
		s.engines = append(s.engines, e)
	}
	for id, e := range c.engines {
		switch {
		case seen[id]:
		case len(e.runs) == 0:
			delete(c.engines, id)
		default:
			e.Leaving = true
		}
	}
	for _, s := range c.services {
		slices.SortFunc(s.engines, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
	}
}

func (c *Core) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{name: name, routes: map[string]*routeStats{}}
		c.services[name] = s
	}
	return s
}

// Enqueue adds a new request to the queue, or rejects it if its quota is used up or if it would wait too
// long. It ignores a request that is already known.
func (c *Core) Enqueue(now time.Duration, r Request) {
	if c.requests[r.ID] != nil {
		return
	}
	if wait, ok := c.spend(now, r.Workspace, r.Charge); !ok {
		c.reject(now, &trackedRequest{Request: r}, ReasonQuota, wait, 0)
		return
	}
	e := &trackedRequest{Request: r}
	c.requests[r.ID] = e
	s := c.service(r.Service)
	stats := s.routeStats(r.Route)
	e.outputTokens = stats.expectedOutput(&r)
	c.setDensity(s, e)
	density := e.valueDensity
	if stats.observeTimeout(r.CallerTimeout) {
		e.likelyRetry = true
		e.FirstEventDue = r.ArrivedAt - 1
		density *= lateValue
	} else {
		stats.rates.arrive(e.sizeClass)
	}
	wait := c.expectedWait(now, s, e)
	s.recentArrivals.add(now, density, c.latency.slotTime(e, s.slots()))
	if !r.PartlyDelivered && now+wait+c.latency.minTimeToFirstEvent(e) > min(e.FirstEventDeadline, e.Deadline) {
		delete(c.requests, r.ID)
		c.refund(r.Workspace, r.Charge)
		c.reject(now, e, ReasonOverload, retryAfter(wait), wait)
		return
	}
	s.waiting = append(s.waiting, e)
}

// AddRunning adds a request that already runs on an engine. Owners report such requests after this core
// was started or was unreachable.
func (c *Core) AddRunning(now time.Duration, r Request, engineID string, started bool) {
	if e := c.requests[r.ID]; e != nil {
		if e.engine != nil {
			return
		}
		c.removeWaiting(e)
		delete(c.requests, r.ID)
	}
	e := &trackedRequest{Request: r, grantedAt: now, started: started, firstEventAt: now}
	c.requests[r.ID] = e
	s := c.service(r.Service)
	e.outputTokens = s.routeStats(r.Route).expectedOutput(&r)
	c.setDensity(s, e)
	at := c.engines[engineID]
	if at == nil {
		at = newEngine(Engine{ID: engineID, Service: r.Service, Leaving: true})
		c.engines[engineID] = at
	}
	at.add(e)
}

// Lookup reports whether a request is waiting and, if it is running, on which engine.
func (c *Core) Lookup(id RequestID) (waiting bool, runsAt *Engine) {
	e := c.requests[id]
	switch {
	case e == nil:
		return false, nil
	case e.engine == nil:
		return true, nil
	}
	return false, &e.engine.Engine
}

// RequestsOf returns the IDs of the waiting and running requests of an owner.
func (c *Core) RequestsOf(owner string) []RequestID {
	var ids []RequestID
	for id, e := range c.requests {
		if e.Owner == owner {
			ids = append(ids, id)
		}
	}
	return ids
}

// Withdraw removes a waiting request whose caller disconnected or whose owner abandoned it. It does not
// affect a running request, which is ended with End.
func (c *Core) Withdraw(id RequestID) {
	e := c.requests[id]
	if e == nil || e.engine != nil {
		return
	}
	c.removeWaiting(e)
	delete(c.requests, id)
	c.refund(e.Workspace, e.Charge)
}

// FirstEvent records that the first event of a running request has arrived.
func (c *Core) FirstEvent(now time.Duration, id RequestID) {
	e := c.requests[id]
	if e == nil || e.engine == nil || e.started {
		return
	}
	e.started, e.firstEventAt = true, now
	before := e.engine.health()
	e.engine.recordResponse(now)
	c.recordHealthChange(e.engine, before, OutcomeCompleted)
}

// End records the end of a run, with the number of output tokens.
func (c *Core) End(now time.Duration, id RequestID, outcome Outcome, tokens int) {
	e := c.requests[id]
	if e == nil {
		return
	}
	if e.engine == nil {
		c.Withdraw(id)
		return
	}
	delete(c.requests, id)
	at := e.engine
	at.remove(e)
	defer c.recordHealthChange(at, at.health(), outcome)
	switch outcome {
	case OutcomeCompleted:
		at.recordResponse(now)
		c.service(e.Service).routeStats(e.Route).learnOutput(tokens)
		if e.started && tokens > 0 {
			c.latency.learn(at, now-e.firstEventAt, tokens)
		}
	case OutcomeUnused, OutcomeRefused:
		c.refund(e.Workspace, e.Charge)
		if outcome == OutcomeRefused {
			at.recordRefusal(now)
		}
	case OutcomeFailed:
		s := c.service(at.Service)
		at.recordFailure(now, s.maySuspend(now), s.mayThrottle(now))
	case OutcomeUnreachable:
		c.refund(e.Workspace, e.Charge)
		at.recordUnreachable(now)
	case OutcomeCancelled:
	}
}

// RemoveOwner removes all requests of an owner that left, was restarted or was lost.
func (c *Core) RemoveOwner(owner string) {
	for _, id := range c.RequestsOf(owner) {
		e := c.requests[id]
		if e.engine != nil {
			e.engine.remove(e)
		} else {
			c.removeWaiting(e)
		}
		delete(c.requests, id)
	}
}

func (c *Core) removeWaiting(e *trackedRequest) {
	s := c.service(e.Service)
	if at := slices.Index(s.waiting, e); at >= 0 {
		s.waiting = slices.Delete(s.waiting, at, at+1)
	}
}

func (c *Core) reject(now time.Duration, e *trackedRequest, reason Reason, retryAfter, wait time.Duration) {
	s := c.service(e.Service)
	c.rejections = append(c.rejections, Rejection{
		Request: e.ID, Owner: e.Owner, Reason: reason, RetryAfter: retryAfter,
		Waiting: len(s.waiting), ExpectedWait: wait, Capacity: c.capacity(now, s), LikelyRetry: e.likelyRetry,
	})
}

// Decide assigns free slots to waiting requests and rejects requests that can no longer be served in time.
// The returned slices are valid until the next call.
func (c *Core) Decide(now time.Duration) ([]Grant, []Rejection) {
	c.grants = c.grants[:0]
	for _, s := range c.services {
		c.expire(now, s)
		for c.grantNext(now, s) {
		}
		c.review(now, s)
	}
	rejections := c.rejections
	c.rejections = nil
	return c.grants, rejections
}

// grantNext assigns the best free slot to the most valuable waiting request of a service. It reports
// whether there was one.
func (c *Core) grantNext(now time.Duration, s *service) bool {
	if len(s.waiting) == 0 {
		return false
	}
	free := c.freeEngines(now, s)
	if len(free) == 0 {
		return false
	}
	e, at := c.selectNext(now, s, free)
	if e == nil {
		return false
	}
	c.removeWaiting(e)
	e.grantedAt = now
	s.routeStats(e.Route).rates.serve(e.sizeClass)
	at.add(e)
	c.grants = append(c.grants, Grant{Request: e.ID, Owner: e.Owner, Engine: at.Engine, Running: len(at.runs)})
	return true
}

// freeEngines returns the engines of a service that have a free slot.
func (c *Core) freeEngines(now time.Duration, s *service) []*engine {
	var free []*engine
	for _, e := range s.engines {
		if (c.scope == "" || e.DataCentre == c.scope) && e.hasFreeSlot(now) {
			free = append(free, e)
		}
	}
	return free
}

// expire rejects the waiting requests that can no longer be served in time.
func (c *Core) expire(now time.Duration, s *service) {
	c.rejectWaiting(now, s, func(_ int, e *trackedRequest) (Reason, time.Duration) {
		if now+c.latency.minTimeToFirstEvent(e) <= min(e.FirstEventDeadline, e.Deadline) {
			return "", 0
		}
		return ReasonDeadline, c.expectedWait(now, s, e)
	})
}

// rejectWaiting rejects each waiting request for which judge returns a reason. judge also returns the
// expected wait, which the rejection reports.
func (c *Core) rejectWaiting(now time.Duration, s *service, judge func(i int, e *trackedRequest) (Reason, time.Duration)) {
	var kept []*trackedRequest // allocated on the first rejection, because judge may read s.waiting
	for i, e := range s.waiting {
		reason, wait := judge(i, e)
		if reason == "" {
			if kept != nil {
				kept = append(kept, e)
			}
			continue
		}
		if kept == nil {
			kept = append(make([]*trackedRequest, 0, len(s.waiting)), s.waiting[:i]...)
		}
		delete(c.requests, e.ID)
		c.refund(e.Workspace, e.Charge)
		c.reject(now, e, reason, retryAfter(wait), wait)
	}
	if kept != nil {
		s.waiting = kept
	}
}

// Waiting returns the number of waiting requests.
func (c *Core) Waiting() int {
	count := 0
	for _, s := range c.services {
		count += len(s.waiting)
	}
	return count
}
