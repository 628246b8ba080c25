package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/internal/upstream"
)

// refusal is how an engine writes a refusal.
type refusal struct {
	body     string
	noLength bool // the end of the connection ends it
	interim  bool // an interim response precedes it
	pieces   bool // it is written in two pieces
}

func (r refusal) write(c net.Conn, id string) error {
	text := ""
	if r.interim {
		text = "HTTP/1.1 103 Early Hints\r\n\r\n"
	}
	length := fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	if r.noLength {
		length = ""
	}
	text += fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s\r\n%s", upstream.HeaderRequestID, id, length, r.body)
	if r.pieces {
		if _, err := io.WriteString(c, text[:len(text)/2]); err != nil {
			return err
		}
		text = text[len(text)/2:]
		time.Sleep(2 * time.Millisecond)
	}
	_, err := io.WriteString(c, text)
	return err
}

// copyingEngine refuses the first request with the ID "refused". When that ID arrives again on the connection, the engine
// writes copies of the refusal before its response.
type copyingEngine struct {
	first, copied refusal
	copies        int
	gap           time.Duration // between the copies and the response

	mu      sync.Mutex
	refused net.Conn
}

func (e *copyingEngine) respond(c net.Conn, r *http.Request, _ int) bool {
	id := r.Header.Get(upstream.HeaderRequestID)
	e.mu.Lock()
	refuse, repeat := id == "refused" && e.refused == nil, id == "refused" && e.refused == c
	if refuse {
		e.refused = c
	}
	e.mu.Unlock()
	if refuse {
		return e.first.write(c, id) == nil
	}
	if repeat {
		for range e.copies {
			if e.copied.write(c, id) != nil {
				return false
			}
		}
		time.Sleep(e.gap)
	}
	_, err := io.WriteString(c, rawResponse(id, r.Method+" "+r.URL.Path))
	return err == nil
}

// Guards against a copy of a refusal that is taken for the response to a later call about the same request on the
// connection: a resumed stream, a cancellation, or the request itself.
func TestCopyOfRefusalOfTheSameRequest(t *testing.T) {
	const gap = 15 * time.Millisecond
	get := func(call func(*upstream.Client, string) (*http.Response, error)) func(*upstream.Client, string) (string, error) {
		return func(c *upstream.Client, url string) (string, error) {
			response, err := call(c, url)
			if err != nil {
				return "", err
			}
			defer response.Body.Close()
			if response.StatusCode != http.StatusOK {
				return "", &upstream.StatusError{Status: response.StatusCode}
			}
			body, err := io.ReadAll(response.Body)
			return string(body), err
		}
	}
	do := get(func(c *upstream.Client, url string) (*http.Response, error) {
		return c.Do(context.Background(), upstream.Request{
			Engine: "e", URL: url, Method: http.MethodPost, Target: "/x", Header: http.Header{}, ID: "refused",
		})
	})
	resume := get(func(c *upstream.Client, url string) (*http.Response, error) {
		return c.Resume(context.Background(), "e", url, "refused", "")
	})
	cancel := func(c *upstream.Client, url string) (string, error) {
		return "", c.Cancel(context.Background(), "e", url, "refused")
	}
	type call = func(*upstream.Client, string) (string, error)
	for _, test := range []struct {
		name          string
		first, second call
		want          string
		engine        *copyingEngine
		between       int // other requests between the two calls
	}{
		{"resumed twice", resume, resume, "GET /v1/requests/refused", &copyingEngine{copies: 1, gap: gap}, 0},
		{"resumed twice, copy just before the response", resume, resume, "GET /v1/requests/refused", &copyingEngine{copies: 1}, 0},
		{"resumed twice, three copies", resume, resume, "GET /v1/requests/refused", &copyingEngine{copies: 3, gap: gap}, 0},
		{"resumed twice, after other requests", resume, resume, "GET /v1/requests/refused", &copyingEngine{copies: 1, gap: gap}, 5},
		{"resumed twice, copy with a body", resume, resume, "GET /v1/requests/refused", &copyingEngine{copied: refusal{body: "busy"}, copies: 1, gap: gap}, 0},
		{"resumed twice, copy without a length", resume, resume, "GET /v1/requests/refused", &copyingEngine{copied: refusal{noLength: true}, copies: 1, gap: gap}, 0},
		{"resumed twice, copy in pieces", resume, resume, "GET /v1/requests/refused", &copyingEngine{copied: refusal{pieces: true}, copies: 1, gap: gap}, 0},
		{"resumed twice, after an interim response", resume, resume, "GET /v1/requests/refused", &copyingEngine{first: refusal{interim: true}, copied: refusal{interim: true}, copies: 1, gap: gap}, 0},
		{"resumed twice, with bodies", resume, resume, "GET /v1/requests/refused", &copyingEngine{first: refusal{body: "busy"}, copied: refusal{body: "busy"}, copies: 1, gap: gap}, 0},
		{"sent, then resumed", do, resume, "GET /v1/requests/refused", &copyingEngine{copies: 1, gap: gap}, 0},
		{"sent, then cancelled", do, cancel, "", &copyingEngine{copies: 1, gap: gap}, 0},
		{"cancelled, then resumed", cancel, resume, "GET /v1/requests/refused", &copyingEngine{copies: 1, gap: gap}, 0},
		{"sent twice", do, do, "POST /x", &copyingEngine{copies: 1, gap: gap}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			url := "http://" + startRawEngine(t, test.engine.respond).Address()
			client := upstream.New()
			defer client.Close()
			other := func(id string) {
				response, err := client.Do(context.Background(), upstream.Request{
					Engine: "e", URL: url, Method: http.MethodPost, Target: "/other", Header: http.Header{}, ID: id,
				})
				is.NoErr(err)
				_, err = io.Copy(io.Discard, response.Body)
				is.NoErr(err)
				is.NoErr(response.Body.Close())
			}
			other("first") // these three show that the engine echoes IDs
			response, err := client.Resume(context.Background(), "e", url, "first", "")
			is.NoErr(err)
			_, err = io.Copy(io.Discard, response.Body)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.NoErr(client.Cancel(context.Background(), "e", url, "first"))
			other("second")
			_, err = test.first(client, url)
			var status *upstream.StatusError
			is.True(errors.As(err, &status))
			for i := range test.between {
				other(fmt.Sprint("between-", i))
			}
			body, err := test.second(client, url)
			is.NoErr(err)
			is.Equal(body, test.want)
		})
	}
}

