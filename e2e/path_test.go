package e2e

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/internal/entry"
	"github.com/primrosebeam/primrosebeam/internal/standin"
)

// answer is what a caller sees of one exchange.
type answer struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error // of reading the body
}

func (a answer) requestID() string { return a.header.Get(entry.HeaderRequestID) }

func send(address, method, target, token, body string, header map[string]string) (answer, error) {
	request, err := http.NewRequest(method, "http://"+address+target, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, response.Trailer, string(data), err}, nil
}

func chatBody(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, stream, tokens)
}

// checkOwnTokens reports an answer that is not the whole answer to its own request.
func checkOwnTokens(a answer, tokens int, stream bool) error {
	var want, got strings.Builder
	for n := range tokens {
		want.WriteString(standin.Token(a.requestID(), n))
	}
	if stream {
		collectStream(a.body, &got)
	} else {
		var whole struct {
			Choices []struct {
				Message struct{ Content string }
			}
		}
		if err := json.Unmarshal([]byte(a.body), &whole); err != nil || len(whole.Choices) == 0 {
			return fmt.Errorf("malformed answer %q: %w", a.body, err)
		}
		got.WriteString(whole.Choices[0].Message.Content)
	}
	if got.String() != want.String() {
		return fmt.Errorf("request %s: answer %q, want %q", a.requestID(), got.String(), want.String())
	}
	return nil
}

func collectStream(body string, into *strings.Builder) {
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found || data == "[DONE]" {
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			into.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
}

// Guards against requests that are lost, doubled or crossed on the way through separate processes.
func TestMixedRequestsAreAnsweredOnceAndWhole(t *testing.T) {
	c := startCluster(t, clusterOptions{members: 3, models: 1, plains: 1, control: 3, ledgers: 3, interval: time.Millisecond})
	const requests = 1000
	const workers = 32
	numbers := make(chan int)
	failures := make(chan error, requests)
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for n := range numbers {
				if err := c.mixedRequest(n); err != nil {
					failures <- fmt.Errorf("request %d: %w", n, err)
				}
			}
		})
	}
	for n := range requests {
		numbers <- n
	}
	close(numbers)
	group.Wait()
	close(failures)
	for err := range failures {
		t.Error(err)
	}
	started := 0
	for _, e := range c.engines {
		for id, runs := range e.counts().Runs {
			started += runs
			if runs != 1 {
				t.Errorf("request %s ran %d times", id, runs)
			}
		}
	}
	if started != requests {
		t.Errorf("engines started %d requests, want %d", started, requests)
	}
}

func (c *cluster) mixedRequest(n int) error {
	address := c.members[n%len(c.members)].callers
	switch n % 4 {
	case 0:
		return checkChat(address, 1+n%20, false)
	case 1:
		return checkChat(address, 1+n%20, true)
	case 2:
		return checkPlain(address, http.MethodPost, "/orders", fmt.Sprintf("order %d", n))
	default:
		return checkPlain(address, http.MethodGet, fmt.Sprintf("/status/%d", n), "")
	}
}

func checkChat(address string, tokens int, stream bool) error {
	a, err := send(address, http.MethodPost, "/v1/chat/completions", smallToken, chatBody(tokens, stream), nil)
	if err = errors.Join(err, a.err); err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return fmt.Errorf("status %d: %s", a.status, a.body)
	}
	outcome := a.header.Get(entry.HeaderOutcome) + a.trailer.Get(entry.HeaderOutcome)
	if outcome != string(entry.OutcomeAnswered) {
		return fmt.Errorf("outcome %q", outcome)
	}
	return checkOwnTokens(a, tokens, stream)
}

func checkPlain(address, method, target, body string) error {
	a, err := send(address, method, target, largeToken, body, nil)
	if err = errors.Join(err, a.err); err != nil {
		return err
	}
	var echo struct{ Method, Path, Body, RequestID string }
	if err := json.Unmarshal([]byte(a.body), &echo); err != nil {
		return fmt.Errorf("status %d: %q: %w", a.status, a.body, err)
	}
	if echo.Method != method || echo.Path != target || echo.Body != body || echo.RequestID != a.requestID() {
		return fmt.Errorf("answer of another request: %s", a.body)
	}
	return nil
}

