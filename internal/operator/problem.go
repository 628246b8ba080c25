package operator

import (
	"encoding/json"
	"net/http"

	"github.com/primrosebeam/primrosebeam/configuration"
)

// ProblemType is the type URN of a problem document (RFC 9457). The values are stable, since clients may match
// them.
type ProblemType string

// Types of problem documents.
const (
	ProblemUnauthorized         ProblemType = "urn:primrosebeam:problem:unauthorized"
	ProblemNotFound             ProblemType = "urn:primrosebeam:problem:not-found"
	ProblemMethodNotAllowed     ProblemType = "urn:primrosebeam:problem:method-not-allowed"
	ProblemTooLarge             ProblemType = "urn:primrosebeam:problem:too-large"
	ProblemUnsupportedMediaType ProblemType = "urn:primrosebeam:problem:unsupported-media-type"
	ProblemUnreadableBody       ProblemType = "urn:primrosebeam:problem:unreadable-body"
	// ProblemOverloaded means that the body was not read for lack of room; nothing was changed.
	ProblemOverloaded ProblemType = "urn:primrosebeam:problem:overloaded"
	// ProblemBodyTimeout means that the rest of the body did not come; nothing was changed.
	ProblemBodyTimeout ProblemType = "urn:primrosebeam:problem:body-timeout"
	// ProblemInvalid means that nothing was changed; Problem.Faults lists the faults of the change.
	ProblemInvalid ProblemType = "urn:primrosebeam:problem:invalid"
	// ProblemConflict means that nothing was changed; Problem.Version is the current version.
	ProblemConflict ProblemType = "urn:primrosebeam:problem:conflict"
	// ProblemChangeIDReused means that the change ID belongs to another change; nothing was changed.
	ProblemChangeIDReused ProblemType = "urn:primrosebeam:problem:change-id-reused"
	// ProblemNoLeader means that no leader accepted the change; nothing was changed.
	ProblemNoLeader ProblemType = "urn:primrosebeam:problem:no-leader"
	// ProblemUndetermined means that the change may have been committed; retry with the same change ID.
	ProblemUndetermined  ProblemType = "urn:primrosebeam:problem:undetermined"
	ProblemUnknownChange ProblemType = "urn:primrosebeam:problem:unknown-change"
	ProblemNotReady      ProblemType = "urn:primrosebeam:problem:not-ready"
	ProblemInternal      ProblemType = "urn:primrosebeam:problem:internal"
)

// Problem is a problem document (RFC 9457). The fields after Detail are extension members.
type Problem struct {
	Type     ProblemType           `json:"type"`
	Title    string                `json:"title"`
	Status   int                   `json:"status"`
	Detail   string                `json:"detail,omitempty"`
	ChangeID string                `json:"changeID,omitempty"`
	Version  configuration.Version `json:"version,omitempty"`
	Faults   []configuration.Fault `json:"faults,omitempty"`
}

// Error implements error. Client returns problem documents as errors.
func (p *Problem) Error() string {
	text := "operator: " + p.Title
	if p.Detail != "" {
		text += ": " + p.Detail
	}
	return text
}

func newProblem(kind ProblemType, status int, title, detail string) *Problem {
	return &Problem{Type: kind, Title: title, Status: status, Detail: detail}
}

const problemMediaType = "application/problem+json"

// writeProblem responds with a problem document; clients are asked to retry after one second when the
// status is 503.
func (h *Handler) writeProblem(w http.ResponseWriter, p *Problem) {
	if p.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	h.writeJSON(w, p.Status, problemMediaType, p)
}

func (h *Handler) writeJSON(w http.ResponseWriter, status int, mediaType string, body any) {
	text, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		h.options.Logger.Error().Err(err).Msg("operator response could not be encoded")
		status = http.StatusInternalServerError
		mediaType = problemMediaType
		text = []byte(`{"type":"` + string(ProblemInternal) + `","title":"response cannot be encoded","status":500}`)
	}
	w.Header().Set("Content-Type", mediaType)
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.WriteHeader(status)
	if _, err := w.Write(append(text, '\n')); err != nil {
		h.options.Logger.Debug().Err(err).Msg("operator response could not be written")
	}
}
