package placement

import (
	"slices"
	"time"
)

const (
	// suspectAfter is how long an engine may leave all of its newer runs without a first event before
	// it gets no new ones. It is three times the strictest objective of the users' requests, 300 ms.
	suspectAfter = 900 * time.Millisecond
	// unreachedPause is how long an engine rests after a connection could not be opened: a crashed
	// engine stays on the platform's list for some seconds.
	unreachedPause = time.Second
	// answeredLately is how long ago an answer may be that shows an engine to be alive: the time that a
	// connection may take to be accepted.
	answeredLately = 300 * time.Millisecond
	// restingPart is the part of a service's engines that may rest because of failures. When more than
	// these fail the cause is elsewhere, and resting all of them would help nobody.
	restingPart = 0.25
	// refusedPause is how long a full engine rests; about the time of one short request.
	refusedPause = 100 * time.Millisecond
	// failurePause is how long an engine rests when too many of its last runs failed.
	failurePause = 3 * time.Second
	// pacedAfter is the number of failures in a row after which an engine that may not rest is paced: it
	// gets one run at a time with a pause of pacingPause after each failure, until it answers. One that
	// fails at once would draw all that waits: in a run of the users' days six such engines failed 1,022
	// requests within a second. An engine that loses half of its answers has so long a row once in 64.
	pacedAfter  = 6
	pacingPause = 300 * time.Millisecond
	// pacedPart is the part of a service's engines from which failures are taken for those of a cause
	// elsewhere, and no further engine is paced.
	pacedPart = 0.5
	// failureWindow is the number of runs that the share of failures is taken over.
	failureWindow = 8
	// failureLimit is the share of failures from which an engine rests. Ordinary engines fail under 2 in 100.
	failureLimit = 0.35
)

// engine is an engine with its runs and what was learned about it.
type engine struct {
	Engine
	runs       []*entry
	slowness   float64       // time per token in relation to the mean of all engines
	learned    int           // runs that slowness was learned from
	restsUntil time.Duration // gets no new runs before
	probation  bool          // after a rest it gets one run at a time until it answers
	failures   float64       // decaying share of failed runs
	// failuresInRow counts the failures since the last answer.
	failuresInRow int
	paced         bool // gets one run at a time, none before pausedUntil
	pausedUntil   time.Duration
	lastAnswer    time.Duration // last sign of life of a run
}

func newEngine(listed Engine) *engine { return &engine{Engine: listed, slowness: 1} }

func (e *engine) update(listed Engine) {
	leaving := e.Leaving || listed.Leaving // final for this incarnation
	e.Engine = listed
	e.Leaving = leaving
}

func (e *engine) add(r *entry) {
	r.engine = e
	e.runs = append(e.runs, r)
}

func (e *engine) remove(r *entry) {
	if at := slices.Index(e.runs, r); at >= 0 {
		e.runs = slices.Delete(e.runs, at, at+1)
	}
	r.engine = nil
}

// room reports whether the engine may be given another run.
func (e *engine) room(now time.Duration) bool {
	places := e.Slots
	if e.probation || e.paced {
		places = 1
	}
	return !e.Leaving && now >= e.restsUntil && now >= e.pausedUntil && len(e.runs) < places && !e.silent(now)
}

// silent reports whether a run waits for its first event far longer than it should, and nothing else
// came from the engine since it was sent.
func (e *engine) silent(now time.Duration) bool {
	for _, r := range e.runs {
		if !r.started && now-r.granted > suspectAfter+r.readTime()*time.Duration(3) && e.lastAnswer < r.granted {
			return true
		}
	}
	return false
}

// readTime is the usual time to read the prompt of a request.
func (r *entry) readTime() time.Duration {
	return time.Duration(float64(r.PromptTokens) * nominalRead * float64(time.Millisecond))
}

func (e *engine) answered(now time.Duration) {
	e.lastAnswer = now
	e.probation = false
	e.paced, e.pausedUntil, e.failuresInRow = false, 0, 0
	e.failures -= e.failures / failureWindow
}

// failed counts a failed run; mayRest and mayPace tell whether another engine of the service can be
// spared, and whether another one can be paced.
func (e *engine) failed(now time.Duration, mayRest, mayPace bool) {
	e.failures += (1 - e.failures) / failureWindow
	e.failuresInRow++
	switch {
	case e.failures >= failureLimit && mayRest:
		e.rest(now, failurePause)
		e.probation = true
		e.failures /= 2 // Another failure after the pause is enough for the next one.
	case e.failuresInRow >= pacedAfter && (e.paced || mayPace):
		e.paced = true
		e.pausedUntil = now + pacingPause
	}
}

// unreached takes an engine out that accepts no connection. One that answered a moment ago only lost
// a packet.
func (e *engine) unreached(now time.Duration) {
	if now-e.lastAnswer > answeredLately {
		e.rest(now, unreachedPause)
		e.probation = true
	}
}

func (e *engine) refused(now time.Duration) { e.rest(now, refusedPause) }

func (e *engine) rest(now, d time.Duration) { e.restsUntil = max(e.restsUntil, now+d) }

// unread is the number of prompt tokens that the engine has yet to read for runs without a first event.
func (e *engine) unread() float64 {
	tokens := 0.0
	for _, r := range e.runs {
		if !r.started {
			tokens += float64(r.PromptTokens)
		}
	}
	return tokens
}
