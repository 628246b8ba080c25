package edge

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
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
	// heartbeat is the longest time between two updates to the allocator.
	heartbeat = 250 * time.Millisecond
	// answerTimeout is how long an update may stay unanswered before another allocator is asked. It is
	// longer than the retransmission of one lost packet (200 ms and a round trip).
	answerTimeout = 350 * time.Millisecond
	// avoidFor is how long an allocator that did not answer is left alone; it doubles up to avoidMost.
	avoidFor  = time.Second
	avoidMost = 4 * time.Second
	// eventCapacity bounds what waits for the duty: a few events for each of 4,000 connections.
	eventCapacity = 16384
)

// ticket is a request that asks for a place.
type ticket struct {
	id        uint64
	request   placement.Request // times by clock()
	placed    chan placed       // holds one decision
	engine    string            // set while it runs
	started   bool
	withdrawn bool
}

// placed is the decision about a ticket.
type placed struct {
	engine     placement.Engine
	reason     placement.Reason // set when it was rejected
	retryAfter time.Duration
	by         string // allocator, empty for this instance itself
	runs       int    // of the engine
	waiting    int    // requests that waited when this one was rejected
	wait       time.Duration
	capacity   float64
	returning  bool // the caller was taken for one that was refused before
}

type placerEvent struct {
	kind    eventKind
	ticket  *ticket
	outcome placement.Outcome
	tokens  int
	charge  fleet.Charge
	from    string
	answer  *fleet.Decisions
	engines []placement.Engine
	limits  []placement.QuotaLimit
}

type eventKind uint8

const (
	eventArrive eventKind = iota
	eventCancel
	eventStarted
	eventEnd
	eventCharge
	eventAnswer
	eventEngines
	eventLimits
)

// placer is the duty that gets places for this instance's requests: from the allocator that leads, else
// from a control instance of the own data centre, else by itself.
type placer struct {
	link       link.Caller
	name       string
	centre     string
	allocators func() []string
	entries    func() int
	logger     zerolog.Logger
	events     *ring.Ring[placerEvent]
	lastID     atomic.Uint64
	exhausted  atomic.Pointer[[]string]
	target     atomic.Pointer[string] // for logs; owned by the duty

	tickets map[uint64]*ticket
	update  *fleet.Update
	whole   bool // the next update has to be a whole one

	sequence     uint64 // of the newest update
	answered     uint64 // newest answer
	unansweredAt time.Duration
	sentAt       time.Duration
	avoid        map[string]avoidance

	local   *placement.Core
	engines []placement.Engine

	switches *metrics.Counter
}

type avoidance struct {
	until time.Duration
	pause time.Duration
}

func newPlacer(o Options, l link.Caller, m *member) *placer {
	p := &placer{
		link: l, name: m.name, centre: m.centre, allocators: m.allocators,
		entries:  func() int { return int(m.entries.Load()) },
		logger:   o.Logger,
		events:   ring.New[placerEvent](eventCapacity),
		tickets:  map[uint64]*ticket{},
		avoid:    map[string]avoidance{},
		local:    placement.New(),
		switches: o.Metrics.NewCounter("primrosebeam_allocator_switches_total"),
	}
	none := ""
	p.target.Store(&none)
	p.exhausted.Store(&[]string{})
	return p
}

func clock() time.Duration { return time.Duration(boottime.Now()) }

// Submit asks for a place. It returns *ring.FullError when too much waits already.
func (p *placer) Submit(r placement.Request) (*ticket, error) {
	t := &ticket{id: p.lastID.Add(1), request: r, placed: make(chan placed, 1)}
	return t, p.events.Offer(placerEvent{kind: eventArrive, ticket: t})
}

// Cancel ends the wait of a ticket.
func (p *placer) Cancel(t *ticket) { p.must(placerEvent{kind: eventCancel, ticket: t}) }

// Started reports the first event of a run.
func (p *placer) Started(t *ticket) { p.must(placerEvent{kind: eventStarted, ticket: t}) }

// End reports the end of a run.
func (p *placer) End(t *ticket, outcome placement.Outcome, tokens int) {
	p.must(placerEvent{kind: eventEnd, ticket: t, outcome: outcome, tokens: tokens})
}

// Charge reports what a request without a ticket takes from a quota.
func (p *placer) Charge(workspace string, amount float64) {
	p.must(placerEvent{kind: eventCharge, charge: fleet.Charge{Workspace: workspace, Amount: amount}})
}

