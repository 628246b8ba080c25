// Package allocator runs the placement core as a worker. It receives the updates of the entry instances
// through a bounded ring and replies with grants and rejections.
package allocator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/internal/boottime"
	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/internal/worker"
	"github.com/primrosebeam/primrosebeam/origin"
	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/ring"
	"github.com/primrosebeam/primrosebeam/rollout"
)

const (
	// tickInterval is the interval between scheduling decisions while requests wait and no event arrives.
	// It bounds the delay of a rejection.
	tickInterval = 25 * time.Millisecond
	// ownerTimeout is the time without an update after which the waiting requests of an entry instance are
	// removed. Entry instances send an update every 250 ms.
	ownerTimeout = 2 * time.Second
	// pauseLimit is the time between two decisions from which this process is considered to have been paused.
	// It is three times the longest tick.
	pauseLimit = 3 * ownerTimeout / 4
	// reportTime is how long a new allocator waits for the entry instances to report their running requests
	// before it issues grants. Entry instances learn of a new allocator within the 200 ms between two
	// heartbeats.
	reportTime = 250 * time.Millisecond
	// idleReportTime replaces reportTime while no instance has reported a running request, as after the start of
	// the whole system.
	idleReportTime = 60 * time.Millisecond
	// ringCapacity bounds the queued events. It is sized for 400 entry instances with one update in
	// transit each.
	ringCapacity = 2048
)

// Options configures an Allocator.
type Options struct {
	Caller     link.Caller
	DataCentre string // grants are limited to it while this instance does not lead
	Features   placement.Features
	// AwaitQuotas lets the allocator ignore updates until quotas are set, so that entry instances decide themselves by
	// the quotas that they know. After a restart the configuration is known only once there is a leader.
	AwaitQuotas bool
	// Rollouts are the limits for new versions, or nil if there are no roll-outs.
	Rollouts *rollout.Limits
	// OnRollout is called with decisions that have to be stored, again until SetRollouts shows that they are. It must not
	// block.
	OnRollout func(rollout.Decision)
	OnBegun   func([]origin.Record) // called with the origins that entry instances report; must not block
	Logger    zerolog.Logger
	Metrics   *metrics.Set
}

// Allocator is the worker that owns the placement core. The methods SetEngines, SetQuotas, SetRole, TakeOver,
// SetRollouts, Learned and HandleUpdate may be called from any goroutine.
type Allocator struct {
	options Options
	events  *ring.Ring[event]

	core              *placement.Core
	backends          *placement.BackendSums // nil unless limits are learned
	notices           *placement.Notices     // leaving engines and rate limits that entry instances reported
	owners            map[string]*owner
	silent            map[string]uint64        // incarnations of instances that fell silent, by name
	served            map[string]time.Duration // when instances were last served here, by name
	leads             bool
	grantsPausedUntil time.Duration
	reports           reports                           // since grants were paused
	lastRun           time.Duration                     // time of the last decision
	entryInstances    int                               // number of entry instances in the whole system
	learned           atomic.Pointer[placement.Learned] // published at publishedAt
	publishedAt       time.Duration
	limits            atomic.Pointer[[]placement.EngineLimit] // published at publishedAt

	granted, rejected, dropped, permits *metrics.Counter
	passedOver, rejectedByShare         *metrics.Counter // see docs/design/fair-shares.md
	waiting, slowness, limitShare       *metrics.Histogram
	// exposed counts the requests that new versions got in the roll-outs in progress, and exposedOf all of their services.
	exposed, exposedOf *metrics.Gauge
}

// owner is an entry instance and the state of its message streams.
type owner struct {
	name        string
	dataCentre  string
	incarnation uint64
	received    uint64 // sequence number of the last update that was applied
	synced      bool   // no update was missed since the last full one
	reported    bool   // has sent a full update
	sequence    uint64 // sequence number of the last message that was sent
	lastSeen    time.Duration
	decisions   *fleet.Decisions // message being built; nil if there is nothing to send
}

// event is an input of the worker. Exactly one of update, engines, limits, learned, role and orders is set.
type event struct {
	from    link.Sender
	update  *fleet.Update
	engines []placement.Engine     // new list of engines, not nil if set
	limits  []placement.QuotaLimit // new quota limits, not nil if set
	learned *placement.Learned     // what another allocator has learned
	role    *role
	orders  []placement.Rollout // not nil if set
}

// role is the role of this instance in the system, as passed to SetRole.
type role struct {
	leads          bool
	entryInstances int
}

