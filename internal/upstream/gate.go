package upstream

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
)

// gate calls Request.BeforeSend between the time a connection is established and the first write to it.
//
// The transport reports a connection through GotConn before it writes to it. When BeforeSend returns an
// error, the gate closes the connection in that callback, so the write fails and nothing is sent. If the
// transport then tries another connection, the gate closes that one as well.
type gate struct {
	beforeSend func(ctx context.Context) error

	mu            sync.Mutex
	allowed       bool  // BeforeSend succeeded or is nil
	failure       error // error that BeforeSend returned
	connection    net.Conn
	writtenBefore int64 // bytes written to the connection before this request
}

func (g *gate) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { g.connected(ctx, info.Conn) },
	})
}

func (g *gate) connected(ctx context.Context, connection net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failure == nil && !g.allowed && g.beforeSend != nil {
		g.failure = g.beforeSend(ctx)
	}
	if g.failure != nil {
		connection.Close()
		return
	}
	g.allowed = true
	g.connection = connection
	if counted, ok := connection.(*countingConn); ok {
		g.writtenBefore = counted.count()
	}
}

// classify returns the error for a failed round trip, which states whether a byte may have been sent.
func (g *gate) classify(engine string, err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.failure != nil:
		return &BeforeSendError{Engine: engine, Cause: g.failure}
	case !g.allowed || g.nothingWritten():
		return &NotSentError{Engine: engine, Cause: err}
	default:
		return &IncompleteResponseError{Engine: engine, Cause: err}
	}
}

// nothingWritten reports whether no byte of the request was written. It seals the connection before it reads
// the count, because the transport's writer may still be about to write when a cancelled round trip returns.
func (g *gate) nothingWritten() bool {
	counted, ok := g.connection.(*countingConn)
	return ok && counted.seal() == g.writtenBefore
}

// closeConnection closes the connection of the request, so that it is not used for other requests.
func (g *gate) closeConnection() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.connection != nil {
		g.connection.Close()
	}
}

// countingConn counts the bytes passed to the kernel.
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

// seal closes the connection and returns the final count. No byte is written after it returns.
func (c *countingConn) seal() int64 {
	c.Conn.Close() // interrupts a write that holds the mutex
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}
