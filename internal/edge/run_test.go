package edge

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/internal/boottime"
	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/platform"
	"github.com/primrosebeam/primrosebeam/routing"
)

// TestPermissionsAreCheckedBeforeSend guards against a process that was paused between the time it got a
// permission and the time it uses it: a slot that was granted long ago, an engine that stated meanwhile that it is
// leaving or wants a rest, a deadline or a lease on the key that has passed.
func TestPermissionsAreCheckedBeforeSend(t *testing.T) {
	const pause = 3 * time.Second
	for _, test := range []struct {
		name    string
		prepare func(x *exchange) // what happens before the slot is used
		age     time.Duration     // age of the first grant
		sent    bool              // a second grant is used
		status  int               // otherwise
	}{
		{"old grant", func(*exchange) {}, pause, true, 0},
		{"engine is leaving", func(x *exchange) { x.edge.notices.RecordLeaving(clock(), "first", 0) }, 0, true, 0},
		{"engine wants a rest", func(x *exchange) { x.edge.notices.RecordRest(clock(), "first", pause) }, 0, true, 0},
		{"deadline", func(x *exchange) { x.deadline = clock() - 1 }, 0, false, http.StatusServiceUnavailable},
		{"lease", func(x *exchange) { x.edge.control.leaseEnd.Store(int64(boottime.Now()) - 1) }, 0, false, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e := newTestEdge(t, nil)
			e.control = newTestControlClient(t, &controlStub{}, "10.0.0.1:1")
			e.control.leaseEnd.Store(int64(boottime.Now().Add(time.Hour)))
			writer := httptest.NewRecorder()
			x := newTestExchange(e, routing.KindStream, writer, httptest.NewRequest(http.MethodPost, "http://host/path", nil))
			x.deadline = clock() + time.Minute
			x.service.Model = &routing.Model{TokensPerEvent: 1}
			x.workspace = &routing.Workspace{Name: "w"}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			test.prepare(x)
			type result struct {
				slot slot
				ok   bool
			}
			acquired := make(chan result, 1)
			go func() {
				s, ok := x.acquireUsableSlot(ctx)
				acquired <- result{s, ok}
			}()
			p := e.placer
			grant := func(engine string, age time.Duration) {
				for waited := false; !waited; time.Sleep(time.Millisecond) {
					p.step(clock())
					for id, ticket := range p.tickets {
						if waited = ticket.engine == ""; waited {
							p.grant(clock()-age, id, slotDecision{engine: placement.Engine{ID: engine}})
							return
						}
					}
				}
			}
			grant("first", test.age)
			if test.sent {
				grant("second", 0)
				got := <-acquired
				is.True(got.ok)
				is.Equal(got.slot.engine.ID, "second")
				return
			}
			is.True(!(<-acquired).ok)
			is.Equal(writer.Code, test.status)
			p.step(clock())
			is.Equal(len(p.tickets), 0) // the slot was returned
		})
	}
}

// TestRequestWaitsForPermit guards against requests to engines with rate limits that are refused although a permit is
// about to arrive, that are held when none does, or that hold an engine after their callers have left.
func TestRequestWaitsForPermit(t *testing.T) {
	for _, test := range []struct {
		name   string
		during func(x *exchange, leave func()) // while the request waits
		engine string                          // that it gets
		status int                             // otherwise; 0 if the caller has left
	}{
		{"permit", func(x *exchange, _ func()) { x.edge.balancer.AddPermits(clock(), "e", 1) }, "e", 0},
		{"end of the limit", func(x *exchange, _ func()) {
			x.edge.notices.RecordRateLimit(placement.RateLimit{Engine: "e", Lifted: true, At: clock()})
			x.edge.balancer.RateLimitsChanged()
		}, "e", 0},
		{"none", func(*exchange, func()) {}, "", http.StatusServiceUnavailable},
		{"caller leaves", func(_ *exchange, leave func()) { leave() }, "", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e := newTestEdge(t, nil)
			e.notices.RecordRateLimit(placement.RateLimit{Engine: "e", PerSecond: 1, At: clock()})
			e.balancer.SetEngines([]placement.Engine{{ID: "e", Service: "s", Slots: 4}})
			writer := httptest.NewRecorder()
			callerContext, leave := context.WithCancel(t.Context())
			defer leave()
			request := httptest.NewRequest(http.MethodPost, "http://host/path", nil).WithContext(callerContext)
			x := newTestExchange(e, routing.KindIdempotent, writer, request)
			x.route.Objective = 400 * time.Millisecond
			if test.status == 0 {
				x.route.Objective = time.Minute // what happens meanwhile ends the wait, however slow the machine is
			}
			start := clock()
			time.AfterFunc(20*time.Millisecond, func() { test.during(x, leave) })
			var left any
			acquired, ok := func() (s slot, ok bool) {
				defer func() { left = recover() }() // finishCallerLeft aborts the handler
				return x.pickEngine(callerContext)
			}()
			waited := clock() - start
			is.Equal(ok, test.engine != "")
			is.Equal(acquired.engine.ID, test.engine)
			is.Equal(len(e.balancer.PermitDemand(clock())) > 0 && e.balancer.PermitDemand(clock())[0].Waiting > 0, false)
			switch {
			case test.status != 0:
				is.Equal(writer.Code, test.status)
				is.True(writer.Header().Get("Retry-After") != "")
				is.True(waited >= x.permitTimeout())
			case test.engine == "":
				is.Equal(left, http.ErrAbortHandler)
				is.True(waited < x.permitTimeout())
			}
		})
	}
}

