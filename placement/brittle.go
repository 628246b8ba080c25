package placement

import (
	"maps"
	"time"
)

const (
	// brittleTTL is how long a service counts as brittle after the last response that stated so. All responses of
	// a brittle service state it.
	brittleTTL = 10 * time.Second
	// brittlePause is how long a brittle engine gets no request after it had no room for one. The requests that it
	// can turn away are counted per second.
	brittlePause = time.Second
)

// RecordBrittle records whether an engine of a service has stated that the engines of the service are brittle: one that
// turns away more than a few requests in a second falls over. It reports whether that has changed.
func (n *Notices) RecordBrittle(now time.Duration, service string, stated bool) (changed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	until, known := n.brittle[service]
	was := known && now < until
	if stated {
		n.brittle[service] = now + brittleTTL
	} else {
		delete(n.brittle, service)
	}
	maps.DeleteFunc(n.brittle, func(_ string, until time.Duration) bool { return now >= until })
	return was != stated
}

// IsBrittle reports whether the engines of a service are brittle.
func (n *Notices) IsBrittle(now time.Duration, service string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return now < n.brittle[service]
}

// hasRoom reports whether this instance may send one more request to an engine. The instances share the slots of brittle
// engines equally, so that none of their requests has to wait there, and leave an engine alone that had no room.
func (b *Balancer) hasRoom(now time.Duration, e *backend) bool {
	if !b.notices.IsBrittle(now, e.Service) {
		return true
	}
	return now >= e.fullUntil && e.inFlight < max(e.Slots/max(b.instances(), 1), 1)
}

// ShareAmong sets how to learn the number of instances that send requests to the engines.
func (b *Balancer) ShareAmong(instances func() int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = instances
}
