package core

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/primrosebeam/primrosebeam/bytebudget"
	"github.com/primrosebeam/primrosebeam/consensus"
	"github.com/primrosebeam/primrosebeam/internal/drain"
	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/internal/intake"
	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/internal/monitor"
	"github.com/primrosebeam/primrosebeam/platform"
)

const (
	// operatorTimeout bounds the reading of the header of an operator's request.
	operatorTimeout = 5 * time.Second
	// operatorShare is the part of the descriptors that connections of operators may take, as one in so many, but at least
	// minOperatorConnections. The rest is for other instances, relays to engines and the disk.
	operatorShare          = 8
	minOperatorConnections = 32
	// maxStoredBytes is the maximum size of a compressed configuration: that of one entry of the log, less its
	// envelope.
	maxStoredBytes = consensus.DefaultMaxEntryBytes - 1<<10
)

// operators returns the HTTP handler of the operator interface.
func (c *ControlInstance) operators() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.PathReplace, c.handleReplace)
	mux.HandleFunc("GET "+platform.PathRead, c.handleRead)
	if c.options.Settings.Rollouts != nil {
		mux.HandleFunc("POST "+platform.PathRolloutStart, c.handleRolloutStart)
		mux.HandleFunc("GET "+platform.PathRolloutRead, c.handleRolloutRead)
	}
	return mux
}

// serveOperators serves the operator interface until ctx ends.
func (c *ControlInstance) serveOperators(ctx context.Context) error {
	listener, err := drain.Listen(ctx, c.options.Settings.Operators)
	if err != nil {
		return fmt.Errorf("core: listen for operators: %w", err)
	}
	server := drain.New(&http.Server{Handler: c.operators(), ReadHeaderTimeout: operatorTimeout, MaxHeaderBytes: monitor.MaxHeaderBytes}, listener)
	limits := c.gate.StallLimits()
	if descriptors := c.options.Settings.Limits.Descriptors; descriptors > 0 {
		limits.Connections = max(descriptors/operatorShare, minOperatorConnections)
	}
	server.SetLimits(limits)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // the process ends
	defer stop()
	return server.Serve()
}

// rejectBody refuses a configuration that was not read, and closes the connection.
func (c *ControlInstance) rejectBody(w http.ResponseWriter, r *http.Request, err error) {
	intake.Reject(w, r)
	var tooLarge *intake.TooLargeError
	var noRoom *intake.NoRoomError
	var stalled *intake.StalledError
	switch {
	case errors.As(err, &tooLarge):
		c.gate.Refused("too-large")
		http.Error(w, "the configuration is too long", http.StatusRequestEntityTooLarge)
	case errors.As(err, &noRoom):
		c.gate.Refused("no-room")
		w.Header().Set("Retry-After", strconv.Itoa(int(intake.RetryAfter.Seconds())))
		http.Error(w, "too many configurations are being read", http.StatusServiceUnavailable)
	case errors.As(err, &stalled):
		c.gate.Refused("stalled-body")
		http.Error(w, "the rest of the configuration did not come", http.StatusRequestTimeout)
	default:
		http.Error(w, "the configuration was not read", http.StatusBadRequest)
	}
}

func (c *ControlInstance) handleReplace(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	held := c.gate.Open(bytebudget.Body, intake.AddressOf(r))
	defer held.Close()
	content, err := c.gate.ReadBody(r, fleet.MaxDocumentBytes, &held)
	if err != nil {
		c.rejectBody(w, r, err)
		return
	}
	table, err := platform.DecodeDocument(content)
	if err != nil {
		c.options.Logger.Info().Int("bytes", len(content)).Err(err).Msg("configuration refused")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	number := uint64(table.Number)
	stored, err := fleet.Compress(content)
	if err != nil {
		c.options.Logger.Error().Uint64("number", number).Err(err).Msg("configuration not compressed")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if len(stored) > maxStoredBytes {
		c.options.Logger.Info().Uint64("number", number).Int("bytes", len(stored)).Msg("configuration refused")
		http.Error(w, "the configuration is too long", http.StatusRequestEntityTooLarge)
		return
	}
	result, err := c.submit(r.Context(), fleet.Submit{Number: number, Content: stored})
	event := c.options.Logger.Info().Uint64("number", number).Dur("took", time.Since(started))
	if err != nil {
		status := httpStatus(err)
		event.Err(err).Int("status", status).Msg("configuration not acknowledged")
		http.Error(w, err.Error(), status)
		return
	}
	event.Bool("stored", result.Stored).Uint64("held", result.Number).Msg("configuration acknowledged")
	w.Header().Set("Content-Type", "application/json")
	writeBody(w, c, []byte(`{"number":`+strconv.FormatUint(result.Number, 10)+`}`))
}

// httpStatus returns 503 when the configuration was certainly not stored, since no leader was known or reachable
// or the log did not accept it, and 504 for all other errors, including an unknown outcome.
func httpStatus(err error) int {
	var unreachable *link.UnreachableError
	var remote *link.RemoteError
	var noLeader *NoLeaderError
	var notStored *NotStoredError
	switch {
	case errors.As(err, &noLeader) || errors.As(err, &notStored):
		return http.StatusServiceUnavailable
	case errors.As(err, &unreachable) && !unreachable.Sent:
		return http.StatusServiceUnavailable
	case errors.As(err, &remote) && (remote.Code == noLeader.Code() || remote.Code == notStored.Code()):
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}

func (c *ControlInstance) handleRead(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	current, err := c.confirm(ctx, true)
	if err == nil && current.Number == 0 {
		err = &NoConfigurationError{}
	}
	if err != nil {
		c.options.Logger.Info().Err(err).Msg("configuration not read: its number could not be confirmed")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	document, err := fleet.Expand(current.Content)
	if err != nil {
		c.options.Logger.Error().Uint64("number", current.Number).Err(err).Msg("stored configuration is invalid")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	writeBody(w, c, document)
}

func writeBody(w http.ResponseWriter, c *ControlInstance, body []byte) {
	if _, err := w.Write(body); err != nil {
		c.options.Logger.Debug().Err(err).Msg("operator disconnected before the response was written")
	}
}

// NoConfigurationError reports that no configuration has been stored yet.
type NoConfigurationError struct{}

func (e *NoConfigurationError) Error() string { return "core: no configuration was stored yet" }
