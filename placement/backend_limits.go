package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

// Parameters for learning about engines of plain services. Their requests work for some 30 ms and should be answered
// within 150 ms.
const (
	// backendPaceTime is the time constant with which durations are forgotten: half of the shortest spell that is worth
	// following.
	backendPaceTime = 300 * time.Millisecond
	// backendFailureTime is the time constant with which failures are forgotten.
	backendFailureTime = 3 * time.Second
	// maxFailureWeight bounds the responses that count for the share of failures, so that an engine that has recovered
	// is tried again after some 5 s.
	maxFailureWeight = 30
	// failureCertainty is the number of standard errors by which failures must exceed what is usual.
	failureCertainty = 2
	// failureCost is the load, as a fraction of an engine's slots, that certain failure counts as. A failed request loses
	// all of its worth, one that waits for others nothing until its objective has passed.
	failureCost = 32
	// learnedPaceWeight is the weight of the learned pace in the load of an engine. An engine that takes twice as long
	// counts as if all of its slots were in use in addition.
	learnedPaceWeight = 1
	// backendPacePrior is the number of responses at the usual pace that an engine starts with.
	backendPacePrior = 2
	// maxBackendPace bounds one duration relative to the usual one. Some requests take ten times as long as others.
	maxBackendPace = 5
	// choiceSpread is the difference of load, as a fraction of an engine's slots, by which a choice becomes e times less
	// likely. Reports are older than the decisions of other instances, so that the least loaded engine of all would get
	// all requests until the next report.
	choiceSpread = 0.4
	// usualWeight is the weight of one response in what is usual for a route.
	usualWeight = 0.02
	// backendObjectiveMargin is the fraction of the objective that a request may expect to take on an engine, so that
	// most meet it.
	backendObjectiveMargin = 0.8
	// maxUsualRoutes bounds the routes whose usual durations are kept; beyond it all are learned again.
	maxUsualRoutes = 1000
)

// backendRecord sums up the responses of an engine, decayed with their age.
type backendRecord struct {
	updated time.Duration
	// paceWeight is the number of durations, paceSum the sum of their ratios to what is usual on their routes.
	paceWeight, paceSum float64
	// failureWeight is the number of responses, failureSum the number of failures among them less the usual one.
	failureWeight, failureSum float64
}

func (r *backendRecord) decay(now time.Duration) {
	age := max(now-r.updated, 0)
	r.updated = max(r.updated, now)
	pace, failure := math.Exp(-float64(age)/float64(backendPaceTime)), math.Exp(-float64(age)/float64(backendFailureTime))
	r.paceWeight *= pace
	r.paceSum *= pace
	r.failureWeight *= failure
	r.failureSum *= failure
}

// add adds what was measured until now.
func (r *backendRecord) add(now time.Duration, report *BackendReport) {
	r.decay(now)
	r.paceWeight += report.Durations
	r.paceSum += report.PaceSum
	r.failureWeight += report.Responses
	r.failureSum += report.FailureSum
	if excess := r.failureWeight / maxFailureWeight; excess > 1 {
		r.failureWeight /= excess
		r.failureSum /= excess
	}
}

// pace returns how long requests take relative to what is usual.
func (r *backendRecord) pace() float64 {
	return (r.paceSum + backendPacePrior) / (r.paceWeight + backendPacePrior)
}

// failures returns the share of failures beyond the usual one, and its standard error. It is infinite without
// responses.
func (r *backendRecord) failures() (share, standardError float64) {
	if r.failureWeight <= 0 {
		return 0, math.Inf(1)
	}
	share = r.failureSum / r.failureWeight
	p := min(max(math.Abs(share), 0.1), 0.5)
	return share, math.Sqrt(p * (1 - p) / r.failureWeight)
}

// BackendReport is what was measured at an engine of a plain service: by one instance since its last report, or by all
// instances lately.
type BackendReport struct {
	Engine     string  `cbor:"1,keyasint"`
	Born       int64   `cbor:"2,keyasint,omitempty"` // start of the engine
	Durations  float64 `cbor:"3,keyasint,omitempty"` // number of durations
	PaceSum    float64 `cbor:"4,keyasint,omitempty"` // sum of their ratios to the usual duration of their route
	Responses  float64 `cbor:"5,keyasint,omitempty"` // number of responses and failures
	FailureSum float64 `cbor:"6,keyasint,omitempty"` // failures less those that are usual for the routes
	// Load is the number of requests that the engine has reported LoadAgeMS ago, less 0 if it has not.
	Load      int   `cbor:"7,keyasint,omitempty"`
	LoadAgeMS int64 `cbor:"8,keyasint,omitempty"`
}

