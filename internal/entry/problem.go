package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Headers that callers send and receive.
const (
	HeaderRequestID      = "Primrosebeam-Request-Id"
	HeaderOutcome        = "Primrosebeam-Outcome"
	HeaderLabels         = "Primrosebeam-Labels"
	HeaderTier           = "Primrosebeam-Tier"
	HeaderDataCentre     = "Primrosebeam-Data-Centre"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Outcome tells a caller whether its request ran.
type Outcome string

// Outcomes of a request.
const (
	OutcomeAnswered     Outcome = "answered"     // the engine's whole answer
	OutcomeNotRun       Outcome = "not-run"      // it did not run and will not
	OutcomeUndetermined Outcome = "undetermined" // it may have run
)

// problemTypePrefix makes the stable types of problem documents.
const problemTypePrefix = "urn:primrosebeam:problem:"

// Problem is an error answer as an RFC 9457 problem document.
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

// Problems that callers can meet.
var (
	problemToken         = newProblem(http.StatusUnauthorized, "bad-token", "The bearer token is missing or unknown.", OutcomeNotRun)
	problemNoRoute       = newProblem(http.StatusNotFound, "unknown-service", "No service has a route for this method and path.", OutcomeNotRun)
	problemPath          = newProblem(http.StatusBadRequest, "bad-path", "The path has empty or dot segments.", OutcomeNotRun)
	problemMethod        = newProblem(http.StatusMethodNotAllowed, "method-not-allowed", "The route does not take this method.", OutcomeNotRun)
	problemLabels        = newProblem(http.StatusBadRequest, "bad-labels", "The request labels are malformed or out of bounds.", OutcomeNotRun)
	problemTier          = newProblem(http.StatusBadRequest, "bad-tier", "The requested tier does not exist.", OutcomeNotRun)
	problemBody          = newProblem(http.StatusBadRequest, "bad-body", "The request body is malformed.", OutcomeNotRun)
	problemBodyTooLarge  = newProblem(http.StatusRequestEntityTooLarge, "body-too-large", "The request body is larger than allowed.", OutcomeNotRun)
	problemBodyTimeout   = newProblem(http.StatusRequestTimeout, "body-timeout", "The request body came too slowly.", OutcomeNotRun)
	problemNotReady      = newProblem(http.StatusServiceUnavailable, "not-ready", "The instance has no configuration yet or is stopping.", OutcomeNotRun)
	problemOverloaded    = newProblem(http.StatusServiceUnavailable, "overloaded", "The request was given up on because of load.", OutcomeNotRun)
	problemNoEngine      = newProblem(http.StatusServiceUnavailable, "no-engine", "No engine can take the request.", OutcomeNotRun)
	problemDeadline      = newProblem(http.StatusGatewayTimeout, "deadline", "The deadline can no longer be met.", OutcomeNotRun)
	problemForeignKey    = newProblem(http.StatusBadRequest, "foreign-key", "The idempotency key was not issued to this workspace.", OutcomeNotRun)
	problemNoLedger      = newProblem(http.StatusNotImplemented, "no-ledger", "No instance keeps idempotency keys.", OutcomeNotRun)
	problemTooManyKeys   = newProblem(http.StatusTooManyRequests, "too-many-keys", "The workspace has too many live keys.", OutcomeNotRun)
	problemKeyFinished   = newProblem(http.StatusConflict, "key-finished", "The key was finished without running.", OutcomeNotRun)
	problemKeyReused     = newProblem(http.StatusUnprocessableEntity, "key-reused", "The key is in use for another request.", OutcomeUndetermined)
	problemKeyExpired    = newProblem(http.StatusGone, "key-expired", "The key has expired.", OutcomeUndetermined)
	problemSuperseded    = newProblem(http.StatusConflict, "superseded", "Another attempt holds the key.", OutcomeUndetermined)
	problemInProgress    = newProblem(http.StatusConflict, "in-progress", "An earlier attempt under the key is still running.", OutcomeUndetermined)
	problemUndetermined  = newProblem(http.StatusConflict, "undetermined", "It cannot be known whether the request ran.", OutcomeUndetermined)
	problemLedger        = newProblem(http.StatusServiceUnavailable, "ledger-unavailable", "The owner of the key cannot be asked.", OutcomeUndetermined)
	problemAnswerNotKept = newProblem(http.StatusConflict, "answer-not-kept", "The request ran and was answered; the answer is no longer kept.", OutcomeAnswered)
	problemLate          = newProblem(http.StatusGatewayTimeout, "late", "The engine did not begin to answer before the deadline.", OutcomeUndetermined)
	problemBroken        = newProblem(http.StatusBadGateway, "broken-answer", "The engine's answer broke off or was not its own.", OutcomeUndetermined)
)

// with returns a copy of the problem with details.
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
