// Package monitor serves the metrics and the state of a process.
package monitor

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// readTimeout bounds the reading of a request's header.
const readTimeout = 2 * time.Second

// New returns a server of the metrics at /metrics and of the state of every duty at /dump.
func New(address string, set *metrics.Set, duties map[string]func() any) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		state := make(map[string]any, len(duties))
		for name, read := range duties {
			state[name] = read()
		}
		data, err := json.MarshalIndent(state, "", " ")
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		if _, err := w.Write(data); err != nil {
			return // The reader left.
		}
	})
	return &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: readTimeout}
}

// Serve returns a duty that runs a server until its context ends.
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
