package engine

import "time"

const (
	initialPrefillSeconds  = 0.0002 // seconds per prompt token until measured
	initialDecodeSeconds   = 0.02   // seconds per output token until measured
	initialResponseSeconds = 0.05   // seconds per request of a plain service until measured
	prefillWeight          = 0.15   // weight of one first token in the moving average of the prefill time
	minimumPrefillTokens   = 32     // requests with fewer prefill tokens carry little information on speed
	decodeWindow           = 100 * time.Millisecond
)

// speed holds the measured prefill, decode and response times of an engine.
type speed struct {
	prefillSeconds float64 // seconds per prompt token
	decode         curve   // seconds per output token over requests on the engine
	response       curve   // seconds per request over requests on the engine, for plain services

	windowStart     time.Time
	windowTokens    float64
	windowTime      float64
	windowOccupancy float64
}

func newSpeed() speed {
	s := speed{prefillSeconds: initialPrefillSeconds}
	s.decode = newCurve(initialDecodeSeconds)
	s.response = newCurve(initialResponseSeconds)
	return s
}

func (s *speed) recordPrefill(tokens, seconds float64) {
	if tokens < minimumPrefillTokens || seconds <= 0 {
		return
	}
	s.prefillSeconds += prefillWeight * (seconds/tokens - s.prefillSeconds)
}

// recordTokens aggregates tokens over a window and adds one sample per window to the curve, so that
// the decay of old samples depends on time and not on the number of streams that report.
func (s *speed) recordTokens(now time.Time, tokens int, seconds, occupancy float64) {
	s.windowTokens += float64(tokens)
	s.windowTime += seconds
	s.windowOccupancy += occupancy * float64(tokens)
	if now.Sub(s.windowStart) < decodeWindow {
		return
	}
	s.decode.add(s.windowOccupancy/s.windowTokens, s.windowTime/s.windowTokens)
	s.windowStart = now
	s.windowTokens, s.windowTime, s.windowOccupancy = 0, 0, 0
}

func (s *speed) recordResponse(seconds, occupancy float64) { s.response.add(occupancy, seconds) }

func (s *speed) latency(plain bool) *curve {
	if plain {
		return &s.response
	}
	return &s.decode
}

const (
	curveDecay           = 0.95 // factor on the weight of the older samples for each added one
	minimumSpread        = 0.5  // variance of the occupancy below which no slope is fitted
	minimumUnloadedRatio = 0.2  // lower bound of the fitted value relative to the mean
)

// curve is a linear fit of a duration over the occupancy, from exponentially weighted samples.
type curve struct{ weight, x, y, xx, xy float64 }

// newCurve returns a curve with one sample of the given duration, whose weight decays as measurements
// arrive.
func newCurve(y float64) curve { return curve{weight: 1, x: 1, y: y, xx: 1, xy: y} }

func (c *curve) add(x, y float64) {
	c.weight = c.weight*curveDecay + 1
	c.x = c.x*curveDecay + x
	c.y = c.y*curveDecay + y
	c.xx = c.xx*curveDecay + x*x
	c.xy = c.xy*curveDecay + x*y
}

// mean returns the weighted mean duration.
func (c *curve) mean() float64 { return c.y / c.weight }

// at returns the fitted duration at the occupancy x.
func (c *curve) at(x float64) float64 {
	meanX, meanY := c.x/c.weight, c.y/c.weight
	spread := c.xx/c.weight - meanX*meanX
	if spread < minimumSpread {
		return meanY
	}
	slope := max((c.xy/c.weight-meanX*meanY)/spread, 0)
	return max(meanY+slope*(x-meanX), meanY*minimumUnloadedRatio)
}
