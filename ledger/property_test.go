package ledger

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"unique"

	"pgregory.net/rapid"
)

// actionsPerRun is the number of actions in one simulation run.
const actionsPerRun = 300

// TestMain sets a fixed seed for rapid, so that all runs give the same result. The flag -rapid.seed overrides
// it.
func TestMain(m *testing.M) {
	const seed = "20261204"
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// choices contains the integers from 0 to 255. Tests draw from it because the integer generators of rapid
// prefer small values, with which most actions would hardly ever run.
var choices = func() []int {
	all := make([]int, 256)
	for i := range all {
		all[i] = i
	}
	return all
}()

func uniqueName(name string) unique.Handle[string] { return unique.Make(name) }

// TestKeyBeginsAtMostOnce guards against any order of crashes, lost disks, clock steps and delayed or
// repeated messages in which a key is dispatched twice, or not-run is reported for a key that is dispatched
// before or after the report.
func TestKeyBeginsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(noMutation)
		sim.mint("w")
		choose := func(n int) int { return rapid.SampledFrom(choices[:n]).Draw(t, "choice") }
		weights := newActionWeights(choose)
		for range actionsPerRun {
			sim.runAction(weights, choose)
			if sim.violation != nil {
				t.Fatal(sim.violation)
			}
		}
	})
}

// TestPropertyDetectsMutations guards against a property test that cannot detect a fault: with each mutation
// some run must fail, and without a mutation the same runs must pass.
func TestPropertyDetectsMutations(t *testing.T) {
	const seeds = 1500
	for _, m := range append([]mutation{noMutation}, dispatchMutations...) {
		found := 0
		for seed := uint64(1); seed <= seeds && (found == 0 || m == noMutation); seed++ {
			random := rand.New(rand.NewPCG(seed, 0))
			sim := newSimulation(m)
			sim.mint("w")
			weights := newActionWeights(random.IntN)
			for i := 0; i < actionsPerRun && sim.violation == nil; i++ {
				sim.runAction(weights, random.IntN)
			}
			if sim.violation != nil {
				found++
				t.Logf("%q: seed %d: %v", m, seed, sim.violation)
			}
		}
		if (found > 0) != (m != noMutation) {
			t.Errorf("mutation %q: %d of %d runs failed", m, found, seeds)
		}
	}
}
