package placement

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// TestLearnedIsTakenOver guards against a new allocator that learns the speed of each engine and the length of
// responses anew, and meanwhile gives urgent requests to slow engines. It plays one load in two halves; the second
// half gets another core, with and without what the first one learned, and checks what callers get.
func TestLearnedIsTakenOver(t *testing.T) {
	is := is.New(t)
	first := New()
	simulate(1, 1.2, first)
	data, err := cbor.Marshal(first.Learned())
	is.NoErr(err)
	var learned Learned
	is.NoErr(cbor.Unmarshal(data, &learned))
	is.Equal(len(learned.Engines), 12)
	is.Equal(len(learned.Routes), 3)
	const start = 3 * time.Second
	var with, without float64
	for seed := range uint64(4) {
		informed := New()
		informed.TakeOver(learned)
		v, _ := simulateStart(seed+2, 1.2, informed, start).valueWithPauses()
		with += v / 4
		v, _ = simulateStart(seed+2, 1.2, New(), start).valueWithPauses()
		without += v / 4
	}
	t.Logf("value of the requests of the first %v: %.3f with what was learned before, %.3f without", start, with, without)
	is.True(with > without)
}

// TestTakeOverKeepsBetterKnowledge guards against a stale or damaged state that replaces what a core has learned
// itself.
func TestTakeOverKeepsBetterKnowledge(t *testing.T) {
	is := is.New(t)
	c := New()
	c.SetEngines([]Engine{testEngine("known", 1), testEngine("new", 1)})
	c.engines["known"].slowness, c.engines["known"].slownessSamples = 2, 50
	c.service("s").routeStats("r").meanOutput, c.service("s").routeStats("r").outputSamples = 100, 50
	c.TakeOver(Learned{
		StepMS: math.NaN(), PrefillMS: -1,
		Engines: []LearnedEngine{
			{ID: "known", Slowness: 9, Samples: 49}, {ID: "new", Slowness: 3, Samples: 1}, {ID: "later", Slowness: 4, Samples: 7},
			{ID: "damaged", Slowness: math.Inf(1), Samples: 7},
		},
		Routes: []LearnedRoute{{Service: "s", Route: "r", MeanOutput: 7, MeanSize: 7, Samples: 49}},
	})
	is.Equal(c.engines["known"].slowness, 2.0)
	is.Equal(c.engines["new"].slowness, 3.0)
	is.Equal(c.service("s").routeStats("r").meanOutput, 100.0)
	is.Equal(c.latency, newLatencyModel())
	c.SetEngines([]Engine{testEngine("later", 1), testEngine("damaged", 1)})
	is.Equal(c.engines["later"].slowness, 4.0)
	is.Equal(c.engines["damaged"].slowness, 1.0)
}
