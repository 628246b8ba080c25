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

// verdict is how one send to an engine ended.
type verdict uint8

const (
	verdictDone      verdict = iota // the caller has the whole answer
	verdictUnreached                // no connection: the engine has nothing of the request
	verdictRefused                  // the engine said that it did not run the request
	verdictFailed                   // the engine failed, and may have run the request
	verdictBroken                   // the answer broke off after a part of it went to the caller
	verdictGone                     // the caller left
	verdictLate                     // the deadline passed
)

// resendLimit bounds the sends of a request that no engine has run, beyond the attempts of its route.
const resendLimit = 2

// unreachedLimit bounds the engines that a request tries without getting a connection.
const unreachedLimit = 6

// resendMargin is the least time that must be left for another send to make sense.
const resendMargin = 30 * time.Millisecond

// run places and sends the request until it is answered or given up on.
func (x *exchange) run() {
	ctx, cancel := context.WithTimeout(x.request.Context(), x.left())
	defer cancel()
	for {
		place, ok := x.acquirePlace(ctx)
		if !ok {
			return
		}
		last := x.send(ctx, place)
		place.end(outcomeOf(last), x.outputTokens())
		if !x.sendAgain(last) {
			x.conclude(last)
			return
		}
		x.excluded = append(x.excluded, place.engine.ID)
		x.resends++
		x.edge.counters.resends.Inc()
	}
}

func outcomeOf(v verdict) placement.Outcome {
	switch v {
	case verdictDone:
		return placement.OutcomeCompleted
	case verdictUnreached:
		return placement.OutcomeUnreachable
	case verdictRefused:
		return placement.OutcomeRefused
	case verdictGone, verdictLate:
		return placement.OutcomeCancelled
	}
	return placement.OutcomeFailed
}

// sendAgain decides whether another engine gets the request. One that an engine may have run goes on
// only if its route allows it; one that engines refused may go to a few more. Both draw on the budget
// for repeated sends, which bounds what failing engines add to the load. A request that no engine
// accepted a connection for is not repeated by another try.
func (x *exchange) sendAgain(last verdict) bool {
	if x.left() < resendMargin {
		return false
	}
	switch last {
	case verdictUnreached:
		return x.resends < unreachedLimit // Nothing arrived anywhere, so nothing is repeated.
	case verdictRefused:
		if x.resends >= resendLimit+x.route.MaxAttempts {
			return false
		}
	case verdictFailed, verdictBroken:
		unnumbered := x.events > 0 && x.last == 0
		if !x.route.Idempotent() || x.sends >= x.route.MaxAttempts || unnumbered {
			return false
		}
	default:
		return false
	}
	return x.moveReserved.Swap(false) || x.edge.budget.spend(clock(), x.service.Name)
}

// reserveMove takes a repeated send from the budget for a request whose engine is silent. Another
// goroutine than that of the request calls it.
func (x *exchange) reserveMove() bool {
	if x.left() < resendMargin || !x.edge.budget.spend(clock(), x.service.Name) {
		return false
	}
	x.moveReserved.Store(true)
	return true
}

// place is a place at an engine that a request holds until end.
type place struct {
	engine placement.Engine
	start  func()
	end    func(outcome placement.Outcome, tokens int)
}

// acquirePlace waits for a place. When there is none the caller gets its final answer here.
func (x *exchange) acquirePlace(ctx context.Context) (place, bool) {
	if x.service.Model == nil {
		return x.pick()
	}
	t, err := x.edge.placer.Submit(x.placementRequest())
	if err != nil {
		x.giveUp(reasonFull, notReadyRetry)
		return place{}, false
	}
	began := clock()
	select {
	case p := <-t.placed:
		x.queued += clock() - began
		x.decision = p
		if p.reason != "" {
			x.giveUp(reason(p.reason), p.retryAfter)
			return place{}, false
		}
		return place{
			engine: p.engine,
			start:  func() { x.edge.placer.Started(t) },
			end:    func(o placement.Outcome, tokens int) { x.edge.placer.End(t, o, tokens) },
		}, true
	case <-ctx.Done():
		x.queued += clock() - began
		x.edge.placer.Cancel(t)
		if x.request.Context().Err() != nil {
			x.abandoned()
		} else {
			x.giveUp(reason(placement.ReasonDeadline), quotaRetry)
		}
		return place{}, false
	}
}