// New returns an Allocator without engines.
func New(o Options) *Allocator {
	a := &Allocator{
		options:  o,
		events:   ring.New[event](ringCapacity),
		core:     placement.NewWith(o.Features),
		notices:  placement.NewNotices(),
		owners:   map[string]*owner{},
		silent:   map[string]uint64{},
		served:   map[string]time.Duration{},
		granted:  o.Metrics.NewCounter("primrosebeam_placement_grants_total"),
		rejected: o.Metrics.NewCounter("primrosebeam_placement_rejections_total"),
		permits:  o.Metrics.NewCounter("primrosebeam_placement_permits_total"),
		dropped:  o.Metrics.NewCounter("primrosebeam_placement_updates_dropped_total"),
		waiting:  o.Metrics.NewHistogram("primrosebeam_placement_waiting_requests"),

		passedOver:      o.Metrics.NewCounter("primrosebeam_placement_passed_over_total"),
		rejectedByShare: o.Metrics.NewCounter("primrosebeam_placement_share_rejections_total"),
		slowness:        o.Metrics.NewHistogram("primrosebeam_placement_engine_slowness"),
		limitShare:      o.Metrics.NewHistogram("primrosebeam_placement_engine_limit_share"),
		exposed:         o.Metrics.NewGauge("primrosebeam_rollout_exposed_requests", nil),
		exposedOf:       o.Metrics.NewGauge("primrosebeam_rollout_requests", nil),
	}
	if o.Features.LearnedLimits {
		a.backends = placement.NewBackendSums()
	}
	return a
}

// HandleUpdate is the link handler for fleet.KindUpdate.
func (a *Allocator) HandleUpdate(_ context.Context, from link.Sender, body []byte) (any, error) {
	update := &fleet.Update{}
	if err := link.Decode(body, update); err != nil {
		return nil, err
	}
	if len(update.Begun) > 0 && a.options.OnBegun != nil {
		a.options.OnBegun(update.Begun)
	}
	a.enqueue(event{from: from, update: update})
	return nil, nil
}

// SetEngines replaces the list of engines.
func (a *Allocator) SetEngines(engines []placement.Engine) {
	a.enqueue(event{engines: append([]placement.Engine{}, engines...)})
}

// SetQuotas replaces the quota limits of the workspaces.
func (a *Allocator) SetQuotas(limits []placement.QuotaLimit) {
	a.enqueue(event{limits: append([]placement.QuotaLimit{}, limits...)})
}

// SetRole sets whether this instance leads, and the number of entry instances in the system.
func (a *Allocator) SetRole(leads bool, entryInstances int) {
	a.enqueue(event{role: &role{leads, entryInstances}})
}

// TakeOver passes what another allocator has learned.
func (a *Allocator) TakeOver(l placement.Learned) { a.enqueue(event{learned: &l}) }

// Learned returns what this allocator had learned up to publishInterval ago.
func (a *Allocator) Learned() placement.Learned {
	if l := a.learned.Load(); l != nil {
		return *l
	}
	return placement.Learned{}
}

// publishInterval is the interval at which the result of Learned is updated.
const publishInterval = time.Second

func (a *Allocator) publishLearned(now time.Duration) {
	if now-a.publishedAt < publishInterval {
		return
	}
	a.publishedAt = now
	l := a.core.Learned()
	l.Blocked = a.core.BlockedParts(now)
	a.learned.Store(&l)
	a.publishLimits()
}

// enqueue queues an event, or drops it if the ring is full. A missed update is requested again; engines,
// quotas and roles are set again with every change and every heartbeat.
func (a *Allocator) enqueue(e event) {
	if a.events.Offer(e) != nil {
		a.dropped.Inc()
	}
}

// Run processes events until ctx is cancelled.
func (a *Allocator) Run(ctx context.Context) error {
	a.core.SetScope(a.options.DataCentre)
	a.pauseGrants(clock())
	return worker.Loop(ctx, a.events.Ready(), a.nextTick, func() {
		now := clock()
		a.checkPause(now)
		a.events.Drain(func(e event) { a.handle(now, &e) })
		a.removeSilentOwners(now)
		a.decide(now)
		a.send()
		a.publishLearned(now)
	})
}

// checkPause detects that this process was paused. Other allocators may have issued grants meanwhile, so the
// entry instances have to report all their requests before this one issues grants again.
func (a *Allocator) checkPause(now time.Duration) {
	paused := now - a.lastRun
	former := a.lastRun
	a.lastRun = now
	if former == 0 || paused <= pauseLimit {
		return
	}
	a.pauseGrants(now)
	for _, o := range a.owners {
		a.core.DetachOwner(o.name)
		o.synced = false
		o.lastSeen = now // it may have sent updates that were not received
	}
	a.options.Logger.Warn().Dur("paused", paused).Int("owners", len(a.owners)).Msg("allocator was paused; waiting for reports")
}

