package placement

import (
	"testing"

	"github.com/matryer/is"
)

// TestBoostOfLargeRequests guards against a boost that remains after large requests are served like the
// others, and against one that grows without bound while they cannot be served.
func TestBoostOfLargeRequests(t *testing.T) {
	is := is.New(t)
	var s serviceRates
	serveArrivals := func(serveLarge bool) {
		for range 2000 {
			s.arrive(-1)
			s.serve(-1)
			s.arrive(0)
			if serveLarge {
				s.serve(0)
			}
		}
	}
	serveArrivals(false)
	is.Equal(s.boostOf(0), float64(maxBoost))
	is.Equal(s.boostOf(1), 1.0) // another class
	is.Equal(s.boostOf(-1), 1.0)
	serveArrivals(true)
	is.Equal(s.boostOf(0), 1.0)
}

// TestSizeClasses guards against sizes that fall between the classes.
func TestSizeClasses(t *testing.T) {
	is := is.New(t)
	is.Equal(sizeClass(0.5), -1)
	is.Equal(sizeClass(1), 1)
	is.Equal(sizeClass(1.99), 1)
	is.Equal(sizeClass(40), 0)
}
