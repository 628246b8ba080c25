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

	"github.com/primrosebeam/primrosebeam/bytebudget"
	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/dispatch"
	"github.com/primrosebeam/primrosebeam/internal/upstream"
	"github.com/primrosebeam/primrosebeam/scheduler"
)

const (
	resumeAttempts   = 3
	resumeBackoff    = 100 * time.Millisecond // delay before the first attempt; doubled after each attempt
	progressInterval = 32                     // events between two progress reports to the scheduler

	plainStreamBufferBytes = 16 << 10
)

// relay passes the response of one engine on to the caller.
type relay struct {
	exchange          *exchange
	ticket            *dispatch.Ticket // nil when the stream of an earlier attempt is joined
	response          *http.Response
	engineRequestID   string // request ID at the engine; every event must carry it
	result            scheduler.Finish
	streamCopy        responseBuffer // copy of a stream for the owner of the key
	firstByteReported bool           // the start of the response was reported to the scheduler

	timer *progressTimer // may be nil

	callerDisconnected bool // the response is read to its end without being written to the caller
}

// run relays the response. It returns a problem only while nothing was written to the caller.
func (r *relay) run(ctx context.Context) *Problem {
	r.result = scheduler.Finish{Result: scheduler.ResultSuccess, CachedTokens: -1}
	switch {
	case !r.isEventStream():
		return r.relayResponse(ctx)
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

// relayResponse buffers a response of up to MaxBufferedResponseBytes until it is complete, if there is room for it. Any
// other one is passed on as it arrives.
func (r *relay) relayResponse(ctx context.Context) *Problem {
	r.reportFirstByte()
	limit := r.exchange.handler.options.MaxBufferedResponseBytes
	gate := r.exchange.handler.options.Gate
	held := gate.Open(bytebudget.Answer, r.exchange.workspace.Name)
	defer held.Close()
	start, complete, err := gate.ReadStart(r.response.Body, int64(limit)+1, &held)
	if err != nil {
		return r.handleBroken(ctx, err)
	}
	if r.response.StatusCode >= http.StatusInternalServerError {
		r.result.Result = scheduler.ResultFailed
	}
	if complete {
		r.response.Body.Close() // its connection serves other requests while the owner is asked
		r.readUsage(start)
		r.exchange.store(r.storedResponse(start, false))
		r.writeComplete(start)
		return nil
	}
	r.relayUnbuffered(start)
	return nil
}

// relayUnbuffered passes on a response that is too large to be buffered. Whether it is complete is known only
// at its end, so the outcome is sent as a trailer.
func (r *relay) relayUnbuffered(start []byte) {
	r.announceTrailers(HeaderOutcome)
	r.writeHeader(-1, "")
	if err := r.writeBody(start); err != nil {
		r.abandon()
		return
	}
	if !r.copyBody() {
		return
	}
	r.response.Body.Close()
	r.writeTrailers()
	r.endStream()
	r.exchange.store(r.storedResponse(nil, true))
}

// announceTrailers declares the engine's trailers and those in names. It has to be called before writeHeader.
func (r *relay) announceTrailers(names ...string) {
	header := r.exchange.writer.Header()
	for name := range r.response.Trailer {
		header.Add("Trailer", name)
	}
	for _, name := range names {
		header.Add("Trailer", name)
	}
}

// writeTrailers passes on the engine's trailers, which are complete once the body has been read.
func (r *relay) writeTrailers() {
	for name, values := range r.response.Trailer {
		r.exchange.writer.Header()[name] = values
	}
}

// endStream sets the outcome trailer of a complete response that was passed on as it arrived.
func (r *relay) endStream() {
	r.exchange.outcome = OutcomeAnswered
	r.exchange.writer.Header().Set(HeaderOutcome, string(OutcomeAnswered))
}

// isReservedHeader reports whether a header of an engine's response has a name that is reserved for headers
// of the instance. Such a header is not passed on.
func isReservedHeader(name string) bool { return strings.HasPrefix(name, "Primrosebeam-") }

// mayHaveBody reports whether a response with this status may have a body (RFC 9110, section 6.4.1).
func mayHaveBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// reportFirstByte reports the start of the response to the scheduler, once.
func (r *relay) reportFirstByte() {
	if r.ticket == nil || r.firstByteReported {
		return
	}
	r.firstByteReported = true
	r.ticket.FirstToken()
}

// copyBody passes on the rest of the body. It returns false if it has ended the response early.
func (r *relay) copyBody() bool {
	buffer := make([]byte, plainStreamBufferBytes)
	for {
		n, err := r.response.Body.Read(buffer)
		if writeErr := r.writeBody(buffer[:n]); writeErr != nil {
			r.abandon()
			return false
		}
		switch {
		case errors.Is(err, io.EOF):
			return true
		case err != nil:
			r.abortPartial()
			return false
		}
	}
}

func (r *relay) writeComplete(body []byte) {
	r.announceTrailers()
	length := len(body)
	if len(r.response.Trailer) > 0 {
		length = -1 // Trailers require a chunked body.
	}
	r.writeHeader(length, OutcomeAnswered)
	if r.exchange.httpRequest.Method != http.MethodHead {
		_ = r.writeBody(body)
	}
	r.writeTrailers()
}

func (r *relay) writeHeader(length int, outcome Outcome) {
	x := r.exchange
	header := x.writer.Header()
	upstream.ForwardHeader(header, r.response.Header, isReservedHeader)
	header.Del("Content-Length")
	if length >= 0 && x.httpRequest.Method != http.MethodHead && mayHaveBody(r.response.StatusCode) {
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

// relayPlainStream passes on the event stream of a plain service as it arrives. Only the end of the HTTP body
// shows whether the stream is complete, and a broken stream cannot be resumed.
func (r *relay) relayPlainStream() {
	x := r.exchange
	r.reportFirstByte()
	x.writer.Header().Add("Trailer", HeaderOutcome)
	r.writeHeader(-1, "")
	controller := http.NewResponseController(x.writer)
	buffer := make([]byte, plainStreamBufferBytes)
	var events eventScanner
	for {
		n, err := r.response.Body.Read(buffer)
		if events.scan(buffer[:n]) {
			r.timer.event()
		}
		if writeErr := r.writeBody(buffer[:n]); writeErr != nil || r.flush(controller) != nil {
			r.abandon()
			return
		}
		switch {
		case errors.Is(err, io.EOF):
			r.response.Body.Close()
			r.endStream()
			x.store(r.storedResponse(nil, true))
			return
		case err != nil:
			r.abortPartial()
			return
		}
	}
}

// relayStream passes on the event stream of a model in complete events and resumes it when it breaks off. The
// outcome is known only at the end of the stream and is sent as a trailer.
func (r *relay) relayStream(ctx context.Context) *Problem {
	x := r.exchange
	x.writer.Header().Add("Trailer", HeaderOutcome)
	r.writeHeader(-1, "")
	lastID := ""
	for attempt := 0; ; attempt++ {
		stream := upstream.NewEventStream(r.response.Body, lastID)
		err := r.copyEvents(stream, &lastID)
		r.result.OutputTokens += stream.Events()
		if r.finishStream(err) {
			return nil
		}
		if r.shouldAbandon() {
			r.abandon()
			return nil
		}
		x.handler.options.Logger.Warn().Str("request", x.id).Str("engine", x.engine).Err(err).Msg("stream broke off")
		var mismatch *upstream.MismatchError
		if errors.As(err, &mismatch) || !r.resume(ctx, lastID, attempt) {
			r.abortPartial()
			return nil
		}
	}
}

// copyEvents passes on complete events until an error occurs; io.EOF marks the end of a complete stream. It
// sets lastID to the ID of the last event that was passed on.
func (r *relay) copyEvents(stream *upstream.EventStream, lastID *string) error {
	controller := http.NewResponseController(r.exchange.writer)
	reported := 0
	for {
		event, err := stream.Next()
		if err != nil {
			_ = r.flush(controller)
			return err
		}
		if err := r.checkRequestID(stream.LastID()); err != nil {
			return err
		}
		if err := r.writeBody(event); err != nil {
			return err
		}
		*lastID = stream.LastID()
		if stream.HasFields() {
			r.timer.event()
		}
		if stream.Events() == 1 {
			r.reportFirstByte()
		}
		if r.exchange.key != nil {
			r.streamCopy.add(event)
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

// eventScanner finds the ends of events in a stream that is passed on in pieces of any size. Comments and blank
// lines are no events.
type eventScanner struct {
	lineLength int
	hasField   bool // the current event has a field
}

// scan reports whether an event ends in the next piece of the stream.
func (s *eventScanner) scan(piece []byte) (ended bool) {
	for _, b := range piece {
		switch {
		case b == '\n' && s.lineLength == 0:
			ended = ended || s.hasField
			s.hasField = false
		case b == '\n':
			s.lineLength = 0
		case b != '\r':
			s.hasField = s.hasField || s.lineLength == 0 && b != ':'
			s.lineLength++
		}
	}
	return ended
}

// resume continues a broken stream on the same engine by request ID and last event ID and reports whether it
// succeeded. A stream without event IDs is not resumed, since events could be repeated.
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
		response, err := x.handler.options.Upstream.Resume(ctx, x.engine, x.view.urls[x.engine], r.engineRequestID, lastID)
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

// handleBroken handles a response that broke off before anything was written to the caller.
func (r *relay) handleBroken(ctx context.Context, err error) *Problem {
	x := r.exchange
	x.handler.options.Logger.Warn().Str("request", x.id).Str("engine", x.engine).Err(err).Msg("answer broke off")
	r.result.Result = x.incompleteResult(ctx)
	if ctx.Err() != nil {
		x.cancelUpstream()
		if x.deadlinePassed.Load() {
			return problemDeadlinePassed.with("")
		}
		return problemBrokenResponse.with("the caller has gone")
	}
	x.storeUndetermined()
	return problemBrokenResponse.with("the engine's answer broke off")
}

// abortPartial ends a partial response by aborting the connection, so that the caller cannot take it for a
// complete one.
func (r *relay) abortPartial() {
	r.exchange.abort = true
	r.exchange.outcome = OutcomeUndetermined
	r.result.Result = scheduler.ResultFailed
	r.exchange.storeUndetermined()
}

// abandon ends a response whose caller has disconnected and cancels the request on its engine.
func (r *relay) abandon() {
	r.exchange.abort = true
	r.exchange.outcome = OutcomeUndetermined
	r.result.Result = scheduler.ResultCancelled
	r.exchange.cancelUpstream()
}
