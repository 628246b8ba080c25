package placement

import (
	"cmp"
	"slices"
	"time"
)

// Core holds the waiting and running requests. It is not safe for concurrent use.
//
// Invariants: a request is in exactly one of the states waiting and running; the runs of an engine
// never exceed its places because of a grant.
type Core struct {
	engines  map[string]*engine
	services map[string]*service
	requests map[RequestID]*entry
	quotas   map[string]*quota
	share    float64 // part of each quota that this core may spend
	pace     pace
	// scope limits the engines to those of one data centre; empty means all.
	scope string

	grants     []Grant
	rejections []Rejection
	changes    []HealthChange
}

// entry is one request with its state.
type entry struct {
	Request
	engine    *engine // nil while it waits
	output    float64 // expected tokens
	returning bool    // its caller was refused before
	density   float64 // worth on time for a second of a place
	class     int     // of its size
	granted   time.Duration
	started   bool // the first event arrived
	startedAt time.Duration
}

type service struct {
	name    string
	engines []*engine
	waiting []*entry
	kinds   map[string]*kind // by route
	// reviewAt is when the expected waits are estimated again.
	reviewAt time.Duration
	recent   arrivals
}

// places returns the places of one engine of the service.
func (s *service) places() int {
	for _, e := range s.engines {
		return e.Slots
	}
	return 1
}

// New returns a core without engines.
func New() *Core {
	return &Core{
		engines:  map[string]*engine{},
		services: map[string]*service{},
		requests: map[RequestID]*entry{},
		quotas:   map[string]*quota{},
		share:    1,
		pace:     newPace(),
	}
}

// SetScope limits grants to the engines of one data centre; empty means all of them.
func (c *Core) SetScope(dataCentre string) { c.scope = dataCentre }

// SetEngines replaces the list of engines. Runs at engines that are gone from the list continue.
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
		s = &service{name: name, kinds: map[string]*kind{}}
		c.services[name] = s
	}
	return s
}

// Enqueue adds a request that waits. A request that is known already is left as it is.
func (c *Core) Enqueue(now time.Duration, r Request) {
	if c.requests[r.ID] != nil {
		return
	}
	if wait, ok := c.spend(now, r.Workspace, r.Charge); !ok {
		c.reject(now, &entry{Request: r}, ReasonQuota, wait, 0)
		return
	}
	e := &entry{Request: r}
	c.requests[r.ID] = e
	s := c.service(r.Service)
	k := s.kind(r.Route)
	e.output = k.expectedOutput(&r)
	c.setDensity(s, e)
	worth := e.density
	if k.returning(r.CallerTimeout) {
		e.returning = true
		e.FirstEventDue = r.ArrivedAt - 1
		worth *= lateValue
	} else {
		k.shares.arrive(e.class)
	}
	wait := c.expectedWait(now, s, e)
	s.recent.add(now, worth, c.pace.work(e, s.places()))
	if !r.PartlyDelivered && now+wait+c.pace.least(e) > min(e.FirstEventDeadline, e.Deadline) {
		delete(c.requests, r.ID)
		c.refund(r.Workspace, r.Charge)
		c.reject(now, e, ReasonOverload, retryTime(wait), wait)
		return
	}
	s.waiting = append(s.waiting, e)
}

// AddRunning adds a request that already runs at an engine, as its owner reports it after this core was
// started or was out of reach.
func (c *Core) AddRunning(now time.Duration, r Request, engineID string, started bool) {
	if e := c.requests[r.ID]; e != nil {
		if e.engine != nil {
			return
		}
		c.removeWaiting(e)
		delete(c.requests, r.ID)
	}
	e := &entry{Request: r, granted: now, started: started, startedAt: now}
	c.requests[r.ID] = e
	s := c.service(r.Service)
	e.output = s.kind(r.Route).expectedOutput(&r)
	c.setDensity(s, e)
	at := c.engines[engineID]
	if at == nil {
		at = newEngine(Engine{ID: engineID, Service: r.Service, Leaving: true})
		c.engines[engineID] = at
	}
	at.add(e)
}

// Lookup reports whether a request waits, and the engine of one that runs.
func (c *Core) Lookup(id RequestID) (waits bool, runsAt *Engine) {
	e := c.requests[id]
	switch {
	case e == nil:
		return false, nil
	case e.engine == nil:
		return true, nil
	}
	return false, &e.engine.Engine
}

// RequestsOf returns the requests of an owner.
func (c *Core) RequestsOf(owner string) []RequestID {
	var ids []RequestID
	for id, e := range c.requests {
		if e.Owner == owner {
			ids = append(ids, id)
		}
	}
	return ids
}

