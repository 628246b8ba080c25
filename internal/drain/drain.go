// Package drain stops an HTTP server without cutting requests that are being read. The shutdown of net/http closes
// a kept connection as idle until the header of the next request has been read completely, and so may cut a
// request that its caller has sent already.
package drain

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// newConnectionGrace is how long a new connection may stay without a request before it is closed. Its
	// caller usually sends the request within a round trip.
	newConnectionGrace = 300 * time.Millisecond
	// idleGrace is how long a kept connection must be idle before it is closed. A caller that sends one request
	// after the other gets the next response, which announces the end of the connection.
	idleGrace = 100 * time.Millisecond
	// pollInterval is the interval at which a stopping server closes idle connections.
	pollInterval = 20 * time.Millisecond
)

// http2Preface is the start of a connection that uses HTTP/2 without TLS.
const http2Preface = "PRI "

// Server is an HTTP server that tracks whether the next request has begun to arrive on its connections. A stop leaves HTTP/2
// connections to net/http, which closes them gracefully.
type Server struct {
	*http.Server
	listener    net.Listener
	stopping    atomic.Bool
	mu          sync.Mutex
	connections map[*connection]struct{}
	limits      Limits
	full        atomic.Bool  // a new connection has waited for a place since the last look at stalled ones
	wideBytes   atomic.Int64 // what may arrive unread on connections with a wide window

	// streamsMu is not mu, which the server takes to report the state of a connection: ending a stream waits for it.
	streamsMu sync.Mutex
	streams   map[*stream]struct{}
}

// New returns a server that accepts connections from listener. The ConnState and ConnContext of server must
// not be set.
func New(server *http.Server, listener net.Listener) *Server {
	s := &Server{Server: server, connections: map[*connection]struct{}{}, streams: map[*stream]struct{}{}}
	s.SetLimits(Limits{})
	s.listener = &trackingListener{Listener: listener, server: s}
	server.ConnState = s.connectionChanged
	server.ConnContext = withConnection
	server.Handler = s.prepare(server.Handler)
	return s
}

// prepare returns a handler that asks callers to close their connections while the server stops, and that makes bodies
// subject to Limits.StallTimeout.
func (s *Server) prepare(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() && r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		if r.ProtoMajor == 2 {
			s.serveStream(next, w, r)
			return
		}
		if r.Body != http.NoBody {
			BeginBody(r) // before a response the server reads what the handler leaves of a body
		}
		next.ServeHTTP(w, r)
	})
}

// Address returns the address on which the server listens.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

// Serve accepts connections until Stop or Close is called; it then returns nil.
func (s *Server) Serve() error {
	if s.limits.StallTimeout > 0 {
		done := make(chan struct{})
		defer close(done)
		go s.sweep(done)
	}
	err := s.Server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || s.stopping.Load() {
		return nil
	}
	return err
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	s.stopping.Store(true)
	err := s.Server.Close()
	if closeErr := s.listener.Close(); !errors.Is(closeErr, net.ErrClosed) {
		err = errors.Join(err, closeErr) // the listener was not served yet
	}
	return err
}

// Stop closes the listener and each connection once it is idle, and waits until no request is in progress. It
// returns the context's error if ctx ends first.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	if err := s.listener.Close(); err != nil {
		return err
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for s.closeIdle(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return s.Shutdown(ctx)
}

// closeIdle closes idle connections and returns the number of the others that are tracked.
func (s *Server) closeIdle(now time.Time) (open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		switch {
		case c.http2.Load():
		case c.isIdle(now):
			c.Close()
			delete(s.connections, c)
		default:
			open++
		}
	}
	return open
}

func (s *Server) connectionChanged(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*connection)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.connections, tracked)
		tracked.releaseWindow()
	case http.StateIdle:
		tracked.state, tracked.since = state, time.Now()
		tracked.received.Store(false)
		tracked.transfer.reading.Store(false)
	default:
		tracked.state = state
	}
}

type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: accepted, server: l.server, state: http.StateNew, since: time.Now()}
	c.limitUnsent()
	for !l.server.makeRoom(time.Now()) && !l.server.stopping.Load() {
		time.Sleep(evictInterval)
	}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.connections[c] = struct{}{}
	return c, nil
}

// connection is a connection of a caller. state and since are guarded by the mutex of the server.
type connection struct {
	net.Conn
	server   *Server
	wide     atomic.Bool // its window counts in the wideBytes of the server
	state    http.ConnState
	since    time.Time   // when the connection was accepted or became idle
	received atomic.Bool // bytes of the next request have arrived
	begun    bool        // any bytes have arrived; used by Read only
	http2    atomic.Bool
	transfer transfer
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if !c.begun {
			c.begun = true
			if bytes.HasPrefix(p[:n], []byte(http2Preface)) {
				if !c.server.admitHTTP2(c) {
					c.Close()
					return 0, net.ErrClosed
				}
				c.widenWindow()
			}
		}
		c.received.Store(true)
		c.transfer.received.Add(int64(n))
	}
	return n, err
}

// isIdle reports whether no request is in progress and no byte of the next one has arrived.
func (c *connection) isIdle(now time.Time) bool {
	switch {
	case c.received.Load() || c.hasUnread():
		return false
	case c.state == http.StateNew:
		return now.Sub(c.since) >= newConnectionGrace
	}
	return c.state == http.StateIdle && now.Sub(c.since) >= idleGrace
}

// hasUnread reports whether the kernel holds bytes that the server has not read yet.
func (c *connection) hasUnread() bool {
	unread := false
	c.control(func(fd int) {
		n, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}

// control calls use with the descriptor of the connection, unless it has none or is closed.
func (c *connection) control(use func(fd int)) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { use(int(fd)) }) // an error means that it is closed
}
