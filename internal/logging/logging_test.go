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

// stuck is an output that stands still until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

// Guards against a log that holds up the process when its output stands still, and against routine
// lines that push out warnings.
func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &stuck{release: make(chan struct{})}
	logger, writer := New(out, metrics.NewSet(), zerolog.InfoLevel)
	began := time.Now()
	for range 4 * queueLines {
		logger.Info().Msg("routine")
	}
	logger.Warn().Msg("important")
	is.True(time.Since(began) < 5*time.Second)
	is.True(writer.Dropped() > 0)
	close(out.release)
	writer.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	is.True(strings.Contains(out.written.String(), "important"))
}

// BenchmarkRequestLine measures what the line of a refused model request costs the goroutine of the
// request, with the log on and off.
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