// usualRoute is what is usual for the requests of a route, on all engines.
type usualRoute struct {
	seconds  movingMean // duration of responses
	failures movingMean // 1 for a failure, 0 for a response
}

// movingMean is the plain mean of the first values, and an exponentially weighted one of the later ones.
type movingMean struct{ value, count float64 }

func (m *movingMean) add(value float64) {
	m.count++
	m.value += (value - m.value) * max(usualWeight, 1/m.count)
}

// backendLearning is what a Balancer has learned about its engines. Nil if the feature is off.
type backendLearning struct {
	random  func() float64
	routes  map[string]*usualRoute    // keyed by service and route
	records map[string]*backendRecord // keyed by engine ID
	pending map[string]*BackendReport // measured since the last report, by engine ID
	plain   map[string]*plainService  // by name
}

// plainService is what the limits of the engines of a service follow from.
type plainService struct {
	unloaded  movingMean // seconds that requests take on engines with a free slot
	objective movingMean // objective of their routes in seconds
}

// limitOf returns the number of requests that an engine takes well: so many that the last of them, behind the others,
// meets the objective.
func (l *backendLearning) limitOf(e *backend) float64 {
	s := l.plain[e.Service]
	if s == nil || s.unloaded.value == 0 || s.objective.value == 0 {
		return math.Inf(1)
	}
	slots := float64(e.Slots)
	return max(slots*backendObjectiveMargin*s.objective.value/s.unloaded.value, slots)
}

// takesMore reports whether an engine takes one more request well.
func (l *backendLearning) takesMore(now time.Duration, e *backend) bool {
	return float64(e.inFlight)+e.decayedLoad(now) < l.limitOf(e)
}

// ReasonForNone returns the reason for which Pick finds no engine of a service that needs no permit.
func (b *Balancer) ReasonForNone(now time.Duration, service string, excluded []string) Reason {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.learning == nil {
		return ReasonNoEngine
	}
	for _, e := range b.engines[service] {
		if b.mayUse(now, e, excluded) && !b.learning.takesMore(now, e) {
			return ReasonOverload
		}
	}
	return ReasonNoEngine
}

// observeUnloaded learns how long requests take on an engine with a free slot, and their objective.
func (l *backendLearning) observeUnloaded(e *backend, took, objective time.Duration) {
	s := l.plain[e.Service]
	if s == nil {
		s = &plainService{}
		l.plain[e.Service] = s
	}
	if objective > 0 {
		s.objective.add(objective.Seconds())
	}
	if e.reportedAt > 0 && e.otherLoad+float64(e.inFlight) < float64(e.Slots) {
		s.unloaded.add(took.Seconds())
	}
}

// LearnLimits lets the Balancer learn how much each engine takes well.
func (b *Balancer) LearnLimits() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.learning = &backendLearning{
		random: rand.Float64,
		routes: map[string]*usualRoute{}, records: map[string]*backendRecord{}, pending: map[string]*BackendReport{},
		plain: map[string]*plainService{},
	}
}

func (l *backendLearning) record(engine string) *backendRecord {
	r := l.records[engine]
	if r == nil {
		r = &backendRecord{}
		l.records[engine] = r
	}
	return r
}

func (l *backendLearning) report(e *backend) *BackendReport {
	r := l.pending[e.ID]
	if r == nil {
		r = &BackendReport{Engine: e.ID, Born: e.Born}
		l.pending[e.ID] = r
	}
	return r
}

func (l *backendLearning) usual(service, route string) *usualRoute {
	key := service + "\x00" + route
	u := l.routes[key]
	if u == nil {
		if len(l.routes) >= maxUsualRoutes {
			clear(l.routes)
		}
		u = &usualRoute{}
		l.routes[key] = u
	}
	return u
}

// forgetFormerStarts drops what was learned about engines that are no longer listed or have started again.
func (b *Balancer) forgetFormerStarts(former map[string]*backend) {
	if b.learning == nil {
		return
	}
	for id, e := range former {
		if b.byID[id] != e {
			delete(b.learning.records, id)
			delete(b.learning.pending, id)
		}
	}
}

