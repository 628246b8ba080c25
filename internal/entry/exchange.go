package entry

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/prompt"
	"github.com/primrosebeam/primrosebeam/label"
	"github.com/primrosebeam/primrosebeam/scheduler"
)

// exchange is one request of a caller and its answer.
type exchange struct {
	handler  *Handler
	id       string
	writer   http.ResponseWriter
	incoming *http.Request

	view      *view
	workspace *configuration.Workspace
	route     configuration.ResolvedRoute
	labels    label.Set
	tier      int
	body      []byte
	estimate  prompt.Estimate
	stream    bool   // the caller asked for events
	key       *keyed // nil without an idempotency key

	arrived time.Time
	expired atomic.Bool // the deadline passed before the first byte of the answer
	sends   int         // attempts of which a byte may have reached an engine
	engine  string
	outcome Outcome
	status  int
	abort   bool
}

// newRequestID names the incarnation of the instance, so that a resend can tell whether the first
// attempt's instance has restarted and lost it.
func newRequestID(incarnation uint64) string {
	return strconv.FormatUint(incarnation, 36) + "-" + strings.ToLower(rand.Text())
}

// incarnationOf returns the incarnation that a request ID names, or 0.
func incarnationOf(requestID string) uint64 {
	text, _, _ := strings.Cut(requestID, "-")
	incarnation, err := strconv.ParseUint(text, 36, 64)
	if err != nil {
		return 0
	}
	return incarnation
}

// authenticate finds the workspace under the configuration in force.
func (x *exchange) authenticate() *Problem {
	x.view = x.handler.view.Load()
	if x.view == nil || x.handler.stopping.Load() {
		problem := problemNotReady
		problem.RetryAfter = time.Second
		return &problem
	}
	token, _ := strings.CutPrefix(x.incoming.Header.Get("Authorization"), "Bearer ")
	workspace, known := x.view.Workspace(token)
	if !known {
		return &problemToken
	}
	x.workspace = workspace
	return nil
}

// classify authenticates the request and finds its service, tier and cost. It changes nothing outside the exchange.
func (x *exchange) classify() *Problem {
	if problem := x.authenticate(); problem != nil {
		return problem
	}
	if !cleanPath(x.incoming.URL.Path) {
		return &problemPath
	}
	route, err := x.view.Route(x.incoming.Method, x.incoming.URL.Path)
	var method *configuration.MethodNotAllowedError
	switch {
	case errors.As(err, &method):
		x.writer.Header().Set("Allow", strings.Join(method.Allowed, ", "))
		return &problemMethod
	case err != nil:
		return &problemNoRoute
	}
	x.route = route
	if problem := x.readBody(); problem != nil {
		return problem
	}
	return x.assignTier()
}

// cleanPath refuses empty and dot segments: routes match byte by byte, and an engine may resolve
// such a path to one that another route protects.
func cleanPath(path string) bool {
	for segment := range strings.SplitSeq(strings.Trim(path, "/"), "/") {
		if segment == "." || segment == ".." || segment == "" && path != "/" {
			return false
		}
	}
	return !strings.HasPrefix(path, "//") && !strings.HasSuffix(path, "//")
}

func (x *exchange) readBody() *Problem {
	if x.incoming.Body == http.NoBody {
		return nil
	}
	controller := http.NewResponseController(x.writer)
	if timeout := x.handler.options.BodyTimeout; timeout > 0 {
		_ = controller.SetReadDeadline(time.Now().Add(timeout))
	}
	limited := http.MaxBytesReader(x.writer, x.incoming.Body, int64(x.handler.options.MaxBodyBytes))
	body, err := io.ReadAll(limited)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return problemBodyTooLarge.with(fmt.Sprintf("at most %d bytes", tooLarge.Limit))
	case errors.Is(err, os.ErrDeadlineExceeded):
		// The deadline stays, or the server would wait for the rest of the body before it answers.
		x.writer.Header().Set("Connection", "close")
		return problemBodyTimeout.with("")
	case err != nil:
		return problemBody.with("the body broke off")
	}
	_ = controller.SetReadDeadline(time.Time{})
	x.body = body
	if x.route.Service.Kind != configuration.KindModel || len(body) == 0 {
		return nil
	}
	var request prompt.Request
	if err := json.Unmarshal(body, &request); err != nil {
		return problemBody.with(err.Error())
	}
	x.estimate = request.Estimate()
	x.stream = request.Stream
	return nil
}

func (x *exchange) assignTier() *Problem {
	labels, err := label.ParseSet(x.incoming.Header.Get(HeaderLabels))
	if err != nil {
		return problemLabels.with(err.Error())
	}
	x.labels = labels
	x.tier = x.view.Tier(labels, x.workspace, x.route)
	asked := x.incoming.Header.Get(HeaderTier)
	if asked == "" {
		return nil
	}
	index, known := x.view.TierIndex(asked)
	if !known {
		return problemTier.with(asked)
	}
	x.tier = max(x.tier, index) // A caller may ask for a lower tier, never for a higher one.
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

// outlivesCaller reports whether the request goes on when its caller leaves: breaking off a
// non-idempotent call would leave its outcome unknown, and a caller with a key may come back for its answer.
func (x *exchange) outlivesCaller() bool {
	return x.key != nil || !x.route.Idempotent && x.route.Service.Kind == configuration.KindPlain
}

// attemptContext returns the context of the work after dispatch.
func (x *exchange) attemptContext() (context.Context, context.CancelFunc) {
	parent := x.incoming.Context()
	if x.outlivesCaller() {
		parent = context.WithoutCancel(parent)
	}
	return context.WithTimeout(parent, maxAttempt)
}

// boundFirstByte cancels the attempt when the tier's deadline passes before the engine begins to
// answer, so that an engine which accepts requests and stays silent holds nobody. Requests that
// outlive their caller are left alone: breaking them off would not tell whether they ran.
func (x *exchange) boundFirstByte(cancel context.CancelFunc) *time.Timer {
	deadline := x.view.Document().Tiers[x.tier].Deadline.Std()
	if deadline <= 0 || x.outlivesCaller() {
		return nil
	}
	return time.AfterFunc(time.Until(x.arrived.Add(deadline)), func() {
		x.expired.Store(true)
		cancel()
	})
}

// attemptEnded tells the scheduler how an attempt without a whole answer ended.
func (x *exchange) attemptEnded(ctx context.Context) scheduler.Result {
	if ctx.Err() != nil && !x.expired.Load() {
		return scheduler.ResultCancelled
	}
	return scheduler.ResultFailed
}
