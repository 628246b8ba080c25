// Package monitor serves the metrics and the state of a process over HTTP.
package monitor

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// readHeaderTimeout bounds how long the server waits for the header of a request.
const readHeaderTimeout = 2 * time.Second

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
	return &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
}

// Serve returns a worker that runs a server until its context is done.
func Serve(s *http.Server) func(context.Context) error {
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { s.Close() })
		defer stop()
		if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
}
