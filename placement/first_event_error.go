package placement

import "time"

// firstEventErrors learns by how much estimated times to the first event are exceeded, by length of the prompt: long
// prompts take more time per token than short ones, and the work of running streams is processed in between.
type firstEventErrors [len(promptClassBounds) + 1]firstEventError

// firstEventError holds quantiles of the time to the first event relative to its estimate.
type firstEventError struct {
	usual float64 // exceeded by one in four
	worst float64 // exceeded by one in twenty
}

// promptClassBounds are the lengths of prompts, in tokens, from which a new class begins.
var promptClassBounds = [...]int{1000, 4000, 12_000, 25_000}

const (
	usualQuantile = 0.75
	worstQuantile = 0.95
	// initialUsualError and initialWorstError hold until times were measured.
	initialUsualError = 1.3
	initialWorstError = 2
	// errorStep is the relative change of a quantile with each measurement.
	errorStep = 0.05
	// maxError bounds the learned quantiles; the reciprocal of it bounds them below.
	maxError = 8
)

func newFirstEventErrors() firstEventErrors {
	var errors firstEventErrors
	for i := range errors {
		errors[i] = firstEventError{usual: initialUsualError, worst: initialWorstError}
	}
	return errors
}

// of returns the quantiles for prompts of the given length in tokens.
func (f *firstEventErrors) of(tokens int) *firstEventError {
	class := 0
	for class < len(promptClassBounds) && tokens >= promptClassBounds[class] {
		class++
	}
	return &f[class]
}

// learn updates the quantiles with a first event after the given time.
func (f *firstEventErrors) learn(tokens int, took, estimate time.Duration) {
	if estimate <= 0 {
		return
	}
	ratio := float64(took) / float64(estimate)
	e := f.of(tokens)
	moveQuantile(&e.usual, ratio, usualQuantile)
	moveQuantile(&e.worst, ratio, worstQuantile)
}

// learnMissing updates the quantiles with a run that was cancelled after the given time without a first event. It shows
// only which times were exceeded: when the event would have arrived is unknown.
func (f *firstEventErrors) learnMissing(tokens int, took, estimate time.Duration) {
	if estimate <= 0 {
		return
	}
	ratio := float64(took) / float64(estimate)
	e := f.of(tokens)
	if ratio > e.usual {
		moveQuantile(&e.usual, ratio, usualQuantile)
	}
	if ratio > e.worst {
		moveQuantile(&e.worst, ratio, worstQuantile)
	}
}

func moveQuantile(value *float64, measured, quantile float64) {
	if measured > *value {
		*value *= 1 + errorStep*quantile
	} else {
		*value *= 1 - errorStep*(1-quantile)
	}
	*value = min(max(*value, 1.0/maxError), maxError)
}

// apply returns the times that one in four, and one in twenty, first events with the given estimate exceed.
func (e *firstEventError) apply(estimate time.Duration) (usual, worst time.Duration) {
	return time.Duration(e.usual * float64(estimate)), time.Duration(e.worst * float64(estimate))
}