// nextTick returns the time until the next decision without an event. It is longer while no request waits and no
// permits are wanted, to avoid unnecessary wake-ups.
func (a *Allocator) nextTick() time.Duration {
	if a.core.Waiting() > 0 || a.core.WantsPermits() {
		return tickInterval
	}
	return ownerTimeout / 4
}

func clock() time.Duration { return time.Duration(boottime.Now()) }

func (a *Allocator) handle(now time.Duration, e *event) {
	switch {
	case e.update != nil:
		a.handleUpdate(now, e.from, e.update)
	case e.engines != nil:
		a.core.SetEngines(a.notices.Apply(now, e.engines))
		a.core.SetRateLimits(now, a.notices.RateLimits())
		if a.backends != nil {
			a.backends.SetEngines(e.engines)
		}
	case e.limits != nil:
		a.core.SetQuotas(now, e.limits)
	case e.learned != nil:
		a.core.TakeOver(*e.learned)
		a.core.FollowBlockedParts(now, e.learned.Blocked)
	case e.role != nil:
		a.setRole(now, *e.role)
	case e.orders != nil:
		a.core.SetRollouts(now, e.orders, a.options.Rollouts)
	}
}

func (a *Allocator) setRole(now time.Duration, r role) {
	a.entryInstances = r.entryInstances
	if r.leads != a.leads {
		a.leads = r.leads
		a.pauseGrants(now)
		scope := a.options.DataCentre
		if r.leads {
			scope = ""
		}
		a.core.SetScope(scope)
		a.core.DirectRollouts(r.leads)
		a.options.Logger.Info().Bool("leads", r.leads).Int("owners", len(a.owners)).Msg("allocator scope changed")
	}
	a.updateQuotaShare(now)
}

// reports summarizes the full updates that entry instances have sent.
type reports struct {
	instances int
	runs      int
}

// pauseGrants stops grants until the entry instances have reported their running requests.
func (a *Allocator) pauseGrants(now time.Duration) {
	a.grantsPausedUntil = now + reportTime
	a.core.RestartRateLimits(now)
	a.core.RestartShares()
	a.core.ForgetSuspicions(now)
	a.reports = reports{}
}

// grantsPaused reports whether grants have to wait for reports.
func (a *Allocator) grantsPaused(now time.Duration) bool {
	idle := a.reports.instances > 0 && a.reports.runs == 0
	return now < a.grantsPausedUntil && !(idle && now >= a.grantsPausedUntil-reportTime+idleReportTime)
}

// updateQuotaShare sets the quota share in proportion to the entry instances that report to this
// allocator. The share of the other instances is left unused here, because they may report to another
// allocator, which spends only their share, or grant slots to their requests themselves.
func (a *Allocator) updateQuotaShare(now time.Duration) {
	if a.entryInstances == 0 {
		a.core.SetQuotaShare(now, 1)
		return
	}
	share := min(float64(len(a.owners))/float64(a.entryInstances), 1)
	a.core.SetQuotaShare(now, share)
}

func (a *Allocator) handleUpdate(now time.Duration, from link.Sender, u *fleet.Update) {
	if a.options.AwaitQuotas && !a.core.QuotasKnown() {
		return
	}
	o := a.owners[from.Name]
	if o == nil || o.incarnation != from.Incarnation {
		if o != nil || a.silent[from.Name] != from.Incarnation {
			a.core.RemoveOwner(from.Name) // the requests belong to an earlier start of the instance
		}
		delete(a.silent, from.Name)
		if len(a.owners) == 0 {
			a.core.ForgetSuspicions(now) // another allocator may have seen what clears them
		}
		o = &owner{name: from.Name, dataCentre: from.DataCentre, incarnation: from.Incarnation}
		a.owners[from.Name] = o
		a.updateQuotaShare(now)
	}
	o.lastSeen = now
	if u.Leave {
		a.core.RemoveOwner(o.name)
		delete(a.owners, o.name)
		a.updateQuotaShare(now)
		return
	}
	decisions := o.pendingDecisions()
	if !u.Full && (!o.synced || u.Sequence != o.received+1) {
		o.synced = false
		decisions.FullUpdateNeeded = true
		return
	}
	o.received, o.synced = u.Sequence, true
	decisions.LastUpdate = u.Sequence
	if u.Full {
		a.reports.instances++
		a.reports.runs += len(u.Runs)
		for _, notice := range a.notices.Leaving() {
			decisions.AddLeaving(notice)
		}
		if !o.reported {
			// Later ones may lack a change that this allocator has made.
			o.reported = true
			a.core.AdoptBlockedParts(now, u.Blocked)
			if _, known := a.served[o.name]; !known {
				a.core.TakeOverSpending(now, u.Spent)
			}
			if u.Served || len(u.Runs) > 0 {
				a.core.CountFrom(now) // another allocator has served this instance
			}
		}
		decisions.Blocked = a.blockList(now)
		decisions.RateLimits = fleet.NewRateLimits(now, a.notices.RateLimits())
		a.reconcile(now, o, u)
	}
	a.served[o.name] = now
	a.core.SetPermitDemand(o.name, o.dataCentre, u.PermitDemand)
	a.applyNotices(now, o, u)
	a.apply(now, o, u)
}

