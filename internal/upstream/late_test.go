package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/internal/standin"
	"github.com/primrosebeam/primrosebeam/internal/upstream"
)

func startRawEngine(t *testing.T, respond standin.RawResponder) *standin.RawEngine {
	t.Helper()
	e, err := standin.StartRawEngine("127.0.0.1:0", respond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

// rawResponse returns a complete response whose body names the request. The ID is echoed unless it is empty.
func rawResponse(id, body string) string {
	echoed := ""
	if id != "" {
		echoed = upstream.HeaderRequestID + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", echoed, len(body), body)
}

// TestLateSecondResponseReachesNoOtherCaller guards against the response to one request reaching the caller
// of another: an engine sends a second copy of a response when the next request arrives on the connection. The
// engine may echo request IDs or not, and the copy may be of a response to a control call. Each copy may cost
// at most one request.
func TestLateSecondResponseReachesNoOtherCaller(t *testing.T) {
	for _, test := range []struct {
		name    string
		echoes  bool
		reports bool // every second call is a control call
		empty   bool // responses have no body
	}{
		{"the engine echoes IDs", true, false, false},
		{"the engine echoes IDs, without a body", true, false, true},
		{"the engine echoes no IDs", false, false, false},
		{"after a control call", true, true, false},
		{"after a control call, no IDs", false, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const copies = 2
			var mu sync.Mutex // guards sent and previous
			sent, previous := 0, ""
			engine := startRawEngine(t, func(c net.Conn, r *http.Request, number int) bool {
				mu.Lock()
				defer mu.Unlock()
				id, body := "", r.URL.Path
				if test.echoes {
					id = r.Header.Get(upstream.HeaderRequestID)
				}
				if test.empty {
					body = ""
				}
				if number > 0 && sent < copies {
					sent++
					io.WriteString(c, previous) // a failure shows at the next write
					time.Sleep(20 * time.Millisecond)
				}
				previous = rawResponse(id, body)
				_, err := io.WriteString(c, previous)
				return err == nil
			})
			client := upstream.New()
			defer client.Close()
			failures := 0
			for i := range 12 {
				target := fmt.Sprint("/", i)
				if test.reports && i%2 == 0 {
					client.FetchLifecycle(context.Background(), "e", "http://"+engine.Address()) // the response is malformed
					continue
				}
				response, err := client.Do(context.Background(), upstream.Request{
					Engine: "e", URL: "http://" + engine.Address(), Method: http.MethodPost, Target: target, Header: http.Header{}, ID: fmt.Sprint("id-", i),
				})
				var mismatch *upstream.MismatchError
				if errors.As(err, &mismatch) {
					failures++
					continue
				}
				is.NoErr(err)
				body, err := io.ReadAll(response.Body)
				response.Body.Close()
				is.NoErr(err)
				is.True(test.empty || string(body) == target)
				is.True(!test.echoes || response.Header.Get(upstream.HeaderRequestID) == fmt.Sprint("id-", i))
			}
			is.True(failures <= copies)
		})
	}
}

// Guards against the copy of the response to one call about a request being taken for the response to the next call about
// it, which has the same ID: the outcome of a key would be stored from it.
func TestCopyOfCallAboutTheSameRequest(t *testing.T) {
	for _, test := range []struct {
		name  string
		first func(c *upstream.Client, address string) error
	}{
		{"cancel, then resume", func(c *upstream.Client, address string) error {
			return c.Cancel(context.Background(), "e", address, "request")
		}},
		{"resume, then resume", func(c *upstream.Client, address string) error {
			response, err := c.Resume(context.Background(), "e", address, "request", "")
			if err != nil {
				return err
			}
			defer response.Body.Close()
			_, err = io.Copy(io.Discard, response.Body)
			return err
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var mu sync.Mutex
			calls := 0 // about the request
			carried := map[net.Conn]string{}
			engine := startRawEngine(t, func(c net.Conn, r *http.Request, _ int) bool {
				mu.Lock()
				defer mu.Unlock()
				id := r.Header.Get(upstream.HeaderRequestID)
				text := rawResponse(id, "")
				if id == "request" {
					calls++
					body := fmt.Sprint("response ", calls)
					if r.Method == http.MethodDelete {
						body = "" // the connection is kept
					}
					text = rawResponse(id, body)
					io.WriteString(c, carried[c]) // a failure shows at the next write
					time.Sleep(20 * time.Millisecond)
					carried[c] = text
				}
				_, err := io.WriteString(c, text)
				return err == nil
			})
			client := upstream.New()
			defer client.Close()
			address := "http://" + engine.Address()
			warm := func(id string) {
				response, err := client.Do(context.Background(), upstream.Request{
					Engine: "e", URL: address, Method: http.MethodPost, Target: "/", Header: http.Header{}, ID: id,
				})
				is.NoErr(err)
				_, err = io.Copy(io.Discard, response.Body)
				is.NoErr(err)
				is.NoErr(response.Body.Close())
			}
			warm("other-1") // shows that the engine echoes IDs
			warm("other-2")
			is.NoErr(test.first(client, address))
			response, err := client.Resume(context.Background(), "e", address, "request", "")
			is.NoErr(err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(string(body), "response 2")
		})
	}
}
