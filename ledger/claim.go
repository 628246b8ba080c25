package ledger

import (
	"errors"
	"time"
	"unique"
)

// Claim grants the key to the holder under a new generation, which makes the fence of an earlier claim stale.
// When the key has begun or finished, the returned grant contains its status instead. A claim replaces the
// claim of an earlier holder, which may still be running: the owner cannot detect that, and a failed holder
// must not block the key.
//
// The returned record, if any, must be synced before the error is returned to the holder.
// It returns *InvalidKeyError, *WrongOwnerError, *MismatchError, *ExpiredError, *LimitError,
// *UnavailableError or *InvalidRequestError.
func (l *Ledger) Claim(now time.Time, r ClaimRequest) (Grant, []byte, error) {
	l.advanceTime(now)
	if !validName(r.Holder) {
		return Grant{}, nil, &InvalidRequestError{Field: "holder"}
	}
	parts, err := l.verify(r.Key, r.Workspace)
	var lost *LostError
	if errors.As(err, &lost) {
		return Grant{Status: Status{State: StateUndetermined}}, nil, nil
	}
	if err != nil {
		return Grant{}, nil, err
	}
	if e, found := l.keys[parts.ID]; found {
		if e.fingerprint != r.Fingerprint {
			return Grant{}, nil, &MismatchError{}
		}
		return Grant{Status: l.status(e)}, nil, nil
	}
	if data, err := l.checkExpiry(parts.Expiry); err != nil {
		l.removeClaim(parts.ID)
		return Grant{}, data, err
	}
	if l.failure != nil {
		return Grant{}, nil, &UnavailableError{Err: l.failure}
	}
	fence, err := l.grant(parts, r)
	if err != nil {
		return Grant{}, nil, err
	}
	return Grant{Granted: true, Fence: fence}, nil, nil
}

// grant replaces or creates the claim of a key that has not begun.
func (l *Ledger) grant(parts KeyParts, r ClaimRequest) (Fence, error) {
	previous, found := l.claims[parts.ID]
	if found && previous.fingerprint != r.Fingerprint {
		return Fence{}, &MismatchError{}
	}
	usage := previous.workspace
	if !found {
		admitted, err := l.admitKey(parts.Workspace)
		if err != nil {
			return Fence{}, err
		}
		usage = admitted
	}
	l.generation++
	l.claims[parts.ID] = claim{
		generation:  l.generation,
		holder:      unique.Make(r.Holder),
		fingerprint: r.Fingerprint,
		expiry:      parts.Expiry.UnixMilli(),
		claimedAt:   l.highestTime,
		workspace:   usage,
	}
	return Fence{Epoch: l.epoch, Generation: l.generation}, nil
}

// currentClaim returns the claim of a key if fence and holder match it, and *StaleError otherwise.
func (l *Ledger) currentClaim(id ID, fence Fence, holder string) (claim, error) {
	c, found := l.claims[id]
	current := found && fence.Epoch == l.epoch && fence.Generation == c.generation && holder == c.holder.Value()
	if !current {
		return claim{}, &StaleError{Fence: fence}
	}
	return c, nil
}

// Begin accepts the begin of the current holder and returns its record. The begin may be acknowledged only
// after the record is synced. From this call on the key is never granted again. A repeated message of the
// accepted begin returns no record and no error; it must be acknowledged only after the record of the first
// message is synced.
// It returns *InvalidKeyError, *WrongOwnerError, *LostError, *StaleError, *ExpiredError, *UnavailableError or
// *InvalidRequestError.
func (l *Ledger) Begin(now time.Time, r BeginRequest) ([]byte, error) {
	l.advanceTime(now)
	switch {
	case !validName(r.Engine):
		return nil, &InvalidRequestError{Field: "engine"}
	case !validName(r.RequestID):
		return nil, &InvalidRequestError{Field: "request ID"}
	}
	parts, err := l.verify(r.Key, r.Workspace)
	if err != nil {
		return nil, err
	}
	if l.failure != nil {
		return nil, &UnavailableError{Err: l.failure}
	}
	if e, found := l.keys[parts.ID]; found {
		return nil, e.checkRepeatedBegin(r)
	}
	c, err := l.currentClaim(parts.ID, r.Fence, r.Holder)
	if err != nil {
		return nil, err
	}
	if data, err := l.checkExpiry(parts.Expiry); err != nil {
		l.removeClaim(parts.ID)
		return data, err
	}
	e := c.newEntry(r.Fence)
	e.engine = unique.Make(r.Engine)
	e.requestID = r.RequestID
	return l.store(parts.ID, e)
}

// newEntry returns the entry of a claimed key, without an engine.
func (c claim) newEntry(fence Fence) *entry {
	return &entry{
		fence:       fence,
		fingerprint: c.fingerprint,
		expiry:      c.expiry,
		workspace:   c.workspace,
		holder:      c.holder,
		engine:      unique.Make(""),
	}
}

// checkRepeatedBegin returns nil if r repeats the message that began the key and the key is still in
// progress, and *StaleError otherwise.
func (e *entry) checkRepeatedBegin(r BeginRequest) error {
	same := e.outcome == OutcomeNone && e.fence == r.Fence && e.holder.Value() == r.Holder &&
		e.engine.Value() == r.Engine && e.requestID == r.RequestID
	if !same {
		return &StaleError{Fence: r.Fence}
	}
	return nil
}

// Release removes a claim. It guarantees nothing about the request, because another instance may claim the
// key afterwards. Before an instance reports not-run to a caller, it must complete the key with OutcomeNotRun
// instead.
// It returns *InvalidKeyError, *WrongOwnerError, *LostError or *StaleError.
func (l *Ledger) Release(now time.Time, r ReleaseRequest) error {
	l.advanceTime(now)
	parts, err := l.verify(r.Key, r.Workspace)
	if err != nil {
		return err
	}
	if _, err := l.currentClaim(parts.ID, r.Fence, r.Holder); err != nil {
		return err
	}
	l.removeClaim(parts.ID)
	return nil
}

// Lookup returns the state of a key. It does not report outcomes that are not synced yet.
// The returned record, if any, must be synced before the error is returned to the caller.
// It returns *InvalidKeyError, *WrongOwnerError, *ExpiredError or *UnavailableError.
func (l *Ledger) Lookup(now time.Time, r LookupRequest) (Status, []byte, error) {
	l.advanceTime(now)
	parts, err := l.verify(r.Key, r.Workspace)
	var lost *LostError
	if errors.As(err, &lost) {
		return Status{State: StateUndetermined}, nil, nil
	}
	if err != nil {
		return Status{}, nil, err
	}
	if e, found := l.keys[parts.ID]; found {
		return l.status(e), nil, nil
	}
	if data, err := l.checkExpiry(parts.Expiry); err != nil {
		return Status{}, data, err
	}
	if c, found := l.claims[parts.ID]; found {
		return Status{State: StateClaimed, Holder: c.holder.Value()}, nil, nil
	}
	return Status{State: StateUnused}, nil, nil
}

// status reports only synced outcomes: a crash can lose an outcome before its sync, and a key whose not-run
// outcome was lost could be claimed again.
func (l *Ledger) status(e *entry) Status {
	s := Status{
		State:     StateInProgress,
		Holder:    e.holder.Value(),
		Engine:    e.engine.Value(),
		RequestID: e.requestID,
	}
	pending := e.recordNumber > l.recordsCommitted
	switch {
	case pending && l.failure != nil:
		s.State = StateUndetermined
	case !pending && e.outcome != OutcomeNone:
		s.State = StateFinished
		s.Outcome = e.outcome
		s.Response = e.response
	}
	return s
}
