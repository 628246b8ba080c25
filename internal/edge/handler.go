package edge

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/primrosebeam/primrosebeam/bytebudget"
	"github.com/primrosebeam/primrosebeam/internal/intake"
	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/platform"
	"github.com/primrosebeam/primrosebeam/routing"
)

// exchange is a caller's request and the state of its processing in this instance.
type exchange struct {
	edge          *Edge
	writer        http.ResponseWriter
	request       *http.Request
	id            string // ID of this attempt, chosen by the caller
	table         *routing.Table
	route         *routing.Route
	service       *routing.Service
	workspace     *routing.Workspace // nil on an anonymous route
	tier          int
	retryReserved atomic.Bool   // a retry was already taken from the budget
	callerTimeout time.Duration // timeout stated by the caller, 0 if none
	body          []byte
	held          bytebudget.Holding // for the body
	tokens        platform.TokenCounts
	hasTokens     bool
	parts         []placement.PartID // parts of the prompt that others may share, and the fingerprints

	arrived  time.Duration // by clock()
	dueAt    time.Duration // time at which the response, or the first event of a stream, is due
	deadline time.Duration // earlier of the caller's and the route's deadline

	leaseLeft time.Duration // remaining lease when the key was checked
	sends     int           // engines that the request may have reached or that refused it
	excluded  []string      // IDs of the engines that were tried
	engine    string        // ID of the engine of the most recent send
	version   string        // software version of that engine
	// pinnedVersion is the version that began the stream, the only one at which it may continue. Empty before the
	// first event.
	pinnedVersion string
	takesUp       bool          // the request takes up a stream after an event that the caller has received
	sentAt        time.Duration // time of the most recent send
	decision      slotDecision  // most recent decision about a slot
	queueTime     time.Duration // total time spent waiting for slots
	timeToFirst   time.Duration // from the arrival to the first event or the complete response
	eventsSent    int           // events relayed to the caller
	lastEventAt   time.Duration // time of the last event that was relayed
	longestGap    time.Duration // longest pause between two events
	lastEventID   int           // ID of the last event relayed, 0 while there is none
	retries       int           // engines to which the request was sent after the first one
	headerSent    bool          // the header of the response was sent to the caller
	status        int           // status of the response sent to the caller
	cause         string        // cause of the most recent failed send
	// connectionLost states whether the engine closed or reset the connection of the most recent send.
	connectionLost bool
	losses         int // sends in a row that ended so, without a response
	// Of the most recent send: the header of a response to it has arrived, or the engine refused a connection, also
	// one that replaced a kept connection.
	responseBegun     bool
	connectionRefused bool
	answer            engineAnswer // header of the response to the most recent send, zero without one
}

// engineAnswer is what the header of an engine's response states, for the log.
type engineAnswer struct {
	status      int
	notExecuted bool // it states that the engine did not run the request
	identified  bool // it names the attempt
	reused      bool // its connection has carried other requests before
}

// ServeHTTP serves a caller's request.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{edge: e, writer: w, request: r, id: r.Header.Get(platform.HeaderAttempt), arrived: clock()}
	// The end of a request is ambiguous if it has both a length and a chunked body, or if it is chunked in
	// an old version of HTTP. Closing the connection after it keeps the bytes that follow from being parsed
	// as another request.
	if len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1) || e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	defer x.held.Close()
	if status, reason := x.admit(); status != 0 {
		x.refuse(status, reason, retryAfter(status, reason))
		return
	}
	x.run()
}

// Retry-After times of requests that are refused before the load is known.
const (
	notReadyRetry = 500 * time.Millisecond
	quotaRetry    = time.Second
)

func retryAfter(status int, why reason) time.Duration {
	switch {
	case why == reasonStopping:
		return 0 // another instance can serve the request at once
	case why == reasonNoRoom:
		return intake.RetryAfter
	case status == http.StatusServiceUnavailable:
		return notReadyRetry
	case status == http.StatusTooManyRequests:
		return quotaRetry
	}
	return 0
}

