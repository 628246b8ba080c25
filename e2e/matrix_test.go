package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/standin"
	"github.com/primrosebeam/primrosebeam/scheduler"
)

// step is where a request stands when the fault strikes.
type step string

const (
	beforeClaim    step = "before claim"
	afterClaim     step = "after claim, waiting"
	afterDispatch  step = "after dispatch, before the first byte"
	inResponse     step = "in the answer"
	beforeLastByte step = "before the last byte"
	afterResponse  step = "after the response"
)

var steps = []step{beforeClaim, afterClaim, afterDispatch, inResponse, beforeLastByte, afterResponse}

// holdAt names the point at which engines hold requests to keep them at a step.
var holdPoints = map[step]standin.Point{
	afterClaim: standin.HoldFirst, afterDispatch: standin.HoldFirst, inResponse: standin.HoldMiddle, beforeLastByte: standin.HoldLast,
}

const (
	freezeDuration    = 2200 * time.Millisecond // a freeze of 2 s must pass the lease checks of every duty
	lateResponseDelay = 2500 * time.Millisecond // later than the 2 s of a call to the ledger
	matrixMaxInFlight = 8                       // hard limit of an engine: room for a round and its resends
)

// round is one step of one fault: a request of each kind, all at the same step.
type round struct {
	*cluster
	step              step
	entry             *member // takes the requests
	retryMember       *member // takes the resends while the fault lasts
	histories         []*history
	keys              []string
	callerContext     context.Context
	disconnectCallers context.CancelFunc // all callers of the first sends disconnect
	sends             sync.WaitGroup
	mu                sync.Mutex
}

// fault is one row of the matrix. inject strikes; released runs once the engines go on; end restores the system.
type fault struct {
	name          string
	members       int // 0 means 3
	entry         int // index of the member that takes the requests; 0 means 1
	faults        standin.Faults
	inject        func(*round)
	releaseDelay  time.Duration // from the fault to the release of the engines
	repair        func(*round)
	responsesLost bool // stored answers are gone for good
	mustComplete  bool // every request that was admitted before the fault is answered in whole
}

func (r *round) restart(m *member) {
	m.start()
	r.waitReady(m)
}

func (r *round) keyOwner() *member { return r.members[0] }

func (r *round) forEachEngine(do func(*engine)) {
	for _, e := range r.engines {
		do(e)
	}
}

// crashed are the engines that the engine crash ends: the model and one of the two plain services.
func (r *round) enginesToCrash() []*engine { return r.engines[:2] }

func (r *round) crashEngines() {
	for _, e := range r.enginesToCrash() {
		e.kill()
	}
}

func (r *round) restartEngines() {
	for _, e := range r.enginesToCrash() {
		e.start()
		r.waitEngine(e)
	}
}

func (r *round) partitionEntry(partitioned bool) {
	r.partition(partitioned, func(m *member) bool { return m == r.entry })
}

var faults = []fault{
	{name: "kill", inject: func(r *round) { r.entry.kill() }, repair: func(r *round) { r.restart(r.entry) }},
	{name: "freeze", releaseDelay: freezeDuration, inject: func(r *round) { r.entry.signal(syscall.SIGSTOP) }, repair: func(r *round) { r.entry.signal(syscall.SIGCONT) }},
	{name: "cut of an instance", inject: func(r *round) { r.partitionEntry(true) }, repair: func(r *round) { r.partitionEntry(false) }},
	{name: "cut of a data centre", members: 4, entry: 3, inject: func(r *round) { r.partitionDataCentre(r.entry.dataCentre, true) }, repair: func(r *round) { r.partitionDataCentre(r.entry.dataCentre, false) }},
	{name: "engine crash", inject: (*round).crashEngines, repair: (*round).restartEngines},
	{name: "engine crash and instance kill",
		inject: func(r *round) { r.crashEngines(); r.entry.kill() },
		repair: func(r *round) { r.restartEngines(); r.restart(r.entry) }},
	{name: "slow engine", releaseDelay: freezeDuration,
		inject: func(r *round) { r.forEachEngine(func(e *engine) { e.signal(syscall.SIGSTOP) }) }},
	{name: "engine ignores cancel", faults: standin.Faults{IgnoreCancel: true}, inject: func(r *round) { r.disconnectCallers() }},
	{name: "late answers", releaseDelay: lateResponseDelay, mustComplete: true},
	{name: "mismatched answers", faults: standin.Faults{WrongID: true}},
	{name: "truncated answers", faults: standin.Faults{CutAnswer: true, CutAfterEvents: 1, NoResume: true}},
	{name: "planned stop", mustComplete: true, inject: func(r *round) { r.entry.signal(syscall.SIGTERM) },
		repair: func(r *round) {
			if code := r.entry.waitExit(maxCallerWait); code != 0 {
				r.t.Errorf("%s: planned stop exits with %d", r.step, code)
			}
			r.restart(r.entry)
		}},
	{name: "owner of the key killed", inject: func(r *round) { r.keyOwner().kill() }, repair: func(r *round) { r.restart(r.keyOwner()) }},
	{name: "owner's disk lost", responsesLost: true,
		inject: func(r *round) {
			r.keyOwner().kill()
			if err := os.RemoveAll(filepath.Join(r.folder, r.keyOwner().name, "ledger")); err != nil {
				r.t.Fatal(err)
			}
		},
		repair: func(r *round) { r.restart(r.keyOwner()) }},
	{name: "caller disconnects and resends", inject: func(r *round) { r.disconnectCallers() }},
}

