package logging

import (
	"bytes"
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
