package placement

import (
	"maps"
	"slices"
	"time"
)

const (
	// firstEventTimeout is how long a run may go without a first event, in addition to three times its
	// estimated prefill time, before its engine gets no new requests. The engine stays in use if another
	// run has responded since the run was granted. The timeout is three times the strictest first-event
	// objective of the users' requests, 300 ms.
	firstEventTimeout = 900 * time.Millisecond
	// unreachablePause is how long an engine is suspended after a connection to it could not be opened. A
	// crashed engine stays on the platform's list for some seconds.
	unreachablePause = time.Second
	// recentResponseWindow is how old the last response of an engine may be to show that the engine is
	// alive. It is the time that accepting a connection may take.
	recentResponseWindow = 300 * time.Millisecond
	// maxSuspendedShare is the fraction of the engines of a service that may be suspended because of
	// failures. If more of them fail, the cause lies elsewhere and suspending all of them would not help.
	maxSuspendedShare = 0.25
	// refusedPause is how long a full engine is suspended; about the duration of one short request.
	refusedPause = 100 * time.Millisecond
	// failurePause is how long an engine is suspended after too many of its recent runs failed.
	failurePause = 3 * time.Second
	// throttleAfter is the number of consecutive failures after which an engine is throttled if it may not
	// be suspended. A throttled engine gets one request at a time, with a pause of throttlePause after
	// each failure, until it responds. An engine that fails immediately would otherwise attract all
	// waiting requests: in a run of the users' days six such engines failed 1,022 requests within a
	// second. An engine that loses half of its responses reaches this number once in 64 times.
	throttleAfter = 6
	throttlePause = 300 * time.Millisecond
	// maxThrottledShare is the fraction of the engines of a service that may be out of normal use
	// (suspended, on probation or throttled) for another one to be throttled. Beyond it the failures are
	// assumed to have a cause elsewhere.
	maxThrottledShare = 0.5
	// failureWindow is the time constant of the failure rate, in runs.
	failureWindow = 8
	// failureLimit is the failure rate from which an engine is suspended. Less than 2 % of the runs fail
	// on ordinary engines.
	failureLimit = 0.35
)

// engine is an engine with its running requests and what was learned about it.
type engine struct {
	Engine
	runs            []*trackedRequest
	slowness        float64       // time per token relative to the mean of all engines
	slownessSamples int           // number of runs that slowness was learned from
	suspendedUntil  time.Duration // no new requests before
	probation       bool          // after a suspension: one request at a time until the engine responds
	failureRate     float64       // decaying fraction of failed runs
	// consecutiveFailures counts the failures since the last response.
	consecutiveFailures int
	throttled           bool // one request at a time, none before pausedUntil
	pausedUntil         time.Duration
	lastResponse        time.Duration // last time that a run delivered its first event or completed
	losses              losses
	crashedAt           time.Duration // last crash, 0 if there was none
	unlisted            bool          // no longer listed, but requests still run on it
	access              access        // because of a rollout
	takesLoad           bool          // in the load step of a rollout
	unreachableAt       time.Duration // last time that an engine of a plain service accepted no connection, or 0
	limits              *engineLimits // nil unless limits are learned
	learnedSlots        int           // number of requests that the engine takes well at once; 0 unless limits are learned
	// rests holds until when the engine wants no requests from an owner. Nil while there is none.
	rests map[string]time.Duration
}

func newEngine(listed Engine) *engine { return &engine{Engine: listed, slowness: 1} }

// update follows the list, which shows the same start of the engine as before.
func (e *engine) update(listed Engine) {
	leaving := e.Leaving || listed.Leaving // an engine that leaves does not change its mind
	if listed.Born == 0 {
		listed.Born = e.Born
	}
	e.Engine = listed
	e.Leaving = leaving
	e.unlisted = false
}

func (e *engine) add(r *trackedRequest) {
	r.engine = e
	e.runs = append(e.runs, r)
}

func (e *engine) remove(r *trackedRequest) {
	if i := slices.Index(e.runs, r); i >= 0 {
		e.runs = slices.Delete(e.runs, i, i+1)
	}
	r.engine = nil
}

// hasFreeSlot reports whether the engine may be given another request.
func (e *engine) hasFreeSlot(now time.Duration) bool {
	slots := e.usableSlots()
	if e.probation || e.throttled {
		slots = 1
	}
	return !e.Leaving && now >= e.suspendedUntil && now >= e.pausedUntil && len(e.runs) < slots && !e.unresponsive(now)
}

// unresponsive reports whether a run has waited far too long for its first event while nothing else has
// arrived from the engine since the run was granted.
func (e *engine) unresponsive(now time.Duration) bool {
	for _, r := range e.runs {
		if !r.started && now-r.grantedAt > r.firstEventLimit && e.lastResponse < r.grantedAt {
			return true
		}
	}
	return false
}

func (e *engine) recordResponse(now time.Duration) {
	e.lastResponse = now
	e.probation = false
	e.throttled, e.pausedUntil, e.consecutiveFailures = false, 0, 0
	e.failureRate -= e.failureRate / failureWindow
}

// recordFailure counts a failed run. maySuspend and mayThrottle state whether one more engine of the
// service may be suspended or throttled.
func (e *engine) recordFailure(now time.Duration, maySuspend, mayThrottle bool) {
	e.failureRate += (1 - e.failureRate) / failureWindow
	e.consecutiveFailures++
	switch {
	case e.failureRate >= failureLimit && maySuspend:
		e.suspend(now, failurePause)
		e.probation = true
		e.failureRate /= 2 // One more failure after the pause suspends the engine again.
	case e.consecutiveFailures >= throttleAfter && (e.throttled || mayThrottle):
		e.throttled = true
		e.pausedUntil = now + throttlePause
	}
}

// recordUnreachable suspends an engine that accepts no connections. If the engine responded recently, only
// a packet was lost and it stays in use.
func (e *engine) recordUnreachable(now time.Duration) {
	if now-e.lastResponse > recentResponseWindow {
		e.suspend(now, unreachablePause)
		e.probation = true
	}
}

func (e *engine) recordRefusal(now time.Duration) { e.suspend(now, refusedPause) }

func (e *engine) suspend(now, d time.Duration) { e.suspendedUntil = max(e.suspendedUntil, now+d) }

// restsFor reports whether the engine wants no requests from an owner now.
func (e *engine) restsFor(now time.Duration, owner string) bool { return now < e.rests[owner] }

// rest records that the engine wants no requests from an owner before the given time.
func (e *engine) rest(now, until time.Duration, owner string) {
	maps.DeleteFunc(e.rests, func(_ string, end time.Duration) bool { return now >= end })
	if e.rests == nil {
		e.rests = map[string]time.Duration{}
	}
	e.rests[owner] = max(e.rests[owner], until)
}

// pendingPromptTokens returns the number of prompt tokens of the runs that have not delivered a first
// event.
func (e *engine) pendingPromptTokens() float64 {
	tokens := 0.0
	for _, r := range e.runs {
		if !r.started {
			tokens += float64(r.PromptTokens)
		}
	}
	return tokens
}
