package edge

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/primrosebeam/primrosebeam/platform"
	"github.com/primrosebeam/primrosebeam/routing"
)

// exchange is one request of a caller on its way through this instance.
type exchange struct {
	edge         *Edge
	writer       http.ResponseWriter
	request      *http.Request
	id           string // the caller's name of this attempt
	table        *routing.Table
	route        *routing.Route
	service      *routing.Service
	workspace    *routing.Workspace // nil on an anonymous route
	tier         int
	moveReserved atomic.Bool   // a repeated send was taken from the budget
	allowed      time.Duration // stated by the caller, 0 when it does not say
	body         []byte
	tokens       platform.Tokens
	hasTokens    bool

	arrived   time.Duration // by clock()
	objective time.Duration
	deadline  time.Duration // the caller's and the route's, whichever is earlier

	lease    time.Duration // that was left when the key was checked
	sends    int           // engines that the request may have reached or that refused it
	excluded []string
	engine   string
	decision placed // the newest one about a place
	queued   time.Duration
	first    time.Duration // to the first event or the whole answer
	events   int           // passed on to the caller
	last     int           // number of the last of them, 0 while there is none
	resends  int           // engines beyond the first one that the request was given to
	header   bool          // an answer has begun
	status   int           // of the answer that has begun
	cause    string        // why the newest send failed
}

// ServeHTTP serves a caller's request.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{edge: e, writer: w, request: r, id: r.Header.Get(platform.HeaderAttempt), arrived: clock()}
	// A request with both a length and chunks, or of an old version with chunks, is read by its first
	// reading only; what follows on its connection is not looked at.
	if len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1) || e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if status, reason := x.admit(); status != 0 {
		x.refuse(status, reason, x.retryAfter(status))
		return
	}
	x.run()
}

// Retry times for requests that are refused before anything is known of the load.
const (
	notReadyRetry = 500 * time.Millisecond
	quotaRetry    = time.Second
)

func (x *exchange) retryAfter(status int) time.Duration {
	switch status {
	case http.StatusServiceUnavailable:
		return notReadyRetry
	case http.StatusTooManyRequests:
		return quotaRetry
	}
	return 0
}

// admit decides whether the request may run at all, and reads it whole. It returns a status for one
// that may not.
func (x *exchange) admit() (status int, reason reason) {
	x.table = x.edge.member.table.Load()
	if x.table == nil {
		return http.StatusServiceUnavailable, reasonNoConfiguration
	}
	x.route = x.table.Match(x.request.Host, x.request.URL.Path)
	if x.route == nil {
		return x.unlessStale(http.StatusNotFound, reasonNoRoute)
	}
	x.tier = x.route.Tier
	if x.table.Authenticates() && !x.route.Anonymous {
		if status, reason := x.authenticate(); status != 0 {
			return status, reason
		}
	}
	x.service = x.table.Service(x.route.Pick(rand.Float64()))
	if status, reason := x.read(); status != 0 {
		return status, reason
	}
	x.setTimes()
	x.edge.budget.earn(clock(), x.service.Name)
	x.tokens, x.hasTokens = platform.ParseTokens(x.request.Header)
	return 0, ""
}

// authenticate finds the workspace of the key. A key is honoured only under a lease.
func (x *exchange) authenticate() (status int, reason reason) {
	x.lease = x.edge.member.leaseLeft()
	if x.lease <= 0 {
		return http.StatusServiceUnavailable, reasonNoLease
	}
	x.workspace = x.table.Workspace(x.request.Header.Get(platform.HeaderKey))
	if x.workspace == nil {
		return x.unlessStale(http.StatusUnauthorized, reasonUnknownKey)
	}
	x.tier = x.workspace.Tier*tierSpan + x.route.Tier
	return 0, ""
}

// tierSpan is larger than any tier of a route, so that the workspace's tier goes first.
const tierSpan = 16

// staleAfter is how old the confirmation of the configuration may be for a definite "not found" or
// "unknown key": a newer configuration may allow the request. Confirmations come every 400 ms.
const staleAfter = 1500 * time.Millisecond

// unlessStale answers "not available" in place of a definite refusal while the configuration in force
// here may not be the newest.
func (x *exchange) unlessStale(status int, why reason) (int, reason) {
	if x.edge.member.revokeIn-leaseMargin-x.edge.member.leaseLeft() > staleAfter {
		return http.StatusServiceUnavailable, reasonNoLease
	}
	return status, why
}

func (x *exchange) read() (status int, reason reason) {
	limit := x.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.request.ContentLength > limit {
		return http.StatusRequestEntityTooLarge, reasonTooLarge
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.writer, x.request.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, reasonTooLarge
	case err != nil:
		return http.StatusBadRequest, reasonUnread
	}
	x.body = body
	return 0, ""
}

// defaultBodyBytes is used while the configuration states no limit.
const defaultBodyBytes = 4 << 20

func (x *exchange) setTimes() {
	patience := x.route.Timeout
	if stated, ok := platform.ParseDeadline(x.request.Header); ok {
		patience = min(patience, stated)
		x.allowed = stated
	}
	x.deadline = x.arrived + patience
	x.objective = x.arrived + x.route.Objective
}

// left returns the time until the deadline.
func (x *exchange) left() time.Duration { return x.deadline - clock() }
