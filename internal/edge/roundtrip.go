package edge

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/primrosebeam/primrosebeam/internal/enginelink"
	"github.com/primrosebeam/primrosebeam/placement"
)

// engineSend is what was passed to an engine for one send of a request.
type engineSend struct {
	lease    *enginelink.Lease // nil without a connection
	offered  bool              // the engine may have received the request, on this connection or on an earlier one
	replayed bool              // the engine may have received it on an earlier one
}

// release makes the connection available to other requests, if its response was read to the end.
func (s *engineSend) release() {
	if s.lease != nil {
		s.lease.Release()
	}
}

// roundTrip sends the request and returns the header of the response. A connection that was kept may turn out to be
// closed. The request is then sent on another one if nothing of it was sent, or if it may run twice.
func (x *exchange) roundTrip(ctx context.Context, engine placement.Engine) (*http.Response, *engineSend, error) {
	var usable func(*enginelink.Connection) bool
	dialContext := ctx
	if x.needsListedStart(engine) {
		isStart := x.edge.isListedStart
		if x.pinnedVersion == "" {
			isStart = x.edge.isBesideListedStart
		}
		usable = func(c *enginelink.Connection) bool { return isStart(c, engine) }
		dialContext = enginelink.RequireBorn(ctx, usable)
	}
	sent := &engineSend{}
	for {
		request, err := x.engineRequest(ctx, engine)
		if err != nil {
			return nil, sent, err
		}
		sent.lease, err = x.edge.pool.Acquire(dialContext, engine.Address, x.id, usable)
		if err != nil && x.mayBeginUnidentified(err) {
			sent.lease, err = x.edge.pool.Acquire(ctx, engine.Address, x.id, nil)
		}
		if err != nil {
			return nil, sent, err
		}
		var begun atomic.Bool
		trace := &httptrace.ClientTrace{GotFirstResponseByte: func() { begun.Store(true) }}
		response, err := sent.lease.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
		if err == nil {
			sent.replayed = sent.offered
			sent.offered = true
			return response, sent, nil
		}
		unsent := sent.lease.Unsent()
		sent.offered = sent.offered || !unsent
		again := unsent || x.mayReplay() && !begun.Load()
		if !again || !sent.lease.Kept() || ctx.Err() != nil {
			return nil, sent, err
		}
	}
}

// mayReplay reports whether the request may be sent once more to an engine that has closed its connection without a
// response.
func (x *exchange) mayReplay() bool {
	if !x.route.Idempotent() {
		return false
	}
	switch x.request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return x.request.Header.Get("Idempotency-Key") != "" || x.request.Header.Get("X-Idempotency-Key") != ""
}
