package e2e

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/entry"
	"github.com/primrosebeam/primrosebeam/internal/standin"
)

// maxCallerWait is the longest time that a caller may wait: a retry waits for a running first attempt for up
// to 30 s and for the owner of the key for up to 2 s before and after. The rest is a margin for a busy machine.
const maxCallerWait = 40 * time.Second

// streamTokens is the number of tokens of each completion in the fault matrix.
const streamTokens = 6

// kind is a kind of request in the fault matrix.
type kind struct {
	name   string
	method string
	keyed  bool
	stream bool
}

var kinds = []kind{
	{name: "order with key", method: http.MethodPost, keyed: true},
	{name: "order", method: http.MethodPost},
	{name: "lookup", method: http.MethodGet},
	{name: "stream", method: http.MethodPost, stream: true},
	{name: "stream with key", method: http.MethodPost, keyed: true, stream: true},
}

// observation is the result of one attempt as its caller saw it.
type observation struct {
	callerResponse
	sendErr  error  // set if the caller received no response
	instance string // name of the instance that received the request
	started  time.Time
	finished time.Time
}

// history is the record of one request: all attempts to send it and all its runs on engines.
type history struct {
	kind          kind
	work          string // identifies the request: its body, or its path if it is a lookup
	target        string
	observations  []observation
	runs          []run
	responsesLost bool // the owner of the key lost its disk, and the stored responses with it
}

// send makes one attempt and returns its observation.
func (h *history) send(ctx context.Context, m *member, key string) observation {
	body := h.work
	if h.kind.method == http.MethodGet {
		body = ""
	}
	return h.sendBody(ctx, m, key, strings.NewReader(body))
}

