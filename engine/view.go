// Package engine models one engine from the point of view of one instance: its lifecycle, its
// load, its measured speed, its concurrency limit, the content of its prefix cache and whether it
// is ejected. The package has no clock, goroutines or I/O; the caller passes the time.
package engine

import (
	"time"

	"github.com/primrosebeam/primrosebeam/concurrency"
)

// Options configures a View.
type Options struct {
	Plain          bool          // plain service: its requests have no prefill and no tokens
	MaxInFlight    int           // hard limit over all instances in requests; 0 means only the adaptive limit
	OneWayLatency  time.Duration // one-way latency to the engine's data centre
	FirstToken     time.Duration // strictest objective of all tiers for the first token; 0 means none
	BetweenTokens  time.Duration // strictest objective of all tiers between tokens; 0 means none
	PrefixCapacity int           // capacity of the prefix index in blocks
	Dither         float64       // 0 to 1; varies the rounding of fractional shares between engines
}

// Request is a request that was dispatched to the engine. The caller owns the memory and must keep
// it valid until End.
type Request struct {
	Prompt        float64       // prompt length in tokens
	Cached        float64       // prompt tokens that the prefix index expects to be cached
	FirstToken    time.Duration // objective for the first token; 0 means none
	BetweenTokens time.Duration // objective between tokens; 0 means none

	started       time.Time
	prefillTokens float64 // prefill tokens that the engine had to process before this request's first token
	occupancy     float64 // requests on the engine at dispatch, including this one
	lastToken     time.Time
	hasFirstToken bool
	prev, next    *Request // neighbours in the list of requests without a first token, oldest first
}

// View is the state of one engine as known to one instance. It is not safe for concurrent use.
type View struct {
	Health Health
	Prefix PrefixIndex

	options            Options
	load               load
	speed              speed
	limit              concurrency.Limit
	share              share
	prefillTokens      float64 // uncached prompt tokens of this instance's requests that have no first token yet
	awaitingFirstToken requestList
}

// New returns the view of an engine without any measurements.
func New(o Options) *View {
	v := &View{options: o}
	v.Prefix.capacity = o.PrefixCapacity
	v.limit = newLimit(o)
	v.speed = newSpeed()
	return v
}

// Reconfigure replaces the options and keeps the measurements.
func (v *View) Reconfigure(o Options) {
	o.Dither = v.options.Dither
	v.options = o
	v.Prefix.resize(o.PrefixCapacity)
	v.limit.Reconfigure(hardLimit(o), latencyObjective(o))
}

// HandleRestart discards the state that does not survive a restart of the engine: the cached
// prefixes and the failure rate. The engine is readmitted with a slow start.
func (v *View) HandleRestart(now time.Time) {
	v.Prefix.Clear()
	v.Health.Readmit(now)
}

// InFlight returns the number of requests from this instance that are in flight on the engine.
func (v *View) InFlight() int { return v.load.own }

// Occupancy estimates the number of requests on the engine from all instances.
func (v *View) Occupancy(now time.Time) float64 {
	return float64(v.load.own) + v.load.others(now)
}

// Start records the dispatch of r.
func (v *View) Start(now time.Time, r *Request) {
	v.load.change(now, 1)
	uncached := max(r.Prompt-r.Cached, 0)
	v.prefillTokens += uncached
	r.started = now
	r.occupancy = v.Occupancy(now)
	r.prefillTokens = v.prefillTokens + v.otherPrefillTokens(now)
	r.hasFirstToken = false
	v.awaitingFirstToken.push(r)
}

// otherPrefillTokens estimates the outstanding prefill tokens of other instances on the engine. It
// assumes that their requests have as many on average as those of this instance.
func (v *View) otherPrefillTokens(now time.Time) float64 {
	if v.load.own == 0 {
		return 0
	}
	return v.prefillTokens * v.load.others(now) / float64(v.load.own)
}

// FirstToken records the first byte of the response to r.
func (v *View) FirstToken(now time.Time, r *Request) {
	if r.hasFirstToken {
		return
	}
	v.markFirstToken(r)
	r.lastToken = now
	took := v.timeAtEngine(now.Sub(r.started))
	if v.options.Plain {
		return
	}
	v.speed.recordPrefill(r.prefillTokens, took.Seconds())
	unloaded := max(r.Prompt-r.Cached, 0) * v.speed.prefillSeconds
	v.limit.FirstToken(r.FirstToken, took, unloaded)
}

// timeAtEngine subtracts the network round trip from a measured duration. The configured latency can
// exceed the real one, so at least half of the duration is attributed to the engine.
func (v *View) timeAtEngine(took time.Duration) time.Duration {
	return max(took-2*v.options.OneWayLatency, took/2)
}

func (v *View) markFirstToken(r *Request) {
	r.hasFirstToken = true
	v.prefillTokens = max(v.prefillTokens-max(r.Prompt-r.Cached, 0), 0)
	v.awaitingFirstToken.remove(r)
}

// Progress records the output tokens of r since its last Progress or FirstToken.
func (v *View) Progress(now time.Time, r *Request, tokens int) {
	if tokens <= 0 {
		return
	}
	if !r.hasFirstToken {
		v.FirstToken(now, r)
		return
	}
	v.speed.recordTokens(now, tokens, now.Sub(r.lastToken).Seconds(), v.Occupancy(now))
	r.lastToken = now
	v.limit.AddSample()
	v.adjust(now)
}

// Outcome describes how a dispatched request ended.
type Outcome int

// Outcomes of a dispatched request.
const (
	Succeeded Outcome = iota
	Failed            // the engine refused the request, returned an error or broke off the response
	Cancelled         // the caller disconnected; carries no information about the engine
)

