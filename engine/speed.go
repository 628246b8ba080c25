package engine

import "time"

const (
	initialPrefillSeconds = 0.0002 // per prompt token, until measured
	initialDecodeSeconds  = 0.02   // per output token, until measured
	initialAnswerSeconds  = 0.05   // per request of a plain service, until measured
	prefillWeight         = 0.15   // weight of one first token in the learned prefill speed
	minimumPrefillTokens  = 32     // requests with less prefill work say little about its speed
	decodeWindow          = 100 * time.Millisecond
)

// speed is the learned speed of an engine.
type speed struct {
	prefillSeconds float64 // per prompt token
	decode         curve   // seconds per output token over requests on the engine
	answer         curve   // seconds per request over requests on the engine; plain services

	windowStart  time.Time
	windowTokens float64
	windowTime   float64
	windowBatch  float64
}

func newSpeed() speed {
	s := speed{prefillSeconds: initialPrefillSeconds}
	s.decode = newCurve(initialDecodeSeconds)
	s.answer = newCurve(initialAnswerSeconds)
	return s
}

func (s *speed) prefilled(tokens, seconds float64) {
	if tokens < minimumPrefillTokens || seconds <= 0 {
		return
	}
	s.prefillSeconds += prefillWeight * (seconds/tokens - s.prefillSeconds)
}

// decoded collects tokens over a window, so that the memory of the curve is a time and does not
// depend on how many streams report.
func (s *speed) decoded(now time.Time, tokens int, seconds, occupancy float64) {
	s.windowTokens += float64(tokens)
	s.windowTime += seconds
	s.windowBatch += occupancy * float64(tokens)
	if now.Sub(s.windowStart) < decodeWindow {
		return
	}
	s.decode.add(s.windowBatch/s.windowTokens, s.windowTime/s.windowTokens)
	s.windowStart = now
	s.windowTokens, s.windowTime, s.windowBatch = 0, 0, 0
}

func (s *speed) answered(seconds, occupancy float64) { s.answer.add(occupancy, seconds) }

func (s *speed) latency(plain bool) *curve {
	if plain {
		return &s.answer
	}
	return &s.decode
}

const (
	curveDecay     = 0.95 // weight that older samples keep when one is added
	minimumSpread  = 0.5  // variance of the occupancy below which no slope is fitted
	minimumAtEmpty = 0.2  // smallest value on an empty engine, relative to the mean
)

// curve is a straight line fitted to exponentially weighted samples of a time over the occupancy.
type curve struct{ weight, x, y, xx, xy float64 }

// newCurve starts with one sample of the given time, which fades as measurements arrive.
func newCurve(y float64) curve { return curve{weight: 1, x: 1, y: y, xx: 1, xy: y} }

func (c *curve) add(x, y float64) {
	c.weight = c.weight*curveDecay + 1
	c.x = c.x*curveDecay + x
	c.y = c.y*curveDecay + y
	c.xx = c.xx*curveDecay + x*x
	c.xy = c.xy*curveDecay + x*y
}

// mean returns the weighted mean time.
func (c *curve) mean() float64 { return c.y / c.weight }

// at returns the time at an occupancy.
func (c *curve) at(x float64) float64 {
	meanX, meanY := c.x/c.weight, c.y/c.weight
	spread := c.xx/c.weight - meanX*meanX
	if spread < minimumSpread {
		return meanY
	}
	slope := max((c.xy/c.weight-meanX*meanY)/spread, 0)
	return max(meanY+slope*(x-meanX), meanY*minimumAtEmpty)
}
