package edge

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/platform"
	"github.com/primrosebeam/primrosebeam/routing"
)

// sendResult is the result of one send to an engine.
type sendResult uint8

const (
	resultDone        sendResult = iota // the complete response was relayed
	resultUnreachable                   // no connection, so the engine received nothing of the request
	resultUnsent                        // the deadline passed before the engine received anything
	resultOtherStart                    // the engine has started again since it was listed; it received nothing
	resultRefused                       // the engine reported that it did not run the request
	resultFailed                        // the engine failed and may have run the request
	resultIncomplete                    // the response ended early after a part of it was relayed
	resultCallerLeft                    // the caller disconnected
	resultDeadline                      // the deadline passed
	resultStopped                       // the stop of this instance leaves no more time
)

// maxRefusedRetries is the number of retries that a request may use in addition to the attempts of its
// route while engines refuse to run it.
const maxRefusedRetries = 2

// maxUnreachableRetries is the number of retries that a request may use for engines that accept no
// connection.
const maxUnreachableRetries = 6

// minRetryTime is the time until the deadline below which a request is not retried.
const minRetryTime = 30 * time.Millisecond

// run acquires a slot and sends the request, and repeats both until the request is done or must not be
// retried.
func (x *exchange) run() {
	ctx, cancel := context.WithTimeout(x.request.Context(), x.timeLeft())
	defer cancel()
	defer context.AfterFunc(x.edge.giveUp, cancel)()
	for {
		acquired, ok := x.acquireUsableSlot(ctx)
		if !ok {
			return
		}
		last := x.send(ctx, acquired)
		x.countLoss(last)
		acquired.end(x.outcomeOf(last), x.outputTokens())
		if !x.shouldRetry(last) {
			x.finish(last)
			return
		}
		x.excluded = append(x.excluded, acquired.engine.ID)
		x.retries++
		x.edge.counters.retries.Inc()
	}
}

func (x *exchange) outcomeOf(r sendResult) placement.Outcome {
	switch r {
	case resultDone:
		return placement.OutcomeCompleted
	case resultUnreachable:
		return placement.OutcomeUnreachable
	case resultOtherStart, resultUnsent:
		return placement.OutcomeUnused
	case resultRefused:
		if x.edge.notices.IsBrittle(clock(), x.service.Name) {
			return placement.OutcomeBrittleRefused
		}
		return placement.OutcomeRefused
	case resultCallerLeft, resultDeadline, resultStopped:
		return placement.OutcomeCancelled
	}
	if x.connectionLost {
		return placement.OutcomeConnectionLost
	}
	return placement.OutcomeFailed
}

// maxLosses is the number of sends in a row that a request may lose without a response. It is suspected to crash engines
// then, as one whose losses the allocator knows.
const maxLosses = 2

// countLoss counts sends in a row that ended without a response because the engine closed or reset the connection.
func (x *exchange) countLoss(last sendResult) {
	switch {
	case x.responseBegun && last != resultRefused:
		x.losses = 0
	case x.connectionLost:
		x.losses++
	}
}

// shouldRetry decides whether the request is sent to another engine. A request that an engine may have run
// is retried only if its route allows it, and not if it is suspected to crash engines. A request that engines refused to
// run may be sent to a few more.
// Both use the retry budget, which limits the load that failing engines add. If an engine accepted no
// connection, it received nothing, so a retry cannot run the request twice and uses no budget.
func (x *exchange) shouldRetry(last sendResult) bool {
	if x.timeLeft() < minRetryTime {
		return false
	}
	switch last {
	case resultUnreachable, resultOtherStart:
		return x.retries < maxUnreachableRetries // no engine received the request
	case resultRefused:
		if x.retries >= maxRefusedRetries+x.route.MaxAttempts {
			return false
		}
	case resultFailed, resultIncomplete:
		begun := x.headerSent && !x.isStream()
		unnumbered := x.eventsSent > 0 && x.lastEventID == 0
		suspected := x.connectionLost && (x.losses >= maxLosses || x.edge.placer.blocked.IsWatched(x.parts))
		if !x.route.Idempotent() || x.sends >= x.route.MaxAttempts || begun || unnumbered || suspected {
			return false
		}
	default:
		return false
	}
	return x.retryReserved.Swap(false) || x.edge.retries.take(clock(), x.service.Name)
}

// reserveRetry takes a retry from the budget for a request whose engine is silent. It is called from the
// watchdog's goroutine, not from that of the request.
func (x *exchange) reserveRetry() bool {
	if x.timeLeft() < minRetryTime || !x.edge.retries.take(clock(), x.service.Name) {
		return false
	}
	x.retryReserved.Store(true)
	return true
}

