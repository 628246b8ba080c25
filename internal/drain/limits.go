package drain

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/primrosebeam/primrosebeam/bytebudget"
)

// Reasons for closing connections, as given to Limits.OnClosed.
const (
	ReasonRoom          = "room"           // it waited for a request, and others needed its place
	ReasonStalledBody   = "stalled-body"   // the rest of a request body did not come
	ReasonStalledAnswer = "stalled-answer" // the caller does not read
)

// Limits bounds what callers may do with the connections of a Server.
type Limits struct {
	// Connections is the number of connections that are open at once; 0 means no limit.
	Connections int
	// KeptGrace is how long a kept connection must be idle before it may be closed for others; 0 means a second.
	KeptGrace time.Duration
	// HTTP2Connections is the number of connections with HTTP/2, each of which may carry many requests; 0 means no limit.
	HTTP2Connections int
	// WideBytes is what may arrive, and not be read yet, on all connections with a wide window together; 0 means no limit.
	WideBytes int64
	// StallTimeout is how long a body that is read, or an answer that is written, may go without progress. While Pressed
	// returns true PressedStallTimeout counts. 0 means no limit.
	StallTimeout        time.Duration
	PressedStallTimeout time.Duration
	Pressed             func() bool
	// OnClosed is called with the reason when a connection is closed for a limit. It must not block.
	OnClosed func(reason string)
	// OnFull is called while a new connection waits for a place because none may be closed, and when many transfers stall at
	// once. It must not block.
	OnFull func()
}

const (
	// sweepInterval is the interval at which stalled connections are looked for.
	sweepInterval = 500 * time.Millisecond
	// crowdStalls is the number of transfers found stalled at once that counts as a crowd.
	crowdStalls = 16
	// evictInterval is how long Accept waits for a connection that may be closed.
	evictInterval = 20 * time.Millisecond
	// headGrace is how long the head of a request may take before its connection may be closed for others.
	headGrace = time.Second
	// bodyGrace is how long a body may go without progress while a new connection waits for a place.
	bodyGrace = time.Second
	// keptGrace is the usual Limits.KeptGrace.
	keptGrace = time.Second
	// evictedShare is the number of connections that are closed at once for others, as one in so many of the limit.
	evictedShare = 32
)

// SetLimits sets the limits on the connections. It must be called before Serve.
func (s *Server) SetLimits(l Limits) {
	s.limits = l
	if s.limits.Pressed == nil {
		s.limits.Pressed = func() bool { return false }
	}
	if s.limits.OnClosed == nil {
		s.limits.OnClosed = func(string) {}
	}
	if s.limits.KeptGrace == 0 {
		s.limits.KeptGrace = keptGrace
	}
	if s.limits.OnFull == nil {
		s.limits.OnFull = func() {}
	}
}

// transfer is what the sweep knows of a body or an answer on a connection.
type transfer struct {
	reading  atomic.Bool  // a body is being read
	received atomic.Int64 // bytes that were read from the connection
	writing  atomic.Bool  // a write is in progress
	progress bytebudget.Progress
	sending  bytebudget.Progress // of what the caller's host has acknowledged
}

// epoch is the time from which the times of transfers are counted, on the clock that is never stepped.
var epoch = time.Now()

func sinceEpoch() time.Duration { return time.Since(epoch) }

type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// BeginBody makes the reading of a request's body subject to Limits.StallTimeout, until EndBody or the end of the request.
// The server does so for each request with a body. It has no effect for HTTP/2, whose bodies are subject to it as they are read.
func BeginBody(r *http.Request) {
	if c, ok := r.Context().Value(connectionKey{}).(*connection); ok && r.ProtoMajor == 1 {
		c.transfer.reading.Store(true)
	}
}

// EndBody ends BeginBody after the body was read to its end. A handler that goes on for long after that has to call it.
func EndBody(r *http.Request) {
	if c, ok := r.Context().Value(connectionKey{}).(*connection); ok {
		c.transfer.reading.Store(false)
	}
}

// sweep closes stalled connections until done is closed.
func (s *Server) sweep(done <-chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			s.closeStalled(sinceEpoch())
		}
	}
}

func (s *Server) closeStalled(now time.Duration) {
	window := s.limits.StallTimeout
	if s.limits.Pressed() {
		window = s.limits.PressedStallTimeout
	}
	bodyWindow := window
	if s.full.Swap(false) {
		bodyWindow = min(window, bodyGrace)
	}
	ended := s.closeStalledStreams(now, window)
	defer func() {
		if ended >= crowdStalls {
			s.limits.OnFull()
		}
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		t := &c.transfer
		if !t.writing.Load() {
			t.sending.End()
		} else if t.sending.IsStalled(now, window, c.acknowledged()) {
			s.limits.OnClosed(ReasonStalledAnswer)
			ended++
			c.Close()
			delete(s.connections, c)
			continue
		}
		if !t.reading.Load() {
			t.progress.End()
			continue
		}
		if t.progress.IsStalled(now, bodyWindow, t.received.Load()) {
			// The handler sees the error and may still answer; the server closes the connection then.
			s.limits.OnClosed(ReasonStalledBody)
			ended++
			_ = c.SetReadDeadline(time.Unix(1, 0)) // an error means that it is closed already
			t.progress.End()
			t.reading.Store(false)
		}
	}
}

// makeRoom closes connections that wait for a request, those first that have waited longest, if there is no place for one
// more. It returns false if there is none.
func (s *Server) makeRoom(now time.Time) bool {
	if s.limits.Connections <= 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.connections) < s.limits.Connections {
		return true
	}
	var waiting []*connection
	for c := range s.connections {
		if c.mayBeEvicted(now) {
			waiting = append(waiting, c)
		}
	}
	slices.SortFunc(waiting, func(a, b *connection) int { return a.since.Compare(b.since) })
	for _, c := range waiting[:min(len(waiting), 1+s.limits.Connections/evictedShare)] {
		s.limits.OnClosed(ReasonRoom)
		c.Close()
		delete(s.connections, c)
	}
	if len(s.connections) < s.limits.Connections {
		return true
	}
	s.full.Store(true)
	s.limits.OnFull()
	return false
}

// mayBeEvicted reports whether a connection waits for a request for so long that it may be closed for others.
func (c *connection) mayBeEvicted(now time.Time) bool {
	waited := now.Sub(c.since)
	begun := c.received.Load() || c.hasUnread()
	switch {
	case c.http2.Load() && c.state == http.StateIdle: // frames that begin no stream may have arrived since
		return waited >= c.server.limits.KeptGrace && !c.hasUnread()
	case c.state == http.StateNew && begun:
		return waited >= headGrace
	case c.state == http.StateNew:
		return waited >= newConnectionGrace
	case c.state == http.StateIdle && !begun:
		return waited >= c.server.limits.KeptGrace
	}
	return false
}

// Write implements net.Conn.
func (c *connection) Write(p []byte) (int, error) {
	c.transfer.writing.Store(true)
	defer c.transfer.writing.Store(false)
	return c.Conn.Write(p)
}

// acknowledged returns the number of bytes that the caller's host has received. A write says less: it goes on only once a
// large part of the buffer has room, which a slow caller may take minutes for.
func (c *connection) acknowledged() int64 {
	bytes := int64(0)
	c.control(func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			bytes = int64(info.Bytes_acked)
		}
	})
	return bytes
}
