package exchange

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/membership"
	"github.com/primrosebeam/primrosebeam/ring"
	"github.com/primrosebeam/primrosebeam/scheduler"
)

// network connects exchanges in virtual time. Every message is encoded and decoded as on a link.
type network struct {
	t          testing.TB
	now        time.Time
	names      []string
	exchanges  map[string]*Exchange
	handlers   map[string]map[link.Kind]link.Handler
	delivered  map[string][]scheduler.Event
	stopped    map[string]bool
	byteCounts map[string]int // bytes sent and received, by instance
	messages   map[link.Kind]int
}

// caller sends the messages of one instance over the network.
type caller struct {
	network *network
	name    string
}

func (c caller) Send(to string, kind link.Kind, body any) error {
	nw := c.network
	if nw.exchanges[to] == nil {
		return &link.UnknownPeerError{Peer: to}
	}
	data, err := link.Encode(body)
	if err != nil {
		nw.t.Fatalf("%s: %v", kind, err)
	}
	nw.messages[kind]++
	nw.byteCounts[c.name] += len(data) + frameBytes
	if nw.stopped[to] || nw.stopped[c.name] {
		return nil
	}
	nw.byteCounts[to] += len(data) + frameBytes
	self := nw.exchanges[c.name].options
	_, err = nw.handlers[to][kind](context.Background(), link.Sender{Name: c.name, DataCentre: self.DataCentre, Incarnation: self.Incarnation}, data)
	var full *ring.FullError
	if err != nil && !errors.As(err, &full) {
		nw.t.Errorf("%s: %v", kind, err)
	}
	return nil
}

func (c caller) Call(context.Context, string, link.Kind, any, any) error { return nil }

func newNetwork(t testing.TB, size, dataCentres int) *network {
	nw := &network{
		t: t, now: time.Unix(1_800_000_000, 0), exchanges: map[string]*Exchange{}, handlers: map[string]map[link.Kind]link.Handler{},
		delivered: map[string][]scheduler.Event{}, stopped: map[string]bool{}, byteCounts: map[string]int{}, messages: map[link.Kind]int{},
	}
	var seeds []membership.Hint
	for i := range size {
		nw.names = append(nw.names, fmt.Sprintf("dc%d-%03d", i%dataCentres, i))
		seeds = append(seeds, membership.Hint{Name: nw.names[i]})
	}
	for i, name := range nw.names {
		e, err := New(Options{
			Name: name, DataCentre: fmt.Sprintf("dc%d", i%dataCentres), Incarnation: 1 << 60, Seeds: seeds, Caller: caller{nw, name},
			Deliver: func(event scheduler.Event) { nw.delivered[name] = append(nw.delivered[name], event) },
			Clock:   func() time.Time { return nw.now },
		})
		if err != nil {
			t.Fatal(err)
		}
		nw.handlers[name] = map[link.Kind]link.Handler{}
		e.Register(func(kind link.Kind, handler link.Handler) { nw.handlers[name][kind] = handler })
		nw.exchanges[name] = e
	}
	return nw
}

func (nw *network) run(d time.Duration) {
	for end := nw.now.Add(d); nw.now.Before(end); {
		nw.now = nw.now.Add(membership.TickInterval)
		for _, name := range nw.names {
			if !nw.stopped[name] {
				nw.exchanges[name].drain()
				nw.exchanges[name].tick()
			}
		}
	}
}

// resetCounts discards the delivered events and the counts.
func (nw *network) resetCounts() {
	clear(nw.delivered)
	clear(nw.byteCounts)
	clear(nw.messages)
}

// delivered returns the events of one type that were delivered at an instance.
func delivered[T scheduler.Event](nw *network, name string) (events []T) {
	for _, event := range nw.delivered[name] {
		if e, ok := event.(T); ok {
			events = append(events, e)
		}
	}
	return events
}

// newSettledNetwork returns a network in which all instances consider each other alive.
func newSettledNetwork(t testing.TB, size, dataCentres int) *network {
	nw := newNetwork(t, size, dataCentres)
	nw.run(4 * time.Second)
	for _, name := range nw.names {
		for _, i := range nw.exchanges[name].Instances() {
			if i.State != membership.StateAlive {
				t.Fatalf("%s considers %s %s", name, i.Name, i.State)
			}
		}
	}
	nw.resetCounts()
	return nw
}

