package allocator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/placement"
)

// TestRateLimitOutlivesItsReporterAndItsAllocator guards against a rate limit that other instances, an instance that
// has restarted, or a new allocator do not learn of.
func TestRateLimitOutlivesItsReporterAndItsAllocator(t *testing.T) {
	is := is.New(t)
	limit := fleet.RateLimit{Engine: "e", PerSecond: 2, AgeMS: 5}
	a, out := newTestAllocator(8)
	reporter, other := sender("reporter", 1), sender("other", 1)
	a.deliver(time.Second, reporter, fleet.Update{Sequence: 1, Full: true})
	a.deliver(time.Second, other, fleet.Update{Sequence: 1, Full: true})
	out.take("reporter")
	out.take("other")
	a.deliver(2*time.Second, reporter, fleet.Update{Sequence: 2, RateLimits: []fleet.RateLimit{limit}})
	is.Equal(out.take("other").RateLimits, []fleet.RateLimit{limit})
	is.Equal(len(out.take("reporter").RateLimits), 0)
	a.deliver(3*time.Second, sender("reporter", 2), fleet.Update{Sequence: 1, Full: true}) // it has restarted
	is.Equal(out.take("reporter").RateLimits, []fleet.RateLimit{{Engine: "e", PerSecond: 2, AgeMS: 1005}})

	successor, sent := newTestAllocator(8)
	known := fleet.RateLimit{Engine: "e", PerSecond: 2, AgeMS: 2000}
	successor.deliver(4*time.Second, other, fleet.Update{Sequence: 1, Full: true, RateLimits: []fleet.RateLimit{known}})
	granted := 0
	var ends []fleet.End
	for i := range 41 {
		now := 4*time.Second + time.Duration(i)*50*time.Millisecond
		successor.deliver(now, other, fleet.Update{
			Sequence: uint64(i + 2), Arrivals: []fleet.Request{waitingRequest(uint64(i + 1))}, Ends: ends,
		})
		ends = nil
		for _, g := range sent.take("other").Grants {
			ends = append(ends, fleet.End{ID: g.ID, Outcome: placement.OutcomeCompleted, Tokens: 10})
			granted++
		}
	}
	is.Equal(granted, 4) // in 2 s at 2 requests a second

	lifted := fleet.RateLimit{Engine: "e", Lifted: true}
	arrivals := []fleet.Request{waitingRequest(100), waitingRequest(101), waitingRequest(102)}
	successor.deliver(7*time.Second, other, fleet.Update{Sequence: 43, RateLimits: []fleet.RateLimit{lifted}, Arrivals: arrivals, Ends: ends})
	is.True(len(sent.take("other").Grants) >= len(arrivals))
}

// TestPermitsReachTheInstancesThatWantThem guards against permits of an engine of a plain service that are sent to no
// one, and against permits for an instance that has left.
func TestPermitsReachTheInstancesThatWantThem(t *testing.T) {
	is := is.New(t)
	a, out := newTestAllocator(8)
	wants := []placement.PermitDemand{{Service: "s", Waiting: 5}}
	limit := []fleet.RateLimit{{Engine: "e", PerSecond: 4}}
	a.deliver(time.Second, sender("edge", 1), fleet.Update{Sequence: 1, Full: true, RateLimits: limit, PermitDemand: wants})
	is.Equal(len(out.take("edge").Permits), 0)
	is.Equal(a.nextTick(), tickInterval)
	a.decide(1600 * time.Millisecond)
	a.send()
	is.Equal(out.take("edge").Permits, []fleet.Permits{{Engine: "e", Count: 2}})
	a.deliver(1700*time.Millisecond, sender("edge", 1), fleet.Update{Leave: true})
	a.decide(3 * time.Second)
	a.send()
	is.Equal(len(out.take("edge").Permits), 0)
	is.Equal(a.nextTick(), ownerTimeout/4)
}
