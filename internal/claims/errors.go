package claims

import (
	"errors"
	"fmt"
)

// Codes of the errors of this package. They are stable, because they are sent between instances and used as
// metric labels.
const (
	CodeBusy        = "claims.busy"
	CodeClosed      = "claims.closed"
	CodeUnreachable = "claims.unreachable"
	CodeNoOwner     = "claims.no-owner"
	CodeInvalid     = "claims.invalid-message"
)

// BusyError reports that the queue of the owner is full. The request had no effect.
type BusyError struct{ Owner string }

func (e *BusyError) Error() string {
	return fmt.Sprintf("claims: request queue of owner %q is full", e.Owner)
}

// Code returns the stable error code.
func (e *BusyError) Code() string { return CodeBusy }

// ClosedError reports an owner that is stopping. The request had no effect.
type ClosedError struct{ Owner string }

func (e *ClosedError) Error() string { return fmt.Sprintf("claims: owner %q is stopping", e.Owner) }

// Code returns the stable error code.
func (e *ClosedError) Code() string { return CodeClosed }

// UnreachableError reports a request without a reply. If MayHaveArrived is false, the owner did not receive
// the request and never will; otherwise the request may take effect at any time.
type UnreachableError struct {
	Owner          string
	MayHaveArrived bool
	Err            error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("claims: no reply from owner %q (may have arrived: %t): %v", e.Owner, e.MayHaveArrived, e.Err)
}

// Unwrap returns the error of the link or the context.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Code returns the stable error code.
func (e *UnreachableError) Code() string { return CodeUnreachable }

// NoOwnerError reports that no owner could issue keys.
type NoOwnerError struct{ Err error } // error of the last owner tried, nil if there is no owner

func (e *NoOwnerError) Error() string {
	return fmt.Sprintf("claims: no ledger owner can issue keys: %v", e.Err)
}

// Unwrap returns the error of the last owner tried.
func (e *NoOwnerError) Unwrap() error { return e.Err }

// Code returns the stable error code.
func (e *NoOwnerError) Code() string { return CodeNoOwner }

// InvalidMessageError reports a message that cannot be decoded.
type InvalidMessageError struct{ Err error }

func (e *InvalidMessageError) Error() string {
	return fmt.Sprintf("claims: invalid message: %v", e.Err)
}

// Unwrap returns the error of the decoder.
func (e *InvalidMessageError) Unwrap() error { return e.Err }

// Code returns the stable error code.
func (e *InvalidMessageError) Code() string { return CodeInvalid }

// code returns the stable code of an error, "ok" for nil, or "other" for an error without a code.
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
