// Package monitor serves the metrics and the state of a process over HTTP.
package monitor

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/primrosebeam/primrosebeam/internal/drain"
	"github.com/primrosebeam/primrosebeam/internal/intake"
)

const (
	// readHeaderTimeout bounds how long the server waits for the header of a request.
	readHeaderTimeout = 2 * time.Second
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes = 16 << 10
)

// New returns a server for the metrics at /metrics and for the state of all components at /dump. states
// holds a function for each component, by its name, that returns its state.
func New(address string, set *metrics.Set, states map[string]func() any) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		dump := make(map[string]any, len(states))
		for name, state := range states {
			dump[name] = state()
		}
		data, err := json.MarshalIndent(dump, "", " ")
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		if _, err := w.Write(data); err != nil {
			return // The client closed the connection.
		}
	})
	return &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: MaxHeaderBytes}
}

// Serve returns a worker that runs a server within limits until its context is done.
func Serve(s *http.Server, limits drain.Limits) func(context.Context) error {
	return func(ctx context.Context) error {
		listener, err := drain.Listen(ctx, s.Addr)
		if err != nil {
			return fmt.Errorf("monitor: listen: %w", err)
		}
		next := s.Handler
		s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Body != http.NoBody {
				intake.Reject(w, r) // nothing here takes a body
			}
			next.ServeHTTP(w, r)
		})
		server := drain.New(s, listener)
		server.SetLimits(limits)
		stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // the process ends
		defer stop()
		return server.Serve()
	}
}
