package standin

import (
	"context"
	"sync"
)

// HoldPoint is a step of a request at which a stand-in holds its answer until the hold is lifted.
type HoldPoint string

// Points at which Faults.Hold stops a request. The request counts as run at every one of them.
const (
	HoldFirst  HoldPoint = "first"  // before the first byte of the answer
	HoldMiddle HoldPoint = "middle" // after half of the events or bytes
	HoldLast   HoldPoint = "last"   // before the last event or byte
)

// switches are the faults in force and the requests that they hold.
type switches struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	held    int
}

// SetFaults replaces the faults in force. A request is released when Hold no longer names its point.
func (s *switches) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// Held returns how many requests are held.
func (s *switches) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

func (s *switches) current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// pass returns the faults in force once requests are no longer held at point; it returns false when ctx ends first.
func (s *switches) pass(ctx context.Context, point HoldPoint) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Hold != point {
		return s.faults, true
	}
	s.held++
	defer func() { s.held-- }()
	for s.faults.Hold == point {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			s.mu.Lock()
			return s.faults, false
		}
		s.mu.Lock()
	}
	return s.faults, true
}
