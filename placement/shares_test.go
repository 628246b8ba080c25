package placement

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a raise that stays after the large requests are served like the others, and one that
// grows without bound while they can't be served.
func TestRaiseOfLargeRequests(t *testing.T) {
	is := is.New(t)
	var s shares
	play := func(serveLarge bool) {
		for range 2000 {
			s.arrive(-1)
			s.serve(-1)
			s.arrive(0)
			if serveLarge {
				s.serve(0)
			}
		}
	}
	play(false)
	is.Equal(s.raise(0), float64(mostRaise))
	is.Equal(s.raise(1), 1.0) // another class
	is.Equal(s.raise(-1), 1.0)
	play(true)
	is.Equal(s.raise(0), 1.0)
}

// Guards against sizes that fall between the classes.
func TestSizeClasses(t *testing.T) {
	is := is.New(t)
	is.Equal(class(0.5), -1)
	is.Equal(class(1), 1)
	is.Equal(class(1.99), 1)
	is.Equal(class(40), 0)
}
