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

// hub connects duties in virtual time; every message is encoded and decoded as on a link.
type hub struct {
	t        testing.TB
	now      time.Time
	names    []string
	duties   map[string]*Exchange
	handlers map[string]map[link.Kind]link.Handler
	got      map[string][]scheduler.Event
	down     map[string]bool
	bytes    map[string]int // sent and received
	messages map[link.Kind]int
}

// port is one instance's side of the hub.
type port struct {
	hub  *hub
	name string
}

func (p port) Send(to string, kind link.Kind, body any) error {
	h := p.hub
	if h.duties[to] == nil {
		return &link.UnknownPeerError{Peer: to}
	}
	data, err := link.Encode(body)
	if err != nil {
		h.t.Fatalf("%s: %v", kind, err)
	}
	h.messages[kind]++
	h.bytes[p.name] += len(data) + frameBytes
	if h.down[to] || h.down[p.name] {
		return nil
	}
	h.bytes[to] += len(data) + frameBytes
	self := h.duties[p.name].options
	_, err = h.handlers[to][kind](context.Background(), link.Sender{Name: p.name, DataCentre: self.DataCentre, Incarnation: self.Incarnation}, data)
	var full *ring.FullError
	if err != nil && !errors.As(err, &full) {
		h.t.Errorf("%s: %v", kind, err)
	}
	return nil
}

func (p port) Call(context.Context, string, link.Kind, any, any) error { return nil }

func newHub(t testing.TB, size, centres int) *hub {
	h := &hub{
		t: t, now: time.Unix(1_800_000_000, 0), duties: map[string]*Exchange{}, handlers: map[string]map[link.Kind]link.Handler{},
		got: map[string][]scheduler.Event{}, down: map[string]bool{}, bytes: map[string]int{}, messages: map[link.Kind]int{},
	}
	var seeds []membership.Hint
	for i := range size {
		h.names = append(h.names, fmt.Sprintf("dc%d-%03d", i%centres, i))
		seeds = append(seeds, membership.Hint{Name: h.names[i]})
	}
	for i, name := range h.names {
		e, err := New(Options{
			Name: name, DataCentre: fmt.Sprintf("dc%d", i%centres), Incarnation: 1 << 60, Seeds: seeds, Caller: port{h, name},
			Deliver: func(event scheduler.Event) { h.got[name] = append(h.got[name], event) },
			Clock:   func() time.Time { return h.now },
		})
		if err != nil {
			t.Fatal(err)
		}
		h.handlers[name] = map[link.Kind]link.Handler{}
		e.Register(func(kind link.Kind, handler link.Handler) { h.handlers[name][kind] = handler })
		h.duties[name] = e
	}
	return h
}

func (h *hub) run(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(membership.TickInterval)
		for _, name := range h.names {
			if !h.down[name] {
				h.duties[name].drain()
				h.duties[name].tick()
			}
		}
	}
}

// clear forgets what was delivered and counted.
func (h *hub) clear() {
	clear(h.got)
	clear(h.bytes)
	clear(h.messages)
}

// delivered returns the events of one type that an instance was given.
func delivered[T scheduler.Event](h *hub, name string) (events []T) {
	for _, event := range h.got[name] {
		if e, ok := event.(T); ok {
			events = append(events, e)
		}
	}
	return events
}

func settledHub(t testing.TB, size, centres int) *hub {
	h := newHub(t, size, centres)
	h.run(4 * time.Second)
	for _, name := range h.names {
		for _, i := range h.duties[name].Instances() {
			if i.State != membership.StateAlive {
				t.Fatalf("%s holds %s for %s", name, i.Name, i.State)
			}
		}
	}
	h.clear()
	return h
}

