package routing

import "fmt"

// Reason tells why a document is invalid.
type Reason string

// Reasons of a FaultError.
const (
	ReasonUnknownService  Reason = "a target names a service that does not exist"
	ReasonRepeatedService Reason = "two services have this name"
	ReasonRepeatedPlace   Reason = "another route has the same host and prefix"
	ReasonNoWeight        Reason = "the weights add up to 0 or one is negative"
	ReasonNoTimeout       Reason = "the timeout is not positive"
	ReasonPrefix          Reason = "the prefix does not begin and end with a slash"
	ReasonSharedKey       Reason = "another workspace has the same key"
)

// FaultError reports an invalid document. It names a route, service or workspace, never a key.
type FaultError struct {
	Reason  Reason
	Subject string
}

func (e *FaultError) Error() string { return fmt.Sprintf("routing: %q: %s", e.Subject, e.Reason) }
