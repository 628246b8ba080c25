package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// permittedInWindow is the users' bound on the requests that reach an engine in rateWindow, in requests.
func permittedInWindow(perSecond float64) float64 { return 1.5*perSecond*rateWindow.Seconds() + 5 }

const rateWindow = 4 * time.Second

// mostWithin returns the largest number of times within rateWindow.
func mostWithin(times []time.Duration) int {
	most, first := 0, 0
	for i := range times {
		for times[i]-times[first] >= rateWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// limitedService plays a service whose only engine states a rate limit, in virtual time: requests of a model service
// arrive every 20 ms, and three instances can always use permits.
type limitedService struct {
	cores []*Core // each with an equal share of the limit
}

func newLimitedService(now time.Duration, cores int, perSecond float64) *limitedService {
	s := &limitedService{}
	for range cores {
		c := New()
		c.SetEngines([]Engine{testEngine("e", 8), {ID: "plain", Service: "p", DataCentre: "a", Slots: 8}})
		c.SetQuotaShare(now, 1/float64(cores))
		c.SetRateLimits(now, []RateLimit{{Engine: "e", PerSecond: perSecond}, {Engine: "plain", PerSecond: perSecond}})
		c.RestartRateLimits(now)
		s.cores = append(s.cores, c)
	}
	return s
}

// grants returns how many requests the cores let go to the engine of the model service now.
func (s *limitedService) grants(now time.Duration) int {
	count := 0
	for i, c := range s.cores {
		r := testRequestAt(now)
		r.ID = RequestID(fmt.Sprint(i, "-", now))
		c.Enqueue(now, r)
		grants, _ := c.Decide(now)
		for _, g := range grants {
			c.End(now, g.Request, OutcomeCompleted, 1)
		}
		count += len(grants)
	}
	return count
}

// permits returns how many permits the cores grant for the engine of the plain service now.
func (s *limitedService) permits(now time.Duration) int {
	count := 0
	for _, c := range s.cores {
		for owner := range 3 {
			c.SetPermitDemand(fmt.Sprint(owner), "a", []PermitDemand{{Service: "p", Waiting: 3}})
		}
		count += len(c.GrantPermits(now))
	}
	return count
}

// TestRateLimitHoldsOverChangesOfAllocator guards against cores that together send more than an engine takes, each
// with a full budget of its own, and against much less than the limit.
func TestRateLimitHoldsOverChangesOfAllocator(t *testing.T) {
	for _, perSecond := range []float64{0.5, 2.8, 4.4, 30} {
		for _, cores := range []int{1, 3} {
			for _, change := range []time.Duration{time.Hour, 5 * time.Second, time.Second} {
				for _, kind := range []string{"grants", "permits"} {
					t.Run(fmt.Sprint(perSecond, cores, change, kind), func(t *testing.T) {
						const end = 30 * time.Second
						var sent []time.Duration
						s := newLimitedService(0, cores, perSecond)
						for now := time.Duration(0); now < end; now += 20 * time.Millisecond {
							if now > 0 && now%change == 0 {
								s = newLimitedService(now, cores, perSecond)
							}
							count := s.permits(now)
							if kind == "grants" {
								count = s.grants(now)
							}
							for range count {
								sent = append(sent, now)
							}
						}
						if most := mostWithin(sent); float64(most) > permittedInWindow(perSecond) {
							t.Errorf("%d requests in %v, %.1f are permitted", most, rateWindow, permittedInWindow(perSecond))
						}
						// A core that is replaced before it may send a whole request sends none.
						if change == time.Hour && float64(len(sent)) < perSecond*end.Seconds()*0.8 {
							t.Errorf("%d requests in %v, the engine takes %.0f", len(sent), end, perSecond*end.Seconds())
						}
					})
				}
			}
		}
	}
}

// TestOverloadOfLimitedEnginesIsRejectedEarly guards against requests that wait for engines whose rate limits cannot
// serve them before their callers leave, instead of being told when to come back.
func TestOverloadOfLimitedEnginesIsRejectedEarly(t *testing.T) {
	is := is.New(t)
	c := New()
	c.SetEngines([]Engine{testEngine("e1", 8), testEngine("e2", 8)})
	c.SetRateLimits(0, []RateLimit{{Engine: "e1", PerSecond: 2}, {Engine: "e2", PerSecond: 2}})
	const interval = 20 * time.Millisecond
	served, onTime, rejected, held := 0, 0, 0, time.Duration(0)
	for now := time.Duration(0); now < 20*time.Second; now += interval {
		c.Enqueue(now, testRequestAt(now))
		grants, rejections := c.Decide(now)
		for _, g := range grants {
			arrived := c.requests[g.Request].ArrivedAt
			served++
			if now-arrived <= time.Second {
				onTime++
			}
			c.End(now, g.Request, OutcomeCompleted, 10)
		}
		for _, r := range rejections {
			is.True(r.RetryAfter > 0)
			rejected++
			arrived, err := time.ParseDuration(string(r.Request))
			is.NoErr(err)
			held = max(held, now-arrived)
		}
	}
	is.True(served >= 4*20*8/10)   // what the engines take is used
	is.True(onTime >= served*9/10) // and not by requests that have waited too long
	is.True(rejected > 0)
	is.True(held <= 3*time.Second) // before the callers leave
}

// TestUnusedGrantReturnsToRateLimit guards against a limited engine that is not used because grants came back unsent.
func TestUnusedGrantReturnsToRateLimit(t *testing.T) {
	is := is.New(t)
	c := New()
	c.SetEngines([]Engine{testEngine("e", 8)})
	c.SetRateLimits(0, []RateLimit{{Engine: "e", PerSecond: 1}})
	now := 2 * time.Second
	c.Enqueue(now, testRequestAt(now))
	grants, _ := c.Decide(now)
	is.Equal(len(grants), 1)
	c.End(now, grants[0].Request, OutcomeUnused, 0)
	now += time.Millisecond
	c.Enqueue(now, testRequestAt(now))
	grants, _ = c.Decide(now)
	is.Equal(len(grants), 1)
	now += time.Millisecond
	c.Enqueue(now, testRequestAt(now))
	grants, _ = c.Decide(now)
	is.Equal(len(grants), 0)
}

// TestRateLimitStatementsConverge guards against instances that disagree about a rate limit for good because the
// statements of others reached them in another order.
func TestRateLimitStatementsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		statements := make([]RateLimit, rapid.IntRange(1, 6).Draw(t, "statements"))
		for i := range statements {
			statements[i] = RateLimit{
				Engine: "e", PerSecond: float64(i), Lifted: i > 0 && rapid.Bool().Draw(t, "lifted"), At: time.Duration(i + 1),
			}
		}
		newest := statements[len(statements)-1]
		n := NewNotices()
		for _, statement := range rapid.Permutation(statements).Draw(t, "order") {
			n.RecordRateLimit(statement)
		}
		for _, statement := range statements {
			n.RecordRateLimit(statement)
		}
		perSecond, limited := n.RateLimit("e")
		if limited == newest.Lifted || limited && perSecond != newest.PerSecond {
			t.Fatalf("limit %v, %v after %+v", perSecond, limited, statements)
		}
	})
}

