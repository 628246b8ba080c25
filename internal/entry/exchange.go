package entry

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/primrosebeam/primrosebeam/bytebudget"
	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/intake"
	"github.com/primrosebeam/primrosebeam/internal/prompt"
	"github.com/primrosebeam/primrosebeam/label"
	"github.com/primrosebeam/primrosebeam/scheduler"
)

// exchange holds the state of one request of a caller and of the response to it.
type exchange struct {
	handler     *Handler
	id          string
	writer      http.ResponseWriter
	httpRequest *http.Request

	view      *view
	workspace *configuration.Workspace
	route     configuration.ResolvedRoute
	labels    label.Set
	tier      int
	body      []byte
	held      bytebudget.Holding // for the body
	estimate  prompt.Estimate
	stream    bool      // the caller requested a stream of events
	key       *keyClaim // nil when the request has no idempotency key

	arrivedAt      time.Time
	deadlinePassed atomic.Bool // the deadline passed before the first byte of the response
	sentAttempts   int         // attempts of which at least one byte may have reached an engine
	engine         string
	outcome        Outcome
	status         int
	abort          bool // the connection has to be aborted because the response is incomplete
}

// newRequestID returns a random request ID that contains the incarnation of the instance. A retry under the
// same idempotency key uses it to detect that the instance of the first attempt has restarted and lost the
// request.
func newRequestID(incarnation uint64) string {
	return strconv.FormatUint(incarnation, 36) + "-" + strings.ToLower(rand.Text())
}

// incarnationOf returns the incarnation that a request ID contains, or 0 when it has none.
func incarnationOf(requestID string) uint64 {
	text, _, _ := strings.Cut(requestID, "-")
	incarnation, err := strconv.ParseUint(text, 36, 64)
	if err != nil {
		return 0
	}
	return incarnation
}

// authenticate loads the configuration in force and finds the workspace of the bearer token in it.
func (x *exchange) authenticate() *Problem {
	x.view = x.handler.view.Load()
	if x.view == nil || x.handler.stopping.Load() {
		problem := problemNotReady
		problem.RetryAfter = time.Second
		return &problem
	}
	token, _ := strings.CutPrefix(x.httpRequest.Header.Get("Authorization"), "Bearer ")
	workspace, known := x.view.Workspace(token)
	if !known {
		return &problemInvalidToken
	}
	x.workspace = workspace
	return nil
}

// classify authenticates the request, reads its body and determines its route, tier and estimated cost. It
// changes no state outside the exchange.
func (x *exchange) classify() *Problem {
	if problem := x.authenticate(); problem != nil {
		return problem
	}
	if !hasCleanPath(x.httpRequest.URL.Path) {
		return &problemInvalidPath
	}
	route, err := x.view.Route(x.httpRequest.Method, x.httpRequest.URL.Path)
	var method *configuration.MethodNotAllowedError
	switch {
	case errors.As(err, &method):
		x.writer.Header().Set("Allow", strings.Join(method.Allowed, ", "))
		return &problemMethodNotAllowed
	case err != nil:
		return &problemNoRoute
	}
	x.route = route
	if problem := x.readBody(); problem != nil {
		return problem
	}
	return x.assignTier()
}

// hasCleanPath reports whether a path has no empty and no dot segments. Routes match byte by byte, and an
// engine may resolve a path with such segments to one that another route protects.
func hasCleanPath(path string) bool {
	for segment := range strings.SplitSeq(strings.Trim(path, "/"), "/") {
		if segment == "." || segment == ".." || segment == "" && path != "/" {
			return false
		}
	}
	return !strings.HasPrefix(path, "//") && !strings.HasSuffix(path, "//")
}

func (x *exchange) readBody() *Problem {
	if x.httpRequest.Body == http.NoBody {
		return nil
	}
	controller := http.NewResponseController(x.writer)
	if timeout := x.handler.options.BodyTimeout; timeout > 0 {
		_ = controller.SetReadDeadline(time.Now().Add(timeout))
	}
	x.held = x.handler.options.Gate.Open(bytebudget.Body, x.workspace.Name)
	body, err := x.handler.options.Gate.ReadBody(x.httpRequest, int64(x.handler.options.MaxBodyBytes), &x.held)
	if err != nil {
		return x.rejectBody(err)
	}
	_ = controller.SetReadDeadline(time.Time{})
	x.body = body
	if x.route.Service.Kind != configuration.KindModel || len(body) == 0 {
		return nil
	}
	var request prompt.Request
	if err := json.Unmarshal(body, &request); err != nil {
		return problemInvalidBody.with(err.Error())
	}
	x.estimate = request.Estimate()
	x.stream = request.Stream
	return nil
}

