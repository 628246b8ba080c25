package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// traffic counts what is exchanged with one peer, on the wire and including the handshake.
type traffic struct {
	bytesIn, bytesOut       *metrics.Counter
	messagesIn, messagesOut *metrics.Counter
	dropped                 *metrics.Counter // one-way messages that were not delivered
}

// wire is the connection below the WebSocket layer. It counts bytes, remembers when it last
// received and how long a write has been in progress, and can be cut by tests.
type wire struct {
	net.Conn
	start      time.Time    // origin of the clocks below
	lastRead   atomic.Int64 // nanoseconds after start
	writeSince atomic.Int64 // nanoseconds after start; 0 while no write is in progress
	traffic    atomic.Pointer[traffic]
	gate       atomic.Pointer[gate]
	closeOnce  sync.Once
	closed     chan struct{}
}

func newWire(c net.Conn, t *traffic, g *gate) *wire {
	w := &wire{Conn: c, start: time.Now(), closed: make(chan struct{})}
	w.traffic.Store(t)
	w.gate.Store(g)
	return w
}

// bind attributes further bytes to a peer whose name has become known.
func (w *wire) bind(t *traffic, g *gate) {
	w.traffic.Store(t)
	w.gate.Store(g)
}

func (w *wire) now() int64 { return int64(time.Since(w.start)) + 1 }

func (w *wire) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if err := w.gate.Load().wait(w.closed); err != nil {
		return 0, err
	}
	w.lastRead.Store(w.now())
	w.traffic.Load().bytesIn.Add(n)
	return n, err
}

func (w *wire) Write(b []byte) (int, error) {
	w.writeSince.Store(w.now())
	defer w.writeSince.Store(0)
	if err := w.gate.Load().wait(w.closed); err != nil {
		return 0, err
	}
	n, err := w.Conn.Write(b)
	w.traffic.Load().bytesOut.Add(n)
	return n, err
}

func (w *wire) Close() error {
	w.closeOnce.Do(func() { close(w.closed) })
	return w.Conn.Close()
}

// silence returns *StalledError when nothing was received or a write was stuck for too long.
func (w *wire) silence(read, write time.Duration) error {
	now := w.now()
	if quiet := time.Duration(now - w.lastRead.Load()); quiet > read {
		return &StalledError{Duration: quiet}
	}
	since := w.writeSince.Load()
	if stuck := time.Duration(now - since); since != 0 && stuck > write {
		return &StalledError{Duration: stuck, Write: true}
	}
	return nil
}

// gate holds back the bytes exchanged with one peer while it is cut, as a partition does: nothing
// is lost or refused, and a connection that survives continues. A nil gate is always open.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // closed while traffic may pass
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) set(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
		if cut {
			g.open = make(chan struct{})
		}
	default:
		if !cut {
			close(g.open)
		}
	}
}

func (g *gate) channel() chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// wait returns once traffic may pass, or net.ErrClosed.
func (g *gate) wait(closed <-chan struct{}) error {
	if g == nil {
		return nil
	}
	select {
	case <-g.channel():
		return nil
	default:
	}
	select {
	case <-g.channel():
		return nil
	case <-closed:
		return net.ErrClosed
	}
}
