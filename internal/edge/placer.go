package edge

import (
	"context"
	"errors"
	"maps"
	"slices"
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
	// heartbeat is the maximum interval between two updates to the allocator.
	heartbeat = 250 * time.Millisecond
	// replyTimeout is how long an update may stay without a reply before another allocator is chosen. It
	// exceeds the time for the retransmission of one lost packet (200 ms and a round trip).
	replyTimeout = 350 * time.Millisecond
	// minBackoff is the time for which an allocator that did not reply is not chosen. It doubles with each
	// missing reply up to maxBackoff.
	minBackoff = time.Second
	maxBackoff = 4 * time.Second
	// eventCapacity is the capacity of the event ring: a few events for each of 4,000 connections.
	eventCapacity = 16384
)

// ticket is a request for a slot.
type ticket struct {
	id        uint64
	request   placement.Request // its times are readings of clock
	decision  chan slotDecision // capacity 1
	withdrawn bool              // the worker has handled Cancel
	engine    string            // engine on which the request holds a slot, or empty
	grantedAt time.Duration
	// firstEventAt is the time of the first event of the response, 0 while there is none.
	firstEventAt time.Duration
	progress     progress
	serverError  bool // the complete response was a server error; set before End
}

// slotDecision is the decision about a ticket: an engine, or a reason for the rejection.
type slotDecision struct {
	engine      placement.Engine
	at          time.Duration    // when this instance learned of it
	reason      placement.Reason // set if the request was rejected
	retryAfter  time.Duration
	allocator   string        // allocator that decided; empty for this instance
	running     int           // number of requests on the engine, including this one
	waiting     int           // number of waiting requests when this one was rejected
	wait        time.Duration // expected wait of the request when it was rejected
	capacity    float64       // capacity of the service, in engines of average speed
	likelyRetry bool          // the request was classified as a retry of a rejected one
}

type placerEvent struct {
	kind      eventKind
	ticket    *ticket
	engine    string // of eventRest
	leaving   placement.LeavingNotice
	until     time.Duration // end of the rest
	limit     placement.RateLimit
	lost      *placement.LostRequest // of eventLost
	begun     origin.Record          // of eventBegun
	response  fleet.Response
	service   string // of eventMeasured
	measured  fleet.MeasuredSample
	rollouts  []rollout.Rollout
	outcome   placement.Outcome
	tokens    int
	charge    fleet.Charge
	from      string
	decisions *fleet.Decisions
	engines   []placement.Engine
	limits    []placement.QuotaLimit
}

type eventKind uint8

const (
	eventArrive eventKind = iota
	eventCancel
	eventFirstEvent
	eventEnd
	eventCharge
	eventDecisions
	eventEngines
	eventQuotas
	eventLeaving
	eventRest
	eventRateLimit
	eventPermitNeeded
	eventLost
	eventUnreachable
	eventResponse
	eventBegun
	eventMeasured
	eventRollouts
)

// placer is the worker that acquires slots for this instance's requests. It asks the leader's allocator,
// else a control instance of its own data centre. If it reaches none, it grants slots locally.
type placer struct {
	link             link.Caller
	name             string
	dataCentre       string
	allocators       func() []string
	entryCount       func() int
	notices          *placement.Notices
	balancer         *placement.Balancer
	blocked          *placement.BlockList
	onLeaving        func(notice placement.LeavingNotice, source string) bool // must not block
	origins          func() []origin.Record                                   // of all streams that began at this instance
	logger           zerolog.Logger
	events           *ring.Ring[placerEvent]
	lastID           atomic.Uint64
	exhausted        atomic.Pointer[[]string]
	currentAllocator atomic.Pointer[string] // empty for this instance; stored only by the worker

	tickets         map[uint64]*ticket // waiting and running requests by ID
	pending         *fleet.Update      // update being collected, nil if it is empty
	needsFullUpdate bool               // the next update must contain the complete state

	lastSent        uint64        // sequence number of the last update sent
	lastReply       uint64        // sequence number of the last reply
	served          bool          // an allocator, or this instance, has decided about requests
	unansweredSince time.Duration // time from which a reply is awaited, 0 if none is
	sentAt          time.Duration // time of the last update
	backoffs        map[string]backoff

	local    *placement.Core // decides while no allocator is reachable
	spending *placement.SpendingLog
	// learnsLimits states that the progress of streams is reported, last at progressAt.
	learnsLimits bool
	progressAt   time.Duration
	engines      []placement.Engine

	switches *metrics.Counter
	// unreachableAt holds when an engine of a plain service was last reported to accept no connection.
	unreachableAt map[string]time.Duration
}

