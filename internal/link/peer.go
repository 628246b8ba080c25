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

// outgoing is one encoded message in a peer's ring.
type outgoing struct {
	data []byte
	call *pending // nil for one-way messages
}

// pending is an outstanding call.
type pending struct {
	number uint64
	kind   Kind
	sent   bool // under peer.mu; set before the first byte is written
	done   chan struct{}
	reply  frame
	err    error
}

// peer holds the sending side towards one other instance. One goroutine dials and writes; one reads replies.
type peer struct {
	node *Node
	name string
	gate *gate // nil unless cuts are allowed

	mu       sync.Mutex
	address  string
	traffic  *traffic              // set on first use
	ring     *ring.Ring[*outgoing] // set on first use
	session  *session
	calls    map[uint64]*pending
	stopped  bool
	attempts int       // failed dials and early disconnects since a connection last held for steadyAfter
	downTill time.Time // no dial before it; calls fail at once
	lastErr  error
	wake     chan struct{} // the peer has been heard: dial now
}

func newPeer(n *Node, name, address string) *peer {
	p := &peer{node: n, name: name, address: address}
	if n.o.AllowPartitions {
		p.gate = newGate()
	}
	return p
}

func (p *peer) setAddress(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address = address
}

// start allocates what a peer needs once something is exchanged with it: at 400 instances most
// peers are never used. It requires p.mu.
func (p *peer) start() {
	if p.ring != nil {
		return
	}
	p.ring = ring.New[*outgoing](p.node.o.RingCapacity)
	p.calls = map[uint64]*pending{}
	p.wake = make(chan struct{}, 1)
	p.countLocked()
	p.node.writers.Add(1)
	go p.run(p.node.ctx)
}

func (p *peer) countLocked() *traffic {
	if p.traffic == nil {
		p.traffic = p.node.metrics.peer(p.name)
	}
	return p.traffic
}

func (p *peer) count() *traffic {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.countLocked()
}

// stop refuses further messages; run ends once the ring is empty and no call is outstanding.
func (p *peer) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	if p.ring != nil {
		p.ring.Close()
	}
}

// enqueue registers the call, if any, and queues the message.
func (p *peer) enqueue(data []byte, call *pending) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return &ClosedError{}
	}
	p.start()
	if call != nil {
		if time.Now().Before(p.downTill) {
			return &UnreachableError{Peer: p.name}
		}
		if len(p.calls) >= p.node.o.MaxCalls {
			return &FullError{Peer: p.name, Capacity: p.node.o.MaxCalls}
		}
		p.calls[call.number] = call
	}
	err := p.ring.Offer(&outgoing{data: data, call: call})
	if err == nil {
		return nil
	}
	if call != nil {
		delete(p.calls, call.number)
	}
	var full *ring.FullError
	if errors.As(err, &full) {
		p.node.metrics.full.Inc()
		return &FullError{Peer: p.name, Capacity: full.Capacity}
	}
	return &ClosedError{}
}

// cancel withdraws a call and tells whether it may have been sent; ok is false when it has ended already.
func (p *peer) cancel(call *pending) (sent, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls[call.number] != call {
		return call.sent, false
	}
	delete(p.calls, call.number)
	return call.sent, true
}

// run takes messages from the ring and writes them, dialling when needed.
func (p *peer) run(ctx context.Context) {
	defer p.node.writers.Done()
	for {
		item, err := p.take(ctx)
		if err != nil {
			p.finish(ctx)
			return
		}
		if item == nil {
			p.disconnect()
			continue
		}
		p.deliver(ctx, item)
	}
}

// take returns nil without an error after Options.IdleTimeout without a message.
func (p *peer) take(ctx context.Context) (*outgoing, error) {
	if item, ok := p.ring.TryTake(); ok {
		return item, nil
	}
	idle, cancel := context.WithTimeout(ctx, p.node.o.IdleTimeout)
	defer cancel()
	item, err := p.ring.Take(idle)
	if err != nil && errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		return nil, nil
	}
	return item, err
}

// deliver writes one message, or fails everything that waits when the peer cannot be reached.
func (p *peer) deliver(ctx context.Context, item *outgoing) {
	for {
		s, err := p.connected(ctx)
		if err != nil {
			p.failQueued(item, err)
			return
		}
		ready, wanted := p.markSent(s, item)
		if !wanted {
			return
		}
		if !ready {
			continue // The connection ended before anything was written.
		}
		if err := s.write(item.data); err != nil {
			s.closeNow()
			p.disconnected(s, err)
			if item.call == nil {
				p.count().dropped.Inc()
			}
		}
		return
	}
}

