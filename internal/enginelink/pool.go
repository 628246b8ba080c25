package enginelink

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/primrosebeam/primrosebeam/internal/boottime"
)

// PoolOptions configures a Pool.
type PoolOptions struct {
	// Dial opens a connection. It must end by itself: a connection that is opened late is kept for other requests.
	Dial                   func(ctx context.Context, network, address string) (net.Conn, error)
	MaxIdle                int           // idle connections that are kept for an address
	IdleTimeout            time.Duration // how long an idle connection is kept
	MaxResponseHeaderBytes int64         // status line and header of a response
	ReadBufferBytes        int           // 0 means the default of net/http
	Metrics                *metrics.Set  // nil means none
}

// Pool keeps connections to engines for reuse. It is safe for concurrent use.
//
// Invariants: a connection has at most one user; it gets the next one only after its user has checked the response and
// released it; it carries at most one request with an ID. A response is therefore that to the request under way, or its
// ID is another one.
type Pool struct {
	options   PoolOptions
	transport *http.Transport // opens connections, but keeps none
	tls       *tls.Config     // nil means the default
	counters  map[poolEvent]*metrics.Counter

	mu      sync.Mutex
	idle    map[string][]*pooled // by address, the most recently used one last
	waiting map[string][]*waiter // by address, in order of arrival

	openMu sync.Mutex                          // taken after mu, where both are
	open   map[string]map[*Connection]struct{} // not closed by this side, by host and port
}

// poolEvent is what happens to connections, in metrics.
type poolEvent string

const (
	eventOpened     poolEvent = "opened"
	eventReused     poolEvent = "reused"
	eventPassedOver poolEvent = "passed-over" // idle, but it has carried a request with the same ID
	eventRetired    poolEvent = "retired"     // it has carried maxCarried requests
)

const (
	tlsHandshakeTimeout = 2 * time.Second
	// tlsPrefix begins the address of an engine that is reached over TLS.
	tlsPrefix = "https://"
)

// NewPool returns a Pool without connections.
func NewPool(o PoolOptions) *Pool {
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	p := &Pool{
		options: o, counters: map[poolEvent]*metrics.Counter{},
		idle: map[string][]*pooled{}, waiting: map[string][]*waiter{}, open: map[string]map[*Connection]struct{}{},
	}
	p.transport = &http.Transport{
		DialContext: p.openPlain, DisableCompression: true, MaxResponseHeaderBytes: o.MaxResponseHeaderBytes, ReadBufferSize: o.ReadBufferBytes,
		DialTLSContext: p.openTLS,
	}
	for _, event := range []poolEvent{eventOpened, eventReused, eventPassedOver, eventRetired} {
		p.counters[event] = o.Metrics.NewCounter(fmt.Sprintf("primrosebeam_engine_connections_total{event=%q}", event))
	}
	return p
}

// pooled is a connection of a Pool.
type pooled struct {
	*Connection
	address string
	client  *http.ClientConn
	expiry  *time.Timer   // set while it is idle
	idleAt  boottime.Time // when it became idle
	kept    bool          // it has been without a user since it was opened
}

// waiter is a request that waits for a connection. Its own dial has begun; a connection that is released meanwhile serves
// as well.
type waiter struct {
	accepts func(*pooled) bool
	served  bool        // guarded by Pool.mu
	result  chan result // gets one result if served
}

type result struct {
	connection *pooled
	err        error
}

// UnusableError reports a new connection that the request does not accept. It is kept for others.
type UnusableError struct{ Address string }

func (e *UnusableError) Error() string {
	return "enginelink: new connection to " + e.Address + " cannot be used for this request"
}

// Acquire returns a connection for one request with the given ID, which it has not carried yet. The address is IP:port,
// or https://IP:port for TLS. usable limits the connections that are accepted; nil accepts all. The error is that of the
// dial, *UnusableError, or the cause of the end of ctx.
func (p *Pool) Acquire(ctx context.Context, address, id string, usable func(*Connection) bool) (*Lease, error) {
	c, err := p.acquire(ctx, address, func(c *pooled) bool {
		if c.carried.has(id) {
			p.counters[eventPassedOver].Inc()
			return false
		}
		return usable == nil || usable(c.Connection)
	})
	if err != nil {
		return nil, err
	}
	l := p.lease(c, id)
	if ctx.Err() != nil {
		l.Release()
		return nil, context.Cause(ctx)
	}
	return l, nil
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = map[string][]*pooled{}
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.closeIdle()
		}
	}
}

