package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/placement"
)

// updateRecorder stores the updates that a placer sends, by allocator.
type updateRecorder struct{ sent map[string][]*fleet.Update }

func (r *updateRecorder) Send(to string, _ link.Kind, body any) error {
	r.sent[to] = append(r.sent[to], body.(*fleet.Update))
	return nil
}

func (r *updateRecorder) Call(context.Context, string, link.Kind, any, any) error { return nil }

func (r *updateRecorder) last(to string) *fleet.Update {
	updates := r.sent[to]
	if len(updates) == 0 {
		return nil
	}
	return updates[len(updates)-1]
}

// newTestPlacer returns a placer that uses the given allocators in order. Its worker does not run.
func newTestPlacer(t *testing.T, allocators ...string) (*placer, *updateRecorder) {
	t.Helper()
	out := &updateRecorder{sent: map[string][]*fleet.Update{}}
	control := newTestControlClient(t, &controlStub{}, "10.0.0.1:1")
	notices := placement.NewNotices()
	p := newPlacer(Options{Logger: zerolog.Nop(), Metrics: metrics.NewSet()}, out, control, notices, placement.NewBalancer("a", notices),
		func(notice placement.LeavingNotice, _ string) bool {
			return notices.RecordLeaving(0, notice.Engine, notice.Born)
		})
	p.allocators = func() []string { return allocators }
	return p, out
}

// step runs one round of the worker.
func (p *placer) step(now time.Duration) {
	p.events.Drain(func(e placerEvent) { p.handleEvent(now, &e) })
	p.chooseAllocator(now)
	p.flush(now)
	p.decideLocally(now)
}

// TestNoticesSurviveChangeOfAllocator guards against an allocator that does not know what engines stated to
// an instance before it became the instance's allocator, and against the same gap while no allocator is
// reachable.
func TestNoticesSurviveChangeOfAllocator(t *testing.T) {
	is := is.New(t)
	p, out := newTestPlacer(t, "first", "second")
	engines := []placement.Engine{
		{ID: "leaving", Service: "s", Address: "10.0.0.1:1", Slots: 4}, {ID: "resting", Service: "s", Address: "10.0.0.2:1", Slots: 4},
	}
	p.post(placerEvent{kind: eventEngines, engines: engines})
	p.step(0)
	p.notices.RecordLeaving(0, "leaving", 0)
	p.Leaving(placement.LeavingNotice{Engine: "leaving"})
	p.Rest("resting", p.notices.RecordRest(0, "resting", 3*time.Second))
	p.step(time.Millisecond)
	for _, u := range []*fleet.Update{out.last("first")} {
		is.Equal(u.Leaving, []string{"leaving"})
		is.Equal(len(u.Rests), 1)
		is.Equal(u.Rests[0].Engine, "resting")
	}
	p.step(replyTimeout + 2*time.Millisecond) // the first allocator does not reply
	u := out.last("second")
	is.True(u != nil && u.Full)
	is.Equal(u.Leaving, []string{"leaving"})
	is.Equal(u.Rests, []fleet.Rest{{Engine: "resting", LeftMS: 2648}})

	p.allocators = func() []string { return nil }
	p.step(time.Second)
	is.Equal(p.allocator(), "")
	ticket, err := p.Submit(placement.Request{
		Service: "s", PromptTokens: 1, FirstEventDue: 2 * time.Second, FirstEventDeadline: 9 * time.Second, Deadline: 9 * time.Second,
	})
	is.NoErr(err)
	p.step(2 * time.Second)
	is.Equal(len(ticket.decision), 0)
	p.step(3 * time.Second)
	is.Equal(len(ticket.decision), 1)
	is.Equal((<-ticket.decision).engine.ID, "resting")
}