// markSent records that the message is about to be written to s. ready is false when s has ended;
// wanted is false when the call was withdrawn.
func (p *peer) markSent(s *session, item *outgoing) (ready, wanted bool) {
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

// connected returns the open connection or dials one.
func (p *peer) connected(ctx context.Context) (*session, error) {
	p.mu.Lock()
	s, address := p.session, p.address
	p.mu.Unlock()
	if s != nil {
		return s, nil
	}
	p.backOff(ctx)
	s, err := p.dial(ctx, address)
	if err != nil {
		p.node.refused(p.name, err)
		return nil, err
	}
	p.mu.Lock()
	p.session = s
	p.downTill = time.Time{}
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
	timed, cancel := context.WithTimeout(ctx, p.node.o.HandshakeTimeout)
	defer cancel()
	var w *wire
	transport := &http.Transport{
		DisableKeepAlives: true, // A connection that is established after the timeout is closed, not kept.
		DialContext: func(_ context.Context, network, _ string) (net.Conn, error) {
			c, err := p.connect(timed, network, address)
			if err == nil {
				w = newWire(c, p.count(), p.gate)
				return w, nil
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
		_ = w.Close()
		_ = ws.CloseNow()
		return nil, err
	}
	return newSession(ctx, ws, w, sender, p.node.o.MaxFrameBytes), nil
}

func (p *peer) connect(ctx context.Context, network, address string) (net.Conn, error) {
	if err := p.gate.wait(ctx.Done()); err != nil {
		return nil, err
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, address)
}

// failQueued fails the calls and drops the one-way messages that wait: after an outage a
// one-way message is out of date.
func (p *peer) failQueued(first *outgoing, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastErr = err
	p.attempts++
	p.downTill = time.Now().Add(backOffDelay(p.attempts))
	for item := first; item != nil; item, _ = p.ring.TryTake() {
		if item.call == nil {
			p.countLocked().dropped.Inc()
			continue
		}
		p.end(item.call, frame{}, &UnreachableError{Peer: p.name, Sent: item.call.sent})
	}
}

// backOffDelay doubles from backoffMin to backoffMax; the upper half is random so that instances
// do not dial a returning peer at the same moment.
func backOffDelay(attempts int) time.Duration {
	delay := backoffMax
	if attempts < 10 {
		delay = min(backoffMax, backoffMin<<(attempts-1))
	}
	return delay/2 + rand.N(delay/2)
}

// backOff waits until the next dial is due or the peer is heard.
func (p *peer) backOff(ctx context.Context) {
	p.mu.Lock()
	delay := time.Until(p.downTill)
	p.mu.Unlock()
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.wake:
	case <-ctx.Done():
	}
}

// heard ends a back-off because the peer has just connected to this side.
func (p *peer) heard() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.downTill = time.Time{}
	if p.wake == nil {
		return
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// end completes a call once. It requires p.mu.
func (p *peer) end(call *pending, reply frame, err error) {
	if p.calls[call.number] != call {
		return
	}
	delete(p.calls, call.number)
	call.reply = reply
	call.err = err
	close(call.done)
}

// readReplies completes calls until the connection ends.
func (p *peer) readReplies(s *session) {
	for {
		f, err := s.read()
		if err == nil && f.Type != frameReply && f.Type != frameError {
			err = &RefusedError{Peer: p.name, Reason: ReasonUnexpected}
		}
		if err != nil {
			p.node.refused(p.name, err)
			s.closeNow()
			p.disconnected(s, err)
			return
		}
		p.complete(f)
	}
}

// complete hands a reply to its call; a reply to a withdrawn call is dropped.
func (p *peer) complete(f frame) {
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
	p.end(call, f, err)
}

func (p *peer) remoteError(f frame) error {
	var failure remoteFailure
	if err := Decode(f.Body, &failure); err != nil {
		return err
	}
	return &RemoteError{Peer: p.name, Code: failure.Code, Detail: failure.Detail}
}

// disconnected fails the calls that were written to s; those that wait in the ring go to the next connection.
func (p *peer) disconnected(s *session, err error) {
	p.node.removeOutbound(s)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != s {
		return
	}
	p.session = nil
	p.lastErr = err
	var idle *ClosedError
	if errors.As(err, &idle) || time.Since(s.since) >= steadyAfter {
		p.attempts = 0
	} else {
		p.attempts++
		p.downTill = time.Now().Add(backOffDelay(p.attempts))
	}
	for _, call := range p.calls {
		if call.sent {
			p.end(call, frame{}, &UnreachableError{Peer: p.name, Sent: true})
		}
	}
}

// disconnect closes an idle connection unless a call is outstanding.
func (p *peer) disconnect() {
	p.mu.Lock()
	s := p.session
	idle := s != nil && len(p.calls) == 0
	p.mu.Unlock()
	if !idle {
		return
	}
	s.abort(&ClosedError{})
	p.disconnected(s, &ClosedError{})
}

// finish waits for outstanding calls after the ring was closed, until ctx ends.
func (p *peer) finish(ctx context.Context) {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for p.outstanding() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			p.failAll()
			return
		}
	}
}

func (p *peer) outstanding() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.calls)
}

func (p *peer) failAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, call := range p.calls {
		p.end(call, frame{}, &UnreachableError{Peer: p.name, Sent: call.sent})
	}
}
