package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/concurrency"
)

// Parameters for learning how fast an engine is now.
const (
	// speedWindow is the period whose measurements count as one. The streams of an engine share its steps, so that
	// their median is its speed whatever one slow caller or instance adds to its own.
	speedWindow = 500 * time.Millisecond
	// maxWindowSamples bounds the measurements of a window that are kept.
	maxWindowSamples = 15
	// paceTime is the time constant with which the pace of an engine follows its windows: a change shows to nine
	// tenths within 2.3 s, a spell of 600 ms by less than half.
	paceTime = time.Second
	// maxPaceGap bounds the time for which one window may stand.
	maxPaceGap = 2 * paceTime
	// usualPaceTime is the time constant of the pace that is usual for an engine.
	usualPaceTime = 20 * time.Second
	// changeRatio is the ratio of the pace to the usual one, in either direction, from which an engine counts as
	// changed. Smaller differences are left to the slowness learned from whole runs.
	changeRatio = 1.4
	// unmeasuredTime is the time without a measurement after which the pace returns to the usual one, with the same
	// time constant. An engine that was avoided would never be measured again otherwise.
	unmeasuredTime = 500 * time.Millisecond
	// cautionRatio is the pace relative to the usual one from which an engine without recent measurements gets one
	// request at a time until it is measured again.
	cautionRatio = 2
	// maxPace bounds the pace in both directions.
	maxPace = 20
	// paceWarmup is the number of windows over which the pace is the plain mean.
	paceWarmup = 5
	// minMeasuredTokens is the number of output tokens from which a time per token is measured.
	minMeasuredTokens = 16
	// overdueMargin is the delay of a first event that the way to an engine may cause: a lost packet is sent again
	// after 200 ms.
	overdueMargin = 300 * time.Millisecond
	// maxOverdueRatio bounds what an overdue first event says about an engine, relative to its usual slowness.
	maxOverdueRatio = 5
	// limitsInterval is the interval at which windows are closed.
	limitsInterval = 100 * time.Millisecond
)

// Parameters of the limits.
const (
	// decodeDecay is the weight that a window loses with each later one in the fit of the time per token.
	decodeDecay = 0.7
	// prefillDecay is the same for first events.
	prefillDecay = 0.9
	// minPendingPrompt is the least number of pending prompt tokens at which an engine gets no further prompt. Engines
	// process 1,024 to 4,096 in a step.
	minPendingPrompt = 2048
	// objectiveDecay is the fraction of the difference by which the strictest objective of a service approaches that of
	// each request with a longer one.
	objectiveDecay = 0.001
)

// engineLimits is what was learned about how much an engine takes well. Engines have none if the feature is off.
type engineLimits struct {
	// slowness is that learned from whole runs, without the changes that the pace shows.
	slowness    float64
	window      []speedSample // measured since windowStart
	windowStart time.Duration // 0 while there is no measurement
	windows     int           // number of windows that the pace was learned from
	measuredAt  time.Duration // end of the last of them
	measured    float64       // pace at measuredAt
	pace        float64       // time per token now, relative to the mean of all engines
	usual       float64       // pace over a longer time; 0 if unknown
	changedAt   time.Duration // last time that the engine counted as changed
	uncertain   bool          // was slow when it was measured last, and counts as faster because it was not measured since

	// promptsRead counts the prompt tokens of the runs that have begun to respond. Engines process prompts between the
	// steps of their running requests, so that these take longer for it.
	promptsRead float64

	requests concurrency.Limit
	decode   concurrency.Curve // seconds per token over the requests on the engine
	prefill  concurrency.Curve // seconds to the first event over thousands of pending prompt tokens
	// pendingPrompt is the number of pending prompt tokens from which a further one would begin late; 0 while none is
	// known.
	pendingPrompt float64

	logged EngineLimit
}

func newEngineLimits(slots int) *engineLimits {
	return &engineLimits{
		slowness: 1, pace: 1,
		requests: concurrency.NewLimit(concurrency.Options{
			Initial: float64(slots), Minimum: 1, Hard: float64(slots), Samples: 1, Confirm: true,
		}),
		decode: concurrency.NewFastCurve(decodeDecay), prefill: concurrency.NewFastCurve(prefillDecay),
		logged: EngineLimit{Slowness: 1, Limit: slots},
	}
}

// speedSample is one measurement of an engine.
type speedSample struct {
	pace   float64 // time per token relative to the mean of all engines
	stepMS float64 // milliseconds per token without the time for prompts; 0 if unknown
}

