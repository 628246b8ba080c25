package scheduler

import (
	"math"
	"time"
)

const (
	stretchWeight   = 0.05 // weight of one answer in the ratio of actual to estimated time
	firstWeight     = 0.05 // weight of one first token in the mean time to it
	firstMargin     = 2    // multiple of that mean that is left for the engine, so that the tail meets the objective
	stretchBound    = 10   // bounds the effect of one answer on that ratio
	outputWeight    = 0.05 // weight of one answer in the mean output of a service
	initialOutput   = 200  // tokens, until answers were seen
	initialDecode   = 0.02 // seconds per token, until engines were measured
	initialPrefill  = 0.0002
	initialAnswer   = 0.05
	minimumCost     = 0.001 // seconds; keeps requests without tokens from being free
	ejectionPart    = 3     // at most one engine in this many is ejected
	retryAfterFloor = 100 * time.Millisecond
	retryAfterMost  = 60 * time.Second
	retryAfterBlind = time.Second // until a service has places
	retryJitter     = 0.25        // part by which RetryAfter varies, so that rejected callers don't return together
)

// service is a group of engines and the requests that wait for it.
type service struct {
	config  Service
	members []*server
	open    []*server // members with room
	groups  []*group  // by tier
	waiting int
	usable  int // members that accept work
	output  float64
	places  float64 // requests that this instance may have on the usable members
	first   float64 // mean seconds from dispatch to the first token
	stretch float64 // mean ratio of actual to estimated time of a request

	prefill, decode, answer float64 // mean seconds over the usable members
	fastDecode, fastAnswer  float64 // of the fastest usable member
}

func newService() *service {
	return &service{
		stretch:    1,
		output:     initialOutput,
		prefill:    initialPrefill,
		decode:     initialDecode,
		answer:     initialAnswer,
		fastDecode: initialDecode,
		fastAnswer: initialAnswer,
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

// possible reports whether a member exists that is neither leaving nor drained.
func (sv *service) possible() bool {
	for _, m := range sv.members {
		if !m.drained && !m.lifecycle.Leaving {
			return true
		}
	}
	return false
}

// updateReference recomputes the speeds by which costs are estimated.
func (sv *service) updateReference(now time.Time) {
	n, places := 0.0, 0
	var prefill, decode, answer float64
	fastDecode, fastAnswer := math.Inf(1), math.Inf(1)
	for _, m := range sv.members {
		if !m.accepts() {
			continue
		}
		n++
		places += m.view.Allowed()
		prefill += m.view.PrefillSeconds()
		d := m.view.DecodeSeconds(now)
		decode += d
		fastDecode = min(fastDecode, d)
		a := m.view.ResponseSeconds(now)
		answer += a
		fastAnswer = min(fastAnswer, a)
	}
	sv.places = float64(places)
	if n == 0 {
		return
	}
	sv.prefill, sv.decode, sv.answer = prefill/n, decode/n, answer/n
	sv.fastDecode, sv.fastAnswer = fastDecode, fastAnswer
}

// estimate returns the engine time of a request in seconds.
func (sv *service) estimate(prompt, output float64) float64 {
	if sv.plain() {
		return max(sv.answer, minimumCost)
	}
	return max(prompt*sv.prefill+output*sv.decode, minimumCost)
}

// fastest returns the shortest time in which a request could be answered, its prompt being cached.
func (sv *service) fastest(output float64) time.Duration {
	seconds := output * sv.fastDecode
	if sv.plain() {
		seconds = sv.fastAnswer
	}
	return time.Duration(seconds * float64(time.Second))
}

// work returns the engine time that waits in the tiers up to and including tier, in seconds.
func (sv *service) work(tier int) float64 {
	sum := 0.0
	for _, g := range sv.groups[:tier+1] {
		sum += g.work
	}
	return sum
}

// ejectable reports whether one more member may be ejected.
func (sv *service) ejectable() bool {
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
	return ejected < max(n/ejectionPart, min(n-1, 1))
}

// drain returns the seconds in which this instance's part of the engines does the given work. Work
// is counted in seconds of one place on an engine, so that the places are the rate; it is 0 while
// no engine has a place.
func (sv *service) drain(work float64) float64 {
	if sv.places == 0 {
		return 0
	}
	return work * sv.stretch / sv.places
}

// learn compares the time that a dispatched request took with its estimate.
func (sv *service) learn(estimated, actual float64) {
	ratio := min(max(actual/estimated, 1/stretchBound), stretchBound)
	sv.stretch += stretchWeight * (ratio - sv.stretch)
}

// learnFirst records the time from a dispatch to its first token.
func (sv *service) learnFirst(took time.Duration) {
	sv.first += firstWeight * (took.Seconds() - sv.first)
}

// firstTokenMargin is the time before the objective at which a request has to be dispatched.
// Without it fair queueing in a flood serves requests just before they are late, and all of them
// miss the objective on the engine.
func (sv *service) firstTokenMargin(objective time.Duration) time.Duration {
	margin := time.Duration(firstMargin * sv.first * float64(time.Second))
	return min(margin, objective/2)
}

// retryAfter returns the time in which the work that precedes the tier is expected to be done,
// with jitter.
func (s *Scheduler) retryAfter(sv *service, tier int) time.Duration {
	after := retryAfterBlind
	if sv != nil && sv.places > 0 && tier < len(sv.groups) {
		after = time.Duration(min(sv.drain(sv.work(tier)), retryAfterMost.Seconds()) * float64(time.Second))
		after = max(after, retryAfterFloor)
	}
	factor := 1 - retryJitter + 2*retryJitter*s.rand.Float64()
	return time.Duration(float64(after) * factor)
}

// tierDemand is by how much a waiting request of a tier counts for more than one of the next tier
// when instances divide an engine. With equal weights an instance that holds only batch work would
// dispatch it while urgent work waits at another.
const tierDemand = 4

// demand returns the waiting requests, weighted by tier.
func (sv *service) demand() int {
	demand, weight := 0, 1
	for tier := len(sv.groups) - 1; tier >= 0; tier-- {
		demand += weight * sv.groups[tier].waiting
		weight *= tierDemand
	}
	return demand
}
