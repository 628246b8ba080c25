// Package logging writes structured log lines without ever holding up the code that logs: lines go
// through a bounded queue to one writing goroutine, and lines that find it full are counted and left out.
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
	// queueLines bounds the lines that wait; with lines of some 400 bytes that is 400 KB.
	queueLines = 1024
	// routinePart is the part of the queue that lines below the level of warnings may fill, so that
	// errors and refusals still find room under load.
	routinePart = 0.75
	// closeTimeout bounds the wait for the last lines at the end of the process.
	closeTimeout = 500 * time.Millisecond
)

// timeFormat has milliseconds, so that the lines of several processes can be put in order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Writer is a zerolog.LevelWriter that never blocks.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	close   sync.Once
	dropped atomic.Uint64
	total   *metrics.Counter
}

// NewWriter starts the goroutine that writes to out.
func NewWriter(out io.Writer, set *metrics.Set) *Writer {
	w := &Writer{
		out:   out,
		lines: make(chan []byte, queueLines),
		done:  make(chan struct{}),
		total: set.NewCounter("primrosebeam_log_lines_dropped_total"),
	}
	go w.run()
	return w
}

// New returns a logger on a new writer.
func New(out io.Writer, set *metrics.Set, level zerolog.Level) (zerolog.Logger, *Writer) {
	zerolog.TimeFieldFormat = timeFormat
	w := NewWriter(out, set)
	return zerolog.New(w).Level(level).With().Timestamp().Logger(), w
}

// Write implements io.Writer.
func (w *Writer) Write(line []byte) (int, error) { return w.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel implements zerolog.LevelWriter.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if level < zerolog.WarnLevel && float64(len(w.lines)) >= routinePart*queueLines {
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
	w.total.Inc()
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		// A log that can't be written has nowhere to be reported but the counter.
		if _, err := w.out.Write(line); err != nil {
			w.drop()
		}
	}
}

// Dropped returns the number of lines that were left out.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the lines that wait, for a bounded time.
func (w *Writer) Close() {
	w.close.Do(func() {
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
