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

// session records what callers and operators see, with names in place of values that change.
type session struct {
	t     *testing.T
	text  strings.Builder
	names map[string]string
}

var (
	requestIDs = regexp.MustCompile(`[0-9a-z]{12,13}-[a-z2-7]{26}`)
	keyTexts   = regexp.MustCompile(`"keys":\["([^"]+)"\]`)
	retryAfter = regexp.MustCompile(`(?m)^Retry-After: \d+$`)
)

func (s *session) show(title string, a answer, err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatalf("%s: %v", title, err)
	}
	fmt.Fprintf(&s.text, "## %s\n%d %s\n", title, a.status, http.StatusText(a.status))
	for _, name := range []string{"Content-Type", "Retry-After", entry.HeaderRequestID, entry.HeaderOutcome, "Primrosebeam-Replayed"} {
		for _, value := range a.header.Values(name) {
			fmt.Fprintf(&s.text, "%s: %s\n", name, value)
		}
	}
	fmt.Fprintf(&s.text, "\n%s\n", strings.TrimSpace(a.body))
	if a.err != nil {
		s.text.WriteString("-- broken connection\n")
	}
	if outcome := a.trailer.Get(entry.HeaderOutcome); outcome != "" {
		fmt.Fprintf(&s.text, "-- trailer %s: %s\n", entry.HeaderOutcome, outcome)
	}
	s.text.WriteString("\n")
}

// compare checks the session against its golden file.
func (s *session) compare(name string) {
	s.t.Helper()
	text := keyTexts.ReplaceAllString(s.text.String(), `"keys":["KEY"]`)
	text = retryAfter.ReplaceAllString(text, "Retry-After: SECONDS")
	s.names = map[string]string{}
	text = requestIDs.ReplaceAllStringFunc(text, func(id string) string {
		if s.names[id] == "" {
			s.names[id] = fmt.Sprintf("REQUEST-%d", len(s.names)+1)
		}
		return s.names[id]
	})
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			s.t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			s.t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		s.t.Fatal(err)
	}
	if text != string(want) {
		s.t.Errorf("session differs from %s:\n%s", path, text)
	}
}

// Guards against unnoticed changes of what callers see of keyed orders: minting, resend after the answer, lost owner.
func TestGoldenOrderWithKey(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{members: 3, plains: 1, control: 3, ledgers: 1})
	s := &session{t: t}
	minted, err := send(c.members[1].callers, http.MethodPost, "/v1/keys", smallToken, `{"count":1}`, nil)
	s.show("a key", minted, err)
	key := mint(t, c.members[1].callers)
	for _, title := range []string{"order", "resend after the answer"} {
		a, err := order(c.members[1].callers, key, "2 sacks")
		s.show(title, a, err)
	}
	a, err := order(c.members[2].callers, key, "3 sacks")
	s.show("same key for another order", a, err)
	a, err = send(c.members[2].callers, http.MethodGet, "/v1/keys/"+key, smallToken, "", nil)
	s.show("state of the key", a, err)
	c.plain().steer(standin.PathFaults, standin.Faults{TruncateResponse: true})
	lost := mint(t, c.members[1].callers)
	for _, title := range []string{"order whose answer breaks off", "resend after the lost answer"} {
		a, err := order(c.members[1].callers, lost, "4 sacks")
		s.show(title, a, err)
	}
	s.compare("order-with-key")
}

// Guards against unnoticed changes of what callers see of broken streams.
func TestGoldenStream(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{members: 1, models: 1})
	s := &session{t: t}
	for _, test := range []struct {
		title  string
		faults standin.Faults
	}{
		{"whole stream", standin.Faults{}},
		{"cut and resumed", standin.Faults{DisconnectAfterEvents: 2}},
		{"cut for good", standin.Faults{DisconnectAfterEvents: 2, NoResume: true}},
	} {
		c.engines[0].steer(standin.PathFaults, test.faults)
		a, err := send(c.members[0].callers, http.MethodPost, "/v1/chat/completions", smallToken, chatBody(4, true), nil)
		s.show(test.title, a, err)
	}
	s.compare("stream")
}

// Guards against unnoticed changes of what callers see in a flood and operators of a race and a drain.
func TestGoldenFloodAndRace(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{members: 1, plains: 1, control: 1, queue: 1, inFlight: 1})
	m := c.members[0]
	s := &session{t: t}
	c.plain().steer(standin.PathFaults, standin.Faults{Hold: standin.HoldFirst})
	var blockers sync.WaitGroup
	for n := range 2 {
		blockers.Go(func() { _, _ = order(m.callers, "", fmt.Sprintf("blocker %d", n)) })
		waitFor(t, "blockers", func() bool { return c.plain().counts().Held+m.waitingFor(t, "orders") > n })
	}
	a, err := order(m.callers, "", "one too many")
	s.show("shed", a, err)
	c.plain().steer(standin.PathFaults, standin.Faults{})
	blockers.Wait()
	base := m.version(t)
	var mu sync.Mutex
	var answers []string
	var racers sync.WaitGroup
	for n := range 2 {
		racers.Go(func() {
			answer, err := m.drain(t, fmt.Sprintf("race-%d", n), base, "plain-0", true)
			answer.ChangeID = ""
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, fmt.Sprintf("%+v, error: %v", answer, err))
		})
	}
	racers.Wait()
	sort.Strings(answers)
	fmt.Fprintf(&s.text, "## two operators drain at once\n%s\n\n", strings.Join(answers, "\n"))
	is.Equal(m.version(t), base+1)
	a, err = order(m.callers, "", "order without an engine")
	s.show("all engines drained", a, err)
	s.compare("flood-race-drain")
}