// Withdraw removes a request that waits, since its caller left or its owner gave up on it. One that
// runs ends with End.
func (c *Core) Withdraw(id RequestID) {
	e := c.requests[id]
	if e == nil || e.engine != nil {
		return
	}
	c.removeWaiting(e)
	delete(c.requests, id)
	c.refund(e.Workspace, e.Charge)
}

// FirstEvent reports the first event of a run.
func (c *Core) FirstEvent(now time.Duration, id RequestID) {
	e := c.requests[id]
	if e == nil || e.engine == nil || e.started {
		return
	}
	e.started, e.startedAt = true, now
	before := e.engine.health()
	e.engine.answered(now)
	c.noteHealth(e.engine, before, OutcomeCompleted)
}

// End reports the end of a run and the number of output tokens.
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
	defer c.noteHealth(at, at.health(), outcome)
	switch outcome {
	case OutcomeCompleted:
		at.answered(now)
		c.service(e.Service).kind(e.Route).learnOutput(tokens)
		if e.started && tokens > 0 {
			c.pace.learn(at, now-e.startedAt, tokens)
		}
	case OutcomeUnused, OutcomeRefused:
		c.refund(e.Workspace, e.Charge)
		if outcome == OutcomeRefused {
			at.refused(now)
		}
	case OutcomeFailed:
		s := c.service(at.Service)
		at.failed(now, s.mayRest(now), s.mayPace(now))
	case OutcomeUnreachable:
		c.refund(e.Workspace, e.Charge)
		at.unreached(now)
	case OutcomeCancelled:
	}
}

// RemoveOwner drops everything of an owner that is gone.
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

func (c *Core) removeWaiting(e *entry) {
	s := c.service(e.Service)
	if at := slices.Index(s.waiting, e); at >= 0 {
		s.waiting = slices.Delete(s.waiting, at, at+1)
	}
}

func (c *Core) reject(now time.Duration, e *entry, reason Reason, retryAfter, wait time.Duration) {
	s := c.service(e.Service)
	c.rejections = append(c.rejections, Rejection{
		Request: e.ID, Owner: e.Owner, Reason: reason, RetryAfter: retryAfter,
		Waiting: len(s.waiting), ExpectedWait: wait, Capacity: c.capacity(now, s), LikelyRetry: e.returning,
	})
}

// Decide gives out free places and gives up on requests that can't be served any more. The slices
// are valid until the next call.
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

// grantNext gives the most valuable waiting request of a service the best free place.
func (c *Core) grantNext(now time.Duration, s *service) bool {
	if len(s.waiting) == 0 {
		return false
	}
	free := c.free(now, s)
	if len(free) == 0 {
		return false
	}
	e, at := c.next(now, s, free)
	if e == nil {
		return false
	}
	c.removeWaiting(e)
	e.granted = now
	s.kind(e.Route).shares.serve(e.class)
	at.add(e)
	c.grants = append(c.grants, Grant{Request: e.ID, Owner: e.Owner, Engine: at.Engine, Running: len(at.runs)})
	return true
}

// free returns the engines of a service with a free place.
func (c *Core) free(now time.Duration, s *service) []*engine {
	var free []*engine
	for _, e := range s.engines {
		if (c.scope == "" || e.DataCentre == c.scope) && e.room(now) {
			free = append(free, e)
		}
	}
	return free
}

// expire rejects the requests that can't be answered in time any more.
func (c *Core) expire(now time.Duration, s *service) {
	c.rejectWaiting(now, s, func(_ int, e *entry) (Reason, time.Duration) {
		if now+c.pace.least(e) <= min(e.FirstEventDeadline, e.Deadline) {
			return "", 0
		}
		return ReasonDeadline, c.expectedWait(now, s, e)
	})
}

// rejectWaiting rejects the waiting requests for which judge gives a reason, with the wait that is
// expected for them.
func (c *Core) rejectWaiting(now time.Duration, s *service, judge func(i int, e *entry) (Reason, time.Duration)) {
	var kept []*entry // set with the first rejection, as judge may look at all that wait
	for i, e := range s.waiting {
		reason, wait := judge(i, e)
		if reason == "" {
			if kept != nil {
				kept = append(kept, e)
			}
			continue
		}
		if kept == nil {
			kept = append(make([]*entry, 0, len(s.waiting)), s.waiting[:i]...)
		}
		delete(c.requests, e.ID)
		c.refund(e.Workspace, e.Charge)
		c.reject(now, e, reason, retryTime(wait), wait)
	}
	if kept != nil {
		s.waiting = kept
	}
}

// Waiting returns the number of requests that wait.
func (c *Core) Waiting() int {
	count := 0
	for _, s := range c.services {
		count += len(s.waiting)
	}
	return count
}
