package engine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/engine"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against an outdated engine list that makes a leaving engine available again.
func TestLifecycle(t *testing.T) {
	is := is.New(t)
	var l engine.Lifecycle
	is.True(l.Accepts())
	is.True(!l.Observe(3, true, true))
	is.True(!l.Accepts())
	is.True(l.Observe(4, false, true))
	is.True(l.Accepts())
	l.Observe(4, true, true)
	l.Observe(4, false, true)
	is.True(!l.Accepts())
	l.Observe(3, false, true)
	is.Equal(l.Incarnation, uint64(4))
	is.True(l.Observe(5, false, false))
	is.True(!l.Accepts()) // unreachable
	l.Observe(5, false, true)
	is.True(l.Accepts())
}

// Guards against full confidence in the index after lost events, and against an index that exceeds its
// capacity.
func TestPrefix(t *testing.T) {
	is := is.New(t)
	v := engine.New(engine.Options{PrefixCapacity: 64})
	p := &v.Prefix
	chain := []uint64{11, 12, 13, 14}
	p.Add(chain)
	is.Equal(p.Match(chain), 4)
	is.Equal(p.Match([]uint64{11, 12, 99}), 2)
	p.Remove([]uint64{13})
	is.Equal(p.Match(chain), 2)
	p.RecordEvents(1, 1)
	is.Equal(p.Confidence(), 1.0)
	p.RecordEvents(5, 1)
	low := p.Confidence()
	is.True(low < 0.6)
	for i := range 200 {
		p.RecordEvents(uint64(6+i), 1)
	}
	is.True(p.Confidence() > 0.9)
	for i := range uint64(1000) {
		p.Add([]uint64{1000 + i*7919})
	}
	is.True(p.BlockCount() <= 64)
	p.Clear()
	is.Equal(p.Match(chain), 0)
}

// runFullEngine runs 64 concurrent requests with the given time between tokens on a view for the given
// number of seconds.
func runFullEngine(v *engine.View, now time.Time, seconds int, perToken time.Duration) time.Time {
	requests := make([]engine.Request, 64)
	for i := range requests {
		v.Start(now, &requests[i])
		v.FirstToken(now, &requests[i])
	}
	for range seconds * int(time.Second/(10*perToken)) {
		now = now.Add(10 * perToken)
		for i := range requests {
			v.Progress(now, &requests[i], 10)
		}
	}
	for i := range requests {
		v.End(now, &requests[i], engine.Succeeded)
	}
	return now
}

// Guards against a limit that stays high while the objective is missed, or that stays low while it is
// met.
func TestLimitFollowsObjective(t *testing.T) {
	is := is.New(t)
	v := engine.New(engine.Options{BetweenTokens: 50 * time.Millisecond, MaxInFlight: 30})
	now := runFullEngine(v, start, 20, 20*time.Millisecond)
	fast := v.Limit()
	is.True(fast > 20)
	is.True(fast <= 30) // the hard limit
	now = runFullEngine(v, now, 20, 100*time.Millisecond)
	is.True(v.Limit() < fast/2)
	runFullEngine(v, now, 20, 20*time.Millisecond)
	is.True(v.Limit() > fast/2)
}

// Guards against a share above the limit, and against an instance without any slot although the other
// instances do not use the whole limit.
func TestShareOfLimit(t *testing.T) {
	is := is.New(t)
	v := engine.New(engine.Options{MaxInFlight: 8})
	v.Refresh(start, 100)
	is.Equal(v.Allowed(), 8)
	v.SetPeerLoad(engine.PeerLoad{Known: true, InFlight: 6, Demand: 24, WeightedLimits: 6 * 8})
	v.Refresh(start, 8)
	is.Equal(v.Allowed(), 2)
	v.Refresh(start, 0)
	is.Equal(v.Allowed(), 1)
	v.SetPeerLoad(engine.PeerLoad{Known: true, InFlight: 8, Demand: 800, WeightedLimits: 8 * 8})
	v.Refresh(start, 1)
	is.Equal(v.Allowed(), 0) // the other instances use the whole limit
}

// Guards against an old load report that hides this instance's later dispatches, and against one that
// counts this instance's requests twice.
func TestOccupancyFromLateReport(t *testing.T) {
	is := is.New(t)
	v := engine.New(engine.Options{})
	var before, after engine.Request
	v.Start(start, &before)
	v.Start(start.Add(2*time.Second), &after)
	now := start.Add(3 * time.Second)
	v.RecordLoadReport(now, start.Add(time.Second), 5, 0)
	is.True(v.Occupancy(start.Add(time.Second)) > 5.5) // 4 requests of others and 2 of this instance
	is.True(v.Occupancy(now) < 6)                      // the weight of the report decays
	is.True(v.Occupancy(now) > 2)
}

// Guards against a stuck engine that attracts requests because it produces no samples and so looks idle.
func TestStalledEngineLooksSlow(t *testing.T) {
	is := is.New(t)
	v := engine.New(engine.Options{})
	r := engine.Request{Prompt: 100}
	v.Start(start, &r)
	early := v.ExpectedDuration(start, 100, 0, 10)
	late := v.ExpectedDuration(start.Add(5*time.Second), 100, 0, 10)
	is.True(late > early+4*time.Second)
}

// Guards against an engine that is never readmitted after an ejection, or that is readmitted with its
// full limit at once.
func TestEjection(t *testing.T) {
	is := is.New(t)
	v := engine.New(engine.Options{MaxInFlight: 10, Plain: true})
	for range 10 {
		v.Health.Failure(start)
	}
	is.True(v.Health.Outlier())
	v.Health.Eject(start)
	is.True(!v.Health.ExpireEjection(start.Add(time.Second)))
	back := start.Add(5 * time.Second)
	is.True(v.Health.ExpireEjection(back))
	v.Refresh(back, 10)
	is.Equal(v.Allowed(), 1)
	v.Refresh(back.Add(10*time.Second), 10)
	is.Equal(v.Allowed(), 10)
	v.Health.Eject(back)
	is.True(!v.Health.ExpireEjection(back.Add(6 * time.Second))) // the second consecutive ejection is longer
}

// Guards against a limit that decreases while nothing is measured, and against a negative engine time
// when the configured network round trip exceeds the measured duration.
func TestLimitOfAnIdlePlainEngine(t *testing.T) {
	is := is.New(t)
	v := engine.New(engine.Options{Plain: true, FirstToken: 100 * time.Millisecond, OneWayLatency: 200 * time.Millisecond})
	now := start
	for range 20 {
		r := engine.Request{}
		v.Start(now, &r)
		now = now.Add(time.Second)
		v.End(now, &r, engine.Succeeded)
	}
	is.True(v.ExpectedDuration(now, 0, 0, 0) > 400*time.Millisecond) // network round trip plus service time
	now = now.Add(5 * time.Second)
	v.End(now, startRequest(v, now), engine.Cancelled) // adjusts the limit by the last measured responses
	after := v.Limit()
	is.True(after >= 4) // a slow service keeps its minimum of slots
	for range 100 {
		now = now.Add(time.Second)
		v.End(now, startRequest(v, now), engine.Cancelled)
	}
	is.Equal(v.Limit(), after)
}

// startRequest starts a request without a response. If it is cancelled, it yields no measurement.
func startRequest(v *engine.View, now time.Time) *engine.Request {
	r := &engine.Request{}
	v.Start(now, r)
	return r
}