// Guards against a partial answer that looks whole to its caller.
func TestCutStreamNeverLooksWhole(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{members: 1, models: 1, interval: time.Millisecond})
	c.engines[0].steer(standin.PathFaults, standin.Faults{DisconnectAfterEvents: 3, NoResume: true})
	a, err := send(c.members[0].callers, http.MethodPost, "/v1/chat/completions", smallToken, chatBody(10, true), nil)
	is.NoErr(err)
	is.True(a.err != nil)
	is.Equal(a.trailer.Get(entry.HeaderOutcome), "")
}

// Guards against a stream that loses or repeats events when it is resumed.
func TestCutStreamIsResumed(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{members: 1, models: 1, interval: time.Millisecond})
	c.engines[0].steer(standin.PathFaults, standin.Faults{DisconnectAfterEvents: 4})
	is.NoErr(checkChat(c.members[0].callers, 10, true))
	for _, runs := range c.engines[0].counts().Runs {
		is.Equal(runs, 1)
	}
}

// Guards against another request's answer reaching a caller.
func TestMismatchedAnswerIsDiscarded(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{members: 1, models: 1, plains: 1})
	for _, e := range c.engines {
		e.steer(standin.PathFaults, standin.Faults{WrongID: true})
	}
	for _, target := range []string{"/v1/chat/completions", "/orders"} {
		a, err := send(c.members[0].callers, http.MethodPost, target, smallToken, chatBody(3, false), nil)
		is.NoErr(err)
		is.Equal(a.status, http.StatusBadGateway)
		is.Equal(a.header.Get(entry.HeaderOutcome), string(entry.OutcomeUndetermined))
	}
}

// Guards against a planned stop that cuts requests in progress, and against one that goes on taking new ones.
func TestPlannedStopCutsNothing(t *testing.T) {
	c := startCluster(t, clusterOptions{members: 1, models: 1, plains: 1, interval: 20 * time.Millisecond})
	address := c.members[0].callers
	var group sync.WaitGroup
	failures := make(chan error, 40)
	for n := range 20 {
		group.Go(func() {
			if err := checkChat(address, 20, n%2 == 0); err != nil {
				failures <- err
			}
		})
	}
	waitFor(t, "requests in progress", func() bool { return len(c.engines[0].counts().Runs) >= 10 })
	c.members[0].signal(syscall.SIGTERM)
	group.Wait()
	close(failures)
	for err := range failures {
		t.Error(err)
	}
	if code := c.members[0].waitExit(startTimeout); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// Guards against bad input that is answered without a typed problem document, or that reaches an engine.
func TestBadInputGetsProblemDocuments(t *testing.T) {
	c := startCluster(t, clusterOptions{members: 1, models: 1})
	for _, test := range []struct {
		name, target, token, body string
		header                    map[string]string
		status                    int
		problem                   string
	}{
		{name: "unknown token", target: "/v1/chat/completions", token: "nobody", status: 401, problem: "bad-token"},
		{name: "unknown route", target: "/nowhere", token: smallToken, status: 404, problem: "unknown-service"},
		{name: "dot segments", target: "/status/%2e%2e/orders", token: smallToken, status: 400, problem: "bad-path"},
		{name: "malformed JSON", target: "/v1/chat/completions", token: smallToken, body: "{", status: 400, problem: "bad-body"},
		{name: "bad labels", target: "/v1/chat/completions", token: smallToken, body: "{}", header: map[string]string{entry.HeaderLabels: "a"}, status: 400, problem: "bad-labels"},
		{name: "unknown tier", target: "/v1/chat/completions", token: smallToken, body: "{}", header: map[string]string{entry.HeaderTier: "x"}, status: 400, problem: "bad-tier"},
		{name: "large body", target: "/v1/chat/completions", token: smallToken, body: strings.Repeat("x", 9<<20), status: 413, problem: "body-too-large"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			a, err := send(c.members[0].callers, http.MethodPost, test.target, test.token, test.body, test.header)
			is.NoErr(err)
			is.Equal(a.status, test.status)
			var problem entry.Problem
			is.NoErr(json.Unmarshal([]byte(a.body), &problem))
			is.Equal(problem.Type, "urn:primrosebeam:problem:"+test.problem)
			is.Equal(a.header.Get(entry.HeaderOutcome), string(entry.OutcomeNotRun))
		})
	}
	if runs := c.engines[0].counts().Runs; len(runs) != 0 {
		t.Errorf("bad input reached the engine: %v", runs)
	}
}
