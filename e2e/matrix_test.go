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
	beforeClaim   step = "before claim"
	waiting       step = "after claim, waiting"
	dispatched    step = "after dispatch, before the first byte"
	inStream      step = "in the answer"
	beforeLast    step = "before the last byte"
	afterResponse step = "after the response"
)

var steps = []step{beforeClaim, waiting, dispatched, inStream, beforeLast, afterResponse}

// holdAt names the point at which engines hold requests to keep them at a step.
var holdAt = map[step]standin.HoldPoint{
	waiting: standin.HoldFirst, dispatched: standin.HoldFirst, inStream: standin.HoldMiddle, beforeLast: standin.HoldLast,
}

const (
	freezeTime     = 2200 * time.Millisecond // a freeze of 2 s must pass the lease checks of every duty
	lateBy         = 2500 * time.Millisecond // later than the 2 s of a call to the ledger
	matrixInFlight = 8                       // hard limit of an engine: room for a round and its resends
)

// round is one step of one fault: a request of each kind, all at the same step.
type round struct {
	*cluster
	step      step
	entry     *member // takes the requests
	other     *member // takes the resends while the fault lasts
	histories []*history
	keys      []string
	callers   context.Context
	hangUp    context.CancelFunc // all callers of the first sends disconnect
	pending   sync.WaitGroup
	mu        sync.Mutex
}

// fault is one row of the matrix. inject strikes; released runs once the engines go on; end restores the system.
type fault struct {
	name     string
	members  int // 0 means 3
	entry    int // index of the member that takes the requests; 0 means 1
	faults   standin.Faults
	inject   func(*round)
	delay    time.Duration // from the fault to the release of the engines
	end      func(*round)
	keyLost  bool // stored answers are gone for good
	answered bool // every request that was admitted before the fault is answered in whole
}

func (r *round) restart(m *member) {
	m.start()
	r.waitReady(m)
}

func (r *round) owner() *member { return r.members[0] }

func (r *round) eachEngine(do func(*engine)) {
	for _, e := range r.engines {
		do(e)
	}
}

// crashed are the engines that the engine crash ends: the model and one of the two plain services.
func (r *round) crashed() []*engine { return r.engines[:2] }

func (r *round) crashEngines() {
	for _, e := range r.crashed() {
		e.kill()
	}
}

func (r *round) restartEngines() {
	for _, e := range r.crashed() {
		e.start()
		r.waitEngine(e)
	}
}

func (r *round) cutEntry(cut bool) { r.separate(cut, func(m *member) bool { return m == r.entry }) }

var faults = []fault{
	{name: "kill", inject: func(r *round) { r.entry.kill() }, end: func(r *round) { r.restart(r.entry) }},
	{name: "freeze", delay: freezeTime, inject: func(r *round) { r.entry.signal(syscall.SIGSTOP) }, end: func(r *round) { r.entry.signal(syscall.SIGCONT) }},
	{name: "cut of an instance", inject: func(r *round) { r.cutEntry(true) }, end: func(r *round) { r.cutEntry(false) }},
	{name: "cut of a data centre", members: 4, entry: 3, inject: func(r *round) { r.cutOff(r.entry.centre, true) }, end: func(r *round) { r.cutOff(r.entry.centre, false) }},
	{name: "engine crash", inject: (*round).crashEngines, end: (*round).restartEngines},
	{name: "engine crash and instance kill",
		inject: func(r *round) { r.crashEngines(); r.entry.kill() },
		end:    func(r *round) { r.restartEngines(); r.restart(r.entry) }},
	{name: "slow engine", delay: freezeTime,
		inject: func(r *round) { r.eachEngine(func(e *engine) { e.signal(syscall.SIGSTOP) }) }},
	{name: "engine ignores cancel", faults: standin.Faults{IgnoreCancel: true}, inject: func(r *round) { r.hangUp() }},
	{name: "late answers", delay: lateBy, answered: true},
	{name: "mismatched answers", faults: standin.Faults{WrongID: true}},
	{name: "truncated answers", faults: standin.Faults{TruncateResponse: true, DisconnectAfterEvents: 1, NoResume: true}},
	{name: "planned stop", answered: true, inject: func(r *round) { r.entry.signal(syscall.SIGTERM) },
		end: func(r *round) {
			if code := r.entry.waitExit(hangBound); code != 0 {
				r.t.Errorf("%s: planned stop exits with %d", r.step, code)
			}
			r.restart(r.entry)
		}},
	{name: "owner of the key killed", inject: func(r *round) { r.owner().kill() }, end: func(r *round) { r.restart(r.owner()) }},
	{name: "owner's disk lost", keyLost: true,
		inject: func(r *round) {
			r.owner().kill()
			if err := os.RemoveAll(filepath.Join(r.folder, r.owner().name, "ledger")); err != nil {
				r.t.Fatal(err)
			}
		},
		end: func(r *round) { r.restart(r.owner()) }},
	{name: "caller disconnects and resends", inject: func(r *round) { r.hangUp() }},
}

