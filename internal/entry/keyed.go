package entry

import (
	"context"
	"errors"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/upstream"
	"github.com/primrosebeam/primrosebeam/ledger"
)

const (
	ledgerTimeout    = 2 * time.Second // for one call to a ledger owner
	ledgerRetryAfter = 2 * time.Second // told when an owner cannot be asked
	joinInterval     = 200 * time.Millisecond
	joinTimeout      = 30 * time.Second // longest wait of a resend for the first attempt's outcome
)

// headerReplayed marks an answer that was stored when the request ran under the same key before.
const headerReplayed = "Primrosebeam-Replayed"

// keyed is an exchange's hold on its idempotency key.
type keyed struct {
	claimer   ledger.Service
	key       ledger.Key
	workspace string
	holder    string // this instance
	requestID string // at the engine
	fence     ledger.Fence
	began     bool
	lost      bool // a begin was refused or its reply is missing
}

func (x *exchange) fingerprint() ledger.Fingerprint {
	return ledger.NewFingerprint([]byte(x.incoming.Method), []byte(x.incoming.URL.RequestURI()), x.body)
}

// claim takes the key for this exchange. done is true when the exchange ends here: with a problem,
// or with the answer of an earlier attempt under the same key.
func (x *exchange) claim() (problem *Problem, done bool) {
	key := x.incoming.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		return nil, false
	}
	if x.handler.options.Ledger == nil {
		return x.beforeClaim(problemNoLedger.with("")), true
	}
	k := &keyed{
		claimer:   x.handler.options.Ledger,
		key:       ledger.Key(key),
		workspace: x.workspace.Name,
		holder:    x.handler.options.Name,
		requestID: x.id,
	}
	ctx, cancel := context.WithTimeout(x.incoming.Context(), ledgerTimeout)
	defer cancel()
	grant, err := k.claimer.Claim(ctx, ledger.ClaimRequest{
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

// ledgerProblem turns an owner's refusal into a problem. Only refusals that rule out every dispatch
// under the key are told as not run.
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
		problem.RetryAfter = busyRetryAfter
		return problem
	}
	problem := problemLedger.with("")
	problem.RetryAfter = ledgerRetryAfter
	return problem
}

// begin asks the owner for the right to send the first byte to engine.
func (k *keyed) begin(ctx context.Context, engine string) error {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	err := k.claimer.Begin(ctx, ledger.BeginRequest{
		Key: k.key, Workspace: k.workspace, Fence: k.fence, Holder: k.holder, Engine: engine, RequestID: k.requestID,
	})
	k.began = err == nil
	k.lost = err != nil
	return err
}

// giveUp reports whether it is certain that nothing ran and that nothing will run under the key. A
// mere release is not enough: a resend that is on its way could claim the key next and run.
func (k *keyed) giveUp(ctx context.Context) bool {
	if k == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ledgerTimeout)
	defer cancel()
	return k.complete(ctx, ledger.OutcomeNotRun, nil) == nil
}

// release gives an unused claim back without a promise to the caller, so that a resend may run. After
// a begin that may have reached the owner the key can only be finished.
func (k *keyed) release(ctx context.Context) {
	if k == nil {
		return
	}
	if k.began || k.lost {
		k.giveUp(ctx)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ledgerTimeout)
	defer cancel()
	_ = k.claimer.Release(ctx, ledger.ReleaseRequest{
		Key: k.key, Workspace: k.workspace, Fence: k.fence, Holder: k.holder,
	}) // A claim that is not given back is replaced by the next one.
}

func (k *keyed) complete(ctx context.Context, outcome ledger.Outcome, response *ledger.Response) error {
	return k.claimer.Complete(ctx, ledger.CompleteRequest{
		Key: k.key, Workspace: k.workspace, Fence: k.fence, Holder: k.holder,
		RequestID: k.requestID, Outcome: outcome, Response: response,
	})
}

// notRun returns the problem when nothing ran, and its undetermined variant when the owner of the
// key does not confirm that nothing can run.
func (x *exchange) notRun(problem *Problem) *Problem {
	if x.key.giveUp(x.incoming.Context()) {
		return problem
	}
	undetermined := *problem
	undetermined.Outcome = OutcomeUndetermined
	return &undetermined
}

// join answers a resend whose key has begun or finished before.
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

// awaitOutcome asks the owner until the first attempt has ended.
func (x *exchange) awaitOutcome(status ledger.Status) *Problem {
	deadline := time.Now().Add(joinTimeout)
	for status.State == ledger.StateInProgress && time.Now().Before(deadline) {
		if gone := x.handler.options.InstanceGone; gone != nil && gone(status.Holder, incarnationOf(status.RequestID)) {
			return problemUndetermined.with("the instance of the first attempt is gone")
		}
		select {
		case <-time.After(joinInterval):
		case <-x.incoming.Context().Done():
			return problemUndetermined.with("the caller has gone")
		}
		ctx, cancel := context.WithTimeout(x.incoming.Context(), ledgerTimeout)
		next, err := x.key.claimer.Lookup(ctx, ledger.LookupRequest{Key: x.key.key, Workspace: x.key.workspace})
		cancel()
		if err != nil {
			return x.ledgerProblem(err)
		}
		status = next
	}
	return x.replay(status)
}

// replay answers with what the owner knows.
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
		return problemAnswerNotKept.with("")
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
