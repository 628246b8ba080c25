package fairshare

import (
	"cmp"
	"math"
	"slices"
)

// Demand is what a flow asks for of a resource.
type Demand struct {
	Weight float64 // positive
	Amount float64 // in units of the resource
}

// Level returns the max-min fair level of a resource: the amount per unit of weight up to which every flow gets what it
// asks for, so that the flows which ask for more divide the rest by weight. It is infinite if the capacity covers all
// demands. Level reorders the demands.
func Level(capacity float64, demands []Demand) float64 {
	slices.SortFunc(demands, func(a, b Demand) int { return cmp.Compare(a.Amount/a.Weight, b.Amount/b.Weight) })
	weight := 0.0
	for _, d := range demands {
		weight += d.Weight
	}
	for _, d := range demands {
		if level := max(capacity, 0) / weight; d.Amount/d.Weight > level {
			return level
		}
		capacity -= d.Amount
		weight -= d.Weight
	}
	return math.Inf(1)
}
