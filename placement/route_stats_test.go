package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRetryDetection guards against retries that are classified as new requests, and against the reverse
// after callers have changed their timeout.
func TestRetryDetection(t *testing.T) {
	is := is.New(t)
	stats := &routeStats{}
	is.True(!stats.observeTimeout(10 * time.Second))
	is.True(!stats.observeTimeout(8600 * time.Millisecond)) // within the spread of first attempts
	is.True(stats.observeTimeout(6500 * time.Millisecond))
	for range 5000 {
		stats.observeTimeout(4 * time.Second)
	}
	is.True(!stats.observeTimeout(4 * time.Second)) // callers use shorter timeouts by now
	is.True(!stats.observeTimeout(12 * time.Second))
	is.True(stats.observeTimeout(9 * time.Second))
}

// TestNewRequestGoesBeforeRetry guards against granting a free slot to a retry whose response will be late
// in any case, while a request that can still be served on time waits.
func TestNewRequestGoesBeforeRetry(t *testing.T) {
	is := is.New(t)
	c := New()
	c.SetEngines([]Engine{testEngine("e", 1)})
	arrive := func(id string, now, timeout time.Duration) {
		r := testRequest(id)
		r.ArrivedAt, r.FirstEventDue, r.FirstEventDeadline, r.Deadline, r.CallerTimeout = now, now+time.Second, now+3*time.Second, now+timeout, timeout
		c.Enqueue(now, r)
	}
	arrive("first", 0, 10*time.Second)
	grants, _ := c.Decide(0)
	is.Equal(len(grants), 1)
	arrive("returning", time.Millisecond, 6*time.Second)
	arrive("new", 2*time.Millisecond, 10*time.Second)
	c.End(3*time.Millisecond, "first", OutcomeCompleted, 1)
	grants, _ = c.Decide(3 * time.Millisecond)
	is.Equal(len(grants), 1)
	is.Equal(grants[0].Request, RequestID("new"))
}

// TestRetryDetectionPerRoute guards against new requests that are classified as retries because their
// route shares its tier with one whose callers have longer timeouts, or because the timeout of their route
// was shortened.
func TestRetryDetectionPerRoute(t *testing.T) {
	is := is.New(t)
	c := New()
	c.SetEngines([]Engine{testEngine("e", 4)})
	arrive := func(id, route string, timeout, deadline time.Duration) bool {
		r := testRequest(id)
		r.Route, r.CallerTimeout, r.Deadline = route, timeout, deadline
		c.Enqueue(0, r)
		return c.requests[r.ID].likelyRetry
	}
	is.True(!arrive("a", "long", 12*time.Second, 12*time.Second))
	is.True(!arrive("b", "short", 4*time.Second, 4*time.Second))
	is.True(!arrive("c", "long", 11*time.Second, 5*time.Second)) // shorter timeout of the route
	is.True(arrive("d", "long", 8*time.Second, 5*time.Second))
	is.True(!arrive("e", "long", 0, 5*time.Second)) // no timeout stated
}
