package ledger

import (
	"fmt"
	"time"
)

// Codes of the errors. They are stable: they travel between instances and stand in metrics.
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

// InvalidKeyError reports a key that this owner did not issue to the workspace. A forged key and one of another
// workspace give the same error, so that it does not tell whether a key exists. No request of this workspace has
// begun or can begin under such a key.
type InvalidKeyError struct{}

func (e *InvalidKeyError) Error() string { return "ledger: the key was not issued to this workspace" }

// Code returns the stable code.
func (e *InvalidKeyError) Code() string { return CodeInvalidKey }

// WrongOwnerError reports a key that names another owner.
type WrongOwnerError struct{ Owner string }

func (e *WrongOwnerError) Error() string {
	return fmt.Sprintf("ledger: the key belongs to owner %q", e.Owner)
}

// Code returns the stable code.
func (e *WrongOwnerError) Code() string { return CodeWrongOwner }

// ExpiredError reports a key past its expiry of which nothing is stored any more.
type ExpiredError struct{ Expiry time.Time }

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("ledger: the key expired at %s", e.Expiry.UTC().Format(time.RFC3339))
}

// Code returns the stable code.
func (e *ExpiredError) Code() string { return CodeExpired }

// LostError reports a key issued before the owner lost its disk: whether it began is undetermined for ever.
type LostError struct{}

func (e *LostError) Error() string { return "ledger: the owner has lost the disk that knew this key" }

// Code returns the stable code.
func (e *LostError) Code() string { return CodeLost }

// StaleError reports a fence that is not the current one of the key: the key was claimed anew, released or
// finished, or the owner was restarted. It does not tell whether the key began under another fence.
type StaleError struct{ Fence Fence }

func (e *StaleError) Error() string {
	return fmt.Sprintf("ledger: the claim %d.%d does not hold the key", e.Fence.Epoch, e.Fence.Generation)
}

// Code returns the stable code.
func (e *StaleError) Code() string { return CodeStale }

// MismatchError reports a key that is in use for a request with another body or route.
type MismatchError struct{}

func (e *MismatchError) Error() string { return "ledger: the key is in use for another request" }

// Code returns the stable code.
func (e *MismatchError) Code() string { return CodeMismatch }

// FinishedError reports an outcome that contradicts the stored one, which stays.
type FinishedError struct{ Outcome Outcome }

func (e *FinishedError) Error() string {
	return fmt.Sprintf("ledger: the outcome is already %s", e.Outcome)
}

// Code returns the stable code.
func (e *FinishedError) Code() string { return CodeFinished }

// LimitError reports a workspace that has as many live keys as it may have at present.
type LimitError struct {
	Workspace string
	Limit     int // keys
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("ledger: workspace %q may have %d live keys at present", e.Workspace, e.Limit)
}

// Code returns the stable code.
func (e *LimitError) Code() string { return CodeLimit }

// UnavailableError reports that the owner's journal accepts no more records.
type UnavailableError struct{ Err error }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("ledger: the owner's journal accepts no records: %v", e.Err)
}

// Unwrap returns the journal's error.
func (e *UnavailableError) Unwrap() error { return e.Err }

// Code returns the stable code.
func (e *UnavailableError) Code() string { return CodeUnavailable }

// InvalidRequestError reports a field with a value out of bounds.
type InvalidRequestError struct{ Field string }

func (e *InvalidRequestError) Error() string { return fmt.Sprintf("ledger: invalid %s", e.Field) }

// Code returns the stable code.
func (e *InvalidRequestError) Code() string { return CodeInvalidRequest }

// RecordError reports a stored record or snapshot that this version cannot read. Starting without it could grant
// a key twice, so it is never skipped.
type RecordError struct {
	Version uint64 // of the record, 0 when unknown
	Err     error  // nil when only the version is unknown
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("ledger: unreadable record of version %d: %v", e.Version, e.Err)
}

// Unwrap returns the decoder's error.
func (e *RecordError) Unwrap() error { return e.Err }

// Code returns the stable code.
func (e *RecordError) Code() string { return CodeRecord }
