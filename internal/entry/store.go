package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/primrosebeam/primrosebeam/ledger"
)

const (
	// storeWait is how long a caller waits for its answer to be stored. Stored first, a resend
	// gets it even when this instance and the connection are lost right after.
	storeWait     = 500 * time.Millisecond
	storeInterval = time.Second
	storeAttempts = 30
)

// store gives the owner of the key the answer, so that a resend through any instance gets it. When
// the owner does not confirm in time, storing goes on without the caller.
func (x *exchange) store(response *ledger.Response) {
	if x.key == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.incoming.Context()), storeWait)
	defer cancel()
	err := x.key.complete(ctx, ledger.OutcomeAnswered, response)
	if err == nil {
		return
	}
	x.handler.options.Logger.Warn().Str("request", x.id).Err(err).Msg("answer not stored yet")
	x.handler.detached.Go(func() { x.storeLater(response) })
}

// storeLater repeats the report. The owner may have restarted, which voids the fence; an answer is
// then accepted under the engine's request ID.
func (x *exchange) storeLater(response *ledger.Response) {
	x.key.fence = ledger.Fence{}
	for range storeAttempts {
		if x.handler.stopping.Load() {
			break // A planned stop must not wait for an owner that is down.
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

// storeUndetermined tells the owner that this attempt brings no answer, so that resends do not wait
// for one. A resend that reads the whole stream from the engine later replaces this outcome.
func (x *exchange) storeUndetermined() {
	if x.key == nil || x.key.fence == (ledger.Fence{}) {
		return // Only the attempt that began may say so; one that joined it has no fence.
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.incoming.Context()), ledgerTimeout)
	defer cancel()
	if err := x.key.complete(ctx, ledger.OutcomeUndetermined, nil); err != nil {
		x.handler.options.Logger.Warn().Str("request", x.id).Err(err).Msg("undetermined outcome not stored")
	}
}

// storedFields selects the header fields that are kept with an answer.
func storedFields(header http.Header) []ledger.HeaderField {
	var fields []ledger.HeaderField
	for _, name := range []string{"Content-Type", "Content-Language", "Etag", "Location"} {
		for _, value := range header.Values(name) {
			fields = append(fields, ledger.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}
