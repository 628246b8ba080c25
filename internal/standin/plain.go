package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Plain is a stand-in for an engine of a plain service. It accepts orders and responds to status lookups.
type Plain struct {
	Name  string
	Delay time.Duration // delay before each response

	faultState

	mu      sync.Mutex
	leaving bool
	orders  map[string]int // number of runs, by body
	runs    map[string]int // number of runs, by request ID
	running int
}

// NewPlain returns a stand-in for an engine of a plain service.
func NewPlain(name string, delay time.Duration) *Plain {
	return &Plain{Name: name, Delay: delay, orders: map[string]int{}, runs: map[string]int{}}
}

// SetLeaving sets whether the engine announces that it accepts no new requests.
func (p *Plain) SetLeaving(leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = leaving
}

// Orders returns the number of runs of each order body.
func (p *Plain) Orders() map[string]int {
	return p.copyCounts(func() map[string]int { return p.orders })
}

// Runs returns the number of runs of each request ID.
func (p *Plain) Runs() map[string]int { return p.copyCounts(func() map[string]int { return p.runs }) }

func (p *Plain) copyCounts(source func() map[string]int) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := map[string]int{}
	for key, n := range source() {
		counts[key] = n
	}
	return counts
}

// ServeHTTP implements http.Handler.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/metrics":
		echoID(w, r)
		p.serveMetrics(w)
	case "/v1/lifecycle":
		echoID(w, r)
		p.mu.Lock()
		leaving := p.leaving
		p.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{"incarnation": 1, "leaving": leaving})
	default:
		p.serveOrder(w, r)
	}
}

func (p *Plain) serveMetrics(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(w, "engine_num_requests_running %d\nengine_num_requests_waiting 0\n", p.running)
}

// serveOrder runs a request of any path: it counts the run and responds with an echo of the request.
func (p *Plain) serveOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	faults := p.recordStart(r, string(body))
	defer p.requestFinished()
	sleep(r.Context(), p.Delay+faults.Delay)
	faults, passed := p.waitUntilReleased(r.Context(), HoldFirst)
	if !passed {
		return
	}
	id := r.Header.Get("X-Request-Id")
	if faults.WrongID {
		id += "-other"
	}
	w.Header().Set("X-Request-Id", id)
	if faults.FailRequests {
		writeJSON(w, http.StatusInternalServerError, map[string]string{"error": "service failed"})
		return
	}
	if faults.TruncateResponse {
		w.Header().Set("Content-Length", "1000")
		fmt.Fprint(w, `{"part":`)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	response, _ := json.Marshal(map[string]string{
		"method": r.Method, "path": r.URL.Path, "body": string(body), "requestId": id,
	})
	p.writeWithHold(w, r, append(response, '\n'))
}

// writeWithHold writes a response up to the current hold point, and the rest once the hold is removed.
func (p *Plain) writeWithHold(w http.ResponseWriter, r *http.Request, response []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	point := p.current().Hold
	split := len(response)
	switch point {
	case HoldMiddle:
		split /= 2
	case HoldLast:
		split--
	}
	_, _ = w.Write(response[:split])
	if split == len(response) {
		return
	}
	_ = http.NewResponseController(w).Flush()
	faults, passed := p.waitUntilReleased(r.Context(), point)
	if !passed || faults.TruncateResponse {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(response[split:])
}

// recordStart counts a run of the request and returns the current faults. A lookup (GET or HEAD) is no order.
func (p *Plain) recordStart(r *http.Request, body string) Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running++
	p.runs[r.Header.Get("X-Request-Id")]++
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		p.orders[body]++
	}
	return p.current()
}

func (p *Plain) requestFinished() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}
