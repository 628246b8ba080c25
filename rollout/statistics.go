package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// wilson returns the bounds of the Wilson score interval for k of n trials, z standard deviations wide on each side.
func wilson(k, n int, z float64) (lower, upper float64) {
	if n == 0 {
		return 0, 1
	}
	count := float64(n)
	p, zz := float64(k)/count, z*z/count
	center := p + zz/2
	spread := z * math.Sqrt(p*(1-p)/count+zz/(4*count))
	return (center - spread) / (1 + zz), (center + spread) / (1 + zz)
}

// meanAndError returns the mean of values and its squared standard error.
func meanAndError(values []float64) (mean, squaredError float64) {
	for _, v := range values {
		mean += v
	}
	count := float64(len(values))
	mean /= count
	for _, v := range values {
		squaredError += (v - mean) * (v - mean)
	}
	return mean, squaredError / (max(count-1, 1) * count)
}

// all returns the values of all engines.
func all(byEngine map[string][]float64) []float64 {
	var values []float64
	for _, id := range slices.Sorted(maps.Keys(byEngine)) {
		values = append(values, byEngine[id]...)
	}
	return values
}

// withoutWorst returns the values of all engines but the worst ones by the mean of their values: a fraction of them, at
// least one of two or more.
func withoutWorst(byEngine map[string][]float64, fraction float64) []float64 {
	type engine struct {
		id   string
		mean float64
	}
	engines := make([]engine, 0, len(byEngine))
	for id, values := range byEngine {
		mean, _ := meanAndError(values)
		engines = append(engines, engine{id, mean})
	}
	slices.SortFunc(engines, func(a, b engine) int {
		return cmp.Or(cmp.Compare(a.mean, b.mean), cmp.Compare(a.id, b.id))
	})
	if len(engines) > 1 {
		dropped := max(int(fraction*float64(len(engines))), 1)
		engines = engines[:len(engines)-dropped]
	}
	var kept []float64
	for _, e := range engines {
		kept = append(kept, byEngine[e.id]...)
	}
	return kept
}
