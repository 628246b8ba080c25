package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/primrosebeam/primrosebeam/ledger"
)

const (
	// storeTimeout is the maximum time for which the response is held back until the owner of the key has
	// stored it. Storing it first lets a retry get the response even when this instance and the connection are
	// lost right afterwards.
	storeTimeout  = 500 * time.Millisecond
	storeInterval = time.Second // delay before each further attempt to store the response
	storeAttempts = 30          // number of further attempts
)

// store sends the response to the owner of the key, so that a retry through any instance gets it. When the
// owner does not confirm within storeTimeout, further attempts are made in the background.
func (x *exchange) store(response *ledger.Response) {
	if x.key == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.httpRequest.Context()), storeTimeout)
	defer cancel()
	err := x.key.complete(ctx, ledger.OutcomeAnswered, response)
	if err == nil {
		return
	}
	x.handler.options.Logger.Warn().Str("request", x.id).Err(err).Msg("answer not stored yet")
	x.handler.detached.Go(func() { x.retryStore(response) })
}

// retryStore repeats the attempt to store the response. It omits the fence, which a restart of the owner
// invalidates; the owner accepts the response under the request ID at the engine instead.
func (x *exchange) retryStore(response *ledger.Response) {
	x.key.fence = ledger.Fence{}
	for range storeAttempts {
		if x.handler.stopping.Load() {
			break // A graceful stop must not wait for an owner that is unavailable.
		}
		time.Sleep(storeInterval)
		ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
		err := x.key.complete(ctx, ledger.OutcomeAnswered, response)
		cancel()
		if err == nil {
			return
		}
	}
	x.handler.options.Logger.Error().Str("request", x.id).Msg("answer not stored at the owner of the key")
	x.handler.count("unstored_answers_total")
}

// storeUndetermined reports to the owner that this attempt produced no response, so that retries do not wait
// for one. A retry that later reads the complete stream from the engine replaces this outcome.
func (x *exchange) storeUndetermined() {
	if x.key == nil || x.key.fence == (ledger.Fence{}) {
		return // Only the attempt that began the key may report this; an attempt that joined it has no fence.
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.httpRequest.Context()), ledgerTimeout)
	defer cancel()
	if err := x.key.complete(ctx, ledger.OutcomeUndetermined, nil); err != nil {
		x.handler.options.Logger.Warn().Str("request", x.id).Err(err).Msg("undetermined outcome not stored")
	}
}

// storedHeaderFields returns the header fields that are stored with a response.
func storedHeaderFields(header http.Header) []ledger.HeaderField {
	var fields []ledger.HeaderField
	for _, name := range []string{"Content-Type", "Content-Language", "Etag", "Location"} {
		for _, value := range header.Values(name) {
			fields = append(fields, ledger.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}
