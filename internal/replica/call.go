package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/primrosebeam/primrosebeam/consensus"
	"github.com/primrosebeam/primrosebeam/ring"
)

// outcome is the end of a call.
type outcome struct {
	result any
	err    error
}

// call is a request of another goroutine. Exactly one of propose, change and read is meant.
type call struct {
	ctx     context.Context
	kind    callKind
	data    []byte
	change  consensus.Change
	started time.Time
	done    chan outcome // holds one outcome, so the duty never waits for the caller
}

type callKind uint8

const (
	callPropose callKind = iota
	callChange
	callRead
)

func (c *call) finish(result any, err error) { c.done <- outcome{result, err} }

// Propose appends a command to the log and returns the result of applying it. It returns
// *NotLeaderError when the command was not and will not be carried out, *UndeterminedError when
// leadership or ctx ended before that is known, *consensus.OverloadedError or *ring.FullError when
// too much waits already, *FailedError or *StoppedError.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	return r.submit(&call{ctx: ctx, kind: callPropose, data: data})
}

// ChangeMembership changes the membership by one replica and returns when the change is committed. Besides the
// errors of Propose it returns those of consensus.Node.ProposeChange.
func (r *Replica) ChangeMembership(ctx context.Context, change consensus.Change) error {
	_, err := r.submit(&call{ctx: ctx, kind: callChange, change: change})
	return err
}

// Barrier returns once every entry that was committed before the call is applied here and a quorum
// has confirmed, after the call, that this replica leads. It returns *NotLeaderError, the error of
// ctx, *consensus.OverloadedError, *ring.FullError, *FailedError or *StoppedError.
func (r *Replica) Barrier(ctx context.Context) error {
	_, err := r.submit(&call{ctx: ctx, kind: callRead})
	return err
}

func (r *Replica) submit(c *call) (any, error) {
	c.started = time.Now()
	c.done = make(chan outcome, 1)
	if err := r.calls.Offer(c); err != nil {
		return nil, r.refusal(err)
	}
	select {
	case o := <-c.done:
		return o.result, o.err
	case <-c.ctx.Done():
		return nil, c.interrupted(c.ctx.Err())
	case <-r.stopped:
	}
	select {
	case o := <-c.done: // It ended before the replica did.
		return o.result, o.err
	default:
		return nil, c.interrupted(&StoppedError{})
	}
}

// interrupted is the error of a call that its caller stops to wait for. A read has no effect, so only
// the outcome of the others is undetermined.
func (c *call) interrupted(cause error) error {
	if c.kind == callRead {
		return cause
	}
	return &UndeterminedError{Cause: cause}
}

func (r *Replica) refusal(err error) error {
	var closed *ring.ClosedError
	if errors.As(err, &closed) {
		return &StoppedError{}
	}
	return fmt.Errorf("replica: call refused: %w", err)
}

// pending is a call whose entry is in the log.
type pending struct {
	term uint64
	call *call
}

// reading is a group of reads that share a confirmation. index is 0 until it is confirmed.
type reading struct {
	index uint64
	calls []*call
}

// accept starts a batch of calls. The reads of a batch share one confirmation.
func (r *Replica) accept(batch []*call) {
	var reads []*call
	for _, c := range batch {
		switch {
		case c.ctx.Err() != nil: // The caller is gone.
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
	r.nextRead++
	if err := r.node.ReadIndex(r.nextRead); err != nil {
		for _, c := range reads {
			c.finish(nil, err)
		}
		return
	}
	r.reads[r.nextRead] = &reading{calls: reads}
}

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
	r.proposals[r.node.LastIndex()] = pending{term: r.node.Term(), call: c}
}

// applied ends the call whose entry, or whose place, was committed.
func (r *Replica) applied(e *consensus.Entry, result any) {
	p, ok := r.proposals[e.Index]
	if !ok {
		return
	}
	delete(r.proposals, e.Index)
	if p.term != e.Term {
		// Another entry has this place for ever, and an entry exists only in its place.
		p.call.finish(nil, &NotLeaderError{Leader: r.node.Leader().Instance})
		return
	}
	r.instruments.commitSeconds.Update(time.Since(p.call.started).Seconds())
	p.call.finish(result, nil)
}

// finishReads ends the confirmed reads whose entries are applied.
func (r *Replica) finishReads(confirmed []consensus.Read, aborted []uint64) {
	for _, read := range confirmed {
		if group := r.reads[read.ID]; group != nil {
			group.index = read.Index
		}
	}
	for _, id := range aborted {
		r.endRead(id, &NotLeaderError{Leader: r.node.Leader().Instance})
	}
	for id, group := range r.reads {
		if group.index != 0 && group.index <= r.appliedIndex {
			r.endRead(id, nil)
		}
	}
}

func (r *Replica) endRead(id uint64, err error) {
	group := r.reads[id]
	if group == nil {
		return
	}
	delete(r.reads, id)
	for _, c := range group.calls {
		c.finish(nil, err)
	}
}

// abandonProposals ends the calls of a leadership that is over. Their entries may still be committed
// by the next leader.
func (r *Replica) abandonProposals(cause error) {
	for index, p := range r.proposals {
		delete(r.proposals, index)
		p.call.finish(nil, &UndeterminedError{Cause: cause})
	}
}