// slot is an engine that a request has acquired for one send.
type slot struct {
	engine     placement.Engine
	acquiredAt time.Duration
	firstEvent func()                                      // reports the first event of the response
	progress   *progress                                   // nil if the response is no stream
	end        func(outcome placement.Outcome, tokens int) // releases the slot
}

// maxUnsentGrants is the number of slots that a request may return because they can no longer be used.
const maxUnsentGrants = 8

// maxGrantAge is the age up to which a slot may be used. A process that was paused after it acquired a slot holds
// an older one, which the allocator may have given to another request meanwhile.
const maxGrantAge = time.Second

// acquireUsableSlot acquires a slot and checks, right before it is used, everything that may have changed since it
// was granted, also while this process was paused: the age of the grant, notices of the engine, its version, the time
// left and the lease on the key. It returns false like acquireSlot.
func (x *exchange) acquireUsableSlot(ctx context.Context) (slot, bool) {
	for range maxUnsentGrants {
		acquired, ok := x.acquireSlot(ctx)
		if !ok {
			return slot{}, false
		}
		now := clock()
		why, retryAfter := x.checkPermissions(now)
		if why == "" && now-acquired.acquiredAt <= maxGrantAge && x.edge.notices.MayUse(now, acquired.engine.ID) &&
			(x.pinnedVersion == "" || x.pinnedVersion == acquired.engine.Version) {
			return acquired, true
		}
		acquired.end(placement.OutcomeUnused, 0)
		x.edge.counters.unsentGrants.Inc()
		if why != "" {
			x.finishUnplaced(why, retryAfter)
			return slot{}, false
		}
	}
	x.finishUnplaced(reason(placement.ReasonNoEngine), notReadyRetry)
	return slot{}, false
}

// blockedFor returns how long repetitions of this request, or requests with the parts of its prompt, are blocked, or 0.
func (x *exchange) blockedFor(now time.Duration) time.Duration {
	if len(x.parts) == 0 {
		return 0
	}
	return x.edge.placer.blocked.BlockedFor(now, x.service.Name, x.parts)
}

// checkPermissions returns the reason for which the request must not be sent now, or an empty one.
func (x *exchange) checkPermissions(now time.Duration) (why reason, retryAfter time.Duration) {
	blocked := x.blockedFor(now)
	switch {
	case blocked > 0:
		return reason(placement.ReasonBlockedPart), blocked
	case x.deadline <= now:
		return reason(placement.ReasonDeadline), quotaRetry
	case x.workspace != nil && x.sends == 0 && x.edge.control.leaseLeft() <= 0:
		return reasonNoLease, notReadyRetry
	}
	return "", 0
}

// acquireSlot waits for a slot. It returns false if there is none; it has then sent the final response to the
// caller.
func (x *exchange) acquireSlot(ctx context.Context) (slot, bool) {
	if left := x.blockedFor(clock()); left > 0 {
		x.finishUnplaced(reason(placement.ReasonBlockedPart), left)
		return slot{}, false
	}
	if x.service.Model == nil {
		return x.pickEngine(ctx)
	}
	t, err := x.edge.placer.Submit(x.placementRequest())
	if err != nil {
		x.finishUnplaced(reasonQueueFull, notReadyRetry)
		return slot{}, false
	}
	start := clock()
	select {
	case d := <-t.decision:
		x.queueTime += clock() - start
		x.decision = d
		if d.reason != "" {
			x.finishUnplaced(reason(d.reason), d.retryAfter)
			return slot{}, false
		}
		return slot{
			engine:     d.engine,
			acquiredAt: d.at,
			firstEvent: func() { x.edge.placer.FirstEvent(t) },
			progress:   &t.progress,
			end: func(o placement.Outcome, tokens int) {
				t.serverError = x.isServerError(o)
				x.edge.placer.End(t, o, tokens)
			},
		}, true
	case <-ctx.Done():
		x.queueTime += clock() - start
		x.edge.placer.Cancel(t)
		switch {
		case x.request.Context().Err() != nil:
			x.finishCallerLeft()
		case x.edge.giveUp.Err() != nil:
			x.finishUnplaced(reasonStopping, 0)
		default:
			x.finishUnplaced(reason(placement.ReasonDeadline), quotaRetry)
		}
		return slot{}, false
	}
}

