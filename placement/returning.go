package placement

import "time"

const (
	// returningPart is the part of the time that callers of a tier allow below which one is taken for a
	// caller that was refused before and returns. Callers of the users' platform allow 0.85 to 1 of a
	// fixed time at their first attempt; one that returns has waited for at least a tenth of it more.
	returningPart = 0.84
	// allowedDecay is the part of the difference by which the longest time approaches a shorter one, so
	// that it follows callers that allow less from now on within some thousand requests.
	allowedDecay = 0.0005
)

// allowedTimes holds the longest time that callers allowed lately for the end of a request, by tier.
type allowedTimes map[int]time.Duration

// returning learns the time that a caller allows, and reports whether it is so short that the caller
// was refused before. The objective counts from its first attempt and has passed.
func (a allowedTimes) returning(tier int, allowed time.Duration) bool {
	longest := a[tier]
	if allowed >= longest {
		a[tier] = allowed
		return false
	}
	a[tier] = longest - time.Duration(float64(longest-allowed)*allowedDecay)
	return float64(allowed) < returningPart*float64(longest)
}
