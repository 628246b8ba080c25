package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that return being taken for new ones, and new ones for those that return when
// the time that callers allow changes.
func TestReturningCallers(t *testing.T) {
	is := is.New(t)
	k := &kind{}
	is.True(!k.returning(10 * time.Second))
	is.True(!k.returning(8600 * time.Millisecond)) // within the spread of first attempts
	is.True(k.returning(6500 * time.Millisecond))
	for range 5000 {
		k.returning(4 * time.Second)
	}
	is.True(!k.returning(4 * time.Second)) // callers allow less by now
	is.True(!k.returning(12 * time.Second))
	is.True(k.returning(9 * time.Second))
}

// Guards against a free place that goes to a caller whose answer will be late in any case, while one
// that can still be answered in time waits.
func TestNewCallerGoesBeforeOneThatReturns(t *testing.T) {
	is := is.New(t)
	c := New()
	c.SetEngines([]Engine{testEngine("e", 1)})
	arrive := func(id string, now, left time.Duration) {
		r := testRequest(id)
		r.ArrivedAt, r.FirstEventDue, r.FirstEventDeadline, r.Deadline, r.CallerTimeout = now, now+time.Second, now+3*time.Second, now+left, left
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

// Guards against new callers being taken for returning ones when a route shares its tier with one whose
// callers wait longer, or when the time-out of their route becomes shorter.
func TestReturningIsToldByRouteAndStatedTime(t *testing.T) {
	is := is.New(t)
	c := New()
	c.SetEngines([]Engine{testEngine("e", 4)})
	arrive := func(id, route string, allowed, deadline time.Duration) bool {
		r := testRequest(id)
		r.Route, r.CallerTimeout, r.Deadline = route, allowed, deadline
		c.Enqueue(0, r)
		return c.requests[r.ID].returning
	}
	is.True(!arrive("a", "long", 12*time.Second, 12*time.Second))
	is.True(!arrive("b", "short", 4*time.Second, 4*time.Second))
	is.True(!arrive("c", "long", 11*time.Second, 5*time.Second)) // new time-out of the route
	is.True(arrive("d", "long", 8*time.Second, 5*time.Second))
	is.True(!arrive("e", "long", 0, 5*time.Second)) // the caller does not say
}
