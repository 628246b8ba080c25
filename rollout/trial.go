package rollout

import "time"

const (
	// completionMargin is the time before the deadline at which a decision is written at the latest. A change of leader
	// takes 0.84 s at most; for short orders it is maxMarginPart of the duration.
	completionMargin = 1500 * time.Millisecond
	maxMarginPart    = 0.2
	// judgedPart is the part of the duration in which the version is watched as a canary, also if it looks good at once.
	judgedPart = 0.5
	// loadTime is how long the load step lasts at most, and settleTime how long its outcomes are awaited at most.
	loadTime   = 3 * time.Second
	settleTime = 2 * time.Second
	// minSettleTime is awaited in any case, and settledPart of the requests of the step must have been heard of.
	minSettleTime = 400 * time.Millisecond
	settledPart   = 0.5
	// minMovingTime is the time in which all entry instances hear of the move, by an announcement or with their regular
	// call every 400 ms, and their last plain requests to the old engines end.
	minMovingTime = 800 * time.Millisecond
	// maxMovingTime bounds the wait for the last streams at the old engines.
	maxMovingTime = 5 * time.Second
	// loadEnginesPart is the part of the engines, one in so many, that take part in the load step, and minLoadEngines
	// their minimum. loadBurst is how many requests they may get at once.
	loadEnginesPart = 4
	minLoadEngines  = 2
	loadBurst       = 4
	// neededCapacity is the part of the old engines' slots that the new ones must have.
	neededCapacity = 0.8
	// lostCapacity is the part below which a move is taken back.
	lostCapacity = 0.3
	// loneTime is how long no other version must be listed for an order to complete without a comparison.
	loneTime = 2 * time.Second
	// verdictInterval is the interval between verdicts.
	verdictInterval = 200 * time.Millisecond
	// decisionInterval is the interval at which a decision is repeated until it is stored.
	decisionInterval = 300 * time.Millisecond
)

// Engines summarizes the engines of a service that are listed and not leaving.
type Engines struct {
	NewEngines         int
	NewSlots, OldSlots int
	OldRunning         int      // requests that are known to run on the old engines, listed or not
	OldVersions        []string // versions of the old engines
}

type step uint8

const (
	stepCanary step = iota
	stepLoad        // a part of the engines bears the usual load of an engine until the share is used up
	stepSettle      // the outcomes of the load step are awaited
)

// Trial decides about one order: what the new version may get now, and when the order moves, completes or is rolled
// back. Times are readings of the caller's clock.
type Trial struct {
	rollout   Rollout
	orderedAt time.Duration
	exposure  Exposure
	judge     Judge

	step        step
	stepSince   time.Duration
	stepExposed float64 // requests to the new version before the load step
	stepCounted float64 // requests to the service before the load step
	loadShare   float64 // part of the requests that the engines in the load step get
	stepHeard   int     // heard before the load step
	heard       int     // requests to the new version that were heard of
	sawOld      bool    // an engine of another version was listed since the order
	movingSince time.Duration
	isMoving    bool
	failed      string // reason for a rollback that was decided; empty while there is none
	verdict     Verdict
	reason      string
	judgedAt    time.Duration
	decided     *Decision
	decidedAt   time.Duration
}

// NewTrial returns the trial of an order in progress that was given at orderedAt.
func NewTrial(r Rollout, orderedAt time.Duration, limits Limits) *Trial {
	return &Trial{rollout: r, orderedAt: orderedAt, exposure: Exposure{limits: limits}}
}

// AllowTolerance lets the new version get part of the tolerance. It may be called for one trial of an order only, by
// the instance that stored the order: after a change of leader the former one may have spent it.
func (t *Trial) AllowTolerance() { t.exposure.allowTolerance() }

// Count adds requests that go to the service, whatever version they go to.
func (t *Trial) Count(now time.Duration, requests int) { t.exposure.Count(now, requests) }

// Expose adds requests that go to the new version under a grant. They count also if the grant is not used: what became of
// a grant is not always known.
func (t *Trial) Expose(requests int) { t.exposure.Add(requests) }

// Observe adds what became known about a request.
func (t *Trial) Observe(now time.Duration, isNew bool, s Sample) {
	t.judge.Observe(now, isNew, s)
	if isNew && s.First > 0 {
		t.heard++
	}
}

// Available returns how many requests the new version may get now while the order is active.
func (t *Trial) Available(now time.Duration) int {
	if t.failed != "" || t.isMoving || t.left(now) <= 0 {
		return 0
	}
	switch t.step {
	case stepCanary:
		return max(int(t.exposure.availableAsCanary()), 0)
	case stepLoad:
		usual := t.loadShare*(t.exposure.requests-t.stepCounted) + loadBurst - (t.exposure.exposed - t.stepExposed)
		return max(int(min(t.exposure.availableUnderLoad(now, t.left(now)), usual)), 0)
	}
	return 0
}

// IsLoading reports whether only the engines of the load step get requests, see LoadEngines.
func (t *Trial) IsLoading() bool { return t.step == stepLoad }

// LoadEngines returns how many of the engines of the new version bear the usual load in the load step: few, so that the
// share lasts, but so many that a single odd one does not count.
func LoadEngines(engines int) int {
	return min(max((engines+loadEnginesPart-1)/loadEnginesPart, minLoadEngines), engines)
}

