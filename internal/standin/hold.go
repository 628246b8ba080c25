package standin

import (
	"context"
	"sync"
)

// HoldPoint is a point in a response at which a stand-in pauses until the hold is removed.
type HoldPoint string

// Points at which Faults.Hold pauses a request. At every one of them the request already counts as run.
const (
	HoldFirst  HoldPoint = "first"  // before the first byte of the response
	HoldMiddle HoldPoint = "middle" // after half of the events or bytes
	HoldLast   HoldPoint = "last"   // before the last event or byte
)

// faultState holds the current faults and the number of requests that they hold.
type faultState struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	held    int
}

// SetFaults replaces the current faults. A held request continues when Hold is no longer its hold point.
func (s *faultState) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// Held returns how many requests are held.
func (s *faultState) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

func (s *faultState) current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// waitUntilReleased waits while requests are held at a point and returns the current faults. It returns false
// when ctx ends first.
func (s *faultState) waitUntilReleased(ctx context.Context, point HoldPoint) (Faults, bool) {
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
