package operator

import (
	"errors"
	"fmt"
	"mime"
	"net/http"

	"github.com/primrosebeam/primrosebeam/bytebudget"
	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/control"
	"github.com/primrosebeam/primrosebeam/internal/intake"
	"github.com/primrosebeam/primrosebeam/label"
	"github.com/primrosebeam/primrosebeam/strictjson"
)

// LabelRequest is the body of POST /v1/engines/{name}/labels.
type LabelRequest struct {
	ChangeID string                `json:"changeID"`
	Base     configuration.Version `json:"base"`
	Operator string                `json:"operator,omitempty"`
	Set      label.Set             `json:"set,omitempty"`
	Remove   []string              `json:"remove,omitempty"`
}

// DrainRequest is the body of POST /v1/engines/{name}/drain.
type DrainRequest struct {
	ChangeID string                `json:"changeID"`
	Base     configuration.Version `json:"base"`
	Operator string                `json:"operator,omitempty"`
	// On is required: a default would start or end a drain when the field is omitted.
	On *bool `json:"on"`
}

// serveChange serves POST /v1/changes, whose body is a configuration.Change. The line numbers of faults refer
// to the body.
func (h *Handler) serveChange(w http.ResponseWriter, r *http.Request) {
	var change configuration.Change
	decoded, problem := h.decodeBody(w, r, MaxChangeBodyBytes, &change)
	if problem != nil {
		h.writeProblem(w, problem)
		return
	}
	if decoded.Valid() && change.Edit.Apply != nil {
		configuration.Validate(change.Edit.Apply, decoded, "edit.apply.")
	}
	h.submit(w, r, decoded, change)
}

func (h *Handler) serveLabel(w http.ResponseWriter, r *http.Request) {
	var request LabelRequest
	decoded, problem := h.decodeBody(w, r, MaxEditBodyBytes, &request)
	if problem != nil {
		h.writeProblem(w, problem)
		return
	}
	edit := &configuration.LabelEdit{Engine: r.PathValue("name"), Set: request.Set, Remove: request.Remove}
	h.submit(w, r, decoded, configuration.Change{
		ID: request.ChangeID, Base: request.Base, Operator: request.Operator, Edit: configuration.Edit{Label: edit},
	})
}

func (h *Handler) serveDrain(w http.ResponseWriter, r *http.Request) {
	var request DrainRequest
	decoded, problem := h.decodeBody(w, r, MaxEditBodyBytes, &request)
	if problem != nil {
		h.writeProblem(w, problem)
		return
	}
	if decoded.Valid() && request.On == nil {
		decoded.AddFault("on", configuration.ReasonMissing, "")
	}
	edit := &configuration.DrainEdit{Engine: r.PathValue("name"), On: request.On != nil && *request.On}
	h.submit(w, r, decoded, configuration.Change{
		ID: request.ChangeID, Base: request.Base, Operator: request.Operator, Edit: configuration.Edit{Drain: edit},
	})
}

// decodeBody decodes a body of at most limit bytes, which may contain comments. Unknown fields become faults
// of the returned document.
func (h *Handler) decodeBody(w http.ResponseWriter, r *http.Request, limit int64, target any) (*strictjson.Document, *Problem) {
	if sent := r.Header.Get("Content-Type"); sent != "" {
		if mediaType, _, err := mime.ParseMediaType(sent); err != nil || mediaType != jsonMediaType {
			return nil, newProblem(ProblemUnsupportedMediaType, http.StatusUnsupportedMediaType, "unsupported media type", "want "+jsonMediaType)
		}
	}
	held := h.options.Gate.Open(bytebudget.Body, intake.AddressOf(r))
	defer held.Close()
	body, err := h.options.Gate.ReadBody(r, limit, &held)
	if err != nil {
		intake.Reject(w, r)
		return nil, h.unreadBody(err)
	}
	return strictjson.Decode(body, target), nil
}

// unreadBody returns the problem of a body that was not read.
func (h *Handler) unreadBody(err error) *Problem {
	var tooLarge *intake.TooLargeError
	var noRoom *intake.NoRoomError
	var stalled *intake.StalledError
	switch {
	case errors.As(err, &tooLarge):
		h.options.Gate.Refused("too-large")
		detail := fmt.Sprintf("at most %d bytes", tooLarge.Limit)
		return newProblem(ProblemTooLarge, http.StatusRequestEntityTooLarge, "body too large", detail)
	case errors.As(err, &noRoom):
		h.options.Gate.Refused("no-room")
		return newProblem(ProblemOverloaded, http.StatusServiceUnavailable, "too many bodies are being read", "")
	case errors.As(err, &stalled):
		h.options.Gate.Refused("stalled-body")
		return newProblem(ProblemBodyTimeout, http.StatusRequestTimeout, "the rest of the body did not come", "")
	}
	return newProblem(ProblemUnreadableBody, http.StatusBadRequest, "body cannot be read", "")
}

