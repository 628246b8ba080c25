package scenario

import (
	"time"

	"github.com/primrosebeam/primrosebeam/scheduler"
)

const (
	blockTokens   = 64
	chunkTokens   = 512 // prefill tokens of one step
	stepBase      = 20 * time.Millisecond
	stepPerStream = 800 * time.Microsecond
	prefillPerSec = 10000
	batchMost     = 64 // streams that fit in the memory of an engine
	cacheBlocks   = 3200
	progressEvery = 8 // tokens between two Progress events
	plainWorkers  = 4
	plainMean     = 100 * time.Millisecond
	errorAfter    = 5 * time.Millisecond
)

// stream is a request on an engine.
type stream struct {
	r         *request
	matched   int // blocks found in the cache
	left      int // prompt tokens to prefill
	computed  int // prompt tokens that were prefilled
	generated int
	reported  int
	started   bool // in the batch
	gone      bool // cancelled
}

// fake is an engine in virtual time: continuous batching with chunked prefill in order of arrival.
type fake struct {
	sim     *simulation
	name    string
	plain   bool
	speed   float64 // relative
	slow    float64 // factor on durations, changed by faults
	failing bool
	queue   []*stream
	running []*stream
	cache   *blockCache
	busy    bool
	events  uint64
	changes []scheduler.CacheChange
}

func (f *fake) submit(r *request) {
	if f.failing {
		f.sim.clock.after(errorAfter, func() { f.sim.finish(r, scheduler.ResultFailed, 0) })
		return
	}
	r.stream = &stream{r: r}
	f.queue = append(f.queue, r.stream)
	f.work()
}

func (f *fake) cancel(r *request) {
	if r.stream == nil || r.done {
		return
	}
	r.stream.gone = true
	f.sim.spend(r)
	f.sim.finish(r, scheduler.ResultCancelled, r.stream.matched*blockTokens)
}

func (f *fake) work() {
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

func (f *fake) admit() {
	f.running = compact(f.running)
	for len(f.queue) > 0 && len(f.running) < batchMost {
		st := f.queue[0]
		f.queue = f.queue[1:]
		if st.gone {
			continue
		}
		st.started = true
		st.matched = f.cache.match(st.r.Prefix)
		st.left = max(st.r.PromptTokens-st.matched*blockTokens, 1)
		f.running = append(f.running, st)
	}
}

func compact(streams []*stream) []*stream {
	kept := streams[:0]
	for _, st := range streams {
		if !st.gone {
			kept = append(kept, st)
		}
	}
	return kept
}

type chunk struct {
	st     *stream
	tokens int
}

func (f *fake) plan() (time.Duration, []chunk) {
	var chunks []chunk
	budget, decoding := chunkTokens, 0
	for _, st := range f.running {
		if st.left == 0 {
			decoding++
			continue
		}
		if n := min(st.left, budget); n > 0 {
			chunks = append(chunks, chunk{st, n})
			budget -= n
		}
	}
	seconds := (stepBase + time.Duration(decoding)*stepPerStream).Seconds() + float64(chunkTokens-budget)/prefillPerSec
	return time.Duration(seconds / f.speed * f.slow * float64(time.Second)), chunks
}

func (f *fake) step(chunks []chunk) {
	f.busy = false
	decoding := make([]*stream, 0, len(f.running))
	for _, st := range f.running {
		if st.left == 0 && !st.gone {
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

func (f *fake) prefilled(c chunk) {
	c.st.left -= c.tokens
	c.st.computed += c.tokens
	if c.st.gone || c.st.left > 0 {
		return
	}
	removed := f.cache.store(c.st.r.Prefix)
	f.changes = append(f.changes, scheduler.CacheChange{Stored: c.st.r.Prefix, Removed: removed})
	f.sim.firstToken(c.st.r)
	f.token(c.st)
}

func (f *fake) token(st *stream) {
	if st.gone {
		return
	}
	st.generated++
	if st.generated >= st.r.output {
		st.gone = true
		f.sim.spend(st.r)
		f.sim.finish(st.r, scheduler.ResultSuccess, st.matched*blockTokens)
		return
	}
	if st.generated-st.reported >= progressEvery {
		f.sim.progress(st.r, st.generated-st.reported)
		st.reported = st.generated
	}
}

func (f *fake) workPlain() {
	for len(f.queue) > 0 && len(f.running) < plainWorkers {
		st := f.queue[0]
		f.queue = f.queue[1:]
		if st.gone {
			continue
		}
		f.running = append(f.running, st)
		took := time.Duration(st.r.size * float64(plainMean) / f.speed * f.slow)
		f.sim.clock.after(took, func() { f.answered(st) })
	}
}

func (f *fake) answered(st *stream) {
	if !st.gone {
		f.sim.firstToken(st.r)
		f.sim.finish(st.r, scheduler.ResultSuccess, 0)
	}
	st.gone = true
	f.running = compact(f.running)
	f.workPlain()
}

// takeEvents returns the cache changes since the last call, as one numbered event.
func (f *fake) takeEvents() (scheduler.CacheEvents, bool) {
	if len(f.changes) == 0 {
		return scheduler.CacheEvents{}, false
	}
	e := scheduler.CacheEvents{Engine: f.name, First: f.events, Changes: f.changes}
	f.events += uint64(len(f.changes))
	f.changes = nil
	return e, true
}

// blockCache is a prefix cache that evicts the block used longest ago, ends of chains first.
type blockCache struct {
	nodes       map[uint64]*node
	oldest, new *node
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
	n.older, n.newer = c.new, nil
	if c.new == nil {
		c.oldest = n
	} else {
		c.new.newer = n
	}
	c.new = n
}

func (c *blockCache) unlink(n *node) {
	if n.older == nil {
		c.oldest = n.newer
	} else {
		n.older.newer = n.newer
	}
	if n.newer == nil {
		c.new = n.older
	} else {
		n.newer.older = n.older
	}
}
