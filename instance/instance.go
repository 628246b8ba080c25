// Package instance assembles the components of one process: its listeners, its workers and the links to other
// instances. Programs that embed an instance start with this package.
package instance

import (
	"context"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/primrosebeam/primrosebeam/internal/claims"
	"github.com/primrosebeam/primrosebeam/internal/control"
	"github.com/primrosebeam/primrosebeam/internal/dispatch"
	"github.com/primrosebeam/primrosebeam/internal/drain"
	"github.com/primrosebeam/primrosebeam/internal/entry"
	"github.com/primrosebeam/primrosebeam/internal/exchange"
	"github.com/primrosebeam/primrosebeam/internal/intake"
	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/internal/operator"
	"github.com/primrosebeam/primrosebeam/internal/poll"
	"github.com/primrosebeam/primrosebeam/internal/replica"
	"github.com/primrosebeam/primrosebeam/internal/upstream"
	"github.com/primrosebeam/primrosebeam/scheduler"
)

// Instance is a primrosebeam instance, usually the only one of its process.
type Instance struct {
	options     Options
	incarnation uint64 // greater than that of every earlier start
	metrics     *metrics.Set
	upstream    *upstream.Client
	dispatch    *dispatch.Worker
	entry       *entry.Handler
	poll        *poll.Manager
	callers     *drain.Server
	operators   *drain.Server

	gate     *intake.Gate       // bytes held for callers
	link     *link.Node         // nil without a listener for instances
	exchange *exchange.Exchange // nil without link
	owner    *claims.Owner      // nil without the ledger role
	replica  *replica.Replica   // nil without the control role
	control  *control.Control   // nil if no instance has the control role

	engineDataCentres atomic.Pointer[map[string]string] // data centre of each engine, by engine name
}

// New builds an instance and opens its listeners. Run starts it.
func New(o Options) (*Instance, error) {
	set := metrics.NewSet()
	i := &Instance{
		options:     o,
		incarnation: uint64(time.Now().UnixNano()),
		metrics:     set,
		upstream:    upstream.NewWithMetrics(set),
	}
	i.gate = intake.NewGate(intake.Capacity(intake.MemoryMB(o.Limits.MemoryMB)), o.Logger, set)
	i.dispatch = dispatch.New(dispatch.Options{
		Scheduler: scheduler.New(scheduler.Options{
			Rand:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			Instance: o.Name,
		}),
		MaxRequests: o.Limits.Requests,
		OnFloor:     i.publishFloor,
	})
	if err := i.buildCluster(); err != nil {
		return nil, err
	}
	i.entry = entry.New(entry.Options{
		Name:                     o.Name,
		DataCentre:               o.DataCentre,
		Ledger:                   i.ledgerService(),
		Dispatch:                 i.dispatch,
		Upstream:                 i.upstream,
		Logger:                   o.Logger,
		Metrics:                  i.metrics,
		MaxBodyBytes:             o.Limits.BodyBytes,
		BodyTimeout:              o.Limits.ReadTimeout,
		MaxBufferedResponseBytes: o.Limits.ResponseBytes,
		OnLeaving:                i.onEngineLeaving,

		Gate:         i.gate,
		Incarnation:  i.incarnation,
		InstanceGone: i.instanceGone,
	})
	i.poll = poll.New(poll.Options{
		Upstream: i.upstream,
		IsPolled: i.isPolled,
		Deliver:  i.onPollReport,
		Logger:   o.Logger,
		Metrics:  i.metrics,
	})
	return i, i.listen()
}

// listen opens the listeners for callers and operators.
func (i *Instance) listen() error {
	operators, err := operator.New(operator.Options{
		Instance:     i.options.Name,
		DataCentre:   i.options.DataCentre,
		Token:        i.options.OperatorToken,
		Control:      i.operatorControl(),
		Ready:        i.ready,
		Dump:         i.dump(),
		WriteMetrics: i.writeMetrics,
		Gate:         i.gate,
		Logger:       i.options.Logger,
	})
	if err != nil {
		return err
	}
	if i.callers, err = newServer(i.options.Listen.Callers, i.entry, i.options.Limits); err != nil {
		return err
	}
	i.callers.SetLimits(i.connectionLimits())
	if i.operators, err = newServer(i.options.Listen.Operators, operators, i.options.Limits); err != nil {
		i.callers.Close()
		return err
	}
	i.operators.SetLimits(i.connectionLimits())
	return nil
}

// connectionLimits returns the limits on the connections to a listener.
func (i *Instance) connectionLimits() drain.Limits {
	limits := i.gate.CallerLimits(intake.MemoryMB(i.options.Limits.MemoryMB), 0)
	if most := i.options.Limits.Connections; most > 0 && (limits.Connections == 0 || most < limits.Connections) {
		limits.Connections = most
	}
	return limits
}

// CallerAddress returns the address on which the instance listens for callers.
func (i *Instance) CallerAddress() string { return i.callers.Address().String() }

// OperatorAddress returns the address on which the instance listens for operators.
func (i *Instance) OperatorAddress() string { return i.operators.Address().String() }

// ready reports whether the instance accepts requests, and the reason if it does not.
func (i *Instance) ready() (ready bool, reason string) {
	switch {
	case i.entry.Stopping():
		return false, "stopping"
	case !i.entry.Ready():
		return false, "no configuration"
	}
	return true, ""
}

// writeMetrics writes the metrics of this instance and those of the process.
func (i *Instance) writeMetrics(w io.Writer) {
	i.metrics.WritePrometheus(w)
	metrics.WritePrometheus(w, true)
}

// inspectTimeout bounds how long a state dump waits for the scheduler's worker.
const inspectTimeout = 2 * time.Second

// dump returns functions that read the state of each component, by the name of the component.
func (i *Instance) dump() map[string]func() any {
	components := map[string]func() any{
		"scheduler": i.schedulerState,
		"poll":      func() any { return i.poll.State() },
	}
	if i.link != nil {
		components["link"] = func() any { return i.link.State() }
		components["exchange"] = func() any { return i.exchange.State() }
		components["membership"] = func() any { return i.exchange.Instances() }
	}
	if i.owner != nil {
		components["ledger"] = func() any { return i.owner.State() }
	}
	if i.replica != nil {
		components["replica"] = func() any { return i.replica.State() }
	}
	if i.control != nil {
		components["control"] = func() any { return i.control.State() }
	}
	return components
}

// schedulerState returns the state of the scheduler, or a map with an error if it is not available in time.
func (i *Instance) schedulerState() any {
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	var state scheduler.State
	if err := i.dispatch.Inspect(ctx, func(s *scheduler.Scheduler) { state = s.State(time.Now()) }); err != nil {
		return map[string]string{"error": err.Error()}
	}
	return state
}
