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

// run takes a classified request through the queue to an engine and relays the answer.
// A problem is returned only while nothing was written to the caller.
func (x *exchange) run() *Problem {
	ticket, err := x.handler.options.Dispatch.Submit(x.schedulerRequest())
	if err != nil {
		problem := problemOverloaded.with("the instance holds as many requests as it may")
		problem.RetryAfter = busyRetryAfter
		return problem
	}
	for {
		decision := x.await(ticket)
		switch {
		case decision.Withdrawn():
			x.outcome = OutcomeNotRun
			return problemOverloaded.with("the caller has gone")
		case decision.Reject != nil:
			return rejectProblem(decision.Reject)
		}
		x.engine = decision.Engine
		problem, again := x.attempt(ticket)
		if !again {
			return problem
		}
	}
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

// attempt sends the request to the engine that was chosen. again is true when no byte reached it,
// so that the scheduler will decide once more.
func (x *exchange) attempt(ticket *dispatch.Ticket) (problem *Problem, again bool) {
	ctx, cancel := x.attemptContext()
	defer cancel()
	if x.outlivesCaller() {
		x.handler.detached.Add(1)
		defer x.handler.detached.Done()
	}
	response, err := x.handler.options.Upstream.Do(ctx, x.upstreamRequest(ticket))
	if err != nil {
		return x.failed(ctx, ticket, err)
	}
	defer response.Body.Close()
	x.noticeLeaving(response)
	ticket.FirstToken()
	relay := &relay{exchange: x, ticket: ticket, response: response}
	problem = relay.run(ctx)
	ticket.Finish(relay.finish)
	return problem, false
}

func (x *exchange) upstreamRequest(ticket *dispatch.Ticket) upstream.Request {
	header := http.Header{}
	upstream.ForwardHeader(header, x.incoming.Header, isOwnHeader)
	return upstream.Request{
		Engine: x.engine,
		URL:    x.view.urls[x.engine],
		Method: x.incoming.Method,
		Target: x.incoming.URL.RequestURI(),
		Header: header,
		Body:   x.body,
		ID:     x.id,
		Begin: func(context.Context) error {
			ticket.BytesSent()
			return nil
		},
	}
}

// isOwnHeader reports whether a header is meant for primrosebeam and not for engines.
func isOwnHeader(name string) bool {
	switch name {
	case "Authorization", http.CanonicalHeaderKey(HeaderLabels), http.CanonicalHeaderKey(HeaderTier), http.CanonicalHeaderKey(HeaderKey):
		return true
	}
	return false
}

// failed handles an attempt without an answer.
func (x *exchange) failed(ctx context.Context, ticket *dispatch.Ticket, err error) (problem *Problem, again bool) {
	x.handler.options.Logger.Warn().Str("request", x.id).Str("engine", x.engine).Err(err).Msg("attempt failed")
	if upstream.IsNotSent(err) {
		if ctx.Err() != nil {
			ticket.Finish(scheduler.Finish{Result: scheduler.ResultCancelled})
			return problemOverloaded.with("the caller has gone"), false
		}
		ticket.Refused()
		return nil, true
	}
	if ctx.Err() != nil {
		x.cancelUpstream()
		ticket.Finish(scheduler.Finish{Result: scheduler.ResultCancelled})
		return problemBroken.with("the caller has gone"), false
	}
	var mismatch *upstream.MismatchError
	if errors.As(err, &mismatch) {
		x.handler.count("mismatched_answers_total")
	}
	ticket.Finish(scheduler.Finish{Result: scheduler.ResultFailed})
	return problemBroken.with("the engine may have run the request"), false
}

func (x *exchange) noticeLeaving(response *http.Response) {
	if response.Header.Get(upstream.HeaderLeaving) == "true" && x.handler.options.OnLeaving != nil {
		x.handler.options.OnLeaving(x.engine)
	}
}

// cancelTimeout bounds the call that cancels a request on its engine.
const cancelTimeout = 2 * time.Second

// cancelUpstream asks the engine to stop working on a request whose caller has gone.
func (x *exchange) cancelUpstream() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.incoming.Context()), cancelTimeout)
	defer cancel()
	if err := x.handler.options.Upstream.Cancel(ctx, x.engine, x.view.urls[x.engine], x.id); err != nil {
		x.handler.options.Logger.Debug().Str("request", x.id).Str("engine", x.engine).Err(err).Msg("cancel failed")
	}
}
