package edge

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/routing"
)

var allMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodDelete, http.MethodPost, http.MethodPut,
}

// Guards against a request that changes on its way to the engine because it must not be sent twice: a body in chunks, or
// a length that the caller did not send.
func TestEngineRequestKeepsMethodAndBody(t *testing.T) {
	for _, method := range allMethods {
		for _, body := range []string{"", "body"} {
			t.Run(method+" "+body, func(t *testing.T) {
				is := is.New(t)
				newRequest := func(target string) *http.Request {
					var in io.Reader
					if body != "" {
						in = bytes.NewReader([]byte(body))
					}
					r, err := http.NewRequest(method, target, in)
					is.NoErr(err)
					r.Header.Set("Idempotency-Key", "order-7")
					r.Header.Set("User-Agent", "test")
					return r
				}
				dump := func(r *http.Request) string {
					r.Header.Del("X-Deadline-Ms")
					r.Header.Del("X-Expect-Instance")
					data, err := httputil.DumpRequestOut(r, true)
					is.NoErr(err)
					return strings.ToLower(string(data))
				}
				x := newTestExchange(newTestEdge(t, nil), routing.KindNonIdempotent, httptest.NewRecorder(), newRequest("http://127.0.0.1:8080/x"))
				x.body = []byte(body)
				r, err := x.engineRequest(t.Context(), placement.Engine{ID: "e", Address: "127.0.0.1:8080"})
				is.NoErr(err)
				is.Equal(dump(r), dump(newRequest("http://127.0.0.1:8080/x")))
			})
		}
	}
}

// Guards against a new connection to the engine for each request that must not be sent twice.
func TestNonIdempotentRequestsKeepTheConnection(t *testing.T) {
	is := is.New(t)
	var connections atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	e := newTestEdge(t, nil)
	e.pool = newPool(func(ctx context.Context, network, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}, nil)
	defer e.pool.CloseIdle()
	for i, method := range append(allMethods, http.MethodGet) {
		x := newTestExchange(e, routing.KindNonIdempotent, httptest.NewRecorder(), httptest.NewRequest(method, "http://host/x", nil))
		x.id = fmt.Sprint("attempt-", i)
		response, sent, err := x.roundTrip(t.Context(), placement.Engine{ID: "e", Address: server.Listener.Addr().String()})
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		sent.release()
	}
	is.Equal(connections.Load(), int32(1))
}
