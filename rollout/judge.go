package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Sample is what became known about one request to an engine.
type Sample struct {
	Engine string
	Route  string
	// Ended is false for the report of a first event, which is followed by one of the end.
	Ended  bool
	Failed bool // a server error, a broken response or a lost connection
	// First is the time to the first event, to the end of a plain request, or for which the caller waited in vain; Rest
	// is the time per token after the first event. 0 means that it is not known.
	First, Rest time.Duration
}

// Verdict is what the samples say about the new version.
type Verdict uint8

// Verdicts.
const (
	VerdictUndecided Verdict = iota
	VerdictGood
	VerdictBad
)

const (
	// maxSamples bounds the samples that are kept of each version.
	maxSamples = 3000
	// recentWindow is the time over which a version that turned bad later is found.
	recentWindow = 3 * time.Second
	// minRequests and minFailures are needed for each test.
	minRequests = 10
	minFailures = 5
	// minGoodRequests is the number of ended requests with which a version may be found good, and minRouteShare is the
	// share of a route from which minRouteRequests of it are among them.
	minGoodRequests  = 40
	minRouteRequests = 8
	minRouteShare    = 0.05
	// failureMargin is by how much a share of failures or slow responses has to be higher, with confidence.
	failureMargin = 0.03
	// unknownFailures is the share of failures that counts as usual while the old version has too few requests. Up to a
	// seventh of the users' look-ups fail on sound engines.
	unknownFailures = 0.3
	// slowFactor is by how much a mean time has to be longer, and slowPartFactor by how much the times of a part.
	slowFactor     = 1.8
	slowPartFactor = 1.5
	// droppedByFailures and droppedByTime are the fractions of engines, the worst ones, without which a difference has to
	// show as well: single engines may fail or be slow at a sound version.
	droppedByFailures = 0.25
	droppedByTime     = 0.5
	// certain and suspected are the confidences of the tests, in standard deviations. Tests repeat several times a
	// second, for each route.
	certain   = 3.0
	suspected = 2.0
)

// slowQuantiles are the parts of the old version's times beyond which a slow part of the new version is looked for.
var slowQuantiles = [...]float64{0.5, 0.75, 0.9, 0.95}

type timedSample struct {
	Sample
	at time.Duration
}

// Judge compares the new version of a service with the old one.
type Judge struct {
	versions [2][]timedSample // old and new, oldest first
	ended    int              // ended requests to the new version
}

const (
	oldVersion = iota
	newVersion
)

// Observe adds a sample. isNew states whether it is one of the new version.
func (j *Judge) Observe(now time.Duration, isNew bool, s Sample) {
	version := oldVersion
	if isNew {
		version = newVersion
		if s.Ended {
			j.ended++
		}
	}
	list := append(j.versions[version], timedSample{s, now})
	if len(list) >= 2*maxSamples { // move rarely
		list = append(list[:0], list[len(list)-maxSamples:]...)
	}
	j.versions[version] = list
}

// Verdict returns the verdict with its reason, which is empty if it is undecided for want of samples.
func (j *Judge) Verdict(now time.Duration) (Verdict, string) {
	old, tested := latest(j.versions[oldVersion]), latest(j.versions[newVersion])
	recentOld, recentTested := since(old, now-recentWindow), since(tested, now-recentWindow)
	if why := firstDifference(old, tested, certain); why != "" {
		return VerdictBad, why
	}
	if why := firstDifference(recentOld, recentTested, certain); why != "" {
		return VerdictBad, why + " lately"
	}
	if why := j.missing(old, tested); why != "" {
		return VerdictUndecided, why
	}
	if why := firstDifference(old, tested, suspected); why != "" {
		return VerdictUndecided, "maybe " + why
	}
	return VerdictGood, "no difference"
}

// missing returns what is too few for a good verdict, or an empty string.
func (j *Judge) missing(old, tested []timedSample) string {
	if j.ended < minGoodRequests {
		return fmt.Sprintf("%d requests", j.ended)
	}
	total := 0
	share, reached := map[string]int{}, map[string]int{}
	for i := range old {
		if old[i].Ended {
			total++
			share[old[i].Route]++
		}
	}
	for i := range tested {
		if tested[i].Ended {
			reached[tested[i].Route]++
		}
	}
	for _, route := range sortedRoutes(old) {
		if float64(share[route]) >= minRouteShare*float64(total) && reached[route] < minRouteRequests {
			return fmt.Sprintf("%d requests on route %s", reached[route], route)
		}
	}
	return ""
}

func latest(list []timedSample) []timedSample { return list[max(len(list)-maxSamples, 0):] }

func since(list []timedSample, start time.Duration) []timedSample {
	i, _ := slices.BinarySearchFunc(list, start, func(s timedSample, t time.Duration) int { return int(s.at - t) })
	return list[i:]
}

func sortedRoutes(list []timedSample) []string {
	var routes []string
	for i := range list {
		if !slices.Contains(routes, list[i].Route) {
			routes = append(routes, list[i].Route)
		}
	}
	slices.Sort(routes)
	return routes
}

