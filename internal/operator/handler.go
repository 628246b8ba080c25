// Package operator implements the HTTP interface for operators and its client: reading and changing the
// configuration, the status of the instances, state dumps, metrics and health probes.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/control"
	"github.com/primrosebeam/primrosebeam/internal/intake"
)

// Control is the part of control.Control that the handler uses.
type Control interface {
	Submit(ctx context.Context, change configuration.Change) (control.ChangeResult, error)
	Outcome(ctx context.Context, changeID string) (control.ChangeResult, error)
	Status(ctx context.Context) (control.Status, error)
	Current() (configuration.Version, *configuration.Document)
	UnreachableSince() (since time.Time, ok bool)
}

// Options configures a Handler.
type Options struct {
	Instance   string
	DataCentre string
	Token      string // bearer token of the operators
	Control    Control
	// Ready reports whether the instance accepts requests and, if it does not, the reason.
	Ready func() (ready bool, reason string)
	// Dump holds, by name, the functions that return the state of each worker without stopping it.
	Dump map[string]func() any
	// WriteMetrics writes metrics in the Prometheus text format; nil selects the metrics of the process.
	WriteMetrics func(io.Writer)
	// Gate bounds what bodies take of the memory, together with those of callers; nil selects one of its own.
	Gate   *intake.Gate
	Logger zerolog.Logger
}

// MissingOptionError reports a required option that is not set.
type MissingOptionError struct{ Option string }

func (e *MissingOptionError) Error() string {
	return fmt.Sprintf("operator: option %s is missing", e.Option)
}

// Limits on the size and duration of requests.
const (
	// MaxChangeBodyBytes bounds the body of POST /v1/changes: a configuration document and its envelope.
	MaxChangeBodyBytes = configuration.MaxDocumentBytes + 4<<10
	// MaxEditBodyBytes bounds the body of a request that edits one engine.
	MaxEditBodyBytes = 16 << 10
	// MaxHeaderBytes bounds the headers of a request.
	MaxHeaderBytes = 16 << 10
	// MaxOperatorBytes bounds the operator name that is recorded with a change.
	MaxOperatorBytes = 64

	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	writeTimeout      = 45 * time.Second // exceeds both the longest submission and the slowest upload of a body
	idleTimeout       = time.Minute
)

// Handler serves the HTTP interface for operators. It implements http.Handler.
type Handler struct {
	options Options
	token   [sha256.Size]byte
	mux     *http.ServeMux
}

// New returns a Handler. The error is a *MissingOptionError.
func New(o Options) (*Handler, error) {
	switch {
	case o.Token == "":
		return nil, &MissingOptionError{Option: "Token"}
	case o.Control == nil:
		return nil, &MissingOptionError{Option: "Control"}
	case o.Ready == nil:
		return nil, &MissingOptionError{Option: "Ready"}
	}
	if o.WriteMetrics == nil {
		o.WriteMetrics = func(w io.Writer) { metrics.WritePrometheus(w, true) }
	}
	if o.Gate == nil {
		o.Gate = intake.NewGate(intake.Capacity(0), o.Logger, metrics.NewSet())
	}
	h := &Handler{options: o, token: sha256.Sum256([]byte(o.Token)), mux: http.NewServeMux()}
	h.handlePublic("/healthz", h.serveHealth)
	h.handlePublic("/readyz", h.serveReadiness)
	h.handleProtected(http.MethodGet, "/metrics", h.serveMetrics)
	h.handleProtected(http.MethodGet, "/v1/configuration", h.serveConfiguration)
	h.handleProtected(http.MethodPost, "/v1/changes", h.serveChange)
	h.handleProtected(http.MethodGet, "/v1/changes/{id}", h.serveOutcome)
	h.handleProtected(http.MethodPost, "/v1/engines/{name}/labels", h.serveLabel)
	h.handleProtected(http.MethodPost, "/v1/engines/{name}/drain", h.serveDrain)
	h.handleProtected(http.MethodGet, "/v1/status", h.serveStatus)
	h.handleProtected(http.MethodGet, "/v1/dump", h.serveDump)
	h.mux.HandleFunc("/", h.serveNotFound)
	return h, nil
}

// Server returns an HTTP server for the handler that has time limits and a limit on header size. The caller
// sets its address or passes it a listener.
func (h *Handler) Server() *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// handlePublic registers a path that needs no token, for the health probes of the platform.
func (h *Handler) handlePublic(path string, serve http.HandlerFunc) {
	h.mux.HandleFunc(path, h.requireMethod([]string{http.MethodGet, http.MethodHead}, serve))
}

// handleProtected registers a path that needs the operators' token.
func (h *Handler) handleProtected(method, path string, serve http.HandlerFunc) {
	h.mux.HandleFunc(path, h.requireToken(h.requireMethod([]string{method}, serve)))
}

// requireMethod responds with 405 to requests of other methods.
func (h *Handler) requireMethod(methods []string, serve http.HandlerFunc) http.HandlerFunc {
	allowed := strings.Join(methods, ", ")
	return func(w http.ResponseWriter, r *http.Request) {
		if !slices.Contains(methods, r.Method) {
			w.Header().Set("Allow", allowed)
			h.writeProblem(w, newProblem(ProblemMethodNotAllowed, http.StatusMethodNotAllowed, "method not allowed", "want "+allowed))
			return
		}
		serve(w, r)
	}
}

// requireToken responds with 401 to requests without the operators' token. It compares hashes, so that the
// time taken depends on neither the content nor the length of the token.
func (h *Handler) requireToken(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
		tokenHash := sha256.Sum256([]byte(token))
		if !strings.EqualFold(scheme, "Bearer") || subtle.ConstantTimeCompare(tokenHash[:], h.token[:]) != 1 {
			w.Header().Set("WWW-Authenticate", `Bearer realm="primrosebeam operators"`)
			h.writeProblem(w, newProblem(ProblemUnauthorized, http.StatusUnauthorized, "operator token missing or wrong", ""))
			return
		}
		serve(w, r)
	}
}

func (h *Handler) serveNotFound(w http.ResponseWriter, r *http.Request) {
	h.writeProblem(w, newProblem(ProblemNotFound, http.StatusNotFound, "no such resource", ""))
}

func (h *Handler) serveHealth(w http.ResponseWriter, _ *http.Request) {
	h.writeJSON(w, http.StatusOK, jsonMediaType, map[string]string{"status": "ok"})
}

func (h *Handler) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if ready, reason := h.options.Ready(); !ready {
		h.writeProblem(w, newProblem(ProblemNotReady, http.StatusServiceUnavailable, "not ready", reason))
		return
	}
	h.writeJSON(w, http.StatusOK, jsonMediaType, map[string]string{"status": "ready"})
}

func (h *Handler) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	h.options.WriteMetrics(w)
}
