package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/link"
)

// Submit hands a change to the leader and answers within Timing.Submit. It repeats the change
// under the same ID when the leader changes or an answer is lost, which is safe because the
// store returns the first result to every resend. It returns *NotSubmittedError,
// *configuration.ReusedIDError, or an error of configuration.EncodeChange; nothing was changed in
// these cases. When it is not known whether the change was committed, the answer is
// OutcomeUndetermined.
func (c *Control) Submit(ctx context.Context, change configuration.Change) (ChangeResult, error) {
	data, err := configuration.EncodeChange(change)
	if err != nil {
		return ChangeResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Timing.SubmitTimeout)
	defer cancel()
	request := submitRequest{Change: data}
	ask := func(ctx context.Context, to string) (answerReply, bool, error) {
		if to == c.options.Name {
			return c.propose(ctx, request), true, nil
		}
		return c.ask(ctx, to, KindSubmit, request)
	}
	answer, err := c.retry(ctx, change.ID, ask)
	if err == nil {
		c.metrics.answers[answer.Outcome].Inc()
	}
	return answer, err
}

// Outcome tells what became of a change. It returns *UnknownChangeError when no committed and
// remembered change has the ID. When no leader answers in Timing.Outcome, the answer is
// OutcomeUndetermined.
func (c *Control) Outcome(ctx context.Context, changeID string) (ChangeResult, error) {
	if err := configuration.CheckID(changeID); err != nil {
		return ChangeResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Timing.OutcomeTimeout)
	defer cancel()
	request := outcomeRequest{ChangeID: changeID}
	ask := func(ctx context.Context, to string) (answerReply, bool, error) {
		if to == c.options.Name {
			return c.recall(ctx, request), true, nil
		}
		return c.ask(ctx, to, KindOutcome, request)
	}
	answer, err := c.retry(ctx, changeID, ask)
	var unanswered *NotSubmittedError
	if errors.As(err, &unanswered) {
		return ChangeResult{ChangeID: changeID, Outcome: OutcomeUndetermined}, nil
	}
	return answer, err
}

// ask sends one request and reports whether the receiver may have seen it.
func (c *Control) ask(ctx context.Context, to string, kind link.Kind, request any) (answerReply, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timing.AttemptTimeout)
	defer cancel()
	var reply answerReply
	err := c.options.Caller.Call(ctx, to, kind, request, &reply)
	return reply, maybeSent(err), err
}

// maybeSent is false only for errors which prove that the receiver did not see the message.
func maybeSent(err error) bool {
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

// retry asks one target after the other until one answers or ctx ends. A target that failed is
// not asked again before all others were.
func (c *Control) retry(ctx context.Context, id string, ask askFunc) (ChangeResult, error) {
	undetermined := false
	attempts := 0
	failed := map[string]bool{}
	for {
		target := c.nextTarget(failed)
		failed[target] = true
		attempts++
		reply, sent, err := ask(ctx, target)
		switch {
		case err != nil:
			undetermined = undetermined || sent
			c.follow("")
		case reply.Refusal == "":
			c.follow(target)
			return reply.Answer, nil
		case reply.Refusal == refusedNotLeader:
			c.follow(reply.Leader)
		case reply.Refusal == refusedUndetermined:
			undetermined = true
		default:
			if final := refusedFinally(reply.Refusal, id); final != nil {
				return ChangeResult{}, final
			}
		}
		if !pause(ctx, c.options.Timing.RetryDelay) {
			break
		}
		c.metrics.retries.Inc()
	}
	if undetermined {
		return ChangeResult{ChangeID: id, Outcome: OutcomeUndetermined}, nil
	}
	return ChangeResult{}, &NotSubmittedError{ChangeID: id, Attempts: attempts}
}

// askFunc asks one replica and reports whether it may have seen the request.
type askFunc func(ctx context.Context, to string) (reply answerReply, sent bool, err error)

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

// refusedFinally returns the error of a refusal that no other target would answer differently.
func refusedFinally(reason refusal, id string) error {
	switch reason {
	case refusedReusedID:
		return &configuration.ReusedIDError{ID: id}
	case refusedMalformed:
		return &configuration.MalformedError{Content: "change", Detail: "refused by the leader"}
	case refusedUnknown:
		return &UnknownChangeError{ChangeID: id}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// targets returns the replicas in the order in which they are asked: the leader that the own
// replica knows, the last known leader, then the others.
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
	add(c.leader)
	c.mu.Unlock()
	for _, peer := range c.options.Replicas {
		add(peer.Name)
	}
	return order
}

// follow remembers who leads; an empty name means that it is unknown.
func (c *Control) follow(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = name
}
