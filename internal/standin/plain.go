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

// Plain is a stand-in for a plain service that takes orders and answers status lookups.
type Plain struct {
	Name  string
	Delay time.Duration // before each answer

	switches

	mu      sync.Mutex
	leaving bool
	orders  map[string]int // by body
	runs    map[string]int // by request ID
	running int
}

// NewPlain returns a plain service.
func NewPlain(name string, delay time.Duration) *Plain {
	return &Plain{Name: name, Delay: delay, orders: map[string]int{}, runs: map[string]int{}}
}

// SetLeaving makes the service announce that it takes no more work.
func (p *Plain) SetLeaving(leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = leaving
}

// Orders returns how often each order body was carried out.
func (p *Plain) Orders() map[string]int {
	return p.copyCounts(func() map[string]int { return p.orders })
}

// Runs returns how often each request ID was started.
func (p *Plain) Runs() map[string]int { return p.copyCounts(func() map[string]int { return p.runs }) }

func (p *Plain) copyCounts(of func() map[string]int) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := map[string]int{}
	for key, n := range of() {
		counts[key] = n
	}
	return counts
}

// ServeHTTP implements http.Handler.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/metrics":
		p.serveMetrics(w)
	case "/v1/lifecycle":
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

func (p *Plain) serveOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	faults := p.record(r, string(body))
	defer p.ended()
	sleep(r.Context(), p.Delay+faults.Delay)
	faults, passed := p.pass(r.Context(), HoldFirst)
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
	answer, _ := json.Marshal(map[string]string{
		"method": r.Method, "path": r.URL.Path, "body": string(body), "requestId": id,
	})
	p.writeHeld(w, r, append(answer, '\n'))
}

// writeHeld writes an answer up to the point where requests are held, and its rest after the release.
func (p *Plain) writeHeld(w http.ResponseWriter, r *http.Request, answer []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	point := p.current().Hold
	split := len(answer)
	switch point {
	case HoldMiddle:
		split /= 2
	case HoldLast:
		split--
	}
	_, _ = w.Write(answer[:split])
	if split == len(answer) {
		return
	}
	_ = http.NewResponseController(w).Flush()
	faults, passed := p.pass(r.Context(), point)
	if !passed || faults.TruncateResponse {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer[split:])
}

func (p *Plain) record(r *http.Request, body string) Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running++
	p.runs[r.Header.Get("X-Request-Id")]++
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		p.orders[body]++
	}
	return p.current()
}

func (p *Plain) ended() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}
