package engine

import (
	"time"

	"github.com/primrosebeam/primrosebeam/concurrency"
)

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
	prefillSeconds float64           // seconds per prompt token
	decode         concurrency.Curve // seconds per output token over requests on the engine
	response       concurrency.Curve // seconds per request over requests on the engine, for plain services

	windowStart     time.Time
	windowTokens    float64
	windowTime      float64
	windowOccupancy float64
}

func newSpeed() speed {
	s := speed{prefillSeconds: initialPrefillSeconds}
	s.decode = concurrency.NewCurve(initialDecodeSeconds)
	s.response = concurrency.NewCurve(initialResponseSeconds)
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
	s.decode.Add(s.windowOccupancy/s.windowTokens, s.windowTime/s.windowTokens)
	s.windowStart = now
	s.windowTokens, s.windowTime, s.windowOccupancy = 0, 0, 0
}

func (s *speed) recordResponse(seconds, occupancy float64) { s.response.Add(occupancy, seconds) }

func (s *speed) latency(plain bool) *concurrency.Curve {
	if plain {
		return &s.response
	}
	return &s.decode
}
