package entry

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
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
)

// relay carries one engine's answer to the caller.
type relay struct {
	exchange *exchange
	ticket   *dispatch.Ticket
	response *http.Response
	finish   scheduler.Finish
}

// run returns a problem only while nothing was written to the caller.
func (r *relay) run(ctx context.Context) *Problem {
	r.finish = scheduler.Finish{Result: scheduler.ResultSuccess, CachedTokens: -1}
	if r.isEventStream() {
		return r.relayStream(ctx)
	}
	return r.relayAnswer(ctx)
}

func (r *relay) isEventStream() bool {
	kind, _, err := mime.ParseMediaType(r.response.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream" && r.exchange.route.Service.Kind == configuration.KindModel
}

// relayAnswer holds an answer of bounded size until it is whole; a larger one is passed on as it comes.
func (r *relay) relayAnswer(ctx context.Context) *Problem {
	limit := r.exchange.handler.options.AnswerBytes
	start, err := io.ReadAll(io.LimitReader(r.response.Body, int64(limit)+1))
	if err != nil {
		return r.broken(ctx, err)
	}
	if r.response.StatusCode >= http.StatusInternalServerError {
		r.finish.Result = scheduler.ResultFailed
	}
	if len(start) <= limit {
		r.writeWhole(start)
		return nil
	}
	r.writeHeader(-1, OutcomeAnswered)
	if _, err := r.exchange.writer.Write(start); err != nil {
		r.callerGone()
		return nil
	}
	if _, err := io.Copy(r.exchange.writer, r.response.Body); err != nil {
		r.cut()
	}
	return nil
}

func (r *relay) writeWhole(body []byte) {
	r.exchange.outcome = OutcomeAnswered
	header := r.exchange.writer.Header()
	for name := range r.response.Trailer {
		header.Add("Trailer", name)
	}
	length := len(body)
	if len(r.response.Trailer) > 0 {
		length = -1 // Trailers need a chunked body.
	}
	r.writeHeader(length, OutcomeAnswered)
	if r.exchange.incoming.Method != http.MethodHead {
		_, _ = r.exchange.writer.Write(body)
	}
	for name, values := range r.response.Trailer {
		header[name] = values
	}
}

func (r *relay) writeHeader(length int, outcome Outcome) {
	x := r.exchange
	header := x.writer.Header()
	upstream.ForwardHeader(header, r.response.Header, nil)
	header.Del("Content-Length")
	if length >= 0 && x.incoming.Method != http.MethodHead {
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

// relayStream passes on whole events. The outcome of a stream is known only at its end and is sent as a trailer.
func (r *relay) relayStream(ctx context.Context) *Problem {
	x := r.exchange
	x.writer.Header().Add("Trailer", HeaderOutcome)
	r.writeHeader(-1, "")
	stream := upstream.NewEventStream(r.response.Body, "")
	for attempt := 0; ; attempt++ {
		err := r.copyEvents(stream)
		r.finish.OutputTokens += stream.Events()
		if errors.Is(err, io.EOF) {
			x.outcome = OutcomeAnswered
			x.writer.Header().Set(HeaderOutcome, string(OutcomeAnswered))
			return nil
		}
		if x.incoming.Context().Err() != nil {
			r.callerGone()
			return nil
		}
		x.handler.options.Logger.Warn().Str("request", x.id).Str("engine", x.engine).Err(err).Msg("stream broke off")
		var mismatch *upstream.MismatchError
		if errors.As(err, &mismatch) {
			r.cut()
			return nil
		}
		resumed := r.resume(ctx, stream, attempt)
		if resumed == nil {
			r.cut()
			return nil
		}
		stream = resumed
	}
}

func (r *relay) copyEvents(stream *upstream.EventStream) error {
	x := r.exchange
	controller := http.NewResponseController(x.writer)
	reported := 0
	for {
		event, err := stream.Next()
		if err != nil {
			_ = controller.Flush()
			return err
		}
		if owner, named := upstream.RequestOfEvent(stream.LastID()); named && owner != x.id {
			x.handler.count("mismatched_answers_total")
			return &upstream.MismatchError{Engine: x.engine, Want: x.id, Got: owner}
		}
		if _, err := x.writer.Write(event); err != nil {
			return err
		}
		if stream.Buffered() == 0 {
			if err := controller.Flush(); err != nil {
				return err
			}
		}
		if stream.Events()-reported >= progressInterval {
			r.ticket.Progress(stream.Events() - reported)
			reported = stream.Events()
		}
	}
}

// resume continues a broken stream on the same engine by request ID and last event ID. It returns
// nil when that is not possible. A stream without event IDs cannot be resumed without repeating events.
func (r *relay) resume(ctx context.Context, broken *upstream.EventStream, attempt int) *upstream.EventStream {
	x := r.exchange
	if broken.LastID() == "" {
		return nil
	}
	for ; attempt < resumeAttempts; attempt++ {
		select {
		case <-time.After(resumeBackoff << attempt):
		case <-ctx.Done():
			return nil
		}
		response, err := x.handler.options.Upstream.Resume(ctx, x.engine, x.view.urls[x.engine], x.id, broken.LastID())
		if err == nil {
			r.response.Body.Close()
			r.response.Body = response.Body
			x.handler.count("resumed_streams_total")
			return upstream.NewEventStream(response.Body, broken.LastID())
		}
		var status *upstream.StatusError
		if errors.As(err, &status) {
			return nil
		}
	}
	return nil
}

// broken handles an answer that broke off before anything was written to the caller.
func (r *relay) broken(ctx context.Context, err error) *Problem {
	x := r.exchange
	x.handler.options.Logger.Warn().Str("request", x.id).Str("engine", x.engine).Err(err).Msg("answer broke off")
	if ctx.Err() != nil {
		x.cancelUpstream()
		r.finish.Result = scheduler.ResultCancelled
		return problemBroken.with("the caller has gone")
	}
	r.finish.Result = scheduler.ResultFailed
	return problemBroken.with("the engine's answer broke off")
}

// cut ends a partial answer so that it does not look whole.
func (r *relay) cut() {
	r.exchange.abort = true
	r.exchange.outcome = OutcomeUndetermined
	r.finish.Result = scheduler.ResultFailed
}

// callerGone stops the engine's work on an answer that nobody reads.
func (r *relay) callerGone() {
	r.exchange.abort = true
	r.exchange.outcome = OutcomeUndetermined
	r.finish.Result = scheduler.ResultCancelled
	r.exchange.cancelUpstream()
}