// pickEngine chooses an engine of a plain service without asking an allocator, and waits for a permit if all engines
// that it could use state rate limits.
func (x *exchange) pickEngine(ctx context.Context) (slot, bool) {
	charge := 0.0
	if x.workspace != nil && x.sends == 0 {
		if x.edge.placer.IsExhausted(x.workspace.Name) {
			x.refuse(http.StatusTooManyRequests, reason(placement.ReasonQuota), quotaRetry)
			return slot{}, false
		}
		charge = x.workspace.Charge(x.tokenCount())
	}
	engine, why := x.awaitEngine(ctx)
	switch {
	case x.request.Context().Err() != nil:
		if why == "" {
			x.edge.balancer.Done(clock(), engine.ID, placement.OutcomeUnused)
		}
		x.finishCallerLeft()
	case x.edge.giveUp.Err() != nil:
		if why == "" {
			x.edge.balancer.Done(clock(), engine.ID, placement.OutcomeUnused)
		}
		x.finishUnplaced(reasonStopping, 0)
		return slot{}, false
	case why != "":
		x.finishUnplaced(reason(why), notReadyRetry)
		return slot{}, false
	}
	if charge > 0 {
		x.edge.placer.Charge(x.workspace.Name, charge)
	}
	acquiredAt := clock()
	return slot{
		engine:     engine,
		acquiredAt: acquiredAt,
		firstEvent: func() {},
		end: func(o placement.Outcome, _ int) {
			x.endPlain(engine.ID, o)
			x.measure(&engine, acquiredAt, o)
		},
	}, true
}

// endPlain records the end of a send to an engine of a plain service. The allocator learns what may show that the
// request has crashed the engine.
func (x *exchange) endPlain(engine string, outcome placement.Outcome) {
	now := clock()
	x.edge.balancer.Done(now, engine, outcome)
	x.observePlain(now, engine, outcome)
	lost := outcome == placement.OutcomeConnectionLost && !x.responseBegun
	if lost {
		x.edge.placer.Lost(&placement.LostRequest{Engine: engine, Parts: x.parts, SentAt: x.sentAt, LostAt: now})
	}
	if outcome == placement.OutcomeUnreachable || lost && x.connectionRefused {
		x.edge.placer.Unreachable(engine)
	}
	if x.responseBegun && !outcome.IsRefunded() { // a refusal says nothing about the request
		x.edge.placer.Responded(x.service.Name, x.parts)
	}
}

// observePlain records how a send went that the engine has begun. An error counts as a failure of the engine also if it
// was delivered, since routes that may not be repeated deliver all of them.
func (x *exchange) observePlain(now time.Duration, engine string, outcome placement.Outcome) {
	if outcome.IsRefunded() {
		return
	}
	failed := outcome == placement.OutcomeFailed || outcome == placement.OutcomeConnectionLost ||
		outcome == placement.OutcomeCompleted && x.status >= http.StatusInternalServerError
	x.edge.balancer.Observe(now, &placement.Observation{
		Engine: engine, Route: x.route.Name, Objective: x.route.Objective, Took: now - x.sentAt,
		Failed: failed, GivenUp: outcome == placement.OutcomeCancelled,
	})
}

// permitWaitShare is the fraction of the route's objective for which a request waits for a permit. After it, coming
// back later is better for the caller than a response that is late for certain.
const permitWaitShare = 0.5

// permitTimeout returns how long the request may wait for a permit. Without an objective the deadline counts.
func (x *exchange) permitTimeout() time.Duration {
	objective := x.route.Objective
	if objective <= 0 {
		objective = x.timeLeft()
	}
	return time.Duration(permitWaitShare * float64(objective))
}

// awaitEngine picks an engine of a plain service. Without one it returns the reason.
func (x *exchange) awaitEngine(ctx context.Context) (placement.Engine, placement.Reason) {
	b, service := x.edge.balancer, x.service.Name
	b.CountRequest(clock(), service)
	engine, ok := b.Pick(clock(), service, x.unusable())
	if ok {
		return engine, ""
	}
	if !b.NeedsPermit(clock(), service, x.unusable()) {
		return engine, b.ReasonForNone(clock(), service, x.unusable())
	}
	start := clock()
	defer func() { x.queueTime += clock() - start }()
	defer b.AwaitPermit(service)()
	timeout := time.NewTimer(x.permitTimeout())
	defer timeout.Stop()
	x.edge.placer.PermitNeeded()
	for {
		changed := b.PermitsChanged()
		if engine, ok = b.Pick(clock(), service, x.unusable()); ok {
			return engine, ""
		}
		select {
		case <-changed:
		case <-timeout.C:
			return engine, placement.ReasonRate
		case <-ctx.Done():
			return engine, placement.ReasonRate
		}
	}
}

// unusable returns the IDs of the engines of a plain service that must not get the request: those that were tried, and
// those of another version than the one that began the stream.
func (x *exchange) unusable() []string {
	if x.pinnedVersion == "" {
		return x.excluded
	}
	return append(x.edge.balancer.OtherVersions(x.service.Name, x.pinnedVersion), x.excluded...)
}

func (x *exchange) tokenCount() int { return x.tokens.Prompt + x.tokens.MaxOutput }

