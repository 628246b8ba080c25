package placement

import (
	"math"
	"slices"
	"time"
)

// Core holds the waiting and running requests and decides on their placement. It is not safe for
// concurrent use.
//
// Invariants: each request is either waiting or running; a grant never raises the number of requests that
// run on an engine above its number of slots.
type Core struct {
	features    Features
	engines     map[string]*engine
	services    map[string]*service
	requests    map[RequestID]*trackedRequest
	quotas      map[string]*tokenBucket
	quotasKnown bool // SetQuotas was called
	// early holds spending that was taken over before the quotas were known.
	early      []earlySpending
	quotaShare float64 // fraction of each quota and rate limit that this core may spend
	latency    latencyModel
	detached   map[RequestID]*trackedRequest // runs whose owner is silent
	pacers     map[string]*pacer             // of the engines that state a rate limit, by engine ID
	// permitOwners holds the instances that can use permits, by name.
	permitOwners map[string]*permitOwner
	permitCount  uint64 // permits granted so far
	// learnedSlowness holds what was taken over about engines that are not listed yet.
	learnedSlowness map[string]LearnedEngine
	// vanished holds the engines that left the list within crashWindow and had not stated that they would, by ID.
	vanished        map[string]vanishedEngine
	rollouts        map[string]*serviceRollout // by service
	directsRollouts bool                       // see DirectRollouts
	// scope is the data centre to which grants are limited; empty means that all engines are used.
	scope string
	// slownesses is reused by medianSlowness.
	slownesses       []float64
	firstEventErrors firstEventErrors

	grants        []Grant
	rejections    []Rejection
	healthChanges []HealthChange
	limitChanges  []EngineLimit
	limitsAt      time.Duration // next time that windows of measurements are closed
	crashes       []Crash
	// countsSince is the time from which all crashes and responses were reported here, 0 if there was no other core.
	countsSince time.Duration
	decidedAt   time.Duration // time of the last call of Decide
}

// trackedRequest is a request and its scheduling state.
type trackedRequest struct {
	Request
	engine       *engine // engine on which it runs; nil while it waits
	outputTokens float64 // expected number of output tokens
	likelyRetry  bool    // classified as a retry of a rejected request
	value        float64 // relative to a request of mean size in the most urgent tier
	valueDensity float64 // value of an on-time response per second of slot time
	sizeClass    int     // index into sizeClassBounds, or -1
	grantedAt    time.Duration
	// releaseAt is the time at which the slot of a run whose owner is silent is freed; 0 if its owner reports.
	releaseAt time.Duration
	// serverError is set if the response is a server error, see MarkServerError.
	serverError bool
	alone       bool // no other prompt was pending on the engine at the grant
	// firstEventLimit is the time after the grant from which the engine counts as unresponsive if no event has
	// arrived from it since.
	firstEventLimit time.Duration
	started         bool // the first event has arrived
	firstEventAt    time.Duration
	share           *share        // nil without fair shares
	charged         float64       // slot time that its run is charged in the share, in seconds
	promptsAhead    float64       // prompt tokens pending on the engine at the grant, with its own; 0 if unknown
	measuredTokens  int           // output tokens after the first event whose time was learned from
	measuredTook    time.Duration // time of these tokens
	measuredPrompts float64       // engineLimits.promptsRead at the last measurement
	// firstEventEstimate is the estimated time from the grant to the first event, 0 if unknown.
	firstEventEstimate time.Duration
	held               bool // it waited for a better engine at the last decision
	heldByShare        bool // by its value alone it would get a slot in time
}

// service is the queue and the engines of one service.
type service struct {
	name    string
	engines []*engine
	// restricted holds the engines that a rollout keeps from taking any request; they are not in engines.
	restricted []*engine
	// meanSlots is the mean number of slots of the engines, rounded to the nearest integer.
	meanSlots int
	waiting   []*trackedRequest
	routes    map[string]*routeStats // keyed by route name
	// reviewAt is the time of the next re-estimation of the expected waits.
	reviewAt       time.Duration
	recentArrivals arrivals
	suspects       suspects
	shares         *shares       // nil without fair shares
	objective      time.Duration // strictest objective for first events, 0 if none is stated; see observeObjective
	// typicalSlowness is the median of the usable engines at the last call of Decide. Set with Features.BestFit only.
	typicalSlowness float64
	// idleAt is the last time at which slots stayed free although requests waited. Set with Features.BestFit only.
	idleAt time.Duration
}

