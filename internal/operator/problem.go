package operator

import (
	"encoding/json"
	"net/http"

	"github.com/primrosebeam/primrosebeam/configuration"
)

// ProblemType is the stable type of a problem document (RFC 9457).
type ProblemType string

// Types of problems.
const (
	ProblemUnauthorized         ProblemType = "urn:primrosebeam:problem:unauthorized"
	ProblemNotFound             ProblemType = "urn:primrosebeam:problem:not-found"
	ProblemMethodNotAllowed     ProblemType = "urn:primrosebeam:problem:method-not-allowed"
	ProblemTooLarge             ProblemType = "urn:primrosebeam:problem:too-large"
	ProblemUnsupportedMediaType ProblemType = "urn:primrosebeam:problem:unsupported-media-type"
	ProblemUnreadableBody       ProblemType = "urn:primrosebeam:problem:unreadable-body"
	ProblemInvalid              ProblemType = "urn:primrosebeam:problem:invalid"          // nothing changed; see faults
	ProblemConflict             ProblemType = "urn:primrosebeam:problem:conflict"         // nothing changed; version is the current one
	ProblemChangeIDReused       ProblemType = "urn:primrosebeam:problem:change-id-reused" // nothing changed
	ProblemNoLeader             ProblemType = "urn:primrosebeam:problem:no-leader"        // nothing changed
	ProblemUndetermined         ProblemType = "urn:primrosebeam:problem:undetermined"     // ask again with the same change ID
	ProblemUnknownChange        ProblemType = "urn:primrosebeam:problem:unknown-change"
	ProblemNotReady             ProblemType = "urn:primrosebeam:problem:not-ready"
	ProblemInternal             ProblemType = "urn:primrosebeam:problem:internal"
)

// Problem is a problem document. The fields after Detail are extensions.
type Problem struct {
	Type     ProblemType           `json:"type"`
	Title    string                `json:"title"`
	Status   int                   `json:"status"`
	Detail   string                `json:"detail,omitempty"`
	ChangeID string                `json:"changeID,omitempty"`
	Version  configuration.Version `json:"version,omitempty"`
	Faults   []configuration.Fault `json:"faults,omitempty"`
}

// Error makes a problem document the error that Client returns.
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

func (h *Handler) refuse(w http.ResponseWriter, p *Problem) {
	if p.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	h.write(w, p.Status, problemMediaType, p)
}

func (h *Handler) write(w http.ResponseWriter, status int, mediaType string, body any) {
	text, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		h.options.Logger.Error().Err(err).Msg("operator response cannot be encoded")
		status = http.StatusInternalServerError
		mediaType = problemMediaType
		text = []byte(`{"type":"` + string(ProblemInternal) + `","title":"response cannot be encoded","status":500}`)
	}
	w.Header().Set("Content-Type", mediaType)
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.WriteHeader(status)
	if _, err := w.Write(append(text, '\n')); err != nil {
		h.options.Logger.Debug().Err(err).Msg("operator response not delivered")
	}
}
