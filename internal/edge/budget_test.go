package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRetryBudgetOfAllInstancesStaysWithinLimit guards against retries of all instances together that exceed
// the required limit, which is a ratio of the requests plus a fixed number in any window.
func TestRetryBudgetOfAllInstancesStaysWithinLimit(t *testing.T) {
	is := is.New(t)
	const instances, window, ratio, slack = 9, 10 * time.Second, 0.2, 58.0
	var budgets []*retryBudget
	for range instances {
		budgets = append(budgets, newRetryBudget(ratio, slack, window, func() int { return instances }))
	}
	var sent []time.Duration
	requests := 0
	for now := time.Duration(0); now < 30*time.Second; now += 10 * time.Millisecond {
		for _, b := range budgets {
			b.addRequest(now, "s")
			requests++
			for b.take(now, "s") {
				sent = append(sent, now)
			}
		}
	}
	perWindow := float64(requests) * float64(window) / float64(30*time.Second)
	for i := range sent {
		count := 0
		for _, at := range sent[i:] {
			if at-sent[i] < window {
				count++
			}
		}
		is.True(float64(count) <= ratio*perWindow+slack)
	}
	is.True(len(sent) > 0)
}

// TestRetryBudgetOfIdleInstanceRefills guards against an idle instance whose retry budget is used up and
// never refilled.
func TestRetryBudgetOfIdleInstanceRefills(t *testing.T) {
	is := is.New(t)
	b := newRetryBudget(0.2, 50, 10*time.Second, func() int { return 70 })
	now := time.Duration(0)
	for b.take(now, "s") {
	}
	is.True(!b.available(now, "s"))
	is.True(b.available(now+30*time.Second, "s"))
}
