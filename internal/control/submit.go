package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/link"
)

// Submit sends a change to the leader and returns within Timing.SubmitTimeout. It retries under the same
// change ID when the leader changes or a reply is lost. This is safe because the store returns the first
// result for every retry. Submit returns *NotSubmittedError, *configuration.ReusedIDError, or an error of
// configuration.EncodeChange; in these cases nothing was changed. When it is unknown whether the change
// was committed, the outcome is OutcomeUndetermined.
func (c *Control) Submit(ctx context.Context, change configuration.Change) (ChangeResult, error) {
	data, err := configuration.EncodeChange(change)
	if err != nil {
		return ChangeResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Timing.SubmitTimeout)
	defer cancel()
	request := submitRequest{Change: data}
	attempt := func(ctx context.Context, to string) (changeReply, bool, error) {
		if to == c.options.Name {
			return c.propose(ctx, request), true, nil
		}
		return c.callReplica(ctx, to, KindSubmit, request)
	}
	result, err := c.tryReplicas(ctx, change.ID, attempt)
	if err == nil {
		c.metrics.results[result.Outcome].Inc()
	}
	return result, err
}

// Outcome returns the result of an earlier change. It returns *UnknownChangeError when the ID belongs to
// no committed change that the store still remembers. When no leader replies within Timing.OutcomeTimeout,
// the outcome is OutcomeUndetermined.
func (c *Control) Outcome(ctx context.Context, changeID string) (ChangeResult, error) {
	if err := configuration.CheckID(changeID); err != nil {
		return ChangeResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Timing.OutcomeTimeout)
	defer cancel()
	request := outcomeRequest{ChangeID: changeID}
	attempt := func(ctx context.Context, to string) (changeReply, bool, error) {
		if to == c.options.Name {
			return c.lookUpOutcome(ctx, request), true, nil
		}
		return c.callReplica(ctx, to, KindOutcome, request)
	}
	result, err := c.tryReplicas(ctx, changeID, attempt)
	var notSubmitted *NotSubmittedError
	if errors.As(err, &notSubmitted) {
		return ChangeResult{ChangeID: changeID, Outcome: OutcomeUndetermined}, nil
	}
	return result, err
}

// callReplica sends one request and reports whether the receiver may have received it.
func (c *Control) callReplica(ctx context.Context, to string, kind link.Kind, request any) (changeReply, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timing.AttemptTimeout)
	defer cancel()
	var reply changeReply
	err := c.options.Caller.Call(ctx, to, kind, request, &reply)
	return reply, mayHaveBeenReceived(err), err
}

// mayHaveBeenReceived reports whether the receiver may have received the message. It is false only for errors
// that prove the opposite.
func mayHaveBeenReceived(err error) bool {
	var unknown *link.UnknownPeerError
	var full *link.FullError
	var unreachable *link.UnreachableError
	switch {
	case errors.As(err, &unknown), errors.As(err, &full):
		return false
	case errors.As(err, &unreachable):
		return unreachable.Sent
	}
	return true
}

// tryReplicas calls one target after the other until one returns a result or ctx ends. A target that
// failed is only tried again after all others.
func (c *Control) tryReplicas(ctx context.Context, id string, attempt attemptFunc) (ChangeResult, error) {
	mayBeCommitted := false
	attempts := 0
	failed := map[string]bool{}
	for {
		target := c.nextTarget(failed)
		failed[target] = true
		attempts++
		reply, sent, err := attempt(ctx, target)
		switch {
		case err != nil:
			mayBeCommitted = mayBeCommitted || sent
			c.setLeaderHint("")
		case reply.Rejection == "":
			c.setLeaderHint(target)
			return reply.Result, nil
		case reply.Rejection == rejectedNotLeader:
			c.setLeaderHint(reply.Leader)
		case reply.Rejection == rejectedUndetermined:
			mayBeCommitted = true
		default:
			if final := finalError(reply.Rejection, id); final != nil {
				return ChangeResult{}, final
			}
		}
		if !sleep(ctx, c.options.Timing.RetryDelay) {
			break
		}
		c.metrics.retries.Inc()
	}
	if mayBeCommitted {
		return ChangeResult{ChangeID: id, Outcome: OutcomeUndetermined}, nil
	}
	return ChangeResult{}, &NotSubmittedError{ChangeID: id, Attempts: attempts}
}

// attemptFunc sends the request to one replica and reports whether it may have been received.
type attemptFunc func(ctx context.Context, to string) (reply changeReply, sent bool, err error)

func (c *Control) nextTarget(failed map[string]bool) string {
	targets := c.targets()
	for _, target := range targets {
		if !failed[target] {
			return target
		}
	}
	clear(failed)
	return targets[0]
}

// finalError returns the error for a rejection that every other target would repeat, or nil if another
// attempt may succeed.
func finalError(reason rejection, id string) error {
	switch reason {
	case rejectedReusedID:
		return &configuration.ReusedIDError{ID: id}
	case rejectedMalformed:
		return &configuration.MalformedError{Content: "change", Detail: "rejected by the leader"}
	case rejectedUnknown:
		return &UnknownChangeError{ChangeID: id}
	}
	return nil
}

// sleep waits for d. It returns false when ctx ends earlier.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// targets returns the replicas in the order in which they are tried: the leader known to the local
// replica, the last known leader, then the others.
func (c *Control) targets() []string {
	var order []string
	add := func(name string) {
		known := slices.ContainsFunc(c.options.Replicas, func(p Peer) bool { return p.Name == name })
		if known && !slices.Contains(order, name) {
			order = append(order, name)
		}
	}
	if c.replica != nil {
		if leader, known := c.replica.Leader(); known {
			add(leader)
		}
	}
	c.mu.Lock()
	add(c.leaderHint)
	c.mu.Unlock()
	for _, peer := range c.options.Replicas {
		add(peer.Name)
	}
	return order
}

// setLeaderHint stores the last known leader; an empty name means that it is unknown.
func (c *Control) setLeaderHint(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderHint = name
}
