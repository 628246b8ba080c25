package edge

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/primrosebeam/primrosebeam/internal/enginelink"
	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/platform"
)

const (
	// maxResponseBytes is the maximum size of a plain response.
	maxResponseBytes = 8 << 20
	// maxBufferedBytes is the size up to which a plain response is buffered until it is complete, so that
	// another engine can be tried if it breaks off. A longer one is relayed as it arrives.
	maxBufferedBytes = 256 << 10
	// maxResponseHeaderBytes is the maximum size of the status line and the header of a response.
	maxResponseHeaderBytes = 64 << 10
	// responseTimeoutObjectives is the timeout of a send of an idempotent plain request, in multiples of the
	// objective. After it the request is sent to another engine.
	responseTimeoutObjectives = 4
	// minFirstEventTimeout and firstEventTimeoutObjectives determine the timeout for the first event of a
	// stream that may continue on another engine: three times the objective, but at least the time that
	// the largest prompts need.
	minFirstEventTimeout        = 1200 * time.Millisecond
	firstEventTimeoutObjectives = 3
	// gapTimeoutFactor is how long a stream that may continue on another engine can be silent before it
	// does, in multiples of the route's target for pauses. Callers disconnect after eight times that
	// target.
	gapTimeoutFactor = 4
)

// send sends the request to the engine of the slot and relays the response.
func (x *exchange) send(ctx context.Context, s slot) sendResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x.engine, x.version, x.sentAt = s.engine.ID, s.engine.Version, clock()
	x.connectionLost, x.responseBegun, x.connectionRefused = false, false, false
	x.answer = engineAnswer{}
	watch := newWatchdog(cancel, x.responseTimeout(), x.reserveRetry)
	defer watch.stop()
	response, sent, err := x.roundTrip(ctx, s.engine)
	defer sent.release()
	var invalid *requestError
	if errors.As(err, &invalid) {
		x.edge.options.Logger.Error().Str("id", x.id).Err(err).Msg("building the request for the engine failed")
		return resultFailed
	}
	if err != nil {
		if !sent.offered && isOtherStart(err) {
			x.cause = causeOtherStart
			x.edge.options.Logger.Info().Str("id", x.id).Str("engine", s.engine.ID).Int64("born", s.engine.Born).
				Msg("the start of the engine that the list shows could not be confirmed")
			return resultOtherStart
		}
		var odd *enginelink.StatusError
		if errors.As(err, &odd) {
			x.sends++
			return x.discard(s.engine, odd.Error())
		}
		x.cause = causeOf(err, watch)
		x.connectionRefused = errors.Is(err, syscall.ECONNREFUSED)
		return x.classifyTransportError(sent.offered, watch)
	}
	defer response.Body.Close()
	if sent.replayed {
		x.sends++ // the response says nothing about the earlier send
	}
	x.responseBegun = response.Header.Get(platform.HeaderAttempt) == x.id
	x.answer = engineAnswer{
		status: response.StatusCode, notExecuted: response.Header.Get(platform.HeaderNotExecuted) != "",
		identified: x.responseBegun, reused: sent.lease.Reused(),
	}
	if echoed := response.Header.Get(platform.HeaderAttempt); echoed == "" || echoed == x.id {
		x.recordNotices(response, s.engine)
	}
	if result, done := x.checkResponse(response, s.engine, sent.lease.Reused()); done {
		if echoed := response.Header.Get(platform.HeaderAttempt); echoed != x.id {
			// The response to this request may still arrive, where the next one would be expected.
			sent.lease.Close()
		}
		return result
	}
	if x.isStream() && response.StatusCode == http.StatusOK {
		return x.relayStream(response, s, watch)
	}
	x.timeToFirst = clock() - x.arrived
	return x.relayComplete(response, watch)
}

// recordNotices records what the engine states about itself in the header of a response: its load, limits, that it is
// leaving, or that it wants no requests from this instance for some time. Statements of another engine at the same
// address are ignored.
func (x *exchange) recordNotices(r *http.Response, engine placement.Engine) {
	if id := r.Header.Get(platform.HeaderEngine); id != "" && id != engine.ID {
		return
	}
	if load, ok := platform.ParseLoad(r.Header); ok && x.service.Model == nil {
		x.edge.balancer.ReportLoad(clock(), engine.ID, load.Running+load.Waiting, load.Pace)
	}
	leaving := placement.LeavingNotice{Engine: engine.ID, Born: engine.Born}
	if platform.IsLeaving(r.Header) && x.edge.recordLeaving(leaving, "") {
		x.edge.placer.Leaving(leaving)
	}
	x.recordRateLimit(r, engine)
	x.recordBrittle(r, engine)
	if r.StatusCode != http.StatusServiceUnavailable {
		return
	}
	rest, ok := platform.ParseRetryAfter(r.Header)
	if !ok {
		return
	}
	until := x.edge.notices.RecordRest(clock(), engine.ID, rest)
	x.edge.balancer.ReportRest(engine.ID)
	x.edge.placer.Rest(engine.ID, until)
	x.edge.counters.rests.Inc()
	x.edge.options.Logger.Info().Str("id", x.id).Str("engine", engine.ID).Dur("rest", rest).Msg("engine asked for a rest")
}

