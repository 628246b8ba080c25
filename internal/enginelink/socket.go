// Package enginelink opens connections to engines and keeps them for reuse. An instance that reaches no engine itself,
// because its links are cut, uses a control instance as a relay.
package enginelink

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout is how long an engine may take to accept a connection. It usually takes 3 ms.
	dialTimeout = 300 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before a connection is closed. It also limits
	// the keep-alive probes. Sound engines are silent for up to about a second.
	unackedTimeout = 2 * time.Second
)

// newNetDialer returns the dialer of all connections to engines and relays. The system closes a connection that has
// stopped to deliver bytes, possibly without a reset while new connections work.
func newNetDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: unackedTimeout / 2, Interval: unackedTimeout / 4, Count: 2,
		},
		Control: setUserTimeout,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT, so that a connection is closed when its bytes are not acknowledged in time.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
