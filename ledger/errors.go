package ledger

import (
	"fmt"
	"time"
)

// Codes of the errors. They are stable, because they are sent between instances and used as metric labels.
const (
	CodeInvalidKey     = "ledger.invalid-key"
	CodeWrongOwner     = "ledger.wrong-owner"
	CodeExpired        = "ledger.expired"
	CodeLost           = "ledger.lost"
	CodeStale          = "ledger.stale"
	CodeMismatch       = "ledger.mismatch"
	CodeFinished       = "ledger.finished"
	CodeLimit          = "ledger.limit"
	CodeUnavailable    = "ledger.unavailable"
	CodeInvalidRequest = "ledger.invalid-request"
	CodeRecord         = "ledger.record"
)

// InvalidKeyError reports a key that this owner did not issue to the workspace. A forged key and a key of
// another workspace give the same error, so that the error does not reveal whether a key exists. No request
// of this workspace has begun or can begin under such a key.
type InvalidKeyError struct{}

func (e *InvalidKeyError) Error() string { return "ledger: the key was not issued to this workspace" }

// Code returns the stable error code.
func (e *InvalidKeyError) Code() string { return CodeInvalidKey }

// WrongOwnerError reports a key that was issued by another owner.
type WrongOwnerError struct{ Owner string }

func (e *WrongOwnerError) Error() string {
	return fmt.Sprintf("ledger: the key belongs to owner %q", e.Owner)
}

// Code returns the stable error code.
func (e *WrongOwnerError) Code() string { return CodeWrongOwner }

// ExpiredError reports a key that has expired and for which no state is stored.
type ExpiredError struct{ Expiry time.Time }

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("ledger: the key expired at %s", e.Expiry.UTC().Format(time.RFC3339))
}

// Code returns the stable error code.
func (e *ExpiredError) Code() string { return CodeExpired }

// LostError reports a key issued before the owner lost its disk. Whether the key began can never be
// determined.
type LostError struct{}

func (e *LostError) Error() string {
	return "ledger: the owner lost the disk that stored the state of this key"
}

// Code returns the stable error code.
func (e *LostError) Code() string { return CodeLost }

// StaleError reports a fence that is not the current one of the key: the key was claimed again, released or
// finished, or the owner was restarted. The error does not indicate whether the key began under another
// fence.
type StaleError struct{ Fence Fence }

func (e *StaleError) Error() string {
	return fmt.Sprintf("ledger: claim %d.%d is not the current claim of the key", e.Fence.Epoch, e.Fence.Generation)
}

// Code returns the stable error code.
func (e *StaleError) Code() string { return CodeStale }

// MismatchError reports a key that was claimed for a request with another body or route.
type MismatchError struct{}

func (e *MismatchError) Error() string { return "ledger: the key is in use for another request" }

// Code returns the stable error code.
func (e *MismatchError) Code() string { return CodeMismatch }

// FinishedError reports an outcome that differs from the stored one. The stored outcome is unchanged.
type FinishedError struct{ Outcome Outcome }

func (e *FinishedError) Error() string {
	return fmt.Sprintf("ledger: the outcome is already %s", e.Outcome)
}

// Code returns the stable error code.
func (e *FinishedError) Code() string { return CodeFinished }

// LimitError reports a workspace that has reached its current limit of live keys.
type LimitError struct {
	Workspace string
	Limit     int // maximum number of live keys
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("ledger: workspace %q reached its current limit of %d live keys", e.Workspace, e.Limit)
}

// Code returns the stable error code.
func (e *LimitError) Code() string { return CodeLimit }

// UnavailableError reports that the journal of the owner accepts no more records.
type UnavailableError struct{ Err error }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("ledger: the owner's journal accepts no records: %v", e.Err)
}

// Unwrap returns the error of the journal.
func (e *UnavailableError) Unwrap() error { return e.Err }

// Code returns the stable error code.
func (e *UnavailableError) Code() string { return CodeUnavailable }

// InvalidRequestError reports a field with an invalid value.
type InvalidRequestError struct{ Field string }

func (e *InvalidRequestError) Error() string { return fmt.Sprintf("ledger: invalid %s", e.Field) }

// Code returns the stable error code.
func (e *InvalidRequestError) Code() string { return CodeInvalidRequest }

// RecordError reports a stored record or snapshot that this version cannot read. Such data is never skipped,
// because a start without it could grant a key twice.
type RecordError struct {
	Version uint64 // version of the record, 0 if unknown
	Err     error  // error of the decoder, nil if only the version is unsupported
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("ledger: unreadable record of version %d: %v", e.Version, e.Err)
}

// Unwrap returns the error of the decoder.
func (e *RecordError) Unwrap() error { return e.Err }

// Code returns the stable error code.
func (e *RecordError) Code() string { return CodeRecord }
