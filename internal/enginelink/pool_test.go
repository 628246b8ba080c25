package enginelink

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testIdleTimeout = time.Minute

// testEngine answers each request with its ID, and counts connections.
type testEngine struct {
	address string
	dials   atomic.Int32
	hang    atomic.Pointer[chan struct{}] // dials wait for it, if set
}

func newTestPool(t *testing.T, maxIdle int, answer func(c net.Conn, id string, number int)) (*Pool, *testEngine) {
	t.Helper()
	e := &testEngine{}
	e.address = startEngine(t, func(c *net.TCPConn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for number := 0; ; number++ {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			answer(c, r.Header.Get("Id"), number)
		}
	})
	p := NewPool(PoolOptions{MaxIdle: maxIdle, IdleTimeout: testIdleTimeout, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		e.dials.Add(1)
		if hang := e.hang.Load(); hang != nil {
			<-*hang
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}})
	t.Cleanup(p.CloseIdle)
	return p, e
}

func answerWithID(c net.Conn, id string, _ int) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n", id) // a failure shows as a missing response
}

func roundTrip(t *testing.T, l *Lease, id string) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.c.address+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Id", id)
	return l.RoundTrip(r)
}

// use sends a request with the given ID and releases its connection.
func use(t *testing.T, p *Pool, address, id string) *Connection {
	t.Helper()
	is := is.New(t)
	l, err := p.Acquire(t.Context(), address, id, nil)
	is.NoErr(err)
	response, err := roundTrip(t, l, id)
	is.NoErr(err)
	is.Equal(response.Header.Get("Id"), id)
	is.NoErr(response.Body.Close())
	l.Release()
	return l.Connection()
}

// Guards against two requests with one ID on a connection, also with others between them, and against new connections
// for all others.
func TestConnectionCarriesAnIDOnce(t *testing.T) {
	is := is.New(t)
	p, e := newTestPool(t, 8, answerWithID)
	first := use(t, p, e.address, "a")
	for i := range 20 {
		is.Equal(use(t, p, e.address, fmt.Sprint(i)), first)
	}
	second := use(t, p, e.address, "a")
	is.True(second != first)
	is.True(use(t, p, e.address, "b") == second) // the most recently used one
	is.True(use(t, p, e.address, "b") == first)  // the other one has not carried it
	is.Equal(e.dials.Load(), int32(2))
	is.True(use(t, p, e.address, "a") != second) // both have carried it
	is.Equal(e.dials.Load(), int32(3))
}

// Guards against a connection whose next user gets it before the response has been checked, and against one that is used
// after its check failed.
func TestConnectionIsNotSharedBeforeRelease(t *testing.T) {
	is := is.New(t)
	p, e := newTestPool(t, 8, answerWithID)
	l, err := p.Acquire(t.Context(), e.address, "a", nil)
	is.NoErr(err)
	response, err := roundTrip(t, l, "a")
	is.NoErr(err)
	is.NoErr(response.Body.Close()) // the response is complete, but not checked
	other := use(t, p, e.address, "b")
	is.True(other != l.Connection())
	l.Close()
	l.Release() // has no effect
	is.Equal(use(t, p, e.address, "c"), other)
	is.Equal(use(t, p, e.address, "d"), other)
}

// Guards against a connection on which a response was not read to its end, or more arrived than was asked for.
func TestConnectionWithUnreadBytesIsClosed(t *testing.T) {
	for _, test := range []struct{ name, response string }{
		{"unread body", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\nbody"},
		{"second response", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p, e := newTestPool(t, 8, func(c net.Conn, id string, _ int) {
				if id == "a" {
					io.WriteString(c, test.response)
					return
				}
				answerWithID(c, id, 0)
			})
			l, err := p.Acquire(t.Context(), e.address, "a", nil)
			is.NoErr(err)
			response, err := roundTrip(t, l, "a")
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			l.Release()
			time.Sleep(50 * time.Millisecond) // the rest arrives
			is.True(use(t, p, e.address, "b") != l.Connection())
		})
	}
}

// Guards against records of connections that grow without a bound.
func TestConnectionIsRetired(t *testing.T) {
	is := is.New(t)
	p, e := newTestPool(t, 8, answerWithID)
	for i := range maxCarried {
		use(t, p, e.address, fmt.Sprint(i))
	}
	is.Equal(e.dials.Load(), int32(1))
	use(t, p, e.address, "next")
	is.Equal(e.dials.Load(), int32(2))
}

// Guards against a connection that is lost because its request was not sent.
func TestUnusedLeaseKeepsConnection(t *testing.T) {
	is := is.New(t)
	p, e := newTestPool(t, 8, answerWithID)
	l, err := p.Acquire(t.Context(), e.address, "a", nil)
	is.NoErr(err)
	l.Release()
	is.Equal(use(t, p, e.address, "a"), l.Connection())
	is.Equal(e.dials.Load(), int32(1))
}