// Guards against summaries that do not reach the others, repeat what has not changed, or outlive their
// instance.
func TestSummaries(t *testing.T) {
	is := is.New(t)
	h := settledHub(t, 9, 3)
	a, b := h.names[0], h.names[1]
	last := func() map[string]scheduler.PeerLoad {
		for _, events := 0, delivered[scheduler.PeerSummary](h, b); len(events) > 0; events = events[:len(events)-1] {
			if e := events[len(events)-1]; e.Instance == a {
				return e.Engines
			}
		}
		return nil
	}
	is.NoErr(h.duties[a].PublishSummary(map[string]scheduler.PeerLoad{
		"e1": {InFlight: 3, Demand: 1, Limit: 7.6}, "e2": {InFlight: 1}, "e3": {},
	}))
	h.run(500 * time.Millisecond)
	is.Equal(last(), map[string]scheduler.PeerLoad{"e1": {InFlight: 3, Demand: 1, Limit: 8}, "e2": {InFlight: 1}})
	is.NoErr(h.duties[a].PublishSummary(map[string]scheduler.PeerLoad{"e1": {InFlight: 4}}))
	h.run(500 * time.Millisecond)
	is.Equal(last(), map[string]scheduler.PeerLoad{"e1": {InFlight: 4}})
	h.clear()
	h.run(2 * time.Second)
	is.True(h.messages[KindSummary] <= 9*8) // at most one refresh for each pair, nothing else
	h.down[a] = true
	h.clear()
	h.run(membership.FailAfter + time.Second)
	is.Equal(last(), map[string]scheduler.PeerLoad{}) // withdrawn, not merely unknown
}

// Guards against a floor that does not reach everybody, is delivered twice, or circulates.
func TestFloorReachesEverybodyOnce(t *testing.T) {
	is := is.New(t)
	h := settledHub(t, 40, 5)
	expires := h.now.Add(2 * time.Second)
	for _, name := range h.names[:10] { // Ten instances shed at the same time.
		is.NoErr(h.duties[name].PublishFloor(scheduler.PublishFloor{Tier: 1, Expires: expires}))
	}
	h.run(time.Second)
	for _, name := range h.names {
		floors := delivered[scheduler.PeerFloor](h, name)
		seen := map[string]int{}
		for _, f := range floors {
			seen[f.Instance]++
			is.True(seen[f.Instance] == 1)
			is.Equal(f.Tier, 1)
			// A remainder is sent instead of a time, so a floor lasts longer by its transit of a few ticks.
			is.True(expires.Sub(f.Expires).Abs() <= 500*time.Millisecond)
		}
		is.True(len(floors) > 0)
	}
	if most := 2 * 10 * 40; h.messages[KindFloor] > most {
		t.Errorf("%d messages for ten equal floors", h.messages[KindFloor])
	}
	h.clear()
	is.NoErr(h.duties[h.names[3]].PublishFloor(scheduler.PublishFloor{Tier: 0, Expires: expires})) // stricter
	h.run(time.Second)
	for _, name := range h.names {
		is.True(name == h.names[3] || len(delivered[scheduler.PeerFloor](h, name)) == 1)
	}
}

// Guards against reports that reach only the pollers' partners, circulate, or replace newer ones.
func TestReportsReachEverybody(t *testing.T) {
	is := is.New(t)
	h := settledHub(t, 40, 5)
	at := h.now
	is.NoErr(h.duties[h.names[0]].PublishReport(scheduler.LoadReport{Engine: "e1", At: at, Running: 7, KVUsed: 0.5}))
	is.NoErr(h.duties[h.names[1]].PublishReport(scheduler.LoadReport{Engine: "e1", At: at.Add(-time.Second), Running: 6}))
	h.run(3 * time.Second)
	for _, name := range h.names {
		if name == h.names[0] {
			continue
		}
		got := delivered[scheduler.LoadReport](h, name)
		is.True(len(got) >= 1 && len(got) <= 2)
		newest := got[len(got)-1]
		is.Equal(newest.Running, 7)
		is.True(newest.At.Sub(at).Abs() < time.Second)
	}
	h.clear()
	h.run(3 * time.Second)
	is.Equal(h.messages[KindReports], 0)
}

