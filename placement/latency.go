package placement

import "time"

// Initial values of the latency model.
const (
	// nominalPrefillMS and nominalStepMS are the initial times of an engine of average speed, in milliseconds
	// per token: 101 prompt tokens are processed in a millisecond, and a decode step takes 2.97 ms and a little
	// more for every running request, as with most of the users' engines. The platform states no speeds.
	nominalPrefillMS = 1.0 / 101
	nominalStepMS    = 3.4
)

// Parameters for learning from completed runs.
const (
	// stepWeight and slownessWeight are the weights of a new measurement in the learned times.
	stepWeight     = 0.02
	slownessWeight = 0.2
	// slownessWarmup is the number of runs over which the slowness of an engine is the plain mean.
	slownessWarmup = 5
)

// Parameters for learning the prefill time from first events.
const (
	// minLearnedPrompt is the length of the shortest prompt that is learned from, in tokens. The time to the
	// first event of a shorter one consists mostly of other delays.
	minLearnedPrompt = 1500
	// prefillOverhead is the time from a grant to the first event in addition to that of the prompt.
	prefillOverhead = 10 * time.Millisecond
	// prefillQuantile is the quantile of the measured times that is learned. Many are too long, because the
	// engine processes the steps of running requests in between.
	prefillQuantile = 0.4
	// prefillStep is the relative change with each measurement.
	prefillStep = 0.03
	// maxPrefillFactor bounds the learned time relative to the nominal one, in both directions.
	maxPrefillFactor = 30
)

// latencyModel estimates how long requests take.
type latencyModel struct {
	stepMS    float64 // milliseconds per output token, mean of all engines
	prefillMS float64 // milliseconds per prompt token, of an engine of average speed
	// promptsPerToken is the number of prompt tokens that engines read while a run produces one token. It is learned
	// only if limits are.
	promptsPerToken float64
}

func newLatencyModel() latencyModel {
	return latencyModel{stepMS: nominalStepMS, prefillMS: nominalPrefillMS}
}

// learnPrefill updates the prefill time with the time from the grant of a run to its first event. No other prompt
// was pending on the engine at the grant.
func (m *latencyModel) learnPrefill(e *engine, took time.Duration, tokens int) {
	if tokens < minLearnedPrompt || e.slownessSamples < slownessWarmup {
		return
	}
	prefill := max(took-prefillOverhead, took/2)
	measured := float64(prefill) / float64(time.Millisecond) / float64(tokens) / max(e.slowness, 0.1)
	if measured > m.prefillMS {
		m.prefillMS *= 1 + prefillStep*prefillQuantile
	} else {
		m.prefillMS *= 1 - prefillStep*(1-prefillQuantile)
	}
	m.prefillMS = min(max(m.prefillMS, nominalPrefillMS/maxPrefillFactor), nominalPrefillMS*maxPrefillFactor)
}

// learn updates the step time and the slowness of an engine with the time of a run from its first event to
// its end.
func (m *latencyModel) learn(e *engine, took time.Duration, tokens int) {
	step := float64(took) / float64(time.Millisecond) / float64(tokens)
	if step <= 0 {
		return
	}
	ratio := min(max(step/m.stepMS, 0.05), 20)
	weight := max(slownessWeight, 1/float64(min(e.slownessSamples, slownessWarmup)+1))
	e.slownessSamples++
	e.slowness += (ratio - e.slowness) * weight
	m.stepMS += (step - m.stepMS) * stepWeight
}

// minTimeToFirstEvent returns the time to the first event of a request on an idle engine of average speed.
func (m *latencyModel) minTimeToFirstEvent(r *trackedRequest) time.Duration {
	return milliseconds(float64(r.PromptTokens) * m.prefillMS)
}

// timeToFirstEvent estimates the time to the first event of a request on an engine.
func (m *latencyModel) timeToFirstEvent(e *engine, r *trackedRequest) time.Duration {
	return milliseconds((e.pendingPromptTokens() + float64(r.PromptTokens)) * m.prefillMS * e.slowness)
}

// timeToFinish estimates the time to the end of a request on an engine.
func (m *latencyModel) timeToFinish(e *engine, r *trackedRequest) time.Duration {
	return m.timeToFirstEvent(e, r) + milliseconds(r.outputTokens*m.stepMS*e.slowness)
}

// slotTime estimates how long a request occupies a slot of an engine of average speed. Prompt processing
// stalls the other slots as well, so it counts once per slot.
func (m *latencyModel) slotTime(r *trackedRequest, slots int) time.Duration {
	return milliseconds(float64(r.PromptTokens)*m.prefillMS*float64(max(slots, 1)) + r.outputTokens*m.stepMS)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
