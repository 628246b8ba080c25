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

const requestTimeout = 60 * time.Second

// load sends requests of all tiers from all workspaces and keeps score.
type load struct {
	addresses []string
	client    *http.Client

	mu     sync.Mutex
	groups map[groupKey]*group
	orders map[string]bool // order bodies that were answered
}

type groupKey struct{ tier, workspace string }

type group struct {
	sent, whole, notRun, undetermined, wrong int
	seconds                                  histogram.Fast
}

func newLoad(addresses []string) *load {
	return &load{
		addresses: addresses,
		client:    &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		groups:    map[groupKey]*group{},
		orders:    map[string]bool{},
	}
}

func (l *load) run(ctx context.Context, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var callers sync.WaitGroup
	for _, w := range workspaces {
		for caller := range w.callers {
			callers.Go(func() { l.call(ctx, w.name, caller) })
		}
	}
	callers.Wait()
}

// call sends one request after the other, a quarter of each kind, until ctx ends. Requests in
// progress at that time are finished.
func (l *load) call(ctx context.Context, workspace string, caller int) {
	for n := caller; ctx.Err() == nil; n++ {
		address := l.addresses[n%len(l.addresses)]
		switch n % 4 {
		case 0:
			l.order(address, workspace, fmt.Sprintf("order %s/%d/%d", workspace, caller, n), n)
		case 1:
			l.status(address, workspace, n)
		case 2:
			l.chat(address, workspace, "normal", 8, true)
		default:
			l.chat(address, workspace, "batch", 40, false)
		}
	}
}

// resendEvery is how many orders one is sent again for, as a caller does that has lost the answer.
const resendEvery = 5

// order sends an order under a key and, now and then, sends it again through another instance.
func (l *load) order(address, workspace, body string, n int) {
	key, err := l.key(address, workspace)
	if err != nil {
		l.score(workspace, "urgent", answer{failed: true}, false)
		return
	}
	header := map[string]string{entry.HeaderKey: key}
	a := l.send(address, http.MethodPost, "/orders", workspace, body, header)
	right := a.echoes(http.MethodPost, "/orders", body)
	l.score(workspace, "urgent", a, right)
	if !right {
		return
	}
	l.mu.Lock()
	l.orders[body] = true
	l.mu.Unlock()
	if n/4%resendEvery == 0 {
		again := l.send(l.addresses[(n+1)%len(l.addresses)], http.MethodPost, "/orders", workspace, body, header)
		l.score(workspace, "urgent", again, bytes.Equal(again.body, a.body))
	}
}

// key asks an instance for one idempotency key.
func (l *load) key(address, workspace string) (string, error) {
	a := l.send(address, http.MethodPost, "/v1/keys", workspace, `{"count":1}`, nil)
	var minted struct{ Keys []string }
	if err := json.Unmarshal(a.body, &minted); err != nil {
		return "", fmt.Errorf("demo: key: %w", err)
	}
	if len(minted.Keys) != 1 {
		return "", &KeyError{Status: a.status}
	}
	return minted.Keys[0], nil
}

// KeyError reports that no key was issued.
type KeyError struct{ Status int }

func (e *KeyError) Error() string { return fmt.Sprintf("demo: no key issued, status %d", e.Status) }

func (l *load) status(address, workspace string, n int) {
	target := fmt.Sprintf("/status/%d", n)
	a := l.send(address, http.MethodGet, target, workspace, "", nil)
	l.score(workspace, "normal", a, a.echoes(http.MethodGet, target, ""))
}

