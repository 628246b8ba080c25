package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/primrosebeam/primrosebeam/ledger"
	"github.com/primrosebeam/primrosebeam/strictjson"
)

// Paths of the callers' interface for idempotency keys.
const (
	pathKeys     = "/v1/keys"
	keysPrefix   = pathKeys + "/"
	maxKeysBytes = 4 << 10 // body of a request for keys
)

const (
	defaultKeyCount    = 1
	defaultKeyLifetime = 24 * time.Hour
)

type mintBody struct {
	Count    int                 `json:"count"`
	Lifetime strictjson.Duration `json:"lifetime"`
}

type mintAnswer struct {
	Keys []ledger.Key `json:"keys"`
}

// serveKeys issues keys and tells what became of one.
func (x *exchange) serveKeys() *Problem {
	if problem := x.authenticate(); problem != nil {
		return problem
	}
	if x.handler.options.Ledger == nil {
		return problemNoLedger.with("")
	}
	path := x.incoming.URL.Path
	switch {
	case path == pathKeys && x.incoming.Method == http.MethodPost:
		return x.mintKeys()
	case strings.HasPrefix(path, keysPrefix) && x.incoming.Method == http.MethodGet:
		return x.lookupKey(ledger.Key(strings.TrimPrefix(path, keysPrefix)))
	}
	return problemMethod.with("POST " + pathKeys + " or GET " + keysPrefix + "{key}")
}

func (x *exchange) mintKeys() *Problem {
	body := mintBody{Count: defaultKeyCount, Lifetime: strictjson.Duration(defaultKeyLifetime)}
	decoder := json.NewDecoder(http.MaxBytesReader(x.writer, x.incoming.Body, maxKeysBytes))
	decoder.DisallowUnknownFields()
	if x.incoming.ContentLength != 0 {
		if err := decoder.Decode(&body); err != nil {
			return problemBody.with(err.Error())
		}
	}
	lifetime := body.Lifetime.Std()
	if body.Count < 1 || body.Count > ledger.MaxMintCount || lifetime < ledger.MinLifetime || lifetime > ledger.MaxLifetime {
		return problemBody.with("count or lifetime out of range")
	}
	ctx, cancel := context.WithTimeout(x.incoming.Context(), ledgerTimeout)
	defer cancel()
	keys, err := x.handler.options.Ledger.Mint(ctx, ledger.MintRequest{
		Workspace: x.workspace.Name, Count: body.Count, Lifetime: lifetime,
	})
	if err != nil {
		return x.ledgerProblem(err)
	}
	x.writeJSON(http.StatusCreated, mintAnswer{Keys: keys})
	return nil
}

func (x *exchange) lookupKey(key ledger.Key) *Problem {
	ctx, cancel := context.WithTimeout(x.incoming.Context(), ledgerTimeout)
	defer cancel()
	status, err := x.handler.options.Ledger.Lookup(ctx, ledger.LookupRequest{Key: key, Workspace: x.workspace.Name})
	if err != nil {
		return x.ledgerProblem(err)
	}
	x.writeJSON(http.StatusOK, keyAnswer{State: status.State, Outcome: status.Outcome, Engine: status.Engine, Instance: status.Holder})
	return nil
}

type keyAnswer struct {
	State    ledger.State   `json:"state"`
	Outcome  ledger.Outcome `json:"outcome"`
	Engine   string         `json:"engine,omitempty"`
	Instance string         `json:"instance,omitempty"`
}

func (x *exchange) writeJSON(status int, body any) {
	header := x.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequestID, x.id)
	header.Set(HeaderOutcome, string(OutcomeAnswered))
	x.status = status
	x.outcome = OutcomeAnswered
	x.writer.WriteHeader(status)
	_ = json.NewEncoder(x.writer).Encode(body)
}
