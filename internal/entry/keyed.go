package entry

import (
	"context"
	"errors"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/upstream"
	"github.com/primrosebeam/primrosebeam/ledger"
)

const (
	ledgerTimeout    = 2 * time.Second        // timeout of one call to a ledger owner
	ledgerRetryAfter = 2 * time.Second        // Retry-After value for an unavailable owner or a key in progress
	joinInterval     = 200 * time.Millisecond // interval between two lookups of the first attempt's outcome
	joinTimeout      = 30 * time.Second       // maximum time that a retry waits for the first attempt's outcome
)

// headerReplayed marks a stored response, which an earlier request under the same key produced.
const headerReplayed = "Primrosebeam-Replayed"

// keyClaim is the claim of an exchange on its idempotency key.
type keyClaim struct {
	ledgerService ledger.Service
	key           ledger.Key
	workspace     string
	holder        string // name of this instance
	requestID     string // request ID at the engine
	fence         ledger.Fence
	beginGranted  bool
	beginFailed   bool // the begin was refused or its reply was not received
}

func (x *exchange) fingerprint() ledger.Fingerprint {
	return ledger.NewFingerprint([]byte(x.httpRequest.Method), []byte(x.httpRequest.URL.RequestURI()), x.body)
}

// claim claims the request's key at its owner. done is true when the exchange ends here, either with a
// problem or with the response to an earlier attempt under the same key.
func (x *exchange) claim() (problem *Problem, done bool) {
	key := x.httpRequest.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		return nil, false
	}
	if x.handler.options.Ledger == nil {
		return x.refuseBeforeClaim(problemNoLedger.with("")), true
	}
	k := &keyClaim{
		ledgerService: x.handler.options.Ledger,
		key:           ledger.Key(key),
		workspace:     x.workspace.Name,
		holder:        x.handler.options.Name,
		requestID:     x.id,
	}
	ctx, cancel := context.WithTimeout(x.httpRequest.Context(), ledgerTimeout)
	defer cancel()
	grant, err := k.ledgerService.Claim(ctx, ledger.ClaimRequest{
		Key: k.key, Workspace: k.workspace, Fingerprint: x.fingerprint(), Holder: k.holder,
	})
	if err != nil {
		return x.ledgerProblem(err), true
	}
	x.key = k
	if !grant.Granted {
		return x.join(grant.Status), true
	}
	k.fence = grant.Fence
	return nil, false
}

// ledgerProblem converts an error of the ledger owner to a problem. Only errors that rule out every dispatch
// under the key have the outcome not-run.
func (x *exchange) ledgerProblem(err error) *Problem {
	x.handler.options.Logger.Warn().Str("request", x.id).Err(err).Msg("key refused")
	var invalid *ledger.InvalidKeyError
	var mismatch *ledger.MismatchError
	var expired *ledger.ExpiredError
	var lost *ledger.LostError
	var limit *ledger.LimitError
	var stale *ledger.StaleError
	switch {
	case errors.As(err, &invalid):
		return problemForeignKey.with("POST /v1/keys issues keys")
	case errors.As(err, &mismatch):
		return problemKeyReused.with("")
	case errors.As(err, &expired):
		return problemKeyExpired.with("")
	case errors.As(err, &lost):
		return problemUndetermined.with("the owner of the key has lost its disk")
	case errors.As(err, &stale):
		return problemSuperseded.with("")
	case errors.As(err, &limit):
		problem := problemTooManyKeys.with("")
		problem.RetryAfter = overloadRetryAfter
		return problem
	}
	problem := problemLedgerUnavailable.with("")
	problem.RetryAfter = ledgerRetryAfter
	return problem
}

// begin requests permission from the owner to send the first byte to engine.
func (k *keyClaim) begin(ctx context.Context, engine string) error {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	err := k.ledgerService.Begin(ctx, ledger.BeginRequest{
		Key: k.key, Workspace: k.workspace, Fence: k.fence, Holder: k.holder, Engine: engine, RequestID: k.requestID,
	})
	k.beginGranted = err == nil
	k.beginFailed = err != nil
	return err
}

// finishNotRun finishes the key as not run and reports whether it is certain that nothing ran and nothing
// will run under it. Releasing the key would not be enough: a retry in transit could claim the key next and
// run.
func (k *keyClaim) finishNotRun(ctx context.Context) bool {
	if k == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ledgerTimeout)
	defer cancel()
	return k.complete(ctx, ledger.OutcomeNotRun, nil) == nil
}

