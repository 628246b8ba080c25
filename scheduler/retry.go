package scheduler

const (
	initialRetryTokens = 3  // retries available to a workspace before its requests have earned any
	maximumRetryTokens = 20 // maximum number of unused retries; bounds the burst after a time without retries
)

type budgetKey struct {
	workspace string
	service   string
}

// budget is a token bucket that limits the retries of one workspace on one service to a fraction of
// its requests, so that retries cannot multiply the load on failing engines.
type budget struct{ tokens float64 }

func (s *Scheduler) budget(workspace string, sv *service) *budget {
	key := budgetKey{workspace: workspace, service: sv.config.Name}
	b := s.budgets[key]
	if b == nil {
		b = &budget{}
		if sv.config.RetryBudget > 0 {
			b.tokens = initialRetryTokens
		}
		s.budgets[key] = b
	}
	return b
}

func (b *budget) earn(tokens float64) { b.tokens = min(b.tokens+tokens, maximumRetryTokens) }

func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
