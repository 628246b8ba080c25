package placement

import "time"

// Times of an engine of usual speed, in milliseconds per token, from the users' description of their
// engines: 101 prompt tokens are read in a millisecond, and a step takes 2.97 ms and a little more for
// every running request. They are the start of what is learned.
const (
	nominalRead = 1.0 / 101
	nominalStep = 3.4
)

// Weights of a new measurement in the learned times.
const (
	stepWeight     = 0.02
	slownessWeight = 0.2
	// slownessRuns is how many runs an engine's slowness is the plain mean of.
	slownessRuns = 5
)

// pace is what was learned about the time that requests take.
type pace struct {
	step float64 // milliseconds per output token, mean of all engines
}

func newPace() pace { return pace{step: nominalStep} }

// learn takes the time of a run from its first event to its end.
func (p *pace) learn(e *engine, took time.Duration, tokens int) {
	step := float64(took) / float64(time.Millisecond) / float64(tokens)
	if step <= 0 {
		return
	}
	ratio := min(max(step/p.step, 0.05), 20)
	weight := max(slownessWeight, 1/float64(min(e.learned, slownessRuns)+1))
	e.learned++
	e.slowness += (ratio - e.slowness) * weight
	p.step += (step - p.step) * stepWeight
}

// least is the time that a request needs on an idle engine of usual speed.
func (p *pace) least(r *entry) time.Duration {
	return milliseconds(float64(r.PromptTokens) * nominalRead)
}

// firstEvent estimates the time to the first event of a request at an engine.
func (p *pace) firstEvent(e *engine, r *entry) time.Duration {
	return milliseconds((e.unread() + float64(r.PromptTokens)) * nominalRead * e.slowness)
}

// finish estimates the time to the end of a request at an engine.
func (p *pace) finish(e *engine, r *entry) time.Duration {
	return p.firstEvent(e, r) + milliseconds(r.output*p.step*e.slowness)
}

// work estimates the time that a request keeps one place of an engine of usual speed. Reading a prompt
// holds up the other places as well, so it counts once for each of them.
func (p *pace) work(r *entry, places int) time.Duration {
	return milliseconds(float64(r.PromptTokens)*nominalRead*float64(max(places, 1)) + r.output*p.step)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
