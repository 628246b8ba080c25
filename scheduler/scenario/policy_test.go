package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/primrosebeam/primrosebeam/scheduler"
)

// primrosePolicy runs one Scheduler per instance.
type primrosePolicy struct {
	sim       *simulation
	instances []*instance
}

// instance is one simulated instance with its scheduler.
type instance struct {
	sim       *simulation
	policy    *primrosePolicy
	scheduler *scheduler.Scheduler
	requests  map[scheduler.RequestID]*request
	wakeAt    time.Time
	rejects   map[scheduler.RejectReason]int
}

func newPrimrosePolicy(s *simulation, seed uint64) policy {
	p := &primrosePolicy{sim: s}
	for i := range s.setup.instances {
		in := &instance{sim: s, policy: p, requests: map[scheduler.RequestID]*request{}, rejects: map[scheduler.RejectReason]int{}}
		in.scheduler = scheduler.New(scheduler.Options{
			Rand: rand.New(rand.NewPCG(seed, 1000+uint64(i))), Instance: fmt.Sprint(i),
		})
		p.instances = append(p.instances, in)
		in.step(scheduler.Configure{Policy: schedulerPolicy(s)})
	}
	if len(p.instances) > 1 {
		s.clock.every(exchangeEvery, p.exchange)
	}
	return p
}

func (p *primrosePolicy) exchange() {
	for _, from := range p.instances {
		summary := from.scheduler.Summary(p.sim.clock.now)
		p.sim.clock.after(networkDelay, func() { p.broadcast(from, summary) })
	}
}

func (p *primrosePolicy) broadcast(from *instance, e scheduler.Event) {
	for _, to := range p.instances {
		if to != from {
			to.step(e)
		}
	}
}

func (in *instance) step(e scheduler.Event) {
	now := in.sim.clock.now
	for _, a := range append([]scheduler.Action(nil), in.scheduler.Step(now, e)...) {
		in.perform(a)
	}
	at, due := in.scheduler.NextWake()
	if !due || !in.wakeAt.Before(now) && !in.wakeAt.After(at) {
		return
	}
	in.wakeAt = at
	in.sim.clock.at(at, func() { in.step(scheduler.Wake{}) })
}

func (in *instance) perform(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.Dispatch:
		r := in.requests[a.ID]
		in.sim.send(r, in.sim.byName[a.Engine])
		in.sim.clock.after(0, func() { in.step(scheduler.BytesSent{ID: a.ID}) })
	case scheduler.Reject:
		in.rejects[a.Reason]++
		r := in.requests[a.ID]
		r.done, r.rejected = true, true
		delete(in.requests, a.ID)
	case scheduler.Cancel:
		r := in.requests[a.ID]
		in.sim.clock.after(networkDelay, func() { in.sim.cancel(r) })
	case scheduler.PublishFloor:
		e := scheduler.PeerFloor{Instance: fmt.Sprintf("%p", in), Tier: a.Tier, Expires: a.Expires}
		in.sim.clock.after(networkDelay, func() { in.policy.broadcast(in, e) })
	}
}

func (p *primrosePolicy) instanceOf(r *request) *instance { return p.instances[r.instance] }

func (p *primrosePolicy) arrive(r *request) {
	p.instanceOf(r).requests[r.ID] = r
	p.instanceOf(r).step(scheduler.Arrive{Request: r.Request})
}

func (p *primrosePolicy) abandon(r *request) {
	if r.engine == nil {
		r.done, r.failed = true, true
	}
	p.instanceOf(r).step(scheduler.Abandon{ID: r.ID})
}

func (p *primrosePolicy) firstToken(r *request) { p.instanceOf(r).step(scheduler.FirstToken{ID: r.ID}) }

func (p *primrosePolicy) progress(r *request, tokens int) {
	p.instanceOf(r).step(scheduler.Progress{ID: r.ID, Tokens: tokens})
}

func (p *primrosePolicy) finish(r *request, result scheduler.Result, cached int) {
	p.instanceOf(r).step(scheduler.Finish{ID: r.ID, Result: result, CachedTokens: cached, OutputTokens: r.output})
	delete(p.instanceOf(r).requests, r.ID)
}

func (p *primrosePolicy) report(e scheduler.LoadReport) {
	for _, in := range p.instances {
		in.step(e)
	}
}

func (p *primrosePolicy) cache(e scheduler.CacheEvents) {
	for _, in := range p.instances {
		in.step(e)
	}
}

// baseline dispatches every request on arrival and leaves queueing to the engines.
type baseline struct {
	sim      *simulation
	choose   func(r *request) *fakeEngine
	inFlight map[*fakeEngine]int
	turn     map[bool]int // round-robin counter by kind; true for model requests
}

func newBaseline(s *simulation) *baseline {
	return &baseline{sim: s, inFlight: map[*fakeEngine]int{}, turn: map[bool]int{}}
}

func newRoundRobin(s *simulation, _ uint64) policy {
	b := newBaseline(s)
	b.choose = func(r *request) *fakeEngine {
		candidates := b.candidates(r)
		b.turn[r.Service == "model"]++
		return candidates[b.turn[r.Service == "model"]%len(candidates)]
	}
	return b
}

func newLeastInFlight(s *simulation, _ uint64) policy {
	b := newBaseline(s)
	b.choose = func(r *request) *fakeEngine {
		candidates := b.candidates(r)
		first := s.rand.IntN(len(candidates)) // ties are broken at random
		best := candidates[first]
		for i := range candidates {
			if f := candidates[(first+i)%len(candidates)]; b.inFlight[f] < b.inFlight[best] {
				best = f
			}
		}
		return best
	}
	return b
}

func (b *baseline) candidates(r *request) []*fakeEngine {
	if r.Service == "model" {
		return b.sim.engines[:modelEngines]
	}
	return b.sim.engines[modelEngines:]
}

func (b *baseline) arrive(r *request) {
	f := b.choose(r)
	b.inFlight[f]++
	b.sim.send(r, f)
}

func (b *baseline) abandon(r *request) { b.sim.cancel(r) }

func (b *baseline) finish(r *request, _ scheduler.Result, _ int) { b.inFlight[r.engine]-- }

func (b *baseline) firstToken(*request)         {}
func (b *baseline) progress(*request, int)      {}
func (b *baseline) report(scheduler.LoadReport) {}
func (b *baseline) cache(scheduler.CacheEvents) {}