// EngineLimit is how fast an engine is and what it takes well.
type EngineLimit struct {
	Engine   string
	Service  string
	Slowness float64 // time per token relative to the mean of all engines
	Usual    float64 // the same without changes of the last seconds
	Limit    int     // requests at once
	Slots    int     // as listed
	// PendingPrompt is the number of pending prompt tokens from which the engine gets no further request; 0 if unknown.
	PendingPrompt int
}

// LimitMessage is the log message for an EngineLimit that has changed.
const LimitMessage = "learned limit of an engine changed"

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (l *EngineLimit) MarshalZerologObject(event *zerolog.Event) {
	event.Str("engine", l.Engine).Str("service", l.Service).Float64("slowness", l.Slowness).Float64("usual", l.Usual).
		Int("limit", l.Limit).Int("slots", l.Slots).Int("pendingPrompt", l.PendingPrompt)
}

const (
	// markedRatio is the factor by which the slowness must differ from the one logged last to be logged again.
	markedRatio = 2
	// maxLimitChanges bounds the changes that are kept if the caller does not fetch them.
	maxLimitChanges = 100
)

// LimitChanges returns the limits that have changed markedly since the last call.
func (c *Core) LimitChanges() []EngineLimit {
	changes := c.limitChanges
	c.limitChanges = nil
	return changes
}

// Limits returns the limits of all listed engines, ordered by engine ID; nothing if limits are not learned.
func (c *Core) Limits() []EngineLimit {
	var list []EngineLimit
	for _, e := range c.engines {
		if e.limits != nil {
			list = append(list, e.limitState())
		}
	}
	slices.SortFunc(list, func(a, b EngineLimit) int { return cmp.Compare(a.Engine, b.Engine) })
	return list
}

func (e *engine) limitState() EngineLimit {
	l := e.limits
	return EngineLimit{
		Engine: e.ID, Service: e.Service, Slowness: e.slowness, Usual: l.slowness, Limit: int(math.Ceil(l.requests.Value())),
		Slots: e.Slots, PendingPrompt: int(l.pendingPrompt),
	}
}

// trackLimits makes what is learned about an engine follow its listed slots.
func (c *Core) trackLimits(e *engine) {
	switch {
	case !c.features.LearnedLimits:
	case e.limits == nil:
		e.limits = newEngineLimits(e.Slots)
		e.applyLimit()
	default:
		e.limits.requests.Reconfigure(float64(e.Slots), e.limits.requests.Objective())
		e.applyLimit()
	}
}

// usableSlots returns the number of requests that the engine takes well at once.
func (e *engine) usableSlots() int {
	if e.learnedSlots == 0 {
		return e.Slots
	}
	return min(e.learnedSlots, e.Slots)
}

// applyLimit makes the usable slots follow the limit.
func (e *engine) applyLimit() {
	e.learnedSlots = int(math.Ceil(e.limits.requests.Value()))
	if e.limits.uncertain {
		e.learnedSlots = 1
	}
}

// takesPrompts reports whether a further prompt could begin in time as far as those that are pending are concerned.
func (e *engine) takesPrompts() bool {
	l := e.limits
	return l == nil || l.pendingPrompt == 0 || e.pendingPromptTokens() < l.pendingPrompt
}

// observeObjective learns the strictest objective for first events of a service.
func (c *Core) observeObjective(s *service, r *Request) {
	objective := r.FirstEventDue - r.ArrivedAt
	switch {
	case !c.features.LearnedLimits || objective <= 0:
	case s.objective == 0 || objective < s.objective:
		s.objective = objective
	default:
		s.objective += time.Duration(float64(objective-s.objective) * objectiveDecay)
	}
}

// Progress records the progress of a running request: the number of output tokens after its first event, and the time
// from the first event to the last one.
func (c *Core) Progress(now time.Duration, id RequestID, tokens int, took time.Duration) {
	r := c.requests[id]
	if r == nil || r.engine == nil || r.engine.limits == nil || tokens-r.measuredTokens < minMeasuredTokens {
		return
	}
	c.measureRun(now, r.engine, r, tokens, took)
}

