package engine

import "math"

// share is the portion of an engine's limit that this instance may use.
type share struct {
	allowed    int     // requests that this instance may have in flight
	reserve    int     // additional requests that are allowed if the engine has their prefix cached
	peerDemand float64 // demand of the other instances, in requests
	peersKnown bool    // at least one other instance has published a summary
}

// reserveFraction is the reserve for requests whose prefix is cached, relative to the limit. On
// another engine these requests would cost more engine time than they add here. With a quarter or a
// half, many instances that start with cold caches stay in a backlog that keeps the caches cold.
const reserveFraction = 1

// refreshReserve recomputes the reserve. All instances share one reserve, since a fraction of it for
// each of many instances would be less than one request. The hard limit applies to all requests.
func (s *share) refreshReserve(limit, hard, peerInFlight float64) {
	target := limit * reserveFraction
	spare := min(limit+target, hard) - peerInFlight - float64(s.allowed)
	s.reserve = int(max(min(math.Ceil(target), spare), 0))
}

// refresh divides the limit between the instances in proportion to demand. While the total demand is
// below the limit, the share is at least this instance's demand, so that no capacity stays idle.
func (s *share) refresh(limit, demand, dither, peerInFlight float64) {
	if !s.peersKnown || s.peerDemand <= 0 {
		s.allowed = max(int(math.Round(limit)), 1)
		return
	}
	ownDemand := max(demand, 1)
	portion := limit * ownDemand / (ownDemand + s.peerDemand)
	s.allowed = int(min(portion+dither, limit))
	// Without this minimum an instance with a share below one could have no slot on any engine.
	if s.allowed == 0 && peerInFlight < limit {
		s.allowed = 1
	}
}
