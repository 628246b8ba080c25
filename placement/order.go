package placement

import (
	"math"
	"time"
)

const (
	// tierValue is what a request is worth in relation to one of the tier before it. The users value
	// their kinds of requests at 9, 1.8 and 0.41, and the worst-served kind counts once more, which
	// raises the lower tiers.
	tierValue = 0.3
	// lateValue is what an answer that is late is worth in relation to one that is on time. The users
	// value it at three tenths.
	lateValue = 0.3
	// begunValue is what an answer that its caller has in part is worth in relation to a new one. It goes
	// before almost all others, as its caller leaves after eight pauses of the length that is on time.
	begunValue = 100
	// uselessValue is what a place is worth to a request that most likely can't end in time there. It
	// is used when nothing else can use the place.
	uselessValue = 0.02
	// finishMargin is the part by which an estimate of the end may be too short.
	finishMargin = 1.2
	// farDistance is what it costs to use an engine in another data centre: a round trip, and the
	// price of the bytes.
	farDistance = 10 * time.Millisecond
)

// next returns the waiting request and the free engine that belong together: the request that is worth
// most for the time that it keeps a place, at the engine where it ends first.
func (c *Core) next(now time.Duration, s *service, free []*engine) (*entry, *engine) {
	var best *entry
	var at *engine
	highest := -1.0
	for _, e := range s.waiting {
		engine, value := c.bestEngine(now, e, free)
		if engine == nil {
			continue
		}
		if density := value * e.density; density > highest {
			best, at, highest = e, engine, density
		}
	}
	return best, at
}

// workPower is below 1 so that large requests are not served much less often than small ones.
const workPower = 0.8

// minimalWork keeps tiny requests from counting as free.
const minimalWork = 50 * time.Millisecond

// setDensity sets what an answer on time is worth, in relation to a usual one of the most urgent tier,
// for a second of a place.
func (c *Core) setDensity(s *service, e *entry) {
	k := s.kind(e.Route)
	size := k.relativeSize(e)
	e.class = class(size)
	worth := math.Pow(tierValue, float64(e.Tier)) * sizeWorth(size) * k.shares.raise(e.class)
	if e.PartlyDelivered {
		worth *= begunValue
	}
	e.density = worth / math.Pow((c.pace.work(e, s.places())+minimalWork).Seconds(), workPower)
}

// bestEngine returns the free engine that serves a request best, and the part of its worth that it
// can still earn there.
func (c *Core) bestEngine(now time.Duration, e *entry, free []*engine) (*engine, float64) {
	var best *engine
	var value float64
	var least time.Duration
	for _, at := range free {
		if e.excludes(at.ID) {
			continue
		}
		v, cost := c.valueAt(now, e, at), c.costAt(e, at)
		if best == nil || v > value || v == value && cost < least {
			best, value, least = at, v, cost
		}
	}
	return best, value
}

// valueAt is the part of its worth that a request can still earn at an engine.
func (c *Core) valueAt(now time.Duration, e *entry, at *engine) float64 {
	first := c.pace.firstEvent(at, e)
	end := now + first + time.Duration(float64(c.pace.finish(at, e)-first)*finishMargin)
	switch {
	case end > e.Deadline || now+first > e.FirstEventDeadline:
		return uselessValue
	case now+first > e.FirstEventDue:
		return lateValue
	}
	return 1
}

// costAt is the time to the end of a request at an engine, longer where more requests run.
func (c *Core) costAt(e *entry, at *engine) time.Duration {
	cost := c.pace.finish(at, e) * time.Duration(at.Slots+len(at.runs)) / time.Duration(at.Slots)
	if at.DataCentre != e.DataCentre {
		cost += farDistance
	}
	return cost
}

func (e *entry) excludes(engine string) bool {
	for _, id := range e.ExcludedEngines {
		if id == engine {
			return true
		}
	}
	return false
}
