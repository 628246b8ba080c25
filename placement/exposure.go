package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosebeam/primrosebeam/rollout"
)

// While a service is moved to another software version, its engines differ in what they may get. See the package rollout
// for how an order is decided.

// Rollout is an order with the time at which it was given, by the clock of this process.
type Rollout struct {
	rollout.Rollout
	OrderedAt time.Duration
	// WithTolerance is set where the order was stored, until the leader changes: only there the tolerance is known to
	// be unused.
	WithTolerance bool
}

// access is what an engine may get because of the state of an order.
type access uint8

const (
	accessFree   access = iota
	accessTrial         // requests within the exposure of the new version
	accessPinned        // streams that began at its version
	accessNone
)

// accessTo returns the access to the engines of a version under an order. others states whether engines of another version
// than the target are listed, target whether those of the target are.
func accessTo(r *rollout.Rollout, version string, others, target bool) access {
	isTarget := version == r.Target
	switch {
	case r.State == rollout.StateActive && isTarget:
		return accessTrial
	case r.State == rollout.StateMoving && !isTarget:
		return accessPinned
	case r.State == rollout.StateCompleted && target && slices.Contains(r.Former, version) && !isTarget:
		return accessNone
	case r.State == rollout.StateRolledBack && isTarget && others:
		return accessNone
	}
	return accessFree
}

// listedVersions reports whether engines of the target of an order, and of other versions, are listed and not leaving.
func listedVersions(r *rollout.Rollout, engines []*Engine) (others, target bool) {
	for _, e := range engines {
		if e.Leaving {
			continue
		}
		others = others || e.Version != r.Target
		target = target || e.Version == r.Target
	}
	return others, target
}

// serviceRollout is the order of a service. trial is nil if it is not in progress, or not decided by this core.
type serviceRollout struct {
	rollout.Rollout
	trial *rollout.Trial
}

// SetRollouts replaces the orders of all services. Without limits the core never gives a new version anything while its
// order is active, as one that does not decide for all instances.
func (c *Core) SetRollouts(now time.Duration, list []Rollout, limits *rollout.Limits) {
	former := c.rollouts
	c.rollouts = make(map[string]*serviceRollout, len(list))
	for i := range list {
		r := &list[i]
		current := &serviceRollout{Rollout: r.Rollout}
		c.rollouts[r.Service] = current
		if limits == nil || !r.State.InProgress() {
			continue
		}
		if known := former[r.Service]; known != nil && known.Number == r.Number && known.trial != nil {
			current.trial = known.trial
		} else {
			current.trial = rollout.NewTrial(r.Rollout, r.OrderedAt, *limits)
		}
		if r.WithTolerance {
			current.trial.AllowTolerance()
		}
		current.trial.SetState(now, r.Rollout)
	}
	for _, s := range c.services {
		c.arrange(s)
	}
}

// DirectRollouts sets whether this core decides about the orders in progress. Only one core of the system does.
func (c *Core) DirectRollouts(directs bool) { c.directsRollouts = directs }

