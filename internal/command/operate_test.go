package command_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/command"
	"github.com/primrosebeam/primrosebeam/internal/control"
	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/internal/operator"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// singleReplica is a consensus log with one replica, which is the leader. While blocked is set, proposals
// wait until their context ends.
type singleReplica struct {
	store   *configuration.Store
	blocked atomic.Bool
}

func (r *singleReplica) Propose(ctx context.Context, data []byte) (any, error) {
	if r.blocked.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return r.store.Apply(0, data), nil
}

func (r *singleReplica) Barrier(context.Context) error { return nil }
func (r *singleReplica) Leader() (string, bool)        { return "b1", true }

type noPeers struct{}

func (noPeers) Send(to string, _ link.Kind, _ any) error { return &link.UnknownPeerError{Peer: to} }
func (noPeers) Call(_ context.Context, to string, _ link.Kind, _, _ any) error {
	return &link.UnknownPeerError{Peer: to}
}

// shortTiming ends the one blocked submission sooner than the default timing. The other submissions take
// milliseconds, so these timeouts are long enough on a busy machine, too.
var shortTiming = control.Timing{SubmitTimeout: 4 * time.Second, ProposeTimeout: 2 * time.Second}

// startInstance serves the operators' interface of one instance that is its only control replica.
// After dropResponse is set, the response to the next POST is lost.
func startInstance(t *testing.T) (server *httptest.Server, replica *singleReplica, dropResponse *atomic.Bool) {
	t.Helper()
	c, err := control.New(control.Options{
		Name: "b1", DataCentre: "bern", Replicas: []control.Peer{{Name: "b1", DataCentre: "bern"}}, Caller: noPeers{},
		Members:    func() []control.Member { return []control.Member{{Name: "b1", DataCentre: "bern", Live: true}} },
		Neighbours: func() []string { return nil },
		OnVersion:  func(configuration.Version, *configuration.Document) {},
		NotLeader:  func(error) (string, bool) { return "", false },
		Timing:     shortTiming,
	})
	if err != nil {
		t.Fatal(err)
	}
	replica = &singleReplica{store: c.Store()}
	c.Attach(replica)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	h, err := operator.New(operator.Options{
		Instance: "b1", DataCentre: "bern", Token: "secret", Control: c,
		Ready: func() (bool, string) { return c.Version() > 0, "no configuration yet" },
		Dump:  map[string]func() any{"control": func() any { return c.State() }},
	})
	if err != nil {
		t.Fatal(err)
	}
	dropResponse = &atomic.Bool{}
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && dropResponse.CompareAndSwap(true, false) {
			h.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	}))
	t.Cleanup(func() {
		server.Close()
		cancel()
		<-done
	})
	return server, replica, dropResponse
}

// normalizations replace text that differs between runs: addresses, generated IDs, and times and ports in
// errors.
var normalizations = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`127\.0\.0\.1:\d{4,5}->127\.0\.0\.1:\d{4,5}`), "CONNECTION"},
	{regexp.MustCompile(`http://127\.0\.0\.1:[1-9]\d{4}`), "SERVER"},
	{regexp.MustCompile(`127\.0\.0\.1:[1-9]\d{4}`), "SERVER"},
	{regexp.MustCompile(`\b[A-Z2-7]{26}\b`), "GENERATED"},
	{regexp.MustCompile(`(no usable answer: ).*`), "${1}LOST"},
}

// Guards against unintended changes of output and exit codes, on which operators' scripts depend; against a
// lost response that is reported as success or failure; and against a retried change that is evaluated a
// second time.
func TestOperatorCommandsMatchGoldenFile(t *testing.T) {
	is := is.New(t)
	server, replica, dropResponse := startInstance(t)
	tokenFile := filepath.Join(t.TempDir(), "token")
	is.NoErr(os.WriteFile(tokenFile, []byte("secret\n"), 0o600))
	var got bytes.Buffer
	run := func(line string) {
		args := strings.Fields(line)
		fmt.Fprintf(&got, "$ primrosebeam %s\n", line)
		if args[0] != "check" {
			args = append([]string{args[0], "-server", server.URL, "-token-file", tokenFile}, args[1:]...)
		}
		var stdout, stderr bytes.Buffer
		code := command.Main(args, &stdout, &stderr)
		fmt.Fprintf(&got, "%s%sexit %d\n\n", &stderr, &stdout, code)
	}
	t.Setenv("USER", "")
	run("check -configuration testdata/faulty.hujson")
	run("check -configuration testdata/first.hujson")
	run("check -configuration testdata/missing.hujson")
	run("check")
	run("get")
	run("apply -base 0 testdata/faulty.hujson")
	run("apply testdata/first.hujson")
	run("apply -base 0 -change-id first testdata/first.hujson")
	run("apply -base 0 -change-id first testdata/first.hujson")
	run("apply -base 0 -change-id second testdata/first.hujson")
	run("apply -base 1 -change-id first testdata/first.hujson")
	run("get")
	run("label o1 hardware=new zone=a")
	run("label o1 zone- nonsense")
	run("label o1 app-")
	run("label -change-id third o1 zone-")
	run("drain o9")
	dropResponse.Store(true)
	run("drain -base 2 -change-id fourth o1")
	run("drain -base 2 -change-id fourth o1")
	run("status -change-id fourth")
	run("drain -off o1")
	replica.blocked.Store(true)
	run("drain o1")
	replica.blocked.Store(false)
	run("status -change-id never")
	run("status")
	text := got.String()
	for _, n := range normalizations {
		text = n.pattern.ReplaceAllString(text, n.text)
	}
	if *update {
		is.NoErr(os.WriteFile("testdata/session.golden", []byte(text), 0o644))
	}
	want, err := os.ReadFile("testdata/session.golden")
	is.NoErr(err)
	is.Equal(text, string(want))
}

// Guards against a command that runs without a token or a server URL, or that succeeds when no server is
// listening.
func TestMissingTokenOrServerFails(t *testing.T) {
	is := is.New(t)
	run := func(args ...string) int {
		var stdout, stderr bytes.Buffer
		return command.Main(args, &stdout, &stderr)
	}
	t.Setenv("PRIMROSEBEAM_TOKEN", "")
	is.Equal(run("get", "-server", "http://127.0.0.1:1"), command.ExitUsage)
	t.Setenv("PRIMROSEBEAM_TOKEN", "secret")
	is.Equal(run("get"), command.ExitUsage)
	is.Equal(run("get", "-unknown"), command.ExitUsage)
	is.Equal(run("get", "-server", "http://127.0.0.1:1"), command.ExitFailure)
	is.Equal(run("drain", "-server", "http://127.0.0.1:1", "-base", "1", "o1"), command.ExitFailure) // not sent
	server, _, _ := startInstance(t)
	t.Setenv("PRIMROSEBEAM_TOKEN", "wrong")
	is.Equal(run("dump", "-server", server.URL), command.ExitFailure)
	t.Setenv("PRIMROSEBEAM_TOKEN", "secret")
	is.Equal(run("dump", "-server", server.URL), command.ExitSuccess)
}
