package upstream

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
)

// gate stands between an established connection and the first byte on it.
//
// The transport reports a connection through GotConn before it writes to it. When the permission
// is refused, the gate closes the connection there, so the write fails with nothing sent. The
// transport may then try a further connection; the gate closes that one as well.
type gate struct {
	begin func(ctx context.Context) error

	mu         sync.Mutex
	opened     bool
	failure    error
	connection net.Conn
	before     int64 // bytes written on the connection when it was handed over
}

func (g *gate) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { g.connected(ctx, info.Conn) },
	})
}

func (g *gate) connected(ctx context.Context, connection net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failure == nil && !g.opened && g.begin != nil {
		g.failure = g.begin(ctx)
	}
	if g.failure != nil {
		connection.Close()
		return
	}
	g.opened = true
	g.connection = connection
	if counted, ok := connection.(*countingConn); ok {
		g.before = counted.count()
	}
}

// classify turns a failed round trip into the error that tells whether a byte may have been sent.
func (g *gate) classify(engine string, err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.failure != nil:
		return &BeforeSendError{Engine: engine, Cause: g.failure}
	case !g.opened || g.nothingWritten():
		return &NotSentError{Engine: engine, Cause: err}
	default:
		return &IncompleteResponseError{Engine: engine, Cause: err}
	}
}

// nothingWritten closes the connection for good before it looks at the count: the transport's
// writer may still be about to write when a cancelled round trip returns.
func (g *gate) nothingWritten() bool {
	counted, ok := g.connection.(*countingConn)
	return ok && counted.seal() == g.before
}

// countingConn counts the bytes handed to the kernel.
type countingConn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

func (c *countingConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal ends the connection and returns the final count; no byte is written after it returns.
func (c *countingConn) seal() int64 {
	c.Conn.Close() // ends a write that holds the lock
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}