// Guards against summaries that do not reach the other instances, that repeat unchanged loads, or that are
// kept after their instance has failed.
func TestSummaries(t *testing.T) {
	is := is.New(t)
	nw := newSettledNetwork(t, 9, 3)
	a, b := nw.names[0], nw.names[1]
	last := func() map[string]scheduler.PeerLoad {
		for _, events := 0, delivered[scheduler.PeerSummary](nw, b); len(events) > 0; events = events[:len(events)-1] {
			if e := events[len(events)-1]; e.Instance == a {
				return e.Engines
			}
		}
		return nil
	}
	is.NoErr(nw.exchanges[a].PublishSummary(map[string]scheduler.PeerLoad{
		"e1": {InFlight: 3, Demand: 1, Limit: 7.6}, "e2": {InFlight: 1}, "e3": {},
	}))
	nw.run(500 * time.Millisecond)
	is.Equal(last(), map[string]scheduler.PeerLoad{"e1": {InFlight: 3, Demand: 1, Limit: 8}, "e2": {InFlight: 1}})
	is.NoErr(nw.exchanges[a].PublishSummary(map[string]scheduler.PeerLoad{"e1": {InFlight: 4}}))
	nw.run(500 * time.Millisecond)
	is.Equal(last(), map[string]scheduler.PeerLoad{"e1": {InFlight: 4}})
	nw.resetCounts()
	nw.run(2 * time.Second)
	is.True(nw.messages[KindSummary] <= 9*8) // at most one full summary for each pair
	nw.stopped[a] = true
	nw.resetCounts()
	nw.run(membership.FailAfter + time.Second)
	is.Equal(last(), map[string]scheduler.PeerLoad{}) // an empty load was delivered, not just nothing
}

// Guards against a floor that does not reach every instance, is delivered twice, or circulates.
func TestFloorReachesEveryInstanceOnce(t *testing.T) {
	is := is.New(t)
	nw := newSettledNetwork(t, 40, 5)
	expires := nw.now.Add(2 * time.Second)
	for _, name := range nw.names[:10] { // Ten instances shed load at the same time.
		is.NoErr(nw.exchanges[name].PublishFloor(scheduler.PublishFloor{Tier: 1, Expires: expires}))
	}
	nw.run(time.Second)
	for _, name := range nw.names {
		floors := delivered[scheduler.PeerFloor](nw, name)
		seen := map[string]int{}
		for _, f := range floors {
			seen[f.Instance]++
			is.True(seen[f.Instance] == 1)
			is.Equal(f.Tier, 1)
			// The remaining duration is sent instead of a time, so transit extends a floor by a few ticks.
			is.True(expires.Sub(f.Expires).Abs() <= 500*time.Millisecond)
		}
		is.True(len(floors) > 0)
	}
	if most := 2 * 10 * 40; nw.messages[KindFloor] > most {
		t.Errorf("%d messages for ten equal floors", nw.messages[KindFloor])
	}
	nw.resetCounts()
	// A floor of a lower tier number is stricter.
	is.NoErr(nw.exchanges[nw.names[3]].PublishFloor(scheduler.PublishFloor{Tier: 0, Expires: expires}))
	nw.run(time.Second)
	for _, name := range nw.names {
		is.True(name == nw.names[3] || len(delivered[scheduler.PeerFloor](nw, name)) == 1)
	}
}

// Guards against reports that reach only the partners of the poller, circulate, or replace newer ones.
func TestReportsReachEveryInstance(t *testing.T) {
	is := is.New(t)
	nw := newSettledNetwork(t, 40, 5)
	at := nw.now
	is.NoErr(nw.exchanges[nw.names[0]].PublishReport(scheduler.LoadReport{Engine: "e1", At: at, Running: 7, KVUsed: 0.5}))
	is.NoErr(nw.exchanges[nw.names[1]].PublishReport(scheduler.LoadReport{Engine: "e1", At: at.Add(-time.Second), Running: 6}))
	nw.run(3 * time.Second)
	for _, name := range nw.names {
		if name == nw.names[0] {
			continue
		}
		got := delivered[scheduler.LoadReport](nw, name)
		is.True(len(got) >= 1 && len(got) <= 2)
		newest := got[len(got)-1]
		is.Equal(newest.Running, 7)
		is.True(newest.At.Sub(at).Abs() < time.Second)
	}
	nw.resetCounts()
	nw.run(3 * time.Second)
	is.Equal(nw.messages[KindReports], 0)
}

