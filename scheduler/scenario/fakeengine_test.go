package scenario

import (
	"time"

	"github.com/primrosebeam/primrosebeam/scheduler"
)

const (
	blockTokens       = 64
	chunkTokens       = 512 // maximum prefill tokens per step
	stepBase          = 20 * time.Millisecond
	stepPerStream     = 800 * time.Microsecond
	prefillPerSec     = 10000
	maximumBatch      = 64 // streams that fit into the memory of an engine
	cacheBlocks       = 3200
	progressEvery     = 8 // output tokens between two Progress events
	plainWorkers      = 4
	plainMeanDuration = 100 * time.Millisecond
	errorDelay        = 5 * time.Millisecond
)

// stream is a request on an engine.
type stream struct {
	r         *request
	matched   int // blocks found in the cache
	remaining int // prompt tokens that remain to be prefilled
	computed  int // prompt tokens that were prefilled
	generated int
	reported  int  // generated tokens that Progress events have reported
	started   bool // admitted to the batch
	ended     bool // finished or cancelled
}

// fakeEngine simulates an engine in virtual time: continuous batching with chunked prefill in order of
// arrival.
type fakeEngine struct {
	sim      *simulation
	name     string
	plain    bool
	speed    float64 // relative to the default durations
	slowdown float64 // factor on durations, set by faults
	failing  bool
	queue    []*stream
	running  []*stream
	cache    *blockCache
	busy     bool
	events   uint64 // sequence number of the next cache change
	changes  []scheduler.CacheChange
}

func (f *fakeEngine) submit(r *request) {
	if f.failing {
		f.sim.clock.after(errorDelay, func() { f.sim.finish(r, scheduler.ResultFailed, 0) })
		return
	}
	r.stream = &stream{r: r}
	f.queue = append(f.queue, r.stream)
	f.work()
}

func (f *fakeEngine) cancel(r *request) {
	if r.stream == nil || r.done {
		return
	}
	r.stream.ended = true
	f.sim.recordPrefill(r)
	f.sim.finish(r, scheduler.ResultCancelled, r.stream.matched*blockTokens)
}

func (f *fakeEngine) work() {
	if f.plain {
		f.workPlain()
		return
	}
	if f.busy {
		return
	}
	f.admit()
	if len(f.running) == 0 {
		return
	}
	f.busy = true
	duration, chunks := f.plan()
	f.sim.clock.after(duration, func() { f.step(chunks) })
}

// admit moves streams from the queue to the batch.
func (f *fakeEngine) admit() {
	f.running = compact(f.running)
	for len(f.queue) > 0 && len(f.running) < maximumBatch {
		st := f.queue[0]
		f.queue = f.queue[1:]
		if st.ended {
			continue
		}
		st.started = true
		st.matched = f.cache.match(st.r.Prefix)
		st.remaining = max(st.r.PromptTokens-st.matched*blockTokens, 1)
		f.running = append(f.running, st)
	}
}

// compact removes the streams that have ended.
func compact(streams []*stream) []*stream {
	kept := streams[:0]
	for _, st := range streams {
		if !st.ended {
			kept = append(kept, st)
		}
	}
	return kept
}

// chunk is the part of a prompt that one step prefills.
type chunk struct {
	st     *stream
	tokens int
}

// plan returns the duration of the next step and the prompt chunks that it prefills.
func (f *fakeEngine) plan() (time.Duration, []chunk) {
	var chunks []chunk
	budget, decoding := chunkTokens, 0
	for _, st := range f.running {
		if st.remaining == 0 {
			decoding++
			continue
		}
		if n := min(st.remaining, budget); n > 0 {
			chunks = append(chunks, chunk{st, n})
			budget -= n
		}
	}
	seconds := (stepBase + time.Duration(decoding)*stepPerStream).Seconds() + float64(chunkTokens-budget)/prefillPerSec
	return time.Duration(seconds / f.speed * f.slowdown * float64(time.Second)), chunks
}