// TestLeavingNoticeOfAllocatorIsFollowed guards against new requests to an engine that stated to another
// instance that it is leaving.
func TestLeavingNoticeOfAllocatorIsFollowed(t *testing.T) {
	is := is.New(t)
	p, _ := newTestPlacer(t, "allocator")
	p.step(0)
	p.post(placerEvent{kind: eventDecisions, from: "allocator", decisions: &fleet.Decisions{Sequence: 1, Leaving: []string{"e"}}})
	p.step(time.Millisecond)
	is.True(!p.notices.MayUse(time.Millisecond, "e"))
}

// TestRateLimitHoldsWithoutAllocator guards against instances that each use the whole rate limit of an engine while
// they reach no allocator, and against a limit that only the former allocator knew.
func TestRateLimitHoldsWithoutAllocator(t *testing.T) {
	is := is.New(t)
	p, _ := newTestPlacer(t, "allocator")
	p.entryCount = func() int { return 4 }
	engines := []placement.Engine{
		{ID: "model", Service: "s", Address: "10.0.0.1:1", Slots: 64}, {ID: "plain", Service: "p", Address: "10.0.0.2:1", Slots: 64},
	}
	p.balancer.SetEngines(engines)
	p.post(placerEvent{kind: eventEngines, engines: engines})
	p.step(0)
	p.post(placerEvent{kind: eventDecisions, from: "allocator", decisions: &fleet.Decisions{Sequence: 1, RateLimits: []fleet.RateLimit{
		{Engine: "model", PerSecond: 8}, {Engine: "plain", PerSecond: 8},
	}}})
	p.step(time.Millisecond)
	_, usable := p.balancer.Pick(time.Millisecond, "p", nil)
	is.True(!usable)
	p.allocators = func() []string { return nil }
	streams, requests := 0, 0
	var tickets []*ticket
	const start, end = 10 * time.Second, 20 * time.Second
	for now := start; now < end; now += 25 * time.Millisecond {
		p.balancer.CountRequest(now, "p")
		if _, ok := p.balancer.Pick(now, "p", nil); ok {
			requests++
		}
		ticket, err := p.Submit(placement.Request{
			Service: "s", PromptTokens: 1, FirstEventDue: now + time.Second, FirstEventDeadline: now + time.Second, Deadline: now + time.Minute,
		})
		is.NoErr(err)
		tickets = append(tickets, ticket)
		p.step(now)
		for _, ticket := range tickets {
			select {
			case d := <-ticket.decision:
				if d.reason == "" {
					streams++
					p.End(ticket, placement.OutcomeCompleted, 1)
				}
			default:
			}
		}
	}
	is.Equal(p.allocator(), "")
	is.True(streams <= 21 && requests <= 21) // a quarter of 8 requests a second
	is.True(streams >= 10 && requests >= 10)
}

// TestFullUpdateCarriesRateLimits guards against a new allocator that does not know the rate limits of engines and
// the demand for permits.
func TestFullUpdateCarriesRateLimits(t *testing.T) {
	is := is.New(t)
	p, out := newTestPlacer(t, "first", "second")
	p.balancer.SetEngines([]placement.Engine{{ID: "e", Service: "s", Address: "10.0.0.1:1", Slots: 4}})
	p.step(0)
	limit, report := p.notices.ObserveRateLimit(time.Millisecond, 0, "e", 2, true)
	is.True(report)
	p.RateLimit(limit)
	p.balancer.CountRequest(time.Millisecond, "s")
	p.step(time.Millisecond)
	is.Equal(out.last("first").RateLimits, []fleet.RateLimit{{Engine: "e", PerSecond: 2}})
	is.Equal(out.last("first").PermitDemand, []placement.PermitDemand{{Service: "s", Expected: 1}})
	p.step(replyTimeout + 2*time.Millisecond) // the first allocator does not reply
	u := out.last("second")
	is.True(u != nil && u.Full)
	is.Equal(u.RateLimits, []fleet.RateLimit{{Engine: "e", PerSecond: 2, AgeMS: 351}})
	is.Equal(u.PermitDemand, []placement.PermitDemand{{Service: "s", Expected: 1}})
}

