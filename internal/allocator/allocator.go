// Package allocator runs the placement core as a duty: it takes the updates of the entry instances in
// through a bounded ring and answers each of them with grants and rejections.
package allocator

import (
	"context"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/internal/boottime"
	"github.com/primrosebeam/primrosebeam/internal/duty"
	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/ring"
)

const (
	// tickInterval is how often waiting requests are looked at without an event; a request is given
	// up on that much late at most.
	tickInterval = 25 * time.Millisecond
	// ownerTimeout is the silence after which the requests of an entry instance are forgotten. Entry
	// instances send an update every 250 ms.
	ownerTimeout = 2 * time.Second
	// settleTime is how long a new allocator waits for the running requests of the entry instances
	// before it gives out places; they learn of it within the 200 ms between two heartbeats.
	settleTime = 250 * time.Millisecond
	// ringCapacity bounds the updates that wait: at 400 entry instances, each with one update on its way.
	ringCapacity = 2048
)

// Options configure an Allocator.
type Options struct {
	Caller     link.Caller
	DataCentre string // places are limited to it while this instance doesn't lead
	Logger     zerolog.Logger
	Metrics    *metrics.Set
}

// Allocator is the duty. Its methods may be called from any goroutine.
type Allocator struct {
	options Options
	events  *ring.Ring[event]

	core        *placement.Core
	owners      map[string]*owner
	leads       bool
	settleUntil time.Duration
	entries     int // entry instances that are known in the whole system

	granted, rejected, dropped *metrics.Counter
	waiting                    *metrics.Histogram
}

// owner is an entry instance with the state of its streams.
type owner struct {
	name        string
	dataCentre  string
	incarnation uint64
	received    uint64 // newest update in the stream
	synced      bool   // no update was missed
	sequence    uint64 // of the newest answer
	heard       time.Duration
	answer      *fleet.Decisions // answer that is being built
}

type event struct {
	from    link.Sender
	update  *fleet.Update
	engines []placement.Engine     // non-nil: the list changed
	limits  []placement.QuotaLimit // non-nil: the quotas changed
	role    *role
}

type role struct {
	leads   bool
	entries int
}

// New returns an allocator without engines.
func New(o Options) *Allocator {
	return &Allocator{
		options:  o,
		events:   ring.New[event](ringCapacity),
		core:     placement.New(),
		owners:   map[string]*owner{},
		granted:  o.Metrics.NewCounter("primrosebeam_placement_grants_total"),
		rejected: o.Metrics.NewCounter("primrosebeam_placement_rejections_total"),
		dropped:  o.Metrics.NewCounter("primrosebeam_placement_updates_dropped_total"),
		waiting:  o.Metrics.NewHistogram("primrosebeam_placement_waiting_requests"),
	}
}

// HandleUpdate is the link's handler of updates.
func (a *Allocator) HandleUpdate(_ context.Context, from link.Sender, body []byte) (any, error) {
	update := &fleet.Update{}
	if err := link.Decode(body, update); err != nil {
		return nil, err
	}
	a.offer(event{from: from, update: update})
	return nil, nil
}

// SetEngines replaces the list of engines.
func (a *Allocator) SetEngines(engines []placement.Engine) {
	a.offer(event{engines: append([]placement.Engine{}, engines...)})
}

// SetQuotas replaces the quotas.
func (a *Allocator) SetQuotas(limits []placement.QuotaLimit) {
	a.offer(event{limits: append([]placement.QuotaLimit{}, limits...)})
}

// SetRole tells whether this instance leads, and how many entry instances the system has.
func (a *Allocator) SetRole(leads bool, entries int) {
	a.offer(event{role: &role{leads, entries}})
}

// offer drops an event when the ring is full: an update that is missed is asked for again, and lists,
// quotas and roles are set again with every change and every heartbeat.
func (a *Allocator) offer(e event) {
	if a.events.Offer(e) != nil {
		a.dropped.Inc()
	}
}

// Run serves until ctx ends.
func (a *Allocator) Run(ctx context.Context) error {
	a.core.SetScope(a.options.DataCentre)
	a.settleUntil = clock() + settleTime
	return duty.Loop(ctx, a.events.Ready(), a.nextTick, func() {
		now := clock()
		a.events.Drain(func(e event) { a.take(now, &e) })
		a.forgetOwners(now)
		a.decide(now)
		a.send()
	})
}