// Observation is how a request to an engine of a plain service went.
type Observation struct {
	Engine    string
	Route     string
	Objective time.Duration // of the route; 0 if it has none
	Took      time.Duration
	Failed    bool // the engine failed, or responded with an error
	GivenUp   bool // after Took, without a response
}

// Observe records how a request went.
func (b *Balancer) Observe(now time.Duration, o *Observation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.byID[o.Engine]
	if b.learning == nil || e == nil {
		return
	}
	u := b.learning.usual(e.Service, o.Route)
	one := BackendReport{}
	switch {
	case o.GivenUp && o.Took.Seconds() < u.seconds.value:
		return // it says nothing about the engine
	case o.GivenUp:
	case o.Failed:
		one.Responses, one.FailureSum = 1, 1-u.failures.value
		u.failures.add(1)
	default:
		one.Responses, one.FailureSum = 1, -u.failures.value
		u.failures.add(0)
		u.seconds.add(o.Took.Seconds())
		b.learning.observeUnloaded(e, o.Took, o.Objective)
	}
	if !o.Failed && u.seconds.value > 0 {
		one.Durations, one.PaceSum = 1, min(o.Took.Seconds()/u.seconds.value, maxBackendPace)
	}
	b.learning.record(o.Engine).add(now, &one)
	r := b.learning.report(e)
	r.Durations += one.Durations
	r.PaceSum += one.PaceSum
	r.Responses += one.Responses
	r.FailureSum += one.FailureSum
}

// BackendReports returns what was measured since the last call.
func (b *Balancer) BackendReports(now time.Duration) []BackendReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.learning == nil || len(b.learning.pending) == 0 {
		return nil
	}
	list := make([]BackendReport, 0, len(b.learning.pending))
	for id, r := range b.learning.pending {
		if e := b.byID[id]; e != nil && !isOtherStart(e.Born, r.Born) {
			r.Load, r.LoadAgeMS = int(e.otherLoad)+e.inFlight, (now - e.reportedAt).Milliseconds()
			list = append(list, *r)
		}
	}
	clear(b.learning.pending)
	return list
}

// SetBackendReports replaces what is known about engines by what all instances have measured. It includes what this
// one has reported.
func (b *Balancer) SetBackendReports(now time.Duration, list []BackendReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.learning == nil {
		return
	}
	for i := range list {
		shared := &list[i]
		e := b.byID[shared.Engine]
		if e == nil || isOtherStart(e.Born, shared.Born) {
			continue
		}
		r := b.learning.record(e.ID)
		*r = backendRecord{updated: now}
		r.add(now, shared)
		if at := now - time.Duration(shared.LoadAgeMS)*time.Millisecond; at > e.reportedAt {
			e.otherLoad, e.reportedAt = max(float64(shared.Load-e.inFlight), 0), at
		}
	}
}

// pickLearned picks an engine at random, so that each is the less likely the more loaded, slower or failing it is. It
// picks none if all of them have as many requests as they take well.
func (b *Balancer) pickLearned(now time.Duration, service string, excluded []string, includeSuspended bool) *backend {
	limited := len(excluded) == 0 // a request that engines have begun may not be refused as one that has not run
	type candidate struct {
		engine *backend
		load   float64
	}
	var candidates []candidate
	fewest := math.Inf(1) // share of failures at the best engine, at most
	for _, e := range b.engines[service] {
		if !includeSuspended && now < e.suspendedUntil || !b.mayUse(now, e, excluded) {
			continue
		}
		load, usable := b.loadOf(now, e)
		if !usable || limited && !b.learning.takesMore(now, e) {
			continue
		}
		r := b.learning.record(e.ID)
		r.decay(now)
		share, standardError := r.failures()
		fewest = min(fewest, share+failureCertainty*standardError)
		candidates = append(candidates, candidate{e, load + learnedPaceWeight*(r.pace()-1)})
	}
	lowest := math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		share, standardError := b.learning.record(c.engine.ID).failures()
		if certain := share - failureCertainty*standardError - fewest; certain > 0 {
			c.load += failureCost * certain
		}
		lowest = min(lowest, c.load)
	}
	total := 0.0
	for i := range candidates {
		candidates[i].load = math.Exp((lowest - candidates[i].load) / choiceSpread)
		total += candidates[i].load
	}
	left := b.learning.random() * total
	for i := range candidates {
		if left -= candidates[i].load; left <= 0 {
			return candidates[i].engine
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[len(candidates)-1].engine
}