func (p *Pool) acquire(ctx context.Context, address string, accepts func(*pooled) bool) (*pooled, error) {
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	w := &waiter{accepts: accepts, result: make(chan result, 1)}
	p.mu.Lock()
	if c := p.takeIdle(address, accepts); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	p.waiting[address] = append(p.waiting[address], w)
	p.mu.Unlock()
	go p.dial(context.WithoutCancel(ctx), address, w)
	select {
	case r := <-w.result:
		return r.connection, r.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	served := w.served
	p.forget(address, w)
	p.mu.Unlock()
	if served {
		if r := <-w.result; r.err == nil {
			r.connection.client.Release()
			p.put(r.connection)
		}
	}
	return nil, context.Cause(ctx)
}

// takeIdle removes an idle connection that is accepted from the pool and reserves it. The caller holds p.mu.
func (p *Pool) takeIdle(address string, accepts func(*pooled) bool) *pooled {
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		tooOld := boottime.Now().Sub(c.idleAt) >= p.options.IdleTimeout // its timer has not run after a standstill
		if !tooOld && c.client.Err() == nil && !accepts(c) {
			continue
		}
		p.removeIdle(c)
		c.expiry.Stop()
		if !tooOld && c.client.Reserve() == nil {
			return c
		}
		_ = c.client.Close() // the engine has closed it or may have, or it sent what nobody asked for
	}
	return nil
}

// removeIdle removes a connection from the idle ones and reports whether it was one. The caller holds p.mu.
func (p *Pool) removeIdle(c *pooled) bool {
	list := p.idle[c.address]
	i := slices.Index(list, c)
	if i < 0 {
		return false
	}
	if list = slices.Delete(list, i, i+1); len(list) == 0 {
		delete(p.idle, c.address)
		return true
	}
	p.idle[c.address] = list
	return true
}

// forget removes a waiter. The caller holds p.mu.
func (p *Pool) forget(address string, w *waiter) {
	w.served = true
	list := slices.DeleteFunc(p.waiting[address], func(other *waiter) bool { return other == w })
	if len(list) == 0 {
		delete(p.waiting, address)
		return
	}
	p.waiting[address] = list
}

// dial opens a connection for a waiter. If the waiter has been served meanwhile, others get the connection.
func (p *Pool) dial(ctx context.Context, address string, w *waiter) {
	opened := &pooled{address: address}
	scheme := "http"
	target, secure := strings.CutPrefix(address, tlsPrefix)
	if secure {
		scheme = "https"
	}
	client, err := p.transport.NewClientConn(context.WithValue(ctx, openedKey{}, &opened.Connection), scheme, target)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		if !w.served {
			p.forget(address, w)
			w.result <- result{err: err}
		}
		return
	}
	p.counters[eventOpened].Inc()
	opened.client = client
	p.mu.Lock()
	wanted := !w.served
	if wanted {
		p.forget(address, w)
	}
	p.mu.Unlock()
	switch {
	case !wanted:
		p.put(opened)
	case !w.accepts(opened):
		p.put(opened)
		w.result <- result{err: &UnusableError{Address: address}}
	default:
		if err := client.Reserve(); err != nil {
			w.result <- result{err: err}
			return
		}
		w.result <- result{connection: opened}
	}
}

type openedKey struct{}

// HasOpen reports whether there is a connection to an engine that is accepted and that the engine has not ended, whether
// it is in use or not. It may be called from the functions that limit which connections are accepted.
func (p *Pool) HasOpen(address string, accepts func(*Connection) bool) bool {
	p.openMu.Lock()
	defer p.openMu.Unlock()
	for c := range p.open[address] {
		if accepts(c) && c.IsOpen() {
			return true
		}
	}
	return false
}

// track keeps a connection among the open ones until it is closed.
func (p *Pool) track(address string, c *Connection) {
	p.openMu.Lock()
	defer p.openMu.Unlock()
	if p.open[address] == nil {
		p.open[address] = map[*Connection]struct{}{}
	}
	p.open[address][c] = struct{}{}
	c.onClose = func() {
		p.openMu.Lock()
		defer p.openMu.Unlock()
		if delete(p.open[address], c); len(p.open[address]) == 0 {
			delete(p.open, address)
		}
	}
}

// openPlain opens a connection and hands it to dial.
func (p *Pool) openPlain(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := p.options.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c, ok := raw.(*Connection)
	if !ok {
		c = NewConnection(raw)
	}
	p.track(address, c)
	*ctx.Value(openedKey{}).(**Connection) = c
	return c, nil
}

