package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// trouble is what a proxy does to the connections that pass it.
type trouble int

const (
	troubleNone    trouble = iota
	troubleDelay           // each piece arrives late
	troubleRefuse          // new connections are closed, open ones are reset
	troubleSilence         // nothing passes, nothing is closed
	troubleOneWay          // nothing passes back to the side that connected
)

const (
	delayLeast = 20 * time.Millisecond
	delayMost  = 150 * time.Millisecond
	dialLimit  = time.Second
)

// proxy forwards TCP connections and harms them on command.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	trouble trouble
	changed chan struct{} // closed when the trouble changes
	open    map[net.Conn]struct{}
}

func startProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, changed: make(chan struct{}), open: map[net.Conn]struct{}{}}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.forward(from)
	}
}

func (p *proxy) set(t trouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trouble = t
	close(p.changed)
	p.changed = make(chan struct{})
	if t == troubleRefuse {
		p.resetAll()
	}
}

// resetAll requires p.mu.
func (p *proxy) resetAll() {
	for c := range p.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
}

func (p *proxy) state() (trouble, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trouble, p.changed
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

func (p *proxy) forward(from net.Conn) {
	defer from.Close()
	if t, _ := p.state(); t == troubleRefuse {
		return
	}
	to, err := net.DialTimeout("tcp", p.target, dialLimit)
	if err != nil {
		if tcp, ok := from.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		return
	}
	defer to.Close()
	p.mu.Lock()
	p.open[from], p.open[to] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(to, from, false) })
	both.Go(func() { p.copy(from, to, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.open, from)
	delete(p.open, to)
	p.mu.Unlock()
}

// copy passes bytes on; back tells whether they go to the side that connected.
func (p *proxy) copy(to, from net.Conn, back bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.hold(back)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF {
				tcp.CloseWrite()
				return
			}
			to.Close()
			return
		}
	}
}

// hold waits while the trouble keeps bytes of this direction back.
func (p *proxy) hold(back bool) {
	for {
		t, changed := p.state()
		switch {
		case t == troubleDelay:
			time.Sleep(delayLeast + rand.N(delayMost-delayLeast))
			return
		case t == troubleSilence, t == troubleOneWay && back:
			<-changed
		default:
			return
		}
	}
}
