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

func startWorker(t *testing.T, engines, maxInFlight, maxRequests int) *dispatch.Worker {
	t.Helper()
	worker := dispatch.New(dispatch.Options{
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
	if err := worker.Configure(policy); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = worker.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return worker
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
		t.Fatal("no decision within 10 s")
		return dispatch.Decision{}
	}
}

// Guards against a withdrawn request that still counts towards the limit, and against a finished request
// that still occupies the engine.
func TestAbandonAndFinishReleaseCapacity(t *testing.T) {
	is := is.New(t)
	worker := startWorker(t, 1, 1, 3)
	first, err := worker.Submit(request("1"))
	is.NoErr(err)
	is.Equal(decisionOf(t, first).Engine, "a")
	second, err := worker.Submit(request("2"))
	is.NoErr(err)
	third, err := worker.Submit(request("3"))
	is.NoErr(err)
	_, err = worker.Submit(request("4"))
	var busy *dispatch.BusyError
	is.True(errors.As(err, &busy))
	second.Abandon()
	is.True(decisionOf(t, second).Withdrawn())
	first.BytesSent()
	first.Finish(scheduler.Finish{Result: scheduler.ResultSuccess})
	is.Equal(decisionOf(t, third).Engine, "a")
	third.Finish(scheduler.Finish{Result: scheduler.ResultSuccess})
	is.NoErr(worker.Inspect(context.Background(), func(*scheduler.Scheduler) {}))
	is.Equal(worker.Active(), 0)
}

// Guards against a refused dispatch that is lost or sent to the same engine again.
func TestRefusedDispatchGoesToAnotherEngine(t *testing.T) {
	is := is.New(t)
	worker := startWorker(t, 2, 1, 10)
	ticket, err := worker.Submit(request("1"))
	is.NoErr(err)
	first := decisionOf(t, ticket).Engine
	ticket.Refused()
	second := decisionOf(t, ticket).Engine
	is.True(second != "")
	is.True(second != first)
}

// Guards against a handler that never receives a decision when its Abandon is queued after the scheduler
// dispatched the request.
func TestAbandonAfterDispatchDeliversDecision(t *testing.T) {
	is := is.New(t)
	worker := startWorker(t, 1, 1, 10)
	ticket, err := worker.Submit(request("1"))
	is.NoErr(err)
	is.NoErr(worker.Inspect(context.Background(), func(*scheduler.Scheduler) {}))
	ticket.Abandon()
	is.Equal(decisionOf(t, ticket).Engine, "a")
	ticket.Finish(scheduler.Finish{Result: scheduler.ResultCancelled})
	is.NoErr(worker.Inspect(context.Background(), func(*scheduler.Scheduler) {}))
	is.Equal(worker.Active(), 0)
}
