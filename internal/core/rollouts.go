package core

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/primrosebeam/primrosebeam/internal/boottime"
	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/rollout"
)

// rollouts passes the orders of the log to the allocator and the entry instances, and the allocator's decisions to the
// log. Without limits in the settings it does neither.
type rollouts struct {
	core     *ControlInstance
	limits   *rollout.Limits
	replica  *rollout.Register // applied from the log
	known    *rollout.Register // what this instance has heard of in any way
	decided  chan rollout.Decision
	outcomes map[rollout.Outcome]*metrics.Counter
	refused  *metrics.Counter
	// decisions counts the decisions that this instance stored, by the new state.
	decisions map[rollout.State]*metrics.Counter

	mu        sync.Mutex
	orderedAt map[uint64]boottime.Time // by the number of the order
	stored    map[uint64]bool          // orders that this instance stored, until another one leads
}

// decisionCapacity is the number of decisions that may wait. A dropped one comes again.
const decisionCapacity = 16

func newRollouts(c *ControlInstance) *rollouts {
	r := &rollouts{
		core: c, limits: c.options.Settings.Rollouts, decided: make(chan rollout.Decision, decisionCapacity),
		orderedAt: map[uint64]boottime.Time{}, stored: map[uint64]bool{},
		outcomes: map[rollout.Outcome]*metrics.Counter{},
		refused:  c.options.Metrics.NewCounter("primrosebeam_rollout_orders_refused_total"),
	}
	for outcome, name := range map[rollout.Outcome]string{
		rollout.OutcomeStored: "stored", rollout.OutcomeKnown: "known", rollout.OutcomeInProgress: "conflict", rollout.OutcomeTooMany: "too-many",
	} {
		r.outcomes[outcome] = c.options.Metrics.NewCounter(fmt.Sprintf("primrosebeam_rollout_orders_total{outcome=%q}", name))
	}
	r.decisions = map[rollout.State]*metrics.Counter{}
	for _, s := range []rollout.State{rollout.StateMoving, rollout.StateCompleted, rollout.StateRolledBack} {
		r.decisions[s] = c.options.Metrics.NewCounter(fmt.Sprintf("primrosebeam_rollout_decisions_total{state=%q}", s.String()))
	}
	r.known = rollout.NewRegister(r.changed)
	r.replica = rollout.NewRegister(func() { r.merge(r.replica.List()) })
	return r
}

// merge adds what another instance, or the log, holds about orders.
func (r *rollouts) merge(list []rollout.Rollout) {
	if r.limits != nil {
		r.known.Merge(list)
	}
}

// changed passes the orders to the allocator and announces the change to the attached entry instances.
func (r *rollouts) changed() {
	r.passToAllocator()
	r.core.hub.notifyAttached()
	for _, o := range r.known.List() {
		r.core.options.Logger.Info().Str("service", o.Service).Str("target", o.Target).Uint64("number", o.Number).
			Stringer("state", o.State).Str("reason", o.Reason).Msg("roll-out in force")
	}
}

func (r *rollouts) passToAllocator() {
	list := r.known.List()
	orders := make([]placement.Rollout, len(list))
	r.mu.Lock()
	maps.DeleteFunc(r.orderedAt, func(number uint64, _ boottime.Time) bool {
		return !slices.ContainsFunc(list, func(o rollout.Rollout) bool { return o.Number == number })
	})
	for i := range list {
		orders[i] = placement.Rollout{
			Rollout: list[i], OrderedAt: time.Duration(r.timeOf(&list[i])), WithTolerance: r.stored[list[i].Number],
		}
	}
	r.mu.Unlock()
	r.core.allocator.SetRollouts(orders)
}

// timeOf returns when an order was given, by the clock of this machine. It converts the time in the log once, so that a
// step of the wall clock changes nothing later, and never counts an order as given in the future or, at first sight,
// longer ago than its duration.
func (r *rollouts) timeOf(o *rollout.Rollout) boottime.Time {
	at, known := r.orderedAt[o.Number]
	if !known {
		age := time.Since(time.UnixMilli(o.OrderedAtMS))
		at = boottime.Now().Add(-min(max(age, 0), o.Duration()))
		r.orderedAt[o.Number] = at
	}
	return at
}

