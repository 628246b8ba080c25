package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Names of the headers that callers send and receive.
const (
	HeaderRequestID      = "Primrosebeam-Request-Id"
	HeaderOutcome        = "Primrosebeam-Outcome"
	HeaderLabels         = "Primrosebeam-Labels"
	HeaderTier           = "Primrosebeam-Tier"
	HeaderDataCentre     = "Primrosebeam-Data-Centre"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Outcome states whether the request of a caller ran.
type Outcome string

// Outcomes of a request.
const (
	OutcomeAnswered     Outcome = "answered"     // the response is the engine's complete response
	OutcomeNotRun       Outcome = "not-run"      // the request did not run and will not run
	OutcomeUndetermined Outcome = "undetermined" // the request may have run
)

// problemTypePrefix is the prefix of the stable type URNs of problem documents.
const problemTypePrefix = "urn:primrosebeam:problem:"

// Problem is an error response in the form of an RFC 9457 problem document.
type Problem struct {
	Type       string        `json:"type"`
	Title      string        `json:"title"`
	Status     int           `json:"status"`
	Detail     string        `json:"detail,omitempty"`
	RequestID  string        `json:"requestId,omitempty"`
	Outcome    Outcome       `json:"outcome"`
	RetryAfter time.Duration `json:"-"`
}

func (p *Problem) Error() string { return p.Type + ": " + p.Detail }

func newProblem(status int, name, title string, outcome Outcome) Problem {
	return Problem{Type: problemTypePrefix + name, Title: title, Status: status, Outcome: outcome}
}

// Problems that the handler responds with.
var (
	problemInvalidToken        = newProblem(http.StatusUnauthorized, "bad-token", "The bearer token is missing or unknown.", OutcomeNotRun)
	problemNoRoute             = newProblem(http.StatusNotFound, "unknown-service", "No service has a route for this method and path.", OutcomeNotRun)
	problemInvalidPath         = newProblem(http.StatusBadRequest, "bad-path", "The path has empty or dot segments.", OutcomeNotRun)
	problemMethodNotAllowed    = newProblem(http.StatusMethodNotAllowed, "method-not-allowed", "The route does not take this method.", OutcomeNotRun)
	problemInvalidLabels       = newProblem(http.StatusBadRequest, "bad-labels", "The request labels are malformed or out of bounds.", OutcomeNotRun)
	problemUnknownTier         = newProblem(http.StatusBadRequest, "bad-tier", "The requested tier does not exist.", OutcomeNotRun)
	problemInvalidBody         = newProblem(http.StatusBadRequest, "bad-body", "The request body is malformed.", OutcomeNotRun)
	problemBodyTooLarge        = newProblem(http.StatusRequestEntityTooLarge, "body-too-large", "The request body is larger than allowed.", OutcomeNotRun)
	problemBodyTimeout         = newProblem(http.StatusRequestTimeout, "body-timeout", "The request body came too slowly.", OutcomeNotRun)
	problemNotReady            = newProblem(http.StatusServiceUnavailable, "not-ready", "The instance has no configuration yet or is stopping.", OutcomeNotRun)
	problemOverloaded          = newProblem(http.StatusServiceUnavailable, "overloaded", "The request was given up on because of load.", OutcomeNotRun)
	problemNoEngine            = newProblem(http.StatusServiceUnavailable, "no-engine", "No engine can take the request.", OutcomeNotRun)
	problemDeadlineUnreachable = newProblem(http.StatusGatewayTimeout, "deadline", "The deadline can no longer be met.", OutcomeNotRun)
	problemForeignKey          = newProblem(http.StatusBadRequest, "foreign-key", "The idempotency key was not issued to this workspace.", OutcomeNotRun)
	problemNoLedger            = newProblem(http.StatusNotImplemented, "no-ledger", "No instance keeps idempotency keys.", OutcomeNotRun)
	problemTooManyKeys         = newProblem(http.StatusTooManyRequests, "too-many-keys", "The workspace has too many live keys.", OutcomeNotRun)
	problemKeyFinished         = newProblem(http.StatusConflict, "key-finished", "The key was finished without running.", OutcomeNotRun)
	problemKeyReused           = newProblem(http.StatusUnprocessableEntity, "key-reused", "The key is in use for another request.", OutcomeUndetermined)
	problemKeyExpired          = newProblem(http.StatusGone, "key-expired", "The key has expired.", OutcomeUndetermined)
	problemSuperseded          = newProblem(http.StatusConflict, "superseded", "Another attempt holds the key.", OutcomeUndetermined)
	problemInProgress          = newProblem(http.StatusConflict, "in-progress", "An earlier attempt under the key is still running.", OutcomeUndetermined)
	problemUndetermined        = newProblem(http.StatusConflict, "undetermined", "It cannot be known whether the request ran.", OutcomeUndetermined)
	problemLedgerUnavailable   = newProblem(http.StatusServiceUnavailable, "ledger-unavailable", "The owner of the key cannot be asked.", OutcomeUndetermined)
	problemResponseNotKept     = newProblem(http.StatusConflict, "answer-not-kept", "The request ran and was answered; the answer is no longer kept.", OutcomeAnswered)
	problemDeadlinePassed      = newProblem(http.StatusGatewayTimeout, "late", "The engine did not begin to answer before the deadline.", OutcomeUndetermined)
	problemBrokenResponse      = newProblem(http.StatusBadGateway, "broken-answer", "The engine's answer broke off or was not its own.", OutcomeUndetermined)
)

// with returns a copy of the problem with the given detail.
func (p Problem) with(detail string) *Problem {
	p.Detail = detail
	return &p
}

func writeProblem(w http.ResponseWriter, requestID string, p *Problem) {
	document := *p
	document.RequestID = requestID
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set(HeaderRequestID, requestID)
	header.Set(HeaderOutcome, string(p.Outcome))
	if p.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(document)
}
