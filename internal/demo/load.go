package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/histogram"

	"github.com/primrosebeam/primrosebeam/internal/entry"
	"github.com/primrosebeam/primrosebeam/internal/standin"
)

// requestTimeout bounds one request, including its response.
const requestTimeout = 60 * time.Second

// loadGenerator sends requests of all tiers from all workspaces and counts the results.
type loadGenerator struct {
	addresses []string
	client    *http.Client

	mu              sync.Mutex
	groups          map[groupKey]*groupStats
	completedOrders map[string]bool // order bodies that got a correct response
}

type groupKey struct{ tier, workspace string }

// groupStats counts the results of one group of requests.
type groupStats struct {
	sent, complete, notRun, undetermined, incorrect int
	latencySeconds                                  histogram.Fast
}

func newLoadGenerator(addresses []string) *loadGenerator {
	return &loadGenerator{
		addresses:       addresses,
		client:          &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		groups:          map[groupKey]*groupStats{},
		completedOrders: map[string]bool{},
	}
}

// run starts all callers of all workspaces and waits until they have stopped.
func (l *loadGenerator) run(ctx context.Context, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var callers sync.WaitGroup
	for _, w := range workspaces {
		for caller := range w.callers {
			callers.Go(func() { l.runCaller(ctx, w.name, caller) })
		}
	}
	callers.Wait()
}

// runCaller sends one request after another, a quarter of each kind, until ctx ends. A request in progress
// at that time is completed.
func (l *loadGenerator) runCaller(ctx context.Context, workspace string, caller int) {
	for n := caller; ctx.Err() == nil; n++ {
		address := l.addresses[n%len(l.addresses)]
		switch n % 4 {
		case 0:
			l.sendOrder(address, workspace, fmt.Sprintf("order %s/%d/%d", workspace, caller, n), n)
		case 1:
			l.sendStatus(address, workspace, n)
		case 2:
			l.sendChat(address, workspace, "normal", 8, true)
		default:
			l.sendChat(address, workspace, "batch", 40, false)
		}
	}
}

// ordersPerRetry is the number of orders of which one is retried, as by a caller that lost the response.
const ordersPerRetry = 5

// sendOrder sends an order with an idempotency key. It retries one order in ordersPerRetry through another
// instance, which must return the same response.
func (l *loadGenerator) sendOrder(address, workspace, body string, n int) {
	key, err := l.mintKey(address, workspace)
	if err != nil {
		l.record(workspace, "urgent", callResult{failed: true}, false)
		return
	}
	header := map[string]string{entry.HeaderIdempotencyKey: key}
	result := l.send(address, http.MethodPost, "/orders", workspace, body, header)
	correct := result.echoesRequest(http.MethodPost, "/orders", body)
	l.record(workspace, "urgent", result, correct)
	if !correct {
		return
	}
	l.mu.Lock()
	l.completedOrders[body] = true
	l.mu.Unlock()
	if n/4%ordersPerRetry == 0 {
		retried := l.send(l.addresses[(n+1)%len(l.addresses)], http.MethodPost, "/orders", workspace, body, header)
		l.record(workspace, "urgent", retried, bytes.Equal(retried.body, result.body))
	}
}

// mintKey requests one idempotency key from an instance.
func (l *loadGenerator) mintKey(address, workspace string) (string, error) {
	result := l.send(address, http.MethodPost, "/v1/keys", workspace, `{"count":1}`, nil)
	var minted struct{ Keys []string }
	if err := json.Unmarshal(result.body, &minted); err != nil {
		return "", fmt.Errorf("demo: key: %w", err)
	}
	if len(minted.Keys) != 1 {
		return "", &KeyError{Status: result.status}
	}
	return minted.Keys[0], nil
}

// KeyError reports a response to a request for a key that does not contain exactly one key.
type KeyError struct{ Status int }

func (e *KeyError) Error() string { return fmt.Sprintf("demo: no key issued, status %d", e.Status) }

func (l *loadGenerator) sendStatus(address, workspace string, n int) {
	target := fmt.Sprintf("/status/%d", n)
	result := l.send(address, http.MethodGet, target, workspace, "", nil)
	l.record(workspace, "normal", result, result.echoesRequest(http.MethodGet, target, ""))
}

