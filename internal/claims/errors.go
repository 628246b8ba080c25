package claims

import (
	"errors"
	"fmt"
)

// Codes of the errors of this package. They are stable: they travel between instances and stand in metrics.
const (
	CodeBusy        = "claims.busy"
	CodeClosed      = "claims.closed"
	CodeUnreachable = "claims.unreachable"
	CodeNoOwner     = "claims.no-owner"
	CodeInvalid     = "claims.invalid-message"
)

// BusyError reports that too many requests wait for the owner. The request had no effect.
type BusyError struct{ Owner string }

func (e *BusyError) Error() string {
	return fmt.Sprintf("claims: too many requests wait for owner %q", e.Owner)
}

// Code returns the stable code.
func (e *BusyError) Code() string { return CodeBusy }

// ClosedError reports an owner that is stopping. The request had no effect.
type ClosedError struct{ Owner string }

func (e *ClosedError) Error() string { return fmt.Sprintf("claims: owner %q is stopping", e.Owner) }

// Code returns the stable code.
func (e *ClosedError) Code() string { return CodeClosed }

// UnreachableError reports a request without an answer. When MayHaveArrived is false, the owner has not seen it and
// never will; otherwise it may take effect at any time.
type UnreachableError struct {
	Owner          string
	MayHaveArrived bool
	Err            error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("claims: no answer from owner %q (may have arrived: %t): %v", e.Owner, e.MayHaveArrived, e.Err)
}

// Unwrap returns the link's or the context's error.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Code returns the stable code.
func (e *UnreachableError) Code() string { return CodeUnreachable }

// NoOwnerError reports that no owner could issue keys.
type NoOwnerError struct{ Err error } // from the last owner tried; nil when there is none

func (e *NoOwnerError) Error() string {
	return fmt.Sprintf("claims: no ledger owner can issue keys at present: %v", e.Err)
}

// Unwrap returns the error of the last owner tried.
func (e *NoOwnerError) Unwrap() error { return e.Err }

// Code returns the stable code.
func (e *NoOwnerError) Code() string { return CodeNoOwner }

// InvalidMessageError reports a message that does not decode.
type InvalidMessageError struct{ Err error }

func (e *InvalidMessageError) Error() string {
	return fmt.Sprintf("claims: invalid message: %v", e.Err)
}

// Unwrap returns the decoder's error.
func (e *InvalidMessageError) Unwrap() error { return e.Err }

// Code returns the stable code.
func (e *InvalidMessageError) Code() string { return CodeInvalid }

// code returns the stable code of an error, or "other".
func code(err error) string {
	if err == nil {
		return "ok"
	}
	var coded interface{ Code() string }
	if errors.As(err, &coded) {
		return coded.Code()
	}
	return "other"
}
