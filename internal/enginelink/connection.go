package enginelink

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/primrosebeam/primrosebeam/internal/boottime"
)

// Connection is a connection to an engine. The process at its other end stays the same, while the engine at its address
// may have started again.
type Connection struct {
	net.Conn
	Established boottime.Time
	born        int64
	abandoned   atomic.Bool
	carried     carried
}

// Carry records that the connection carries a request with the given ID. It reports whether it has carried one with the
// same ID before, so that the ID does not tell their responses apart.
func (c *Connection) Carry(id string) (repeated bool) {
	repeated = c.carried.has(id)
	c.carried.add(id)
	return repeated
}

// Born returns what the process has stated as its time of birth, or 0 if it was not asked.
func (c *Connection) Born() int64 { return c.born }

// Abandon keeps further bytes from being sent. Writes return *AbandonedError.
func (c *Connection) Abandon() { c.abandoned.Store(true) }

// Write implements net.Conn.
func (c *Connection) Write(data []byte) (int, error) {
	if c.abandoned.Load() {
		return 0, &AbandonedError{}
	}
	return c.Conn.Write(data)
}

// AbandonedError reports that nothing more is sent on a connection.
type AbandonedError struct{}

func (e *AbandonedError) Error() string { return "enginelink: connection abandoned before use" }

type bornRequired struct{}

// RequireBorn returns a context in which DialContext asks the process for its time of birth.
func RequireBorn(ctx context.Context) context.Context {
	return context.WithValue(ctx, bornRequired{}, true)
}

// open wraps a connection that was opened for ctx. It closes the connection if the process does not state its time of
// birth although ctx requires it.
func (d *Dialer) open(ctx context.Context, raw net.Conn, address string) (net.Conn, error) {
	c := &Connection{Conn: raw, Established: boottime.Now()}
	if ctx.Value(bornRequired{}) == nil || d.options.ReadBorn == nil {
		return c, nil
	}
	born, err := d.options.ReadBorn(raw, address)
	if err != nil {
		d.results[dialUnidentified].Inc()
		_ = raw.Close() // nothing of a request was sent on it
		return nil, err
	}
	c.born = born
	return c, nil
}
