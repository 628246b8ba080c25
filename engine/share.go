package engine

import "math"

// share is the part of an engine's limit that this instance may use.
type share struct {
	allowed int
	reserve int     // requests beyond allowed whose prefix is cached
	peers   float64 // demand of the other instances, in requests
	known   bool    // other instances have been heard of
}

// cachedReserve is the part of the limit that may be exceeded by requests whose prefix is cached.
// Sending them elsewhere would cost more engine time than they add here.
const cachedReserve = 0.25

// refreshReserve recomputes the reserve. It belongs to all instances together, since a part of it
// for each of many would hold no request; the hard limit holds for all requests.
func (s *share) refreshReserve(whole, hard, peerInFlight float64) {
	most := whole * cachedReserve
	spare := min(whole+most, hard) - peerInFlight - float64(s.allowed)
	s.reserve = int(max(min(math.Ceil(most), spare), 0))
}

// refresh divides the limit in proportion to demand. While total demand is below the limit the
// result is at least the own demand, so that no capacity is left idle.
func (s *share) refresh(whole, demand, dither, peerInFlight float64) {
	if !s.known || s.peers <= 0 {
		s.allowed = max(int(math.Round(whole)), 1)
		return
	}
	mine := max(demand, 1)
	part := whole * mine / (mine + s.peers)
	s.allowed = int(min(part+dither, whole))
	// Without this an instance with a share below one could have no place on any engine.
	if s.allowed == 0 && peerInFlight < whole {
		s.allowed = 1
	}
}