// slots returns the mean number of slots of the engines of the service, or 1 if there is no engine.
func (s *service) slots() int { return max(s.meanSlots, 1) }

// New returns a Core without engines and without optional features.
func New() *Core { return NewWith(Features{}) }

// NewWith returns a Core without engines, with the selected features.
func NewWith(f Features) *Core {
	return &Core{
		features:         f,
		firstEventErrors: newFirstEventErrors(),
		engines:          map[string]*engine{},
		services:         map[string]*service{},
		requests:         map[RequestID]*trackedRequest{},
		quotas:           map[string]*tokenBucket{},
		detached:         map[RequestID]*trackedRequest{},
		quotaShare:       1,
		latency:          newLatencyModel(),

		permitOwners: map[string]*permitOwner{},
		vanished:     map[string]vanishedEngine{},
	}
}

// SetScope limits grants to the engines of one data centre. An empty name removes the limit.
func (c *Core) SetScope(dataCentre string) { c.scope = dataCentre }

// SetEngines replaces the list of engines. Requests on engines that are no longer listed continue to run.
func (c *Core) SetEngines(list []Engine) {
	seen := make(map[string]bool, len(list))
	for _, s := range c.services {
		s.engines, s.restricted = s.engines[:0], nil
	}
	for _, listed := range list {
		if seen[listed.ID] {
			continue
		}
		seen[listed.ID] = true
		e := c.engines[listed.ID]
		if e != nil && isOtherStart(e.Born, listed.Born) {
			c.removeEngine(e) // its runs end with their connections
			e = nil
		}
		if e == nil {
			e = newEngine(listed)
			c.engines[listed.ID] = e
			c.trackLimits(e)
			if learned, known := c.learnedSlowness[listed.ID]; known && !e.resumeLimits(&learned) {
				e.slowness, e.slownessSamples = learned.Slowness, learned.Samples
			}
		}
		e.update(listed)
		c.trackLimits(e)
		s := c.service(listed.Service)
		s.engines = append(s.engines, e)
	}
	for id, e := range c.engines {
		switch {
		case seen[id]:
		case len(e.runs) == 0:
			if e.unlisted {
				e.Leaving = true // it was missed while its requests ran
			}
			c.removeEngine(e)
		default:
			e.unlisted = true
		}
	}
	for _, s := range c.services {
		c.arrange(s)
	}
}

// removeEngine removes an engine that is no longer listed, or that has started again.
func (c *Core) removeEngine(e *engine) {
	if !e.Leaving { // it has vanished without notice
		c.vanished[e.ID] = vanishedEngine{service: e.Service, at: c.decidedAt, runs: e.losses.unstarted}
		c.recordCrash(c.decidedAt, e)
	}
	delete(c.engines, e.ID)
}

func (s *service) setMeanSlots() {
	total := 0
	for _, e := range s.engines {
		total += e.Slots
	}
	s.meanSlots = int(math.Round(float64(total) / float64(max(len(s.engines), 1))))
}

func (c *Core) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{name: name, routes: map[string]*routeStats{}}
		if c.features.FairShares {
			s.shares = newShares()
		}
		c.services[name] = s
	}
	return s
}

// MarkLeaving records that an engine, in the start with the given time of birth, has stated that it is leaving. It gets
// no new requests.
func (c *Core) MarkLeaving(engineID string, born int64) {
	if e := c.engines[engineID]; e != nil && !isOtherStart(e.Born, born) {
		e.Leaving = true
	}
}

// Rest records that an engine wants no requests from an owner before the given time.
func (c *Core) Rest(now, until time.Duration, owner, engineID string) {
	if e := c.engines[engineID]; e != nil {
		e.rest(now, until, owner)
	}
}

// restEnd returns the time from which a request may be sent to an engine of the service, as far as rests are
// concerned: now, or the end of the first rest if all engines that are not leaving rest for the owner.
func (s *service) restEnd(now time.Duration, r *trackedRequest) time.Duration {
	earliest := time.Duration(math.MaxInt64)
	for _, e := range s.engines {
		if e.Leaving {
			continue
		}
		if !e.restsFor(now, r.Owner) {
			return now
		}
		earliest = min(earliest, e.rests[r.Owner])
	}
	if earliest == math.MaxInt64 {
		return now // there is no engine that could rest
	}
	return earliest
}

