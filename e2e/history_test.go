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

// hangBound is the longest that a caller may wait: a resend joins a first attempt for up to 30 s and
// asks the owner of the key for up to 2 s before and after. The rest is for a busy machine.
const maxCallerWait = 40 * time.Second

// streamTokens is the length of each completion of the matrix.
const streamTokens = 6

// kind is one class of request of the matrix.
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

// observation is what one caller saw of one send.
type observation struct {
	callerResponse
	sendErr  error // no answer at all
	instance string
	started  time.Time
	finished time.Time
}

// history is everything that is known of one piece of work after all sends have ended.
type history struct {
	kind          kind
	work          string
	target        string
	observations  []observation
	runs          []run
	responsesLost bool // the owner of the key lost its disk, so stored answers are gone
}

// send makes one attempt and records what its caller saw.
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

// looksWhole reports whether a caller takes the answer for the engine's whole one.
func (o observation) looksComplete() bool {
	return o.sendErr == nil && o.err == nil && o.status == http.StatusOK
}

func (o observation) String() string {
	return fmt.Sprintf("%s: status %d outcome %q after %s, failed %v, read %v, body %.200q",
		o.instance, o.status, outcomeOf(o.callerResponse), o.finished.Sub(o.started).Round(time.Millisecond), o.sendErr, o.err, o.body)
}

// check returns every breach of an invariant that the history shows.
func (h *history) check() []string {
	violations := h.checkRuns()
	for _, o := range h.observations {
		if o.finished.Sub(o.started) >= maxCallerWait {
			violations = append(violations, "hung: "+o.String())
		}
		if o.looksComplete() {
			if err := h.checkComplete(o); err != nil {
				violations = append(violations, fmt.Sprintf("answer looks whole and is not: %v: %s", err, o))
			}
		}
		if o.sendErr == nil && outcomeOf(o.callerResponse) == string(entry.OutcomeNotRun) && h.ranDespite(o) {
			violations = append(violations, "told not-run and ran: "+o.String())
		}
	}
	return violations
}

// checkRuns counts starts: one in all for a key, at most one for each send without a key.
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

// ranUnder reports whether the work ran although o was told that it did not and would not. Only a
// send that began after that answer is a new wish of the caller and may run.
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

// checkWhole compares an answer with what the engine made of this very work.
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
	return errors.New("not the answer of any run of this request")
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

// superseded reports whether a waiting send lost its claim to the caller's own resend, which got the whole answer.
func (h *history) superseded(o observation) bool {
	return h.kind.keyed && strings.Contains(o.body, "urn:primrosebeam:problem:superseded") &&
		slices.ContainsFunc(h.observations, func(other observation) bool {
			return other.looksComplete() && other.started.Before(o.finished)
		})
}

// replayed returns a whole answer that was told under a key and must be given again, if there is one.
func (h *history) replayableResponse() (body string, found bool) {
	for _, o := range h.observations {
		if h.kind.keyed && !h.responsesLost && o.looksComplete() {
			return o.body, true
		}
	}
	return "", false
}

// Guards against checkers that pass whatever they see: each hand-made history breaks one invariant.
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
		want         string // part of the breach; empty when the history is allowed
	}{
		{"whole answer", keyedOrder, []observation{observed("a", "answered", echo("a", "sack"))}, []run{{ID: "a"}}, ""},
		{"replayed answer", keyedOrder, []observation{observed("a", "answered", echo("a", "sack")), observed("c", "answered", echo("a", "sack"))}, []run{{ID: "a"}}, ""},
		{"order ran twice", keyedOrder, []observation{observed("a", "undetermined", ""), observed("b", "answered", echo("b", "sack"))}, []run{{ID: "a"}, {ID: "b"}}, "2 runs"},
		{"one ID dispatched twice", stream, []observation{truncated, truncated}, []run{{ID: "a"}, {ID: "a"}}, "dispatched twice"},
		{"not-run that ran", keyedOrder, []observation{observed("a", "not-run", "")}, []run{{ID: "a"}}, "told not-run"},
		{"not-run while a concurrent resend ran", keyedOrder, []observation{observed("a", "not-run", ""), observed("b", "answered", echo("b", "sack"))}, []run{{ID: "b"}}, "told not-run"},
		{"sent again after not-run", keyedOrder, []observation{observed("a", "not-run", ""), later}, []run{{ID: "b"}}, ""},
		{"answer of another order", keyedOrder, []observation{observed("a", "answered", echo("a", "other"))}, []run{{ID: "a"}}, "not the answer"},
		{"answer without a run", keyedOrder, []observation{observed("a", "answered", echo("a", "sack"))}, nil, "not the answer"},
		{"truncated answer", keyedOrder, []observation{observed("a", "answered", `{"part":`)}, []run{{ID: "a"}}, "not the answer"},
		{"another request's tokens", stream, []observation{observed("a", "answered", eventStream("x", 0, streamTokens, done))}, []run{{ID: "a"}}, "not the answer"},
		{"lost event", stream, []observation{observed("a", "answered", eventStream("a", 1, streamTokens, done))}, []run{{ID: "a"}}, "not the answer"},
		{"partial stream ended cleanly", stream, []observation{observed("a", "answered", eventStream("a", 0, 3, ""))}, []run{{ID: "a"}}, "no last event"},
		{"stream without an outcome", stream, []observation{observed("a", "", eventStream("a", 0, streamTokens, done))}, []run{{ID: "a"}}, "outcome"},
		{"broken stream", stream, []observation{truncated}, []run{{ID: "a"}}, ""},
		{"hung caller", stream, []observation{timedOut}, nil, "hung"},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := test.history
			h.observations, h.runs = test.observations, test.runs
			violations := strings.Join(h.check(), "; ")
			if (violations == "") != (test.want == "") || !strings.Contains(violations, test.want) {
				t.Errorf("breaches %q, want %q", violations, test.want)
			}
		})
	}
}
