package engine

import "github.com/primrosebeam/primrosebeam/concurrency"

const (
	initialLimit      = 8  // limit of a model engine in requests until its speed is measured
	initialPlainLimit = 16 // limit of a plain engine in requests until its speed is measured
	minimumLimit      = 1
	minimumPlainLimit = 4
	maximumLimit      = 512 // requests; bounds the growth of the limit without objectives
)

func newLimit(o Options) concurrency.Limit {
	limit := concurrency.Options{
		Initial: initialLimit, Minimum: minimumLimit, Hard: hardLimit(o), Objective: latencyObjective(o),
	}
	if o.Plain {
		limit.Initial, limit.Minimum = initialPlainLimit, minimumPlainLimit
	}
	return concurrency.NewLimit(limit)
}

// hardLimit returns the upper bound of the limit in requests.
func hardLimit(o Options) float64 {
	if o.MaxInFlight > 0 {
		return float64(o.MaxInFlight)
	}
	return maximumLimit
}

// latencyObjective returns the accepted seconds between tokens, or per response of a plain engine; 0 means no objective.
func latencyObjective(o Options) float64 {
	if o.Plain {
		return o.FirstToken.Seconds()
	}
	return o.BetweenTokens.Seconds()
}