// Guards against a fault at any step of a request that makes work run twice, lets a partial or foreign
// answer look whole, makes not-run untrue, loses a stored answer, hangs a caller or leaves the system unfit.
func TestFaultMatrix(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, clusterOptions{
				members: max(3, f.members), modelEngines: 1, plainEngines: 2, control: 3, ledgers: 1,
				eventInterval: time.Millisecond, maxInFlight: matrixMaxInFlight,
			})
			for _, s := range steps {
				r := &round{cluster: c, step: s, entry: c.members[max(1, f.entry)], retryMember: c.members[2]}
				started := time.Now()
				r.runFault(f)
				t.Logf("%s: %s, longest wait of a caller %s", s, time.Since(started).Round(time.Millisecond), r.longestWait().Round(time.Millisecond))
				if t.Failed() {
					return // Later steps of a cluster in an unknown state say nothing.
				}
			}
		})
	}
}

func (r *round) runFault(f fault) {
	r.prepare(f)
	inject := func() {
		if f.inject != nil {
			f.inject(r)
		}
	}
	switch r.step {
	case beforeClaim:
		r.forEachEngine(func(e *engine) { e.put(standin.PathFaults, f.faults) })
		inject()
		r.sendAll()
	case afterResponse:
		r.sendAll()
		r.sends.Wait()
		inject()
	default:
		r.sendAll()
		r.awaitHeld(len(r.histories))
		inject()
	}
	r.retry(r.retryMember)
	time.Sleep(f.releaseDelay)
	if f.name == "slow engine" {
		r.forEachEngine(func(e *engine) { e.signal(syscall.SIGCONT) })
	}
	r.setFaults(f.faults)
	if f.repair == nil || f.name == "planned stop" {
		r.sends.Wait() // Without a fault of its own to end, faulty engines stay faulty until all sends have ended.
	}
	if f.repair != nil {
		f.repair(r)
	}
	r.sends.Wait()
	r.setFaults(standin.Faults{})
	r.disconnectCallers()
	r.retryAndCheck(f)
	r.checkNewRequests()
}

// prepare makes one request of each kind and lets the engines hold it at the step.
func (r *round) prepare(f fault) {
	r.callerContext, r.disconnectCallers = context.WithCancel(context.Background())
	name := strings.ReplaceAll(f.name+" "+string(r.step), " ", "-")
	for n, k := range kinds {
		h := newHistory(k, fmt.Sprintf("%s-%d", name, n))
		h.responsesLost = f.responsesLost
		key := ""
		if k.keyed {
			key = mintKey(r.t, r.retryMember.callerAddress)
		}
		r.histories, r.keys = append(r.histories, h), append(r.keys, key)
	}
	hold := standin.Faults{Hold: holdPoints[r.step], IgnoreCancel: f.faults.IgnoreCancel}
	r.setFaults(hold)
	if r.step == afterClaim {
		r.fillEngines()
	}
}

// newHistory returns a request of a kind that no other request equals.
func newHistory(k kind, name string) *history {
	switch {
	case k.stream:
		body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, streamTokens, name)
		return &history{kind: k, work: body, target: "/v1/chat/completions"}
	case k.keyed || k.method == "POST":
		return &history{kind: k, work: name, target: "/orders"}
	}
	return &history{kind: k, work: "/status/" + name, target: "/status/" + name}
}

// setFaults steers the engines that run.
func (r *round) setFaults(f standin.Faults) {
	r.forEachEngine(func(e *engine) {
		select {
		case <-e.exited:
		default:
			e.put(standin.PathFaults, f)
		}
	})
}

// fillEngines sends lookups and completions through the entry until some of both services wait there.
func (r *round) fillEngines() {
	r.awaitFullLimits()
	for _, k := range []kind{kinds[2], kinds[3]} {
		service := map[bool]string{true: "chat", false: "orders"}[k.stream]
		for n := 0; r.waitingFor(service) == 0; n++ {
			if n > 4*matrixMaxInFlight {
				r.t.Fatalf("%d blockers and nothing waits for %s", n, service)
			}
			blocker := newHistory(k, fmt.Sprintf("blocker-%d-%d", time.Now().UnixNano(), n))
			before := r.held() + r.waitingFor(service)
			r.sends.Go(func() { blocker.send(r.callerContext, r.entry, "") })
			waitFor(r.t, "blocker", func() bool { return r.held()+r.waitingFor(service) > before })
		}
	}
}

func (r *round) held() (total int) {
	r.forEachEngine(func(e *engine) { total += e.counts().Held })
	return total
}

// waitingFor returns how many requests of a service wait at the entry.
func (r *round) waitingFor(service string) int { return r.entry.waitingFor(r.t, service) }

