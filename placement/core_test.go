package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func testEngine(id string, slots int) Engine {
	return Engine{ID: id, Service: "s", Address: "10.0.0.1:1", DataCentre: "a", Slots: slots}
}

// testRequestAt returns a request that arrives at the given time and has the time as its ID.
func testRequestAt(now time.Duration) Request {
	r := testRequest(fmt.Sprint(now))
	r.ArrivedAt, r.FirstEventDue, r.FirstEventDeadline, r.Deadline = now, now+time.Second, now+3*time.Second, now+10*time.Second
	return r
}

func testRequest(id string) Request {
	return Request{
		ID: RequestID(id), Owner: "edge", DataCentre: "a", Service: "s",
		PromptTokens: 100, ExpectedOutputTokens: 10, MaxOutputTokens: 100,
		FirstEventDue: time.Second, FirstEventDeadline: 3 * time.Second, Deadline: 10 * time.Second,
	}
}

// TestGrantsRespectSlots guards against engines that are given more requests than they have slots,
// requests that are granted twice, and lost requests: each request must end with a grant, a rejection or a
// withdrawal.
func TestGrantsRespectSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New()
		slots := rapid.IntRange(1, 4).Draw(t, "places")
		c.SetEngines([]Engine{testEngine("e1", slots), testEngine("e2", slots)})
		running := map[RequestID]string{}
		waiting := map[RequestID]bool{}
		now := time.Duration(0)
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				r := testRequest(fmt.Sprint(step))
				r.FirstEventDue, r.FirstEventDeadline, r.Deadline = now+time.Second, now+3*time.Second, now+10*time.Second
				c.Enqueue(now, r)
				waiting[r.ID] = true
			case 2:
				for id := range running {
					outcome := Outcome(rapid.IntRange(int(OutcomeCompleted), int(OutcomeUnused)).Draw(t, "outcome"))
					c.End(now, id, outcome, 10)
					delete(running, id)
					break
				}
			case 3:
				for id := range waiting {
					c.Withdraw(id)
					delete(waiting, id)
					break
				}
			}
			grants, rejections := c.Decide(now)
			load := map[string]int{}
			for _, g := range grants {
				if !waiting[g.Request] {
					t.Fatalf("request %s was granted but is not waiting", g.Request)
				}
				delete(waiting, g.Request)
				running[g.Request] = g.Engine.ID
			}
			for _, r := range rejections {
				if !waiting[r.Request] {
					t.Fatalf("request %s was rejected but is not waiting", r.Request)
				}
				delete(waiting, r.Request)
			}
			for _, engine := range running {
				load[engine]++
				if load[engine] > slots {
					t.Fatalf("engine %s has %d running requests, %d slots", engine, load[engine], slots)
				}
			}
			if c.Waiting() != len(waiting) {
				t.Fatalf("%d requests are waiting, want %d", c.Waiting(), len(waiting))
			}
		}
	})
}

// TestQuotaHoldsInEveryWindow guards against a quota that admits more than its rate and burst in some
// window while far more is requested.
func TestQuotaHoldsInEveryWindow(t *testing.T) {
	is := is.New(t)
	const window = 8 * time.Second
	c := New()
	c.SetEngines([]Engine{testEngine("e", 4)})
	c.SetQuotas(0, []QuotaLimit{{Workspace: "w", Rate: 1000, Burst: 2000, Window: window}})
	type pass struct {
		at     time.Duration
		charge float64
	}
	var passed []pass
	for now := time.Duration(0); now < 40*time.Second; now += 5 * time.Millisecond {
		r := testRequest(fmt.Sprint(now))
		r.Workspace, r.Charge = "w", 100
		r.FirstEventDue, r.FirstEventDeadline, r.Deadline = now+time.Second, now+3*time.Second, now+10*time.Second
		c.Enqueue(now, r)
		grants, _ := c.Decide(now)
		for _, g := range grants {
			passed = append(passed, pass{now, r.Charge})
			c.End(now, g.Request, OutcomeCompleted, 1)
		}
	}
	for i := range passed {
		sum := 0.0
		for _, p := range passed[i:] {
			if p.at-passed[i].at < window {
				sum += p.charge
			}
		}
		is.True(sum <= 1000*window.Seconds()+2000)
	}
	is.True(float64(len(passed))*100 >= 0.95*1000*40) // nearly the complete quota is used
}

