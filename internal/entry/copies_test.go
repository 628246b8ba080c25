package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/entry"
	"github.com/primrosebeam/primrosebeam/internal/standin"
	"github.com/primrosebeam/primrosebeam/internal/upstream"
)

// rawEvents returns a response with the given events of a stream. The connection remains in use.
func rawEvents(id string, data ...string) string {
	events := ""
	for _, text := range data {
		number, text, _ := strings.Cut(text, " ")
		event := fmt.Sprintf("id: %s:%s\ndata: %s\n\n", id, number, text)
		events += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n",
		upstream.HeaderRequestID, id, events)
}

// Guards against a stream with events that a caller has got already: a stream ends before its last event, and where it is
// resumed on the same connection, the engine repeats its first response.
func TestCopyOfStreamIsNotRelayedWhenResumed(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	carried := map[net.Conn]string{}
	resumed := 0
	raw, err := standin.StartRawEngine("127.0.0.1:0", func(c net.Conn, r *http.Request, _ int) bool {
		id := r.Header.Get(upstream.HeaderRequestID)
		mu.Lock()
		repeat := carried[c] == id
		carried[c] = id
		if r.Method == http.MethodGet {
			resumed++
		}
		mu.Unlock()
		start := rawEvents(id, "0 zero", "1 one")
		if r.Method != http.MethodGet {
			_, err := io.WriteString(c, start)
			return err == nil
		}
		if repeat {
			io.WriteString(c, start) // a failure shows at the next write
			time.Sleep(15 * time.Millisecond)
		}
		_, err := io.WriteString(c, rawEvents(id, "2 two", "3 [DONE]"))
		return err == nil
	})
	is.NoErr(err)
	defer raw.Close()
	url := startHandlerFor(t, configuration.KindModel, configuration.Route{Path: "/x"}, "http://"+raw.Address())
	for range 5 {
		request, err := http.NewRequest(http.MethodPost, url+"/x", strings.NewReader(`{"stream":true}`))
		is.NoErr(err)
		request.Header.Set("Authorization", "Bearer "+token)
		request.Header.Set(entry.HeaderLabels, "work=report") // of the tier without a deadline
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		want := ""
		for number, data := range []string{"zero", "one", "two", "[DONE]"} {
			want += fmt.Sprintf("id: %s:%d\ndata: %s\n\n", response.Header.Get(entry.HeaderRequestID), number, data)
		}
		is.Equal(string(body), want)
		is.Equal(response.Trailer.Get(entry.HeaderOutcome), string(entry.OutcomeAnswered))
	}
	is.Equal(resumed, 5)
}
