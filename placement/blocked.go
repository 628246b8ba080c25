package placement

import (
	"slices"
	"sync/atomic"
	"time"
)

// BlockList holds the parts of prompts that the allocator has blocked, for an entry instance, which then needs not
// ask the allocator about requests with them. It is safe for concurrent use.
type BlockList struct{ current atomic.Pointer[blockList] }

type blockList struct {
	parts   []BlockedPart
	watched []PartID
	at      time.Duration
}

// Set replaces the list. watched holds the parts whose responses the allocator has to learn of.
func (l *BlockList) Set(now time.Duration, parts []BlockedPart, watched []PartID) {
	l.current.Store(&blockList{parts: parts, watched: watched, at: now})
}

// IsWatched reports whether a response to a request with these parts has to be reported.
func (l *BlockList) IsWatched(parts []PartID) bool {
	current := l.current.Load()
	if current == nil || len(current.watched) == 0 {
		return false
	}
	return slices.ContainsFunc(parts, func(part PartID) bool { return slices.Contains(current.watched, part) })
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