// End records the end of r.
func (v *View) End(now time.Time, r *Request, outcome Outcome) {
	if !r.hasFirstToken {
		v.markFirstToken(r)
	}
	v.load.change(now, -1)
	switch outcome {
	case Succeeded:
		v.Health.Success(now)
		if v.options.Plain {
			took := v.timeAtEngine(now.Sub(r.started))
			v.speed.recordResponse(took.Seconds(), r.occupancy)
			v.limit.AddSample()
		}
	case Failed:
		v.Health.Failure(now)
	}
	v.adjust(now)
}

func (v *View) adjust(now time.Time) {
	v.limit.Adjust(now, v.Occupancy(now), v.speed.latency(v.options.Plain))
}

// ExpectedDuration estimates the time from dispatch to the complete response of a request with the
// given numbers of prompt and output tokens, of which the cached prompt tokens need no prefill. The
// estimate grows with the engine's failure rate.
func (v *View) ExpectedDuration(now time.Time, prompt, cached, output float64) time.Duration {
	occupancy := v.Occupancy(now) + 1
	seconds := 2 * v.options.OneWayLatency.Seconds()
	if v.options.Plain {
		seconds += v.speed.response.At(occupancy)
	} else {
		waiting := v.prefillTokens + v.otherPrefillTokens(now) + prefillWeighting*max(prompt-cached, 0)
		seconds += waiting * v.speed.prefillSeconds
		seconds += output * v.speed.decode.At(occupancy)
	}
	seconds += v.stallSeconds(now)
	seconds /= max(1-v.Health.failureRate, minimumSuccessRate)
	return time.Duration(seconds * float64(time.Second))
}

// prefillWeighting multiplies the duration of a request's own prefill, because prefill also delays
// every stream on the engine and evicts other prefixes from its cache.
const prefillWeighting = 8

// minimumSuccessRate bounds the effect of failures on the expected duration.
const minimumSuccessRate = 0.05

// stallSeconds returns by how many seconds the oldest request without a first token exceeds
// stallFactor times its estimate. Without this term a stuck engine looks idle, since it produces no
// samples.
func (v *View) stallSeconds(now time.Time) float64 {
	oldest := v.awaitingFirstToken.first
	if oldest == nil {
		return 0
	}
	expected := oldest.prefillTokens * v.speed.prefillSeconds
	if v.options.Plain {
		expected = v.speed.response.At(oldest.occupancy)
	}
	return max(now.Sub(oldest.started).Seconds()-stallFactor*expected, 0)
}

// stallFactor is the ratio of elapsed to estimated time beyond which a request counts as stalled.
const stallFactor = 2

// RecordLoadReport records the load that the engine reported for the past time at.
func (v *View) RecordLoadReport(now, at time.Time, running, waiting int) {
	v.load.report(now, at, float64(running+waiting))
}

// PeerLoad is the combined load of the other instances on an engine, with the limits that they
// learned for it.
type PeerLoad struct {
	Known             bool    // at least one other instance has published a summary
	InFlight          float64 // requests in flight
	Demand            float64 // requests in flight plus this engine's share of the waiting requests
	WeightedLimits    float64 // sum of the known limits, each weighted by the instance's requests in flight
	InFlightWithLimit float64 // requests in flight of the instances whose limit is known
}

// SetPeerLoad records the load of the other instances on the engine. Limits are averaged with the
// requests in flight as weights, because an instance measures the engine with these requests.
func (v *View) SetPeerLoad(p PeerLoad) {
	v.load.peerInFlight = p.InFlight
	v.share.peerDemand = p.Demand
	v.share.peersKnown = p.Known
	if p.InFlightWithLimit > 0 {
		own := float64(v.load.own)
		v.limit.MoveTowards((p.WeightedLimits + own*v.limit.Value()) / (p.InFlightWithLimit + own))
	}
}

// Refresh recomputes how many requests this instance may have in flight on the engine. demand is
// this instance's demand in requests: those in flight on the engine plus the engine's share of those
// that wait.
func (v *View) Refresh(now time.Time, demand float64) {
	limit := v.limit.Value() * v.Health.slowStartRamp(now)
	v.share.refresh(limit, demand, v.options.Dither, v.load.peerInFlight)
	v.share.refreshReserve(limit, v.limit.Hard(), v.load.peerInFlight)
}

// Allowed returns how many requests this instance may have in flight on the engine.
func (v *View) Allowed() int { return v.share.allowed }

// HasFreeSlot reports whether this instance may dispatch another request to the engine within its
// share.
func (v *View) HasFreeSlot() bool { return v.load.own < v.share.allowed }

// HasFreeReserveSlot reports whether this instance may dispatch another request whose prefix the
// engine has cached, using the given fraction of the reserve.
func (v *View) HasFreeReserveSlot(fraction float64) bool {
	return float64(v.load.own) < float64(v.share.allowed)+fraction*float64(v.share.reserve)
}

// Limit returns the adaptive concurrency limit over all instances, in requests.
func (v *View) Limit() float64 { return v.limit.Value() }

// PrefillSeconds returns the measured time per prompt token.
func (v *View) PrefillSeconds() float64 { return v.speed.prefillSeconds }

// DecodeSeconds returns the measured time per output token at the current occupancy.
func (v *View) DecodeSeconds(now time.Time) float64 { return v.speed.decode.At(v.Occupancy(now)) }

// ResponseSeconds returns the measured time per request of a plain service at the current occupancy.
func (v *View) ResponseSeconds(now time.Time) float64 { return v.speed.response.At(v.Occupancy(now)) }
