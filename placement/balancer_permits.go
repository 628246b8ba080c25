package placement

import (
	"math"
	"slices"
	"time"
)

// demandWindow is the time constant with which the requests of an instance are counted to foresee its demand.
const demandWindow = time.Second

// recentDemand counts the requests to a service with an exponential decay.
type recentDemand struct {
	requests float64
	updated  time.Duration
}

// minExpected is the number of expected requests below which no permit is asked for.
const minExpected = 0.1

func (d *recentDemand) decay(now time.Duration) {
	d.requests *= math.Exp(-(now - d.updated).Seconds() / demandWindow.Seconds())
	d.updated = now
}

// expected returns the number of requests that are expected within demandWindow.
func (d *recentDemand) expected(now time.Duration) int {
	d.decay(now)
	if d.requests < minExpected {
		return 0
	}
	return int(math.Ceil(d.requests))
}

// permitState is what a Balancer knows about permits.
type permitState struct {
	demand  map[string]*recentDemand // keyed by service
	waiting map[string]int           // requests that wait for a permit, by service
	changed chan struct{}            // closed and replaced when a permit arrives or a rate limit changes
}

func newPermitState() permitState {
	return permitState{demand: map[string]*recentDemand{}, waiting: map[string]int{}, changed: make(chan struct{})}
}

// usablePermits removes the expired permits of an engine and returns the number of those that are left.
func (e *backend) usablePermits(now time.Duration) int {
	e.permits = slices.DeleteFunc(e.permits, func(end time.Duration) bool { return now >= end })
	return len(e.permits)
}

// AddPermits records permits for requests to an engine.
func (b *Balancer) AddPermits(now time.Duration, engineID string, count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.byID[engineID]
	if e == nil {
		return
	}
	for range count {
		e.permits = append(e.permits, now+permitTTL)
	}
	b.permits.wake()
}

// RateLimitsChanged lets the requests that wait for a permit look for an engine again.
func (b *Balancer) RateLimitsChanged() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.permits.wake()
}

func (p *permitState) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// PermitsChanged returns a channel that is closed when a permit arrives or a rate limit changes.
func (b *Balancer) PermitsChanged() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.permits.changed
}

// AwaitPermit counts a request that waits for a permit, until the returned function is called.
func (b *Balancer) AwaitPermit(service string) (end func()) {
	add := func(n int) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.permits.waiting[service] += n
	}
	add(1)
	return func() { add(-1) }
}

// NeedsPermit reports whether Pick finds no engine of a service because those that could be used state rate limits
// and this instance has no permit, or because they are brittle and its share of their slots is used.
func (b *Balancer) NeedsPermit(now time.Duration, service string, excluded []string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.engines[service] {
		if b.mayUseIgnoringRoom(now, e, excluded) && !b.hasRoom(now, e) {
			return true
		}
		if _, limited := b.notices.RateLimit(e.ID); limited && b.mayUse(now, e, excluded) {
			return true
		}
	}
	return false
}

// PermitDemand returns the permits that this instance can use now.
func (b *Balancer) PermitDemand(now time.Duration) []PermitDemand {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []PermitDemand
	for service, engines := range b.engines {
		held, limited := 0, false
		for _, e := range engines {
			if _, isLimited := b.notices.RateLimit(e.ID); isLimited && !e.Leaving {
				limited = true
				held += e.usablePermits(now)
			}
		}
		inTrial, isInTrial := b.trialPermits(now, service)
		held, limited = held+inTrial, limited || isInTrial
		demand := b.permits.demand[service]
		if !limited || demand == nil {
			continue
		}
		wanted := PermitDemand{Service: service, Waiting: b.permits.waiting[service]}
		wanted.Expected = max(demand.expected(now)-held, 0)
		if wanted.Waiting+wanted.Expected > 0 {
			list = append(list, wanted)
		}
	}
	return list
}

// CountRequest counts a request to a service, from which the demand for permits is foreseen.
func (b *Balancer) CountRequest(now time.Duration, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.permits.demand[service]
	if d == nil {
		d = &recentDemand{updated: now}
		b.permits.demand[service] = d
	}
	d.decay(now)
	d.requests++
}
