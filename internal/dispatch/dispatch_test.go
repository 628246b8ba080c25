package dispatch_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/internal/dispatch"
	"github.com/primrosebeam/primrosebeam/scheduler"
)

func startDuty(t *testing.T, engines, maxInFlight, maxRequests int) *dispatch.Worker {
	t.Helper()
	duty := dispatch.New(dispatch.Options{
		Scheduler:   scheduler.New(scheduler.Options{Rand: rand.New(rand.NewPCG(1, 2))}),
		MaxRequests: maxRequests,
	})
	policy := scheduler.Policy{
		DataCentre: "bern",
		Tiers:      []scheduler.Tier{{Name: "urgent", QueueLimit: 100}},
		Workspaces: []scheduler.Workspace{{Name: "w"}},
		Services:   []scheduler.Service{{Name: "s"}},
	}
	for n := range engines {
		policy.Engines = append(policy.Engines, scheduler.Engine{
			Name: string(rune('a' + n)), DataCentre: "bern", MaxInFlight: maxInFlight,
		})
	}
	if err := duty.Configure(policy); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = duty.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return duty
}

func request(id string) scheduler.Request {
	return scheduler.Request{ID: scheduler.RequestID(id), Workspace: "w", Service: "s"}
}

func decisionOf(t *testing.T, ticket *dispatch.Ticket) dispatch.Decision {
	t.Helper()
	select {
	case decision := <-ticket.Decisions():
		return decision
	case <-time.After(10 * time.Second):
		t.Fatal("no decision")
		return dispatch.Decision{}
	}
}

// Guards against a withdrawn request that keeps its place, and a finished one that keeps the engine.
func TestAbandonAndFinishFreeTheirPlaces(t *testing.T) {
	is := is.New(t)
	duty := startDuty(t, 1, 1, 3)
	first, err := duty.Submit(request("1"))
	is.NoErr(err)
	is.Equal(decisionOf(t, first).Engine, "a")
	second, err := duty.Submit(request("2"))
	is.NoErr(err)
	third, err := duty.Submit(request("3"))
	is.NoErr(err)
	_, err = duty.Submit(request("4"))
	var busy *dispatch.BusyError
	is.True(errors.As(err, &busy))
	second.Abandon()
	is.True(decisionOf(t, second).Withdrawn())
	first.BytesSent()
	first.Finish(scheduler.Finish{Result: scheduler.ResultSuccess})
	is.Equal(decisionOf(t, third).Engine, "a")
	third.Finish(scheduler.Finish{Result: scheduler.ResultSuccess})
	is.NoErr(duty.Inspect(context.Background(), func(*scheduler.Scheduler) {}))
	is.Equal(duty.Active(), 0)
}

// Guards against a refused dispatch that is lost or goes to the same engine again.
func TestRefusedDispatchGoesToAnotherEngine(t *testing.T) {
	is := is.New(t)
	duty := startDuty(t, 2, 1, 10)
	ticket, err := duty.Submit(request("1"))
	is.NoErr(err)
	first := decisionOf(t, ticket).Engine
	ticket.Refused()
	second := decisionOf(t, ticket).Engine
	is.True(second != "")
	is.True(second != first)
}

// Guards against an Abandon that crosses a dispatch and leaves the handler without a decision.
func TestAbandonAfterDispatchStillDelivers(t *testing.T) {
	is := is.New(t)
	duty := startDuty(t, 1, 1, 10)
	ticket, err := duty.Submit(request("1"))
	is.NoErr(err)
	is.NoErr(duty.Inspect(context.Background(), func(*scheduler.Scheduler) {}))
	ticket.Abandon()
	is.Equal(decisionOf(t, ticket).Engine, "a")
	ticket.Finish(scheduler.Finish{Result: scheduler.ResultCancelled})
	is.NoErr(duty.Inspect(context.Background(), func(*scheduler.Scheduler) {}))
	is.Equal(duty.Active(), 0)
}