func (l *loadGenerator) sendChat(address, workspace, tier string, tokens int, stream bool) {
	body := fmt.Sprintf(`{"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		stream, tokens, strings.Repeat("site report of "+workspace+" ", 20))
	header := map[string]string{}
	if tier == "batch" {
		header[entry.HeaderLabels] = "work=report"
	}
	result := l.send(address, http.MethodPost, "/v1/chat/completions", workspace, body, header)
	l.record(workspace, tier, result, result.hasExactTokens(tokens, stream))
}

// callResult is the response to one request, or the failure of the request.
type callResult struct {
	status         int
	id             string
	outcome        string
	body           []byte
	latencySeconds float64
	failed         bool // no response, or the connection broke before its end
}

func (l *loadGenerator) send(address, method, target, workspace, body string, header map[string]string) callResult {
	started := time.Now()
	request, err := http.NewRequest(method, "http://"+address+target, strings.NewReader(body))
	if err != nil {
		return callResult{failed: true}
	}
	request.Header.Set("Authorization", "Bearer "+workspaceToken(workspace))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return callResult{failed: true}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return callResult{
		status:         response.StatusCode,
		id:             response.Header.Get(entry.HeaderRequestID),
		outcome:        response.Header.Get(entry.HeaderOutcome) + response.Trailer.Get(entry.HeaderOutcome),
		body:           data,
		latencySeconds: time.Since(started).Seconds(),
		failed:         err != nil,
	}
}

// echoesRequest reports whether the response repeats method, path, body and ID of its request.
func (r callResult) echoesRequest(method, target, body string) bool {
	var echo struct{ Method, Path, Body, RequestID string }
	if err := json.Unmarshal(r.body, &echo); err != nil {
		return false
	}
	return echo.Method == method && echo.Path == target && echo.Body == body && echo.RequestID == r.id
}

// hasExactTokens reports whether the response consists of exactly the tokens that belong to its request.
func (r callResult) hasExactTokens(tokens int, stream bool) bool {
	var want strings.Builder
	for n := range tokens {
		want.WriteString(standin.Token(r.id, n))
	}
	return r.content(stream) == want.String()
}

// content returns the generated text of a complete or streamed chat completion.
func (r callResult) content(stream bool) string {
	type content struct{ Content string }
	type chunk struct {
		Choices []struct{ Message, Delta content }
	}
	if !stream {
		var complete chunk
		if json.Unmarshal(r.body, &complete) != nil || len(complete.Choices) == 0 {
			return ""
		}
		return complete.Choices[0].Message.Content
	}
	var text strings.Builder
	for line := range bytes.Lines(r.body) {
		data, found := bytes.CutPrefix(line, []byte("data: "))
		var event chunk
		if found && json.Unmarshal(data, &event) == nil && len(event.Choices) > 0 {
			text.WriteString(event.Choices[0].Delta.Content)
		}
	}
	return text.String()
}

// record counts the result of one request.
func (l *loadGenerator) record(workspace, tier string, result callResult, correct bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g, exists := l.groups[groupKey{tier, workspace}]
	if !exists {
		g = &groupStats{}
		l.groups[groupKey{tier, workspace}] = g
	}
	g.sent++
	switch {
	case result.failed || result.outcome == string(entry.OutcomeUndetermined):
		g.undetermined++
	case result.outcome == string(entry.OutcomeNotRun):
		g.notRun++
	case correct && result.status == http.StatusOK:
		g.complete++
		g.latencySeconds.Update(result.latencySeconds)
	default:
		g.incorrect++
	}
}

// Report holds the measurements of a demo.
type Report struct {
	Groups     []Group `json:"groups"`
	Duplicated int     `json:"doubled"` // number of requests and orders that ran more than once
	Lost       int     `json:"lost"`    // number of orders with a correct response that no engine ran
}

// Group holds the measurements of one tier of one workspace.
type Group struct {
	Tier         string  `json:"tier"`
	Workspace    string  `json:"workspace"`
	Sent         int     `json:"sent"`
	Complete     int     `json:"whole"`
	NotRun       int     `json:"notRun"`
	Undetermined int     `json:"undetermined"`
	Incorrect    int     `json:"wrong"`        // responses with a wrong body or status
	MedianMillis float64 `json:"medianMillis"` // latency of complete responses
	P95Millis    float64 `json:"p95Millis"`    // latency of complete responses
}

// Passed reports whether every request got its complete response, none ran twice and no order was lost.
func (r *Report) Passed() bool {
	for _, g := range r.Groups {
		if g.Complete != g.Sent {
			return false
		}
	}
	return r.Duplicated == 0 && r.Lost == 0 && len(r.Groups) > 0
}

// report compares the responses with the runs that the engines counted.
func (l *loadGenerator) report(engines *engineSet) *Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &Report{}
	for key, g := range l.groups {
		r.Groups = append(r.Groups, Group{
			Tier: key.tier, Workspace: key.workspace,
			Sent: g.sent, Complete: g.complete, NotRun: g.notRun, Undetermined: g.undetermined, Incorrect: g.incorrect,
			MedianMillis: 1000 * g.latencySeconds.Quantile(0.5), P95Millis: 1000 * g.latencySeconds.Quantile(0.95),
		})
	}
	slices.SortFunc(r.Groups, func(a, b Group) int {
		return strings.Compare(a.Workspace+a.Tier, b.Workspace+b.Tier)
	})
	executions := map[string]int{}
	for _, plain := range engines.plains {
		r.Duplicated += countDuplicated(plain.Runs())
		for body, n := range plain.Orders() {
			executions[body] += n
		}
	}
	for _, model := range engines.models {
		r.Duplicated += countDuplicated(model.Runs())
	}
	r.Duplicated += countDuplicated(executions)
	for body := range maps.Keys(l.completedOrders) {
		if executions[body] == 0 {
			r.Lost++
		}
	}
	return r
}

// countDuplicated returns the number of keys that ran more than once.
func countDuplicated(runs map[string]int) int {
	duplicated := 0
	for _, n := range runs {
		if n > 1 {
			duplicated++
		}
	}
	return duplicated
}
