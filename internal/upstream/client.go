package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/primrosebeam/primrosebeam/internal/enginelink"
)

// Names of the headers that are exchanged with engines.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderLastEventID = "Last-Event-ID"
	HeaderLeaving     = "X-Engine-Leaving" // "true" when the engine accepts no more requests
)

const (
	dialTimeout           = 2 * time.Second // connecting within a data centre takes about 2 ms
	idleTimeout           = 60 * time.Second
	maxIdlePerEngine      = 256
	maxResponseHeaderSize = 64 << 10 // bytes
	readBufferSize        = 32 << 10 // bytes; large enough to read many small events at once
)

// Client sends requests to engines. It is safe for concurrent use.
//
// An engine may send a second copy of a response at any time, also where the next response on the connection is
// expected. The echoed request ID tells such a copy from the response, unless both have the same ID. Therefore a
// connection carries a request ID once, calls of the control interface have IDs as well, and a connection is kept only
// if the response on it echoed the ID. Requests and calls of the control interface share no connections, so that a copy
// of a report costs no request.
type Client struct {
	requests *enginelink.Pool // requests of callers, and calls that resume or cancel them
	control  *enginelink.Pool // calls of the control interface
	echoes   sync.Map         // endpoints that echo the request ID
	calls    atomic.Uint64    // calls of the control interface so far
}

// endpoint is a part of an engine whose responses either all echo the request ID or do not.
type endpoint struct {
	url    string // base URL of the engine
	method string // of a call, and empty for requests
	path   string // of a call without the request ID, and empty for requests
}

// New returns a client. It ignores the proxy settings of the environment and needs no name look-ups, since
// the URLs of engines contain IP addresses.
func New() *Client { return NewWithMetrics(nil) }

// NewWithMetrics returns a client that counts the connections for requests in a set of metrics.
func NewWithMetrics(set *metrics.Set) *Client {
	return &Client{requests: newPool(set), control: newPool(nil)}
}

func newPool(set *metrics.Set) *enginelink.Pool {
	return enginelink.NewPool(enginelink.PoolOptions{
		Dial:                   (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdle:                maxIdlePerEngine,
		IdleTimeout:            idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderSize,
		ReadBufferBytes:        readBufferSize,
		Metrics:                set,
	})
}

// Close closes idle connections.
func (c *Client) Close() {
	c.requests.CloseIdle()
	c.control.CloseIdle()
}

// Request is one request to an engine.
type Request struct {
	Engine string // name of the engine, for errors
	URL    string // base URL of the engine
	Method string
	Target string // path and query
	Header http.Header
	Body   []byte
	ID     string // request ID that the engine echoes in its response
	// BeforeSend is called once, when a connection is available and before the first byte is written. If it returns
	// an error, nothing is sent. It may be nil.
	BeforeSend func(ctx context.Context) error
}

// Do sends r and returns the engine's response as soon as its header has arrived. The caller closes the
// body; the connection is not available to other requests before. Errors: *NotSentError, *BeforeSendError,
// *IncompleteResponseError, *MismatchError.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, error) {
	return c.send(ctx, &r, endpoint{url: r.URL})
}

func (c *Client) send(ctx context.Context, r *Request, e endpoint) (*http.Response, error) {
	_, mustEcho := c.echoes.Load(e)
	lease, response, err := c.roundTrip(ctx, r, e, mustEcho)
	if err != nil {
		return nil, err
	}
	got := response.Header.Get(HeaderRequestID)
	end := lease.Release
	switch {
	case got == r.ID && r.ID != "":
		c.echoes.Store(e, true)
	case mustEcho || got != "" && !e.isControl():
		lease.Close() // the response to this request may still arrive on it
		response.Body.Close()
		c.echoes.Delete(e)
		return nil, &MismatchError{Engine: r.Engine, Want: r.ID, Got: got}
	default:
		end = lease.Close // it has carried nothing else, but would not tell copies of this response from the next one
	}
	response.Body = &body{ReadCloser: response.Body, end: end}
	return response, nil
}

func (e endpoint) isControl() bool { return e.path != "" && e.path != pathRequests }

