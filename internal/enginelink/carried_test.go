package enginelink

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against records of requests that grow with the use of a connection.
func TestCarriedIsBounded(t *testing.T) {
	is := is.New(t)
	var c carried
	is.True(!c.has(""))
	for i := range 2 * maxCarried {
		c.add(fmt.Sprint(i))
		is.True(c.isFull() == (i+1 >= maxCarried))
	}
	is.Equal(len(c.hashes), maxCarried)
	is.True(c.has("0"))
	is.True(c.has(fmt.Sprint(maxCarried - 1)))
	is.True(!c.has(""))
}