// TestLateResponseDoesNotLiftRateLimit guards against a limit that ends because of a response that was on its way
// before, and against one that lasts after its engine has stopped stating it.
func TestLateResponseDoesNotLiftRateLimit(t *testing.T) {
	is := is.New(t)
	n := NewNotices()
	_, report := n.ObserveRateLimit(1*time.Second, 0, "e", 0, false)
	is.True(!report) // most engines state none
	_, report = n.ObserveRateLimit(2*time.Second, 1*time.Second, "e", 2.5, true)
	is.True(report)
	_, report = n.ObserveRateLimit(2100*time.Millisecond, 1*time.Second, "e", 2.5, true)
	is.True(!report) // nothing new
	_, report = n.ObserveRateLimit(3*time.Second, 1900*time.Millisecond, "e", 0, false)
	is.True(!report)
	_, limited := n.RateLimit("e")
	is.True(limited)
	limit, report := n.ObserveRateLimit(4*time.Second, 3500*time.Millisecond, "e", 0, false)
	is.True(report && limit.Lifted)
	_, limited = n.RateLimit("e")
	is.True(!limited)
	n.RecordRateLimit(RateLimit{Engine: "e", PerSecond: 3, At: 5 * time.Second})
	n.Apply(5*time.Second+2*noticeRetention, nil) // the engine is not listed any more
	is.Equal(len(n.RateLimits()), 0)
}
