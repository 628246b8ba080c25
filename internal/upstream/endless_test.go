package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/internal/standin"
)

// Guards against an engine that fills the memory of this instance with a response without an end, to a request or to a
// call of the control interface.
func TestEndlessResponsesAreNotKept(t *testing.T) {
	const duration = 500 * time.Millisecond
	const maxHeapGrowth = 16 << 20
	filler := strings.Repeat("x", 1024)
	chunked := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }
	calls := map[string]func(context.Context, *Client, string) error{
		"request": func(ctx context.Context, c *Client, address string) error {
			response, err := c.Do(ctx, Request{Engine: "e", URL: address, Method: http.MethodPost, Target: "/x", Header: http.Header{}, ID: "r"})
			if err != nil {
				return err
			}
			defer response.Body.Close()
			events := NewEventStream(response.Body, "")
			for err == nil {
				_, err = events.Next()
			}
			return err
		},
		"load": func(ctx context.Context, c *Client, address string) error {
			_, err := c.FetchLoad(ctx, "e", address)
			return err
		},
		"lifecycle": func(ctx context.Context, c *Client, address string) error {
			_, err := c.FetchLifecycle(ctx, "e", address)
			return err
		},
		"cache events": func(ctx context.Context, c *Client, address string) error {
			_, err := c.FetchCacheEvents(ctx, "e", address, 1)
			return err
		},
		"cancel": func(ctx context.Context, c *Client, address string) error { return c.Cancel(ctx, "e", address, "r") },
	}
	for _, test := range []struct{ name, start, part string }{
		{"status line", "HTTP/1.1 200 ", filler},
		{"header line", "HTTP/1.1 200 OK\r\nX-Long: ", filler},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-More: " + filler + "\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"bytes that are no response", "", filler},
		{"body without a length", "HTTP/1.1 200 OK\r\n\r\n", filler},
		{"chunk extension", chunked + "1;", filler},
		{"trailers", chunked + "0\r\n", "X-More: " + filler + "\r\n"},
		{"line", chunked, chunk(filler)},
		{"lines", chunked, chunk(filler + "\n")},
		{"comments", chunked, chunk(":" + filler + "\n")},
		{"list", chunked + chunk(`{"first":1,"changes":[{}`), chunk(strings.Repeat(`,{"stored":[1]}`, 100))},
		{"nested lists", chunked, chunk(strings.Repeat("[", 1024))},
	} {
		for name, call := range calls {
			t.Run(test.name+", "+name, func(t *testing.T) {
				is := is.New(t)
				raw, err := standin.StartRawEngine("127.0.0.1:0", func(c net.Conn, _ *http.Request, _ int) bool {
					standin.WriteEndlessly(c, test.start, test.part, 0)
					return false
				})
				is.NoErr(err)
				defer raw.Close()
				client := New()
				defer client.Close()
				ctx, cancel := context.WithTimeout(t.Context(), duration)
				defer cancel()
				runtime.GC()
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				before := stats.HeapAlloc
				var done atomic.Bool
				peak := make(chan uint64)
				go func() {
					highest := uint64(0)
					for ; !done.Load(); time.Sleep(5 * time.Millisecond) {
						var now runtime.MemStats
						runtime.ReadMemStats(&now)
						highest = max(highest, now.HeapAlloc)
					}
					peak <- highest
				}()
				err = call(ctx, client, "http://"+raw.Address())
				done.Store(true)
				if name != "cancel" { // it reads no body
					is.True(err != nil && err != io.EOF)
				}
				is.True(<-peak < before+maxHeapGrowth)
			})
		}
	}
}