// Enqueue adds a new request to the queue, or rejects it if its quota is used up or if it would wait too
// long. It ignores a request that is already known.
func (c *Core) Enqueue(now time.Duration, r Request) {
	if c.requests[r.ID] != nil {
		return
	}
	s := c.service(r.Service)
	if left := s.suspects.blockedFor(now, r.Parts); left > 0 {
		c.reject(now, &trackedRequest{Request: r}, ReasonBlockedPart, left, 0)
		return
	}
	if !s.hasVersion(r.Version) {
		c.reject(now, &trackedRequest{Request: r}, ReasonNoVersion, retryAfter(noCapacityWait), noCapacityWait)
		return
	}
	if wait, ok := c.spend(now, r.Workspace, r.Charge, c.hasIdleSlot(now, s)); !ok {
		c.reject(now, &trackedRequest{Request: r}, ReasonQuota, wait, 0)
		return
	}
	tracked := &trackedRequest{Request: r}
	c.requests[r.ID] = tracked
	stats := s.routeStats(r.Route)
	tracked.outputTokens = stats.expectedOutput(&r)
	c.setDensity(s, tracked)
	c.join(s, tracked)
	density := tracked.valueDensity
	c.observeObjective(s, &r)
	if stats.observeTimeout(r.CallerTimeout) {
		tracked.likelyRetry = true
		tracked.FirstEventDue = r.ArrivedAt - 1
		density *= lateValue
	} else {
		stats.rates.arrive(tracked.sizeClass)
	}
	wait := max(c.expectedWait(now, s, tracked), s.restEnd(now, tracked)-now)
	if c.features.BestFit && c.fitsNow(now, s, tracked) {
		wait = 0
	}
	s.recentArrivals.add(now, density, c.latency.slotTime(tracked, s.slots()))
	tracked.share.arrive(now, density, c.latency.slotTime(tracked, s.slots()))
	if !r.PartlyDelivered &&
		now+wait+c.latency.minTimeToFirstEvent(tracked) > min(tracked.FirstEventDeadline, tracked.Deadline) {
		delete(c.requests, r.ID)
		c.refund(r.Workspace, r.Charge)
		c.reject(now, tracked, overloadReason(tracked), retryAfter(wait), wait)
		return
	}
	s.waiting = append(s.waiting, tracked)
}

// hasIdleSlot reports whether a slot is free and no request waits for one.
func (c *Core) hasIdleSlot(now time.Duration, s *service) bool {
	return len(s.waiting) == 0 && len(c.freeEngines(now, s)) > 0
}

// AddRunning adds a request that already runs on an engine. Owners report such requests after this core
// was started or was unreachable. firstEventAt is 0 while no event has arrived.
func (c *Core) AddRunning(r Request, engineID string, grantedAt, firstEventAt time.Duration) {
	if tracked := c.requests[r.ID]; tracked != nil {
		if tracked.engine != nil {
			tracked.releaseAt = 0
			delete(c.detached, r.ID)
			return
		}
		c.removeWaiting(tracked)
		delete(c.requests, r.ID)
	}
	tracked := &trackedRequest{Request: r, grantedAt: grantedAt, started: firstEventAt != 0, firstEventAt: firstEventAt}
	c.requests[r.ID] = tracked
	s := c.service(r.Service)
	tracked.outputTokens = s.routeStats(r.Route).expectedOutput(&r)
	tracked.firstEventLimit = c.firstEventLimit(tracked)
	c.setDensity(s, tracked)
	e := c.engines[engineID]
	if e == nil {
		e = newEngine(Engine{ID: engineID, Service: r.Service})
		e.unlisted = true
		c.engines[engineID] = e
	}
	if e.limits != nil {
		tracked.measuredPrompts = e.limits.promptsRead // those read while it ran elsewhere are unknown
	}
	e.add(tracked)
}

// Lookup reports whether a request is waiting and, if it is running, on which engine.
func (c *Core) Lookup(id RequestID) (waiting bool, runsAt *Engine) {
	r := c.requests[id]
	switch {
	case r == nil:
		return false, nil
	case r.engine == nil:
		return true, nil
	}
	return false, &r.engine.Engine
}