func (m *member) waitingFor(t *testing.T, service string) int {
	t.Helper()
	for _, s := range m.scheduler(t).Services {
		if s.Name == service {
			return s.Waiting
		}
	}
	t.Fatalf("no service %s in dump", service)
	return 0
}

// scheduler returns the scheduler's part of an instance's dump.
func (m *member) scheduler(t *testing.T) scheduler.State {
	t.Helper()
	text, err := m.operator(t).Text(context.Background(), "v1", "dump")
	if err != nil {
		t.Fatal(err)
	}
	var dump struct {
		Scheduler scheduler.State `json:"scheduler"`
	}
	if err := json.Unmarshal(text, &dump); err != nil {
		t.Fatal(err)
	}
	return dump.Scheduler
}

// awaitWholeLimits returns once no engine is in its slow start, which follows a fault of the step
// before. While room grows, requests that wait are dispatched and leave the step.
func (r *round) awaitFullLimits() {
	waitFor(r.t, "engines at their whole limit", func() bool {
		for _, e := range r.entry.scheduler(r.t).Engines {
			if float64(e.Allowed)+0.5 < e.Limit {
				return false
			}
		}
		return true
	})
}

// awaitHeld returns once n requests stand at the step.
func (r *round) awaitHeld(n int) {
	if r.step == afterClaim {
		waitFor(r.t, "waiting requests", func() bool { return r.waitingFor("orders")+r.waitingFor("chat") >= n+2 }) // with one blocker each
		return
	}
	waitFor(r.t, "requests at the step "+string(r.step), func() bool { return r.held() == n })
}

func (r *round) sendAll() {
	for n := range r.histories {
		r.sendOne(r.callerContext, n, r.entry)
	}
}

func (r *round) sendOne(ctx context.Context, n int, through *member) {
	r.sends.Go(func() {
		h := r.histories[n]
		o := h.send(ctx, through, r.keys[n])
		r.mu.Lock()
		defer r.mu.Unlock()
		h.observations = append(h.observations, o)
	})
}

// resend sends every request with a key again; one without a key would be a new request.
func (r *round) retry(through *member) {
	for n, h := range r.histories {
		if h.kind.keyed {
			r.sendOne(context.Background(), n, through)
		}
	}
}

// settle resends through every instance after the fault and checks all that was seen.
func (r *round) retryAndCheck(f fault) {
	r.t.Helper()
	first := make([]observation, len(r.histories))
	for n, h := range r.histories {
		for _, o := range h.observations {
			if o.instance == r.entry.name {
				first[n] = o
			}
		}
	}
	for _, m := range r.members {
		r.retry(m)
	}
	r.sends.Wait()
	for n, h := range r.histories {
		if body, found := h.replayableResponse(); found {
			r.checkReplay(n, body)
		}
		h.runs = r.runsOf(h.work)
		violations := h.check()
		if f.mustComplete && r.step != beforeClaim && !first[n].looksComplete() && !h.superseded(first[n]) {
			violations = append(violations, "interrupted: "+first[n].String())
		}
		for _, violation := range violations {
			r.t.Errorf("%s, %s: %s", r.step, h.kind.name, violation)
		}
		if len(violations) > 0 {
			for _, o := range h.observations {
				r.t.Logf("%s seen after %s", o, o.started.Sub(h.observations[0].started).Round(time.Millisecond))
			}
			r.t.Logf("runs: %v", h.runs)
		}
	}
}

// longest returns the longest wait of a caller in the round.
func (r *round) longestWait() (wait time.Duration) {
	for _, h := range r.histories {
		for _, o := range h.observations {
			wait = max(wait, o.finished.Sub(o.started))
		}
	}
	return wait
}

// checkReplay fails unless a caller that was told an answer gets the same one again through any instance.
func (r *round) checkReplay(n int, body string) {
	r.t.Helper()
	for _, m := range r.members {
		waitFor(r.t, fmt.Sprintf("%s, %s: stored answer through %s", r.step, r.histories[n].kind.name, m.name), func() bool {
			o := r.histories[n].send(context.Background(), m, r.keys[n])
			r.histories[n].observations = append(r.histories[n].observations, o)
			return o.looksComplete() && o.body == body
		})
	}
}

// serveNew checks that every instance serves new requests of every kind after the fault.
func (r *round) checkNewRequests() {
	r.t.Helper()
	for _, m := range r.members {
		for n, k := range kinds {
			attempts := 0
			waitFor(r.t, fmt.Sprintf("%s: new %s through %s", r.step, k.name, m.name), func() bool {
				attempts++
				h := newHistory(k, fmt.Sprintf("%s-after-%d-%d-%d", r.histories[0].work, n, attempts, time.Now().UnixNano()))
				key := ""
				if k.keyed {
					key = mintKey(r.t, m.callerAddress)
				}
				o := h.send(context.Background(), m, key)
				h.observations, h.runs = []observation{o}, r.runsOf(h.work)
				if violations := h.check(); len(violations) > 0 {
					r.t.Fatal(violations)
				}
				return o.looksComplete()
			})
		}
	}
}
