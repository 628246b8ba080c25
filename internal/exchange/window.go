package exchange

// receiveWindow records which messages of an origin were accepted: the highest number and the 64 below it.
// Older numbers count as accepted.
type receiveWindow struct {
	incarnation uint64
	high        uint64
	mask        uint64 // bit i: number high-1-i was accepted
}

// maxOrigins limits the number of remembered origins of each class of messages; there are at most as many as
// instances. classCount is the number of classes.
const (
	maxOrigins = 4096
	classCount = 2
)

// accept reports whether a message has not been accepted before, and records it.
func (e *Exchange) accept(class string, o origin) bool {
	if o.Instance == "" || o.Instance == e.options.Name || o.Number == 0 {
		return false
	}
	w, known := e.windows[class+o.Instance]
	switch {
	case !known && len(e.windows) >= classCount*maxOrigins:
		return false
	case !known || o.Incarnation > w.incarnation:
		w = &receiveWindow{incarnation: o.Incarnation}
		e.windows[class+o.Instance] = w
	case o.Incarnation < w.incarnation:
		return false
	}
	return w.add(o.Number)
}

func (w *receiveWindow) add(number uint64) bool {
	const maskBits = 64
	if number > w.high {
		shift := number - w.high
		w.mask <<= min(shift, maskBits) // A shift by the full width clears the mask.
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
