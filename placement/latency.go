package placement

import "time"

// Initial values of the latency model.
const (
	// nominalPrefillMS and nominalStepMS are the times of an engine of average speed, in milliseconds per
	// token, from the users' description of their engines: 101 prompt tokens are processed in a
	// millisecond, and a decode step takes 2.97 ms and a little more for every running request.
	// nominalStepMS is the initial value of the learned step time.
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

// latencyModel estimates how long requests take.
type latencyModel struct {
	stepMS float64 // milliseconds per output token, mean of all engines
}

func newLatencyModel() latencyModel { return latencyModel{stepMS: nominalStepMS} }

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
	return milliseconds(float64(r.PromptTokens) * nominalPrefillMS)
}

// timeToFirstEvent estimates the time to the first event of a request on an engine.
func (m *latencyModel) timeToFirstEvent(e *engine, r *trackedRequest) time.Duration {
	return milliseconds((e.pendingPromptTokens() + float64(r.PromptTokens)) * nominalPrefillMS * e.slowness)
}

// timeToFinish estimates the time to the end of a request on an engine.
func (m *latencyModel) timeToFinish(e *engine, r *trackedRequest) time.Duration {
	return m.timeToFirstEvent(e, r) + milliseconds(r.outputTokens*m.stepMS*e.slowness)
}

// slotTime estimates how long a request occupies a slot of an engine of average speed. Prompt processing
// stalls the other slots as well, so it counts once per slot.
func (m *latencyModel) slotTime(r *trackedRequest, slots int) time.Duration {
	return milliseconds(float64(r.PromptTokens)*nominalPrefillMS*float64(max(slots, 1)) + r.outputTokens*m.stepMS)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
