package scheduler

const (
	homeSlots   = 1 << 14
	homeEngines = 4 // engines remembered for one block
)

// homes remembers for prompt blocks which engines were last given them, so that the engines with
// a prefix are found among hundreds without looking into each one's index. It is a fixed table in
// which a new block replaces the former one of its slot. Of each prompt only the blocks whose
// position is a power of two are entered.
type homes struct {
	slots []home
}

type home struct {
	block   uint64
	engines [homeEngines]int32 // index into Scheduler.members plus 1; 0 is empty
}

func (h *homes) reset() { h.slots = nil }

func (h *homes) slot(block uint64) *home { return &h.slots[(block>>32^block)%homeSlots] }

func (h *homes) add(blocks []uint64, member int) {
	if len(blocks) == 0 {
		return
	}
	if h.slots == nil {
		h.slots = make([]home, homeSlots)
	}
	for i := 1; i <= len(blocks); i *= 2 {
		h.slot(blocks[i-1]).enter(blocks[i-1], int32(member+1))
	}
}

// enter moves the engine to the front of the block's engines.
func (h *home) enter(block uint64, number int32) {
	if h.block != block {
		*h = home{block: block}
	}
	carried := number
	for i := range h.engines {
		carried, h.engines[i] = h.engines[i], carried
		if carried == number {
			return
		}
	}
}

// find returns the engines of the longest known part of a prompt.
func (h *homes) find(blocks []uint64) [homeEngines]int32 {
	if h.slots == nil || len(blocks) == 0 {
		return [homeEngines]int32{}
	}
	last := 1
	for last*2 <= len(blocks) {
		last *= 2
	}
	for i := last; i >= 1; i /= 2 {
		if slot := h.slot(blocks[i-1]); slot.block == blocks[i-1] {
			return slot.engines
		}
	}
	return [homeEngines]int32{}
}