// openTLS opens a connection over TLS and hands it to dial. The written bytes are counted without those of TLS itself,
// which are also written when a connection is closed.
func (p *Pool) openTLS(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := p.options.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	config := p.tls.Clone()
	if config == nil {
		config = &tls.Config{}
	}
	if config.ServerName, _, err = net.SplitHostPort(address); err != nil {
		_ = raw.Close() // the caller reports why
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, tlsHandshakeTimeout)
	defer cancel()
	secured := tls.Client(raw, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = raw.Close() // the caller reports why
		return nil, err
	}
	c := NewConnection(secured)
	*ctx.Value(openedKey{}).(**Connection) = c
	return c, nil
}

// put gives a connection without a user to the first waiter that accepts it, or keeps it.
func (p *Pool) put(c *pooled) {
	c.kept = true
	if c.carried.isFull() {
		p.counters[eventRetired].Inc()
	}
	if c.client.Available() == 0 || c.carried.isFull() {
		_ = c.client.Close() // its response has been used or given up
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.waiting[c.address] {
		if !w.accepts(c) {
			continue
		}
		if c.client.Reserve() != nil {
			break
		}
		p.forget(c.address, w)
		w.result <- result{connection: c}
		return
	}
	if len(p.idle[c.address]) >= p.options.MaxIdle {
		_ = c.client.Close() // nothing is under way on it
		return
	}
	c.idleAt = boottime.Now()
	c.expiry = time.AfterFunc(p.options.IdleTimeout, func() { p.expire(c) })
	p.idle[c.address] = append(p.idle[c.address], c)
}

func (p *Pool) expire(c *pooled) {
	p.mu.Lock()
	idle := p.removeIdle(c)
	p.mu.Unlock()
	if idle {
		c.closeIdle()
	}
}

func (c *pooled) closeIdle() {
	c.expiry.Stop()
	_ = c.client.Close() // nothing is under way on it
}

// Lease is the use of a connection for one request.
type Lease struct {
	pool    *Pool
	c       *pooled
	id      string
	reused  bool
	written int64 // bytes written on the connection before
	sent    bool
	ended   bool
}

func (p *Pool) lease(c *pooled, id string) *Lease {
	l := &Lease{pool: p, c: c, id: id, reused: c.uses > 0, written: c.count()}
	if l.reused {
		p.counters[eventReused].Inc()
	}
	return l
}

// Connection returns the connection.
func (l *Lease) Connection() *Connection { return l.c.Connection }

// Reused reports whether the connection has carried other requests or calls before.
func (l *Lease) Reused() bool { return l.reused || l.c.Born() != 0 }

// Kept reports whether the connection was kept for this request, so that the engine may have closed it since.
func (l *Lease) Kept() bool { return l.c.kept }

// StatusError reports bytes with a status that HTTP does not have, or an interim one in place of a response.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return "enginelink: " + strconv.Itoa(e.Status) + " is no status of a response"
}

// maxStatus is the highest status of HTTP (RFC 9110, section 15).
const maxStatus = 599

// RoundTrip sends the request once and returns the header of the response. It is called at most once. If the end of the
// response is that of the connection, its body ends with io.EOF only if it may be complete. The error is a *StatusError or
// that of the connection.
func (l *Lease) RoundTrip(r *http.Request) (*http.Response, error) {
	l.sent = true
	l.c.uses++
	l.c.carried.add(l.id)
	l.c.begin()
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{WroteRequest: l.c.wrote})
	response, err := l.c.client.RoundTrip(r.WithContext(ctx))
	switch {
	case errors.Is(err, io.EOF):
		return nil, io.EOF // without the text of net/http
	case err != nil:
		return nil, err
	case response.StatusCode < http.StatusOK || response.StatusCode > maxStatus:
		l.Close() // what follows on it belongs to no request
		_ = response.Body.Close()
		return nil, &StatusError{Status: response.StatusCode}
	}
	return response, nil
}

// Unsent closes the connection and reports whether nothing of the request has been passed to it, which then never will be.
func (l *Lease) Unsent() bool {
	l.Close()
	return l.c.seal() == l.written
}

// Release ends the use of the connection after the response has been checked. The connection is kept if the response was
// read to its end.
func (l *Lease) Release() {
	if l.ended {
		return
	}
	if l.sent && l.id == "" {
		l.Close() // it can serve no other request without an ID
		return
	}
	l.ended = true
	if !l.sent {
		l.c.client.Release()
	}
	l.pool.put(l.c)
}

// Close ends the use of the connection and closes it. It has no effect after Release.
func (l *Lease) Close() {
	if l.ended {
		return
	}
	l.ended = true
	_ = l.c.client.Close() // the caller reports why
}
