// Package bytebudget decides who may hold how many bytes of a process's memory for callers: bodies that are being read
// and answers that are kept until they are whole. It has no network, clock or goroutine.
//
// It answers a crowd of callers that together send or leave unread more than the process has memory for.
package bytebudget

import "sync"

// Kind tells what bytes are held for.
type Kind uint8

// Kinds of holdings.
const (
	Body   Kind = iota // a request body
	Answer             // an answer of an engine
	kinds
)

// String returns the name of the kind in metrics.
func (k Kind) String() string { return [kinds]string{"body", "answer"}[k] }

const (
	// FreeBytes is what a holding may hold without drawing on the budget. It is part of what a connection costs.
	FreeBytes = 4 << 10
	// smallBytes is the size up to which a holding counts as small.
	smallBytes = 64 << 10
	// smallDivisor is the part of the capacity that large holdings leave to small ones, as one in so many.
	smallDivisor = 4
	// answerDivisor is the part of the capacity that answers may hold, as one in so many. An answer that gets no bytes
	// is passed on as it arrives, so bodies come first.
	answerDivisor = 4
	// maxWaiting is the number of holdings that may wait for bytes at once.
	maxWaiting = 64
)

// Budget is the number of bytes that a process may hold for all its callers. It is safe for concurrent use.
//
// Invariants: the holdings together never exceed the capacity; the large ones leave a quarter of it to the small ones. A
// caller gets bytes only while it holds no more of a class than it leaves free of it, so that k callers that want all get
// one in k+1 each and there is always something left for a newcomer. A holding that is alone gets up to three quarters
// of the capacity.
type Budget struct {
	mu       sync.Mutex
	capacity int64
	used     [kinds]int64
	large    int64 // bytes of the large holdings
	callers  map[string]*account
	waiting  []*Wait
}

// account is what one caller holds.
type account struct{ large, small int64 }

// New returns a budget of the given number of bytes.
func New(capacity int64) *Budget {
	return &Budget{capacity: capacity, callers: map[string]*account{}}
}

// LargestBody returns the size of the largest body that fits while nothing else is held, read with a length or in chunks.
func (b *Budget) LargestBody() int64 {
	const growth = 5 // a body in chunks is copied from a buffer of a quarter of the size
	return b.largeCapacity() * 4 / growth
}

func (b *Budget) largeCapacity() int64 { return b.capacity - b.capacity/smallDivisor }

// Holding is what is held for one request. It belongs to one goroutine at a time.
type Holding struct {
	budget *Budget
	kind   Kind
	caller string
	held   int64 // bytes, including the free ones
}

// Open returns an empty holding for a caller: a workspace, or the address of a caller without one.
func (b *Budget) Open(kind Kind, caller string) Holding {
	return Holding{budget: b, kind: kind, caller: caller}
}

// Held returns the number of bytes held.
func (h *Holding) Held() int64 { return h.held }

// Grow takes n more bytes. It returns false, and takes nothing, if the caller must not get them now.
func (h *Holding) Grow(n int64) bool {
	if h.held+n <= FreeBytes {
		h.held += n
		return true
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.budget.grow(h, n)
}

// charged returns the bytes of a holding that draw on the budget.
func charged(held int64) int64 { return max(held-FreeBytes, 0) }

func (b *Budget) grow(h *Holding, n int64) bool {
	before, after := charged(h.held), charged(h.held+n)
	own := b.callers[h.caller]
	if own == nil {
		own = &account{}
	}
	if !b.fits(h.kind, own, before, after) {
		return false
	}
	b.move(h, own, before, after)
	h.held += n
	return true
}

// fits reports whether a holding of a caller may grow. A holding that becomes large moves to that class as a whole.
func (b *Budget) fits(kind Kind, own *account, before, after int64) bool {
	used := int64(0)
	for _, n := range b.used {
		used += n
	}
	free := b.capacity - used
	if after-before > free {
		return false
	}
	if kind == Answer && b.used[Answer]+after-before > b.capacity/answerDivisor {
		return false
	}
	if after <= smallBytes {
		return own.small-before+after <= free+before
	}
	others, held := b.large, own.large
	if before > smallBytes {
		others, held = others-before, held-before
	}
	room := b.largeCapacity() - others
	return after <= room && held+after <= room
}

func (b *Budget) move(h *Holding, own *account, before, after int64) {
	b.used[h.kind] += after - before
	if before > smallBytes {
		b.large -= before
		own.large -= before
	} else {
		own.small -= before
	}
	if after > smallBytes {
		b.large += after
		own.large += after
	} else {
		own.small += after
	}
	if own.large == 0 && own.small == 0 {
		delete(b.callers, h.caller)
		return
	}
	b.callers[h.caller] = own
}

// Shrink gives n bytes back.
func (h *Holding) Shrink(n int64) {
	if h.held <= FreeBytes {
		h.held -= n
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.callers[h.caller]
	if own == nil {
		own = &account{} // nothing is charged
	}
	b.move(h, own, charged(h.held), charged(h.held-n))
	h.held -= n
	b.serveWaiting()
}

// Close gives all bytes back. It may be called more than once.
func (h *Holding) Close() {
	if h.held > 0 {
		h.Shrink(h.held)
	}
}

// Wait is a holding that waits for bytes.
type Wait struct {
	holding *Holding
	bytes   int64
	granted chan struct{}
}

// Granted returns a channel that is closed once the bytes were taken.
func (w *Wait) Granted() <-chan struct{} { return w.granted }

// Wait puts a holding in the queue for n bytes. It returns nil if too many wait already. The holding must not be used
// until the bytes are granted or Cancel has returned.
func (h *Holding) Wait(n int64) *Wait {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &Wait{holding: h, bytes: n, granted: make(chan struct{})}
	switch {
	case b.grow(h, n):
		close(w.granted)
	case len(b.waiting) >= maxWaiting || charged(h.held+n) > b.largeCapacity():
		return nil
	default:
		b.waiting = append(b.waiting, w)
	}
	return w
}

// Cancel removes a holding from the queue. It returns false if the bytes were granted meanwhile.
func (w *Wait) Cancel() bool {
	b := w.holding.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiting {
		if other == w {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// serveWaiting grants bytes in order of arrival. One that gets none holds up no other.
func (b *Budget) serveWaiting() {
	kept := b.waiting[:0]
	for _, w := range b.waiting {
		if b.grow(w.holding, w.bytes) {
			close(w.granted)
			continue
		}
		kept = append(kept, w)
	}
	clear(b.waiting[len(kept):])
	b.waiting = kept
}

// State is what a budget holds.
type State struct {
	Capacity int64
	Used     map[string]int64 // bytes by kind
	Callers  int
	Waiting  int
}

// State returns what is held now.
func (b *Budget) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := State{Capacity: b.capacity, Used: map[string]int64{}, Callers: len(b.callers), Waiting: len(b.waiting)}
	for kind := range kinds {
		s.Used[kind.String()] = b.used[kind]
	}
	return s
}

// Used returns the number of bytes held for a kind.
func (b *Budget) Used(kind Kind) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[kind]
}
