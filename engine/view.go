// Package engine models one engine as one instance sees it: its lifecycle, its load, its learned
// speed, how many requests it may hold, what its prefix cache contains, and whether it is ejected.
// It has no clock, goroutines or I/O: the caller passes the time.
package engine

import "time"

// Options configures a View.
type Options struct {
	Plain          bool          // a plain service: requests have no prefill and no tokens
	MaxInFlight    int           // hard limit over all instances; 0 means adaptive only
	OneWayLatency  time.Duration // one-way latency to the engine's data centre
	FirstToken     time.Duration // strictest objective of the tiers; 0 means none
	BetweenTokens  time.Duration // strictest objective of the tiers; 0 means none
	PrefixCapacity int           // blocks that the prefix index holds
	Dither         float64       // 0 to 1; spreads the rounding of fractional shares over engines
}

// Request is a request that was dispatched to the engine. The caller owns the memory and keeps it
// until End.
type Request struct {
	Prompt        float64       // tokens
	Cached        float64       // prompt tokens that the prefix index expects to be cached
	FirstToken    time.Duration // objective; 0 means none
	BetweenTokens time.Duration // objective; 0 means none

	started    time.Time
	work       float64 // prefill tokens that the engine had to do up to this request's first token
	occupancy  float64 // requests on the engine at dispatch, this one included
	lastToken  time.Time
	prefilled  bool
	prev, next *Request // requests without a first token, oldest first
}

// View is one engine as one instance sees it. It is not safe for concurrent use.
type View struct {
	Health Health
	Prefix PrefixIndex

	options  Options
	load     load
	speed    speed
	limit    limit
	share    share
	prefill  float64 // own prompt tokens that were dispatched and have no first token yet
	unserved flightList
}

// New returns the view of an engine of which nothing is known yet.
func New(o Options) *View {
	v := &View{options: o}
	v.Prefix.capacity = o.PrefixCapacity
	v.limit = newLimit(o)
	v.speed = newSpeed()
	return v
}

// Reconfigure replaces the options and keeps what was learned.
func (v *View) Reconfigure(o Options) {
	o.Dither = v.options.Dither
	v.options = o
	v.Prefix.resize(o.PrefixCapacity)
	v.limit.reconfigure(o)
}

// HandleRestart forgets what a new incarnation of the engine does not share with the former one.
func (v *View) HandleRestart(now time.Time) {
	v.Prefix.Clear()
	v.Health.Readmit(now)
}

// InFlight returns the number of requests in flight from this instance.
func (v *View) InFlight() int { return v.load.own }

// Occupancy estimates the requests on the engine from all instances.
func (v *View) Occupancy(now time.Time) float64 {
	return float64(v.load.own) + v.load.others(now)
}

// Start records the dispatch of f.
func (v *View) Start(now time.Time, f *Request) {
	v.load.change(now, 1)
	uncached := max(f.Prompt-f.Cached, 0)
	v.prefill += uncached
	f.started = now
	f.occupancy = v.Occupancy(now)
	f.work = v.prefill + v.foreignPrefill(now)
	f.prefilled = false
	v.unserved.push(f)
}

// foreignPrefill estimates the prefill tokens of other instances that wait on the engine.
func (v *View) foreignPrefill(now time.Time) float64 {
	if v.load.own == 0 {
		return 0
	}
	return v.prefill * v.load.others(now) / float64(v.load.own)
}

// FirstToken records the first byte of the answer to f.
func (v *View) FirstToken(now time.Time, f *Request) {
	if f.prefilled {
		return
	}
	v.served(f)
	f.lastToken = now
	took := v.atEngine(now.Sub(f.started))
	if v.options.Plain {
		return
	}
	v.speed.prefilled(f.work, took.Seconds())
	alone := max(f.Prompt-f.Cached, 0) * v.speed.prefillSeconds
	v.limit.firstToken(f.FirstToken, took, alone)
}

// atEngine takes the way to the engine and back off a measured time. A configured distance can be
// larger than the real one, so at least half of the time is taken for the engine's.
func (v *View) atEngine(took time.Duration) time.Duration {
	return max(took-2*v.options.OneWayLatency, took/2)
}

func (v *View) served(f *Request) {
	f.prefilled = true
	v.prefill = max(v.prefill-max(f.Prompt-f.Cached, 0), 0)
	v.unserved.remove(f)
}

// Progress records output tokens of f since its last Progress or FirstToken.
func (v *View) Progress(now time.Time, f *Request, tokens int) {
	if tokens <= 0 {
		return
	}
	if !f.prefilled {
		v.FirstToken(now, f)
		return
	}
	v.speed.decoded(now, tokens, now.Sub(f.lastToken).Seconds(), v.Occupancy(now))
	f.lastToken = now
	v.limit.samples++
	v.adjust(now)
}

// Outcome tells how a flight ended.
type Outcome int

// Outcomes of a flight.
const (
	Succeeded Outcome = iota
	Failed            // the engine refused the request, answered with an error or broke off
	Cancelled         // the caller went away; says nothing about the engine
)

