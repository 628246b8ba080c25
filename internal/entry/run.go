package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/dispatch"
	"github.com/primrosebeam/primrosebeam/internal/upstream"
	"github.com/primrosebeam/primrosebeam/scheduler"
)

// overloadRetryAfter is the Retry-After value for requests refused because the instance has reached its limit
// of requests or the workspace its limit of keys.
const overloadRetryAfter = time.Second

// run claims the key of a classified request, queues the request, sends it to an engine and relays the
// response. A problem is returned only while nothing was written to the caller.
func (x *exchange) run() *Problem {
	if problem, done := x.claim(); done {
		return problem
	}
	ticket, err := x.handler.options.Dispatch.Submit(x.schedulerRequest())
	if err != nil {
		problem := problemOverloaded.with("the instance holds as many requests as it may")
		problem.RetryAfter = overloadRetryAfter
		return x.confirmNotRun(problem)
	}
	for {
		decision := x.awaitDecision(ticket)
		switch {
		case decision.Withdrawn():
			return x.endWithdrawn()
		case decision.Reject != nil:
			return x.endRejected(problemOfReject(decision.Reject))
		}
		x.engine = decision.Engine
		problem, retry := x.attempt(ticket)
		if !retry {
			return problem
		}
	}
}

// endRejected returns the problem for a request that the scheduler rejected. The outcome is undetermined when
// an engine may have run an earlier attempt, which happens on routes that allow redispatch.
func (x *exchange) endRejected(problem *Problem) *Problem {
	if x.sentAttempts == 0 {
		return x.confirmNotRun(problem)
	}
	problem.Outcome = OutcomeUndetermined
	return problem
}

// awaitDecision returns the scheduler's decision. When the caller disconnects first, the request is
// withdrawn.
func (x *exchange) awaitDecision(ticket *dispatch.Ticket) dispatch.Decision {
	select {
	case decision := <-ticket.Decisions():
		return decision
	case <-x.httpRequest.Context().Done():
		ticket.Abandon()
		return <-ticket.Decisions()
	}
}

// endWithdrawn ends a request whose caller disconnected before dispatch. The caller does not receive the
// outcome. The key is released, so a retry under it may still run and the outcome of a keyed request is
// undetermined.
func (x *exchange) endWithdrawn() *Problem {
	x.key.release(x.httpRequest.Context())
	problem := problemOverloaded.with("the caller has gone")
	if x.key != nil {
		problem.Outcome = OutcomeUndetermined
	}
	return problem
}

func problemOfReject(reject *scheduler.Reject) *Problem {
	var problem *Problem
	switch reject.Reason {
	case scheduler.RejectDeadline:
		problem = problemDeadlineUnreachable.with("")
	case scheduler.RejectNoEngine, scheduler.RejectUnknown, scheduler.RejectRetries:
		problem = problemNoEngine.with(string(reject.Reason))
	default:
		problem = problemOverloaded.with(string(reject.Reason))
	}
	problem.RetryAfter = reject.RetryAfter
	return problem
}

// attempt sends the request to the selected engine. retry is true when the scheduler makes a further decision
// for the request: either no byte reached the engine, or the route allows a second attempt.
func (x *exchange) attempt(ticket *dispatch.Ticket) (problem *Problem, retry bool) {
	ctx, cancel := x.attemptContext()
	defer cancel()
	timer := x.startProgressTimer(cancel)
	defer timer.stop()
	if x.outlivesCaller() {
		x.handler.detached.Add(1)
		defer x.handler.detached.Done()
	}
	response, err := x.handler.options.Upstream.Do(ctx, x.upstreamRequest())
	if err != nil {
		return x.handleFailure(ctx, ticket, err)
	}
	defer func() { response.Body.Close() }() // a resumed stream has another body
	x.reportLeaving(response)
	relay := &relay{exchange: x, ticket: ticket, response: response, engineRequestID: x.attemptID(), timer: timer}
	problem = relay.run(ctx)
	if problem != nil && relay.result.Result == scheduler.ResultFailed && x.mayRedispatch() {
		ticket.BytesSent()
		ticket.Refused()
		return nil, true
	}
	ticket.Finish(relay.result)
	return problem, false
}

// maxDispatches is the maximum number of attempts of a request on a route that allows redispatch.
const maxDispatches = 2

// mayRedispatch reports whether a second attempt is allowed after the first has ended. A request with an
// idempotency key is never attempted again, since its key can be begun only once.
func (x *exchange) mayRedispatch() bool {
	return x.route.Redispatch && x.key == nil && x.sentAttempts < maxDispatches && x.httpRequest.Context().Err() == nil
}

