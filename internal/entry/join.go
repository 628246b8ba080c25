package entry

import (
	"errors"
	"io"
	"net/http"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/upstream"
	"github.com/primrosebeam/primrosebeam/ledger"
)

// canResume reports whether the answer of the first attempt can be read from its engine.
func (x *exchange) canResume(status ledger.Status) bool {
	return x.stream && x.route.Service.Kind == configuration.KindModel && x.view.urls[status.Engine] != ""
}

// joinStream reads the whole stream of the first attempt from its engine. joined is false when the
// engine does not have it and nothing was written yet.
func (x *exchange) joinStream(status ledger.Status) (problem *Problem, joined bool) {
	ctx, cancel := x.attemptContext()
	defer cancel()
	x.engine = status.Engine
	response, err := x.handler.options.Upstream.Resume(ctx, status.Engine, x.view.urls[status.Engine], status.RequestID, "")
	if err != nil {
		x.handler.options.Logger.Warn().Str("request", x.id).Str("engine", x.engine).Err(err).Msg("first attempt cannot be joined")
		return nil, false
	}
	defer response.Body.Close()
	x.key.requestID = status.RequestID
	x.key.fence = ledger.Fence{} // An answer read by resuming is reported under the engine's request ID.
	relay := &relay{exchange: x, response: response, owner: status.RequestID}
	return relay.run(ctx), true
}

// maxStoredAnswer bounds the copy of an answer that is collected for the owner of the key, which
// would drop a longer one.
const maxStoredAnswer = ledger.DefaultResponseBytes

// copyBuffer collects an answer up to a bound.
type copyBuffer struct {
	data    []byte
	omitted bool
}

func (c *copyBuffer) add(data []byte) {
	if c.omitted || len(c.data)+len(data) > maxStoredAnswer {
		c.omitted = true
		c.data = nil
		return
	}
	c.data = append(c.data, data...)
}

// stored returns the answer as the owner keeps it.
func (r *relay) stored(body []byte, omitted bool) *ledger.Response {
	if omitted || len(body) > maxStoredAnswer {
		return &ledger.Response{Status: r.response.StatusCode, Omitted: true}
	}
	return &ledger.Response{Status: r.response.StatusCode, Header: storedFields(r.response.Header), Body: body}
}

// finishedStream handles the end of copying events: err is io.EOF after a whole stream.
func (r *relay) finishedStream(err error) bool {
	if !errors.Is(err, io.EOF) {
		return false
	}
	r.endStream()
	r.exchange.store(r.stored(r.copy.data, r.copy.omitted))
	return true
}

// abandoned reports whether the relay should stop because nobody reads the answer.
func (r *relay) abandoned() bool {
	if r.exchange.incoming.Context().Err() == nil {
		return false
	}
	r.callerLost = true
	return !r.exchange.outlivesCaller()
}

// writeBody writes to the caller unless it has gone.
func (r *relay) writeBody(data []byte) error {
	if r.callerLost {
		return nil
	}
	_, err := r.exchange.writer.Write(data)
	if err != nil && r.exchange.outlivesCaller() {
		r.callerLost = true
		return nil
	}
	return err
}

func (r *relay) flush(controller *http.ResponseController) error {
	if r.callerLost {
		return nil
	}
	err := controller.Flush()
	if err != nil && r.exchange.outlivesCaller() {
		r.callerLost = true
		return nil
	}
	return err
}

// mismatch reports an event that belongs to another request.
func (r *relay) mismatch(eventID string) error {
	want := r.owner
	if owner, named := upstream.RequestOfEvent(eventID); named && owner != want {
		r.exchange.handler.count("mismatched_answers_total")
		return &upstream.MismatchError{Engine: r.exchange.engine, Want: want, Got: owner}
	}
	return nil
}
