package placement

import (
	"time"

	"github.com/primrosebeam/primrosebeam/rollout"
)

// SetRollouts replaces the orders of all services. While an order is active, the engines of its target are used with
// permits only, like those that state a rate limit; but no request waits for one.
func (b *Balancer) SetRollouts(list []rollout.Rollout) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rollouts = make(map[string]rollout.Rollout, len(list))
	for _, r := range list {
		b.rollouts[r.Service] = r
	}
	b.arrange()
	b.permits.wake()
}

// arrange separates the engines that may get any request from those in trial. Engines that may get none are in neither
// list; the requests that they have go on.
func (b *Balancer) arrange() {
	services := map[string][]*backend{}
	for _, id := range b.order {
		e := b.byID[id]
		services[e.Service] = append(services[e.Service], e)
	}
	b.inTrial = map[string][]*backend{}
	for service, engines := range services {
		r, ordered := b.rollouts[service]
		if !ordered {
			b.engines[service] = engines
			continue
		}
		listed := make([]*Engine, len(engines))
		for i, e := range engines {
			listed[i] = &e.Engine
		}
		others, target := listedVersions(&r, listed)
		b.engines[service] = []*backend{}
		for _, e := range engines {
			switch accessTo(&r, e.Version, others, target) {
			case accessFree:
				b.engines[service] = append(b.engines[service], e)
			case accessTrial:
				b.inTrial[service] = append(b.inTrial[service], e)
			}
		}
	}
}

// trialWithPermit returns the least loaded engine in trial for which a permit is held, or nil. It goes before all others,
// because a permit is lost if it is not used.
func (b *Balancer) trialWithPermit(now time.Duration, service string, excluded []string) *backend {
	var best *backend
	for _, e := range b.inTrial[service] {
		if now < e.suspendedUntil || !b.mayUse(now, e, excluded) || e.usablePermits(now) == 0 {
			continue
		}
		if best == nil || e.inFlight < best.inFlight {
			best = e
		}
	}
	return best
}

// trialPermits returns the number of permits that are held for the engines in trial of a service, and whether there is
// such an engine.
func (b *Balancer) trialPermits(now time.Duration, service string) (held int, inTrial bool) {
	for _, e := range b.inTrial[service] {
		if !e.Leaving {
			held += e.usablePermits(now)
			inTrial = true
		}
	}
	return held, inTrial
}

// IsMeasured reports whether the allocator has to learn of the requests to a service because of an order in progress.
func (b *Balancer) IsMeasured(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ordered := b.rollouts[service]
	return ordered && r.State.InProgress()
}

// otherVersionsInTrial returns the IDs of the engines in trial whose software version is not the given one.
func (b *Balancer) otherVersionsInTrial(service, version string) []string {
	var ids []string
	for _, e := range b.inTrial[service] {
		if e.Version != version {
			ids = append(ids, e.ID)
		}
	}
	return ids
}
