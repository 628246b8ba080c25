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
	"time"
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
// An engine may send a second copy of a response late, where the next response on the connection is expected.
// Connections for callers' requests are therefore reused only with engines that echo the request ID, by which
// such a copy is recognized, and never for calls of the control interface.
type Client struct {
	echoing *http.Transport // requests to engines that are known to echo the request ID
	single  *http.Transport // requests to other engines: one request on each connection
	control *http.Transport // calls of the control interface
	echoes  sync.Map        // base URLs of the engines that echo the request ID
}

// New returns a client. It ignores the proxy settings of the environment and needs no name look-ups, since
// the URLs of engines contain IP addresses.
func New() *Client {
	single := newTransport()
	single.MaxIdleConnsPerHost = -1 // unlike DisableKeepAlives, this does not change the request
	return &Client{echoing: newTransport(), single: single, control: newTransport()}
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: connection}, nil
		},
		MaxIdleConnsPerHost:    maxIdlePerEngine,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true, // the response is relayed unchanged
		MaxResponseHeaderBytes: maxResponseHeaderSize,
		ReadBufferSize:         readBufferSize,
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.echoing.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// transportFor returns the transport for a request. mustEcho reports whether a response without the request ID
// is to be discarded.
func (c *Client) transportFor(r *Request) (transport *http.Transport, mustEcho bool) {
	if r.ID == "" {
		return c.control, false
	}
	if _, echoes := c.echoes.Load(r.URL); echoes {
		return c.echoing, true
	}
	return c.single, false
}

// Request is one request to an engine.
type Request struct {
	Engine string // name of the engine, for errors
	URL    string // base URL of the engine
	Method string
	Target string // path and query
	Header http.Header
	Body   []byte
	ID     string // request ID that the engine echoes in its response; empty for calls of the control interface
	// BeforeSend is called when a connection is established and before the first byte is written. If it
	// returns an error, nothing is sent. It may be nil.
	BeforeSend func(ctx context.Context) error
}

// Do sends r and returns the engine's response as soon as its header has arrived. The caller closes the
// body. Errors: *NotSentError, *BeforeSendError, *IncompleteResponseError, *MismatchError.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, error) {
	gate := &gate{beforeSend: r.BeforeSend}
	outgoing, err := r.build(gate.trace(ctx))
	if err != nil {
		return nil, &NotSentError{Engine: r.Engine, Cause: err}
	}
	transport, mustEcho := c.transportFor(&r)
	response, err := transport.RoundTrip(outgoing)
	if err != nil {
		return nil, gate.classify(r.Engine, err)
	}
	got := response.Header.Get(HeaderRequestID)
	if r.ID != "" && got != r.ID && (got != "" || mustEcho) {
		response.Body.Close()
		gate.closeConnection() // the response to this request may still arrive on it
		c.echoes.Delete(r.URL)
		return nil, &MismatchError{Engine: r.Engine, Want: r.ID, Got: got}
	}
	if got != "" && got == r.ID {
		c.echoes.Store(r.URL, true)
	}
	return response, nil
}

func (r Request) build(ctx context.Context) (*http.Request, error) {
	// Without GetBody the transport can't replay the request on another connection after a byte was
	// written. It would do so for GET.
	body := io.NopCloser(bytes.NewReader(r.Body))
	outgoing, err := http.NewRequestWithContext(ctx, r.Method, strings.TrimSuffix(r.URL, "/")+r.Target, body)
	if err != nil {
		return nil, fmt.Errorf("upstream: build request: %w", err)
	}
	if r.Header != nil {
		outgoing.Header = r.Header
	}
	if len(r.Body) > 0 {
		outgoing.ContentLength = int64(len(r.Body))
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
	response, err := c.Do(ctx, Request{
		Engine: engine, URL: baseURL, Method: http.MethodGet,
		Target: pathRequests + id, Header: header, ID: id,
	})
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
	response, err := c.Do(ctx, Request{
		Engine: engine, URL: baseURL, Method: http.MethodDelete, Target: pathRequests + id, ID: id,
	})
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