// rejectBody returns the problem of a request whose body was not read. It closes the connection after the response.
func (x *exchange) rejectBody(err error) *Problem {
	intake.Reject(x.writer, x.httpRequest)
	gate := x.handler.options.Gate
	var tooLarge *intake.TooLargeError
	var noRoom *intake.NoRoomError
	var stalled *intake.StalledError
	switch {
	case errors.As(err, &tooLarge):
		gate.Refused("too-large")
		return problemBodyTooLarge.with(fmt.Sprintf("at most %d bytes", tooLarge.Limit))
	case errors.As(err, &noRoom):
		gate.Refused("no-room")
		problem := problemOverloaded.with("too many request bodies are being read")
		problem.RetryAfter = intake.RetryAfter
		return problem
	case errors.As(err, &stalled):
		gate.Refused("stalled-body")
		return problemBodyTimeout.with("")
	}
	return problemInvalidBody.with("the body broke off")
}

func (x *exchange) assignTier() *Problem {
	labels, err := label.ParseSet(x.httpRequest.Header.Get(HeaderLabels))
	if err != nil {
		return problemInvalidLabels.with(err.Error())
	}
	x.labels = labels
	x.tier = x.view.Tier(labels, x.workspace, x.route)
	requested := x.httpRequest.Header.Get(HeaderTier)
	if requested == "" {
		return nil
	}
	index, known := x.view.TierIndex(requested)
	if !known {
		return problemUnknownTier.with(requested)
	}
	x.tier = max(x.tier, index) // A caller may request a less urgent tier, but not a more urgent one.
	return nil
}

func (x *exchange) schedulerRequest() scheduler.Request {
	return scheduler.Request{
		ID:           scheduler.RequestID(x.id),
		Workspace:    x.workspace.Name,
		Service:      x.route.Service.Name,
		Tier:         x.tier,
		Labels:       x.labels,
		Idempotent:   x.route.Idempotent,
		Redispatch:   x.route.Redispatch && x.route.Idempotent,
		PromptTokens: x.estimate.PromptTokens,
		OutputTokens: x.estimate.OutputTokens,
		Prefix:       x.estimate.Blocks,
	}
}

// outlivesCaller reports whether the request continues after its caller has disconnected. Cancelling a
// non-idempotent request of a plain service would leave its outcome unknown, and a caller with an
// idempotency key may retry to get the response.
func (x *exchange) outlivesCaller() bool {
	return x.key != nil || !x.route.Idempotent && x.route.Service.Kind == configuration.KindPlain
}

// attemptContext returns the context of one attempt after dispatch.
func (x *exchange) attemptContext() (context.Context, context.CancelFunc) {
	parent := x.httpRequest.Context()
	if x.outlivesCaller() {
		parent = context.WithoutCancel(parent)
	}
	return context.WithTimeout(parent, maxAttemptDuration)
}

// progressTimer cancels an attempt when the tier's deadline passes without a complete response, so that an
// engine which stalls does not block callers. Each event of a stream grants the same time again, so that a slow
// but sound stream is not cut. A nil timer does nothing.
type progressTimer struct {
	timer *time.Timer
	limit time.Duration
}

// startProgressTimer returns nil for requests without a deadline and for those that outlive their caller: after
// a cancellation it would be unknown whether they ran.
func (x *exchange) startProgressTimer(cancel context.CancelFunc) *progressTimer {
	deadline := x.view.Document().Tiers[x.tier].Deadline.Std()
	if deadline <= 0 || x.outlivesCaller() {
		return nil
	}
	return &progressTimer{limit: deadline, timer: time.AfterFunc(time.Until(x.arrivedAt.Add(deadline)), func() {
		x.deadlinePassed.Store(true)
		cancel()
	})}
}

// event grants the time for the next event of a stream.
func (t *progressTimer) event() {
	if t != nil {
		t.timer.Reset(t.limit)
	}
}

func (t *progressTimer) stop() {
	if t != nil {
		t.timer.Stop()
	}
}

// incompleteResult returns the scheduler result of an attempt without a complete response.
func (x *exchange) incompleteResult(ctx context.Context) scheduler.Result {
	if ctx.Err() != nil && !x.deadlinePassed.Load() {
		return scheduler.ResultCancelled
	}
	return scheduler.ResultFailed
}
