// Package entry implements the HTTP handler for callers. It authenticates and classifies requests, waits for
// the scheduler's decision and relays the engine's response.
package entry

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/dispatch"
	"github.com/primrosebeam/primrosebeam/internal/intake"
	"github.com/primrosebeam/primrosebeam/internal/upstream"
	"github.com/primrosebeam/primrosebeam/ledger"
)

// maxAttemptDuration bounds one attempt of a request after dispatch, so that an engine which sends no
// response cannot block the request indefinitely.
const maxAttemptDuration = 10 * time.Minute

// Options configures a Handler.
type Options struct {
	Name                     string // name of the instance
	DataCentre               string
	Ledger                   ledger.Service // service for idempotency keys; nil when no instance owns keys
	Dispatch                 *dispatch.Worker
	Upstream                 *upstream.Client
	Logger                   zerolog.Logger
	Metrics                  *metrics.Set
	MaxBodyBytes             int           // limit on the size of a request body
	BodyTimeout              time.Duration // limit on the time to read a request body; 0 means no limit
	MaxBufferedResponseBytes int           // responses up to this size are buffered until complete
	Gate                     *intake.Gate  // bytes held for callers; nil selects one of the default size
	Incarnation              uint64        // incarnation of the instance; increases with each start
	// InstanceGone reports whether an incarnation of an instance is known to have failed or to have been
	// replaced by a later one. Incarnation 0 matches any incarnation. A nil function is treated as always
	// false.
	InstanceGone func(instance string, incarnation uint64) bool
	// OnLeaving is called when the response of an engine announces that the engine accepts no more requests. It
	// must not block.
	OnLeaving func(engine string)
}

// Handler is the HTTP handler for callers. It is safe for concurrent use.
type Handler struct {
	options      Options
	view         atomic.Pointer[view]
	stopping     atomic.Bool
	metricsByKey sync.Map       // *requestMetrics by metricsKey
	detached     sync.WaitGroup // requests that may continue after their caller has disconnected
}

// New returns a handler that is not ready until Configure is called.
func New(o Options) *Handler {
	if o.Gate == nil {
		o.Gate = intake.NewGate(intake.Capacity(0), o.Logger, o.Metrics)
	}
	return &Handler{options: o}
}

// Configure sets the configuration for requests that arrive from now on.
func (h *Handler) Configure(v *configuration.View) { h.view.Store(newView(v)) }

// Ready reports whether the handler accepts requests.
func (h *Handler) Ready() bool { return h.view.Load() != nil && !h.stopping.Load() }

// Stopping reports whether Stop was called.
func (h *Handler) Stopping() bool { return h.stopping.Load() }

// Stop makes the handler refuse new requests. Requests that were accepted before continue.
func (h *Handler) Stop() { h.stopping.Store(true) }

// Wait returns nil once every request that continues without its caller has ended, or the context's error if
// the context ends first.
func (h *Handler) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		h.detached.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.WriteHeader(http.StatusOK)
	case "/readyz":
		h.serveReady(w)
	default:
		h.serveRequest(w, r)
	}
}

func (h *Handler) serveReady(w http.ResponseWriter) {
	if !h.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serve handles the request. It returns the problem to respond with, or nil when a response was written.
func (x *exchange) serve() *Problem {
	path := x.httpRequest.URL.Path
	if path == keysPath || strings.HasPrefix(path, keysPrefix) {
		return x.serveKeys()
	}
	if problem := x.classify(); problem != nil {
		return x.refuseBeforeClaim(problem)
	}
	return x.run()
}

// refuseBeforeClaim returns the problem for a request that is refused before its idempotency key was claimed.
// An earlier attempt under the key may have run, so the outcome of a keyed request must not be not-run.
func (x *exchange) refuseBeforeClaim(problem *Problem) *Problem {
	if x.httpRequest.Header.Get(HeaderIdempotencyKey) == "" {
		return problem
	}
	undetermined := *problem
	undetermined.Outcome = OutcomeUndetermined
	return &undetermined
}

func (h *Handler) serveRequest(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	x := &exchange{handler: h, id: newRequestID(h.options.Incarnation), writer: w, httpRequest: r, arrivedAt: started}
	defer x.held.Close()
	problem := x.serve()
	if problem != nil {
		x.outcome = problem.Outcome
		writeProblem(w, x.id, problem)
	}
	x.record(time.Since(started), problem)
	if x.abort {
		// Aborts the connection without terminating the body, so that the caller cannot take a partial response
		// for a complete one.
		panic(http.ErrAbortHandler)
	}
}
