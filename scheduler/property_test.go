package scheduler_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/primrosebeam/primrosebeam/label"
	"github.com/primrosebeam/primrosebeam/scheduler"
)

// TestMain sets a fixed default seed for the property tests, so that CI runs are reproducible.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"}
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

func mustSelector(text string) label.Selector {
	s, err := label.ParseSelector(text)
	if err != nil {
		panic(err)
	}
	return s
}

func propertyPolicy(minimumShare float64) scheduler.Policy {
	p := smallPolicy(0)
	for i := range p.Tiers {
		p.Tiers[i].QueueLimit = 3
		p.Tiers[i].FirstToken = time.Second
		if i > 0 {
			p.Tiers[i].MinimumShare = minimumShare
		}
	}
	p.Services = append(p.Services, scheduler.Service{Name: "chat", Kind: scheduler.KindModel, Selector: mustSelector("kind=model"), RetryBudget: 0.5})
	for i := range 5 {
		e := scheduler.Engine{Name: fmt.Sprintf("e%d", i), MaxInFlight: 1 + i%2, Drained: i == 4, Labels: label.Set{}}
		if i < 3 {
			e.Labels["kind"] = "model"
		}
		p.Engines = append(p.Engines, e)
	}
	return p
}

// drive passes random events to d and returns the first violation of an invariant.
func drive(t *rapid.T, d stepper, p scheduler.Policy) error {
	c := newChecker(p)
	now := start
	if err := c.step(d, now, scheduler.Configure{Policy: p}); err != nil {
		return err
	}
	for i := range rapid.IntRange(10, 120).Draw(t, "events") {
		now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
		if err := c.step(d, now, drawEvent(t, c, now, i)); err != nil {
			return err
		}
	}
	return nil
}

func drawEvent(t *rapid.T, c *checker, now time.Time, i int) scheduler.Event {
	engine := fmt.Sprintf("e%d", rapid.IntRange(0, 4).Draw(t, "engine"))
	switch rapid.IntRange(0, 15).Draw(t, "event") {
	case 0:
		return scheduler.EngineState{
			Engine: engine, Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")),
			Leaving: rapid.IntRange(0, 5).Draw(t, "leaving") == 0, Reachable: rapid.IntRange(0, 5).Draw(t, "reachable") > 0,
		}
	case 1:
		return scheduler.PeerFloor{Instance: "b", Tier: rapid.IntRange(0, 2).Draw(t, "floor"), Expires: now.Add(time.Second)}
	case 2:
		return scheduler.PeerSummary{Instance: "b", At: now, Engines: map[string]scheduler.PeerLoad{
			engine: {InFlight: rapid.IntRange(0, 4).Draw(t, "peer"), Demand: rapid.IntRange(0, 9).Draw(t, "demand"), Limit: 4},
		}}
	case 3:
		return scheduler.Wake{}
	case 4, 5, 6, 7, 8:
		return drawArrival(t, i)
	}
	return drawOutcome(t, c)
}

func drawArrival(t *rapid.T, i int) scheduler.Event {
	idempotent := rapid.Bool().Draw(t, "idempotent")
	r := scheduler.Request{
		ID:         scheduler.RequestID(fmt.Sprintf("r%03d", i)),
		Workspace:  rapid.SampledFrom([]string{"large", "large", "small"}).Draw(t, "workspace"),
		Service:    rapid.SampledFrom([]string{"orders", "chat"}).Draw(t, "service"),
		Tier:       rapid.IntRange(0, 2).Draw(t, "tier"),
		Idempotent: idempotent,
		Redispatch: idempotent && rapid.Bool().Draw(t, "redispatch"),
	}
	if r.Service == "chat" {
		r.PromptTokens = 200
		r.Prefix = []uint64{uint64(rapid.IntRange(1, 3).Draw(t, "prefix"))}
	}
	return scheduler.Arrive{Request: r}
}

// drawOutcome draws an event of a dispatched request, or an Abandon of any request when none is
// dispatched.
func drawOutcome(t *rapid.T, c *checker) scheduler.Event {
	var running, known []scheduler.RequestID
	for i := range 120 {
		id := scheduler.RequestID(fmt.Sprintf("r%03d", i))
		r := c.requests[id]
		if r == nil {
			continue
		}
		known = append(known, id)
		if r.phase == onEngine {
			running = append(running, id)
		}
	}
	if len(running) == 0 {
		if len(known) == 0 {
			return scheduler.Wake{}
		}
		return scheduler.Abandon{ID: rapid.SampledFrom(known).Draw(t, "abandoned")}
	}
	id := rapid.SampledFrom(running).Draw(t, "request")
	switch rapid.IntRange(0, 6).Draw(t, "outcome") {
	case 0:
		return scheduler.BytesSent{ID: id}
	case 1, 2:
		return scheduler.Refused{ID: id}
	case 3:
		return scheduler.FirstToken{ID: id}
	case 4:
		return scheduler.Abandon{ID: id}
	default:
		return scheduler.Finish{ID: id, Result: rapid.SampledFrom([]scheduler.Result{
			scheduler.ResultSuccess, scheduler.ResultFailed,
		}).Draw(t, "result"), CachedTokens: -1, OutputTokens: 10}
	}
}

