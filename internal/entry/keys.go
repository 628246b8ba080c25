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

// Paths and limits of the API for idempotency keys.
const (
	keysPath         = "/v1/keys"
	keysPrefix       = keysPath + "/"
	maxMintBodyBytes = 4 << 10 // limit on the body of a request for keys
)

const (
	defaultKeyCount    = 1
	defaultKeyLifetime = 24 * time.Hour
)

type mintBody struct {
	Count    int                 `json:"count"`
	Lifetime strictjson.Duration `json:"lifetime"`
}

type mintResponse struct {
	Keys []ledger.Key `json:"keys"`
}

// serveKeys serves the API for idempotency keys: POST issues keys, GET returns the status of a key.
func (x *exchange) serveKeys() *Problem {
	if problem := x.authenticate(); problem != nil {
		return problem
	}
	if x.handler.options.Ledger == nil {
		return problemNoLedger.with("")
	}
	path := x.httpRequest.URL.Path
	switch {
	case path == keysPath && x.httpRequest.Method == http.MethodPost:
		return x.mintKeys()
	case strings.HasPrefix(path, keysPrefix) && x.httpRequest.Method == http.MethodGet:
		return x.lookupKey(ledger.Key(strings.TrimPrefix(path, keysPrefix)))
	}
	return problemMethodNotAllowed.with("POST " + keysPath + " or GET " + keysPrefix + "{key}")
}

func (x *exchange) mintKeys() *Problem {
	body := mintBody{Count: defaultKeyCount, Lifetime: strictjson.Duration(defaultKeyLifetime)}
	decoder := json.NewDecoder(http.MaxBytesReader(x.writer, x.httpRequest.Body, maxMintBodyBytes))
	decoder.DisallowUnknownFields()
	if x.httpRequest.ContentLength != 0 {
		if err := decoder.Decode(&body); err != nil {
			return problemInvalidBody.with(err.Error())
		}
	}
	lifetime := body.Lifetime.Std()
	if body.Count < 1 || body.Count > ledger.MaxMintCount || lifetime < ledger.MinLifetime || lifetime > ledger.MaxLifetime {
		return problemInvalidBody.with("count or lifetime out of range")
	}
	ctx, cancel := context.WithTimeout(x.httpRequest.Context(), ledgerTimeout)
	defer cancel()
	keys, err := x.handler.options.Ledger.Mint(ctx, ledger.MintRequest{
		Workspace: x.workspace.Name, Count: body.Count, Lifetime: lifetime,
	})
	if err != nil {
		return x.ledgerProblem(err)
	}
	x.writeJSON(http.StatusCreated, mintResponse{Keys: keys})
	return nil
}

func (x *exchange) lookupKey(key ledger.Key) *Problem {
	ctx, cancel := context.WithTimeout(x.httpRequest.Context(), ledgerTimeout)
	defer cancel()
	status, err := x.handler.options.Ledger.Lookup(ctx, ledger.LookupRequest{Key: key, Workspace: x.workspace.Name})
	if err != nil {
		return x.ledgerProblem(err)
	}
	x.writeJSON(http.StatusOK, keyStatus{
		State: status.State, Outcome: status.Outcome, Engine: status.Engine, Instance: status.Holder,
	})
	return nil
}

type keyStatus struct {
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
