package edge

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/platform"
)

const (
	// maxAnswerBytes bounds a plain answer, which is held until it is whole.
	maxAnswerBytes = 8 << 20
	// answerPatience is how many objectives an idempotent plain request waits for its answer before it
	// is sent to another engine.
	answerPatience = 4
	// firstEventLeast and firstEventObjectives bound the wait for the first event of a stream that may
	// go on elsewhere: a few objectives, and long enough for the largest prompts.
	firstEventLeast      = 1200 * time.Millisecond
	firstEventObjectives = 3
	// eventPatience is how long a stream that may go on elsewhere is silent before it does. Callers
	// give up after eight times the longest pause that is on time.
	eventPatience = 4
)

// send sends the request to an engine and relays its answer.
func (x *exchange) send(ctx context.Context, p place) verdict {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x.engine = p.engine.ID
	request, written, err := x.engineRequest(ctx, p.engine)
	if err != nil {
		x.edge.options.Logger.Error().Str("id", x.id).Err(err).Msg("request can't be written for an engine")
		return verdictFailed
	}
	watch := newWatchdog(cancel, x.patience(), x.reserveMove)
	defer watch.stop()
	response, err := x.edge.transport.RoundTrip(request)
	if err != nil {
		x.cause = causeOf(err, watch)
		return x.classify(written.Load(), watch)
	}
	defer response.Body.Close()
	if load, ok := platform.ParseLoad(response.Header); ok && x.service.Model == nil {
		x.edge.balancer.ReportLoad(clock(), p.engine.ID, load.Running+load.Waiting)
	}
	if v, done := x.check(response, p.engine); done {
		return v
	}
	if x.isStream() && response.StatusCode == http.StatusOK {
		return x.relayStream(response, p, watch)
	}
	x.first = clock() - x.arrived
	return x.relayWhole(response, watch)
}

// engineRequest builds the request for an engine. written tells whether any byte of it may have left.
func (x *exchange) engineRequest(ctx context.Context, engine placement.Engine) (*http.Request, *atomic.Bool, error) {
	written := &atomic.Bool{}
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { written.Store(true) },
	}
	in := x.request
	target := &url.URL{Scheme: "http", Host: engine.Address, Opaque: in.URL.RequestURI()}
	if in.URL.Host == "" && len(in.RequestURI) > 1 && in.RequestURI[0] == '/' && in.RequestURI[1] != '/' {
		target.Opaque = in.RequestURI
	}
	var body io.Reader
	if len(x.body) > 0 {
		body = bytes.NewReader(x.body)
	}
	out, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), in.Method, "http://"+engine.Address, body)
	if err != nil {
		return nil, nil, err
	}
	out.URL = target
	out.Host = in.Host
	out.Header = platform.RequestHeaders(in.Header)
	if out.Header.Get("User-Agent") == "" {
		out.Header["User-Agent"] = []string{""} // keeps the client from adding its own
	}
	if !x.route.Idempotent() {
		// The client would repeat a request by itself after a connection that was kept turns out to be
		// closed. Without a way to read the body again it does not.
		out.GetBody = nil
	}
	out.Header.Set(platform.HeaderDeadline, platform.FormatDeadline(x.left()))
	out.Header.Set(platform.HeaderIncarnation, engine.ID)
	if x.workspace != nil {
		out.Header.Set(platform.HeaderWorkspace, x.workspace.Name)
	}
	if x.events > 0 {
		out.Header.Set(platform.HeaderLastEvent, x.lastEvent())
	}
	return out, written, nil
}

// patience is how long the engine may take for the first sign of an answer; 0 means until the deadline.
func (x *exchange) patience() time.Duration {
	if !x.route.Idempotent() || x.sends+1 >= x.route.MaxAttempts {
		return 0
	}
	if x.isStream() {
		return max(firstEventLeast, firstEventObjectives*x.route.Objective)
	}
	return answerPatience * x.route.Objective
}

// classify tells what an error of the connection means for the request.
func (x *exchange) classify(written bool, watch *watchdog) verdict {
	switch {
	case x.request.Context().Err() != nil:
		x.sends++
		return verdictGone
	case !written:
		return verdictUnreached
	case watch.fired():
		x.sends++
		return verdictFailed
	case x.left() <= 0:
		x.sends++
		return verdictLate
	}
	x.sends++
	return verdictFailed
}

