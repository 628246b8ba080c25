package instance

import (
	"net"
	"sync"
	"syscall"
)

// limitedListener is a net.Listener that limits the number of open connections. Further connections wait
// in the accept queue of the kernel.
type limitedListener struct {
	net.Listener
	slots     chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

func newLimitedListener(l net.Listener, limit int) net.Listener {
	if limit <= 0 {
		return l
	}
	return &limitedListener{Listener: l, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	connection, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: connection, release: func() { <-l.slots }}, nil
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn is a net.Conn that releases its slot at the listener when it is closed.
type limitedConn struct {
	net.Conn
	closeOnce sync.Once
	release   func()
}

// SyscallConn implements syscall.Conn.
func (c *limitedConn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return socket.SyscallConn()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.closeOnce.Do(c.release)
	return c.Conn.Close()
}