// nextTick avoids wake-ups while nothing waits.
func (a *Allocator) nextTick() time.Duration {
	if a.core.Waiting() > 0 {
		return tickInterval
	}
	return ownerTimeout / 4
}

func clock() time.Duration { return time.Duration(boottime.Now()) }

func (a *Allocator) take(now time.Duration, e *event) {
	switch {
	case e.update != nil:
		a.update(now, e.from, e.update)
	case e.engines != nil:
		a.core.SetEngines(e.engines)
	case e.limits != nil:
		a.core.SetQuotas(now, e.limits)
	case e.role != nil:
		a.setRole(now, *e.role)
	}
}

func (a *Allocator) setRole(now time.Duration, r role) {
	a.entries = r.entries
	if r.leads != a.leads {
		a.leads = r.leads
		a.settleUntil = now + settleTime
		scope := a.options.DataCentre
		if r.leads {
			scope = ""
		}
		a.core.SetScope(scope)
		a.options.Logger.Info().Bool("leads", r.leads).Int("owners", len(a.owners)).Msg("allocator scope changed")
	}
	a.updateShare(now)
}

// updateShare divides the quotas. The leading allocator leaves to the instances that it doesn't hear
// what they may spend under another allocator or alone; that one spends only their part.
func (a *Allocator) updateShare(now time.Duration) {
	if a.entries == 0 {
		a.core.SetQuotaShare(now, 1)
		return
	}
	own := min(float64(len(a.owners))/float64(a.entries), 1)
	a.core.SetQuotaShare(now, own)
}

func (a *Allocator) update(now time.Duration, from link.Sender, u *fleet.Update) {
	o := a.owners[from.Name]
	if o == nil || o.incarnation != from.Incarnation {
		a.core.RemoveOwner(from.Name)
		o = &owner{name: from.Name, dataCentre: from.DataCentre, incarnation: from.Incarnation}
		a.owners[from.Name] = o
		a.updateShare(now)
	}
	o.heard = now
	if u.Leave {
		a.core.RemoveOwner(o.name)
		delete(a.owners, o.name)
		a.updateShare(now)
		return
	}
	answer := o.reply()
	if !u.Full && (!o.synced || u.Sequence != o.received+1) {
		o.synced = false
		answer.FullUpdateNeeded = true
		return
	}
	o.received, o.synced = u.Sequence, true
	answer.LastUpdate = u.Sequence
	if u.Full {
		a.reconcile(now, o, u)
	}
	a.apply(now, o, u)
}

// reconcile makes the core hold exactly what the owner has.
func (a *Allocator) reconcile(now time.Duration, o *owner, u *fleet.Update) {
	held := make(map[placement.RequestID]bool, len(u.Arrivals)+len(u.Runs))
	for i := range u.Arrivals {
		held[requestID(o.name, u.Arrivals[i].ID)] = true
	}
	for i := range u.Runs {
		held[requestID(o.name, u.Runs[i].Request.ID)] = true
	}
	for _, id := range a.core.RequestsOf(o.name) {
		if !held[id] {
			a.core.End(now, id, placement.OutcomeUnused, 0)
		}
	}
	for i := range u.Runs {
		r := &u.Runs[i]
		a.core.AddRunning(now, o.request(now, &r.Request), r.Engine, r.Started)
	}
}

func (a *Allocator) apply(now time.Duration, o *owner, u *fleet.Update) {
	for i := range u.Arrivals {
		arrival := &u.Arrivals[i]
		request := o.request(now, arrival)
		if waits, runsAt := a.core.Lookup(request.ID); runsAt != nil {
			// The grant was lost on its way.
			o.reply().Grants = append(o.reply().Grants, fleet.Grant{ID: arrival.ID, Engine: *runsAt})
		} else if !waits {
			a.core.Enqueue(now, request)
		}
	}
	for _, id := range u.Withdrawals {
		a.core.Withdraw(requestID(o.name, id))
	}
	for _, id := range u.Starts {
		a.core.FirstEvent(now, requestID(o.name, id))
	}
	for _, end := range u.Ends {
		a.core.End(now, requestID(o.name, end.ID), end.Outcome, end.Tokens)
	}
	for _, charge := range u.Charges {
		a.core.Charge(now, charge.Workspace, charge.Amount)
	}
}

