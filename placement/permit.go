package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Instances choose the engines of plain services by themselves. An engine that states a rate limit takes their
// requests together, so a request to it needs a permit, which the core of the allocator grants within the limit.
// Instances tell how many permits they can use and get them in advance, because a request takes no longer than
// asking for one.

// PermitDemand states how many permits an instance can use for the engines of a service that state rate limits.
type PermitDemand struct {
	Service  string `cbor:"1,keyasint"`
	Waiting  int    `cbor:"2,keyasint,omitempty"` // requests that wait for a permit
	Expected int    `cbor:"3,keyasint,omitempty"` // further requests that are expected soon
}

// Permit allows an instance to send one request to an engine within permitTTL.
type Permit struct {
	Owner  string
	Engine string
}

const (
	// permitTTL is how long a permit may be used. Longer, and more requests than the limit allows could be sent at
	// once; shorter, and permits of instances with few requests would be lost.
	permitTTL = time.Second
	// demandWindow is the time constant with which the requests of an instance are counted to foresee its demand.
	demandWindow = time.Second
)

// permitOwner is an instance and the permits that it can use.
type permitOwner struct {
	name       string
	dataCentre string
	demand     []PermitDemand
	granted    uint64 // number of the last permit, to take turns
}

func (o *permitOwner) demandFor(service string) *PermitDemand {
	for i := range o.demand {
		if o.demand[i].Service == service {
			return &o.demand[i]
		}
	}
	return nil
}

// SetPermitDemand replaces the demand of an instance.
func (c *Core) SetPermitDemand(owner, dataCentre string, demand []PermitDemand) {
	o := c.permitOwners[owner]
	switch {
	case len(demand) == 0:
		delete(c.permitOwners, owner)
		return
	case o == nil:
		o = &permitOwner{name: owner}
		c.permitOwners[owner] = o
	}
	o.dataCentre = dataCentre
	o.demand = slices.Clone(demand)
}

// WantsPermits reports whether an instance can use permits.
func (c *Core) WantsPermits() bool { return len(c.pacers) > 0 && len(c.permitOwners) > 0 }

// GrantPermits grants the permits that the rate limits allow now.
func (c *Core) GrantPermits(now time.Duration) []Permit {
	if !c.WantsPermits() {
		return nil
	}
	var permits []Permit
	for id := range c.pacers {
		e := c.engines[id]
		if e == nil || e.Leaving || c.scope != "" && e.DataCentre != c.scope {
			continue
		}
		for c.isWithinRate(now, id) {
			o := c.nextPermitOwner(e)
			if o == nil {
				break
			}
			c.addToRate(id, -1)
			c.permitCount++
			o.granted = c.permitCount
			permits = append(permits, Permit{Owner: o.name, Engine: id})
		}
	}
	return permits
}

// nextPermitOwner returns the instance that gets the next permit for an engine and takes it off its demand: one with
// the most requests that wait, else one that expects requests, in the engine's data centre if possible.
func (c *Core) nextPermitOwner(e *engine) *permitOwner {
	var best *permitOwner
	var bestDemand *PermitDemand
	for _, o := range c.permitOwners {
		demand := o.demandFor(e.Service)
		if demand == nil || demand.Waiting+demand.Expected <= 0 {
			continue
		}
		if best == nil || precedes(e, o, demand, best, bestDemand) {
			best, bestDemand = o, demand
		}
	}
	if best == nil {
		return nil
	}
	if bestDemand.Waiting > 0 {
		bestDemand.Waiting--
	} else {
		bestDemand.Expected--
	}
	return best
}

// precedes reports whether instance a gets a permit before instance b.
func precedes(e *engine, a *permitOwner, demandA *PermitDemand, b *permitOwner, demandB *PermitDemand) bool {
	if order := cmp.Compare(demandA.Waiting, demandB.Waiting); order != 0 {
		return order > 0
	}
	if nearA, nearB := a.dataCentre == e.DataCentre, b.dataCentre == e.DataCentre; demandA.Waiting == 0 && nearA != nearB {
		return nearA
	}
	if a.granted != b.granted {
		return a.granted < b.granted
	}
	return a.name < b.name
}

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
// and this instance has no permit.
func (b *Balancer) NeedsPermit(now time.Duration, service string, excluded []string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.engines[service] {
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
