package operator

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/control"
)

const jsonMediaType = "application/json"

// Configuration is the response body of GET /v1/configuration. At version 0 it has no document.
type Configuration struct {
	Version  configuration.Version `json:"version"`
	Document json.RawMessage       `json:"document,omitempty"`
}

// Status is the response body of GET /v1/status.
type Status struct {
	Instance   string                `json:"instance"`
	DataCentre string                `json:"dataCentre"`
	Ready      bool                  `json:"ready"`
	Reason     string                `json:"reason,omitempty"` // reason why the instance is not ready
	Version    configuration.Version `json:"version"`          // version in force at this instance
	// PartitionedSince is the time since which this instance has reached no control replica that knows a
	// leader; nil while it reaches one.
	PartitionedSince *time.Time `json:"partitionedSince,omitempty"`
	// Control is the status that a control replica reports; nil when no replica responds.
	Control *control.Status `json:"control,omitempty"`
}

func (h *Handler) serveConfiguration(w http.ResponseWriter, _ *http.Request) {
	version, document := h.options.Control.Current()
	response := Configuration{Version: version}
	if document != nil {
		text, err := configuration.Format(document)
		if err != nil {
			h.writeProblem(w, newProblem(ProblemInternal, http.StatusInternalServerError, "document cannot be written", err.Error()))
			return
		}
		response.Document = text
	}
	h.writeJSON(w, http.StatusOK, jsonMediaType, response)
}

func (h *Handler) serveStatus(w http.ResponseWriter, r *http.Request) {
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
	status, err := h.options.Control.Status(r.Context())
	if err != nil {
		h.options.Logger.Warn().Err(err).Msg("no control replica reported its status; responding without it")
	} else {
		response.Control = &status
	}
	h.writeJSON(w, http.StatusOK, jsonMediaType, response)
}

func (h *Handler) serveDump(w http.ResponseWriter, _ *http.Request) {
	response := make(map[string]json.RawMessage, len(h.options.Dump))
	for name, state := range h.options.Dump {
		text, err := json.Marshal(state())
		if err != nil {
			// A worker whose state cannot be encoded must not hide the state of the others.
			text, _ = json.Marshal(map[string]string{"error": err.Error()})
		}
		response[name] = text
	}
	h.writeJSON(w, http.StatusOK, jsonMediaType, response)
}