// arrange separates the engines of a service that may get any request from those that a rollout restricts.
func (c *Core) arrange(s *service) {
	all := append(s.engines, s.restricted...)
	slices.SortFunc(all, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
	s.engines, s.restricted = make([]*engine, 0, len(all)), nil
	accessOf := func(string) access { return accessFree }
	if r := c.rollouts[s.name]; r != nil {
		listed := make([]*Engine, len(all))
		for i, e := range all {
			listed[i] = &e.Engine
		}
		others, target := listedVersions(&r.Rollout, listed)
		accessOf = func(version string) access { return accessTo(&r.Rollout, version, others, target) }
	}
	for _, e := range all {
		if e.access = accessOf(e.Version); e.access == accessFree {
			s.engines = append(s.engines, e)
		} else {
			s.restricted = append(s.restricted, e)
		}
	}
	s.setMeanSlots()
	markLoadEngines(s.restricted)
}

// markLoadEngines spreads the load step of a rollout evenly over the engines in trial, which may differ by turns.
func markLoadEngines(restricted []*engine) {
	var trial []*engine
	for _, e := range restricted {
		if e.access == accessTrial {
			trial = append(trial, e)
		}
	}
	count := rollout.LoadEngines(len(trial))
	for i, e := range trial {
		e.takesLoad = i*count/len(trial) != (i-1)*count/len(trial) || i == 0
	}
}

// appendRestricted adds the restricted engines of a service that have a free slot and may get a request now. A pinned
// engine takes some requests only, see acceptsEngine.
func (c *Core) appendRestricted(now time.Duration, s *service, free []*engine) []*engine {
	if len(s.restricted) == 0 {
		return free
	}
	t := c.directedTrial(s.name)
	isAvailable := t != nil && t.Available(now) >= 1
	for _, e := range s.restricted {
		mayUse := e.access == accessPinned || e.access == accessTrial && isAvailable && (e.takesLoad || !t.IsLoading())
		if mayUse && (c.scope == "" || e.DataCentre == c.scope) && e.hasFreeSlot(now) && c.isWithinRate(now, e.ID) {
			free = append(free, e)
		}
	}
	return free
}

// preferTrial returns the engines in trial among those that are free, or all if there are none. Without a preference a new
// version would get nothing while engines that are known to be fast have room, and no verdict.
func preferTrial(free []*engine) []*engine {
	isTrial := func(e *engine) bool { return e.access == accessTrial }
	if !slices.ContainsFunc(free, isTrial) {
		return free
	}
	var trial []*engine
	for _, e := range free {
		if isTrial(e) {
			trial = append(trial, e)
		}
	}
	return trial
}

// choosePreferringTrial chooses among the engines in trial and, if that yields nothing, among all.
func choosePreferringTrial(
	free []*engine, choose func([]*engine) (*trackedRequest, *engine),
) (*trackedRequest, *engine) {
	preferred := preferTrial(free)
	r, e := choose(preferred)
	if r == nil && len(preferred) < len(free) {
		r, e = choose(free)
	}
	return r, e
}

// directedTrial returns the trial of a service that this core decides about, or nil.
func (c *Core) directedTrial(service string) *rollout.Trial {
	if r := c.rollouts[service]; r != nil && c.directsRollouts {
		return r.trial
	}
	return nil
}

// acceptsEngine reports whether the request may run on an engine as far as software versions are concerned.
func (r *Request) acceptsEngine(e *engine) bool {
	if e.access == accessPinned && r.Version != e.Version {
		return false
	}
	return r.acceptsVersion(e.Version)
}

// countGrant counts a grant for the trial of its service.
func (c *Core) countGrant(now time.Duration, e *engine) {
	t := c.directedTrial(e.Service)
	if t == nil {
		return
	}
	t.Count(now, 1)
	if e.access == accessTrial {
		t.Expose(1)
	}
}

// observeRun passes what became known about a model request to the trial of its service.
func (c *Core) observeRun(now time.Duration, r *trackedRequest, e *engine, outcome Outcome, ended bool, tokens int) {
	o := c.rollouts[e.Service]
	if o == nil || o.trial == nil || e.Version == "" {
		return
	}
	isNew := e.Version == o.Target
	sample := rollout.Sample{Engine: e.ID, Route: r.Route, Ended: ended}
	switch outcome {
	case OutcomeUnused, OutcomeRefused, OutcomeBrittleRefused, OutcomeUnreachable:
		return // says nothing about the version
	case OutcomeFailed, OutcomeConnectionLost:
		sample.Failed = true
	case OutcomeCompleted:
		sample.Failed = r.serverError
	}
	switch {
	case !r.started:
		sample.First = now - r.grantedAt
	case !ended:
		sample.First = r.firstEventAt - r.grantedAt
	case tokens > 0:
		sample.Rest = (now - r.firstEventAt) / time.Duration(tokens)
	}
	o.trial.Observe(now, isNew, sample)
}

// MarkServerError records that the response to a run is a server error, before End is called for the run.
func (c *Core) MarkServerError(id RequestID) {
	if r := c.requests[id]; r != nil {
		r.serverError = true
	}
}

// RecordPlainRequests counts requests of an instance to a plain service, and passes the samples of some of them to the
// trial of the service.
func (c *Core) RecordPlainRequests(now time.Duration, service string, requests int, samples []rollout.Sample) {
	o := c.rollouts[service]
	if o == nil || o.trial == nil {
		return
	}
	o.trial.Count(now, requests)
	for i := range samples {
		if e := c.engines[samples[i].Engine]; e != nil && e.Service == service {
			o.trial.Observe(now, e.Version == o.Target, samples[i])
		}
	}
}

// isExposing reports whether an order in progress is decided here.
func (c *Core) isExposing() bool {
	if !c.directsRollouts {
		return false
	}
	for _, r := range c.rollouts {
		if r.trial != nil {
			return true
		}
	}
	return false
}

// grantTrialPermits grants permits for the engines of new versions within their exposure.
func (c *Core) grantTrialPermits(now time.Duration) []Permit {
	var permits []Permit
	for name := range c.rollouts {
		t, s := c.directedTrial(name), c.services[name]
		if t == nil || s == nil {
			continue
		}
		// The engines take turns, so that the judge hears of all of them.
		start := int(c.permitCount)
		for left, tried := t.Available(now), 0; left > 0 && tried < len(s.restricted); {
			e := s.restricted[(start+tried)%len(s.restricted)]
			if e.access != accessTrial || e.Leaving || t.IsLoading() && !e.takesLoad || !c.isWithinRate(now, e.ID) {
				tried++
				continue
			}
			o := c.nextPermitOwner(e)
			if o == nil {
				break
			}
			c.addToRate(e.ID, -1)
			c.permitCount++
			o.granted = c.permitCount
			t.Expose(1)
			permits = append(permits, Permit{Owner: o.name, Engine: e.ID})
			start, tried = start+tried+1, 0
			left--
		}
	}
	return permits
}

// RolloutDecisions returns the decisions about orders that have to be stored now. They are repeated until SetRollouts shows
// that they were.
func (c *Core) RolloutDecisions(now time.Duration) []rollout.Decision {
	if !c.directsRollouts {
		return nil
	}
	var decisions []rollout.Decision
	for name, o := range c.rollouts {
		if o.trial == nil {
			continue
		}
		if d := o.trial.Step(now, c.enginesOf(name, o.Target)); d != nil {
			decisions = append(decisions, *d)
		}
	}
	return decisions
}

// enginesOf summarizes the engines of a service for a trial.
func (c *Core) enginesOf(service, target string) rollout.Engines {
	var out rollout.Engines
	s := c.services[service]
	if s == nil {
		return out
	}
	for _, list := range [][]*engine{s.engines, s.restricted} {
		for _, e := range list {
			switch {
			case e.Leaving:
			case e.Version == target:
				out.NewEngines++
				out.NewSlots += e.Slots
			default:
				out.OldSlots += e.Slots
				if !slices.Contains(out.OldVersions, e.Version) {
					out.OldVersions = append(out.OldVersions, e.Version)
				}
			}
		}
	}
	for _, e := range c.engines {
		if e.Service == service && e.Version != target && e.Version != "" {
			out.OldRunning += len(e.runs)
		}
	}
	slices.Sort(out.OldVersions)
	return out
}

// RolloutStatus describes the trial of an order, for logs.
type RolloutStatus struct {
	Exposed, Requests int
	Verdict           string // reason of the last verdict
}

// RolloutStatus returns the status of the trial of a service.
func (c *Core) RolloutStatus(service string) RolloutStatus {
	o := c.rollouts[service]
	if o == nil || o.trial == nil {
		return RolloutStatus{}
	}
	exposed, requests := o.trial.Exposed()
	_, reason := o.trial.Verdict()
	return RolloutStatus{exposed, requests, reason}
}

// ExposureInProgress returns the sums over the orders that this core decides about.
func (c *Core) ExposureInProgress() RolloutStatus {
	var total RolloutStatus
	for service := range c.rollouts {
		if t := c.directedTrial(service); t != nil {
			exposed, requests := t.Exposed()
			total.Exposed, total.Requests = total.Exposed+exposed, total.Requests+requests
		}
	}
	return total
}
