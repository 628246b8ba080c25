package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/internal/upstream"
)

// Guards against a report of an engine that is taken from the response to another call: a load of 0, a state without a
// leaving notice, a refusal, or cache events that were read before.
func TestCopyOfControlResponseIsNotTakenForTheNext(t *testing.T) {
	bodies := map[string]string{
		"/v1/lifecycle":    `{"incarnation":7,"leaving":true}`,
		"/metrics":         "engine_num_requests_running 3\nengine_num_requests_waiting 4\n",
		"/v1/cache-events": `{"first":5,"changes":[{"stored":[1]}]}`,
	}
	for _, test := range []struct {
		name   string
		copy   string // body of the copy
		status string
		echoes bool
		late   bool // the copy is written at the next request, and otherwise right after the response
	}{
		{"load", bodies["/metrics"], "200 OK", false, true},
		{"lifecycle", `{"incarnation":6}`, "200 OK", false, true},
		{"cache events", `{"first":1,"changes":[{"stored":[9]}]}`, "200 OK", false, true},
		{"refusal", "", "503 Service Unavailable", false, true},
		{"refusal with a body", "busy", "503 Service Unavailable", false, true},
		{"lifecycle, at once", `{"incarnation":6}`, "200 OK", false, false},
		{"lifecycle, the engine echoes IDs", `{"incarnation":6}`, "200 OK", true, true},
		{"refusal, the engine echoes IDs", "", "503 Service Unavailable", true, true},
		{"refusal, the engine echoes IDs, at once", "", "503 Service Unavailable", true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var mu sync.Mutex
			previous := map[net.Conn]string{}
			url := "http://" + startRawEngine(t, func(c net.Conn, r *http.Request, number int) bool {
				mu.Lock()
				defer mu.Unlock()
				id := ""
				if test.echoes {
					id = r.Header.Get(upstream.HeaderRequestID)
				}
				unasked := func(id string) string {
					return strings.Replace(rawResponse(id, test.copy), "200 OK", test.status, 1)
				}
				response := rawResponse(id, bodies[r.URL.Path])
				switch {
				case !test.late:
					response += unasked(id)
				case number > 0:
					io.WriteString(c, unasked(previous[c])) // a failure shows at the next write
					time.Sleep(15 * time.Millisecond)
				}
				previous[c] = id
				_, err := io.WriteString(c, response)
				return err == nil
			}).Address()
			client := upstream.New()
			defer client.Close()
			for range 5 {
				lifecycle, err := client.FetchLifecycle(context.Background(), "e", url)
				is.NoErr(err)
				is.Equal(lifecycle, upstream.Lifecycle{Incarnation: 7, Leaving: true})
				load, err := client.FetchLoad(context.Background(), "e", url)
				is.NoErr(err)
				is.Equal(load.Running, 3)
				is.Equal(load.Waiting, 4)
				batch, err := client.FetchCacheEvents(context.Background(), "e", url, 5)
				is.NoErr(err)
				is.Equal(batch.First, uint64(5))
				is.Equal(batch.Changes[0].Stored[0], uint64(1))
			}
		})
	}
}

// Guards against a service that counts as unreachable because it puts an ID of its own into each response.
func TestReportWithAnotherIDIsRead(t *testing.T) {
	is := is.New(t)
	url := "http://" + startRawEngine(t, func(c net.Conn, _ *http.Request, number int) bool {
		_, err := io.WriteString(c, rawResponse(fmt.Sprint("own-", number), `{"incarnation":7}`))
		return err == nil
	}).Address()
	client := upstream.New()
	defer client.Close()
	for range 3 {
		lifecycle, err := client.FetchLifecycle(context.Background(), "e", url)
		is.NoErr(err)
		is.Equal(lifecycle.Incarnation, uint64(7))
	}
}
