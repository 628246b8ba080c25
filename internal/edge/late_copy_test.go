package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/platform"
	"github.com/primrosebeam/primrosebeam/routing"
)

// heldConnection holds back the first call of Close, or the end of a pending Read after it, until proceed is closed.
type heldConnection struct {
	net.Conn
	holdClose bool
	begun     atomic.Bool
	closing   chan<- struct{} // closed when Close is called
	proceed   <-chan struct{}
}

func (c *heldConnection) Close() error {
	if !c.begun.Swap(true) {
		close(c.closing)
		if c.holdClose {
			<-c.proceed
		}
	}
	return c.Conn.Close()
}

func (c *heldConnection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err != nil {
		<-c.proceed
	}
	return n, err
}

// Guards against a copy that costs two requests, as the next one gets the connection before the copy has been checked.
func TestCopyWithoutBodyCostsOneRequest(t *testing.T) {
	for _, test := range []struct {
		name      string
		holdClose bool
	}{
		{"while the check closes the connection", true},
		{"before the end of the connection is noticed", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			closing, proceed := make(chan struct{}), make(chan struct{})
			var dials atomic.Int32
			e := newTestEdge(t, func() net.Conn {
				near, far := net.Pipe()
				if dials.Add(1) > 1 {
					go serveWithCopy(far, false)
					return near
				}
				go serveWithCopy(far, true)
				return &heldConnection{Conn: near, holdClose: test.holdClose, closing: closing, proceed: proceed}
			})
			send := func(id string) sendResult {
				r := httptest.NewRequest(http.MethodPost, "http://host/path", strings.NewReader("body"))
				r.Header.Set(platform.HeaderAttempt, id)
				x := newTestExchange(e, routing.KindNonIdempotent, httptest.NewRecorder(), r)
				x.id, x.body, x.deadline = id, []byte("body"), clock()+time.Minute
				return x.send(t.Context(), slot{engine: placement.Engine{ID: "e", Address: "10.0.0.1:80"}})
			}
			first := make(chan sendResult, 1)
			go func() { first <- send("first") }()
			<-closing
			if !test.holdClose {
				is.Equal(<-first, resultFailed)
				first <- resultFailed
			}
			is.Equal(send("next"), resultDone)
			close(proceed)
			is.Equal(<-first, resultFailed)
			is.Equal(dials.Load(), int32(2))
		})
	}
}

// serveWithCopy answers the requests on a connection without a body. If late is set, the first one gets the copy of a
// former response, and its own one comes in place of the next.
func serveWithCopy(c net.Conn, late bool) {
	defer c.Close()
	in := bufio.NewReader(c)
	former := "former"
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get(platform.HeaderAttempt)
		if late {
			id, former = former, id
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 0\r\n\r\n", platform.HeaderAttempt, id, platform.HeaderSignature)
	}
}