// recordRateLimit records the rate limit that the engine states, or that it states none any more. Only a signed
// response to this request without any statement shows the latter.
func (x *exchange) recordRateLimit(r *http.Response, engine placement.Engine) {
	perSecond, stated := platform.ParseRateLimit(r.Header)
	if stated {
		x.edge.counters.rateLimits.Inc()
	} else if r.Header.Get(platform.HeaderRateLimit) != "" || r.Header.Get(platform.HeaderSignature) == "" ||
		r.Header.Get(platform.HeaderAttempt) != x.id {
		return
	}
	limit, report := x.edge.notices.ObserveRateLimit(clock(), x.sentAt, engine.ID, perSecond, stated)
	if !report {
		return
	}
	x.edge.placer.RateLimit(limit)
	x.edge.options.Logger.Info().Str("id", x.id).Str("engine", engine.ID).Float64("perSecond", perSecond).
		Bool("stated", stated).Msg("engine states a rate limit")
}

// recordBrittle records whether the engine states that it is brittle. Only a signed response to this request without
// the statement shows that it is not.
func (x *exchange) recordBrittle(r *http.Response, engine placement.Engine) {
	stated := platform.IsBrittle(r.Header)
	if !stated && (r.Header.Get(platform.HeaderSignature) == "" || r.Header.Get(platform.HeaderAttempt) != x.id) {
		return
	}
	if !x.edge.notices.RecordBrittle(clock(), engine.Service, stated) {
		return
	}
	x.edge.counters.brittle.Inc()
	x.edge.options.Logger.Info().Str("id", x.id).Str("engine", engine.ID).Str("service", engine.Service).
		Str("turnedAway", r.Header.Get(platform.HeaderBrittle)).Bool("stated", stated).Msg("engines state that they are brittle")
}

// requestError reports a request of a caller from which no request for an engine can be built.
type requestError struct{ cause error }

func (e *requestError) Error() string { return "edge: request for the engine: " + e.cause.Error() }

func (e *requestError) Unwrap() error { return e.cause }

// engineRequest builds the request for an engine. The error is a *requestError.
func (x *exchange) engineRequest(ctx context.Context, engine placement.Engine) (*http.Request, error) {
	in := x.request
	target, err := engineURL(in, engine.Address)
	if err != nil {
		return nil, &requestError{cause: err}
	}
	var body io.Reader
	if len(x.body) > 0 {
		body = bytes.NewReader(x.body)
	}
	out, err := http.NewRequestWithContext(ctx, in.Method, "http://"+engine.Address, body)
	if err != nil {
		return nil, &requestError{cause: err}
	}
	out.URL = target
	out.Host = in.Host
	out.Header = platform.RequestHeaders(in.Header)
	if out.Header.Get("User-Agent") == "" {
		out.Header["User-Agent"] = []string{""} // keeps the HTTP client from adding its default
	}
	out.Header.Set(platform.HeaderDeadline, platform.FormatDeadline(x.timeLeft()))
	out.Header.Set(platform.HeaderIncarnation, engine.ID)
	if x.workspace != nil {
		out.Header.Set(platform.HeaderWorkspace, x.workspace.Name)
	}
	if x.eventsSent > 0 {
		out.Header.Set(platform.HeaderLastEvent, x.formatLastEventID())
	}
	return out, nil
}

// engineURL returns the URL of a request at an engine, with the path and query as the caller sent them.
func engineURL(in *http.Request, address string) (*url.URL, error) {
	sent := in.RequestURI
	if in.URL.Host != "" || !strings.HasPrefix(sent, "/") {
		sent = in.URL.RequestURI()
	}
	target := &url.URL{Scheme: "http", Host: address, Opaque: sent}
	if !strings.HasPrefix(sent, "//") {
		return target, nil
	}
	// An opaque part that begins with two slashes would be sent with the scheme, so that its first segment names a host.
	target.Opaque = ""
	target.Path, target.RawPath = in.URL.Path, in.URL.RawPath
	target.RawQuery, target.ForceQuery = in.URL.RawQuery, in.URL.ForceQuery
	if target.RequestURI() != sent {
		return nil, &TargetError{Target: sent}
	}
	return target, nil
}