func (x *exchange) placementRequest() placement.Request {
	r := placement.Request{
		Service: x.service.Name, Tier: x.tier, Route: x.route.Name,
		PromptTokens: x.tokens.Prompt, ExpectedOutputTokens: x.expectedOutput(),
		MaxOutputTokens: x.tokens.MaxOutput, ArrivedAt: x.arrived, FirstEventDue: x.dueAt,
		FirstEventDeadline: x.firstEventDeadline(), Deadline: x.deadline,
		EventGap: x.route.EventGap, TokensPerEvent: x.service.Model.TokensPerEvent,
		CallerTimeout: x.callerTimeout, ExcludedEngines: x.excluded, PartlyDelivered: x.headerSent || x.takesUp,
		Parts: x.parts, Version: x.pinnedVersion,
	}
	if x.workspace != nil {
		r.Workspace = x.workspace.Name
		if x.sends == 0 {
			r.Charge = x.workspace.Charge(x.tokenCount())
		}
	}
	return r
}

// firstEventDeadline returns the time until which the caller waits for the first event or, after an
// interruption of its stream, for the next one.
func (x *exchange) firstEventDeadline() time.Duration {
	if x.headerSent {
		return min(clock()+x.route.EventTimeout(), x.deadline)
	}
	return min(x.arrived+x.route.EventTimeout(), x.deadline)
}

// expectedOutput returns the caller's estimate of the output tokens, or 0 without one. The limit on the
// output tokens that a request states is no estimate: the average output is a tenth of it.
func (x *exchange) expectedOutput() int {
	hint, ok := platform.ParseLengthHint(x.request.Header)
	if !ok {
		return 0
	}
	return min(hint, max(x.tokens.MaxOutput, 1))
}

// outputTokens returns the number of output tokens in the events that were relayed.
func (x *exchange) outputTokens() int {
	if x.service.Model == nil {
		return 0
	}
	return x.eventsSent * x.service.Model.TokensPerEvent
}

// finishUnplaced sends the final response of a request that gets no slot.
func (x *exchange) finishUnplaced(why reason, retryAfter time.Duration) {
	switch {
	case x.headerSent:
		x.abort(why)
	case why == reason(placement.ReasonQuota):
		x.refuse(http.StatusTooManyRequests, why, retryAfter)
	default:
		x.refuse(http.StatusServiceUnavailable, why, retryAfter)
	}
}

// finish sends the final response after the last send, unless it was relayed already.
func (x *exchange) finish(last sendResult) {
	switch last {
	case resultDone:
		x.log(x.status, reasonAnswered)
	case resultCallerLeft:
		x.finishCallerLeft()
	case resultIncomplete:
		x.abort(reasonIncomplete)
	case resultUnreachable, resultOtherStart, resultRefused:
		x.finishUnplaced(reasonRefused, notReadyRetry)
	case resultUnsent:
		x.finishUnplaced(reason(placement.ReasonDeadline), quotaRetry)
	case resultDeadline:
		if x.headerSent {
			x.abort(reasonTimeout)
			return
		}
		x.respond(http.StatusGatewayTimeout, reasonTimeout, 0)
	case resultStopped:
		x.finishUnplaced(reasonStopping, 0)
	case resultFailed:
		if x.headerSent {
			x.abort(reasonIncomplete)
			return
		}
		x.respond(http.StatusBadGateway, reasonFailed, 0)
	}
}

// refuse responds to a request that does not run. The response states so only if no engine can have run the request
// in any of its sends.
func (x *exchange) refuse(status int, why reason, retryAfter time.Duration) {
	if x.sends > 0 {
		status, retryAfter = http.StatusBadGateway, 0
	}
	x.respond(status, why, retryAfter)
}

func (x *exchange) respond(status int, why reason, retryAfter time.Duration) {
	h := x.writer.Header()
	if x.id != "" {
		h.Set(platform.HeaderAttempt, x.id)
	}
	if retryAfter > 0 {
		jittered := retryAfter.Seconds() * (1 + retryJitter*x.edge.random())
		h.Set("Retry-After", strconv.FormatFloat(jittered, 'f', 2, 64))
	}
	h.Set("Content-Length", "0")
	x.writer.WriteHeader(status)
	x.log(status, why)
}

// retryJitter is the random fraction added to Retry-After, so that callers refused at the same time do not
// retry at the same time.
const retryJitter = 0.3

// abort closes the connection in the middle of a response, so that the caller detects that the response is
// incomplete.
func (x *exchange) abort(why reason) {
	x.log(0, why)
	panic(http.ErrAbortHandler)
}

// finishCallerLeft ends an exchange whose caller has disconnected.
func (x *exchange) finishCallerLeft() {
	x.log(0, reasonCallerLeft)
	panic(http.ErrAbortHandler)
}

// isStream reports whether the response is an event stream.
func (x *exchange) isStream() bool { return x.route.Kind == routing.KindStream }
