package standin

import (
	"net/http"
	"strconv"
	"sync"
)

const (
	cacheBlocks  = 4096 // blocks that a stand-in keeps
	cacheHistory = 1024 // changes that it can still report
)

// cache is a stand-in's prefix cache: the least recently used blocks make room for new ones.
type cache struct {
	mu      sync.Mutex
	order   []uint64 // least recently used first
	known   map[uint64]bool
	first   uint64 // sequence number of changes[0]
	changes []cacheChange
}

type cacheChange struct {
	Stored  []uint64 `json:"stored,omitempty"`
	Removed []uint64 `json:"removed,omitempty"`
}

func newCache() *cache { return &cache{known: map[uint64]bool{}, first: 1} }

// use enters the blocks of a prompt and returns how many of its first blocks were cached.
func (c *cache) use(blocks []uint64) (cached int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for cached < len(blocks) && c.known[blocks[cached]] {
		cached++
	}
	var change cacheChange
	for _, block := range blocks[cached:] {
		if !c.known[block] {
			c.known[block] = true
			c.order = append(c.order, block)
			change.Stored = append(change.Stored, block)
		}
	}
	for len(c.order) > cacheBlocks {
		delete(c.known, c.order[0])
		change.Removed = append(change.Removed, c.order[0])
		c.order = c.order[1:]
	}
	if len(change.Stored) > 0 {
		c.changes = append(c.changes, change)
	}
	if excess := len(c.changes) - cacheHistory; excess > 0 {
		c.changes = c.changes[excess:]
		c.first += uint64(excess)
	}
	return cached
}

// serve answers with the changes from the sequence number in the query on; earlier ones that are
// no longer kept are a gap, which the first number of the answer shows.
func (c *cache) serve(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	asked, _ := strconv.ParseUint(r.URL.Query().Get("first"), 10, 64)
	first := max(asked, c.first)
	changes := []cacheChange{}
	if skip := first - c.first; skip < uint64(len(c.changes)) {
		changes = c.changes[skip:]
	}
	writeJSON(w, http.StatusOK, map[string]any{"first": first, "changes": changes})
}
