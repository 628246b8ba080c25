package edge

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// limitSilence ends a connection whose bytes are not acknowledged in time: a connection may fall
// silent without a reset while new ones work.
func limitSilence(_, _ string, c syscall.RawConn) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
