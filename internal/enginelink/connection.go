package enginelink

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"

	"github.com/primrosebeam/primrosebeam/internal/boottime"
)

// Connection is a connection to an engine. The process at its other end stays the same, while the engine at its address
// may have started again.
type Connection struct {
	net.Conn
	Established boottime.Time
	born        int64  // as the process has stated it
	onClose     func() // nil unless it belongs to a Pool
	uses        int    // requests and calls that it has carried
	carried     carried

	answered atomic.Bool // bytes were read since the last request was begun

	mu      sync.Mutex // held during writes
	written int64      // bytes passed to the network
	sealed  bool
	request requestState
}

// NewConnection returns a Connection that has just been established.
func NewConnection(raw net.Conn) *Connection {
	return &Connection{Conn: raw, Established: boottime.Now()}
}

// Born returns what the process has stated as its time of birth, or 0 if it was not asked.
func (c *Connection) Born() int64 { return c.born }

// Unused reports whether the connection has carried no request, call or question yet.
func (c *Connection) Unused() bool { return c.uses == 0 && c.born == 0 }

// Write implements net.Conn.
func (c *Connection) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(data)
	c.written += int64(n)
	c.request.unsent = c.request.unsent && n == 0
	if err != nil {
		c.request.failure = err
		c.request.changed.Broadcast()
	}
	return n, err
}

// IsOpen reports whether the process at the other end has not ended the connection, as far as this machine knows: also
// an end that was not read yet counts. Connections over a relay or TLS do not tell.
func (c *Connection) IsOpen() bool {
	raw, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	system, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = system.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = err == nil && info.State == unix.BPF_TCP_ESTABLISHED
	})
	return err == nil && open
}

// Close implements net.Conn.
func (c *Connection) Close() error {
	err := c.Conn.Close() // interrupts a write that holds the mutex
	if c.onClose != nil {
		c.onClose()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request.closed = true
	c.request.changed.Broadcast()
	return err
}

// count returns the number of bytes passed to the network.
func (c *Connection) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal closes the connection and returns the final count. No byte is written after it returns.
func (c *Connection) seal() int64 {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

type bornRequired struct{}

// RequireBorn returns a context in which DialContext asks the process for its time of birth, unless isKnown reports that
// the connection tells which process it is. A nil isKnown means that it never does.
func RequireBorn(ctx context.Context, isKnown func(*Connection) bool) context.Context {
	if isKnown == nil {
		isKnown = func(*Connection) bool { return false }
	}
	return context.WithValue(ctx, bornRequired{}, isKnown)
}

// open wraps a connection that was opened for ctx. It closes the connection if the process does not state its time of
// birth although ctx requires it.
func (d *Dialer) open(ctx context.Context, raw net.Conn, address string) (net.Conn, error) {
	c := NewConnection(raw)
	isKnown, required := ctx.Value(bornRequired{}).(func(*Connection) bool)
	if !required || d.options.ReadBorn == nil || isKnown(c) {
		return c, nil
	}
	born, err := d.options.ReadBorn(c, address)
	if err != nil {
		d.results[dialUnidentified].Inc()
		_ = c.Close() // nothing of a request was sent on it
		return nil, err
	}
	c.born = born
	c.carried.add("") // the response to the question had no ID
	return c, nil
}