// Guards against a fault at any step of a request that makes work run twice, lets a partial or foreign
// answer look whole, makes not-run untrue, loses a stored answer, hangs a caller or leaves the system unfit.
func TestFaultMatrix(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, clusterOptions{
				members: max(3, f.members), models: 1, plains: 2, control: 3, ledgers: 1,
				interval: time.Millisecond, inFlight: matrixInFlight,
			})
			for _, s := range steps {
				r := &round{cluster: c, step: s, entry: c.members[max(1, f.entry)], other: c.members[2]}
				started := time.Now()
				r.play(f)
				t.Logf("%s: %s, longest wait of a caller %s", s, time.Since(started).Round(time.Millisecond), r.longest().Round(time.Millisecond))
				if t.Failed() {
					return // Later steps of a cluster in an unknown state say nothing.
				}
			}
		})
	}
}

func (r *round) play(f fault) {
	r.prepare(f)
	inject := func() {
		if f.inject != nil {
			f.inject(r)
		}
	}
	switch r.step {
	case beforeClaim:
		r.eachEngine(func(e *engine) { e.steer(standin.PathFaults, f.faults) })
		inject()
		r.sendAll()
	case afterResponse:
		r.sendAll()
		r.pending.Wait()
		inject()
	default:
		r.sendAll()
		r.awaitHeld(len(r.histories))
		inject()
	}
	r.resend(r.other)
	time.Sleep(f.delay)
	if f.name == "slow engine" {
		r.eachEngine(func(e *engine) { e.signal(syscall.SIGCONT) })
	}
	r.setFaults(f.faults)
	if f.end == nil || f.name == "planned stop" {
		r.pending.Wait() // Without a fault of its own to end, faulty engines stay faulty until all sends have ended.
	}
	if f.end != nil {
		f.end(r)
	}
	r.pending.Wait()
	r.setFaults(standin.Faults{})
	r.hangUp()
	r.settle(f)
	r.serveNew()
}

