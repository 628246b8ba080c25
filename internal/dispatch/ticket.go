package dispatch

import "github.com/primrosebeam/primrosebeam/scheduler"

// Ticket refers to one request in the scheduler. The request's handler receives decisions and reports events
// through it.
type Ticket struct {
	id         scheduler.RequestID
	worker     *Worker
	decisions  chan Decision // capacity 1: the next decision follows only after Refused was reported
	dispatched bool          // accessed only by the worker's goroutine
}

// Decisions returns the channel of the scheduler's decisions: one after Submit, and one after each Refused.
func (t *Ticket) Decisions() <-chan Decision { return t.decisions }

// BytesSent reports that the first byte may have reached the engine. The call is needed only before Refused,
// since FirstToken and Finish imply it.
func (t *Ticket) BytesSent() { t.post(scheduler.BytesSent{ID: t.id}) }

// Refused reports that the dispatch ended before any byte was sent or, on a route that allows redispatch,
// that the attempt is known to have ended.
func (t *Ticket) Refused() { t.post(scheduler.Refused{ID: t.id}) }

// FirstToken reports the first byte of the response.
func (t *Ticket) FirstToken() { t.post(scheduler.FirstToken{ID: t.id}) }

// Progress reports output tokens. The report is a measurement and is dropped when the ring is nearly full.
func (t *Ticket) Progress(tokens int) {
	_ = t.worker.Post(scheduler.Progress{ID: t.id, Tokens: tokens})
}

// Abandon reports that the caller of a waiting request has disconnected. One decision still follows. If it is
// a dispatch, which the scheduler made before it handled the Abandon, Finish must end the request.
func (t *Ticket) Abandon() { t.post(scheduler.Abandon{ID: t.id}) }

// Finish ends a dispatched request.
func (t *Ticket) Finish(f scheduler.Finish) {
	f.ID = t.id
	t.post(f)
}

// post queues an event of the request. The ring can't be full, since it keeps room for eventsPerTicket events
// of every admitted request.
func (t *Ticket) post(e scheduler.Event) {
	_ = t.worker.inputs.Offer(input{event: e})
}