// RequestsOf returns the IDs of the waiting and running requests of an owner.
func (c *Core) RequestsOf(owner string) []RequestID {
	var ids []RequestID
	for id, r := range c.requests {
		if r.Owner == owner {
			ids = append(ids, id)
		}
	}
	return ids
}

// Withdraw removes a waiting request whose caller disconnected or whose owner abandoned it. It does not
// affect a running request, which is ended with End.
func (c *Core) Withdraw(id RequestID) {
	r := c.requests[id]
	if r == nil || r.engine != nil {
		return
	}
	c.removeWaiting(r)
	delete(c.requests, id)
	c.refund(r.Workspace, r.Charge)
}

// FirstEvent records that the first event of a running request has arrived.
func (c *Core) FirstEvent(now time.Duration, id RequestID) {
	r := c.requests[id]
	if r == nil || r.engine == nil || r.started {
		return
	}
	r.started, r.firstEventAt = true, now
	c.observeRun(now, r, r.engine, OutcomeCompleted, false, 0)
	if r.alone {
		c.latency.learnPrefill(r.engine, now-r.grantedAt, r.PromptTokens)
	}
	c.learnFirstEvent(now, r)
	c.learnFirstEventError(now, r)
	c.service(r.Service).suspects.recordResponse(now, r.Parts)
	before := r.engine.health()
	r.engine.clearLosses(r)
	r.engine.recordResponse(now)
	c.recordHealthChange(r.engine, before, OutcomeCompleted)
}

// End records the end of a run, with the number of output tokens.
func (c *Core) End(now time.Duration, id RequestID, outcome Outcome, tokens int) {
	r := c.requests[id]
	if r == nil {
		return
	}
	if r.engine == nil {
		c.Withdraw(id)
		return
	}
	delete(c.requests, id)
	delete(c.detached, id)
	e := r.engine
	e.remove(r)
	c.settle(now, r, outcome, tokens)
	c.observeRun(now, r, e, outcome, true, tokens)
	defer c.recordHealthChange(e, e.health(), outcome)
	switch outcome {
	case OutcomeCompleted:
		c.service(r.Service).suspects.recordResponse(now, r.Parts)
		e.clearLosses(r)
		e.recordResponse(now)
		c.service(r.Service).routeStats(r.Route).learnOutput(tokens)
		if r.started && tokens > 0 {
			c.learnFromEnd(now, e, r, tokens)
		}
	case OutcomeUnused:
		c.refund(r.Workspace, r.Charge)
		c.addToRate(e.ID, 1)
	case OutcomeRefused:
		c.refund(r.Workspace, r.Charge)
		e.recordRefusal(now)
	case OutcomeBrittleRefused:
		c.refund(r.Workspace, r.Charge)
		e.suspend(now, brittlePause)
	case OutcomeFailed, OutcomeConnectionLost:
		s := c.service(e.Service)
		e.recordFailure(now, s.maySuspend(now), s.mayThrottle(now))
		if outcome == OutcomeConnectionLost {
			e.recordLoss(now, lostRun{parts: r.Parts, grantedAt: r.grantedAt, lostAt: now}, !r.started)
		}
		if e.lostAll() {
			c.recordCrash(now, e)
		}
	case OutcomeUnreachable:
		c.refund(r.Workspace, r.Charge)
		e.recordUnreachable(now)
		if !e.awaitsLosses(now) {
			c.recordCrash(now, e)
		}
	case OutcomeCancelled:
		if !r.started {
			c.learnMissingFirstEvent(now, r)
		}
	}
}

func (c *Core) removeWaiting(r *trackedRequest) {
	s := c.service(r.Service)
	if i := slices.Index(s.waiting, r); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
}

func (c *Core) reject(now time.Duration, r *trackedRequest, reason Reason, retryAfter, wait time.Duration) {
	s := c.service(r.Service)
	c.rejections = append(c.rejections, Rejection{
		Request: r.ID, Owner: r.Owner, Reason: reason, RetryAfter: retryAfter,
		Waiting: len(s.waiting), ExpectedWait: wait, Capacity: c.capacity(now, s), LikelyRetry: r.likelyRetry,
	})
}

