// Package pending bounds the connections whose other side is not authenticated yet.
package pending

import (
	"net"
	"sync"
)

// Connections holds connections that are not authenticated yet, in order of arrival. Beyond the limit the oldest one is
// closed: authentication takes a few round trips, so one that is still open is most likely not that of an instance. It is
// safe for concurrent use.
type Connections struct {
	limit int
	mu    sync.Mutex
	order []net.Conn
}

// New returns an empty set for at most limit connections.
func New(limit int) *Connections { return &Connections{limit: limit} }

// Add adds a connection and reports whether the oldest one was closed for it.
func (p *Connections) Add(c net.Conn) (closed bool) {
	oldest := p.add(c)
	if oldest == nil {
		return false
	}
	_ = oldest.Close() // it failed already otherwise
	return true
}

func (p *Connections) add(c net.Conn) (oldest net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.order = append(p.order, c)
	if len(p.order) <= p.limit {
		return nil
	}
	oldest = p.order[0]
	p.order = append(p.order[:0], p.order[1:]...)
	return oldest
}

// Remove removes a connection that is closed or authenticated. It reports whether it was still held.
func (p *Connections) Remove(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.order {
		if other == c {
			p.order = append(p.order[:i], p.order[i+1:]...)
			return true
		}
	}
	return false
}
