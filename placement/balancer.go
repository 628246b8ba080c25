package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/primrosebeam/primrosebeam/rollout"
)

// Balancer selects engines of plain (non-model) services for one instance. Their requests take a few
// milliseconds, so asking the allocator for a slot would take as long as the request. Each instance
// therefore balances on its own requests in flight and on the load that engines report in their responses.
type Balancer struct {
	mu         sync.Mutex
	rotation   int // start offset that rotates the choice among equally loaded engines
	dataCentre string
	engines    map[string][]*backend // keyed by service; see arrange
	inTrial    map[string][]*backend // keyed by service; engines that need a permit because of a rollout
	order      []string              // IDs of all engines as listed
	rollouts   map[string]rollout.Rollout
	byID       map[string]*backend // keyed by engine ID
	notices    *Notices
	permits    permitState
	paceTTL    time.Duration // paceTTL, or another value in tests
	paceWeight float64       // paceWeight, or another value in tests
	instances  func() int    // number of instances that send requests to the engines
	learning   *backendLearning
}

// backend is the state of an engine as seen by this instance.
type backend struct {
	Engine
	inFlight       int           // number of requests of this instance
	otherLoad      float64       // number of requests of other instances, as last reported
	pace           float64       // duration of work relative to the usual one, as last reported; 0 if never
	reportedAt     time.Duration // time of that report
	suspendedUntil time.Duration
	failureRate    float64       // decaying fraction of failed requests
	fullUntil      time.Duration // a brittle engine that had no room gets no request before
	probation      bool          // after a rest: one request at a time until the engine responds
	// permits holds until when each permit for a request to an engine with a rate limit may be used.
	permits []time.Duration
}

const (
	// reportedLoadTTL is the time in which a reported load decays linearly to zero.
	reportedLoadTTL = 500 * time.Millisecond
	// paceTTL is the time in which a reported pace decays linearly to the usual one. Engines share their
	// machines, so that the pace changes several times per second.
	paceTTL = 400 * time.Millisecond
	// paceWeight is the weight of the reported pace in the load of an engine: an engine that takes twice as
	// long counts as if this fraction of its slots were in use in addition.
	paceWeight = 0.5
	// remotePenalty is added to the load of engines in other data centres, as a fraction of their slots.
	// Such an engine is preferred only if its load is lower by more than this.
	remotePenalty = 0.25
	// backendFailureLimit is the failure rate above which a backend is suspended. Up to a seventh of
	// look-ups fail on healthy engines.
	backendFailureLimit = 0.5
	// backendPause is how long a backend is suspended after too many failures.
	backendPause = 2 * time.Second
)

// NewBalancer returns a Balancer for an instance in the given data centre. It selects only engines that the
// notices allow.
func NewBalancer(dataCentre string, notices *Notices) *Balancer {
	return &Balancer{
		dataCentre: dataCentre, engines: map[string][]*backend{}, byID: map[string]*backend{}, notices: notices,
		permits: newPermitState(), paceTTL: paceTTL, paceWeight: paceWeight, instances: func() int { return 1 },
	}
}

// SetEngines replaces the list of engines. The state of engines that stay listed and have not started again is kept.
func (b *Balancer) SetEngines(list []Engine) {
	b.mu.Lock()
	defer b.mu.Unlock()
	former := b.byID
	b.byID = make(map[string]*backend, len(list))
	b.engines = map[string][]*backend{}
	b.order = b.order[:0]
	for _, e := range list {
		known := former[e.ID]
		if known == nil || isOtherStart(known.Born, e.Born) {
			known = &backend{}
		}
		if e.Born == 0 {
			e.Born = known.Born
		}
		leaving := known.Leaving || e.Leaving
		known.Engine = e
		known.Leaving = leaving
		b.byID[e.ID] = known
		b.order = append(b.order, e.ID)
	}
	b.arrange()
	b.forgetFormerStarts(former)
}

// Pick selects the least loaded engine of a service and counts a request on it. It returns false if all
// engines are excluded, leaving, resting or without a permit, or if there are none. The caller must call Done for
// each engine that Pick returned.
func (b *Balancer) Pick(now time.Duration, service string, excluded []string) (Engine, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rotation++
	best := b.trialWithPermit(now, service, excluded)
	choose := b.leastLoaded
	if b.learning != nil {
		choose = b.pickLearned
	}
	if best == nil {
		best = choose(now, service, excluded, false)
	}
	if best == nil {
		best = choose(now, service, excluded, true)
	}
	if best == nil {
		return Engine{}, false
	}
	best.inFlight++
	if len(best.permits) > 0 {
		best.permits = best.permits[1:]
	}
	return best.Engine, true
}

