package entry

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/label"
	"github.com/primrosebeam/primrosebeam/scheduler"
)

// Labels that the instance sets on every request; callers cannot set them.
const (
	labelWorkspace = "workspace"
	labelService   = "service"
	labelRoute     = "route"
)

// exchange is one request of a caller and its answer.
type exchange struct {
	handler  *Handler
	id       string
	writer   http.ResponseWriter
	incoming *http.Request

	view      *view
	workspace string
	route     route
	labels    label.Set
	tier      int
	body      []byte
	estimate  estimate

	engine  string
	outcome Outcome
	status  int
	abort   bool
}

func newRequestID() string { return strings.ToLower(rand.Text()) }

// classify authenticates the request and finds its service, tier and cost. It changes nothing outside the exchange.
func (x *exchange) classify() *Problem {
	x.view = x.handler.view.Load()
	if x.view == nil || x.handler.stopping.Load() {
		problem := problemNotReady
		problem.RetryAfter = time.Second
		return &problem
	}
	token, _ := strings.CutPrefix(x.incoming.Header.Get("Authorization"), "Bearer ")
	workspace, known := x.view.workspace(token)
	if !known {
		return &problemToken
	}
	x.workspace = workspace
	found, known := x.view.route(x.incoming.Method, x.incoming.URL.Path)
	if !known {
		return &problemNoRoute
	}
	x.route = found
	if problem := x.readBody(); problem != nil {
		return problem
	}
	return x.assignTier()
}

func (x *exchange) readBody() *Problem {
	limited := http.MaxBytesReader(x.writer, x.incoming.Body, int64(x.handler.options.BodyBytes))
	body, err := io.ReadAll(limited)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return problemBodyTooLarge.with(fmt.Sprintf("at most %d bytes", tooLarge.Limit))
	case err != nil:
		return problemBody.with("the body broke off")
	}
	x.body = body
	if x.route.service.Kind != configuration.KindModel || len(body) == 0 {
		return nil
	}
	var request completion
	if err := json.Unmarshal(body, &request); err != nil {
		return problemBody.with(err.Error())
	}
	x.estimate = request.estimate()
	return nil
}

func (x *exchange) assignTier() *Problem {
	labels, err := label.ParseSet(x.incoming.Header.Get(HeaderLabels))
	if err != nil {
		return problemLabels.with(err.Error())
	}
	labels[labelWorkspace] = x.workspace
	labels[labelService] = x.route.service.Name
	labels[labelRoute] = x.route.path
	x.labels = labels
	x.tier = x.view.tier(labels)
	asked := x.incoming.Header.Get(HeaderTier)
	if asked == "" {
		return nil
	}
	index := x.view.tierIndex(asked)
	if index < 0 {
		return problemTier.with(asked)
	}
	x.tier = max(x.tier, index) // A caller may ask for a lower tier, never for a higher one.
	return nil
}

func (x *exchange) schedulerRequest() scheduler.Request {
	return scheduler.Request{
		ID:           scheduler.RequestID(x.id),
		Workspace:    x.workspace,
		Service:      x.route.service.Name,
		Tier:         x.tier,
		Labels:       x.labels,
		Idempotent:   x.route.idempotent,
		Redispatch:   x.route.redispatch && x.route.idempotent,
		PromptTokens: x.estimate.promptTokens,
		OutputTokens: x.estimate.outputTokens,
		Prefix:       x.estimate.prefix,
	}
}

// outlivesCaller reports whether the request goes on when its caller leaves: breaking off a
// non-idempotent call would leave its outcome unknown.
func (x *exchange) outlivesCaller() bool {
	return !x.route.idempotent && x.route.service.Kind == configuration.KindPlain
}

// attemptContext returns the context of the work after dispatch.
func (x *exchange) attemptContext() (context.Context, context.CancelFunc) {
	parent := x.incoming.Context()
	if x.outlivesCaller() {
		parent = context.WithoutCancel(parent)
	}
	return context.WithTimeout(parent, maxAttempt)
}
