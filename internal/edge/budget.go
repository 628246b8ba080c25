package edge

import (
	"sync"
	"time"
)

// resendBudget bounds the repeated sends of this instance by service. All instances together have to
// stay below a ratio of the requests and a fixed number in any window; each instance keeps within the
// ratio of its own requests and its equal part of the number.
type resendBudget struct {
	mu      sync.Mutex
	ratio   float64
	slack   float64
	window  time.Duration
	entries func() int
	levels  map[string]*budgetLevel
}

type budgetLevel struct {
	tokens  float64
	updated time.Duration
}

const (
	// budgetCaution is the part of the ratio that is used: requests of the window before, which the
	// ratio is taken of, may be fewer.
	budgetCaution = 0.6
	// slackPart is the part of the fixed number that is divided among the instances.
	slackPart = 0.5
)

func newResendBudget(ratio, slack float64, window time.Duration, entries func() int) *resendBudget {
	return &resendBudget{ratio: ratio, slack: slack, window: window, entries: entries, levels: map[string]*budgetLevel{}}
}

// most is what an instance may spend at once; it gains as much in a window.
func (b *resendBudget) most() float64 {
	return max(b.slack*slackPart/float64(max(b.entries(), 1)), 1)
}

func (b *resendBudget) level(now time.Duration, service string) *budgetLevel {
	l := b.levels[service]
	if l == nil {
		l = &budgetLevel{tokens: b.most() / 2, updated: now}
		b.levels[service] = l
	}
	gained := b.most() / 2 * float64(now-l.updated) / float64(b.window)
	l.tokens = min(l.tokens+gained, b.most())
	l.updated = now
	return l
}

// earn counts a request for a service.
func (b *resendBudget) earn(now time.Duration, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.level(now, service)
	l.tokens = min(l.tokens+b.ratio*budgetCaution, b.most())
}

// available reports whether a repeated send is allowed.
func (b *resendBudget) available(now time.Duration, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.level(now, service).tokens >= 1
}

// spend takes a repeated send from the budget, if it is allowed.
func (b *resendBudget) spend(now time.Duration, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.level(now, service)
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