// TestQuotaSharesAddUp guards against a quota that is spent twice by cores that cannot communicate.
func TestQuotaSharesAddUp(t *testing.T) {
	is := is.New(t)
	total := 0.0
	for _, share := range []float64{0.25, 0.75} {
		c := New()
		c.SetEngines([]Engine{testEngine("e", 4)})
		c.SetQuotaShare(0, share)
		c.SetQuotas(0, []QuotaLimit{{Workspace: "w", Rate: 1000, Burst: 1000, Window: 8 * time.Second}})
		for now := time.Duration(0); now < 8*time.Second; now += 5 * time.Millisecond {
			r := testRequest(fmt.Sprint(now))
			r.Workspace, r.Charge = "w", 50
			r.FirstEventDeadline, r.Deadline = now+3*time.Second, now+10*time.Second
			c.Enqueue(now, r)
			grants, _ := c.Decide(now)
			for _, g := range grants {
				total += 50
				c.End(now, g.Request, OutcomeCompleted, 1)
			}
		}
	}
	is.True(total <= 9000)
}

// TestFailuresSuspendFewEngines guards against the suspension of all engines because of failures with a
// cause elsewhere (trouble-1 on riga: responses were lost between all engines and the instances).
func TestFailuresSuspendFewEngines(t *testing.T) {
	is := is.New(t)
	c := New()
	var list []Engine
	for i := range 8 {
		list = append(list, testEngine(fmt.Sprint("e", i), 1))
	}
	c.SetEngines(list)
	now := time.Duration(0)
	for i := range 400 {
		now += 10 * time.Millisecond
		r := testRequest(fmt.Sprint(i))
		r.FirstEventDue, r.FirstEventDeadline, r.Deadline = now+time.Second, now+3*time.Second, now+10*time.Second
		c.Enqueue(now, r)
		grants, _ := c.Decide(now)
		for _, g := range grants {
			c.End(now, g.Request, OutcomeFailed, 0)
		}
	}
	suspended := 0
	for _, e := range c.engines {
		if now < e.suspendedUntil || e.probation {
			suspended++
		}
	}
	is.True(suspended > 0)
	is.True(suspended <= 2)
	// The other engines get requests again soon, and at most half of the engines are throttled or suspended.
	soon, throttled := 0, 0
	for _, e := range c.engines {
		if max(e.suspendedUntil, e.pausedUntil) <= now+throttlePause {
			soon++
		}
		if e.throttled {
			throttled++
		}
	}
	is.True(soon >= 6)
	is.True(throttled+suspended <= 4)
}

// TestUnresponsiveEngineGetsNoRequests guards against granting one request after the other to an engine
// that accepts requests without responding.
func TestUnresponsiveEngineGetsNoRequests(t *testing.T) {
	is := is.New(t)
	c := New()
	c.SetEngines([]Engine{testEngine("e", 10)})
	c.Enqueue(time.Second, testRequest("1"))
	grants, _ := c.Decide(time.Second)
	is.Equal(len(grants), 1)
	late := testRequest("2")
	late.FirstEventDeadline = 20 * time.Second
	late.Deadline = 20 * time.Second
	c.Enqueue(3*time.Second, late)
	grants, _ = c.Decide(3 * time.Second)
	is.Equal(len(grants), 0)
	c.FirstEvent(4*time.Second, "1") // the engine responds
	grants, _ = c.Decide(4 * time.Second)
	is.Equal(len(grants), 1)
}

// TestEngineGetsOneRequestAfterSuspension guards against granting all slots of a crashed engine as soon as
// its suspension ends.
func TestEngineGetsOneRequestAfterSuspension(t *testing.T) {
	is := is.New(t)
	c := New()
	c.SetEngines([]Engine{testEngine("e", 10)})
	c.Enqueue(time.Second, testRequest("1"))
	c.Decide(time.Second)
	c.End(time.Second, "1", OutcomeUnreachable, 0)
	now := 2500 * time.Millisecond
	for i := range 3 {
		r := testRequest(fmt.Sprint("later", i))
		r.FirstEventDeadline, r.Deadline = now+3*time.Second, now+10*time.Second
		c.Enqueue(now, r)
	}
	grants, _ := c.Decide(now)
	is.Equal(len(grants), 1)
	c.End(now, grants[0].Request, OutcomeCompleted, 1)
	grants, _ = c.Decide(now)
	is.Equal(len(grants), 2)
}

// TestLeavingIsFinal guards against new requests for an engine that was listed as leaving, even if an
// outdated list shows it as ready again.
func TestLeavingIsFinal(t *testing.T) {
	is := is.New(t)
	c := New()
	leaving := testEngine("e", 1)
	leaving.Leaving = true
	c.SetEngines([]Engine{leaving})
	c.SetEngines([]Engine{testEngine("e", 1)})
	c.Enqueue(0, testRequest("1"))
	grants, _ := c.Decide(0)
	is.Equal(len(grants), 0)
}

