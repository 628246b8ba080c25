package instance

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/drain"
)

// idleTimeout is the time after which a connection without requests is closed.
const idleTimeout = 2 * time.Minute

// Limits of an HTTP/2 connection. What its streams have sent and no handler has read yet is held for it.
const (
	http2Streams         = 100
	http2ConnectionBytes = 256 << 10
	http2StreamBytes     = 128 << 10
)

// newServer opens a listener on address. The server supports HTTP/1 and unencrypted HTTP/2.
func newServer(address string, handler http.Handler, limits Limits) (*drain.Server, error) {
	listener, err := drain.Listen(context.Background(), address)
	if err != nil {
		return nil, fmt.Errorf("instance: listen: %w", err)
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return drain.New(&http.Server{
		Handler:           handler,
		Protocols:         &protocols,
		ReadHeaderTimeout: limits.ReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          http2Streams,
			MaxReceiveBufferPerConnection: http2ConnectionBytes,
			MaxReceiveBufferPerStream:     http2StreamBytes,
		},
	}, listener), nil
}
