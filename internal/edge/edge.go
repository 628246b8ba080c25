// Package edge implements the entry instance, which accepts callers' requests. It acquires a slot on an
// engine for each request and relays the engine's response.
package edge

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/directory"
	"github.com/primrosebeam/primrosebeam/internal/drain"
	"github.com/primrosebeam/primrosebeam/internal/enginelink"
	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/internal/intake"
	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/internal/monitor"
	"github.com/primrosebeam/primrosebeam/internal/worker"
	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/platform"
	"github.com/primrosebeam/primrosebeam/routing"
)

const (
	// maxFrameBytes is the maximum size of a message between instances.
	maxFrameBytes = 2 << 20
	// directoryInterval is the interval at which this instance reads the list of engines itself while no
	// control instance has a recent list.
	directoryInterval = 700 * time.Millisecond
	// directoryMaxAge is the age from which the list received from the control instances is treated as stale.
	directoryMaxAge = 1600 * time.Millisecond
	// drainDelay is how long a stopping instance continues to accept connections after it has reported that
	// it is not ready. The load balancer checks the readiness once per second and removes an instance after
	// two failed checks.
	drainDelay = 2500 * time.Millisecond
	// stopMargin is the time left between the end of a graceful stop and the limit on the stop.
	stopMargin = 300 * time.Millisecond
	// answerMargin is the time before the end of a graceful stop at which requests that are still in progress are
	// given up, so that their callers get a response.
	answerMargin = 200 * time.Millisecond
)

// Options configures an Edge.
type Options = fleet.Options

// Edge is an entry instance.
type Edge struct {
	options        Options
	link           *link.Node
	control        *controlClient
	placer         *placer
	balancer       *placement.Balancer
	notices        *placement.Notices
	directory      *directory.Reader
	retries        *retryBudget
	origins        *origins
	pool           *enginelink.Pool // connections to engines
	gate           *intake.Gate     // bytes held for callers
	counters       *counters
	configured     chan struct{} // closed when the first configuration is in force
	configuredOnce sync.Once
	stopping       atomic.Bool
	// stopEnd is the time at which a stop gives up the requests that are still in progress, by clock(); 0 until the
	// load balancer had the time to remove this instance.
	stopEnd           atomic.Int64
	giveUp            context.Context // cancelled at stopEnd
	giveUpNow         context.CancelFunc
	started           time.Duration
	nextDirectoryRead atomic.Int64
}

// New creates an entry instance. Run starts its workers.
func New(o Options) (*Edge, error) {
	s := o.Settings
	e := &Edge{
		options: o, notices: placement.NewNotices(),
		counters: newCounters(o.Metrics), configured: make(chan struct{}), started: clock(),
		gate: intake.NewGate(intake.Capacity(s.Limits.MemoryMB), o.Logger, o.Metrics),
	}
	e.giveUp, e.giveUpNow = context.WithCancel(context.Background())
	dialer := enginelink.NewDialer(enginelink.DialerOptions{
		Direct: o.DialEngine, Relays: e.relays, SharedKey: o.SharedKey, Logger: o.Logger, Metrics: o.Metrics,
		OnIsolated: func() { e.pool.CloseIdle() }, // they hang
		ReadBorn:   platform.ReadBorn,
	})
	e.pool = newPool(dialer.DialContext, o.Metrics)
	e.balancer = placement.NewBalancer(s.DataCentre, e.notices)
	e.balancer.ShareAmong(e.entryCount)
	if o.Features.LearnedLimits {
		e.balancer.LearnLimits()
	}
	node, err := o.NewLink(maxFrameBytes)
	if err != nil {
		return nil, err
	}
	e.link = node
	e.directory = directory.New(directory.Options{
		Address: s.Directory.Address, Interval: directoryInterval, OnChange: e.enginesChanged, ReadNeeded: e.mayReadDirectory,
		Logger: o.Logger, Metrics: o.Metrics,
	})
	e.control = newControlClient(o, node, e.directory, e.tableInstalled)
	e.control.onRollouts = e.rolloutsChanged
	e.origins = newOrigins(o, node, e.control, e.directory)
	e.placer = newPlacer(o, node, e.control, e.notices, e.balancer, e.recordLeaving)
	e.placer.origins = e.origins.records
	e.retries = newRetryBudget(s.Bounds.RetryRatio, s.Bounds.RetrySlack, s.Bounds.RetryWindow, e.entryCount)
	node.Handle(fleet.KindChanged, e.control.HandleChanged)
	node.Handle(fleet.KindDecisions, e.placer.HandleDecisions)
	return e, nil
}

