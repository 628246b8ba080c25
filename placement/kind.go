package placement

import "time"

// kind holds what was learned about the requests of a route at a service.
type kind struct {
	meanOutput float64 // tokens; 0 while none is known
	meanSize   float64 // in prompt tokens; 0 while none is known
	// longest is the longest time that callers stated lately to wait.
	longest time.Duration
	shares  shares
}

// mostKinds bounds the kinds of a service, since routes come and go: beyond it all are learned anew.
const mostKinds = 1000

func (s *service) kind(route string) *kind {
	k := s.kinds[route]
	if k == nil {
		if len(s.kinds) >= mostKinds {
			clear(s.kinds)
		}
		k = &kind{}
		s.kinds[route] = k
	}
	return k
}

const (
	// outputWeight is the weight of a new output in the mean.
	outputWeight = 0.05
	// usualOutput is expected before any output was seen, in tokens.
	usualOutput = 256
	// hintBias makes a mean of an estimate that is right at the median: its error is log-normal with a
	// standard deviation of one half.
	hintBias = 1.13
)

func (k *kind) learnOutput(tokens int) {
	if k.meanOutput == 0 {
		k.meanOutput = float64(tokens)
	}
	k.meanOutput += (float64(tokens) - k.meanOutput) * outputWeight
}

// expectedOutput estimates the output tokens of a request; callers may give no estimate.
func (k *kind) expectedOutput(r *Request) float64 {
	switch {
	case r.ExpectedOutputTokens > 0:
		return hintBias * float64(r.ExpectedOutputTokens)
	case k.meanOutput > 0:
		return k.meanOutput
	}
	return usualOutput
}

const (
	// sizeWeight is the weight of a new request in the mean.
	sizeWeight = 0.02
	// outputSize is the size of an output token in prompt tokens.
	outputSize = 10
	// fixedWorth is the part of a request's worth that does not grow with its size, mostWorth the most
	// that a large one is worth of a usual one. Both are the users'.
	fixedWorth = 0.3
	mostWorth  = 4
)

// relativeSize is the size of a request in relation to the mean, which it learns.
func (k *kind) relativeSize(e *entry) float64 {
	size := float64(e.PromptTokens) + outputSize*e.output
	if k.meanSize == 0 {
		k.meanSize = size
	}
	k.meanSize += (size - k.meanSize) * sizeWeight
	if k.meanSize <= 0 {
		return 1
	}
	return size / k.meanSize
}

// sizeWorth is what a request is worth in relation to one of the mean size.
func sizeWorth(relativeSize float64) float64 {
	return min(fixedWorth+(1-fixedWorth)*relativeSize, mostWorth)
}

const (
	// returningPart is the part of the time that callers of a kind allow below which one is taken for a
	// caller that was refused before and returns. Callers of the users' platform allow 0.85 to 1 of a
	// fixed time at their first attempt; one that returns has less left by what it waited.
	returningPart = 0.84
	// longestDecay is the part of the difference by which the longest time approaches a shorter one, so
	// that it follows callers that allow less from now on within some thousand requests.
	longestDecay = 0.0005
)

// returning learns the time that a caller states to wait, and reports whether it is so short that the
// caller was refused before. The objective counts from its first attempt and has passed.
func (k *kind) returning(allowed time.Duration) bool {
	if allowed <= 0 {
		return false // It does not say.
	}
	if allowed >= k.longest {
		k.longest = allowed
		return false
	}
	k.longest -= time.Duration(float64(k.longest-allowed) * longestDecay)
	return float64(allowed) < returningPart*float64(k.longest)
}