// TestRequestIsBlockedWithoutAllocator guards against a request that crashes engines of a plain service being sent
// again and again by an instance that reaches no allocator, and against a block that a new allocator does not learn of.
func TestRequestIsBlockedWithoutAllocator(t *testing.T) {
	is := is.New(t)
	p, out := newTestPlacer(t)
	const deadly = placement.PartID(7)
	var engines []placement.Engine
	for _, id := range []string{"e0", "e1", "e2"} {
		engines = append(engines, placement.Engine{ID: id, Service: "s", Address: "10.0.0.1:1", Slots: 4})
	}
	p.post(placerEvent{kind: eventEngines, engines: engines})
	p.step(time.Second)
	now := time.Second
	for _, e := range engines {
		is.Equal(p.blocked.BlockedFor(now, "s", []placement.PartID{deadly}), time.Duration(0))
		p.Lost(&placement.LostRequest{Engine: e.ID, Parts: []placement.PartID{deadly}, SentAt: now + time.Millisecond, LostAt: now + 2*time.Millisecond})
		p.Unreachable(e.ID)
		now += time.Second
		p.step(now)
	}
	is.True(p.blocked.BlockedFor(now, "s", []placement.PartID{deadly}) > time.Minute)
	p.allocators = func() []string { return []string{"allocator"} }
	p.step(now + time.Second)
	is.Equal(len(out.last("allocator").Blocked), 1)
	is.Equal(out.last("allocator").Blocked[0].Part, deadly)
}

// TestUnreachableEngineIsReportedOnceASecond guards against an update for each request while engines are down, and
// against reports that a full update drops.
func TestUnreachableEngineIsReportedOnceASecond(t *testing.T) {
	is := is.New(t)
	p, out := newTestPlacer(t, "allocator")
	p.Unreachable("e")
	p.Lost(&placement.LostRequest{Engine: "e", Parts: []placement.PartID{1}})
	p.step(time.Second)
	is.True(out.last("allocator").Full)
	is.Equal(out.last("allocator").Unreachable, []string{"e"})
	is.Equal(len(out.last("allocator").Losses), 1)
	updates := len(out.sent["allocator"])
	for range 5 {
		p.Unreachable("e")
	}
	p.step(time.Second + time.Millisecond)
	is.Equal(len(out.sent["allocator"]), updates)
	p.post(placerEvent{kind: eventDecisions, from: "allocator", decisions: &fleet.Decisions{Sequence: 1, LastUpdate: uint64(updates)}})
	p.step(time.Second + 2*time.Millisecond)
	p.Unreachable("e")
	p.step(2 * time.Second)
	is.Equal(out.last("allocator").Unreachable, []string{"e"})
}

// TestLocalBlocksIgnoreWhatAnAllocatorSaw guards against sound requests that are blocked once no allocator can be
// reached, because of crashes that happened while one was, which saw the responses in between.
func TestLocalBlocksIgnoreWhatAnAllocatorSaw(t *testing.T) {
	is := is.New(t)
	p, _ := newTestPlacer(t, "allocator")
	const sound = placement.PartID(7)
	var engines []placement.Engine
	for i := range 4 {
		engines = append(engines, placement.Engine{ID: fmt.Sprint("e", i), Service: "s", Address: "10.0.0.1:1", Slots: 4})
	}
	p.post(placerEvent{kind: eventEngines, engines: engines})
	now := time.Second
	for i, e := range engines {
		if i == 3 {
			p.allocators = func() []string { return nil }
			p.step(now)
			is.Equal(p.allocator(), "")
		} else {
			p.post(placerEvent{kind: eventDecisions, from: "allocator", decisions: &fleet.Decisions{Sequence: uint64(i + 1), LastUpdate: 99}})
		}
		p.Lost(&placement.LostRequest{Engine: e.ID, Parts: []placement.PartID{sound}, SentAt: now + time.Millisecond, LostAt: now + 2*time.Millisecond})
		p.Unreachable(e.ID)
		now += 100 * time.Millisecond
		p.step(now)
	}
	is.Equal(p.blocked.BlockedFor(now, "s", []placement.PartID{sound}), time.Duration(0))
}

