package placement

import "time"

// routeStats holds what was learned about the requests of a route to a service.
type routeStats struct {
	meanOutput    float64 // in tokens; 0 if unknown
	outputSamples int     // number of responses that meanOutput was learned from
	meanSize      float64 // in prompt tokens; 0 if unknown
	// longestTimeout is the longest timeout that callers stated recently.
	longestTimeout time.Duration
	rates          serviceRates
}

// maxRoutes bounds the statistics of a service, since routes are added and removed. When it is reached,
// the statistics of all routes are discarded and learned again.
const maxRoutes = 1000

func (s *service) routeStats(route string) *routeStats {
	stats := s.routes[route]
	if stats == nil {
		if len(s.routes) >= maxRoutes {
			clear(s.routes)
		}
		stats = &routeStats{}
		s.routes[route] = stats
	}
	return stats
}

const (
	// outputMeanWeight is the weight of a new sample in the mean output length.
	outputMeanWeight = 0.05
	// defaultOutputTokens is the expected output length before any output was observed.
	defaultOutputTokens = 256
	// medianToMean converts an estimate that is correct at the median to a mean: the error of the
	// estimates is log-normal with a standard deviation of one half.
	medianToMean = 1.13
)

func (s *routeStats) learnOutput(tokens int) {
	if s.meanOutput == 0 {
		s.meanOutput = float64(tokens)
	}
	s.meanOutput += (float64(tokens) - s.meanOutput) * outputMeanWeight
	s.outputSamples++
}

// expectedOutput estimates the number of output tokens of a request. The caller's estimate is optional.
func (s *routeStats) expectedOutput(r *Request) float64 {
	switch {
	case r.ExpectedOutputTokens > 0:
		return medianToMean * float64(r.ExpectedOutputTokens)
	case s.meanOutput > 0:
		return s.meanOutput
	}
	return defaultOutputTokens
}

const (
	// sizeMeanWeight is the weight of a new sample in the mean size.
	sizeMeanWeight = 0.02
	// outputTokenSize is the size of an output token in prompt tokens.
	outputTokenSize = 10
	// baseValue is the part of the value of a request that does not depend on its size. maxSizeValue
	// bounds the value of a large request relative to one of mean size. Both come from the users.
	baseValue    = 0.3
	maxSizeValue = 4
)

// relativeSize returns the size of a request relative to the mean of its route, which it updates first.
func (s *routeStats) relativeSize(r *trackedRequest) float64 {
	size := float64(r.PromptTokens) + outputTokenSize*r.outputTokens
	if s.meanSize == 0 {
		s.meanSize = size
	}
	s.meanSize += (size - s.meanSize) * sizeMeanWeight
	if s.meanSize <= 0 {
		return 1
	}
	return size / s.meanSize
}

// sizeValue returns the value of a request relative to one of mean size.
func sizeValue(relativeSize float64) float64 {
	return min(baseValue+(1-baseValue)*relativeSize, maxSizeValue)
}

const (
	// retryTimeoutRatio is the fraction of the longest timeout of a route below which a request is
	// classified as the retry of a rejected one. On the users' platform the first attempt of a caller
	// states 0.85 to 1 of a fixed timeout; a retry states less, by the time that the caller has already
	// waited.
	retryTimeoutRatio = 0.84
	// longestTimeoutDecay is the fraction of the difference by which longestTimeout approaches each
	// shorter timeout, so that it adapts to callers with shorter timeouts within some thousand requests.
	longestTimeoutDecay = 0.0005
)

// observeTimeout learns the timeout that a caller states. It reports whether the timeout is so short that
// the request is likely the retry of a rejected one. The first-event objective counts from the first
// attempt, so it has passed for a retry.
func (s *routeStats) observeTimeout(timeout time.Duration) bool {
	if timeout <= 0 {
		return false // no timeout stated
	}
	if timeout >= s.longestTimeout {
		s.longestTimeout = timeout
		return false
	}
	s.longestTimeout -= time.Duration(float64(s.longestTimeout-timeout) * longestTimeoutDecay)
	return float64(timeout) < retryTimeoutRatio*float64(s.longestTimeout)
}
