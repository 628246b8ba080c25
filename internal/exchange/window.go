package exchange

// window remembers which messages of an origin were taken: the highest number and the 64 below it.
// Older ones count as taken.
type window struct {
	incarnation uint64
	high        uint64
	mask        uint64 // bit i: number high-1-i
}

// maxOrigins bounds the origins remembered; there are at most as many as instances.
const maxOrigins = 4096

// fresh reports whether a message was not taken before, and notes it.
func (e *Exchange) fresh(class string, o origin) bool {
	if o.Instance == "" || o.Instance == e.o.Name || o.Number == 0 {
		return false
	}
	w, known := e.seen[class+o.Instance]
	switch {
	case !known && len(e.seen) >= maxOrigins:
		return false
	case !known || o.Incarnation > w.incarnation:
		w = &window{incarnation: o.Incarnation}
		e.seen[class+o.Instance] = w
	case o.Incarnation < w.incarnation:
		return false
	}
	return w.add(o.Number)
}

func (w *window) add(number uint64) bool {
	const maskBits = 64
	if number > w.high {
		shift := number - w.high
		w.mask <<= min(shift, maskBits) // A shift by the width clears the mask.
		if shift <= maskBits {
			w.mask |= 1 << (shift - 1)
		}
		w.high = number
		return true
	}
	below := w.high - number
	if below == 0 || below > maskBits || w.mask&(1<<(below-1)) != 0 {
		return false
	}
	w.mask |= 1 << (below - 1)
	return true
}
