package entry

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/dispatch"
	"github.com/primrosebeam/primrosebeam/internal/upstream"
	"github.com/primrosebeam/primrosebeam/scheduler"
)

const (
	resumeAttempts   = 3
	resumeBackoff    = 100 * time.Millisecond // doubled after each attempt
	progressInterval = 32                     // events between two reports of progress

	plainStreamBuffer = 16 << 10 // bytes
)

// relay carries one engine's answer to the caller.
type relay struct {
	exchange *exchange
	ticket   *dispatch.Ticket // nil when the first attempt's stream is joined
	response *http.Response
	owner    string // request ID that every event must carry
	finish   scheduler.Finish
	copy     copyBuffer // of a stream, for the owner of the key
	started  bool       // the first byte was reported

	firstByteTimer *time.Timer // see boundFirstByte; may be nil

	callerLost bool // the answer is read to its end without the caller
}

// run returns a problem only while nothing was written to the caller.
func (r *relay) run(ctx context.Context) *Problem {
	r.finish = scheduler.Finish{Result: scheduler.ResultSuccess, CachedTokens: -1}
	switch {
	case !r.isEventStream():
		return r.relayAnswer(ctx)
	case r.exchange.route.Service.Kind == configuration.KindModel:
		return r.relayStream(ctx)
	default:
		r.relayPlainStream()
		return nil
	}
}