// pick takes an engine of a plain service.
func (x *exchange) pick() (place, bool) {
	charge := 0.0
	if x.workspace != nil && x.sends == 0 {
		if x.edge.placer.IsExhausted(x.workspace.Name) {
			x.refuse(http.StatusTooManyRequests, reason(placement.ReasonQuota), quotaRetry)
			return place{}, false
		}
		charge = x.workspace.Charge(x.tokenCount())
	}
	engine, ok := x.edge.balancer.Pick(clock(), x.service.Name, x.excluded)
	if !ok {
		x.giveUp(reason(placement.ReasonNoEngine), notReadyRetry)
		return place{}, false
	}
	if charge > 0 {
		x.edge.placer.Charge(x.workspace.Name, charge)
	}
	return place{
		engine: engine,
		start:  func() {},
		end:    func(o placement.Outcome, _ int) { x.edge.balancer.Done(clock(), engine.ID, o) },
	}, true
}

func (x *exchange) tokenCount() int { return x.tokens.Prompt + x.tokens.OutputMax }

func (x *exchange) placementRequest() placement.Request {
	r := placement.Request{
		Service: x.service.Name, Tier: x.tier, Route: x.route.Name, PromptTokens: x.tokens.Prompt, ExpectedOutputTokens: x.expectedOutput(),
		MaxOutputTokens: x.tokens.OutputMax, ArrivedAt: x.arrived, FirstEventDue: x.objective, FirstEventDeadline: x.startBy(), Deadline: x.deadline,
		CallerTimeout: x.allowed, ExcludedEngines: x.excluded, PartlyDelivered: x.header,
	}
	if x.workspace != nil {
		r.Workspace = x.workspace.Name
		if x.sends == 0 {
			r.Charge = x.workspace.Charge(x.tokenCount())
		}
	}
	return r
}

// startBy is the time until which the caller waits for the first event.
func (x *exchange) startBy() time.Duration {
	if x.header {
		return min(clock()+x.route.CallerTimeout(), x.deadline)
	}
	return min(x.arrived+x.route.CallerTimeout(), x.deadline)
}

// expectedOutput is the caller's estimate of the output tokens, 0 without one. The most that it allows
// says little: outputs are a tenth of it on average.
func (x *exchange) expectedOutput() int {
	hint, ok := platform.ParseLengthHint(x.request.Header)
	if !ok {
		return 0
	}
	return min(hint, max(x.tokens.OutputMax, 1))
}

// outputTokens is the number of tokens of the events that were passed on.
func (x *exchange) outputTokens() int {
	if x.service.Model == nil {
		return 0
	}
	return x.events * x.service.Model.TokensPerEvent
}

// giveUp gives the final answer of a request that gets no place. Only a request that no engine can
// have run, by any of its sends, is told so.
func (x *exchange) giveUp(why reason, retryAfter time.Duration) {
	switch {
	case x.header:
		x.abort(why)
	case x.sends > 0:
		x.answer(http.StatusBadGateway, why, 0)
	case why == reason(placement.ReasonQuota):
		x.refuse(http.StatusTooManyRequests, why, retryAfter)
	default:
		x.refuse(http.StatusServiceUnavailable, why, retryAfter)
	}
}

// conclude gives the final answer after the last send.
func (x *exchange) conclude(last verdict) {
	switch last {
	case verdictDone:
		x.log(x.status, reasonAnswered)
	case verdictGone:
		x.abandoned()
	case verdictBroken:
		x.abort(reasonBroken)
	case verdictUnreached, verdictRefused:
		x.giveUp(reasonRefused, notReadyRetry)
	case verdictLate:
		if x.header {
			x.abort(reasonTimeout)
			return
		}
		x.answer(http.StatusGatewayTimeout, reasonTimeout, 0)
	case verdictFailed:
		if x.header {
			x.abort(reasonBroken)
			return
		}
		x.answer(http.StatusBadGateway, reasonFailed, 0)
	}
}

// refuse answers a request that has not run and will not run.
func (x *exchange) refuse(status int, why reason, retryAfter time.Duration) {
	x.answer(status, why, retryAfter)
}

func (x *exchange) answer(status int, why reason, retryAfter time.Duration) {
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

// retryJitter spreads the callers that were refused together.
const retryJitter = 0.3

// abort ends an answer that has begun so that it can't look whole.
func (x *exchange) abort(why reason) {
	x.log(0, why)
	panic(http.ErrAbortHandler)
}

// abandoned ends an exchange whose caller left.
func (x *exchange) abandoned() {
	x.log(0, reasonGone)
	panic(http.ErrAbortHandler)
}

// isStream reports whether the answer is a stream of events.
func (x *exchange) isStream() bool { return x.route.Kind == routing.KindStream }