// unreachableInterval is the interval at which the same unreachable engine is reported.
const unreachableInterval = time.Second

type backoff struct {
	until time.Duration
	delay time.Duration
}

func newPlacer(
	o Options, l link.Caller, control *controlClient, notices *placement.Notices, balancer *placement.Balancer,
	onLeaving func(notice placement.LeavingNotice, source string) bool,
) *placer {
	p := &placer{
		link: l, name: control.name, dataCentre: control.dataCentre, allocators: control.allocators,
		notices: notices, balancer: balancer, blocked: &placement.BlockList{}, onLeaving: onLeaving,
		origins:    func() []origin.Record { return nil },
		entryCount: func() int { return int(control.entryCount.Load()) },
		logger:     o.Logger,
		events:     ring.New[placerEvent](eventCapacity),
		tickets:    map[uint64]*ticket{},
		backoffs:   map[string]backoff{},

		unreachableAt: map[string]time.Duration{},
		local:         placement.NewWith(o.Features),
		learnsLimits:  o.Features.LearnedLimits,
		spending:      placement.NewSpendingLog(control.quotaWindow),
		switches:      o.Metrics.NewCounter("primrosebeam_allocator_switches_total"),
	}
	p.lastID.Store(uint64(clock())) // decisions for an earlier start name no request of this one
	none := ""
	p.currentAllocator.Store(&none)
	p.exhausted.Store(&[]string{})
	return p
}

func clock() time.Duration { return time.Duration(boottime.Now()) }

// Submit requests a slot. It returns a *ring.FullError when too many events are queued.
func (p *placer) Submit(r placement.Request) (*ticket, error) {
	t := &ticket{id: p.lastID.Add(1), request: r, decision: make(chan slotDecision, 1)}
	return t, p.events.Offer(placerEvent{kind: eventArrive, ticket: t})
}

// Cancel withdraws a ticket.
func (p *placer) Cancel(t *ticket) { p.post(placerEvent{kind: eventCancel, ticket: t}) }

// FirstEvent reports that the first event of the response has arrived.
func (p *placer) FirstEvent(t *ticket) { p.post(placerEvent{kind: eventFirstEvent, ticket: t}) }

// Begun reports the origin of a stream whose first event has arrived.
func (p *placer) Begun(r origin.Record) { p.post(placerEvent{kind: eventBegun, begun: r}) }

// End reports that the request has ended and releases its slot.
func (p *placer) End(t *ticket, outcome placement.Outcome, tokens int) {
	p.post(placerEvent{kind: eventEnd, ticket: t, outcome: outcome, tokens: tokens})
}

// Charge reports the amount that a request without a ticket takes from a quota.
func (p *placer) Charge(workspace string, amount float64) {
	p.post(placerEvent{kind: eventCharge, charge: fleet.Charge{Workspace: workspace, Amount: amount}})
}

// Leaving reports that an engine has stated that it is leaving.
func (p *placer) Leaving(notice placement.LeavingNotice) {
	p.post(placerEvent{kind: eventLeaving, leaving: notice})
}

// Rest reports that an engine wants no requests from this instance before the given time.
func (p *placer) Rest(engine string, until time.Duration) {
	p.post(placerEvent{kind: eventRest, engine: engine, until: until})
}

// RateLimit reports what an engine has stated about its rate limit.
func (p *placer) RateLimit(limit placement.RateLimit) {
	p.post(placerEvent{kind: eventRateLimit, limit: limit})
}

// PermitNeeded reports at once that a request waits for a permit.
func (p *placer) PermitNeeded() { p.post(placerEvent{kind: eventPermitNeeded}) }

// Lost reports a request to a plain service whose connection was lost before a response.
func (p *placer) Lost(lost *placement.LostRequest) { p.post(placerEvent{kind: eventLost, lost: lost}) }

// Unreachable reports that an engine of a plain service accepted no connection.
func (p *placer) Unreachable(engine string) {
	p.post(placerEvent{kind: eventUnreachable, engine: engine})
}

// Responded reports a response of a plain service if the allocator has to learn of it.
func (p *placer) Responded(service string, parts []placement.PartID) {
	if p.blocked.IsWatched(parts) {
		p.post(placerEvent{kind: eventResponse, response: fleet.Response{Service: service, Parts: parts}})
	}
}

