// Package upstream is the HTTP client towards engines. It never sends a request twice: the
// standard transport's own retries are ruled out, and it tells exactly whether a byte may have
// reached an engine.
package upstream

import "fmt"

// NotSentError reports that no byte of the request reached the engine.
type NotSentError struct {
	Engine string
	Cause  error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("upstream: nothing sent to %q: %v", e.Engine, e.Cause)
}

func (e *NotSentError) Unwrap() error { return e.Cause }

// BeforeSendError reports that the permission to send was not given, so that nothing was sent.
type BeforeSendError struct {
	Engine string
	Cause  error
}

func (e *BeforeSendError) Error() string {
	return fmt.Sprintf("upstream: dispatch to %q not permitted: %v", e.Engine, e.Cause)
}

func (e *BeforeSendError) Unwrap() error { return e.Cause }

// IncompleteResponseError reports that the engine may have seen the request, and that no whole answer came.
type IncompleteResponseError struct {
	Engine string
	Cause  error
}

func (e *IncompleteResponseError) Error() string {
	return fmt.Sprintf("upstream: answer of %q broke off: %v", e.Engine, e.Cause)
}

func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

// MismatchError reports an answer that belongs to another request. It was discarded.
type MismatchError struct {
	Engine string
	Want   string // request ID
	Got    string
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("upstream: %q answered request %q in place of %q", e.Engine, e.Got, e.Want)
}

// TooLargeError reports an event or answer beyond its bound.
type TooLargeError struct {
	Limit int // bytes
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("upstream: larger than %d bytes", e.Limit)
}

// UnexpectedEndError reports a stream that ended before its last event.
type UnexpectedEndError struct{}

func (e *UnexpectedEndError) Error() string { return "upstream: stream ended before its last event" }

// StatusError reports an HTTP status that the call does not expect.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string { return fmt.Sprintf("upstream: status %d", e.Status) }
