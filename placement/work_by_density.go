package placement

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// workItem is the slot time of a request and its value density.
type workItem struct {
	density float64
	work    time.Duration
}

// workByDensity indexes work items by value density, so that the total work of at least a given density is
// found in logarithmic time.
type workByDensity struct {
	densities      []float64       // in descending order
	cumulativeWork []time.Duration // of the entries up to the same index
}

func newWorkByDensity(items []workItem) workByDensity {
	sorted := slices.SortedFunc(slices.Values(items), func(a, b workItem) int { return cmp.Compare(b.density, a.density) })
	r := workByDensity{make([]float64, len(sorted)), make([]time.Duration, len(sorted))}
	var sum time.Duration
	for i, w := range sorted {
		sum += w.work
		r.densities[i], r.cumulativeWork[i] = w.density, sum
	}
	return r
}

// atLeast returns the total work of the items with at least the given density.
func (r *workByDensity) atLeast(density float64) time.Duration {
	n := sort.Search(len(r.densities), func(i int) bool { return r.densities[i] < density })
	if n == 0 {
		return 0
	}
	return r.cumulativeWork[n-1]
}
