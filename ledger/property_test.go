package ledger

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"unique"

	"pgregory.net/rapid"
)

const actionsPerRun = 300

// TestMain fixes the seed of rapid, so that every run gives the same verdict; -rapid.seed chooses another one.
func TestMain(m *testing.M) {
	const seed = "20261204"
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// numbers are drawn from because rapid's integer generators prefer small values, which would starve most actions.
var numbers = func() []int {
	all := make([]int, 256)
	for i := range all {
		all[i] = i
	}
	return all
}()

func uniqueName(name string) unique.Handle[string] { return unique.Make(name) }

// Guards against any order of crashes, lost disks, clock steps and delayed or repeated messages in which a key is
// dispatched twice, or not-run is told for a key that is dispatched before or after.
func TestKeyBeginsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(intact)
		w.mint("w")
		choose := func(n int) int { return rapid.SampledFrom(numbers[:n]).Draw(t, "choice") }
		m := newMix(choose)
		for range actionsPerRun {
			w.act(m, choose)
			if w.fault != nil {
				t.Fatal(w.fault)
			}
		}
	})
}

// Guards against a property test that cannot notice a missing guard: with each guard removed, some run must fail,
// and the same runs must pass with every guard in place.
func TestPropertyNoticesMissingGuards(t *testing.T) {
	const seeds = 1500
	for _, v := range append([]variant{intact}, dispatchVariants...) {
		found := 0
		for seed := uint64(1); seed <= seeds && (found == 0 || v == intact); seed++ {
			random := rand.New(rand.NewPCG(seed, 0))
			w := newWorld(v)
			w.mint("w")
			m := newMix(random.IntN)
			for i := 0; i < actionsPerRun && w.fault == nil; i++ {
				w.act(m, random.IntN)
			}
			if w.fault != nil {
				found++
				t.Logf("%q: seed %d: %v", v, seed, w.fault)
			}
		}
		if (found > 0) != (v != intact) {
			t.Errorf("variant %q: %d of %d runs failed", v, found, seeds)
		}
	}
}
