package scheduler

import (
	"time"

	"github.com/primrosebeam/primrosebeam/engine"
)

// maximumRefusals is the largest number of refusals of one request that lead to a retry. The next refusal
// leads to its rejection.
const maximumRefusals = 4

// entry is the state of one request from Arrive to Reject, Finish or Abandon.
type entry struct {
	request    Request
	tier       int // Request.Tier, or the lowest tier if a later policy has fewer tiers
	sequence   uint64
	arrived    time.Time
	deadline   time.Time // zero means none
	dispatchBy time.Time // latest dispatch that meets the objective for the first token; zero means none
	cost       float64   // estimated engine time in seconds
	output     float64   // expected output tokens

	service   *service
	flow      *flow
	list      *entryList // list in which the request waits; nil while dispatched
	due       time.Time  // time at which the request becomes late or is rejected
	heapIndex int        // index in Scheduler.dues; -1 when absent

	server        *server // nil while waiting
	engineRequest engine.Request
	dispatched    time.Time
	charged       float64 // cost charged to the flow at dispatch
	sent          bool    // a byte of the request may have reached an engine
	abandoned     bool    // the caller has disconnected
	refusedBy     [maximumRefusals]*server
	refusals      int
	bypassed      int // number of times that a later request was dispatched first because of its cached prefix

	prev, next *entry
}

func (s *Scheduler) newEntry() *entry {
	if n := len(s.free); n > 0 {
		e := s.free[n-1]
		s.free = s.free[:n-1]
		return e
	}
	return &entry{heapIndex: -1}
}

// release returns an entry that is neither in a list nor on an engine to the free list.
func (s *Scheduler) release(e *entry) {
	delete(s.requests, e.request.ID)
	*e = entry{heapIndex: -1}
	s.free = append(s.free, e)
}

func (e *entry) refusedByServer(m *server) bool {
	for i := range e.refusals {
		if e.refusedBy[i] == m {
			return true
		}
	}
	return false
}

// entryList is a doubly linked list through entry.prev and entry.next, oldest first.
type entryList struct {
	first, last *entry
	length      int
}

func (l *entryList) push(e *entry) {
	e.prev, e.next = l.last, nil
	if l.last == nil {
		l.first = e
	} else {
		l.last.next = e
	}
	l.last = e
	l.length++
	e.list = l
}

func (l *entryList) remove(e *entry) {
	if e.prev == nil {
		l.first = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		l.last = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next, e.list = nil, nil, nil
	l.length--
}

// dueHeap is a heap of waiting entries ordered by entry.due. It implements heap.Interface.
type dueHeap []*entry

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }

func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push appends x, an *entry.
func (h *dueHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop removes the last entry.
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.heapIndex = -1
	return e
}
