package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// idleTimeout is the time after which a connection without requests is closed.
const idleTimeout = 2 * time.Minute

// server is an HTTP server with its open listener.
type server struct {
	listener net.Listener
	http     *http.Server
}

// newServer opens a listener on address. The server supports HTTP/1 and unencrypted HTTP/2.
func newServer(address string, handler http.Handler, limits Limits) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("instance: listen: %w", err)
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &server{
		listener: newLimitedListener(listener, limits.Connections),
		http: &http.Server{
			Handler:           handler,
			Protocols:         &protocols,
			ReadHeaderTimeout: limits.ReadTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    limits.HeaderBytes,
		},
	}, nil
}

func (s *server) serve(context.Context) error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("instance: serve: %w", err)
	}
	return nil
}

// shutdown closes the listener and waits for requests in progress until force is done.
func (s *server) shutdown(force context.Context) error {
	if err := s.http.Shutdown(force); err != nil {
		return fmt.Errorf("instance: shutdown: %w", err)
	}
	return nil
}
