package link

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/primrosebeam/primrosebeam/ring"
)

// outboundMessage is one encoded message in a peer's send queue.
type outboundMessage struct {
	data []byte
	call *pendingCall // nil for one-way messages
}

// pendingCall is an outstanding call.
type pendingCall struct {
	number uint64
	kind   Kind
	sent   bool // set before the first byte is written; guarded by peer.mu
	done   chan struct{}
	reply  frame
	err    error
}

// peer is the sending side of the exchange with one other instance. One goroutine dials and writes; another one
// reads replies.
type peer struct {
	node      *Node
	name      string
	partition *partition // nil unless Options.AllowPartitions is set

	mu          sync.Mutex
	address     string                       // IP:port
	counters    *peerCounters                // set on first use
	queue       *ring.Ring[*outboundMessage] // set on first use
	session     *session                     // open connection dialled by this side; nil if there is none
	calls       map[uint64]*pendingCall
	stopped     bool
	failedDials int           // failed dials and early disconnects since the last stable connection (see stableAfter)
	nextDial    time.Time     // earliest time of the next dial; calls fail immediately until then
	lastErr     error         // why the last dial or connection failed; nil after a successful dial
	dialNow     chan struct{} // receives a value when the peer has connected to this side: dial immediately
}

func newPeer(n *Node, name, address string) *peer {
	p := &peer{node: n, name: name, address: address}
	if n.options.AllowPartitions {
		p.partition = newPartition()
	}
	return p
}

func (p *peer) setAddress(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address = address
}

// ensureStarted allocates the queue and starts the goroutine on first use: with 400 instances, most peers are
// never used. The caller must hold p.mu.
func (p *peer) ensureStarted() {
	if p.queue != nil {
		return
	}
	p.queue = ring.New[*outboundMessage](p.node.options.RingCapacity)
	p.calls = map[uint64]*pendingCall{}
	p.dialNow = make(chan struct{}, 1)
	p.countersLocked()
	p.node.peerWorkers.Add(1)
	go p.run(p.node.ctx)
}

// countersLocked returns the counters and creates them on first use. The caller must hold p.mu.
func (p *peer) countersLocked() *peerCounters {
	if p.counters == nil {
		p.counters = p.node.metrics.peer(p.name)
	}
	return p.counters
}

func (p *peer) peerCounters() *peerCounters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.countersLocked()
}

// stop refuses further messages; run returns once the queue is empty and no call is outstanding.
func (p *peer) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	if p.queue != nil {
		p.queue.Close()
	}
}

// enqueue registers the call, if any, and queues the message.
func (p *peer) enqueue(data []byte, call *pendingCall) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return &ClosedError{}
	}
	p.ensureStarted()
	if call != nil {
		if time.Now().Before(p.nextDial) {
			return &UnreachableError{Peer: p.name}
		}
		if len(p.calls) >= p.node.options.MaxCalls {
			return &FullError{Peer: p.name, Capacity: p.node.options.MaxCalls}
		}
		p.calls[call.number] = call
	}
	err := p.queue.Offer(&outboundMessage{data: data, call: call})
	if err == nil {
		return nil
	}
	if call != nil {
		delete(p.calls, call.number)
	}
	var full *ring.FullError
	if errors.As(err, &full) {
		p.node.metrics.queueFull.Inc()
		return &FullError{Peer: p.name, Capacity: full.Capacity}
	}
	return &ClosedError{}
}

// cancel cancels a call and reports whether it may have been sent; ok is false if it has already completed.
func (p *peer) cancel(call *pendingCall) (sent, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls[call.number] != call {
		return call.sent, false
	}
	delete(p.calls, call.number)
	return call.sent, true
}

// run takes messages from the queue and writes them; it dials if no connection is open.
func (p *peer) run(ctx context.Context) {
	defer p.node.peerWorkers.Done()
	for {
		item, err := p.nextMessage(ctx)
		if err != nil {
			p.drainCalls(ctx)
			return
		}
		if item == nil {
			p.closeIdle()
			continue
		}
		p.deliver(ctx, item)
	}
}