// IsExhausted reports whether the quota of a workspace is used up.
func (p *placer) IsExhausted(workspace string) bool {
	return slices.Contains(*p.exhausted.Load(), workspace)
}

// HandleDecisions is the link handler for the allocator's replies.
func (p *placer) HandleDecisions(_ context.Context, from link.Sender, body []byte) (any, error) {
	decisions := &fleet.Decisions{}
	if err := link.Decode(body, decisions); err != nil {
		return nil, err
	}
	p.post(placerEvent{kind: eventDecisions, from: from.Name, decisions: decisions})
	return nil, nil
}

// post queues an event and waits while the ring is full, because the loss of a ticket's event would leak
// its slot. Once the worker has ended, events are dropped.
func (p *placer) post(e placerEvent) {
	var full *ring.FullError
	for errors.As(p.events.Offer(e), &full) {
		time.Sleep(time.Millisecond)
	}
}

// Run handles events until ctx is cancelled.
func (p *placer) Run(ctx context.Context) error {
	defer p.events.Close()
	return worker.Loop(ctx, p.events.Ready(), p.nextTick, func() {
		now := clock()
		p.events.Drain(func(e placerEvent) { p.handleEvent(now, &e) })
		p.chooseAllocator(now)
		p.flush(now)
		p.decideLocally(now)
	})
}

func (p *placer) nextTick() time.Duration {
	if p.allocator() == "" && (p.local.Waiting() > 0 || p.local.WantsPermits()) {
		return heartbeat / 10
	}
	return heartbeat / 2
}

func (p *placer) allocator() string { return *p.currentAllocator.Load() }

func (p *placer) handleEvent(now time.Duration, e *placerEvent) {
	switch e.kind {
	case eventArrive:
		p.arrive(now, e.ticket)
	case eventCancel:
		p.cancel(now, e.ticket)
	case eventFirstEvent:
		e.ticket.firstEventAt = now
		p.pendingUpdate().Starts = append(p.pendingUpdate().Starts, e.ticket.id)
		p.local.FirstEvent(now, placementID(e.ticket))
	case eventEnd:
		p.end(now, e.ticket, e.outcome, e.tokens)
	case eventCharge:
		p.pendingUpdate().Charges = append(p.pendingUpdate().Charges, e.charge)
		p.spending.Add(now, e.charge.Workspace, e.charge.Amount)
		p.local.Charge(now, e.charge.Workspace, e.charge.Amount)
	case eventDecisions:
		p.handleDecisions(now, e.from, e.decisions)
	case eventEngines:
		p.engines = e.engines
		p.setLocalEngines()
	case eventQuotas:
		p.local.SetQuotas(now, e.limits)
	case eventLeaving:
		p.pendingUpdate().AddLeaving(e.leaving)
		p.local.MarkLeaving(e.leaving.Engine, e.leaving.Born)
	case eventRest:
		p.pendingUpdate().Rests = append(p.pendingUpdate().Rests, newFleetRest(now, e.engine, e.until))
		p.local.Rest(now, e.until, "", e.engine)
	case eventRateLimit:
		p.pendingUpdate().RateLimits = append(p.pendingUpdate().RateLimits, fleet.NewRateLimit(now, &e.limit))
		p.applyRateLimits(now)
	case eventPermitNeeded:
		p.pendingUpdate() // carries the demand
	case eventLost:
		p.pendingUpdate().Losses = append(p.pendingUpdate().Losses, fleet.Loss{
			Engine: e.lost.Engine, Parts: e.lost.Parts,
			SentAgeMS: (now - e.lost.SentAt).Milliseconds(), LostAgeMS: (now - e.lost.LostAt).Milliseconds(),
		})
		if p.allocator() == "" {
			p.local.RecordLostRequest(now, e.lost)
		}
	case eventUnreachable:
		p.recordUnreachable(now, e.engine)
	case eventBegun:
		p.pendingUpdate().Begun = append(p.pendingUpdate().Begun, e.begun)
	case eventMeasured:
		p.pendingUpdate().AddMeasured(e.service, e.measured)
	case eventRollouts:
		p.setLocalRollouts(now, e.rollouts)
	case eventResponse:
		p.pendingUpdate().Responses = append(p.pendingUpdate().Responses, e.response)
		p.local.RecordResponse(now, e.response.Service, e.response.Parts)
	}
}

