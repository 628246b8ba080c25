package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/scheduler"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// smallPolicy returns a policy with three tiers, two workspaces and a plain service on engines with one
// slot each.
func smallPolicy(engines int) scheduler.Policy {
	p := scheduler.Policy{
		Tiers: []scheduler.Tier{
			{Name: "urgent", Deadline: 10 * time.Second, QueueLimit: 2},
			{Name: "normal", Deadline: 10 * time.Second, QueueLimit: 2},
			{Name: "batch", Deadline: 10 * time.Second, QueueLimit: 2},
		},
		Workspaces: []scheduler.Workspace{{Name: "large"}, {Name: "small"}},
		Services:   []scheduler.Service{{Name: "orders", RetryBudget: 0.1}},
	}
	for i := range engines {
		p.Engines = append(p.Engines, scheduler.Engine{Name: fmt.Sprintf("e%d", i), MaxInFlight: 1})
	}
	return p
}

// testScheduler is a Scheduler with a virtual clock that advances by 1 ms with each event.
type testScheduler struct {
	*scheduler.Scheduler
	now  time.Time
	next int
}

func newTestScheduler(p scheduler.Policy) *testScheduler {
	s := &testScheduler{
		Scheduler: scheduler.New(scheduler.Options{Rand: rand.New(rand.NewPCG(1, 2)), Instance: "a"}),
		now:       start,
	}
	s.apply(scheduler.Configure{Policy: p})
	return s
}

func (s *testScheduler) apply(e scheduler.Event) []scheduler.Action {
	s.now = s.now.Add(time.Millisecond)
	return append([]scheduler.Action(nil), s.Step(s.now, e)...)
}

func (s *testScheduler) arrive(tier int, workspace string) (scheduler.RequestID, []scheduler.Action) {
	s.next++
	id := scheduler.RequestID(fmt.Sprintf("r%d", s.next))
	return id, s.apply(scheduler.Arrive{Request: scheduler.Request{
		ID: id, Workspace: workspace, Service: "orders", Tier: tier, Idempotent: true,
	}})
}

// Guards against shedding urgent requests while batch requests wait, and against shedding without
// publishing a floor.
func TestShedsLowestTierFirst(t *testing.T) {
	is := is.New(t)
	s := newTestScheduler(smallPolicy(1))
	s.arrive(0, "large") // takes the only slot
	batch, _ := s.arrive(2, "large")
	s.arrive(0, "large")
	s.arrive(0, "large")
	_, actions := s.arrive(0, "large")
	is.Equal(len(actions), 1)
	is.Equal(actions[0].(scheduler.Reject).ID, batch)
	is.Equal(actions[0].(scheduler.Reject).Reason, scheduler.RejectShed)
	fourth, actions := s.arrive(0, "large")
	is.Equal(len(actions), 2)
	is.Equal(actions[0].(scheduler.PublishFloor).Tier, 0) // published before the urgent tier is shed
	is.Equal(actions[1].(scheduler.Reject).ID, fourth)
}

// Guards against a large workspace that displaces a small one from the queue.
func TestShedsWorkspaceFurthestOverItsShare(t *testing.T) {
	is := is.New(t)
	s := newTestScheduler(smallPolicy(1))
	s.arrive(0, "large")
	s.arrive(0, "large")
	second, _ := s.arrive(0, "large")
	_, actions := s.arrive(0, "small")
	is.Equal(actions[len(actions)-1].(scheduler.Reject).ID, second)
}

// Guards against admitting requests below another instance's floor, and against rejecting an arrival
// because of a floor that has expired or while a request of a lower tier waits.
func TestFloor(t *testing.T) {
	is := is.New(t)
	s := newTestScheduler(smallPolicy(1))
	s.arrive(0, "large")
	s.apply(scheduler.PeerFloor{Instance: "b", Tier: 0, Expires: s.now.Add(time.Second)})
	_, actions := s.arrive(1, "large")
	is.Equal(actions[0].(scheduler.Reject).Reason, scheduler.RejectFloor)
	s.now = s.now.Add(time.Second)
	batch, actions := s.arrive(2, "large")
	is.Equal(len(actions), 0) // expired
	s.apply(scheduler.PeerFloor{Instance: "b", Tier: 0, Expires: s.now.Add(time.Second)})
	_, actions = s.arrive(1, "large")
	is.Equal(actions[len(actions)-1].(scheduler.Reject).ID, batch) // the lower tier is rejected instead
}

// Guards against keeping a request that can no longer meet its deadline until the deadline has passed.
func TestRejectsAtDeadline(t *testing.T) {
	is := is.New(t)
	s := newTestScheduler(smallPolicy(1))
	s.arrive(0, "large")
	id, _ := s.arrive(0, "small")
	s.now = s.now.Add(9990 * time.Millisecond) // the initial estimate of the response time is 50 ms
	actions := s.apply(scheduler.Wake{})
	is.Equal(len(actions), 1)
	reject := actions[0].(scheduler.Reject)
	is.Equal(reject.ID, id)
	is.Equal(reject.Reason, scheduler.RejectDeadline)
	is.True(reject.RetryAfter > 0)
}