// Guards against slots that leak because the first decisions after a start, with grants, were lost on a connection to
// the former process.
func TestLossOfFirstDecisionsIsNoticed(t *testing.T) {
	is := is.New(t)
	p, out := newTestPlacer(t, "first")
	_, err := p.Submit(placement.Request{Service: "s", Deadline: time.Hour, FirstEventDeadline: time.Hour})
	is.NoErr(err)
	p.step(0)
	is.True(out.last("first").Full)
	p.post(placerEvent{kind: eventDecisions, from: "first", decisions: &fleet.Decisions{Sequence: 2, LastUpdate: 1}})
	p.step(time.Millisecond)
	is.Equal(len(out.sent["first"]), 2)
	is.True(out.last("first").Full)
	is.Equal(len(out.last("first").Arrivals), 1)
}

// TestFullUpdateTellsOfFormerAllocator guards against an allocator that takes itself for the first one, also where it is
// the same control instance after a restart.
func TestFullUpdateTellsOfFormerAllocator(t *testing.T) {
	is := is.New(t)
	p, out := newTestPlacer(t, "first")
	p.step(0)
	is.True(!out.last("first").Served)
	p.post(placerEvent{kind: eventDecisions, from: "first", decisions: &fleet.Decisions{Sequence: 1, LastUpdate: 1}})
	p.step(time.Millisecond)
	p.post(placerEvent{kind: eventDecisions, from: "first", decisions: &fleet.Decisions{Sequence: 1, FullUpdateNeeded: true}}) // restarted
	p.step(2 * time.Millisecond)
	is.True(out.last("first").Full)
	is.True(out.last("first").Served)
}

// TestSpendingIsReported guards against a new allocator, or this instance where it decides itself, that does not know
// what was spent of a quota before, and against spending that was refunded and counts.
func TestSpendingIsReported(t *testing.T) {
	is := is.New(t)
	p, out := newTestPlacer(t, "first", "second")
	p.spending = placement.NewSpendingLog(8 * time.Second)
	p.step(0)
	end := func(charge float64, outcome placement.Outcome) {
		ticket, err := p.Submit(placement.Request{Service: "s", Workspace: "w", Charge: charge, Deadline: time.Hour})
		is.NoErr(err)
		p.step(1)
		p.grant(1, ticket.id, slotDecision{engine: placement.Engine{ID: "e"}})
		p.End(ticket, outcome, 0)
		p.step(1)
	}
	end(100, placement.OutcomeCompleted)
	end(200, placement.OutcomeUnreachable)
	end(400, placement.OutcomeFailed)
	p.Charge("w", 1000)
	p.step(2)
	p.step(2 + replyTimeout) // the first allocator does not reply
	p.step(2 + 2*replyTimeout)
	updates := out.sent["second"]
	is.True(len(updates) > 0)
	is.Equal(len(updates[0].Spent), 1)
	is.Equal(updates[0].Spent[0].Workspace, "w")
	is.Equal(updates[0].Spent[0].Parts[0]+updates[0].Spent[0].Parts[1], 1500.0)
}

// Guards against a request that gets the slot of another one, which an earlier start of this instance had submitted: what
// an allocator has queued for that is delivered to this one.
func TestDecisionsOfEarlierStartAreIgnored(t *testing.T) {
	is := is.New(t)
	earlier, _ := newTestPlacer(t, "allocator")
	before, err := earlier.Submit(placement.Request{Service: "other"})
	is.NoErr(err)
	p, _ := newTestPlacer(t, "allocator")
	submitted, err := p.Submit(placement.Request{Service: "s"})
	is.NoErr(err)
	p.step(time.Second)
	p.post(placerEvent{kind: eventDecisions, from: "allocator", decisions: &fleet.Decisions{
		Sequence: 7, Grants: []fleet.Grant{{ID: before.id, Engine: placement.Engine{ID: "engine-of-other", Service: "other"}}},
	}})
	p.step(time.Second)
	is.Equal(len(submitted.decision), 0)
}
