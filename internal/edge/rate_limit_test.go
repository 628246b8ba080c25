package edge

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/platform"
	"github.com/primrosebeam/primrosebeam/routing"
)

// TestResponsesThatChangeRateLimits guards against a rate limit that ends with a response which does not show that, and
// against a limit that another engine at the same address states.
func TestResponsesThatChangeRateLimits(t *testing.T) {
	const signed, attempt, engineID, limit = platform.HeaderSignature, platform.HeaderAttempt, platform.HeaderEngine, platform.HeaderRateLimit
	for _, test := range []struct {
		name    string
		header  map[string]string
		limited bool
		limit   float64
	}{
		{"none, signed", map[string]string{signed: "s", attempt: "attempt"}, false, 0},
		{"none, unsigned", map[string]string{attempt: "attempt"}, true, 2},
		{"none, to another request", map[string]string{signed: "s", attempt: "other"}, true, 2},
		{"none, of another engine", map[string]string{signed: "s", attempt: "attempt", engineID: "other"}, true, 2},
		{"malformed", map[string]string{signed: "s", attempt: "attempt", limit: "few"}, true, 2},
		{"another figure", map[string]string{signed: "s", attempt: "attempt", limit: "3.5"}, true, 3.5},
		{"another figure in a refusal", map[string]string{limit: "3.5", platform.HeaderNotExecuted: "1"}, true, 3.5},
		{"another figure of another engine", map[string]string{limit: "3.5", engineID: "other"}, true, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e := newTestEdge(t, nil)
			e.notices.RecordRateLimit(placement.RateLimit{Engine: "e", PerSecond: 2, At: clock()})
			x := newTestExchange(e, routing.KindIdempotent, httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "http://host/", nil))
			x.sentAt = clock() + time.Millisecond
			response := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
			for name, value := range test.header {
				response.Header.Set(name, value)
			}
			x.recordNotices(response, placement.Engine{ID: "e"})
			perSecond, limited := e.notices.RateLimit("e")
			is.Equal(limited, test.limited)
			is.Equal(perSecond, test.limit)
		})
	}
}