// attemptID returns the request ID that is sent to the engine. A second attempt has an ID of its own, so that
// a late response to the first attempt can be recognised.
func (x *exchange) attemptID() string {
	if x.sentAttempts <= 1 {
		return x.id
	}
	return x.id + "-2"
}

func (x *exchange) upstreamRequest() upstream.Request {
	header := http.Header{}
	upstream.ForwardHeader(header, x.httpRequest.Header, isInstanceHeader)
	x.sentAttempts++
	return upstream.Request{
		Engine:     x.engine,
		URL:        x.view.urls[x.engine],
		Method:     x.httpRequest.Method,
		Target:     x.httpRequest.URL.RequestURI(),
		Header:     header,
		Body:       x.body,
		ID:         x.attemptID(),
		BeforeSend: x.beginHook(),
	}
}

// beginHook returns the function that begins the key at its owner before the first byte is sent, or nil when
// the request has no key.
func (x *exchange) beginHook() func(context.Context) error {
	if x.key == nil {
		return nil
	}
	return func(ctx context.Context) error { return x.key.begin(ctx, x.engine) }
}

// isInstanceHeader reports whether a request header is addressed to primrosebeam and is not forwarded to
// engines.
func isInstanceHeader(name string) bool {
	switch name {
	case "Authorization", http.CanonicalHeaderKey(HeaderLabels), http.CanonicalHeaderKey(HeaderTier),
		http.CanonicalHeaderKey(HeaderIdempotencyKey):
		return true
	}
	return false
}

// handleFailure handles an attempt that ended without a response.
func (x *exchange) handleFailure(ctx context.Context, ticket *dispatch.Ticket, err error) (problem *Problem, retry bool) {
	x.handler.options.Logger.Warn().Str("request", x.id).Str("engine", x.engine).Err(err).Msg("attempt failed")
	switch {
	case isLedgerRefusal(err):
		ticket.Finish(scheduler.Finish{Result: scheduler.ResultCancelled})
		return x.handleBeginRefused(err), false
	case upstream.IsNotSent(err):
		return x.handleNotSent(ctx, ticket)
	}
	var mismatch *upstream.MismatchError
	if errors.As(err, &mismatch) {
		x.handler.count("mismatched_answers_total")
	}
	if ctx.Err() == nil && x.mayRedispatch() {
		ticket.BytesSent()
		ticket.Refused()
		return nil, true
	}
	if ctx.Err() != nil {
		x.cancelUpstream()
	}
	ticket.Finish(scheduler.Finish{Result: x.incompleteResult(ctx)})
	x.storeUndetermined()
	if x.deadlinePassed.Load() {
		return problemDeadlinePassed.with(""), false
	}
	return problemBrokenResponse.with("the engine may have run the request"), false
}

// handleNotSent handles an attempt of which no byte reached the engine. The request is finished as not run when
// the attempt was cancelled, or when its key has begun, because the begin is bound to that engine. Otherwise the
// scheduler selects another engine.
func (x *exchange) handleNotSent(ctx context.Context, ticket *dispatch.Ticket) (problem *Problem, retry bool) {
	x.sentAttempts--
	if ctx.Err() != nil || x.key != nil && x.key.beginGranted {
		ticket.Finish(scheduler.Finish{Result: x.incompleteResult(ctx)})
		return x.confirmNotRun(problemNoEngine.with("the engine could not be reached")), false
	}
	ticket.Refused()
	return nil, true
}

// handleBeginRefused handles a begin that the owner of the key did not grant. This instance has sent nothing,
// but another instance may hold the key, so the outcome is undetermined.
func (x *exchange) handleBeginRefused(err error) *Problem {
	problem := x.ledgerProblem(err)
	x.key.finishNotRun(x.httpRequest.Context())
	problem.Outcome = OutcomeUndetermined
	return problem
}

func (x *exchange) reportLeaving(response *http.Response) {
	if response.Header.Get(upstream.HeaderLeaving) == "true" && x.handler.options.OnLeaving != nil {
		x.handler.options.OnLeaving(x.engine)
	}
}

// cancelTimeout is the timeout of the call that cancels a request on its engine.
const cancelTimeout = 2 * time.Second

// cancelUpstream cancels a request on its engine, unless the request outlives its caller.
func (x *exchange) cancelUpstream() {
	if x.outlivesCaller() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.httpRequest.Context()), cancelTimeout)
	defer cancel()
	if err := x.handler.options.Upstream.Cancel(ctx, x.engine, x.view.urls[x.engine], x.attemptID()); err != nil {
		x.handler.options.Logger.Debug().Str("request", x.id).Str("engine", x.engine).Err(err).
			Msg("engine did not cancel the request")
	}
}
