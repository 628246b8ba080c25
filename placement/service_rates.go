package placement

const (
	// minServiceRatio is the lowest rate at which large requests are to be served, relative to the rate of
	// all requests of their route. The users ask for half.
	minServiceRatio = 0.85
	// boostStep is the relative change of the boost with each arrival.
	boostStep = 0.005
	// maxBoost bounds the factor by which the value of large requests is raised.
	maxBoost = 4
	// serviceRateDecay is the weight of a new request in the measured service rates.
	serviceRateDecay = 0.005
)

// sizeClassBounds are the sizes, relative to the mean of the route, from which requests belong to a class
// of large ones. For sizes distributed as the users describe theirs, the classes are about the largest
// tenth and the fifth below it.
var sizeClassBounds = [...]float64{2, 1}

// serviceRates measures which fraction of the requests of a route is served, in total and per class of
// large requests.
//
// Scheduling by value density prefers short work, so beyond saturation all large requests of a route could
// be rejected. serviceRates raises the value of large requests until they are served often enough relative
// to the whole route.
type serviceRates struct {
	all   serviceRate
	large [len(sizeClassBounds)]largeServiceRate
}

// largeServiceRate is the service rate of a class of large requests and the boost derived from it.
type largeServiceRate struct {
	serviceRate
	boost float64 // factor applied to the value of the class; the zero value counts as 1
}

// serviceRate counts arriving requests and those that got a slot, both with exponential decay.
type serviceRate struct{ arrived, served float64 }

func (s *serviceRate) arrive() {
	s.arrived += (1 - s.arrived*serviceRateDecay)
	s.served -= s.served * serviceRateDecay
}

// value returns the fraction of the requests that is served, or 1 before the first arrival.
func (s *serviceRate) value() float64 {
	if s.arrived == 0 {
		return 1
	}
	return s.served / s.arrived
}

// sizeClass returns the class of a size relative to the mean, or -1 if it is not a large one.
func sizeClass(size float64) int {
	for i, lower := range sizeClassBounds {
		if size >= lower {
			return i
		}
	}
	return -1
}

// arrive counts a new request and adjusts the boost of its class.
func (s *serviceRates) arrive(class int) {
	s.all.arrive()
	if class < 0 {
		return
	}
	l := &s.large[class]
	l.arrive()
	if l.value() < minServiceRatio*s.all.value() {
		l.boost = min(max(l.boost, 1)*(1+boostStep), maxBoost)
	} else {
		l.boost = max(l.boost/(1+boostStep), 1)
	}
}

// serve counts a request that got a slot.
func (s *serviceRates) serve(class int) {
	s.all.served++
	if class >= 0 {
		s.large[class].served++
	}
}

// boostOf returns the factor by which the value of a class is raised.
func (s *serviceRates) boostOf(class int) float64 {
	if class < 0 {
		return 1
	}
	return max(s.large[class].boost, 1)
}
