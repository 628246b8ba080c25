package standin

import (
	"net/http"
	"strconv"
	"sync"
)

const (
	maxCacheBlocks  = 4096 // maximum number of blocks in the cache
	maxCacheChanges = 1024 // maximum number of past changes that can be reported
)

// cache is the prefix cache of a stand-in. When it is full, the blocks that were inserted first are evicted.
type cache struct {
	mu            sync.Mutex
	evictionOrder []uint64 // blocks in order of insertion, oldest first
	known         map[uint64]bool
	firstSequence uint64 // sequence number of changes[0]
	changes       []cacheChange
}

type cacheChange struct {
	Stored  []uint64 `json:"stored,omitempty"`
	Removed []uint64 `json:"removed,omitempty"`
}

func newCache() *cache { return &cache{known: map[uint64]bool{}, firstSequence: 1} }

// insert adds the blocks of a prompt and returns how many of its leading blocks were already cached.
func (c *cache) insert(blocks []uint64) (cached int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for cached < len(blocks) && c.known[blocks[cached]] {
		cached++
	}
	var change cacheChange
	for _, block := range blocks[cached:] {
		if !c.known[block] {
			c.known[block] = true
			c.evictionOrder = append(c.evictionOrder, block)
			change.Stored = append(change.Stored, block)
		}
	}
	for len(c.evictionOrder) > maxCacheBlocks {
		delete(c.known, c.evictionOrder[0])
		change.Removed = append(change.Removed, c.evictionOrder[0])
		c.evictionOrder = c.evictionOrder[1:]
	}
	if len(change.Stored) > 0 {
		c.changes = append(c.changes, change)
	}
	if excess := len(c.changes) - maxCacheChanges; excess > 0 {
		c.changes = c.changes[excess:]
		c.firstSequence += uint64(excess)
	}
	return cached
}

// serve responds with the changes from the sequence number in the query onwards. If some of them were
// discarded, the first number of the response is higher than the requested one, which shows the gap.
func (c *cache) serve(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	requested, _ := strconv.ParseUint(r.URL.Query().Get("first"), 10, 64)
	first := max(requested, c.firstSequence)
	changes := []cacheChange{}
	if skip := first - c.firstSequence; skip < uint64(len(c.changes)) {
		changes = c.changes[skip:]
	}
	writeJSON(w, http.StatusOK, map[string]any{"first": first, "changes": changes})
}
