package core

import (
	"slices"
	"sync"

	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/revision"
)

// maxRecentRevisions is the number of configurations that are kept for transfers in progress.
const maxRecentRevisions = 4

// recentRevisions keeps the newest configurations. A transfer of one that was replaced meanwhile can be finished,
// so that frequent changes do not keep entry instances at an old configuration. It is safe for concurrent use.
type recentRevisions struct {
	mu   sync.Mutex
	list []revision.Revision // newest last
}

// add adds a configuration with a higher number than all others.
func (r *recentRevisions) add(newest revision.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, newest)
	if len(r.list) > maxRecentRevisions {
		r.list = slices.Delete(r.list, 0, 1)
	}
}

// part returns the part that was asked for, or the first part of the newest configuration if the one that was
// asked for is not kept.
func (r *recentRevisions) part(request fleet.Fetch) fleet.Fetched {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.list) == 0 {
		return fleet.Fetched{}
	}
	found := r.list[len(r.list)-1]
	offset := 0
	for _, kept := range r.list {
		if kept.Number == request.Number && request.Offset >= 0 && request.Offset <= len(kept.Content) {
			found, offset = kept, request.Offset
		}
	}
	return fleet.Fetched{
		Number: found.Number, Offset: offset, Size: len(found.Content),
		Part: found.Content[offset:min(offset+fleet.MaxPartBytes, len(found.Content))],
	}
}
