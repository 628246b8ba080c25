package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// peerCounters counts the bytes and messages exchanged with one peer. Bytes are counted on the TCP connection
// and include the handshake.
type peerCounters struct {
	bytesIn, bytesOut       *metrics.Counter
	messagesIn, messagesOut *metrics.Counter
	dropped                 *metrics.Counter // one-way messages that were not delivered
}

// monitoredConn is the TCP connection below the WebSocket layer. It counts bytes, records the time of the last
// read and the start of a write in progress, and lets tests simulate a network partition.
type monitoredConn struct {
	net.Conn
	openedAt   time.Time    // reference time of lastRead and writeSince
	lastRead   atomic.Int64 // time of the last read in nanoseconds after openedAt
	writeSince atomic.Int64 // start of the current write in nanoseconds after openedAt; 0 if there is none
	counters   atomic.Pointer[peerCounters]
	partition  atomic.Pointer[partition]
	closeOnce  sync.Once
	closed     chan struct{}
}

func newMonitoredConn(conn net.Conn, counters *peerCounters, p *partition) *monitoredConn {
	c := &monitoredConn{Conn: conn, openedAt: time.Now(), closed: make(chan struct{})}
	c.counters.Store(counters)
	c.partition.Store(p)
	return c
}

// setPeer counts further bytes for a peer whose name has become known, and applies its partition.
func (c *monitoredConn) setPeer(counters *peerCounters, p *partition) {
	c.counters.Store(counters)
	c.partition.Store(p)
}

func (c *monitoredConn) now() int64 { return int64(time.Since(c.openedAt)) + 1 }

func (c *monitoredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err := c.partition.Load().waitUntilPassable(c.closed); err != nil {
		return 0, err
	}
	c.lastRead.Store(c.now())
	c.counters.Load().bytesIn.Add(n)
	return n, err
}

func (c *monitoredConn) Write(b []byte) (int, error) {
	c.writeSince.Store(c.now())
	defer c.writeSince.Store(0)
	if err := c.partition.Load().waitUntilPassable(c.closed); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.counters.Load().bytesOut.Add(n)
	return n, err
}

func (c *monitoredConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// checkStalled returns *StalledError if nothing was received or a write was blocked for too long.
func (c *monitoredConn) checkStalled(receiveLimit, writeLimit time.Duration) error {
	now := c.now()
	if idle := time.Duration(now - c.lastRead.Load()); idle > receiveLimit {
		return &StalledError{Duration: idle}
	}
	since := c.writeSince.Load()
	if blocked := time.Duration(now - since); since != 0 && blocked > writeLimit {
		return &StalledError{Duration: blocked, Write: true}
	}
	return nil
}

// partition simulates a network partition by holding back the bytes exchanged with one peer while it is active.
// No data is lost and no connection is refused, so a connection that does not time out continues afterwards.
// A nil partition never holds back traffic.
type partition struct {
	mu       sync.Mutex
	passable chan struct{} // closed channel while traffic may pass
}

func newPartition() *partition {
	p := &partition{passable: make(chan struct{})}
	close(p.passable)
	return p
}

func (p *partition) set(active bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.passable:
		if active {
			p.passable = make(chan struct{})
		}
	default:
		if !active {
			close(p.passable)
		}
	}
}

func (p *partition) passableChannel() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.passable
}

// waitUntilPassable returns nil once traffic may pass, or net.ErrClosed once closed is closed.
func (p *partition) waitUntilPassable(closed <-chan struct{}) error {
	if p == nil {
		return nil
	}
	select {
	case <-p.passableChannel():
		return nil
	default:
	}
	select {
	case <-p.passableChannel():
		return nil
	case <-closed:
		return net.ErrClosed
	}
}
