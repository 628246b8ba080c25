package edge

import (
	"sync"
	"time"
)

// retryBudget limits the retries of this instance, separately for each service. In any window, the retries
// of all instances together must not exceed a ratio of the requests plus a fixed number, the slack. Each
// instance stays within the ratio of its own requests plus an equal share of the slack.
type retryBudget struct {
	mu         sync.Mutex
	ratio      float64
	slack      float64
	window     time.Duration
	entryCount func() int
	buckets    map[string]*tokenBucket
}

type tokenBucket struct {
	tokens  float64
	updated time.Duration
}

const (
	// ratioFraction is the fraction of the ratio that is used. The ratio applies to the requests of the
	// previous window, which may be fewer.
	ratioFraction = 0.6
	// slackFraction is the fraction of the slack that is divided among the instances.
	slackFraction = 0.5
)

func newRetryBudget(ratio, slack float64, window time.Duration, entryCount func() int) *retryBudget {
	return &retryBudget{
		ratio: ratio, slack: slack, window: window, entryCount: entryCount, buckets: map[string]*tokenBucket{},
	}
}

// capacity returns how many retries an instance may use at once. A bucket gains half as many in a window.
func (b *retryBudget) capacity() float64 {
	return max(b.slack*slackFraction/float64(max(b.entryCount(), 1)), 1)
}

func (b *retryBudget) bucket(now time.Duration, service string) *tokenBucket {
	t := b.buckets[service]
	if t == nil {
		t = &tokenBucket{tokens: b.capacity() / 2, updated: now}
		b.buckets[service] = t
	}
	gained := b.capacity() / 2 * float64(now-t.updated) / float64(b.window)
	t.tokens = min(t.tokens+gained, b.capacity())
	t.updated = now
	return t
}

// addRequest adds the share of one request to the budget of its service.
func (b *retryBudget) addRequest(now time.Duration, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.bucket(now, service)
	t.tokens = min(t.tokens+b.ratio*ratioFraction, b.capacity())
}

// available reports whether the budget allows a retry.
func (b *retryBudget) available(now time.Duration, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket(now, service).tokens >= 1
}

// take takes a retry from the budget. It returns false if the budget allows none.
func (b *retryBudget) take(now time.Duration, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.bucket(now, service)
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}
