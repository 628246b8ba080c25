// Package entry serves callers: it authenticates and classifies their requests, waits for the
// scheduler's decision, and relays the engine's answer.
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
	"github.com/primrosebeam/primrosebeam/internal/upstream"
	"github.com/primrosebeam/primrosebeam/ledger"
)

// maxAttempt bounds the work on one request after dispatch, so that a silent engine cannot hold it for ever.
const maxAttempt = 10 * time.Minute

// Options configures a Handler.
type Options struct {
	Name                     string // of the instance
	DataCentre               string
	Ledger                   ledger.Service // nil when no instance owns keys
	Dispatch                 *dispatch.Worker
	Upstream                 *upstream.Client
	Logger                   zerolog.Logger
	Metrics                  *metrics.Set
	MaxBodyBytes             int           // largest request body
	BodyTimeout              time.Duration // longest time to read a request body; 0 means no bound
	MaxBufferedResponseBytes int           // answers up to this size are held until whole
	Incarnation              uint64        // of the instance; grows with each start
	// InstanceGone reports whether an incarnation of an instance is known to have failed or been
	// replaced by a later one; incarnation 0 stands for any. nil means never.
	InstanceGone func(instance string, incarnation uint64) bool
	// OnLeaving is called when an engine's answer says that it takes no more work; it must not block.
	OnLeaving func(engine string)
}

// Handler is the callers' HTTP handler. It is safe for concurrent use.
type Handler struct {
	options  Options
	view     atomic.Pointer[view]
	stopping atomic.Bool
	meters   sync.Map       // of *requestMeter by meterKey
	detached sync.WaitGroup // requests that go on without their caller
}

// New returns a handler that is not ready until Configure.
func New(o Options) *Handler { return &Handler{options: o} }

// Configure puts a configuration in force for requests that arrive from now on.
func (h *Handler) Configure(v *configuration.View) { h.view.Store(newView(v)) }

// Ready reports whether requests are admitted.
func (h *Handler) Ready() bool { return h.view.Load() != nil && !h.stopping.Load() }

// Stopping reports whether Stop was called.
func (h *Handler) Stopping() bool { return h.stopping.Load() }

// Stop refuses new requests; those that were admitted go on.
func (h *Handler) Stop() { h.stopping.Store(true) }

// Wait returns once every request that goes on without its caller has ended, or with the context's error.
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

// serve returns the problem that ends the exchange, or nil when an answer was written.
func (x *exchange) serve() *Problem {
	path := x.incoming.URL.Path
	if path == pathKeys || strings.HasPrefix(path, keysPrefix) {
		return x.serveKeys()
	}
	if problem := x.classify(); problem != nil {
		return x.beforeClaim(problem)
	}
	return x.run()
}

// beforeClaim returns the answer to a request that is refused before its key was looked at. An
// earlier attempt under the key may have run, so not-run must not be told.
func (x *exchange) beforeClaim(problem *Problem) *Problem {
	if x.incoming.Header.Get(HeaderIdempotencyKey) == "" {
		return problem
	}
	unknown := *problem
	unknown.Outcome = OutcomeUndetermined
	return &unknown
}

func (h *Handler) serveRequest(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	x := &exchange{handler: h, id: newRequestID(h.options.Incarnation), writer: w, incoming: r, arrived: started}
	problem := x.serve()
	if problem != nil {
		x.outcome = problem.Outcome
		writeProblem(w, x.id, problem)
	}
	x.record(time.Since(started), problem)
	if x.abort {
		// The connection ends without a clean end of the body, so that a partial answer never looks whole.
		panic(http.ErrAbortHandler)
	}
}