// Guards against cache events that are delivered twice because two instances poll the engine, out of
// order, or never again after the engine has restarted.
func TestCacheEventsAreDeliveredOnce(t *testing.T) {
	is := is.New(t)
	h := settledHub(t, 9, 3)
	publish := func(name string, first uint64, count int) {
		changes := make([]scheduler.CacheChange, count)
		for i := range changes {
			changes[i].Stored = []uint64{first + uint64(i)}
		}
		is.NoErr(h.duties[name].PublishCache(scheduler.CacheEvents{Engine: "e1", First: first, Changes: changes}))
		h.run(time.Second)
	}
	publish(h.names[0], 1, 100)
	publish(h.names[1], 1, 100)
	publish(h.names[2], 51, 100) // overlaps
	got := delivered[scheduler.CacheEvents](h, h.names[5])
	next := uint64(1)
	for _, events := range got {
		is.Equal(events.First, next)
		for _, change := range events.Changes {
			is.Equal(change.Stored[0], next)
			next++
		}
	}
	is.Equal(next, uint64(151))
	h.clear()
	publish(h.names[0], 1, 2) // the engine has restarted
	is.Equal(len(delivered[scheduler.CacheEvents](h, h.names[5])), 1)
}

// Guards against a leave that is not announced, and a version whose place is unknown to operators.
func TestLeaveAndVersion(t *testing.T) {
	is := is.New(t)
	h := settledHub(t, 9, 3)
	for _, name := range h.names {
		h.duties[name].SetVersion(7)
		h.duties[name].SetVersion(6) // an earlier one is ignored
	}
	is.NoErr(h.duties[h.names[0]].AnnounceEngineLeaving("e1", 4))
	is.NoErr(h.duties[h.names[1]].AnnounceLeaving())
	h.run(3 * time.Second)
	for _, name := range h.names {
		is.Equal(delivered[scheduler.EngineState](h, name), []scheduler.EngineState{{Engine: "e1", Incarnation: 4, Leaving: true, Reachable: true}})
		covered := h.duties[name].InForce(7)
		is.Equal(covered["dc0"], membership.Coverage{Live: 3, InForce: 3})
		is.Equal(covered["dc1"], membership.Coverage{Live: 2, InForce: 2}) // the leaving one does not count
	}
	is.Equal(h.duties[h.names[0]].InForce(8)["dc0"], membership.Coverage{Live: 3})
	is.Equal(h.duties[h.names[1]].State().Left, true)
}

// Guards against an engine polled by nobody or by everybody, and a poller that does not hand over.
func TestPolls(t *testing.T) {
	h := settledHub(t, 9, 3)
	count := func(engine string) (pollers []string) {
		for _, name := range h.names {
			if !h.down[name] && h.duties[name].IsPoller(engine, "dc1") {
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
	h.down[before[0]] = true
	h.run(membership.FailAfter + 2*time.Second)
	after := count("e1")
	if len(after) != 2 || after[0] == before[0] || after[1] == before[0] {
		t.Fatalf("polled by %v, then by %v", before, after)
	}
}

// Guards against a full ring that blocks a handler or a publisher.
func TestFullRingRefuses(t *testing.T) {
	is := is.New(t)
	h := newHub(t, 2, 1)
	e := h.duties[h.names[0]]
	for range DefaultRingCapacity {
		is.NoErr(e.PublishSummary(nil))
	}
	var full *ring.FullError
	is.True(errors.As(e.PublishSummary(nil), &full))
	_, err := h.handlers[h.names[0]][KindSummary](t.Context(), link.Sender{Name: h.names[1]}, []byte{0x82, 0xf4, 0x80})
	is.True(errors.As(err, &full))
	is.Equal(e.metrics.full.Get(), uint64(2))
}

// Guards against sizes that underestimate the encoding: the byte budget would be exceeded.
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
		for range rapid.IntRange(0, 20).Draw(t, "news") {
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

// Guards against a passed-on message that is taken twice and so circulates.
func TestWindowTakesEachNumberOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w receiveWindow
		taken := map[uint64]bool{}
		for _, number := range rapid.SliceOf(rapid.Uint64Range(1, 300)).Draw(t, "numbers") {
			if w.add(number) {
				if taken[number] {
					t.Fatalf("%d was taken twice", number)
				}
				taken[number] = true
			}
		}
	})
}
