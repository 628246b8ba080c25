// Package edge runs an entry instance: it takes callers' requests, gets a place at an engine for each
// and relays the whole answer.
package edge

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/directory"
	"github.com/primrosebeam/primrosebeam/internal/duty"
	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/internal/monitor"
	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/platform"
	"github.com/primrosebeam/primrosebeam/routing"
)

const (
	maxFrameBytes = 2 << 20
	// directoryInterval is the period at which this instance reads the list of engines while no control
	// instance has a recent one.
	directoryInterval = 700 * time.Millisecond
	// directoryStale is the age from which the list of the control instances is not relied on.
	directoryStale = 1600 * time.Millisecond
	// noticeTime is how long a stopping instance goes on to take connections: the balancer asks once a
	// second and takes an instance out after two misses.
	noticeTime = 2500 * time.Millisecond
	// stopMargin is kept between the end of a graceful stop and the time allowed for it.
	stopMargin = 300 * time.Millisecond
)

// Options configure an Edge.
type Options = fleet.Options

// Edge is the process of an entry instance.
type Edge struct {
	options    Options
	link       *link.Node
	member     *member
	placer     *placer
	balancer   *placement.Balancer
	directory  *directory.Reader
	budget     *resendBudget
	transport  *http.Transport
	counters   *counters
	configured chan struct{} // closed when the first configuration is in force
	once       sync.Once
	stopping   atomic.Bool
	started    time.Duration
	nextRead   atomic.Int64
}

// New builds all duties; Run starts them.
func New(o Options) (*Edge, error) {
	s := o.Settings
	e := &Edge{
		options: o, balancer: placement.NewBalancer(s.DataCentre), transport: newTransport(),
		counters: newCounters(o.Metrics), configured: make(chan struct{}), started: clock(),
	}
	node, err := o.NewLink(maxFrameBytes)
	if err != nil {
		return nil, err
	}
	e.link = node
	e.directory = directory.New(directory.Options{
		Address: s.Directory.Address, Interval: directoryInterval, Changed: e.enginesChanged, Wanted: e.wantsDirectory,
		Logger: o.Logger, Metrics: o.Metrics,
	})
	e.member = newMember(o, node, e.directory, e.installed)
	e.placer = newPlacer(o, node, e.member)
	e.budget = newResendBudget(s.Bounds.RetryRatio, s.Bounds.RetrySlack, s.Bounds.RetryWindow, e.entries)
	node.Handle(fleet.KindChanged, e.member.HandleChanged)
	node.Handle(fleet.KindDecisions, e.placer.HandleAnswer)
	return e, nil
}

func (e *Edge) entries() int { return int(e.member.entries.Load()) }

func (e *Edge) random() float64 { return rand.Float64() }

func (e *Edge) enginesChanged(engines []placement.Engine) {
	e.balancer.SetEngines(engines)
	e.placer.must(placerEvent{kind: eventEngines, engines: engines})
}

func (e *Edge) installed(t *routing.Table) {
	limits := placement.QuotaLimits(t.Workspaces(), e.options.Settings.Bounds.QuotaWindow)
	e.placer.must(placerEvent{kind: eventLimits, limits: limits})
	e.once.Do(func() { close(e.configured) })
}

// wantsDirectory limits this instance's own readings of the list: the platform answers a number of
// calls a second for all instances together, of which those of the control instances come first.
func (e *Edge) wantsDirectory() bool {
	if e.directory.State().Age() < directoryStale || clock()-e.started < directoryStale {
		return false
	}
	now := clock()
	if now < time.Duration(e.nextRead.Load()) {
		return false
	}
	pause := time.Duration(float64(e.entries()) * directoryCalls / max(e.options.Settings.Directory.Rate, 1) * float64(time.Second))
	e.nextRead.Store(int64(now + pause))
	return true
}

// directoryCalls is the number of calls that one reading may take, with as many left for others.
const directoryCalls = 4

// ready reports whether the balancer should send connections here.
func (e *Edge) ready() bool {
	return !e.stopping.Load() && e.member.table.Load() != nil && e.member.leaseLeft() > 0 && e.directory.State().ReadAt != 0
}

func (e *Edge) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Run serves until ctx ends, then stops gracefully.
func (e *Edge) Run(ctx context.Context) error {
	s := e.options.Settings
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathReady, e.serveReady)
	readiness := &http.Server{Addr: s.Ready, Handler: mux, ReadHeaderTimeout: time.Second}
	observed := monitor.New(s.Metrics, e.options.Metrics, map[string]func() any{
		"link":      func() any { return e.link.State() },
		"directory": func() any { return e.directory.State() },
		"member":    e.memberState,
	})
	duties := duty.NewGroup(ctx, "edge")
	defer duties.Stop()
	duties.Start("link", e.link.Run)
	duties.Start("member", e.member.Run)
	duties.Start("placer", e.placer.Run)
	duties.Start("directory", e.directory.Run)
	duties.Start("readiness", monitor.Serve(readiness))
	duties.Start("metrics", monitor.Serve(observed))
	listener, err := net.Listen("tcp", s.Callers)
	if err != nil {
		return fmt.Errorf("edge: callers: %w", err)
	}
	e.options.Logger.Info().Str("callers", s.Callers).Strs("seeds", s.SeedAddresses()).Msg("entry instance started")
	select {
	case <-e.configured:
	case <-ctx.Done():
		return listener.Close()
	case err := <-duties.Failures():
		return errors.Join(err, listener.Close())
	}
	callers := e.newCallers(e.member.table.Load().Limits)
	duties.Start("callers", func(context.Context) error {
		if err := callers.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	select {
	case <-ctx.Done():
		e.stop(callers)
		return nil
	case err := <-duties.Failures():
		return errors.Join(err, callers.Close())
	}
}

// newCallers returns the callers' server with the limits of the configuration.
func (e *Edge) newCallers(l routing.Limits) *http.Server {
	return &http.Server{
		Handler:           e,
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    l.HeaderBytes,
		ErrorLog:          log.New(e.options.Logger.With().Str("level", "debug").Logger(), "", 0),
	}
}

// stop takes the instance out of service without cutting a request: it says that it is not ready, goes
// on until the balancer has noticed, closes idle connections and waits for the requests in progress.
func (e *Edge) stop(callers *http.Server) {
	began := clock()
	e.stopping.Store(true)
	e.options.Logger.Info().Msg("stop requested")
	time.Sleep(noticeTime)
	left := e.options.Settings.Bounds.StopWithin - stopMargin - (clock() - began)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		e.options.Logger.Error().Err(err).Dur("took", clock()-began).Msg("stop forced: requests were cut")
		callers.Close()
		return
	}
	e.options.Logger.Info().Dur("took", clock()-began).Msg("stopped gracefully")
}

func (e *Edge) memberState() any {
	state := struct {
		Number    uint64
		Lease     string
		Leader    string
		Allocator string
		Entries   int
	}{Lease: e.member.leaseLeft().String(), Leader: *e.member.leader.Load(), Allocator: e.placer.allocator(), Entries: e.entries()}
	if t := e.member.table.Load(); t != nil {
		state.Number = uint64(t.Number)
	}
	return state
}
