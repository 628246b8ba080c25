package claims

import (
	"context"
	"errors"
	"time"

	"github.com/primrosebeam/primrosebeam/ledger"
	"github.com/primrosebeam/primrosebeam/ring"
)

// operation identifies a method of ledger.Service.
type operation int

const (
	opMint operation = iota
	opClaim
	opBegin
	opRelease
	opComplete
	opLookup
	operationCount
)

var operationNames = [operationCount]string{"mint", "claim", "begin", "release", "complete", "lookup"}

// needsSync reports whether a nil error guarantees a synced record. This includes calls that returned no
// record, because a repeated message may follow the original message in the same batch.
func (o operation) needsSync() bool { return o == opBegin || o == opComplete }

// call is one request to the worker.
type call struct {
	operation operation
	run       func(l *ledger.Ledger, now time.Time) (record []byte, err error)
	done      chan error // result; capacity 1, so that the worker never blocks after a caller has left
	queued    time.Time  // time at which the call was queued

	err      error // result of run
	recorded bool  // whether run returned a record
}

// submit queues a call for the worker and waits for its result.
func (o *Owner) submit(ctx context.Context, op operation, run func(*ledger.Ledger, time.Time) ([]byte, error)) error {
	c := &call{operation: op, run: run, done: make(chan error, 1), queued: time.Now()}
	if err := o.calls.Offer(c); err != nil {
		var full *ring.FullError
		if errors.As(err, &full) {
			return &BusyError{Owner: o.options.Name}
		}
		return &ClosedError{Owner: o.options.Name}
	}
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return &UnreachableError{Owner: o.options.Name, MayHaveArrived: true, Err: ctx.Err()}
	}
}

// process runs a batch with one sync for all records of its writes. Lookups run after that sync, so that
// they return the outcomes stored in the same batch.
func (o *Owner) process(batch []*call) {
	if o.ledger == nil {
		for _, c := range batch {
			c.err = &ledger.UnavailableError{Err: o.failure}
			o.finish(c)
		}
		return
	}
	now := o.clock.now()
	o.runSynced(batch, now, func(c *call) bool { return c.operation != opLookup })
	o.runSynced(batch, now, func(c *call) bool { return c.operation == opLookup })
	o.startSnapshot()
}

// runSynced runs the selected calls of a batch, syncs their records and returns the results to the callers.
func (o *Owner) runSynced(batch []*call, now time.Time, selected func(*call) bool) {
	records := 0
	for _, c := range batch {
		if !selected(c) {
			continue
		}
		var record []byte
		record, c.err = c.run(o.ledger, now)
		if record != nil {
			c.recorded = true
			records++
			o.append(record)
		}
	}
	o.sync(records)
	for _, c := range batch {
		if selected(c) {
			o.finish(c)
		}
	}
}

// append appends a record to the journal, unless the journal has failed.
func (o *Owner) append(record []byte) {
	if o.failure != nil {
		return
	}
	if _, err := o.journal.Append(record); err != nil {
		o.fail(err)
		return
	}
	o.bytesSinceSnapshot += int64(len(record))
}

// sync syncs the journal and reports the sync to the ledger, unless there are no records or the journal has
// failed.
func (o *Owner) sync(records int) {
	if records == 0 || o.failure != nil {
		return
	}
	start := time.Now()
	if err := o.journal.Sync(); err != nil {
		o.fail(err)
		return
	}
	o.ledger.Commit()
	o.metrics.syncSeconds.UpdateDuration(start)
	o.metrics.syncRecords.Update(float64(records))
}

// finish returns the result of a call to its caller. If the journal has failed, the result of a call that
// depends on a record is *ledger.UnavailableError.
func (o *Owner) finish(c *call) {
	dependsOnRecord := c.recorded || (c.operation.needsSync() && c.err == nil)
	if o.failure != nil && dependsOnRecord {
		c.err = &ledger.UnavailableError{Err: o.failure}
	}
	o.metrics.count(c)
	c.done <- c.err
}

// Mint implements ledger.Service.
func (o *Owner) Mint(ctx context.Context, r ledger.MintRequest) ([]ledger.Key, error) {
	var keys []ledger.Key
	err := o.submit(ctx, opMint, func(l *ledger.Ledger, now time.Time) (_ []byte, err error) {
		keys, err = l.Mint(now, r, o.options.Random)
		return nil, err
	})
	if err != nil {
		return nil, err // If ctx has ended, the worker may still be writing to keys.
	}
	return keys, nil
}

// Claim implements ledger.Service.
func (o *Owner) Claim(ctx context.Context, r ledger.ClaimRequest) (ledger.Grant, error) {
	var grant ledger.Grant
	err := o.submit(ctx, opClaim, func(l *ledger.Ledger, now time.Time) (record []byte, err error) {
		grant, record, err = l.Claim(now, r)
		return record, err
	})
	if err != nil {
		return ledger.Grant{}, err
	}
	return grant, nil
}

// Begin implements ledger.Service.
func (o *Owner) Begin(ctx context.Context, r ledger.BeginRequest) error {
	return o.submit(ctx, opBegin, func(l *ledger.Ledger, now time.Time) ([]byte, error) {
		return l.Begin(now, r)
	})
}

// Release implements ledger.Service.
func (o *Owner) Release(ctx context.Context, r ledger.ReleaseRequest) error {
	return o.submit(ctx, opRelease, func(l *ledger.Ledger, now time.Time) ([]byte, error) {
		return nil, l.Release(now, r)
	})
}

// Complete implements ledger.Service.
func (o *Owner) Complete(ctx context.Context, r ledger.CompleteRequest) error {
	return o.submit(ctx, opComplete, func(l *ledger.Ledger, now time.Time) ([]byte, error) {
		return l.Complete(now, r)
	})
}

// Lookup implements ledger.Service.
func (o *Owner) Lookup(ctx context.Context, r ledger.LookupRequest) (ledger.Status, error) {
	var status ledger.Status
	err := o.submit(ctx, opLookup, func(l *ledger.Ledger, now time.Time) (record []byte, err error) {
		status, record, err = l.Lookup(now, r)
		return record, err
	})
	if err != nil {
		return ledger.Status{}, err
	}
	return status, nil
}
