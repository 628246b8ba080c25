package concurrency

import (
	"math"
	"time"
)

const (
	minimumAdjustInterval = 500 * time.Millisecond
	defaultAdjustSamples  = 12 // latencies per adjustment: an instance among nine measures few, all noisy
	maximumAdjustInterval = 3 * time.Second
	decreaseFactor        = 0.9
	increaseFactor        = 0.06
	objectiveMargin       = 0.66  // the mean stays at this fraction of the objective, so that the tail meets it
	kneeFactor            = 1.5   // accepted latency relative to an unloaded engine, even beyond the objective
	fallbackKneeFactor    = 2     // like kneeFactor, for engines without an objective
	maximumMissRatio      = 0.1   // fraction of late first tokens above which the limit is lowered
	unloadedLatencyDrift  = 0.005 // relative rise of the unloaded latency per adjustment
	peerMeanWeight        = 0.1   // fraction of the difference to the mean of all instances applied per refresh
	negligibleLatency     = 0.02  // seconds; smaller latencies do not lower the limit if there is no objective
	// The limit is raised only if at least this fraction of it was in use; otherwise there is no evidence
	// that the engine can handle more.
	minimumUtilization = 0.75
	// A confirmed limit is lowered to trialFraction of what was in use. Once no more than that is in use, the latency
	// must be shorter by trialGain, a quarter of what an engine gains that shares its time among its requests.
	trialFraction = 0.66
	trialGain     = 0.08
	// trialSettling is the number of adjustments that the mean latency gets to follow.
	trialSettling = 4
)

// Options configures a Limit.
type Options struct {
	Initial   float64 // limit in requests until the latency is measured
	Minimum   float64 // lower bound in requests
	Hard      float64 // upper bound in requests
	Objective float64 // accepted latency in seconds; 0 means none
	Samples   int     // latencies per adjustment, unless few arrive; 0 means the default
	// Confirm undoes a decrease that has not shortened the latency: the engine has become slower whatever runs there,
	// so that its new latency is what an unloaded engine takes.
	Confirm bool
}

// Limit is the adaptive concurrency limit of an engine over all instances. It decreases while the
// measured latencies exceed the objectives, and increases while they are met and the limit is in use.
type Limit struct {
	options           Options
	value             float64
	unloadedLatency   float64 // latency of an almost idle engine in seconds
	adjustedAt        time.Time
	samples           int     // latencies since adjustedAt
	peakOccupancy     float64 // largest occupancy since adjustedAt
	firstTokens       int     // first tokens with an objective since adjustedAt
	missedFirstTokens int     // those of firstTokens that missed their objective
	trial             trial
}

// trial is a series of decreases whose effect on the latency is not known yet.
type trial struct {
	running   bool
	value     float64 // limit before it
	occupancy float64 // largest occupancy before it
	latency   float64 // largest mean latency before fewer were in use, in seconds
	settled   int     // adjustments since fewer were in use
}

// NewLimit returns a limit without measurements.
func NewLimit(o Options) Limit {
	if o.Samples == 0 {
		o.Samples = defaultAdjustSamples
	}
	return Limit{options: o, value: min(o.Initial, o.Hard)}
}

// Value returns the limit in requests. Users round it up: rounded down, a limit below 2 could never show by its use that
// it may be raised.
func (l *Limit) Value() float64 { return l.value }

// Hard returns the upper bound in requests.
func (l *Limit) Hard() float64 { return l.options.Hard }

// Objective returns the accepted latency in seconds; 0 means none.
func (l *Limit) Objective() float64 { return l.options.Objective }

// Reconfigure replaces the upper bound in requests and the objective in seconds, and keeps the measurements.
func (l *Limit) Reconfigure(hard, objective float64) {
	l.options.Hard, l.options.Objective = hard, objective
	l.value = min(l.value, hard)
}

// Resume sets a limit in requests that was learned before.
func (l *Limit) Resume(value float64) {
	l.value = value
	l.bound()
}

// AddSample counts a latency that was added to the curve.
func (l *Limit) AddSample() { l.samples++ }

// FirstToken records a time to first token. unloaded is the duration in seconds of the request's own
// prefill on an idle engine. A request for which it exceeds the objective is ignored, since it carries
// no information about the load.
func (l *Limit) FirstToken(objective, took time.Duration, unloaded float64) {
	if objective <= 0 || unloaded > objective.Seconds() {
		return
	}
	l.firstTokens++
	if took > objective {
		l.missedFirstTokens++
	}
}

