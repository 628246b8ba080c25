package placement

import (
	"sync/atomic"
	"time"
)

// BlockList holds the parts of prompts that the allocator has blocked, for an entry instance, which then needs not
// ask the allocator about requests with them. It is safe for concurrent use.
type BlockList struct{ current atomic.Pointer[blockList] }

type blockList struct {
	parts []BlockedPart
	at    time.Duration
}

// Set replaces the list.
func (l *BlockList) Set(now time.Duration, parts []BlockedPart) {
	l.current.Store(&blockList{parts: parts, at: now})
}

// BlockedFor returns how long a request with these parts of its prompt is blocked, or 0.
func (l *BlockList) BlockedFor(now time.Duration, service string, parts []PartID) time.Duration {
	longest := time.Duration(0)
	for _, b := range l.List(now) {
		if b.applies(service, parts) {
			longest = max(longest, time.Duration(b.LeftMS)*time.Millisecond)
		}
	}
	return longest
}

// List returns the parts that are blocked now.
func (l *BlockList) List(now time.Duration) []BlockedPart {
	current := l.current.Load()
	if current == nil || len(current.parts) == 0 {
		return nil
	}
	var list []BlockedPart
	for _, b := range current.parts {
		b.LeftMS -= (now - current.at).Milliseconds()
		if b.LeftMS > 0 {
			list = append(list, b)
		}
	}
	return list
}
