package poll_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/internal/poll"
	"github.com/primrosebeam/primrosebeam/internal/standin"
	"github.com/primrosebeam/primrosebeam/internal/upstream"
	"github.com/primrosebeam/primrosebeam/scheduler"
)

// recorder records the last engine state, the load reports and the cache events delivered, and counts all events.
type recorder struct {
	mu          sync.Mutex
	state       scheduler.EngineState
	unreachable int // states in which the engine did not respond
	loads       []scheduler.LoadReport
	caches      []scheduler.CacheEvents
	events      int
}

func (r *recorder) deliver(e scheduler.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events++
	switch e := e.(type) {
	case scheduler.EngineState:
		r.state = e
		if !e.Reachable {
			r.unreachable++
		}
	case scheduler.LoadReport:
		r.loads = append(r.loads, e)
	case scheduler.CacheEvents:
		r.caches = append(r.caches, e)
	}
}

func (r *recorder) cacheEvents() []scheduler.CacheEvents {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.caches)
}

func (r *recorder) last() scheduler.EngineState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

func start(t testing.TB, url string, interval time.Duration, selected func(string) bool) (*poll.Manager, *recorder) {
	r := &recorder{}
	m := poll.New(poll.Options{
		Upstream: upstream.New(), Interval: interval, IsPolled: selected, Deliver: r.deliver,
		Logger: zerolog.New(io.Discard), Metrics: metrics.NewSet(),
	})
	m.SetTargets([]poll.Target{{Name: "e", URL: url, HasPrefixCache: true}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return m, r
}

func eventually(t *testing.T, what string, ready func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ready(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// Guards against a leaving or unreachable engine that is not reported to the scheduler.
func TestLeavingAndUnreachableAreReported(t *testing.T) {
	engine := standin.NewModel(standin.ModelOptions{})
	server := httptest.NewServer(engine)
	_, r := start(t, server.URL, 10*time.Millisecond, nil)
	eventually(t, "a reachable engine", func() bool { return r.last().Reachable })
	engine.SetLeaving(true)
	eventually(t, "a leaving engine", func() bool { return r.last().Leaving })
	server.CloseClientConnections()
	server.Close()
	eventually(t, "an unreachable engine", func() bool { return !r.last().Reachable })
}

// Guards against cache changes that are lost, repeated or misnumbered between polls.
func TestCacheChangesAreDeliveredOnce(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(standin.NewModel(standin.ModelOptions{}))
	defer server.Close()
	_, r := start(t, server.URL, 10*time.Millisecond, nil)
	for n := range 3 {
		body := fmt.Sprintf(`{"model":"m","max_tokens":1,"messages":[{"role":"user","content":"%d%s"}]}`, n, strings.Repeat("long prompt ", 100))
		for range 2 { // the second request finds the whole prompt cached
			response, err := http.Post(server.URL+"/v1/chat/completions", "application/json", strings.NewReader(body))
			is.NoErr(err)
			response.Body.Close()
		}
		eventually(t, "the change", func() bool { return len(r.cacheEvents()) == n+1 })
	}
	time.Sleep(50 * time.Millisecond)
	for n, event := range r.cacheEvents() {
		is.Equal(event.First, uint64(n+1))
		is.True(len(event.Changes[0].Stored) > 3)
	}
}

// Guards against a plain service without a lifecycle or metrics that counts as unreachable and gets no
// requests.
func TestServiceWithoutLifecycleIsReachable(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	_, r := start(t, server.URL, 10*time.Millisecond, nil)
	eventually(t, "a reachable service", func() bool { return r.last().Reachable })
}

// Guards against an instance that polls engines that others poll, and against a leaving engine whose own
// notice has no effect until the next regular poll.
func TestOnlySelectedEnginesArePolledExceptOnRequest(t *testing.T) {
	is := is.New(t)
	engine := standin.NewModel(standin.ModelOptions{})
	server := httptest.NewServer(engine)
	defer server.Close()
	m, r := start(t, server.URL, 10*time.Millisecond, func(string) bool { return false })
	time.Sleep(100 * time.Millisecond)
	is.Equal(r.last(), scheduler.EngineState{})
	engine.SetLeaving(true)
	m.PollNow("e")
	eventually(t, "the requested poll", func() bool { return r.last().Leaving })
}

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: &l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkPoll reports the bytes and the processor time of one poll, including the processor time of the
// stand-in.
func BenchmarkPoll(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	counting := &countingListener{Listener: listener}
	server := &http.Server{Handler: standin.NewModel(standin.ModelOptions{}), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(counting) }()
	defer server.Close()
	_, r := start(b, "http://"+listener.Addr().String(), time.Millisecond, nil)
	count := func() int {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.events / 2 // each poll delivers a state and a load report
	}
	for count() == 0 {
		time.Sleep(time.Millisecond)
	}
	polls, bytes, processor := count(), counting.bytes.Load(), processorTime(b)
	for b.Loop() {
		time.Sleep(100 * time.Millisecond)
	}
	n := float64(count() - polls)
	b.ReportMetric(float64(counting.bytes.Load()-bytes)/n, "bytes/poll")
	b.ReportMetric(float64((processorTime(b)-processor).Microseconds())/n, "cpu-us/poll")
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Guards against an engine whose leaving notice is missed, or whose load seems to be 0, because it repeats its responses.
func TestCopyOfResponseIsNoReport(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	leaving, previous := false, map[net.Conn]string{}
	engine, err := standin.StartRawEngine("127.0.0.1:0", func(c net.Conn, r *http.Request, _ int) bool {
		mu.Lock()
		body := map[string]string{
			"/v1/lifecycle": fmt.Sprintf(`{"incarnation":7,"leaving":%v}`, leaving), "/metrics": "engine_num_requests_running 3\n",
		}[r.URL.Path]
		unasked := previous[c]
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		previous[c] = response
		mu.Unlock()
		if unasked != "" {
			io.WriteString(c, unasked) // a failure shows at the next write
			time.Sleep(5 * time.Millisecond)
		}
		_, err := io.WriteString(c, response)
		return err == nil
	})
	is.NoErr(err)
	defer engine.Close()
	_, r := start(t, "http://"+engine.Address(), 20*time.Millisecond, nil)
	eventually(t, "a report", func() bool { return r.loadReports() > 0 })
	mu.Lock()
	leaving = true
	mu.Unlock()
	eventually(t, "a leaving engine", func() bool { return r.last().Leaving })
	reports := r.loadReports()
	eventually(t, "further reports", func() bool { return r.loadReports() >= reports+10 })
	is.True(r.last().Leaving)
	is.Equal(r.last().Incarnation, uint64(7))
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, load := range r.loads {
		is.Equal(load.Running, 3)
	}
	is.Equal(r.unreachable, 0)
}

func (r *recorder) loadReports() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.loads)
}
