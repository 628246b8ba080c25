package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
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

const headerTarget = "X-Target" // names the request to which a response belongs, beside the ID

// randomResponse returns a response to a request in one of many forms.
func randomResponse(random *rand.Rand, id, target string) string {
	status := []string{"200 OK", "503 Service Unavailable", "404 Not Found"}[random.IntN(3)]
	head := fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: %s\r\n", status, upstream.HeaderRequestID, id, headerTarget, target)
	if random.IntN(4) == 0 {
		head = "HTTP/1.1 103 Early Hints\r\n\r\n" + head
	}
	switch random.IntN(3) {
	case 0:
		return head + "Content-Length: 0\r\n\r\n"
	case 1:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(target), target)
	default:
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(target), target)
	}
}

// unaskedEngine repeats responses at random moments, also several times, in pieces and without a length.
type unaskedEngine struct {
	mu     sync.Mutex
	random *rand.Rand
	sent   map[net.Conn][]string // responses on each connection
	// repetitions counts the moments. Each costs its connection, and therefore one request at most.
	repetitions int
}

func (e *unaskedEngine) respond(c net.Conn, r *http.Request, _ int) bool {
	e.mu.Lock()
	response := randomResponse(e.random, r.Header.Get(upstream.HeaderRequestID), r.URL.Path)
	unasked, atOnce, pieces := "", e.random.IntN(2) == 0, e.random.IntN(3) == 0
	if earlier := e.sent[c]; len(earlier) > 0 && e.random.IntN(8) == 0 {
		for range 1 + e.random.IntN(3) {
			unasked += earlier[e.random.IntN(len(earlier))]
		}
		e.repetitions++
		if e.random.IntN(4) == 0 {
			unasked = strings.ReplaceAll(unasked, "Content-Length: 0\r\n", "")
		}
	}
	gap := time.Duration(e.random.IntN(3)) * time.Millisecond
	e.sent[c] = append(e.sent[c], response)
	e.mu.Unlock()
	text := unasked + response
	if atOnce {
		text = response + unasked
	}
	if unasked == "" || !pieces {
		_, err := io.WriteString(c, text)
		return err == nil
	}
	cut := len(text) / 2
	if _, err := io.WriteString(c, text[:cut]); err != nil {
		return false
	}
	time.Sleep(gap)
	_, err := io.WriteString(c, text[cut:])
	return err == nil
}

// Guards against any response that is taken for that to another request, also where requests share their ID.
func TestUnaskedResponsesAreDiscarded(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const workers, requests, ids = 8, 150, 40
			engine := &unaskedEngine{random: rand.New(rand.NewPCG(seed, 1)), sent: map[net.Conn][]string{}}
			url := "http://" + startRawEngine(t, engine.respond).Address()
			client := upstream.New()
			defer client.Close()
			var served, failed atomic.Int32
			var running sync.WaitGroup
			for worker := range workers {
				random := rand.New(rand.NewPCG(seed, uint64(worker)+2))
				running.Go(func() {
					for i := range requests {
						target := fmt.Sprint("/", worker, "-", i)
						response, err := client.Do(context.Background(), upstream.Request{
							Engine: "e", URL: url, Method: http.MethodPost, Target: target, Header: http.Header{}, ID: fmt.Sprint(random.IntN(ids)),
						})
						if err != nil {
							var mismatch *upstream.MismatchError
							var incomplete *upstream.IncompleteResponseError
							if !errors.As(err, &mismatch) && !errors.As(err, &incomplete) {
								t.Error(err)
							}
							failed.Add(1)
							continue
						}
						body, err := io.ReadAll(response.Body)
						response.Body.Close()
						if got := response.Header.Get(headerTarget); got != target {
							t.Errorf("response to %s is taken for that to %s", got, target)
						}
						if err == nil && len(body) > 0 && string(body) != target {
							t.Errorf("body %q in the response to %s", body, target)
						}
						served.Add(1)
					}
				})
			}
			running.Wait()
			t.Logf("%d served, %d failed, %d repetitions", served.Load(), failed.Load(), engine.repetitions)
			is.True(engine.repetitions > 0)
			is.True(int(failed.Load()) <= engine.repetitions)
		})
	}
}