// Guards against a cancellation that is taken for confirmed because the engine repeats its response to the request.
func TestCopyOfResponseConfirmsNoCancellation(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	carried := map[net.Conn]string{}
	url := "http://" + startRawEngine(t, func(c net.Conn, r *http.Request, _ int) bool {
		id := r.Header.Get(upstream.HeaderRequestID)
		mu.Lock()
		previous := carried[c]
		carried[c] = id
		mu.Unlock()
		response := rawResponse(id, "")
		if r.Method == http.MethodDelete {
			response = strings.Replace(response, "200 OK", "404 Not Found", 1)
			if previous == id {
				io.WriteString(c, rawResponse(id, "")) // a failure shows at the next write
				time.Sleep(15 * time.Millisecond)
			}
		}
		_, err := io.WriteString(c, response)
		return err == nil
	}).Address()
	client := upstream.New()
	defer client.Close()
	for _, id := range []string{"a", "b"} {
		response, err := client.Do(context.Background(), upstream.Request{
			Engine: "e", URL: url, Method: http.MethodPost, Target: "/x", Header: http.Header{}, ID: id,
		})
		is.NoErr(err)
		is.NoErr(response.Body.Close())
	}
	var status *upstream.StatusError
	is.True(errors.As(client.Cancel(context.Background(), "e", url, "b"), &status))
}