// leastLoaded returns the engine with the lowest load, or nil. With includeSuspended it also considers
// suspended engines, which are better than none.
func (b *Balancer) leastLoaded(now time.Duration, service string, excluded []string, includeSuspended bool) *backend {
	var best *backend
	var lowest float64
	engines := b.engines[service]
	for i := range engines {
		e := engines[(b.rotation+i)%len(engines)] // rotate among equally loaded engines
		if !includeSuspended && now < e.suspendedUntil || !b.mayUse(now, e, excluded) {
			continue
		}
		load, usable := b.loadOf(now, e)
		if !usable {
			continue
		}
		if best == nil || load < lowest {
			best, lowest = e, load
		}
	}
	return best
}

// loadOf returns the load of an engine as a fraction of its slots, with what its distance and its pace count as. It
// is not usable if it has a rate limit and there is no permit for it.
func (b *Balancer) loadOf(now time.Duration, e *backend) (load float64, usable bool) {
	_, limited := b.notices.RateLimit(e.ID)
	if limited && e.usablePermits(now) == 0 {
		return 0, false
	}
	load = (float64(e.inFlight)+e.decayedLoad(now))/float64(e.Slots) + b.paceWeight*e.decayedSlowdown(now, b.paceTTL)
	if e.DataCentre != b.dataCentre && !limited { // a permit is lost if it is not used
		load += remotePenalty
	}
	return load, true
}

// mayUse reports whether an engine may get a request as far as its notices, its probation and its room are concerned.
func (b *Balancer) mayUse(now time.Duration, e *backend, excluded []string) bool {
	return b.mayUseIgnoringRoom(now, e, excluded) && b.hasRoom(now, e)
}

func (b *Balancer) mayUseIgnoringRoom(now time.Duration, e *backend, excluded []string) bool {
	return !e.Leaving && !slices.Contains(excluded, e.ID) && b.notices.MayUse(now, e.ID) && !(e.probation && e.inFlight > 0)
}

// decayedLoad returns the reported load of other instances, decayed by its age.
func (e *backend) decayedLoad(now time.Duration) float64 {
	age := now - e.reportedAt
	if age >= reportedLoadTTL {
		return 0
	}
	return e.otherLoad * (1 - float64(age)/float64(reportedLoadTTL))
}

// decayedSlowdown returns by how much longer than usual work takes according to the last report, decayed by
// its age. It is negative for an engine that is faster than usual.
func (e *backend) decayedSlowdown(now, ttl time.Duration) float64 {
	age := now - e.reportedAt
	if e.pace == 0 || age >= ttl {
		return 0
	}
	return (e.pace - 1) * (1 - float64(age)/float64(ttl))
}

// Done records the end of a request for which Pick returned the engine with this ID.
func (b *Balancer) Done(now time.Duration, id string, outcome Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.byID[id]
	if e == nil {
		return
	}
	e.inFlight = max(e.inFlight-1, 0)
	if b.notices.IsBrittle(now, e.Service) {
		b.permits.wake() // a request may wait for the room
	}
	switch outcome {
	case OutcomeCompleted:
		e.probation = false
		e.failureRate -= e.failureRate / failureWindow
	case OutcomeFailed, OutcomeConnectionLost:
		e.failureRate += (1 - e.failureRate) / failureWindow
		if e.failureRate > backendFailureLimit {
			e.suspendedUntil = now + backendPause
			e.failureRate /= 2
		}
	case OutcomeUnreachable:
		e.suspendedUntil = now + unreachablePause
	case OutcomeRefused:
		e.suspendedUntil = now + refusedPause
	case OutcomeBrittleRefused:
		e.fullUntil = now + brittlePause
	case OutcomeCancelled, OutcomeUnused:
	}
}

// ReportRest records that an engine has asked this instance for a rest. After the rest, which the notices
// hold, the engine gets one request at a time until it responds.
func (b *Balancer) ReportRest(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.byID[id]; e != nil {
		e.probation = true
	}
}

// ReportLoad records the total number of requests that an engine reported, including those of this
// instance, and the pace that it reported: how long work takes relative to the usual duration.
func (b *Balancer) ReportLoad(now time.Duration, id string, requests int, pace float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.byID[id]; e != nil {
		e.otherLoad = max(float64(requests-e.inFlight), 0)
		e.pace = pace
		e.reportedAt = now
	}
}
