package engine

import "time"

const (
	initialLimit          = 8  // limit of a model engine in requests until its speed is measured
	initialPlainLimit     = 16 // limit of a plain engine in requests until its speed is measured
	minimumLimit          = 1
	minimumPlainLimit     = 4
	maximumLimit          = 512 // requests; bounds the growth of the limit without objectives
	minimumAdjustInterval = 500 * time.Millisecond
	minimumAdjustSamples  = 12 // latencies per adjustment: an instance among nine measures few, all noisy
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
)

// limit is the adaptive concurrency limit of an engine over all instances. It decreases while the
// measured latencies exceed the objectives, and increases while they are met and the limit is in use.
type limit struct {
	value             float64
	minimum           float64
	hard              float64
	objective         float64 // seconds between tokens, or per response of a plain engine; 0 means none
	unloadedLatency   float64 // latency of an almost idle engine in seconds
	adjustedAt        time.Time
	samples           int     // latencies since adjustedAt
	peakOccupancy     float64 // largest occupancy since adjustedAt
	firstTokens       int     // first tokens with an objective since adjustedAt
	missedFirstTokens int     // those of firstTokens that missed their objective
}

func newLimit(o Options) limit {
	l := limit{value: initialLimit, minimum: minimumLimit}
	if o.Plain {
		l.value = initialPlainLimit
		l.minimum = minimumPlainLimit
	}
	l.reconfigure(o)
	return l
}

func (l *limit) reconfigure(o Options) {
	l.hard = maximumLimit
	if o.MaxInFlight > 0 {
		l.hard = float64(o.MaxInFlight)
	}
	l.objective = o.BetweenTokens.Seconds()
	if o.Plain {
		l.objective = o.FirstToken.Seconds()
	}
	l.value = min(l.value, l.hard)
}

// firstToken records a time to first token. unloaded is the duration in seconds of the request's own
// prefill on an idle engine. A request for which it exceeds the objective is ignored, since it carries
// no information about the load.
func (l *limit) firstToken(objective, took time.Duration, unloaded float64) {
	if objective <= 0 || unloaded > objective.Seconds() {
		return
	}
	l.firstTokens++
	if took > objective {
		l.missedFirstTokens++
	}
}

func (l *limit) adjust(now time.Time, occupancy float64, latency *curve) {
	l.peakOccupancy = max(l.peakOccupancy, occupancy)
	waited := now.Sub(l.adjustedAt)
	if waited < minimumAdjustInterval || l.samples < minimumAdjustSamples && waited < maximumAdjustInterval {
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
	case late || latency.mean() > l.target():
		l.value *= decreaseFactor
	case l.peakOccupancy >= minimumUtilization*l.value:
		l.value += max(l.value*increaseFactor, 0.5)
	}
	l.bound()
	l.adjustedAt = now
	l.peakOccupancy, l.firstTokens, l.missedFirstTokens = 0, 0, 0
}

// bound clamps the limit to the range from its minimum to the hard limit. The minimum of a plain
// engine is a few slots: with one, a single slow call would block every other.
func (l *limit) bound() { l.value = min(max(l.value, l.minimum), l.hard) }

// moveTowards moves the limit towards the mean of all instances. Without it an instance whose share
// of an engine has dropped to 0 measures nothing and would keep a wrong limit indefinitely.
func (l *limit) moveTowards(mean float64) {
	l.value += peerMeanWeight * (mean - l.value)
	l.bound()
}

// updateUnloadedLatency tracks the lowest observed latency. The value rises slowly, so that an engine
// that has become permanently slower is not kept at a limit of 1. The fitted curve alone is not
// sufficient: at a steady occupancy it has no slope, and the latency would be compared with itself.
func (l *limit) updateUnloadedLatency(latency *curve) {
	lowest := min(latency.at(1), latency.mean())
	if l.unloadedLatency == 0 {
		l.unloadedLatency = lowest
	}
	l.unloadedLatency = min(l.unloadedLatency*(1+unloadedLatencyDrift), lowest)
}

// target returns the latency in seconds up to which the limit may rise. An engine that cannot meet the
// objective even when idle is kept at the knee of its latency curve, since a limit of 1 would waste it.
func (l *limit) target() float64 {
	if l.objective == 0 {
		return max(fallbackKneeFactor*l.unloadedLatency, negligibleLatency)
	}
	return max(objectiveMargin*l.objective, kneeFactor*l.unloadedLatency)
}
