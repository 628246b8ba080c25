package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

var testKey = []byte("0123456789abcdef0123456789abcdef")

// testTimeout limits every wait of a test; it is far longer than a wait takes on a busy machine.
const testTimeout = 15 * time.Second

type echo struct {
	Text string `cbor:"1,keyasint"`
}

type codedError struct{ code string }

func (e *codedError) Error() string { return "coded" }
func (e *codedError) Code() string  { return e.code }

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// startNodes starts nodes that are peers of each other. modify may change the options of each node, and prepare
// may register handlers.
func startNodes(t testing.TB, names []string, modify func(o *Options), prepare func(n *Node)) map[string]*Node {
	t.Helper()
	listeners := map[string]net.Listener{}
	peers := map[string]string{}
	for _, name := range names {
		listeners[name] = listen(t)
		peers[name] = listeners[name].Addr().String()
	}
	nodes := map[string]*Node{}
	for _, name := range names {
		o := Options{
			Name: name, DataCentre: "bern", Incarnation: 1, SharedKey: testKey, Listener: listeners[name], Peers: peers,
			AllowPartitions: true, Logger: zerolog.Nop(),
		}
		if modify != nil {
			modify(&o)
		}
		nodes[name] = startNode(t, o, prepare)
	}
	return nodes
}

func startNode(t testing.TB, o Options, prepare func(n *Node)) *Node {
	t.Helper()
	n, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	n.Handle("echo", func(_ context.Context, from Sender, body []byte) (any, error) {
		var e echo
		if err := Decode(body, &e); err != nil {
			return nil, err
		}
		return echo{Text: from.Name + ":" + e.Text}, nil
	})
	if prepare != nil {
		prepare(n)
	}
	done := make(chan error, 1)
	go func() { done <- n.Run(context.Background()) }()
	t.Cleanup(func() {
		_ = n.Close()
		if err := <-done; err != nil {
			t.Errorf("Run: %v", err)
		}
	})
	return n
}

// eventually fails the test if the condition does not become true within testTimeout.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within %s: %s", testTimeout, what)
}

func callEcho(n *Node, to string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reply echo
	err := n.Call(ctx, to, "echo", echo{Text: "x"}, &reply)
	return reply.Text, err
}

// Guards against replies that are delivered to the wrong call, and errors that lose their code.
func TestCallAndSend(t *testing.T) {
	is := is.New(t)
	var got atomic.Int64
	nodes := startNodes(t, []string{"a", "b"}, nil, func(n *Node) {
		n.Handle("fail", func(context.Context, Sender, []byte) (any, error) { return nil, &codedError{"x.stale"} })
		n.Handle("plain", func(context.Context, Sender, []byte) (any, error) { return nil, context.Canceled })
		n.Handle("count", func(context.Context, Sender, []byte) (any, error) { got.Add(1); return nil, nil })
	})
	for _, to := range []string{"a", "b"} { // "a" is the node itself
		var calls sync.WaitGroup
		for i := range 50 {
			calls.Add(1)
			go func() {
				defer calls.Done()
				var reply echo
				text := fmt.Sprint(i)
				err := nodes["a"].Call(t.Context(), to, "echo", echo{Text: text}, &reply)
				if err != nil || reply.Text != "a:"+text {
					t.Errorf("call %d to %s: %q, %v", i, to, reply.Text, err)
				}
			}()
		}
		calls.Wait()
		var remote *RemoteError
		is.True(errors.As(nodes["a"].Call(t.Context(), to, "fail", nil, nil), &remote))
		is.Equal(remote.Code, "x.stale")
		is.True(errors.As(nodes["a"].Call(t.Context(), to, "plain", nil, nil), &remote))
		is.Equal(remote.Code, CodeInternal)
		is.True(errors.As(nodes["a"].Call(t.Context(), to, "nothing", nil, nil), &remote))
		is.Equal(remote.Code, CodeNoHandler)
		before := got.Load()
		is.NoErr(nodes["a"].Send(to, "count", nil))
		eventually(t, "one-way message", func() bool { return got.Load() == before+1 })
	}
	var unknown *UnknownPeerError
	is.True(errors.As(nodes["a"].Send("z", "count", nil), &unknown))
	var long *TooLongError
	is.True(errors.As(nodes["a"].Send("b", "count", make([]byte, DefaultMaxFrameBytes)), &long))
	state := nodes["a"].State()
	is.Equal(len(state.Peers), 1)
	is.True(state.Peers[0].Connected && state.Peers[0].BytesIn > 0 && state.Peers[0].MessagesOut >= 53)
}