// Decide assigns free slots to waiting requests and rejects requests that can no longer be served in time.
// The returned slices are valid until the next call.
func (c *Core) Decide(now time.Duration) ([]Grant, []Rejection) {
	c.grants = c.grants[:0]
	c.decidedAt = now
	c.releaseDetached(now)
	c.refreshLimits(now)
	for _, s := range c.services {
		c.prepareShares(now, s)
		c.rejectBlocked(now, s)
		c.expire(now, s)
		if c.features.BestFit {
			s.typicalSlowness = c.medianSlowness(now, s)
		}
		for c.grantNext(now, s) {
		}
		if c.features.BestFit {
			c.refuseLongWaits(now, s)
		}
		c.review(now, s)
	}
	rejections := c.rejections
	c.rejections = nil
	return c.grants, rejections
}

// grantNext assigns the best free slot to the most valuable waiting request of a service. It returns false
// if no request waits or no engine with a free slot may run one.
func (c *Core) grantNext(now time.Duration, s *service) bool {
	if len(s.waiting) == 0 {
		return false
	}
	free := c.freeEngines(now, s)
	if len(free) == 0 {
		return false
	}
	r, e := choosePreferringTrial(free, func(engines []*engine) (*trackedRequest, *engine) {
		return c.selectNext(now, s, engines)
	})
	if r == nil {
		s.idleAt = now
		return false
	}
	c.removeWaiting(r)
	r.grantedAt = now
	pending := e.pendingPromptTokens()
	r.alone, r.promptsAhead = pending == 0, pending+float64(r.PromptTokens)
	r.firstEventLimit, r.firstEventEstimate = c.firstEventLimit(r), c.estimateFirstEvent(e, r)
	s.routeStats(r.Route).rates.serve(r.sizeClass)
	e.add(r)
	c.charge(s, r)
	c.addToRate(e.ID, -1)
	c.countGrant(now, e)
	s.suspects.recordGrant(r)
	c.grants = append(c.grants, Grant{Request: r.ID, Owner: r.Owner, Engine: e.Engine, Running: len(e.runs)})
	return true
}

// firstEventLimit returns how long after its grant a run may go without a first event before its engine counts as
// unresponsive.
func (c *Core) firstEventLimit(r *trackedRequest) time.Duration {
	return firstEventTimeout + 3*c.latency.minTimeToFirstEvent(r)
}

// freeEngines returns the engines of a service that have a free slot and may get a request.
func (c *Core) freeEngines(now time.Duration, s *service) []*engine {
	var free []*engine
	for _, e := range s.engines {
		if (c.scope == "" || e.DataCentre == c.scope) && e.hasFreeSlot(now) && e.takesPrompts() && c.isWithinRate(now, e.ID) {
			free = append(free, e)
		}
	}
	return c.appendRestricted(now, s, free)
}

// expire rejects the waiting requests that can no longer be served in time.
func (c *Core) expire(now time.Duration, s *service) {
	c.rejectWaiting(now, s, func(_ int, r *trackedRequest) (Reason, time.Duration) {
		if !s.hasVersion(r.Version) {
			return ReasonNoVersion, noCapacityWait
		}
		if s.restEnd(now, r)+c.latency.minTimeToFirstEvent(r) <= min(r.FirstEventDeadline, r.Deadline) {
			return "", 0
		}
		return ReasonDeadline, c.expectedWait(now, s, r)
	})
}

// rejectWaiting rejects each waiting request for which evaluate returns a reason. evaluate also returns the
// expected wait, which the rejection reports.
func (c *Core) rejectWaiting(
	now time.Duration, s *service, evaluate func(i int, r *trackedRequest) (Reason, time.Duration),
) {
	var kept []*trackedRequest // allocated on the first rejection, because evaluate may read s.waiting
	for i, r := range s.waiting {
		reason, wait := evaluate(i, r)
		if reason == "" {
			if kept != nil {
				kept = append(kept, r)
			}
			continue
		}
		if kept == nil {
			kept = append(make([]*trackedRequest, 0, len(s.waiting)), s.waiting[:i]...)
		}
		delete(c.requests, r.ID)
		c.refund(r.Workspace, r.Charge)
		c.reject(now, r, reason, retryAfter(wait), wait)
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