// nextMessage returns the next queued message, or nil without an error after Options.IdleTimeout without one.
func (p *peer) nextMessage(ctx context.Context) (*outboundMessage, error) {
	if item, ok := p.queue.TryTake(); ok {
		return item, nil
	}
	idle, cancel := context.WithTimeout(ctx, p.node.options.IdleTimeout)
	defer cancel()
	item, err := p.queue.Take(idle)
	if err != nil && errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		return nil, nil
	}
	return item, err
}

// deliver writes one message. If the peer cannot be reached, it fails all queued messages.
func (p *peer) deliver(ctx context.Context, item *outboundMessage) {
	for {
		s, err := p.connection(ctx)
		if err != nil {
			p.failQueued(item, err)
			return
		}
		connected, needed := p.markSent(s, item)
		if !needed {
			return
		}
		if !connected {
			continue // The connection ended before anything was written.
		}
		if err := s.write(item.data); err != nil {
			s.closeNow()
			p.handleDisconnect(s, err)
			if item.call == nil {
				p.peerCounters().dropped.Inc()
			}
		}
		return
	}
}

// markSent records that the message is about to be written to s. connected is false if s has
// ended; needed is false if the call was cancelled.
func (p *peer) markSent(s *session, item *outboundMessage) (connected, needed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if item.call != nil && p.calls[item.call.number] != item.call {
		return false, false
	}
	if p.session != s {
		return false, true
	}
	if item.call != nil {
		item.call.sent = true
	}
	return true, true
}

// connection returns the open connection or dials one.
func (p *peer) connection(ctx context.Context) (*session, error) {
	p.mu.Lock()
	s, address := p.session, p.address
	p.mu.Unlock()
	if s != nil {
		return s, nil
	}
	p.waitForBackoff(ctx)
	s, err := p.dial(ctx, address)
	if err != nil {
		p.node.recordRefusal(p.name, err)
		return nil, err
	}
	p.mu.Lock()
	p.session = s
	p.nextDial = time.Time{}
	p.lastErr = nil
	p.mu.Unlock()
	p.node.addOutbound(s)
	go s.ping()
	go p.readReplies(s)
	return s, nil
}

// dial connects and authenticates within Options.HandshakeTimeout.
func (p *peer) dial(ctx context.Context, address string) (*session, error) {
	p.node.metrics.dials.Inc()
	timed, cancel := context.WithTimeout(ctx, p.node.options.HandshakeTimeout)
	defer cancel()
	var conn *monitoredConn
	transport := &http.Transport{
		DisableKeepAlives: true, // A connection that is established after the timeout is closed, not kept.
		DialContext: func(_ context.Context, network, _ string) (net.Conn, error) {
			c, err := p.dialTCP(timed, network, address)
			if err == nil {
				conn = newMonitoredConn(c, p.peerCounters(), p.partition)
				return conn, nil
			}
			return nil, err
		},
	}
	ws, _, err := websocket.Dial(timed, "ws://"+address+urlPath, &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: transport},
	})
	if err != nil {
		return nil, err
	}
	ws.SetReadLimit(maxHandshakeBytes)
	sender, err := p.node.id.dial(timed, ws, p.name)
	if err != nil {
		_ = conn.Close()
		_ = ws.CloseNow()
		return nil, err
	}
	return newSession(ctx, ws, conn, sender, p.node.options.MaxFrameBytes), nil
}

func (p *peer) dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	if err := p.partition.waitUntilPassable(ctx.Done()); err != nil {
		return nil, err
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, address)
}

// failQueued fails the queued calls and drops the queued one-way messages, because a one-way message is out of
// date after an outage.
func (p *peer) failQueued(first *outboundMessage, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastErr = err
	p.failedDials++
	p.nextDial = time.Now().Add(backoffDelay(p.failedDials))
	for item := first; item != nil; item, _ = p.queue.TryTake() {
		if item.call == nil {
			p.countersLocked().dropped.Inc()
			continue
		}
		p.completeCall(item.call, frame{}, &UnreachableError{Peer: p.name, Sent: item.call.sent})
	}
}