// Guards against an outdated engine list that makes a leaving engine available again.
func TestLeavingIsFinal(t *testing.T) {
	is := is.New(t)
	s := newTestScheduler(smallPolicy(2))
	s.apply(scheduler.EngineState{Engine: "e0", Incarnation: 1, Leaving: true, Reachable: true})
	s.apply(scheduler.EngineState{Engine: "e0", Incarnation: 1, Reachable: true})
	_, actions := s.arrive(0, "large")
	is.Equal(actions[0].(scheduler.Dispatch).Engine, "e1")
	_, actions = s.arrive(0, "large")
	is.Equal(len(actions), 0)
	actions = s.apply(scheduler.EngineState{Engine: "e0", Incarnation: 2, Reachable: true})
	is.Equal(actions[0].(scheduler.Dispatch).Engine, "e0")
}

// Guards against a drain that ends without a change of the configuration, for example with a restart of
// the engine, and against a change that ends a drain but has no effect.
func TestDrainFollowsTheConfiguration(t *testing.T) {
	is := is.New(t)
	drained := smallPolicy(1)
	drained.Engines[0].Drained = true
	s := newTestScheduler(drained)
	s.apply(scheduler.EngineState{Engine: "e0", Incarnation: 1, Reachable: true})
	s.apply(scheduler.EngineState{Engine: "e0", Incarnation: 2, Reachable: true})
	_, actions := s.arrive(0, "large")
	is.Equal(actions[0].(scheduler.Reject).Reason, scheduler.RejectNoEngine)
	s.apply(scheduler.Configure{Policy: smallPolicy(1)})
	_, actions = s.arrive(0, "large")
	is.Equal(actions[0].(scheduler.Dispatch).Engine, "e0")
}

// Guards against an engine that gets its full limit immediately after it becomes reachable again.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	p := smallPolicy(1)
	p.Engines[0].MaxInFlight = 10
	s := newTestScheduler(p)
	s.apply(scheduler.EngineState{Engine: "e0", Incarnation: 1, Reachable: false})
	s.apply(scheduler.EngineState{Engine: "e0", Incarnation: 1, Reachable: true})
	_, actions := s.arrive(0, "large")
	is.Equal(len(actions), 1)
	_, actions = s.arrive(0, "large")
	is.Equal(len(actions), 0)
	s.now = s.now.Add(9 * time.Second)
	is.Equal(len(s.apply(scheduler.Wake{})), 1)
}

// Guards against a second dispatch after the first byte, and against refused connections that use up
// the retry budget.
func TestRefused(t *testing.T) {
	is := is.New(t)
	s := newTestScheduler(smallPolicy(3))
	id, actions := s.arrive(0, "large")
	first := actions[0].(scheduler.Dispatch).Engine
	actions = s.apply(scheduler.Refused{ID: id})
	is.True(actions[0].(scheduler.Dispatch).Engine != first)
	s.apply(scheduler.BytesSent{ID: id})
	is.Equal(len(s.apply(scheduler.Refused{ID: id})), 0)
	for range 10 {
		id, _ := s.arrive(0, "large")
		actions = s.apply(scheduler.Refused{ID: id})
		_, again := actions[0].(scheduler.Dispatch)
		is.True(again) // a refused connection puts no load on engines and uses no retry budget
		s.apply(scheduler.Finish{ID: id})
	}
}

// Guards against second attempts beyond the retry budget: 3 initially plus a tenth of the requests.
func TestRedispatchIsBounded(t *testing.T) {
	is := is.New(t)
	s := newTestScheduler(smallPolicy(3))
	retried := 0
	for n := range 20 {
		id := scheduler.RequestID(fmt.Sprintf("again-%d", n))
		s.apply(scheduler.Arrive{Request: scheduler.Request{
			ID: id, Workspace: "large", Service: "orders", Idempotent: true, Redispatch: true,
		}})
		s.apply(scheduler.BytesSent{ID: id})
		actions := s.apply(scheduler.Refused{ID: id})
		if _, again := actions[0].(scheduler.Dispatch); again {
			retried++
			s.apply(scheduler.Finish{ID: id})
			continue
		}
		is.Equal(actions[0].(scheduler.Reject).Reason, scheduler.RejectRetries)
	}
	is.Equal(retried, 3+20/10)
}

// Guards against a cancellation of a dispatched request that is lost or sent twice.
func TestAbandon(t *testing.T) {
	is := is.New(t)
	s := newTestScheduler(smallPolicy(1))
	running, _ := s.arrive(0, "large")
	waiting, _ := s.arrive(0, "large")
	is.Equal(len(s.apply(scheduler.Abandon{ID: waiting})), 0)
	is.Equal(s.apply(scheduler.Abandon{ID: running})[0].(scheduler.Cancel).Engine, "e0")
	is.Equal(len(s.apply(scheduler.Abandon{ID: running})), 0)
	is.Equal(len(s.apply(scheduler.Finish{ID: running, Result: scheduler.ResultCancelled})), 0)
	is.Equal(s.State(s.now).InFlight, 0)
}

// Guards against an ejection of every engine of a service.
func TestEjectionIsCapped(t *testing.T) {
	is := is.New(t)
	s := newTestScheduler(smallPolicy(3))
	for range 40 {
		id, _ := s.arrive(0, "large")
		s.apply(scheduler.BytesSent{ID: id})
		s.apply(scheduler.Finish{ID: id, Result: scheduler.ResultFailed})
	}
	ejected := 0
	for _, e := range s.State(s.now).Engines {
		if e.Ejected {
			ejected++
		}
	}
	is.Equal(ejected, 1)
}