// IsExhausted reports whether a workspace has nothing left of its quota.
func (p *placer) IsExhausted(workspace string) bool {
	return slices.Contains(*p.exhausted.Load(), workspace)
}

// HandleAnswer is the link's handler of answers.
func (p *placer) HandleAnswer(_ context.Context, from link.Sender, body []byte) (any, error) {
	answer := &fleet.Decisions{}
	if err := link.Decode(body, answer); err != nil {
		return nil, err
	}
	p.must(placerEvent{kind: eventAnswer, from: from.Name, answer: answer})
	return nil, nil
}

// must waits for room: an event of a ticket that got lost would keep its place for ever. After the end
// of the duty events go nowhere.
func (p *placer) must(e placerEvent) {
	var full *ring.FullError
	for errors.As(p.events.Offer(e), &full) {
		time.Sleep(time.Millisecond)
	}
}

// Run serves until ctx ends.
func (p *placer) Run(ctx context.Context) error {
	defer p.events.Close()
	return duty.Loop(ctx, p.events.Ready(), p.nextTick, func() {
		now := clock()
		p.events.Drain(func(e placerEvent) { p.take(now, &e) })
		p.chooseAllocator(now)
		p.flush(now)
		p.decideHere(now)
	})
}

func (p *placer) nextTick() time.Duration {
	if p.allocator() == "" && p.local.Waiting() > 0 {
		return heartbeat / 10
	}
	return heartbeat / 2
}

func (p *placer) allocator() string { return *p.target.Load() }

func (p *placer) take(now time.Duration, e *placerEvent) {
	switch e.kind {
	case eventArrive:
		p.arrive(now, e.ticket)
	case eventCancel:
		p.cancel(now, e.ticket)
	case eventStarted:
		e.ticket.started = true
		p.next().Starts = append(p.next().Starts, e.ticket.id)
		p.local.FirstEvent(now, localID(e.ticket))
	case eventEnd:
		p.end(now, e.ticket, e.outcome, e.tokens)
	case eventCharge:
		p.next().Charges = append(p.next().Charges, e.charge)
		p.local.Charge(now, e.charge.Workspace, e.charge.Amount)
	case eventAnswer:
		p.takeAnswer(now, e.from, e.answer)
	case eventEngines:
		p.engines = e.engines
		p.setLocalEngines()
	case eventLimits:
		p.local.SetQuotas(now, e.limits)
	}
}

func (p *placer) next() *fleet.Update {
	if p.update == nil {
		p.update = &fleet.Update{}
	}
	return p.update
}

func (p *placer) arrive(now time.Duration, t *ticket) {
	if t.withdrawn {
		return
	}
	p.tickets[t.id] = t
	if p.allocator() == "" {
		p.arriveHere(now, t)
		return
	}
	p.next().Arrivals = append(p.next().Arrivals, arrival(now, t))
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
	p.next().Withdrawals = append(p.next().Withdrawals, t.id)
	p.local.Withdraw(localID(t))
}

func (p *placer) end(now time.Duration, t *ticket, outcome placement.Outcome, tokens int) {
	if p.tickets[t.id] == nil {
		return
	}
	delete(p.tickets, t.id)
	p.next().Ends = append(p.next().Ends, fleet.End{ID: t.id, Outcome: outcome, Tokens: tokens})
	p.local.End(now, localID(t), outcome, tokens)
}

// takeAnswer carries out the decisions of the present allocator.
func (p *placer) takeAnswer(now time.Duration, from string, a *fleet.Decisions) {
	if from != p.allocator() {
		return
	}
	delete(p.avoid, from)
	if a.FullUpdateNeeded || p.answered != 0 && a.Sequence != p.answered+1 {
		p.whole = true
	}
	p.answered = a.Sequence
	if a.LastUpdate >= p.sequence {
		p.unansweredAt = 0
	} else if p.unansweredAt != 0 {
		p.unansweredAt = now
	}
	p.exhausted.Store(&a.ExhaustedWorkspaces)
	for i := range a.Grants {
		p.grant(now, a.Grants[i].ID, placed{engine: a.Grants[i].Engine, runs: a.Grants[i].Running, by: from})
	}
	for _, r := range a.Rejections {
		p.reject(r.ID, placed{
			reason: r.Reason, retryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond, by: from,
			waiting: r.Waiting, wait: time.Duration(r.ExpectedWaitMS) * time.Millisecond, capacity: r.Capacity, returning: r.LikelyRetry,
		})
	}
}