// TargetError reports a path that cannot be sent unchanged, since it has characters that a URI may not have.
type TargetError struct{ Target string }

func (e *TargetError) Error() string {
	return "edge: target " + strconv.Quote(e.Target) + " is no valid URI"
}

// responseTimeout returns how long the engine may take to start its response; 0 means until the deadline.
func (x *exchange) responseTimeout() time.Duration {
	if !x.route.Idempotent() || x.sends+1 >= x.route.MaxAttempts {
		return 0
	}
	if x.isStream() {
		return max(minFirstEventTimeout, firstEventTimeoutObjectives*x.route.Objective)
	}
	return responseTimeoutObjectives * x.route.Objective
}

// classifyTransportError returns the result of a send that failed before the header of a response arrived.
func (x *exchange) classifyTransportError(written bool, watch *watchdog) sendResult {
	switch {
	case x.request.Context().Err() != nil:
		x.sends++
		return resultCallerLeft
	case x.edge.giveUp.Err() != nil:
		if written {
			x.sends++
		}
		return resultStopped
	case !written && x.timeLeft() <= 0:
		return resultUnsent
	case !written:
		return resultUnreachable
	case watch.fired():
		x.sends++
		return resultFailed
	case x.timeLeft() <= 0:
		x.sends++
		return resultDeadline
	}
	x.sends++
	x.connectionLost = true
	return resultFailed
}

// checkResponse handles responses that must not be relayed: the engine's refusal to run the request, a status by which
// the caller would take a request for refused that may have run, a response to another request, an encoded body, a
// success without an engine's signature, and a failure that another engine may avoid. done reports whether the send
// ends with result; otherwise the response is relayed. A refusal that names no attempt counts only on a new connection:
// on one that was used before it may be the copy of an earlier response.
func (x *exchange) checkResponse(r *http.Response, engine placement.Engine, reused bool) (result sendResult, done bool) {
	echoed := r.Header.Get(platform.HeaderAttempt)
	if platform.StatesNotExecuted(r, engine.ID) {
		if echoed != x.id && echoed != "" || echoed == "" && reused {
			x.sends++
			return x.discard(engine, "answer to another request"), true
		}
		x.cause = causeNotExecuted
		return resultRefused, true
	}
	x.sends++
	switch {
	case echoed != x.id:
		return x.discard(engine, "answer to another request"), true
	case platform.PromisesNotExecuted(r.StatusCode):
		x.cause = "status " + strconv.Itoa(r.StatusCode) + " from an engine that may have run it"
		x.edge.counters.unprovenRefusals.Inc()
		return resultFailed, true
	case r.Header.Get("Content-Encoding") != "":
		return x.discard(engine, "encoded body"), true
	case r.StatusCode < 300 && r.Header.Get(platform.HeaderSignature) == "":
		return x.discard(engine, "answer without the engine's signature"), true
	case r.StatusCode >= 500 && x.route.Idempotent() && x.sends < x.route.MaxAttempts &&
		x.timeLeft() > minRetryTime && !x.headerSent:
		// Another engine may succeed. This response is discarded only if the budget allows the retry.
		if x.edge.retries.available(clock(), x.service.Name) {
			x.cause = "status " + strconv.Itoa(r.StatusCode)
			return resultFailed, true
		}
	}
	return resultDone, false
}

// causeNotExecuted is the cause logged when an engine refuses to run a request.
const causeNotExecuted = "the engine did not run it"

// causeOtherStart is the cause logged when an engine may have started again since it was listed.
const causeOtherStart = "the engine may have started again"

// causeOf returns the cause of a failed send for the log. A nil err means that the response was too long.
func causeOf(err error, watch *watchdog) string {
	switch {
	case watch.fired():
		return "no sign of an answer in time"
	case err == nil:
		return "the answer is too long"
	}
	return err.Error()
}

// discard logs a response that is not relayed, with the reason in what, and returns resultFailed.
func (x *exchange) discard(engine placement.Engine, what string) sendResult {
	x.cause = what
	x.edge.counters.foreignResponses.Inc()
	x.edge.options.Logger.Warn().Str("id", x.id).Str("engine", engine.ID).Str("what", what).Msg("answer discarded")
	return resultFailed
}