func (l *load) chat(address, workspace, tier string, tokens int, stream bool) {
	body := fmt.Sprintf(`{"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		stream, tokens, strings.Repeat("site report of "+workspace+" ", 20))
	header := map[string]string{}
	if tier == "batch" {
		header[entry.HeaderLabels] = "work=report"
	}
	a := l.send(address, http.MethodPost, "/v1/chat/completions", workspace, body, header)
	l.score(workspace, tier, a, a.holdsTokens(tokens, stream))
}

type answer struct {
	status  int
	id      string
	outcome string
	body    []byte
	seconds float64
	failed  bool // the connection broke
}

func (l *load) send(address, method, target, workspace, body string, header map[string]string) answer {
	started := time.Now()
	request, err := http.NewRequest(method, "http://"+address+target, strings.NewReader(body))
	if err != nil {
		return answer{failed: true}
	}
	request.Header.Set("Authorization", "Bearer "+token(workspace))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return answer{failed: true}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{
		status:  response.StatusCode,
		id:      response.Header.Get(entry.HeaderRequestID),
		outcome: response.Header.Get(entry.HeaderOutcome) + response.Trailer.Get(entry.HeaderOutcome),
		body:    data,
		seconds: time.Since(started).Seconds(),
		failed:  err != nil,
	}
}

func (a answer) echoes(method, target, body string) bool {
	var echo struct{ Method, Path, Body, RequestID string }
	if err := json.Unmarshal(a.body, &echo); err != nil {
		return false
	}
	return echo.Method == method && echo.Path == target && echo.Body == body && echo.RequestID == a.id
}

// holdsTokens reports whether the answer consists of exactly the tokens of its own request.
func (a answer) holdsTokens(tokens int, stream bool) bool {
	var want strings.Builder
	for n := range tokens {
		want.WriteString(standin.Token(a.id, n))
	}
	return a.text(stream) == want.String()
}

func (a answer) text(stream bool) string {
	type content struct{ Content string }
	type chunk struct {
		Choices []struct{ Message, Delta content }
	}
	if !stream {
		var whole chunk
		if json.Unmarshal(a.body, &whole) != nil || len(whole.Choices) == 0 {
			return ""
		}
		return whole.Choices[0].Message.Content
	}
	var text strings.Builder
	for line := range bytes.Lines(a.body) {
		data, found := bytes.CutPrefix(line, []byte("data: "))
		var part chunk
		if found && json.Unmarshal(data, &part) == nil && len(part.Choices) > 0 {
			text.WriteString(part.Choices[0].Delta.Content)
		}
	}
	return text.String()
}

func (l *load) score(workspace, tier string, a answer, right bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g, exists := l.groups[groupKey{tier, workspace}]
	if !exists {
		g = &group{}
		l.groups[groupKey{tier, workspace}] = g
	}
	g.sent++
	switch {
	case a.failed || a.outcome == string(entry.OutcomeUndetermined):
		g.undetermined++
	case a.outcome == string(entry.OutcomeNotRun):
		g.notRun++
	case right && a.status == http.StatusOK:
		g.whole++
		g.seconds.Update(a.seconds)
	default:
		g.wrong++
	}
}

// Report is what a demo measured.
type Report struct {
	Groups     []Group `json:"groups"`
	Duplicated int     `json:"doubled"` // requests or orders that ran more than once
	Lost       int     `json:"lost"`    // answered orders that no engine carried out
}

// Group is one tier of one workspace.
type Group struct {
	Tier         string  `json:"tier"`
	Workspace    string  `json:"workspace"`
	Sent         int     `json:"sent"`
	Complete     int     `json:"whole"`
	NotRun       int     `json:"notRun"`
	Undetermined int     `json:"undetermined"`
	Incorrect    int     `json:"wrong"`        // not the whole answer to its own request
	MedianMillis float64 `json:"medianMillis"` // of whole answers
	P95Millis    float64 `json:"p95Millis"`    // of whole answers
}

// Passed reports whether every answer was whole and none doubled.
func (r *Report) Passed() bool {
	for _, g := range r.Groups {
		if g.Complete != g.Sent {
			return false
		}
	}
	return r.Duplicated == 0 && r.Lost == 0 && len(r.Groups) > 0
}

func (l *load) report(engines *engineSet) *Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &Report{}
	for key, g := range l.groups {
		r.Groups = append(r.Groups, Group{
			Tier: key.tier, Workspace: key.workspace,
			Sent: g.sent, Complete: g.whole, NotRun: g.notRun, Undetermined: g.undetermined, Incorrect: g.wrong,
			MedianMillis: 1000 * g.seconds.Quantile(0.5), P95Millis: 1000 * g.seconds.Quantile(0.95),
		})
	}
	slices.SortFunc(r.Groups, func(a, b Group) int {
		return strings.Compare(a.Workspace+a.Tier, b.Workspace+b.Tier)
	})
	carriedOut := map[string]int{}
	for _, plain := range engines.plains {
		r.Duplicated += countDoubled(plain.Runs())
		for body, n := range plain.Orders() {
			carriedOut[body] += n
		}
	}
	for _, model := range engines.models {
		r.Duplicated += countDoubled(model.Runs())
	}
	r.Duplicated += countDoubled(carriedOut)
	for body := range maps.Keys(l.orders) {
		if carriedOut[body] == 0 {
			r.Lost++
		}
	}
	return r
}

func countDoubled(runs map[string]int) int {
	doubled := 0
	for _, n := range runs {
		if n > 1 {
			doubled++
		}
	}
	return doubled
}
