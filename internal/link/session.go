package link

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
)

// keepBuffer is the largest read buffer kept between frames, in bytes.
const keepBuffer = 64 << 10

// session is one authenticated connection.
type session struct {
	ws     *websocket.Conn
	wire   *wire
	peer   Sender // the authenticated other side
	since  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	buffer bytes.Buffer

	mu     sync.Mutex
	reason error // why this side closed the connection
}

func newSession(parent context.Context, ws *websocket.Conn, w *wire, peer Sender, limit int) *session {
	ctx, cancel := context.WithCancel(parent)
	ws.SetReadLimit(int64(limit))
	w.lastRead.Store(w.now())
	return &session{ws: ws, wire: w, peer: peer, since: time.Now(), ctx: ctx, cancel: cancel}
}

// read returns the next frame, checked against the authenticated sender. Its errors are
// *RefusedError, or those of the connection. Reads have no deadline of their own: watch closes
// a connection on which nothing arrives.
func (s *session) read() (frame, error) {
	_, reader, err := s.ws.Reader(context.Background())
	if err != nil {
		return frame{}, s.cause(err)
	}
	if s.buffer.Cap() > keepBuffer {
		s.buffer = bytes.Buffer{}
	}
	s.buffer.Reset()
	if _, err := s.buffer.ReadFrom(reader); err != nil {
		return frame{}, s.cause(err)
	}
	s.wire.traffic.Load().messagesIn.Inc()
	f, err := decodeFrame(s.buffer.Bytes())
	if err != nil {
		return frame{}, s.cause(err)
	}
	if f.Sender != s.peer.Name || f.Incarnation != s.peer.Incarnation {
		return frame{}, &RefusedError{Peer: s.peer.Name, Reason: ReasonSender}
	}
	return f, nil
}

// cause prefers the reason for which this side closed the connection.
func (s *session) cause(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reason != nil {
		return s.reason
	}
	err = classify(err)
	if refused, ok := err.(*RefusedError); ok {
		refused.Peer = s.peer.Name
	}
	return err
}

// write sends one encoded frame. A write without progress ends when watch closes the connection.
func (s *session) write(data []byte) error {
	if err := s.ws.Write(context.Background(), websocket.MessageBinary, data); err != nil {
		return s.cause(err)
	}
	s.wire.traffic.Load().messagesOut.Inc()
	return nil
}

// check closes the connection when it is silent; late tells that this process was frozen meanwhile.
func (s *session) check(late bool, writeTimeout time.Duration) {
	if late {
		s.wire.lastRead.Store(s.wire.now())
		return
	}
	if err := s.wire.silence(silentAfter, writeTimeout); err != nil {
		s.abort(err)
	}
}

// abort closes the connection at once and records why.
func (s *session) abort(reason error) {
	s.mu.Lock()
	if s.reason == nil {
		s.reason = reason
	}
	s.mu.Unlock()
	s.closeNow()
}

func (s *session) closeNow() {
	s.cancel()
	_ = s.wire.Close() // Unblocks a read or write that holds the connection's locks.
	_ = s.ws.CloseNow()
}

// closeGracefully sends a close frame behind everything written before, and waits for the answer of the
// other side, which has then read it all, until ctx ends.
func (s *session) closeGracefully(ctx context.Context) {
	s.mu.Lock()
	if s.reason == nil {
		s.reason = &ClosedError{}
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		_ = s.ws.Close(websocket.StatusGoingAway, "")
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// ping sends a ping at every interval so that both sides have something to receive.
func (s *session) ping() {
	ticker := time.NewTicker(pingEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
		ctx, cancel := context.WithTimeout(s.ctx, silentAfter)
		_ = s.ws.Ping(ctx) // watch closes the connection when no answer arrives.
		cancel()
	}
}
