package core

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/primrosebeam/primrosebeam/consensus"
	"github.com/primrosebeam/primrosebeam/internal/boottime"
	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/internal/replica"
	"github.com/primrosebeam/primrosebeam/revision"
)

const (
	// callTimeout bounds a call to the leader. Operators try another instance after one second.
	callTimeout = 800 * time.Millisecond
	// confirmTimeout bounds the confirmation of a configuration number; entry instances ask again every
	// 200 ms.
	confirmTimeout = 400 * time.Millisecond
)

// NoLeaderError reports that no leader is known, so that nothing can be stored or confirmed.
type NoLeaderError struct{}

func (e *NoLeaderError) Error() string { return "core: no leader is known" }

// Code returns the stable error code that the sender of a call receives.
func (e *NoLeaderError) Code() string { return "core.no-leader" }

// UndeterminedError reports a configuration that may or may not have been stored.
type UndeterminedError struct{ Cause error }

func (e *UndeterminedError) Error() string {
	return fmt.Sprintf("core: outcome not known: %v", e.Cause)
}

func (e *UndeterminedError) Unwrap() error { return e.Cause }

// Code returns the stable error code that the sender of a call receives.
func (e *UndeterminedError) Code() string { return "core.undetermined" }

// NotStoredError reports a configuration that was not stored and never will be.
type NotStoredError struct{ Cause error }

func (e *NotStoredError) Error() string { return fmt.Sprintf("core: not stored: %v", e.Cause) }

func (e *NotStoredError) Unwrap() error { return e.Cause }

// Code returns the stable error code that the sender of a call receives.
func (e *NotStoredError) Code() string { return "core.not-stored" }

// leaderName returns the leader that this instance knows, or *NoLeaderError.
func (c *ControlInstance) leaderName() (string, error) {
	leader, known := c.replica.Leader()
	if !known || leader == "" {
		return "", &NoLeaderError{}
	}
	return leader, nil
}

// submit stores a configuration through the leader.
func (c *ControlInstance) submit(ctx context.Context, s fleet.Submit) (fleet.Submitted, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	leader, err := c.leaderName()
	if err != nil {
		return fleet.Submitted{}, err
	}
	if leader == c.name {
		return c.propose(ctx, s)
	}
	var reply fleet.Submitted
	err = c.link.Call(ctx, leader, fleet.KindSubmit, s, &reply)
	return reply, err
}

// propose stores a configuration in the log, of which this instance is the leader. A configuration that
// changes nothing is proposed as well, so a quorum confirms the stored number before the acknowledgement:
// the local register may be stale.
func (c *ControlInstance) propose(ctx context.Context, s fleet.Submit) (fleet.Submitted, error) {
	command, err := revision.EncodeWrite(revision.Revision{Number: s.Number, Content: s.Content})
	if err != nil {
		return fleet.Submitted{}, err
	}
	outcome, err := c.replica.Propose(ctx, command)
	if err != nil {
		return fleet.Submitted{}, classifyProposal(err)
	}
	result, ok := outcome.(revision.Result)
	if !ok {
		return fleet.Submitted{}, &UndeterminedError{Cause: fmt.Errorf("core: unexpected result %T", outcome)}
	}
	return fleet.Submitted{Stored: result.Stored, Number: result.Number}, nil
}

// classifyProposal returns *NotStoredError for errors of the log which state that the proposal was not executed,
// and *UndeterminedError for all others.
func classifyProposal(err error) error {
	var undetermined *replica.UndeterminedError // may be caused by one of the other errors
	var notLeader *replica.NotLeaderError
	var overloaded *consensus.OverloadedError
	var tooLarge *consensus.TooLargeError
	switch {
	case errors.As(err, &undetermined):
		return &UndeterminedError{Cause: err}
	case errors.As(err, &notLeader) || errors.As(err, &overloaded) || errors.As(err, &tooLarge):
		return &NotStoredError{Cause: err}
	}
	return &UndeterminedError{Cause: err}
}

func (c *ControlInstance) handleSubmit(ctx context.Context, _ link.Sender, body []byte) (any, error) {
	var s fleet.Submit
	if err := link.Decode(body, &s); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.propose(ctx, s)
}

// confirm returns the newest number, confirmed by a quorum after the call, and its content if
// withContent is set.
func (c *ControlInstance) confirm(ctx context.Context, withContent bool) (fleet.Confirmed, error) {
	leader, err := c.leaderName()
	if err != nil {
		return fleet.Confirmed{}, err
	}
	request := fleet.Confirm{
		WithContent: withContent, EnginesDigest: c.directory.State().Digest, WithLearned: c.learnedRequests.due(learnedInterval),
	}
	if c.entryReports.due(entryReportInterval) {
		request.EntryInstances = c.hub.attachedNames()
	}
	if leader == c.name {
		return c.confirmAsLeader(ctx, request)
	}
	requestedAt := boottime.Now()
	var reply fleet.Confirmed
	if err := c.link.Call(ctx, leader, fleet.KindConfirm, request, &reply); err != nil {
		return fleet.Confirmed{}, err
	}
	c.rollouts.merge(reply.Rollouts)
	c.directory.Merge(reply.Engines, requestedAt)
	c.hub.setReportedEntries(reply.EntryInstances)
	if reply.Learned != nil {
		c.allocator.TakeOver(*reply.Learned)
	}
	return reply, nil
}

// confirmAsLeader confirms the leadership with a quorum and returns the newest number of the local
// register.
func (c *ControlInstance) confirmAsLeader(ctx context.Context, request fleet.Confirm) (fleet.Confirmed, error) {
	if err := c.replica.Barrier(ctx); err != nil {
		return fleet.Confirmed{}, err
	}
	current := c.register.Current()
	reply := fleet.Confirmed{Number: current.Number, EntryInstances: c.hub.entryCount(), Engines: c.directory.Export(request.EnginesDigest)}
	if c.rollouts.limits != nil {
		reply.Rollouts = c.rollouts.replica.List()
	}
	if request.WithContent {
		reply.Content = current.Content
	}
	if request.WithLearned {
		l := c.allocator.Learned()
		reply.Learned = &l
	}
	return reply, nil
}

func (c *ControlInstance) handleConfirm(ctx context.Context, from link.Sender, body []byte) (any, error) {
	var request fleet.Confirm
	if err := link.Decode(body, &request); err != nil {
		return nil, err
	}
	c.hub.recordAttached(from.Name, request.EntryInstances)
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return c.confirmAsLeader(ctx, request)
}
