package scheduler

import (
	"math"
	"time"
)

// floorLife is how long a published floor holds. It spans several exchange periods of 500 ms, so
// that the loss of one message does not lift it.
const floorLife = 2 * time.Second

// noFloor admits every tier.
const noFloor = math.MaxInt

// floors holds the admission floors of the other instances and the one published by this one.
type floors struct {
	byInstance map[string]PeerFloor
	tier       int       // lowest tier admitted by every valid floor
	until      time.Time // when tier has to be recomputed

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

// lowest returns the lowest tier that may be admitted.
func (f *floors) lowest(now time.Time) int {
	if len(f.byInstance) > 0 && !now.Before(f.until) {
		f.recompute(now)
	}
	return f.tier
}

// publishFloor asks the other instances to admit nothing below a tier that is about to be shed
// here. A floor under the lowest tier would bar nothing and is not published.
func (s *Scheduler) publishFloor(now time.Time, tier int) {
	if tier >= len(s.policy.Tiers)-1 {
		return
	}
	f := &s.floors
	if tier >= f.published && f.publishedUntil.Sub(now) > floorLife/2 {
		return
	}
	f.published = tier
	f.publishedUntil = now.Add(floorLife)
	s.decide(Decision{Kind: DecideFloor, Tier: tier, Expires: f.publishedUntil})
}
