// Package instance wires one process: listeners, duties and their connections. It is the way in
// for a program that embeds an instance.
package instance

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/dispatch"
	"github.com/primrosebeam/primrosebeam/internal/entry"
	"github.com/primrosebeam/primrosebeam/internal/poll"
	"github.com/primrosebeam/primrosebeam/internal/upstream"
	"github.com/primrosebeam/primrosebeam/scheduler"
)

// Options configures an Instance.
type Options struct {
	Name          string
	DataCentre    string
	Listen        Listen
	Roles         Roles
	DataFolder    string // required by the roles
	Peers         []Peer
	SharedKey     []byte // authenticates connections between instances
	OperatorToken string
	Configuration *configuration.Document // in force until the log holds one; may be nil
	Limits        Limits
	Logger        zerolog.Logger
}

// Listen gives the listeners' addresses, each an IP address with a port; port 0 picks one.
type Listen struct {
	Callers   string
	Operators string
	Instances string // empty when there are no peers
}

// Roles are the duties that an instance has beside that of an entry instance.
type Roles struct {
	Control bool // replica of the configuration log
	Ledger  bool // owner of idempotency keys
}

// Peer is another instance.
type Peer struct {
	Name       string
	DataCentre string
	Address    string
	Roles      Roles
}

// Limits bounds what callers may ask of the instance.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	AnswerBytes int // answers up to this size are held until whole
	Connections int
	Requests    int // waiting and in flight
	ReadTimeout time.Duration
}

// Instance is one process of primrosebeam.
type Instance struct {
	options   Options
	metrics   *metrics.Set
	upstream  *upstream.Client
	dispatch  *dispatch.Duty
	entry     *entry.Handler
	poll      *poll.Manager
	callers   *server
	operators *server
}

// New builds an instance and opens its listeners; Run starts it.
func New(o Options) (*Instance, error) {
	i := &Instance{options: o, metrics: metrics.NewSet(), upstream: upstream.New()}
	i.dispatch = dispatch.New(dispatch.Options{
		Scheduler:   scheduler.New(scheduler.Options{Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}),
		MaxRequests: o.Limits.Requests,
	})
	i.entry = entry.New(entry.Options{
		DataCentre:  o.DataCentre,
		Dispatch:    i.dispatch,
		Upstream:    i.upstream,
		Logger:      o.Logger,
		Metrics:     i.metrics,
		BodyBytes:   o.Limits.BodyBytes,
		AnswerBytes: o.Limits.AnswerBytes,
	})
	i.poll = poll.New(poll.Options{
		Upstream: i.upstream,
		Deliver:  i.deliver,
		Logger:   o.Logger,
		Metrics:  i.metrics,
	})
	var err error
	if i.callers, err = newServer(o.Listen.Callers, i.entry, o.Limits); err != nil {
		return nil, err
	}
	if i.operators, err = newServer(o.Listen.Operators, i.operatorHandler(), o.Limits); err != nil {
		i.callers.listener.Close()
		return nil, err
	}
	return i, nil
}

// CallerAddress returns the address of the callers' listener.
func (i *Instance) CallerAddress() string { return i.callers.listener.Addr().String() }

// OperatorAddress returns the address of the operators' listener.
func (i *Instance) OperatorAddress() string { return i.operators.listener.Addr().String() }

func (i *Instance) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { i.metrics.WritePrometheus(w) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {})
	return mux
}

// Run serves until ctx ends, then stops gracefully: no request in progress is cut. When force ends
// first, whatever is left is cut and logged. It returns nil after a graceful stop.
func (i *Instance) Run(ctx, force context.Context) error {
	duties, stopDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDuties()
	var running sync.WaitGroup
	failures := make(chan error, 4)
	start := func(name string, run func(context.Context) error) {
		running.Add(1)
		go func() {
			defer running.Done()
			if err := run(duties); err != nil && !errors.Is(err, context.Canceled) {
				failures <- fmt.Errorf("instance: %s: %w", name, err)
			}
		}()
	}
	start("dispatch", i.dispatch.Run)
	start("poll", i.poll.Run)
	start("callers", i.callers.serve)
	start("operators", i.operators.serve)
	if i.options.Configuration != nil {
		if err := i.configure(1, i.options.Configuration); err != nil {
			return err
		}
	}
	i.options.Logger.Info().Str("callers", i.CallerAddress()).Str("operators", i.OperatorAddress()).Msg("instance started")
	var failure error
	select {
	case <-ctx.Done():
		failure = i.stop(force)
	case failure = <-failures:
	}
	stopDuties()
	running.Wait()
	i.upstream.Close()
	return failure
}

// stop refuses new requests, waits for those in progress and closes the listeners.
func (i *Instance) stop(force context.Context) error {
	i.options.Logger.Info().Int("requests", i.dispatch.Active()).Msg("stop requested")
	i.entry.Stop()
	err := i.callers.shutdown(force)
	if err == nil {
		err = i.entry.Wait(force)
	}
	if err != nil {
		i.options.Logger.Error().Int("requests", i.dispatch.Active()).Msg("stop forced: requests were cut")
		i.callers.http.Close()
	}
	i.operators.http.Close()
	return err
}

// configure puts a version in force: first for the scheduler, so that no request is classified by
// a version that the scheduler does not know yet.
func (i *Instance) configure(version configuration.Version, document *configuration.Document) error {
	view, err := configuration.Resolve(version, document)
	if err != nil {
		return fmt.Errorf("instance: version %d: %w", version, err)
	}
	if err := i.dispatch.Configure(view.Policy(i.options.DataCentre)); err != nil {
		return fmt.Errorf("instance: version %d: %w", version, err)
	}
	i.entry.Configure(view)
	i.poll.SetTargets(pollTargets(view))
	return nil
}

// pollTargets lists the engines of a configuration; an engine has a prefix cache when a model service selects it.
func pollTargets(view *configuration.View) []poll.Target {
	models := map[string]bool{}
	for _, service := range view.Policy("").Services {
		for _, engine := range view.Document().Engines {
			if service.Kind == scheduler.KindModel && service.Selector.Matches(engine.Labels) {
				models[engine.Name] = true
			}
		}
	}
	var targets []poll.Target
	for _, engine := range view.Document().Engines {
		targets = append(targets, poll.Target{Name: engine.Name, URL: engine.URL, Model: models[engine.Name]})
	}
	return targets
}

// deliver hands a report to the scheduler. A report that finds the ring full is dropped: the next one replaces it.
func (i *Instance) deliver(e scheduler.Event) {
	if err := i.dispatch.Post(e); err != nil {
		i.metrics.GetOrCreateCounter("primrosebeam_dispatch_dropped_reports_total").Inc()
	}
}

// server is an HTTP server on an open listener.
type server struct {
	listener net.Listener
	http     *http.Server
}

func newServer(address string, handler http.Handler, limits Limits) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("instance: listen: %w", err)
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &server{
		listener: newLimitedListener(listener, limits.Connections),
		http: &http.Server{
			Handler:           handler,
			Protocols:         &protocols,
			ReadHeaderTimeout: limits.ReadTimeout,
			MaxHeaderBytes:    limits.HeaderBytes,
		},
	}, nil
}

func (s *server) serve(context.Context) error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("instance: serve: %w", err)
	}
	return nil
}

// shutdown closes the listener and waits for requests in progress.
func (s *server) shutdown(force context.Context) error {
	if err := s.http.Shutdown(force); err != nil {
		return fmt.Errorf("instance: shutdown: %w", err)
	}
	return nil
}