// prepare makes one request of each kind and lets the engines hold it at the step.
func (r *round) prepare(f fault) {
	r.callers, r.hangUp = context.WithCancel(context.Background())
	name := strings.ReplaceAll(f.name+" "+string(r.step), " ", "-")
	for n, k := range kinds {
		h := newHistory(k, fmt.Sprintf("%s-%d", name, n))
		h.keyLost = f.keyLost
		key := ""
		if k.keyed {
			key = mint(r.t, r.other.callers)
		}
		r.histories, r.keys = append(r.histories, h), append(r.keys, key)
	}
	hold := standin.Faults{Hold: holdAt[r.step], IgnoreCancel: f.faults.IgnoreCancel}
	r.setFaults(hold)
	if r.step == waiting {
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
	r.eachEngine(func(e *engine) {
		select {
		case <-e.exited:
		default:
			e.steer(standin.PathFaults, f)
		}
	})
}

// fillEngines sends lookups and completions through the entry until some of both services wait there.
func (r *round) fillEngines() {
	r.awaitWholeLimits()
	for _, k := range []kind{kinds[2], kinds[3]} {
		service := map[bool]string{true: "chat", false: "orders"}[k.stream]
		for n := 0; r.waitingFor(service) == 0; n++ {
			if n > 4*matrixInFlight {
				r.t.Fatalf("%d blockers and nothing waits for %s", n, service)
			}
			blocker := newHistory(k, fmt.Sprintf("blocker-%d-%d", time.Now().UnixNano(), n))
			before := r.held() + r.waitingFor(service)
			r.pending.Go(func() { blocker.send(r.callers, r.entry, "") })
			waitFor(r.t, "blocker", func() bool { return r.held()+r.waitingFor(service) > before })
		}
	}
}

func (r *round) held() (total int) {
	r.eachEngine(func(e *engine) { total += e.counts().Held })
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
	text, err := m.operator(t).GetRaw(context.Background(), "v1", "dump")
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
func (r *round) awaitWholeLimits() {
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
	if r.step == waiting {
		waitFor(r.t, "waiting requests", func() bool { return r.waitingFor("orders")+r.waitingFor("chat") >= n+2 }) // with one blocker each
		return
	}
	waitFor(r.t, "requests at the step "+string(r.step), func() bool { return r.held() == n })
}

func (r *round) sendAll() {
	for n := range r.histories {
		r.sendOne(r.callers, n, r.entry)
	}
}

func (r *round) sendOne(ctx context.Context, n int, through *member) {
	r.pending.Go(func() {
		h := r.histories[n]
		o := h.send(ctx, through, r.keys[n])
		r.mu.Lock()
		defer r.mu.Unlock()
		h.observations = append(h.observations, o)
	})
}

// resend sends every request with a key again; one without a key would be a new request.
func (r *round) resend(through *member) {
	for n, h := range r.histories {
		if h.kind.keyed {
			r.sendOne(context.Background(), n, through)
		}
	}
}

// settle resends through every instance after the fault and checks all that was seen.
func (r *round) settle(f fault) {
	r.t.Helper()
	first := make([]observation, len(r.histories))
	for n, h := range r.histories {
		for _, o := range h.observations {
			if o.through == r.entry.name {
				first[n] = o
			}
		}
	}
	for _, m := range r.members {
		r.resend(m)
	}
	r.pending.Wait()
	for n, h := range r.histories {
		if body, found := h.replayed(); found {
			r.checkReplay(n, body)
		}
		h.runs = r.runsOf(h.work)
		breaches := h.check()
		if f.answered && r.step != beforeClaim && !first[n].looksWhole() && !h.superseded(first[n]) {
			breaches = append(breaches, "interrupted: "+first[n].String())
		}
		for _, breach := range breaches {
			r.t.Errorf("%s, %s: %s", r.step, h.kind.name, breach)
		}
		if len(breaches) > 0 {
			for _, o := range h.observations {
				r.t.Logf("%s seen after %s", o, o.started.Sub(h.observations[0].started).Round(time.Millisecond))
			}
			r.t.Logf("runs: %v", h.runs)
		}
	}
}

// longest returns the longest wait of a caller in the round.
func (r *round) longest() (wait time.Duration) {
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
			return o.looksWhole() && o.body == body
		})
	}
}

// serveNew checks that every instance serves new requests of every kind after the fault.
func (r *round) serveNew() {
	r.t.Helper()
	for _, m := range r.members {
		for n, k := range kinds {
			tries := 0
			waitFor(r.t, fmt.Sprintf("%s: new %s through %s", r.step, k.name, m.name), func() bool {
				tries++
				h := newHistory(k, fmt.Sprintf("%s-after-%d-%d-%d", r.histories[0].work, n, tries, time.Now().UnixNano()))
				key := ""
				if k.keyed {
					key = mint(r.t, m.callers)
				}
				o := h.send(context.Background(), m, key)
				h.observations, h.runs = []observation{o}, r.runsOf(h.work)
				if breaches := h.check(); len(breaches) > 0 {
					r.t.Fatal(breaches)
				}
				return o.looksWhole()
			})
		}
	}
}