func (e *Edge) entryCount() int { return int(e.control.entryCount.Load()) }

// relays returns the addresses at which control instances relay connections to engines.
func (e *Edge) relays() []string {
	var addresses []string
	for _, name := range e.control.allControlInstances() {
		if address := e.options.Settings.RelayAddress(name); address != "" {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (e *Edge) random() float64 { return rand.Float64() }

// recordLeaving records that an engine has stated that it is leaving. source is the instance that reported
// it, or empty if this instance received the response. It reports whether that was not known before.
func (e *Edge) recordLeaving(notice placement.LeavingNotice, source string) bool {
	if !e.notices.RecordLeaving(clock(), notice.Engine, notice.Born) {
		return false
	}
	e.counters.leavingNotices.Inc()
	e.options.Logger.Info().Str("engine", notice.Engine).Str("peer", source).Msg("engine states that it is leaving")
	return true
}

func (e *Edge) enginesChanged(engines []placement.Engine) {
	e.origins.enginesChanged(engines)
	engines = e.notices.Apply(clock(), engines)
	e.balancer.SetEngines(engines)
	e.placer.post(placerEvent{kind: eventEngines, engines: engines})
}

func (e *Edge) tableInstalled(t *routing.Table) {
	bounds := &e.options.Settings.Bounds
	limits := placement.QuotaLimits(t.Workspaces(), bounds.QuotaWindow, bounds.QuotaTolerance)
	e.placer.post(placerEvent{kind: eventQuotas, limits: limits})
	e.configuredOnce.Do(func() { close(e.configured) })
}

// mayReadDirectory reports whether this instance may read the list of engines itself now. The platform
// limits the rate of calls of all instances together, and the reads of the control instances take
// precedence. A result of true also sets the time before which no further read is allowed.
func (e *Edge) mayReadDirectory() bool {
	if e.directory.State().Age() < directoryMaxAge || clock()-e.started < directoryMaxAge {
		return false
	}
	now := clock()
	if now < time.Duration(e.nextDirectoryRead.Load()) {
		return false
	}
	interval := time.Duration(float64(e.entryCount()) * callsPerDirectoryRead /
		max(e.options.Settings.Directory.Rate, 1) * float64(time.Second))
	e.nextDirectoryRead.Store(int64(now + interval))
	return true
}

// callsPerDirectoryRead is the number of calls to the platform that are budgeted for one read of the list
// by an entry instance. Half of them are left to other readers.
const callsPerDirectoryRead = 4

// ready reports whether the load balancer should send connections to this instance.
func (e *Edge) ready() bool {
	return !e.stopping.Load() && e.control.table.Load() != nil &&
		e.control.leaseLeft() > 0 && e.directory.State().ReadAt != 0
}

func (e *Edge) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Run serves requests until ctx is cancelled, then stops gracefully.
func (e *Edge) Run(ctx context.Context) error {
	s := e.options.Settings
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathReady, e.serveReady)
	readiness := &http.Server{Addr: s.Readiness, Handler: mux, ReadHeaderTimeout: time.Second, MaxHeaderBytes: monitor.MaxHeaderBytes}
	metricsServer := monitor.New(s.Metrics, e.options.Metrics, map[string]func() any{
		"link":      func() any { return e.link.State() },
		"directory": func() any { return e.directory.State() },
		"member":    e.controlState,
		"held":      e.gate.State,
	})
	workers := worker.NewGroup(ctx, "edge")
	defer workers.Stop()
	workers.Start("link", e.link.Run)
	workers.Start("member", e.control.Run)
	workers.Start("configuration", e.control.RunTransfers)
	workers.Start("placer", e.placer.Run)
	workers.Start("directory", e.directory.Run)
	workers.Start("readiness", monitor.Serve(readiness, e.gate.ProbeLimits(s.Limits.Descriptors)))
	workers.Start("metrics", monitor.Serve(metricsServer, e.gate.ProbeLimits(s.Limits.Descriptors)))
	listener, err := drain.Listen(ctx, s.Callers)
	if err != nil {
		return fmt.Errorf("edge: listen for callers: %w", err)
	}
	e.options.Logger.Info().Str("callers", s.Callers).Strs("seeds", s.SeedAddresses()).Msg("entry instance started")
	select {
	case <-e.configured:
	case <-ctx.Done():
		return listener.Close()
	case err := <-workers.Failures():
		return errors.Join(err, listener.Close())
	}
	server := drain.New(e.newCallerServer(e.control.table.Load().Limits), listener)
	server.SetLimits(e.gate.CallerLimits(s.Limits.MemoryMB, s.Limits.Descriptors))
	workers.Start("callers", func(context.Context) error { return server.Serve() })
	select {
	case <-ctx.Done():
		e.stop(server)
		return nil
	case err := <-workers.Failures():
		return errors.Join(err, server.Close())
	}
}

// newCallerServer returns the HTTP server for callers with the limits of the configuration.
func (e *Edge) newCallerServer(l routing.Limits) *http.Server {
	return &http.Server{
		Handler:           e,
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    l.HeaderBytes,
		ErrorLog:          log.New(e.options.Logger.With().Str("level", "debug").Logger(), "", 0),
	}
}

// isCutBefore reports whether a stop of this instance would give up a request before its deadline. The usual duration
// is no bound: an engine may be silent for a while and respond later.
func (e *Edge) isCutBefore(deadline time.Duration) bool {
	end := time.Duration(e.stopEnd.Load())
	return end != 0 && end < deadline
}

// stop takes the instance out of service without interrupting requests. It reports that the instance is not
// ready, continues to serve until the load balancer has removed the instance, closes idle connections and
// waits for the requests in progress, also for those that are still being read. Those that take too long are given up
// shortly before the limit on the stop.
func (e *Edge) stop(server *drain.Server) {
	start := clock()
	e.stopping.Store(true)
	e.options.Logger.Info().Msg("stop requested")
	time.Sleep(drainDelay)
	end := start + e.options.Settings.Bounds.StopTimeout - stopMargin
	e.stopEnd.Store(int64(end - answerMargin))
	giveUp := time.AfterFunc(end-answerMargin-clock(), func() {
		e.options.Logger.Warn().Msg("requests in progress are given up")
		e.giveUpNow()
	})
	defer giveUp.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), end-clock())
	defer cancel()
	if err := server.Stop(ctx); err != nil {
		e.options.Logger.Error().Err(errors.Join(err, server.Close())).Dur("took", clock()-start).Msg("stop forced: requests were cut")
		return
	}
	e.options.Logger.Info().Dur("took", clock()-start).Msg("stopped gracefully")
}

func (e *Edge) controlState() any {
	state := struct {
		Number    uint64
		Lease     string
		Leader    string
		Allocator string
		Entries   int
	}{
		Number: e.control.numberInForce(), Lease: e.control.leaseLeft().String(), Leader: *e.control.leader.Load(),
		Allocator: e.placer.allocator(), Entries: e.entryCount(),
	}
	return state
}