func (p *placer) recordUnreachable(now time.Duration, engine string) {
	if p.allocator() == "" {
		p.local.RecordUnreachable(now, engine)
	}
	if at, known := p.unreachableAt[engine]; known && now-at < unreachableInterval {
		return
	}
	maps.DeleteFunc(p.unreachableAt, func(_ string, at time.Duration) bool { return now-at >= unreachableInterval })
	p.unreachableAt[engine] = now
	p.pendingUpdate().Unreachable = append(p.pendingUpdate().Unreachable, engine)
}

// applyRateLimits makes the local placement and the balancer follow the rate limits that are known.
func (p *placer) applyRateLimits(now time.Duration) {
	p.local.SetRateLimits(now, p.notices.RateLimits())
	p.balancer.RateLimitsChanged()
}

func (p *placer) pendingUpdate() *fleet.Update {
	if p.pending == nil {
		p.pending = &fleet.Update{}
	}
	return p.pending
}

func (p *placer) arrive(now time.Duration, t *ticket) {
	if t.withdrawn {
		return
	}
	p.tickets[t.id] = t
	if p.allocator() == "" {
		p.arriveLocally(now, t)
		return
	}
	p.pendingUpdate().Arrivals = append(p.pendingUpdate().Arrivals, newFleetRequest(now, t))
}

func (p *placer) cancel(now time.Duration, t *ticket) {
	t.withdrawn = true
	if p.tickets[t.id] == nil {
		return
	}
	if t.engine != "" {
		p.end(now, t, placement.OutcomeUnused, 0)
		return
	}
	delete(p.tickets, t.id)
	p.pendingUpdate().Withdrawals = append(p.pendingUpdate().Withdrawals, t.id)
	p.local.Withdraw(placementID(t))
}

func (p *placer) end(now time.Duration, t *ticket, outcome placement.Outcome, tokens int) {
	if p.tickets[t.id] == nil {
		return
	}
	delete(p.tickets, t.id)
	if outcome.IsRefunded() {
		p.spending.Add(now, t.request.Workspace, -t.request.Charge)
	}
	p.pendingUpdate().Ends = append(p.pendingUpdate().Ends, fleet.End{ID: t.id, Outcome: outcome, Tokens: tokens, ServerError: t.serverError})
	p.local.End(now, placementID(t), outcome, tokens)
}

// handleDecisions applies the decisions of the current allocator. Replies from other allocators are ignored.
func (p *placer) handleDecisions(now time.Duration, from string, decisions *fleet.Decisions) {
	if from != p.allocator() {
		return
	}
	delete(p.backoffs, from)
	p.served = true
	if decisions.FullUpdateNeeded || decisions.Sequence != p.lastReply+1 {
		p.needsFullUpdate = true
	}
	p.lastReply = decisions.Sequence
	if decisions.LastUpdate >= p.lastSent {
		p.unansweredSince = 0
	} else if p.unansweredSince != 0 {
		p.unansweredSince = now
	}
	p.exhausted.Store(&decisions.ExhaustedWorkspaces)
	for _, notice := range decisions.LeavingNotices() {
		p.local.MarkLeaving(notice.Engine, notice.Born)
		p.onLeaving(notice, from)
	}
	if decisions.Blocked != nil {
		p.blocked.Set(now, decisions.Blocked.Parts, decisions.Blocked.Watched)
	}
	changed := false
	for i := range decisions.RateLimits {
		changed = p.notices.RecordRateLimit(decisions.RateLimits[i].Received(now)) || changed
	}
	if changed {
		p.applyRateLimits(now)
	}
	p.balancer.SetBackendReports(now, decisions.Backends)
	for _, permits := range decisions.Permits {
		p.balancer.AddPermits(now, permits.Engine, permits.Count)
	}
	for i := range decisions.Grants {
		p.grant(now, decisions.Grants[i].ID, slotDecision{
			engine: decisions.Grants[i].Engine, running: decisions.Grants[i].Running, allocator: from,
		})
	}
	for _, r := range decisions.Rejections {
		p.reject(r.ID, slotDecision{
			reason: r.Reason, retryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond, allocator: from,
			waiting: r.Waiting, wait: time.Duration(r.ExpectedWaitMS) * time.Millisecond,
			capacity: r.Capacity, likelyRetry: r.LikelyRetry,
		})
	}
}