func (f *fakeEngine) step(chunks []chunk) {
	f.busy = false
	decoding := make([]*stream, 0, len(f.running))
	for _, st := range f.running {
		if st.remaining == 0 && !st.ended {
			decoding = append(decoding, st)
		}
	}
	for _, c := range chunks {
		f.prefilled(c)
	}
	for _, st := range decoding {
		f.token(st)
	}
	f.work()
}

func (f *fakeEngine) prefilled(c chunk) {
	c.st.remaining -= c.tokens
	c.st.computed += c.tokens
	if c.st.ended || c.st.remaining > 0 {
		return
	}
	removed := f.cache.store(c.st.r.Prefix)
	f.changes = append(f.changes, scheduler.CacheChange{Stored: c.st.r.Prefix, Removed: removed})
	f.sim.firstToken(c.st.r)
	f.token(c.st)
}

// token generates one output token of a stream.
func (f *fakeEngine) token(st *stream) {
	if st.ended {
		return
	}
	st.generated++
	if st.generated >= st.r.output {
		st.ended = true
		f.sim.recordPrefill(st.r)
		f.sim.finish(st.r, scheduler.ResultSuccess, st.matched*blockTokens)
		return
	}
	if st.generated-st.reported >= progressEvery {
		f.sim.progress(st.r, st.generated-st.reported)
		st.reported = st.generated
	}
}

func (f *fakeEngine) workPlain() {
	for len(f.queue) > 0 && len(f.running) < plainWorkers {
		st := f.queue[0]
		f.queue = f.queue[1:]
		if st.ended {
			continue
		}
		f.running = append(f.running, st)
		took := time.Duration(st.r.size * float64(plainMeanDuration) / f.speed * f.slowdown)
		f.sim.clock.after(took, func() { f.completePlain(st) })
	}
}

func (f *fakeEngine) completePlain(st *stream) {
	if !st.ended {
		f.sim.firstToken(st.r)
		f.sim.finish(st.r, scheduler.ResultSuccess, 0)
	}
	st.ended = true
	f.running = compact(f.running)
	f.workPlain()
}

// takeEvents returns the cache changes since the last call as one event with a sequence number.
func (f *fakeEngine) takeEvents() (scheduler.CacheEvents, bool) {
	if len(f.changes) == 0 {
		return scheduler.CacheEvents{}, false
	}
	e := scheduler.CacheEvents{Engine: f.name, First: f.events, Changes: f.changes}
	f.events += uint64(len(f.changes))
	f.changes = nil
	return e, true
}

// blockCache is an LRU cache of prompt blocks that evicts the end of a chain before its beginning.
type blockCache struct {
	nodes          map[uint64]*node
	oldest, newest *node
}

type node struct {
	block        uint64
	older, newer *node
}

func (c *blockCache) match(blocks []uint64) int {
	n := 0
	for n < len(blocks) && c.nodes[blocks[n]] != nil {
		n++
	}
	for i := n - 1; i >= 0; i-- {
		c.touch(c.nodes[blocks[i]])
	}
	return n
}

func (c *blockCache) store(blocks []uint64) (removed []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		n := c.nodes[blocks[i]]
		if n == nil {
			n = &node{block: blocks[i]}
			c.nodes[blocks[i]] = n
			c.link(n)
			continue
		}
		c.touch(n)
	}
	for len(c.nodes) > cacheBlocks {
		victim := c.oldest
		c.unlink(victim)
		delete(c.nodes, victim.block)
		removed = append(removed, victim.block)
	}
	return removed
}

func (c *blockCache) touch(n *node) {
	c.unlink(n)
	c.link(n)
}

func (c *blockCache) link(n *node) {
	n.older, n.newer = c.newest, nil
	if c.newest == nil {
		c.oldest = n
	} else {
		c.newest.newer = n
	}
	c.newest = n
}

func (c *blockCache) unlink(n *node) {
	if n.older == nil {
		c.oldest = n.newer
	} else {
		n.older.newer = n.newer
	}
	if n.newer == nil {
		c.newest = n.older
	} else {
		n.newer.older = n.older
	}
}
