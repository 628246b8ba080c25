package ledger

import (
	"errors"
	"time"
	"unique"
)

// Claim grants the key to the holder under a new generation, which makes the fence of an earlier claim stale. When
// the key has begun or finished, the grant says so instead. The earlier holder may be alive and waiting: the owner
// cannot tell, and a dead one must not block the key.
//
// The returned record, if any, must be synced before the error is told.
// It returns *InvalidKeyError, *WrongOwnerError, *MismatchError, *ExpiredError, *LimitError, *UnavailableError or
// *InvalidRequestError.
func (l *Ledger) Claim(now time.Time, r ClaimRequest) (Grant, []byte, error) {
	l.advance(now)
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
	if data, err := l.expired(parts.Expiry); err != nil {
		l.dropClaim(parts.ID)
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

func (l *Ledger) grant(parts KeyParts, r ClaimRequest) (Fence, error) {
	previous, found := l.claims[parts.ID]
	if found && previous.fingerprint != r.Fingerprint {
		return Fence{}, &MismatchError{}
	}
	owner := previous.workspace
	if !found {
		admitted, err := l.admit(parts.Workspace)
		if err != nil {
			return Fence{}, err
		}
		owner = admitted
	}
	l.generation++
	l.claims[parts.ID] = claim{
		generation:  l.generation,
		holder:      unique.Make(r.Holder),
		fingerprint: r.Fingerprint,
		expiry:      parts.Expiry.UnixMilli(),
		claimedAt:   l.highest,
		workspace:   owner,
	}
	return Fence{Epoch: l.epoch, Generation: l.generation}, nil
}

// held returns the claim of a key when the fence and the holder are its current ones.
func (l *Ledger) held(id ID, fence Fence, holder string) (claim, error) {
	c, found := l.claims[id]
	current := found && fence.Epoch == l.epoch && fence.Generation == c.generation && holder == c.holder.Value()
	if !current {
		return claim{}, &StaleError{Fence: fence}
	}
	return c, nil
}

// Begin accepts the begin of the current holder and returns the record of it. Only after the record is synced may
// the begin be acknowledged; from now on the key is never granted again. A repeated message of the accepted begin
// gives no record and no error, and must be acknowledged only after the record of the first one is synced.
// It returns *InvalidKeyError, *WrongOwnerError, *LostError, *StaleError, *ExpiredError, *UnavailableError or
// *InvalidRequestError.
func (l *Ledger) Begin(now time.Time, r BeginRequest) ([]byte, error) {
	l.advance(now)
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
		return nil, e.repeats(r)
	}
	c, err := l.held(parts.ID, r.Fence, r.Holder)
	if err != nil {
		return nil, err
	}
	if data, err := l.expired(parts.Expiry); err != nil {
		l.dropClaim(parts.ID)
		return data, err
	}
	e := c.entry(r.Fence)
	e.engine = unique.Make(r.Engine)
	e.requestID = r.RequestID
	return l.store(parts.ID, e)
}

func (c claim) entry(fence Fence) *entry {
	return &entry{
		fence:       fence,
		fingerprint: c.fingerprint,
		expiry:      c.expiry,
		workspace:   c.workspace,
		holder:      c.holder,
		engine:      unique.Make(""),
	}
}

// repeats returns nil when r is the message that began the key and the key is still in progress.
func (e *entry) repeats(r BeginRequest) error {
	same := e.outcome == OutcomeNone && e.fence == r.Fence && e.holder.Value() == r.Holder &&
		e.engine.Value() == r.Engine && e.requestID == r.RequestID
	if !same {
		return &StaleError{Fence: r.Fence}
	}
	return nil
}

// Release gives a claim back. It is not a promise about the request: another instance may claim the key next. To
// tell a caller not-run, an instance completes the key with OutcomeNotRun instead.
// It returns *InvalidKeyError, *WrongOwnerError, *LostError or *StaleError.
func (l *Ledger) Release(now time.Time, r ReleaseRequest) error {
	l.advance(now)
	parts, err := l.verify(r.Key, r.Workspace)
	if err != nil {
		return err
	}
	if _, err := l.held(parts.ID, r.Fence, r.Holder); err != nil {
		return err
	}
	l.dropClaim(parts.ID)
	return nil
}

// Lookup returns what is known about a key. Outcomes that are not synced yet are not told.
// The returned record, if any, must be synced before the error is told.
// It returns *InvalidKeyError, *WrongOwnerError, *ExpiredError or *UnavailableError.
func (l *Ledger) Lookup(now time.Time, r LookupRequest) (Status, []byte, error) {
	l.advance(now)
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
	if data, err := l.expired(parts.Expiry); err != nil {
		return Status{}, data, err
	}
	if c, found := l.claims[parts.ID]; found {
		return Status{State: StateClaimed, Holder: c.holder.Value()}, nil, nil
	}
	return Status{State: StateUnused}, nil, nil
}

// status tells only what is synced: an outcome could vanish in a crash before its sync, and the key of a
// vanished not-run could be claimed again.
func (l *Ledger) status(e *entry) Status {
	s := Status{
		State:     StateInProgress,
		Holder:    e.holder.Value(),
		Engine:    e.engine.Value(),
		RequestID: e.requestID,
	}
	pending := e.number > l.committed
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
