package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// quotaLoad plays a workspace that asks for a multiple of its quota for 40 s, in virtual time. It returns the
// largest sum of charges that was granted within a window, and the share of the requests that was granted. The
// allocator changes in the middle if failover is set. If busy is set, another workspace occupies all slots and has
// requests waiting.
func quotaLoad(limit QuotaLimit, failover, busy bool) (largest, granted float64) {
	type pass struct {
		at     time.Duration
		charge float64
	}
	var passed []pass
	requests := 0
	newCore := func() *Core {
		c := New()
		c.SetEngines([]Engine{testEngine("e", 4)})
		c.SetQuotas(0, []QuotaLimit{limit})
		return c
	}
	c := newCore()
	const interval, charge = 50 * time.Millisecond, 100
	for now := time.Duration(0); now < 40*time.Second; now += interval {
		if failover && now == 20*time.Second {
			c = newCore()
		}
		if busy && now == 0 {
			for i := range 8 {
				other := testRequest(fmt.Sprint("busy", i))
				other.FirstEventDue, other.FirstEventDeadline, other.Deadline = time.Minute, time.Minute, time.Minute
				c.Enqueue(now, other)
			}
			c.Decide(now)
		}
		r := testRequestAt(now)
		r.Workspace, r.Charge = limit.Workspace, charge
		r.FirstEventDeadline, r.Deadline = now+time.Minute, now+time.Minute
		requests++
		c.Enqueue(now, r)
		if waits, runs := c.Lookup(r.ID); waits || runs != nil {
			passed = append(passed, pass{now, r.Charge})
		}
		grants, _ := c.Decide(now)
		for _, g := range grants {
			if !busy {
				c.End(now, g.Request, OutcomeCompleted, 1)
			}
		}
	}
	for i := range passed {
		sum := 0.0
		for _, p := range passed[i:] {
			if p.at-passed[i].at < limit.Window {
				sum += p.charge
			}
		}
		largest = max(largest, sum)
	}
	return largest, float64(len(passed)) / float64(requests)
}

// TestSlackIsBounded guards against a slack that exceeds its limit in some window, also when the allocator
// changes, and against one that takes slots from other workspaces. It plays a workspace that asks for twice its
// quota and checks what callers get: with idle slots the slack must serve more of them.
func TestSlackIsBounded(t *testing.T) {
	is := is.New(t)
	limit := QuotaLimit{Workspace: "w", Rate: 1000, Burst: 1000, Window: 8 * time.Second}
	quota := limit.Rate*limit.Window.Seconds() + limit.Burst
	_, without := quotaLoad(limit, false, false)
	limit.Slack = 2000
	largest, with := quotaLoad(limit, false, false)
	t.Logf("granted without slack %.3f, with slack %.3f; largest window %.0f of %.0f", without, with, largest, quota+limit.Slack)
	is.True(largest <= quota+limit.Slack)
	is.True(with > without+0.05)
	largest, _ = quotaLoad(limit, true, false)
	t.Logf("largest window with a change of allocator: %.0f", largest)
	is.True(largest <= quota+limit.Burst/2+limit.Slack*3/2)
	largest, _ = quotaLoad(limit, false, true)
	is.True(largest <= quota)
}
