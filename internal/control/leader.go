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
	return c.lookUpOutcome(ctx, request), nil
}

// rejectIfNotLeader returns the rejection to send when this instance is not the leader; the second result
// is false when it is.
func (c *Control) rejectIfNotLeader() (changeReply, bool) {
	if c.replica == nil {
		return changeReply{Rejection: rejectedNotLeader}, true
	}
	if leader, known := c.replica.Leader(); !known || leader != c.options.Name {
		return changeReply{Rejection: rejectedNotLeader, Leader: leader}, true
	}
	return changeReply{}, false
}

// propose commits a change to the log and waits until it is in force everywhere or Timing.InForceTimeout
// has passed since the commit.
func (c *Control) propose(ctx context.Context, request submitRequest) changeReply {
	change, err := configuration.DecodeChange(request.Change)
	if err != nil {
		return changeReply{Rejection: rejectedMalformed}
	}
	if reply, rejected := c.rejectIfNotLeader(); rejected {
		return reply
	}
	select {
	case c.submissions <- struct{}{}:
		defer func() { <-c.submissions }()
	default:
		return changeReply{Rejection: rejectedBusy}
	}
	proposal, cancel := context.WithTimeout(ctx, c.options.Timing.ProposeTimeout)
	applied, err := c.replica.Propose(proposal, request.Change)
	cancel()
	if err != nil {
		return c.rejectProposal(err)
	}
	result, ok := applied.(configuration.Result)
	if !ok {
		return rejectChange(applied)
	}
	return changeReply{Result: c.awaitInForce(ctx, change.ID, result)}
}

// rejectChange returns the rejection for an error that Store.Apply returned.
func rejectChange(applied any) changeReply {
	err, _ := applied.(error)
	var reused *configuration.ReusedIDError
	if errors.As(err, &reused) {
		return changeReply{Rejection: rejectedReusedID}
	}
	return changeReply{Rejection: rejectedMalformed}
}

// rejectProposal returns the rejection for an error of the replica. Only NotLeader errors prove that
// nothing was proposed.
func (c *Control) rejectProposal(err error) changeReply {
	if leader, yes := c.options.NotLeader(err); yes {
		return changeReply{Rejection: rejectedNotLeader, Leader: leader}
	}
	return changeReply{Rejection: rejectedUndetermined}
}

// awaitInForce waits for an accepted change to be in force and returns its result.
func (c *Control) awaitInForce(ctx context.Context, id string, result configuration.Result) ChangeResult {
	var missing []string
	if result.Status == configuration.StatusAccepted {
		missing = c.publisher.waitInForce(ctx, result.Version, c.options.Timing.InForceTimeout)
	}
	return newChangeResult(id, result, missing)
}

// lookUpOutcome looks up a change after a barrier, so that a deposed leader cannot report a committed
// change as unknown.
func (c *Control) lookUpOutcome(ctx context.Context, request outcomeRequest) changeReply {
	if reply, rejected := c.rejectIfNotLeader(); rejected {
		return reply
	}
	barrier, cancel := context.WithTimeout(ctx, c.options.Timing.ProposeTimeout)
	defer cancel()
	if err := c.replica.Barrier(barrier); err != nil {
		return c.rejectProposal(err)
	}
	result, known := c.store.Lookup(request.ChangeID)
	if !known {
		return changeReply{Rejection: rejectedUnknown}
	}
	var missing []string
	if result.Status == configuration.StatusAccepted {
		missing = c.publisher.waitInForce(ctx, result.Version, c.options.Timing.AnnounceInterval)
	}
	return changeReply{Result: newChangeResult(request.ChangeID, result, missing)}
}
