package edge

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

	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/platform"
	"github.com/primrosebeam/primrosebeam/routing"
)

// newPipedEdge returns an entry instance and the number of its connections to engines. respond is called for each request
// on a connection, with the number of both, from 0; it returns false to close the connection.
func newPipedEdge(t *testing.T, respond func(c net.Conn, r *http.Request, connection, number int) bool) (*Edge, *atomic.Int32) {
	t.Helper()
	var connections atomic.Int32
	e := newTestEdge(t, func() net.Conn {
		near, far := net.Pipe()
		connection := int(connections.Add(1)) - 1
		go func() {
			defer far.Close()
			in := bufio.NewReader(far)
			for number := 0; ; number++ {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, r.Body); err != nil || !respond(far, r, connection, number) {
					return
				}
			}
		}()
		return near
	})
	t.Cleanup(e.pool.CloseIdle)
	return e, &connections
}

func writeSuccess(c net.Conn, attempt string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 0\r\n\r\n",
		platform.HeaderAttempt, attempt, platform.HeaderSignature)
	return err == nil
}

func sendPiped(ctx context.Context, t *testing.T, e *Edge, kind routing.Kind, attempt string) (*exchange, sendResult) {
	t.Helper()
	x := newTestExchange(e, kind, httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodGet, "http://host/path", nil))
	x.id = attempt
	x.request.Header.Set(platform.HeaderAttempt, attempt)
	return x, x.send(ctx, slot{engine: placement.Engine{ID: "e", Address: "10.0.0.1:80"}, firstEvent: func() {}})
}

// Guards against a request that is sent without an end to an engine that states its time of birth and then closes the
// connection.
func TestNewConnectionThatIsClosedIsNotReplaced(t *testing.T) {
	is := is.New(t)
	var received atomic.Int32
	e := newBornEdge(t, 1000, func(net.Conn, int) bool {
		received.Add(1)
		return false
	})
	x, result := sendTakeUp(t, e, "attempt")
	is.Equal(result, resultFailed)
	is.Equal(x.sends, 1)
	is.Equal(received.Load(), int32(1))
}

// deafConnection is one whose other end has gone, which only a write shows.
type deafConnection struct{ net.Conn }

func (deafConnection) Write([]byte) (int, error) { return 0, net.ErrClosed }

// Guards against an engine that is taken for unreachable because a connection to it that was opened early, and not used
// yet, has broken.
func TestUnusedConnectionThatBrokeIsReplaced(t *testing.T) {
	is := is.New(t)
	e := newTestEdge(t, nil)
	var dials atomic.Int32
	e.pool = newPool(func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		if dials.Add(1) == 1 {
			t.Cleanup(func() { far.Close() })
			return deafConnection{near}, nil
		}
		go func() {
			r, err := http.ReadRequest(bufio.NewReader(far))
			if err == nil {
				writeSuccess(far, r.Header.Get(platform.HeaderAttempt))
			}
		}()
		return near, nil
	}, nil)
	t.Cleanup(e.pool.CloseIdle)
	lease, err := e.pool.Acquire(t.Context(), "10.0.0.1:80", "unused", nil)
	is.NoErr(err)
	lease.Release()
	_, result := sendPiped(t.Context(), t, e, routing.KindNonIdempotent, "attempt")
	is.Equal(result, resultDone)
	is.Equal(dials.Load(), int32(2))
}

// Guards against a request that is reported as not run although it was sent once more, after an engine had received it and
// closed the connection.
func TestRefusalAfterReplayPromisesNothing(t *testing.T) {
	is := is.New(t)
	e, _ := newPipedEdge(t, func(c net.Conn, r *http.Request, connection, number int) bool {
		attempt := r.Header.Get(platform.HeaderAttempt)
		switch {
		case attempt == "first":
			return writeSuccess(c, attempt)
		case connection == 0:
			return false
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Full\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n",
			platform.HeaderAttempt, attempt, platform.HeaderNotExecuted)
		return err == nil
	})
	_, result := sendPiped(t.Context(), t, e, routing.KindIdempotent, "first")
	is.Equal(result, resultDone)
	x, result := sendPiped(t.Context(), t, e, routing.KindIdempotent, "second")
	is.Equal(result, resultRefused)
	x.finish(result)
	is.Equal(x.writer.(*httptest.ResponseRecorder).Code, http.StatusBadGateway)
}

