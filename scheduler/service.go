package scheduler

import (
	"math"
	"time"
)

const (
	durationRatioWeight    = 0.05   // weight of one response in the mean ratio of actual to estimated duration
	firstTokenWeight       = 0.05   // weight of one first token in the mean time to first token
	firstTokenMarginFactor = 2      // margin in multiples of that mean, so that the tail meets the objective
	maximumDurationRatio   = 10     // bounds the effect of one response on durationRatio
	outputWeight           = 0.05   // weight of one response in the mean output length of a service
	initialOutput          = 200    // tokens per response until responses were measured
	initialDecode          = 0.02   // seconds per output token until engines were measured
	initialPrefill         = 0.0002 // seconds per prompt token until engines were measured
	initialResponse        = 0.05   // seconds per request of a plain service until engines were measured
	minimumCost            = 0.001  // seconds; a request without tokens must not be free
	ejectionDivisor        = 3      // at most one engine in this many is ejected, but one of two may be
	minimumRetryAfter      = 100 * time.Millisecond
	maximumRetryAfter      = 60 * time.Second
	defaultRetryAfter      = time.Second // used while a service has no slots
	retryJitter            = 0.25        // relative variation that spreads the retries of rejected callers
)

// service is a group of engines with the requests that wait for them.
type service struct {
	config            Service
	members           []*server
	open              []*server    // members with a free slot
	tiers             []*tierQueue // queues by tier
	waiting           int
	usable            int     // members that accept work
	output            float64 // mean output tokens per response
	slots             float64 // requests that this instance may have in flight on the usable members
	firstTokenSeconds float64 // mean time from dispatch to the first token in seconds
	durationRatio     float64 // mean ratio of actual to estimated duration of a request

	// Mean seconds per prompt token, output token and plain request over the usable members.
	prefill, decode, response float64
	// Seconds per output token and plain request of the fastest usable member.
	fastestDecode, fastestResponse float64
}

func newService() *service {
	return &service{
		durationRatio:   1,
		output:          initialOutput,
		prefill:         initialPrefill,
		decode:          initialDecode,
		response:        initialResponse,
		fastestDecode:   initialDecode,
		fastestResponse: initialResponse,
	}
}

func (sv *service) plain() bool { return sv.config.Kind == KindPlain }

func (sv *service) countUsable() int {
	n := 0
	for _, m := range sv.members {
		if m.accepts() {
			n++
		}
	}
	return n
}

// servable reports whether at least one member is neither leaving nor drained.
func (sv *service) servable() bool {
	for _, m := range sv.members {
		if !m.drained && !m.lifecycle.Leaving {
			return true
		}
	}
	return false
}

// updateReference recomputes the speeds that the cost estimates use.
func (sv *service) updateReference(now time.Time) {
	n, slots := 0.0, 0
	var prefill, decode, response float64
	fastestDecode, fastestResponse := math.Inf(1), math.Inf(1)
	for _, m := range sv.members {
		if !m.accepts() {
			continue
		}
		n++
		slots += m.view.Allowed()
		prefill += m.view.PrefillSeconds()
		d := m.view.DecodeSeconds(now)
		decode += d
		fastestDecode = min(fastestDecode, d)
		r := m.view.ResponseSeconds(now)
		response += r
		fastestResponse = min(fastestResponse, r)
	}
	sv.slots = float64(slots)
	if n == 0 {
		return
	}
	sv.prefill, sv.decode, sv.response = prefill/n, decode/n, response/n
	sv.fastestDecode, sv.fastestResponse = fastestDecode, fastestResponse
}

// estimate returns the estimated engine time of a request in seconds.
func (sv *service) estimate(prompt, output float64) float64 {
	if sv.plain() {
		return max(sv.response, minimumCost)
	}
	return max(prompt*sv.prefill+output*sv.decode, minimumCost)
}

// shortestDuration returns the duration of a request on the fastest member with its prompt cached.
func (sv *service) shortestDuration(output float64) time.Duration {
	seconds := output * sv.fastestDecode
	if sv.plain() {
		seconds = sv.fastestResponse
	}
	return time.Duration(seconds * float64(time.Second))
}

// work returns the estimated engine time in seconds of the waiting requests in the tiers up to and
// including tier.
func (sv *service) work(tier int) float64 {
	sum := 0.0
	for _, q := range sv.tiers[:tier+1] {
		sum += q.work
	}
	return sum
}

// mayEject reports whether another member may be ejected.
func (sv *service) mayEject() bool {
	ejected, n := 0, 0
	for _, m := range sv.members {
		if m.drained || !m.lifecycle.Accepts() {
			continue
		}
		n++
		if m.view.Health.Ejected() {
			ejected++
		}
	}
	return ejected < max(n/ejectionDivisor, min(n-1, 1))
}

// drainSeconds returns the time in which this instance's share of the engines completes the given
// work. Work is measured in seconds of one slot on an engine, so the number of slots is the rate at
// which it is done. The result is 0 while no engine has a slot.
func (sv *service) drainSeconds(work float64) float64 {
	if sv.slots == 0 {
		return 0
	}
	return work * sv.durationRatio / sv.slots
}

// recordDuration adds the actual duration of a dispatched request, relative to its estimate, to the
// moving average.
func (sv *service) recordDuration(estimated, actual float64) {
	ratio := min(max(actual/estimated, 1/maximumDurationRatio), maximumDurationRatio)
	sv.durationRatio += durationRatioWeight * (ratio - sv.durationRatio)
}

// recordFirstToken adds a time from dispatch to first token to the moving average.
func (sv *service) recordFirstToken(took time.Duration) {
	sv.firstTokenSeconds += firstTokenWeight * (took.Seconds() - sv.firstTokenSeconds)
}

// firstTokenMargin returns how long before its objective a request has to be dispatched. Without this
// margin fair queueing in a flood serves requests just before they are late, and all of them miss the
// objective on the engine.
func (sv *service) firstTokenMargin(objective time.Duration) time.Duration {
	margin := time.Duration(firstTokenMarginFactor * sv.firstTokenSeconds * float64(time.Second))
	return min(margin, objective/2)
}

// retryAfter returns the expected time to complete the waiting work of the tier and of higher tiers,
// with jitter.
func (s *Scheduler) retryAfter(sv *service, tier int) time.Duration {
	after := defaultRetryAfter
	if sv != nil && sv.slots > 0 && tier < len(sv.tiers) {
		after = time.Duration(min(sv.drainSeconds(sv.work(tier)), maximumRetryAfter.Seconds()) * float64(time.Second))
		after = max(after, minimumRetryAfter)
	}
	factor := 1 - retryJitter + 2*retryJitter*s.rand.Float64()
	return time.Duration(float64(after) * factor)
}

// tierDemandFactor is the weight of a waiting request relative to one of the next lower tier when
// instances divide an engine. With equal weights an instance that holds only batch work would
// dispatch it while urgent work waits at another instance.
const tierDemandFactor = 4

// demand returns the number of waiting requests, weighted by tier.
func (sv *service) demand() int {
	demand, weight := 0, 1
	for tier := len(sv.tiers) - 1; tier >= 0; tier-- {
		demand += weight * sv.tiers[tier].waiting
		weight *= tierDemandFactor
	}
	return demand
}