// Exposed returns how many requests the new version got, and how many there were.
func (t *Trial) Exposed() (exposed, requests int) {
	return int(t.exposure.exposed), int(t.exposure.requests)
}

// Verdict returns the last verdict and its reason.
func (t *Trial) Verdict() (Verdict, string) { return t.verdict, t.reason }

func (t *Trial) left(now time.Duration) time.Duration {
	return t.orderedAt + t.rollout.Duration() - now
}

// latest returns the time at which a decision has to be written.
func (t *Trial) latest() time.Duration {
	d := t.rollout.Duration()
	return t.orderedAt + d - min(completionMargin, time.Duration(maxMarginPart*float64(d)))
}

// SetState follows the replicated state of the order.
func (t *Trial) SetState(now time.Duration, r Rollout) {
	if r.State == StateMoving && !t.isMoving {
		t.isMoving, t.movingSince = true, now
	}
	if r.State != t.rollout.State {
		t.decided = nil
	}
	t.rollout = r
}

// Step returns the decision that has to be stored now, or nil. It repeats one until SetState shows that it was stored.
func (t *Trial) Step(now time.Duration, e Engines) *Decision {
	t.sawOld = t.sawOld || e.OldSlots > 0
	if now-t.judgedAt >= verdictInterval || t.judgedAt == 0 {
		t.judgedAt = now
		t.verdict, t.reason = t.judge.Verdict(now)
	}
	if t.verdict == VerdictBad && t.failed == "" {
		t.failed = t.reason
	}
	next, reason := t.next(now, e)
	if next == t.rollout.State {
		return nil
	}
	if t.decided != nil && t.decided.State == next && now-t.decidedAt < decisionInterval {
		return nil
	}
	t.decided = &Decision{Service: t.rollout.Service, Number: t.rollout.Number, State: next, Former: e.OldVersions, Reason: reason}
	t.decidedAt = now
	return t.decided
}

// next returns the state that the order should have, with the reason for a change.
func (t *Trial) next(now time.Duration, e Engines) (State, string) {
	switch {
	case t.failed != "":
		return StateRolledBack, t.failed
	case t.isMoving:
		return t.nextMoving(now, e)
	case t.left(now) <= 0:
		t.failed = "deadline passed"
		return StateRolledBack, t.failed
	case !t.sawOld && e.NewSlots > 0 && now-t.orderedAt >= loneTime:
		return StateCompleted, "no other version"
	}
	hasCapacity := float64(e.NewSlots) >= neededCapacity*float64(e.OldSlots) && e.NewSlots > 0
	isGood := t.verdict == VerdictGood && hasCapacity
	t.advance(now, isGood, e)
	isLast := now >= t.lastMove()
	switch {
	case isGood && t.isSettled(now, isLast) && (isLast || t.step == stepSettle):
		return StateMoving, t.reason
	case isLast && !hasCapacity:
		t.failed = "too few engines of the new version"
		return StateRolledBack, t.failed
	case isLast:
		t.failed = "undecided: " + t.reason
		return StateRolledBack, t.failed
	}
	return StateActive, ""
}

// lastMove returns the time at which the order has to move at the latest.
func (t *Trial) lastMove() time.Duration { return t.latest() - minMovingTime }

// advance goes on from the canary to the load and from there to the wait for its outcomes.
func (t *Trial) advance(now time.Duration, isGood bool, e Engines) {
	judged := now-t.orderedAt >= time.Duration(judgedPart*float64(t.rollout.Duration()))
	loadEnd := t.lastMove() - minSettleTime
	switch {
	case t.step == stepCanary && isGood && judged && now < loadEnd-minSettleTime:
		t.step, t.stepSince = stepLoad, now
		t.stepExposed, t.stepCounted, t.stepHeard = t.exposure.exposed, t.exposure.requests, t.heard
		t.loadShare = float64(LoadEngines(e.NewEngines)) / float64(max(e.NewEngines, 1))
	case t.step == stepLoad && (now-t.stepSince >= loadTime || now >= loadEnd || t.exposure.availableUnderLoad(now, t.left(now)) < 1):
		t.step, t.stepSince = stepSettle, now
	}
}

// isSettled reports whether enough is known about the requests of the load step, if there was one. isLast states that
// there is no time to wait for more.
func (t *Trial) isSettled(now time.Duration, isLast bool) bool {
	switch {
	case t.step == stepCanary:
		return true
	case !isLast && (t.step == stepLoad || now-t.stepSince < minSettleTime):
		return false
	}
	sent, heard := t.exposure.exposed-t.stepExposed, float64(t.heard-t.stepHeard)
	return heard >= 0.95*sent || heard >= settledPart*sent && (isLast || now-t.stepSince >= settleTime)
}

func (t *Trial) nextMoving(now time.Duration, e Engines) (State, string) {
	moving := now - t.movingSince
	switch {
	case float64(e.NewSlots) < lostCapacity*float64(e.OldSlots):
		t.failed = "engines of the new version are gone"
		return StateRolledBack, t.failed
	case moving >= minMovingTime && e.OldRunning == 0:
		return StateCompleted, "moved"
	case moving >= maxMovingTime || now >= t.latest():
		return StateCompleted, "moved, with requests at the former version"
	}
	return StateMoving, ""
}
