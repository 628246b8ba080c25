package engine

import "time"

const (
	failureWeight     = 0.2 // weight of one result in the moving average of the failure rate
	ejectRate         = 0.5 // failure rate above which an engine is an outlier
	ejectSamples      = 4   // number of results required for an ejection
	initialEjection   = 5 * time.Second
	maximumEjection   = 60 * time.Second
	slowStart         = 10 * time.Second // time until a readmitted engine has its full limit again
	slowStartFraction = 0.1              // fraction of the limit immediately after readmission
)

// Health tracks the failure rate of an engine and its ejection.
type Health struct {
	failureRate  float64
	samples      int
	ejections    int // consecutive ejections; each doubles the ejection time
	ejected      bool
	ejectedUntil time.Time // end of the current ejection
	readmittedAt time.Time // start of the slow start; zero if the engine was never readmitted
}

// Success records a complete response.
func (h *Health) Success(now time.Time) {
	h.samples++
	h.failureRate -= failureWeight * h.failureRate
	if !h.ejected && !h.readmittedAt.IsZero() && now.Sub(h.readmittedAt) >= slowStart {
		h.ejections = 0
	}
}

// Failure records a refusal, an error or an incomplete response.
func (h *Health) Failure(time.Time) {
	h.samples++
	h.failureRate += failureWeight * (1 - h.failureRate)
}

// Outlier reports whether the engine should be ejected.
func (h *Health) Outlier() bool {
	return !h.ejected && h.samples >= ejectSamples && h.failureRate > ejectRate
}

// Eject removes the engine from service for a time that doubles with each consecutive ejection.
func (h *Health) Eject(now time.Time) {
	h.ejected = true
	period := min(initialEjection<<min(h.ejections, 8), maximumEjection)
	h.ejections++
	h.ejectedUntil = now.Add(period)
}

// Ejected reports whether the engine is ejected.
func (h *Health) Ejected() bool { return h.ejected }

// ExpireEjection readmits the engine once its ejection time has passed, and reports whether it did.
func (h *Health) ExpireEjection(now time.Time) bool {
	if !h.ejected || now.Before(h.ejectedUntil) {
		return false
	}
	h.Readmit(now)
	return true
}

// Readmit returns the engine to service with a slow start.
func (h *Health) Readmit(now time.Time) {
	h.ejected = false
	h.readmittedAt = now
	h.samples = 0
	h.failureRate = 0
}

// FailureRate returns the moving average of the failure rate, 0 to 1.
func (h *Health) FailureRate() float64 { return h.failureRate }

// slowStartRamp returns the fraction of the limit that applies at now; it is 1 after the slow start.
func (h *Health) slowStartRamp(now time.Time) float64 {
	if h.readmittedAt.IsZero() {
		return 1
	}
	passed := float64(now.Sub(h.readmittedAt)) / float64(slowStart)
	return min(slowStartFraction+(1-slowStartFraction)*passed, 1)
}
