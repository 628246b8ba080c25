package engine

const (
	prefixWays           = 8    // associativity: slots that can hold one hash; the oldest of them is evicted
	confidenceLossFactor = 0.8  // factor on the confidence for each lost cache event, down to minimumConfidence
	minimumConfidence    = 0.3  // lower bound: the index still carries some information after a long gap
	confidenceRecovery   = 0.01 // fraction of the missing confidence that one event in sequence restores
	confidenceWeight     = 0.05 // weight of one response's count of cached tokens
	maximumCountedLosses = 8    // maximum number of lost events that are counted for one gap
)

// PrefixIndex is a bounded index of the prompt blocks that an engine has probably cached. It is a
// set-associative table that evicts the oldest entry of a set, so it has a fixed size and allocates
// once. Blocks are chained hashes: each block identifies all blocks before it.
type PrefixIndex struct {
	capacity    int
	keys        []uint64 // block hashes; 0 marks an empty slot
	stamps      []uint32
	sets        uint64
	clock       uint32
	uncertainty float64 // 1 minus the confidence
	nextEvent   uint64
	haveEvents  bool
}

func (p *PrefixIndex) resize(capacity int) {
	if capacity == p.capacity {
		return
	}
	p.capacity = capacity
	p.Clear()
	p.keys, p.stamps = nil, nil
}

// Clear removes every block.
func (p *PrefixIndex) Clear() { clear(p.keys) }

func (p *PrefixIndex) allocate() {
	p.sets = 1
	for int(p.sets)*prefixWays < p.capacity {
		p.sets *= 2
	}
	p.keys = make([]uint64, p.sets*prefixWays)
	p.stamps = make([]uint32, p.sets*prefixWays)
}

func (p *PrefixIndex) find(hash uint64) int {
	if len(p.keys) == 0 {
		return -1
	}
	base := int((hash>>32^hash)%p.sets) * prefixWays
	for i := base; i < base+prefixWays; i++ {
		if p.keys[i] == hash {
			return i
		}
	}
	return -1
}

// Match returns the number of leading blocks that are in the index.
func (p *PrefixIndex) Match(blocks []uint64) int {
	for i, hash := range blocks {
		if p.find(hash) < 0 {
			return i
		}
	}
	return len(blocks)
}

// Add records that the engine has cached or is about to cache the blocks. Later blocks of a chain get
// older stamps, so that its end is evicted first, as in the engine.
func (p *PrefixIndex) Add(blocks []uint64) {
	if p.capacity == 0 || len(blocks) == 0 {
		return
	}
	if p.keys == nil {
		p.allocate()
	}
	p.clock += uint32(len(blocks))
	for i, hash := range blocks {
		p.put(hash, p.clock-uint32(i))
	}
}

func (p *PrefixIndex) put(hash uint64, stamp uint32) {
	if hash == 0 {
		return
	}
	slot := p.find(hash)
	if slot < 0 {
		slot = p.evictionSlot(hash)
	}
	p.keys[slot] = hash
	p.stamps[slot] = stamp
}

// evictionSlot returns an empty slot of the hash's set, or else the one with the oldest entry.
func (p *PrefixIndex) evictionSlot(hash uint64) int {
	base := int((hash>>32^hash)%p.sets) * prefixWays
	oldest := base
	for i := base; i < base+prefixWays; i++ {
		if p.keys[i] == 0 {
			return i
		}
		if int32(p.stamps[i]-p.stamps[oldest]) < 0 {
			oldest = i
		}
	}
	return oldest
}

// RecordEvents records the sequence numbers of consecutive cache changes, the first of which has the
// given number. Lost events lower the confidence in the index; events in sequence restore it slowly.
func (p *PrefixIndex) RecordEvents(first uint64, changes int) {
	if p.haveEvents && first > p.nextEvent {
		for range min(first-p.nextEvent, maximumCountedLosses) {
			p.uncertainty = 1 - max((1-p.uncertainty)*confidenceLossFactor, minimumConfidence)
		}
	}
	for range changes {
		p.uncertainty *= 1 - confidenceRecovery
	}
	p.haveEvents = true
	p.nextEvent = max(p.nextEvent, first+uint64(changes))
}

// Remove records that the engine evicted the blocks.
func (p *PrefixIndex) Remove(blocks []uint64) {
	for _, hash := range blocks {
		if i := p.find(hash); i >= 0 {
			p.keys[i] = 0
		}
	}
}

// RecordCachedTokens adjusts the confidence by comparing the expected number of cached tokens with the
// number that the response reported.
func (p *PrefixIndex) RecordCachedTokens(expected, actual float64) {
	if expected <= 0 {
		return
	}
	missing := 1 - min(actual/expected, 1)
	p.uncertainty += confidenceWeight * (missing - p.uncertainty)
	p.uncertainty = min(p.uncertainty, 1-minimumConfidence)
}

// Confidence returns the fraction of matched blocks that is expected to be cached.
func (p *PrefixIndex) Confidence() float64 { return 1 - p.uncertainty }

// BlockCount returns the number of blocks in the index.
func (p *PrefixIndex) BlockCount() int {
	n := 0
	for _, key := range p.keys {
		if key != 0 {
			n++
		}
	}
	return n
}