// firstDifference returns in what the new version is worse with the given confidence, or an empty string.
func firstDifference(old, tested []timedSample, z float64) string {
	if failsMore(old, tested, old, z) {
		return "failures"
	}
	for _, route := range sortedRoutes(tested) {
		ofRoute := func(s *timedSample) bool { return s.Route == route }
		oldHere, testedHere := filter(old, ofRoute), filter(tested, ofRoute)
		switch {
		case failsMore(oldHere, testedHere, old, z):
			return "failures on route " + route
		case isSlower(oldHere, testedHere, z, func(s *timedSample) time.Duration { return s.First }):
			return "time to the first event on route " + route
		case isSlower(oldHere, testedHere, z, func(s *timedSample) time.Duration { return s.Rest }):
			return "time per token on route " + route
		}
	}
	return ""
}

func filter(list []timedSample, keep func(*timedSample) bool) []timedSample {
	var kept []timedSample
	for i := range list {
		if keep(&list[i]) {
			kept = append(kept, list[i])
		}
	}
	return kept
}

// failsMore compares shares of failures. With too few requests of the old version, those to all routes count.
func failsMore(old, tested, allOld []timedSample, z float64) bool {
	values := outcomes(tested)
	k, n := countAbove(all(values), 0)
	if n < minRequests || k < minFailures {
		return false
	}
	usual := outcomes(old)
	if _, requests := countAbove(all(usual), 0); requests < minRequests {
		usual = outcomes(allOld)
	}
	usualFailures, requests := countAbove(all(usual), 0)
	_, limit := wilson(usualFailures, requests, z)
	if requests < minRequests {
		limit = unknownFailures
	}
	if lower, _ := wilson(k, n, z); lower <= limit+failureMargin {
		return false
	}
	elsewhere, n := countAbove(withoutWorst(values, droppedByFailures), 0)
	return shareOf(elsewhere, n) > limit+failureMargin
}

// outcomes returns 1 for each failed request and 0 for the other ended ones, by engine.
func outcomes(list []timedSample) map[string][]float64 {
	byEngine := map[string][]float64{}
	for i := range list {
		if !list[i].Ended {
			continue
		}
		value := 0.0
		if list[i].Failed {
			value = 1
		}
		byEngine[list[i].Engine] = append(byEngine[list[i].Engine], value)
	}
	return byEngine
}

// countAbove returns how many values are above a limit, and the number of all.
func countAbove(values []float64, limit float64) (above, count int) {
	for _, v := range values {
		if v > limit {
			above++
		}
	}
	return above, len(values)
}

func shareOf(part, of int) float64 { return float64(part) / float64(max(of, 1)) }

// isSlower compares times, on average and those of a slow part.
func isSlower(old, tested []timedSample, z float64, timeOf func(*timedSample) time.Duration) bool {
	usualByEngine, byEngine := logarithms(old, timeOf), logarithms(tested, timeOf)
	usual, times := all(usualByEngine), all(byEngine)
	if len(usual) < minRequests || len(times) < minRequests {
		return false
	}
	usualElsewhere, elsewhere := withoutWorst(usualByEngine, droppedByTime), withoutWorst(byEngine, droppedByTime)
	slices.Sort(usual)
	slices.Sort(usualElsewhere)
	if excessOfMean(usual, times, z) > 0 && excessOfMean(usualElsewhere, elsewhere, 0) > 0 {
		return true
	}
	for _, quantile := range slowQuantiles {
		if excessOfSlow(usual, times, quantile, z) > 0 && excessOfSlow(usualElsewhere, elsewhere, quantile, 0) > 0 {
			return true
		}
	}
	return false
}

// excessOfMean returns by how much the mean of times exceeds what is allowed, z standard errors off.
func excessOfMean(usual, times []float64, z float64) float64 {
	usualMean, usualError := meanAndError(usual)
	mean, squaredError := meanAndError(times)
	return mean - usualMean - math.Log(slowFactor) - z*math.Sqrt(usualError+squaredError)
}

// excessOfSlow returns by how much the share of the times that are far beyond a quantile of the usual ones exceeds what
// is allowed, with the bounds of confidence z. The usual ones are sorted.
func excessOfSlow(usual, times []float64, quantile, z float64) float64 {
	index := int(quantile * float64(len(usual)-1))
	slow, _ := countAbove(times, usual[index]+math.Log(slowPartFactor))
	if z > 0 && slow < minFailures {
		return -1
	}
	lower, _ := wilson(slow, len(times), z)
	_, upper := wilson(len(usual)-1-index, len(usual), z)
	return lower - upper - failureMargin
}

// logarithms returns the logarithms of the known times, by engine.
func logarithms(list []timedSample, timeOf func(*timedSample) time.Duration) map[string][]float64 {
	byEngine := map[string][]float64{}
	for i := range list {
		if t := timeOf(&list[i]); t > 0 {
			byEngine[list[i].Engine] = append(byEngine[list[i].Engine], math.Log(t.Seconds()))
		}
	}
	return byEngine
}
