package routing

import "fmt"

// Reason is the reason why a document is invalid.
type Reason string

// Reasons reported by DocumentError.
const (
	ReasonUnknownService   Reason = "a target names a service that does not exist"
	ReasonDuplicateService Reason = "two services have this name"
	ReasonDuplicateRoute   Reason = "another route has the same host and prefix"
	ReasonInvalidWeights   Reason = "the weights add up to 0 or one is negative"
	ReasonInvalidTimeout   Reason = "the timeout is not positive"
	ReasonInvalidPrefix    Reason = "the prefix does not begin and end with a slash"
	ReasonSharedKey        Reason = "another workspace has the same key"
)

// DocumentError reports an invalid document. It names a route, service or workspace, never a key.
type DocumentError struct {
	Reason  Reason
	Subject string
}

func (e *DocumentError) Error() string { return fmt.Sprintf("routing: %q: %s", e.Subject, e.Reason) }
