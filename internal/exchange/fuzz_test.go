package exchange

import (
	"context"
	"testing"

	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/membership"
	"github.com/primrosebeam/primrosebeam/scheduler"
)

// Guards against bytes from an authenticated but faulty peer that make the worker fail.
func FuzzReceive(f *testing.F) {
	kinds := []link.Kind{KindHeartbeat, KindSummary, KindFloor, KindLeaving, KindReports, KindCache}
	o := origin{Instance: "b", Incarnation: 1, Number: 3}
	for n, body := range []any{
		membership.Heartbeat{Purpose: membership.PurposeChosen, Number: 1, Records: []membership.Record{{Name: "c", DataCentre: "olten", Incarnation: 2, State: membership.StateAlive}}},
		summary{Full: true, Engines: []engineLoad{{Engine: "e", InFlight: 1}}},
		floor{Origin: o, Tier: 1, Remaining: 1000},
		leaving{Engines: []membership.EngineNotice{{Engine: "e", Incarnation: 1}}},
		reports{Reports: []report{{Origin: o, Engine: "e", Running: 1}}},
		cache{Origin: o, Engine: "e", First: 1, Changes: []cacheChange{{Stored: []uint64{1}}}},
	} {
		data, err := link.Encode(body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(n, data)
	}
	f.Fuzz(func(t *testing.T, n int, data []byte) {
		nw := newNetwork(t, 2, 1)
		name := nw.names[0]
		e := nw.exchanges[name]
		e.options.Deliver = func(scheduler.Event) {}
		from := link.Sender{Name: nw.names[1], DataCentre: "dc0", Incarnation: 1 << 60}
		for range 2 { // Receiving the same message twice must be harmless too.
			_, _ = nw.handlers[name][kinds[uint(n)%uint(len(kinds))]](context.Background(), from, data)
			e.drain()
			nw.now = nw.now.Add(membership.HeartbeatInterval)
			e.tick()
		}
		for _, i := range e.Instances() {
			if i.Name == name && i.State != membership.StateAlive {
				t.Fatalf("the instance considers itself %s", i.State)
			}
		}
	})
}
