// Package upstream implements the HTTP client for engines. It never sends a request twice, and its errors state whether
// a byte may have reached an engine.
package upstream

import "fmt"

// NotSentError reports that no byte of the request reached the engine.
type NotSentError struct {
	Engine string
	Cause  error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("upstream: request not sent to engine %q: %v", e.Engine, e.Cause)
}

func (e *NotSentError) Unwrap() error { return e.Cause }

// BeforeSendError reports that Request.BeforeSend returned an error, so that nothing was sent.
type BeforeSendError struct {
	Engine string
	Cause  error
}

func (e *BeforeSendError) Error() string {
	return fmt.Sprintf("upstream: dispatch to engine %q not permitted: %v", e.Engine, e.Cause)
}

func (e *BeforeSendError) Unwrap() error { return e.Cause }

// IncompleteResponseError reports that the engine may have received the request but that no complete
// response arrived.
type IncompleteResponseError struct {
	Engine string
	Cause  error
}

func (e *IncompleteResponseError) Error() string {
	return fmt.Sprintf("upstream: incomplete response from engine %q: %v", e.Engine, e.Cause)
}

func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

// MismatchError reports a discarded response that belongs to another request.
type MismatchError struct {
	Engine string
	Want   string // request ID
	Got    string
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("upstream: response from engine %q is for request %q, want %q", e.Engine, e.Got, e.Want)
}

// TooLargeError reports an event or a load report that exceeds the size limit.
type TooLargeError struct {
	Limit int // bytes
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("upstream: event or report exceeds %d bytes", e.Limit)
}

// UnexpectedEndError reports a stream that ended before its last event.
type UnexpectedEndError struct{}

func (e *UnexpectedEndError) Error() string { return "upstream: stream ended before its last event" }

// StatusError reports an unexpected HTTP status.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string { return fmt.Sprintf("upstream: unexpected status %d", e.Status) }