func (p *placer) grant(now time.Duration, id uint64, decision slotDecision) {
	t := p.tickets[id]
	if t == nil {
		p.pendingUpdate().Ends = append(p.pendingUpdate().Ends, fleet.End{ID: id, Outcome: placement.OutcomeUnused})
		return
	}
	if t.engine != "" {
		return // duplicate grant
	}
	t.engine, t.grantedAt = decision.engine.ID, now
	p.spending.Add(now, t.request.Workspace, t.request.Charge)
	decision.at = now
	if decision.allocator != "" {
		p.local.AddRunning(placementRequest(t), t.engine, now, 0)
	}
	t.decision <- decision
}

func (p *placer) reject(id uint64, decision slotDecision) {
	t := p.tickets[id]
	if t == nil || t.engine != "" {
		return
	}
	delete(p.tickets, id)
	t.decision <- decision
}

// chooseAllocator switches to the first allocator that is not in backoff. The current allocator enters
// backoff when its reply is overdue.
func (p *placer) chooseAllocator(now time.Duration) {
	current := p.allocator()
	if current != "" && p.unansweredSince != 0 && now-p.unansweredSince > replyTimeout {
		delay := min(max(2*p.backoffs[current].delay, minBackoff), maxBackoff)
		p.backoffs[current] = backoff{until: now + delay, delay: delay}
	}
	chosen := ""
	for _, name := range p.allocators() {
		if now >= p.backoffs[name].until {
			chosen = name
			break
		}
	}
	if chosen == current {
		return
	}
	p.switches.Inc()
	p.logger.Info().Str("from", current).Str("to", chosen).Int("requests", len(p.tickets)).
		Dur("unanswered", unansweredFor(now, p.unansweredSince)).Msg("allocator changed")
	if current != "" {
		p.send(current, &fleet.Update{Leave: true})
	}
	p.currentAllocator.Store(&chosen)
	p.lastSent, p.lastReply, p.unansweredSince = 0, 0, 0
	p.needsFullUpdate = true
	if chosen == "" {
		p.startLocal(now)
	} else {
		p.stopLocal()
	}
}

func unansweredFor(now, since time.Duration) time.Duration {
	if since == 0 {
		return 0
	}
	return now - since
}

// flush sends the events since the last update to the allocator, or an empty update if a heartbeat is due.
func (p *placer) flush(now time.Duration) {
	p.reportProgress(now)
	target := p.allocator()
	if target == "" {
		p.pending = nil
		return
	}
	if p.pending == nil && !p.needsFullUpdate && now-p.sentAt < heartbeat {
		return
	}
	u := p.pendingUpdate()
	if p.needsFullUpdate {
		u = p.fullUpdate(now)
	}
	u.PermitDemand = p.balancer.PermitDemand(now)
	u.Backends = p.balancer.BackendReports(now)
	p.lastSent++
	u.Sequence = p.lastSent
	p.pending, p.needsFullUpdate = nil, false
	p.sentAt = now
	if p.unansweredSince == 0 {
		p.unansweredSince = now
	}
	p.send(target, u)
}

func (p *placer) fullUpdate(now time.Duration) *fleet.Update {
	pending := p.pendingUpdate()
	u := &fleet.Update{
		Full: true, Served: p.served, Charges: pending.Charges, Measured: pending.Measured, Losses: pending.Losses, Unreachable: pending.Unreachable, Responses: pending.Responses,
		Blocked: p.blocked.List(now), Begun: p.origins(),
	}
	for _, notice := range p.notices.Leaving() {
		u.AddLeaving(notice)
	}
	for engine, until := range p.notices.Rests(now) {
		u.Rests = append(u.Rests, newFleetRest(now, engine, until))
	}
	u.RateLimits = fleet.NewRateLimits(now, p.notices.RateLimits())
	u.Spent = p.spending.Recent(now)
	for _, t := range p.tickets {
		if t.engine == "" {
			u.Arrivals = append(u.Arrivals, newFleetRequest(now, t))
			continue
		}
		run := fleet.Run{Request: newFleetRequest(now, t), Engine: t.engine, GrantAgeMS: (now - t.grantedAt).Milliseconds()}
		if t.firstEventAt != 0 {
			run.Started, run.FirstEventAgeMS = true, (now - t.firstEventAt).Milliseconds()
		}
		u.Runs = append(u.Runs, run)
	}
	return u
}

// send queues an update. If it can't be queued, no reply arrives and another allocator is chosen.
func (p *placer) send(target string, u *fleet.Update) {
	if err := p.link.Send(target, fleet.KindUpdate, u); err != nil {
		p.logger.Debug().Str("peer", target).Err(err).Msg("update not sent")
	}
}