// Guards against a request that reaches an engine although it had been given up before, and against an instance that
// stops and reports of such a request that it may have run.
func TestRequestGivenUpBeforeSendIsRefused(t *testing.T) {
	is := is.New(t)
	for i := range 200 {
		e, _ := newPipedEdge(t, func(c net.Conn, r *http.Request, _, _ int) bool {
			return writeSuccess(c, r.Header.Get(platform.HeaderAttempt))
		})
		_, result := sendPiped(t.Context(), t, e, routing.KindNonIdempotent, "first")
		is.Equal(result, resultDone)
		e.giveUpNow()
		x := newTestExchange(e, routing.KindNonIdempotent, httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "http://host/path", nil))
		x.id = fmt.Sprint("given-up-", i)
		result = x.send(e.giveUp, slot{engine: placement.Engine{ID: "e", Address: "10.0.0.1:80"}, firstEvent: func() {}})
		is.Equal(result, resultStopped)
		x.finish(result)
		is.Equal(x.writer.(*httptest.ResponseRecorder).Code, http.StatusServiceUnavailable)
	}
}

// Guards against an idle connection for each request without an ID.
func TestRequestsWithoutIDKeepNoConnections(t *testing.T) {
	is := is.New(t)
	var open, most atomic.Int32
	e, _ := newPipedEdge(t, func(c net.Conn, r *http.Request, _, number int) bool {
		if number == 0 {
			most.Store(max(most.Load(), open.Add(1)))
		}
		io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n") // a failure ends the read
		c.Read(make([]byte, 1))                                                                         // until the connection is closed
		open.Add(-1)
		return false
	})
	for range 20 {
		sendPiped(t.Context(), t, e, routing.KindNonIdempotent, "")
		time.Sleep(time.Millisecond)
	}
	is.True(most.Load() <= 2)
}

// Guards against an engine that is suspended as unreachable because the deadline of a caller was shorter than the time
// that a connection takes.
func TestShortDeadlineDoesNotSuspendEngine(t *testing.T) {
	is := is.New(t)
	e := newTestEdge(t, nil)
	e.pool = newPool(func(context.Context, string, string) (net.Conn, error) {
		time.Sleep(50 * time.Millisecond)
		near, far := net.Pipe()
		t.Cleanup(func() { far.Close() })
		return near, nil
	}, nil)
	t.Cleanup(e.pool.CloseIdle)
	x := newTestExchange(e, routing.KindNonIdempotent, httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "http://host/path", nil))
	x.deadline = clock() + 5*time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), x.timeLeft())
	defer cancel()
	result := x.send(ctx, slot{engine: placement.Engine{ID: "e", Address: "10.0.0.1:80"}, firstEvent: func() {}})
	is.Equal(x.outcomeOf(result), placement.OutcomeUnused)
	x.finish(result)
	is.Equal(x.writer.(*httptest.ResponseRecorder).Code, http.StatusServiceUnavailable) // it was not sent
}

// Guards against an engine that is not used because of a copy of what it stated in an earlier response.
func TestCopyOfResponseStatesNothing(t *testing.T) {
	is := is.New(t)
	e, _ := newPipedEdge(t, func(c net.Conn, r *http.Request, _, _ int) bool {
		attempt := r.Header.Get(platform.HeaderAttempt)
		if attempt == "first" {
			return writeSuccess(c, attempt)
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Full\r\n%s: first\r\n%s: 1\r\n%s: 60\r\n%s: 0\r\n%s: 1\r\nContent-Length: 0\r\n\r\n",
			platform.HeaderAttempt, platform.HeaderNotExecuted, platform.HeaderRetryAfter, platform.HeaderRateLimit, platform.HeaderLeaving)
		return err == nil
	})
	_, result := sendPiped(t.Context(), t, e, routing.KindNonIdempotent, "first")
	is.Equal(result, resultDone)
	_, result = sendPiped(t.Context(), t, e, routing.KindNonIdempotent, "second")
	is.Equal(result, resultFailed)
	is.True(e.notices.MayUse(clock(), "e"))
	_, limited := e.notices.RateLimit("e")
	is.True(!limited)
}