func (r *relay) isEventStream() bool {
	kind, _, err := mime.ParseMediaType(r.response.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// relayAnswer holds an answer of bounded size until it is whole; a larger one is passed on as it comes.
func (r *relay) relayAnswer(ctx context.Context) *Problem {
	r.firstByte()
	limit := r.exchange.handler.options.MaxBufferedResponseBytes
	start, err := io.ReadAll(io.LimitReader(r.response.Body, int64(limit)+1))
	if err != nil {
		return r.broken(ctx, err)
	}
	if r.response.StatusCode >= http.StatusInternalServerError {
		r.finish.Result = scheduler.ResultFailed
	}
	if len(start) <= limit {
		r.readUsage(start)
		r.exchange.store(r.stored(start, false))
		r.writeWhole(start)
		return nil
	}
	r.relayLarge(start)
	return nil
}

// relayLarge passes on an answer that is too large to be held. Whether it is whole is known only at
// its end, so the outcome is a trailer.
func (r *relay) relayLarge(start []byte) {
	r.announceTrailers(HeaderOutcome)
	r.writeHeader(-1, "")
	if err := r.writeBody(start); err != nil {
		r.callerGone()
		return
	}
	if err := r.copyBody(); err != nil {
		r.cut()
		return
	}
	r.writeTrailers()
	r.endStream()
	r.exchange.store(r.stored(nil, true))
}

// announceTrailers declares the engine's trailers and further ones before the header is written.
func (r *relay) announceTrailers(further ...string) {
	header := r.exchange.writer.Header()
	for name := range r.response.Trailer {
		header.Add("Trailer", name)
	}
	for _, name := range further {
		header.Add("Trailer", name)
	}
}

// writeTrailers passes on the engine's trailers, which are complete once the body was read.
func (r *relay) writeTrailers() {
	for name, values := range r.response.Trailer {
		r.exchange.writer.Header()[name] = values
	}
}

// endStream tells the outcome of an answer that was passed on as it came.
func (r *relay) endStream() {
	r.exchange.outcome = OutcomeAnswered
	r.exchange.writer.Header().Set(HeaderOutcome, string(OutcomeAnswered))
}

// isReserved reports whether a header of an engine's answer would be taken for one of the instance.
func isReserved(name string) bool { return strings.HasPrefix(name, "Primrosebeam-") }

// mayHaveBody reports whether an answer of this status has a body (RFC 9110, section 6.4.1).
func mayHaveBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// firstByte reports the start of the answer once.
func (r *relay) firstByte() {
	if r.ticket == nil || r.started {
		return
	}
	r.started = true
	if r.firstByteTimer != nil {
		r.firstByteTimer.Stop()
	}
	r.ticket.FirstToken()
}

func (r *relay) copyBody() error {
	if r.callerLost {
		_, err := io.Copy(io.Discard, r.response.Body)
		return err
	}
	_, err := io.Copy(r.exchange.writer, r.response.Body)
	return err
}

func (r *relay) writeWhole(body []byte) {
	r.announceTrailers()
	length := len(body)
	if len(r.response.Trailer) > 0 {
		length = -1 // Trailers need a chunked body.
	}
	r.writeHeader(length, OutcomeAnswered)
	if r.exchange.incoming.Method != http.MethodHead {
		_ = r.writeBody(body)
	}
	r.writeTrailers()
}

func (r *relay) writeHeader(length int, outcome Outcome) {
	x := r.exchange
	header := x.writer.Header()
	upstream.ForwardHeader(header, r.response.Header, isReserved)
	header.Del("Content-Length")
	if length >= 0 && x.incoming.Method != http.MethodHead && mayHaveBody(r.response.StatusCode) {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	header.Set(HeaderRequestID, x.id)
	header.Set(HeaderDataCentre, x.handler.options.DataCentre)
	if outcome != "" {
		header.Set(HeaderOutcome, string(outcome))
	}
	x.status = r.response.StatusCode
	x.outcome = outcome
	x.writer.WriteHeader(r.response.StatusCode)
}

// relayPlainStream passes on the events of a plain service as they come. Only the end of the HTTP
// body tells whether they are whole, and nothing can be resumed.
func (r *relay) relayPlainStream() {
	x := r.exchange
	r.firstByte()
	x.writer.Header().Add("Trailer", HeaderOutcome)
	r.writeHeader(-1, "")
	controller := http.NewResponseController(x.writer)
	buffer := make([]byte, plainStreamBuffer)
	for {
		n, err := r.response.Body.Read(buffer)
		if writeErr := r.writeBody(buffer[:n]); writeErr != nil || r.flush(controller) != nil {
			r.callerGone()
			return
		}
		switch {
		case errors.Is(err, io.EOF):
			r.endStream()
			x.store(r.stored(nil, true))
			return
		case err != nil:
			r.cut()
			return
		}
	}
}

// relayStream passes on whole events. The outcome of a stream is known only at its end and is sent as a trailer.
func (r *relay) relayStream(ctx context.Context) *Problem {
	x := r.exchange
	x.writer.Header().Add("Trailer", HeaderOutcome)
	r.writeHeader(-1, "")
	lastID := ""
	for attempt := 0; ; attempt++ {
		stream := upstream.NewEventStream(r.response.Body, lastID)
		err := r.copyEvents(stream, &lastID)
		r.finish.OutputTokens += stream.Events()
		if r.finishedStream(err) {
			return nil
		}
		if r.abandoned() {
			r.callerGone()
			return nil
		}
		x.handler.options.Logger.Warn().Str("request", x.id).Str("engine", x.engine).Err(err).Msg("stream broke off")
		var mismatch *upstream.MismatchError
		if errors.As(err, &mismatch) || !r.resume(ctx, lastID, attempt) {
			r.cut()
			return nil
		}
	}
}

// copyEvents copies whole events and keeps the ID of the last one that was passed on in lastID.
func (r *relay) copyEvents(stream *upstream.EventStream, lastID *string) error {
	controller := http.NewResponseController(r.exchange.writer)
	reported := 0
	for {
		event, err := stream.Next()
		if err != nil {
			_ = r.flush(controller)
			return err
		}
		if err := r.mismatch(stream.LastID()); err != nil {
			return err
		}
		if err := r.writeBody(event); err != nil {
			return err
		}
		*lastID = stream.LastID()
		if stream.Events() == 1 {
			r.firstByte()
		}
		if r.exchange.key != nil {
			r.copy.add(event)
		}
		if stream.Buffered() == 0 {
			if err := r.flush(controller); err != nil {
				return err
			}
		}
		if r.ticket != nil && stream.Events()-reported >= progressInterval {
			r.ticket.Progress(stream.Events() - reported)
			reported = stream.Events()
		}
	}
}

// resume continues a broken stream on the same engine by request ID and last event ID; it reports
// whether that was possible. A stream without event IDs cannot be resumed without repeating events.
func (r *relay) resume(ctx context.Context, lastID string, attempt int) bool {
	x := r.exchange
	if lastID == "" {
		return false
	}
	for ; attempt < resumeAttempts; attempt++ {
		select {
		case <-time.After(resumeBackoff << attempt):
		case <-ctx.Done():
			return false
		}
		response, err := x.handler.options.Upstream.Resume(ctx, x.engine, x.view.urls[x.engine], r.owner, lastID)
		if err == nil {
			r.response.Body.Close()
			r.response.Body = response.Body
			x.handler.count("resumed_streams_total")
			return true
		}
		var status *upstream.StatusError
		if errors.As(err, &status) {
			return false
		}
	}
	return false
}

// broken handles an answer that broke off before anything was written to the caller.
func (r *relay) broken(ctx context.Context, err error) *Problem {
	x := r.exchange
	x.handler.options.Logger.Warn().Str("request", x.id).Str("engine", x.engine).Err(err).Msg("answer broke off")
	r.finish.Result = x.attemptEnded(ctx)
	if ctx.Err() != nil {
		x.cancelUpstream()
		if x.expired.Load() {
			return problemLate.with("")
		}
		return problemBroken.with("the caller has gone")
	}
	x.storeUndetermined()
	return problemBroken.with("the engine's answer broke off")
}

// cut ends a partial answer so that it does not look whole.
func (r *relay) cut() {
	r.exchange.abort = true
	r.exchange.outcome = OutcomeUndetermined
	r.finish.Result = scheduler.ResultFailed
	r.exchange.storeUndetermined()
}

// callerGone stops the engine's work on an answer that nobody reads.
func (r *relay) callerGone() {
	r.exchange.abort = true
	r.exchange.outcome = OutcomeUndetermined
	r.finish.Result = scheduler.ResultCancelled
	r.exchange.cancelUpstream()
}
