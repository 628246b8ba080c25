package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/internal/upstream"
)

// Guards against bytes that reach an engine after the ledger refused the dispatch, on a new and on a reused
// connection.
func TestNothingIsSentWhenBeforeSendFails(t *testing.T) {
	is := is.New(t)
	var requests, connections atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := upstream.New()
	request := upstream.Request{Engine: "e", URL: server.URL, Method: http.MethodPost, Target: "/", Body: []byte("x")}
	refused := request
	refused.BeforeSend = func(context.Context) error { return &upstream.StatusError{Status: 1} }
	for i, r := range []upstream.Request{refused, request, refused, request} {
		r.Header = http.Header{}
		r.ID = fmt.Sprint(i)
		response, err := client.Do(context.Background(), r)
		if r.BeforeSend == nil {
			is.NoErr(err)
			response.Body.Close()
			continue
		}
		var beforeSend *upstream.BeforeSendError
		is.True(errors.As(err, &beforeSend))
		is.True(upstream.IsNotSent(err))
	}
	time.Sleep(50 * time.Millisecond)
	is.Equal(requests.Load(), int32(2))
	is.Equal(connections.Load(), int32(1))
}

// closingServer responds to the first request of each connection and closes the connection after it has read
// the second.
func closingServer(t *testing.T, requests *atomic.Int32) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				reader := bufio.NewReader(connection)
				for n := range 2 {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					requests.Add(1)
					if n == 0 {
						io.WriteString(connection, rawResponse(r.Header.Get(upstream.HeaderRequestID), "")) // a failure shows as a missing response
					}
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against a GET that the standard transport replays on a new connection after the engine has read it.
func TestGetIsNotReplayedAfterItWasSent(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int32
	url := closingServer(t, &requests)
	client := upstream.New()
	do := func(id string) error {
		response, err := client.Do(context.Background(), upstream.Request{Engine: "e", URL: url, Method: http.MethodGet, Target: "/", Header: http.Header{}, ID: id})
		if err == nil {
			response.Body.Close()
		}
		return err
	}
	is.NoErr(do("a"))
	var broken *upstream.IncompleteResponseError
	is.True(errors.As(do("b"), &broken))
	is.Equal(requests.Load(), int32(2))
}

// Verifies that TestGetIsNotReplayedAfterItWasSent detects a replay: a plain transport sends the request
// again.
func TestPlainTransportReplaysGet(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int32
	url := closingServer(t, &requests)
	client := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		response, err := client.Get(url)
		is.NoErr(err)
		response.Body.Close()
	}
	is.Equal(requests.Load(), int32(3))
}

// Guards against reporting that an unreachable engine may have run the request.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener.Close()
	_, err = upstream.New().Do(context.Background(), upstream.Request{
		Engine: "e", URL: "http://" + listener.Addr().String(), Method: http.MethodPost, Target: "/", Header: http.Header{},
	})
	var notSent *upstream.NotSentError
	is.True(errors.As(err, &notSent))
}

// Guards against a request that fails, or whose begin is asked twice, because the engine closes a kept connection while
// the begin is asked.
func TestConnectionThatClosesDuringBegin(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var last net.Conn
	engine := startRawEngine(t, func(c net.Conn, r *http.Request, _ int) bool {
		mu.Lock()
		last = c
		mu.Unlock()
		_, err := io.WriteString(c, rawResponse(r.Header.Get(upstream.HeaderRequestID), r.URL.Path))
		return err == nil
	})
	client := upstream.New()
	defer client.Close()
	begins := 0
	do := func(id string, closeConnection bool) {
		response, err := client.Do(context.Background(), upstream.Request{
			Engine: "e", URL: "http://" + engine.Address(), Method: http.MethodPost, Target: "/" + id, Header: http.Header{}, Body: []byte("x"), ID: id,
			BeforeSend: func(context.Context) error {
				begins++
				if closeConnection {
					mu.Lock()
					last.Close()
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
				return nil
			},
		})
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(body), "/"+id)
		is.NoErr(response.Body.Close())
	}
	do("a", false)
	do("b", false)
	accepted := engine.Accepted()
	do("c", true)
	is.Equal(engine.Accepted(), accepted+1)
	is.Equal(begins, 3)
}