// applyNotices records what engines have stated to an entry instance. Leaving engines are reported to the
// other entry instances with their next decisions.
func (a *Allocator) applyNotices(now time.Duration, from *owner, u *fleet.Update) {
	for _, notice := range u.LeavingNotices() {
		if !a.notices.RecordLeaving(now, notice.Engine, notice.Born) {
			continue
		}
		a.core.MarkLeaving(notice.Engine, notice.Born)
		a.options.Logger.Info().Str("engine", notice.Engine).Str("peer", from.name).Msg("engine states that it is leaving")
		for _, o := range a.owners {
			if o != from {
				o.pendingDecisions().AddLeaving(notice)
			}
		}
	}
	for _, rest := range u.Rests {
		a.core.Rest(now, now+time.Duration(rest.LeftMS)*time.Millisecond, from.name, rest.Engine)
	}
	for i := range u.RateLimits {
		a.recordRateLimit(now, from, &u.RateLimits[i])
	}
	if a.backends != nil {
		a.backends.Add(now, u.Backends)
	}
}

// recordRateLimit records what an engine has stated to an entry instance and reports a change to the others.
func (a *Allocator) recordRateLimit(now time.Duration, from *owner, reported *fleet.RateLimit) {
	limit := reported.Received(now)
	if !a.notices.RecordRateLimit(limit) {
		return
	}
	a.core.SetRateLimits(now, a.notices.RateLimits())
	a.options.Logger.Info().Str("engine", limit.Engine).Str("peer", from.name).Float64("perSecond", limit.PerSecond).
		Bool("lifted", limit.Lifted).Dur("age", now-limit.At).Msg("rate limit of an engine changed")
	for _, o := range a.owners {
		if o != from {
			o.pendingDecisions().RateLimits = append(o.pendingDecisions().RateLimits, *reported)
		}
	}
}

// reconcile makes the requests that the core holds for an owner match a full update.
func (a *Allocator) reconcile(now time.Duration, o *owner, u *fleet.Update) {
	reported := make(map[placement.RequestID]bool, len(u.Arrivals)+len(u.Runs))
	for i := range u.Arrivals {
		reported[requestID(o.name, u.Arrivals[i].ID)] = true
	}
	for i := range u.Runs {
		reported[requestID(o.name, u.Runs[i].Request.ID)] = true
	}
	for _, id := range a.core.RequestsOf(o.name) {
		if !reported[id] {
			a.core.End(now, id, placement.OutcomeUnused, 0)
		}
	}
	for i := range u.Runs {
		r := &u.Runs[i]
		firstEventAt := time.Duration(0)
		if r.Started {
			firstEventAt = now - time.Duration(r.FirstEventAgeMS)*time.Millisecond
		}
		a.core.AddRunning(o.request(now, &r.Request), r.Engine, now-time.Duration(r.GrantAgeMS)*time.Millisecond, firstEventAt)
	}
}

