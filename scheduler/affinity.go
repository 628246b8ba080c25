package scheduler

const (
	tableSlots  = 1 << 14
	slotEngines = 4 // number of engines stored for one block
)

// prefixTable maps prompt blocks to the engines to which they were dispatched last, so that the engines
// with a prefix are found among hundreds without a search of each one's index. It is a table of fixed
// size in which a new block replaces the previous one in its slot. Of each prompt only the blocks
// whose position is a power of two are stored.
type prefixTable struct {
	slots []prefixSlot
}

type prefixSlot struct {
	block   uint64
	engines [slotEngines]int32 // indexes in Scheduler.members plus 1, latest first; 0 is empty
}

func (t *prefixTable) reset() { t.slots = nil }

func (t *prefixTable) slot(block uint64) *prefixSlot { return &t.slots[(block>>32^block)%tableSlots] }

func (t *prefixTable) add(blocks []uint64, member int) {
	if len(blocks) == 0 {
		return
	}
	if t.slots == nil {
		t.slots = make([]prefixSlot, tableSlots)
	}
	for i := 1; i <= len(blocks); i *= 2 {
		t.slot(blocks[i-1]).record(blocks[i-1], int32(member+1))
	}
}

// record moves the engine to the front of the block's engines. A slot that holds another block is
// overwritten.
func (p *prefixSlot) record(block uint64, number int32) {
	if p.block != block {
		*p = prefixSlot{block: block}
	}
	carried := number
	for i := range p.engines {
		carried, p.engines[i] = p.engines[i], carried
		if carried == number {
			return
		}
	}
}

const (
	affinityCachedFraction = 0.5 // fraction of a prompt that the engine with affinity is assumed to have cached
	affinityProbes         = 3   // engines that are tried before a prompt is treated as without affinity
	affinityBlocks         = 4   // affinity depends on a block within the first three quarters of a prompt
)

// affinity returns the engine that every instance prefers for a prompt that no engine has cached, nil
// for a prompt with too few blocks or when no probed engine accepts requests. Instances learn about
// each other's prompts only from the cache events; until then each would compute a popular prefix on a
// different engine. The end of a prompt is not used, since it rarely occurs twice. The position of the
// hashed block is a power of two, so that a conversation keeps its engine while it grows.
func (sv *service) affinity(e *entry) *server {
	blocks := e.request.Prefix
	if len(blocks) < affinityBlocks || len(sv.members) == 0 {
		return nil
	}
	position := 1
	for position*2 <= len(blocks)*(affinityBlocks-1)/affinityBlocks {
		position *= 2
	}
	hash := blocks[position-1]
	for range affinityProbes {
		hash ^= hash >> 31
		hash *= 0x9e3779b97f4a7c15 // spreads hashes with similar low bits
		if m := sv.members[(hash>>32)%uint64(len(sv.members))]; m.accepts() {
			return m
		}
	}
	return nil
}

// find returns the engines stored for the longest known prefix of a prompt.
func (t *prefixTable) find(blocks []uint64) [slotEngines]int32 {
	if t.slots == nil || len(blocks) == 0 {
		return [slotEngines]int32{}
	}
	last := 1
	for last*2 <= len(blocks) {
		last *= 2
	}
	for i := last; i >= 1; i /= 2 {
		if slot := t.slot(blocks[i-1]); slot.block == blocks[i-1] {
			return slot.engines
		}
	}
	return [slotEngines]int32{}
}