// End records the end of f.
func (v *View) End(now time.Time, f *Request, outcome Outcome) {
	if !f.prefilled {
		v.served(f)
	}
	v.load.change(now, -1)
	switch outcome {
	case Succeeded:
		v.Health.Success(now)
		if v.options.Plain {
			took := v.atEngine(now.Sub(f.started))
			v.speed.answered(took.Seconds(), f.occupancy)
			v.limit.samples++
		}
	case Failed:
		v.Health.Failure(now)
	}
	v.adjust(now)
}

func (v *View) adjust(now time.Time) {
	v.limit.adjust(now, v.Occupancy(now), v.speed.latency(v.options.Plain))
}

// ExpectedDuration estimates the time from dispatch to the complete answer of a request with the given
// tokens, of which cached ones need no prefill. An engine that fails is expected to take longer.
func (v *View) ExpectedDuration(now time.Time, prompt, cached, output float64) time.Duration {
	occupancy := v.Occupancy(now) + 1
	seconds := 2 * v.options.OneWayLatency.Seconds()
	if v.options.Plain {
		seconds += v.speed.answer.at(occupancy)
	} else {
		waiting := v.prefill + v.foreignPrefill(now) + prefillWeighting*max(prompt-cached, 0)
		seconds += waiting * v.speed.prefillSeconds
		seconds += output * v.speed.decode.at(occupancy)
	}
	seconds += v.stall(now)
	seconds /= max(1-v.Health.failureRate, minimumSuccessRate)
	return time.Duration(seconds * float64(time.Second))
}

// prefillWeighting counts a request's own prefill for more than its duration: it also holds up every
// stream on the engine and displaces other prefixes from the cache.
const prefillWeighting = 8

// minimumSuccessRate bounds how much failures lengthen the expected time.
const minimumSuccessRate = 0.05

// stall returns by how many seconds the oldest request without a first token exceeds its estimate.
// Without it a stuck engine looks idle, since it produces no samples.
func (v *View) stall(now time.Time) float64 {
	oldest := v.unserved.first
	if oldest == nil {
		return 0
	}
	expected := oldest.work * v.speed.prefillSeconds
	if v.options.Plain {
		expected = v.speed.answer.at(oldest.occupancy)
	}
	return max(now.Sub(oldest.started).Seconds()-stallFactor*expected, 0)
}

// stallFactor is the ratio of actual to estimated time beyond which a request counts as stalled.
const stallFactor = 2

// RecordLoadReport records the engine's own load report, taken at a past time.
func (v *View) RecordLoadReport(now, at time.Time, running, waiting int) {
	v.load.report(now, at, float64(running+waiting))
}

// PeerLoad is what the other instances together have on an engine and say of it.
type PeerLoad struct {
	Known             bool    // other instances have been heard of
	InFlight          float64 // requests in flight
	Demand            float64 // requests in flight and this engine's part of those that wait
	WeightedLimits    float64 // sum of their known limits, each weighted with its requests in flight
	InFlightWithLimit float64 // requests in flight of those whose limit is known
}

// SetPeerLoad records what the other instances have on the engine. Limits are averaged by requests in
// flight, since these are what an instance measures the engine with.
func (v *View) SetPeerLoad(p PeerLoad) {
	v.load.peerInFlight = p.InFlight
	v.share.peers = p.Demand
	v.share.known = p.Known
	if p.InFlightWithLimit > 0 {
		own := float64(v.load.own)
		v.limit.approach((p.WeightedLimits + own*v.limit.value) / (p.InFlightWithLimit + own))
	}
}

// Refresh recomputes how many requests this instance may have in flight. demand is this instance's
// own demand in requests: those in flight on the engine and its part of those that wait.
func (v *View) Refresh(now time.Time, demand float64) {
	whole := v.limit.value * v.Health.ramp(now)
	v.share.refresh(whole, demand, v.options.Dither, v.load.peerInFlight)
	v.share.refreshReserve(whole, v.limit.hard, v.load.peerInFlight)
}

// Allowed returns how many requests this instance may have in flight on the engine.
func (v *View) Allowed() int { return v.share.allowed }

// HasFreeSlot reports whether this instance may dispatch another request to the engine.
func (v *View) HasFreeSlot() bool { return v.load.own < v.share.allowed }

// HasFreeReserveSlot reports whether this instance may dispatch another request whose prefix the engine
// has cached, using the given part of the reserve.
func (v *View) HasFreeReserveSlot(part float64) bool {
	return float64(v.load.own) < float64(v.share.allowed)+part*float64(v.share.reserve)
}

// Limit returns the adaptive limit over all instances, in requests.
func (v *View) Limit() float64 { return v.limit.value }

// PrefillSeconds returns the learned time per prompt token.
func (v *View) PrefillSeconds() float64 { return v.speed.prefillSeconds }

// DecodeSeconds returns the learned time per output token at the present occupancy.
func (v *View) DecodeSeconds(now time.Time) float64 { return v.speed.decode.at(v.Occupancy(now)) }

// ResponseSeconds returns the learned time per request of a plain service at the present occupancy.
func (v *View) ResponseSeconds(now time.Time) float64 { return v.speed.answer.at(v.Occupancy(now)) }