// roundTrip sends r once. A connection that was kept may turn out to be closed; if nothing of r was sent on it, another
// one is used.
func (c *Client) roundTrip(ctx context.Context, r *Request, e endpoint, mustEcho bool) (*enginelink.Lease, *http.Response, error) {
	pool := c.requests
	if e.isControl() {
		pool = c.control
	}
	usable := (*enginelink.Connection).Unused
	if mustEcho {
		usable = nil
	}
	address := strings.TrimPrefix(strings.TrimSuffix(r.URL, "/"), "http://")
	permitted := r.BeforeSend == nil
	for {
		outgoing, err := r.build(ctx)
		if err != nil {
			return nil, nil, &NotSentError{Engine: r.Engine, Cause: err}
		}
		lease, err := pool.Acquire(ctx, address, r.ID, usable)
		if err != nil {
			return nil, nil, &NotSentError{Engine: r.Engine, Cause: err}
		}
		if !permitted {
			if err := r.BeforeSend(ctx); err != nil {
				lease.Release()
				return nil, nil, &BeforeSendError{Engine: r.Engine, Cause: err}
			}
			permitted = true
		}
		response, err := lease.RoundTrip(outgoing)
		if err == nil {
			return lease, response, nil
		}
		if !lease.Unsent() {
			return nil, nil, &IncompleteResponseError{Engine: r.Engine, Cause: err}
		}
		if !lease.Kept() || ctx.Err() != nil {
			return nil, nil, &NotSentError{Engine: r.Engine, Cause: err}
		}
	}
}

// body is the body of a response. Its end is that of the use of the connection.
type body struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// Close implements io.Closer.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.end)
	return err
}

func (r *Request) build(ctx context.Context) (*http.Request, error) {
	var content io.Reader
	if len(r.Body) > 0 {
		content = bytes.NewReader(r.Body)
	}
	outgoing, err := http.NewRequestWithContext(ctx, r.Method, strings.TrimSuffix(r.URL, "/")+r.Target, content)
	if err != nil {
		return nil, fmt.Errorf("upstream: build request: %w", err)
	}
	if r.Header != nil {
		outgoing.Header = r.Header
	}
	if r.ID != "" {
		outgoing.Header.Set(HeaderRequestID, r.ID)
	}
	return outgoing, nil
}

// Paths of the engines' control interface.
const (
	pathRequests    = "/v1/requests/"
	pathMetrics     = "/metrics"
	pathCacheEvents = "/v1/cache-events"
	pathLifecycle   = "/v1/lifecycle"
)

// Resume requests the events of request id after lastEventID, or all of them when lastEventID is empty. The
// caller closes the body. Errors: those of Do, and *StatusError when the engine no longer has the request.
func (c *Client) Resume(ctx context.Context, engine, baseURL, id, lastEventID string) (*http.Response, error) {
	header := http.Header{}
	if lastEventID != "" {
		header.Set(HeaderLastEventID, lastEventID)
	}
	response, err := c.send(ctx, &Request{
		Engine: engine, URL: baseURL, Method: http.MethodGet,
		Target: pathRequests + id, Header: header, ID: id,
	}, endpoint{url: baseURL, method: http.MethodGet, path: pathRequests})
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, &StatusError{Status: response.StatusCode}
	}
	return response, nil
}

// Cancel asks the engine to stop processing request id. The engine may ignore the call.
func (c *Client) Cancel(ctx context.Context, engine, baseURL, id string) error {
	response, err := c.send(ctx, &Request{
		Engine: engine, URL: baseURL, Method: http.MethodDelete, Target: pathRequests + id, ID: id,
	}, endpoint{url: baseURL, method: http.MethodDelete, path: pathRequests})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return &StatusError{Status: response.StatusCode}
	}
	return nil
}

// IsNotSent reports whether err guarantees that no byte reached the engine.
func IsNotSent(err error) bool {
	var notSent *NotSentError
	var beforeSend *BeforeSendError
	return errors.As(err, &notSent) || errors.As(err, &beforeSend)
}
