// Package intake reads what callers and engines send within the budget of the process.
package intake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/bytebudget"
	"github.com/primrosebeam/primrosebeam/internal/drain"
)

const (
	// roomTimeout is how long a body waits for bytes of the budget.
	roomTimeout = 300 * time.Millisecond
	// RetryAfter is when a caller whose body found no room may come back.
	RetryAfter = time.Second
	// pressedTime is how long after a lack of room callers count as pressing.
	pressedTime = 5 * time.Second
	// logInterval is the interval between two log lines of a kind about callers outside the limits.
	logInterval = time.Second
	// firstChunk and chunkGrowth are the size of the first buffer of a body without a length, and how much larger each
	// following one is.
	firstChunk  = bytebudget.FreeBytes
	chunkGrowth = 4
	// largeBytes is the size of a body from which on its connection gets a wide window.
	largeBytes = 64 << 10
)

// TooLargeError reports a body that is longer than the limit.
type TooLargeError struct{ Limit int64 }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("intake: the body is longer than %d bytes", e.Limit)
}

// NoRoomError reports a body that got no bytes of the budget.
type NoRoomError struct{}

func (e *NoRoomError) Error() string { return "intake: no room for the body" }

// StalledError reports a body whose rest did not come.
type StalledError struct{}

func (e *StalledError) Error() string { return "intake: the rest of the body did not come" }

// BrokenError reports a body that could not be read.
type BrokenError struct{ Cause error }

func (e *BrokenError) Error() string { return "intake: the body broke off: " + e.Cause.Error() }

func (e *BrokenError) Unwrap() error { return e.Cause }

// Gate is the budget of a process with its metrics and logs. It is safe for concurrent use.
type Gate struct {
	budget   *bytebudget.Budget
	capacity int64
	logger   zerolog.Logger
	set      *metrics.Set
	pressed  atomic.Int64 // when something last found no room, in ns since the epoch; 0 means never

	mu   sync.Mutex
	logs map[string]*suppressed // by reason
}

// suppressed counts what was not logged.
type suppressed struct {
	at    time.Time
	count int
}

var epoch = time.Now()

// NewGate returns a gate with a budget of the given number of bytes.
func NewGate(capacity int64, logger zerolog.Logger, set *metrics.Set) *Gate {
	g := &Gate{budget: bytebudget.New(capacity), capacity: capacity, logger: logger, set: set, logs: map[string]*suppressed{}}
	set.NewGauge("primrosebeam_held_bytes_limit", func() float64 { return float64(capacity) })
	for _, kind := range []bytebudget.Kind{bytebudget.Body, bytebudget.Answer} {
		set.NewGauge(fmt.Sprintf("primrosebeam_held_bytes{kind=%q}", kind), func() float64 { return float64(g.budget.Used(kind)) })
	}
	return g
}

// State returns what is held.
func (g *Gate) State() any { return g.budget.State() }

// LargestBody returns the size of the largest body that fits while nothing else is held.
func (g *Gate) LargestBody() int64 { return g.budget.LargestBody() }

// Open returns an empty holding for a caller.
func (g *Gate) Open(kind bytebudget.Kind, caller string) bytebudget.Holding {
	return g.budget.Open(kind, caller)
}

// press records that something found no room.
func (g *Gate) press() { g.pressed.Store(int64(time.Since(epoch))) }

// IsPressed reports whether something found no room a short time ago.
func (g *Gate) IsPressed() bool {
	at := g.pressed.Load()
	return at != 0 && time.Since(epoch)-time.Duration(at) < pressedTime
}

// Closed counts a connection that was closed for a limit. It is meant for drain.Limits.
func (g *Gate) Closed(reason string) {
	g.set.GetOrCreateCounter(fmt.Sprintf("primrosebeam_connections_closed_total{reason=%q}", reason)).Inc()
	if reason == drain.ReasonRoom {
		g.press()
	}
	g.Log("closed: "+reason, func(count int) {
		g.logger.Warn().Str("reason", reason).Int("count", count).Msg("connections of callers outside the limits closed")
	})
}

// Refused counts a request that was refused for a limit.
func (g *Gate) Refused(reason string) {
	g.set.GetOrCreateCounter(fmt.Sprintf("primrosebeam_bodies_refused_total{reason=%q}", reason)).Inc()
	g.Log("refused: "+reason, func(count int) {
		g.logger.Warn().Str("reason", reason).Int("count", count).Msg("request bodies outside the limits refused")
	})
}

// Log calls write at most once a second for a kind of event, with the number of events since the last time.
func (g *Gate) Log(kind string, write func(count int)) {
	g.mu.Lock()
	entry := g.logs[kind]
	if entry == nil {
		entry = &suppressed{}
		g.logs[kind] = entry
	}
	entry.count++
	now := time.Now()
	if now.Sub(entry.at) < logInterval {
		g.mu.Unlock()
		return
	}
	count := entry.count
	entry.at, entry.count = now, 0
	g.mu.Unlock()
	write(count)
}