// Guards against a reply that is too long for a frame and fails more than its own call.
func TestLongReplyFailsOnlyItsCall(t *testing.T) {
	is := is.New(t)
	nodes := startNodes(t, []string{"a", "b"}, nil, func(n *Node) {
		n.Handle("long", func(context.Context, Sender, []byte) (any, error) {
			return make([]byte, 2*DefaultMaxFrameBytes), nil
		})
	})
	var remote *RemoteError
	is.True(errors.As(nodes["a"].Call(t.Context(), "b", "long", nil, nil), &remote))
	is.Equal(remote.Code, CodeTooLong)
	text, err := callEcho(nodes["a"], "b", testTimeout)
	is.NoErr(err)
	is.Equal(text, "a:x")
}

// Guards against a slow handler that blocks messages of other kinds or lets an unbounded number of calls wait.
func TestSlowHandlerDoesNotStopOtherKinds(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	var heartbeats, running, maxRunning atomic.Int64
	nodes := startNodes(t, []string{"a", "b"}, func(o *Options) {
		o.HandlersPerKind = 2
		o.QueuePerKind = 3
	}, func(n *Node) {
		n.Handle("slow", func(context.Context, Sender, []byte) (any, error) {
			maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
			<-release
			running.Add(-1)
			return nil, nil
		})
		n.Handle("beat", func(context.Context, Sender, []byte) (any, error) { heartbeats.Add(1); return nil, nil })
	})
	results := make(chan error, 10)
	for range 10 {
		go func() { results <- nodes["a"].Call(t.Context(), "b", "slow", nil, nil) }()
	}
	for range 5 { // Two calls run and three wait; the other five are refused immediately.
		var remote *RemoteError
		is.True(errors.As(<-results, &remote))
		is.Equal(remote.Code, CodeBusy)
	}
	for i := range int64(20) {
		is.NoErr(nodes["a"].Send("b", "beat", nil))
		eventually(t, "heartbeat during a slow handler", func() bool { return heartbeats.Load() == i+1 })
	}
	_, err := callEcho(nodes["a"], "b", testTimeout)
	is.NoErr(err)
	close(release)
	for range 5 {
		is.NoErr(<-results)
	}
	is.Equal(maxRunning.Load(), int64(2))
}

// Guards against one-way messages of a kind that are handled out of order.
func TestOneWayMessagesKeepTheirOrder(t *testing.T) {
	const messages = 200
	got := make(chan int, messages)
	nodes := startNodes(t, []string{"a", "b"}, nil, func(n *Node) {
		n.Handle("n", func(_ context.Context, _ Sender, body []byte) (any, error) {
			var i int
			err := Decode(body, &i)
			got <- i
			return nil, err
		})
	})
	for i := range messages {
		if err := nodes["a"].Send("b", "n", i); err != nil {
			t.Fatal(err)
		}
	}
	for i := range messages {
		if v := <-got; v != i {
			t.Fatalf("message %d arrived as number %d", v, i)
		}
	}
}