// relayComplete relays a response that is not an event stream, after it has been read completely if it is not
// longer than maxBufferedBytes.
func (x *exchange) relayComplete(r *http.Response, watch *watchdog) sendResult {
	hasBody := x.request.Method != http.MethodHead
	start, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBytes+1))
	if err != nil || hasBody && r.ContentLength > maxResponseBytes {
		x.cause = causeOf(err, watch)
		return x.classifyBodyError(watch, err)
	}
	if x.headerSent {
		return resultIncomplete // a stream has begun, which this response can't continue
	}
	x.copyHeader(r)
	if len(start) > maxBufferedBytes {
		return x.relayLong(r, start, watch)
	}
	if hasBody {
		x.writer.Header().Set("Content-Length", strconv.Itoa(len(start)))
	} else if r.ContentLength >= 0 {
		x.writer.Header().Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
	}
	x.writeStatus(r)
	if _, err := x.writer.Write(start); err != nil {
		return resultCallerLeft
	}
	return resultDone
}

// relayLong relays a response as it arrives, which begins with start. It can't be repeated on another engine
// afterwards.
func (x *exchange) relayLong(r *http.Response, start []byte, watch *watchdog) sendResult {
	watch.reset(0)
	if r.ContentLength >= 0 {
		x.writer.Header().Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
	}
	x.writeStatus(r)
	if _, err := x.writer.Write(start); err != nil {
		return resultCallerLeft
	}
	rest := io.LimitReader(r.Body, int64(maxResponseBytes-len(start)+1))
	n, err := io.Copy(x.writer, rest)
	switch {
	case x.request.Context().Err() != nil:
		return resultCallerLeft
	case err != nil || n > int64(maxResponseBytes-len(start)):
		x.cause = causeOf(err, watch)
		return resultIncomplete
	}
	return resultDone
}

func (x *exchange) writeStatus(r *http.Response) {
	x.writer.WriteHeader(r.StatusCode)
	x.headerSent, x.status = true, r.StatusCode
}

// classifyBodyError returns the result of a send whose response body ended early. err is the error of the
// connection, or nil if it is intact.
func (x *exchange) classifyBodyError(watch *watchdog, err error) sendResult {
	switch {
	case x.request.Context().Err() != nil:
		return resultCallerLeft
	case x.edge.giveUp.Err() != nil:
		return resultStopped
	case watch.fired():
		return resultFailed
	case x.timeLeft() <= 0:
		return resultDeadline
	}
	x.connectionLost = err != nil
	return resultFailed
}

func (x *exchange) copyHeader(r *http.Response) {
	header := r.Header.Clone()
	platform.RemoveHopHeaders(header)
	header.Del("Content-Length")
	maps.Copy(x.writer.Header(), header)
}

// watchdog cancels a send that has been silent for too long, provided that the request can be retried on
// another engine. Without a retry the send continues, since the engine may still respond.
type watchdog struct {
	timer   *time.Timer // nil when the send has no timeout
	expired atomic.Bool
	stopped atomic.Bool
}

// newWatchdog starts a watchdog with the given timeout; 0 disables it. When the timeout expires, the watchdog
// calls reserveRetry, which reserves a retry on another engine. If that returns false, the timeout starts
// again.
func newWatchdog(cancel func(), timeout time.Duration, reserveRetry func() bool) *watchdog {
	w := &watchdog{}
	if timeout <= 0 {
		return w
	}
	w.timer = time.AfterFunc(time.Hour, func() {
		switch {
		case w.stopped.Load():
		case reserveRetry():
			w.expired.Store(true)
			cancel()
		default:
			w.timer.Reset(timeout)
			if w.stopped.Load() {
				w.timer.Stop()
			}
		}
	})
	w.timer.Reset(timeout)
	return w
}

// reset restarts the watchdog with the given timeout; 0 stops it.
func (w *watchdog) reset(timeout time.Duration) {
	if w.timer == nil {
		return
	}
	if timeout == 0 {
		w.stop()
		return
	}
	w.timer.Reset(timeout)
}

func (w *watchdog) stop() {
	w.stopped.Store(true)
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watchdog) fired() bool { return w.expired.Load() }

// Limits of the idle connections to engines.
const (
	// idleTimeout is how long an idle connection is kept. Engines close idle connections after 10 s; four
	// fifths of that make it rare that a request is sent on a connection that the engine is closing.
	idleTimeout = 8 * time.Second
	// maxIdlePerEngine is the maximum number of idle connections to one engine.
	maxIdlePerEngine = 64
)

func newPool(dial func(ctx context.Context, network, address string) (net.Conn, error), set *metrics.Set) *enginelink.Pool {
	return enginelink.NewPool(enginelink.PoolOptions{
		Dial: dial, MaxIdle: maxIdlePerEngine, IdleTimeout: idleTimeout, MaxResponseHeaderBytes: maxResponseHeaderBytes, Metrics: set,
	})
}
