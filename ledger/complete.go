package ledger

import "time"

// Complete stores an outcome and returns its record, which must be synced before the outcome is acknowledged.
// Storing the stored outcome again gives no record and no error. An undetermined outcome may be replaced by an
// answer; no other one changes.
//
// OutcomeNotRun is final: the key is finished and never granted again, so that an instance may promise not-run to
// its caller. The caller needs a new key to try again. It is accepted from the current holder before begin and from
// the holder that began and knows that no byte was sent.
//
// It returns *InvalidKeyError, *WrongOwnerError, *LostError, *StaleError, *FinishedError, *ExpiredError,
// *UnavailableError or *InvalidRequestError.
func (l *Ledger) Complete(now time.Time, r CompleteRequest) ([]byte, error) {
	l.advance(now)
	if err := r.check(); err != nil {
		return nil, err
	}
	parts, err := l.verify(r.Key, r.Workspace)
	if err != nil {
		return nil, err
	}
	if l.failure != nil {
		return nil, &UnavailableError{Err: l.failure}
	}
	if e, found := l.keys[parts.ID]; found {
		return l.finish(parts.ID, e, r)
	}
	if data, err := l.expired(parts.Expiry); err != nil {
		l.dropClaim(parts.ID)
		return data, err
	}
	c, err := l.held(parts.ID, r.Fence, r.Holder)
	if err != nil {
		return nil, err
	}
	if r.Outcome != OutcomeNotRun {
		return nil, &StaleError{Fence: r.Fence} // Every other outcome needs a begin.
	}
	e := c.entry(r.Fence)
	e.outcome = OutcomeNotRun
	return l.store(parts.ID, e)
}

func (r CompleteRequest) check() error {
	switch {
	case !r.Outcome.valid():
		return &InvalidRequestError{Field: "outcome"}
	case r.Response != nil && r.Outcome != OutcomeAnswered:
		return &InvalidRequestError{Field: "response"}
	}
	return nil
}

func (l *Ledger) finish(id ID, e *entry, r CompleteRequest) ([]byte, error) {
	if !e.mayFinish(r) {
		return nil, &StaleError{Fence: r.Fence}
	}
	if e.outcome == r.Outcome {
		return nil, nil
	}
	replaceable := e.outcome == OutcomeNone || (e.outcome == OutcomeUndetermined && r.Outcome == OutcomeAnswered)
	if !replaceable {
		return nil, &FinishedError{Outcome: e.outcome}
	}
	changed := *e
	changed.outcome = r.Outcome
	changed.response = r.Response.Bounded(l.limits.ResponseBytes)
	return l.store(id, &changed)
}

// mayFinish accepts the holder that began, also after a restart of the owner, and an answer from an instance that
// resumed the engine's stream. Only the holder can know that no byte was sent.
func (e *entry) mayFinish(r CompleteRequest) bool {
	if r.Fence == e.fence && r.Holder == e.holder.Value() {
		return true
	}
	resumed := r.Fence == Fence{} && r.RequestID != "" && r.RequestID == e.requestID
	return resumed && r.Outcome == OutcomeAnswered
}

// store replaces the claim or entry of a key by e and returns the record of it.
func (l *Ledger) store(id ID, e *entry) ([]byte, error) {
	data, err := l.record(record{Entry: e.stored(id)})
	if err != nil {
		return nil, err
	}
	delete(l.claims, id) // The key stays counted for its workspace.
	e.number = l.written
	l.put(id, e)
	return data, nil
}

// put installs an entry whose workspace already counts it.
func (l *Ledger) put(id ID, e *entry) {
	l.addCopy(id, e) // first, so that making room cannot meet the entry's own copy before it is counted
	if _, found := l.keys[id]; !found {
		minute := l.dropMinute(e.expiry)
		l.due[minute] = append(l.due[minute], id)
	}
	l.keys[id] = e
}