// TestScopeLimitsEngines guards against an allocator that does not lead and grants slots of other data
// centres, where another allocator may grant slots as well.
func TestScopeLimitsEngines(t *testing.T) {
	is := is.New(t)
	c := New()
	far := testEngine("far", 1)
	far.DataCentre = "b"
	c.SetEngines([]Engine{far})
	c.SetScope("a")
	request := testRequest("1")
	request.FirstEventDeadline = 10 * time.Second
	c.Enqueue(0, request)
	grants, _ := c.Decide(0)
	is.Equal(len(grants), 0)
	c.SetScope("")
	grants, _ = c.Decide(0)
	is.Equal(len(grants), 1)
}

// TestBalancer guards against selecting engines of a plain service without regard to their load, data
// centre or failures.
func TestBalancer(t *testing.T) {
	is := is.New(t)
	b := NewBalancer("a", NewNotices())
	near, far := testEngine("near", 4), testEngine("far", 4)
	far.DataCentre = "b"
	b.SetEngines([]Engine{near, far})
	pick := func(now time.Duration, excluded ...string) string {
		e, ok := b.Pick(now, "s", excluded)
		if !ok {
			return ""
		}
		return e.ID
	}
	is.Equal(pick(0), "near")
	b.ReportLoad(0, "near", 4, 1)
	is.Equal(pick(0), "far") // the near engine is full
	is.Equal(pick(0, "near", "far"), "")
	b.Done(0, "near", OutcomeUnreachable)
	b.Done(0, "far", OutcomeCompleted)
	is.Equal(pick(500*time.Millisecond), "far") // the near engine is suspended
	b.Done(500*time.Millisecond, "far", OutcomeUnreachable)
	is.Equal(pick(600*time.Millisecond), "near") // both are suspended, which is better than no engine
	b.Done(600*time.Millisecond, "near", OutcomeCompleted)
	is.Equal(pick(10*time.Second), "near")
}

// TestWaitingRequestsAreRejectedEarlyAfterEngineLoss guards against requests that wait until their callers
// disconnect although the engines that were to serve them are gone.
func TestWaitingRequestsAreRejectedEarlyAfterEngineLoss(t *testing.T) {
	is := is.New(t)
	c := New()
	list := []Engine{testEngine("a", 4), testEngine("b", 4), testEngine("c", 4), testEngine("d", 4)}
	c.SetEngines(list)
	now := time.Duration(0)
	for i := range 24 {
		r := testRequest(fmt.Sprint("r", i))
		r.ExpectedOutputTokens, r.FirstEventDue, r.FirstEventDeadline, r.Deadline = 300, time.Second, 3*time.Second, 10*time.Second
		c.Enqueue(now, r)
		c.Decide(now)
	}
	waiting := c.Waiting()
	is.True(waiting >= 4)
	short := testRequest("short")
	short.ExpectedOutputTokens = 5
	c.Enqueue(now, short)
	c.SetEngines(list[:1])
	rejected := 0
	for ; now < time.Second; now += 20 * time.Millisecond {
		_, rejections := c.Decide(now)
		rejected += len(rejections)
	}
	is.True(rejected > waiting/2)
	waits, _ := c.Lookup("short")
	is.True(waits) // it is ahead of the others
}

// TestFailingEngineIsThrottledWhileOthersAreSuspended guards against an engine that fails immediately and
// thereby attracts one request after the other, while it cannot be suspended because too many engines
// already are.
func TestFailingEngineIsThrottledWhileOthersAreSuspended(t *testing.T) {
	is := is.New(t)
	c := New()
	c.SetEngines([]Engine{testEngine("a", 4), testEngine("b", 4), testEngine("c", 4), testEngine("d", 4)})
	failed := map[string]int{}
	for now := time.Duration(0); now < 2*time.Second; now += 5 * time.Millisecond {
		c.Enqueue(now, testRequestAt(now))
		grants, _ := c.Decide(now)
		for _, g := range grants {
			if g.Engine.ID < "c" { // c and d are busy for the rest of the test
				failed[g.Engine.ID]++
				c.End(now, g.Request, OutcomeFailed, 0)
			}
		}
	}
	is.True(failed["a"] <= 20)
	is.True(failed["b"] <= 20)
	healths := map[string]Health{}
	for _, change := range c.HealthChanges() {
		healths[change.Engine] = change.Health
		is.Equal(change.Outcome, OutcomeFailed)
	}
	is.Equal(healths, map[string]Health{"a": HealthSuspended, "b": HealthThrottled}) // each change is reported
	is.Equal(len(c.HealthChanges()), 0)
}

