package scheduler

import (
	"math"
	"time"
)

// floorLifetime is the time until a published floor expires. It spans several exchange periods of
// 500 ms, so that the loss of one message does not lift the floor.
const floorLifetime = 2 * time.Second

// noFloor is the floor that admits every tier.
const noFloor = math.MaxInt

// floors holds the admission floors of the other instances and the one published by this one.
type floors struct {
	byInstance map[string]PeerFloor
	tier       int       // lowest tier admitted by every valid floor
	until      time.Time // time at which tier has to be recomputed

	published      int
	publishedUntil time.Time
}

func newFloors() floors {
	return floors{byInstance: map[string]PeerFloor{}, tier: noFloor, published: noFloor}
}

func (f *floors) set(now time.Time, p PeerFloor) {
	f.byInstance[p.Instance] = p
	f.recompute(now)
}

func (f *floors) recompute(now time.Time) {
	f.tier = noFloor
	f.until = time.Time{}
	for instance, p := range f.byInstance {
		if !now.Before(p.Expires) {
			delete(f.byInstance, instance)
			continue
		}
		f.tier = min(f.tier, p.Tier)
		if f.until.IsZero() || p.Expires.Before(f.until) {
			f.until = p.Expires
		}
	}
}

// lowestAdmitted returns the lowest tier that is admitted at now.
func (f *floors) lowestAdmitted(now time.Time) int {
	if len(f.byInstance) > 0 && !now.Before(f.until) {
		f.recompute(now)
	}
	return f.tier
}

// publishFloor asks the other instances to admit no work below the tier from which this instance is
// about to shed. A floor at the lowest tier has no effect and is not published.
func (s *Scheduler) publishFloor(now time.Time, tier int) {
	if tier >= len(s.policy.Tiers)-1 {
		return
	}
	f := &s.floors
	if tier >= f.published && f.publishedUntil.Sub(now) > floorLifetime/2 {
		return
	}
	f.published = tier
	f.publishedUntil = now.Add(floorLifetime)
	s.decide(Decision{Kind: DecideFloor, Tier: tier, Expires: f.publishedUntil})
}
