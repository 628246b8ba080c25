// Package standin implements small stand-ins for engines, with fault injection, for the demo and for tests.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/prompt"
)

// Faults selects the faults that a stand-in injects. The JSON names are part of the request body of
// PathFaults.
type Faults struct {
	// DisconnectAfterEvents closes the connection of each stream after this number of events; 0 disables it.
	DisconnectAfterEvents int `json:"CutAfterEvents"`
	// NoResume rejects requests to resume a stream, with status 404.
	NoResume bool `json:"NoResume"`
	// WrongID makes responses carry an ID other than that of their request.
	WrongID bool `json:"WrongID"`
	// IgnoreCancel makes cancelled requests run to completion.
	IgnoreCancel bool `json:"IgnoreCancel"`
	// FailRequests makes the engine respond with status 500.
	FailRequests bool `json:"Fail"`
	// Delay is an additional delay before the first byte of each response.
	Delay time.Duration `json:"Delay"`
	// TruncateResponse closes the connection in the middle of responses that are not streams.
	TruncateResponse bool `json:"CutAnswer"`
	// Hold is the point at which requests are held for as long as it is set.
	Hold HoldPoint `json:"Hold"`
}

// ModelOptions configures a Model.
type ModelOptions struct {
	Name          string
	TokenInterval time.Duration // time between two tokens of a generation
	PrefillRate   int           // prompt tokens processed per millisecond; 0 means without delay
}

// Model is a stand-in for a model engine. It has an OpenAI-compatible interface, resumable streams,
// cancellation, load metrics and cache events.
type Model struct {
	options ModelOptions
	faultState

	cache *cache

	mu       sync.Mutex
	leaving  bool
	runs     map[string]int
	streams  map[string]*generation
	running  int
	finished int
}

// generation is one request that the engine runs. A streamed one continues when the connection of the caller
// breaks.
type generation struct {
	id      string
	mu      sync.Mutex
	events  []string
	done    bool
	changed chan struct{}
	cancel  context.CancelFunc
}

// NewModel returns a stand-in model engine.
func NewModel(o ModelOptions) *Model {
	return &Model{options: o, cache: newCache(), runs: map[string]int{}, streams: map[string]*generation{}}
}

// SetLeaving sets whether the engine announces that it accepts no new requests.
func (m *Model) SetLeaving(leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = leaving
}

// Runs returns the number of runs of each request ID.
func (m *Model) Runs() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	runs := make(map[string]int, len(m.runs))
	for id, n := range m.runs {
		runs[id] = n
	}
	return runs
}

// ServeHTTP implements http.Handler.
func (m *Model) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/chat/completions" && r.Method == http.MethodPost:
		m.serveCompletion(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/requests/"):
		m.serveRequest(w, r, strings.TrimPrefix(r.URL.Path, "/v1/requests/"))
	case r.URL.Path == "/metrics":
		echoID(w, r)
		m.serveMetrics(w)
	case r.URL.Path == "/v1/lifecycle":
		echoID(w, r)
		m.serveLifecycle(w)
	case r.URL.Path == "/v1/cache-events":
		echoID(w, r)
		m.cache.serve(w, r)
	default:
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "not found"})
	}
}

// echoID repeats the ID of a call in the response.
func echoID(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
}

// serveCompletion runs a completion request and responds with its stream or its complete text.
func (m *Model) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request prompt.Request
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "malformed JSON"})
		return
	}
	id := r.Header.Get("X-Request-Id")
	faults := m.recordStart(id)
	if faults.FailRequests {
		writeJSON(w, http.StatusInternalServerError, map[string]string{"error": "engine failed"})
		return
	}
	estimate := request.Estimate()
	cached := min(m.cache.insert(estimate.Blocks)*prompt.BlockTokens, estimate.PromptTokens)
	g := m.generate(id, max(1, request.MaxTokens), estimate.PromptTokens-cached)
	if !g.wait(r.Context(), request.Stream) {
		if !request.Stream && !m.current().IgnoreCancel {
			g.cancel()
		}
		return
	}
	if m.current().WrongID {
		id += "-other"
	}
	w.Header().Set("X-Request-Id", id)
	if request.Stream {
		m.stream(w, r, g, 0)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"id":      g.id,
		"choices": []any{map[string]any{"message": map[string]string{"role": "assistant", "content": g.text()}}},
		"usage": map[string]any{
			"prompt_tokens": estimate.PromptTokens, "completion_tokens": max(1, request.MaxTokens),
			"prompt_tokens_details": map[string]int{"cached_tokens": cached},
		},
	})
}

// recordStart counts a run of the request and returns the current faults.
func (m *Model) recordStart(id string) Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs[id]++
	return m.current()
}