func (a *Allocator) apply(now time.Duration, o *owner, u *fleet.Update) {
	for i := range u.Arrivals {
		arrival := &u.Arrivals[i]
		request := o.request(now, arrival)
		if waiting, runsAt := a.core.Lookup(request.ID); runsAt != nil {
			// The earlier grant was lost, so it is sent again.
			o.pendingDecisions().Grants = append(o.pendingDecisions().Grants, fleet.Grant{ID: arrival.ID, Engine: *runsAt})
		} else if !waiting {
			a.core.Enqueue(now, request)
		}
	}
	for _, id := range u.Withdrawals {
		a.core.Withdraw(requestID(o.name, id))
	}
	for _, id := range u.Starts {
		a.core.FirstEvent(now, requestID(o.name, id))
	}
	for _, p := range u.Progress {
		a.core.Progress(now, requestID(o.name, p.ID), p.Tokens, time.Duration(p.TookMS)*time.Millisecond)
	}
	for _, end := range u.Ends {
		if end.ServerError {
			a.core.MarkServerError(requestID(o.name, end.ID))
		}
		a.core.End(now, requestID(o.name, end.ID), end.Outcome, end.Tokens)
	}
	for _, charge := range u.Charges {
		a.core.Charge(now, charge.Workspace, charge.Amount)
	}
	for i := range u.Measured {
		m := &u.Measured[i]
		a.core.RecordPlainRequests(now, m.Service, m.Requests, m.RolloutSamples())
	}
	for i := range u.Responses {
		a.core.RecordResponse(now, u.Responses[i].Service, u.Responses[i].Parts)
	}
	for i := range u.Losses {
		loss := &u.Losses[i]
		a.core.RecordLostRequest(now, &placement.LostRequest{
			Engine: loss.Engine, Parts: loss.Parts, SentAt: now - time.Duration(loss.SentAgeMS)*time.Millisecond,
			LostAt: now - time.Duration(loss.LostAgeMS)*time.Millisecond,
		})
	}
	for _, engine := range u.Unreachable {
		a.core.RecordUnreachable(now, engine)
	}
}

func (a *Allocator) decide(now time.Duration) {
	if a.grantsPaused(now) {
		return
	}
	grants, rejections := a.core.Decide(now)
	for _, g := range grants {
		if o := a.owners[g.Owner]; o != nil {
			o.pendingDecisions().Grants = append(o.pendingDecisions().Grants, fleet.Grant{
				ID: requestNumber(g.Owner, g.Request), Engine: g.Engine, Running: g.Running,
			})
		}
	}
	for _, r := range rejections {
		if r.Reason == placement.ReasonShare {
			a.rejectedByShare.Inc()
		}
		if o := a.owners[r.Owner]; o != nil {
			o.pendingDecisions().Rejections = append(o.pendingDecisions().Rejections, fleet.Rejection{
				ID: requestNumber(r.Owner, r.Request), Reason: r.Reason, RetryAfterMS: r.RetryAfter.Milliseconds(),
				Waiting: r.Waiting, ExpectedWaitMS: r.ExpectedWait.Milliseconds(), Capacity: r.Capacity,
				LikelyRetry: r.LikelyRetry,
			})
		}
	}
	permits := a.core.GrantPermits(now)
	a.permits.Add(len(permits))
	for _, permit := range permits {
		if o := a.owners[permit.Owner]; o != nil {
			o.pendingDecisions().Permits = fleet.AddPermit(o.pendingDecisions().Permits, permit.Engine)
		}
	}
	a.decideRollouts(now)
	for _, h := range a.core.HealthChanges() {
		a.options.Logger.Info().EmbedObject(&h).Msg(placement.HealthMessage)
	}
	a.logLimitChanges()
	for _, crash := range a.core.Crashes() {
		a.options.Logger.Info().Str("engine", crash.Engine).Str("service", crash.Service).Int("lost", crash.Lost).
			Int("unstarted", crash.Unstarted).Msg("engine crashed")
	}
	for _, n := range a.core.ShareNotices() {
		a.options.Logger.Info().Str("service", n.Service).Str("workspace", n.Workspace).Float64("demand", n.Demand).
			Float64("share", n.Share).Msg("workspace asks for more than its fair share of engine time")
	}
	a.passedOver.Set(a.core.PassedOver())
	a.publishPartChanges(now)
	a.publishBackends(now)
	a.granted.Add(len(grants))
	a.rejected.Add(len(rejections))
	a.waiting.Update(float64(a.core.Waiting()))
}

func (o *owner) pendingDecisions() *fleet.Decisions {
	if o.decisions == nil {
		o.decisions = &fleet.Decisions{LastUpdate: o.received}
	}
	return o.decisions
}

// send sends the pending decisions to each owner. A receiver detects a lost message by the gap in the
// sequence numbers.
func (a *Allocator) send() {
	var exhausted []string
	for _, o := range a.owners {
		if o.decisions == nil {
			continue
		}
		if exhausted == nil {
			exhausted = a.core.ExhaustedWorkspaces(clock())
		}
		o.sequence++
		o.decisions.Sequence = o.sequence
		o.decisions.ExhaustedWorkspaces = exhausted
		if err := a.options.Caller.Send(o.name, fleet.KindDecisions, o.decisions); err != nil {
			a.options.Logger.Debug().Str("peer", o.name).Err(err).Msg("decisions not sent")
		}
		o.decisions = nil
	}
}
