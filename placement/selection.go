package placement

import (
	"math"
	"time"
)

const (
	// tierFactor is the value of a request relative to one of the next more urgent tier. The users value
	// their three kinds of requests at 9, 1.8 and 0.41. The kind that is served worst counts a second
	// time, which raises the value of the lower tiers.
	tierFactor = 0.3
	// lateValue is the value of a late response relative to one on time. The users value it at three
	// tenths.
	lateValue = 0.3
	// partlyDeliveredFactor is the value of continuing a response that is already partly delivered,
	// relative to a new request. Such a request goes ahead of almost all others, because its caller
	// disconnects after eight times the pause between events that still counts as on time.
	partlyDeliveredFactor = 100
	// missedDeadlineValue is the value of running a request on an engine where it will most likely miss
	// its deadline. It is above 0 so that a slot which no other request can use is not left idle.
	missedDeadlineValue = 0.02
	// finishTimeMargin is the factor by which the time from the first event to the end may be
	// underestimated.
	finishTimeMargin = 1.2
	// remoteDataCentreCost is the cost of an engine in another data centre: a network round trip and the
	// price of the traffic.
	remoteDataCentreCost = 10 * time.Millisecond
)

// lowestDensity is the value for slot time below which a request is not served: it takes far more from running streams
// than it is worth.
const lowestDensity = -1.0

// selectNext returns the request to run next and the engine for it: the waiting request with the highest
// value per second of slot time, and the free engine on which it finishes first.
func (c *Core) selectNext(now time.Duration, s *service, free []*engine) (*trackedRequest, *engine) {
	if s.shares != nil {
		return c.selectInShares(now, s, free)
	}
	return c.mostValuable(now, s, free, func(*trackedRequest) bool { return true })
}

// mostValuable returns the waiting request with the highest value per second of slot time among those that may go now,
// and the free engine on which it finishes first.
func (c *Core) mostValuable(
	now time.Duration, s *service, free []*engine, mayGo func(*trackedRequest) bool,
) (*trackedRequest, *engine) {
	var best *trackedRequest
	var bestEngine *engine
	highest := lowestDensity
	for _, r := range s.waiting {
		if r.valueDensity <= highest || !mayGo(r) {
			continue // no engine gives a request more than its value
		}
		if s.suspects.mustWait(now, r.Parts) {
			continue
		}
		engine, value := c.bestEngine(now, r, free)
		if engine == nil {
			continue
		}
		if c.features.BestFit {
			if r.held = c.shouldHold(now, s, r, engine, value); r.held {
				continue
			}
		}
		if density := value * r.valueDensity; density > highest {
			best, bestEngine, highest = r, engine, density
		}
	}
	return best, bestEngine
}

// workExponent is the exponent of the slot time in the value density. It is below 1 so that large requests
// are not served much less often than small ones.
const workExponent = 0.8

// minWork is added to the slot time of each request, so that tiny requests do not appear to cost nothing.
const minWork = 50 * time.Millisecond

// setDensity sets the size class and the value density of a request. The value is relative to a request of
// mean size in the most urgent tier that is served on time.
func (c *Core) setDensity(s *service, r *trackedRequest) {
	stats := s.routeStats(r.Route)
	size := stats.relativeSize(r)
	r.sizeClass = sizeClass(size)
	value := math.Pow(tierFactor, float64(r.Tier)) * sizeValue(size) * stats.rates.boostOf(r.sizeClass)
	if r.PartlyDelivered {
		value *= partlyDeliveredFactor
	}
	r.value = value
	r.valueDensity = value / math.Pow((c.latency.slotTime(r, s.slots())+minWork).Seconds(), workExponent)
}

// bestEngine returns the free engine that serves a request best, and the fraction of its value that the
// request can still achieve there, less the value that it takes from running streams.
func (c *Core) bestEngine(now time.Duration, r *trackedRequest, free []*engine) (*engine, float64) {
	var best *engine
	var value float64
	var lowestCost time.Duration
	for _, e := range free {
		if r.excludes(e.ID) || e.restsFor(now, r.Owner) || !r.acceptsEngine(e) {
			continue
		}
		v, cost := c.valueAt(now, r, e)-c.harmAt(now, r, e), c.costAt(r, e)
		if best == nil || v > value || v == value && cost < lowestCost {
			best, value, lowestCost = e, v, cost
		}
	}
	return best, value
}

// valueAt returns the fraction of its value that a request can still achieve on an engine.
func (c *Core) valueAt(now time.Duration, r *trackedRequest, e *engine) float64 {
	if c.features.BestFit {
		return c.fittedValueAt(now, r, e)
	}
	first := c.latency.timeToFirstEvent(e, r)
	end := now + first + time.Duration(float64(c.latency.timeToFinish(e, r)-first)*finishTimeMargin)
	switch {
	case end > r.Deadline || now+first > r.FirstEventDeadline:
		return missedDeadlineValue
	case now+first > r.FirstEventDue:
		return lateValue
	}
	return 1
}

// chunkTokens is the number of prompt tokens that an engine is assumed to process between two steps of its running
// requests. The users' engines use 2,048 and 4,096.
const chunkTokens = 3000

// harmAt returns the value that running streams lose on an engine, relative to the value of r, because the prompt of
// r would delay their events beyond the pause with which they are on time. A prompt is processed in chunks between
// the steps of the running streams, so that an event is delayed by one chunk for each of its tokens.
func (c *Core) harmAt(now time.Duration, r *trackedRequest, e *engine) float64 {
	if r.value <= 0 {
		return 0
	}
	if c.features.BestFit {
		return c.marginalHarm(now, r, e)
	}
	perToken := c.latency.prefillMS * e.slowness
	prompts := e.pendingPromptTokens() + float64(r.PromptTokens)
	harm := 0.0
	for _, other := range e.runs {
		if !other.started || other.EventGap <= 0 {
			continue
		}
		delayed := min(prompts, float64(other.TokensPerEvent)*chunkTokens)
		if milliseconds(delayed*perToken) > other.EventGap {
			harm += (1 - lateValue) * other.value
		}
	}
	return harm / r.value
}

// costAt returns the time until a request would end on an engine, increased with the number of requests
// that run there and by remoteDataCentreCost for an engine in another data centre.
func (c *Core) costAt(r *trackedRequest, e *engine) time.Duration {
	cost := c.latency.timeToFinish(e, r) * time.Duration(e.Slots+len(e.runs)) / time.Duration(e.Slots)
	if e.DataCentre != r.DataCentre {
		cost += remoteDataCentreCost
	}
	return cost
}

func (r *trackedRequest) excludes(engine string) bool {
	for _, id := range r.ExcludedEngines {
		if id == engine {
			return true
		}
	}
	return false
}