// check deals with answers that are not the engine's answer to this request: a refusal to run it, the
// answer to another request, or bytes that no engine signed.
func (x *exchange) check(r *http.Response, engine placement.Engine) (v verdict, done bool) {
	echoed := r.Header.Get(platform.HeaderAttempt)
	if r.StatusCode == http.StatusMisdirectedRequest || r.Header.Get(platform.HeaderNotRun) != "" {
		if echoed != "" && echoed != x.id {
			x.sends++
			return x.foreign(engine, "answer to another request"), true
		}
		x.cause = refusal
		return verdictRefused, true
	}
	x.sends++
	switch {
	case echoed != x.id:
		return x.foreign(engine, "answer to another request"), true
	case r.Header.Get("Content-Encoding") != "":
		return x.foreign(engine, "encoded body"), true
	case r.StatusCode < 300 && r.Header.Get(platform.HeaderStamp) == "":
		return x.foreign(engine, "answer without the engine's signature"), true
	case r.StatusCode >= 500 && x.route.Idempotent() && x.sends < x.route.MaxAttempts && x.left() > resendMargin && !x.header:
		// Another engine may answer better; this answer is given up only if the budget allows the send.
		if x.edge.budget.available(clock(), x.service.Name) {
			x.cause = "status " + strconv.Itoa(r.StatusCode)
			return verdictFailed, true
		}
	}
	return verdictDone, false
}

// refusal is the cause of a refusal by an engine.
const refusal = "the engine did not run it"

// causeOf names the cause of a failed send for the log.
func causeOf(err error, watch *watchdog) string {
	switch {
	case watch.fired():
		return "no sign of an answer in time"
	case err == nil:
		return "the answer is too long"
	}
	return err.Error()
}

func (x *exchange) foreign(engine placement.Engine, what string) verdict {
	x.cause = what
	x.edge.counters.foreign.Inc()
	x.edge.options.Logger.Warn().Str("id", x.id).Str("engine", engine.ID).Str("what", what).Msg("answer discarded")
	return verdictFailed
}

// relayWhole passes on an answer with a status of its own after it was read to its end.
func (x *exchange) relayWhole(r *http.Response, watch *watchdog) verdict {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		x.cause = causeOf(err, watch)
		return x.classifyBody(watch)
	}
	if x.header {
		return verdictBroken // A stream has begun; this answer can't continue it.
	}
	x.copyHeader(r)
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(r.StatusCode)
	x.header, x.status = true, r.StatusCode
	if _, err := x.writer.Write(body); err != nil {
		return verdictGone
	}
	return verdictDone
}

// classifyBody tells what an answer that broke off means.
func (x *exchange) classifyBody(watch *watchdog) verdict {
	switch {
	case x.request.Context().Err() != nil:
		return verdictGone
	case watch.fired():
		return verdictFailed
	case x.left() <= 0:
		return verdictLate
	}
	return verdictFailed
}

func (x *exchange) copyHeader(r *http.Response) {
	header := r.Header.Clone()
	platform.RemoveHopHeaders(header)
	header.Del("Content-Length")
	maps.Copy(x.writer.Header(), header)
}

// watchdog cancels a send that is silent for too long, if the request may move to another engine then.
// A silent engine alone is no reason to end its answer.
type watchdog struct {
	timer   *time.Timer // nil when nothing is watched
	expiry  atomic.Bool
	stopped atomic.Bool
}

// newWatchdog watches for a patience; 0 means not at all. mayMove reserves the move to another engine; as
// long as it refuses, the watch starts again.
func newWatchdog(cancel func(), patience time.Duration, mayMove func() bool) *watchdog {
	w := &watchdog{}
	if patience <= 0 {
		return w
	}
	w.timer = time.AfterFunc(time.Hour, func() {
		switch {
		case w.stopped.Load():
		case mayMove():
			w.expiry.Store(true)
			cancel()
		default:
			w.timer.Reset(patience)
			if w.stopped.Load() {
				w.timer.Stop()
			}
		}
	})
	w.timer.Reset(patience)
	return w
}

// reset restarts the watch; 0 ends it.
func (w *watchdog) reset(patience time.Duration) {
	if w.timer == nil {
		return
	}
	if patience == 0 {
		w.stop()
		return
	}
	w.timer.Reset(patience)
}

func (w *watchdog) stop() {
	w.stopped.Store(true)
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watchdog) fired() bool { return w.expiry.Load() }

// Times of connections to engines.
const (
	// dialTimeout is how long an engine may take to accept a connection; the usual time is 3 ms.
	dialTimeout = 300 * time.Millisecond
	// silentTimeout is how long sent bytes may stay unacknowledged before a connection is given up.
	silentTimeout = 2 * time.Second
	// idleTimeout is how long a connection is kept without a request: four fifths of the 10 s after which
	// engines close theirs, so that a request rarely meets the close.
	idleTimeout = 8 * time.Second
	// idlePerEngine bounds the idle connections to one engine.
	idlePerEngine = 64
)

func newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: silentTimeout / 2, Interval: silentTimeout / 4, Count: 2,
		},
		Control: limitSilence,
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerEngine,
		IdleConnTimeout:     idleTimeout,
	}
}
