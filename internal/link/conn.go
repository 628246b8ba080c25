package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// peerCounters counts what is exchanged with one peer, on the wire and including the handshake.
type peerCounters struct {
	bytesIn, bytesOut       *metrics.Counter
	messagesIn, messagesOut *metrics.Counter
	dropped                 *metrics.Counter // one-way messages that were not delivered
}

// monitoredConn is the connection below the WebSocket layer. It counts bytes, remembers when it last
// received and how long a write has been in progress, and can be cut by tests.
type monitoredConn struct {
	net.Conn
	openedAt   time.Time    // origin of the clocks below
	lastRead   atomic.Int64 // nanoseconds after start
	writeSince atomic.Int64 // nanoseconds after start; 0 while no write is in progress
	counters   atomic.Pointer[peerCounters]
	partition  atomic.Pointer[partition]
	closeOnce  sync.Once
	closed     chan struct{}
}

func newMonitoredConn(c net.Conn, t *peerCounters, g *partition) *monitoredConn {
	w := &monitoredConn{Conn: c, openedAt: time.Now(), closed: make(chan struct{})}
	w.counters.Store(t)
	w.partition.Store(g)
	return w
}

// setPeer attributes further bytes to a peer whose name has become known.
func (w *monitoredConn) setPeer(t *peerCounters, g *partition) {
	w.counters.Store(t)
	w.partition.Store(g)
}

func (w *monitoredConn) now() int64 { return int64(time.Since(w.openedAt)) + 1 }

func (w *monitoredConn) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if err := w.partition.Load().waitUntilPassable(w.closed); err != nil {
		return 0, err
	}
	w.lastRead.Store(w.now())
	w.counters.Load().bytesIn.Add(n)
	return n, err
}

func (w *monitoredConn) Write(b []byte) (int, error) {
	w.writeSince.Store(w.now())
	defer w.writeSince.Store(0)
	if err := w.partition.Load().waitUntilPassable(w.closed); err != nil {
		return 0, err
	}
	n, err := w.Conn.Write(b)
	w.counters.Load().bytesOut.Add(n)
	return n, err
}

func (w *monitoredConn) Close() error {
	w.closeOnce.Do(func() { close(w.closed) })
	return w.Conn.Close()
}

// checkStalled returns *StalledError when nothing was received or a write was stuck for too long.
func (w *monitoredConn) checkStalled(read, write time.Duration) error {
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

// partition holds back the bytes exchanged with one peer while it is cut, as a partition does: nothing
// is lost or refused, and a connection that survives continues. A nil partition is always open.
type partition struct {
	mu       sync.Mutex
	passable chan struct{} // closed while traffic may pass
}

func newPartition() *partition {
	g := &partition{passable: make(chan struct{})}
	close(g.passable)
	return g
}

func (g *partition) set(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.passable:
		if cut {
			g.passable = make(chan struct{})
		}
	default:
		if !cut {
			close(g.passable)
		}
	}
}

func (g *partition) passableChannel() chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.passable
}

// waitUntilPassable returns once traffic may pass, or net.ErrClosed.
func (g *partition) waitUntilPassable(closed <-chan struct{}) error {
	if g == nil {
		return nil
	}
	select {
	case <-g.passableChannel():
		return nil
	default:
	}
	select {
	case <-g.passableChannel():
		return nil
	case <-closed:
		return net.ErrClosed
	}
}
