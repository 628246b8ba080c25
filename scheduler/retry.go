package scheduler

const (
	budgetStart = 3  // retries that a workspace may use before its requests have earned any
	budgetMost  = 20 // retries that can be saved up; bounds the burst after a quiet time
)

type budgetKey struct {
	workspace string
	service   string
}

// budget bounds the retries of one workspace on one service to a share of its requests, so that
// retries cannot multiply the load of failing engines.
type budget struct{ tokens float64 }

func (s *Scheduler) budget(workspace string, sv *service) *budget {
	key := budgetKey{workspace: workspace, service: sv.config.Name}
	b := s.budgets[key]
	if b == nil {
		b = &budget{}
		if sv.config.RetryBudget > 0 {
			b.tokens = budgetStart
		}
		s.budgets[key] = b
	}
	return b
}

func (b *budget) earn(tokens float64) { b.tokens = min(b.tokens+tokens, budgetMost) }

func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
