package drain

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosebeam/primrosebeam/bytebudget"
)

// streamWriteBytes is how much of an answer is passed on at once. More than that counts as progress only in these steps.
const streamWriteBytes = 16 << 10

// stream is a request of HTTP/2. Its body and its answer are subject to Limits.StallTimeout, as those of a connection of
// HTTP/1 are: the connection shows nothing of them, since it carries other streams.
type stream struct {
	reading, writing   atomic.Bool  // a call of Read or Write is in progress
	received, sent     atomic.Int64 // bytes
	receiving, sending bytebudget.Progress

	mu         sync.Mutex
	controller *http.ResponseController // nil once the request has ended
}

func (s *Server) beginStream(w http.ResponseWriter) *stream {
	st := &stream{controller: http.NewResponseController(w)}
	s.streamsMu.Lock()
	defer s.streamsMu.Unlock()
	s.streams[st] = struct{}{}
	return st
}

func (s *Server) endStream(st *stream) {
	st.mu.Lock()
	st.controller = nil
	st.mu.Unlock()
	s.streamsMu.Lock()
	defer s.streamsMu.Unlock()
	delete(s.streams, st)
}

// serveStream serves a request of HTTP/2 within the time limits.
func (s *Server) serveStream(next http.Handler, w http.ResponseWriter, r *http.Request) {
	st := s.beginStream(w)
	defer s.endStream(st)
	if r.Body != http.NoBody {
		r.Body = &streamBody{ReadCloser: r.Body, stream: st}
	}
	writer := &streamWriter{ResponseWriter: w, stream: st}
	next.ServeHTTP(writer, r)
	if st.sent.Load() > 0 {
		_ = writer.FlushError() // else the rest is written after the end of the stream's time limits
	}
}

// closeStalledStreams ends the transfers of streams that have stopped and returns their number.
func (s *Server) closeStalledStreams(now, window time.Duration) (ended int) {
	s.streamsMu.Lock()
	open := make([]*stream, 0, len(s.streams))
	for st := range s.streams {
		open = append(open, st)
	}
	s.streamsMu.Unlock()
	for _, st := range open {
		if reason := st.endIfStalled(now, window); reason != "" {
			s.limits.OnClosed(reason)
			ended++
		}
	}
	return ended
}

// endIfStalled returns the reason for which it has ended a transfer, if any.
func (st *stream) endIfStalled(now, window time.Duration) (reason string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.controller == nil {
		return ""
	}
	past := time.Unix(1, 0)
	if !st.reading.Load() {
		st.receiving.End()
	} else if st.receiving.IsStalled(now, window, st.received.Load()) {
		reason = ReasonStalledBody
		_ = st.controller.SetReadDeadline(past) // an error means that the stream has ended
	}
	if !st.writing.Load() {
		st.sending.End()
	} else if st.sending.IsStalled(now, window, st.sent.Load()) {
		reason = ReasonStalledAnswer
		_ = st.controller.SetWriteDeadline(past)
	}
	return reason
}

// admitHTTP2 marks a connection whose caller begins HTTP/2, and reports whether it may be served. At the limit one without a
// stream yields.
func (s *Server) admitHTTP2(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	var idle *connection
	for other := range s.connections {
		if !other.http2.Load() {
			continue
		}
		count++
		if other.mayBeEvicted(time.Now()) && (idle == nil || other.since.Before(idle.since)) {
			idle = other
		}
	}
	if most := s.limits.HTTP2Connections; most > 0 && count >= most {
		if idle == nil {
			s.limits.OnFull()
			return false
		}
		s.limits.OnClosed(ReasonRoom)
		idle.Close()
		delete(s.connections, idle)
	}
	c.http2.Store(true)
	return true
}

// streamBody is the body of a request of HTTP/2.
type streamBody struct {
	io.ReadCloser
	stream *stream
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	b.stream.reading.Store(true)
	defer b.stream.reading.Store(false)
	n, err := b.ReadCloser.Read(p)
	b.stream.received.Add(int64(n))
	return n, err
}

// streamWriter writes the answer to a request of HTTP/2.
type streamWriter struct {
	http.ResponseWriter
	stream *stream
}

// Unwrap returns the writer of the server, for http.ResponseController.
func (w *streamWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements io.Writer.
func (w *streamWriter) Write(p []byte) (int, error) {
	w.stream.writing.Store(true)
	defer w.stream.writing.Store(false)
	written := 0
	for {
		n, err := w.ResponseWriter.Write(p[written:min(written+streamWriteBytes, len(p))])
		written += n
		w.stream.sent.Add(int64(n))
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// FlushError flushes what was written, for http.ResponseController.
func (w *streamWriter) FlushError() error {
	w.stream.writing.Store(true)
	defer w.stream.writing.Store(false)
	return http.NewResponseController(w.ResponseWriter).Flush()
}
