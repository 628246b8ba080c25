package control

import (
	"context"
	"errors"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/link"
)

func (c *Control) handleSubmit(ctx context.Context, from link.Sender, body []byte) (any, error) {
	var request submitRequest
	if err := decodeBody(KindSubmit, from, body, &request); err != nil {
		return nil, err
	}
	return c.propose(ctx, request), nil
}

func (c *Control) handleOutcome(ctx context.Context, from link.Sender, body []byte) (any, error) {
	var request outcomeRequest
	if err := decodeBody(KindOutcome, from, body, &request); err != nil {
		return nil, err
	}
	return c.recall(ctx, request), nil
}

// notLeading returns the refusal of an instance that does not lead, if it is one.
func (c *Control) notLeading() (answerReply, bool) {
	if c.replica == nil {
		return answerReply{Refusal: refusedNotLeader}, true
	}
	if leader, known := c.replica.Leader(); !known || leader != c.options.Name {
		return answerReply{Refusal: refusedNotLeader, Leader: leader}, true
	}
	return answerReply{}, false
}

// propose carries a change through the log and waits until it is in force everywhere or
// Timing.InForce has passed since the commit.
func (c *Control) propose(ctx context.Context, request submitRequest) answerReply {
	change, err := configuration.DecodeChange(request.Change)
	if err != nil {
		return answerReply{Refusal: refusedMalformed}
	}
	if refusal, refused := c.notLeading(); refused {
		return refusal
	}
	select {
	case c.submitting <- struct{}{}:
		defer func() { <-c.submitting }()
	default:
		return answerReply{Refusal: refusedBusy}
	}
	proposal, cancel := context.WithTimeout(ctx, c.options.Timing.ProposeTimeout)
	applied, err := c.replica.Propose(proposal, request.Change)
	cancel()
	if err != nil {
		return c.refusalFor(err)
	}
	result, ok := applied.(configuration.Result)
	if !ok {
		return refusalOf(applied)
	}
	return answerReply{Answer: c.answer(ctx, change.ID, result)}
}

// refusalOf translates an error that Store.Apply returned.
func refusalOf(applied any) answerReply {
	err, _ := applied.(error)
	var reused *configuration.ReusedIDError
	if errors.As(err, &reused) {
		return answerReply{Refusal: refusedReusedID}
	}
	return answerReply{Refusal: refusedMalformed}
}

// refusalFor translates an error of the replica. Only the refusal of a replica that does not lead
// proves that nothing was proposed.
func (c *Control) refusalFor(err error) answerReply {
	if leader, yes := c.options.NotLeader(err); yes {
		return answerReply{Refusal: refusedNotLeader, Leader: leader}
	}
	return answerReply{Refusal: refusedUndetermined}
}

func (c *Control) answer(ctx context.Context, id string, result configuration.Result) ChangeResult {
	var missing []string
	if result.Status == configuration.StatusAccepted {
		missing = c.publisher.wait(ctx, result.Version, c.options.Timing.InForceTimeout)
	}
	return answerOf(id, result, missing)
}

// recall looks a change up after a barrier, so that an older leader cannot deny a committed change.
func (c *Control) recall(ctx context.Context, request outcomeRequest) answerReply {
	if refusal, refused := c.notLeading(); refused {
		return refusal
	}
	barrier, cancel := context.WithTimeout(ctx, c.options.Timing.ProposeTimeout)
	defer cancel()
	if err := c.replica.Barrier(barrier); err != nil {
		return c.refusalFor(err)
	}
	result, known := c.store.Lookup(request.ChangeID)
	if !known {
		return answerReply{Refusal: refusedUnknown}
	}
	var missing []string
	if result.Status == configuration.StatusAccepted {
		missing = c.publisher.wait(ctx, result.Version, c.options.Timing.AnnounceInterval)
	}
	return answerReply{Answer: answerOf(request.ChangeID, result, missing)}
}
