package claims

import (
	"errors"
	"fmt"

	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/ledger"
)

// convertLinkError converts an error of a link.Caller to the error that a local owner would have returned, or
// to *UnreachableError.
func convertLinkError(err error, owner string, request any, key ledger.Key) error {
	var remote *link.RemoteError
	if errors.As(err, &remote) {
		return convertRemoteError(remote, owner, request, key)
	}
	var unknown *link.UnknownPeerError
	var full *link.FullError
	if errors.As(err, &unknown) || errors.As(err, &full) {
		return &UnreachableError{Owner: owner, Err: err}
	}
	var unreachable *link.UnreachableError
	if errors.As(err, &unreachable) {
		return &UnreachableError{Owner: owner, MayHaveArrived: unreachable.Sent, Err: err}
	}
	return &UnreachableError{Owner: owner, MayHaveArrived: true, Err: err}
}

// convertRemoteError restores the type of an owner's error from its code. Fields that the reply does not
// contain are taken from the request.
func convertRemoteError(remote *link.RemoteError, owner string, request any, key ledger.Key) error {
	parts, _ := key.Parse() // A mint request has no key; the cases that use parts need one.
	switch remote.Code {
	case ledger.CodeInvalidKey:
		return &ledger.InvalidKeyError{}
	case ledger.CodeWrongOwner:
		return &ledger.WrongOwnerError{Owner: parts.Owner}
	case ledger.CodeExpired:
		return &ledger.ExpiredError{Expiry: parts.Expiry}
	case ledger.CodeLost:
		return &ledger.LostError{}
	case ledger.CodeStale:
		return &ledger.StaleError{Fence: fenceOf(request)}
	case ledger.CodeMismatch:
		return &ledger.MismatchError{}
	case ledger.CodeFinished:
		return &ledger.FinishedError{}
	case ledger.CodeLimit:
		return &ledger.LimitError{Workspace: parts.Workspace}
	case ledger.CodeUnavailable:
		return &ledger.UnavailableError{Err: remote}
	case ledger.CodeInvalidRequest:
		return &ledger.InvalidRequestError{Field: remote.Detail}
	case CodeBusy:
		return &BusyError{Owner: owner}
	case CodeClosed:
		return &ClosedError{Owner: owner}
	}
	// The owner stopped waiting for its worker, or runs another version: the request may have taken effect.
	return &UnreachableError{Owner: owner, MayHaveArrived: true, Err: remote}
}

// fenceOf returns the fence of a request, or a zero fence if the request has none.
func fenceOf(request any) ledger.Fence {
	switch r := request.(type) {
	case ledger.BeginRequest:
		return r.Fence
	case ledger.ReleaseRequest:
		return r.Fence
	case ledger.CompleteRequest:
		return r.Fence
	}
	return ledger.Fence{}
}

func clientErrorMetric(kind link.Kind, err error) string {
	return fmt.Sprintf("primrosebeam_ledger_client_errors_total{kind=%q,code=%q}", kind, code(err))
}