// measureRun measures the pace of an engine by the time that a run took for the tokens since its last measurement,
// and for the prompts that the engine has read meanwhile. While a prompt is being read, nobody knows how much of it has
// been, so that the measurement waits.
func (c *Core) measureRun(now time.Duration, e *engine, r *trackedRequest, tokens int, took time.Duration) {
	l := e.limits
	if e.isReading(now) {
		return
	}
	newTokens, newTime := float64(tokens-r.measuredTokens), milliseconds64(took-r.measuredTook)
	prompts := l.promptsRead - r.measuredPrompts
	r.measuredTokens, r.measuredTook, r.measuredPrompts = tokens, took, l.promptsRead
	if newTime <= 0 {
		return
	}
	c.latency.promptsPerToken += (prompts/newTokens - c.latency.promptsPerToken) * stepWeight
	promptTime := prompts * c.latency.prefillMS
	l.measure(now, speedSample{
		pace:   newTime / (newTokens*c.latency.pureStepMS() + promptTime),
		stepMS: max(newTime-promptTime*e.slowness, minPureStep*newTime) / newTokens,
	})
}

// readingTime is how long a prompt may be pending before the time per token of the other requests says little.
const readingTime = 100 * time.Millisecond

// isReading reports whether the engine has been reading a prompt for some time that takes it more than one step.
func (e *engine) isReading(now time.Duration) bool {
	for _, r := range e.runs {
		if !r.started && r.PromptTokens > minPendingPrompt && now-r.grantedAt > readingTime {
			return true
		}
	}
	return false
}

// minPureStep bounds the part of a step that is not spent on prompts.
const minPureStep = 0.3

// pureStepMS returns the milliseconds per output token of an engine of average speed that reads no prompts meanwhile.
func (m *latencyModel) pureStepMS() float64 {
	return max(m.stepMS-m.promptsPerToken*m.prefillMS, minPureStep*m.stepMS)
}

// learnFromEnd learns from a complete run.
func (c *Core) learnFromEnd(now time.Duration, e *engine, r *trackedRequest, tokens int) {
	l, took := e.limits, now-r.firstEventAt
	if l == nil {
		c.latency.learn(e, took, tokens)
		return
	}
	if l.changedAt == 0 || l.changedAt < r.firstEventAt {
		e.slowness = l.slowness
		c.latency.learn(e, took, tokens)
		l.slowness = e.slowness
		e.applyPace(now)
	}
	later := tokens - r.TokensPerEvent // the first event was there when the time began
	if later-r.measuredTokens >= minMeasuredTokens {
		c.measureRun(now, e, r, later, took)
	}
}

// learnFirstEvent learns the time to the first event over the prompt tokens that were pending at the grant.
func (c *Core) learnFirstEvent(now time.Duration, r *trackedRequest) {
	l := r.engine.limits
	if l == nil {
		return
	}
	l.promptsRead += float64(r.PromptTokens)
	r.measuredPrompts = l.promptsRead
	if r.promptsAhead <= 0 {
		return
	}
	l.prefill.Add(r.promptsAhead/1000, (now - r.grantedAt).Seconds())
	l.pendingPrompt = 0
	objective := c.service(r.Service).objective
	if thousands, ok := l.prefill.Reaches(objective.Seconds()); ok && objective > 0 {
		l.pendingPrompt = max(thousands*1000, minPendingPrompt)
	}
}

func (l *engineLimits) measure(now time.Duration, sample speedSample) {
	if l.windowStart == 0 {
		l.windowStart = now
	}
	if len(l.window) < maxWindowSamples {
		l.window = append(l.window, sample)
	}
}

// refreshLimits closes the windows that are complete, and lets the pace of engines that are not measured return to
// the usual one.
func (c *Core) refreshLimits(now time.Duration) {
	if !c.features.LearnedLimits || now < c.limitsAt {
		return
	}
	c.limitsAt = now + limitsInterval
	for _, s := range c.services {
		for _, list := range [][]*engine{s.engines, s.restricted} {
			for _, e := range list {
				c.refreshLimit(now, e)
			}
		}
	}
}

func (c *Core) refreshLimit(now time.Duration, e *engine) {
	l := e.limits
	if l.windowStart == 0 {
		c.measureOverdue(now, e)
	}
	switch {
	case l.windowStart != 0 && now-l.windowStart >= speedWindow:
		c.measureOverdue(now, e)
		c.closeWindow(now, e)
	case l.windowStart == 0 && l.usual > 0 && now-l.measuredAt >= unmeasuredTime:
		l.pace += (l.usual - l.pace) * approach(limitsInterval, unmeasuredTime)
		l.uncertain = l.measured > cautionRatio*l.usual
		e.applyLimit()
		e.applyPace(now)
	}
}