// TestFailingEnginesAreTriedAgain guards against engines that all fail for a cause elsewhere and then get
// no further requests.
func TestFailingEnginesAreTriedAgain(t *testing.T) {
	is := is.New(t)
	c := New()
	c.SetEngines([]Engine{testEngine("a", 4), testEngine("b", 4), testEngine("c", 4), testEngine("d", 4)})
	completed := 0
	for now := time.Duration(0); now < 6*time.Second; now += 20 * time.Millisecond {
		c.Enqueue(now, testRequestAt(now))
		grants, _ := c.Decide(now)
		for _, g := range grants {
			if now < 3*time.Second {
				c.End(now, g.Request, OutcomeFailed, 0)
				continue
			}
			completed++
			c.End(now, g.Request, OutcomeCompleted, 10)
		}
	}
	is.True(completed >= 120) // of about 150 that arrived after the cause was gone
}

// TestPartlyDeliveredResponseGoesFirst guards against a partly delivered response that breaks off because
// its continuation is rejected for overload or quota, or is scheduled after new requests.
func TestPartlyDeliveredResponseGoesFirst(t *testing.T) {
	is := is.New(t)
	c := New()
	c.SetEngines([]Engine{testEngine("e", 1)})
	c.SetQuotas(0, []QuotaLimit{{Workspace: "w", Rate: 1, Burst: 100, Window: 8 * time.Second}})
	c.Charge(0, "w", 1000) // uses up the quota
	for i := range 40 {
		r := testRequest(fmt.Sprint("new", i))
		r.ExpectedOutputTokens = 20
		c.Enqueue(0, r)
	}
	grants, _ := c.Decide(0)
	is.Equal(len(grants), 1)
	partial := testRequest("begun")
	partial.Workspace, partial.PartlyDelivered, partial.ExpectedOutputTokens, partial.PromptTokens = "w", true, 3000, 20000
	partial.FirstEventDue = -time.Second // already past
	c.Enqueue(0, partial)
	_, rejections := c.Decide(0)
	for _, r := range rejections {
		is.True(r.Request != "begun")
	}
	for now := 50 * time.Millisecond; now < time.Second; now += 50 * time.Millisecond {
		_, rejections = c.Decide(now) // the partly delivered request stays while others are rejected
		for _, r := range rejections {
			is.True(r.Request != "begun")
		}
	}
	short := testRequest("short")
	short.ArrivedAt, short.FirstEventDue, short.FirstEventDeadline, short.Deadline = time.Second, 2*time.Second, 4*time.Second, 11*time.Second
	c.Enqueue(time.Second, short)
	c.End(time.Second, grants[0].Request, OutcomeCompleted, 10)
	grants, _ = c.Decide(time.Second)
	is.Equal(len(grants), 1)
	is.Equal(grants[0].Request, RequestID("begun"))
}

// TestStepTimeAfterChangeOfAllocator guards against step times that come out too low because a run was reported to
// a new allocator in the middle of its output: the output of the whole run was divided by the time since the
// report.
func TestStepTimeAfterChangeOfAllocator(t *testing.T) {
	is := is.New(t)
	stepTime := func(reported bool) float64 {
		c := New()
		c.SetEngines([]Engine{testEngine("e", 4)})
		for i := range 20 {
			at := time.Duration(i) * 10 * time.Second
			r := testRequest(fmt.Sprint(i))
			if !reported {
				c.AddRunning(r, "e", at, 0)
				c.FirstEvent(at+100*time.Millisecond, r.ID)
			} else {
				c.AddRunning(r, "e", at, at+100*time.Millisecond)
			}
			c.End(at+2100*time.Millisecond, r.ID, OutcomeCompleted, 400)
		}
		return c.latency.stepMS
	}
	is.Equal(stepTime(false), stepTime(true))
}

// TestCapacityCountsAllSlots guards against a capacity that is computed from the slots of one engine while the
// engines of the service differ.
func TestCapacityCountsAllSlots(t *testing.T) {
	is := is.New(t)
	for _, slots := range [][]int{{2, 30}, {30, 2}} {
		c := New()
		c.SetEngines([]Engine{testEngine("a", slots[0]), testEngine("b", slots[1])})
		is.Equal(c.slotCapacity(0, c.service("s")), 32.0)
		is.Equal(c.service("s").slots(), 16)
	}
}