// Guards against cache events that are delivered twice because two instances poll the engine, that are
// delivered out of order, or that are no longer delivered after the engine has restarted.
func TestCacheEventsAreDeliveredOnce(t *testing.T) {
	is := is.New(t)
	nw := newSettledNetwork(t, 9, 3)
	publish := func(name string, first uint64, count int) {
		changes := make([]scheduler.CacheChange, count)
		for i := range changes {
			changes[i].Stored = []uint64{first + uint64(i)}
		}
		is.NoErr(nw.exchanges[name].PublishCache(scheduler.CacheEvents{Engine: "e1", First: first, Changes: changes}))
		nw.run(time.Second)
	}
	publish(nw.names[0], 1, 100)
	publish(nw.names[1], 1, 100)
	publish(nw.names[2], 51, 100) // overlaps with the changes above
	got := delivered[scheduler.CacheEvents](nw, nw.names[5])
	next := uint64(1)
	for _, events := range got {
		is.Equal(events.First, next)
		for _, change := range events.Changes {
			is.Equal(change.Stored[0], next)
			next++
		}
	}
	is.Equal(next, uint64(151))
	nw.resetCounts()
	publish(nw.names[0], 1, 2) // the engine has restarted
	is.Equal(len(delivered[scheduler.CacheEvents](nw, nw.names[5])), 1)
}

// Guards against an instance that leaves without an announcement, and against operators who cannot see where a
// configuration version is in force.
func TestLeaveAndVersion(t *testing.T) {
	is := is.New(t)
	nw := newSettledNetwork(t, 9, 3)
	for _, name := range nw.names {
		nw.exchanges[name].SetVersion(7)
		nw.exchanges[name].SetVersion(6) // an earlier version is ignored
	}
	is.NoErr(nw.exchanges[nw.names[0]].AnnounceEngineLeaving("e1", 4))
	is.NoErr(nw.exchanges[nw.names[1]].AnnounceLeaving())
	nw.run(3 * time.Second)
	for _, name := range nw.names {
		is.Equal(delivered[scheduler.EngineState](nw, name), []scheduler.EngineState{{Engine: "e1", Incarnation: 4, Leaving: true, Reachable: true}})
		covered := nw.exchanges[name].InForce(7)
		is.Equal(covered["dc0"], membership.Coverage{Live: 3, InForce: 3})
		is.Equal(covered["dc1"], membership.Coverage{Live: 2, InForce: 2}) // the leaving instance does not count
	}
	is.Equal(nw.exchanges[nw.names[0]].InForce(8)["dc0"], membership.Coverage{Live: 3})
	is.Equal(nw.exchanges[nw.names[1]].State().Left, true)
}

// Guards against an engine that no instance or every instance polls, and against a failed poller that is not
// replaced.
func TestPollersAreSelectedAndReplaced(t *testing.T) {
	nw := newSettledNetwork(t, 9, 3)
	count := func(engine string) (pollers []string) {
		for _, name := range nw.names {
			if !nw.stopped[name] && nw.exchanges[name].IsPoller(engine, "dc1") {
				pollers = append(pollers, name)
			}
		}
		return pollers
	}
	for i := range 20 {
		if pollers := count(fmt.Sprint("e", i)); len(pollers) != 2 {
			t.Fatalf("e%d is polled by %v", i, pollers)
		}
	}
	before := count("e1")
	nw.stopped[before[0]] = true
	nw.run(membership.FailAfter + 2*time.Second)
	after := count("e1")
	if len(after) != 2 || after[0] == before[0] || after[1] == before[0] {
		t.Fatalf("polled by %v, then by %v", before, after)
	}
}