// AddressOf returns the IP address of a caller, by which it is known where it has no other name.
func AddressOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// grow takes n bytes, and waits a short time for them.
func (g *Gate) grow(ctx context.Context, h *bytebudget.Holding, n int64) bool {
	if h.Grow(n) {
		return true
	}
	g.press()
	waiting := h.Wait(n)
	if waiting == nil {
		return false
	}
	timer := time.NewTimer(roomTimeout)
	defer timer.Stop()
	select {
	case <-waiting.Granted():
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return !waiting.Cancel()
}

// ReadBody reads the body of a request, of up to limit bytes, into bytes of the holding. After an error the connection
// cannot carry another request: the caller of ReadBody calls Reject before it responds. The error is a *TooLargeError,
// *NoRoomError, *StalledError or *BrokenError; nothing was read for the first one if the request states a length, and for
// the second one never more than the holding had.
func (g *Gate) ReadBody(r *http.Request, limit int64, h *bytebudget.Holding) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, &TooLargeError{Limit: limit}
	}
	drain.BeginBody(r)
	body, err := g.read(r, limit, h)
	if err != nil {
		var timeout net.Error
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout() {
			return nil, &StalledError{}
		}
		return nil, err
	}
	drain.EndBody(r)
	return body, nil
}

func (g *Gate) read(r *http.Request, limit int64, h *bytebudget.Holding) ([]byte, error) {
	if r.ContentLength >= 0 {
		if !g.grow(r.Context(), h, r.ContentLength) {
			return nil, &NoRoomError{}
		}
		if r.ContentLength > largeBytes {
			drain.WidenWindow(r)
		}
		body := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			return nil, &BrokenError{Cause: err}
		}
		return body, nil
	}
	return g.readChunks(r, limit, h)
}

func (g *Gate) readChunks(r *http.Request, limit int64, h *bytebudget.Holding) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			larger := max(int64(cap(body))*chunkGrowth, firstChunk)
			if larger*chunkGrowth > limit { // the last buffer, which is copied from one of a quarter of its size at most
				larger = limit + 1
			}
			if !g.grow(r.Context(), h, larger) {
				return nil, &NoRoomError{}
			}
			if larger > largeBytes {
				drain.WidenWindow(r)
			}
			next := make([]byte, len(body), larger)
			copy(next, body)
			h.Shrink(int64(cap(body)))
			body = next
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, &TooLargeError{Limit: limit}
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, &BrokenError{Cause: err}
		}
	}
}

// ReadStart reads an answer until its end, or until there is no room for more of it or limit bytes were read. complete
// tells whether the end was read.
func (g *Gate) ReadStart(r io.Reader, limit int64, h *bytebudget.Holding) (start []byte, complete bool, err error) {
	for {
		if len(start) == cap(start) {
			larger := min(max(int64(cap(start))*chunkGrowth, firstChunk), limit)
			if larger == int64(cap(start)) {
				return start, false, nil
			}
			if !h.Grow(larger) {
				g.press()
				return start, false, nil
			}
			next := make([]byte, len(start), larger)
			copy(next, start)
			h.Shrink(int64(cap(start)))
			start = next
		}
		n, err := r.Read(start[len(start):cap(start)])
		start = start[:len(start)+n]
		switch {
		case errors.Is(err, io.EOF):
			return start, true, nil
		case err != nil:
			return start, false, err
		}
	}
}

// Reject makes the server close the connection after the response in place of reading the rest of the body, which may
// never come. A stream of HTTP/2 is reset instead.
func Reject(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor != 1 {
		return
	}
	w.Header().Set("Connection", "close")
	// An error means that the connection has ended.
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
}

// MemoryMB returns the memory of this process, in MiB, that its settings state, or that follows from the limit of the Go
// runtime (GOMEMLIMIT) if they state none; 0 if nothing states it.
func MemoryMB(stated int) int {
	limit := debug.SetMemoryLimit(-1)
	if stated > 0 || limit == math.MaxInt64 {
		return stated
	}
	return int(float64(limit) / HeapFraction / (1 << 20))
}

// HeapFraction is the part of the memory of a process that its Go runtime may use before it collects garbage more often.
// The rest is for kernel buffers and the C library.
const HeapFraction = 0.6

// Capacity returns the number of bytes of a budget for a process with the given memory, in MiB; 0 selects a default.
func Capacity(memoryMB int) int64 {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	return int64(memoryMB) << 20 / budgetDivisor
}

const (
	// defaultMemoryMB is the memory of a process of which nothing states it.
	defaultMemoryMB = 1024
	// budgetDivisor is the part of the memory of a process that it may hold for callers, as one in so many. The rest is for
	// the program, its connections and what waits for the garbage collector.
	budgetDivisor = 4
)