// Guards against a copy that costs more than one request: its connection went to the next request before the copy, which
// has no body, had been recognized.
func TestCopyCostsOneRequest(t *testing.T) {
	is := is.New(t)
	const workers, requests, copies = 8, 50, 20
	var mu sync.Mutex
	sent, previous := 0, map[net.Conn]string{}
	url := "http://" + startRawEngine(t, func(c net.Conn, r *http.Request, number int) bool {
		id := r.Header.Get(upstream.HeaderRequestID)
		mu.Lock()
		unasked := ""
		if number > 2 && number%3 == 0 && sent < copies {
			sent++
			unasked = previous[c]
		}
		previous[c] = rawResponse(id, "")
		mu.Unlock()
		if unasked != "" {
			io.WriteString(c, unasked) // a failure shows at the next write
			time.Sleep(5 * time.Millisecond)
		}
		_, err := io.WriteString(c, rawResponse(id, ""))
		return err == nil
	}).Address()
	client := upstream.New()
	defer client.Close()
	failures := make(chan error, workers*requests)
	var running sync.WaitGroup
	for worker := range workers {
		running.Go(func() {
			for i := range requests {
				response, err := client.Do(context.Background(), upstream.Request{
					Engine: "e", URL: url, Method: http.MethodPost, Target: "/x", Header: http.Header{}, ID: fmt.Sprint(worker, "-", i),
				})
				if err != nil {
					failures <- err
					continue
				}
				response.Body.Close()
			}
		})
	}
	running.Wait()
	is.Equal(sent, copies)
	is.True(len(failures) <= copies)
}

// Guards against a new connection for each request to an engine that echoes IDs, and for each call of its control
// interface.
func TestConnectionsAreReused(t *testing.T) {
	is := is.New(t)
	const requests = 300
	engine := startRawEngine(t, func(c net.Conn, r *http.Request, _ int) bool {
		body := "{}"
		_, err := io.WriteString(c, rawResponse(r.Header.Get(upstream.HeaderRequestID), body))
		return err == nil
	})
	url := "http://" + engine.Address()
	client := upstream.New()
	defer client.Close()
	for i := range requests {
		response, err := client.Do(context.Background(), upstream.Request{
			Engine: "e", URL: url, Method: http.MethodPost, Target: "/x", Header: http.Header{}, ID: fmt.Sprint(i),
		})
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
	}
	is.True(engine.Accepted() <= 2) // the first one may be closed, as it is not known yet that the engine echoes IDs
	before := engine.Accepted()
	for range requests {
		_, err := client.FetchLifecycle(context.Background(), "e", url)
		is.NoErr(err)
		_, err = client.FetchLoad(context.Background(), "e", url)
		is.NoErr(err)
	}
	is.True(engine.Accepted()-before <= 2) // one for each kind of call
}

// Guards against new connections for all requests because an engine does not repeat the ID in the response to a
// cancellation, and against a cancellation or a refused resumption that counts as the response to another request.
func TestCallWithoutEchoKeepsConnections(t *testing.T) {
	is := is.New(t)
	const requests = 8
	var arrived atomic.Int32
	engine := startRawEngine(t, func(c net.Conn, r *http.Request, _ int) bool {
		response := "HTTP/1.1 204 No Content\r\n\r\n"
		switch r.Method {
		case http.MethodGet:
			response = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
		case http.MethodPost:
			response = rawResponse(r.Header.Get(upstream.HeaderRequestID), "")
			for last := (arrived.Add(1) + requests - 1) / requests * requests; arrived.Load() < last; {
				time.Sleep(time.Millisecond)
			}
		}
		_, err := io.WriteString(c, response)
		return err == nil
	})
	url := "http://" + engine.Address()
	client := upstream.New()
	defer client.Close()
	sendAtOnce := func(round int) {
		var running sync.WaitGroup
		for i := range requests {
			running.Go(func() {
				response, err := client.Do(context.Background(), upstream.Request{
					Engine: "e", URL: url, Method: http.MethodPost, Target: "/x", Header: http.Header{}, ID: fmt.Sprint(round, "-", i),
				})
				if err != nil {
					t.Error(err)
					return
				}
				response.Body.Close()
			})
		}
		running.Wait()
	}
	sendAtOnce(0)
	accepted := engine.Accepted()
	for round := range 3 {
		is.NoErr(client.Cancel(context.Background(), "e", url, fmt.Sprint(round, "-0")))
		_, err := client.Resume(context.Background(), "e", url, fmt.Sprint(round, "-0"), "")
		var status *upstream.StatusError
		is.True(errors.As(err, &status))
		accepted += 2
		sendAtOnce(round + 1)
		is.True(engine.Accepted() <= accepted)
	}
}
