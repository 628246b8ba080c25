package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/primrosebeam/primrosebeam/consensus"
	"github.com/primrosebeam/primrosebeam/ring"
)

// callResult is the result or the error with which a call ends.
type callResult struct {
	result any
	err    error
}

// call is a request from another goroutine: a proposal, a membership change or a linearizable read, as
// kind states.
type call struct {
	ctx     context.Context
	kind    callKind
	data    []byte
	change  consensus.Change
	started time.Time
	done    chan callResult // buffered for one result, so that the worker never blocks on the caller
}

// callKind selects the operation of a call.
type callKind uint8

const (
	callPropose callKind = iota
	callChange
	callRead
)

// finish delivers the result; it must be called at most once.
func (c *call) finish(result any, err error) { c.done <- callResult{result, err} }

// Propose appends a command to the log and returns the result of applying it. It returns *NotLeaderError
// when the command was not and never will be applied, *UndeterminedError when the leadership or ctx ended
// before the outcome was known, *consensus.OverloadedError or *ring.FullError when too many calls are
// pending, *StorageFailedError or *StoppedError.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	return r.submit(&call{ctx: ctx, kind: callPropose, data: data})
}

// ChangeMembership changes the membership by one replica and returns when the change is committed. In
// addition to the errors of Propose it returns those of consensus.Node.ProposeChange.
func (r *Replica) ChangeMembership(ctx context.Context, change consensus.Change) error {
	_, err := r.submit(&call{ctx: ctx, kind: callChange, change: change})
	return err
}

// Barrier returns once every entry that was committed before the call has been applied here and a quorum
// has confirmed, after the call, that this replica is the leader. It returns *NotLeaderError, the error of
// ctx, *consensus.OverloadedError, *ring.FullError, *StorageFailedError or *StoppedError.
func (r *Replica) Barrier(ctx context.Context) error {
	_, err := r.submit(&call{ctx: ctx, kind: callRead})
	return err
}

// submit queues a call and waits for its result, the end of its context or the end of Run.
func (r *Replica) submit(c *call) (any, error) {
	c.started = time.Now()
	c.done = make(chan callResult, 1)
	if err := r.calls.Offer(c); err != nil {
		return nil, r.offerError(err)
	}
	select {
	case o := <-c.done:
		return o.result, o.err
	case <-c.ctx.Done():
		return nil, c.interruptedError(c.ctx.Err())
	case <-r.stopped:
	}
	select {
	case o := <-c.done: // The call ended before the replica stopped.
		return o.result, o.err
	default:
		return nil, c.interruptedError(&StoppedError{})
	}
}

// interruptedError returns the error for a caller that stops waiting. A read has no effect, so only the
// outcome of a proposal or a membership change is undetermined.
func (c *call) interruptedError(cause error) error {
	if c.kind == callRead {
		return cause
	}
	return &UndeterminedError{Cause: cause}
}

// offerError returns the error for a call that the queue did not accept.
func (r *Replica) offerError(err error) error {
	var closed *ring.ClosedError
	if errors.As(err, &closed) {
		return &StoppedError{}
	}
	return fmt.Errorf("replica: call rejected: %w", err)
}

// pendingProposal is a call whose entry has been appended to the log in the given term.
type pendingProposal struct {
	term uint64
	call *call
}

// readGroup is a set of reads that share one leadership confirmation. index is 0 until it is confirmed.
type readGroup struct {
	index uint64
	calls []*call
}

// startCalls starts a batch of calls. The reads of a batch share one leadership confirmation.
func (r *Replica) startCalls(batch []*call) {
	var reads []*call
	for _, c := range batch {
		switch {
		case c.ctx.Err() != nil: // The caller no longer waits.
		case r.failure != nil:
			c.finish(nil, &StorageFailedError{Cause: r.failure})
		case r.node.Role() != consensus.Leader:
			c.finish(nil, &NotLeaderError{Leader: r.node.Leader().Instance})
		case c.kind == callRead:
			reads = append(reads, c)
		default:
			r.propose(c)
		}
	}
	if len(reads) == 0 {
		return
	}
	r.lastRead++
	if err := r.node.ReadIndex(r.lastRead); err != nil {
		for _, c := range reads {
			c.finish(nil, err)
		}
		return
	}
	r.reads[r.lastRead] = &readGroup{calls: reads}
}

// propose passes a command or a membership change to the node and records the call under its log index.
func (r *Replica) propose(c *call) {
	var err error
	if c.kind == callChange {
		err = r.node.ProposeChange(c.change)
	} else {
		err = r.node.Propose(c.data)
	}
	if err != nil {
		c.finish(nil, err)
		return
	}
	r.proposals[r.node.LastIndex()] = pendingProposal{term: r.node.Term(), call: c}
}

// finishProposal ends the call that was waiting for the committed index, if there is one.
func (r *Replica) finishProposal(e *consensus.Entry, result any) {
	p, ok := r.proposals[e.Index]
	if !ok {
		return
	}
	delete(r.proposals, e.Index)
	if p.term != e.Term {
		// An entry of another term is committed at this index, so the proposed entry, which can only be
		// committed at its own index, never will be.
		p.call.finish(nil, &NotLeaderError{Leader: r.node.Leader().Instance})
		return
	}
	r.instruments.commitSeconds.Update(time.Since(p.call.started).Seconds())
	p.call.finish(result, nil)
}

// finishReads ends the confirmed reads whose index has been applied, and the aborted ones.
func (r *Replica) finishReads(confirmed []consensus.Read, aborted []uint64) {
	for _, read := range confirmed {
		if group := r.reads[read.ID]; group != nil {
			group.index = read.Index
		}
	}
	for _, id := range aborted {
		r.finishReadGroup(id, &NotLeaderError{Leader: r.node.Leader().Instance})
	}
	for id, group := range r.reads {
		if group.index != 0 && group.index <= r.appliedIndex {
			r.finishReadGroup(id, nil)
		}
	}
}

// finishReadGroup ends all reads of one group.
func (r *Replica) finishReadGroup(id uint64, err error) {
	group := r.reads[id]
	if group == nil {
		return
	}
	delete(r.reads, id)
	for _, c := range group.calls {
		c.finish(nil, err)
	}
}

// abandonProposals ends the pending calls of a leadership that is over. Their entries may still be
// committed by the next leader.
func (r *Replica) abandonProposals(cause error) {
	for index, p := range r.proposals {
		delete(r.proposals, index)
		p.call.finish(nil, &UndeterminedError{Cause: cause})
	}
}
