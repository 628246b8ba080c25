package logging

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// blockedWriter is an io.Writer that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

// Guards against a log that blocks the process while its output is blocked, and against routine lines that
// fill the queue so that warnings are dropped.
func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	logger, writer := New(out, metrics.NewSet(), zerolog.InfoLevel)
	start := time.Now()
	for range 4 * queueLines {
		logger.Info().Msg("routine")
	}
	logger.Warn().Msg("important")
	is.True(time.Since(start) < 5*time.Second)
	is.True(writer.Dropped() > 0)
	close(out.release)
	writer.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	is.True(strings.Contains(out.written.String(), "important"))
}

// BenchmarkRequestLine measures the cost of logging a refused model request in the goroutine of the
// request, with logging enabled and disabled.
func BenchmarkRequestLine(b *testing.B) {
	for _, level := range []zerolog.Level{zerolog.InfoLevel, zerolog.Disabled} {
		b.Run(level.String(), func(b *testing.B) {
			logger, writer := New(io.Discard, metrics.NewSet(), level)
			for b.Loop() {
				logger.Warn().Str("id", "57d34c50457ca015").Int("status", 503).Str("reason", "overload").Uint64("configuration", 19).
					Str("route", "summary").Int("tier", 2).Str("workspace", "builders").Dur("lease", 4*time.Second).
					Int("prompt", 6610).Int("output", 3840).Int("expected", 384).Str("allocator", "10.3.0.42").Int("runs", 0).
					Int("waiting", 183).Dur("wait", 8*time.Second).Float64("capacity", 63.05).Dur("retryAfter", 4*time.Second).
					Bool("returning", true).Dur("queued", time.Millisecond).Dur("took", time.Millisecond).Dur("left", time.Second).Msg("request")
			}
			writer.Close()
		})
	}
}
