package entry

import (
	"errors"
	"io"
	"net/http"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/upstream"
	"github.com/primrosebeam/primrosebeam/ledger"
)

// canResume reports whether the stream of the first attempt can be read from its engine.
func (x *exchange) canResume(status ledger.Status) bool {
	return x.stream && x.route.Service.Kind == configuration.KindModel && x.view.urls[status.Engine] != ""
}

// joinStream reads the stream of the first attempt from its engine, from the beginning. joined is false when
// the stream could not be opened; nothing was written to the caller in that case.
func (x *exchange) joinStream(status ledger.Status) (problem *Problem, joined bool) {
	ctx, cancel := x.attemptContext()
	defer cancel()
	x.engine = status.Engine
	response, err := x.handler.options.Upstream.Resume(ctx, status.Engine, x.view.urls[status.Engine], status.RequestID, "")
	if err != nil {
		x.handler.options.Logger.Warn().Str("request", x.id).Str("engine", x.engine).Err(err).
			Msg("could not join the stream of the first attempt")
		return nil, false
	}
	defer func() { response.Body.Close() }() // a resumed stream has another body
	x.key.requestID = status.RequestID
	x.key.fence = ledger.Fence{} // A response read by resuming is reported under the engine's request ID.
	relay := &relay{exchange: x, response: response, engineRequestID: status.RequestID}
	return relay.run(ctx), true
}

// maxStoredResponseBytes bounds the copy of a response that is collected for the owner of the key, which
// would discard a longer one.
const maxStoredResponseBytes = ledger.DefaultResponseBytes

// responseBuffer collects a response of up to maxStoredResponseBytes. It discards a longer one.
type responseBuffer struct {
	data    []byte
	omitted bool
}

func (c *responseBuffer) add(data []byte) {
	if c.omitted || len(c.data)+len(data) > maxStoredResponseBytes {
		c.omitted = true
		c.data = nil
		return
	}
	c.data = append(c.data, data...)
}

// storedResponse returns the response in the form in which the owner of the key stores it.
func (r *relay) storedResponse(body []byte, omitted bool) *ledger.Response {
	if omitted || len(body) > maxStoredResponseBytes {
		return &ledger.Response{Status: r.response.StatusCode, Omitted: true}
	}
	return &ledger.Response{Status: r.response.StatusCode, Header: storedHeaderFields(r.response.Header), Body: body}
}

// finishStream ends the response and returns true if err is io.EOF, which copyEvents returns after a complete
// stream. For any other error it returns false.
func (r *relay) finishStream(err error) bool {
	if !errors.Is(err, io.EOF) {
		return false
	}
	r.endStream()
	r.response.Body.Close() // its connection serves other requests while the owner is asked
	r.exchange.store(r.storedResponse(r.streamCopy.data, r.streamCopy.omitted))
	return true
}

// shouldAbandon reports whether the relay should stop because the caller has disconnected and the request
// does not outlive it.
func (r *relay) shouldAbandon() bool {
	if r.exchange.httpRequest.Context().Err() == nil {
		return false
	}
	r.callerDisconnected = true
	return !r.exchange.outlivesCaller()
}

// writeBody writes to the caller unless it has disconnected.
func (r *relay) writeBody(data []byte) error {
	if r.callerDisconnected {
		return nil
	}
	_, err := r.exchange.writer.Write(data)
	if err != nil && r.exchange.outlivesCaller() {
		r.callerDisconnected = true
		return nil
	}
	return err
}

func (r *relay) flush(controller *http.ResponseController) error {
	if r.callerDisconnected {
		return nil
	}
	err := controller.Flush()
	if err != nil && r.exchange.outlivesCaller() {
		r.callerDisconnected = true
		return nil
	}
	return err
}

// checkRequestID returns *upstream.MismatchError for an event that belongs to another request.
func (r *relay) checkRequestID(eventID string) error {
	want := r.engineRequestID
	if engineRequestID, named := upstream.RequestOfEvent(eventID); named && engineRequestID != want {
		r.exchange.handler.count("mismatched_answers_total")
		return &upstream.MismatchError{Engine: r.exchange.engine, Want: want, Got: engineRequestID}
	}
	return nil
}