// Adjust changes the limit if enough was measured since the last change. occupancy is the number of requests on the
// engine now, latency the curve of the counted samples.
func (l *Limit) Adjust(now time.Time, occupancy float64, latency *Curve) {
	l.peakOccupancy = max(l.peakOccupancy, occupancy)
	waited := now.Sub(l.adjustedAt)
	if waited < minimumAdjustInterval || l.samples < l.options.Samples && waited < maximumAdjustInterval {
		return
	}
	if l.samples == 0 && l.firstTokens == 0 {
		// Without new measurements the limit is kept: old latencies must not count twice for an idle engine.
		l.adjustedAt = now
		l.peakOccupancy = 0
		return
	}
	l.samples = 0
	l.updateUnloadedLatency(latency)
	late := l.firstTokens > 0 && float64(l.missedFirstTokens) > maximumMissRatio*float64(l.firstTokens)
	switch {
	case late || latency.Mean() > l.target():
		l.lower(latency.Mean())
	case l.trialFailed(latency.Mean()):
		l.value, l.trial = l.trial.value, trial{}
	case l.peakOccupancy >= minimumUtilization*l.value:
		l.value += max(l.value*increaseFactor, 0.5)
		l.trial = trial{}
	}
	l.bound()
	l.adjustedAt = now
	l.peakOccupancy, l.firstTokens, l.missedFirstTokens = 0, 0, 0
}

// lower decreases the limit, or undoes the decreases of a trial that has failed.
func (l *Limit) lower(latency float64) {
	if !l.options.Confirm {
		l.value *= decreaseFactor
		return
	}
	if !l.trial.running {
		l.trial = trial{running: true, value: l.value, occupancy: l.peakOccupancy, latency: latency}
	}
	aim := max(math.Floor(trialFraction*l.trial.occupancy), l.options.Minimum)
	l.value = max(min(l.value, l.trial.occupancy)*decreaseFactor, aim)
	if l.peakOccupancy > aim {
		l.trial.latency = max(l.trial.latency, latency)
		return // what runs there goes on
	}
	l.trial.settled++
	switch {
	case !l.trialFailed(latency):
		l.trial = trial{}
	case l.trial.settled >= trialSettling:
		l.unloadedLatency = latency
		l.value, l.trial = l.trial.value, trial{}
	}
}

// trialFailed reports whether the decreases of a trial have not shortened the latency.
func (l *Limit) trialFailed(latency float64) bool {
	return l.options.Confirm && l.trial.running && latency > (1-trialGain)*l.trial.latency
}

// bound clamps the limit to the range from its minimum to the hard limit. The minimum of a plain
// engine is a few slots: with one, a single slow call would block every other.
func (l *Limit) bound() { l.value = min(max(l.value, l.options.Minimum), l.options.Hard) }

// MoveTowards moves the limit towards the mean of all instances. Without it an instance whose share
// of an engine has dropped to 0 measures nothing and would keep a wrong limit indefinitely.
func (l *Limit) MoveTowards(mean float64) {
	l.value += peerMeanWeight * (mean - l.value)
	l.bound()
}

// updateUnloadedLatency tracks the lowest observed latency. The value rises slowly, so that an engine
// that has become permanently slower is not kept at a limit of 1. The fitted curve alone is not
// sufficient: at a steady occupancy it has no slope, and the latency would be compared with itself.
// A confirmed limit with an objective starts without one, since its engine may be full from the first request on.
func (l *Limit) updateUnloadedLatency(latency *Curve) {
	lowest := min(latency.At(1), latency.Mean())
	if _, fitted := latency.slope(); !fitted && l.options.Confirm && l.options.Objective > 0 && l.unloadedLatency == 0 {
		return
	}
	if l.unloadedLatency == 0 {
		l.unloadedLatency = lowest
	}
	l.unloadedLatency = min(l.unloadedLatency*(1+unloadedLatencyDrift), lowest)
}

// target returns the latency in seconds up to which the limit may rise. An engine that cannot meet the
// objective even when idle is kept at the knee of its latency curve, since a limit of 1 would waste it.
func (l *Limit) target() float64 {
	if l.options.Objective == 0 {
		return max(fallbackKneeFactor*l.unloadedLatency, negligibleLatency)
	}
	return max(objectiveMargin*l.options.Objective, kneeFactor*l.unloadedLatency)
}
