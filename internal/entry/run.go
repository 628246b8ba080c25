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

// busyRetryAfter is told to callers that meet a full instance.
const busyRetryAfter = time.Second

// run takes a classified request through the ledger and the queue to an engine and relays the
// answer. A problem is returned only while nothing was written to the caller.
func (x *exchange) run() *Problem {
	if problem, done := x.claim(); done {
		return problem
	}
	ticket, err := x.handler.options.Dispatch.Submit(x.schedulerRequest())
	if err != nil {
		problem := problemOverloaded.with("the instance holds as many requests as it may")
		problem.RetryAfter = busyRetryAfter
		return x.notRun(problem)
	}
	for {
		decision := x.await(ticket)
		switch {
		case decision.Withdrawn():
			return x.withdrawn()
		case decision.Reject != nil:
			return x.givenUp(rejectProblem(decision.Reject))
		}
		x.engine = decision.Engine
		problem, again := x.attempt(ticket)
		if !again {
			return problem
		}
	}
}

// givenUp answers a request that waits no longer. After a first attempt on a route with redispatch
// an engine may have run it.
func (x *exchange) givenUp(problem *Problem) *Problem {
	if x.sends == 0 {
		return x.notRun(problem)
	}
	problem.Outcome = OutcomeUndetermined
	return problem
}

// await returns the scheduler's decision; when the caller leaves first, the request is withdrawn.
func (x *exchange) await(ticket *dispatch.Ticket) dispatch.Decision {
	select {
	case decision := <-ticket.Decisions():
		return decision
	case <-x.incoming.Context().Done():
		ticket.Abandon()
		return <-ticket.Decisions()
	}
}

// withdrawn ends a request whose caller left before dispatch. Nobody hears the outcome, and a resend
// under the same key may still run.
func (x *exchange) withdrawn() *Problem {
	x.key.release(x.incoming.Context())
	problem := problemOverloaded.with("the caller has gone")
	if x.key != nil {
		problem.Outcome = OutcomeUndetermined
	}
	return problem
}

func rejectProblem(reject *scheduler.Reject) *Problem {
	var problem *Problem
	switch reject.Reason {
	case scheduler.RejectDeadline:
		problem = problemDeadline.with("")
	case scheduler.RejectNoEngine, scheduler.RejectUnknown, scheduler.RejectRetries:
		problem = problemNoEngine.with(string(reject.Reason))
	default:
		problem = problemOverloaded.with(string(reject.Reason))
	}
	problem.RetryAfter = reject.RetryAfter
	return problem
}

// attempt sends the request to the engine that was chosen. again is true when the scheduler will
// decide once more: no byte reached the engine, or the route allows a second attempt.
func (x *exchange) attempt(ticket *dispatch.Ticket) (problem *Problem, again bool) {
	ctx, cancel := x.attemptContext()
	defer cancel()
	timer := x.boundFirstByte(cancel)
	if timer != nil {
		defer timer.Stop()
	}
	if x.outlivesCaller() {
		x.handler.detached.Add(1)
		defer x.handler.detached.Done()
	}
	response, err := x.handler.options.Upstream.Do(ctx, x.upstreamRequest())
	if err != nil {
		return x.failed(ctx, ticket, err)
	}
	defer response.Body.Close()
	x.noticeLeaving(response)
	relay := &relay{exchange: x, ticket: ticket, response: response, owner: x.attemptID(), firstByteTimer: timer}
	problem = relay.run(ctx)
	if problem != nil && relay.finish.Result == scheduler.ResultFailed && x.mayRedispatch() {
		ticket.BytesSent()
		ticket.Refused()
		return nil, true
	}
	ticket.Finish(relay.finish)
	return problem, false
}

// maxDispatches bounds the attempts of a request on a route that allows redispatch.
const maxDispatches = 2

// mayRedispatch reports whether a second attempt is allowed now that the first has ended. A keyed
// request has one begin and never a second one.
func (x *exchange) mayRedispatch() bool {
	return x.route.Redispatch && x.key == nil && x.sends < maxDispatches && x.incoming.Context().Err() == nil
}

