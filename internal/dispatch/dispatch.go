// Package dispatch runs the scheduler in one goroutine. It passes events to the scheduler in order and
// delivers the decisions to the request handlers that wait for them.
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
	// eventsPerTicket is the largest number of events of one request that can be queued at once. The
	// ring has room for that many of each admitted request, so it never rejects one of them.
	eventsPerTicket = 6
	// reservedEvents is the room in the ring for events that belong to no request, such as load reports.
	reservedEvents = 4096
	// batchEvents is the largest number of events handled before the timers are checked again.
	batchEvents = 256
)

// BusyError reports that the limit on waiting and in-flight requests is reached.
type BusyError struct {
	Limit int // number of requests
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("dispatch: limit of %d waiting and in-flight requests reached", e.Limit)
}

// Decision is the scheduler's decision about a waiting request: an engine or a rejection. When both are
// empty, the request was withdrawn after Abandon.
type Decision struct {
	Engine string
	Reject *scheduler.Reject
}

// Withdrawn reports whether the request was removed from the queue because its caller had disconnected.
func (d Decision) Withdrawn() bool { return d.Engine == "" && d.Reject == nil }

// Options configures a Worker.
type Options struct {
	Scheduler   *scheduler.Scheduler
	MaxRequests int // limit on waiting and in-flight requests
	// OnFloor is called with every floor that the scheduler publishes. It must not block.
	OnFloor func(scheduler.PublishFloor)
}

// Worker owns a scheduler and serializes all access to it. Other goroutines reach it through a bounded
// ring.
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

// New returns a worker. It handles events once Run is called.
func New(o Options) *Worker {
	return &Worker{
		scheduler: o.Scheduler,
		inputs:    ring.New[input](o.MaxRequests*eventsPerTicket + reservedEvents),
		tickets:   map[scheduler.RequestID]*Ticket{},
		limit:     o.MaxRequests,
		onFloor:   o.OnFloor,
	}
}

// Submit adds a request to the queue. It returns a *BusyError or a *ring.ClosedError when the request was
// not accepted. Every ticket must be ended exactly once: by Finish, by Abandon while the request waits, or by
// a Reject that was received.
func (w *Worker) Submit(r scheduler.Request) (*Ticket, error) {
	if w.active.Add(1) > int64(w.limit) {
		w.active.Add(-1)
		return nil, &BusyError{Limit: w.limit}
	}
	t := &Ticket{id: r.ID, worker: w, decisions: make(chan Decision, 1)}
	if err := w.inputs.Offer(input{event: scheduler.Arrive{Request: r}, ticket: t}); err != nil {
		w.active.Add(-1)
		return nil, fmt.Errorf("dispatch: submit: %w", err)
	}
	return t, nil
}

// Post queues an event that belongs to no request. When the ring is full, Post drops the event and returns a
// *ring.FullError. Dropping is safe because such events are reports that a later report replaces.
func (w *Worker) Post(e scheduler.Event) error {
	if w.inputs.Cap()-w.inputs.Len() <= w.limit*eventsPerTicket {
		return &ring.FullError{Capacity: reservedEvents}
	}
	return w.inputs.Offer(input{event: e})
}

// Configure puts a policy in force.
func (w *Worker) Configure(p scheduler.Policy) error {
	return w.inputs.Offer(input{event: scheduler.Configure{Policy: p}})
}

// Active returns the number of waiting and in-flight requests.
func (w *Worker) Active() int { return int(w.active.Load()) }

// Inspect runs f on the scheduler between two events and waits until f returns or ctx ends.
func (w *Worker) Inspect(ctx context.Context, f func(*scheduler.Scheduler)) error {
	done := make(chan struct{})
	err := w.inputs.Offer(input{inspect: func(s *scheduler.Scheduler) {
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
func (w *Worker) Run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		more := w.handleBatch()
		if more {
			continue
		}
		w.resetTimer(timer)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.inputs.Ready():
		case <-timer.C:
			w.step(scheduler.Wake{})
		}
	}
}

func (w *Worker) resetTimer(timer *time.Timer) {
	wait := time.Hour
	if at, due := w.scheduler.NextWake(); due {
		wait = max(0, time.Until(at))
	}
	timer.Reset(wait)
}

// handleBatch handles up to batchEvents events. It reports whether more events may be queued.
func (w *Worker) handleBatch() bool {
	for range batchEvents {
		in, ok := w.inputs.TryTake()
		if !ok {
			return false
		}
		w.handle(in)
	}
	if at, due := w.scheduler.NextWake(); due && !time.Now().Before(at) {
		w.step(scheduler.Wake{})
	}
	return true
}

func (w *Worker) handle(in input) {
	if in.inspect != nil {
		in.inspect(w.scheduler)
		return
	}
	if in.ticket != nil {
		w.tickets[in.ticket.id] = in.ticket
	}
	w.step(in.event)
	switch e := in.event.(type) {
	case scheduler.Finish:
		w.release(e.ID)
	case scheduler.Abandon:
		if t, known := w.tickets[e.ID]; known && !t.dispatched {
			t.decisions <- Decision{}
			w.release(e.ID)
		}
	}
}

// release removes a request whose ticket has ended.
func (w *Worker) release(id scheduler.RequestID) {
	if _, known := w.tickets[id]; !known {
		return
	}
	delete(w.tickets, id)
	w.active.Add(-1)
}

// step passes an event to the scheduler and applies the decisions that follow from it.
func (w *Worker) step(e scheduler.Event) {
	if refused, ok := e.(scheduler.Refused); ok {
		if t, known := w.tickets[refused.ID]; known {
			t.dispatched = false
		}
	}
	for _, decision := range w.scheduler.Decide(time.Now(), e) {
		w.apply(decision)
	}
}

func (w *Worker) apply(decision scheduler.Decision) {
	switch decision.Kind {
	case scheduler.DecideDispatch:
		if t, known := w.tickets[decision.ID]; known {
			t.dispatched = true
			t.decisions <- Decision{Engine: decision.Engine}
		}
	case scheduler.DecideReject:
		if t, known := w.tickets[decision.ID]; known {
			t.decisions <- Decision{Reject: &scheduler.Reject{
				ID: decision.ID, Reason: decision.Reason, RetryAfter: decision.RetryAfter,
			}}
			w.release(decision.ID)
		}
	case scheduler.DecideCancel:
		// The handler of the request detects that the caller has disconnected and cancels the request on
		// the engine.
	case scheduler.DecideFloor:
		if w.onFloor != nil {
			w.onFloor(scheduler.PublishFloor{Tier: decision.Tier, Expires: decision.Expires})
		}
	}
}
