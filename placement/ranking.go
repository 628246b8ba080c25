package placement

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// weighedWork is the work of a request with its density.
type weighedWork struct {
	density float64
	work    time.Duration
}

// ranking answers how much work has a density or a higher one.
type ranking struct {
	densities []float64 // highest first
	sums      []time.Duration
}

func newRanking(works []weighedWork) ranking {
	sorted := slices.SortedFunc(slices.Values(works), func(a, b weighedWork) int { return cmp.Compare(b.density, a.density) })
	r := ranking{make([]float64, len(sorted)), make([]time.Duration, len(sorted))}
	var sum time.Duration
	for i, w := range sorted {
		sum += w.work
		r.densities[i], r.sums[i] = w.density, sum
	}
	return r
}

func (r *ranking) before(density float64) time.Duration {
	n := sort.Search(len(r.densities), func(i int) bool { return r.densities[i] < density })
	if n == 0 {
		return 0
	}
	return r.sums[n-1]
}
