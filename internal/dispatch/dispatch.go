// Package dispatch runs the scheduler's duty: it feeds events to the scheduler in order and hands
// its decisions to the request handlers that wait for them.
package dispatch

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/primrosebeam/primrosebeam/ring"
	"github.com/primrosebeam/primrosebeam/scheduler"
)

const (
	// eventsPerTicket bounds the events of one request that can wait at once, so that the ring
	// never refuses an event of an admitted request.
	eventsPerTicket = 6
	// reservedEvents is room for events that belong to no request, such as load reports.
	reservedEvents = 4096
	// batchEvents bounds the events handled before timers are looked at again.
	batchEvents = 256
)

// BusyError reports that as many requests as allowed wait or are in flight.
type BusyError struct {
	Limit int // requests
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("dispatch: %d requests wait or are in flight already", e.Limit)
}

// Decision is what was decided on a waiting request: an engine, a reject, or, when both are
// empty, that it was withdrawn after Abandon.
type Decision struct {
	Engine string
	Reject *scheduler.Reject
}

// Withdrawn reports that the request left the queue because its caller had gone.
func (d Decision) Withdrawn() bool { return d.Engine == "" && d.Reject == nil }

// Options configures a Duty.
type Options struct {
	Scheduler   *scheduler.Scheduler
	MaxRequests int // waiting and in flight
	// OnFloor is called with every floor to publish; it must not block.
	OnFloor func(scheduler.PublishFloor)
}

// Worker owns a scheduler.
type Worker struct {
	scheduler *scheduler.Scheduler
	inputs    *ring.Ring[input]
	tickets   map[scheduler.RequestID]*Ticket
	active    atomic.Int64
	limit     int
	onFloor   func(scheduler.PublishFloor)
}

type input struct {
	event   scheduler.Event
	ticket  *Ticket
	inspect func(*scheduler.Scheduler)
}

// New returns a duty; Run starts it.
func New(o Options) *Worker {
	return &Worker{
		scheduler: o.Scheduler,
		inputs:    ring.New[input](o.MaxRequests*eventsPerTicket + reservedEvents),
		tickets:   map[scheduler.RequestID]*Ticket{},
		limit:     o.MaxRequests,
		onFloor:   o.OnFloor,
	}
}

// Submit adds a request to the queue. It returns *BusyError or *ring.ClosedError when the request was not taken.
// The ticket must be ended by exactly one Finish, Abandon while waiting, or a received Reject.
func (d *Worker) Submit(r scheduler.Request) (*Ticket, error) {
	if d.active.Add(1) > int64(d.limit) {
		d.active.Add(-1)
		return nil, &BusyError{Limit: d.limit}
	}
	t := &Ticket{id: r.ID, duty: d, decisions: make(chan Decision, 1)}
	if err := d.inputs.Offer(input{event: scheduler.Arrive{Request: r}, ticket: t}); err != nil {
		d.active.Add(-1)
		return nil, fmt.Errorf("dispatch: submit: %w", err)
	}
	return t, nil
}

// Post queues an event that belongs to no request. When the ring is full the event is dropped
// and *ring.FullError returned: such events are reports that a later one replaces.
func (d *Worker) Post(e scheduler.Event) error {
	if d.inputs.Cap()-d.inputs.Len() <= d.limit*eventsPerTicket {
		return &ring.FullError{Capacity: reservedEvents}
	}
	return d.inputs.Offer(input{event: e})
}

// Configure puts a policy in force.
func (d *Worker) Configure(p scheduler.Policy) error {
	return d.inputs.Offer(input{event: scheduler.Configure{Policy: p}})
}

// Active returns the number of requests that wait or are in flight.
func (d *Worker) Active() int { return int(d.active.Load()) }

// Inspect runs f on the scheduler between two events and waits for it.
func (d *Worker) Inspect(ctx context.Context, f func(*scheduler.Scheduler)) error {
	done := make(chan struct{})
	err := d.inputs.Offer(input{inspect: func(s *scheduler.Scheduler) {
		defer close(done)
		f(s)
	}})
	if err != nil {
		return fmt.Errorf("dispatch: inspect: %w", err)
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run handles events until ctx ends.
func (d *Worker) Run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		more := d.handleBatch()
		if more {
			continue
		}
		d.resetTimer(timer)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.inputs.Ready():
		case <-timer.C:
			d.step(scheduler.Wake{})
		}
	}
}

func (d *Worker) resetTimer(timer *time.Timer) {
	wait := time.Hour
	if at, due := d.scheduler.NextWake(); due {
		wait = max(0, time.Until(at))
	}
	timer.Reset(wait)
}

// handleBatch reports whether events may remain.
func (d *Worker) handleBatch() bool {
	for range batchEvents {
		in, ok := d.inputs.TryTake()
		if !ok {
			return false
		}
		d.handle(in)
	}
	if at, due := d.scheduler.NextWake(); due && !time.Now().Before(at) {
		d.step(scheduler.Wake{})
	}
	return true
}

func (d *Worker) handle(in input) {
	if in.inspect != nil {
		in.inspect(d.scheduler)
		return
	}
	if in.ticket != nil {
		d.tickets[in.ticket.id] = in.ticket
	}
	d.step(in.event)
	switch e := in.event.(type) {
	case scheduler.Finish:
		d.end(e.ID)
	case scheduler.Abandon:
		if t, known := d.tickets[e.ID]; known && !t.dispatched {
			t.decisions <- Decision{}
			d.end(e.ID)
		}
	}
}

func (d *Worker) end(id scheduler.RequestID) {
	if _, known := d.tickets[id]; !known {
		return
	}
	delete(d.tickets, id)
	d.active.Add(-1)
}

func (d *Worker) step(e scheduler.Event) {
	if refused, ok := e.(scheduler.Refused); ok {
		if t, known := d.tickets[refused.ID]; known {
			t.dispatched = false
		}
	}
	for _, decision := range d.scheduler.Decide(time.Now(), e) {
		d.carryOut(decision)
	}
}

func (d *Worker) carryOut(decision scheduler.Decision) {
	switch decision.Kind {
	case scheduler.DecideDispatch:
		if t, known := d.tickets[decision.ID]; known {
			t.dispatched = true
			t.decisions <- Decision{Engine: decision.Engine}
		}
	case scheduler.DecideReject:
		if t, known := d.tickets[decision.ID]; known {
			t.decisions <- Decision{Reject: &scheduler.Reject{
				ID: decision.ID, Reason: decision.Reason, RetryAfter: decision.RetryAfter,
			}}
			d.end(decision.ID)
		}
	case scheduler.DecideCancel:
		// The request's handler knows that its caller has gone, and cancels on the engine itself.
	case scheduler.DecideFloor:
		if d.onFloor != nil {
			d.onFloor(scheduler.PublishFloor{Tier: decision.Tier, Expires: decision.Expires})
		}
	}
}