// backoffDelay doubles from minBackoff to maxBackoff. The upper half of the delay is random so that instances
// do not all dial a recovered peer at the same time.
func backoffDelay(attempts int) time.Duration {
	delay := maxBackoff
	if attempts < 10 {
		delay = min(maxBackoff, minBackoff<<(attempts-1))
	}
	return delay/2 + rand.N(delay/2)
}

// waitForBackoff waits until the next dial is due or the peer has connected to this side.
func (p *peer) waitForBackoff(ctx context.Context) {
	p.mu.Lock()
	delay := time.Until(p.nextDial)
	p.mu.Unlock()
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.dialNow:
	case <-ctx.Done():
	}
}

// resetBackoff ends the backoff because the peer has just connected to this side.
func (p *peer) resetBackoff() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextDial = time.Time{}
	if p.dialNow == nil {
		return
	}
	select {
	case p.dialNow <- struct{}{}:
	default:
	}
}

// completeCall completes a call unless it was completed or cancelled before. The caller must hold p.mu.
func (p *peer) completeCall(call *pendingCall, reply frame, err error) {
	if p.calls[call.number] != call {
		return
	}
	delete(p.calls, call.number)
	call.reply = reply
	call.err = err
	close(call.done)
}

// readReplies reads replies and completes their calls until the connection ends.
func (p *peer) readReplies(s *session) {
	for {
		f, err := s.read()
		if err == nil && f.Type != frameReply && f.Type != frameError {
			err = &RefusedError{Peer: p.name, Reason: ReasonUnexpected}
		}
		if err != nil {
			p.node.recordRefusal(p.name, err)
			s.closeNow()
			p.handleDisconnect(s, err)
			return
		}
		p.handleReply(f)
	}
}

// handleReply completes the call of a reply; a reply to a cancelled call is counted and dropped.
func (p *peer) handleReply(f frame) {
	p.mu.Lock()
	defer p.mu.Unlock()
	call, known := p.calls[f.Call]
	if !known || call.kind != f.Kind {
		p.node.metrics.lateReplies.Inc()
		return
	}
	var err error
	if f.Type == frameError {
		err = p.remoteError(f)
	}
	p.completeCall(call, f, err)
}

func (p *peer) remoteError(f frame) error {
	var failure remoteFailure
	if err := Decode(f.Body, &failure); err != nil {
		return err
	}
	return &RemoteError{Peer: p.name, Code: failure.Code, Detail: failure.Detail}
}

// handleDisconnect fails the calls that were written to s; queued ones are sent on the next connection.
func (p *peer) handleDisconnect(s *session, err error) {
	p.node.removeOutbound(s)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != s {
		return
	}
	p.session = nil
	p.lastErr = err
	var closed *ClosedError
	if errors.As(err, &closed) || time.Since(s.connectedAt) >= stableAfter {
		p.failedDials = 0
	} else {
		p.failedDials++
		p.nextDial = time.Now().Add(backoffDelay(p.failedDials))
	}
	for _, call := range p.calls {
		if call.sent {
			p.completeCall(call, frame{}, &UnreachableError{Peer: p.name, Sent: true})
		}
	}
}

// closeIdle closes the open connection unless a call is outstanding.
func (p *peer) closeIdle() {
	p.mu.Lock()
	s := p.session
	idle := s != nil && len(p.calls) == 0
	p.mu.Unlock()
	if !idle {
		return
	}
	s.abort(&ClosedError{})
	p.handleDisconnect(s, &ClosedError{})
}

// drainCalls waits for outstanding calls after the queue was closed. When ctx ends, it fails the remaining
// ones.
func (p *peer) drainCalls(ctx context.Context) {
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	for p.pendingCalls() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			p.failCalls()
			return
		}
	}
}

func (p *peer) pendingCalls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.calls)
}

func (p *peer) failCalls() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, call := range p.calls {
		p.completeCall(call, frame{}, &UnreachableError{Peer: p.name, Sent: call.sent})
	}
}
