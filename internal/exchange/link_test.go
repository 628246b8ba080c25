package exchange

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/membership"
	"github.com/primrosebeam/primrosebeam/scheduler"
)

// member is one instance with a real link and a running duty.
type member struct {
	node *link.Node
	duty *Exchange
	stop func() // planned stop: duty first, then link

	mu  sync.Mutex
	got []scheduler.Event
}

func (m *member) has(match func(e scheduler.Event) bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.got {
		if match(e) {
			return true
		}
	}
	return false
}

func (m *member) state(name string) membership.State {
	for _, i := range m.duty.Instances() {
		if i.Name == name {
			return i.State
		}
	}
	return membership.StateUnknown
}

func startMembers(t *testing.T, names ...string) map[string]*member {
	t.Helper()
	listeners := map[string]net.Listener{}
	peers := map[string]string{}
	var seeds []membership.Hint
	for _, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[name] = l
		peers[name] = l.Addr().String()
		seeds = append(seeds, membership.Hint{Name: name})
	}
	members := map[string]*member{}
	for n, name := range names {
		centre := fmt.Sprint("dc", n%3)
		node, err := link.New(link.Options{
			Name: name, DataCentre: centre, Incarnation: 1, SharedKey: []byte("0123456789abcdef"), Listener: listeners[name],
			Peers: peers, AllowPartitions: true, Logger: zerolog.Nop(),
		})
		if err != nil {
			t.Fatal(err)
		}
		m := &member{node: node}
		m.duty, err = New(Options{
			Name: name, DataCentre: centre, Incarnation: 1, Seeds: seeds, Caller: node, Logger: zerolog.Nop(),
			Deliver: func(e scheduler.Event) {
				m.mu.Lock()
				defer m.mu.Unlock()
				m.got = append(m.got, e)
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		m.duty.Register(node.Handle)
		nodeDone, dutyDone := make(chan error, 1), make(chan error, 1)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { nodeDone <- node.Run(context.Background()) }()
		go func() { dutyDone <- m.duty.Run(ctx) }()
		m.stop = sync.OnceFunc(func() {
			cancel()
			if err := <-dutyDone; err != nil {
				t.Error(err)
			}
			_ = node.Close()
			if err := <-nodeDone; err != nil {
				t.Error(err)
			}
		})
		t.Cleanup(m.stop)
		members[name] = m
	}
	return members
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	const patience = 20 * time.Second // far above what a busy machine needs
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within %s: %s", patience, what)
}

// Guards the wiring over real links: finding each other, loads and leaves that arrive, a silent
// partition that is noticed and healed, and a planned stop that is announced before the links close.
func TestOverLinks(t *testing.T) {
	names := []string{"a", "b", "c"}
	members := startMembers(t, names...)
	everywhere := func(of string, s membership.State) func() bool {
		return func() bool {
			for _, name := range names {
				if name != of && members[name].state(of) != s {
					return false
				}
			}
			return true
		}
	}
	for _, name := range names {
		eventually(t, name+" is alive", everywhere(name, membership.StateAlive))
	}
	if err := members["a"].duty.PublishSummary(map[string]scheduler.PeerLoad{"e": {InFlight: 2}}); err != nil {
		t.Fatal(err)
	}
	if err := members["a"].duty.LeaveEngine("e", 9); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"b", "c"} {
		eventually(t, "summary at "+name, func() bool {
			return members[name].has(func(e scheduler.Event) bool {
				s, ok := e.(scheduler.PeerSummary)
				return ok && s.Instance == "a" && s.Engines["e"].InFlight == 2
			})
		})
		eventually(t, "leaving engine at "+name, func() bool {
			return members[name].has(func(e scheduler.Event) bool {
				s, ok := e.(scheduler.EngineState)
				return ok && s.Engine == "e" && s.Incarnation == 9 && s.Leaving
			})
		})
	}
	for _, cut := range []bool{true, false} {
		for _, peer := range []string{"a", "b"} {
			if err := members["c"].node.SetPartitioned(peer, cut); err != nil {
				t.Fatal(err)
			}
		}
		state := membership.StateAlive
		if cut {
			state = membership.StateFailed
		}
		eventually(t, fmt.Sprint("c after cut ", cut), everywhere("c", state))
		eventually(t, fmt.Sprint("a at c after cut ", cut), func() bool { return members["c"].state("a") == state })
	}
	members["a"].stop()
	names = []string{"b", "c"}
	eventually(t, "the leave of a", everywhere("a", membership.StateLeaving))
}

// Guards against an exchange that uses more than 30 KB/s, the stated target, when every load changes all the time.
func TestBytesUnderConstantChange(t *testing.T) {
	h := settledHub(t, 60, 5)
	const duration = 3 * time.Second
	changeEverything(h, duration)
	highest := 0
	for _, n := range h.bytes {
		highest = max(highest, n)
	}
	rate := float64(highest) / duration.Seconds()
	t.Logf("60 instances, 60 engines: %.0f bytes/s sent plus received at the busiest", rate)
	if rate > 30_000 {
		t.Errorf("%.0f bytes/s", rate)
	}
}

// changeEverything changes all loads four times per second, and lets each engine be reported once per second.
func changeEverything(h *hub, d time.Duration) {
	const step = 250 * time.Millisecond
	for n := range int(d / step) {
		for i, name := range h.names {
			loads := map[string]scheduler.PeerLoad{}
			for e := range len(h.names) / 3 { // an instance mostly uses the engines near it
				loads[fmt.Sprintf("engine-%03d", (e*5+i)%len(h.names))] = scheduler.PeerLoad{InFlight: 1 + (n+e)%7, Demand: n % 5}
			}
			_ = h.duties[name].PublishSummary(loads)
			if n%4 == 0 {
				_ = h.duties[name].PublishReport(scheduler.LoadReport{Engine: fmt.Sprintf("engine-%03d", i), At: h.now, Running: n})
			}
		}
		h.run(step)
	}
}

// BenchmarkConstantChange reports the bytes of an instance when every load changes all the time, and the
// time that 100 ms of it take, encoding and decoding included.
func BenchmarkConstantChange(b *testing.B) {
	for _, size := range []int{9, 400} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			centres := 3
			if size > 9 {
				centres = 5
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			h := newHub(b, size, centres)
			h.run(20 * time.Second)
			changeEverything(h, time.Second)
			runtime.GC()
			runtime.ReadMemStats(&after)
			h.clear()
			const duration = 2 * time.Second
			rounds := 0
			b.ResetTimer()
			for b.Loop() {
				changeEverything(h, duration)
				rounds++
			}
			highest, total := 0, 0
			for _, n := range h.bytes {
				highest = max(highest, n)
				total += n
			}
			seconds := float64(rounds) * duration.Seconds()
			b.ReportMetric(float64(highest)/seconds, "highest-bytes/s")
			b.ReportMetric(float64(total)/float64(size)/seconds, "mean-bytes/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/seconds/float64(size), "ns/instance-second")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "bytes/instance")
		})
	}
}