// generate produces the events of a request in a separate goroutine, as an engine with batching does.
func (m *Model) generate(id string, tokens, promptTokens int) *generation {
	ctx, cancel := context.WithCancel(context.Background())
	g := &generation{id: id, changed: make(chan struct{}), cancel: cancel}
	m.mu.Lock()
	m.streams[id] = g
	m.running++
	m.mu.Unlock()
	delay := m.current().Delay
	if m.options.PrefillRate > 0 {
		delay += time.Duration(promptTokens/m.options.PrefillRate) * time.Millisecond
	}
	go func() {
		defer cancel()
		defer m.requestFinished()
		if !sleep(ctx, delay) {
			g.appendEvent("", true)
			return
		}
		for n := range tokens {
			if !m.waitToEmit(ctx, n, tokens) {
				g.appendEvent("", true)
				return
			}
			g.appendEvent(Token(id, n), false)
			if !sleep(ctx, m.options.TokenInterval) {
				g.appendEvent("", true)
				return
			}
		}
		if _, passed := m.waitUntilReleased(ctx, HoldLast); !passed {
			g.appendEvent("", true)
			return
		}
		g.appendEvent("[DONE]", true)
	}()
	return g
}

// waitToEmit waits while token n of a generation is held. It returns false when the generation is cancelled.
func (m *Model) waitToEmit(ctx context.Context, n, tokens int) bool {
	passed := true
	if n == 0 {
		_, passed = m.waitUntilReleased(ctx, HoldFirst)
	}
	if passed && n == tokens/2 {
		_, passed = m.waitUntilReleased(ctx, HoldMiddle)
	}
	return passed
}

func (m *Model) requestFinished() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
	m.finished++
}

// Token returns token n of the response to a request. The token contains the request ID, so that a caller can
// check that the response belongs to its request.
func Token(id string, n int) string { return fmt.Sprintf("%s-%d ", id, n) }

// stream writes the events of a generation, from number next on, as server-sent events.
func (m *Model) stream(w http.ResponseWriter, r *http.Request, g *generation, next int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	sent := 0
	for {
		events, done, changed := g.eventsFrom(next)
		for _, event := range events {
			faults := m.current()
			id := g.id
			if faults.WrongID {
				id += "-other"
			}
			fmt.Fprint(w, formatEvent(id, next, event))
			next++
			sent++
			if faults.DisconnectAfterEvents > 0 && sent >= faults.DisconnectAfterEvents {
				_ = controller.Flush()
				panic(http.ErrAbortHandler)
			}
		}
		_ = controller.Flush()
		if done {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// formatEvent returns a server-sent event whose ID consists of the request ID and the event number.
func formatEvent(id string, number int, data string) string {
	if data != "[DONE]" {
		chunk, _ := json.Marshal(map[string]any{
			"id":      id,
			"choices": []any{map[string]any{"delta": map[string]string{"content": data}}},
		})
		data = string(chunk)
	}
	return fmt.Sprintf("id: %s:%d\ndata: %s\n\n", id, number, data)
}

// serveRequest cancels (DELETE) or resumes a request; a stream resumes after the event in Last-Event-ID.
func (m *Model) serveRequest(w http.ResponseWriter, r *http.Request, id string) {
	m.mu.Lock()
	g, known := m.streams[id]
	m.mu.Unlock()
	faults := m.current()
	if !known || faults.NoResume && r.Method == http.MethodGet {
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "unknown request"})
		return
	}
	if r.Method == http.MethodDelete {
		if !faults.IgnoreCancel {
			g.cancel()
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	next := 0
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		if _, err := fmt.Sscanf(last[strings.LastIndexByte(last, ':')+1:], "%d", &next); err == nil {
			next++
		}
	}
	w.Header().Set("X-Request-Id", id)
	m.stream(w, r, g, next)
}

func (m *Model) serveMetrics(w http.ResponseWriter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fmt.Fprintf(w, "engine_num_requests_running %d\nengine_num_requests_waiting 0\nengine_cache_usage_perc 0\n", m.running)
}

func (m *Model) serveLifecycle(w http.ResponseWriter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"incarnation": 1, "leaving": m.leaving})
}

// appendEvent adds an event, unless it is empty, and wakes the waiting goroutines.
func (g *generation) appendEvent(event string, done bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if event != "" {
		g.events = append(g.events, event)
	}
	g.done = done
	close(g.changed)
	g.changed = make(chan struct{})
}

// eventsFrom returns the events from number next on, whether the generation is done, and a channel that is
// closed at the next change.
func (g *generation) eventsFrom(next int) (events []string, done bool, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if next < len(g.events) {
		events = g.events[next:]
	}
	return events, g.done, g.changed
}

// wait waits until the generation is done or, with firstOnly, has its first event. It returns false when ctx
// ends first.
func (g *generation) wait(ctx context.Context, firstOnly bool) bool {
	for {
		events, done, changed := g.eventsFrom(0)
		if done || firstOnly && len(events) > 0 {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (g *generation) text() string {
	events, _, _ := g.eventsFrom(0)
	return strings.TrimSuffix(strings.Join(events, ""), "[DONE]")
}

// sleep waits for a duration. It returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
