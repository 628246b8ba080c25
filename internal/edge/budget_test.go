package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against repeated sends of all instances together that exceed the users' bound: a ratio of the
// requests and a fixed number in any window.
func TestBudgetOfAllInstancesStaysInBounds(t *testing.T) {
	is := is.New(t)
	const instances, window, ratio, slack = 9, 10 * time.Second, 0.2, 58.0
	var budgets []*resendBudget
	for range instances {
		budgets = append(budgets, newResendBudget(ratio, slack, window, func() int { return instances }))
	}
	var sent []time.Duration
	requests := 0
	for now := time.Duration(0); now < 30*time.Second; now += 10 * time.Millisecond {
		for _, b := range budgets {
			b.earn(now, "s")
			requests++
			for b.spend(now, "s") {
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

// Guards against an idle instance that is left without any repeated send.
func TestBudgetOfIdleInstance(t *testing.T) {
	is := is.New(t)
	b := newResendBudget(0.2, 50, 10*time.Second, func() int { return 70 })
	now := time.Duration(0)
	for b.spend(now, "s") {
	}
	is.True(!b.available(now, "s"))
	is.True(b.available(now+30*time.Second, "s"))
}