// Guards against a Send that blocks, or that loses messages without an error, when the peer is partitioned.
func TestFullQueue(t *testing.T) {
	is := is.New(t)
	nodes := startNodes(t, []string{"a", "b"}, func(o *Options) { o.RingCapacity = 4; o.MaxCalls = 2 }, nil)
	is.NoErr(nodes["a"].SetPartitioned("b", true))
	var full *FullError
	eventually(t, "full queue", func() bool { return errors.As(nodes["a"].Send("b", "echo", nil), &full) })
	is.Equal(full.Capacity, 4)
	// The limit is two outstanding calls; a third one is refused and never sent.
	nodes = startNodes(t, []string{"a", "b"}, func(o *Options) { o.MaxCalls = 2 }, nil)
	is.NoErr(nodes["a"].SetPartitioned("b", true))
	results := make(chan error, 2)
	for range 2 {
		go func() { results <- nodes["a"].Call(t.Context(), "b", "echo", echo{}, nil) }()
	}
	eventually(t, "two outstanding calls", func() bool {
		s := nodes["a"].State()
		return len(s.Peers) == 1 && s.Peers[0].Calls == 2
	})
	is.True(errors.As(nodes["a"].Call(t.Context(), "b", "echo", echo{}, nil), &full))
	is.Equal(full.Capacity, 2)
	for range 2 {
		var unreachable *UnreachableError
		is.True(errors.As(<-results, &unreachable))
		is.True(!unreachable.Sent) // The connection was never established.
	}
}

// Guards against a call that hangs, or reports that nothing was sent, when the peer stops responding without
// closing the connection.
func TestSilentPartitionIsDetected(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{}, 1)
	nodes := startNodes(t, []string{"a", "b"}, nil, func(n *Node) {
		n.Handle("hang", func(ctx context.Context, _ Sender, _ []byte) (any, error) {
			started <- struct{}{}
			<-ctx.Done()
			return nil, ctx.Err()
		})
	})
	result := make(chan error, 1)
	go func() { result <- nodes["a"].Call(context.Background(), "b", "hang", nil, nil) }()
	<-started
	partitionedAt := time.Now()
	is.NoErr(nodes["a"].SetPartitioned("b", true))
	var unreachable *UnreachableError
	is.True(errors.As(<-result, &unreachable))
	is.True(unreachable.Sent)
	t.Logf("partition detected after %s", time.Since(partitionedAt))
	eventually(t, "detection by the other side", func() bool {
		s := nodes["b"].State()
		return !s.Peers[0].Heard
	})
	_, err := callEcho(nodes["a"], "b", testTimeout)
	is.True(errors.As(err, &unreachable))
	is.True(!unreachable.Sent)
	is.NoErr(nodes["a"].SetPartitioned("b", false))
	eventually(t, "reconnection after the partition", func() bool {
		_, err := callEcho(nodes["a"], "b", testTimeout)
		return err == nil
	})
}

// Guards against late detection of an unresponsive peer: the sum of the intervals must stay under 3 s.
func TestSilentPeerDetectionTime(t *testing.T) {
	if receiveTimeout+monitorInterval >= 3*time.Second || receiveTimeout < 2*pingInterval {
		t.Fatal("an unresponsive peer would be detected too late, or a slow ping would cause a timeout")
	}
}

// Guards against a peer that stays unreachable after its restart, and against messages with its old
// incarnation.
func TestReconnectAfterRestart(t *testing.T) {
	is := is.New(t)
	lb := listen(t)
	address := lb.Addr().String()
	la := listen(t)
	peers := map[string]string{"a": la.Addr().String(), "b": address}
	a := startNode(t, Options{
		Name: "a", DataCentre: "bern", Incarnation: 1, SharedKey: testKey, Listener: la, Peers: peers,
	}, nil)
	options := Options{Name: "b", DataCentre: "bern", Incarnation: 1, SharedKey: testKey, Listener: lb, Peers: peers}
	b := startNode(t, options, nil)
	_, err := callEcho(a, "b", testTimeout)
	is.NoErr(err)
	is.NoErr(b.Close())
	eventually(t, "stop of b", func() bool {
		var unreachable *UnreachableError
		_, err := callEcho(a, "b", testTimeout)
		return errors.As(err, &unreachable) && !unreachable.Sent
	})
	options.Listener = nil
	options.ListenAddress = address
	options.Incarnation = 2
	startNode(t, options, nil)
	eventually(t, "reconnection to b", func() bool { _, err := callEcho(a, "b", testTimeout); return err == nil })
	is.Equal(a.State().Peers[0].Incarnation, uint64(2))
}