func (o *owner) request(now time.Duration, in *fleet.Request) placement.Request {
	return placement.Request{
		ID: requestID(o.name, in.ID), Owner: o.name, DataCentre: o.dataCentre,
		Service: in.Service, Workspace: in.Workspace, Charge: in.Charge, Tier: in.Tier, Route: in.Route, PartlyDelivered: in.PartlyDelivered,
		PromptTokens: in.PromptTokens, ExpectedOutputTokens: in.ExpectedOutputTokens, MaxOutputTokens: in.MaxOutputTokens, ExcludedEngines: in.ExcludedEngines,
		ArrivedAt:          now - time.Duration(in.AgeMS)*time.Millisecond,
		FirstEventDue:      now + time.Duration(in.FirstEventDueMS)*time.Millisecond,
		FirstEventDeadline: now + time.Duration(in.FirstEventDeadlineMS)*time.Millisecond,
		Deadline:           now + time.Duration(in.DeadlineMS)*time.Millisecond,
		CallerTimeout:      time.Duration(in.CallerTimeoutMS) * time.Millisecond,
	}
}

// requestID makes the number of a request unique among all owners.
func requestID(owner string, number uint64) placement.RequestID {
	return placement.RequestID(owner + "/" + strconv.FormatUint(number, 10))
}

// numberOf is the inverse of requestID.
func numberOf(owner string, id placement.RequestID) uint64 {
	n, err := strconv.ParseUint(string(id[len(owner)+1:]), 10, 64)
	if err != nil {
		return 0 // requestID wrote a number, so this is not reached
	}
	return n
}

func (a *Allocator) forgetOwners(now time.Duration) {
	for name, o := range a.owners {
		if now-o.heard <= ownerTimeout {
			continue
		}
		a.core.RemoveOwner(name)
		delete(a.owners, name)
		a.updateShare(now)
		a.options.Logger.Warn().Str("peer", name).Dur("silent", now-o.heard).Msg("entry instance lost; its requests are forgotten")
	}
}

func (a *Allocator) decide(now time.Duration) {
	if now < a.settleUntil {
		return
	}
	grants, rejections := a.core.Decide(now)
	for _, g := range grants {
		if o := a.owners[g.Owner]; o != nil {
			o.reply().Grants = append(o.reply().Grants, fleet.Grant{ID: numberOf(g.Owner, g.Request), Engine: g.Engine, Running: g.Running})
		}
	}
	for _, r := range rejections {
		if o := a.owners[r.Owner]; o != nil {
			o.reply().Rejections = append(o.reply().Rejections, fleet.Rejection{
				ID: numberOf(r.Owner, r.Request), Reason: r.Reason, RetryAfterMS: r.RetryAfter.Milliseconds(),
				Waiting: r.Waiting, ExpectedWaitMS: r.ExpectedWait.Milliseconds(), Capacity: r.Capacity, LikelyRetry: r.LikelyRetry,
			})
		}
	}
	for _, h := range a.core.HealthChanges() {
		a.options.Logger.Info().EmbedObject(&h).Msg(placement.HealthMessage)
	}
	a.granted.Add(len(grants))
	a.rejected.Add(len(rejections))
	a.waiting.Update(float64(a.core.Waiting()))
}

func (o *owner) reply() *fleet.Decisions {
	if o.answer == nil {
		o.answer = &fleet.Decisions{LastUpdate: o.received}
	}
	return o.answer
}

// send sends the answers that were built. A lost one leaves a gap that its receiver notices.
func (a *Allocator) send() {
	var exhausted []string
	for _, o := range a.owners {
		if o.answer == nil {
			continue
		}
		if exhausted == nil {
			exhausted = a.core.ExhaustedWorkspaces(clock())
		}
		o.sequence++
		o.answer.Sequence = o.sequence
		o.answer.ExhaustedWorkspaces = exhausted
		if err := a.options.Caller.Send(o.name, fleet.KindDecisions, o.answer); err != nil {
			a.options.Logger.Debug().Str("peer", o.name).Err(err).Msg("answer not sent")
		}
		o.answer = nil
	}
}
