package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// RawResponder writes the response to a request as bytes. number counts the requests on the connection from
// 0. The connection is closed if it returns false.
type RawResponder func(c net.Conn, r *http.Request, number int) bool

// RawEngine is a stand-in for an engine whose responses are written byte by byte, to violate the protocol.
type RawEngine struct {
	listener net.Listener
	respond  RawResponder
	early    bool // respond is called before the body of a request is read
	mu       sync.Mutex
	open     map[net.Conn]bool
	accepted int
}

// StartRawEngine starts a RawEngine that listens on address.
func StartRawEngine(address string, respond RawResponder) (*RawEngine, error) {
	return start(address, &RawEngine{respond: respond})
}

// StartEarlyEngine starts a RawEngine that responds to a request before it reads the body. respond may read the body;
// the rest of it is read afterwards, if respond returns true.
func StartEarlyEngine(address string, respond RawResponder) (*RawEngine, error) {
	return start(address, &RawEngine{respond: respond, early: true})
}

func start(address string, e *RawEngine) (*RawEngine, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e.listener, e.open = listener, map[net.Conn]bool{}
	go e.accept()
	return e, nil
}

// Close stops the engine and closes its connections.
func (e *RawEngine) Close() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.open {
		c.Close()
	}
}

// Address returns the address on which the engine listens.
func (e *RawEngine) Address() string { return e.listener.Addr().String() }

// Open returns the number of connections that are open.
func (e *RawEngine) Open() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.open)
}

// Accepted returns the number of connections that were accepted so far.
func (e *RawEngine) Accepted() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.accepted
}

func (e *RawEngine) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return // Close was called
		}
		e.mu.Lock()
		e.open[c] = true
		e.accepted++
		e.mu.Unlock()
		go e.serve(c)
	}
}

func (e *RawEngine) serve(c net.Conn) {
	defer func() {
		c.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.open, c)
	}()
	in := bufio.NewReader(c)
	for number := 0; ; number++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if !e.exchange(c, r, number) {
			return
		}
	}
}

// exchange responds to a request. It returns false if the connection ends.
func (e *RawEngine) exchange(c net.Conn, r *http.Request, number int) bool {
	if e.early && !e.respond(c, r, number) {
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	return e.early || e.respond(c, r, number)
}

// WritePartAndReset writes the beginning of a response and resets the connection after a delay. The responder has to
// return false after it.
func WritePartAndReset(c net.Conn, part string, delay time.Duration) {
	_, _ = io.WriteString(c, part) // a failure shows in the response
	time.Sleep(delay)
	_ = c.(*net.TCPConn).SetLinger(0) // fails only if the connection has ended
}

// WriteEndlessly writes start and then repeats part until the connection is closed. It pauses after each part.
func WriteEndlessly(c net.Conn, start, part string, pause time.Duration) {
	if _, err := io.WriteString(c, start); err != nil {
		return
	}
	for {
		if _, err := io.WriteString(c, part); err != nil {
			return
		}
		time.Sleep(pause)
	}
}
