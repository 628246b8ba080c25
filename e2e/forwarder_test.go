package e2e

import (
	"io"
	"net"
	"sync"
	"testing"
)

// forwarder relays TCP connections to an address until it simulates a network partition. During a partition
// connections stay open, but no data passes.
type forwarder struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	partitioned bool
	connections []net.Conn
}

func startForwarder(t *testing.T, target string) *forwarder {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{listener: listener, target: target}
	t.Cleanup(func() {
		listener.Close()
		f.closeAll()
	})
	go f.accept()
	return f
}

func (f *forwarder) address() string { return f.listener.Addr().String() }

func (f *forwarder) accept() {
	for {
		incoming, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.connections = append(f.connections, incoming)
		partitioned := f.partitioned
		f.mu.Unlock()
		if partitioned {
			continue
		}
		outgoing, err := net.Dial("tcp", f.target)
		if err != nil {
			incoming.Close()
			continue
		}
		f.mu.Lock()
		f.connections = append(f.connections, outgoing)
		f.mu.Unlock()
		go f.copy(incoming, outgoing)
		go f.copy(outgoing, incoming)
	}
}

// copy relays data in one direction. Data that arrives during a partition is discarded.
func (f *forwarder) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		f.mu.Lock()
		partitioned := f.partitioned
		f.mu.Unlock()
		if partitioned {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

// setPartitioned starts or ends a partition. The end closes all connections, as a network does that has lost
// their state.
func (f *forwarder) setPartitioned(partitioned bool) {
	f.mu.Lock()
	f.partitioned = partitioned
	f.mu.Unlock()
	if !partitioned {
		f.closeAll()
	}
}

func (f *forwarder) closeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, connection := range f.connections {
		connection.Close()
	}
	f.connections = nil
}