// leaderChanged forgets which orders were stored here: another leader may have used their tolerance.
func (r *rollouts) leaderChanged() {
	r.mu.Lock()
	forgotten := len(r.stored) > 0
	clear(r.stored)
	r.mu.Unlock()
	if forgotten {
		r.passToAllocator()
	}
}

// store stores an operator's order through the leader.
func (r *rollouts) store(ctx context.Context, o rollout.Order) (fleet.OrderStored, error) {
	leader, err := r.core.leaderName()
	if err != nil {
		return fleet.OrderStored{}, err
	}
	if leader == r.core.name {
		return r.propose(ctx, o)
	}
	var reply fleet.OrderStored
	err = r.core.link.Call(ctx, leader, fleet.KindOrder, fleet.StoreOrder{Order: o}, &reply)
	return reply, err
}

func (r *rollouts) handleOrder(ctx context.Context, _ link.Sender, body []byte) (any, error) {
	var request fleet.StoreOrder
	if err := link.Decode(body, &request); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.propose(ctx, request.Order)
}

// propose stores an order in the log, of which this instance is the leader.
func (r *rollouts) propose(ctx context.Context, o rollout.Order) (fleet.OrderStored, error) {
	if err := o.Validate(); err != nil {
		return fleet.OrderStored{}, err
	}
	o.OrderedAtMS = time.Now().UnixMilli()
	result, err := r.proposeCommand(ctx, rollout.Command{Order: &o})
	if err != nil {
		return fleet.OrderStored{}, err
	}
	if result.Outcome == rollout.OutcomeStored {
		r.mu.Lock()
		r.stored[result.Rollout.Number] = true
		r.mu.Unlock()
		r.passToAllocator()
	}
	return fleet.OrderStored{Outcome: result.Outcome, Rollout: result.Rollout}, nil
}

func (r *rollouts) proposeCommand(ctx context.Context, c rollout.Command) (rollout.Result, error) {
	command, err := encodeRolloutCommand(c)
	if err != nil {
		return rollout.Result{}, err
	}
	outcome, err := r.core.replica.Propose(ctx, command)
	if err != nil {
		return rollout.Result{}, classifyProposal(err)
	}
	result, ok := outcome.(rollout.Result)
	if !ok {
		return rollout.Result{}, &UndeterminedError{Cause: fmt.Errorf("core: unexpected result %T", outcome)}
	}
	return result, nil
}

// read returns the order of a service, confirmed by a quorum after the call.
func (r *rollouts) read(ctx context.Context, service string) (found rollout.Rollout, known bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	confirmed, err := r.core.confirm(ctx, false)
	if err != nil {
		return rollout.Rollout{}, false, err
	}
	i := slices.IndexFunc(confirmed.Rollouts, func(o rollout.Rollout) bool { return o.Service == service })
	if i < 0 {
		return rollout.Rollout{}, false, nil
	}
	return confirmed.Rollouts[i], true, nil
}

// decide queues a decision of the allocator, which repeats it until it is stored.
func (r *rollouts) decide(d rollout.Decision) {
	select {
	case r.decided <- d:
	default:
	}
}

// Run stores the decisions of the allocator until ctx is cancelled.
func (r *rollouts) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case d := <-r.decided:
			r.storeDecision(ctx, d)
		}
	}
}

func (r *rollouts) storeDecision(ctx context.Context, d rollout.Decision) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	event := r.core.options.Logger.Info().Str("service", d.Service).Uint64("number", d.Number).Stringer("state", d.State)
	if _, err := r.proposeCommand(ctx, rollout.Command{Decision: &d}); err != nil {
		event.Err(err).Msg("decision about a roll-out not stored")
		return
	}
	event.Msg("decision about a roll-out stored")
	if counter := r.decisions[d.State]; counter != nil {
		counter.Inc()
	}
}
