package dispatch

import "github.com/primrosebeam/primrosebeam/scheduler"

// Ticket is a request handler's hold on its request in the scheduler.
type Ticket struct {
	id         scheduler.RequestID
	duty       *Worker
	decisions  chan Decision // one place: the next decision follows only after Refused was reported
	dispatched bool          // owned by the duty
}

// Decisions delivers the scheduler's decisions: one after Submit, and one after each Refused.
func (t *Ticket) Decisions() <-chan Decision { return t.decisions }

// BytesSent reports that the first byte may have reached the engine. It needs to be told only before
// Refused: FirstToken and Finish imply it.
func (t *Ticket) BytesSent() { t.post(scheduler.BytesSent{ID: t.id}) }

// Refused reports that the dispatch ended before any byte was sent, or, on a route that allows
// redispatch, that the attempt is known to have ended.
func (t *Ticket) Refused() { t.post(scheduler.Refused{ID: t.id}) }

// FirstToken reports the first byte of the answer.
func (t *Ticket) FirstToken() { t.post(scheduler.FirstToken{ID: t.id}) }

// Progress reports output tokens. It is a measurement and is dropped when the ring is nearly full.
func (t *Ticket) Progress(tokens int) {
	_ = t.duty.Post(scheduler.Progress{ID: t.id, Tokens: tokens})
}

// Abandon reports that the caller of a waiting request has gone. One decision still follows:
// when it is a dispatch that crossed the Abandon, the request must be ended by Finish.
func (t *Ticket) Abandon() { t.post(scheduler.Abandon{ID: t.id}) }

// Finish ends a dispatched request.
func (t *Ticket) Finish(f scheduler.Finish) {
	f.ID = t.id
	t.post(f)
}

// post cannot meet a full ring: eventsPerTicket places are kept for every admitted request.
func (t *Ticket) post(e scheduler.Event) {
	_ = t.duty.inputs.Offer(input{event: e})
}