func (p *placer) grant(now time.Duration, id uint64, decision placed) {
	t := p.tickets[id]
	if t == nil {
		p.next().Ends = append(p.next().Ends, fleet.End{ID: id, Outcome: placement.OutcomeUnused})
		return
	}
	if t.engine != "" {
		return // a repeated grant
	}
	t.engine = decision.engine.ID
	if decision.by != "" {
		p.local.AddRunning(now, localRequest(t), t.engine, false)
	}
	t.placed <- decision
}

func (p *placer) reject(id uint64, decision placed) {
	t := p.tickets[id]
	if t == nil || t.engine != "" {
		return
	}
	delete(p.tickets, id)
	t.placed <- decision
}

// chooseAllocator moves to the first allocator that answers.
func (p *placer) chooseAllocator(now time.Duration) {
	current := p.allocator()
	if current != "" && p.unansweredAt != 0 && now-p.unansweredAt > answerTimeout {
		pause := min(max(2*p.avoid[current].pause, avoidFor), avoidMost)
		p.avoid[current] = avoidance{until: now + pause, pause: pause}
	}
	chosen := ""
	for _, name := range p.allocators() {
		if now >= p.avoid[name].until {
			chosen = name
			break
		}
	}
	if chosen == current {
		return
	}
	p.switches.Inc()
	p.logger.Info().Str("from", current).Str("to", chosen).Int("requests", len(p.tickets)).
		Dur("unanswered", unanswered(now, p.unansweredAt)).Msg("allocator changed")
	if current != "" {
		p.send(current, &fleet.Update{Leave: true})
	}
	p.target.Store(&chosen)
	p.sequence, p.answered, p.unansweredAt = 0, 0, 0
	p.whole = true
	if chosen == "" {
		p.startLocal(now)
	} else {
		p.stopLocal()
	}
}

func unanswered(now, since time.Duration) time.Duration {
	if since == 0 {
		return 0
	}
	return now - since
}

// flush sends what happened since the last update.
func (p *placer) flush(now time.Duration) {
	target := p.allocator()
	if target == "" {
		p.update = nil
		return
	}
	if p.update == nil && !p.whole && now-p.sentAt < heartbeat {
		return
	}
	u := p.next()
	if p.whole {
		u = p.wholeUpdate(now)
	}
	p.sequence++
	u.Sequence = p.sequence
	p.update, p.whole = nil, false
	p.sentAt = now
	if p.unansweredAt == 0 {
		p.unansweredAt = now
	}
	p.send(target, u)
}

func (p *placer) wholeUpdate(now time.Duration) *fleet.Update {
	u := &fleet.Update{Full: true, Charges: p.next().Charges}
	for _, t := range p.tickets {
		if t.engine == "" {
			u.Arrivals = append(u.Arrivals, arrival(now, t))
			continue
		}
		u.Runs = append(u.Runs, fleet.Run{Request: arrival(now, t), Engine: t.engine, Started: t.started})
	}
	return u
}

// send queues an update. One that can't be queued stays unanswered, so that another allocator is asked.
func (p *placer) send(target string, u *fleet.Update) {
	if err := p.link.Send(target, fleet.KindUpdate, u); err != nil {
		p.logger.Debug().Str("peer", target).Err(err).Msg("update not sent")
	}
}

func arrival(now time.Duration, t *ticket) fleet.Request {
	r := &t.request
	return fleet.Request{
		ID: t.id, Service: r.Service, Workspace: r.Workspace, Charge: r.Charge, Tier: r.Tier, Route: r.Route, PartlyDelivered: r.PartlyDelivered,
		PromptTokens: r.PromptTokens, ExpectedOutputTokens: r.ExpectedOutputTokens, MaxOutputTokens: r.MaxOutputTokens, ExcludedEngines: r.ExcludedEngines,
		AgeMS:                (now - r.ArrivedAt).Milliseconds(),
		FirstEventDueMS:      (r.FirstEventDue - now).Milliseconds(),
		FirstEventDeadlineMS: (r.FirstEventDeadline - now).Milliseconds(),
		DeadlineMS:           (r.Deadline - now).Milliseconds(),
		CallerTimeoutMS:      r.CallerTimeout.Milliseconds(),
	}
}
