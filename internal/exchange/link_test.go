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

// testInstance is an instance with a real link and a running exchange.
type testInstance struct {
	node     *link.Node
	exchange *Exchange
	stop     func() // planned stop: exchange first, then link

	mu  sync.Mutex
	got []scheduler.Event
}

func (instance *testInstance) has(match func(e scheduler.Event) bool) bool {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	for _, e := range instance.got {
		if match(e) {
			return true
		}
	}
	return false
}

func (instance *testInstance) state(name string) membership.State {
	for _, i := range instance.exchange.Instances() {
		if i.Name == name {
			return i.State
		}
	}
	return membership.StateUnknown
}

func startInstances(t *testing.T, names ...string) map[string]*testInstance {
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
	instances := map[string]*testInstance{}
	for n, name := range names {
		dataCentre := fmt.Sprint("dc", n%3)
		node, err := link.New(link.Options{
			Name: name, DataCentre: dataCentre, Incarnation: 1, SharedKey: []byte("0123456789abcdef"), Listener: listeners[name],
			Peers: peers, AllowPartitions: true, Logger: zerolog.Nop(),
		})
		if err != nil {
			t.Fatal(err)
		}
		instance := &testInstance{node: node}
		instance.exchange, err = New(Options{
			Name: name, DataCentre: dataCentre, Incarnation: 1, Seeds: seeds, Caller: node, Logger: zerolog.Nop(),
			Deliver: func(e scheduler.Event) {
				instance.mu.Lock()
				defer instance.mu.Unlock()
				instance.got = append(instance.got, e)
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		instance.exchange.Register(node.Handle)
		nodeDone, exchangeDone := make(chan error, 1), make(chan error, 1)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { nodeDone <- node.Run(context.Background()) }()
		go func() { exchangeDone <- instance.exchange.Run(ctx) }()
		instance.stop = sync.OnceFunc(func() {
			cancel()
			if err := <-exchangeDone; err != nil {
				t.Error(err)
			}
			_ = node.Close()
			if err := <-nodeDone; err != nil {
				t.Error(err)
			}
		})
		t.Cleanup(instance.stop)
		instances[name] = instance
	}
	return instances
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	const timeout = 20 * time.Second // far longer than a busy machine needs
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within %s: %s", timeout, what)
}

// Guards the exchange over real links: instances find each other, loads and leave notices arrive, a partition
// without closed connections is detected and heals, and a planned stop is announced before the links close.
func TestOverLinks(t *testing.T) {
	names := []string{"a", "b", "c"}
	instances := startInstances(t, names...)
	everywhere := func(of string, s membership.State) func() bool {
		return func() bool {
			for _, name := range names {
				if name != of && instances[name].state(of) != s {
					return false
				}
			}
			return true
		}
	}
	for _, name := range names {
		eventually(t, name+" is alive", everywhere(name, membership.StateAlive))
	}
	if err := instances["a"].exchange.PublishSummary(map[string]scheduler.PeerLoad{"e": {InFlight: 2}}); err != nil {
		t.Fatal(err)
	}
	if err := instances["a"].exchange.AnnounceEngineLeaving("e", 9); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"b", "c"} {
		eventually(t, "summary at "+name, func() bool {
			return instances[name].has(func(e scheduler.Event) bool {
				s, ok := e.(scheduler.PeerSummary)
				return ok && s.Instance == "a" && s.Engines["e"].InFlight == 2
			})
		})
		eventually(t, "leaving engine at "+name, func() bool {
			return instances[name].has(func(e scheduler.Event) bool {
				s, ok := e.(scheduler.EngineState)
				return ok && s.Engine == "e" && s.Incarnation == 9 && s.Leaving
			})
		})
	}
	for _, partitioned := range []bool{true, false} {
		for _, peer := range []string{"a", "b"} {
			if err := instances["c"].node.SetPartitioned(peer, partitioned); err != nil {
				t.Fatal(err)
			}
		}
		state := membership.StateAlive
		if partitioned {
			state = membership.StateFailed
		}
		eventually(t, fmt.Sprint("c when partitioned is ", partitioned), everywhere("c", state))
		eventually(t, fmt.Sprint("a at c when partitioned is ", partitioned), func() bool { return instances["c"].state("a") == state })
	}
	instances["a"].stop()
	names = []string{"b", "c"}
	eventually(t, "a is leaving", everywhere("a", membership.StateLeaving))
}

// Guards against an exchange that uses more than the target of 30 KB/s when every load changes constantly.
func TestBytesUnderConstantChange(t *testing.T) {
	nw := newSettledNetwork(t, 60, 5)
	const duration = 3 * time.Second
	changeAllLoads(nw, duration)
	highest := 0
	for _, n := range nw.byteCounts {
		highest = max(highest, n)
	}
	rate := float64(highest) / duration.Seconds()
	t.Logf("60 instances, 60 engines: %.0f bytes/s sent plus received at the busiest", rate)
	if rate > 30_000 {
		t.Errorf("%.0f bytes/s", rate)
	}
}

// changeAllLoads changes all loads four times per second and publishes a report on each engine once per second.
func changeAllLoads(nw *network, d time.Duration) {
	const step = 250 * time.Millisecond
	for n := range int(d / step) {
		for i, name := range nw.names {
			loads := map[string]scheduler.PeerLoad{}
			for e := range len(nw.names) / 3 { // an instance mostly uses the engines near it
				loads[fmt.Sprintf("engine-%03d", (e*5+i)%len(nw.names))] = scheduler.PeerLoad{InFlight: 1 + (n+e)%7, Demand: n % 5}
			}
			_ = nw.exchanges[name].PublishSummary(loads)
			if n%4 == 0 {
				_ = nw.exchanges[name].PublishReport(scheduler.LoadReport{Engine: fmt.Sprintf("engine-%03d", i), At: nw.now, Running: n})
			}
		}
		nw.run(step)
	}
}

// BenchmarkConstantChange reports the bytes that an instance sends and receives when every load changes
// constantly, and the processing time per instance and second, encoding and decoding included.
func BenchmarkConstantChange(b *testing.B) {
	for _, size := range []int{9, 400} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			dataCentres := 3
			if size > 9 {
				dataCentres = 5
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			nw := newNetwork(b, size, dataCentres)
			nw.run(20 * time.Second)
			changeAllLoads(nw, time.Second)
			runtime.GC()
			runtime.ReadMemStats(&after)
			nw.resetCounts()
			const duration = 2 * time.Second
			rounds := 0
			b.ResetTimer()
			for b.Loop() {
				changeAllLoads(nw, duration)
				rounds++
			}
			highest, total := 0, 0
			for _, n := range nw.byteCounts {
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
