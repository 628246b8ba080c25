package drain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// windowBytes is the size of the receive buffer of a new connection. It takes the first flight of a usual sender.
	windowBytes = 8 << 10
	// wideWindowBytes is the same while a large body is read, so that a distant caller sends it in few round trips.
	wideWindowBytes = 128 << 10
	// unsentBytes is from how many unsent bytes on no more of an answer is taken from the process. Without it the kernel
	// would take up to 4 MiB for a caller that reads nothing.
	unsentBytes = 128 << 10
	// arriving is how many bytes may arrive unread for each byte of a receive buffer at most: the kernel doubles its size.
	arriving = 2
)

// UnreadBytes is what may arrive on a connection of Listen, and not be read yet, before its window is widened.
const UnreadBytes = windowBytes * arriving

// Listen opens a listener for callers. What arrives on their connections takes memory of the machine also before it is
// read, so each one starts with a small receive window.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error { return LimitWindow(c) }}
	return config.Listen(ctx, "tcp", address)
}

// LimitWindow gives the connections of a listener the small receive window of Listen.
func LimitWindow(listener syscall.RawConn) error { return setReceiveBuffer(listener, windowBytes) }

// OpenWindow enlarges the receive window of a connection whose other side is known.
func OpenWindow(c syscall.Conn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return setReceiveBuffer(raw, wideWindowBytes)
}

func setReceiveBuffer(c syscall.RawConn, size int) error {
	var set error
	err := c.Control(func(fd uintptr) { set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size) })
	return errors.Join(err, set)
}

// limitUnsent bounds what the kernel holds of an answer that its caller does not read.
func (c *connection) limitUnsent() {
	// An answer is sent also if this fails.
	c.control(func(fd int) { _ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsentBytes) })
}

// WidenWindow prepares the connection of a request for a large body, unless too many have a wide window already. The body
// then takes more round trips.
func WidenWindow(r *http.Request) {
	if c, ok := r.Context().Value(connectionKey{}).(*connection); ok {
		c.widenWindow()
	}
}

// widenWindow enlarges the receive buffer, for good: TCP stalls for a while after a window was reduced.
func (c *connection) widenWindow() {
	if c.wide.Swap(true) {
		return
	}
	const size = wideWindowBytes * arriving
	if most := c.server.limits.WideBytes; c.server.wideBytes.Add(size) > most && most > 0 {
		c.releaseWindow()
		return
	}
	// The body is read also if this fails.
	c.control(func(fd int) { _ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, wideWindowBytes) })
}

// releaseWindow gives back what widenWindow took.
func (c *connection) releaseWindow() {
	if c.wide.Swap(false) {
		c.server.wideBytes.Add(-wideWindowBytes * arriving)
	}
}