// attemptID is the request ID that the engine answers under. A second attempt has one of its own,
// so that a late answer of the first one is recognised.
func (x *exchange) attemptID() string {
	if x.sends <= 1 {
		return x.id
	}
	return x.id + "-2"
}

func (x *exchange) upstreamRequest() upstream.Request {
	header := http.Header{}
	upstream.ForwardHeader(header, x.incoming.Header, isOwnHeader)
	x.sends++
	return upstream.Request{
		Engine:     x.engine,
		URL:        x.view.urls[x.engine],
		Method:     x.incoming.Method,
		Target:     x.incoming.URL.RequestURI(),
		Header:     header,
		Body:       x.body,
		ID:         x.attemptID(),
		BeforeSend: x.beginHook(),
	}
}

// beginHook returns what has to be granted before the first byte is sent; nil without a key.
func (x *exchange) beginHook() func(context.Context) error {
	if x.key == nil {
		return nil
	}
	return func(ctx context.Context) error { return x.key.begin(ctx, x.engine) }
}

// isOwnHeader reports whether a header is meant for primrosebeam and not for engines.
func isOwnHeader(name string) bool {
	switch name {
	case "Authorization", http.CanonicalHeaderKey(HeaderLabels), http.CanonicalHeaderKey(HeaderTier), http.CanonicalHeaderKey(HeaderIdempotencyKey):
		return true
	}
	return false
}

// failed handles an attempt without an answer.
func (x *exchange) failed(ctx context.Context, ticket *dispatch.Ticket, err error) (problem *Problem, again bool) {
	x.handler.options.Logger.Warn().Str("request", x.id).Str("engine", x.engine).Err(err).Msg("attempt failed")
	switch {
	case isLedgerRefusal(err):
		ticket.Finish(scheduler.Finish{Result: scheduler.ResultCancelled})
		return x.beginRefused(err), false
	case upstream.IsNotSent(err):
		return x.nothingSent(ctx, ticket)
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
	ticket.Finish(scheduler.Finish{Result: x.attemptEnded(ctx)})
	x.storeUndetermined()
	if x.expired.Load() {
		return problemLate.with(""), false
	}
	return problemBroken.with("the engine may have run the request"), false
}

// nothingSent handles an attempt of which no byte reached the engine. A key that has begun is bound
// to that engine, so the request is finished as not run; without one another engine is tried.
func (x *exchange) nothingSent(ctx context.Context, ticket *dispatch.Ticket) (problem *Problem, again bool) {
	x.sends--
	if ctx.Err() != nil || x.key != nil && x.key.began {
		ticket.Finish(scheduler.Finish{Result: x.attemptEnded(ctx)})
		return x.notRun(problemNoEngine.with("the engine could not be reached")), false
	}
	ticket.Refused()
	return nil, true
}

// beginRefused handles a begin that the owner of the key did not grant. Nothing was sent from here,
// but another instance may hold the key.
func (x *exchange) beginRefused(err error) *Problem {
	problem := x.ledgerProblem(err)
	x.key.giveUp(x.incoming.Context())
	problem.Outcome = OutcomeUndetermined
	return problem
}

func (x *exchange) noticeLeaving(response *http.Response) {
	if response.Header.Get(upstream.HeaderLeaving) == "true" && x.handler.options.OnLeaving != nil {
		x.handler.options.OnLeaving(x.engine)
	}
}

// cancelTimeout bounds the call that cancels a request on its engine.
const cancelTimeout = 2 * time.Second

// cancelUpstream asks a model engine to stop working on a request whose caller has gone.
func (x *exchange) cancelUpstream() {
	if x.outlivesCaller() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.incoming.Context()), cancelTimeout)
	defer cancel()
	if err := x.handler.options.Upstream.Cancel(ctx, x.engine, x.view.urls[x.engine], x.attemptID()); err != nil {
		x.handler.options.Logger.Debug().Str("request", x.id).Str("engine", x.engine).Err(err).Msg("cancel failed")
	}
}
