package placement

// The order prefers short work, so that beyond saturation the large requests of a kind could be refused
// one and all. shares measures how often they are served and raises their worth until they are served
// often enough in relation to their whole kind.

const (
	// leastShare is how often large requests are served at least, in relation to all of their kind. The
	// users ask for half.
	leastShare = 0.85
	// shareStep is the part by which the worth of large requests changes with an arrival.
	shareStep = 0.005
	// mostRaise bounds the factor of their worth.
	mostRaise = 4
	// shareDecay is the weight of a new request in the measured shares.
	shareDecay = 0.005
)

// sizeClasses are the sizes from which requests count as large, in relation to the mean of their kind:
// about the largest tenth, and the fifth below it, for sizes as the users describe theirs.
var sizeClasses = [...]float64{2, 1}

// shares holds the parts of the requests of a kind that are served.
type shares struct {
	all   share
	large [len(sizeClasses)]largeShare
}

type largeShare struct {
	share
	raise float64 // factor of the worth, 1 or more
}

// share is the decaying part of the arriving requests that get a place.
type share struct{ arrived, served float64 }

func (s *share) arrive() {
	s.arrived += (1 - s.arrived*shareDecay)
	s.served -= s.served * shareDecay
}

func (s *share) part() float64 {
	if s.arrived == 0 {
		return 1
	}
	return s.served / s.arrived
}

// class returns the class of a size in relation to the mean, or -1.
func class(size float64) int {
	for i, least := range sizeClasses {
		if size >= least {
			return i
		}
	}
	return -1
}

// arrive counts a new request and adjusts the worth of its class.
func (s *shares) arrive(class int) {
	s.all.arrive()
	if class < 0 {
		return
	}
	l := &s.large[class]
	l.arrive()
	if l.part() < leastShare*s.all.part() {
		l.raise = min(max(l.raise, 1)*(1+shareStep), mostRaise)
	} else {
		l.raise = max(l.raise/(1+shareStep), 1)
	}
}

// serve counts a request that got a place.
func (s *shares) serve(class int) {
	s.all.served++
	if class >= 0 {
		s.large[class].served++
	}
}

// raise returns the factor of the worth of a class.
func (s *shares) raise(class int) float64 {
	if class < 0 {
		return 1
	}
	return max(s.large[class].raise, 1)
}
