package placement

import "time"

const (
	// tierStep is what a tier is worth in the order of requests that can still be on time: a request
	// goes before one of the next tier that has up to this much less time left.
	tierStep = 150 * time.Millisecond
	// lateBase puts requests that can't be on time any more behind those that can: it is beyond the
	// longest objective together with the steps of all tiers.
	lateBase = time.Hour
	// lateStep separates the tiers of late requests.
	lateStep = 20 * time.Second
	// farDistance is what it costs to use an engine in another data centre: a round trip, and the
	// price of the bytes.
	farDistance = 10 * time.Millisecond
)

// urgency orders the waiting requests; the least goes first. Requests that can still be on time go
// first, by the time that they have left; work that is late anyway yields to them.
func (c *Core) urgency(now time.Duration, e *entry) time.Duration {
	slack := e.Objective - now - c.pace.least(e)
	if slack >= 0 {
		return slack + time.Duration(e.Tier)*tierStep
	}
	return lateBase + time.Duration(e.Tier)*lateStep + (e.Arrived-now)/4
}

// next returns the waiting request that goes first and may use one of the free engines.
func (c *Core) next(now time.Duration, s *service, free []*engine) *entry {
	var best *entry
	var least time.Duration
	for _, e := range s.waiting {
		u := c.urgency(now, e)
		if (best == nil || u < least) && e.usable(free) {
			best, least = e, u
		}
	}
	return best
}

// usable reports whether the request may go to one of the engines.
func (e *entry) usable(engines []*engine) bool {
	for _, at := range engines {
		if !e.excludes(at.ID) {
			return true
		}
	}
	return false
}

func (e *entry) excludes(engine string) bool {
	for _, id := range e.Excluded {
		if id == engine {
			return true
		}
	}
	return false
}

// best returns the free engine at which the request ends first; the request may use one of them.
func (c *Core) best(_ time.Duration, e *entry, free []*engine) *engine {
	var best *engine
	var least time.Duration
	for _, at := range free {
		if e.excludes(at.ID) {
			continue
		}
		cost := c.pace.finish(at, e) * time.Duration(at.Places+len(at.runs)) / time.Duration(at.Places)
		if at.DataCentre != e.DataCentre {
			cost += farDistance
		}
		if best == nil || cost < least {
			best, least = at, cost
		}
	}
	return best
}
