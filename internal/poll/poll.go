// Package poll polls engines for their load, the changes of their prefix caches, and whether they are leaving.
package poll

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/internal/upstream"
	"github.com/primrosebeam/primrosebeam/scheduler"
)

const (
	// DefaultInterval is the interval between two polls of an engine. All instances must know a leaving engine
	// within 3 s, of which polling may take a sixth.
	DefaultInterval = 500 * time.Millisecond
	// pollTimeout limits the duration of one poll. An engine that responds later counts as unreachable.
	pollTimeout = 1 * time.Second
)

// Target is an engine to poll.
type Target struct {
	Name           string
	URL            string
	HasPrefixCache bool // the engine reports changes of its prefix cache
}

// Options configures a Manager.
type Options struct {
	Upstream *upstream.Client
	Interval time.Duration // 0 means DefaultInterval
	// IsPolled reports whether this instance polls an engine; nil means that it polls all.
	IsPolled func(engine string) bool
	// Deliver receives the events LoadReport, CacheEvents and EngineState of package scheduler; it must not
	// block.
	Deliver func(scheduler.Event)
	Logger  zerolog.Logger
	Metrics *metrics.Set
}

// Manager runs one worker for each target. It is safe for concurrent use.
type Manager struct {
	options Options

	mu      sync.Mutex
	ctx     context.Context
	workers map[Target]*worker
	running sync.WaitGroup
}

// New returns a manager without targets.
func New(o Options) *Manager {
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	return &Manager{options: o, workers: map[Target]*worker{}}
}

// Run polls until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ctx = ctx
	for _, w := range m.workers {
		m.start(w)
	}
	m.mu.Unlock()
	<-ctx.Done()
	m.running.Wait()
	return ctx.Err()
}

// SetTargets replaces the engines to poll.
func (m *Manager) SetTargets(targets []Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for target, w := range m.workers {
		if !slices.Contains(targets, target) {
			w.stop()
			delete(m.workers, target)
		}
	}
	for _, target := range targets {
		if _, exists := m.workers[target]; exists {
			continue
		}
		w := &worker{manager: m, target: target, stop: func() {}, pollNow: make(chan struct{}, 1)}
		m.workers[target] = w
		if m.ctx != nil {
			m.start(w)
		}
	}
}

func (m *Manager) start(w *worker) {
	ctx, cancel := context.WithCancel(m.ctx)
	w.stop = cancel
	m.running.Go(func() { w.run(ctx) })
}

// PollNow polls an engine at once, whether or not this instance is one of its pollers. It is called when a
// response of the engine indicates that it is leaving.
func (m *Manager) PollNow(engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for target, w := range m.workers {
		if target.Name != engine {
			continue
		}
		select {
		case w.pollNow <- struct{}{}:
		default: // A poll has been requested already.
		}
	}
}

// State is the result of the last poll of one engine, for state dumps.
type State struct {
	Engine    string    `json:"engine"`
	Reachable bool      `json:"reachable"`
	Leaving   bool      `json:"leaving"`
	PolledAt  time.Time `json:"polledAt"`
}

// State returns the result of the last poll of each engine that this instance has polled, oldest first.
func (m *Manager) State() []State {
	m.mu.Lock()
	defer m.mu.Unlock()
	states := []State{}
	for _, w := range m.workers {
		w.mu.Lock()
		if !w.lastPoll.PolledAt.IsZero() {
			states = append(states, w.lastPoll)
		}
		w.mu.Unlock()
	}
	slices.SortFunc(states, func(a, b State) int { return a.PolledAt.Compare(b.PolledAt) })
	return states
}

// worker polls one engine.
type worker struct {
	manager *Manager
	target  Target
	stop    context.CancelFunc
	pollNow chan struct{}

	nextChange  uint64 // sequence number of the next cache change
	incarnation uint64 // incarnation of the engine at the last poll

	mu       sync.Mutex
	lastPoll State
}

func (w *worker) run(ctx context.Context) {
	ticker := time.NewTicker(w.manager.options.Interval)
	defer ticker.Stop()
	requested := false
	for {
		if selected := w.manager.options.IsPolled; requested || selected == nil || selected(w.target.Name) {
			w.poll(ctx)
		}
		requested = false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-w.pollNow:
			requested = true
		}
	}
}

func (w *worker) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	lifecycle, err := w.manager.options.Upstream.FetchLifecycle(ctx, w.target.Name, w.target.URL)
	if err != nil {
		if !isHTTPResponse(err) {
			w.markUnreachable(err)
			return
		}
		lifecycle = upstream.Lifecycle{Incarnation: w.incarnation}
	}
	if lifecycle.Incarnation != w.incarnation {
		w.incarnation = lifecycle.Incarnation
		w.nextChange = 0
	}
	w.setState(State{Engine: w.target.Name, Reachable: true, Leaving: lifecycle.Leaving, PolledAt: time.Now()})
	w.manager.options.Deliver(scheduler.EngineState{
		Engine: w.target.Name, Incarnation: lifecycle.Incarnation, Leaving: lifecycle.Leaving, Reachable: true,
	})
	w.pollLoad(ctx)
	if w.target.HasPrefixCache {
		w.pollCache(ctx)
	}
}

// isHTTPResponse reports whether a failed lifecycle request got an HTTP response. A plain service need not
// offer a lifecycle and is reachable nevertheless.
func isHTTPResponse(err error) bool {
	var status *upstream.StatusError
	var report *upstream.ReportError
	return errors.As(err, &status) || errors.As(err, &report)
}

func (w *worker) markUnreachable(err error) {
	w.manager.options.Metrics.GetOrCreateCounter("primrosebeam_poll_failures_total").Inc()
	w.mu.Lock()
	changed := w.lastPoll.Reachable || w.lastPoll.PolledAt.IsZero()
	w.mu.Unlock()
	if changed {
		w.manager.options.Logger.Warn().Str("engine", w.target.Name).Err(err).Msg("engine does not answer polls")
	}
	w.setState(State{Engine: w.target.Name, PolledAt: time.Now()})
	w.manager.options.Deliver(scheduler.EngineState{Engine: w.target.Name, Incarnation: w.incarnation})
}

func (w *worker) pollLoad(ctx context.Context) {
	load, err := w.manager.options.Upstream.FetchLoad(ctx, w.target.Name, w.target.URL)
	if err != nil {
		return // The next poll retries. The age of the last report shows how stale it is.
	}
	w.manager.options.Deliver(scheduler.LoadReport{
		Engine: w.target.Name, At: load.At, Running: load.Running, Waiting: load.Waiting, KVUsed: load.KVUsed,
	})
}

func (w *worker) pollCache(ctx context.Context) {
	batch, err := w.manager.options.Upstream.FetchCacheEvents(ctx, w.target.Name, w.target.URL, w.nextChange)
	if err != nil || len(batch.Changes) == 0 {
		return
	}
	event := scheduler.CacheEvents{Engine: w.target.Name, First: batch.First}
	for _, change := range batch.Changes {
		event.Changes = append(event.Changes, scheduler.CacheChange(change))
	}
	w.nextChange = batch.First + uint64(len(batch.Changes))
	w.manager.options.Deliver(event)
}

func (w *worker) setState(s State) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastPoll = s
}