// release releases an unused claim, so that a retry may run; it does not guarantee that nothing will run.
// After a begin that may have reached the owner the key can only be finished.
func (k *keyClaim) release(ctx context.Context) {
	if k == nil {
		return
	}
	if k.beginGranted || k.beginFailed {
		k.finishNotRun(ctx)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ledgerTimeout)
	defer cancel()
	_ = k.ledgerService.Release(ctx, ledger.ReleaseRequest{
		Key: k.key, Workspace: k.workspace, Fence: k.fence, Holder: k.holder,
	}) // A claim that is not released is replaced by the next one.
}

func (k *keyClaim) complete(ctx context.Context, outcome ledger.Outcome, response *ledger.Response) error {
	return k.ledgerService.Complete(ctx, ledger.CompleteRequest{
		Key: k.key, Workspace: k.workspace, Fence: k.fence, Holder: k.holder,
		RequestID: k.requestID, Outcome: outcome, Response: response,
	})
}

// confirmNotRun finishes the key of a request that did not run and returns the problem. The outcome is
// undetermined when the owner of the key does not confirm that nothing can run.
func (x *exchange) confirmNotRun(problem *Problem) *Problem {
	if x.key.finishNotRun(x.httpRequest.Context()) {
		return problem
	}
	undetermined := *problem
	undetermined.Outcome = OutcomeUndetermined
	return &undetermined
}

// join responds to a retry whose key has begun or finished before.
func (x *exchange) join(status ledger.Status) *Problem {
	x.handler.count("joined_requests_total")
	unanswered := status.State == ledger.StateInProgress ||
		status.State == ledger.StateFinished && status.Outcome == ledger.OutcomeUndetermined
	if unanswered && x.canResume(status) {
		if problem, joined := x.joinStream(status); joined {
			return problem
		}
	}
	return x.awaitOutcome(status)
}

// awaitOutcome polls the owner until the first attempt has ended, then responds with its outcome.
func (x *exchange) awaitOutcome(status ledger.Status) *Problem {
	deadline := time.Now().Add(joinTimeout)
	for status.State == ledger.StateInProgress && time.Now().Before(deadline) {
		if gone := x.handler.options.InstanceGone; gone != nil && gone(status.Holder, incarnationOf(status.RequestID)) {
			return problemUndetermined.with("the instance of the first attempt is gone")
		}
		select {
		case <-time.After(joinInterval):
		case <-x.httpRequest.Context().Done():
			return problemUndetermined.with("the caller has gone")
		}
		ctx, cancel := context.WithTimeout(x.httpRequest.Context(), ledgerTimeout)
		next, err := x.key.ledgerService.Lookup(ctx, ledger.LookupRequest{Key: x.key.key, Workspace: x.key.workspace})
		cancel()
		if err != nil {
			return x.ledgerProblem(err)
		}
		status = next
	}
	return x.replay(status)
}

// replay responds with the stored response of the key, or with a problem when there is none.
func (x *exchange) replay(status ledger.Status) *Problem {
	switch {
	case status.State == ledger.StateInProgress:
		problem := problemInProgress.with("")
		problem.RetryAfter = ledgerRetryAfter
		return problem
	case status.State != ledger.StateFinished || status.Outcome == ledger.OutcomeUndetermined:
		return problemUndetermined.with("")
	case status.Outcome == ledger.OutcomeNotRun:
		return problemKeyFinished.with("use a new key")
	case status.Response == nil || status.Response.Omitted:
		return problemResponseNotKept.with("")
	}
	header := x.writer.Header()
	for _, field := range status.Response.Header {
		header.Add(field.Name, field.Value)
	}
	header.Set(headerReplayed, "true")
	header.Set(HeaderRequestID, x.id)
	header.Set(HeaderOutcome, string(OutcomeAnswered))
	x.status = status.Response.Status
	x.engine = status.Engine
	x.outcome = OutcomeAnswered
	x.writer.WriteHeader(status.Response.Status)
	_, _ = x.writer.Write(status.Response.Body)
	return nil
}

// isLedgerRefusal reports whether a dispatch failed because its begin was not granted.
func isLedgerRefusal(err error) bool {
	var begin *upstream.BeforeSendError
	return errors.As(err, &begin)
}