// submit checks the envelope of a change and, when neither it nor the body has faults, submits the change.
func (h *Handler) submit(w http.ResponseWriter, r *http.Request, decoded *strictjson.Document, change configuration.Change) {
	if decoded.Valid() {
		checkEnvelope(decoded, change)
	}
	var faults *strictjson.FaultsError
	if errors.As(configuration.SortFaults(decoded.Err()), &faults) {
		h.writeProblem(w, invalidChangeProblem(change.ID, faults.Faults))
		return
	}
	result, err := h.options.Control.Submit(r.Context(), change)
	if err != nil {
		h.writeProblem(w, problemFromError(change.ID, err))
		return
	}
	h.options.Logger.Info().
		Str("changeID", change.ID).
		Str("operator", change.Operator).
		Uint64("base", uint64(change.Base)).
		Str("outcome", string(result.Outcome)).
		Uint64("version", uint64(result.Version)).
		Msg("change of the configuration")
	h.writeResult(w, result)
}

// checkEnvelope records the faults of the change ID and of the operator name.
func checkEnvelope(document *strictjson.Document, change configuration.Change) {
	if err := configuration.CheckID(change.ID); err != nil {
		document.AddFault("changeID", configuration.ReasonInvalidName, fmt.Sprintf("want 1 to %d printable ASCII characters without /, %%, ? and #", configuration.MaxChangeIDBytes))
	}
	if len(change.Operator) > MaxOperatorBytes {
		document.AddFault("operator", configuration.ReasonTooLong, fmt.Sprintf("at most %d bytes", MaxOperatorBytes))
	}
}

func invalidChangeProblem(id string, faults []configuration.Fault) *Problem {
	p := newProblem(ProblemInvalid, http.StatusUnprocessableEntity, "invalid change", "see faults")
	p.ChangeID = id
	p.Faults = faults
	return p
}

// writeResult responds with the result of a change that this request submitted.
func (h *Handler) writeResult(w http.ResponseWriter, result control.ChangeResult) {
	switch result.Outcome {
	case control.OutcomeAccepted:
		h.writeJSON(w, http.StatusOK, jsonMediaType, result)
	case control.OutcomeCommitted:
		h.writeJSON(w, http.StatusAccepted, jsonMediaType, result)
	case control.OutcomeConflict:
		p := newProblem(ProblemConflict, http.StatusConflict, "conflict", fmt.Sprintf("the current version is %d", result.Version))
		p.ChangeID = result.ChangeID
		p.Version = result.Version
		h.writeProblem(w, p)
	case control.OutcomeInvalid:
		h.writeProblem(w, invalidChangeProblem(result.ChangeID, result.Faults))
	default:
		h.writeProblem(w, undeterminedProblem(result.ChangeID))
	}
}

// undeterminedProblem reports a change that may or may not have been committed.
func undeterminedProblem(id string) *Problem {
	p := newProblem(ProblemUndetermined, http.StatusGatewayTimeout, "outcome undetermined", "ask again with the same change ID")
	p.ChangeID = id
	return p
}

// serveOutcome serves GET /v1/changes/{id}. The result of an earlier change is sent with status 200, even if
// the result is a conflict.
func (h *Handler) serveOutcome(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	result, err := h.options.Control.Outcome(r.Context(), id)
	switch {
	case err != nil:
		h.writeProblem(w, problemFromError(id, err))
	case result.Outcome == control.OutcomeUndetermined:
		h.writeProblem(w, undeterminedProblem(id))
	default:
		h.writeJSON(w, http.StatusOK, jsonMediaType, result)
	}
}

// problemFromError converts an error of control.Control to a problem document. Each error type that it lists
// guarantees that nothing was changed; after any other error the outcome is undetermined.
func problemFromError(id string, err error) *Problem {
	var (
		reused       *configuration.ReusedIDError
		invalidID    *configuration.InvalidIDError
		tooLarge     *configuration.TooLargeError
		malformed    *configuration.MalformedError
		unknown      *control.UnknownChangeError
		notSubmitted *control.NotSubmittedError
	)
	p := undeterminedProblem(id)
	switch {
	case errors.As(err, &reused):
		p = newProblem(ProblemChangeIDReused, http.StatusConflict, "change ID was used for another change", "")
	case errors.As(err, &invalidID):
		p = newProblem(ProblemInvalid, http.StatusUnprocessableEntity, "invalid change ID", "")
	case errors.As(err, &tooLarge):
		p = newProblem(ProblemTooLarge, http.StatusRequestEntityTooLarge, "change too large", "")
	case errors.As(err, &malformed):
		p = newProblem(ProblemInvalid, http.StatusUnprocessableEntity, "malformed change", "")
	case errors.As(err, &unknown):
		p = newProblem(ProblemUnknownChange, http.StatusNotFound, "no such change", "")
	case errors.As(err, &notSubmitted):
		p = newProblem(ProblemNoLeader, http.StatusServiceUnavailable, "no leader took the change", "nothing was changed")
	}
	p.ChangeID = id
	return p
}