// Guards against a request that waits for its own dial while another connection becomes available, and against the loss
// of connections that are opened late.
func TestReleasedConnectionServesWaitingRequest(t *testing.T) {
	is := is.New(t)
	p, e := newTestPool(t, 8, answerWithID)
	held, err := p.Acquire(t.Context(), e.address, "a", nil)
	is.NoErr(err)
	hang := make(chan struct{})
	e.hang.Store(&hang)
	got := make(chan *Lease, 1)
	go func() {
		l, err := p.Acquire(t.Context(), e.address, "b", nil)
		if err != nil {
			t.Error(err)
		}
		got <- l
	}()
	cancelled, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = p.Acquire(cancelled, e.address, "c", nil)
	is.Equal(err, context.DeadlineExceeded)
	held.Release()
	l := <-got
	is.Equal(l.Connection(), held.Connection())
	l.Release()
	e.hang.Store(nil)
	close(hang)
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		idle := len(p.idle[e.address])
		p.mu.Unlock()
		if idle == 3 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("connections that were opened late are not kept: ", idle)
		}
	}
	is.Equal(len(p.waiting), 0)
}

// Guards against more idle connections than permitted.
func TestIdleConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	p, e := newTestPool(t, 2, answerWithID)
	var leases []*Lease
	for i := range 5 {
		l, err := p.Acquire(t.Context(), e.address, fmt.Sprint(i), nil)
		is.NoErr(err)
		leases = append(leases, l)
	}
	for _, l := range leases {
		l.Release()
	}
	is.Equal(len(p.idle[e.address]), 2)
	p.CloseIdle()
	is.Equal(len(p.idle), 0)
	use(t, p, e.address, "next")
	is.Equal(e.dials.Load(), int32(6))
}

// Guards against a request that is taken for unsent although its bytes were passed to the network, and the reverse.
func TestUnsent(t *testing.T) {
	is := is.New(t)
	p, e := newTestPool(t, 2, func(c net.Conn, id string, _ int) {
		if id == "last" {
			c.Close()
			return
		}
		answerWithID(c, id, 0)
	})
	use(t, p, e.address, "a")
	l, err := p.Acquire(t.Context(), e.address, "b", nil)
	is.NoErr(err)
	l.c.Conn.Close() // as the engine would, just before the request
	time.Sleep(20 * time.Millisecond)
	_, err = roundTrip(t, l, "b")
	is.True(err != nil)
	is.True(l.Reused())
	is.True(l.Unsent())
	l, err = p.Acquire(t.Context(), e.address, "last", nil)
	is.NoErr(err)
	_, err = roundTrip(t, l, "last")
	is.True(err != nil)
	is.True(!l.Unsent())
}

// Guards against a new connection that is used although the request does not accept it.
func TestUnusableConnectionIsKeptForOthers(t *testing.T) {
	is := is.New(t)
	p, e := newTestPool(t, 2, answerWithID)
	_, err := p.Acquire(t.Context(), e.address, "a", func(*Connection) bool { return false })
	is.Equal(err.Error(), (&UnusableError{Address: e.address}).Error())
	use(t, p, e.address, "a")
	is.Equal(e.dials.Load(), int32(1))
}

// Guards against a connection that the engine has closed meanwhile, since this process stood still beyond the idle timeout
// and a request comes before the timer.
func TestConnectionIdleForTooLongIsNotUsed(t *testing.T) {
	is := is.New(t)
	p, e := newTestPool(t, 2, answerWithID)
	p.options.IdleTimeout = 50 * time.Millisecond
	first := use(t, p, e.address, "a")
	is.True(p.idle[e.address][0].expiry.Stop()) // it does not run while the process stands still
	time.Sleep(2 * p.options.IdleTimeout)
	is.True(use(t, p, e.address, "b") != first)
}

// Guards against an engine with an https URL that is not reached, or by a new connection for each request, and against a
// request over TLS that is taken for sent because of the handshake.
func TestConnectionOverTLS(t *testing.T) {
	is := is.New(t)
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.Header().Set("Id", r.Header.Get("Id")) }))
	defer server.Close()
	dials := 0
	p := NewPool(PoolOptions{MaxIdle: 2, IdleTimeout: testIdleTimeout, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}})
	defer p.CloseIdle()
	p.tls = server.Client().Transport.(*http.Transport).TLSClientConfig
	for i := range 10 {
		l, err := p.Acquire(t.Context(), server.URL, fmt.Sprint(i), nil)
		is.NoErr(err)
		r, err := http.NewRequest(http.MethodPost, server.URL+"/", nil)
		is.NoErr(err)
		r.Header.Set("Id", fmt.Sprint(i))
		response, err := l.RoundTrip(r)
		is.NoErr(err)
		is.Equal(response.Header.Get("Id"), fmt.Sprint(i))
		is.NoErr(response.Body.Close())
		l.Release()
	}
	is.Equal(dials, 1)
	for _, closeConnection := range []func(*Lease){
		func(l *Lease) { l.c.Conn.Close() },
		func(*Lease) { server.CloseClientConnections() },
	} {
		l, err := p.Acquire(t.Context(), server.URL, "last", nil)
		is.NoErr(err)
		closeConnection(l)
		time.Sleep(20 * time.Millisecond)
		r, err := http.NewRequest(http.MethodPost, server.URL+"/", nil)
		is.NoErr(err)
		_, err = l.RoundTrip(r)
		is.True(err != nil)
		is.True(l.Unsent())
	}
}