// measureOverdue measures the requests whose first event is overdue.
func (c *Core) measureOverdue(now time.Duration, e *engine) {
	for _, r := range e.runs {
		if r.started || r.promptsAhead <= 0 || r.grantedAt == 0 {
			continue
		}
		work := milliseconds(r.promptsAhead*c.latency.prefillMS) + prefillOverhead
		expected := time.Duration(float64(work) * max(e.slowness, 1))
		if waited := now - r.grantedAt; waited > overdueMargin+2*expected {
			pace := min(float64(waited-overdueMargin)/float64(work), maxOverdueRatio*max(e.limits.usual, 1))
			e.limits.measure(now, speedSample{pace: max(pace, e.limits.pace)})
		}
	}
}

// closeWindow learns from the measurements of a window.
func (c *Core) closeWindow(now time.Duration, e *engine) {
	l := e.limits
	slices.SortFunc(l.window, func(a, b speedSample) int { return cmp.Compare(a.pace, b.pace) })
	median := l.window[(len(l.window)-1)/2]
	pace := min(max(median.pace, 1.0/maxPace), maxPace)
	l.window, l.windowStart = l.window[:0], 0
	l.learnPace(now, pace)
	if e.slownessSamples == 0 {
		l.slowness = l.pace // no run has ended yet
	}
	e.applyPace(now)

	if median.stepMS > 0 {
		l.decode.Add(float64(len(e.runs)), median.stepMS/1000)
		l.requests.AddSample()
		l.requests.Reconfigure(float64(e.Slots), e.tokenObjective())
		l.requests.Adjust(time.Unix(0, int64(now)), float64(len(e.runs)), &l.decode)
	}
	e.applyLimit()
	c.recordLimitChange(e)
}

func (l *engineLimits) learnPace(now time.Duration, pace float64) {
	since := min(now-l.measuredAt, maxPaceGap)
	if l.windows < paceWarmup {
		l.pace += (pace - l.pace) / float64(l.windows+1)
		l.usual = l.pace
	} else {
		before := l.usual
		l.pace += (pace - l.pace) * approach(since, paceTime)
		l.usual += (pace - l.usual) * approach(since, usualPaceTime)
		if l.change() != 1 {
			l.slowness *= l.usual / before // whole runs are not learned from meanwhile
		}
	}
	l.windows++
	l.measuredAt, l.measured, l.uncertain = now, l.pace, false
}

// change returns the factor by which the engine takes longer than usual, or 1 if that is little.
func (l *engineLimits) change() float64 {
	if l.usual == 0 {
		return 1
	}
	if ratio := l.pace / l.usual; ratio >= changeRatio || ratio <= 1/changeRatio {
		return ratio
	}
	return 1
}

// applyPace makes the slowness of the engine follow its pace.
func (e *engine) applyPace(now time.Duration) {
	l := e.limits
	change := l.change()
	if change != 1 {
		l.changedAt = now
	}
	e.slowness = l.slowness * change
}

// tokenObjective returns the strictest time per token of the callers whose requests run on the engine, in seconds, or
// the former one if none states any.
func (e *engine) tokenObjective() float64 {
	strictest := 0.0
	for _, r := range e.runs {
		if r.EventGap <= 0 || r.TokensPerEvent <= 0 {
			continue
		}
		if gap := r.EventGap.Seconds() / float64(r.TokensPerEvent); strictest == 0 || gap < strictest {
			strictest = gap
		}
	}
	if strictest == 0 {
		return e.limits.requests.Objective()
	}
	return strictest
}

func (c *Core) recordLimitChange(e *engine) {
	state, logged := e.limitState(), &e.limits.logged
	ratio := state.Slowness / logged.Slowness
	if state.Limit == logged.Limit && ratio < markedRatio && ratio > 1.0/markedRatio || len(c.limitChanges) >= maxLimitChanges {
		return
	}
	*logged = state
	c.limitChanges = append(c.limitChanges, state)
}

// learnedLimits adds what was learned about an engine beside its slowness.
func (e *engine) learnedLimits(out *LearnedEngine) {
	if l := e.limits; l != nil {
		out.Slowness, out.Born, out.Limit = l.slowness, e.Born, l.requests.Value()
	}
}

// resumeLimits continues with what another core has learned about the same start of the engine. It reports whether it
// is known to be about another start.
func (e *engine) resumeLimits(learned *LearnedEngine) (otherStart bool) {
	l := e.limits
	if l == nil {
		return false
	}
	if isOtherStart(learned.Born, e.Born) {
		return true
	}
	l.slowness = learned.Slowness
	if learned.Limit >= 1 {
		l.requests.Resume(learned.Limit)
		e.applyLimit()
	}
	return false
}

// approach returns the fraction of a difference that is left behind after the given time with a time constant.
func approach(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-float64(elapsed)/float64(constant))
}

// milliseconds64 is the inverse of milliseconds.
func milliseconds64(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
