package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/primrosebeam/primrosebeam/scheduler"
)

const (
	benchWaiting    = 2000
	benchWorkspaces = 280
	benchServices   = 7
	benchPrefix     = 40 // prompt length in blocks
)

// workload drives a scheduler with full engines and a constant number of waiting requests.
type workload struct {
	scheduler *scheduler.Scheduler
	now       time.Time
	rand      *rand.Rand
	arrivals  []scheduler.Event
	finishes  map[scheduler.RequestID]scheduler.Event
	running   []scheduler.RequestID
	next      int
	active    map[scheduler.RequestID]bool // requests that are waiting or running
}

func benchPolicy(engines int) scheduler.Policy {
	p := scheduler.Policy{Tiers: []scheduler.Tier{
		{Name: "urgent", QueueLimit: benchWaiting, FirstToken: time.Hour, BetweenTokens: 52 * time.Millisecond, Deadline: 2 * time.Hour},
		{Name: "normal", QueueLimit: benchWaiting, FirstToken: time.Hour, Deadline: 2 * time.Hour, MinimumShare: 0.1},
		{Name: "batch", QueueLimit: benchWaiting, Deadline: 2 * time.Hour, MinimumShare: 0.1},
	}}
	for i := range benchWorkspaces {
		p.Workspaces = append(p.Workspaces, scheduler.Workspace{Name: fmt.Sprintf("w%d", i)})
	}
	for i := range benchServices {
		p.Services = append(p.Services, scheduler.Service{
			Name: fmt.Sprintf("s%d", i), Kind: scheduler.KindModel, Selector: mustSelector(fmt.Sprintf("model=%d", i)),
		})
	}
	for i := range engines {
		p.Engines = append(p.Engines, scheduler.Engine{
			Name: fmt.Sprintf("e%d", i), MaxInFlight: 8,
			Labels: map[string]string{"model": fmt.Sprint(i % benchServices)},
		})
	}
	return p
}

func newWorkload(engines, waiting int) *workload {
	l := &workload{
		scheduler: scheduler.New(scheduler.Options{Rand: rand.New(rand.NewPCG(1, 1))}),
		rand:      rand.New(rand.NewPCG(2, 2)),
		active:    map[scheduler.RequestID]bool{},
		finishes:  map[scheduler.RequestID]scheduler.Event{},
		now:       start,
	}
	l.step(scheduler.Configure{Policy: benchPolicy(engines)})
	total := engines*8 + waiting + 4096
	for i := range total {
		l.addRequest(i)
	}
	for range engines*8 + waiting {
		l.arrive()
	}
	return l
}

func (l *workload) addRequest(i int) {
	r := scheduler.Request{
		ID:           scheduler.RequestID(fmt.Sprintf("r%d", i)),
		Workspace:    fmt.Sprintf("w%d", l.rand.IntN(benchWorkspaces)),
		Service:      fmt.Sprintf("s%d", i%benchServices),
		Tier:         i % 3,
		PromptTokens: benchPrefix * 64,
		OutputTokens: 100,
	}
	document := l.rand.IntN(200)
	for block := range benchPrefix {
		r.Prefix = append(r.Prefix, uint64(document*1000+block+1)*0x9e3779b97f4a7c15)
	}
	l.arrivals = append(l.arrivals, scheduler.Arrive{Request: r})
	l.finishes[r.ID] = scheduler.Finish{ID: r.ID, CachedTokens: -1, OutputTokens: 100}
}

func (l *workload) step(e scheduler.Event) {
	for _, d := range l.scheduler.Decide(l.now, e) {
		switch d.Kind {
		case scheduler.DecideDispatch:
			l.running = append(l.running, d.ID)
		case scheduler.DecideReject:
			delete(l.active, d.ID)
		}
	}
}

// arrive submits the next request that is not waiting or running any more.
func (l *workload) arrive() {
	for {
		e := l.arrivals[l.next%len(l.arrivals)]
		id := e.(scheduler.Arrive).Request.ID
		l.next++
		if !l.active[id] {
			l.active[id] = true
			l.step(e)
			return
		}
	}
}

// finish ends a random running request, whereupon the scheduler dispatches another one.
func (l *workload) finish() {
	if len(l.running) == 0 {
		return
	}
	i, last := l.rand.IntN(len(l.running)), len(l.running)-1
	id := l.running[i]
	l.running[i] = l.running[last]
	l.running = l.running[:last]
	delete(l.active, id)
	l.step(l.finishes[id])
}

// BenchmarkDecision measures the cost of one request in a full system: an arrival that has to wait and
// an end that dispatches another request. Target: at most 20 µs, no allocation, and at 600 engines at
// most 3 times the cost at 12.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{12, 600} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			l := newWorkload(engines, benchWaiting)
			for range 8192 { // warms up the tables and the free list
				l.round()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				l.round()
			}
			b.StopTimer()
			state := l.scheduler.State(l.now)
			b.ReportMetric(float64(state.Tiers[0].Waiting+state.Tiers[1].Waiting+state.Tiers[2].Waiting), "waiting")
		})
	}
}

// round submits one request and finishes another.
func (l *workload) round() {
	l.now = l.now.Add(200 * time.Microsecond) // 5,000 requests a second
	l.arrive()
	l.finish()
}

// BenchmarkIdle measures an arrival that is dispatched immediately while many engines are open.
func BenchmarkIdle(b *testing.B) {
	for _, engines := range []int{12, 600} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			l := newWorkload(engines, 0)
			for range engines * 6 {
				l.finish()
			}
			for range 8192 {
				l.round()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				l.round()
			}
		})
	}
}

// BenchmarkProgress measures a Progress event, the most frequent one.
func BenchmarkProgress(b *testing.B) {
	l := newWorkload(600, benchWaiting)
	events := make([]scheduler.Event, len(l.running))
	for i, id := range l.running {
		l.step(scheduler.FirstToken{ID: id})
		events[i] = scheduler.Progress{ID: id, Tokens: 1}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		l.now = l.now.Add(10 * time.Microsecond)
		l.step(events[i%len(events)])
	}
}

// Guards against memory allocations in the arrival and the end of a request.
func TestDecisionAllocatesNothing(t *testing.T) {
	l := newWorkload(12, benchWaiting)
	for range 8192 {
		l.round()
	}
	if n := testing.AllocsPerRun(4096, l.round); n != 0 {
		t.Fatalf("got %.0f allocations per request, want 0", n)
	}
}

// BenchmarkMemory reports the heap of one scheduler with full engines and waiting requests.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ engines, waiting int }{{12, 0}, {12, benchWaiting}, {600, 0}, {600, benchWaiting}} {
		b.Run(fmt.Sprintf("engines=%d/waiting=%d", size.engines, size.waiting), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				l := newWorkload(size.engines, size.waiting)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KiB")
				runtime.KeepAlive(l)
			}
		})
	}
}