// admit validates the request and reads its body. It returns a nonzero status if the request must be refused.
func (x *exchange) admit() (status int, reason reason) {
	x.table = x.edge.control.table.Load()
	if x.table == nil {
		return http.StatusServiceUnavailable, reasonNoConfiguration
	}
	x.route = x.table.Match(x.request.Host, x.request.URL.Path)
	if x.route == nil {
		return x.refuseUnlessStale(http.StatusNotFound, reasonNoRoute)
	}
	x.tier = x.route.Tier
	if x.table.Authenticates() && !x.route.Anonymous {
		if status, reason := x.authenticate(); status != 0 {
			return status, reason
		}
	}
	x.service = x.table.Service(x.route.Pick(rand.Float64()))
	if status, reason := x.readBody(); status != 0 {
		return status, reason
	}
	x.setDeadline()
	if status, reason := x.findOrigin(); status != 0 {
		return status, reason
	}
	if x.edge.isCutBefore(x.deadline) {
		return http.StatusServiceUnavailable, reasonStopping
	}
	x.edge.retries.addRequest(clock(), x.service.Name)
	x.tokens, x.hasTokens = platform.ParseTokenCounts(x.request.Header)
	if x.service.Model != nil {
		x.parts = platform.ParsePromptParts(x.request.Header)
	}
	x.parts = append(x.parts, x.fingerprints()...)
	return 0, ""
}

// authenticate finds the workspace of the key. Keys are accepted only while this instance holds a lease on
// the configuration.
func (x *exchange) authenticate() (status int, reason reason) {
	x.leaseLeft = x.edge.control.leaseLeft()
	if x.leaseLeft <= 0 {
		return http.StatusServiceUnavailable, reasonNoLease
	}
	x.workspace = x.table.Workspace(x.request.Header.Get(platform.HeaderAPIKey))
	if x.workspace == nil {
		return x.refuseUnlessStale(http.StatusUnauthorized, reasonUnknownKey)
	}
	x.tier = x.workspace.Tier*routeTierRange + x.route.Tier
	return 0, ""
}

// routeTierRange exceeds every tier of a route, so that the workspace's tier takes precedence over the
// route's.
const routeTierRange = 16

// maxConfirmationAge is the age of the last confirmation of the configuration up to which this instance
// responds "not found" or "unknown key". With an older one, a newer configuration may allow the request.
// Confirmations arrive every 400 ms.
const maxConfirmationAge = 1500 * time.Millisecond

// refuseUnlessStale returns the given refusal, or "service unavailable" in its place while the
// configuration in force on this instance may be out of date.
func (x *exchange) refuseUnlessStale(status int, why reason) (int, reason) {
	if x.edge.control.revocationTimeout-leaseMargin-x.edge.control.leaseLeft() > maxConfirmationAge {
		return http.StatusServiceUnavailable, reasonNoLease
	}
	return status, why
}

func (x *exchange) readBody() (status int, reason reason) {
	limit := x.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	x.held = x.edge.gate.Open(bytebudget.Body, x.callerName())
	body, err := x.edge.gate.ReadBody(x.request, limit, &x.held)
	if err != nil {
		return x.rejectBody(err)
	}
	x.body = body
	return 0, ""
}

// rejectBody returns the refusal of a request whose body was not read. It closes the connection after the response.
func (x *exchange) rejectBody(err error) (status int, why reason) {
	intake.Reject(x.writer, x.request)
	var tooLarge *intake.TooLargeError
	var noRoom *intake.NoRoomError
	var stalled *intake.StalledError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, reasonTooLarge
	case errors.As(err, &noRoom):
		return http.StatusServiceUnavailable, reasonNoRoom
	case errors.As(err, &stalled):
		return http.StatusRequestTimeout, reasonStalledBody
	}
	return http.StatusBadRequest, reasonUnreadableBody
}

// callerName returns by whom bytes are held: the workspace, or the caller's address on an anonymous route.
func (x *exchange) callerName() string {
	if x.workspace != nil {
		return x.workspace.Name
	}
	return intake.AddressOf(x.request)
}

// defaultBodyBytes is the limit on the body when the configuration states none.
const defaultBodyBytes = 4 << 20

func (x *exchange) setDeadline() {
	timeout := x.route.Timeout
	if stated, ok := platform.ParseDeadline(x.request.Header); ok {
		timeout = min(timeout, stated)
		x.callerTimeout = stated
	}
	x.deadline = x.arrived + timeout
	x.dueAt = x.arrived + x.route.Objective
}

// timeLeft returns the time left until the deadline.
func (x *exchange) timeLeft() time.Duration { return x.deadline - clock() }