// Guards against a cancelled call that is sent later, or that is reported as not sent although it was sent.
func TestCancelledCall(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	nodes := startNodes(t, []string{"a", "b"}, nil, func(n *Node) {
		n.Handle("hang", func(context.Context, Sender, []byte) (any, error) { <-release; return nil, nil })
	})
	defer close(release)
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- nodes["a"].Call(ctx, "b", "hang", nil, nil) }()
	eventually(t, "call sent", func() bool {
		s := nodes["a"].State()
		return len(s.Peers) == 1 && s.Peers[0].MessagesOut == 1
	})
	cancel()
	var cancelled *CancelledError
	is.True(errors.As(<-result, &cancelled))
	is.True(cancelled.Sent && errors.Is(cancelled, context.Canceled))

	is.NoErr(nodes["b"].SetPartitioned("a", true))
	ctx, cancel = context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	is.True(errors.As(nodes["b"].Call(ctx, "a", "hang", nil, nil), &cancelled))
	is.True(!cancelled.Sent)
	is.Equal(nodes["b"].State().Peers[0].Calls, 0)
}

// Guards against a graceful stop that loses queued messages or interrupts a running call.
func TestCloseIsGraceful(t *testing.T) {
	is := is.New(t)
	var got atomic.Int64
	entered := make(chan struct{})
	release := make(chan struct{})
	nodes := startNodes(t, []string{"a", "b"}, func(o *Options) { o.CloseTimeout = testTimeout }, func(n *Node) {
		n.Handle("count", func(context.Context, Sender, []byte) (any, error) { got.Add(1); return nil, nil })
		n.Handle("wait", func(context.Context, Sender, []byte) (any, error) { close(entered); <-release; return nil, nil })
	})
	result := make(chan error, 1)
	go func() { result <- nodes["a"].Call(context.Background(), "b", "wait", nil, nil) }()
	<-entered
	for range 100 {
		is.NoErr(nodes["a"].Send("b", "count", nil))
	}
	closed := make(chan error, 1)
	go func() { closed <- nodes["a"].Close() }()
	eventually(t, "refusal of new messages", func() bool {
		var refused *ClosedError
		return errors.As(nodes["a"].Send("b", "count", nil), &refused)
	})
	close(release)
	is.NoErr(<-result)
	is.NoErr(<-closed)
	eventually(t, "handling of all queued messages", func() bool { return got.Load() >= 100 })
}

// Guards against invalid options that are accepted and fail only later, and against a simulated partition
// in production.
func TestOptionsAreValidated(t *testing.T) {
	is := is.New(t)
	valid := Options{Name: "a", DataCentre: "bern", SharedKey: testKey, ListenAddress: "127.0.0.1:0"}
	for _, change := range []func(o *Options){
		func(o *Options) { o.Name = "" },
		func(o *Options) { o.Name = strings.Repeat("a", 65) },
		func(o *Options) { o.DataCentre = "a b" },
		func(o *Options) { o.SharedKey = testKey[:15] },
		func(o *Options) { o.ListenAddress = "localhost:1" },
		func(o *Options) { o.Peers = map[string]string{"b": "host.example:1"} },
	} {
		o := valid
		change(&o)
		_, err := New(o)
		var invalid *OptionsError
		is.True(errors.As(err, &invalid))
	}
	n, err := New(valid)
	is.NoErr(err)
	var disabled *PartitionsDisabledError
	is.True(errors.As(n.SetPartitioned("b", true), &disabled))
}

// Guards against writing the shared key to a log line or a state dump.
func TestKeyIsNotLogged(t *testing.T) {
	var log bytes.Buffer
	var mu sync.Mutex
	writer := writerFunc(func(p []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return log.Write(p)
	})
	nodes := startNodes(t, []string{"a", "b"}, func(o *Options) {
		o.Logger = zerolog.New(writer)
		if o.Name == "a" {
			o.SharedKey = []byte("another key that is long enough")
		}
	}, nil)
	_, err := callEcho(nodes["a"], "b", testTimeout)
	if err == nil {
		t.Fatal("a different key was accepted")
	}
	eventually(t, "a log line", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return strings.Contains(log.String(), "wrong-key")
	})
	mu.Lock()
	defer mu.Unlock()
	if text := log.String() + fmt.Sprintf("%+v", nodes["a"].State()); strings.Contains(text, "another key") {
		t.Fatal("the log or the state dump contains the key")
	}
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
