package e2e

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/internal/entry"
	"github.com/primrosebeam/primrosebeam/internal/standin"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// transcript records the responses that callers and operators get. In the golden file, placeholders replace
// the values that differ between runs.
type transcript struct {
	t            *testing.T
	text         strings.Builder
	placeholders map[string]string
}

var (
	requestIDPattern  = regexp.MustCompile(`[0-9a-z]{12,13}-[a-z2-7]{26}`)
	keysPattern       = regexp.MustCompile(`"keys":\["([^"]+)"\]`)
	retryAfterPattern = regexp.MustCompile(`(?m)^Retry-After: \d+$`)
)

// record adds the status, the main headers, the body and the trailer of a response.
func (tr *transcript) record(title string, response callerResponse, err error) {
	tr.t.Helper()
	if err != nil {
		tr.t.Fatalf("%s: %v", title, err)
	}
	fmt.Fprintf(&tr.text, "## %s\n%d %s\n", title, response.status, http.StatusText(response.status))
	for _, name := range []string{"Content-Type", "Retry-After", entry.HeaderRequestID, entry.HeaderOutcome, "Primrosebeam-Replayed"} {
		for _, value := range response.header.Values(name) {
			fmt.Fprintf(&tr.text, "%s: %s\n", name, value)
		}
	}
	fmt.Fprintf(&tr.text, "\n%s\n", strings.TrimSpace(response.body))
	if response.err != nil {
		tr.text.WriteString("-- broken connection\n")
	}
	if outcome := response.trailer.Get(entry.HeaderOutcome); outcome != "" {
		fmt.Fprintf(&tr.text, "-- trailer %s: %s\n", entry.HeaderOutcome, outcome)
	}
	tr.text.WriteString("\n")
}

// compareWithGolden checks the transcript against its golden file.
func (tr *transcript) compareWithGolden(name string) {
	tr.t.Helper()
	text := keysPattern.ReplaceAllString(tr.text.String(), `"keys":["KEY"]`)
	text = retryAfterPattern.ReplaceAllString(text, "Retry-After: SECONDS")
	tr.placeholders = map[string]string{}
	text = requestIDPattern.ReplaceAllStringFunc(text, func(id string) string {
		if tr.placeholders[id] == "" {
			tr.placeholders[id] = fmt.Sprintf("REQUEST-%d", len(tr.placeholders)+1)
		}
		return tr.placeholders[id]
	})
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			tr.t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			tr.t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		tr.t.Fatal(err)
	}
	if text != string(want) {
		tr.t.Errorf("transcript differs from %s:\n%s", path, text)
	}
}

// TestGoldenOrderWithKey guards against unnoticed changes of the responses to orders with a key: issuing a key,
// a retry after the response, another order under the same key, and a retry after a truncated response.
func TestGoldenOrderWithKey(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{members: 3, plainEngines: 1, control: 3, ledgers: 1})
	tr := &transcript{t: t}
	minted, err := send(c.members[1].callerAddress, http.MethodPost, "/v1/keys", smallToken, `{"count":1}`, nil)
	tr.record("a key", minted, err)
	key := mintKey(t, c.members[1].callerAddress)
	for _, title := range []string{"order", "resend after the answer"} {
		response, err := sendOrder(c.members[1].callerAddress, key, "2 sacks")
		tr.record(title, response, err)
	}
	response, err := sendOrder(c.members[2].callerAddress, key, "3 sacks")
	tr.record("same key for another order", response, err)
	response, err = send(c.members[2].callerAddress, http.MethodGet, "/v1/keys/"+key, smallToken, "", nil)
	tr.record("state of the key", response, err)
	c.plainEngine().put(standin.PathFaults, standin.Faults{TruncateResponse: true})
	lostKey := mintKey(t, c.members[1].callerAddress)
	for _, title := range []string{"order whose answer breaks off", "resend after the lost answer"} {
		response, err := sendOrder(c.members[1].callerAddress, lostKey, "4 sacks")
		tr.record(title, response, err)
	}
	tr.compareWithGolden("order-with-key")
}

// TestGoldenStream guards against unnoticed changes of the responses to complete, resumed and broken streams.
func TestGoldenStream(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{members: 1, modelEngines: 1})
	tr := &transcript{t: t}
	for _, test := range []struct {
		title  string
		faults standin.Faults
	}{
		{"whole stream", standin.Faults{}},
		{"cut and resumed", standin.Faults{DisconnectAfterEvents: 2}},
		{"cut for good", standin.Faults{DisconnectAfterEvents: 2, NoResume: true}},
	} {
		c.engines[0].put(standin.PathFaults, test.faults)
		response, err := send(c.members[0].callerAddress, http.MethodPost, "/v1/chat/completions", smallToken, chatBody(4, true), nil)
		tr.record(test.title, response, err)
	}
	tr.compareWithGolden("stream")
}

// TestGoldenFloodAndConcurrentDrains guards against unnoticed changes of the responses to a shed request, to
// concurrent drain changes of two operators and to a request without an available engine.
func TestGoldenFloodAndConcurrentDrains(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{members: 1, plainEngines: 1, control: 1, queueLimit: 1, maxInFlight: 1})
	m := c.members[0]
	tr := &transcript{t: t}
	c.plainEngine().put(standin.PathFaults, standin.Faults{Hold: standin.HoldFirst})
	var blockers sync.WaitGroup
	for n := range 2 {
		blockers.Go(func() { _, _ = sendOrder(m.callerAddress, "", fmt.Sprintf("blocker %d", n)) })
		waitFor(t, "blockers", func() bool { return c.plainEngine().counts().Held+m.waitingFor(t, "orders") > n })
	}
	response, err := sendOrder(m.callerAddress, "", "one too many")
	tr.record("shed", response, err)
	c.plainEngine().put(standin.PathFaults, standin.Faults{})
	blockers.Wait()
	base := m.version(t)
	var mu sync.Mutex
	var results []string
	var drains sync.WaitGroup
	for n := range 2 {
		drains.Go(func() {
			result, err := m.drain(t, fmt.Sprintf("race-%d", n), base, "plain-0", true)
			result.ChangeID = ""
			mu.Lock()
			defer mu.Unlock()
			results = append(results, fmt.Sprintf("%+v, error: %v", result, err))
		})
	}
	drains.Wait()
	sort.Strings(results)
	fmt.Fprintf(&tr.text, "## two operators drain at once\n%s\n\n", strings.Join(results, "\n"))
	is.Equal(m.version(t), base+1)
	response, err = sendOrder(m.callerAddress, "", "order without an engine")
	tr.record("all engines drained", response, err)
	tr.compareWithGolden("flood-race-drain")
}
