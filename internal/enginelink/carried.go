package enginelink

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCarried is the number of requests whose IDs are recorded for a connection.
const maxCarried = 1024

// carried records the IDs of the requests that a connection has carried. An ID identifies a response only if the
// connection has carried one request with it.
//
// Invariants: hashes has at most maxCarried entries; an ID that was added is found until then.
type carried struct{ hashes []uint64 }

func (c *carried) add(id string) {
	if len(c.hashes) < maxCarried {
		c.hashes = append(c.hashes, xxhash.Sum64String(id))
	}
}

// has reports whether an ID was added. Another ID with the same hash counts as well.
func (c *carried) has(id string) bool { return slices.Contains(c.hashes, xxhash.Sum64String(id)) }

// isFull reports whether no further ID can be recorded.
func (c *carried) isFull() bool { return len(c.hashes) >= maxCarried }
