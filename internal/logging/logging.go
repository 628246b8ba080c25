// Package logging writes structured log lines without blocking the code that logs. Lines go through a
// bounded queue to one writer goroutine. Lines are dropped and counted while the queue is full.
package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

const (
	// queueLines is the capacity of the queue. With lines of about 400 bytes the queue takes 400 KB.
	queueLines = 1024
	// routineFraction is the fraction of the queue that lines below the level warn may fill, so that lines
	// about errors and refused requests are not dropped under load.
	routineFraction = 0.75
	// closeTimeout bounds how long Close waits for the remaining lines to be written.
	closeTimeout = 500 * time.Millisecond
)

// timeFormat includes milliseconds, so that the lines of several processes can be sorted by time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Writer is a zerolog.LevelWriter that never blocks.
type Writer struct {
	out          io.Writer
	lines        chan []byte // a nil line ends the writer goroutine
	done         chan struct{}
	closeOnce    sync.Once
	dropped      atomic.Uint64
	droppedTotal *metrics.Counter
}

// NewWriter returns a Writer and starts its goroutine, which writes to out.
func NewWriter(out io.Writer, set *metrics.Set) *Writer {
	w := &Writer{
		out:          out,
		lines:        make(chan []byte, queueLines),
		done:         make(chan struct{}),
		droppedTotal: set.NewCounter("primrosebeam_log_lines_dropped_total"),
	}
	go w.run()
	return w
}

// New returns a logger and the Writer that it uses. It sets the time format of all zerolog loggers.
func New(out io.Writer, set *metrics.Set, level zerolog.Level) (zerolog.Logger, *Writer) {
	zerolog.TimeFieldFormat = timeFormat
	w := NewWriter(out, set)
	return zerolog.New(w).Level(level).With().Timestamp().Logger(), w
}

// Write implements io.Writer.
func (w *Writer) Write(line []byte) (int, error) { return w.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel implements zerolog.LevelWriter.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if level < zerolog.WarnLevel && float64(len(w.lines)) >= routineFraction*queueLines {
		w.drop()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

func (w *Writer) drop() {
	w.dropped.Add(1)
	w.droppedTotal.Inc()
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		// A failure to write the log can only be reported by the counter.
		if _, err := w.out.Write(line); err != nil {
			w.drop()
		}
	}
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close waits until the queued lines are written, for a bounded time.
func (w *Writer) Close() {
	w.closeOnce.Do(func() {
		select {
		case w.lines <- nil:
		case <-time.After(closeTimeout):
		}
	})
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
