// Package operator is the HTTP interface for operators: the configuration, changes to it, the
// status of the instances, dumps and metrics.
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
)

// Control is what the handler needs of control.Control.
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
	// Ready tells whether the instance takes requests, and why not.
	Ready func() (ready bool, reason string)
	// Dump returns the state of every duty by its name; each function returns without stopping the duty.
	Dump map[string]func() any
	// WriteMetrics writes metrics in the Prometheus text format; nil means those of the process.
	WriteMetrics func(io.Writer)
	Logger       zerolog.Logger
}

// MissingOptionError reports an option that is missing or unusable.
type MissingOptionError struct{ Option string }

func (e *MissingOptionError) Error() string {
	return fmt.Sprintf("operator: option %s is missing", e.Option)
}

// Bounds on requests.
const (
	// MaxChangeBodyBytes bounds the body of POST /v1/changes: a document and its envelope.
	MaxChangeBodyBytes = configuration.MaxDocumentBytes + 4<<10
	// MaxEditBodyBytes bounds the body of the requests that edit one engine.
	MaxEditBodyBytes = 16 << 10
	// MaxHeaderBytes bounds the headers of a request.
	MaxHeaderBytes = 16 << 10
	// MaxOperatorBytes bounds the name of the operator that a change records.
	MaxOperatorBytes = 64

	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	writeTimeout      = 45 * time.Second // more than the longest submission and the slowest body
	idleTimeout       = time.Minute
)

// Handler serves operators. It is an http.Handler.
type Handler struct {
	options Options
	token   [sha256.Size]byte
	mux     *http.ServeMux
}

// New returns a Handler. It returns *OptionError.
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
	h := &Handler{options: o, token: sha256.Sum256([]byte(o.Token)), mux: http.NewServeMux()}
	h.open("/healthz", h.health)
	h.open("/readyz", h.ready)
	h.protected(http.MethodGet, "/metrics", h.metrics)
	h.protected(http.MethodGet, "/v1/configuration", h.configuration)
	h.protected(http.MethodPost, "/v1/changes", h.change)
	h.protected(http.MethodGet, "/v1/changes/{id}", h.outcome)
	h.protected(http.MethodPost, "/v1/engines/{name}/labels", h.label)
	h.protected(http.MethodPost, "/v1/engines/{name}/drain", h.drain)
	h.protected(http.MethodGet, "/v1/status", h.status)
	h.protected(http.MethodGet, "/v1/dump", h.dump)
	h.mux.HandleFunc("/", h.notFound)
	return h, nil
}

// Server returns an HTTP server for the handler with bounds on time and headers. The caller
// sets its address or serves a listener.
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

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// open registers a path for the platform's probes, which carry no token.
func (h *Handler) open(path string, serve http.HandlerFunc) {
	h.mux.HandleFunc(path, h.only([]string{http.MethodGet, http.MethodHead}, serve))
}

func (h *Handler) protected(method, path string, serve http.HandlerFunc) {
	h.mux.HandleFunc(path, h.authorized(h.only([]string{method}, serve)))
}

func (h *Handler) only(methods []string, serve http.HandlerFunc) http.HandlerFunc {
	allowed := strings.Join(methods, ", ")
	return func(w http.ResponseWriter, r *http.Request) {
		if !slices.Contains(methods, r.Method) {
			w.Header().Set("Allow", allowed)
			h.refuse(w, newProblem(ProblemMethodNotAllowed, http.StatusMethodNotAllowed, "method not allowed", "want "+allowed))
			return
		}
		serve(w, r)
	}
}

// authorized compares hashes, so that the time taken depends neither on the content nor on the
// length of the token.
func (h *Handler) authorized(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
		sent := sha256.Sum256([]byte(token))
		if !strings.EqualFold(scheme, "Bearer") || subtle.ConstantTimeCompare(sent[:], h.token[:]) != 1 {
			w.Header().Set("WWW-Authenticate", `Bearer realm="primrosebeam operators"`)
			h.refuse(w, newProblem(ProblemUnauthorized, http.StatusUnauthorized, "operator token missing or wrong", ""))
			return
		}
		serve(w, r)
	}
}

func (h *Handler) notFound(w http.ResponseWriter, r *http.Request) {
	h.refuse(w, newProblem(ProblemNotFound, http.StatusNotFound, "no such resource", ""))
}

func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	h.write(w, http.StatusOK, jsonMediaType, map[string]string{"status": "ok"})
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if ready, reason := h.options.Ready(); !ready {
		h.refuse(w, newProblem(ProblemNotReady, http.StatusServiceUnavailable, "not ready", reason))
		return
	}
	h.write(w, http.StatusOK, jsonMediaType, map[string]string{"status": "ready"})
}

func (h *Handler) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	h.options.WriteMetrics(w)
}
