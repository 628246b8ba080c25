package link

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/coder/websocket"
)

// refusalCloseTimeout limits the exchange of close frames with a refused dialler.
const refusalCloseTimeout = 200 * time.Millisecond

type connContextKey struct{}

// monitoredListener wraps each accepted connection in a monitoredConn.
type monitoredListener struct {
	net.Listener
	unidentified *peerCounters // counts bytes exchanged before the sender's name is known
}

func (l *monitoredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newMonitoredConn(c, l.unidentified, nil), nil
}

// connectionChanged is told of each change of the state of an inbound connection. It learns nothing of a connection after its
// upgrade.
func (n *Node) connectionChanged(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if n.pending.Add(c) {
			n.metrics.refusal(ReasonTooMany).Inc()
		}
	case http.StateClosed:
		n.pending.Remove(c)
	}
}

// serve upgrades a connection to WebSocket, authenticates it and handles its messages until it ends.
func (n *Node) serve(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != urlPath {
		http.NotFound(rw, r)
		return
	}
	s, err := n.authenticate(rw, r)
	if err != nil {
		n.recordRefusal("", err)
		return
	}
	defer s.closeNow()
	if err := n.addInbound(s); err != nil {
		n.recordRefusal(s.peer.Name, err)
		return
	}
	defer n.removeInbound(s)
	n.receive(s)
}

func (n *Node) authenticate(rw http.ResponseWriter, r *http.Request) (*session, error) {
	conn, _ := r.Context().Value(connContextKey{}).(*monitoredConn)
	ws, err := websocket.Accept(rw, r, nil)
	if err != nil {
		return nil, err // the connection may carry further requests
	}
	defer n.pending.Remove(conn)
	ws.SetReadLimit(maxHandshakeBytes)
	timed, cancel := context.WithTimeout(n.ctx, n.options.HandshakeTimeout)
	defer cancel()
	sender, err := n.id.listen(timed, ws, func(name string) bool { return n.identify(conn, name) })
	if err != nil {
		closeRefused(conn, ws)
		return nil, err
	}
	return newSession(n.ctx, ws, conn, sender, n.options.MaxFrameBytes), nil
}

// closeRefused closes a connection that was not authenticated. The close frame only helps a dialler with wrong
// settings, so the exchange of close frames must not delay this side for longer than refusalCloseTimeout.
func closeRefused(conn *monitoredConn, ws *websocket.Conn) {
	timer := time.AfterFunc(refusalCloseTimeout, func() { _ = conn.Close() })
	defer timer.Stop()
	_ = ws.Close(websocket.StatusPolicyViolation, "refused")
	_ = conn.Close()
}

// identify assigns a connection to the peer that the dialler claims to be. It reports whether that peer is
// known.
func (n *Node) identify(conn *monitoredConn, name string) bool {
	n.mu.Lock()
	p, known := n.lookup(name)
	n.mu.Unlock()
	if known {
		conn.setPeer(p.peerCounters(), p.partition)
	}
	return known
}

// addInbound makes s the current connection of its sender. A sender has one connection at a time, so an older
// one is broken or belongs to an earlier incarnation, and is closed.
func (n *Node) addInbound(s *session) error {
	n.mu.Lock()
	if n.closing {
		n.mu.Unlock()
		return &ClosedError{}
	}
	older := n.newestInbound[s.peer.Name]
	if older != nil && older.peer.Incarnation > s.peer.Incarnation {
		n.mu.Unlock()
		return &RefusedError{Peer: s.peer.Name, Reason: ReasonIncarnation}
	}
	n.newestInbound[s.peer.Name] = s
	n.inbound[s] = struct{}{}
	p := n.peers[s.peer.Name]
	n.mu.Unlock()
	if older != nil {
		older.abort(&ClosedError{})
	}
	p.resetBackoff()
	return nil
}

func (n *Node) removeInbound(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.inbound, s)
	if n.newestInbound[s.peer.Name] == s {
		delete(n.newestInbound, s.peer.Name)
	}
}

func (n *Node) addOutbound(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.outbound[s] = struct{}{}
}

func (n *Node) removeOutbound(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.outbound, s)
}

// receive dispatches the messages of a connection to their handlers until it ends.
func (n *Node) receive(s *session) {
	dispatcher := newDispatcher(n.options.HandlersPerKind, n.options.QueuePerKind, &n.runningHandlers)
	for {
		f, err := s.read()
		if err == nil && f.Type != frameOneWay && f.Type != frameCall {
			err = &RefusedError{Peer: s.peer.Name, Reason: ReasonUnexpected}
		}
		if err != nil {
			n.recordRefusal(s.peer.Name, err)
			return
		}
		n.dispatch(s, dispatcher, f)
	}
}

// dispatch passes a one-way message or call to its handler, or replies to a call with an error code if there is
// no handler or its queue is full.
func (n *Node) dispatch(s *session, dispatcher *dispatcher, f frame) {
	j := &job{from: s.peer, frame: f}
	if f.Type == frameCall {
		j.reply = func(call frame, reply any, err error) { n.writeReply(s, n.replyFrame(call, reply, err)) }
	}
	h, known := n.handlers[f.Kind]
	if !known {
		n.metrics.noHandler.Inc()
		n.replyError(s, j, CodeNoHandler)
		return
	}
	j.handler = h
	ctx := s.ctx // The reply to a call is no longer needed once its connection has ended.
	if f.Type == frameOneWay {
		ctx = n.ctx // Messages received before the sender closed the connection are still handled.
	}
	if err := dispatcher.deliver(ctx, j); err != nil {
		n.metrics.handlersBusy.Inc()
		n.replyError(s, j, CodeBusy)
	}
}

// replyError replies to a call with an error code of this package; it does nothing for one-way messages. It
// writes on a separate goroutine because the reader must not wait for the writer. The number of these
// goroutines is limited because the caller limits its outstanding calls.
func (n *Node) replyError(s *session, j *job, code string) {
	if j.reply == nil {
		return
	}
	f := frame{
		Type: frameError, Kind: j.frame.Kind, Sender: n.options.Name, Incarnation: n.options.Incarnation,
		Call: j.frame.Call,
	}
	f.Body = encodeFailure(code, string(j.frame.Kind))
	go n.writeReply(s, f)
}

// writeReply sends a reply, or an error reply with CodeTooLong if it does not fit into a frame. It closes the
// connection if the write fails.
func (n *Node) writeReply(s *session, f frame) {
	data, err := encodeFrame(f, n.options.MaxFrameBytes)
	var long *TooLongError
	if errors.As(err, &long) {
		f.Type = frameError
		f.Body = encodeFailure(CodeTooLong, err.Error())
		data, err = encodeFrame(f, n.options.MaxFrameBytes)
	}
	if err == nil {
		err = s.write(data)
	}
	if err != nil {
		s.abort(err)
	}
}

// recordRefusal counts a refusal and logs it as a warning. Any other end of a connection is only logged at
// debug level.
func (n *Node) recordRefusal(peer string, err error) {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		n.options.Logger.Debug().Str("peer", peer).Err(err).Msg("connection ended")
		return
	}
	if peer == "" {
		peer = refused.Peer
	}
	n.metrics.refusal(refused.Reason).Inc()
	n.options.Logger.Warn().Str("peer", peer).Str("reason", string(refused.Reason)).Bool("remote", refused.Remote).
		Err(err).Msg("connection refused")
}