// Guards against a handler or a publisher that blocks when the ring is full.
func TestFullRingRejects(t *testing.T) {
	is := is.New(t)
	nw := newNetwork(t, 2, 1)
	e := nw.exchanges[nw.names[0]]
	for range DefaultRingCapacity {
		is.NoErr(e.PublishSummary(nil))
	}
	var full *ring.FullError
	is.True(errors.As(e.PublishSummary(nil), &full))
	_, err := nw.handlers[nw.names[0]][KindSummary](t.Context(), link.Sender{Name: nw.names[1]}, []byte{0x82, 0xf4, 0x80})
	is.True(errors.As(err, &full))
	is.Equal(e.metrics.full.Get(), uint64(2))
}

// Guards against size estimates below the encoded size, with which the byte budget would be exceeded.
func TestSizesAreUpperBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[a-z0-9-]{1,23}`)
		number := rapid.Uint64()
		version := rapid.Uint64Range(0, 1<<32-1)
		state := membership.State(rapid.IntRange(1, 4).Draw(t, "state"))
		h := membership.Heartbeat{
			Purpose: membership.PurposeChosen, Number: version.Draw(t, "number"), AckHigh: version.Draw(t, "ack"), AckMask: number.Draw(t, "mask"),
			Digest: number.Draw(t, "digest"), Sequence: version.Draw(t, "sequence"), Version: version.Draw(t, "version"), Roles: []string{name.Draw(t, "role")},
		}
		for range rapid.IntRange(0, 20).Draw(t, "updates") {
			h.Records = append(h.Records, membership.Record{Name: name.Draw(t, "name"), DataCentre: name.Draw(t, "centre"), Incarnation: number.Draw(t, "incarnation"), Sequence: rapid.Uint64Range(0, 1<<16-1).Draw(t, "s"), State: state})
			h.States = append(h.States, membership.StateNotice{Name: name.Draw(t, "name"), Incarnation: uint16(number.Draw(t, "low")), Sequence: rapid.Uint64Range(0, 1<<16-1).Draw(t, "s"), State: state})
			h.Versions = append(h.Versions, membership.VersionNotice{Name: name.Draw(t, "name"), Incarnation: uint16(number.Draw(t, "low")), Version: version.Draw(t, "v")})
			h.Engines = append(h.Engines, membership.EngineNotice{Engine: name.Draw(t, "engine"), Incarnation: number.Draw(t, "incarnation")})
		}
		data, err := link.Encode(h)
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > h.Size() {
			t.Fatalf("%d bytes, estimated as %d", len(data), h.Size())
		}
		o := origin{Instance: name.Draw(t, "name"), Incarnation: number.Draw(t, "incarnation"), Number: version.Draw(t, "n")}
		r := report{Origin: o, Engine: name.Draw(t, "engine"), Age: 1 << 20, Running: 1 << 20, Waiting: 1 << 20, KVUsed: 0.3}
		if data, _ := link.Encode(r); len(data) > r.size() {
			t.Fatalf("report of %d bytes, estimated as %d", len(data), r.size())
		}
		c := cache{Origin: o, Engine: name.Draw(t, "engine"), First: number.Draw(t, "first"), Changes: []cacheChange{{Stored: rapid.SliceOfN(number, 0, 40).Draw(t, "stored")}}}
		if data, _ := link.Encode(c); len(data) > c.size() {
			t.Fatalf("cache events of %d bytes, estimated as %d", len(data), c.size())
		}
		l := engineLoad{Engine: name.Draw(t, "engine"), InFlight: 1 << 14, Demand: 1 << 14}
		if data, _ := link.Encode(l); len(data) > l.size() {
			t.Fatalf("load of %d bytes, estimated as %d", len(data), l.size())
		}
	})
}

// Guards against a forwarded message that is accepted twice and therefore circulates.
func TestWindowAcceptsEachNumberOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w receiveWindow
		accepted := map[uint64]bool{}
		for _, number := range rapid.SliceOf(rapid.Uint64Range(1, 300)).Draw(t, "numbers") {
			if w.add(number) {
				if accepted[number] {
					t.Fatalf("%d was accepted twice", number)
				}
				accepted[number] = true
			}
		}
	})
}
