package operator

import (
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/control"
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
	On       *bool                 `json:"on"` // required: a default would end or start a drain by omission
}

// change serves POST /v1/changes, whose body is a configuration.Change. Lines of faults refer to the body.
func (h *Handler) change(w http.ResponseWriter, r *http.Request) {
	var change configuration.Change
	decoded, problem := decodeBody(w, r, MaxChangeBodyBytes, &change)
	if problem != nil {
		h.refuse(w, problem)
		return
	}
	if decoded.Valid() && change.Edit.Apply != nil {
		configuration.Validate(change.Edit.Apply, decoded, "edit.apply.")
	}
	h.submit(w, r, decoded, change)
}

func (h *Handler) label(w http.ResponseWriter, r *http.Request) {
	var request LabelRequest
	decoded, problem := decodeBody(w, r, MaxEditBodyBytes, &request)
	if problem != nil {
		h.refuse(w, problem)
		return
	}
	edit := &configuration.LabelEdit{Engine: r.PathValue("name"), Set: request.Set, Remove: request.Remove}
	h.submit(w, r, decoded, configuration.Change{
		ID: request.ChangeID, Base: request.Base, Operator: request.Operator, Edit: configuration.Edit{Label: edit},
	})
}

func (h *Handler) drain(w http.ResponseWriter, r *http.Request) {
	var request DrainRequest
	decoded, problem := decodeBody(w, r, MaxEditBodyBytes, &request)
	if problem != nil {
		h.refuse(w, problem)
		return
	}
	if decoded.Valid() && request.On == nil {
		decoded.Add("on", configuration.ReasonMissing, "")
	}
	edit := &configuration.DrainEdit{Engine: r.PathValue("name"), On: request.On != nil && *request.On}
	h.submit(w, r, decoded, configuration.Change{
		ID: request.ChangeID, Base: request.Base, Operator: request.Operator, Edit: configuration.Edit{Drain: edit},
	})
}

// decodeBody reads a bounded body with comments; unknown fields are faults of the result.
func decodeBody(w http.ResponseWriter, r *http.Request, limit int64, into any) (*strictjson.Document, *Problem) {
	if sent := r.Header.Get("Content-Type"); sent != "" {
		if mediaType, _, err := mime.ParseMediaType(sent); err != nil || mediaType != jsonMediaType {
			return nil, newProblem(ProblemUnsupportedMediaType, http.StatusUnsupportedMediaType, "unsupported media type", "want "+jsonMediaType)
		}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		detail := fmt.Sprintf("at most %d bytes", limit)
		return nil, newProblem(ProblemTooLarge, http.StatusRequestEntityTooLarge, "body too large", detail)
	case err != nil:
		return nil, newProblem(ProblemUnreadableBody, http.StatusBadRequest, "body cannot be read", "")
	}
	return strictjson.Decode(body, into), nil
}

// submit hands a change to control once the envelope has no faults either.
func (h *Handler) submit(w http.ResponseWriter, r *http.Request, decoded *strictjson.Document, change configuration.Change) {
	if decoded.Valid() {
		checkEnvelope(decoded, change)
	}
	var faults *strictjson.FaultsError
	if errors.As(configuration.SortedFaults(decoded.Err()), &faults) {
		h.refuse(w, invalid(change.ID, faults.Faults))
		return
	}
	answer, err := h.options.Control.Submit(r.Context(), change)
	if err != nil {
		h.refuse(w, problemOf(change.ID, err))
		return
	}
	h.options.Logger.Info().
		Str("changeID", change.ID).
		Str("operator", change.Operator).
		Uint64("base", uint64(change.Base)).
		Str("outcome", string(answer.Outcome)).
		Uint64("version", uint64(answer.Version)).
		Msg("change of the configuration")
	h.answer(w, answer)
}

func checkEnvelope(at *strictjson.Document, change configuration.Change) {
	if err := configuration.CheckID(change.ID); err != nil {
		at.Add("changeID", configuration.ReasonName, fmt.Sprintf("want 1 to %d printable ASCII characters without /, %%, ? and #", configuration.MaxChangeIDBytes))
	}
	if len(change.Operator) > MaxOperatorBytes {
		at.Add("operator", configuration.ReasonTooLong, fmt.Sprintf("at most %d bytes", MaxOperatorBytes))
	}
}

func invalid(id string, faults []configuration.Fault) *Problem {
	p := newProblem(ProblemInvalid, http.StatusUnprocessableEntity, "invalid change", "see faults")
	p.ChangeID = id
	p.Faults = faults
	return p
}

// answer translates what became of a change that was submitted now.
func (h *Handler) answer(w http.ResponseWriter, answer control.ChangeResult) {
	switch answer.Outcome {
	case control.OutcomeAccepted:
		h.write(w, http.StatusOK, jsonMediaType, answer)
	case control.OutcomeCommitted:
		h.write(w, http.StatusAccepted, jsonMediaType, answer)
	case control.OutcomeConflict:
		p := newProblem(ProblemConflict, http.StatusConflict, "conflict", fmt.Sprintf("the current version is %d", answer.Version))
		p.ChangeID = answer.ChangeID
		p.Version = answer.Version
		h.refuse(w, p)
	case control.OutcomeInvalid:
		h.refuse(w, invalid(answer.ChangeID, answer.Faults))
	default:
		h.refuse(w, undetermined(answer.ChangeID))
	}
}

func undetermined(id string) *Problem {
	p := newProblem(ProblemUndetermined, http.StatusGatewayTimeout, "outcome undetermined", "ask again with the same change ID")
	p.ChangeID = id
	return p
}

// outcome serves GET /v1/changes/{id}. What became of an earlier change is data here, also when
// that was a conflict.
func (h *Handler) outcome(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	answer, err := h.options.Control.Outcome(r.Context(), id)
	switch {
	case err != nil:
		h.refuse(w, problemOf(id, err))
	case answer.Outcome == control.OutcomeUndetermined:
		h.refuse(w, undetermined(id))
	default:
		h.write(w, http.StatusOK, jsonMediaType, answer)
	}
}

// problemOf translates the errors of control.Control; all of them but the last case prove that nothing changed.
func problemOf(id string, err error) *Problem {
	var (
		reused   *configuration.ReusedIDError
		badID    *configuration.InvalidIDError
		tooLarge *configuration.TooLargeError
		broken   *configuration.MalformedError
		unknown  *control.UnknownChangeError
		unsent   *control.NotSubmittedError
	)
	p := undetermined(id)
	switch {
	case errors.As(err, &reused):
		p = newProblem(ProblemChangeIDReused, http.StatusConflict, "change ID was used for another change", "")
	case errors.As(err, &badID):
		p = newProblem(ProblemInvalid, http.StatusUnprocessableEntity, "invalid change ID", "")
	case errors.As(err, &tooLarge):
		p = newProblem(ProblemTooLarge, http.StatusRequestEntityTooLarge, "change too large", "")
	case errors.As(err, &broken):
		p = newProblem(ProblemInvalid, http.StatusUnprocessableEntity, "malformed change", "")
	case errors.As(err, &unknown):
		p = newProblem(ProblemUnknownChange, http.StatusNotFound, "no such change", "")
	case errors.As(err, &unsent):
		p = newProblem(ProblemNoLeader, http.StatusServiceUnavailable, "no leader took the change", "nothing was changed")
	}
	p.ChangeID = id
	return p
}