func newScheduler() *scheduler.Scheduler {
	return scheduler.New(scheduler.Options{Rand: rand.New(rand.NewPCG(7, 7)), Instance: "a"})
}

// Checks the invariants: no second dispatch after the first byte unless the route allows it, shedding
// from the lowest tier, a single Reject with no action after it, no dispatch to leaving or drained
// engines, and no idle engine while requests wait for it.
func TestInvariants(t *testing.T) {
	for _, share := range []float64{0, 0.1} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				if err := drive(t, newScheduler(), propertyPolicy(share)); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

// faultyScheduler forwards events to a Scheduler and alters the events or the actions so that one rule
// is violated.
type faultyScheduler struct {
	*scheduler.Scheduler
	event  func(e scheduler.Event) scheduler.Event
	action func(now time.Time, e scheduler.Event, actions []scheduler.Action) []scheduler.Action
}

func (f faultyScheduler) Step(now time.Time, e scheduler.Event) []scheduler.Action {
	inner := e
	if f.event != nil {
		inner = f.event(e)
	}
	actions := append([]scheduler.Action(nil), f.Scheduler.Step(now, inner)...)
	if f.action != nil {
		actions = f.action(now, e, actions)
	}
	return actions
}

// Guards against a checker that misses violations: each variant violates one rule and must be detected.
func TestCheckerDetectsViolations(t *testing.T) {
	variants := map[string]struct {
		make func() stepper
		want string
	}{
		"ignores the first byte":    {ignoresFirstByte, "which does not wait"},
		"ignores leaving":           {ignoresLeaving, "to leaving engine"},
		"ignores a drain":           {ignoresDrain, "to drained engine"},
		"rejects twice":             {rejectsTwice, "which does not wait"},
		"sheds the wrong tier":      {shedsWrongTier, "rejected for lack of room"},
		"dispatches after a finish": {dispatchesAfterFinish, "which does not wait"},
		"leaves an engine idle":     {leavesEngineIdle, "requests wait for"},
	}
	for name, v := range variants {
		t.Run(name, func(t *testing.T) {
			found := ""
			for seed := range 400 {
				err := rapid.Custom(func(t *rapid.T) error { return drive(t, v.make(), propertyPolicy(0)) }).Example(seed)
				if err != nil {
					found = err.Error()
				}
				if strings.Contains(found, v.want) {
					return
				}
			}
			t.Fatalf("violation not detected; last violation: %q", found)
		})
	}
}

func ignoresFirstByte() stepper {
	return faultyScheduler{Scheduler: newScheduler(), event: func(e scheduler.Event) scheduler.Event {
		switch e.(type) {
		case scheduler.BytesSent, scheduler.FirstToken:
			return scheduler.Wake{}
		}
		return e
	}}
}

func ignoresLeaving() stepper {
	return faultyScheduler{Scheduler: newScheduler(), event: func(e scheduler.Event) scheduler.Event {
		if state, ok := e.(scheduler.EngineState); ok {
			state.Leaving = false
			return state
		}
		return e
	}}
}

func ignoresDrain() stepper {
	return faultyScheduler{Scheduler: newScheduler(), event: func(e scheduler.Event) scheduler.Event {
		if c, ok := e.(scheduler.Configure); ok {
			c.Policy.Engines = append([]scheduler.Engine(nil), c.Policy.Engines...)
			for i := range c.Policy.Engines {
				c.Policy.Engines[i].Drained = false
			}
			return c
		}
		return e
	}}
}

func rejectsTwice() stepper {
	return faultyScheduler{Scheduler: newScheduler(), action: func(_ time.Time, _ scheduler.Event, actions []scheduler.Action) []scheduler.Action {
		for _, a := range actions {
			if r, ok := a.(scheduler.Reject); ok {
				return append(actions, r)
			}
		}
		return actions
	}}
}

// shedsWrongTier rejects an arriving request instead of the request of a lower tier that was shed.
func shedsWrongTier() stepper {
	return faultyScheduler{Scheduler: newScheduler(), action: func(_ time.Time, e scheduler.Event, actions []scheduler.Action) []scheduler.Action {
		arrival, ok := e.(scheduler.Arrive)
		if !ok {
			return actions
		}
		for i, a := range actions {
			if r, ok := a.(scheduler.Reject); ok && r.Reason == scheduler.RejectShed {
				r.ID = arrival.Request.ID
				actions[i] = r
			}
		}
		return actions
	}}
}

func dispatchesAfterFinish() stepper {
	return faultyScheduler{Scheduler: newScheduler(), action: func(_ time.Time, e scheduler.Event, actions []scheduler.Action) []scheduler.Action {
		if f, ok := e.(scheduler.Finish); ok {
			return append(actions, scheduler.Dispatch{ID: f.ID, Engine: "e0"})
		}
		return actions
	}}
}

// overstatedLimit reports one more allowed request for each engine than the scheduler uses.
type overstatedLimit struct{ *scheduler.Scheduler }

func (o overstatedLimit) State(now time.Time) scheduler.State {
	s := o.Scheduler.State(now)
	for n := range s.Engines {
		s.Engines[n].Allowed++
	}
	return s
}

func leavesEngineIdle() stepper { return overstatedLimit{newScheduler()} }