// Guards against a request that crashes three engines in one attempt, before the first crash is known elsewhere.
func TestRequestThatLostTwoEnginesIsNotRetried(t *testing.T) {
	for _, test := range []struct {
		name    string
		answers string // of the engines in turn: r is a reset, h one after the header of a response, u a refusal, 5 status 500
		sends   int
	}{
		{"crash of each engine", "rrrr", 2},
		{"responses that break off", "hhhh", 4},
		{"crashes after a refusal", "urrr", 3},
		{"crashes before and after a failure", "r5rr", 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sends := 0
			e := newTestEdge(t, func() net.Conn {
				near, far := net.Pipe()
				answer := test.answers[sends]
				sends++
				go func() {
					defer far.Close()
					if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
						return
					}
					head := platform.HeaderAttempt + ": attempt\r\n" + platform.HeaderSignature + ": s\r\n"
					switch answer {
					case 'h':
						fmt.Fprint(far, "HTTP/1.1 200 OK\r\n", head, "Content-Length: 100\r\n\r\n1")
					case 'u':
						fmt.Fprint(far, "HTTP/1.1 503 Full\r\n", head, platform.HeaderNotExecuted, ": 1\r\nContent-Length: 0\r\n\r\n")
					case '5':
						fmt.Fprint(far, "HTTP/1.1 500 Error\r\n", head, "Content-Length: 0\r\n\r\n")
					}
				}()
				return near
			})
			defer e.pool.CloseIdle()
			engines := []placement.Engine{}
			for i := range 5 {
				engines = append(engines, placement.Engine{ID: fmt.Sprint("e", i), Service: "s", Address: fmt.Sprint("10.0.0.", i, ":80"), Slots: 4})
			}
			e.balancer.SetEngines(engines)
			for range 100 {
				e.retries.addRequest(clock(), "s")
			}
			writer := httptest.NewRecorder()
			x := newTestExchange(e, routing.KindIdempotent, writer, httptest.NewRequest(http.MethodPost, "http://host/path", nil))
			x.route.MaxAttempts, x.deadline = 4, clock()+time.Minute
			x.run()
			is.Equal(sends, test.sends)
			is.Equal(writer.Code, http.StatusBadGateway)
		})
	}
}

// TestSuspectedRequestIsNotRetried guards against a request that crashes one engine after the other in a single attempt
// although engines have crashed with it before.
func TestSuspectedRequestIsNotRetried(t *testing.T) {
	for _, test := range []struct {
		name    string
		watched []placement.PartID
		lost    bool
		retried bool
	}{
		{"not suspected", []placement.PartID{8}, true, true},
		{"suspected, connection lost", []placement.PartID{7}, true, false},
		{"suspected, another failure", []placement.PartID{7}, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e := newTestEdge(t, nil)
			x := newTestExchange(e, routing.KindIdempotent, httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "http://host/", nil))
			x.route.MaxAttempts, x.sends = 3, 1
			x.parts, x.connectionLost = []placement.PartID{7}, test.lost
			e.placer.blocked.Set(clock(), nil, test.watched)
			is.Equal(x.shouldRetry(resultFailed), test.retried)
		})
	}
}

// Guards against a refusal by a full engine, or by another one at its address, that ends the row of crashes of a request.
func TestRefusalDoesNotClearSuspectedRequest(t *testing.T) {
	for _, test := range []struct {
		name, status, header string
		clears               bool
	}{
		{"full engine", "503 Full", platform.HeaderNotExecuted + ": 1\r\n", false},
		{"other engine at the address", "421 Misdirected", platform.HeaderEngine + ": other\r\n", false},
		{"success", "200 OK", platform.HeaderSignature + ": s\r\n", true},
		{"failure", "500 Error", platform.HeaderSignature + ": s\r\n", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e := newTestEdge(t, func() net.Conn {
				near, far := net.Pipe()
				go func() {
					defer far.Close()
					if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
						fmt.Fprintf(far, "HTTP/1.1 %s\r\n%s: attempt\r\n%sContent-Length: 0\r\n\r\n", test.status, platform.HeaderAttempt, test.header)
					}
				}()
				return near
			})
			defer e.pool.CloseIdle()
			suspected := []placement.PartID{1}
			e.placer.blocked.Set(clock(), nil, suspected)
			x := newTestExchange(e, routing.KindIdempotent, httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "http://host/path", nil))
			x.parts, x.deadline = suspected, clock()+time.Minute
			result := x.send(t.Context(), slot{engine: placement.Engine{ID: "e", Address: "10.0.0.1:80"}})
			x.endPlain("e", x.outcomeOf(result))
			e.placer.events.Drain(func(event placerEvent) { e.placer.handleEvent(clock(), &event) })
			is.Equal(len(e.placer.pendingUpdate().Responses) == 1, test.clears)
		})
	}
}
