package link

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
)

// maxRetainedBuffer is the largest read buffer kept between frames, in bytes.
const maxRetainedBuffer = 64 << 10

// session is one authenticated connection.
type session struct {
	ws          *websocket.Conn
	conn        *monitoredConn
	peer        Sender // authenticated identity of the other side
	connectedAt time.Time
	ctx         context.Context
	cancel      context.CancelFunc
	buffer      bytes.Buffer

	mu          sync.Mutex
	closeReason error // why this side closed the connection; nil if it did not
}

func newSession(parent context.Context, ws *websocket.Conn, conn *monitoredConn, peer Sender, limit int) *session {
	ctx, cancel := context.WithCancel(parent)
	ws.SetReadLimit(int64(limit))
	conn.lastRead.Store(conn.now())
	return &session{ws: ws, conn: conn, peer: peer, connectedAt: time.Now(), ctx: ctx, cancel: cancel}
}

// read returns the next frame after checking that it names the authenticated sender. It returns
// *RefusedError or an error of the connection. Reads have no deadline of their own: monitorConnections
// closes a connection on which nothing is received.
func (s *session) read() (frame, error) {
	_, reader, err := s.ws.Reader(context.Background())
	if err != nil {
		return frame{}, s.closeCause(err)
	}
	if s.buffer.Cap() > maxRetainedBuffer {
		s.buffer = bytes.Buffer{}
	}
	s.buffer.Reset()
	if _, err := s.buffer.ReadFrom(reader); err != nil {
		return frame{}, s.closeCause(err)
	}
	s.conn.counters.Load().messagesIn.Inc()
	f, err := decodeFrame(s.buffer.Bytes())
	if err != nil {
		return frame{}, s.closeCause(err)
	}
	if f.Sender != s.peer.Name || f.Incarnation != s.peer.Incarnation {
		return frame{}, &RefusedError{Peer: s.peer.Name, Reason: ReasonSender}
	}
	return f, nil
}

// closeCause returns the reason why this side closed the connection, if it did, and otherwise err.
func (s *session) closeCause(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closeReason != nil {
		return s.closeReason
	}
	err = asRefusal(err)
	if refused, ok := err.(*RefusedError); ok {
		refused.Peer = s.peer.Name
	}
	return err
}

// write sends one encoded frame. A blocked write ends when monitorConnections closes the connection.
func (s *session) write(data []byte) error {
	if err := s.ws.Write(context.Background(), websocket.MessageBinary, data); err != nil {
		return s.closeCause(err)
	}
	s.conn.counters.Load().messagesOut.Inc()
	return nil
}

// checkStalled closes the connection if it is stalled. If paused is true, this process was paused since the
// last check, and the receive timeout starts again.
func (s *session) checkStalled(paused bool, writeTimeout time.Duration) {
	if paused {
		s.conn.lastRead.Store(s.conn.now())
		return
	}
	if err := s.conn.checkStalled(receiveTimeout, writeTimeout); err != nil {
		s.abort(err)
	}
}

// abort records the reason and closes the connection without a close handshake.
func (s *session) abort(reason error) {
	s.mu.Lock()
	if s.closeReason == nil {
		s.closeReason = reason
	}
	s.mu.Unlock()
	s.closeNow()
}

// closeNow closes the connection without a close handshake.
func (s *session) closeNow() {
	s.cancel()
	_ = s.conn.Close() // Unblocks a read or write that holds locks of the WebSocket connection.
	_ = s.ws.CloseNow()
}

// closeGracefully sends a close frame after all frames written before, and waits until ctx ends for the close
// frame of the other side, which has then read them all.
func (s *session) closeGracefully(ctx context.Context) {
	s.mu.Lock()
	if s.closeReason == nil {
		s.closeReason = &ClosedError{}
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

// ping sends a ping every pingInterval so that both sides receive data regularly.
func (s *session) ping() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
		ctx, cancel := context.WithTimeout(s.ctx, receiveTimeout)
		_ = s.ws.Ping(ctx) // monitorConnections closes the connection if no pong arrives.
		cancel()
	}
}
