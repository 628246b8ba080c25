package ledger

import "time"

// Complete stores an outcome and returns its record, which must be synced before the outcome is acknowledged.
// Storing the same outcome again returns no record and no error. OutcomeUndetermined may be replaced by
// OutcomeAnswered; all other outcomes are final.
//
// OutcomeNotRun finishes the key, which is never granted again, so that an instance may report not-run to its
// caller. The caller needs a new key to retry. The outcome is accepted from the current holder before a
// begin, and from the holder that began the key and knows that no byte was sent.
//
// It returns *InvalidKeyError, *WrongOwnerError, *LostError, *StaleError, *FinishedError, *ExpiredError,
// *UnavailableError or *InvalidRequestError.
func (l *Ledger) Complete(now time.Time, r CompleteRequest) ([]byte, error) {
	l.advanceTime(now)
	if err := r.validate(); err != nil {
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
		return l.storeOutcome(parts.ID, e, r)
	}
	if data, err := l.checkExpiry(parts.Expiry); err != nil {
		l.removeClaim(parts.ID)
		return data, err
	}
	c, err := l.currentClaim(parts.ID, r.Fence, r.Holder)
	if err != nil {
		return nil, err
	}
	if r.Outcome != OutcomeNotRun {
		return nil, &StaleError{Fence: r.Fence} // All other outcomes require a begin.
	}
	e := c.newEntry(r.Fence)
	e.outcome = OutcomeNotRun
	return l.store(parts.ID, e)
}

// validate checks the outcome and that only an answered request has a response.
func (r CompleteRequest) validate() error {
	switch {
	case !r.Outcome.valid():
		return &InvalidRequestError{Field: "outcome"}
	case r.Response != nil && r.Outcome != OutcomeAnswered:
		return &InvalidRequestError{Field: "response"}
	}
	return nil
}

// storeOutcome stores the outcome of a key that has an entry.
func (l *Ledger) storeOutcome(id ID, e *entry, r CompleteRequest) ([]byte, error) {
	if !e.mayComplete(r) {
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

// mayComplete reports whether r is accepted. It accepts any outcome from the holder that began the key, also
// after a restart of the owner, and OutcomeAnswered from an instance that resumed the engine's stream. Only
// the holder can know that no byte was sent.
func (e *entry) mayComplete(r CompleteRequest) bool {
	if r.Fence == e.fence && r.Holder == e.holder.Value() {
		return true
	}
	resumed := r.Fence == Fence{} && r.RequestID != "" && r.RequestID == e.requestID
	return resumed && r.Outcome == OutcomeAnswered
}

// store replaces the claim or entry of a key with e and returns the record of e.
func (l *Ledger) store(id ID, e *entry) ([]byte, error) {
	data, err := l.encodeRecord(record{Entry: e.toStoredEntry(id)})
	if err != nil {
		return nil, err
	}
	delete(l.claims, id) // The usage of the workspace still includes the key.
	e.recordNumber = l.recordsWritten
	l.insertEntry(id, e)
	return data, nil
}

// insertEntry inserts or replaces an entry that the usage of its workspace already includes.
func (l *Ledger) insertEntry(id ID, e *entry) {
	// The response is added first, so that eviction cannot reach the entry's own response before it is
	// counted.
	l.addStoredResponse(id, e)
	if _, found := l.keys[id]; !found {
		minute := l.removalMinute(e.expiry)
		l.removals[minute] = append(l.removals[minute], id)
	}
	l.keys[id] = e
}
