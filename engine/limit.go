package engine

import "time"

const (
	initialLimit      = 8  // requests on a model engine until its speed is known
	initialPlainLimit = 16 // requests on a plain engine until its speed is known
	lowestLimit       = 1
	lowestPlainLimit  = 4
	maximumLimit      = 512 // requests; bounds the growth without objectives
	adjustEvery       = 500 * time.Millisecond
	adjustSamples     = 12 // latencies that an adjustment needs: one of nine instances sees few, and each is noisy
	adjustAtLatest    = 3 * time.Second
	decreaseFactor    = 0.9
	increaseFactor    = 0.06
	objectiveMargin   = 0.66  // the mean is held at this part of the objective, so that the tail meets it
	kneeFactor        = 1.5   // latency relative to an empty engine that is accepted beyond the objective
	plainKneeFactor   = 2     // the same for engines without an objective
	missShare         = 0.1   // share of first tokens beyond their objective that lowers the limit
	emptyDrift        = 0.005 // by which the latency of an empty engine may rise at each adjustment
	approachWeight    = 0.1   // part of the way to the mean of all instances at each refresh
	unnoticedLatency  = 0.02  // seconds; answers below it are no reason to lower the limit of a plain engine
	usedShare         = 0.75  // a limit of which less is used is not raised: there is no evidence for it
)

// limit is the adaptive concurrency limit of an engine over all instances. It falls while measured
// latencies exceed the objectives and rises while they are met and the limit is in use.
type limit struct {
	value     float64
	lowest    float64
	hard      float64
	objective float64 // seconds between tokens, or per answer of a plain engine; 0 means none
	empty     float64 // latency of an almost empty engine, in seconds
	adjusted  time.Time
	samples   int     // latencies since adjusted
	peak      float64 // largest occupancy since adjusted
	measured  int     // first tokens since adjusted
	missed    int     // of these, beyond their objective
}

func newLimit(o Options) limit {
	l := limit{value: initialLimit, lowest: lowestLimit}
	if o.Plain {
		l.value = initialPlainLimit
		l.lowest = lowestPlainLimit
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

// firstToken records a time to first token. A request whose own prefill takes longer than the
// objective says nothing about the load.
func (l *limit) firstToken(objective, took time.Duration, alone float64) {
	if objective <= 0 || alone > objective.Seconds() {
		return
	}
	l.measured++
	if took > objective {
		l.missed++
	}
}

func (l *limit) adjust(now time.Time, occupancy float64, latency *curve) {
	l.peak = max(l.peak, occupancy)
	waited := now.Sub(l.adjusted)
	if waited < adjustEvery || l.samples < adjustSamples && waited < adjustAtLatest {
		return
	}
	if l.samples == 0 && l.measured == 0 {
		// Nothing was measured since the last adjustment: an idle engine must not be judged by old latencies again.
		l.adjusted = now
		l.peak = 0
		return
	}
	l.samples = 0
	l.observeEmpty(latency)
	late := l.measured > 0 && float64(l.missed) > missShare*float64(l.measured)
	switch {
	case late || latency.mean() > l.target():
		l.value *= decreaseFactor
	case l.peak >= usedShare*l.value:
		l.value += max(l.value*increaseFactor, 0.5)
	}
	l.bound()
	l.adjusted = now
	l.peak, l.measured, l.missed = 0, 0, 0
}

// bound keeps the limit between its lowest value and the hard limit. A plain service keeps a few
// places: with one, a single slow call would hold up every other.
func (l *limit) bound() { l.value = min(max(l.value, l.lowest), l.hard) }

// approach moves the limit towards the mean of all instances. Without it an instance whose share of
// an engine has become 0 measures nothing and keeps a wrong limit for ever.
func (l *limit) approach(mean float64) {
	l.value += approachWeight * (mean - l.value)
	l.bound()
}

// observeEmpty keeps the lowest latency seen. It rises slowly, so that an engine that has become
// slower for good is not held at a limit of 1 for ever. The fitted curve alone does not do: at a
// steady occupancy it has no slope, and the latency would be compared with itself.
func (l *limit) observeEmpty(latency *curve) {
	lowest := min(latency.at(1), latency.mean())
	if l.empty == 0 {
		l.empty = lowest
	}
	l.empty = min(l.empty*(1+emptyDrift), lowest)
}

// target is the latency up to which the limit rises. An engine that cannot meet the objective even
// when empty is held at the knee of its curve, since a limit of 1 would waste it.
func (l *limit) target() float64 {
	if l.objective == 0 {
		return max(plainKneeFactor*l.empty, unnoticedLatency)
	}
	return max(objectiveMargin*l.objective, kneeFactor*l.empty)
}
