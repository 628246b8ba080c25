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

// callerResponse is a response as its caller receives it.
type callerResponse struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error // error of reading the body
}

func (r callerResponse) requestID() string { return r.header.Get(entry.HeaderRequestID) }

func send(address, method, target, token, body string, header map[string]string) (callerResponse, error) {
	request, err := http.NewRequest(method, "http://"+address+target, strings.NewReader(body))
	if err != nil {
		return callerResponse{}, err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callerResponse{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return callerResponse{response.StatusCode, response.Header, response.Trailer, string(data), err}, nil
}

func chatBody(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, stream, tokens)
}

// checkTokens returns an error unless the tokens of a response are exactly those that the stand-in generates
// for its request.
func checkTokens(response callerResponse, tokens int, stream bool) error {
	var want, got strings.Builder
	for n := range tokens {
		want.WriteString(standin.Token(response.requestID(), n))
	}
	if stream {
		appendStreamContent(response.body, &got)
	} else {
		var completion struct {
			Choices []struct {
				Message struct{ Content string }
			}
		}
		if err := json.Unmarshal([]byte(response.body), &completion); err != nil || len(completion.Choices) == 0 {
			return fmt.Errorf("malformed response %q: %w", response.body, err)
		}
		got.WriteString(completion.Choices[0].Message.Content)
	}
	if got.String() != want.String() {
		return fmt.Errorf("request %s: response %q, want %q", response.requestID(), got.String(), want.String())
	}
	return nil
}

func appendStreamContent(body string, content *strings.Builder) {
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
			content.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
}

// TestMixedRequestsAreAnsweredCompletelyAndOnce guards against requests that are lost or duplicated between the
// processes, and against responses that reach the caller of another request.
func TestMixedRequestsAreAnsweredCompletelyAndOnce(t *testing.T) {
	c := startCluster(t, clusterOptions{members: 3, modelEngines: 1, plainEngines: 1, control: 3, ledgers: 3, eventInterval: time.Millisecond})
	const requests = 1000
	const workers = 32
	numbers := make(chan int)
	failures := make(chan error, requests)
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for n := range numbers {
				if err := c.sendMixedRequest(n); err != nil {
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

func (c *cluster) sendMixedRequest(n int) error {
	address := c.members[n%len(c.members)].callerAddress
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
	response, err := send(address, http.MethodPost, "/v1/chat/completions", smallToken, chatBody(tokens, stream), nil)
	if err = errors.Join(err, response.err); err != nil {
		return err
	}
	if response.status != http.StatusOK {
		return fmt.Errorf("status %d: %s", response.status, response.body)
	}
	outcome := response.header.Get(entry.HeaderOutcome) + response.trailer.Get(entry.HeaderOutcome)
	if outcome != string(entry.OutcomeAnswered) {
		return fmt.Errorf("outcome %q", outcome)
	}
	return checkTokens(response, tokens, stream)
}

func checkPlain(address, method, target, body string) error {
	response, err := send(address, method, target, largeToken, body, nil)
	if err = errors.Join(err, response.err); err != nil {
		return err
	}
	var echo struct{ Method, Path, Body, RequestID string }
	if err := json.Unmarshal([]byte(response.body), &echo); err != nil {
		return fmt.Errorf("status %d: %q: %w", response.status, response.body, err)
	}
	if echo.Method != method || echo.Path != target || echo.Body != body || echo.RequestID != response.requestID() {
		return fmt.Errorf("response to another request: %s", response.body)
	}
	return nil
}

// TestBrokenStreamNeverLooksComplete guards against a partial response that looks complete to its caller.
func TestBrokenStreamNeverLooksComplete(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{members: 1, modelEngines: 1, eventInterval: time.Millisecond})
	c.engines[0].put(standin.PathFaults, standin.Faults{DisconnectAfterEvents: 3, NoResume: true})
	response, err := send(c.members[0].callerAddress, http.MethodPost, "/v1/chat/completions", smallToken, chatBody(10, true), nil)
	is.NoErr(err)
	is.True(response.err != nil)
	is.Equal(response.trailer.Get(entry.HeaderOutcome), "")
}

// TestBrokenStreamIsResumed guards against a stream that loses or repeats events when it is resumed.
func TestBrokenStreamIsResumed(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{members: 1, modelEngines: 1, eventInterval: time.Millisecond})
	c.engines[0].put(standin.PathFaults, standin.Faults{DisconnectAfterEvents: 4})
	is.NoErr(checkChat(c.members[0].callerAddress, 10, true))
	for _, runs := range c.engines[0].counts().Runs {
		is.Equal(runs, 1)
	}
}

// TestMismatchedResponseIsDiscarded guards against a caller that receives the response to another request.
func TestMismatchedResponseIsDiscarded(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{members: 1, modelEngines: 1, plainEngines: 1})
	for _, e := range c.engines {
		e.put(standin.PathFaults, standin.Faults{WrongID: true})
	}
	for _, target := range []string{"/v1/chat/completions", "/orders"} {
		response, err := send(c.members[0].callerAddress, http.MethodPost, target, smallToken, chatBody(3, false), nil)
		is.NoErr(err)
		is.Equal(response.status, http.StatusBadGateway)
		is.Equal(response.header.Get(entry.HeaderOutcome), string(entry.OutcomeUndetermined))
	}
}

// TestPlannedStopInterruptsNoRequest guards against a planned stop that interrupts requests in progress, and
// against one during which the instance continues to accept new requests.
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	c := startCluster(t, clusterOptions{members: 1, modelEngines: 1, plainEngines: 1, eventInterval: 20 * time.Millisecond})
	address := c.members[0].callerAddress
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

// TestBadInputGetsProblemDocuments guards against invalid input whose response is not a problem document of
// the expected type, or that reaches an engine.
func TestBadInputGetsProblemDocuments(t *testing.T) {
	c := startCluster(t, clusterOptions{members: 1, modelEngines: 1})
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
			response, err := send(c.members[0].callerAddress, http.MethodPost, test.target, test.token, test.body, test.header)
			is.NoErr(err)
			is.Equal(response.status, test.status)
			var problem entry.Problem
			is.NoErr(json.Unmarshal([]byte(response.body), &problem))
			is.Equal(problem.Type, "urn:primrosebeam:problem:"+test.problem)
			is.Equal(response.header.Get(entry.HeaderOutcome), string(entry.OutcomeNotRun))
		})
	}
	if runs := c.engines[0].counts().Runs; len(runs) != 0 {
		t.Errorf("invalid input reached the engine: %v", runs)
	}
}
