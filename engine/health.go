package engine

import "time"

const (
	failureWeight     = 0.2 // weight of one result in the failure rate
	ejectRate         = 0.5 // failure rate from which an engine is an outlier
	ejectSamples      = 4   // results before an engine can be ejected
	firstEjection     = 5 * time.Second
	longestEjection   = 60 * time.Second
	slowStart         = 10 * time.Second // time until a returning engine has its whole limit again
	slowStartFraction = 0.1              // part of the limit right after the return
)

// Health follows the results of an engine and its ejection.
type Health struct {
	failureRate float64
	samples     int
	ejections   int // consecutive ones, doubles the time
	ejected     bool
	until       time.Time // end of the ejection
	returned    time.Time // start of the slow start; zero when there is none
}

// Success records a complete answer.
func (h *Health) Success(now time.Time) {
	h.samples++
	h.failureRate -= failureWeight * h.failureRate
	if !h.ejected && !h.returned.IsZero() && now.Sub(h.returned) >= slowStart {
		h.ejections = 0
	}
}

// Failure records a refusal, an error or a broken answer.
func (h *Health) Failure(time.Time) {
	h.samples++
	h.failureRate += failureWeight * (1 - h.failureRate)
}

// Outlier reports whether the engine should be ejected.
func (h *Health) Outlier() bool {
	return !h.ejected && h.samples >= ejectSamples && h.failureRate > ejectRate
}

// Eject takes the engine out until a time that doubles with each ejection in a row.
func (h *Health) Eject(now time.Time) {
	h.ejected = true
	period := min(firstEjection<<min(h.ejections, 8), longestEjection)
	h.ejections++
	h.until = now.Add(period)
}

// Ejected reports whether the engine is ejected.
func (h *Health) Ejected() bool { return h.ejected }

// ExpireEjection ends the ejection when its time is over and reports whether it did.
func (h *Health) ExpireEjection(now time.Time) bool {
	if !h.ejected || now.Before(h.until) {
		return false
	}
	h.Readmit(now)
	return true
}

// Readmit brings the engine back with a slow start.
func (h *Health) Readmit(now time.Time) {
	h.ejected = false
	h.returned = now
	h.samples = 0
	h.failureRate = 0
}

// FailureRate returns the recent share of failures.
func (h *Health) FailureRate() float64 { return h.failureRate }

// ramp returns the part of the limit that is in use during a slow start.
func (h *Health) ramp(now time.Time) float64 {
	if h.returned.IsZero() {
		return 1
	}
	passed := float64(now.Sub(h.returned)) / float64(slowStart)
	return min(slowStartFraction+(1-slowStartFraction)*passed, 1)
}