func (h *history) sendBody(ctx context.Context, m *member, key string, body io.Reader) observation {
	o := observation{instance: m.name, started: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, maxCallerWait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, h.kind.method, "http://"+m.callerAddress+h.target, body)
	if err != nil {
		panic(err)
	}
	request.Header.Set("Authorization", "Bearer "+smallToken)
	if key != "" {
		request.Header.Set(entry.HeaderIdempotencyKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		o.sendErr = err
	} else {
		data, err := io.ReadAll(response.Body)
		response.Body.Close()
		o.callerResponse = callerResponse{response.StatusCode, response.Header, response.Trailer, string(data), err}
	}
	o.finished = time.Now()
	return o
}

// looksComplete reports whether a caller takes the response for the complete response of the engine.
func (o observation) looksComplete() bool {
	return o.sendErr == nil && o.err == nil && o.status == http.StatusOK
}

func (o observation) String() string {
	return fmt.Sprintf("%s: status %d outcome %q after %s, send error %v, read error %v, body %.200q",
		o.instance, o.status, outcomeOf(o.callerResponse), o.finished.Sub(o.started).Round(time.Millisecond), o.sendErr, o.err, o.body)
}

// check returns every violation of an invariant in the history.
func (h *history) check() []string {
	violations := h.checkRuns()
	for _, o := range h.observations {
		if o.finished.Sub(o.started) >= maxCallerWait {
			violations = append(violations, "hung: "+o.String())
		}
		if o.looksComplete() {
			if err := h.checkComplete(o); err != nil {
				violations = append(violations, fmt.Sprintf("response looks complete but is not: %v: %s", err, o))
			}
		}
		if o.sendErr == nil && outcomeOf(o.callerResponse) == string(entry.OutcomeNotRun) && h.ranDespite(o) {
			violations = append(violations, "reported not-run but ran: "+o.String())
		}
	}
	return violations
}

// checkRuns checks the number of runs: at most one in all with a key, and at most one per attempt without a
// key.
func (h *history) checkRuns() (violations []string) {
	limit := len(h.observations)
	if h.kind.keyed {
		limit = 1
	}
	if len(h.runs) > limit {
		violations = append(violations, fmt.Sprintf("%d runs, at most %d allowed: %v", len(h.runs), limit, h.runs))
	}
	seen := map[string]bool{}
	for _, r := range h.runs {
		if seen[r.ID] {
			violations = append(violations, "dispatched twice under "+r.ID)
		}
		seen[r.ID] = true
	}
	return violations
}

// ranDespite reports whether the request ran although the response rejected stated that it did not and would
// not run. Only an attempt that began after that response is a new request of the caller and may run.
func (h *history) ranDespite(rejected observation) bool {
	for _, r := range h.runs {
		sentLater := slices.ContainsFunc(h.observations, func(o observation) bool {
			return o.sendErr == nil && o.requestID() == r.ID && o.started.After(rejected.finished)
		})
		if !sentLater {
			return true
		}
	}
	return false
}

// checkComplete checks that a response is the complete response of one of the runs of this request.
func (h *history) checkComplete(o observation) error {
	if outcomeOf(o.callerResponse) != string(entry.OutcomeAnswered) {
		return fmt.Errorf("outcome %q", outcomeOf(o.callerResponse))
	}
	if h.kind.stream && !strings.HasSuffix(o.body, "data: [DONE]\n\n") {
		return errors.New("no last event")
	}
	for _, r := range h.runs {
		if h.isResponseOf(r.ID, o.body) {
			return nil
		}
	}
	return errors.New("not the response of any run of this request")
}

func (h *history) isResponseOf(id, body string) bool {
	if h.kind.stream {
		var want, got strings.Builder
		for n := range streamTokens {
			want.WriteString(standin.Token(id, n))
		}
		appendStreamContent(body, &got)
		return got.String() == want.String()
	}
	var echo struct{ Method, Path, Body, RequestID string }
	if json.Unmarshal([]byte(body), &echo) != nil {
		return false
	}
	work := echo.Body
	if h.kind.method == http.MethodGet {
		work = echo.Path
	}
	return echo.RequestID == id && echo.Path == h.target && work == h.work
}

// superseded reports whether a waiting attempt lost its claim to a retry of the same caller that received
// the complete response.
func (h *history) superseded(o observation) bool {
	return h.kind.keyed && strings.Contains(o.body, "urn:primrosebeam:problem:superseded") &&
		slices.ContainsFunc(h.observations, func(other observation) bool {
			return other.looksComplete() && other.started.Before(o.finished)
		})
}

// replayableResponse returns a complete response that was sent under a key, if there is one. Every retry must
// return it again.
func (h *history) replayableResponse() (body string, found bool) {
	for _, o := range h.observations {
		if h.kind.keyed && !h.responsesLost && o.looksComplete() {
			return o.body, true
		}
	}
	return "", false
}

// TestHistoryCheckerReportsViolations guards against a checker that accepts a history which violates an
// invariant. Each invalid history in the table violates one.
func TestHistoryCheckerReportsViolations(t *testing.T) {
	start := time.Unix(1000, 0)
	keyedOrder := history{kind: kinds[0], work: "sack", target: "/orders"}
	stream := history{kind: kinds[3], work: "prompt", target: "/v1/chat/completions"}
	echo := func(id, body string) string {
		return fmt.Sprintf(`{"method":"POST","path":"/orders","body":%q,"requestId":%q}`, body, id)
	}
	eventStream := func(id string, from, to int, end string) string {
		var b strings.Builder
		for n := from; n < to; n++ {
			fmt.Fprintf(&b, "id: %s:%d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", id, n, standin.Token(id, n))
		}
		return b.String() + end
	}
	const done = "data: [DONE]\n\n"
	observed := func(id, outcome, body string) observation {
		header := http.Header{}
		header.Set(entry.HeaderRequestID, id)
		header.Set(entry.HeaderOutcome, outcome)
		status := http.StatusOK
		if outcome == "not-run" || outcome == "undetermined" {
			status = http.StatusConflict
		}
		return observation{callerResponse: callerResponse{status: status, header: header, body: body}, started: start, finished: start.Add(time.Second)}
	}
	later := observed("b", "answered", echo("b", "sack"))
	later.started, later.finished = start.Add(2*time.Second), start.Add(3*time.Second)
	timedOut := observed("a", "undetermined", "")
	timedOut.finished = start.Add(maxCallerWait)
	truncated := observed("a", "", eventStream("a", 0, 3, ""))
	truncated.err = io.ErrUnexpectedEOF
	for _, test := range []struct {
		name         string
		history      history
		observations []observation
		runs         []run
		want         string // part of the violation; empty if the history is valid
	}{
		{"complete response", keyedOrder, []observation{observed("a", "answered", echo("a", "sack"))}, []run{{ID: "a"}}, ""},
		{"replayed response", keyedOrder, []observation{observed("a", "answered", echo("a", "sack")), observed("c", "answered", echo("a", "sack"))}, []run{{ID: "a"}}, ""},
		{"order ran twice", keyedOrder, []observation{observed("a", "undetermined", ""), observed("b", "answered", echo("b", "sack"))}, []run{{ID: "a"}, {ID: "b"}}, "2 runs"},
		{"one ID dispatched twice", stream, []observation{truncated, truncated}, []run{{ID: "a"}, {ID: "a"}}, "dispatched twice"},
		{"not-run of an order that ran", keyedOrder, []observation{observed("a", "not-run", "")}, []run{{ID: "a"}}, "reported not-run but ran"},
		{"not-run while a concurrent retry ran", keyedOrder, []observation{observed("a", "not-run", ""), observed("b", "answered", echo("b", "sack"))}, []run{{ID: "b"}}, "reported not-run but ran"},
		{"retry after not-run", keyedOrder, []observation{observed("a", "not-run", ""), later}, []run{{ID: "b"}}, ""},
		{"response to another order", keyedOrder, []observation{observed("a", "answered", echo("a", "other"))}, []run{{ID: "a"}}, "not the response"},
		{"response without a run", keyedOrder, []observation{observed("a", "answered", echo("a", "sack"))}, nil, "not the response"},
		{"truncated response", keyedOrder, []observation{observed("a", "answered", `{"part":`)}, []run{{ID: "a"}}, "not the response"},
		{"another request's tokens", stream, []observation{observed("a", "answered", eventStream("x", 0, streamTokens, done))}, []run{{ID: "a"}}, "not the response"},
		{"lost event", stream, []observation{observed("a", "answered", eventStream("a", 1, streamTokens, done))}, []run{{ID: "a"}}, "not the response"},
		{"partial stream ended cleanly", stream, []observation{observed("a", "answered", eventStream("a", 0, 3, ""))}, []run{{ID: "a"}}, "no last event"},
		{"stream without an outcome", stream, []observation{observed("a", "", eventStream("a", 0, streamTokens, done))}, []run{{ID: "a"}}, "outcome"},
		{"broken stream", stream, []observation{truncated}, []run{{ID: "a"}}, ""},
		{"caller that waited too long", stream, []observation{timedOut}, nil, "hung"},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := test.history
			h.observations, h.runs = test.observations, test.runs
			violations := strings.Join(h.check(), "; ")
			if (violations == "") != (test.want == "") || !strings.Contains(violations, test.want) {
				t.Errorf("violations %q, want %q", violations, test.want)
			}
		})
	}
}
