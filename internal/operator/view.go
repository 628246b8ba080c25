package operator

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/control"
)

const jsonMediaType = "application/json"

// Configuration is the response of GET /v1/configuration. Version 0 has no document.
type Configuration struct {
	Version  configuration.Version `json:"version"`
	Document json.RawMessage       `json:"document,omitempty"`
}

// Status is the response of GET /v1/status.
type Status struct {
	Instance   string                `json:"instance"`
	DataCentre string                `json:"dataCentre"`
	Ready      bool                  `json:"ready"`
	Reason     string                `json:"reason,omitempty"` // why it is not ready
	Version    configuration.Version `json:"version"`          // in force at this instance
	// PartitionedSince is set while this instance reaches no control replica that knows a leader.
	PartitionedSince *time.Time `json:"partitionedSince,omitempty"`
	// Control is the view of a control replica; absent when none answers.
	Control *control.Status `json:"control,omitempty"`
}

func (h *Handler) configuration(w http.ResponseWriter, _ *http.Request) {
	version, document := h.options.Control.Current()
	response := Configuration{Version: version}
	if document != nil {
		text, err := configuration.Format(document)
		if err != nil {
			h.refuse(w, newProblem(ProblemInternal, http.StatusInternalServerError, "document cannot be written", err.Error()))
			return
		}
		response.Document = text
	}
	h.write(w, http.StatusOK, jsonMediaType, response)
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	response := Status{Instance: h.options.Instance, DataCentre: h.options.DataCentre}
	ready, reason := h.options.Ready()
	response.Ready = ready
	if !ready {
		response.Reason = reason
	}
	response.Version, _ = h.options.Control.Current()
	if since, partitioned := h.options.Control.UnreachableSince(); partitioned {
		response.PartitionedSince = &since
	}
	view, err := h.options.Control.Status(r.Context())
	if err != nil {
		h.options.Logger.Warn().Err(err).Msg("status without the view of a control replica")
	} else {
		response.Control = &view
	}
	h.write(w, http.StatusOK, jsonMediaType, response)
}

func (h *Handler) dump(w http.ResponseWriter, _ *http.Request) {
	response := make(map[string]json.RawMessage, len(h.options.Dump))
	for name, state := range h.options.Dump {
		text, err := json.Marshal(state())
		if err != nil {
			// One duty whose state cannot be written must not hide the others.
			text, _ = json.Marshal(map[string]string{"error": err.Error()})
		}
		response[name] = text
	}
	h.write(w, http.StatusOK, jsonMediaType, response)
}
